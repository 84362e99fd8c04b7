//! The events that a caller passes to a dispatcher, and the types in them.

use super::ids::{RequestId, Seconds, WorkerId};
use super::job_settings::JobSettings;
use super::settings::Settings;
use crate::load_report::LoadReport;

/// A request of a client for a job to run.
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
    /// Memory that the job needs, in memory units; 0 if memory is not counted.
    pub memory: f64,
    /// Time from now for which the client waits for a response.
    pub timeout: Seconds,
    /// Whether the client marked the request as a retry; ignored unless [`Settings::clients_mark_retries`] is set.
    pub is_retry: bool,
    /// Expected running time on a standard core, if the client sent a hint.
    pub expected_run_time: Option<Seconds>,
    /// Key of the data that the job needs; a worker may still hold that data from an earlier job with this key.
    pub affinity_key: Option<u64>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker ran the job and responded.
    Ok,
    /// The worker responded with an error; the job may have run.
    Error,
    /// The worker rejected the job because it lacks capacity; the job never ran.
    Overloaded,
    /// No response arrived in time; the job may have run or may still be running.
    Timeout,
    /// No connection could be established; the job never ran.
    ConnectFailed,
    /// The connection ended before a response; the job may have run.
    Reset,
    /// The attempt was canceled; the job may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// An idle connection ended as soon as it was used again, because the worker had closed it. The request was
    /// written completely, so the job may have run; this does not count as a failure of the worker.
    StaleConnection,
    /// Every worker would reject the request as invalid; the job never ran, and the worker is not at fault.
    InvalidRequest,
}

impl Outcome {
    /// Whether the job certainly did not run.
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
    /// The worker accepts jobs.
    #[default]
    Serving,
    /// The worker finishes its jobs and accepts no new ones.
    Draining,
    /// The worker was withdrawn from service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Kind of machine, as a number.
    pub kind: u32,
    /// Zone, as a number.
    pub zone: u32,
    /// Cell, as a number: a group of workers that may share their idempotency keys.
    pub cell: u32,
    /// Time of the worker's last start; 0 if it started long ago.
    pub started_at: Seconds,
    /// State of the worker.
    pub state: WorkerState,
}

/// The part of the endpoint list that an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The whole list; workers that are absent from it are removed.
    Full,
    /// The whole list as it was saved before a restart; it may be out of date.
    Cached,
    /// Only the endpoints that changed.
    Incremental,
    /// No endpoints: a poll failed or the watch ended.
    Failed,
}

/// An input of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The settings changed. Existing classes and tenants keep their positions; new ones may be appended. Open jobs
    /// keep the settings under which they were accepted.
    Settings(&'a Settings),
    /// A request was accepted by the caller.
    Request {
        /// The request.
        request: Request,
        /// Settings of the job, as they were when the caller accepted the request.
        settings: JobSettings,
    },
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
        /// The part of the job that has been completed, from 0 to 1.
        done: f64,
    },
    /// An attempt ended. The caller passes exactly one such event for each [`Action::Send`](super::Action::Send).
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Whether the client has its final response, by this outcome or earlier.
        complete: bool,
        /// Load report of the worker, if the response carried one.
        load: Option<LoadReport>,
    },
    /// The client disconnected and expects no response any more.
    ClientDisconnected(RequestId),
    /// The timer set with [`Action::SetTimer`](super::Action::SetTimer) fired.
    Timer(u64),
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// Whether the worker responded.
        ok: bool,
        /// Load report of the worker, if the probe returned one.
        load: Option<LoadReport>,
    },
    /// A health checker, which probes workers on behalf of all dispatchers, found a worker unhealthy or withdraws that
    /// verdict.
    UnhealthyVerdict {
        /// The worker.
        worker: WorkerId,
        /// Time since the failure was observed; a sign of life that this dispatcher saw since then overrides the
        /// verdict.
        observed_ago: Seconds,
        /// Time from now for which the verdict is valid; 0 if it is withdrawn.
        valid_for: Seconds,
    },
    /// The leader that allocates slow-start budgets granted this dispatcher work beyond its planned share.
    SlowStartGrant {
        /// The worker in slow start.
        worker: WorkerId,
        /// Work that may be sent to it, in slot-seconds on a standard core.
        work: f64,
        /// Time until which the grant is valid.
        expires_at: Seconds,
    },
    /// The endpoint list or a part of it arrived, or a request for it failed.
    EndpointList {
        /// The part of the list that arrived.
        scope: ListScope,
        /// Endpoints in that part.
        endpoints: &'a [Endpoint],
    },
    /// A message from another dispatcher.
    PeerMessage {
        /// Instance number of the sender.
        from: u32,
        /// Content of the message.
        data: &'a [u8],
    },
}
