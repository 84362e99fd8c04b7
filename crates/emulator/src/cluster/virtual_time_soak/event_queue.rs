//! Queue of the simulation's events, in the order of virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use coordination::{ClusterView, FencingToken, SessionId};

/// Identifies a renewal by the process that sent it, which is numbered among the processes of the member, and by the
/// time at which it was sent, by the member's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RenewalId {
    pub(super) process: u64,
    pub(super) sent_at: u64,
}

/// Event of the simulation. Members are given by their position.
pub(super) enum Event {
    SendRenewal(usize),
    RenewalArrives {
        from: usize,
        renewal: RenewalId,
        session: Option<SessionId>,
        applied_revision: u64,
    },
    ResponseArrives {
        to: usize,
        renewal: RenewalId,
        response: Response,
    },
    ViewArrives {
        to: usize,
        process: u64,
        session: SessionId,
        view: ClusterView,
    },
    /// The member sends effects of the leases that it holds.
    SendEffects(usize),
    EffectArrives {
        to: usize,
        token: FencingToken,
    },
    /// The leading coordinator proposes the commands that are due.
    LeaderTick,
    Fault,
}

impl Event {
    /// Returns the member that handles the event, or `None` if the coordinators or the simulation handle it.
    pub(super) fn member(&self) -> Option<usize> {
        match self {
            Event::SendRenewal(member) | Event::SendEffects(member) => Some(*member),
            Event::ResponseArrives { to, .. }
            | Event::ViewArrives { to, .. }
            | Event::EffectArrives { to, .. } => Some(*to),
            Event::RenewalArrives { .. } | Event::LeaderTick | Event::Fault => None,
        }
    }
}

/// Response of the coordinators to a renewal, with the state of the session.
pub(super) enum Response {
    Opened { session: SessionId, incarnation: u64, view: ClusterView },
    Renewed { session: SessionId, view: Option<ClusterView> },
    Expired,
}

/// An event with its time. Events with the same time are handled in the order in which they were scheduled.
struct ScheduledEvent {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Queue of events, with the virtual time of the last event that was removed.
#[derive(Default)]
pub(super) struct EventQueue {
    now: u64,
    /// Number of events scheduled so far.
    scheduled: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Returns the virtual time, in microseconds.
    pub(super) fn now(&self) -> u64 {
        self.now
    }

    /// Schedules an event after this many microseconds.
    pub(super) fn schedule(&mut self, after: u64, event: Event) {
        self.scheduled += 1;
        let scheduled = ScheduledEvent { at: self.now + after, order: self.scheduled, event };
        self.events.push(Reverse(scheduled));
    }

    /// Removes the next event and advances the virtual time to it. Returns `None` if the next event is later than
    /// `until`.
    pub(super) fn next_until(&mut self, until: u64) -> Option<Event> {
        let Reverse(next) = self.events.pop()?;
        if next.at > until {
            return None;
        }
        self.now = next.at;
        Some(next.event)
    }
}
