//! One keeper without sockets and clock: Raft, the replicated state, and what the leader knows besides.
//!
//! Whoever drives it gives it the time, messages and questions, and carries out what [`Replica::take_outputs`] gives out. All
//! that is given out was on the disk before.

use std::collections::{BTreeMap, VecDeque};

use cluster_member::wire::{
    CoordinatorMessage, HandshakeRejection, LeaseStatus, MemberStatus, Operation, Peer, ReplicaStatus,
    Request, Response, StoreIdentity,
};
use coordination::{
    Command, CommandOutcome, CommandRejection, FencingToken, LeaderState, Micros, ReplicaReplacement,
    Revision, SessionId, StateMachine, Timing, COMMAND_VERSION,
};
use disruption_budget::PermitTimeouts;
use hdrhistogram::Histogram;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, ConfState, Entry,
    EntryType, HardState, Message, MessageType, Snapshot,
};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, SnapshotStatus, StateRole, Storage, StorageError};

use crate::store::{RecoveredState, Store, WriteBatch};
use crate::CoordinatorError;

/// A connection of a member or an operator.
pub type ConnectionId = u64;

/// Entries applied since the last snapshot before there is another, and how many stay in the log behind it.
const SNAPSHOT_INTERVAL: u64 = 4_096;
const RETAINED_ENTRIES: u64 = 512;
/// A learner that lacks no more entries than this may vote.
const MAX_LEARNER_LAG: u64 = 64;
/// The most that waits for agreement or for the confirmation that this keeper leads.
const MAX_PENDING_REQUESTS: usize = 8_192;

/// What the driver is to do.
#[derive(Debug)]
pub enum Output {
    /// A message of Raft to a keeper.
    SendToPeer(Message),
    /// Something to a member or an operator.
    SendToClient(ConnectionId, CoordinatorMessage),
    /// The view has changed, for all connections of members.
    ViewChanged(coordination::ClusterView),
    /// Something was applied, for the records.
    Applied {
        /// Where in the log.
        index: Revision,
        /// What it was.
        command: Command,
        /// What came of it.
        outcome: CommandOutcome,
        /// [`StateMachine::digest`] after it, or 0 where none is wanted.
        digest: u64,
    },
    /// This keeper leads now in this term, or does no longer.
    LeadershipChanged(Option<u64>),
}

