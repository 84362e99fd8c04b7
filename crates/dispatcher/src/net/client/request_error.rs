//! Errors of requests that are not accepted as jobs.

use crate::net::http::status::{self, reason, Status};
use crate::net::http::Malformed;

/// Error of a request that is not accepted; its text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// The message breaks HTTP/1.1 or a limit.
    #[error("{}", reason(.0.status()))]
    Malformed(#[from] Malformed),
    /// The target is no path of graphic characters.
    #[error("the target must be a path")]
    InvalidTarget,
    /// The method of a health check is wrong.
    #[error("ask for this with GET")]
    HealthMethod,
    /// The path names no class.
    #[error("there is no such class of request")]
    UnknownClass,
    /// The method of a job is wrong.
    #[error("jobs come by POST")]
    JobMethod,
    /// A header that may occur once occurs more often.
    #[error("a header that must come once comes again")]
    RepeatedHeader,
    /// The request has no id.
    #[error("Request-Id is missing")]
    MissingRequestId,
    /// The request has no idempotency key, which its class requires.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// The id or the idempotency key is too long or has other than graphic characters.
    #[error("Request-Id and Idempotency-Key are plain words")]
    InvalidId,
    /// The request names no tenant.
    #[error("Tenant is missing")]
    MissingTenant,
    /// The settings have no such tenant.
    #[error("there is no such Tenant")]
    UnknownTenant,
    /// The timeout is no whole number.
    #[error("Request-Timeout-Ms is no whole number")]
    InvalidTimeout,
    /// The expected running time is no whole number.
    #[error("Work-Hint is no whole number of microseconds")]
    InvalidWorkHint,
    /// A figure of the job is no number.
    #[error("Request-Info holds what is no number")]
    InvalidRequestInfo,
    /// The request was not complete in time.
    #[error("the request did not come in time")]
    Timeout,
    /// The client ended its sending while it waited for the answer.
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
            RequestError::ClientDisconnected => status::BAD_GATEWAY,
            _ => status::BAD_REQUEST,
        }
    }
}
