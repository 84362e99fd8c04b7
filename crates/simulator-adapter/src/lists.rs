//! The numbered endpoint lists that the wire keeps, and the one that is being read.

use dispatch_core::api::{Endpoint, WorkerState};
use dispatch_core::settings_pairs::InvalidValue;

use crate::fields::Fields;
use crate::worker_id;

/// How many numbered endpoint lists the wire keeps.
const LISTS: usize = 16;
/// How such a number is described.
const LIST_NUMBER: &str = "a list number from 0 to 15";

/// A list of which lines are to come.
#[derive(Clone, Copy)]
struct Reading {
    list: usize,
    missing: usize,
}

/// All lists by number.
#[derive(Default)]
pub(crate) struct EndpointLists {
    lists: [Vec<Endpoint>; LISTS],
    reading: Option<Reading>,
}

impl EndpointLists {
    /// Takes the line that announces a list and how many lines it has.
    pub(crate) fn register(&mut self, mut fields: Fields<'_>) -> Result<(), InvalidValue> {
        let list: usize = fields.required(LIST_NUMBER)?;
        if list >= LISTS {
            return Err(InvalidValue::new(LIST_NUMBER, &list.to_string()));
        }
        let count: usize = fields.required("a count of entries")?;
        self.lists[list].clear();
        self.reading = (count > 0).then_some(Reading { list, missing: count });
        Ok(())
    }

    /// Whether the next line belongs to a list.
    pub(crate) fn is_reading(&self) -> bool {
        self.reading.is_some()
    }

    /// Takes a line of the list that is being read.
    pub(crate) fn push(&mut self, endpoint: Endpoint) {
        if let Some(Reading { list, missing }) = self.reading {
            self.lists[list].push(endpoint);
            self.reading = (missing > 1).then_some(Reading { list, missing: missing - 1 });
        }
    }

    /// The lines of a list.
    pub(crate) fn get(&self, list: Option<usize>) -> Result<&[Endpoint], InvalidValue> {
        match list {
            Some(list) if list < LISTS => Ok(&self.lists[list]),
            other => Err(InvalidValue::new(LIST_NUMBER, &format!("{other:?}"))),
        }
    }
}

/// Reads the fields of a line of a list; returns the worker's name too.
pub(crate) fn parse_endpoint<'a>(mut fields: Fields<'a>) -> Result<(&'a str, Endpoint), InvalidValue> {
    let name = fields.required_text("a worker")?;
    let kind = fields.optional("a machine type")?.unwrap_or(0);
    // Slots and running times are learned, so this is checked and left.
    fields.number("a capacity hint")?;
    let endpoint = Endpoint {
        worker: worker_id(name),
        kind,
        started_at: fields.number("a start time")?.unwrap_or(0.0),
        zone: fields.optional("a zone")?.unwrap_or(0),
        cell: fields.optional("a cell")?.unwrap_or(0),
        state: parse_state(fields.text())?,
    };
    Ok((name, endpoint))
}

fn parse_state(word: Option<&str>) -> Result<WorkerState, InvalidValue> {
    match word {
        Some("SERVING") => Ok(WorkerState::Serving),
        Some("DRAINING") => Ok(WorkerState::Draining),
        Some("DELETED") => Ok(WorkerState::Removed),
        other => Err(InvalidValue::new("SERVING, DRAINING or DELETED", other.unwrap_or("nothing"))),
    }
}
