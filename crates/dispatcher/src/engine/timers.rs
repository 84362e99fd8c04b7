//! The engine's timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::clock::Micros;
use super::messages::AttemptId;
use dispatch_core::api::RequestId;

/// What a timer is for. Of timers due at the same time those of the earlier variants fire first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Policy(u64),
    Attempt(AttemptId),
    Deadline(RequestId),
    Overdue(RequestId),
    InitialListTimeout,
}

/// All timers that are set, the earliest first.
#[derive(Debug, Default)]
pub(super) struct Timers(BinaryHeap<Reverse<(Micros, Timer)>>);

impl Timers {
    /// Sets a timer for this time.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.0.push(Reverse((at, timer)));
    }

    /// When the next one is due.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next timer that is due by now.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<Timer> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}
