//! What a dispatcher waits for: timer events by time, the earliest of which is armed with the caller.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::api::{Action, RequestId, Seconds};

/// A deadline that is no further ahead has been reached: times are rounded to microseconds.
pub(crate) const TIMER_TOLERANCE: Seconds = 1e-6;

/// Why to wake up. Events that are due at one time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// Tokens for the head of a tenant's job buffer have come.
    TokensDue(usize),
    /// An admitted job stops waiting for a free worker.
    PlacementTimeout(RequestId),
    /// A job that was not sent runs short of time.
    QueueTimeout(RequestId),
    /// An admitted job still waits: probe workers of other zones.
    ProbeOtherZones(RequestId),
    /// The worker of a job in flight may have stalled.
    StallCheck(RequestId),
    /// A window of the admission rate ends.
    RateWindowEnd,
    /// The endpoint list may be asked for again.
    EndpointListRetry,
    /// The next probe is due.
    ProbeDue,
}

/// The pending events, and the one timer that is armed for the earliest of them.
#[derive(Debug)]
pub(crate) struct TimerQueue {
    pending: BinaryHeap<Reverse<(u64, TimerEvent)>>,
    armed_for: u64,
}

impl Default for TimerQueue {
    fn default() -> Self {
        TimerQueue { pending: BinaryHeap::new(), armed_for: u64::MAX }
    }
}

impl TimerQueue {
    /// Adds an event at a time.
    pub(crate) fn schedule(&mut self, at: Seconds, event: TimerEvent) {
        self.pending.push(Reverse((to_micros(at), event)));
    }

    /// Takes out the next event that is due.
    pub(crate) fn next_due(&mut self, now: Seconds) -> Option<TimerEvent> {
        let &Reverse((at, event)) = self.pending.peek()?;
        (at <= to_micros(now)).then(|| {
            self.pending.pop();
            event
        })
    }

    /// The caller's timer fired. A token from before the one that is armed is of no concern.
    pub(crate) fn on_fired(&mut self, token: u64) {
        if token >= self.armed_for {
            self.armed_for = u64::MAX;
        }
    }

    /// The timer to arm, its time being its token, where the armed one is too late.
    pub(crate) fn arm(&mut self, now: Seconds, resolution: Seconds) -> Option<Action> {
        let &Reverse((at, _)) = self.pending.peek()?;
        (at < self.armed_for).then(|| {
            self.armed_for = at;
            Action::SetTimer { after: (at as f64 / 1e6 - now).max(resolution), token: at }
        })
    }
}

fn to_micros(time: Seconds) -> u64 {
    (time.max(0.0) * 1e6).ceil() as u64
}
