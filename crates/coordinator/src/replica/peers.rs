//! Peers: handshakes, identities of their stores, and messages.

use std::collections::BTreeMap;

use cluster_member::wire::{HandshakeRejection, StoreIdentity};
use coordination::{Command, Micros};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Message, MessageType};
use raft::SnapshotStatus;

use super::Replica;
use crate::error::CoordinatorError;
use crate::store::WriteBatch;

/// Error of a handshake with a peer.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The peer is rejected. This replica continues.
    #[error("{0}")]
    Rejected(HandshakeRejection),
    /// This replica must stop.
    #[error(transparent)]
    Failed(#[from] CoordinatorError),
}

/// Identities and protocol versions of the peers.
pub(super) struct PeerRegistry {
    /// Identities of the peers' stores, by the number of the peer.
    identities: BTreeMap<u64, StoreIdentity>,
    /// Message version of each peer in its last handshake with this process.
    protocol_versions: BTreeMap<u64, u16>,
    /// Changed identities to be written with the next batch.
    unsaved: Vec<StoreIdentity>,
}

impl PeerRegistry {
    pub(super) fn new(identities: BTreeMap<u64, StoreIdentity>) -> PeerRegistry {
        PeerRegistry { identities, protocol_versions: BTreeMap::new(), unsaved: Vec::new() }
    }

    pub(super) fn protocol_version(&self, peer: u64) -> Option<u16> {
        self.protocol_versions.get(&peer).copied()
    }

    pub(super) fn unsaved(&self) -> &[StoreIdentity] {
        &self.unsaved
    }

    pub(super) fn mark_saved(&mut self) {
        self.unsaved.clear();
    }

    /// Records that a peer has seen this term. A store of the peer with a lower term is an old copy.
    fn observe_term(&mut self, peer: u64, term: u64) {
        let Some(identity) = self.identities.get_mut(&peer).filter(|identity| term > identity.raft_term)
        else {
            return;
        };
        identity.raft_term = term;
        let changed = *identity;
        self.unsaved.retain(|unsaved| unsaved.replica_id != peer);
        self.unsaved.push(changed);
    }

    /// Returns the recorded identity of a peer; if there is none, the claimed one with 0 starts and term 0.
    fn recorded(&self, claimed: StoreIdentity) -> StoreIdentity {
        let unseen_store = StoreIdentity { start_count: 0, raft_term: 0, ..claimed };
        self.identities.get(&claimed.replica_id).copied().unwrap_or(unseen_store)
    }
}

/// Rejects a store that is not the recorded one, or an old copy of it with fewer starts or a lower term.
/// `committed_start_count` is the store's number of starts according to the log.
fn check_identity(
    claimed: StoreIdentity,
    recorded: StoreIdentity,
    committed_start_count: u64,
) -> Result<(), HandshakeRejection> {
    if recorded.store_id != claimed.store_id {
        return Err(HandshakeRejection::StoreMismatch);
    }
    let start_count = recorded.start_count.max(committed_start_count);
    if claimed.start_count < start_count || claimed.raft_term < recorded.raft_term {
        return Err(HandshakeRejection::StaleStore { start_count, raft_term: recorded.raft_term });
    }
    Ok(())
}

impl Replica {
    /// Accepts a peer with this message version, after persisting the identity of its store.
    ///
    /// # Errors
    /// Returns [`HandshakeError::Rejected`] if the peer is unknown, has another store than the recorded one, or an
    /// old copy of it; [`HandshakeError::Failed`] if the store of this replica cannot be written.
    pub fn accept_peer(
        &mut self,
        identity: StoreIdentity,
        protocol_version: u16,
    ) -> Result<(), HandshakeError> {
        let peer = identity.replica_id;
        if peer == self.identity.replica_id || !self.is_known_peer(peer) {
            return Err(HandshakeError::Rejected(HandshakeRejection::UnknownReplica));
        }
        let committed_start_count = self.state.replica_starts().get(&peer).copied().unwrap_or(0);
        let recorded = self.peers.recorded(identity);
        check_identity(identity, recorded, committed_start_count).map_err(HandshakeError::Rejected)?;
        if recorded != identity {
            let batch = WriteBatch { peers: &[identity], ..WriteBatch::default() };
            self.store.write(&batch).map_err(CoordinatorError::from)?;
            self.peers.identities.insert(peer, identity);
        }
        self.peers.protocol_versions.insert(peer, protocol_version);
        self.propose_start_counts();
        Ok(())
    }

    fn is_known_peer(&self, peer: u64) -> bool {
        // A joining replica has no configuration yet, so it accepts all peers. The other replicas accept a joining
        // replica once the command that adds it is committed.
        let is_joining = self.configuration == ConfState::default();
        let votes_or_learns = self.raw_node.raft.prs().iter().any(|(id, _)| *id == peer);
        is_joining || votes_or_learns || self.state.added_replicas().contains_key(&peer)
    }

    /// Proposes the start counts of all stores, so that replicas that were not connected to a peer learn its start
    /// count from the log.
    pub(super) fn propose_start_counts(&mut self) {
        if !self.is_leader() {
            return;
        }
        let peers = self.peers.identities.values();
        let start_counts = peers.map(|peer| (peer.replica_id, peer.start_count));
        let start_counts = start_counts.chain([(self.identity.replica_id, self.identity.start_count)]);
        let recorded = self.state.replica_starts();
        let unrecorded: Vec<Command> = start_counts
            .filter(|(replica, starts)| recorded.get(replica).is_none_or(|recorded| recorded < starts))
            .map(|(replica, starts)| Command::RecordReplicaStart { replica, starts })
            .collect();
        for command in unrecorded {
            self.propose_without_client(&command);
        }
    }

    /// Passes a message of an accepted peer to Raft.
    ///
    /// # Errors
    /// Returns an error if the replica must stop.
    pub fn receive_raft_message(
        &mut self,
        peer: u64,
        message: Message,
        now: Micros,
    ) -> Result<(), CoordinatorError> {
        if message.from != peer || message.to != self.identity.replica_id {
            return Ok(());
        }
        // A pre-vote names a term that the peer has not entered, so its term is not recorded.
        let is_pre_vote = matches!(
            message.get_msg_type(),
            MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse
        );
        if !is_pre_vote {
            self.peers.observe_term(peer, message.term);
        }
        // A message that Raft does not accept is dropped, as if it were lost.
        let _ = self.raw_node.step(message);
        self.advance(now)
    }

    /// Reports that a message could not be sent to a peer.
    pub fn report_unreachable(&mut self, peer: u64) {
        self.raw_node.report_unreachable(peer);
    }

    /// Reports that a snapshot could not be sent to a peer, or may not have arrived.
    pub fn report_snapshot_failed(&mut self, peer: u64) {
        self.raw_node.report_snapshot(peer, SnapshotStatus::Failure);
    }

    /// Reports that a snapshot was passed to the connection of a peer.
    pub fn report_snapshot_sent(&mut self, peer: u64) {
        self.raw_node.report_snapshot(peer, SnapshotStatus::Finish);
    }
}

/// Encodes a Raft message.
#[must_use]
pub fn encode_message(message: &Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// Decodes a Raft message; returns `None` if the bytes are malformed.
#[must_use]
pub fn decode_message(bytes: &[u8]) -> Option<Message> {
    let mut message = Message::default();
    message.merge_from_bytes(bytes).ok()?;
    Some(message)
}
