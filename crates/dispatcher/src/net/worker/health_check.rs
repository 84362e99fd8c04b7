//! Health checks: a worker is polled for its load report, or for its health if workers report no load.
//!
//! A check runs on a pooled connection like an attempt. A guard reports the end of each check to the engine, also if
//! the check was aborted. At most one check of a worker is in flight.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connection::{connect, reuse_or_connect, ConnectError};
use super::pool::{Pool, ResponseIdentity, Worker};
use super::protocol::{CLOSE_HEADER_FIELD, HEALTH_PATH, LOAD_PATH};
use crate::engine::Input;
use crate::net::http::status::{self, Status};
use crate::net::http::{Decoder, Framing, Piece, MAX_BODY, MAX_HEAD};
use crate::net::{read_response_bytes, read_response_head, write_all, ResponseMemory};
use dispatch_core::api::{LoadReport, LoadReports, WorkerId};

/// Timeout of a health check as a multiple of the dial timeout: a later load report would be out of date.
const TIMEOUT_FACTOR: u32 = 2;

/// Reports the end of a health check to the engine, exactly once.
struct HealthCheckGuard {
    pool: Rc<Pool>,
    worker: WorkerId,
    result: HealthCheckResult,
}

impl Drop for HealthCheckGuard {
    fn drop(&mut self) {
        self.pool.health_checks.borrow_mut().remove(&self.worker);
        self.pool.handle.send(Input::HealthCheckEnded {
            worker: self.worker,
            healthy: self.result.healthy,
            load: self.result.load.take(),
        });
    }
}

/// Result of a health check; the default is the result of an unanswered check.
#[derive(Default)]
struct HealthCheckResult {
    healthy: bool,
    load: Option<LoadReport>,
}

/// A complete response of a worker.
struct Response {
    status: Status,
    body: BytesMut,
    /// True if the connection can be used again.
    reusable: bool,
}

/// Starts a health check of a worker, unless one is in flight already.
pub(crate) fn start(pool: &Rc<Pool>, worker: WorkerId) {
    if pool.health_checks.borrow().contains_key(&worker) {
        return;
    }
    let guard = HealthCheckGuard { pool: pool.clone(), worker, result: HealthCheckResult::default() };
    let task = spawn_local(run_check(guard));
    pool.health_checks.borrow_mut().insert(worker, task.abort_handle());
}

async fn run_check(mut guard: HealthCheckGuard) {
    let check_timeout = check_timeout(&guard.pool);
    if let Ok(Some(result)) = timeout(check_timeout, check(&guard.pool, guard.worker)).await {
        guard.result = result;
    }
}

fn check_timeout(pool: &Pool) -> Duration {
    Duration::from_micros(pool.config.borrow().dial_timeout) * TIMEOUT_FACTOR
}

/// Polls a worker; returns none if it does not respond.
async fn check(pool: &Rc<Pool>, worker: WorkerId) -> Option<HealthCheckResult> {
    let worker = pool.workers.borrow().get(&worker).cloned()?;
    let reports_load = pool.config.borrow().settings.load_reports != LoadReports::None;
    let mut connection = reuse_or_connect(pool, &worker).await.ok()?;
    // As with an attempt, the worker may have begun to drain while the connection was established.
    if !worker.accepts_work.get() {
        return None;
    }
    let path = if reports_load { LOAD_PATH } else { HEALTH_PATH };
    let response = exchange(pool, &mut connection.stream, &worker, path, "").await?;
    let load = if reports_load { parse_load(pool, &response.body) } else { None };
    if response.reusable {
        pool.return_connection(&worker, connection, ResponseIdentity::of_status(response.status));
    }
    Some(HealthCheckResult { healthy: response.status == status::OK, load })
}

/// Parses the body of a load report, in JSON or as text.
fn parse_load(pool: &Pool, body: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(body).ok()?.trim();
    if text.is_empty() {
        return None;
    }
    pool.parse_load_report(|format| {
        if text.starts_with('{') {
            format.parse_json(text)
        } else {
            format.parse_text(text)
        }
    })
}

/// Probes a worker on behalf of the cluster. The connection is new, so that a pooled one that the worker has closed is
/// not mistaken for a failure of the worker. `may_write` is called immediately before the write; if it returns false,
/// nothing is written.
///
/// Returns whether the worker is healthy, or none if the probe is inconclusive.
pub(crate) async fn check_on_new_connection(
    pool: &Rc<Pool>,
    worker: WorkerId,
    may_write: impl FnOnce() -> bool,
) -> Option<bool> {
    let worker = pool.workers.borrow().get(&worker).cloned()?;
    let check_timeout = check_timeout(pool);
    let mut connection = match connect(pool, &worker).await {
        Ok(connection) => connection,
        Err(ConnectError::NoCapacity) => return None,
        // A worker that began to drain meanwhile may refuse connections, so the probe is inconclusive.
        Err(ConnectError::Unreachable) => return worker.accepts_work.get().then_some(false),
    };
    if !worker.accepts_work.get() || !may_write() {
        return None;
    }
    let exchange = exchange(pool, &mut connection.stream, &worker, HEALTH_PATH, CLOSE_HEADER_FIELD);
    let response = timeout(check_timeout, exchange).await;
    Some(matches!(response, Ok(Some(Response { status: status::OK, .. }))))
}

/// Requests a path and reads the response to its end.
async fn exchange(
    pool: &Pool,
    stream: &mut TcpStream,
    worker: &Worker,
    path: &str,
    header_fields: &str,
) -> Option<Response> {
    let host = worker.address.get()?;
    let mut request = Bytes::from(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n{header_fields}\r\n"));
    write_all(stream, &mut request).await.ok()?;
    read_response(stream, pool).await
}

async fn read_response(stream: &mut TcpStream, pool: &Pool) -> Option<Response> {
    let mut buffer = BytesMut::new();
    let reservation = pool.memory.responses.reservation();
    let mut memory = ResponseMemory { reservation, max_bytes: MAX_HEAD + MAX_BODY };
    let (status, head) = read_response_head(stream, &mut buffer, &mut memory).await?;
    let mut decoder = Decoder::new(head.framing);
    let mut body = BytesMut::new();
    loop {
        match decoder.next(&mut buffer).ok()? {
            Piece::Data(piece) if body.len() + piece.len() <= MAX_BODY => body.extend_from_slice(&piece),
            Piece::Data(_) => return None,
            Piece::End => {
                let reusable = head.keep_alive && buffer.is_empty();
                return Some(Response { status, body, reusable });
            }
            Piece::More => {
                let buffered = buffer.len() + body.len();
                if read_response_bytes(stream, &mut buffer, buffered, &mut memory).await.ok()? {
                    continue;
                }
                let is_complete = head.framing == Framing::UntilClose;
                return is_complete.then_some(Response { status, body, reusable: false });
            }
        }
    }
}
