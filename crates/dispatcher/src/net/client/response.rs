//! Responses to clients.

use std::fmt::Write as _;

use bytes::buf::Chain;
use bytes::{Buf, Bytes};

use super::protocol::{DUPLICATE_ID_BODY, FAILED_BODY, REJECTED_BODY, REPEATED_ID_BODY, UNUSABLE_BODY};
use super::request_error::RequestError;
use crate::engine::{micros, FinalResponse, InvalidRequest};
use crate::net::http::status::{self, reason, Status};
use dispatch_core::api::Seconds;

/// Retry-After of requests that are rejected because the memory for requests is used up.
const MEMORY_RETRY_AFTER: Seconds = 1.0;

/// A response to a client.
pub(super) struct Response {
    status: Status,
    retry_after: Option<Seconds>,
    body: Bytes,
}

impl Response {
    fn new(status: Status, body: Bytes) -> Response {
        Response { status, retry_after: None, body }
    }

    /// Encodes the response; without `keep_alive`, it announces that the connection will be closed.
    pub(super) fn encode(self, keep_alive: bool) -> Chain<Bytes, Bytes> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
            self.status,
            reason(self.status),
            self.body.len()
        );
        if let Some(retry_after) = self.retry_after {
            // Rounded up, since a client that returns early is rejected again.
            let millis = micros(retry_after).div_ceil(1000);
            // Writing to a String cannot fail.
            let _ = write!(head, "Retry-After: {}.{:03}\r\n", millis / 1000, millis % 1000);
        }
        if !keep_alive {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        Bytes::from(head).chain(self.body)
    }
}

impl From<FinalResponse> for Response {
    fn from(response: FinalResponse) -> Response {
        match response {
            FinalResponse::Served(result) => Response::new(status::OK, result),
            FinalResponse::Rejected { retry_after } => {
                let body = Bytes::from_static(REJECTED_BODY);
                Response { status: status::SERVICE_UNAVAILABLE, retry_after, body }
            }
            FinalResponse::Invalid(InvalidRequest::DuplicateId) => {
                Response::new(status::CONFLICT, Bytes::from_static(DUPLICATE_ID_BODY))
            }
            FinalResponse::Invalid(InvalidRequest::RepeatedId) => {
                Response::new(status::CONFLICT, Bytes::from_static(REPEATED_ID_BODY))
            }
            FinalResponse::Invalid(InvalidRequest::Unusable) => {
                Response::new(status::BAD_REQUEST, Bytes::from_static(UNUSABLE_BODY))
            }
            FinalResponse::Failed => Response::new(status::BAD_GATEWAY, Bytes::from_static(FAILED_BODY)),
        }
    }
}

impl From<RequestError> for Response {
    fn from(error: RequestError) -> Response {
        let retry_after = (error == RequestError::MemoryExhausted).then_some(MEMORY_RETRY_AFTER);
        Response { status: error.status(), retry_after, body: Bytes::from(error.to_string()) }
    }
}
