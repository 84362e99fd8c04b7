//! The operators' console: HTTP/1.1 on a separate listener, with one request per connection.
//!
//! A request never waits for a job: it reads counters and watch channels, and changes the mode on a watch channel that
//! the client connections follow. The number of connections and the duration of a request are limited, so that idle
//! connections exhaust neither the console nor the file descriptors for clients.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout, Instant};

use super::client::is_ready;
use super::http::{Head, Start};
use super::metrics::Metrics;
use super::mode::Mode;
use super::planned_drain::{LocalStatus, PlannedDrain};
use super::read_more;

/// Timeout for reading a request after the connection is accepted, and for writing its response. Operators' tools wait
/// 1 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of open connections; further ones are answered with 503 at once.
const MAX_CONNECTIONS: usize = 32;
/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// State that the console reads and changes.
#[expect(missing_debug_implementations, reason = "contains a function")]
pub struct Console {
    /// Metrics of the dispatcher.
    pub metrics: Rc<Metrics>,
    /// Mode, set by `/standby` and `/active`.
    pub mode: watch::Sender<Mode>,
    /// Returns whether the process is ready apart from its mode.
    pub ready: Box<dyn Fn() -> bool>,
    /// Planned drains; `None` unless standby requires a permit.
    pub planned_drain: Option<Rc<PlannedDrain>>,
}

/// Listens for operators' requests and serves them. If the console cannot listen, the dispatcher serves its clients
/// without it.
pub(super) async fn start(
    address: SocketAddr,
    metrics: Rc<Metrics>,
    status: LocalStatus,
    planned_drain: Option<Rc<PlannedDrain>>,
) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%error, at = %address, "console cannot listen");
            return;
        }
    };
    let started_at = Instant::now();
    let LocalStatus { mode, ready, phase } = status;
    // The console checks the mode itself, because its response names the mode as well.
    let ready = Box::new(move || is_ready(*ready.borrow(), started_at, *phase.borrow(), Mode::Active));
    spawn_local(serve(listener, Rc::new(Console { metrics, mode, ready, planned_drain })));
}

/// Serves operators' requests. Never returns.
pub async fn serve(listener: TcpListener, console: Rc<Console>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn_local(serve_connection(stream, console.clone()));
                }
                Ok((stream, _)) => {
                    // The request is not read, and the write does not wait for a slow peer.
                    let _ = stream.try_write(&response(503, "text/plain", b"too many calls at once\n"));
                }
                Err(error) => {
                    tracing::warn!(%error, "console cannot accept a connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

/// Serves the only request of a connection.
async fn serve_connection(mut stream: TcpStream, console: Rc<Console>) {
    let _ = stream.set_nodelay(true);
    let head = timeout(REQUEST_TIMEOUT, async {
        let mut buf = BytesMut::new();
        loop {
            match Head::request(&mut buf) {
                Ok(Some(head)) => return Some(head),
                Ok(None) => {}
                Err(_) => return None,
            }
            if !matches!(read_more(&mut stream, &mut buf).await, Ok(true)) {
                return None;
            }
        }
    });
    let response = match head.await {
        Ok(Some(head)) => match &head.start {
            Start::Request { method, target } => match &console.planned_drain {
                Some(drain) if is_standby(method, target) => answer_standby(drain, target).await,
                _ => answer(&console, method, target),
            },
            Start::Response(_) => response(400, "text/plain", b"a call is a request\n"),
        },
        Ok(None) => response(400, "text/plain", b"this is no HTTP/1.1 request\n"),
        Err(_) => response(408, "text/plain", b"the call did not come in time\n"),
    };
    let _ = timeout(REQUEST_TIMEOUT, stream.write_all(&response)).await;
    let _ = stream.shutdown().await;
}

fn is_standby(method: &[u8], target: &[u8]) -> bool {
    method == b"POST" && target.split(|b| *b == b'?').next() == Some(b"/standby")
}

/// Requests a planned drain and returns the response: success, or 503 with the reason and a `Retry-After`.
async fn answer_standby(drain: &PlannedDrain, target: &[u8]) -> Vec<u8> {
    let force = target.split(|b| matches!(b, b'?' | b'&')).skip(1).any(|pair| pair == b"force=1");
    match drain.enter_standby("an operator's standby", force).await {
        Ok(()) => response(200, "text/plain", b"standby\n"),
        Err(rejection) => {
            let text = format!("not now: {rejection}\n");
            let retry_after = format!("Retry-After: {}\r\n", rejection.retry_after_s());
            with_headers(503, "text/plain", &retry_after, text.as_bytes())
        }
    }
}

/// Returns the response to a request.
#[must_use]
pub fn answer(console: &Console, method: &[u8], target: &[u8]) -> Vec<u8> {
    let path = target.split(|b| *b == b'?').next().unwrap_or_default();
    match (method, path) {
        (b"GET", b"/status") => {
            let mode = *console.mode.borrow();
            let ready = (console.ready)() && mode == Mode::Active;
            let body = format!(
                "{{\"ready\":{ready},\"mode\":\"{}\",\"in_flight\":{}}}\n",
                if mode == Mode::Active { "active" } else { "standby" },
                console.metrics.in_flight.get()
            );
            response(if ready { 200 } else { 503 }, "application/json", body.as_bytes())
        }
        (b"GET", b"/status/metrics") => response(200, "text/plain; version=0.0.4", &console.metrics.encode()),
        (b"POST", b"/standby") => {
            if console.mode.send_replace(Mode::Standby) == Mode::Active {
                tracing::info!("entered standby: not ready, closing idle client connections");
            }
            response(200, "text/plain", b"standby\n")
        }
        (b"POST", b"/active") => {
            if console.mode.send_replace(Mode::Active) == Mode::Standby {
                tracing::info!("left standby: accepting work again");
                if let Some(drain) = &console.planned_drain {
                    drain.record_return();
                }
            }
            response(200, "text/plain", b"active\n")
        }
        (_, b"/status" | b"/status/metrics") => response(405, "text/plain", b"ask for this with GET\n"),
        (_, b"/standby" | b"/active") => response(405, "text/plain", b"ask for this with POST\n"),
        _ => response(404, "text/plain", b"there is no such call\n"),
    }
}

fn response(status: u16, kind: &str, body: &[u8]) -> Vec<u8> {
    with_headers(status, kind, "", body)
}

fn with_headers(status: u16, kind: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let reason = super::http::status::reason(status);
    let mut message =
        format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n{headers}Connection: close\r\n\r\n", body.len())
            .into_bytes();
    message.extend_from_slice(body);
    message
}
