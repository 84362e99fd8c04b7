//! The settings file of a coordinator, in HCL.

mod budgets;

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use cluster_member::settings;
use cluster_member::wire::{OLDEST_SCHEMA_VERSION, SCHEMA_VERSION};
use coordination::Timing;
use hcl_config::{HclError, Section};

pub use budgets::{parse_budgets, read_budgets};

/// The numbers that a coordinator may have.
const COORDINATOR_IDS: RangeInclusive<u64> = 1..=1_000_000;
/// The bounds on connections at once, and how many are allowed where the file does not say.
const CONNECTION_LIMITS: RangeInclusive<u64> = 8..=65_536;
const DEFAULT_CONNECTION_LIMIT: u64 = 1_024;
/// The first token of an installation, where the file does not say.
const DEFAULT_FIRST_TOKEN: u64 = 1;
/// The highest first token: enough are left above it.
const MAX_FIRST_TOKEN: u64 = u64::MAX / 2;

/// The configuration of a coordinator.
#[derive(Debug, Clone)]
pub struct Config {
    /// The installation: whoever names another is rejected.
    pub installation: String,
    /// Where the coordinators are reached, by number.
    pub coordinators: BTreeMap<u64, SocketAddr>,
    /// The lowest token that is ever granted.
    pub first_token: u64,
    /// Lease, election and heartbeat times.
    pub timing: Timing,
    /// This coordinator, where the file is of one that serves.
    pub serve: Option<ServeConfig>,
}

/// The settings of one coordinator, beside those that all have in common.
#[derive(Debug, Clone)]
pub struct ServeConfig {
    /// Its number.
    pub coordinator_id: u64,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The directory of its store.
    pub store_directory: PathBuf,
    /// The address that its connections come from.
    pub bind_address: Option<IpAddr>,
    /// The most connections at once.
    pub max_connections: usize,
    /// A bug injected on purpose, in a build for such tests.
    pub injected_bug: Option<disruption_budget::InjectedBug>,
    /// The highest version of messages that it speaks, and of commands that it applies.
    pub protocol_version: u16,
}

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It cannot be read.
    #[error("{}: {source}", .file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Something in it is wrong; the text names file, line and key.
    #[error(transparent)]
    Invalid(#[from] HclError),
}

/// Reads a settings file.
///
/// # Errors
/// It cannot be read, or something in it is wrong; the text names file, line and key.
pub fn read(file: &Path) -> Result<Config, ConfigError> {
    let text = read_text(file)?;
    Ok(parse(&file.display().to_string(), &text)?)
}

fn read_text(file: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(file).map_err(|source| ConfigError::Read { file: file.to_owned(), source })
}

/// Parses the text of a settings file; `file` is its name in errors.
///
/// # Errors
/// Something in it is wrong; the text names file, line and key.
pub fn parse(file: &str, text: &str) -> Result<Config, HclError> {
    let top = Section::parse(file, text)?;
    let installation = settings::required_text(&top, "installation")?;
    let coordinators = settings::replicas(&top)?;
    let first_token = top.integer("first_token", 1..=MAX_FIRST_TOKEN)?.unwrap_or(DEFAULT_FIRST_TOKEN);
    let timing = settings::timing(&top)?;
    let serve = top.section("serve")?.map(|section| parse_serve(section, &coordinators)).transpose()?;
    top.deny_unknown_keys()?;
    Ok(Config { installation, coordinators, first_token, timing, serve })
}

fn parse_serve(section: &Section, coordinators: &BTreeMap<u64, SocketAddr>) -> Result<ServeConfig, HclError> {
    let coordinator_id =
        section.integer("keeper", COORDINATOR_IDS)?.ok_or_else(|| section.error("keeper", "is missing"))?;
    let Some(address) = coordinators.get(&coordinator_id) else {
        return Err(section.error("keeper", format!("there is no block keeper \"{coordinator_id}\"")));
    };
    let listen = match section.value("listen") {
        Some(_) => settings::required_address(section, "listen")?,
        None => *address,
    };
    let bind_text = section.string("bind")?;
    let store_directory = settings::required_text(section, "store")?.into();
    let bind_address = bind_text.map(|text| parse_bind_address(section, &text)).transpose()?;
    let injected_bug = parse_injected_bug(section)?;
    let versions = u64::from(OLDEST_SCHEMA_VERSION)..=u64::from(SCHEMA_VERSION);
    let protocol_version =
        section.integer("speaks", versions)?.map_or(SCHEMA_VERSION, |version| version as u16);
    let max_connections = section.integer("connections", CONNECTION_LIMITS)?;
    Ok(ServeConfig {
        coordinator_id,
        listen,
        store_directory,
        bind_address,
        max_connections: max_connections.unwrap_or(DEFAULT_CONNECTION_LIMIT) as usize,
        injected_bug,
        protocol_version,
    })
}

fn parse_bind_address(section: &Section, text: &str) -> Result<IpAddr, HclError> {
    text.parse().map_err(|_| section.error("bind", format!("{text:?} is no IP address")))
}

/// A bug injected on purpose. Only a build for such tests knows the key.
#[cfg(feature = "seeded-bugs")]
fn parse_injected_bug(section: &Section) -> Result<Option<disruption_budget::InjectedBug>, HclError> {
    let Some(name) = section.string("flaw")? else { return Ok(None) };
    match disruption_budget::InjectedBug::from_name(&name) {
        Some(bug) => Ok(Some(bug)),
        None => Err(section.error("flaw", format!("there is no flaw {name:?}"))),
    }
}

#[cfg(not(feature = "seeded-bugs"))]
fn parse_injected_bug(_: &Section) -> Result<Option<disruption_budget::InjectedBug>, HclError> {
    Ok(None)
}
