//! What members and keepers are told alike, from HCL.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cairncrank_duty::Times;
use cairncrank_hcl::{Read, Section};

/// A text that has to be there, of 1 to 128 bytes.
///
/// # Errors
/// It is missing, empty or too long.
pub fn wanted(section: &Section, key: &str) -> Read<String> {
    match section.text(key)? {
        Some(text) if !text.is_empty() && text.len() <= 128 => Ok(text),
        Some(_) => Err(section.fault(key, "wanted 1 to 128 bytes")),
        None => Err(section.fault(key, "is missing")),
    }
}

/// An address that has to be there.
///
/// # Errors
/// It is missing, or none.
pub fn address(section: &Section, key: &str) -> Read<SocketAddr> {
    let text = wanted(section, key)?;
    text.parse().map_err(|_| section.fault(key, format!("{text:?} is no address; wanted IP:PORT")))
}

/// The blocks `keeper "NUMBER" { address = "IP:PORT" }`.
///
/// # Errors
/// There are not three or five, or one is wrong.
pub fn keepers(top: &Section) -> Read<BTreeMap<u64, SocketAddr>> {
    let mut keepers = BTreeMap::new();
    for section in top.sections("keeper") {
        let number = section.label().parse::<u64>().ok().filter(|number| (1..=1_000_000).contains(number));
        let number = number
            .ok_or_else(|| section.fault("", "wanted a label that is a number from 1, as keeper \"1\""))?;
        if keepers.insert(number, address(section, "address")?).is_some() {
            return Err(section.fault("", format!("keeper {number} stands here twice")));
        }
    }
    match keepers.len() {
        3 | 5 => Ok(keepers),
        found => Err(top.fault("keeper", format!("wanted three or five keepers, found {found}"))),
    }
}

/// The times in a block `times`, in milliseconds, checked against each other.
///
/// # Errors
/// One is out of bounds, or two do not fit together: the fault names both.
pub fn times(top: &Section) -> Read<Times> {
    let mut times = Times::default();
    let Some(section) = top.section("times")? else { return Ok(times) };
    for (key, time) in [
        ("lease_ms", &mut times.lease),
        ("renew_ms", &mut times.renew),
        ("call_ms", &mut times.call),
        ("stay_ms", &mut times.stay),
        ("short_ms", &mut times.short),
        ("election_ms", &mut times.election),
        ("heartbeat_ms", &mut times.heartbeat),
    ] {
        if let Some(ms) = section.whole(key, 1..=600_000)? {
            *time = ms * 1_000;
        }
    }
    if let Some(skew) = section.whole("skew_ppm", 0..=100_000)? {
        times.skew_ppm = skew;
    }
    times.check().map_err(|fault| {
        let (key, against) = (format!("{}_ms", fault.key), format!("{}_ms", fault.against));
        section.fault(&key, format!("does not fit to {against}: {}", fault.problem))
    })?;
    Ok(times)
}
