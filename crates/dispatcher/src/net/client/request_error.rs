//! Errors of requests that are not accepted as jobs.

use crate::net::http::status::{self, reason, Status};
use crate::net::http::Malformed;

/// Error of a request that is not accepted as a job; its text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// The message violates HTTP/1.1 or exceeds a limit.
    #[error("{}", reason(.0.status()))]
    Malformed(#[from] Malformed),
    /// The target is not a path of printable ASCII characters.
    #[error("the target must be a path")]
    InvalidTarget,
    /// The method of a health check is wrong.
    #[error("ask for this with GET")]
    HealthMethod,
    /// The first segment of the path is not the name of a class.
    #[error("there is no such class of request")]
    UnknownClass,
    /// The method of a job is wrong.
    #[error("jobs come by POST")]
    JobMethod,
    /// A header that may occur only once is repeated.
    #[error("a header that must come once comes again")]
    RepeatedHeader,
    /// The request has no id.
    #[error("Request-Id is missing")]
    MissingRequestId,
    /// The request has no idempotency key, which its class requires.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// The id or the idempotency key is too long, or contains spaces or characters that are not printable ASCII.
    #[error("Request-Id and Idempotency-Key are plain words")]
    InvalidId,
    /// The request names no tenant.
    #[error("Tenant is missing")]
    MissingTenant,
    /// The settings contain no tenant with this name.
    #[error("there is no such Tenant")]
    UnknownTenant,
    /// The timeout is not a whole number.
    #[error("Request-Timeout-Ms is no whole number")]
    InvalidTimeout,
    /// The expected running time is not a whole number.
    #[error("Work-Hint is no whole number of microseconds")]
    InvalidWorkHint,
    /// A figure of the job is not a number of at least 0.
    #[error("Request-Info holds what is no number")]
    InvalidRequestInfo,
    /// The request was not complete in time.
    #[error("the request did not come in time")]
    Timeout,
    /// The memory for requests is used up; nothing ran.
    #[error("too many large requests at once")]
    MemoryExhausted,
    /// The client closed its sending direction while it waited for the response.
    #[error("the client left before the answer")]
    ClientDisconnected,
}

impl RequestError {
    /// Returns the status of the response.
    pub(super) fn status(self) -> Status {
        match self {
            RequestError::Malformed(malformed) => malformed.status(),
            RequestError::UnknownClass => status::NOT_FOUND,
            RequestError::HealthMethod | RequestError::JobMethod => status::METHOD_NOT_ALLOWED,
            RequestError::Timeout => status::REQUEST_TIMEOUT,
            RequestError::MemoryExhausted => status::SERVICE_UNAVAILABLE,
            RequestError::ClientDisconnected => status::BAD_GATEWAY,
            _ => status::BAD_REQUEST,
        }
    }
}
