//! Settings file of a coordinator, in HCL.

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

/// Valid numbers of a replica.
const REPLICA_IDS: RangeInclusive<u64> = 1..=1_000_000;
/// Bounds of the limit on concurrent connections.
const CONNECTION_LIMITS: RangeInclusive<u64> = 8..=65_536;
/// Default of the limit on concurrent connections.
const DEFAULT_CONNECTION_LIMIT: u64 = 1_024;
/// Default of the first fencing token of an installation.
const DEFAULT_FIRST_TOKEN: u64 = 1;
/// Upper bound of the first fencing token, so that enough tokens remain above it.
const MAX_FIRST_TOKEN: u64 = u64::MAX / 2;

/// Configuration of a coordinator.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the installation. Clients and peers of another installation are rejected.
    pub installation: String,
    /// Addresses of the replicas, by number.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// First fencing token of the installation.
    pub first_token: u64,
    /// Durations of leases, elections and heartbeats.
    pub timing: Timing,
    /// Settings of this replica; `None` in a file for operators only.
    pub serve: Option<ServeConfig>,
}

/// Settings of one replica.
#[derive(Debug, Clone)]
pub struct ServeConfig {
    /// Number of the replica.
    pub replica_id: u64,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Directory of the store.
    pub store_directory: PathBuf,
    /// Local address of outgoing connections.
    pub bind_address: Option<IpAddr>,
    /// Limit of concurrent connections.
    pub max_connections: usize,
    /// Bug injected for an experiment whose checkers must find it.
    pub injected_bug: Option<disruption_budget::InjectedBug>,
    /// Highest version of messages and commands that the replica uses.
    pub protocol_version: u16,
}

/// Error of reading a file of settings or budgets.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", .file.display())]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The content is invalid; the text names file, line and key.
    #[error(transparent)]
    Invalid(#[from] HclError),
}

/// Reads a settings file.
///
/// # Errors
/// Returns an error if the file cannot be read, or one that names file, line and key if the content is invalid.
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
/// Returns an error that names file, line and key if the text is invalid.
pub fn parse(file: &str, text: &str) -> Result<Config, HclError> {
    let top = Section::parse(file, text)?;
    let installation = settings::required_text(&top, "installation")?;
    let replicas = settings::replicas(&top)?;
    let first_token = top.integer("first_token", 1..=MAX_FIRST_TOKEN)?.unwrap_or(DEFAULT_FIRST_TOKEN);
    let timing = settings::timing(&top)?;
    let serve = top.section("serve")?.map(|section| parse_serve(section, &replicas)).transpose()?;
    top.deny_unknown_keys()?;
    Ok(Config { installation, replicas, first_token, timing, serve })
}

fn parse_serve(section: &Section, replicas: &BTreeMap<u64, SocketAddr>) -> Result<ServeConfig, HclError> {
    let replica_id =
        section.integer("keeper", REPLICA_IDS)?.ok_or_else(|| section.error("keeper", "is missing"))?;
    let Some(address) = replicas.get(&replica_id) else {
        return Err(section.error("keeper", format!("there is no block keeper \"{replica_id}\"")));
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
        replica_id,
        listen,
        store_directory,
        bind_address,
        max_connections: max_connections.unwrap_or(DEFAULT_CONNECTION_LIMIT) as usize,
        injected_bug,
        protocol_version,
    })
}

fn parse_bind_address(section: &Section, text: &str) -> Result<IpAddr, HclError> {
    text.parse().map_err(|_| section.error("bind", format!("{text:?} is not an IP address")))
}

/// Reads the injected bug. Only builds for experiments have this key.
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
