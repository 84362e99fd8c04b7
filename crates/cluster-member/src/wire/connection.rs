//! Framed connections that carry messages.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::error::Elapsed;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{
    decode, encode, ClientHello, HandshakeRejection, MessageError, ServerHello, MAX_FRAME_BYTES,
    OLDEST_SCHEMA_VERSION,
};

/// Maximum length of a frame until the handshake is complete, in bytes.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 << 10;
/// Timeout of the handshake, and of each write.
pub const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// Sending half of a connection.
pub type ConnectionWriter = SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>;

/// Error of connecting, sending or receiving.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// Connecting failed, or the connection was lost. A retry may succeed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer took longer than [`IO_TIMEOUT`]. A retry may succeed.
    #[error(transparent)]
    TimedOut(#[from] Elapsed),
    /// A message cannot be encoded, or received bytes cannot be decoded.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The peer rejected the handshake. Retries fail until one of the two ends is reconfigured.
    #[error("handshake rejected: {0}")]
    Rejected(HandshakeRejection),
}

impl From<io::ErrorKind> for ConnectionError {
    fn from(kind: io::ErrorKind) -> ConnectionError {
        ConnectionError::Io(kind.into())
    }
}

impl ConnectionError {
    /// Returns the reason for a rejected handshake; `None` for other errors.
    pub fn handshake_rejection(&self) -> Option<&HandshakeRejection> {
        match self {
            ConnectionError::Rejected(rejection) => Some(rejection),
            _ => None,
        }
    }
}

/// Framed connection that carries messages.
#[derive(Debug)]
pub struct Connection(Framed<TcpStream, LengthDelimitedCodec>);

impl Connection {
    fn from_stream(stream: TcpStream) -> Connection {
        // Messages are small, so Nagle's algorithm would only add delay.
        let _ = stream.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME_BYTES).new_codec();
        Connection(Framed::new(stream, codec))
    }

    /// Connects from a local address and performs the handshake. Returns the connection and the name of the peer.
    ///
    /// # Errors
    /// Returns [`ConnectionError::Rejected`] if the peer rejects the handshake, and another [`ConnectionError`] if the
    /// peer is unreachable or does not complete the handshake within [`IO_TIMEOUT`].
    pub async fn connect(
        to: SocketAddr,
        local_address: Option<IpAddr>,
        hello: &ClientHello,
    ) -> Result<(Connection, String), ConnectionError> {
        let mut hello = hello.clone();
        loop {
            let handshake = Connection::handshake(to, local_address, &hello);
            let (connection, response) = timeout(IO_TIMEOUT, handshake).await??;
            match response {
                ServerHello::Accepted { name } => return Ok((connection, name)),
                // The server supports only older schema versions: retries with its latest if this program supports it.
                ServerHello::Rejected(HandshakeRejection::UnsupportedSchema { latest_supported })
                    if (OLDEST_SCHEMA_VERSION..hello.schema_version).contains(&latest_supported) =>
                {
                    hello.schema_version = latest_supported;
                }
                ServerHello::Rejected(rejection) => return Err(ConnectionError::Rejected(rejection)),
            }
        }
    }

    async fn handshake(
        to: SocketAddr,
        local_address: Option<IpAddr>,
        hello: &ClientHello,
    ) -> Result<(Connection, ServerHello), ConnectionError> {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(local_address) = local_address {
            socket.bind(SocketAddr::new(local_address, 0))?;
        }
        let mut connection = Connection::from_stream(socket.connect(to).await?);
        connection.send(hello).await?;
        let response = connection.receive().await?;
        connection.raise_frame_limit();
        Ok((connection, response))
    }

    /// Wraps an accepted stream and receives the client's hello.
    ///
    /// # Errors
    /// Returns an error if no hello arrives within [`IO_TIMEOUT`], or it cannot be decoded.
    pub async fn accept(stream: TcpStream) -> Result<(Connection, ClientHello), ConnectionError> {
        let mut connection = Connection::from_stream(stream);
        let hello = timeout(IO_TIMEOUT, connection.receive()).await??;
        Ok((connection, hello))
    }

    /// Responds to the client's hello.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub async fn send_server_hello(&mut self, hello: &ServerHello) -> Result<(), ConnectionError> {
        self.send(hello).await?;
        self.raise_frame_limit();
        Ok(())
    }

    fn raise_frame_limit(&mut self) {
        self.0.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// Sends a message.
    ///
    /// # Errors
    /// Returns an error if the message is too long, the connection is closed, or a write takes longer than [`IO_TIMEOUT`].
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), ConnectionError> {
        self.send_encoded(encode(message)?).await
    }

    /// Sends a message that was encoded with [`encode`].
    ///
    /// # Errors
    /// Returns an error if the connection is closed, or a write takes longer than [`IO_TIMEOUT`].
    pub async fn send_encoded(&mut self, encoded: Bytes) -> Result<(), ConnectionError> {
        Ok(timeout(IO_TIMEOUT, self.0.send(encoded)).await??)
    }

    /// Receives the bytes of the next message. Cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub async fn receive_encoded(&mut self) -> Result<BytesMut, ConnectionError> {
        Ok(self.0.next().await.ok_or(io::ErrorKind::UnexpectedEof)??)
    }

    /// Receives the next message. Cancel safe.
    ///
    /// # Errors
    /// Returns an error if the connection is closed, or the message cannot be decoded.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, ConnectionError> {
        Ok(decode(&self.receive_encoded().await?)?)
    }

    /// Splits the connection into halves that two tasks can own.
    pub fn split(self) -> (ConnectionWriter, ConnectionReader) {
        let (writer, reader) = self.0.split();
        (writer, ConnectionReader(reader))
    }
}

/// Receiving half of a connection.
#[derive(Debug)]
pub struct ConnectionReader(SplitStream<Framed<TcpStream, LengthDelimitedCodec>>);

impl ConnectionReader {
    /// Receives the next message. Cancel safe.
    ///
    /// # Errors
    /// Returns an error if the connection is closed, or the message cannot be decoded.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, ConnectionError> {
        let frame = self.0.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        Ok(decode(&frame)?)
    }
}
