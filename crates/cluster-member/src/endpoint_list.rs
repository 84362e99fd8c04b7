//! The endpoint list: one lease holder follows discovery and broadcasts the complete list to all members. Pure: no I/O and
//! no clock.
//!
//! A member takes in an event only if discovery's own revision says that it is newer than what is known, whatever arrived
//! first. An event counts as a sign of life only because the lease holder sends one only when discovery has sent
//! something to it; so a member that relies on the lease holder notices a silent discovery as soon as one that watches by
//! itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// The name of the lease.
pub const ENDPOINT_LIST_LEASE: &str = "list";

/// What the lease holder broadcasts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Which discovery its revisions count at: those of another source say nothing here.
    pub source: String,
    /// How many members there are, over which polls are spread when they lose their lease holder.
    #[serde(rename = "members")]
    pub member_count: u64,
    /// The complete list, as discovery sends it; or only its revision, where nothing changed.
    pub list: Value,
}

impl WatchEvent {
    /// The revision of discovery's that this is about; 0 where it names none.
    pub fn revision(&self) -> u64 {
        self.list["revision"].as_u64().unwrap_or(0)
    }

    /// Whether the complete list is in it.
    pub fn is_complete(&self) -> bool {
        self.list["members"].is_array()
    }
}

/// The list as received from discovery piece by piece, each entry as discovery wrote it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointSnapshot {
    revision: u64,
    complete: bool,
    entries: BTreeMap<String, Value>,
}

impl EndpointSnapshot {
    /// Takes in a list, complete or changes. One that is older than what is known is left out.
    pub fn apply(&mut self, list: &Value) {
        let (Some(revision), Some(members)) = (list["revision"].as_u64(), list["members"].as_array()) else {
            return;
        };
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        if list["complete"].as_bool() == Some(true) {
            self.complete = true;
            self.entries.clear();
        }
        for entry in members {
            self.apply_entry(entry);
        }
    }

    fn apply_entry(&mut self, entry: &Value) {
        let Some(id) = entry["id"].as_str() else { return };
        if entry["phase"].as_str() == Some("terminated") {
            self.entries.remove(id);
        } else {
            self.entries.insert(id.to_owned(), entry.clone());
        }
    }

    /// The complete list, if one was ever received.
    pub fn complete_list(&self) -> Option<Value> {
        let members: Vec<&Value> = self.entries.values().collect();
        self.complete.then(|| json!({"revision": self.revision, "complete": true, "members": members}))
    }

    /// The entries, as discovery wrote them; none before a complete list was received.
    pub fn entries(&self) -> impl Iterator<Item = &Value> {
        self.entries.values().filter(|_| self.complete)
    }

    /// The revision of what is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Forgets all: what comes next comes from another discovery.
    pub fn clear(&mut self) {
        *self = EndpointSnapshot::default();
    }
}
