//! One coordinator as a value: Raft, the replicated state, and what the leader knows besides.
//!
//! A [`Replica`] has no sockets and no clock. Its driver passes it the time, messages of peers and requests of clients, and
//! carries out the [`Output`]s that it takes with [`Replica::take_outputs`]. Whatever an output promises to another process
//! is in the [`Store`] before the output is returned.
//!
//! | module | concern |
//! | --- | --- |
//! | `apply` | what Raft has ready: storing, applying, compaction |
//! | `leadership` | whether this replica leads, and giving the leadership away |
//! | `membership` | replacing a coordinator by a new one |
//! | `peers` | which peers are accepted, and their messages |
//! | `proposals` | proposals of this process, and the clients that wait for them |
//! | `raft_storage` | the log in memory, as Raft reads it |
//! | `read_index` | renewals, confirmed by a majority before they are answered |
//! | `requests` | requests of clients, and their responses |
//! | `status` | what an operator is shown |

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

/// A connection of a client: a member or an operator.
pub type ConnectionId = u64;

/// The fewest ticks without a message of a leader before an election.
const MIN_ELECTION_TICKS: u64 = 4;
/// The longest message of log entries, in bytes.
const MAX_ENTRIES_MESSAGE_BYTES: u64 = 1 << 20;
/// The most messages of log entries to one peer that are not acknowledged.
const MAX_INFLIGHT_MESSAGES: usize = 256;
/// Upper bound of the commit latencies that are recorded, in microseconds, and their significant digits.
const MAX_COMMIT_LATENCY: u64 = 600_000_000;
const COMMIT_LATENCY_DIGITS: u8 = 2;

/// What the driver is to do.
#[derive(Debug)]
pub enum Output {
    /// Send a message of Raft to the peer that it names.
    SendToPeer(Message),
    /// Send a message to a client.
    SendToClient {
        /// On which connection.
        connection: ConnectionId,
        /// The message.
        message: CoordinatorMessage,
    },
    /// Send the changed view to every client that has a session.
    ViewChanged(coordination::ClusterView),
    /// Record that an entry was applied.
    Applied {
        /// Its position in the log.
        index: Revision,
        /// The command.
        command: Command,
        /// What came of it.
        outcome: CommandOutcome,
        /// [`StateMachine::digest`] after it, or 0 where digests are not enabled.
        digest: u64,
    },
    /// Record that this replica leads in this term, or leads no longer.
    LeadershipChanged {
        /// The term, while it leads.
        leading_term: Option<u64>,
    },
}

/// One coordinator, without sockets and clock. See the [module](self).
pub struct Replica {
    raw_node: RawNode<RaftStorage>,
    store: Store,
    identity: StoreIdentity,
    state: StateMachine,
    timing: Timing,
    /// The highest version of commands that this replica applies.
    supported_version: u16,
    peers: PeerRegistry,
    /// Who votes and who learns, as applied.
    configuration: ConfState,
    /// Set when it changed: the next snapshot has to contain the change.
    configuration_changed: bool,
    /// When a change of it was proposed last.
    configuration_proposed_at: Option<Micros>,
    /// What only the leader has: present while this replica leads and has applied an entry of its term.
    leader_state: Option<LeaderState>,
    permit_timeouts: PermitTimeouts,
    /// When the expiry of a permit was proposed last.
    permit_expiry_proposed_at: Micros,
    proposals: PendingProposals,
    renewals: RenewalQueue,
    /// The session that was last renewed or joined on each connection.
    client_sessions: BTreeMap<ConnectionId, SessionId>,
    /// The revision of the view that clients were notified of last.
    notified_revision: Revision,
    leading_term: Option<u64>,
    /// The number of the leader, or 0 where there is none.
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
    /// A replica that goes on from what the store held.
    ///
    /// `tick` is the time between two calls of [`Replica::tick`]. `process_nonce` is a number that no other process draws: it
    /// tells this process's proposals from those of earlier ones.
    ///
    /// # Errors
    /// A later version wrote the snapshot, or Raft does not accept what the store held.
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

    /// What this replica tells its peers of its store.
    #[must_use]
    pub fn identity(&self) -> StoreIdentity {
        StoreIdentity { raft_term: self.raw_node.raft.term, ..self.identity }
    }

    /// Injects a bug into the state of permits, in builds for tests.
    pub fn inject_disruption_bug(&mut self, bug: Option<disruption_budget::InjectedBug>) {
        self.injected_bug = bug;
        self.state =
            std::mem::replace(&mut self.state, StateMachine::new(1)).with_injected_disruption_bug(bug);
    }

    /// Makes this replica behave as one that knows commands up to this version.
    pub fn set_supported_version(&mut self, version: u16) {
        self.supported_version = version;
    }

    /// Sets whether [`Output::Applied`] carries a digest of the state, which takes time.
    pub fn enable_digests(&mut self, enabled: bool) {
        self.digests_enabled = enabled;
    }

    /// Takes what the driver is to do since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Advances the time by one tick.
    ///
    /// # Errors
    /// The coordinator has to stop.
    pub fn tick(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        self.raw_node.tick();
        self.abandon_expired_round(now);
        self.proposals.remove_expired(now);
        self.advance_replacement(now);
        self.advance(now)
    }

    /// Does all that can be done now: proposes what is due, stores and applies what Raft has ready, answers who waited for it.
    fn advance(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        loop {
            self.start_read_index_round(now);
            self.propose_expirations(now);
            if !self.raw_node.has_ready() {
                break;
            }
            self.process_ready(now)?;
            self.update_leadership(now);
            self.reply_to_confirmed_renewals(now);
        }
        self.compact_log_if_due()?;
        self.notify_of_changed_view();
        Ok(())
    }

    /// Proposes what the passing of time requires: the end of sessions, grants of leases, the expiry of permits.
    fn propose_expirations(&mut self, now: Micros) {
        let Some(leader_state) = &mut self.leader_state else { return };
        // A proposal takes a moment to be agreed on; until then its permit is due again.
        if now.saturating_sub(self.permit_expiry_proposed_at) > self.timing.heartbeat_interval {
            for change in self.permit_timeouts.expired(now) {
                self.permit_expiry_proposed_at = now;
                let _ = self.raw_node.propose(Vec::new(), Command::Disruption(change).encode());
            }
        }
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
