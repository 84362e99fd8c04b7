//! The list of workers in discovery's form.

use rustc_hash::FxHashMap;
use serde_json::Value;

use crate::config_error::{invalid, ConfigError};
use crate::engine::ListedEndpoint;
use crate::names::Names;
use dispatch_core::api::{Endpoint, ListScope, WorkerState};
use dispatch_core::hashing::worker_id;

/// What discovery tells at once: the whole list, or the entries that changed.
#[derive(Debug)]
pub struct EndpointList {
    /// The version.
    pub revision: u64,
    /// What part of the list it is.
    pub scope: ListScope,
    /// The entries.
    pub endpoints: Vec<ListedEndpoint>,
}

/// Reads the list of workers in discovery's form.
///
/// # Errors
/// The first key that is missing or faulty.
pub fn parse_endpoint_list(value: &Value, names: &Names) -> Result<EndpointList, ConfigError> {
    let Some(revision) = value["revision"].as_u64() else {
        return invalid("revision", format!("expected a whole number, found {}", value["revision"]));
    };
    let Some(members) = value["members"].as_array() else {
        return invalid("members", "expected a list");
    };
    let mut list = EndpointList {
        revision,
        scope: ListScope::Incremental,
        endpoints: Vec::with_capacity(members.len()),
    };
    if value["complete"].as_bool().unwrap_or(false) {
        list.scope = ListScope::Full;
    }
    let place: FxHashMap<&str, u32> = names.zones.iter().map(String::as_str).zip(0..).collect();
    let kinds: FxHashMap<&str, u32> = names.kinds.iter().map(String::as_str).zip(0..).collect();
    for (i, entry) in members.iter().enumerate() {
        let at = |key: &str| format!("members.{i}.{key}");
        let Some(id) = entry["id"].as_str() else { return invalid(&at("id"), "missing") };
        let state = match entry["phase"].as_str() {
            Some("in_service") => WorkerState::Serving,
            Some("terminating") => WorkerState::Draining,
            Some("terminated") => WorkerState::Removed,
            _ => {
                let problem = "expected in_service, terminating or terminated, found ";
                return invalid(&at("phase"), format!("{problem}{}", entry["phase"]));
            }
        };
        let address = entry["host_port"].as_str().and_then(|v| v.parse().ok());
        if address.is_none() && state == WorkerState::Serving {
            return invalid(&at("host_port"), format!("expected an address, found {}", entry["host_port"]));
        }
        // A name that the settings do not hold is a zone or kind of its own, and of nobody here.
        let number = |names: &FxHashMap<&str, u32>, key: &str| {
            let unknown = names.len() as u32;
            entry[key].as_str().map_or(unknown, |name| names.get(name).copied().unwrap_or(unknown))
        };
        let member = Endpoint {
            worker: worker_id(id),
            kind: number(&kinds, "flavor"),
            zone: number(&place, "locality"),
            cell: entry["cell"].as_u64().unwrap_or(0) as u32,
            started_at: entry["up_since_ms"].as_f64().unwrap_or(0.0) / 1e3,
            state,
        };
        list.endpoints.push(ListedEndpoint { endpoint: member, address });
    }
    Ok(list)
}
