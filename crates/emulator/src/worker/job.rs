//! Jobs as a worker receives them, and the events that it reports about them.

/// Number of an attempt, assigned by the execution mode that owns the worker.
pub type AttemptId = usize;

/// Job as it reaches a worker.
#[derive(Clone, Copy, Debug)]
pub struct AssignedJob {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Slots that the job occupies while it runs.
    pub slots: u32,
    /// Work in seconds at speed 1, for each slot.
    pub work: f64,
    /// Mean work of jobs of its class and size, in slot-seconds at speed 1. The overload of a warming worker is
    /// computed from the mean, since a sender cannot know the work of a single job.
    pub expected_work: f64,
    /// Whether the job ends in an error.
    pub fails: bool,
    /// Whether the dispatcher that sent it had been notified of the worker's start.
    pub sender_knew_start: bool,
}

/// Event that a worker reports about an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobEvent {
    /// The job started to run.
    Started(AttemptId),
    /// The job runs; reported once in each [`progress_interval`](super::progress_interval).
    Progress {
        /// Attempt whose job runs.
        attempt: AttemptId,
        /// Completed part of the work, from 0 to 1.
        completed_share: f64,
    },
    /// The job completed.
    Done(AttemptId),
    /// The job ended in an error.
    Failed(AttemptId),
    /// The job was rejected, or returned before it started.
    Rejected(AttemptId),
    /// The job was lost with the worker's process.
    Lost(AttemptId),
}

impl JobEvent {
    /// Returns the attempt that the event is about.
    pub fn attempt(&self) -> AttemptId {
        match *self {
            JobEvent::Progress { attempt, .. }
            | JobEvent::Started(attempt)
            | JobEvent::Done(attempt)
            | JobEvent::Failed(attempt)
            | JobEvent::Rejected(attempt)
            | JobEvent::Lost(attempt) => attempt,
        }
    }
}
