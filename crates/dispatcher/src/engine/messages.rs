//! What reaches the engine, and what it answers and commands.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::oneshot;

use super::clock::Micros;
use dispatch_core::api::{
    Endpoint, ListScope, LoadReport, Outcome, Request, RequestId, Seconds, Settings, WorkerId, WorkerState,
};

/// What a job carries to a worker, unchanged.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// The id that the client gave it.
    pub id: Bytes,
    /// The method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// By which workers know a repeat.
    pub idempotency_key: Option<Bytes>,
    /// The body.
    pub body: Bytes,
    /// The name of its class, for the figures.
    pub class: Rc<str>,
    /// It is answered, or nobody waits for an answer: no attempt is to begin any more. Looked at when one is written.
    pub concluded: Cell<bool>,
}

/// A job as it came in.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the module is told of it; `id` and `patience` are filled in by the engine.
    pub request: Request,
    /// How long the client waits.
    pub timeout: Micros,
    /// What a worker gets of it.
    pub payload: Payload,
}

/// The final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result of a worker.
    Served(Bytes),
    /// Declined; trying again does no harm.
    Refused(Option<Seconds>),
    /// Failed.
    Failed,
    /// Never a job.
    Rejected(InvalidRequest),
}

/// Why a request is no job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// Another request of this id is open.
    DuplicateId,
    /// A worker says that it cannot be used.
    Unusable,
}

/// How far an attempt got before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptStage {
    /// There was no connection.
    NotConnected,
    /// A part of the request was written at the most.
    PartiallyWritten,
    /// Its last byte was written.
    Written,
    /// The worker took the job.
    Started,
}

impl AttemptStage {
    /// What a connection that breaks at this point means.
    pub fn outcome_if_broken(self) -> Outcome {
        if self < AttemptStage::Written {
            Outcome::ConnectFailed
        } else {
            Outcome::Reset
        }
    }
}

/// An entry of the worker list, with where the worker listens.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// What the module is told.
    pub endpoint: Endpoint,
    /// Its address, where it has one.
    pub address: Option<SocketAddr>,
}

impl ListedEndpoint {
    /// It takes new work.
    pub fn accepts_work(&self) -> bool {
        self.endpoint.state == WorkerState::Serving
    }
}

/// What reaches the engine.
#[derive(Debug)]
pub enum Input {
    /// A job, and where its answer goes.
    Submit(RequestId, Box<Job>, oneshot::Sender<Answer>),
    /// The client left.
    ClientDisconnected(RequestId),
    /// A worker began a job.
    JobStarted(RequestId, u32),
    /// A job is done to this part.
    Progress(RequestId, u32, f64),
    /// An attempt ended; the bytes are the result of one that was served.
    AttemptEnded(RequestId, u32, Outcome, Bytes, Option<LoadReport>),
    /// A probe ended: whether the worker answered that it is well, and what it said of its load. Each
    /// [`Command::HealthCheck`] is followed by one; where a probe was out already, its end answers both.
    HealthCheckEnded(WorkerId, bool, Option<LoadReport>),
    /// One who watches workers for all saw this one fail so long ago, which may be held against it for so long.
    UnhealthyReported(WorkerId, Micros, Micros),
    /// One who hands cold budgets out for all granted so much work at this worker until then.
    QuotaGranted(WorkerId, f64, Micros),
    /// The worker list, or a part of it.
    EndpointList(ListScope, Vec<ListedEndpoint>),
    /// Other settings hold from here on.
    Configure(Box<Settings>),
    /// The program is to end, and its successor may serve already: give up what is shared by number.
    Draining,
    /// The program ends: answer what is open.
    Shutdown,
}

/// What the engine wants done.
#[derive(Debug)]
pub enum Command {
    /// Send the job to the worker.
    Attempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// Where to.
        worker: WorkerId,
        /// What.
        payload: Rc<Payload>,
        /// When the dispatcher stops waiting.
        deadline: Micros,
        /// Not to be written after this, since an attempt before it may have run: a connection may come up late.
        not_after: Micros,
    },
    /// Give an attempt up.
    Cancel(RequestId, u32),
    /// Ask a worker for its load, or where none is reported whether it is well.
    HealthCheck(WorkerId),
    /// Close the idle connections to a worker.
    CloseIdle(WorkerId),
    /// Where workers listen, and whether they take work; with [`ListScope::Full`] all others are gone.
    EndpointList(ListScope, Vec<ListedEndpoint>),
}
