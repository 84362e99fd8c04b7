//! Settings shared by members and coordinators, read from HCL.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coordination::Timing;
use hcl_config::{HclResult, Section};

use crate::health_check::{HealthCheckConfig, InjectedBug};
use crate::slow_start::QuotaConfig;

/// Maximum length of a required text, in bytes.
const MAX_TEXT_BYTES: usize = 128;
/// Maximum number of a replica.
const MAX_REPLICA_ID: u64 = 1_000_000;
/// Maximum of every duration, in milliseconds.
const MAX_TIME_MS: u64 = 600_000;
/// Maximum of the setting that bounds the difference between the rates of two clocks, in parts per million.
const MAX_SKEW_PPM: u64 = 100_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// Default probe interval, in milliseconds.
const DEFAULT_PROBE_INTERVAL_MS: u64 = 1_000;
/// Default number of sets of workers.
const DEFAULT_SETS: u64 = 8;
/// Maximum number of sets of workers. Each set has a lease, and the number of leases of a member is limited.
const MAX_SETS: u64 = 100;
/// Default number of consecutive failures after which a worker is reported.
const DEFAULT_FAILURE_THRESHOLD: u64 = 2;
/// Maximum of the failure threshold.
const MAX_FAILURE_THRESHOLD: u64 = 100;
/// Default time to live of a report, in probe intervals.
const DEFAULT_TTL_INTERVALS: u64 = 4;
/// Minimum time to live of a report, in probe intervals.
const MIN_TTL_INTERVALS: u64 = 2;

/// Default time to live of a grant, in milliseconds.
const DEFAULT_GRANT_TTL_MS: u64 = 500;
/// Default and maximum fraction of the tolerated work of a worker in slow start that may be granted. The other half is
/// left for the planned shares, because one window may contain the planned shares of two slices.
const MAX_GRANTABLE_FRACTION: f64 = 0.5;

