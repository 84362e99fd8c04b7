//! Attempts: a job is written to a worker, and the worker's response is read to its end.

use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use tokio::task::spawn_local;

use super::answer::{read_response, ConnectionState};
use super::connection::{reuse_or_connect, ConnectError, Connection};
use super::pool::{Pool, Worker};
use super::protocol::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER};
use crate::engine::{AttemptEnd, AttemptId, AttemptStage, Input, Micros, Payload};
use crate::net::metrics;
use crate::net::write_all;
use dispatch_core::api::{LoadReport, Outcome, WorkerId};

/// If a reused connection ends within this time after the request was written, the worker had closed the connection
/// before it received the request.
const STALE_CONNECTION_WINDOW: Micros = 250_000;
/// Initial capacity for the head of a request without its target, in bytes.
const HEAD_CAPACITY: usize = 256;

/// An attempt that the engine commands.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) worker: WorkerId,
    pub(super) payload: Rc<Payload>,
    /// Time at which the dispatcher stops waiting.
    pub(super) deadline: Micros,
    /// End of the retry window of an earlier attempt that may have run: nothing is written after it.
    pub(super) not_after: Micros,
}

/// Reports the end of an attempt to the engine, exactly once, even if the attempt was aborted or panicked.
pub(super) struct AttemptGuard {
    pub(super) pool: Rc<Pool>,
    pub(super) attempt: AttemptId,
    pub(super) worker: WorkerId,
    pub(super) stage: AttemptStage,
    /// Latest load report of the worker.
    pub(super) load: Option<LoadReport>,
    /// True if the start of the job was reported.
    start_reported: bool,
    /// Latest progress that was not reported yet: the part of the job that is done.
    pub(super) unreported_progress: Option<f64>,
    reported: bool,
}

impl AttemptGuard {
    /// Returns the guard of an attempt that has not begun.
    pub(super) fn new(pool: Rc<Pool>, attempt: AttemptId, worker: WorkerId) -> AttemptGuard {
        AttemptGuard {
            pool,
            attempt,
            worker,
            stage: AttemptStage::NotConnected,
            load: None,
            start_reported: false,
            unreported_progress: None,
            reported: false,
        }
    }

    /// Reports the end of the attempt, unless it was reported before.
    pub(super) fn report(&mut self, outcome: Outcome, result: Bytes) {
        if std::mem::replace(&mut self.reported, true) {
            return;
        }
        self.pool.attempts.borrow_mut().remove(&self.attempt);
        let load = self.load.take();
        let end = AttemptEnd { attempt: self.attempt, outcome, result, load };
        self.pool.handle.send(Input::AttemptEnded(end));
    }

    /// Reports that the job started, unless that was reported before.
    pub(super) fn report_start(&mut self) {
        if !std::mem::replace(&mut self.start_reported, true) {
            self.pool.handle.send(Input::JobStarted(self.attempt));
        }
    }

    /// Reports the latest progress, if there is any, and waits until the engine has handled it.
    pub(super) async fn report_progress(&mut self) {
        if let Some(done) = self.unreported_progress.take() {
            self.pool.handle.send(Input::Progress { attempt: self.attempt, done });
            self.pool.handle.wait_until_handled().await;
        }
    }

    fn report_without_result(&mut self, outcome: Outcome) {
        self.report(outcome, Bytes::new());
    }

    /// Returns true if the end of the attempt was reported.
    pub(super) fn is_reported(&self) -> bool {
        self.reported
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.report_without_result(self.stage.outcome_if_disconnected());
    }
}

/// Starts an attempt as a task of its own, which the pool can abort.
pub(super) fn start(pool: &Rc<Pool>, attempt: Attempt) {
    pool.attempts_started.set(pool.attempts_started.get() + 1);
    let id = attempt.id;
    let guard = AttemptGuard::new(pool.clone(), id, attempt.worker);
    let worker = pool.workers.borrow().get(&attempt.worker).cloned();
    let task = spawn_local(run_attempt(attempt, worker, guard));
    pool.attempts.borrow_mut().insert(id, task.abort_handle());
}

