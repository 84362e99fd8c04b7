//! The engine's timers.

use std::collections::BTreeSet;

use super::clock::Micros;
use super::messages::AttemptId;
use dispatch_core::api::RequestId;

/// Purpose of a timer. Of timers due at the same time, those of the earlier variants fire first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Set by the decision module, with its token.
    Policy(u64),
    /// Timeout of an attempt.
    Attempt(AttemptId),
    /// Deadline of a request.
    Deadline(RequestId),
    /// Time at which the engine answers a request in place of the decision module.
    Overdue(RequestId),
    /// End of the wait for the first endpoint list.
    InitialListTimeout,
}

/// The timers that are set, the earliest first. A timer of a request is cancelled once the request ends, so that their
/// number follows that of the open requests.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Micros, Timer)>);

impl Timers {
    /// Sets a timer for this time.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Cancels a timer that was set for this time, unless it has fired.
    pub(super) fn cancel(&mut self, at: Micros, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Returns the time of the next timer.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due by now.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<Timer> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
