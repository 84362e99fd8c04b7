//! Protocol of the workers: paths, headers and lines of a response by their names on the wire.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

/// Path of a worker's load report.
pub(super) const LOAD_PATH: &str = "/load";
/// Path of a worker's health check.
pub(super) const HEALTH_PATH: &str = "/healthz";

/// Header with the id that the client gave a request.
pub(super) const REQUEST_ID_HEADER: &str = "Request-Id";
/// Header with the key by which workers recognize a repeated request.
pub(super) const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
/// Header with the time for which the dispatcher waits, in milliseconds.
pub(super) const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";
/// Header of a response to a request that did not run; its value is then [`NOT_STARTED`].
pub(super) const NOT_STARTED_HEADER: &str = "Not-Started";
/// Value of [`NOT_STARTED_HEADER`].
pub(super) const NOT_STARTED: &str = "1";
/// Header of a response with the worker's load report.
pub(super) const LOAD_HEADER: &str = "Server-Load";
/// Header field that asks the worker to close the connection after its response.
pub(super) const CLOSE_HEADER_FIELD: &str = "Connection: close\r\n";

/// State of a job in a line of a worker's response.
// `field_identifier` accepts a string only; the derived default would also accept an object with one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(field_identifier)]
pub(super) enum JobState {
    /// The worker began to run the job.
    #[serde(rename = "started")]
    Started,
    /// The worker reports progress.
    #[serde(rename = "running")]
    Running,
    /// The job succeeded; its result follows.
    #[serde(rename = "done")]
    Done,
    /// The job failed.
    #[serde(rename = "failed")]
    Failed,
    /// The worker rejected the job before it ran.
    #[serde(rename = "returned")]
    Rejected,
    /// The worker lost the job, which may have run.
    #[serde(rename = "lost")]
    Lost,
    /// A state that this version does not know; it is ignored.
    #[serde(other)]
    Unknown,
}

/// A line of a worker's response.
#[derive(Deserialize)]
pub(super) struct ResponseLine<'a> {
    /// Id of the request.
    #[serde(borrow, rename = "id")]
    pub(super) request_id: Cow<'a, str>,
    /// Name of the worker that responds, if the line states it.
    #[serde(borrow, default, rename = "from")]
    pub(super) worker: Option<Cow<'a, str>>,
    /// State of the job.
    pub(super) state: JobState,
    /// Part of the job that is done, from 0 to 1.
    #[serde(default, rename = "share")]
    pub(super) done: f64,
    /// Result of the job, in JSON.
    #[serde(borrow, default)]
    pub(super) result: Option<&'a RawValue>,
    /// Load report of the worker, in JSON.
    #[serde(borrow, default)]
    pub(super) load: Option<&'a RawValue>,
}
