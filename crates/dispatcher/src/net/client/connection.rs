//! A client connection: requests are read, submitted as jobs and answered, one after another.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use super::connection_end::ConnectionEnd;
use super::connection_limit::FirstRequestWait;
use super::disconnect::disconnected;
use super::request::{parse_request, ClientRequest};
use super::request_error::RequestError;
use super::response::Response;
use super::wait::{evicted, idle_close, request_overdue, REQUEST_TIMEOUT};
use super::ClientContext;
use crate::engine::{FinalResponse, InvalidRequest, Job};
use crate::net::http::{Head, HeadProgress, Start, MAX_BODY};
use crate::net::metrics::{InFlight, Outcome};
use crate::net::read_buffer::{ReadBuffer, ReadError};
use crate::net::shutdown::ShutdownPhase;
use crate::net::{has_unread_bytes, write_all};
use dispatch_core::api::Seconds;

/// Time within which a client must read its response.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which bytes are read and dropped after the last response. Closing a connection that has unread bytes resets
/// it, and the client would lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and dropped after the last response.
const LINGER_BYTES: usize = 4 * MAX_BODY;
/// Retry-After of requests that are rejected without a decision, because their connection was accepted near the limit.
const NEAR_LIMIT_RETRY_AFTER: Seconds = 1.0;

/// Event in the wait for the head of a request.
enum HeadEvent {
    /// A read returned: true with bytes, false at the end of the stream.
    Read(Result<bool, ReadError>),
    /// The connection is evicted in favor of another one.
    Evicted,
    /// The connection is idle and must be closed.
    IdleClose(ConnectionEnd),
    /// A request has begun and was not complete in time.
    RequestOverdue,
}

/// A client connection.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: ReadBuffer,
    pub(super) context: Rc<ClientContext>,
    /// Accepted near the limit on client connections: the first request is rejected, and the connection is closed.
    accepted_near_limit: bool,
    /// No request was read yet.
    awaiting_first_request: bool,
    /// Registration for eviction, until the first byte of the first request arrives.
    first_request_wait: Option<FirstRequestWait>,
    /// Start of the request timeout: the first byte of the current request, or the accept for the first request.
    request_started_at: Instant,
}

impl Connection {
    /// Serves a connection until it ends.
    pub(super) async fn serve(stream: TcpStream, context: Rc<ClientContext>, accepted_near_limit: bool) {
        let first_request_wait = Some(context.limit.start_waiting());
        let mut connection = Connection {
            stream,
            buffer: ReadBuffer::new(context.memory.requests.reservation()),
            context,
            accepted_near_limit,
            awaiting_first_request: true,
            first_request_wait,
            request_started_at: Instant::now(),
        };
        let end = connection.serve_requests().await;
        // An eviction would not end the connection any sooner.
        connection.first_request_wait = None;
        connection.close(end).await;
    }

    async fn serve_requests(&mut self) -> ConnectionEnd {
        loop {
            match self.serve_request().await {
                Ok(true) => self.yield_to_other_connections().await,
                Ok(false) => return ConnectionEnd::Close,
                Err(end) => return end,
            }
        }
    }

    /// Gives other connections a turn after each request, also if the client has sent the next one already.
    async fn yield_to_other_connections(&self) {
        if !self.buffer.is_empty() {
            yield_now().await;
        }
    }

    async fn close(&mut self, end: ConnectionEnd) {
        match end {
            ConnectionEnd::Lost | ConnectionEnd::Evicted => return,
            ConnectionEnd::Close => {}
            ConnectionEnd::Error(error) => {
                let response = Response::from(error).encode(false);
                if self.write_message(response).await.is_err() {
                    return;
                }
            }
        }
        let _ = timeout(LINGER_TIMEOUT, self.linger()).await;
    }

    /// Closes the sending direction, then reads and drops bytes until the client closes its own.
    async fn linger(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut remaining = LINGER_BYTES;
        while remaining > 0 {
            self.buffer.clear();
            match self.buffer.read_more(&mut self.stream).await {
                Ok(true) => remaining = remaining.saturating_sub(self.buffer.len()),
                _ => return,
            }
        }
    }

    /// Reads a request and answers it; returns true if the connection stays open.
    async fn serve_request(&mut self) -> Result<bool, ConnectionEnd> {
        let head = self.read_head().await?;
        self.awaiting_first_request = false;
        let Start::Request { method, target } = &head.start else { return Err(ConnectionEnd::Lost) };
        let config = self.context.config.borrow().clone();
        let mut request = parse_request(&config, &head, method, target);
        drop(config);
        if let Ok(ClientRequest::Job(job)) = &mut request {
            job.payload.detach(&self.context.memory.requests)?;
        }
        let body = self.read_body_in_time(&head).await;
        let client_keeps_alive = head.keep_alive;
        // While the job is open, it holds only its own parts of the request.
        drop(head);
        self.buffer.release();
        let response = match (request, body) {
            (Ok(ClientRequest::Job(job)), Err(end)) => {
                if matches!(end, ConnectionEnd::Error(RequestError::MemoryExhausted)) {
                    self.context.metrics.count(&job.payload.class, Outcome::Rejected);
                }
                return Err(end);
            }
            (_, Err(end)) => return Err(end),
            (Ok(request), Ok(body)) => Response::from(self.answer(request, body).await?),
            (Err(error), Ok(_)) => Response::from(error),
        };
        let keep_alive = client_keeps_alive && self.keeps_alive();
        self.write_message(response.encode(keep_alive)).await?;
        Ok(keep_alive)
    }

