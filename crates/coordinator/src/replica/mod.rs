//! Replica without I/O: Raft, the replicated state, and the volatile state of a leader.
//!
//! A [`Replica`] has no sockets and no clock. Its driver passes it the time, messages of peers and requests of clients,
//! and executes the [`Output`]s that it takes with [`Replica::take_outputs`]. State that an output promises to another
//! process is in the [`Store`] before the output is returned.
//!
//! | module | concern |
//! | --- | --- |
//! | `apply` | processing of Raft's ready state: storing, applying, compaction |
//! | `leadership` | leadership and its transfer |
//! | `membership` | replacement of a replica by a new one |
//! | `peers` | handshakes and messages of peers |
//! | `proposals` | pending proposals and their clients |
//! | `raft_storage` | in-memory log for Raft |
//! | `read_index` | renewals, confirmed by a majority before the response |
//! | `requests` | requests of clients and their responses |
//! | `status` | status for operators |

mod apply;
mod leadership;
mod membership;
mod peers;
mod proposals;
mod raft_storage;
mod read_index;
mod requests;
mod status;

use std::collections::BTreeMap;

use cluster_member::wire::{CoordinatorMessage, StoreIdentity};
use coordination::{
    Command, CommandOutcome, LeaderState, Micros, Revision, SessionId, StateMachine, Timing, COMMAND_VERSION,
};
use disruption_budget::PermitTimeouts;
use hdrhistogram::Histogram;
use raft::eraftpb::{ConfState, Message};
use raft::{Config, RawNode};

use crate::error::CoordinatorError;
use crate::store::{RecoveredState, Store};

pub use peers::{decode_message, encode_message, HandshakeError};

use peers::PeerRegistry;
use proposals::PendingProposals;
use raft_storage::RaftStorage;
use read_index::RenewalQueue;

/// Connection of a client, which is a member or an operator.
pub type ConnectionId = u64;

/// Minimum election timeout, in ticks.
const MIN_ELECTION_TICKS: u64 = 4;
/// Maximum size of a message with log entries, in bytes.
const MAX_ENTRIES_MESSAGE_BYTES: u64 = 1 << 20;
/// Maximum number of unacknowledged messages with log entries to one peer.
const MAX_INFLIGHT_MESSAGES: usize = 256;
/// Upper bound of the recorded commit latencies, in microseconds.
const MAX_COMMIT_LATENCY: u64 = 600_000_000;
/// Significant digits of the recorded commit latencies.
const COMMIT_LATENCY_DIGITS: u8 = 2;

/// Action that the driver must execute.
#[derive(Debug)]
pub enum Output {
    /// Send a Raft message to the peer that it names.
    SendToPeer(Message),
    /// Send a message to a client.
    SendToClient {
        /// Connection of the client.
        connection: ConnectionId,
        /// Message to send.
        message: CoordinatorMessage,
    },
    /// Send the changed view to every client with a session.
    ViewChanged(coordination::ClusterView),
    /// Record that an entry was applied.
    Applied {
        /// Index of the entry.
        index: Revision,
        /// Command in the entry.
        command: Command,
        /// Outcome of the command.
        outcome: CommandOutcome,
        /// [`StateMachine::digest`] after the entry, or 0 if digests are disabled.
        digest: u64,
    },
    /// Record that this replica became leader or lost the leadership.
    LeadershipChanged {
        /// Raft term in which it leads; `None` if it lost the leadership.
        leading_term: Option<u64>,
    },
}

/// Replica without sockets and clock. See the [module](self).
pub struct Replica {
    raw_node: RawNode<RaftStorage>,
    store: Store,
    identity: StoreIdentity,
    state: StateMachine,
    timing: Timing,
    /// Highest version of commands that this replica applies.
    supported_version: u16,
    peers: PeerRegistry,
    /// Applied configuration: voters and learners.
    configuration: ConfState,
    /// Whether the configuration changed since the last snapshot; if so, a new snapshot is due, which must contain it.
    configuration_changed: bool,
    /// Time of the last proposed change of the configuration.
    configuration_proposed_at: Option<Micros>,
    /// Volatile state of the leader; `None` while this replica does not lead.
    leader_state: Option<LeaderState>,
    permit_timeouts: PermitTimeouts,
    /// Time of the last proposed expiry of a permit.
    permit_expiry_proposed_at: Micros,
    proposals: PendingProposals,
    renewals: RenewalQueue,
    /// Session that was last opened or renewed on each connection.
    client_sessions: BTreeMap<ConnectionId, SessionId>,
    /// Revision of the view that clients were notified of last.
    notified_revision: Revision,
    leading_term: Option<u64>,
    /// Number of the leader; 0 if there is none.
    leader_id: u64,
    election_count: u64,
    commit_latency: Histogram<u64>,
    digests_enabled: bool,
    injected_bug: Option<disruption_budget::InjectedBug>,
    outputs: Vec<Output>,
}

impl std::fmt::Debug for Replica {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Replica")
            .field("identity", &self.identity)
            .field("leading_term", &self.leading_term)
            .finish_non_exhaustive()
    }
}

