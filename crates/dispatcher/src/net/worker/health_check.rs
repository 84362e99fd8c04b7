//! Probes: a worker is asked for its load, or where none is reported whether it is well.
//!
//! A probe runs on a pooled connection like an attempt, and each one is answered to the module, whatever becomes of it:
//! a guard tells of a task that was stopped. At most one is out to a worker.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::pool::{connect, Pool, Worker};
use crate::engine::Input;
use crate::net::http::{Decoder, Framing, Piece, MAX_BODY};
use crate::net::{read_more, read_response_head, write_all};
use dispatch_core::api::{LoadReport, LoadReports, WorkerId};

/// A probe is given up after this many times what a connection may take to come up: the settings tell no time for
/// it, and an answer that needs longer is no news any more.
const TIMEOUT_FACTOR: u32 = 2;

/// Tells the engine of the end of a probe, exactly once.
struct HealthCheckGuard {
    pool: Rc<Pool>,
    worker: WorkerId,
    healthy: bool,
    load: Option<LoadReport>,
}

impl Drop for HealthCheckGuard {
    fn drop(&mut self) {
        self.pool.health_checks.borrow_mut().remove(&self.worker);
        self.pool.handle.send(Input::HealthCheckEnded {
            worker: self.worker,
            healthy: self.healthy,
            load: self.load.take(),
        });
    }
}

/// Begins a probe of the worker; where one is out already, its end is the answer to both.
pub(crate) fn start(pool: &Rc<Pool>, worker: WorkerId) {
    if pool.health_checks.borrow().contains_key(&worker) {
        return;
    }
    let end = HealthCheckGuard { pool: pool.clone(), worker, healthy: false, load: None };
    let patience = Duration::from_micros(pool.config.borrow().dial_timeout) * TIMEOUT_FACTOR;
    let task = spawn_local(async move {
        let mut end = end;
        if let Ok(Some((ok, load))) = timeout(patience, check(&end.pool, worker)).await {
            (end.healthy, end.load) = (ok, load);
        }
    });
    pool.health_checks.borrow_mut().insert(worker, task.abort_handle());
}

/// Whether the worker says that it is well, and what it says of its load; none where no answer came.
async fn check(pool: &Rc<Pool>, worker: WorkerId) -> Option<(bool, Option<LoadReport>)> {
    let peer = pool.workers.borrow().get(&worker).cloned()?;
    let reports = pool.config.borrow().settings.load_reports != LoadReports::None;
    let (mut stream, counted, _) = match pool.take_idle(&peer) {
        Some(kept) => kept,
        None if !pool.ensure_capacity() => return None,
        None => connect(pool, &peer).await?,
    };
    // As with an attempt: it may have begun to drain while the connection came up.
    peer.address.get().filter(|_| peer.accepts_work.get())?;
    let path = if reports { "/load" } else { "/healthz" };
    let (status, body, reusable) = exchange(&mut stream, &peer, path, "").await?;
    let load = std::str::from_utf8(&body).ok().filter(|text| reports && !text.trim().is_empty());
    let load = load.and_then(|text| {
        let text = text.trim();
        pool.parse_load_report(|form| {
            if text.starts_with('{') {
                form.parse_json(text)
            } else {
                form.parse_text(text)
            }
        })
    });
    if reusable {
        pool.return_connection(&peer, stream, counted);
    }
    Some((status == 200, load))
}

/// Looks at a worker on behalf of the fleet: over a connection of its own, so that a kept one that the worker has
/// closed meanwhile is not taken for a failure. `may` is asked immediately before the write; without its yes nothing
/// is written. None where nothing was learnt of the worker.
pub(crate) async fn check_on_new_connection(
    pool: &Rc<Pool>,
    worker: WorkerId,
    may: impl FnOnce() -> bool,
) -> Option<bool> {
    let peer = pool.workers.borrow().get(&worker).cloned()?;
    if !pool.ensure_capacity() {
        return None;
    }
    let patience = Duration::from_micros(pool.config.borrow().dial_timeout) * TIMEOUT_FACTOR;
    let Some((mut stream, _counted, _)) = connect(pool, &peer).await else {
        // Of a worker that began to drain meanwhile nothing is said.
        return peer.accepts_work.get().then_some(false);
    };
    if !peer.accepts_work.get() || !may() {
        return None;
    }
    let answer = timeout(patience, exchange(&mut stream, &peer, "/healthz", "Connection: close\r\n")).await;
    Some(matches!(answer, Ok(Some((200, ..)))))
}

/// Asks for this path and reads the answer whole.
async fn exchange(
    stream: &mut TcpStream,
    peer: &Worker,
    path: &str,
    headers: &str,
) -> Option<(u16, BytesMut, bool)> {
    let host = peer.address.get()?;
    let mut request = Bytes::from(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n{headers}\r\n"));
    write_all(stream, &mut request).await.ok()?;
    read_response(stream).await
}

/// Status and body of one answer, and whether the connection can be used again.
async fn read_response(stream: &mut TcpStream) -> Option<(u16, BytesMut, bool)> {
    let mut buf = BytesMut::new();
    let (status, head) = read_response_head(stream, &mut buf).await?;
    let (mut decoder, mut body) = (Decoder::new(head.framing), BytesMut::new());
    loop {
        match decoder.next(&mut buf).ok()? {
            Piece::Data(piece) if body.len() + piece.len() <= MAX_BODY => body.extend_from_slice(&piece),
            Piece::Data(_) => return None,
            Piece::End => return Some((status, body, head.keep_alive && buf.is_empty())),
            Piece::More if read_more(stream, &mut buf).await.ok()? => {}
            Piece::More if head.framing == Framing::UntilClose => return Some((status, body, false)),
            Piece::More => return None,
        }
    }
}
