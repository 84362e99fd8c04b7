//! Events of a simulation, and their order in the event queue.

use std::cmp::Ordering;

use crate::day::Micros;
use crate::worker::JobEvent;

/// Event of a simulation. Submissions, attempts, dispatchers, workers, faults and publications are given by their
/// index.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    /// A client submits its job.
    Submit(u32),
    /// The client of a submission disconnects before its deadline.
    ClientLeaves(u32),
    /// The deadline of a submission is reached.
    Deadline(u32),
    /// A submission has no response although the grace after its deadline has passed.
    Overdue(u32),
    /// The timeout that the router set for an attempt is reached.
    AttemptTimeout(u32),
    /// A timer that the router set is due.
    Timer { dispatcher: u32, incarnation: u32, token: u64 },
    /// The connection for an attempt is open.
    ConnectionReady(u32),
    /// The request of an attempt arrives at its worker.
    ReachWorker(u32),
    /// The next event of a worker's model is due, unless the model has changed since it was scheduled.
    WakeWorker { worker: u32, schedule: u32 },
    /// An event that a worker reported arrives at the dispatcher of the attempt.
    JobEventArrives(u32, JobEvent),
    /// The connection for an attempt could not be opened.
    ConnectFailed(u32),
    /// A fault of the day is injected.
    Fault(u32),
    /// Discovery publishes the changes of a period.
    PublishList(u32),
    /// A publication arrives at the agent of a dispatcher.
    ListArrives { dispatcher: u32, publication: u32 },
    /// The drain of a worker's process is over, unless the process ended before.
    WorkerEnds { worker: u32, process: u32 },
    /// A new process of a worker starts.
    WorkerStarts(u32),
    /// A dispatcher that was killed starts again.
    DispatcherStarts(u32),
}

/// Event with its time. Events of the same time are handled in the order in which they were scheduled.
pub(super) struct QueuedEvent {
    pub(super) at: Micros,
    /// Position in the order of scheduling, from 1.
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
