//! Answers of workers to attempts.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde_json::value::RawValue;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::attempt::AttemptGuard;
use super::protocol::{AnswerLine, AnswerState, LOAD_HEADER, NOT_STARTED, NOT_STARTED_HEADER};
use crate::engine::{AttemptStage, Input, Payload};
use crate::net::http::status::{self, Status};
use crate::net::http::{Decoder, Head, Lines, Malformed, Piece, MAX_BODY};
use crate::net::{read_more, read_response_head};
use dispatch_core::api::Outcome;
use dispatch_core::hashing::worker_id;

/// Maximum length of a line of an answer: a result as large as a body, with room for escapes.
const MAX_LINE_BYTES: usize = 2 * MAX_BODY + 1024;
/// Time within which the framing of an answer must end after its last line for the connection to be used again.
const FRAMING_TIMEOUT: Duration = Duration::from_millis(200);

/// State of a connection after a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection can be used for another request.
    Reusable,
    /// The worker closes the connection, or sent bytes after the answer.
    Closing,
}

/// Error that makes a connection unusable before the answer's framing ends.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    /// The connection ended.
    #[error("the connection ended within the answer")]
    Disconnected,
    /// The answer breaks HTTP/1.1 or a limit.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// A line is invalid or answers another request.
    #[error("a line of the answer is invalid")]
    InvalidLine,
    /// The answer ended without a final state.
    #[error("the answer has no final state")]
    Incomplete,
    /// The framing did not end in time after the final state.
    #[error("the answer did not end in time")]
    FramingTimeout,
}

/// Reads the answer to an attempt and reports the attempt's end.
///
/// # Errors
/// Returns [`AnswerError`] if the connection cannot be used again; the attempt's end may have been reported before.
pub(super) async fn read_answer(
    stream: &mut TcpStream,
    payload: &Payload,
    guard: &mut AttemptGuard,
) -> Result<ConnectionState, AnswerError> {
    let mut buffer = BytesMut::new();
    let response = read_response_head(stream, &mut buffer).await;
    let (status, head) = response.ok_or(AnswerError::Disconnected)?;
    if status == status::OK {
        guard.stage = AttemptStage::Started;
    } else {
        report_status(status, &head, guard);
    }
    let mut reader = BodyReader { stream, buffer, decoder: Decoder::new(head.framing) };
    reader.read_lines(payload, guard).await?;
    reader.skip_rest().await?;
    if head.keep_alive && reader.buffer.is_empty() {
        Ok(ConnectionState::Reusable)
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

/// Reads the body of an answer.
struct BodyReader<'a> {
    stream: &'a mut TcpStream,
    buffer: BytesMut,
    decoder: Decoder,
}

impl BodyReader<'_> {
    /// Handles lines until the end of the attempt is reported.
    async fn read_lines(&mut self, payload: &Payload, guard: &mut AttemptGuard) -> Result<(), AnswerError> {
        let mut lines = Lines::default();
        while !guard.is_reported() {
            match self.decoder.next(&mut self.buffer)? {
                Piece::Data(data) => {
                    lines.add(data, MAX_LINE_BYTES)?;
                    while let Some(line) = lines.next_line() {
                        handle_line(&line, payload, guard)?;
                    }
                }
                Piece::More => {
                    if !self.read_more().await? {
                        handle_line(&lines.rest(), payload, guard)?;
                        return Err(AnswerError::Disconnected);
                    }
                }
                Piece::End => {
                    handle_line(&lines.rest(), payload, guard)?;
                    if !guard.is_reported() {
                        return Err(AnswerError::Incomplete);
                    }
                }
            }
        }
        Ok(())
    }

    /// Skips the rest of the body, which must end within [`FRAMING_TIMEOUT`].
    async fn skip_rest(&mut self) -> Result<(), AnswerError> {
        let deadline = Instant::now() + FRAMING_TIMEOUT;
        loop {
            match self.decoder.next(&mut self.buffer)? {
                Piece::Data(_) => {}
                Piece::End => return Ok(()),
                Piece::More => {
                    let read = timeout_at(deadline, self.read_more()).await;
                    if !read.map_err(|_| AnswerError::FramingTimeout)?? {
                        return Err(AnswerError::Disconnected);
                    }
                }
            }
        }
    }

    /// Reads more bytes; returns false at the end of the stream.
    async fn read_more(&mut self) -> Result<bool, AnswerError> {
        read_more(self.stream, &mut self.buffer).await.map_err(|_| AnswerError::Disconnected)
    }
}

/// Handles a line; lines after the attempt's end and empty ones are ignored.
fn handle_line(line: &Bytes, payload: &Payload, guard: &mut AttemptGuard) -> Result<(), AnswerError> {
    if guard.is_reported() || line.trim_ascii().is_empty() {
        return Ok(());
    }
    let answer: AnswerLine<'_> = serde_json::from_slice(line).map_err(|_| AnswerError::InvalidLine)?;
    // Another worker may have taken over the address; it did not get this job.
    let is_other_worker = answer.worker.is_some_and(|name| worker_id(&name) != guard.worker);
    if is_other_worker || answer.request_id.as_bytes() != payload.id {
        return Err(AnswerError::InvalidLine);
    }
    if let Some(load) = answer.load {
        guard.load = guard.pool.parse_load_report(|format| format.parse_json(load.get()));
    }
    let attempt = guard.attempt;
    match answer.state {
        AnswerState::Started => guard.pool.handle.send(Input::JobStarted(attempt)),
        AnswerState::Running => guard.pool.handle.send(Input::Progress { attempt, done: answer.done }),
        AnswerState::Done => {
            let result = result_bytes(line, answer.result).ok_or(AnswerError::InvalidLine)?;
            guard.report(Outcome::Ok, result);
        }
        AnswerState::Failed => guard.report(Outcome::Error, Bytes::new()),
        AnswerState::Rejected => guard.report(Outcome::Overloaded, Bytes::new()),
        AnswerState::Lost => guard.report(Outcome::Reset, Bytes::new()),
        AnswerState::Unknown => {}
    }
    Ok(())
}

/// Returns the result of a job: the text of a JSON string, as a slice of its line if it contains no escapes, or the JSON
/// text of another value.
fn result_bytes(line: &Bytes, result: Option<&RawValue>) -> Option<Bytes> {
    let json = result?.get();
    match json.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) {
        Some(plain) if !plain.contains('\\') => Some(line.slice_ref(plain.as_bytes())),
        Some(_) => serde_json::from_str::<String>(json).ok().map(Bytes::from),
        None => Some(line.slice_ref(json.as_bytes())),
    }
}
