//! Reasons for which a client connection ends.

use super::request_error::RequestError;
use crate::net::http::Malformed;
use crate::net::memory::MemoryExhausted;
use crate::net::read_buffer::ReadError;

/// Reason for which a connection ends.
pub(super) enum ConnectionEnd {
    /// Regular end after a response or between requests.
    Close,
    /// The client disconnected, or the connection failed.
    Lost,
    /// Closed unread, before its first request, in favor of another connection.
    Evicted,
    /// Closed after the response to an invalid request.
    Error(RequestError),
}

impl From<MemoryExhausted> for ConnectionEnd {
    fn from(_: MemoryExhausted) -> Self {
        ConnectionEnd::Error(RequestError::MemoryExhausted)
    }
}

impl From<ReadError> for ConnectionEnd {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Memory(exhausted) => exhausted.into(),
            ReadError::Socket(_) => ConnectionEnd::Lost,
        }
    }
}

impl From<Malformed> for ConnectionEnd {
    fn from(malformed: Malformed) -> Self {
        ConnectionEnd::Error(malformed.into())
    }
}
