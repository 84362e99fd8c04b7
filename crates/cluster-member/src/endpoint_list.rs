//! The duty "list": one owner follows discovery and tells all members the whole list. Pure: no I/O, no clock.
//!
//! What a member hears it takes only if discovery's own revision says that it is newer than what it knows, whatever
//! arrived first. What it hears counts as a sign of life only because the owner says something only when discovery
//! has said something to it; so a member that relies on the fleet knows of a silent discovery as soon as one that
//! watches by itself.

use std::collections::BTreeMap;

use coordination::Micros;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// The name of the duty.
pub const ENDPOINT_LIST_LEASE: &str = "list";

/// What an owner of the duty says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// What revisions count at: those of another source say nothing here.
    pub source: String,
    /// How many members there are, by which a fleet that loses its owner spreads its questions.
    #[serde(rename = "members")]
    pub member_count: u64,
    /// The whole list, as discovery would tell it; or only its revision, where nothing changed.
    pub list: Value,
}

impl WatchEvent {
    /// The revision of discovery's that this is about.
    pub fn revision(&self) -> u64 {
        self.list["revision"].as_u64().unwrap_or(0)
    }

    /// Whether the whole list is in it.
    pub fn is_complete(&self) -> bool {
        self.list["members"].is_array()
    }
}

/// The list as heard from discovery piece by piece, in discovery's own words.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointSnapshot {
    revision: u64,
    complete: bool,
    entries: BTreeMap<String, Value>,
}

impl EndpointSnapshot {
    /// Takes a list in, whole or changes. One that is older than what is known is left out.
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
            let Some(id) = entry["id"].as_str() else { continue };
            match entry["phase"].as_str() {
                Some("terminated") => self.entries.remove(id),
                _ => self.entries.insert(id.to_owned(), entry.clone()),
            };
        }
    }

    /// The whole list, if it was ever heard whole.
    pub fn complete_list(&self) -> Option<Value> {
        let members: Vec<&Value> = self.entries.values().collect();
        self.complete.then(|| json!({"revision": self.revision, "complete": true, "members": members}))
    }

    /// The entries, in discovery's own words; none before a whole list was heard.
    pub fn entries(&self) -> impl Iterator<Item = &Value> {
        self.entries.values().filter(|_| self.complete)
    }

    /// The revision of what is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Forgets all: what comes next comes of another place.
    pub fn clear(&mut self) {
        *self = EndpointSnapshot::default();
    }
}

/// Whether a member asks discovery by itself or relies on the owner.
#[derive(Debug, Clone)]
pub struct DiscoveryFallback {
    silence_timeout: Micros,
    members_per_second: f64,
    /// Drawn once: a member's place in the order in which a fleet goes back to asking.
    position: f64,
    last_event: Option<Micros>,
    member_count: u64,
}

impl DiscoveryFallback {
    /// Relies on nobody yet. `silence` is how long an owner may say nothing, `per_second` how many members of the
    /// whole fleet may go back to asking each second, `place` from 0 to 1 drawn by this member's seed.
    pub fn new(silence: Micros, per_second: f64, place: f64) -> DiscoveryFallback {
        DiscoveryFallback {
            silence_timeout: silence,
            members_per_second: per_second,
            position: place.clamp(0.0, 1.0),
            last_event: None,
            member_count: 0,
        }
    }

    /// The same, with the place drawn by a seed.
    pub fn with_seed(silence: Micros, per_second: f64, seed: u64) -> DiscoveryFallback {
        DiscoveryFallback::new(silence, per_second, fastrand::Rng::with_seed(seed).f64())
    }

    /// An owner's news were taken.
    pub fn record_event(&mut self, now: Micros, members: u64) {
        self.last_event = Some(now);
        self.member_count = members;
    }

    /// What was heard says nothing any more: discovery is another place, or read by other names.
    pub fn reset(&mut self) {
        self.last_event = None;
    }

    /// When this member asks by itself again, if nothing is heard until then; it asks now where that is past.
    pub fn polls_from(&self) -> Micros {
        let spread = self.member_count as f64 / self.members_per_second * self.position;
        self.last_event.map_or(0, |heard| heard + self.silence_timeout + (spread * 1e6) as Micros)
    }

    /// Whether it asks discovery by itself. An owner always does.
    pub fn should_poll(&self, now: Micros, owns: bool) -> bool {
        owns || now >= self.polls_from()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: &str, phase: &str) -> Value {
        json!({"id": id, "phase": phase, "host_port": "127.0.0.1:1"})
    }

    #[test]
    fn a_ledger_tells_the_whole_by_discoverys_order_and_not_by_arrival() {
        let mut ledger = EndpointSnapshot::default();
        ledger.apply(&json!({"revision": 4, "complete": false, "members": [entry("a", "in_service")]}));
        assert_eq!(ledger.complete_list(), None, "changes alone are not the whole");
        ledger.apply(&json!({"revision": 5, "complete": true, "members": [entry("a", "in_service"), entry("b", "in_service")]}));
        ledger.apply(&json!({"revision": 7, "complete": false, "members": [entry("a", "terminating"), entry("b", "terminated")]}));
        ledger.apply(&json!({"revision": 6, "complete": true, "members": [entry("a", "in_service")]}));
        let list = json!({"revision": 7, "complete": true, "members": [entry("a", "terminating")]});
        assert_eq!(ledger.complete_list(), Some(list));
        ledger.apply(&json!({"revision": "x", "members": []}));
        assert_eq!(ledger.revision(), 7);
    }

    #[test]
    fn a_fleet_that_loses_its_owner_asks_again_spread_out() {
        let at = |place| {
            let mut reliance = DiscoveryFallback::new(3_000_000, 20.0, place);
            assert!(reliance.should_poll(0, false), "one that has heard nothing asks");
            reliance.record_event(1_000_000, 300);
            assert!(!reliance.should_poll(3_999_999, false));
            assert!(reliance.should_poll(1_000_001, true), "an owner asks");
            reliance.polls_from()
        };
        assert_eq!(at(0.0), 4_000_000);
        assert_eq!(at(0.5), 11_500_000);
        assert_eq!(at(1.0), 19_000_000, "300 members at 20 a second take 15 s");
    }
}
