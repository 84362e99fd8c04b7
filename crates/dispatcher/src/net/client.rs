//! Clients: their connections, their requests as jobs, and the answers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use super::http::{reason, text, Decoder, Framing, Head, Malformed, Piece, Start, MAX_BODY};
use super::metrics::{InFlight, Metrics, Outcome};
use super::mode::Mode;
use super::shutdown::ShutdownPhase;
use super::{has_unread_bytes, read_more, write_all, ConfigReceiver};
use crate::engine::{micros, Answer, Handle, Input, InvalidRequest, Job, Micros, Payload};
use dispatch_core::api::{Request, RequestId};

use dispatch_core::hashing::hash_bytes;

/// From this part of the connections on, in hundredths, idle ones are closed and new ones refused: a
/// dispatcher without descriptors could neither accept nor reach a worker.
const CROWDED_PERCENT: usize = 90;
/// A client asks its first request within this from connecting on, and sends each whole one within this from its
/// first byte on, head and body together. Clients that never end a request, or never begin one, have no claim to
/// a descriptor; their error or close is due within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same while there are too many connections.
const CROWDED_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// A client reads its answer within this.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long bytes that nobody wants are read after the last answer, and how many: a connection closed over
/// unread bytes is reset, and the answer lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 4 * MAX_BODY;
/// No id or key is longer.
const MAX_ID_BYTES: usize = 256;
/// More than this is not read ahead of an answer.
const READ_AHEAD_BYTES: usize = 16 * 1024;
/// So often it is looked at whether a client has left that has sent more than is read ahead.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A connection on which nothing was asked yet has this long for it before it is closed as idle.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);
/// While the program ends: no connection for this long, and the listener is closed.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(150);
/// After an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Without word of discovery, the list as last held serves after this.
pub(super) const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// What a refused client is told where the module was not asked, in seconds.
const CROWDED_RETRY_AFTER_S: f64 = 1.0;

/// What the connections share.
struct ClientContext {
    config: ConfigReceiver,
    handle: Handle,
    phase: watch::Receiver<ShutdownPhase>,
    ready: watch::Receiver<bool>,
    crowded: watch::Sender<bool>,
    started_at: Instant,
    /// Set by the operators' console.
    mode: watch::Receiver<Mode>,
    metrics: Rc<Metrics>,
}

/// Whether the process says yes to the health check and to the console's status: it has heard of its workers, or
/// waited long enough for them to serve with the list as last held; it serves; it is not in standby.
pub(crate) fn is_ready(heard: bool, since: Instant, phase: ShutdownPhase, mode: Mode) -> bool {
    (heard || since.elapsed() >= INITIAL_LIST_TIMEOUT)
        && phase == ShutdownPhase::Serving
        && mode == Mode::Active
}

impl ClientContext {
    fn standby(&self) -> bool {
        *self.mode.borrow() == Mode::Standby
    }
}

