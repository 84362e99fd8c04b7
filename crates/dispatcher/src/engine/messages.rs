//! Messages of the engine: its inputs, its commands to the network layer, and the final responses to jobs.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::oneshot;

use super::clock::Micros;
use dispatch_core::api::{
    Endpoint, JobSettings, ListScope, LoadReport, Outcome, Request, RequestId, Seconds, Settings, WorkerId,
    WorkerState,
};

/// Parts of a job that reach a worker unchanged.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// Id that the client gave to the request.
    pub id: Bytes,
    /// HTTP method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// Key by which workers recognize a retry.
    pub idempotency_key: Option<Bytes>,
    /// Body of the request.
    pub body: Bytes,
    /// Name of the request's class, a label of the metrics.
    pub class: Rc<str>,
    /// Set once the request is answered or its client has left; checked right before an attempt is written.
    pub concluded: Cell<bool>,
    /// Set right before the first byte of an attempt is written. While it is not set, the job has not run.
    pub write_started: Cell<bool>,
}

/// A job as a client submitted it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Request for the decision module; the engine fills in `id` and `timeout`.
    pub request: Request,
    /// Settings of the job, of the same configuration by which its request was checked.
    pub settings: JobSettings,
    /// Time for which the client waits.
    pub timeout: Micros,
    /// Parts of the job for the worker.
    pub payload: Payload,
}

/// The final response to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// Result of a worker.
    Served(Bytes),
    /// Admission rejected the job and nothing ran, so that a retry is harmless.
    Rejected {
        /// Time after which the client may try again, if the decision module named one.
        retry_after: Option<Seconds>,
    },
    /// No result; the job may have run.
    Failed,
    /// The request is invalid.
    Invalid(InvalidRequest),
}

/// Reason for which a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// Another open request has the same id.
    DuplicateId,
    /// A request with the same id may have run, and must not run again.
    RepeatedId,
    /// A worker answered that it cannot use the request.
    Unusable,
}

/// Identifies one attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// Request that the attempt serves.
    pub request: RequestId,
    /// Number of the attempt, from 0 on.
    pub number: u32,
}

/// Progress of an attempt at the time at which it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptStage {
    /// No connection was established.
    NotConnected,
    /// The request was not written to its last byte.
    PartiallyWritten,
    /// The last byte of the request was written.
    Written,
    /// The worker accepted the job.
    Started,
}

impl AttemptStage {
    /// Returns the outcome of an attempt whose connection ends at this stage.
    pub fn outcome_if_disconnected(self) -> Outcome {
        if self < AttemptStage::Written {
            Outcome::ConnectFailed
        } else {
            Outcome::Reset
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Attempt that ended.
    pub attempt: AttemptId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Result of the worker; empty unless the outcome is [`Outcome::Ok`].
    pub result: Bytes,
    /// Load report that came with the worker's last response.
    pub load: Option<LoadReport>,
}

impl AttemptEnd {
    /// Returns the end of an attempt without a result or a load report.
    pub fn without_result(attempt: AttemptId, outcome: Outcome) -> AttemptEnd {
        AttemptEnd { attempt, outcome, result: Bytes::new(), load: None }
    }
}

/// An entry of the endpoint list, with the address on which the worker listens.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// Entry for the decision module.
    pub endpoint: Endpoint,
    /// Address of the worker, if the list has one.
    pub address: Option<SocketAddr>,
}

impl ListedEndpoint {
    /// Returns whether the worker takes new work.
    pub fn accepts_work(&self) -> bool {
        self.endpoint.state == WorkerState::Serving
    }
}

/// A message to the engine.
#[derive(Debug)]
pub enum Input {
    /// A client submitted a job.
    Submit {
        /// Id of the request, drawn by [`Handle::submit`](super::Handle::submit).
        id: RequestId,
        /// Job as the client submitted it.
        job: Box<Job>,
        /// Channel for the final response.
        response_sender: oneshot::Sender<FinalResponse>,
    },
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// A worker began to run the job of an attempt.
    JobStarted(AttemptId),
    /// A worker reported progress of a job.
    Progress {
        /// Attempt that runs the job.
        attempt: AttemptId,
        /// Part of the job that is done, from 0 to 1.
        done: f64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A health check ended. Each [`Command::HealthCheck`] leads to this input; commands for a worker whose check is in
    /// flight share that check and its end.
    HealthCheckEnded {
        /// Worker that was checked.
        worker: WorkerId,
        /// Whether the worker answered that it is healthy.
        healthy: bool,
        /// Load report in the worker's response.
        load: Option<LoadReport>,
    },
    /// The cluster's health checks found a worker unhealthy, or healthy again.
    UnhealthyReported {
        /// Worker to which the verdict applies.
        worker: WorkerId,
        /// Time since the last failed health check.
        observed_ago: Micros,
        /// Time for which the verdict stays in force; 0 withdraws it.
        valid_for: Micros,
    },
    /// The cluster granted this process work at a worker in slow start.
    QuotaGranted {
        /// Worker in slow start.
        worker: WorkerId,
        /// Work in slot-seconds.
        work: f64,
        /// End of the grant.
        expires_at: Micros,
    },
    /// The endpoint list, or a part of it.
    EndpointList {
        /// Whether `endpoints` is the whole list or a part of it.
        scope: ListScope,
        /// Entries of the list.
        endpoints: Vec<ListedEndpoint>,
    },
    /// The memory limit of the process changes, in bytes.
    MemoryLimit(usize),
    /// New settings take effect, for the jobs that are accepted from now on.
    Configure(Box<Settings>),
    /// A graceful shutdown began: this instance releases its slow-start share, because a successor may already use it.
    Draining,
    /// The process ends: the engine answers all open requests immediately.
    Shutdown,
    /// Marks a position in the queue: the sender is dropped once all earlier inputs are handled.
    Barrier(oneshot::Sender<()>),
}

/// A command of the engine to the network layer.
#[derive(Debug)]
pub enum Command {
    /// Send a job to a worker.
    Attempt {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Worker that receives the job.
        worker: WorkerId,
        /// Parts of the job for the worker.
        payload: Rc<Payload>,
        /// Time at which the dispatcher stops waiting.
        deadline: Micros,
        /// End of the retry window of an earlier attempt that may have run: nothing is written after it.
        not_after: Micros,
    },
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Poll a worker's load report, or its health if workers report no load.
    HealthCheck(WorkerId),
    /// Close the idle connections to a worker.
    CloseIdle(WorkerId),
    /// Update addresses and states of workers; with [`ListScope::Full`], workers without an entry are removed.
    EndpointList {
        /// Whether `endpoints` is the whole list or a part of it.
        scope: ListScope,
        /// Entries of the list.
        endpoints: Vec<ListedEndpoint>,
    },
}
