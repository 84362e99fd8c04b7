//! Attempts: a job is written to a worker, and the worker's answer is followed to its end.

use std::borrow::Cow;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

use super::pool::{connect, Pool, Worker};
use crate::engine::{AttemptEnd, AttemptId, AttemptStage, Input, Micros, Payload};
use crate::net::http::{Decoder, Lines, Piece, MAX_BODY};
use crate::net::metrics;
use crate::net::{read_more, read_response_head, write_all};
use dispatch_core::api::{LoadReport, Outcome, WorkerId};
use dispatch_core::hashing::worker_id;

/// A line of a worker may be this long: a result as large as a body, with room for escapes.
const MAX_LINE_BYTES: usize = 2 * MAX_BODY + 1024;
/// After the last line of an answer its framing ends soon, or the connection is not used again.
const FRAMING_TIMEOUT: Duration = Duration::from_millis(200);
/// A kept connection that breaks within this after a request on it was closed by the worker before.
const STALE_CONNECTION_WINDOW: Micros = 250_000;

/// Tells the engine of the end of an attempt, exactly once: also of one that panicked.
struct AttemptGuard {
    pool: Rc<Pool>,
    attempt: AttemptId,
    worker: WorkerId,
    stage: AttemptStage,
    reported: bool,
    /// What the worker said of its load with its last word.
    load: Option<LoadReport>,
}

impl AttemptGuard {
    fn report(&mut self, outcome: Outcome, result: Bytes) {
        if !std::mem::replace(&mut self.reported, true) {
            self.pool.attempts.borrow_mut().remove(&self.attempt);
            let load = self.load.take();
            let end = AttemptEnd { attempt: self.attempt, outcome, result, load };
            self.pool.handle.send(Input::AttemptEnded(end));
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.report(self.stage.outcome_if_broken(), Bytes::new());
    }
}

/// Starts an attempt as a task of its own, which the pool can abort.
pub(crate) fn start(
    pool: &Rc<Pool>,
    attempt: AttemptId,
    (worker, peer): (WorkerId, Option<Rc<Worker>>),
    payload: Rc<Payload>,
    (deadline, not_after): (Micros, Micros),
) {
    pool.attempts_started.set(pool.attempts_started.get() + 1);
    let guard = AttemptGuard {
        pool: pool.clone(),
        attempt,
        worker,
        stage: AttemptStage::NotConnected,
        reported: false,
        load: None,
    };
    let task = spawn_local(run_attempt(peer, payload, (deadline, not_after), guard));
    pool.attempts.borrow_mut().insert(attempt, task.abort_handle());
}

/// One attempt. Whatever way it ends early, `end` tells how far it had come.
async fn run_attempt(
    peer: Option<Rc<Worker>>,
    payload: Rc<Payload>,
    (deadline, latest): (Micros, Micros),
    mut end: AttemptGuard,
) {
    let Some(peer) = peer else { return };
    let pool = end.pool.clone();
    let (mut stream, counted, kept) = match pool.take_idle(&peer) {
        Some(kept) => kept,
        // Without a descriptor to spare nothing is sent, which is no fault of the worker's.
        None if !pool.ensure_capacity() => return end.report(Outcome::NotSent, Bytes::new()),
        None => match connect(&pool, &peer).await {
            Some(new) => new,
            None => return,
        },
    };
    // Checked here and not before: the worker may have begun to drain while the connection came up, and what
    // is written later than the grace breaks the rule on drains.
    if !peer.accepts_work.get() {
        return;
    }
    // Likewise: the client may have left meanwhile, another attempt may have served it, and what an attempt before
    // this one may have done is no longer known to the worker once the window for repeats is over.
    if payload.concluded.get() || pool.clock.now() >= latest {
        return end.report(Outcome::NotSent, Bytes::new());
    }
    let head = encode_request_head(&peer, &payload, deadline.saturating_sub(pool.clock.now()));
    let mut message = head.chain(payload.body.clone());
    end.stage = AttemptStage::PartiallyWritten;
    let begun = pool.clock.now();
    let written = write_all(&mut stream, &mut message).await;
    if !message.has_remaining() {
        end.stage = AttemptStage::Written;
        pool.metrics.count(&payload.class, metrics::Outcome::Attempt);
    }
    if written.is_err() {
        // A kept connection that takes no write is no fault of the worker's, and nothing was sent.
        return if kept && end.stage < AttemptStage::Written {
            end.report(Outcome::NotSent, Bytes::new())
        };
    }
    let reusable = read_answer(&mut stream, &payload, &mut end).await == Some(true);
    if kept
        && !end.reported
        && end.stage == AttemptStage::Written
        && pool.clock.now() < begun + STALE_CONNECTION_WINDOW
    {
        // The others that are idle there are closed by now as well.
        pool.close_idle(&peer);
        end.report(Outcome::StaleConnection, Bytes::new());
    }
    if reusable {
        pool.return_connection(&peer, stream, counted);
    }
}

fn encode_request_head(peer: &Worker, payload: &Payload, patience: Micros) -> Bytes {
    let mut head = BytesMut::with_capacity(256 + payload.target.len());
    let host = peer.address.get().map_or_else(String::new, |address| address.to_string());
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| head.extend_from_slice(part));
    put(&[&payload.method, b" ", &payload.target, b" HTTP/1.1\r\nHost: ", host.as_bytes(), b"\r\n"]);
    put(&[b"Request-Id: ", &payload.id, b"\r\n"]);
    if let Some(key) = &payload.idempotency_key {
        put(&[b"Idempotency-Key: ", key, b"\r\n"]);
    }
    put(&[b"Request-Timeout-Ms: ", patience.div_ceil(1000).to_string().as_bytes(), b"\r\n"]);
    put(&[b"Content-Length: ", payload.body.len().to_string().as_bytes(), b"\r\n\r\n"]);
    head.freeze()
}