/// Reads a required text of 1 to 128 bytes.
///
/// # Errors
/// Returns an error that names the key if the text is missing, empty or too long.
pub fn required_text(section: &Section, key: &str) -> HclResult<String> {
    match section.string(key)? {
        Some(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => Ok(text),
        Some(_) => Err(section.error(key, format!("expected 1 to {MAX_TEXT_BYTES} bytes"))),
        None => Err(section.error(key, "is missing")),
    }
}

/// Reads a required address.
///
/// # Errors
/// Returns an error that names the key if the address is missing or malformed.
pub fn required_address(section: &Section, key: &str) -> HclResult<SocketAddr> {
    let text = required_text(section, key)?;
    text.parse().map_err(|_| section.error(key, format!("{text:?} is not an address; expected IP:PORT")))
}

/// Reads the blocks `keeper "NUMBER" { address = "IP:PORT" }`.
///
/// # Errors
/// Returns an error if the number of replicas is not three or five, or a label or address is invalid.
pub fn replicas(top: &Section) -> HclResult<BTreeMap<u64, SocketAddr>> {
    let mut replicas = BTreeMap::new();
    for section in top.sections("keeper") {
        let replica_id = section.label().parse::<u64>().ok().filter(|id| (1..=MAX_REPLICA_ID).contains(id));
        let replica_id = replica_id.ok_or_else(|| {
            section.error("", "expected a number from 1 as its label, such as keeper \"1\"")
        })?;
        if replicas.insert(replica_id, required_address(section, "address")?).is_some() {
            return Err(section.error("", format!("replica {replica_id} is defined twice")));
        }
    }
    match replicas.len() {
        3 | 5 => Ok(replicas),
        found => Err(top.error("keeper", format!("expected three or five replicas, found {found}"))),
    }
}

/// Reads the durations in the block `times`, in milliseconds, and checks them against each other.
///
/// # Errors
/// Returns an error if a duration is out of bounds, or an error that names both keys if two durations conflict.
pub fn timing(top: &Section) -> HclResult<Timing> {
    let mut timing = Timing::default();
    let Some(section) = top.section("times")? else { return Ok(timing) };
    for (key, time) in [
        ("lease_ms", &mut timing.lease_duration),
        ("renew_ms", &mut timing.renewal_interval),
        ("call_ms", &mut timing.call_timeout),
        ("stay_ms", &mut timing.stability_period),
        ("short_ms", &mut timing.short_session_limit),
        ("election_ms", &mut timing.election_timeout),
        ("heartbeat_ms", &mut timing.heartbeat_interval),
    ] {
        if let Some(ms) = section.integer(key, 1..=MAX_TIME_MS)? {
            *time = ms * MICROS_PER_MILLI;
        }
    }
    if let Some(skew) = section.integer("skew_ppm", 0..=MAX_SKEW_PPM)? {
        timing.max_clock_skew_ppm = skew;
    }
    timing.validate().map_err(|error| {
        let key = format!("{}_ms", error.key);
        section.error(&key, format!("conflicts with {}_ms: {}", error.against, error.problem))
    })?;
    Ok(timing)
}

/// Reads the block `watch` with the settings of health checks. The caller sets the number of zones.
///
/// # Errors
/// Returns an error if a number is out of bounds, or an error that names both keys if two numbers conflict.
pub fn health_check_config(section: &Section) -> HclResult<HealthCheckConfig> {
    let interval_ms = section.integer("every_ms", 100..=60_000)?.unwrap_or(DEFAULT_PROBE_INTERVAL_MS);
    let ttl_ms = section.integer("holds_ms", 200..=MAX_TIME_MS)?;
    let ttl_ms = ttl_ms.unwrap_or(DEFAULT_TTL_INTERVALS * interval_ms);
    if ttl_ms < MIN_TTL_INTERVALS * interval_ms {
        return Err(section.error(
            "holds_ms",
            "conflicts with every_ms: expected at least twice its value, or reports expire between two probes",
        ));
    }
    let set_count = section.integer("sets", 1..=MAX_SETS)?.unwrap_or(DEFAULT_SETS);
    let failure_threshold = section.integer("fails", 1..=MAX_FAILURE_THRESHOLD)?;
    Ok(HealthCheckConfig {
        set_count: set_count as u16,
        zone_count: 1,
        probe_interval: interval_ms * MICROS_PER_MILLI,
        failure_threshold: failure_threshold.unwrap_or(DEFAULT_FAILURE_THRESHOLD) as u16,
        report_ttl: ttl_ms * MICROS_PER_MILLI,
        injected_bug: injected_bug(section)?,
    })
}

/// Reads the block `cold` with the settings of slow-start quotas. The caller sets the delivery timeout.
///
/// # Errors
/// Returns an error if a number is missing or out of bounds.
pub fn quota_config(section: &Section, timing: &Timing) -> HclResult<QuotaConfig> {
    let slots = section.number("slots", 0.1..=1e6)?;
    let slots = slots.ok_or_else(|| {
        section.error("slots", "is missing; expected the slots of the smallest kind of worker")
    })?;
    let fraction = section.number("part", 0.0..=MAX_GRANTABLE_FRACTION)?;
    let ttl_ms = section.integer("expiry_ms", 200..=10_000)?.unwrap_or(DEFAULT_GRANT_TTL_MS);
    Ok(QuotaConfig {
        smallest_worker_slots: slots,
        grantable_fraction: fraction.unwrap_or(MAX_GRANTABLE_FRACTION),
        grant_ttl: ttl_ms * MICROS_PER_MILLI,
        delivery_timeout: 0,
        skew_ppm: timing.max_clock_skew_ppm,
    })
}

/// Reads the name of the bug to inject. Only builds for experiments accept this key.
#[cfg(feature = "seeded-bugs")]
fn injected_bug(section: &Section) -> HclResult<Option<InjectedBug>> {
    let Some(name) = section.string("flaw")? else { return Ok(None) };
    match InjectedBug::from_name(&name) {
        Some(bug) => Ok(Some(bug)),
        None => Err(section.error("flaw", format!("there is no injected bug {name:?}"))),
    }
}

#[cfg(not(feature = "seeded-bugs"))]
fn injected_bug(_: &Section) -> HclResult<Option<InjectedBug>> {
    Ok(None)
}
