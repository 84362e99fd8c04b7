//! Attempts at workers, and the connections that they use again.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::value::RawValue;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{interval_at, timeout, timeout_at, Instant};

use super::health_check;
use super::http::{Decoder, Lines, Piece, MAX_BODY};
use super::metrics::{self, Metrics};
use super::{read_more, read_response_head, write_all, ConfigReceiver};
use crate::engine::{AttemptStage, Clock, Command, Handle, Input, Micros, Payload};
use dispatch_core::api::{ListScope, LoadReport, Outcome, RequestId, WorkerId, WorkerState};
use dispatch_core::hashing::worker_id;
use dispatch_core::load_report::{LoadReportFormat, ParsedLoadReport};

/// A line of a worker may be this long: a result as large as a body, with room for escapes.
const MAX_LINE_BYTES: usize = 2 * MAX_BODY + 1024;
/// After the last line of an answer its framing ends soon, or the connection is not used again.
const FRAMING_TIMEOUT: Duration = Duration::from_millis(200);
/// A kept connection that breaks within this after a request on it was closed by the worker before.
const STALE_CONNECTION_WINDOW: Micros = 250_000;
/// How often idle connections are looked through.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// A connection on which nothing is out.
struct IdleConnection {
    stream: TcpStream,
    idle_since: Micros,
}

