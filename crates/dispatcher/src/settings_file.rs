//! The local settings: an HCL file beside the platform's JSON file, read and checked as part of the configuration.
//!
//! `--settings` or [`VARIABLE`] names the file. The default is `cairncrank.hcl` in the folder of the platform's file;
//! if that does not exist, all settings have their defaults. A reload reads both files again.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use cluster_member::health_check::HealthCheckConfig;
use cluster_member::settings;
use cluster_member::slow_start::QuotaConfig;
use coordination::{Micros, Timing};
use dispatch_core::api::CapacityReservation;
use hcl_config::{HclResult, Section};

use crate::config::CONFIG_VARIABLE;
use crate::config_error::ConfigError;

/// Environment variable with the path of the file; `--settings` takes precedence.
pub const VARIABLE: &str = "CAIRNCRANK_SETTINGS";
/// Name of the file if no path is given.
const DEFAULT_FILE: &str = "cairncrank.hcl";

/// Default number of slots from which a job counts as large.
const DEFAULT_LARGE_JOB_SLOTS: f64 = 4.0;
/// Default price of a worker that is reserved for jobs of the other size.
const DEFAULT_WORKER_PRICE: f64 = 16.0;
/// Default of [`ClusterSettings::list_event_timeout`], in milliseconds: the time that discovery may leave a watch
/// without an event, and a margin for the transfer.
const DEFAULT_LIST_EVENT_TIMEOUT_MS: u64 = 3_000;
/// Default of [`ClusterSettings::readiness_validity`], in milliseconds.
const DEFAULT_READINESS_VALIDITY_MS: u64 = 1_000;
/// Default of [`ClusterSettings::fallback_per_s`].
const DEFAULT_FALLBACK_PER_S: f64 = 20.0;
/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1_000;

/// Settings of the cluster that the dispatcher joins.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    /// Name of the installation; processes of another installation are rejected in the handshake.
    pub installation: String,
    /// Address on which this dispatcher accepts connections from lease holders.
    pub listen: SocketAddr,
    /// Address that is announced to other members; the default is the listening address.
    pub advertised_address: Option<SocketAddr>,
    /// Source address of connections to coordinators and members; the system chooses it by default.
    pub bind_address: Option<IpAddr>,
    /// Addresses of the coordinators by replica number.
    pub coordinators: BTreeMap<u64, SocketAddr>,
    /// Durations of sessions, leases and elections; must equal those of the coordinators.
    pub timing: Timing,
    /// True if one member polls discovery for all members.
    pub shared_list: bool,
    /// Name of the source of the endpoint list, within which revisions are comparable; the default is the address of
    /// discovery.
    pub list_source: Option<String>,
    /// Time without a watch event after which members stop relying on the holder of the endpoint list lease.
    pub list_event_timeout: Micros,
    /// Number of members per second that fall back to polling discovery, so that they do not all poll it at once.
    pub fallback_per_s: f64,
    /// File to which the effects that this member sent and accepted are recorded, one JSON object per line.
    pub record: Option<PathBuf>,
    /// Health checks that members perform for the whole cluster, if enabled.
    pub health_checks: Option<HealthCheckConfig>,
    /// Time for which a readiness report is valid; `None` if planned drains need no permit.
    pub readiness_validity: Option<Micros>,
    /// Slow-start quota that one member grants to all members, if enabled.
    pub slow_start: Option<QuotaConfig>,
}

/// Settings of the local file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalSettings {
    /// Capacity reservation for large jobs, if enabled.
    pub capacity_reservation: Option<CapacityReservation>,
    /// Cluster that the dispatcher joins, if any.
    pub cluster: Option<ClusterSettings>,
}

