//! What a keeper is told, from HCL.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use cairncrank_duty::Times;
use cairncrank_fleet::settings;
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
    let installation = settings::wanted(&top, "installation")?;
    let keepers = settings::keepers(&top)?;
    let first_token = top.whole("first_token", 1..=u64::MAX / 2)?.unwrap_or(1);
    let times = settings::times(&top)?;
    let serve = top.section("serve")?.map(|section| serve(section, &keepers)).transpose()?;
    top.finish()?;
    Ok(Config { installation, keepers, first_token, times, serve })
}

fn serve(section: &Section, keepers: &BTreeMap<u64, SocketAddr>) -> Result<Serve, Fault> {
    let keeper =
        section.whole("keeper", 1..=1_000_000)?.ok_or_else(|| section.fault("keeper", "is missing"))?;
    let Some(address) = keepers.get(&keeper) else {
        return Err(section.fault("keeper", format!("there is no block keeper \"{keeper}\"")));
    };
    let listen = match section.value("listen") {
        Some(_) => settings::address(section, "listen")?,
        None => *address,
    };
    let bind = section.text("bind")?.map(|text| {
        text.parse::<IpAddr>().map_err(|_| section.fault("bind", format!("{text:?} is no IP address")))
    });
    Ok(Serve {
        keeper,
        listen,
        store: settings::wanted(section, "store")?.into(),
        bind: bind.transpose()?,
        connections: section.whole("connections", 8..=65_536)?.unwrap_or(1_024) as usize,
    })
}
