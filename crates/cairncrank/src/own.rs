//! Our own settings, beside the platform's: an HCL file, read and checked as a part of the configuration.
//!
//! `--settings` or `CAIRNCRANK_SETTINGS` names the file; else it is `cairncrank.hcl` beside the platform's JSON, and
//! where none stands there, all is as by default. It is read again with the platform's file.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use cairncrank_core::api::RoomSettings;
use cairncrank_hcl::{Read, Section};

use crate::config::ConfigError;

/// The file where none is named.
const BESIDE: &str = "cairncrank.hcl";
/// The variable that names the file, as `--settings` does.
pub const VARIABLE: &str = "CAIRNCRANK_SETTINGS";
/// Jobs of so many slots are large where the file does not say, and the price of a worker kept for the other size.
const FROM_SLOTS: f64 = 4.0;
const PRICE: f64 = 16.0;

/// What the file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Own {
    /// Room for large jobs; none where it is not held.
    pub room: Option<RoomSettings>,
}

impl Own {
    /// Reads the file that is named, or the one beside the platform's configuration.
    ///
    /// # Errors
    /// The first fault with file, line and key; or the named file cannot be read.
    pub fn find(var: impl Fn(&str) -> Option<String>) -> Result<Own, ConfigError> {
        let named = var(VARIABLE).filter(|name| !name.is_empty());
        let path = match &named {
            Some(name) => PathBuf::from(name),
            None => match var("BALANCER_CONFIG").as_deref().map(Path::new).and_then(Path::parent) {
                Some(folder) => folder.join(BESIDE),
                None => return Ok(Own::default()),
            },
        };
        let file = path.display().to_string();
        match std::fs::read_to_string(&path) {
            Ok(text) => Own::read(&file, &text).map_err(|fault| ConfigError {
                key: format!("{}:{}: {}", fault.file, fault.line, fault.key),
                problem: fault.problem,
            }),
            Err(error) if error.kind() == ErrorKind::NotFound && named.is_none() => Ok(Own::default()),
            Err(error) => Err(ConfigError { key: file, problem: format!("cannot read it: {error}") }),
        }
    }

    /// Reads the text of a file; `file` is its name in faults.
    ///
    /// # Errors
    /// The first fault.
    pub fn read(file: &str, text: &str) -> Read<Own> {
        let root = Section::parse(file, text)?;
        let own = Own {
            room: match root.section("room")? {
                Some(section) => room(section)?,
                None => None,
            },
        };
        root.finish()?;
        Ok(own)
    }
}

fn room(section: &Section) -> Read<Option<RoomSettings>> {
    let settings = RoomSettings {
        from: section.number("from_slots", 2.0..=1024.0)?.unwrap_or(FROM_SLOTS),
        price: section.number("price", 0.0..=1000.0)?.unwrap_or(PRICE),
    };
    Ok(section.flag("hold")?.unwrap_or(true).then_some(settings))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn room_is_held_where_the_file_asks_for_it() {
        let read = |text| Own::read("own.hcl", text).map(|own| own.room).map_err(|fault| fault.to_string());
        assert_eq!(read(""), Ok(None));
        assert_eq!(read("room {\n}\n"), Ok(Some(RoomSettings { from: FROM_SLOTS, price: PRICE })));
        assert_eq!(read("room {\n  hold = false\n  from_slots = 2\n}\n"), Ok(None));
        let from = "own.hcl:2: room.from_slots: expected a number from 2 to 1024, found 1".to_owned();
        assert_eq!(read("room {\n  from_slots = 1\n}\n"), Err(from));
        assert_eq!(read("rooms {\n}\n"), Err("own.hcl:1: rooms: there is no such block here".to_owned()));
    }

    #[test]
    fn a_named_file_must_be_there_and_the_one_beside_may_be_missing() {
        let var = |settings: Option<&'static str>| {
            move |name: &str| match name {
                VARIABLE => settings.map(str::to_owned),
                _ => Some("/nowhere/config.json".to_owned()),
            }
        };
        assert_eq!(Own::find(var(None)), Ok(Own::default()));
        let missing = Own::find(var(Some("/nowhere/own.hcl"))).map_err(|error| error.key);
        assert_eq!(missing, Err("/nowhere/own.hcl".to_owned()));
    }
}
