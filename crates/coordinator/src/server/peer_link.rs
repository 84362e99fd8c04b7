//! The connection to another coordinator, made again whenever it ends.

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

/// How long a link waits, in milliseconds, before it connects again. Drawn anew each time, so that coordinators that were cut off
/// together do not connect together.
const RECONNECT_DELAY_MS: std::ops::RangeInclusive<u64> = 20..=100;
/// How much longer it waits after the peer rejected it.
const REJECTED_DELAY: Duration = Duration::from_secs(1);

/// What all links of a coordinator have in common.
#[derive(Clone)]
pub(super) struct LinkSettings {
    /// The address that connections come from.
    pub(super) bind_address: Option<IpAddr>,
    pub(super) installation: Rc<str>,
    pub(super) protocol_version: u16,
}

/// The link to one peer. It carries messages of Raft one way; those of the peer come on a connection that the peer makes.
pub(super) struct PeerLink {
    pub(super) peer: u64,
    pub(super) address: SocketAddr,
    pub(super) settings: LinkSettings,
}

impl PeerLink {
    /// Connects and forwards messages, for as long as the process lives.
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
                    // What waited for the connection is outdated; Raft sends again what is needed.
                    while messages.try_recv().is_ok() {}
                    forward_messages(link, &mut messages).await;
                    let _ = events.send(Event::PeerUnreachable { peer: self.peer }).await;
                }
                Err(ConnectionError::Rejected(rejection)) => {
                    let _ = events.send(Event::RejectedByPeer { peer: self.peer, rejection }).await;
                    sleep(REJECTED_DELAY).await;
                }
                Err(error) => tracing::debug!(coordinator = self.peer, %error, "peer unreachable"),
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
            // The peer sends nothing on this connection: this is its end.
            _ = frames.receive::<()>() => return,
        }
    }
}
