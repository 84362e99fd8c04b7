//! The events that a dispatcher takes, and the types in them.

use super::ids::{RequestId, Seconds, WorkerId};
use super::settings::Settings;
use crate::load_report::LoadReport;

/// A job as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class: a position in [`Settings::classes`].
    pub class: u32,
    /// Its tenant: a position in [`Settings::tenants`].
    pub tenant: u32,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs, in units; 0 where memory is not counted.
    pub memory: f64,
    /// How long the client waits from now.
    pub timeout: Seconds,
    /// It is a client's retry, where clients mark them.
    pub is_retry: bool,
    /// Its expected running time on a standard core, where the client gave a hint.
    pub expected_run_time: Option<Seconds>,
    /// The data that it needs; a worker may still hold it from an earlier job of that key.
    pub affinity_key: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// The worker rejected it for want of capacity; it never ran.
    Overloaded,
    /// No answer in time; it may have run or be running.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// An idle connection broke as soon as it was used again: the worker had closed it. Only the request
    /// was written whole, so it may have run; it is no failure of the worker.
    StaleConnection,
    /// The worker cannot use the request, and no other could; it never ran and the worker is not at fault.
    InvalidRequest,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
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
    /// Takes work.
    #[default]
    Serving,
    /// Finishes what it has and takes no more.
    Draining,
    /// Withdrawn.
    Removed,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its kind of machine.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// When it last started; 0 for long ago.
    pub started_at: Seconds,
    /// Its state.
    pub state: WorkerState,
}

/// What part of the endpoint list an event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All of it; a worker that is absent is gone.
    Full,
    /// All of it as last known before a restart, possibly out of date.
    Cached,
    /// Changed lines only.
    Incremental,
    /// Nothing: a call failed or the watch broke.
    Failed,
}

/// An input of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Other settings hold from here on. Classes and tenants keep their positions; new ones may follow them.
    Settings(&'a Settings),
    /// A request arrived.
    Request(Request),
    /// A streamed answer began.
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
    /// A job is running and this part of it is done.
    Progress {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// From 0 to 1.
        done: f64,
    },
    /// An attempt ended; exactly one for each [`Action::Send`](super::Action::Send).
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// The request has its final answer, by this outcome or earlier.
        complete: bool,
        /// The worker's load report, where one came with the response.
        load: Option<LoadReport>,
    },
    /// The client left; no answer is owed.
    ClientDisconnected(RequestId),
    /// The timer set with [`Action::SetTimer`](super::Action::SetTimer) fired.
    Timer(u64),
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// It answered.
        ok: bool,
        /// Its load report.
        load: Option<LoadReport>,
    },
    /// A health checker, which probes workers for all dispatchers, saw this one fail, or takes that back.
    UnhealthyVerdict {
        /// The worker.
        worker: WorkerId,
        /// How long ago it was seen failing; what it did for us since then counts for more.
        observed_ago: Seconds,
        /// How long this may be held against it from now on; 0 where nothing is any more.
        valid_for: Seconds,
    },
    /// The leader that hands the slow-start budgets out for all dispatchers granted more than the planned share.
    SlowStartGrant {
        /// The worker in slow start.
        worker: WorkerId,
        /// How much may be sent there, in slots by seconds on a standard core.
        work: f64,
        /// Until when.
        expires_at: Seconds,
    },
    /// The endpoint list, or a part of it.
    EndpointList {
        /// Which part.
        scope: ListScope,
        /// Its lines.
        endpoints: &'a [Endpoint],
    },
    /// A message from another dispatcher.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The bytes.
        data: &'a [u8],
    },
}