impl IdleConnection {
    /// The worker has neither closed it nor sent anything that nobody asked for. It asks the socket itself:
    /// what the runtime knows of it may be older.
    fn is_usable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// A worker as the pool knows it.
pub(super) struct Worker {
    /// Its zone, by its place in the settings.
    pub(super) zone: Cell<u32>,
    /// When it started, as discovery says.
    pub(super) started_at: Cell<f64>,
    pub(super) address: Cell<Option<SocketAddr>>,
    /// It takes new work, as far as discovery told.
    pub(super) accepts_work: Cell<bool>,
    /// The list names it, whether it takes new work or drains.
    listed: Cell<bool>,
    /// The last one was used last.
    idle: RefCell<Vec<IdleConnection>>,
}

pub(super) struct Pool {
    metrics: Rc<Metrics>,
    pub(super) config: ConfigReceiver,
    pub(super) clock: Clock,
    /// Attempts that were begun.
    pub(super) attempts_started: Cell<u64>,
    pub(super) handle: Handle,
    pub(super) workers: RefCell<FxHashMap<WorkerId, Rc<Worker>>>,
    /// The attempts that are out.
    attempts: RefCell<FxHashMap<(RequestId, u32), AbortHandle>>,
    /// The probes that are out.
    pub(super) health_checks: RefCell<FxHashMap<WorkerId, AbortHandle>>,
    /// Connections that are open or coming up.
    open_connections: Cell<usize>,
}

/// Counts a connection while it lives.
pub(super) struct ConnectionGuard(Rc<Pool>);

impl ConnectionGuard {
    fn new(pool: &Rc<Pool>) -> ConnectionGuard {
        pool.open_connections.set(pool.open_connections.get() + 1);
        ConnectionGuard(pool.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

/// Carries out commands until the engine ends.
pub(super) async fn run(pool: Rc<Pool>, mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut sweep = interval_at(Instant::now() + IDLE_SWEEP_INTERVAL, IDLE_SWEEP_INTERVAL);
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => pool.execute(command),
                None => return,
            },
            _ = sweep.tick() => pool.close_expired_connections(),
        }
    }
}

impl Pool {
    pub(super) fn new(
        configs: ConfigReceiver,
        clock: Clock,
        handle: Handle,
        metrics: Rc<Metrics>,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            metrics,
            config: configs,
            clock,
            attempts_started: Cell::default(),
            handle,
            workers: RefCell::default(),
            attempts: RefCell::default(),
            health_checks: RefCell::default(),
            open_connections: Cell::new(0),
        })
    }

    fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::Attempt { request, attempt, worker, payload, deadline, not_after: latest } => {
                let peer = self.workers.borrow().get(&worker).cloned();
                self.attempts_started.set(self.attempts_started.get() + 1);
                let (pool, reach) = (self.clone(), AttemptStage::NotConnected);
                let end = AttemptGuard {
                    pool,
                    request,
                    attempt,
                    worker,
                    stage: reach,
                    reported: false,
                    load: None,
                };
                let task = spawn_local(run_attempt(peer, payload, (deadline, latest), end));
                self.attempts.borrow_mut().insert((request, attempt), task.abort_handle());
            }
            Command::Cancel(request, attempt) => {
                let task = self.attempts.borrow_mut().remove(&(request, attempt));
                if let Some(task) = task {
                    task.abort();
                }
            }
            Command::HealthCheck(worker) => health_check::start(self, worker),
            Command::CloseIdle(worker) => {
                if let Some(peer) = self.workers.borrow().get(&worker) {
                    self.retain_idle(peer, |_| false);
                }
            }
            Command::EndpointList(scope, members) => self.update_workers(scope, &members),
        }
    }

    fn update_workers(&self, scope: ListScope, members: &[crate::engine::ListedEndpoint]) {
        let mut peers = self.workers.borrow_mut();
        if scope != ListScope::Incremental {
            // Those that the whole list does not name are gone.
            peers.values().for_each(|peer| {
                peer.accepts_work.set(false);
                peer.listed.set(false);
            });
        }
        for listed in members {
            let peer = peers.entry(listed.endpoint.worker).or_insert_with(|| {
                Rc::new(Worker {
                    zone: Cell::default(),
                    started_at: Cell::default(),
                    address: Cell::default(),
                    accepts_work: Cell::default(),
                    listed: Cell::default(),
                    idle: RefCell::default(),
                })
            });
            if listed.address.is_some() && listed.address != peer.address.get() {
                peer.address.set(listed.address);
                self.retain_idle(peer, |_| false);
            }
            peer.zone.set(listed.endpoint.zone);
            peer.started_at.set(listed.endpoint.started_at);
            peer.accepts_work.set(listed.accepts_work());
            peer.listed.set(listed.endpoint.state != WorkerState::Removed);
        }
        for (worker, peer) in peers.iter().filter(|(_, peer)| !peer.accepts_work.get()) {
            self.retain_idle(peer, |_| false);
            // Nothing new is asked of a worker that drains, and what is out there has no more to tell.
            if let Some(task) = self.health_checks.borrow().get(worker) {
                task.abort();
            }
        }
        // A peer that no attempt uses and nobody may use again is forgotten.
        peers.retain(|_, peer| peer.listed.get() || Rc::strong_count(peer) > 1);
        self.metrics.workers_known.set(count_listed(peers.values().map(|peer| peer.listed.get())));
    }

    fn close_expired_connections(&self) {
        let (now, longest) = (self.clock.now(), self.config.borrow().idle_timeout);
        for peer in self.workers.borrow().values() {
            self.retain_idle(peer, |idle| now < idle.idle_since + longest && idle.is_usable());
        }
    }

    /// Drops the idle connections that are not to be kept.
    fn retain_idle(&self, peer: &Worker, keep: impl Fn(&IdleConnection) -> bool) {
        let mut idle = peer.idle.borrow_mut();
        let before = idle.len();
        idle.retain(keep);
        self.open_connections.set(self.open_connections.get() - (before - idle.len()));
    }

    /// Makes room for one more connection, at the cost of the one that was idle longest.
    pub(super) fn ensure_capacity(&self) -> bool {
        if self.open_connections.get() < self.config.borrow().worker_sockets {
            return true;
        }
        let peers = self.workers.borrow();
        let oldest = peers.values().filter(|p| !p.idle.borrow().is_empty());
        let Some(peer) = oldest.min_by_key(|p| p.idle.borrow().first().map(|i| i.idle_since)) else {
            return false;
        };
        peer.idle.borrow_mut().remove(0);
        self.open_connections.set(self.open_connections.get() - 1);
        true
    }

    /// The connection that was used last and can still be used.
    pub(super) fn take_idle(self: &Rc<Self>, peer: &Worker) -> Option<(TcpStream, ConnectionGuard, bool)> {
        let (now, longest) = (self.clock.now(), self.config.borrow().idle_timeout);
        loop {
            let idle = peer.idle.borrow_mut().pop()?;
            self.open_connections.set(self.open_connections.get() - 1);
            // A request on a connection that the worker has closed is a reset once written, and may have run.
            if now < idle.idle_since + longest && idle.is_usable() {
                return Some((idle.stream, ConnectionGuard::new(self), true));
            }
        }
    }

    /// Reads a load report by the form that the settings tell; what is malformed is counted and left out.
    pub(super) fn parse_load_report(
        &self,
        read: impl FnOnce(&LoadReportFormat) -> ParsedLoadReport,
    ) -> Option<LoadReport> {
        let ParsedLoadReport { load, malformed } = read(&self.config.borrow().settings.load_report_format);
        if malformed {
            self.metrics.malformed_reports.inc();
        }
        load
    }

    pub(super) fn return_connection(&self, peer: &Worker, stream: TcpStream, counted: ConnectionGuard) {
        if peer.accepts_work.get() {
            peer.idle.borrow_mut().push(IdleConnection { stream, idle_since: self.clock.now() });
            self.open_connections.set(self.open_connections.get() + 1);
        }
        drop(counted);
    }
}

