//! Events of the simulation in the order of virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use coordination::{ClusterView, FencingToken, SessionId};

/// Identifies a renewal: the process that sent it, by its number among those of the member, and the time of the send by the
/// member's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RenewalId {
    pub(super) process: u64,
    pub(super) sent_at: u64,
}

/// Event; members are given by their position.
pub(super) enum Event {
    SendRenewal(usize),
    RenewalArrives {
        from: usize,
        renewal: RenewalId,
        session: Option<SessionId>,
        applied_revision: u64,
    },
    ReplyArrives {
        to: usize,
        renewal: RenewalId,
        reply: Reply,
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
    /// Returns the member that handles the event, if it is one of a member.
    pub(super) fn member(&self) -> Option<usize> {
        match self {
            Event::SendRenewal(member) | Event::SendEffects(member) => Some(*member),
            Event::ReplyArrives { to, .. }
            | Event::ViewArrives { to, .. }
            | Event::EffectArrives { to, .. } => Some(*to),
            Event::RenewalArrives { .. } | Event::LeaderTick | Event::Fault => None,
        }
    }
}

/// Reply of the coordinators to a renewal: the state of the session.
pub(super) enum Reply {
    Opened { session: SessionId, incarnation: u64, view: ClusterView },
    Renewed { session: SessionId, view: Option<ClusterView> },
    Expired,
}

/// An event with its time. Events of one time keep the order in which they were scheduled.
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

/// Queue of events, with the virtual time of the last one that was taken.
#[derive(Default)]
pub(super) struct EventQueue {
    now: u64,
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

    /// Takes the next event, if one is due by this time, and advances the virtual time to it.
    pub(super) fn next_until(&mut self, until: u64) -> Option<Event> {
        let Reverse(next) = self.events.pop()?;
        if next.at > until {
            return None;
        }
        self.now = next.at;
        Some(next.event)
    }
}
