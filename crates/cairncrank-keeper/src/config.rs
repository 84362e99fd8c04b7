//! What a keeper is told, from HCL.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use cairncrank_duty::Times;
use cairncrank_hcl::{Fault, Section};

/// A keeper's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The installation: whoever names another is turned away.
    pub installation: String,
    /// Where keepers are reached, by number.
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// The lowest token that is ever granted.
    pub first_token: u64,
    /// The times.
    pub times: Times,
    /// This keeper, where it is one that serves.
    pub serve: Option<Serve>,
}

/// What one keeper is told beside what all are.
#[derive(Debug, Clone)]
pub struct Serve {
    /// Its number.
    pub keeper: u64,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The folder of its store.
    pub store: PathBuf,
    /// The address that its connections come from.
    pub bind: Option<IpAddr>,
    /// The most connections at once.
    pub connections: usize,
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
pub fn parse(file: &str, text: &str) -> Result<Config, Fault> {
    let top = Section::parse(file, text)?;
    let installation = wanted(&top, "installation")?;
    let mut keepers = BTreeMap::new();
    for section in top.sections("keeper") {
        let number = section.label().parse::<u64>().ok().filter(|number| (1..=1_000_000).contains(number));
        let number = number
            .ok_or_else(|| section.fault("", "wanted a label that is a number from 1, as keeper \"1\""))?;
        if keepers.insert(number, address(section, "address")?).is_some() {
            return Err(section.fault("", format!("keeper {number} stands here twice")));
        }
    }
    if !matches!(keepers.len(), 3 | 5) {
        return Err(top.fault("keeper", format!("wanted three or five keepers, found {}", keepers.len())));
    }
    let first_token = top.whole("first_token", 1..=u64::MAX / 2)?.unwrap_or(1);
    let times = times(&top)?;
    let serve = top.section("serve")?.map(|section| serve(section, &keepers)).transpose()?;
    top.finish()?;
    Ok(Config { installation, keepers, first_token, times, serve })
}

fn wanted(section: &Section, key: &str) -> Result<String, Fault> {
    match section.text(key)? {
        Some(text) if !text.is_empty() && text.len() <= 128 => Ok(text),
        Some(_) => Err(section.fault(key, "wanted 1 to 128 bytes")),
        None => Err(section.fault(key, "is missing")),
    }
}

fn address(section: &Section, key: &str) -> Result<SocketAddr, Fault> {
    let text = wanted(section, key)?;
    text.parse().map_err(|_| section.fault(key, format!("{text:?} is no address; wanted IP:PORT")))
}

/// The times in a block `times`, in milliseconds, checked against each other.
///
/// # Errors
/// One is out of bounds, or two do not fit together: the fault names both.
pub fn times(top: &Section) -> Result<Times, Fault> {
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

fn serve(section: &Section, keepers: &BTreeMap<u64, SocketAddr>) -> Result<Serve, Fault> {
    let keeper =
        section.whole("keeper", 1..=1_000_000)?.ok_or_else(|| section.fault("keeper", "is missing"))?;
    let Some(address) = keepers.get(&keeper) else {
        return Err(section.fault("keeper", format!("there is no block keeper \"{keeper}\"")));
    };
    let listen = match section.value("listen") {
        Some(_) => self::address(section, "listen")?,
        None => *address,
    };
    let bind = section.text("bind")?.map(|text| {
        text.parse::<IpAddr>().map_err(|_| section.fault("bind", format!("{text:?} is no IP address")))
    });
    Ok(Serve {
        keeper,
        listen,
        store: wanted(section, "store")?.into(),
        bind: bind.transpose()?,
        connections: section.whole("connections", 8..=65_536)?.unwrap_or(1_024) as usize,
    })
}
