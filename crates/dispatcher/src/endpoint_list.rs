//! The endpoint list in discovery's JSON. This is the only module that spells out the keys and values of that format.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::config_error::{invalid, ConfigError};
use crate::engine::ListedEndpoint;
use crate::names::Names;
use dispatch_core::api::{Endpoint, ListScope, WorkerState};
use dispatch_core::hashing::worker_id;

/// Keys of the list and of its entries.
mod keys {
    pub(super) const REVISION: &str = "revision";
    pub(super) const COMPLETE: &str = "complete";
    pub(super) const ENDPOINTS: &str = "members";
    pub(super) const NAME: &str = "id";
    pub(super) const STATE: &str = "phase";
    pub(super) const ADDRESS: &str = "host_port";
    pub(super) const ZONE: &str = "locality";
    pub(super) const KIND: &str = "flavor";
    pub(super) const CELL: &str = "cell";
    pub(super) const STARTED_AT_MS: &str = "up_since_ms";
}

/// Values of [`keys::STATE`].
mod states {
    pub(super) const SERVING: &str = "in_service";
    pub(super) const DRAINING: &str = "terminating";
    pub(super) const REMOVED: &str = "terminated";
}

/// The endpoint list of one response: the complete list, or the entries that changed.
#[derive(Debug)]
pub struct EndpointList {
    /// Revision of the list at discovery.
    pub revision: u64,
    /// Whether the entries are the complete list or only the changes.
    pub scope: ListScope,
    /// Entries in the order of the response.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the list as received from discovery.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointEntry<'a>(&'a Value);

impl<'a> EndpointEntry<'a> {
    pub(crate) fn new(json: &'a Value) -> EndpointEntry<'a> {
        EndpointEntry(json)
    }

    pub(crate) fn name(self) -> Option<&'a str> {
        self.0[keys::NAME].as_str()
    }

    pub(crate) fn zone(self) -> Option<&'a str> {
        self.0[keys::ZONE].as_str()
    }

    /// Returns the worker's kind, which is also the name of its pool.
    pub(crate) fn kind(self) -> Option<&'a str> {
        self.0[keys::KIND].as_str()
    }

    /// Returns the state; `None` if it is missing or unknown.
    pub(crate) fn state(self) -> Option<WorkerState> {
        match self.0[keys::STATE].as_str()? {
            states::SERVING => Some(WorkerState::Serving),
            states::DRAINING => Some(WorkerState::Draining),
            states::REMOVED => Some(WorkerState::Removed),
            _ => None,
        }
    }

    /// Returns a number that differs between two starts of a worker; 0 if the entry has no start time.
    pub(crate) fn start_id(self) -> u64 {
        self.0[keys::STARTED_AT_MS].as_u64().unwrap_or(0)
    }

    fn started_at(self) -> f64 {
        self.0[keys::STARTED_AT_MS].as_f64().unwrap_or(0.0) / 1e3
    }

    fn address(self) -> Option<SocketAddr> {
        self.0[keys::ADDRESS].as_str()?.parse().ok()
    }

    fn cell(self) -> u32 {
        self.0[keys::CELL].as_u64().unwrap_or(0) as u32
    }
}

/// Returns a list without entries, which means that nothing changed up to this revision.
pub(crate) fn unchanged_list(revision: u64) -> Value {
    json!({ (keys::REVISION): revision })
}

/// Parses the endpoint list of one response.
///
/// # Errors
/// Returns a [`ConfigError`] for the first key that is missing or invalid.
pub fn parse_endpoint_list(list: &Value, names: &Names) -> Result<EndpointList, ConfigError> {
    let Some(revision) = list[keys::REVISION].as_u64() else {
        let problem = format!("expected a whole number, found {}", list[keys::REVISION]);
        return invalid(keys::REVISION, problem);
    };
    let Some(entries) = list[keys::ENDPOINTS].as_array() else {
        return invalid(keys::ENDPOINTS, "expected a list");
    };
    let is_complete = list[keys::COMPLETE].as_bool().unwrap_or(false);
    let scope = if is_complete { ListScope::Full } else { ListScope::Incremental };
    let mut endpoints = Vec::with_capacity(entries.len());
    for (index, entry) in entries.iter().enumerate() {
        endpoints.push(parse_entry(index, entry, names)?);
    }
    Ok(EndpointList { revision, scope, endpoints })
}

fn parse_entry(index: usize, json: &Value, names: &Names) -> Result<ListedEndpoint, ConfigError> {
    let key_path = |key: &str| format!("{}.{index}.{key}", keys::ENDPOINTS);
    let entry = EndpointEntry::new(json);
    let Some(name) = entry.name() else {
        return invalid(&key_path(keys::NAME), "missing");
    };
    let Some(state) = entry.state() else {
        let problem = format!(
            "expected {}, {} or {}, found {}",
            states::SERVING,
            states::DRAINING,
            states::REMOVED,
            json[keys::STATE]
        );
        return invalid(&key_path(keys::STATE), problem);
    };
    let address = entry.address();
    if address.is_none() && state == WorkerState::Serving {
        let problem = format!("expected an address, found {}", json[keys::ADDRESS]);
        return invalid(&key_path(keys::ADDRESS), problem);
    }
    let endpoint = Endpoint {
        worker: worker_id(name),
        kind: names.kinds.position_or_unlisted(entry.kind()),
        zone: names.zones.position_or_unlisted(entry.zone()),
        cell: entry.cell(),
        started_at: entry.started_at(),
        state,
    };
    Ok(ListedEndpoint { endpoint, address })
}