impl LocalSettings {
    /// Reads the named file, or the one beside the platform's configuration; `variable` looks up an environment
    /// variable.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] with file, line and key of the first error, or if the named file cannot be read.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<LocalSettings, ConfigError> {
        let named = variable(VARIABLE).filter(|name| !name.is_empty());
        let is_named = named.is_some();
        let Some(path) = named.map(PathBuf::from).or_else(|| default_path(&variable)) else {
            return Ok(LocalSettings::default());
        };
        let file = path.display().to_string();
        match std::fs::read_to_string(&path) {
            Ok(text) => LocalSettings::parse(&file, &text).map_err(|error| ConfigError {
                key: format!("{}:{}: {}", error.file, error.line, error.key),
                problem: error.problem.to_string(),
            }),
            Err(error) if error.kind() == ErrorKind::NotFound && !is_named => Ok(LocalSettings::default()),
            Err(error) => Err(ConfigError { key: file, problem: format!("cannot read it: {error}") }),
        }
    }

    /// Parses the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// Returns the first error with its line and key.
    pub fn parse(file: &str, text: &str) -> HclResult<LocalSettings> {
        let root = Section::parse(file, text)?;
        let capacity_reservation = match root.section("room")? {
            Some(section) => capacity_reservation(section)?,
            None => None,
        };
        let cluster = root.section("fleet")?.map(cluster_settings).transpose()?;
        root.deny_unknown_keys()?;
        Ok(LocalSettings { capacity_reservation, cluster })
    }
}

/// Returns the path of the file beside the platform's configuration.
fn default_path(variable: &impl Fn(&str) -> Option<String>) -> Option<PathBuf> {
    let platform_file = variable(CONFIG_VARIABLE)?;
    let folder = Path::new(&platform_file).parent()?;
    Some(folder.join(DEFAULT_FILE))
}

fn capacity_reservation(section: &Section) -> HclResult<Option<CapacityReservation>> {
    let settings = CapacityReservation {
        min_slots: section.number("from_slots", 2.0..=1024.0)?.unwrap_or(DEFAULT_LARGE_JOB_SLOTS),
        price: section.number("price", 0.0..=1000.0)?.unwrap_or(DEFAULT_WORKER_PRICE),
    };
    let is_enabled = section.boolean("hold")?.unwrap_or(true);
    Ok(is_enabled.then_some(settings))
}

fn cluster_settings(section: &Section) -> HclResult<ClusterSettings> {
    let bind_address = section.string("bind")?;
    let timing = settings::timing(section)?;
    Ok(ClusterSettings {
        installation: settings::required_text(section, "installation")?,
        listen: settings::required_address(section, "listen")?,
        advertised_address: match section.value("address") {
            Some(_) => Some(settings::required_address(section, "address")?),
            None => None,
        },
        bind_address: bind_address.map(|text| parse_bind_address(section, &text)).transpose()?,
        coordinators: settings::replicas(section)?,
        timing,
        shared_list: section.boolean("list")?.unwrap_or(true),
        list_source: section.string("source")?,
        list_event_timeout: milliseconds(
            section,
            "silence_ms",
            1_000..=600_000,
            DEFAULT_LIST_EVENT_TIMEOUT_MS,
        )?,
        fallback_per_s: section.number("fallback_per_s", 0.1..=10_000.0)?.unwrap_or(DEFAULT_FALLBACK_PER_S),
        record: section.string("record")?.map(PathBuf::from),
        readiness_validity: section.section("account")?.map(readiness_validity).transpose()?,
        slow_start: section
            .section("cold")?
            .map(|slow_start| settings::quota_config(slow_start, &timing))
            .transpose()?,
        health_checks: section.section("watch")?.map(settings::health_check_config).transpose()?,
    })
}

fn parse_bind_address(section: &Section, text: &str) -> HclResult<IpAddr> {
    text.parse().map_err(|_| section.error("bind", format!("{text:?} is not an IP address")))
}

fn readiness_validity(section: &Section) -> HclResult<Micros> {
    milliseconds(section, "holds_ms", 300..=60_000, DEFAULT_READINESS_VALIDITY_MS)
}

/// Reads a duration in milliseconds, which must be within these bounds.
fn milliseconds(
    section: &Section,
    key: &str,
    bounds: RangeInclusive<u64>,
    default: u64,
) -> HclResult<Micros> {
    Ok(section.integer(key, bounds)?.unwrap_or(default) * MICROS_PER_MS)
}
