//! Incoming connections: the handshake, then Raft messages of a peer, or requests of a member or an operator.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cluster_member::wire::{
    validate_client_hello_for_version, ClientHello, ClientIdentity, Connection, ConnectionError,
    HandshakeRejection, Request, ServerHello, StoreIdentity, IO_TIMEOUT,
};
use futures_util::SinkExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Event;
use crate::replica::{decode_message, ConnectionId};

/// Length of the queue to a client, in messages.
const CLIENT_QUEUE_LENGTH: usize = 64;
/// Maximum number of connections beyond the limit that are rejected with a reason; further ones are closed without a
/// reason.
const MAX_REJECTIONS: usize = 32;
/// Delay after a failed accept; the most likely cause is that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listener for connections of peers, members and operators. Each connection has a clone.
#[derive(Clone)]
pub(super) struct Listener {
    pub(super) installation: Rc<str>,
    pub(super) protocol_version: u16,
    /// Name of this replica in handshakes.
    pub(super) name: Rc<str>,
    /// One permit for each open connection.
    pub(super) connection_permits: Arc<Semaphore>,
    pub(super) events: mpsc::Sender<Event>,
}

impl Listener {
    /// Accepts connections until the process ends.
    pub(super) async fn accept_connections(self, listener: TcpListener) {
        let mut last_connection: ConnectionId = 0;
        let rejection_permits = Arc::new(Semaphore::new(MAX_REJECTIONS));
        loop {
            let Ok((stream, remote)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            last_connection += 1;
            let connection = last_connection;
            let permit = self.connection_permits.clone().try_acquire_owned();
            let over_limit = permit.is_err();
            let Ok(permit) = permit.or_else(|_| rejection_permits.clone().try_acquire_owned()) else {
                continue;
            };
            let listener = self.clone();
            spawn_local(async move {
                let _permit = permit;
                if let Err(error) = listener.serve_connection(stream, connection, over_limit).await {
                    tracing::debug!(%remote, %error, "connection ended");
                }
                let _ = listener.events.send(Event::ConnectionClosed { connection }).await;
            });
        }
    }

    async fn serve_connection(
        &self,
        stream: TcpStream,
        connection: ConnectionId,
        over_limit: bool,
    ) -> Result<(), ConnectionError> {
        let (mut link, hello) = Connection::accept(stream).await?;
        if let Err(reason) = self.check(&hello, over_limit) {
            tracing::warn!(
                client = %hello.identity,
                installation = hello.installation,
                version = hello.schema_version,
                %reason,
                "connection rejected"
            );
            return link.send_server_hello(&ServerHello::Rejected(reason)).await;
        }
        match hello.identity {
            ClientIdentity::Replica(identity) => self.serve_peer(link, identity, hello.schema_version).await,
            ClientIdentity::Member { .. } | ClientIdentity::Operator => {
                link.send_server_hello(&ServerHello::Accepted { name: self.name.to_string() }).await?;
                self.serve_client(link, connection).await;
                Ok(())
            }
            ClientIdentity::LeaseHolder { .. } => {
                link.send_server_hello(&ServerHello::Rejected(HandshakeRejection::WrongService)).await
            }
        }
    }

    fn check(&self, hello: &ClientHello, over_limit: bool) -> Result<(), HandshakeRejection> {
        if over_limit {
            return Err(HandshakeRejection::TooManyConnections);
        }
        validate_client_hello_for_version(self.protocol_version, hello, &self.installation)
    }

    /// Forwards the messages of a peer once the replica has accepted it.
    async fn serve_peer(
        &self,
        mut link: Connection,
        identity: StoreIdentity,
        protocol_version: u16,
    ) -> Result<(), ConnectionError> {
        let (response, server_hello) = oneshot::channel();
        let _ = self.events.send(Event::PeerHandshake { identity, protocol_version, response }).await;
        let Ok(server_hello) = server_hello.await else { return Ok(()) };
        link.send_server_hello(&server_hello).await?;
        if matches!(server_hello, ServerHello::Rejected(_)) {
            return Ok(());
        }
        loop {
            let frame = link.receive_encoded().await?;
            let Some(message) = decode_message(&frame) else { return Ok(()) };
            let event = Event::RaftMessage { peer: identity.replica_id, message };
            if self.events.send(event).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Forwards the requests of a member or an operator, and sends the messages of the replica.
    async fn serve_client(&self, link: Connection, connection: ConnectionId) {
        let (outgoing, mut messages) = mpsc::channel::<Bytes>(CLIENT_QUEUE_LENGTH);
        let (mut sink, mut frames) = link.split();
        let _ = self.events.send(Event::ClientConnected { connection, outgoing }).await;
        let reads = async {
            while let Ok(request) = frames.receive::<Request>().await {
                if self.events.send(Event::Request { connection, request }).await.is_err() {
                    return;
                }
            }
        };
        let writes = async {
            while let Some(message) = messages.recv().await {
                if !matches!(timeout(IO_TIMEOUT, sink.send(message)).await, Ok(Ok(()))) {
                    return;
                }
            }
        };
        tokio::select! {
            () = reads => {}
            () = writes => {}
        }
    }
}
