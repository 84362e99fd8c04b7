//! Events of a dispatcher, and the types in them.

use super::ids::{RequestId, Seconds, WorkerId};
use super::settings::Settings;
use crate::load_report::LoadReport;

/// A job as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class, as a position in [`Settings::classes`].
    pub class: u32,
    /// Tenant, as a position in [`Settings::tenants`].
    pub tenant: u32,
    /// Slots that the job needs.
    pub slots: f64,
    /// Memory that the job needs, in units; 0 where memory is not counted.
    pub memory: f64,
    /// Time for which the client waits from now.
    pub timeout: Seconds,
    /// Whether this is a client's retry, where clients mark them.
    pub is_retry: bool,
    /// Expected running time on a standard core, where the client gave a hint.
    pub expected_run_time: Option<Seconds>,
    /// Key of the data that the job needs; a worker may still have it from an earlier job of that key.
    pub affinity_key: Option<u64>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker responded with an error; the job may have run.
    Error,
    /// The worker rejected the job for want of capacity; it never ran.
    Overloaded,
    /// No response in time; the job may have run or be running.
    Timeout,
    /// No connection could be made; the job never ran.
    ConnectFailed,
    /// The connection broke; the job may have run.
    Reset,
    /// Cancelled; the job may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// An idle connection broke as soon as it was used again: the worker had closed it. The request was written
    /// completely, so the job may have run; this is no failure of the worker.
    StaleConnection,
    /// The request is invalid for any worker; the job never ran and the worker is not at fault.
    InvalidRequest,
}

impl Outcome {
    /// Whether the job is certain not to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::InvalidRequest
        )
    }

    /// Whether the worker responded.
    pub fn is_response(self) -> bool {
        matches!(self, Outcome::Ok | Outcome::Overloaded | Outcome::Error | Outcome::InvalidRequest)
    }
}

/// The state of a worker on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes jobs.
    #[default]
    Serving,
    /// Finishes its jobs and takes no more.
    Draining,
    /// Withdrawn.
    Removed,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Kind of machine.
    pub kind: u32,
    /// Zone.
    pub zone: u32,
    /// Cell.
    pub cell: u32,
    /// Time of its last start; 0 for long ago.
    pub started_at: Seconds,
    /// State of the worker.
    pub state: WorkerState,
}

/// Part of the endpoint list in an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The whole list; a worker that is absent is removed.
    Full,
    /// The whole list as saved before a restart, possibly out of date.
    Cached,
    /// Changed endpoints only.
    Incremental,
    /// No endpoints: a poll failed or the watch broke.
    Failed,
}

/// An input of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Settings changed. Classes and tenants keep their positions; new ones may follow them.
    Settings(&'a Settings),
    /// A request arrived.
    Request(Request),
    /// A streamed response began.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A job began to run.
    JobStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A running job made progress.
    Progress {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// Part of the job that is done, from 0 to 1.
        done: f64,
    },
    /// An attempt ended; exactly one for each [`Action::Send`](super::Action::Send).
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Whether the request has its final answer, by this outcome or earlier.
        complete: bool,
        /// Load report of the worker, where one came with the response.
        load: Option<LoadReport>,
    },
    /// The client disconnected; no answer is expected any more.
    ClientDisconnected(RequestId),
    /// The timer set with [`Action::SetTimer`](super::Action::SetTimer) fired.
    Timer(u64),
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// Whether the worker responded.
        ok: bool,
        /// Load report of the worker.
        load: Option<LoadReport>,
    },
    /// A health checker, which probes workers for all dispatchers, found a worker unhealthy, or withdraws that verdict.
    UnhealthyVerdict {
        /// The worker.
        worker: WorkerId,
        /// Time since the failure was observed; any sign of life that this dispatcher saw since then counts for more.
        observed_ago: Seconds,
        /// Time for which the verdict is valid from now on; 0 where it is withdrawn.
        valid_for: Seconds,
    },
    /// The leader that allocates slow-start budgets to all dispatchers granted work beyond the planned share.
    SlowStartGrant {
        /// The worker in slow start.
        worker: WorkerId,
        /// Work that may be sent to it, in slots by seconds on a standard core.
        work: f64,
        /// Time until which the grant is valid.
        expires_at: Seconds,
    },
    /// The endpoint list or a part of it arrived, or could not be had.
    EndpointList {
        /// Part of the list.
        scope: ListScope,
        /// Endpoints in that part.
        endpoints: &'a [Endpoint],
    },
    /// A message from another dispatcher.
    PeerMessage {
        /// Number of the dispatcher.
        from: u32,
        /// The bytes.
        data: &'a [u8],
    },
}