/// A line of a worker's answer.
#[derive(Deserialize)]
struct AnswerLine<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    from: Option<Cow<'a, str>>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(default)]
    share: f64,
    #[serde(borrow, default)]
    result: Option<&'a RawValue>,
    #[serde(borrow, default)]
    load: Option<&'a RawValue>,
}

/// The result of a job: the text of a JSON string as a slice of its line where nothing in it is escaped.
fn result_bytes(line: &Bytes, raw: Option<&RawValue>) -> Option<Bytes> {
    let raw = raw?.get();
    match raw.strip_prefix('"').and_then(|r| r.strip_suffix('"')) {
        Some(plain) if !plain.contains('\\') => Some(line.slice_ref(plain.as_bytes())),
        Some(_) => serde_json::from_str::<String>(raw).ok().map(Bytes::from),
        None => Some(line.slice_ref(raw.as_bytes())),
    }
}

/// Reads the answer to an attempt and tells how it ended. True where the connection can be used again; none
/// where it broke before the end of the attempt was known.
async fn read_answer(stream: &mut TcpStream, payload: &Payload, end: &mut AttemptGuard) -> Option<bool> {
    let mut buf = BytesMut::new();
    let (status, head) = read_response_head(stream, &mut buf).await?;
    if status == 200 {
        end.stage = AttemptStage::Started;
    } else {
        let unstarted = head.header_text("Not-Started") == Some("1");
        let outcome = match status {
            503 | 504 if unstarted => Outcome::Overloaded,
            // These say something of the worker; all others from 400 on say that the request is at fault.
            408 | 429 => Outcome::Error,
            400..=499 => Outcome::InvalidRequest,
            _ => Outcome::Error,
        };
        end.load = head
            .header_text("Server-Load")
            .and_then(|text| end.pool.parse_load_report(|form| form.parse_text(text)));
        end.report(outcome, Bytes::new());
    }
    let mut body = Decoder::new(head.framing);
    let mut lines = Lines::default();
    let mut tail = None;
    loop {
        match body.next(&mut buf).ok()? {
            Piece::Data(_) if end.reported => {}
            Piece::Data(data) => {
                lines.add(data, MAX_LINE_BYTES).ok()?;
                while let Some(line) = lines.next_line() {
                    handle_line(&line, payload, end)?;
                }
            }
            Piece::End => {
                handle_line(&lines.rest(), payload, end)?;
                return end.reported.then_some(head.keep_alive && buf.is_empty());
            }
            Piece::More if end.reported => {
                // All is known; the framing may still end in time for the connection to be of use.
                let until = *tail.get_or_insert_with(|| Instant::now() + FRAMING_TIMEOUT);
                if !timeout_at(until, read_more(stream, &mut buf)).await.ok()?.ok()? {
                    return None;
                }
            }
            Piece::More => {
                if !read_more(stream, &mut buf).await.ok()? {
                    handle_line(&lines.rest(), payload, end)?;
                    return None;
                }
            }
        }
    }
}

/// Takes one line; none where it makes no sense, or is not of this request.
fn handle_line(line: &Bytes, payload: &Payload, end: &mut AttemptGuard) -> Option<()> {
    if end.reported || line.trim_ascii().is_empty() {
        return Some(());
    }
    let answer: AnswerLine<'_> = serde_json::from_slice(line).ok()?;
    // Where another worker has taken over the address, its word is not that of the one that was chosen.
    let other = answer.from.is_some_and(|from| worker_id(&from) != end.worker);
    if other || answer.id.as_bytes() != payload.id {
        return None;
    }
    if let Some(load) = answer.load {
        end.load = end.pool.parse_load_report(|form| form.parse_json(load.get()));
    }
    match &*answer.state {
        "started" => end.pool.handle.send(Input::JobStarted(end.attempt)),
        "running" => end.pool.handle.send(Input::Progress { attempt: end.attempt, done: answer.share }),
        "done" => end.report(Outcome::Ok, result_bytes(line, answer.result)?),
        "failed" => end.report(Outcome::Error, Bytes::new()),
        "returned" => end.report(Outcome::Overloaded, Bytes::new()),
        "lost" => end.report(Outcome::Reset, Bytes::new()),
        _ => {}
    }
    Some(())
}
