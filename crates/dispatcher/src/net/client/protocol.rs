//! Protocol of the clients: paths, methods, headers and response bodies as they are on the wire.

/// Path of the dispatcher's health check.
pub(super) const HEALTH_PATH: &str = "/healthz";
/// Method of health checks.
pub(super) const HEALTH_METHOD: &[u8] = b"GET";
/// Method of jobs.
pub(super) const JOB_METHOD: &[u8] = b"POST";

/// Header with the id of a request.
pub(super) const REQUEST_ID_HEADER: &str = "Request-Id";
/// Header with the key by which workers recognize a repeated request.
pub(super) const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
/// Header with the name of the tenant.
pub(super) const TENANT_HEADER: &str = "Tenant";
/// Header with the time for which the client waits, in milliseconds.
pub(super) const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";
/// Header with the expected running time on a standard core, in microseconds.
pub(super) const WORK_HINT_HEADER: &str = "Work-Hint";
/// Header of a client's retry; its value is then [`CLIENT_RETRY`].
pub(super) const CLIENT_RETRY_HEADER: &str = "Client-Retry";
/// Value of [`CLIENT_RETRY_HEADER`].
pub(super) const CLIENT_RETRY: &str = "1";
/// Header with figures of the job, as `name=value` separated by commas.
pub(super) const REQUEST_INFO_HEADER: &str = "Request-Info";
/// Header that announces that the client waits for an interim response before it sends the body.
pub(super) const EXPECT_HEADER: &str = "Expect";
/// Value of [`EXPECT_HEADER`].
pub(super) const EXPECT_CONTINUE: &str = "100-continue";
/// Interim response to [`EXPECT_CONTINUE`].
pub(super) const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Headers that a request may contain only once, because a worker might use a different one of several values.
pub(super) const SINGLE_HEADERS: [&str; 6] = [
    REQUEST_ID_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    TENANT_HEADER,
    TIMEOUT_HEADER,
    WORK_HINT_HEADER,
    CLIENT_RETRY_HEADER,
];

/// Prefix of the query parameter with the affinity key.
pub(super) const AFFINITY_KEY_PARAMETER: &str = "sid=";

/// A figure in [`REQUEST_INFO_HEADER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestFigure {
    /// Number of slots that the job occupies.
    Slots,
    /// Memory that the job occupies, in memory units.
    Memory,
    /// Expected running time, in seconds.
    ExpectedRunTime,
}

impl RequestFigure {
    /// Returns the figure with this name; each figure has two names.
    pub(super) fn from_name(name: &str) -> Option<RequestFigure> {
        match name {
            "slots" | "cores-needed" => Some(RequestFigure::Slots),
            "memory" | "ram-units" => Some(RequestFigure::Memory),
            "hint" | "expected-s" => Some(RequestFigure::ExpectedRunTime),
            _ => None,
        }
    }
}

/// Body of the response to a health check of a dispatcher that is ready.
pub(super) const READY_BODY: &[u8] = b"ready\n";
/// Body of the response to a request that was rejected.
pub(super) const REJECTED_BODY: &[u8] = b"try again later\n";
/// Body of the response to a request with the id of another open request.
pub(super) const DUPLICATE_ID_BODY: &[u8] = b"a request of this id is open";
/// Body of the response to a request with the id of an earlier one that may have run.
pub(super) const REPEATED_ID_BODY: &[u8] = b"a request of this id may have run";
/// Body of the response to a request that no worker can use.
pub(super) const UNUSABLE_BODY: &[u8] = b"no worker can use this request";
/// Body of the response to a job that failed.
pub(super) const FAILED_BODY: &[u8] = b"the job failed\n";
