//! What all watches together have notified so far.

use std::cell::{Cell, RefCell};

use rustc_hash::FxHashMap;

use crate::engine::ListedEndpoint;
use dispatch_core::api::{Seconds, WorkerId, WorkerState};

/// What was told so far, by all watches together.
pub(super) struct NotifiedState {
    /// The last revision of the place that is followed; none where all must be asked for.
    pub(super) revision: Cell<Option<u64>>,
    /// The highest revision of all places.
    pub(super) newest_revision: Cell<u64>,
    /// The start and state of each worker.
    pub(super) states: RefCell<FxHashMap<WorkerId, (Seconds, WorkerState)>>,
}

impl NotifiedState {
    /// The state that the list as last held before the start leaves.
    pub(super) fn from_saved(revision: Option<u64>, endpoints: &mut [ListedEndpoint]) -> NotifiedState {
        let state = NotifiedState {
            revision: Cell::default(),
            newest_revision: Cell::default(),
            states: RefCell::default(),
        };
        state.record(revision.unwrap_or(0), endpoints);
        // Where nothing was held before, all must be asked for. What was held may well be of revision 0: to ask for all
        // first would make two calls of one, of every dispatcher of a fleet at its start.
        state.revision.set(revision);
        state
    }

    /// Takes note of a list. One that is older than what was told before comes of a place that lags behind: it
    /// must not bring back a worker of which this program knows that it drains or is gone.
    pub(super) fn record(&self, revision: u64, members: &mut [ListedEndpoint]) {
        let older = revision < self.newest_revision.get();
        self.revision.set(Some(revision));
        self.newest_revision.set(self.newest_revision.get().max(revision));
        let mut states = self.states.borrow_mut();
        for ListedEndpoint { endpoint: member, .. } in members {
            let (since, state) = states.entry(member.worker).or_insert((member.started_at, member.state));
            if older && member.started_at <= *since && member.state == WorkerState::Serving {
                member.state = *state;
            }
            (*since, *state) = (since.max(member.started_at), member.state);
        }
    }
}
