//! The limit on client connections. At the limit a new connection takes the place of the one that has waited longest
//! for its first request; where none waits, the new one is closed unread.
//!
//! Accepting never pauses. A connection that waits in the listener's queue cannot be answered within its time: idle
//! ones may hold their places for over a second, and nobody knows how long it has waited when it is accepted.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};

use tokio::sync::Notify;

/// Kept by a connection for as long as it waits for its first request; notified where it is to give way.
pub(super) type FirstRequestWait = Rc<Notify>;

/// Who waits for a first request, and what the limit has cost since it was reached.
#[derive(Default)]
pub(super) struct ConnectionLimit {
    /// The one that has waited longest first. Those that wait no more are dropped as they come to the front; since no
    /// first request is awaited for long, none stays.
    waiting: RefCell<VecDeque<Weak<Notify>>>,
    evicted: Cell<u64>,
    rejected: Cell<u64>,
}

impl ConnectionLimit {
    /// A new connection begins to wait for its first request.
    pub(super) fn start_waiting(&self) -> FirstRequestWait {
        let wait = FirstRequestWait::default();
        let mut waiting = self.waiting.borrow_mut();
        while waiting.front().is_some_and(|oldest| oldest.strong_count() == 0) {
            waiting.pop_front();
        }
        waiting.push_back(Rc::downgrade(&wait));
        wait
    }

    /// Tells the connection that has waited longest for its first request to give way; false where none waits.
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

    /// A new connection was closed unread.
    pub(super) fn record_rejected(&self) {
        self.rejected.set(self.rejected.get() + 1);
    }

    /// Says in the log when connections become too many, and what that has cost when they no longer are.
    pub(super) fn log_change(&self, crowded: bool, open: usize, limit: usize) {
        if crowded {
            tracing::warn!(open, limit, "nearly all client connections are in use; idle ones are closed");
            return;
        }
        let (evicted, rejected) = (self.evicted.take(), self.rejected.take());
        tracing::info!(open, limit, evicted, rejected, "client connections are free again");
    }
}
