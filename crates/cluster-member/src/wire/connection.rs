//! Connections that carry messages.

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

/// The longest frame before the other end is known, in bytes.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 << 10;
/// How long the other end may take for its part of the handshake, or to take a frame.
pub const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// The outgoing half of a connection.
pub type ConnectionWriter = SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>;

/// Why there is no connection, or no more.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection could not be made, or broke. Another attempt may succeed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other end took longer than [`IO_TIMEOUT`]. Another attempt may succeed.
    #[error(transparent)]
    TimedOut(#[from] Elapsed),
    /// A message cannot be sent, or what came is none.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The other end accepts no connection of this process, until something is changed at one of them.
    #[error("turned away: {0}")]
    Rejected(HandshakeRejection),
}

impl From<io::ErrorKind> for ConnectionError {
    fn from(kind: io::ErrorKind) -> ConnectionError {
        ConnectionError::Io(kind.into())
    }
}

impl ConnectionError {
    /// Why the other end rejected the handshake, if it did.
    pub fn handshake_rejection(&self) -> Option<&HandshakeRejection> {
        match self {
            ConnectionError::Rejected(rejection) => Some(rejection),
            _ => None,
        }
    }
}

/// A connection that carries messages.
#[derive(Debug)]
pub struct Connection(Framed<TcpStream, LengthDelimitedCodec>);

impl Connection {
    fn from_stream(stream: TcpStream) -> Connection {
        // Small messages are answered by small messages; waiting to fill packets would only add delay.
        let _ = stream.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_FRAME_BYTES).new_codec();
        Connection(Framed::new(stream, codec))
    }

    /// Connects from a local address, and gives the connection and the name of the other end.
    ///
    /// # Errors
    /// Nobody is there, it takes too long, or the other end rejects the handshake.
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
                // A server of an older schema: it is spoken to in its own, where that is still known here.
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

    /// Takes in a stream and receives its client's hello.
    ///
    /// # Errors
    /// None comes in time, or what comes cannot be read.
    pub async fn accept(stream: TcpStream) -> Result<(Connection, ClientHello), ConnectionError> {
        let mut connection = Connection::from_stream(stream);
        let hello = timeout(IO_TIMEOUT, connection.receive()).await??;
        Ok((connection, hello))
    }

    /// Responds to the client's hello.
    ///
    /// # Errors
    /// The connection is gone.
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
    /// The message is too long, the connection is gone, or takes nothing for [`IO_TIMEOUT`].
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), ConnectionError> {
        self.send_encoded(encode(message)?).await
    }

    /// Sends a message that was encoded before.
    ///
    /// # Errors
    /// The connection is gone, or takes nothing for [`IO_TIMEOUT`].
    pub async fn send_encoded(&mut self, encoded: Bytes) -> Result<(), ConnectionError> {
        Ok(timeout(IO_TIMEOUT, self.0.send(encoded)).await??)
    }

    /// The bytes of the next message. Cancel safe: whoever stops waiting for it loses nothing.
    ///
    /// # Errors
    /// The connection is gone.
    pub async fn receive_encoded(&mut self) -> Result<BytesMut, ConnectionError> {
        Ok(self.0.next().await.ok_or(io::ErrorKind::UnexpectedEof)??)
    }

    /// The next message. Cancel safe.
    ///
    /// # Errors
    /// The connection is gone, or what came cannot be read.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, ConnectionError> {
        Ok(decode(&self.receive_encoded().await?)?)
    }

    /// The two halves, for tasks of their own.
    pub fn split(self) -> (ConnectionWriter, ConnectionReader) {
        let (writer, reader) = self.0.split();
        (writer, ConnectionReader(reader))
    }
}

/// The incoming half of a connection.
#[derive(Debug)]
pub struct ConnectionReader(SplitStream<Framed<TcpStream, LengthDelimitedCodec>>);

impl ConnectionReader {
    /// The next message. Cancel safe.
    ///
    /// # Errors
    /// The connection is gone, or what came cannot be read.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, ConnectionError> {
        let frame = self.0.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        Ok(decode(&frame)?)
    }
}
