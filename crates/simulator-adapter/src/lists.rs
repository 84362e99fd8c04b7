//! Numbered endpoint lists of the protocol.

use dispatch_core::api::Endpoint;
use dispatch_core::settings_pairs::InvalidValue;

use crate::fields::{Fields, NOTHING};
use crate::wire::{worker_state_from_name, WORKER_STATES};
use crate::worker_id;

/// Number of endpoint lists; they are numbered from 0.
const LIST_COUNT: usize = 16;
/// Description of the number of a list, for errors.
const LIST_NUMBER: &str = "a list number from 0 to 15";

/// A list whose entries are being read.
#[derive(Clone, Copy)]
struct Reading {
    list: usize,
    /// Number of entries that have not been read yet.
    remaining: usize,
}

/// All endpoint lists by number.
#[derive(Default)]
pub(crate) struct EndpointLists {
    lists: [Vec<Endpoint>; LIST_COUNT],
    reading: Option<Reading>,
}

impl EndpointLists {
    /// Handles the line that begins a list and states the number of its entries. The list replaces an earlier one with
    /// the same number.
    pub(crate) fn register(&mut self, mut fields: Fields<'_>) -> Result<(), InvalidValue> {
        let list: usize = fields.required(LIST_NUMBER)?;
        if list >= LIST_COUNT {
            return Err(InvalidValue::new(LIST_NUMBER, &list.to_string()));
        }
        let count: usize = fields.required("a count of entries")?;
        self.lists[list].clear();
        self.reading = (count > 0).then_some(Reading { list, remaining: count });
        Ok(())
    }

    /// Returns whether the next line is an entry of a list.
    pub(crate) fn is_reading(&self) -> bool {
        self.reading.is_some()
    }

    /// Adds an entry to the list that is being read.
    pub(crate) fn push(&mut self, endpoint: Endpoint) {
        if let Some(Reading { list, remaining }) = self.reading {
            self.lists[list].push(endpoint);
            self.reading = (remaining > 1).then_some(Reading { list, remaining: remaining - 1 });
        }
    }

    /// Returns the entries of the list with this number, which must be present.
    pub(crate) fn get(&self, list: Option<usize>) -> Result<&[Endpoint], InvalidValue> {
        match list {
            Some(list) if list < LIST_COUNT => Ok(&self.lists[list]),
            Some(list) => Err(InvalidValue::new(LIST_NUMBER, &list.to_string())),
            None => Err(InvalidValue::new(LIST_NUMBER, NOTHING)),
        }
    }
}

/// An entry of a list with the name of its worker.
pub(crate) struct NamedEndpoint<'a> {
    pub(crate) name: &'a str,
    pub(crate) endpoint: Endpoint,
}

/// Parses the values of an entry of a list.
pub(crate) fn parse_endpoint<'a>(mut fields: Fields<'a>) -> Result<NamedEndpoint<'a>, InvalidValue> {
    let name = fields.required_text("a worker")?;
    let kind = fields.optional("a kind of worker")?.unwrap_or(0);
    // Validated and ignored, since slots and running times are learned.
    fields.number("a capacity hint")?;
    let endpoint = Endpoint {
        worker: worker_id(name),
        kind,
        started_at: fields.number("a start time")?.unwrap_or(0.0),
        zone: fields.optional("a zone")?.unwrap_or(0),
        cell: fields.optional("a cell")?.unwrap_or(0),
        state: fields.named(WORKER_STATES, worker_state_from_name)?,
    };
    Ok(NamedEndpoint { name, endpoint })
}
