//! What a keeper is told, from HCL.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use cluster_member::settings;
use cluster_member::wire::{OLDEST_SCHEMA_VERSION, SCHEMA_VERSION};
use coordination::Timing;
use disruption_budget::{Amount, Budget, BudgetScope, TargetKind};
use hcl_config::{HclError, Section, Value};

/// A keeper's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The installation: whoever names another is turned away.
    pub installation: String,
    /// Where keepers are reached, by number.
    pub coordinators: BTreeMap<u64, SocketAddr>,
    /// The lowest token that is ever granted.
    pub first_token: u64,
    /// The times.
    pub times: Timing,
    /// This keeper, where it is one that serves.
    pub serve: Option<ServeConfig>,
}

/// What one keeper is told beside what all are.
#[derive(Debug, Clone)]
pub struct ServeConfig {
    /// Its number.
    pub coordinator_id: u64,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The folder of its store.
    pub store_directory: PathBuf,
    /// The address that its connections come from.
    pub bind_address: Option<IpAddr>,
    /// The most connections at once.
    pub max_connections: usize,
    /// A flaw put in on purpose, in a build for such tests.
    pub injected_bug: Option<disruption_budget::InjectedBug>,
    /// The version of the messages that it speaks, and of the entries that it knows.
    pub protocol_version: u16,
}

/// Reads a file.
///
/// # Errors
/// It cannot be read, or something in it is wrong; the text names file, line and key.
pub fn read(path: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    parse(&path.display().to_string(), &text).map_err(|fault| fault.to_string())
}

/// Reads a text; `file` is its name in faults.
///
/// # Errors
/// Something in it is wrong.
pub fn parse(file: &str, text: &str) -> Result<Config, HclError> {
    let top = Section::parse(file, text)?;
    let installation = settings::required_text(&top, "installation")?;
    let coordinators = settings::replicas(&top)?;
    let first_token = top.integer("first_token", 1..=u64::MAX / 2)?.unwrap_or(1);
    let times = settings::timing(&top)?;
    let serve = top.section("serve")?.map(|section| parse_serve(section, &coordinators)).transpose()?;
    top.deny_unknown_keys()?;
    Ok(Config { installation, coordinators, first_token, times, serve })
}

fn parse_serve(section: &Section, coordinators: &BTreeMap<u64, SocketAddr>) -> Result<ServeConfig, HclError> {
    let coordinator_id =
        section.integer("keeper", 1..=1_000_000)?.ok_or_else(|| section.error("keeper", "is missing"))?;
    let Some(address) = coordinators.get(&coordinator_id) else {
        return Err(section.error("keeper", format!("there is no block keeper \"{coordinator_id}\"")));
    };
    let listen = match section.value("listen") {
        Some(_) => settings::required_address(section, "listen")?,
        None => *address,
    };
    let bind = section.string("bind")?.map(|text| {
        text.parse::<IpAddr>().map_err(|_| section.error("bind", format!("{text:?} is no IP address")))
    });
    Ok(ServeConfig {
        coordinator_id,
        listen,
        store_directory: settings::required_text(section, "store")?.into(),
        bind_address: bind.transpose()?,
        injected_bug: parse_injected_bug(section)?,
        protocol_version: section
            .integer("speaks", u64::from(OLDEST_SCHEMA_VERSION)..=u64::from(SCHEMA_VERSION))?
            .map_or(SCHEMA_VERSION, |version| version as u16),
        max_connections: section.integer("connections", 8..=65_536)?.unwrap_or(1_024) as usize,
    })
}

/// A flaw put in on purpose. Only a build for such tests knows the key.
#[cfg(feature = "seeded-bugs")]
fn parse_injected_bug(section: &Section) -> Result<Option<disruption_budget::InjectedBug>, HclError> {
    let Some(name) = section.string("flaw")? else { return Ok(None) };
    let known = disruption_budget::InjectedBug::names().iter().find(|(known, _)| *known == name);
    known
        .map(|(_, flaw)| Some(*flaw))
        .ok_or_else(|| section.error("flaw", format!("there is no flaw {name:?}")))
}

#[cfg(not(feature = "seeded-bugs"))]
fn parse_injected_bug(_: &Section) -> Result<Option<disruption_budget::InjectedBug>, HclError> {
    Ok(None)
}

/// Reads a file of budgets.
///
/// # Errors
/// It cannot be read, or a budget is wrong; the text names file, line and key.
pub fn read_budgets(path: &Path) -> Result<Vec<Budget>, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    parse_budgets(&path.display().to_string(), &text).map_err(|fault| fault.to_string())
}

/// Reads a text of blocks `budget "NAME"`; `file` is its name in faults.
///
/// # Errors
/// One is wrong, or a name stands there twice.
pub fn parse_budgets(file: &str, text: &str) -> Result<Vec<Budget>, HclError> {
    let top = Section::parse(file, text)?;
    let mut budgets: Vec<Budget> = Vec::new();
    for section in top.sections("budget") {
        let name = section.label().to_owned();
        if name.is_empty() || name.len() > 128 || budgets.iter().any(|budget| budget.name == name) {
            return Err(section.error("", "wanted a label of 1 to 128 bytes that no other budget has"));
        }
        let kind = section.keyword(
            "targets",
            &[("dispatchers", TargetKind::Dispatcher), ("workers", TargetKind::Worker)],
        )?;
        let kind = kind.ok_or_else(|| section.error("targets", "is missing: dispatchers or workers"))?;
        let scope = match section.string("of")?.as_deref() {
            None | Some("fleet") => BudgetScope::Fleet,
            Some("each-zone") => BudgetScope::EachZone,
            Some("each-pool") => BudgetScope::EachPool,
            Some(other) => match other.split_once('/') {
                Some(("zone", zone)) if !zone.is_empty() => BudgetScope::Zone(zone.to_owned()),
                Some(("pool", pool)) if !pool.is_empty() => BudgetScope::Pool(pool.to_owned()),
                _ => {
                    let wanted = "wanted fleet, each-zone, zone/NAME, each-pool or pool/NAME";
                    return Err(section.error("of", format!("{other:?}: {wanted}")));
                }
            },
        };
        let (max_unavailable, min_available) =
            (parse_amount(section, "most_out")?, parse_amount(section, "least_in")?);
        let budget = Budget { name, kind, scope, max_unavailable, min_available };
        budget.validate().map_err(|fault| section.error(fault.key, fault.problem.to_string()))?;
        budgets.push(budget);
    }
    top.deny_unknown_keys()?;
    Ok(budgets)
}

/// A number of targets, or a part of them such as `"10%"`.
fn parse_amount(section: &Section, key: &str) -> Result<Option<Amount>, HclError> {
    let Some(value) = section.value(key) else { return Ok(None) };
    if !matches!(value, Value::String(_)) {
        return Ok(section.integer(key, 0..=100_000)?.map(|count| Amount::Count(count as u32)));
    }
    let text = section.string(key)?.unwrap_or_default();
    let percent = text.strip_suffix('%').and_then(|number| number.trim().parse().ok());
    match percent.filter(|percent| *percent <= 100u32) {
        Some(percent) => Ok(Some(Amount::Percent(percent))),
        None => {
            Err(section.error(key, format!("{text:?} is no part; wanted a number or \"0%\" to \"100%\"")))
        }
    }
}