    async fn read_body_in_time(&mut self, head: &Head) -> Result<Bytes, ConnectionEnd> {
        let deadline = self.request_started_at + REQUEST_TIMEOUT;
        let body = timeout_at(deadline, self.read_body(head)).await;
        body.unwrap_or(Err(ConnectionEnd::Error(RequestError::Timeout)))
    }

    /// Returns whether the connection stays open after the current response. In standby it is closed, so that clients
    /// connect to another dispatcher for their next request.
    fn keeps_alive(&self) -> bool {
        !self.accepted_near_limit
            && *self.context.phase.borrow() <= ShutdownPhase::Draining
            && !self.context.is_standby()
    }

    async fn answer(&mut self, request: ClientRequest, body: Bytes) -> Result<FinalResponse, ConnectionEnd> {
        let mut job = match request {
            ClientRequest::HealthCheck => return Ok(self.context.readiness()),
            ClientRequest::Job(job) => job,
        };
        let class = job.payload.class.clone();
        let response = if self.accepted_near_limit {
            FinalResponse::Rejected { retry_after: Some(NEAR_LIMIT_RETRY_AFTER) }
        } else {
            job.payload.body = body;
            self.await_response(*job).await?
        };
        self.context.metrics.count(&class, outcome_of(&response));
        Ok(response)
    }

    /// Submits the job and waits for its final response, or for the client to disconnect.
    async fn await_response(&mut self, job: Job) -> Result<FinalResponse, ConnectionEnd> {
        let _in_flight = InFlight::new(&self.context.metrics);
        let mut pending = self.context.handle.submit(job);
        tokio::select! {
            biased;
            response = pending.final_response() => Ok(response),
            end = disconnected(&mut self.stream, &mut self.buffer) => Err(end),
        }
    }

    /// Reads the next head.
    async fn read_head(&mut self) -> Result<Head, ConnectionEnd> {
        if !self.awaiting_first_request {
            self.request_started_at = Instant::now();
        }
        let mut progress = HeadProgress::default();
        loop {
            if progress.needs_parsing(&self.buffer) {
                if let Some(head) = Head::request(&mut self.buffer)? {
                    return Ok(head);
                }
            }
            let is_idle = self.buffer.is_empty();
            match self.next_head_event().await {
                HeadEvent::Read(Ok(true)) => self.record_first_byte(is_idle),
                HeadEvent::Read(Ok(false)) => return Err(ConnectionEnd::Lost),
                HeadEvent::Read(Err(error)) => return Err(error.into()),
                HeadEvent::RequestOverdue => return Err(ConnectionEnd::Error(RequestError::Timeout)),
                HeadEvent::Evicted if has_unread_bytes(&self.stream) => {}
                HeadEvent::Evicted => return Err(ConnectionEnd::Evicted),
                // A request that has arrived before this check is served. One that arrives after it is read and dropped
                // while the connection lingers, and the client sends it again.
                HeadEvent::IdleClose(_) if has_unread_bytes(&self.stream) => yield_now().await,
                HeadEvent::IdleClose(end) => return Err(end),
            }
        }
    }

    /// Records that bytes arrived; the timeout of a request other than the first runs from its first byte on.
    fn record_first_byte(&mut self, was_idle: bool) {
        self.first_request_wait = None;
        if was_idle && !self.awaiting_first_request {
            self.request_started_at = Instant::now();
        }
    }

    async fn next_head_event(&mut self) -> HeadEvent {
        let is_idle = self.buffer.is_empty();
        let is_first = self.awaiting_first_request;
        let started_at = self.request_started_at;
        tokio::select! {
            biased;
            read = self.buffer.read_more(&mut self.stream) => HeadEvent::Read(read),
            () = evicted(self.first_request_wait.clone()) => HeadEvent::Evicted,
            end = idle_close(&self.context, is_first), if is_idle => HeadEvent::IdleClose(end),
            () = request_overdue(&self.context, started_at), if !is_idle => HeadEvent::RequestOverdue,
            () = sleep_until(started_at + REQUEST_TIMEOUT), if is_idle && is_first => {
                HeadEvent::IdleClose(ConnectionEnd::Close)
            }
        }
    }

    /// Writes a message within [`RESPONSE_WRITE_TIMEOUT`].
    pub(super) async fn write_message(&mut self, mut message: impl Buf) -> Result<(), ConnectionEnd> {
        match timeout(RESPONSE_WRITE_TIMEOUT, write_all(&mut self.stream, &mut message)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(ConnectionEnd::Lost),
        }
    }
}

/// Returns the outcome under which the metrics count a final response.
fn outcome_of(response: &FinalResponse) -> Outcome {
    match response {
        FinalResponse::Served(_) => Outcome::Served,
        FinalResponse::Rejected { .. } | FinalResponse::Invalid(InvalidRequest::DuplicateId) => {
            Outcome::Rejected
        }
        FinalResponse::Failed
        | FinalResponse::Invalid(InvalidRequest::Unusable | InvalidRequest::RepeatedId) => Outcome::Failed,
    }
}
