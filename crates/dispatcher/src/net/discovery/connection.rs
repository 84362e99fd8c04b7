//! One connection to discovery, and how much of an answer was read.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use crate::engine::Micros;
use crate::net::http::Decoder;
use crate::net::json_framing::JsonStream;
use crate::net::{read_more, write_all};

/// An empty line comes every 2 s; a watch that is silent for longer is dead, whatever its connection says.
pub(super) const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2800);
/// The agent is on this machine: it takes a connection at once or not at all.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to discovery, and how much of an answer was read.
pub(super) struct DiscoveryConnection {
    pub(super) stream: TcpStream,
    pub(super) host: SocketAddr,
    pub(super) buf: BytesMut,
    pub(super) body: Option<Decoder>,
    pub(super) json: JsonStream,
    pub(super) keep_alive: bool,
    pub(super) is_watch: bool,
    pub(super) answered: bool,
    pub(super) retry_after: Option<Micros>,
    /// When something whole was heard last, or asked for.
    pub(super) last_heard_at: Instant,
    /// All of the answer was taken: something is to be asked next.
    pub(super) response_complete: bool,
}

impl DiscoveryConnection {
    /// Connects and asks.
    pub(super) async fn open(host: SocketAddr, query: &str) -> Result<DiscoveryConnection, String> {
        let stream = match timeout(DIAL_TIMEOUT, TcpStream::connect(host)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(format!("cannot connect: {error}")),
            Err(_) => return Err("no connection in time".to_owned()),
        };
        let _ = stream.set_nodelay(true);
        let mut talk = DiscoveryConnection {
            stream,
            host,
            buf: BytesMut::new(),
            body: None,
            json: JsonStream::default(),
            keep_alive: false,
            is_watch: false,
            answered: false,
            retry_after: None,
            last_heard_at: Instant::now(),
            response_complete: true,
        };
        talk.send_request(query).await?;
        Ok(talk)
    }

    /// Connects, asks and waits until the answer begins.
    pub(super) async fn open_answered(host: SocketAddr, query: &str) -> Result<DiscoveryConnection, String> {
        let mut talk = DiscoveryConnection::open(host, query).await?;
        match timeout_at(
            talk.last_heard_at + WATCH_SILENCE_TIMEOUT,
            read_more(&mut talk.stream, &mut talk.buf),
        )
        .await
        {
            Ok(Ok(true)) => {
                talk.last_heard_at = Instant::now();
                Ok(talk)
            }
            Ok(Ok(false)) => Err("the connection ended".to_owned()),
            Ok(Err(error)) => Err(format!("the connection broke: {error}")),
            Err(_) => Err("nothing was answered".to_owned()),
        }
    }

    pub(super) async fn send_request(&mut self, query: &str) -> Result<(), String> {
        (self.response_complete, self.is_watch, self.body) = (false, !query.is_empty(), None);
        self.last_heard_at = Instant::now();
        let request = format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.host);
        let written = write_all(&mut self.stream, &mut Bytes::from(request)).await;
        written.map_err(|error| format!("cannot ask: {error}"))
    }
}
