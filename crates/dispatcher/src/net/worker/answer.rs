//! Responses of workers to attempts.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde_json::value::RawValue;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{timeout_at, Instant};

use super::attempt::AttemptGuard;
use super::pool::ResponseIdentity;
use super::protocol::{JobState, ResponseLine, LOAD_HEADER, NOT_STARTED, NOT_STARTED_HEADER};
use crate::engine::{AttemptStage, Payload};
use crate::net::http::status::{self, Status};
use crate::net::http::{Decoder, Framing, Head, Lines, Malformed, Piece, MAX_BODY};
use crate::net::{read_response_bytes, read_response_head, ResponseMemory};
use dispatch_core::api::Outcome;
use dispatch_core::hashing::worker_id;

/// Maximum length of a line of a response, in bytes: a result as large as a body, with room for escapes.
const MAX_LINE_BYTES: usize = 2 * MAX_BODY + 1024;
/// Time within which the framing of a response must end after its last line for the connection to be used again.
const FRAMING_TIMEOUT: Duration = Duration::from_millis(200);

/// State of a connection after a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection can be used for another request.
    Reusable(ResponseIdentity),
    /// The worker closes the connection, or sent bytes after the response.
    Closing,
}

/// Error that makes a connection unusable before the framing of the response ends.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// The connection ended.
    #[error("the connection ended within the response")]
    Disconnected,
    /// The response violates HTTP/1.1 or exceeds a limit.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// A line is invalid or belongs to another request.
    #[error("a line of the response is invalid")]
    InvalidLine,
    /// The response ended without a final state.
    #[error("the response has no final state")]
    Incomplete,
    /// The framing did not end in time after the final state.
    #[error("the response did not end in time")]
    FramingTimeout,
}

/// Reads the response to an attempt and reports the end of the attempt.
///
/// # Errors
/// Returns [`ResponseError`] if the connection cannot be used again; the end of the attempt may be reported already.
pub(super) async fn read_response(
    stream: &mut TcpStream,
    payload: &Payload,
    guard: &mut AttemptGuard,
) -> Result<ConnectionState, ResponseError> {
    let mut buffer = BytesMut::new();
    let reservation = guard.pool.memory.responses.reservation();
    let mut memory = ResponseMemory { reservation, max_bytes: MAX_LINE_BYTES };
    let response = read_response_head(stream, &mut buffer, &mut memory).await;
    let (status, head) = response.ok_or(ResponseError::Disconnected)?;
    if status == status::OK {
        guard.stage = AttemptStage::Started;
    } else {
        report_status(status, &head, guard);
    }
    if let Framing::Length(length) = head.framing {
        memory.max_bytes = MAX_LINE_BYTES.min(usize::try_from(length).unwrap_or(usize::MAX));
    }
    let decoder = Decoder::new(head.framing);
    let mut reader = BodyReader { stream, buffer, decoder, lines: Lines::default(), memory };
    reader.read_lines(payload, guard).await?;
    reader.skip_rest().await?;
    if head.keep_alive && reader.buffer.is_empty() {
        Ok(ConnectionState::Reusable(ResponseIdentity::of_status(status)))
    } else {
        Ok(ConnectionState::Closing)
    }
}

/// Reports the end of an attempt that was answered with an error status.
fn report_status(status: Status, head: &Head, guard: &mut AttemptGuard) {
    let not_started = head.header_text(NOT_STARTED_HEADER) == Some(NOT_STARTED);
    let report = head.header_text(LOAD_HEADER);
    guard.load = report.and_then(|text| guard.pool.parse_load_report(|format| format.parse_text(text)));
    guard.report(outcome_of_status(status, not_started), Bytes::new());
}

fn outcome_of_status(status: Status, not_started: bool) -> Outcome {
    match status {
        status::SERVICE_UNAVAILABLE | status::GATEWAY_TIMEOUT if not_started => Outcome::Overloaded,
        // Errors of the worker, unlike the other 4xx, which mean that the request is invalid.
        status::REQUEST_TIMEOUT | status::TOO_MANY_REQUESTS => Outcome::Error,
        400..=499 => Outcome::InvalidRequest,
        _ => Outcome::Error,
    }
}

/// Reads the body of a response.
struct BodyReader<'a> {
    stream: &'a mut TcpStream,
    buffer: BytesMut,
    decoder: Decoder,
    lines: Lines,
    memory: ResponseMemory,
}