/// Runs an attempt. If it ends early, the guard reports the stage that it reached.
async fn run_attempt(attempt: Attempt, worker: Option<Rc<Worker>>, mut guard: AttemptGuard) {
    let Some(worker) = worker else { return };
    let pool = guard.pool.clone();
    let mut connection = match reuse_or_connect(&pool, &worker).await {
        Ok(connection) => connection,
        // All connections are in use, for which the worker is not at fault.
        Err(ConnectError::NoCapacity) => return guard.report_without_result(Outcome::NotSent),
        Err(ConnectError::Unreachable) => return,
    };
    // The worker may have begun to drain while the connection was established. The drain grace limits the time of the
    // write, not the time at which the worker was chosen.
    if !worker.accepts_work.get() {
        return;
    }
    // Likewise, the request may have been concluded meanwhile, or the retry window may be over, after which the worker
    // would not recognize a repeated request.
    if attempt.payload.concluded.get() || pool.clock.now() >= attempt.not_after {
        return guard.report_without_result(Outcome::NotSent);
    }
    // No other task runs between the check above and this, so that a concluded request is known not to have run.
    attempt.payload.write_started.set(true);
    let write_started_at = pool.clock.now();
    if !write_request(&mut connection, &worker, &attempt, &mut guard).await {
        // A reused connection that accepts no write was closed by the worker, and nothing was sent.
        if connection.is_reused && guard.stage < AttemptStage::Written {
            guard.report_without_result(Outcome::NotSent);
        }
        return;
    }
    let response = read_response(&mut connection.stream, &attempt.payload, &mut guard).await;
    if connection.is_reused
        && !guard.is_reported()
        && guard.stage == AttemptStage::Written
        && pool.clock.now() < write_started_at + STALE_CONNECTION_WINDOW
    {
        // The worker is assumed to have closed the other idle connections too.
        pool.close_idle(&worker);
        guard.report_without_result(Outcome::StaleConnection);
    }
    if let Ok(ConnectionState::Reusable(identity)) = response {
        pool.return_connection(&worker, connection, identity);
    }
}

/// Writes the request and records the stage that it reaches; returns false if the write failed.
async fn write_request(
    connection: &mut Connection,
    worker: &Worker,
    attempt: &Attempt,
    guard: &mut AttemptGuard,
) -> bool {
    let remaining = attempt.deadline.saturating_sub(guard.pool.clock.now());
    let head = encode_request_head(worker, &attempt.payload, remaining);
    let mut message = head.chain(attempt.payload.body.clone());
    guard.stage = AttemptStage::PartiallyWritten;
    let written = write_all(&mut connection.stream, &mut message).await;
    if !message.has_remaining() {
        guard.stage = AttemptStage::Written;
        guard.pool.metrics.count(&attempt.payload.class, metrics::Outcome::Attempt);
    }
    written.is_ok()
}

fn encode_request_head(worker: &Worker, payload: &Payload, timeout: Micros) -> Bytes {
    let host = worker.address.get().map_or_else(String::new, |address| address.to_string());
    let timeout_ms = timeout.div_ceil(1000).to_string();
    let content_length = payload.body.len().to_string();
    let mut head = BytesMut::with_capacity(HEAD_CAPACITY + payload.target.len());
    for part in [&payload.method[..], b" ", &payload.target, b" HTTP/1.1\r\n"] {
        head.extend_from_slice(part);
    }
    put_header(&mut head, "Host", host.as_bytes());
    put_header(&mut head, REQUEST_ID_HEADER, &payload.id);
    if let Some(key) = &payload.idempotency_key {
        put_header(&mut head, IDEMPOTENCY_KEY_HEADER, key);
    }
    put_header(&mut head, TIMEOUT_HEADER, timeout_ms.as_bytes());
    put_header(&mut head, "Content-Length", content_length.as_bytes());
    head.extend_from_slice(b"\r\n");
    head.freeze()
}

fn put_header(head: &mut BytesMut, name: &str, value: &[u8]) {
    for part in [name.as_bytes(), b": ", value, b"\r\n"] {
        head.extend_from_slice(part);
    }
}