/// Accepts and serves clients until the program has been told to end and all is answered.
pub async fn accept(
    configs: ConfigReceiver,
    listener: TcpListener,
    handle: Handle,
    mut phase: watch::Receiver<ShutdownPhase>,
    ready: watch::Receiver<bool>,
    mode: watch::Receiver<Mode>,
    metrics: Rc<Metrics>,
) {
    let (crowded, _) = watch::channel(false);
    let since = Instant::now();
    let shared = Rc::new(ClientContext {
        config: configs,
        handle: handle.clone(),
        phase: phase.clone(),
        ready,
        crowded,
        started_at: since,
        mode,
        metrics,
    });
    let mut listener = Some(listener);
    let mut tasks = JoinSet::new();
    let mut told = false;
    loop {
        let now = *phase.borrow_and_update();
        if now >= ShutdownPhase::Finishing && !std::mem::replace(&mut told, true) {
            handle.send(Input::Shutdown);
        }
        if now == ShutdownPhase::Finished || listener.is_none() && tasks.is_empty() {
            return;
        }
        let most = shared.config.borrow().client_sockets;
        let crowd = most * CROWDED_PERCENT / 100;
        let crowd_now = tasks.len() >= crowd;
        shared.crowded.send_if_modified(|c| std::mem::replace(c, crowd_now) != crowd_now);
        let accepted = async {
            match &listener {
                Some(listener) if now < ShutdownPhase::Closing => Some(listener.accept().await),
                Some(listener) => timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await.ok(),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            // First, so that what has ended is not counted against what comes.
            Some(done) = tasks.join_next() => {
                if done.is_err() {
                    tracing::error!("a connection's task panicked; its connection is closed");
                }
            }
            accepted = accepted, if tasks.len() < most => match accepted {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nodelay(true);
                    tasks.spawn_local(Connection::serve(stream, shared.clone(), crowd_now));
                }
                Some(Err(error)) => {
                    tracing::warn!(%error, "cannot accept");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => listener = None,
            },
            changed = phase.changed() => {
                if changed.is_err() {
                    // Whoever told the phase is gone: none will follow.
                    return;
                }
            }
        }
    }
}

/// Waits for the other side to end its sending where more has come than is read ahead: the end lies behind bytes that
/// nobody reads now, and wakes nobody, but the system tells of it.
async fn read_closed(stream: &TcpStream) {
    while stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}

/// Why a request is not taken.
struct RequestRejection(u16, &'static str);

impl From<Malformed> for RequestRejection {
    fn from(malformed: Malformed) -> Self {
        RequestRejection(malformed.status(), reason(malformed.status()))
    }
}

/// Why a conversation ends.
enum ConnectionEnd {
    /// In good order: after an answer, or between requests.
    Close,
    /// There is nobody to talk to any more.
    Lost,
    /// After an answer to what cannot be understood.
    Reject(RequestRejection),
}

impl From<Malformed> for ConnectionEnd {
    fn from(malformed: Malformed) -> Self {
        ConnectionEnd::Reject(malformed.into())
    }
}

/// A request did not come whole in time.
const REQUEST_TOO_SLOW: ConnectionEnd =
    ConnectionEnd::Reject(RequestRejection(408, "the request did not come in time"));

/// One client connection.
struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    context: Rc<ClientContext>,
    /// It came when there were too many.
    over_limit: bool,
    /// Nothing was asked on it yet.
    awaiting_first_request: bool,
    /// The present request is due whole by this, counted from its first byte or from connecting.
    request_started_at: Instant,
}

impl Connection {
    async fn serve(stream: TcpStream, shared: Rc<ClientContext>, surplus: bool) {
        let mut connection = Connection {
            stream,
            buf: BytesMut::new(),
            context: shared,
            over_limit: surplus,
            awaiting_first_request: true,
            request_started_at: Instant::now(),
        };
        let end = loop {
            match connection.serve_request().await {
                Ok(true) => {}
                Ok(false) => break ConnectionEnd::Close,
                Err(end) => break end,
            }
        };
        match end {
            ConnectionEnd::Lost => return,
            ConnectionEnd::Close => {}
            ConnectionEnd::Reject(RequestRejection(status, words)) => {
                let message = encode_response(status, None, false, Bytes::from_static(words.as_bytes()));
                if connection.write_message(message).await.is_err() {
                    return;
                }
            }
        }
        let _ = timeout(LINGER_TIMEOUT, connection.linger()).await;
    }

    /// Ends the sending and reads what still comes, up to the end.
    async fn linger(&mut self) {
        let mut left = LINGER_BYTES;
        if self.stream.shutdown().await.is_ok() {
            while left > 0 {
                self.buf.clear();
                match read_more(&mut self.stream, &mut self.buf).await {
                    Ok(true) => left = left.saturating_sub(self.buf.len()),
                    _ => return,
                }
            }
        }
    }

    /// One request and its answer; true where the connection stays open for another.
    async fn serve_request(&mut self) -> Result<bool, ConnectionEnd> {
        let head = self.read_head().await?;
        self.awaiting_first_request = false;
        let Start::Request(method, target) = &head.start else { return Err(ConnectionEnd::Lost) };
        let job = self.parse_job(&head, method, target);
        let body = match timeout_at(self.request_started_at + REQUEST_TIMEOUT, self.read_body(&head)).await {
            Ok(body) => body?,
            Err(_) => return Err(REQUEST_TOO_SLOW),
        };
        let answer = match job {
            Ok(None) => {
                let shared = &self.context;
                let ready = is_ready(
                    *shared.ready.borrow(),
                    shared.started_at,
                    *shared.phase.borrow(),
                    *shared.mode.borrow(),
                );
                Ok(if ready { Answer::Served(Bytes::from_static(b"ready\n")) } else { Answer::Refused(None) })
            }
            Ok(Some(job)) if self.over_limit => {
                self.context.metrics.count(&job.payload.class, Outcome::Refused);
                Ok(Answer::Refused(Some(CROWDED_RETRY_AFTER_S)))
            }
            Ok(Some(mut job)) => {
                job.payload.body = body;
                let class = job.payload.class.clone();
                let answer = self.await_answer(*job).await?;
                let outcome = match &answer {
                    Answer::Served(_) => Outcome::Served,
                    Answer::Refused(_) | Answer::Rejected(InvalidRequest::DuplicateId) => Outcome::Refused,
                    Answer::Failed | Answer::Rejected(InvalidRequest::Unusable) => Outcome::Failed,
                };
                self.context.metrics.count(&class, outcome);
                Ok(answer)
            }
            Err(rejected) => Err(rejected),
        };
        // In standby each connection ends after its answer: clients go elsewhere for the next.
        let keep = head.keep_alive
            && !self.over_limit
            && *self.context.phase.borrow() <= ShutdownPhase::Draining
            && !self.context.standby();
        let message = match answer {
            Ok(Answer::Served(result)) => encode_response(200, None, keep, result),
            Ok(Answer::Refused(after)) => {
                encode_response(503, after, keep, Bytes::from_static(b"try again later\n"))
            }
            Ok(Answer::Rejected(fault)) => {
                let (status, words) = match fault {
                    InvalidRequest::DuplicateId => (409, "a request of this id is open"),
                    InvalidRequest::Unusable => (400, "no worker can use this request"),
                };
                encode_response(status, None, keep, Bytes::from_static(words.as_bytes()))
            }
            Ok(Answer::Failed) => encode_response(502, None, keep, Bytes::from_static(b"the job failed\n")),
            Err(RequestRejection(status, words)) => {
                encode_response(status, None, keep, Bytes::from_static(words.as_bytes()))
            }
        };
        self.write_message(message).await?;
        Ok(keep)
    }

    /// The next head.
    async fn read_head(&mut self) -> Result<Head, ConnectionEnd> {
        // From the first byte on, however slowly the others come; of the first request from connecting on.
        if !self.awaiting_first_request {
            self.request_started_at = Instant::now();
        }
        loop {
            if let Some(head) = Head::request(&mut self.buf)? {
                return Ok(head);
            }
            let (idle, fresh, begun) =
                (self.buf.is_empty(), self.awaiting_first_request, self.request_started_at);
            let (mut phase, mut crowded) = (self.context.phase.clone(), self.context.crowded.subscribe());
            let mut mode = self.context.mode.clone();
            let dismissed = async {
                tokio::select! {
                    _ = phase.wait_for(|p| *p >= ShutdownPhase::Closing) => {}
                    _ = crowded.wait_for(|c| *c) => {}
                    _ = mode.wait_for(|m| *m == Mode::Standby) => {}
                }
                if fresh {
                    // Its first request may be on the way, and would be lost: no client sends that again.
                    sleep(FIRST_REQUEST_GRACE).await;
                }
            };
            // A head that stops half-way holds a descriptor that others need.
            let mut still_crowded = self.context.crowded.subscribe();
            let squeezed = async {
                let _ = still_crowded.wait_for(|c| *c).await;
                sleep_until(begun + CROWDED_REQUEST_TIMEOUT).await;
            };
            let surplus = self.over_limit;
            tokio::select! {
                biased;
                read = read_more(&mut self.stream, &mut self.buf) => match read {
                    Ok(true) if idle && !fresh => self.request_started_at = Instant::now(),
                    Ok(true) => {}
                    _ => return Err(ConnectionEnd::Lost),
                },
                // A client whose request crosses this sends it again: what comes from here on is read and dropped, since
                // a close over bytes that nobody has read resets the connection and takes the last answer along.
                () = dismissed, if idle && !surplus => match has_unread_bytes(&self.stream) {
                    true => tokio::task::yield_now().await,
                    false => return Err(ConnectionEnd::Close),
                },
                () = async { tokio::select! { () = sleep_until(begun + REQUEST_TIMEOUT) => {} () = squeezed => {} } },
                    if !idle || surplus =>
                {
                    return Err(REQUEST_TOO_SLOW);
                }
                () = sleep_until(begun + REQUEST_TIMEOUT), if idle && fresh && !surplus => {
                    match has_unread_bytes(&self.stream) {
                        true => tokio::task::yield_now().await,
                        false => return Err(ConnectionEnd::Close),
                    }
                }
            }
        }
    }

    /// The body, as one slice.
    async fn read_body(&mut self, head: &Head) -> Result<Bytes, ConnectionEnd> {
        let expects = head.header_text("Expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
        if let Framing::Length(length) = head.framing {
            if length > MAX_BODY as u64 {
                return Err(Malformed::BodyTooLarge.into());
            }
            if expects && (self.buf.len() as u64) < length {
                self.send_continue().await?;
            }
            while (self.buf.len() as u64) < length {
                self.read_more().await?;
            }
            return Ok(self.buf.split_to(length as usize).freeze());
        }
        if expects && self.buf.is_empty() {
            self.send_continue().await?;
        }
        let mut decoder = Decoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.next(&mut self.buf)? {
                Piece::Data(piece) if body.len() + piece.len() > MAX_BODY => {
                    return Err(Malformed::BodyTooLarge.into());
                }
                Piece::Data(piece) => match piece.try_into_mut() {
                    Ok(first) if body.is_empty() => body = first,
                    Ok(piece) => body.extend_from_slice(&piece),
                    Err(piece) => body.extend_from_slice(&piece),
                },
                Piece::More => self.read_more().await?,
                Piece::End => return Ok(body.freeze()),
            }
        }
    }

    async fn send_continue(&mut self) -> Result<(), ConnectionEnd> {
        self.write_message((Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"), Bytes::new())).await
    }

    async fn read_more(&mut self) -> Result<(), ConnectionEnd> {
        match read_more(&mut self.stream, &mut self.buf).await {
            Ok(true) => Ok(()),
            _ => Err(ConnectionEnd::Lost),
        }
    }

    async fn write_message(&mut self, message: (Bytes, Bytes)) -> Result<(), ConnectionEnd> {
        let mut message = message.0.chain(message.1);
        match timeout(ANSWER_TIMEOUT, write_all(&mut self.stream, &mut message)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(ConnectionEnd::Lost),
        }
    }

    /// Hands the job in and waits for its answer, or for the client to leave.
    async fn await_answer(&mut self, job: Job) -> Result<Answer, ConnectionEnd> {
        let _in_flight = InFlight::new(&self.context.metrics);
        let mut ticket = self.context.handle.submit(job);
        loop {
            let more = async {
                if self.buf.len() < READ_AHEAD_BYTES {
                    return read_more(&mut self.stream, &mut self.buf).await;
                }
                read_closed(&self.stream).await;
                Ok(false)
            };
            tokio::select! {
                biased;
                answer = ticket.answer() => return Ok(answer),
                read = more => match read {
                    Ok(true) => {}
                    // The client has left, or has ended its sending alone: sockets do not tell which. It counts
                    // as gone, but one that still reads gets a whole answer.
                    Ok(false) => return Err(ConnectionEnd::Reject(RequestRejection(502, "the client left before the answer"))),
                    Err(_) => return Err(ConnectionEnd::Lost),
                },
            }
        }
    }

    /// What the head asks for: a job, or none where it asks whether the dispatcher is ready.
    fn parse_job(
        &self,
        head: &Head,
        method: &Bytes,
        target: &Bytes,
    ) -> Result<Option<Box<Job>>, RequestRejection> {
        let config = self.context.config.borrow().clone();
        let names = &config.names;
        let target_text =
            text(target).filter(|t| t.starts_with('/') && t.bytes().all(|b| b.is_ascii_graphic()));
        let target_text = target_text.ok_or(RequestRejection(400, "the target must be a path"))?;
        let (path, query) = target_text.split_once('?').unwrap_or((target_text, ""));
        if path == "/healthz" {
            return match &method[..] {
                b"GET" => Ok(None),
                _ => Err(RequestRejection(405, "ask for this with GET")),
            };
        }
        let name = path[1..].split('/').next().unwrap_or("");
        let class = names.classes.iter().position(|c| c.name == name);
        let class = class.ok_or(RequestRejection(404, "there is no such class of request"))?;
        let info = &names.classes[class];
        if &method[..] != b"POST" {
            return Err(RequestRejection(405, "jobs come by POST"));
        }
        // Of two values a worker might heed the other one.
        let one = |name: &str| {
            head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).count() < 2
        };
        let once =
            ["Request-Id", "Idempotency-Key", "Tenant", "Request-Timeout-Ms", "Work-Hint", "Client-Retry"];
        if !once.into_iter().all(one) {
            return Err(RequestRejection(400, "a header that must come once comes again"));
        }
        let id = head.header("Request-Id").filter(|id| !id.is_empty());
        let id = id.ok_or(RequestRejection(400, "Request-Id is missing"))?.clone();
        let idempotency_key = head.header("Idempotency-Key").filter(|k| !k.is_empty()).cloned();
        // These reach a worker as they are. On what it cannot read it closes, whatever else waits there.
        let plain = |bytes: &Bytes| bytes.len() <= MAX_ID_BYTES && bytes.iter().all(u8::is_ascii_graphic);
        if !plain(&id) || !idempotency_key.as_ref().is_none_or(plain) {
            return Err(RequestRejection(400, "Request-Id and Idempotency-Key are plain words"));
        }
        if info.requires_idempotency_key && idempotency_key.is_none() {
            return Err(RequestRejection(400, "Idempotency-Key is missing"));
        }
        let tenant = match head.header_text("Tenant") {
            _ if names.tenants.is_empty() => 0,
            Some(tenant) => {
                let place = names.tenants.iter().position(|t| t == tenant);
                place.ok_or(RequestRejection(400, "there is no such Tenant"))?
            }
            None => return Err(RequestRejection(400, "Tenant is missing")),
        };
        let patience = match head.header_text("Request-Timeout-Ms") {
            // No client waits longer than its class lets it.
            Some(v) => {
                parse_number::<Micros>(v, "Request-Timeout-Ms")?.saturating_mul(1000).min(info.timeout)
            }
            None => info.timeout,
        };
        // Whole microseconds of running on a standard core.
        let hint = match head.header("Work-Hint").map(|v| text(v).unwrap_or("")) {
            Some(v) => Some(parse_number::<u64>(v, "Work-Hint")?).filter(|v| *v > 0),
            None => None,
        };
        let mut request = Request {
            id: RequestId(0),
            class: class as u32,
            tenant: tenant as u32,
            slots: 1.0,
            memory: 0.0,
            timeout: 0.0,
            is_retry: head.header_text("Client-Retry") == Some("1"),
            expected_run_time: hint.map(|micros| micros as f64 / 1e6),
            affinity_key: query
                .split('&')
                .find_map(|p| p.strip_prefix("sid="))
                .filter(|k| !k.is_empty())
                .map(affinity_key),
        };
        for (name, value) in head.header_text("Request-Info").unwrap_or("").split(',').filter_map(parse_pair)
        {
            let figure = || parse_number::<f64>(value, "Request-Info").map(|v| v.clamp(0.0, 1e9));
            match name {
                "slots" | "cores-needed" => request.slots = figure()?,
                "memory" | "ram-units" => request.memory = figure()?,
                "hint" | "expected-s" => request.expected_run_time = Some(figure()?).filter(|v| *v > 0.0),
                _ => {}
            }
        }
        let payload = Payload {
            id,
            method: method.clone(),
            target: target.clone(),
            idempotency_key,
            body: Bytes::new(),
            class: info.name.as_str().into(),
            concluded: Cell::default(),
        };
        Ok(Some(Box::new(Job { request, timeout: patience, payload })))
    }
}

fn parse_pair(text: &str) -> Option<(&str, &str)> {
    text.split_once('=').map(|(name, value)| (name.trim(), value.trim()))
}

fn parse_number<T: std::str::FromStr + PartialOrd + Default>(
    text: &str,
    header: &str,
) -> Result<T, RequestRejection> {
    let malformed = match header {
        "Request-Info" => RequestRejection(400, "Request-Info holds what is no number"),
        "Work-Hint" => RequestRejection(400, "Work-Hint is no whole number of microseconds"),
        _ => RequestRejection(400, "Request-Timeout-Ms is no whole number"),
    };
    // Also false for what is neither: not a number.
    match text.trim().parse::<T>() {
        Ok(v) if v >= T::default() => Ok(v),
        _ => Err(malformed),
    }
}

/// A key as the module knows it: the same at every dispatcher.
fn affinity_key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_bytes(text.as_bytes()))
}

/// A response, as its head and its body.
fn encode_response(status: u16, retry_after: Option<f64>, keep: bool, body: Bytes) -> (Bytes, Bytes) {
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