impl BodyReader<'_> {
    /// Handles lines until the end of the attempt is reported.
    async fn read_lines(&mut self, payload: &Payload, guard: &mut AttemptGuard) -> Result<(), ResponseError> {
        while !guard.is_reported() {
            match self.decoder.next(&mut self.buffer)? {
                Piece::Data(data) => {
                    // No line is longer than what is reserved for the response.
                    self.lines.add(data, self.memory.max_bytes)?;
                    while let Some(line) = self.lines.next_line() {
                        handle_line(&line, payload, guard, &mut self.memory)?;
                    }
                }
                Piece::More => {
                    // A worker may send progress faster than the engine handles it, and is not read meanwhile.
                    guard.report_progress().await;
                    if !self.read_more().await? {
                        handle_line(&self.lines.rest(), payload, guard, &mut self.memory)?;
                        return Err(ResponseError::Disconnected);
                    }
                }
                Piece::End => {
                    handle_line(&self.lines.rest(), payload, guard, &mut self.memory)?;
                    if !guard.is_reported() {
                        return Err(ResponseError::Incomplete);
                    }
                }
            }
        }
        Ok(())
    }

    /// Skips the rest of the body, which must end within [`FRAMING_TIMEOUT`].
    async fn skip_rest(&mut self) -> Result<(), ResponseError> {
        let deadline = Instant::now() + FRAMING_TIMEOUT;
        loop {
            match self.decoder.next(&mut self.buffer)? {
                Piece::Data(_) => {}
                Piece::End => return Ok(()),
                Piece::More => {
                    let read = timeout_at(deadline, self.read_more()).await;
                    if !read.map_err(|_| ResponseError::FramingTimeout)?? {
                        return Err(ResponseError::Disconnected);
                    }
                }
            }
        }
    }

    /// Reads more bytes; returns false at the end of the stream. Other tasks get a turn before each read, also if bytes
    /// arrive without a pause.
    async fn read_more(&mut self) -> Result<bool, ResponseError> {
        yield_now().await;
        let buffered = self.lines.len() + self.buffer.len();
        let read = read_response_bytes(self.stream, &mut self.buffer, buffered, &mut self.memory).await;
        read.map_err(|_| ResponseError::Disconnected)
    }
}

/// Handles a line. Empty lines, and lines after the end of the attempt, are ignored. A result takes its memory along.
fn handle_line(
    line: &Bytes,
    payload: &Payload,
    guard: &mut AttemptGuard,
    memory: &mut ResponseMemory,
) -> Result<(), ResponseError> {
    if guard.is_reported() || line.trim_ascii().is_empty() {
        return Ok(());
    }
    let response: ResponseLine<'_> = serde_json::from_slice(line).map_err(|_| ResponseError::InvalidLine)?;
    // Another worker may have taken over the address. Its response is not that of the worker chosen for this job.
    let is_other_worker = response.worker.is_some_and(|name| worker_id(&name) != guard.worker);
    if is_other_worker || response.request_id.as_bytes() != payload.id {
        return Err(ResponseError::InvalidLine);
    }
    if let Some(load) = response.load {
        guard.load = guard.pool.parse_load_report(|format| format.parse_json(load.get()));
    }
    match response.state {
        JobState::Started => guard.report_start(),
        JobState::Running => guard.unreported_progress = Some(response.done),
        JobState::Done => {
            let result = result_bytes(line, response.result).ok_or(ResponseError::InvalidLine)?;
            // A copy, because a slice would hold the whole buffer of its line.
            guard.report(Outcome::Ok, memory.reservation.take().attach(result.to_vec()));
        }
        JobState::Failed => guard.report(Outcome::Error, Bytes::new()),
        JobState::Rejected => guard.report(Outcome::Overloaded, Bytes::new()),
        JobState::Lost => guard.report(Outcome::Reset, Bytes::new()),
        JobState::Unknown => {}
    }
    Ok(())
}

/// Returns the result of a job: the text of a JSON string, as a slice of its line if it contains no escapes, or the
/// JSON text of another value.
fn result_bytes(line: &Bytes, result: Option<&RawValue>) -> Option<Bytes> {
    let json = result?.get();
    match json.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) {
        Some(plain) if !plain.contains('\\') => Some(line.slice_ref(plain.as_bytes())),
        Some(_) => serde_json::from_str::<String>(json).ok().map(Bytes::from),
        None => Some(line.slice_ref(json.as_bytes())),
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/answer.rs"]
mod tests;
