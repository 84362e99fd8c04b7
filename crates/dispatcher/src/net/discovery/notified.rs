//! The state of the workers that all watches together have passed to the engine.

use std::cell::{Cell, RefCell};

use rustc_hash::FxHashMap;

use crate::engine::ListedEndpoint;
use dispatch_core::api::{Seconds, WorkerId, WorkerState};

/// Start and state of a worker, as last passed to the engine.
struct NotifiedWorker {
    started_at: Seconds,
    state: WorkerState,
}

/// The state of the workers that all watches together have passed to the engine.
pub(super) struct NotifiedState {
    /// Last revision of the current source; `None` if the complete list must be requested.
    pub(super) revision: Cell<Option<u64>>,
    /// Highest revision of all sources.
    pub(super) newest_revision: Cell<u64>,
    workers: RefCell<FxHashMap<WorkerId, NotifiedWorker>>,
}

impl NotifiedState {
    /// Creates the state that corresponds to the saved endpoint list.
    pub(super) fn from_saved(revision: Option<u64>, endpoints: &mut [ListedEndpoint]) -> NotifiedState {
        let state = NotifiedState {
            revision: Cell::default(),
            newest_revision: Cell::default(),
            workers: RefCell::default(),
        };
        state.record(revision.unwrap_or(0), endpoints);
        // A saved list of revision 0 is valid: the watch continues from it, without a request for the complete list.
        state.revision.set(revision);
        state
    }

    /// Records a list. If it is older than an earlier list, corrects its entries, because a source that lags behind
    /// must not return a worker to service that drains or was removed.
    pub(super) fn record(&self, revision: u64, endpoints: &mut [ListedEndpoint]) {
        let is_outdated = revision < self.newest_revision.get();
        self.revision.set(Some(revision));
        self.newest_revision.set(self.newest_revision.get().max(revision));
        let mut workers = self.workers.borrow_mut();
        for ListedEndpoint { endpoint, .. } in endpoints {
            let notified = workers
                .entry(endpoint.worker)
                .or_insert(NotifiedWorker { started_at: endpoint.started_at, state: endpoint.state });
            let is_same_start = endpoint.started_at <= notified.started_at;
            if is_outdated && is_same_start && endpoint.state == WorkerState::Serving {
                endpoint.state = notified.state;
            }
            notified.started_at = notified.started_at.max(endpoint.started_at);
            notified.state = endpoint.state;
        }
    }
}