/// The log in memory, as on the disk, with the snapshot that others are given.
#[derive(Clone)]
struct RaftStorage {
    log: MemStorage,
    snapshot: Snapshot,
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, max, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        match index == self.snapshot.get_metadata().index {
            true => Ok(self.snapshot.get_metadata().term),
            false => self.log.term(index),
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, wanted: u64, _to: u64) -> raft::Result<Snapshot> {
        match self.snapshot.get_metadata().index >= wanted {
            true => Ok(self.snapshot.clone()),
            false => Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}

struct PendingProposal {
    connection: ConnectionId,
    request_id: u64,
    proposed_at: Micros,
}

struct PendingRenewal {
    connection: ConnectionId,
    request_id: u64,
    session: SessionId,
    seen_revision: Revision,
    known_roster: Option<Revision>,
}

/// Renewals that wait for the word of a majority that this keeper leads.
struct ReadIndexRound {
    request: u64,
    started_at: Micros,
    renewals: Vec<PendingRenewal>,
}

/// A keeper.
pub struct Replica {
    raw_node: RawNode<RaftStorage>,
    store: Store,
    identity: StoreIdentity,
    state: StateMachine,
    /// Who votes and who learns, as applied.
    configuration: ConfState,
    /// It changed: others are given a snapshot that knows of it.
    configuration_changed: bool,
    /// When a change of it was proposed last.
    configuration_proposed_at: Option<Micros>,
    times: Timing,
    session_monitor: Option<LeaderState>,
    injected_bug: Option<disruption_budget::InjectedBug>,
    permit_timeouts: PermitTimeouts,
    permits_expired_at: Micros,
    /// The latest entries that this keeper knows, and the latest messages that others speak, of those that greeted it.
    supported_version: u16,
    peer_versions: BTreeMap<u64, u16>,
    peer_identities: BTreeMap<u64, StoreIdentity>,
    unsaved_peers: Vec<StoreIdentity>,
    /// Which proposals are this process's: a number drawn at its start, and one counted.
    process_nonce: u64,
    last_request: u64,
    pending_proposals: BTreeMap<u64, PendingProposal>,
    queued_renewals: Vec<PendingRenewal>,
    read_index_round: Option<ReadIndexRound>,
    confirmed_renewals: VecDeque<(Revision, Vec<PendingRenewal>)>,
    client_sessions: BTreeMap<ConnectionId, SessionId>,
    notified_revision: Revision,
    leading_term: Option<u64>,
    leader_id: u64,
    election_count: u64,
    commit_latency: Histogram<u64>,
    digests_enabled: bool,
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

fn raft_fault(error: raft::Error) -> CoordinatorError {
    CoordinatorError::Raft(format!("raft does not go on: {error}"))
}

fn restore_state(snapshot: &Snapshot) -> Result<StateMachine, CoordinatorError> {
    let mut state = StateMachine::restore(snapshot.get_data())
        .map_err(|fault| CoordinatorError::UnsupportedFormat(fault.to_string()))?;
    state.skip_entry(snapshot.get_metadata().index);
    Ok(state)
}

impl Replica {
    /// A keeper from what was on its disk. `tick` is the time between two calls of [`Replica::tick`].
    ///
    /// # Errors
    /// What was on the disk cannot be used.
    pub fn new(
        store: Store,
        recovered: RecoveredState,
        times: Timing,
        tick: Micros,
        process_nonce: u64,
    ) -> Result<Replica, CoordinatorError> {
        let RecoveredState { identity, hard_state, snapshot, entries, peers } = recovered;
        let state = restore_state(&snapshot)?;
        let log = MemStorage::new();
        {
            let mut log = log.wl();
            // The store of one that joins knows nothing, and has no place in the log.
            if snapshot.get_metadata().index > 0 {
                log.apply_snapshot(snapshot.clone()).map_err(raft_fault)?;
            }
            log.append(&entries).map_err(raft_fault)?;
            let commit = hard_state
                .commit
                .clamp(snapshot.get_metadata().index, log.hard_state().commit.max(hard_state.commit));
            let last = entries.last().map_or(snapshot.get_metadata().index, |entry| entry.index);
            let term = hard_state.term.max(snapshot.get_metadata().term);
            log.set_hardstate(HardState { commit: commit.min(last), term, ..hard_state });
        }
        let config = Config {
            id: identity.replica_id,
            election_tick: times.election_timeout.div_ceil(tick).max(4) as usize,
            heartbeat_tick: (times.heartbeat_interval / tick).max(1) as usize,
            applied: snapshot.get_metadata().index,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 256,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let configuration = snapshot.get_metadata().get_conf_state().clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, RaftStorage { log, snapshot }, &logger).map_err(raft_fault)?;
        let commits = Histogram::new_with_bounds(1, 600_000_000, 2)
            .map_err(|error| CoordinatorError::Startup(error.to_string()))?;
        Ok(Replica {
            raw_node: raw,
            store,
            identity,
            notified_revision: state.lease_revision(),
            state,
            configuration,
            configuration_changed: false,
            configuration_proposed_at: None,
            times,
            session_monitor: None,
            injected_bug: None,
            permit_timeouts: PermitTimeouts::default(),
            permits_expired_at: 0,
            supported_version: COMMAND_VERSION,
            peer_versions: BTreeMap::new(),
            peer_identities: peers,
            unsaved_peers: Vec::new(),
            process_nonce,
            last_request: 0,
            pending_proposals: BTreeMap::new(),
            queued_renewals: Vec::new(),
            read_index_round: None,
            confirmed_renewals: VecDeque::new(),
            client_sessions: BTreeMap::new(),
            leading_term: None,
            leader_id: 0,
            election_count: 0,
            commit_latency: commits,
            digests_enabled: false,
            outputs: Vec::new(),
        })
    }

    /// What this keeper says of its disk.
    pub fn identity(&self) -> StoreIdentity {
        StoreIdentity { raft_term: self.raw_node.raft.term, ..self.identity }
    }

    /// The account gets a flaw, in builds for tests.
    pub fn inject_disruption_bug(&mut self, flaw: Option<disruption_budget::InjectedBug>) {
        self.injected_bug = flaw;
        self.state =
            std::mem::replace(&mut self.state, StateMachine::new(1)).with_injected_disruption_bug(flaw);
    }

    /// This keeper is to be as one that knows entries up to this version.
    pub fn set_supported_version(&mut self, version: u16) {
        self.supported_version = version;
    }

    /// Whether [`Output::Applied`] carries a digest of the state, which takes time.
    pub fn enable_digests(&mut self, wanted: bool) {
        self.digests_enabled = wanted;
    }

    /// What is to be done now.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Another keeper has greeted this one. What it says is on this disk before it is let in.
    ///
    /// # Errors
    /// Its disk is not the one that was known, or an old copy of it.
    pub fn accept_peer(
        &mut self,
        by: StoreIdentity,
        schema: u16,
    ) -> Result<Result<(), HandshakeRejection>, CoordinatorError> {
        // One that joins knows nobody yet; those that take it in know it as soon as that is agreed on.
        let joins = self.configuration == ConfState::default();
        let known = self.raw_node.raft.prs().iter().any(|(id, _)| *id == by.replica_id)
            || self.state.added_replicas().contains_key(&by.replica_id);
        if by.replica_id == self.identity.replica_id || !(known || joins) {
            return Ok(Err(HandshakeRejection::UnknownReplica));
        }
        let agreed = self.state.replica_starts().get(&by.replica_id).copied().unwrap_or(0);
        let known = self.peer_identities.get(&by.replica_id).copied().unwrap_or(StoreIdentity {
            start_count: 0,
            raft_term: 0,
            ..by
        });
        if known.store_id != by.store_id {
            return Ok(Err(HandshakeRejection::StoreMismatch));
        }
        let boots = known.start_count.max(agreed);
        if by.start_count < boots || by.raft_term < known.raft_term {
            return Ok(Err(HandshakeRejection::StaleStore {
                start_count: boots,
                raft_term: known.raft_term,
            }));
        }
        if known != by {
            self.store.write(&WriteBatch { peers: &[by], ..WriteBatch::default() })?;
            self.peer_identities.insert(by.replica_id, by);
        }
        self.peer_versions.insert(by.replica_id, schema);
        self.propose_start_counts();
        Ok(Ok(()))
    }

    /// Lets all keepers know by the log how often each disk was started, so that also one that was away knows.
    fn propose_start_counts(&mut self) {
        if self.session_monitor.is_none() {
            return;
        }
        let known = self.peer_identities.values().map(|peer| (peer.replica_id, peer.start_count));
        let known = known.chain([(self.identity.replica_id, self.identity.start_count)]);
        let unknown: Vec<(u64, u64)> = known
            .filter(|(keeper, boots)| self.state.replica_starts().get(keeper).is_none_or(|seen| seen < boots))
            .collect();
        for (keeper, boots) in unknown {
            let command = Command::RecordReplicaStart { replica: keeper, starts: boots };
            let _ = self.raw_node.propose(Vec::new(), command.encode());
        }
    }

    /// A message of Raft from a keeper that was let in.
    ///
    /// # Errors
    /// The keeper stops.
    pub fn receive_raft_message(
        &mut self,
        from: u64,
        message: Message,
        now: Micros,
    ) -> Result<(), CoordinatorError> {
        if message.from != from || message.to != self.identity.replica_id {
            return Ok(());
        }
        // What another keeper has said of its term is written down with the next thing that is: one that forgets it
        // has an old disk.
        if let Some(peer) = self.peer_identities.get_mut(&from).filter(|peer| {
            let votes = matches!(
                message.get_msg_type(),
                MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse
            );
            message.term > peer.raft_term && !votes
        }) {
            peer.raft_term = message.term;
            let peer = *peer;
            self.unsaved_peers.retain(|changed| changed.replica_id != from);
            self.unsaved_peers.push(peer);
        }
        // A message that does not fit is dropped, as if it were lost.
        let _ = self.raw_node.step(message);
        self.advance(now)
    }

    /// A message could not be given to a keeper.
    pub fn report_unreachable(&mut self, keeper: u64, snapshot: bool) {
        self.raw_node.report_unreachable(keeper);
        if snapshot {
            self.raw_node.report_snapshot(keeper, SnapshotStatus::Failure);
        }
    }

    /// A snapshot was given to the connection of a keeper.
    pub fn report_snapshot_sent(&mut self, keeper: u64) {
        self.raw_node.report_snapshot(keeper, SnapshotStatus::Finish);
    }

    /// A connection is gone.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.client_sessions.remove(&connection);
    }

    /// Whether this keeper leads and may answer members.
    pub fn is_leader(&self) -> bool {
        self.session_monitor.is_some()
    }

    /// Gives the lead to another keeper that is up to date, if this one has it.
    ///
    /// # Errors
    /// The keeper stops.
    pub fn transfer_leadership(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        self.transfer_leadership_except(0);
        self.advance(now)
    }

    fn transfer_leadership_except(&mut self, excluded: u64) {
        if self.raw_node.raft.state == StateRole::Leader {
            let own = self.identity.replica_id;
            let others = self.raw_node.raft.prs().iter().filter(|(id, _)| {
                **id != own && **id != excluded && self.configuration.get_voters().contains(id)
            });
            let best = others.max_by_key(|(_, at)| at.matched).map(|(id, _)| *id);
            if let Some(to) = best {
                self.raw_node.transfer_leader(to);
            }
        }
    }

    /// Time has passed.
    ///
    /// # Errors
    /// The keeper stops.
    pub fn tick(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        self.raw_node.tick();
        if self
            .read_index_round
            .as_ref()
            .is_some_and(|round| now.saturating_sub(round.started_at) > self.times.election_timeout)
        {
            self.abandon_read_index_round();
        }
        let expired: Vec<u64> = self
            .pending_proposals
            .iter()
            .filter(|(_, proposal)| now.saturating_sub(proposal.proposed_at) > 5_000_000)
            .map(|(n, _)| *n)
            .collect();
        for number in expired {
            self.pending_proposals.remove(&number);
        }
        self.advance_replacement(now);
        self.advance(now)
    }

    /// Where keepers are that came later than the installation was set up.
    pub fn added_coordinators(&self) -> &BTreeMap<u64, String> {
        self.state.added_replicas()
    }

    /// The next step of a replacement that is on its way, by whoever leads: the new one learns; when it has caught up
    /// both change at once, through a configuration in which majorities of the old and the new have to agree; then that
    /// is left, and the replacement is over. Each step is asked of what is agreed, so a next leader goes on.
    fn advance_replacement(&mut self, now: Micros) {
        let Some(ReplicaReplacement { old, new }) =
            self.state.replacement_in_progress().filter(|_| self.session_monitor.is_some())
        else {
            return;
        };
        let lately = |at: Micros| now.saturating_sub(at) < self.times.election_timeout;
        if self.raw_node.raft.has_pending_conf() || self.configuration_proposed_at.is_some_and(lately) {
            return;
        }
        self.configuration_proposed_at = Some(now);
        let (voters, learners) = (self.configuration.get_voters(), self.configuration.get_learners());
        let single = |kind: ConfChangeType, node: u64| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(kind);
            change.node_id = node;
            change
        };
        let mut change = ConfChangeV2::default();
        if !self.configuration.get_voters_outgoing().is_empty() {
            // An empty change leaves the joint configuration.
        } else if voters.contains(&new) && !voters.contains(&old) {
            let _ = self.raw_node.propose(Vec::new(), Command::CompleteReplacement { old }.encode());
            return;
        } else if !voters.contains(&new) && !learners.contains(&new) {
            change.set_changes(vec![single(ConfChangeType::AddLearnerNode, new)].into());
        } else if old == self.identity.replica_id {
            // It does not end its own lead by a change; another one goes on.
            self.transfer_leadership_except(new);
            return;
        } else {
            let raft = &self.raw_node.raft;
            let committed = raft.raft_log.committed;
            let caught_up =
                |at: &raft::Progress| at.recent_active && at.matched + MAX_LEARNER_LAG >= committed;
            if !raft.prs().get(new).is_some_and(caught_up) {
                return;
            }
            change.set_transition(ConfChangeTransition::Explicit);
            let both = vec![single(ConfChangeType::AddNode, new), single(ConfChangeType::RemoveNode, old)];
            change.set_changes(both.into());
        }
        let _ = self.raw_node.propose_conf_change(Vec::new(), change);
    }

    /// A change of who votes was agreed on.
    fn apply_configuration_change(&mut self, entry: &Entry) -> Result<(), CoordinatorError> {
        let fault = |error| {
            CoordinatorError::UnsupportedFormat(format!("entry {} cannot be read: {error}", entry.index))
        };
        let configuration = match entry.get_entry_type() {
            EntryType::EntryConfChange => {
                let mut change = ConfChange::default();
                change.merge_from_bytes(&entry.data).map_err(fault)?;
                self.raw_node.apply_conf_change(&change)
            }
            _ => {
                let mut change = ConfChangeV2::default();
                change.merge_from_bytes(&entry.data).map_err(fault)?;
                self.raw_node.apply_conf_change(&change)
            }
        };
        let configuration = configuration.map_err(raft_fault)?;
        let votes = |configuration: &ConfState| {
            configuration
                .get_voters()
                .iter()
                .chain(configuration.get_voters_outgoing())
                .any(|id| *id == self.identity.replica_id)
        };
        let removed = votes(&self.configuration) && !votes(&configuration);
        self.raw_node.mut_store().log.wl().set_conf_state(configuration.clone());
        (self.configuration, self.configuration_changed) = (configuration, true);
        self.state.skip_entry(entry.index);
        match removed {
            true => Err(CoordinatorError::Replaced(format!(
                "another keeper has taken the place of keeper {}: this one is not needed any more",
                self.identity.replica_id
            ))),
            false => Ok(()),
        }
    }

    fn abandon_read_index_round(&mut self) {
        for renewal in self.read_index_round.take().into_iter().flat_map(|round| round.renewals) {
            self.reply(renewal.connection, renewal.request_id, Response::Busy);
        }
    }

    fn reply(&mut self, connection: ConnectionId, request_id: u64, answer: Response) {
        self.outputs.push(Output::SendToClient(connection, CoordinatorMessage::Response(request_id, answer)));
    }

    fn not_leader_response(&self) -> Response {
        match Some(self.leader_id).filter(|leader| *leader != 0 && *leader != self.identity.replica_id) {
            Some(leader) => {
                let address = self.state.added_replicas().get(&leader).cloned();
                Response::NotLeader { leader: Some(leader), address }
            }
            None => Response::Busy,
        }
    }

    /// A member or an operator asks something.
    ///
    /// # Errors
    /// The keeper stops.
    pub fn handle_request(
        &mut self,
        connection: ConnectionId,
        Request { id, operation: ask }: Request,
        now: Micros,
    ) -> Result<(), CoordinatorError> {
        if let Operation::Status = ask {
            let status = self.status();
            self.reply(connection, id, Response::Status(Box::new(status)));
            return Ok(());
        }
        let Some(session_monitor) = &self.session_monitor else {
            let answer = self.not_leader_response();
            self.reply(connection, id, answer);
            return Ok(());
        };
        if self.pending_proposals.len() + self.queued_renewals.len() >= MAX_PENDING_REQUESTS {
            self.reply(connection, id, Response::Busy);
            return Ok(());
        }
        match ask {
            Operation::OpenSession { name, boot_id: boot, zone, address, eligible_leases: offers } => {
                let short = session_monitor.is_short_session(&name, now, &self.state);
                self.propose(
                    connection,
                    id,
                    Command::OpenSession {
                        name,
                        boot_id: boot,
                        zone,
                        address,
                        eligible_leases: offers,
                        short_lived: short,
                    },
                    now,
                );
            }
            Operation::RenewSession { session, known_view: seen, known_members: roster } => {
                self.client_sessions.insert(connection, session);
                self.queued_renewals.push(PendingRenewal {
                    connection,
                    request_id: id,
                    session,
                    seen_revision: seen,
                    known_roster: roster,
                });
            }
            Operation::CloseSession { session } => {
                let name = self
                    .state
                    .sessions()
                    .get(&session)
                    .map(|session| session.name.clone())
                    .unwrap_or_default();
                let short = session_monitor.is_short_session(&name, now, &self.state);
                self.propose(connection, id, Command::CloseSession { session, short_lived: short }, now);
            }
            Operation::ReleaseLease { lease: duty, token } => {
                let running =
                    self.state.leases().get(&duty).and_then(|duty| duty.holder).map(|owner| owner.token);
                match token.or(running) {
                    Some(token) => self.propose(
                        connection,
                        id,
                        Command::ReleaseLease { lease: duty, token, reset_stability: true },
                        now,
                    ),
                    None => self.reply(connection, id, Response::Rejected(CommandRejection::NotLeaseHolder)),
                }
            }
            Operation::ReplaceReplica { old, new, address } => {
                let why = match self.configuration.get_voters() {
                    voters if !voters.contains(&old) && self.state.replacement_in_progress().is_none() => {
                        Some(format!("there is no keeper {old}; those that vote are {voters:?}"))
                    }
                    voters if voters.contains(&new) => Some(format!("keeper {new} votes already")),
                    _ => None,
                };
                match why {
                    Some(why) => self.reply(
                        connection,
                        id,
                        Response::Rejected(CommandRejection::InvalidReplacement(why)),
                    ),
                    None => self.propose(connection, id, Command::ReplaceReplica { old, new, address }, now),
                }
            }
            Operation::ChangeDisruptionState(change) => match self.outdated_voter() {
                Some(keeper) => {
                    let why = format!("keeper {keeper} is of a version that knows no permits yet");
                    self.reply(connection, id, Response::Rejected(CommandRejection::InvalidReplacement(why)));
                }
                None => self.propose(connection, id, Command::Disruption(change), now),
            },
            Operation::DisruptionState { known_revision: known } => {
                let revision = self.state.disruption_revision();
                let account = (revision > known).then(|| Box::new(self.state.disruption().clone()));
                self.reply(connection, id, Response::DisruptionState(revision, account));
            }
            Operation::Status => {}
        }
        self.advance(now)
    }

    /// A keeper that votes and spoke an older version of the messages when it greeted this one last: what it does not know
    /// is not put into the log, which would stop it.
    fn outdated_voter(&self) -> Option<u64> {
        if self.supported_version < 3 {
            return Some(self.identity.replica_id);
        }
        let voters = self.configuration.get_voters().iter().chain(self.configuration.get_voters_outgoing());
        voters.copied().find(|voter| self.peer_versions.get(voter).is_some_and(|schema| *schema < 3))
    }

    fn propose(&mut self, connection: ConnectionId, request_id: u64, command: Command, now: Micros) {
        self.last_request += 1;
        let context = postcard::to_stdvec(&(self.process_nonce, self.last_request)).unwrap_or_default();
        match self.raw_node.propose(context, command.encode()) {
            Ok(()) => {
                self.pending_proposals
                    .insert(self.last_request, PendingProposal { connection, request_id, proposed_at: now });
            }
            Err(_) => self.reply(connection, request_id, Response::Busy),
        }
    }

    /// Does all that can be done now.
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
        if self.configuration_changed
            || self.state.revision()
                >= self.raw_node.store().snapshot.get_metadata().index + SNAPSHOT_INTERVAL
        {
            self.configuration_changed = false;
            self.compact_log()?;
        }
        if self.session_monitor.is_some() && self.state.lease_revision() != self.notified_revision {
            self.outputs.push(Output::ViewChanged(self.state.view()));
        }
        self.notified_revision = self.state.lease_revision();
        Ok(())
    }

