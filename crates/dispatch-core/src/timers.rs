//! The pending timer events of a dispatcher. The caller provides a single timer, which is armed for the earliest event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::api::{Action, RequestId, Seconds};

/// Tolerance within which a deadline counts as reached, because times are rounded to microseconds.
pub(crate) const TIMER_TOLERANCE: Seconds = 1e-6;

const MICROS_PER_SECOND: f64 = 1e6;
/// Value of [`TimerQueue::armed_for`] while the timer is not armed.
const NOT_ARMED: u64 = u64::MAX;

/// An event that is due at some time. Events that are due at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// The tokens for the job at the head of a tenant's job buffer have accrued.
    TokensDue(usize),
    /// An admitted job stops waiting for a free worker.
    PlacementTimeout(RequestId),
    /// A job that was not sent yet has no time left to start.
    QueueTimeout(RequestId),
    /// Workers of other zones must be probed for an admitted job that still waits.
    ProbeOtherZones(RequestId),
    /// The worker of a job in flight may have stalled.
    StallCheck(RequestId),
    /// A window of the admission rate ends.
    RateWindowEnd,
    /// The endpoint list may be requested again.
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

/// The pending events, and the state of the caller's timer.
#[derive(Debug)]
pub(crate) struct TimerQueue {
    pending: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Time for which the caller's timer is armed, in microseconds; [`NOT_ARMED`] if it is not armed.
    armed_for: u64,
}

impl Default for TimerQueue {
    fn default() -> Self {
        TimerQueue { pending: BinaryHeap::new(), armed_for: NOT_ARMED }
    }
}

impl TimerQueue {
    /// Adds an event.
    pub(crate) fn schedule(&mut self, at: Seconds, event: TimerEvent) {
        self.pending.push(Reverse(ScheduledEvent { due_at: to_micros(at), event }));
    }

    /// Removes and returns the next event that is due.
    pub(crate) fn next_due(&mut self, now: Seconds) -> Option<TimerEvent> {
        let Reverse(next) = *self.pending.peek()?;
        if next.due_at > to_micros(now) {
            return None;
        }
        self.pending.pop();
        Some(next.event)
    }

    /// Records that the caller's timer fired. The token of a timer that was replaced by an earlier one is ignored.
    pub(crate) fn on_fired(&mut self, token: u64) {
        if token >= self.armed_for {
            self.armed_for = NOT_ARMED;
        }
    }

    /// Returns the action that arms the caller's timer for the earliest event, or `None` if it is armed for that time
    /// or an earlier one. The token is the time, in microseconds.
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
