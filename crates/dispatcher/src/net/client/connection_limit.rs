//! Limit on client connections. At the limit, a new connection evicts the one that has waited longest for its first
//! request; if no connection awaits its first request, the new one is closed unread.
//!
//! Accepting never pauses, because a connection in the listener's queue could not be answered in time: idle connections
//! may stay open for over a second, and the time that a connection has spent in the queue is unknown when it is
//! accepted.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};

use tokio::sync::Notify;

/// Registration of a connection that awaits its first request; notified when the connection is evicted.
pub(super) type FirstRequestWait = Rc<Notify>;

/// Connections that await their first request, and the numbers of connections closed at the limit.
#[derive(Default)]
pub(super) struct ConnectionLimit {
    /// Connections in the order in which they were accepted. An entry whose connection waits no more is dropped when it
    /// reaches the front, which happens soon, because the wait for a first request is short.
    waiting: RefCell<VecDeque<Weak<Notify>>>,
    /// Number of connections evicted since the number was last logged.
    evicted: Cell<u64>,
    /// Number of connections closed unread since the number was last logged.
    rejected: Cell<u64>,
}

impl ConnectionLimit {
    /// Registers a new connection, which awaits its first request.
    pub(super) fn start_waiting(&self) -> FirstRequestWait {
        let wait = FirstRequestWait::default();
        let mut waiting = self.waiting.borrow_mut();
        while waiting.front().is_some_and(|oldest| oldest.strong_count() == 0) {
            waiting.pop_front();
        }
        waiting.push_back(Rc::downgrade(&wait));
        wait
    }

    /// Evicts the connection that has waited longest for its first request; returns false if no connection waits for
    /// one.
    pub(super) fn evict_oldest(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        while let Some(oldest) = waiting.pop_front() {
            if let Some(wait) = oldest.upgrade() {
                wait.notify_one();
                self.evicted.set(self.evicted.get() + 1);
                return true;
            }
        }
        false
    }

    /// Counts a new connection that was closed unread.
    pub(super) fn record_rejected(&self) {
        self.rejected.set(self.rejected.get() + 1);
    }

    /// Logs that the number of open connections has come near the limit, or that it has fallen again, with the numbers
    /// of connections closed meanwhile.
    pub(super) fn log_change(&self, near_limit: bool, open: usize, limit: usize) {
        if near_limit {
            tracing::warn!(open, limit, "nearly all client connections are in use; idle ones are closed");
            return;
        }
        let evicted = self.evicted.take();
        let rejected = self.rejected.take();
        tracing::info!(open, limit, evicted, rejected, "client connections are free again");
    }
}
