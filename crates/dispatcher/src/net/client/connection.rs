//! One client connection: requests are read, handed in as jobs and answered, one after the other.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use super::connection_limit::FirstRequestWait;
use super::request::{parse_job, RequestRejection};
use super::response::{encode_answer, encode_response};
use super::ClientContext;
use crate::engine::{Answer, InvalidRequest, Job};
use crate::net::http::{Decoder, Framing, Head, Malformed, Piece, Start, MAX_BODY};
use crate::net::metrics::{InFlight, Outcome};
use crate::net::mode::Mode;
use crate::net::shutdown::ShutdownPhase;
use crate::net::{has_unread_bytes, read_more, write_all};

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
/// More than this is not read ahead of an answer.
const READ_AHEAD_BYTES: usize = 16 * 1024;
/// So often it is looked at whether a client has left that has sent more than is read ahead.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A connection on which nothing was asked yet has this long for it before it is closed as idle.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);
/// What a refused client is told where the module was not asked, in seconds.
const CROWDED_RETRY_AFTER_S: f64 = 1.0;

/// Waits for the other side to end its sending where more has come than is read ahead: the end lies behind bytes that
/// nobody reads now, and wakes nobody, but the system tells of it.
async fn read_closed(stream: &TcpStream) {
    while stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}

/// Waits until a connection on which no request has begun is to end, and says how. On one that was never used the first
/// request may be on its way, and would be lost: no client sends that again.
async fn dismissed(context: &ClientContext, never_used: bool) -> ConnectionEnd {
    let (mut phase, mut crowded) = (context.phase.clone(), context.crowded.subscribe());
    let mut mode = context.mode.clone();
    let end = tokio::select! {
        _ = phase.wait_for(|p| *p >= ShutdownPhase::Closing) => ConnectionEnd::Close,
        // No answer was written that a reset could take along, and others need the place.
        _ = crowded.wait_for(|c| *c) => if never_used { ConnectionEnd::Evicted } else { ConnectionEnd::Close },
        _ = mode.wait_for(|m| *m == Mode::Standby) => ConnectionEnd::Close,
    };
    if never_used {
        sleep(FIRST_REQUEST_GRACE).await;
    }
    end
}

/// Waits until the time for a request that began then is over; a head that stops half-way holds a descriptor that
/// others need, so that it is shorter while connections are scarce.
async fn request_overdue(context: &ClientContext, begun: Instant) {
    let mut crowded = context.crowded.subscribe();
    let overdue_when_crowded = async {
        let _ = crowded.wait_for(|c| *c).await;
        sleep_until(begun + CROWDED_REQUEST_TIMEOUT).await;
    };
    tokio::select! {
        () = sleep_until(begun + REQUEST_TIMEOUT) => {}
        () = overdue_when_crowded => {}
    }
}

/// Waits until the connection is to give its place to another; one that does not wait for its first request never is.
async fn evicted(wait: Option<FirstRequestWait>) {
    match wait {
        Some(wait) => wait.notified().await,
        None => std::future::pending().await,
    }
}

/// Why a conversation ends.
enum ConnectionEnd {
    /// In good order: after an answer, or between requests.
    Close,
    /// There is nobody to talk to any more.
    Lost,
    /// Unread, with no request begun: another connection needs its place.
    Evicted,
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
pub(super) struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    context: Rc<ClientContext>,
    /// It came when there were too many.
    over_limit: bool,
    /// Nothing was asked on it yet.
    awaiting_first_request: bool,
    /// Held until the first byte of the first request, or the end.
    first_request_wait: Option<FirstRequestWait>,
    /// The present request is due whole by this, counted from its first byte or from connecting.
    request_started_at: Instant,
}

impl Connection {
    pub(super) async fn serve(stream: TcpStream, context: Rc<ClientContext>, over_limit: bool) {
        let first_request_wait = Some(context.limit.start_waiting());
        let mut connection = Connection {
            stream,
            buf: BytesMut::new(),
            context,
            over_limit,
            awaiting_first_request: true,
            first_request_wait,
            request_started_at: Instant::now(),
        };
        let end = loop {
            match connection.serve_request().await {
                Ok(true) => {}
                Ok(false) => break ConnectionEnd::Close,
                Err(end) => break end,
            }
        };
        // What ends by itself cannot give way any sooner.
        connection.first_request_wait = None;
        match end {
            ConnectionEnd::Lost | ConnectionEnd::Evicted => return,
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
        let Start::Request { method, target } = &head.start else { return Err(ConnectionEnd::Lost) };
        let job = {
            let config = self.context.config.borrow().clone();
            parse_job(&config, &head, method, target)
        };
        let body = match timeout_at(self.request_started_at + REQUEST_TIMEOUT, self.read_body(&head)).await {
            Ok(body) => body?,
            Err(_) => return Err(REQUEST_TOO_SLOW),
        };
        let answer = match job {
            Ok(None) => Ok(self.context.readiness()),
            Ok(Some(job)) if self.over_limit => {
                self.context.metrics.count(&job.payload.class, Outcome::Refused);
                Ok(Answer::Rejected { retry_after: Some(CROWDED_RETRY_AFTER_S) })
            }
            Ok(Some(mut job)) => {
                job.payload.body = body;
                let class = job.payload.class.clone();
                let answer = self.await_answer(*job).await?;
                let outcome = match &answer {
                    Answer::Served(_) => Outcome::Served,
                    Answer::Rejected { .. } | Answer::Invalid(InvalidRequest::DuplicateId) => {
                        Outcome::Refused
                    }
                    Answer::Failed | Answer::Invalid(InvalidRequest::Unusable) => Outcome::Failed,
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
            Ok(answer) => encode_answer(answer, keep),
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
            let evicted = evicted(self.first_request_wait.clone());
            let dismissed = dismissed(&self.context, fresh);
            tokio::select! {
                biased;
                read = read_more(&mut self.stream, &mut self.buf) => match read {
                    Ok(true) => {
                        self.first_request_wait = None;
                        if idle && !fresh {
                            self.request_started_at = Instant::now();
                        }
                    }
                    _ => return Err(ConnectionEnd::Lost),
                },
                () = evicted => if !has_unread_bytes(&self.stream) {
                    return Err(ConnectionEnd::Evicted);
                },
                // A client whose request crosses this sends it again: what comes from here on is read and dropped, since
                // a close over bytes that nobody has read resets the connection and takes the last answer along.
                end = dismissed, if idle => if has_unread_bytes(&self.stream) {
                    tokio::task::yield_now().await;
                } else {
                    return Err(end);
                },
                () = request_overdue(&self.context, begun), if !idle => return Err(REQUEST_TOO_SLOW),
                () = sleep_until(begun + REQUEST_TIMEOUT), if idle && fresh => {
                    if has_unread_bytes(&self.stream) {
                        tokio::task::yield_now().await;
                    } else {
                        return Err(ConnectionEnd::Close);
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
}
