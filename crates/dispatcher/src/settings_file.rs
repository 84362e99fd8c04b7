//! Our own settings, beside the platform's: an HCL file, read and checked as a part of the configuration.
//!
//! `--settings` or `CAIRNCRANK_SETTINGS` names the file; else it is `cairncrank.hcl` beside the platform's JSON, and
//! where none stands there, all is as by default. It is read again with the platform's file.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use cluster_member::health_check::HealthCheckConfig;
use cluster_member::settings;
use cluster_member::slow_start::QuotaConfig;
use coordination::{Micros, Timing};
use dispatch_core::api::CapacityReservation;
use hcl_config::{HclResult, Section};

use crate::config_error::ConfigError;

/// The file where none is named.
const DEFAULT_FILE: &str = "cairncrank.hcl";
/// The variable that names the file, as `--settings` does.
pub const VARIABLE: &str = "CAIRNCRANK_SETTINGS";
/// Jobs of so many slots are large where the file does not say, and the price of a worker kept for the other size.
const DEFAULT_LARGE_JOB_SLOTS: f64 = 4.0;
const DEFAULT_WORKER_PRICE: f64 = 16.0;

/// How long an owner of the list may say nothing, in milliseconds, where the file does not say: as long as a watch on
/// discovery may be silent, and a little for the way.
const DEFAULT_LIST_SILENCE_MS: u64 = 3_000;
/// How long what a dispatcher says of itself counts, in milliseconds, where the file does not say.
const DEFAULT_READINESS_VALIDITY_MS: u64 = 1_000;
/// How many dispatchers of a fleet without an owner go back to asking discovery each second.
const DEFAULT_FALLBACK_PER_S: f64 = 20.0;

/// What the file says of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    /// The installation.
    pub installation: String,
    /// Where owners reach this dispatcher.
    pub listen: SocketAddr,
    /// Where others are told that it is, if not where it listens.
    pub advertised_address: Option<SocketAddr>,
    /// The address that its connections to keepers and members come from.
    pub bind_address: Option<IpAddr>,
    /// The keepers, by number.
    pub coordinators: BTreeMap<u64, SocketAddr>,
    /// The times, the same as the keepers'.
    pub times: Timing,
    /// Whether the list is asked for by one member.
    pub shared_list: bool,
    /// What discovery's revisions count at, if not at its address.
    pub list_source: Option<String>,
    /// How long an owner of the list may say nothing.
    pub list_silence: Micros,
    /// How many dispatchers of the fleet go back to asking each second.
    pub fallback_per_s: f64,
    /// A file for records of what this member did and took on behalf of duties, a JSON object a line.
    pub record: Option<PathBuf>,
    /// How workers are watched by one member each, where they are.
    pub health_checks: Option<HealthCheckConfig>,
    /// How long what a dispatcher says of itself counts, where drains are agreed across the fleet.
    pub readiness_validity: Option<Micros>,
    /// How the budgets of cold workers are handed out by one member, where they are.
    pub slow_start: Option<QuotaConfig>,
}

/// What the file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalSettings {
    /// Room for large jobs; none where it is not held.
    pub capacity_reservation: Option<CapacityReservation>,
    /// The fleet that this dispatcher is a member of, if it is of one.
    pub cluster: Option<ClusterSettings>,
}

impl LocalSettings {
    /// Reads the file that is named, or the one beside the platform's configuration.
    ///
    /// # Errors
    /// The first fault with file, line and key; or the named file cannot be read.
    pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<LocalSettings, ConfigError> {
        let named = var(VARIABLE).filter(|name| !name.is_empty());
        let path = match &named {
            Some(name) => PathBuf::from(name),
            None => match var("BALANCER_CONFIG").as_deref().map(Path::new).and_then(Path::parent) {
                Some(folder) => folder.join(DEFAULT_FILE),
                None => return Ok(LocalSettings::default()),
            },
        };
        let file = path.display().to_string();
        match std::fs::read_to_string(&path) {
            Ok(text) => LocalSettings::parse(&file, &text).map_err(|fault| ConfigError {
                key: format!("{}:{}: {}", fault.file, fault.line, fault.key),
                problem: fault.problem.to_string(),
            }),
            Err(error) if error.kind() == ErrorKind::NotFound && named.is_none() => {
                Ok(LocalSettings::default())
            }
            Err(error) => Err(ConfigError { key: file, problem: format!("cannot read it: {error}") }),
        }
    }

    /// Reads the text of a file; `file` is its name in faults.
    ///
    /// # Errors
    /// The first fault.
    pub fn parse(file: &str, text: &str) -> HclResult<LocalSettings> {
        let root = Section::parse(file, text)?;
        let own = LocalSettings {
            capacity_reservation: match root.section("room")? {
                Some(section) => capacity_reservation(section)?,
                None => None,
            },
            cluster: root.section("fleet")?.map(cluster_settings).transpose()?,
        };
        root.deny_unknown_keys()?;
        Ok(own)
    }
}

fn capacity_reservation(section: &Section) -> HclResult<Option<CapacityReservation>> {
    let settings = CapacityReservation {
        min_slots: section.number("from_slots", 2.0..=1024.0)?.unwrap_or(DEFAULT_LARGE_JOB_SLOTS),
        price: section.number("price", 0.0..=1000.0)?.unwrap_or(DEFAULT_WORKER_PRICE),
    };
    Ok(section.boolean("hold")?.unwrap_or(true).then_some(settings))
}

fn cluster_settings(section: &Section) -> HclResult<ClusterSettings> {
    let bind = section.string("bind")?.map(|text| {
        text.parse::<IpAddr>().map_err(|_| section.error("bind", format!("{text:?} is no IP address")))
    });
    let times = settings::timing(section)?;
    Ok(ClusterSettings {
        installation: settings::required_text(section, "installation")?,
        listen: settings::required_address(section, "listen")?,
        advertised_address: match section.value("address") {
            Some(_) => Some(settings::required_address(section, "address")?),
            None => None,
        },
        bind_address: bind.transpose()?,
        coordinators: settings::replicas(section)?,
        times,
        shared_list: section.boolean("list")?.unwrap_or(true),
        list_source: section.string("source")?,
        list_silence: section.integer("silence_ms", 1_000..=600_000)?.unwrap_or(DEFAULT_LIST_SILENCE_MS)
            * 1_000,
        fallback_per_s: section.number("fallback_per_s", 0.1..=10_000.0)?.unwrap_or(DEFAULT_FALLBACK_PER_S),
        record: section.string("record")?.map(PathBuf::from),
        readiness_validity: section
            .section("account")?
            .map(|account| {
                Ok(account.integer("holds_ms", 300..=60_000)?.unwrap_or(DEFAULT_READINESS_VALIDITY_MS)
                    * 1_000)
            })
            .transpose()?,
        slow_start: section.section("cold")?.map(|cold| settings::quota_config(cold, &times)).transpose()?,
        health_checks: section.section("watch")?.map(settings::health_check_config).transpose()?,
    })
}
