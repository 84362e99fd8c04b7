//! Responses to clients.

use bytes::Bytes;

use crate::engine::{micros, Answer, InvalidRequest};
use crate::net::http::status::reason;

/// A response, as its head and its body.
pub(super) fn encode_response(
    status: u16,
    retry_after: Option<f64>,
    keep: bool,
    body: Bytes,
) -> (Bytes, Bytes) {
    let mut head = format!("HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n", reason(status), body.len());
    if let Some(after) = retry_after {
        // Rounded up: a client that comes back early is declined again.
        let millis = micros(after).div_ceil(1000);
        head.push_str(&format!("Retry-After: {}.{:03}\r\n", millis / 1000, millis % 1000));
    }
    if !keep {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    (Bytes::from(head), body)
}

/// The response that gives a client its final answer.
pub(super) fn encode_answer(answer: Answer, keep: bool) -> (Bytes, Bytes) {
    match answer {
        Answer::Served(result) => encode_response(200, None, keep, result),
        Answer::Rejected { retry_after } => {
            encode_response(503, retry_after, keep, Bytes::from_static(b"try again later\n"))
        }
        Answer::Invalid(InvalidRequest::DuplicateId) => {
            encode_response(409, None, keep, Bytes::from_static(b"a request of this id is open"))
        }
        Answer::Invalid(InvalidRequest::Unusable) => {
            encode_response(400, None, keep, Bytes::from_static(b"no worker can use this request"))
        }
        Answer::Failed => encode_response(502, None, keep, Bytes::from_static(b"the job failed\n")),
    }
}
