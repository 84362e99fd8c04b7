//! The events of a simulation, and their order in its queue.

use std::cmp::Ordering;

use crate::day::Micros;
use crate::worker::JobEvent;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    Submit(u32),
    ClientLeaves(u32),
    Deadline(u32),
    Overdue(u32),
    AttemptDeadline(u32),
    Timer(u32, u32, u64),
    ConnectionReady(u32),
    ReachWorker(u32),
    WakeWorker(u32, u32),
    JobEventArrives(u32, JobEvent),
    ConnectFailed(u32),
    Fault(u32),
    PublishList(u32),
    ListArrives(u32, u32),
    WorkerEnds(u32, u32),
    WorkerStarts(u32),
    DispatcherStarts(u32),
}

pub(super) struct QueuedEvent {
    pub(super) at: Micros,
    pub(super) order: u64,
    pub(super) event: SimulationEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &QueuedEvent) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