impl Replica {
    /// Creates a replica from the recovered state of its store.
    ///
    /// `tick` is the time between two calls of [`Replica::tick`]. `process_nonce` is a random number that distinguishes
    /// the proposals of this process from those of earlier processes.
    ///
    /// # Errors
    /// Returns [`CoordinatorError::UnsupportedFormat`] if a later version wrote the snapshot, and
    /// [`CoordinatorError::Raft`] if Raft rejects the recovered state.
    pub fn new(
        store: Store,
        recovered: RecoveredState,
        timing: Timing,
        tick: Micros,
        process_nonce: u64,
    ) -> Result<Replica, CoordinatorError> {
        let identity = recovered.identity;
        let state = apply::restore_state(&recovered.snapshot)?;
        let configuration = recovered.snapshot.get_metadata().get_conf_state().clone();
        let raft_config = raft_config(identity, timing, tick, recovered.snapshot.get_metadata().index);
        let peers = PeerRegistry::new(recovered.peers);
        let storage = RaftStorage::new(recovered.hard_state, recovered.snapshot, &recovered.entries)?;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        Ok(Replica {
            raw_node: RawNode::new(&raft_config, storage, &logger)?,
            store,
            identity,
            notified_revision: state.lease_revision(),
            state,
            timing,
            supported_version: COMMAND_VERSION,
            peers,
            configuration,
            configuration_changed: false,
            configuration_proposed_at: None,
            leader_state: None,
            permit_timeouts: PermitTimeouts::default(),
            permit_expiry_proposed_at: 0,
            proposals: PendingProposals::new(process_nonce),
            renewals: RenewalQueue::default(),
            client_sessions: BTreeMap::new(),
            leading_term: None,
            leader_id: 0,
            election_count: 0,
            commit_latency: Histogram::new_with_bounds(1, MAX_COMMIT_LATENCY, COMMIT_LATENCY_DIGITS)?,
            digests_enabled: false,
            injected_bug: None,
            outputs: Vec::new(),
        })
    }

    /// Returns the identity of the store for handshakes with peers.
    #[must_use]
    pub fn identity(&self) -> StoreIdentity {
        StoreIdentity { raft_term: self.raw_node.raft.term, ..self.identity }
    }

    /// Injects a bug into the disruption state, in builds for experiments.
    pub fn inject_disruption_bug(&mut self, bug: Option<disruption_budget::InjectedBug>) {
        self.injected_bug = bug;
        self.state =
            std::mem::replace(&mut self.state, StateMachine::new(1)).with_injected_disruption_bug(bug);
    }

    /// Limits the version of commands that this replica supports.
    pub fn set_supported_version(&mut self, version: u16) {
        self.supported_version = version;
    }

    /// Sets whether [`Output::Applied`] carries a digest of the state. Off by default, because computing it takes time.
    pub fn enable_digests(&mut self, enabled: bool) {
        self.digests_enabled = enabled;
    }

    /// Takes the actions that accumulated since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Advances the time by one tick.
    ///
    /// # Errors
    /// Returns an error if the replica must stop.
    pub fn tick(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        self.raw_node.tick();
        self.abandon_expired_round(now);
        self.proposals.remove_expired(now);
        self.advance_replacement(now);
        self.advance(now)
    }

    /// Proposes due commands, processes Raft's ready state, and responds to waiting clients, until nothing is left to
    /// do.
    fn advance(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        loop {
            self.start_read_index_round(now);
            self.propose_expirations(now);
            if !self.raw_node.has_ready() {
                break;
            }
            self.process_ready(now)?;
            self.update_leadership(now);
            self.respond_to_confirmed_renewals(now);
        }
        self.compact_log_if_due()?;
        self.notify_of_changed_view();
        Ok(())
    }

    /// Proposes commands that are due by time: the end of sessions, grants of leases, the expiry of permits.
    fn propose_expirations(&mut self, now: Micros) {
        if self.is_leader() {
            self.propose_permit_expirations(now);
            self.propose_lease_commands(now);
        }
    }

    fn propose_permit_expirations(&mut self, now: Micros) {
        // A permit remains due until its proposed expiry is applied. Without this delay between proposals, the same
        // expiry would be proposed again on each call.
        if now.saturating_sub(self.permit_expiry_proposed_at) <= self.timing.heartbeat_interval {
            return;
        }
        for change in self.permit_timeouts.expired(now) {
            self.permit_expiry_proposed_at = now;
            self.propose_without_client(&Command::Disruption(change));
        }
    }

    fn propose_lease_commands(&mut self, now: Micros) {
        let Some(leader_state) = &mut self.leader_state else { return };
        for command in leader_state.due_commands(now, &self.state) {
            if self.raw_node.propose(Vec::new(), command.encode()).is_err() {
                leader_state.proposal_rejected(&command);
            }
        }
    }

    fn notify_of_changed_view(&mut self) {
        let revision = self.state.lease_revision();
        if self.is_leader() && revision != self.notified_revision {
            self.outputs.push(Output::ViewChanged(self.state.view()));
        }
        self.notified_revision = revision;
    }
}

fn raft_config(identity: StoreIdentity, timing: Timing, tick: Micros, applied: Revision) -> Config {
    Config {
        id: identity.replica_id,
        election_tick: timing.election_timeout.div_ceil(tick).max(MIN_ELECTION_TICKS) as usize,
        heartbeat_tick: (timing.heartbeat_interval / tick).max(1) as usize,
        applied,
        max_size_per_msg: MAX_ENTRIES_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}
