//! What a dispatcher waits for: timer events by time, the earliest of which is armed with the caller.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::api::{Action, RequestId, Seconds};

/// A deadline that is no further ahead has been reached: times are rounded to microseconds.
pub(crate) const TIMER_TOLERANCE: Seconds = 1e-6;

const MICROS_PER_SECOND: f64 = 1e6;
/// Value of [`TimerQueue::armed_for`] while no timer is armed.
const NOT_ARMED: u64 = u64::MAX;

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

/// A timer event and the time at which it is due, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    due_at: u64,
    event: TimerEvent,
}

/// The pending events, and the one timer that is armed for the earliest of them.
#[derive(Debug)]
pub(crate) struct TimerQueue {
    pending: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Time for which the caller's timer is armed, in microseconds; [`NOT_ARMED`] if it is not.
    armed_for: u64,
}

impl Default for TimerQueue {
    fn default() -> Self {
        TimerQueue { pending: BinaryHeap::new(), armed_for: NOT_ARMED }
    }
}

impl TimerQueue {
    /// Adds an event at a time.
    pub(crate) fn schedule(&mut self, at: Seconds, event: TimerEvent) {
        self.pending.push(Reverse(ScheduledEvent { due_at: to_micros(at), event }));
    }

    /// Takes out the next event that is due.
    pub(crate) fn next_due(&mut self, now: Seconds) -> Option<TimerEvent> {
        let Reverse(next) = *self.pending.peek()?;
        if next.due_at > to_micros(now) {
            return None;
        }
        self.pending.pop();
        Some(next.event)
    }

    /// The caller's timer fired. A token from before the one that is armed is of no concern.
    pub(crate) fn on_fired(&mut self, token: u64) {
        if token >= self.armed_for {
            self.armed_for = NOT_ARMED;
        }
    }

    /// The timer to arm, its time being its token, where the armed one is too late.
    pub(crate) fn arm(&mut self, now: Seconds, resolution: Seconds) -> Option<Action> {
        let Reverse(next) = *self.pending.peek()?;
        if next.due_at >= self.armed_for {
            return None;
        }
        self.armed_for = next.due_at;
        let after = next.due_at as f64 / MICROS_PER_SECOND - now;
        Some(Action::SetTimer { after: after.max(resolution), token: next.due_at })
    }
}

fn to_micros(time: Seconds) -> u64 {
    (time.max(0.0) * MICROS_PER_SECOND).ceil() as u64
}