/// Tells the engine of the end of an attempt, exactly once: also of one that panicked.
struct AttemptGuard {
    pool: Rc<Pool>,
    request: RequestId,
    attempt: u32,
    worker: WorkerId,
    stage: AttemptStage,
    reported: bool,
    /// What the worker said of its load with its last word.
    load: Option<LoadReport>,
}

impl AttemptGuard {
    fn report(&mut self, outcome: Outcome, result: Bytes) {
        if !std::mem::replace(&mut self.reported, true) {
            self.pool.attempts.borrow_mut().remove(&(self.request, self.attempt));
            let load = self.load.take();
            self.pool.handle.send(Input::AttemptEnded(self.request, self.attempt, outcome, result, load));
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.report(self.stage.outcome_if_broken(), Bytes::new());
    }
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
        pool.retain_idle(&peer, |_| false);
        end.report(Outcome::StaleConnection, Bytes::new());
    }
    if reusable {
        pool.return_connection(&peer, stream, counted);
    }
}

pub(super) async fn connect(pool: &Rc<Pool>, peer: &Worker) -> Option<(TcpStream, ConnectionGuard, bool)> {
    let address = peer.address.get()?;
    let counted = ConnectionGuard::new(pool);
    let patience = Duration::from_micros(pool.config.borrow().dial_timeout);
    let stream = timeout(patience, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, counted, false))
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
    let told: AnswerLine<'_> = serde_json::from_slice(line).ok()?;
    // Where another worker has taken over the address, its word is not that of the one that was chosen.
    let other = told.from.is_some_and(|from| worker_id(&from) != end.worker);
    if other || told.id.as_bytes() != payload.id {
        return None;
    }
    let (request, attempt) = (end.request, end.attempt);
    if let Some(load) = told.load {
        end.load = end.pool.parse_load_report(|form| form.parse_json(load.get()));
    }
    match &*told.state {
        "started" => end.pool.handle.send(Input::JobStarted(request, attempt)),
        "running" => end.pool.handle.send(Input::Progress(request, attempt, told.share)),
        "done" => end.report(Outcome::Ok, result_bytes(line, told.result)?),
        "failed" => end.report(Outcome::Error, Bytes::new()),
        "returned" => end.report(Outcome::Overloaded, Bytes::new()),
        "lost" => end.report(Outcome::Reset, Bytes::new()),
        _ => {}
    }
    Some(())
}

/// The workers that the list names, of the peers known; for the figures.
fn count_listed(listed: impl Iterator<Item = bool>) -> i64 {
    listed.filter(|listed| *listed).count().try_into().unwrap_or(i64::MAX)
}
