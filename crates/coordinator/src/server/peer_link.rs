//! Link to another replica: a connection that is replaced whenever it ends.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cluster_member::wire::{
    ClientHello, ClientIdentity, Connection, ConnectionError, StoreIdentity, IO_TIMEOUT,
};
use futures_util::SinkExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::Event;

/// Range of the random delay before a reconnect, in milliseconds. It is random so that replicas that were partitioned
/// together do not reconnect together.
const RECONNECT_DELAY_MS: std::ops::RangeInclusive<u64> = 20..=100;
/// Additional delay after the peer rejected the handshake.
const REJECTED_DELAY: Duration = Duration::from_secs(1);

/// Settings shared by all links of a replica.
#[derive(Clone)]
pub(super) struct LinkSettings {
    /// Local address of outgoing connections.
    pub(super) bind_address: Option<IpAddr>,
    pub(super) installation: Rc<str>,
    pub(super) protocol_version: u16,
}

/// Link to one peer, for outgoing Raft messages. Those of the peer arrive on a connection that the peer opens.
pub(super) struct PeerLink {
    pub(super) peer: u64,
    pub(super) address: SocketAddr,
    pub(super) settings: LinkSettings,
}

impl PeerLink {
    /// Connects and forwards messages until the process ends.
    pub(super) async fn run(
        self,
        identity: watch::Receiver<StoreIdentity>,
        mut messages: mpsc::Receiver<Bytes>,
        events: mpsc::Sender<Event>,
    ) {
        loop {
            let hello = self.hello(*identity.borrow());
            match Connection::connect(self.address, self.settings.bind_address, &hello).await {
                Ok((link, _)) => {
                    // Queued messages are outdated; Raft sends again what is needed.
                    while messages.try_recv().is_ok() {}
                    forward_messages(link, &mut messages).await;
                    let _ = events.send(Event::PeerUnreachable { peer: self.peer }).await;
                }
                Err(ConnectionError::Rejected(rejection)) => {
                    let _ = events.send(Event::RejectedByPeer { peer: self.peer, rejection }).await;
                    sleep(REJECTED_DELAY).await;
                }
                Err(error) => tracing::debug!(replica = self.peer, %error, "peer unreachable"),
            }
            sleep(Duration::from_millis(fastrand::u64(RECONNECT_DELAY_MS))).await;
        }
    }

    fn hello(&self, identity: StoreIdentity) -> ClientHello {
        ClientHello {
            schema_version: self.settings.protocol_version,
            installation: self.settings.installation.to_string(),
            identity: ClientIdentity::Replica(identity),
        }
    }
}

/// Forwards messages until the connection ends.
async fn forward_messages(link: Connection, messages: &mut mpsc::Receiver<Bytes>) {
    let (mut sink, mut frames) = link.split();
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return };
                if !matches!(timeout(IO_TIMEOUT, sink.send(message)).await, Ok(Ok(()))) {
                    return;
                }
            }
            // The peer sends nothing on this connection: a result means that it was closed.
            _ = frames.receive::<()>() => return,
        }
    }
}
