//! What members and keepers are told alike, from HCL.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coordination::Timing;
use hcl_config::{HclResult, Section};

use crate::health_check::{HealthCheckConfig, InjectedBug};
use crate::slow_start::QuotaConfig;

/// How often a watched worker is probed, in milliseconds, into how many sets the workers are cut, after how many
/// failures in a row one is told to fail, and for how many periods that holds, where the file does not say.
const DEFAULT_PROBE_INTERVAL_MS: u64 = 1_000;
const DEFAULT_SETS: u64 = 8;
const DEFAULT_FAILURE_THRESHOLD: u64 = 2;
const DEFAULT_TTL_INTERVALS: u64 = 4;
/// The most sets: a member offers so many duties beside others.
const MAX_SETS: u64 = 100;

/// How long a cold grant is of use, in milliseconds, and the part of what a cold worker bears that may be granted, where
/// the file does not say. The planned shares of two slices may meet in one span, so more than half is never free.
const DEFAULT_GRANT_TTL_MS: u64 = 500;
const MAX_GRANTABLE_FRACTION: f64 = 0.5;

/// A text that has to be there, of 1 to 128 bytes.
///
/// # Errors
/// It is missing, empty or too long.
pub fn required_text(section: &Section, key: &str) -> HclResult<String> {
    match section.string(key)? {
        Some(text) if !text.is_empty() && text.len() <= 128 => Ok(text),
        Some(_) => Err(section.error(key, "wanted 1 to 128 bytes")),
        None => Err(section.error(key, "is missing")),
    }
}

/// An address that has to be there.
///
/// # Errors
/// It is missing, or none.
pub fn required_address(section: &Section, key: &str) -> HclResult<SocketAddr> {
    let text = required_text(section, key)?;
    text.parse().map_err(|_| section.error(key, format!("{text:?} is no address; wanted IP:PORT")))
}

/// The blocks `keeper "NUMBER" { address = "IP:PORT" }`.
///
/// # Errors
/// There are not three or five, or one is wrong.
pub fn replicas(top: &Section) -> HclResult<BTreeMap<u64, SocketAddr>> {
    let mut keepers = BTreeMap::new();
    for section in top.sections("keeper") {
        let number = section.label().parse::<u64>().ok().filter(|number| (1..=1_000_000).contains(number));
        let number = number
            .ok_or_else(|| section.error("", "wanted a label that is a number from 1, as keeper \"1\""))?;
        if keepers.insert(number, required_address(section, "address")?).is_some() {
            return Err(section.error("", format!("keeper {number} stands here twice")));
        }
    }
    match keepers.len() {
        3 | 5 => Ok(keepers),
        found => Err(top.error("keeper", format!("wanted three or five keepers, found {found}"))),
    }
}

/// The times in a block `times`, in milliseconds, checked against each other.
///
/// # Errors
/// One is out of bounds, or two do not fit together: the fault names both.
pub fn timing(top: &Section) -> HclResult<Timing> {
    let mut times = Timing::default();
    let Some(section) = top.section("times")? else { return Ok(times) };
    for (key, time) in [
        ("lease_ms", &mut times.lease_duration),
        ("renew_ms", &mut times.renewal_interval),
        ("call_ms", &mut times.call_timeout),
        ("stay_ms", &mut times.stability_period),
        ("short_ms", &mut times.short_session_limit),
        ("election_ms", &mut times.election_timeout),
        ("heartbeat_ms", &mut times.heartbeat_interval),
    ] {
        if let Some(ms) = section.integer(key, 1..=600_000)? {
            *time = ms * 1_000;
        }
    }
    if let Some(skew) = section.integer("skew_ppm", 0..=100_000)? {
        times.max_clock_skew_ppm = skew;
    }
    times.validate().map_err(|fault| {
        let (key, against) = (format!("{}_ms", fault.key), format!("{}_ms", fault.against));
        section.error(&key, format!("does not fit to {against}: {}", fault.problem))
    })?;
    Ok(times)
}

/// The block `watch`: how workers are watched by one member each. The number of zones is filled in by whoever knows it.
///
/// # Errors
/// A figure is out of bounds, or two do not fit together: the fault names both.
pub fn health_check_config(section: &Section) -> HclResult<HealthCheckConfig> {
    let period = section.integer("every_ms", 100..=60_000)?.unwrap_or(DEFAULT_PROBE_INTERVAL_MS) * 1_000;
    let holds =
        section.integer("holds_ms", 200..=600_000)?.map_or(DEFAULT_TTL_INTERVALS * period, |ms| ms * 1_000);
    if holds < 2 * period {
        return Err(section.error(
            "holds_ms",
            "does not fit to every_ms: wanted at least twice as long, or what is said lapses between two probes",
        ));
    }
    Ok(HealthCheckConfig {
        set_count: section.integer("sets", 1..=MAX_SETS)?.unwrap_or(DEFAULT_SETS) as u16,
        zone_count: 1,
        probe_interval: period,
        failure_threshold: section.integer("fails", 1..=100)?.unwrap_or(DEFAULT_FAILURE_THRESHOLD) as u16,
        report_ttl: holds,
        injected_bug: flaw(section)?,
    })
}

/// The block `cold`: how the budgets of cold workers are handed out by one member.
///
/// # Errors
/// A figure is missing or out of bounds.
pub fn quota_config(section: &Section, times: &Timing) -> HclResult<QuotaConfig> {
    let slots = section.number("slots", 0.1..=1e6)?;
    Ok(QuotaConfig {
        smallest_worker_slots: slots
            .ok_or_else(|| section.error("slots", "is missing: the slots of the smallest kind of worker"))?,
        grantable_fraction: section
            .number("part", 0.0..=MAX_GRANTABLE_FRACTION)?
            .unwrap_or(MAX_GRANTABLE_FRACTION),
        grant_ttl: section.integer("expiry_ms", 200..=10_000)?.unwrap_or(DEFAULT_GRANT_TTL_MS) * 1_000,
        delivery_timeout: 0,
        skew_ppm: times.max_clock_skew_ppm,
    })
}

/// A flaw put in on purpose. Only a build for such tests knows the key.
#[cfg(feature = "seeded-bugs")]
fn flaw(section: &Section) -> HclResult<Option<InjectedBug>> {
    let Some(name) = section.string("flaw")? else { return Ok(None) };
    let known = InjectedBug::NAMES.iter().find(|(known, _)| *known == name);
    known
        .map(|(_, flaw)| Some(*flaw))
        .ok_or_else(|| section.error("flaw", format!("there is no flaw {name:?}")))
}

#[cfg(not(feature = "seeded-bugs"))]
fn flaw(_: &Section) -> HclResult<Option<InjectedBug>> {
    Ok(None)
}
