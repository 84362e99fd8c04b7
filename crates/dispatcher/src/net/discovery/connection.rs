//! A connection to discovery, and the state of the response that is read from it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use super::error::WatchError;
use crate::engine::{micros, Micros};
use crate::net::http::{status, Decoder, Head, Malformed, Piece, Start};
use crate::net::json_framing::JsonStream;
use crate::net::{has_unread_bytes, read_more, write_all};

/// Maximum time between two complete values of a watch; discovery sends an empty line every 2 s.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2800);
/// Timeout for connecting to discovery, whose agent runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Path of the endpoint list.
const LIST_PATH: &str = "/v1/servers";

/// A connection to discovery.
pub(super) struct DiscoveryConnection {
    stream: TcpStream,
    address: SocketAddr,
    buffer: BytesMut,
    /// Decoder of the current response's body; `None` until the head is read.
    body: Option<Decoder>,
    pub(super) json: JsonStream,
    pub(super) keep_alive: bool,
    /// The current request is a watch, not a request for the complete list.
    pub(super) is_watch: bool,
    /// A response with status 200 began.
    pub(super) answered: bool,
    /// `Retry-After` of a response with another status.
    pub(super) retry_after: Option<Micros>,
    /// Time of the last complete value, or of the last request.
    pub(super) last_value_at: Instant,
    /// The current response was read to its end.
    pub(super) response_complete: bool,
}

impl DiscoveryConnection {
    /// Connects and sends a request with this query; an empty query requests the complete list.
    ///
    /// # Errors
    /// Returns [`WatchError`] if no connection is established in time, or the request cannot be written.
    pub(super) async fn open(address: SocketAddr, query: &str) -> Result<DiscoveryConnection, WatchError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| WatchError::ConnectTimeout)?
            .map_err(WatchError::Connect)?;
        let _ = stream.set_nodelay(true);
        let mut connection = DiscoveryConnection {
            stream,
            address,
            buffer: BytesMut::new(),
            body: None,
            json: JsonStream::default(),
            keep_alive: false,
            is_watch: false,
            answered: false,
            retry_after: None,
            last_value_at: Instant::now(),
            response_complete: true,
        };
        connection.send_request(query).await?;
        Ok(connection)
    }

    /// Connects, sends a request and waits until the response begins.
    ///
    /// # Errors
    /// Returns [`WatchError`] if [`open`](Self::open) fails, or no response begins in time.
    pub(super) async fn open_answered(
        address: SocketAddr,
        query: &str,
    ) -> Result<DiscoveryConnection, WatchError> {
        let mut connection = DiscoveryConnection::open(address, query).await?;
        let deadline = connection.idle_deadline();
        match timeout_at(deadline, connection.read_more()).await {
            Ok(read) => read?,
            Err(_) => return Err(WatchError::ResponseTimeout),
        }
        connection.last_value_at = Instant::now();
        Ok(connection)
    }

    /// Sends a request with this query on the connection.
    ///
    /// # Errors
    /// Returns [`WatchError::Send`] if the request cannot be written.
    pub(super) async fn send_request(&mut self, query: &str) -> Result<(), WatchError> {
        self.response_complete = false;
        self.is_watch = !query.is_empty();
        self.body = None;
        self.last_value_at = Instant::now();
        let request = format!("GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let written = write_all(&mut self.stream, &mut Bytes::from(request)).await;
        written.map_err(WatchError::Send)
    }

    /// Returns the time at which the watch times out unless a complete value arrives before.
    pub(super) fn idle_deadline(&self) -> Instant {
        self.last_value_at + WATCH_IDLE_TIMEOUT
    }

    /// Reads more bytes into the buffer.
    ///
    /// # Errors
    /// Returns [`WatchError`] if the connection was closed or failed.
    pub(super) async fn read_more(&mut self) -> Result<(), WatchError> {
        match read_more(&mut self.stream, &mut self.buffer).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(WatchError::ConnectionClosed),
            Err(error) => Err(WatchError::ConnectionFailed(error)),
        }
    }

    /// Reads the bytes that the socket has already received, about `max_length` at most.
    pub(super) async fn read_received(&mut self, max_length: usize) {
        while self.buffer.len() < max_length
            && has_unread_bytes(&self.stream)
            && read_more(&mut self.stream, &mut self.buffer).await.is_ok()
        {}
    }

    /// Returns the next piece of the response's body from the buffer.
    ///
    /// # Errors
    /// Returns [`WatchError`] if the response is malformed, or its status is not 200.
    pub(super) fn next_piece(&mut self) -> Result<Piece, WatchError> {
        if self.body.is_none() {
            self.read_head()?;
        }
        match &mut self.body {
            Some(body) => Ok(body.next(&mut self.buffer)?),
            None => Ok(Piece::More),
        }
    }

    /// Takes the head of the response off the buffer once it is complete.
    fn read_head(&mut self) -> Result<(), WatchError> {
        let Some(head) = Head::response(&mut self.buffer)? else { return Ok(()) };
        let Start::Response(status) = head.start else { return Err(Malformed::Head.into()) };
        if status != status::OK {
            let retry_after = head.header_text("Retry-After").and_then(|text| text.trim().parse().ok());
            self.retry_after = retry_after.map(micros);
            return Err(WatchError::UnexpectedStatus(status));
        }
        self.answered = true;
        self.keep_alive = head.keep_alive;
        self.body = Some(Decoder::new(head.framing));
        Ok(())
    }
}
