//! Links to all other replicas, with a queue of outgoing Raft messages for each.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use cluster_member::wire::StoreIdentity;
use raft::eraftpb::{Message, MessageType};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use super::peer_link::{LinkSettings, PeerLink};
use super::Event;
use crate::replica::{encode_message, Replica};

/// Length of the queue to a peer, in messages.
const PEER_QUEUE_LENGTH: usize = 1_024;

/// Links to the other replicas.
pub(super) struct PeerLinks {
    settings: LinkSettings,
    /// Identity of this replica's store, for the handshakes of the links.
    identity: watch::Receiver<StoreIdentity>,
    events: mpsc::Sender<Event>,
    outgoing: BTreeMap<u64, mpsc::Sender<Bytes>>,
}

impl PeerLinks {
    pub(super) fn new(
        settings: LinkSettings,
        identity: watch::Receiver<StoreIdentity>,
        events: mpsc::Sender<Event>,
    ) -> PeerLinks {
        PeerLinks { settings, identity, events, outgoing: BTreeMap::new() }
    }

    /// Starts the link to a peer.
    pub(super) fn connect(&mut self, peer: u64, address: SocketAddr) {
        let (sender, messages) = mpsc::channel(PEER_QUEUE_LENGTH);
        self.outgoing.insert(peer, sender);
        let link = PeerLink { peer, address, settings: self.settings.clone() };
        spawn_local(link.run(self.identity.clone(), messages, self.events.clone()));
    }

    /// Starts the links to replicas that were added since the installation was set up.
    pub(super) fn connect_added(&mut self, replica: &Replica) {
        let own_id = replica.identity().replica_id;
        for (peer, address) in replica.added_replicas() {
            if *peer == own_id || self.outgoing.contains_key(peer) {
                continue;
            }
            let Ok(address) = address.parse::<SocketAddr>() else { continue };
            tracing::info!(replica = peer, %address, "replica added");
            self.connect(*peer, address);
        }
    }

    /// Queues a Raft message, and reports to the replica if the peer's queue is full or missing.
    pub(super) fn send(&self, message: &Message, replica: &mut Replica) {
        let peer = message.to;
        let is_snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
        let outgoing = self.outgoing.get(&peer);
        let queued =
            outgoing.is_some_and(|outgoing| outgoing.try_send(encode_message(message).into()).is_ok());
        if !queued {
            report_unreachable(replica, peer, is_snapshot);
        } else if is_snapshot {
            replica.report_snapshot_sent(peer);
        }
    }
}

/// Reports to the replica that messages to a peer were lost.
pub(super) fn report_unreachable(replica: &mut Replica, peer: u64, snapshot_lost: bool) {
    replica.report_unreachable(peer);
    if snapshot_lost {
        replica.report_snapshot_failed(peer);
    }
}