    fn start_read_index_round(&mut self, now: Micros) {
        if self.session_monitor.is_some()
            && self.read_index_round.is_none()
            && !self.queued_renewals.is_empty()
        {
            self.last_request += 1;
            let context = postcard::to_stdvec(&(self.process_nonce, self.last_request)).unwrap_or_default();
            self.raw_node.read_index(context);
            let renewals = std::mem::take(&mut self.queued_renewals);
            self.read_index_round =
                Some(ReadIndexRound { request: self.last_request, started_at: now, renewals });
        }
    }

    fn propose_expirations(&mut self, now: Micros) {
        let Some(session_monitor) = &mut self.session_monitor else { return };
        // What is due of permits is proposed at most so often: the agreement takes a moment.
        if now.saturating_sub(self.permits_expired_at) > self.times.heartbeat_interval {
            for command in self.permit_timeouts.expired(now) {
                self.permits_expired_at = now;
                let _ = self.raw_node.propose(Vec::new(), Command::Disruption(command).encode());
            }
        }
        for command in session_monitor.due_commands(now, &self.state) {
            if self.raw_node.propose(Vec::new(), command.encode()).is_err() {
                session_monitor.proposal_rejected(&command);
            }
        }
    }

    fn process_ready(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        let mut ready = self.raw_node.ready();
        self.send_to_peers(ready.take_messages());
        for read in ready.take_read_states() {
            let number = postcard::from_bytes::<(u64, u64)>(&read.request_ctx).ok();
            let number = number.filter(|(nonce, _)| *nonce == self.process_nonce).map(|(_, number)| number);
            if self.read_index_round.as_ref().is_some_and(|round| Some(round.request) == number) {
                let renewals = self.read_index_round.take().map(|round| round.renewals).unwrap_or_default();
                self.confirmed_renewals.push_back((read.index, renewals));
            }
        }
        let mut batch =
            WriteBatch { entries: ready.entries(), peers: &self.unsaved_peers, ..WriteBatch::default() };
        let received = !ready.snapshot().is_empty();
        if received {
            batch.snapshot = Some((ready.snapshot(), ready.snapshot().get_metadata().index));
            batch.clear_log = true;
        }
        batch.hard_state = ready.hs();
        // A commit index alone is found again from the others; it needs no write.
        if ready.must_sync() || received || !batch.entries.is_empty() {
            self.store.write(&batch)?;
            self.unsaved_peers.clear();
        }
        if received {
            let snapshot = ready.snapshot().clone();
            self.raw_node.mut_store().log.wl().apply_snapshot(snapshot.clone()).map_err(raft_fault)?;
            self.state = restore_state(&snapshot)?.with_injected_disruption_bug(self.injected_bug);
            self.configuration = snapshot.get_metadata().get_conf_state().clone();
            self.raw_node.mut_store().snapshot = snapshot;
        }
        self.raw_node.mut_store().log.wl().append(ready.entries()).map_err(raft_fault)?;
        if let Some(hard_state) = ready.hs() {
            self.raw_node.mut_store().log.wl().set_hardstate(hard_state.clone());
        }
        self.send_to_peers(ready.take_persisted_messages());
        self.apply_entries(ready.take_committed_entries(), now)?;
        let mut light = self.raw_node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raw_node.mut_store().log.wl().mut_hard_state().commit = commit;
        }
        self.send_to_peers(light.take_messages());
        self.apply_entries(light.take_committed_entries(), now)?;
        self.raw_node.advance_apply();
        Ok(())
    }

    fn send_to_peers(&mut self, messages: Vec<Message>) {
        self.outputs.extend(messages.into_iter().map(Output::SendToPeer));
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, now: Micros) -> Result<(), CoordinatorError> {
        for entry in entries {
            if entry.get_entry_type() != EntryType::EntryNormal {
                self.apply_configuration_change(&entry)?;
                continue;
            }
            if entry.data.is_empty() {
                self.state.skip_entry(entry.index);
                continue;
            }
            let command = Command::decode_with_supported_version(self.supported_version, &entry.data)
                .map_err(|fault| {
                    CoordinatorError::UnsupportedFormat(format!("at entry {}: {fault}", entry.index))
                })?;
            let outcome = self.state.apply(entry.index, &command);
            if let CommandOutcome::Disruption(_) = outcome {
                self.permit_timeouts.update(now, self.state.disruption());
            }
            if let Some(session_monitor) = &mut self.session_monitor {
                session_monitor.on_entries_applied(now, &self.state);
                if matches!(outcome, CommandOutcome::Rejected(_)) {
                    session_monitor.proposal_rejected(&command);
                }
            }
            let own = postcard::from_bytes::<(u64, u64)>(&entry.context)
                .ok()
                .filter(|(nonce, _)| *nonce == self.process_nonce);
            if let Some(proposal) = own.and_then(|(_, number)| self.pending_proposals.remove(&number)) {
                let _ = self.commit_latency.record(now.saturating_sub(proposal.proposed_at).max(1));
                self.reply_to_proposal(proposal, &outcome, now);
            }
            let digest = if self.digests_enabled { self.state.digest() } else { 0 };
            self.outputs.push(Output::Applied { index: entry.index, command, outcome, digest });
        }
        Ok(())
    }

    fn reply_to_proposal(&mut self, proposal: PendingProposal, outcome: &CommandOutcome, now: Micros) {
        let answer = match (outcome, &mut self.session_monitor) {
            // Only the leading keeper may give a lease, old or new.
            (CommandOutcome::SessionOpened { session, incarnation }, Some(session_monitor)) => {
                // A session that was there is renewed by this, unless its end is on its way.
                match session_monitor.renew_session(*session, 0, now, &self.state) {
                    Ok(()) => {
                        self.client_sessions.insert(proposal.connection, *session);
                        Response::SessionOpened {
                            session: *session,
                            incarnation: *incarnation,
                            view: self.state.view(),
                        }
                    }
                    Err(_) => Response::Busy,
                }
            }
            (CommandOutcome::SessionOpened { .. }, None) => self.not_leader_response(),
            (CommandOutcome::Rejected(reason), _) => Response::Rejected(reason.clone()),
            (CommandOutcome::Disruption(outcome), _) => {
                if let disruption_budget::DisruptionOutcome::PermitRequested(id, _) = outcome {
                    self.permit_timeouts.renew(*id, now);
                }
                Response::DisruptionStateChanged(outcome.clone())
            }
            _ => Response::Done,
        };
        self.reply(proposal.connection, proposal.request_id, answer);
    }

    /// Notices whether this keeper leads. It counts itself as leading only when it has applied an entry of its term,
    /// and with it all that was agreed before.
    fn update_leadership(&mut self, now: Micros) {
        let raft = &self.raw_node.raft;
        if raft.leader_id != self.leader_id {
            self.leader_id = raft.leader_id;
            self.election_count += u64::from(self.leader_id != 0);
        }
        let leads = (raft.state == StateRole::Leader && raft.apply_to_current_term()).then_some(raft.term);
        if leads == self.leading_term {
            return;
        }
        self.leading_term = leads;
        self.outputs.push(Output::LeadershipChanged(leads));
        self.session_monitor = leads.map(|_| LeaderState::new(self.times, now, &self.state));
        self.permit_timeouts = PermitTimeouts::default();
        self.permit_timeouts.update(now, self.state.disruption());
        self.propose_start_counts();
        // Whoever waits asks the next leader; what was proposed may still be agreed on, and asking twice does no harm.
        let answer = self.not_leader_response();
        let waiting = std::mem::take(&mut self.pending_proposals)
            .into_values()
            .map(|proposal| (proposal.connection, proposal.request_id));
        let queued = std::mem::take(&mut self.queued_renewals);
        let round = self.read_index_round.take().into_iter().flat_map(|round| round.renewals);
        let confirmed =
            std::mem::take(&mut self.confirmed_renewals).into_iter().flat_map(|(_, renewals)| renewals);
        let renewals = queued
            .into_iter()
            .chain(round)
            .chain(confirmed)
            .map(|renewal| (renewal.connection, renewal.request_id));
        let all: Vec<(ConnectionId, u64)> = waiting.chain(renewals).collect();
        for (connection, request_id) in all {
            self.reply(connection, request_id, answer.clone());
        }
    }

    fn reply_to_confirmed_renewals(&mut self, now: Micros) {
        while self.confirmed_renewals.front().is_some_and(|(index, _)| *index <= self.state.revision()) {
            let Some((_, renewals)) = self.confirmed_renewals.pop_front() else { return };
            for renewal in renewals {
                let Some(session_monitor) = &mut self.session_monitor else { return };
                let answer = match session_monitor.renew_session(
                    renewal.session,
                    renewal.seen_revision,
                    now,
                    &self.state,
                ) {
                    Ok(()) => Response::SessionRenewed {
                        view: (self.state.lease_revision() > renewal.seen_revision)
                            .then(|| self.state.view()),
                        members: renewal
                            .known_roster
                            .filter(|known| *known < self.state.membership_revision())
                            .map(|_| self.roster()),
                    },
                    Err(reason) => Response::Rejected(reason),
                };
                self.reply(renewal.connection, renewal.request_id, answer);
            }
        }
    }

    fn roster(&self) -> (Revision, Vec<Peer>) {
        let sessions = self.state.sessions().values().filter(|session| !session.superseded);
        let mut peers: Vec<Peer> = sessions.map(peer).collect();
        peers.sort();
        (self.state.membership_revision(), peers)
    }

    /// The session that was last heard of on a connection.
    pub fn session_of(&self, connection: ConnectionId) -> Option<SessionId> {
        self.client_sessions.get(&connection).copied()
    }

    /// Makes a snapshot of what is applied and drops most of the log before it.
    fn compact_log(&mut self) -> Result<(), CoordinatorError> {
        let index = self.state.revision();
        let mut snapshot = Snapshot::default();
        let term = self.raw_node.store().term(index).map_err(raft_fault)?;
        let voters = self.configuration.clone();
        snapshot.mut_metadata().index = index;
        snapshot.mut_metadata().term = term;
        snapshot.mut_metadata().set_conf_state(voters);
        snapshot.set_data(self.state.snapshot().into());
        let compacted_up_to = index.saturating_sub(RETAINED_ENTRIES);
        self.store
            .write(&WriteBatch { snapshot: Some((&snapshot, compacted_up_to)), ..WriteBatch::default() })?;
        self.raw_node.mut_store().log.wl().compact(compacted_up_to + 1).map_err(raft_fault)?;
        self.raw_node.mut_store().snapshot = snapshot;
        Ok(())
    }

    /// How things are.
    pub fn status(&self) -> ReplicaStatus {
        let raft = &self.raw_node.raft;
        let state = &self.state;
        let members = state.sessions().iter().map(|(id, session)| MemberStatus {
            session: *id,
            peer: peer(session),
            stable: session.stable,
            superseded: session.superseded,
            consecutive_short_sessions: state.consecutive_short_sessions(&session.name),
        });
        let owner = |owner: coordination::LeaseHolder| {
            let name = state.sessions().get(&owner.session).map(|session| session.name.clone());
            (name.unwrap_or_default(), owner.token)
        };
        let duties = state.leases().iter().map(|(id, duty)| LeaseStatus {
            lease: id.clone(),
            holder: duty.holder.map(owner),
            minimum_token: duty.minimum_token,
            fencing_revision: duty.fencing_revision,
        });
        let quantile = |q| self.commit_latency.value_at_quantile(q);
        ReplicaStatus {
            replica_id: self.identity.replica_id,
            is_leader: self.session_monitor.is_some(),
            leader_id: Some(self.leader_id).filter(|leader| *leader != 0),
            raft_term: raft.term,
            applied_index: state.revision(),
            committed_index: raft.raft_log.committed,
            first_log_index: self.raw_node.store().first_index().unwrap_or(0),
            start_count: self.identity.start_count,
            election_count: self.election_count,
            commit_latency: (quantile(0.5), quantile(0.99), self.commit_latency.max()),
            members: members.collect(),
            leases: duties.collect(),
            replicas: state.replica_starts().iter().map(|(keeper, boots)| (*keeper, *boots)).collect(),
            voters: {
                let both =
                    self.configuration.get_voters().iter().chain(self.configuration.get_voters_outgoing());
                both.copied().collect::<std::collections::BTreeSet<u64>>().into_iter().collect()
            },
            learners: self.configuration.get_learners().to_vec(),
            replacement: state.replacement_in_progress().map(|ReplicaReplacement { old, new }| (old, new)),
        }
    }

    /// The token that the next grant gets, for tests of tokens over restarts.
    pub fn next_token(&self) -> FencingToken {
        self.state.next_token()
    }
}

fn peer(session: &coordination::Session) -> Peer {
    Peer {
        name: session.name.clone(),
        incarnation: session.incarnation,
        zone: session.zone.clone(),
        address: session.address.clone(),
    }
}

/// The bytes of a message of Raft.
pub fn encode_message(message: &Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// A message of Raft out of its bytes.
pub fn decode_message(bytes: &[u8]) -> Option<Message> {
    let mut message = Message::default();
    message.merge_from_bytes(bytes).ok().map(|()| message)
}
