//! Endpoint list: one lease holder watches discovery and broadcasts the complete list to all members. Pure: no I/O and no
//! clock.
//!
//! Events may arrive in any order, so a member does not apply an event whose discovery revision is older than that of
//! the last applied event. The lease holder sends an event only when discovery has responded, so each event shows that
//! discovery is alive. A member that relies on the lease holder therefore notices that discovery hangs as soon as a
//! member that watches discovery itself does.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// Name of the lease whose holder broadcasts the endpoint list.
pub const ENDPOINT_LIST_LEASE: &str = "list";

/// Event that the lease holder broadcasts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Name of the discovery service that counts the revisions; revisions of different sources are not comparable.
    pub source: String,
    /// Number of members. When the lease holder is lost, the members return to polling at a limited rate, hence over a
    /// time that depends on this number.
    #[serde(rename = "members")]
    pub member_count: u64,
    /// Complete list as discovery sends it, or only the revision if nothing has changed.
    pub list: Value,
}

impl WatchEvent {
    /// Returns the discovery revision of the event; 0 if it has none.
    pub fn revision(&self) -> u64 {
        self.list["revision"].as_u64().unwrap_or(0)
    }

    /// Returns whether the event contains the complete list.
    pub fn is_complete(&self) -> bool {
        self.list["members"].is_array()
    }
}

/// Endpoint list assembled from complete lists and changes, with the entries as discovery sends them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointSnapshot {
    revision: u64,
    complete: bool,
    entries: BTreeMap<String, Value>,
}

impl EndpointSnapshot {
    /// Applies a complete list or changes. A revision that is older than the present one is ignored.
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

    /// Returns the complete list; `None` before one was received.
    pub fn complete_list(&self) -> Option<Value> {
        let members: Vec<&Value> = self.entries.values().collect();
        self.complete.then(|| json!({"revision": self.revision, "complete": true, "members": members}))
    }

    /// Iterates over the entries as discovery sends them; over none before a complete list was received.
    pub fn entries(&self) -> impl Iterator<Item = &Value> {
        self.entries.values().filter(|_| self.complete)
    }

    /// Returns the revision of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Clears the list, because the next one comes from another discovery service.
    pub fn clear(&mut self) {
        *self = EndpointSnapshot::default();
    }
}
