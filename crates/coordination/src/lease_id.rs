//! Identifiers of leases, with their text form `NAME`, `NAME@zone/ZONE` or `NAME@set/NUMBER`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Scope of a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseScope {
    /// All members and workers; any member may hold the lease.
    Fleet,
    /// One zone; only its members may hold the lease.
    Zone(String),
    /// One of the sets that the workers are partitioned into; any member may hold the lease.
    #[serde(rename = "Set")]
    WorkerSet(u16),
}

/// Identifies a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// Name of the task, such as `list`.
    pub name: String,
    /// Scope of the task.
    pub scope: LeaseScope,
}

impl LeaseId {
    /// Returns the lease of this name for the entire fleet.
    pub fn fleet(name: &str) -> LeaseId {
        LeaseId { name: name.to_owned(), scope: LeaseScope::Fleet }
    }

    /// Returns the lease of this name for one zone.
    pub fn zone(name: &str, zone: &str) -> LeaseId {
        LeaseId { name: name.to_owned(), scope: LeaseScope::Zone(zone.to_owned()) }
    }

    /// Returns the lease of this name for one set of workers.
    pub fn worker_set(name: &str, set: u16) -> LeaseId {
        LeaseId { name: name.to_owned(), scope: LeaseScope::WorkerSet(set) }
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.scope {
            LeaseScope::Fleet => write!(f, "{}", self.name),
            LeaseScope::Zone(zone) => write!(f, "{}@zone/{zone}", self.name),
            LeaseScope::WorkerSet(set) => write!(f, "{}@set/{set}", self.name),
        }
    }
}

/// Error for a text that is not a [`LeaseId`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a lease; expected NAME, NAME@zone/ZONE or NAME@set/NUMBER")]
pub struct LeaseIdParseError {
    /// The text as given.
    pub text: String,
}

impl FromStr for LeaseId {
    type Err = LeaseIdParseError;

    fn from_str(text: &str) -> Result<LeaseId, LeaseIdParseError> {
        let (name, scope) = match text.split_once('@') {
            None => (text, Some(LeaseScope::Fleet)),
            Some((name, scope)) => (name, parse_scope(scope)),
        };
        match scope {
            Some(scope) if !name.is_empty() => Ok(LeaseId { name: name.to_owned(), scope }),
            _ => Err(LeaseIdParseError { text: text.to_owned() }),
        }
    }
}

/// Parses `zone/ZONE` or `set/NUMBER`.
fn parse_scope(text: &str) -> Option<LeaseScope> {
    match text.split_once('/')? {
        ("zone", zone) if !zone.is_empty() => Some(LeaseScope::Zone(zone.to_owned())),
        ("set", number) => number.parse().ok().map(LeaseScope::WorkerSet),
        _ => None,
    }
}
