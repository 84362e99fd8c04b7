//! One keeper without sockets and clock: Raft, the replicated state, and what the leader knows besides.
//!
//! Whoever drives it gives it the time, messages and questions, and carries out what [`Node::take`] gives out. All
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

use crate::disk::{Batch, Disk, Found};
use crate::Stop;

/// A connection of a member or an operator.
pub type Conn = u64;

/// Entries applied since the last snapshot before there is another, and how many stay in the log behind it.
const SNAPSHOT_EVERY: u64 = 4_096;
const SNAPSHOT_KEEPS: u64 = 512;
/// A learner that lacks no more entries than this may vote.
const CAUGHT_UP: u64 = 64;
/// The most that waits for agreement or for the confirmation that this keeper leads.
const MOST_WAITING: usize = 8_192;

/// What the driver is to do.
#[derive(Debug)]
pub enum Out {
    /// A message of Raft to a keeper.
    Raft(Message),
    /// Something to a member or an operator.
    Say(Conn, CoordinatorMessage),
    /// The view has changed, for all connections of members.
    News(coordination::ClusterView),
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
    Leads(Option<u64>),
}

/// The log in memory, as on the disk, with the snapshot that others are given.
#[derive(Clone)]
struct Store {
    log: MemStorage,
    snapshot: Snapshot,
}

impl Storage for Store {
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

struct Waiter {
    conn: Conn,
    request: u64,
    since: Micros,
}

struct Renewal {
    conn: Conn,
    request: u64,
    session: SessionId,
    seen: Revision,
    roster: Option<Revision>,
}

/// Renewals that wait for the word of a majority that this keeper leads.
struct Round {
    number: u64,
    since: Micros,
    renewals: Vec<Renewal>,
}

/// A keeper.
pub struct Node {
    raw: RawNode<Store>,
    disk: Disk,
    identity: StoreIdentity,
    state: StateMachine,
    /// Who votes and who learns, as applied.
    conf: ConfState,
    /// It changed: others are given a snapshot that knows of it.
    conf_changed: bool,
    /// When a change of it was proposed last.
    conf_proposed: Option<Micros>,
    times: Timing,
    warden: Option<LeaderState>,
    flaw: Option<disruption_budget::InjectedBug>,
    permit_timeouts: PermitTimeouts,
    voided: Micros,
    /// The latest entries that this keeper knows, and the latest messages that others speak, of those that greeted it.
    knows: u16,
    schemas: BTreeMap<u64, u16>,
    peers: BTreeMap<u64, StoreIdentity>,
    peers_changed: Vec<StoreIdentity>,
    /// Which proposals are this process's: a number drawn at its start, and one counted.
    nonce: u64,
    next: u64,
    waiting: BTreeMap<u64, Waiter>,
    queued: Vec<Renewal>,
    round: Option<Round>,
    confirmed: VecDeque<(Revision, Vec<Renewal>)>,
    sessions: BTreeMap<Conn, SessionId>,
    told: Revision,
    leads: Option<u64>,
    leader: u64,
    elections: u64,
    commits: Histogram<u64>,
    digests: bool,
    out: Vec<Out>,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("identity", &self.identity)
            .field("leads", &self.leads)
            .finish_non_exhaustive()
    }
}

fn raft_fault(error: raft::Error) -> Stop {
    Stop::Raft(format!("raft does not go on: {error}"))
}

fn restored(snapshot: &Snapshot) -> Result<StateMachine, Stop> {
    let mut state =
        StateMachine::restore(snapshot.get_data()).map_err(|fault| Stop::Later(fault.to_string()))?;
    state.skip_entry(snapshot.get_metadata().index);
    Ok(state)
}

impl Node {
    /// A keeper from what was on its disk. `tick` is the time between two calls of [`Node::tick`].
    ///
    /// # Errors
    /// What was on the disk cannot be used.
    pub fn new(disk: Disk, found: Found, times: Timing, tick: Micros, nonce: u64) -> Result<Node, Stop> {
        let Found { identity, hard, snapshot, entries, peers } = found;
        let state = restored(&snapshot)?;
        let log = MemStorage::new();
        {
            let mut log = log.wl();
            // The store of one that joins knows nothing, and has no place in the log.
            if snapshot.get_metadata().index > 0 {
                log.apply_snapshot(snapshot.clone()).map_err(raft_fault)?;
            }
            log.append(&entries).map_err(raft_fault)?;
            let commit =
                hard.commit.clamp(snapshot.get_metadata().index, log.hard_state().commit.max(hard.commit));
            let last = entries.last().map_or(snapshot.get_metadata().index, |entry| entry.index);
            let term = hard.term.max(snapshot.get_metadata().term);
            log.set_hardstate(HardState { commit: commit.min(last), term, ..hard });
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
        let conf = snapshot.get_metadata().get_conf_state().clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, Store { log, snapshot }, &logger).map_err(raft_fault)?;
        let commits =
            Histogram::new_with_bounds(1, 600_000_000, 2).map_err(|error| Stop::Start(error.to_string()))?;
        Ok(Node {
            raw,
            disk,
            identity,
            told: state.lease_revision(),
            state,
            conf,
            conf_changed: false,
            conf_proposed: None,
            times,
            warden: None,
            flaw: None,
            permit_timeouts: PermitTimeouts::default(),
            voided: 0,
            knows: COMMAND_VERSION,
            schemas: BTreeMap::new(),
            peers,
            peers_changed: Vec::new(),
            nonce,
            next: 0,
            waiting: BTreeMap::new(),
            queued: Vec::new(),
            round: None,
            confirmed: VecDeque::new(),
            sessions: BTreeMap::new(),
            leads: None,
            leader: 0,
            elections: 0,
            commits,
            digests: false,
            out: Vec::new(),
        })
    }

    /// What this keeper says of its disk.
    pub fn identity(&self) -> StoreIdentity {
        StoreIdentity { raft_term: self.raw.raft.term, ..self.identity }
    }

    /// The account gets a flaw, in builds for tests.
    pub fn account_flaw(&mut self, flaw: Option<disruption_budget::InjectedBug>) {
        self.flaw = flaw;
        self.state =
            std::mem::replace(&mut self.state, StateMachine::new(1)).with_injected_disruption_bug(flaw);
    }

    /// This keeper is to be as one that knows entries up to this version.
    pub fn know_up_to(&mut self, version: u16) {
        self.knows = version;
    }

    /// Whether [`Out::Applied`] carries a digest of the state, which takes time.
    pub fn digest(&mut self, wanted: bool) {
        self.digests = wanted;
    }

    /// What is to be done now.
    pub fn take(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    /// Another keeper has greeted this one. What it says is on this disk before it is let in.
    ///
    /// # Errors
    /// Its disk is not the one that was known, or an old copy of it.
    pub fn greeted(
        &mut self,
        by: StoreIdentity,
        schema: u16,
    ) -> Result<Result<(), HandshakeRejection>, Stop> {
        // One that joins knows nobody yet; those that take it in know it as soon as that is agreed on.
        let joins = self.conf == ConfState::default();
        let known = self.raw.raft.prs().iter().any(|(id, _)| *id == by.replica_id)
            || self.state.added_replicas().contains_key(&by.replica_id);
        if by.replica_id == self.identity.replica_id || !(known || joins) {
            return Ok(Err(HandshakeRejection::UnknownReplica));
        }
        let agreed = self.state.replica_starts().get(&by.replica_id).copied().unwrap_or(0);
        let known = self.peers.get(&by.replica_id).copied().unwrap_or(StoreIdentity {
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
            self.disk.write(&Batch { peers: &[by], ..Batch::default() })?;
            self.peers.insert(by.replica_id, by);
        }
        self.schemas.insert(by.replica_id, schema);
        self.propose_boots();
        Ok(Ok(()))
    }

    /// Lets all keepers know by the log how often each disk was started, so that also one that was away knows.
    fn propose_boots(&mut self) {
        if self.warden.is_none() {
            return;
        }
        let known = self.peers.values().map(|peer| (peer.replica_id, peer.start_count));
        let known = known.chain([(self.identity.replica_id, self.identity.start_count)]);
        let news: Vec<(u64, u64)> = known
            .filter(|(keeper, boots)| self.state.replica_starts().get(keeper).is_none_or(|seen| seen < boots))
            .collect();
        for (keeper, boots) in news {
            let command = Command::RecordReplicaStart { replica: keeper, starts: boots };
            let _ = self.raw.propose(Vec::new(), command.encode());
        }
    }

    /// A message of Raft from a keeper that was let in.
    ///
    /// # Errors
    /// The keeper stops.
    pub fn message(&mut self, from: u64, message: Message, now: Micros) -> Result<(), Stop> {
        if message.from != from || message.to != self.identity.replica_id {
            return Ok(());
        }
        // What another keeper has said of its term is written down with the next thing that is: one that forgets it
        // has an old disk.
        if let Some(peer) = self.peers.get_mut(&from).filter(|peer| {
            let votes = matches!(
                message.get_msg_type(),
                MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse
            );
            message.term > peer.raft_term && !votes
        }) {
            peer.raft_term = message.term;
            let peer = *peer;
            self.peers_changed.retain(|changed| changed.replica_id != from);
            self.peers_changed.push(peer);
        }
        // A message that does not fit is dropped, as if it were lost.
        let _ = self.raw.step(message);
        self.work(now)
    }

    /// A message could not be given to a keeper.
    pub fn unreachable(&mut self, keeper: u64, snapshot: bool) {
        self.raw.report_unreachable(keeper);
        if snapshot {
            self.raw.report_snapshot(keeper, SnapshotStatus::Failure);
        }
    }

    /// A snapshot was given to the connection of a keeper.
    pub fn snapshot_sent(&mut self, keeper: u64) {
        self.raw.report_snapshot(keeper, SnapshotStatus::Finish);
    }

    /// A connection is gone.
    pub fn closed(&mut self, conn: Conn) {
        self.sessions.remove(&conn);
    }

    /// Whether this keeper leads and may answer members.
    pub fn leads(&self) -> bool {
        self.warden.is_some()
    }

    /// Gives the lead to another keeper that is up to date, if this one has it.
    ///
    /// # Errors
    /// The keeper stops.
    pub fn hand_over(&mut self, now: Micros) -> Result<(), Stop> {
        self.give_lead(0);
        self.work(now)
    }

    fn give_lead(&mut self, not_to: u64) {
        if self.raw.raft.state == StateRole::Leader {
            let own = self.identity.replica_id;
            let others = self
                .raw
                .raft
                .prs()
                .iter()
                .filter(|(id, _)| **id != own && **id != not_to && self.conf.get_voters().contains(id));
            let best = others.max_by_key(|(_, at)| at.matched).map(|(id, _)| *id);
            if let Some(to) = best {
                self.raw.transfer_leader(to);
            }
        }
    }

    /// Time has passed.
    ///
    /// # Errors
    /// The keeper stops.
    pub fn tick(&mut self, now: Micros) -> Result<(), Stop> {
        self.raw.tick();
        if self
            .round
            .as_ref()
            .is_some_and(|round| now.saturating_sub(round.since) > self.times.election_timeout)
        {
            self.give_up_round();
        }
        let old: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiter)| now.saturating_sub(waiter.since) > 5_000_000)
            .map(|(n, _)| *n)
            .collect();
        for number in old {
            self.waiting.remove(&number);
        }
        self.replace_on(now);
        self.work(now)
    }

    /// Where keepers are that came later than the installation was set up.
    pub fn added(&self) -> &BTreeMap<u64, String> {
        self.state.added_replicas()
    }

    /// The next step of a replacement that is on its way, by whoever leads: the new one learns; when it has caught up
    /// both change at once, through a configuration in which majorities of the old and the new have to agree; then that
    /// is left, and the replacement is over. Each step is asked of what is agreed, so a next leader goes on.
    fn replace_on(&mut self, now: Micros) {
        let Some(ReplicaReplacement { old, new }) =
            self.state.replacement_in_progress().filter(|_| self.warden.is_some())
        else {
            return;
        };
        let lately = |at: Micros| now.saturating_sub(at) < self.times.election_timeout;
        if self.raw.raft.has_pending_conf() || self.conf_proposed.is_some_and(lately) {
            return;
        }
        self.conf_proposed = Some(now);
        let (voters, learners) = (self.conf.get_voters(), self.conf.get_learners());
        let single = |kind: ConfChangeType, node: u64| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(kind);
            change.node_id = node;
            change
        };
        let mut change = ConfChangeV2::default();
        if !self.conf.get_voters_outgoing().is_empty() {
            // An empty change leaves the joint configuration.
        } else if voters.contains(&new) && !voters.contains(&old) {
            let _ = self.raw.propose(Vec::new(), Command::CompleteReplacement { old }.encode());
            return;
        } else if !voters.contains(&new) && !learners.contains(&new) {
            change.set_changes(vec![single(ConfChangeType::AddLearnerNode, new)].into());
        } else if old == self.identity.replica_id {
            // It does not end its own lead by a change; another one goes on.
            self.give_lead(new);
            return;
        } else {
            let raft = &self.raw.raft;
            let known = raft.raft_log.committed;
            let caught_up = |at: &raft::Progress| at.recent_active && at.matched + CAUGHT_UP >= known;
            if !raft.prs().get(new).is_some_and(caught_up) {
                return;
            }
            change.set_transition(ConfChangeTransition::Explicit);
            let both = vec![single(ConfChangeType::AddNode, new), single(ConfChangeType::RemoveNode, old)];
            change.set_changes(both.into());
        }
        let _ = self.raw.propose_conf_change(Vec::new(), change);
    }

    /// A change of who votes was agreed on.
    fn change_keepers(&mut self, entry: &Entry) -> Result<(), Stop> {
        let fault = |error| Stop::Later(format!("entry {} cannot be read: {error}", entry.index));
        let conf = match entry.get_entry_type() {
            EntryType::EntryConfChange => {
                let mut change = ConfChange::default();
                change.merge_from_bytes(&entry.data).map_err(fault)?;
                self.raw.apply_conf_change(&change)
            }
            _ => {
                let mut change = ConfChangeV2::default();
                change.merge_from_bytes(&entry.data).map_err(fault)?;
                self.raw.apply_conf_change(&change)
            }
        };
        let conf = conf.map_err(raft_fault)?;
        let votes = |conf: &ConfState| {
            conf.get_voters()
                .iter()
                .chain(conf.get_voters_outgoing())
                .any(|id| *id == self.identity.replica_id)
        };
        let out = votes(&self.conf) && !votes(&conf);
        self.raw.mut_store().log.wl().set_conf_state(conf.clone());
        (self.conf, self.conf_changed) = (conf, true);
        self.state.skip_entry(entry.index);
        match out {
            true => Err(Stop::Replaced(format!(
                "another keeper has taken the place of keeper {}: this one is not needed any more",
                self.identity.replica_id
            ))),
            false => Ok(()),
        }
    }

    fn give_up_round(&mut self) {
        for renewal in self.round.take().into_iter().flat_map(|round| round.renewals) {
            self.say(renewal.conn, renewal.request, Response::Busy);
        }
    }

    fn say(&mut self, conn: Conn, request: u64, answer: Response) {
        self.out.push(Out::Say(conn, CoordinatorMessage::Response(request, answer)));
    }

    fn not_leading(&self) -> Response {
        match Some(self.leader).filter(|leader| *leader != 0 && *leader != self.identity.replica_id) {
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
    pub fn ask(
        &mut self,
        conn: Conn,
        Request { id, operation: ask }: Request,
        now: Micros,
    ) -> Result<(), Stop> {
        if let Operation::Status = ask {
            let status = self.status();
            self.say(conn, id, Response::Status(Box::new(status)));
            return Ok(());
        }
        let Some(warden) = &self.warden else {
            let answer = self.not_leading();
            self.say(conn, id, answer);
            return Ok(());
        };
        if self.waiting.len() + self.queued.len() >= MOST_WAITING {
            self.say(conn, id, Response::Busy);
            return Ok(());
        }
        match ask {
            Operation::OpenSession { name, boot_id: boot, zone, address, eligible_leases: offers } => {
                let short = warden.is_short_session(&name, now, &self.state);
                self.propose(
                    conn,
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
                self.sessions.insert(conn, session);
                self.queued.push(Renewal { conn, request: id, session, seen, roster });
            }
            Operation::CloseSession { session } => {
                let name = self
                    .state
                    .sessions()
                    .get(&session)
                    .map(|session| session.name.clone())
                    .unwrap_or_default();
                let short = warden.is_short_session(&name, now, &self.state);
                self.propose(conn, id, Command::CloseSession { session, short_lived: short }, now);
            }
            Operation::ReleaseLease { lease: duty, token } => {
                let held =
                    self.state.leases().get(&duty).and_then(|duty| duty.holder).map(|owner| owner.token);
                match token.or(held) {
                    Some(token) => self.propose(
                        conn,
                        id,
                        Command::ReleaseLease { lease: duty, token, reset_stability: true },
                        now,
                    ),
                    None => self.say(conn, id, Response::Rejected(CommandRejection::NotLeaseHolder)),
                }
            }
            Operation::ReplaceReplica { old, new, address } => {
                let why = match self.conf.get_voters() {
                    voters if !voters.contains(&old) && self.state.replacement_in_progress().is_none() => {
                        Some(format!("there is no keeper {old}; those that vote are {voters:?}"))
                    }
                    voters if voters.contains(&new) => Some(format!("keeper {new} votes already")),
                    _ => None,
                };
                match why {
                    Some(why) => {
                        self.say(conn, id, Response::Rejected(CommandRejection::InvalidReplacement(why)))
                    }
                    None => self.propose(conn, id, Command::ReplaceReplica { old, new, address }, now),
                }
            }
            Operation::ChangeDisruptionState(change) => match self.older_voter() {
                Some(keeper) => {
                    let why = format!("keeper {keeper} is of a version that knows no permits yet");
                    self.say(conn, id, Response::Rejected(CommandRejection::InvalidReplacement(why)));
                }
                None => self.propose(conn, id, Command::Disruption(change), now),
            },
            Operation::DisruptionState { known_revision: known } => {
                let revision = self.state.disruption_revision();
                let account = (revision > known).then(|| Box::new(self.state.disruption().clone()));
                self.say(conn, id, Response::DisruptionState(revision, account));
            }
            Operation::Status => {}
        }
        self.work(now)
    }

    /// A keeper that votes and spoke an older version of the messages when it greeted this one last: what it does not know
    /// is not put into the log, which would stop it.
    fn older_voter(&self) -> Option<u64> {
        if self.knows < 3 {
            return Some(self.identity.replica_id);
        }
        let voters = self.conf.get_voters().iter().chain(self.conf.get_voters_outgoing());
        voters.copied().find(|voter| self.schemas.get(voter).is_some_and(|schema| *schema < 3))
    }

    fn propose(&mut self, conn: Conn, request: u64, command: Command, now: Micros) {
        self.next += 1;
        let context = postcard::to_stdvec(&(self.nonce, self.next)).unwrap_or_default();
        match self.raw.propose(context, command.encode()) {
            Ok(()) => {
                self.waiting.insert(self.next, Waiter { conn, request, since: now });
            }
            Err(_) => self.say(conn, request, Response::Busy),
        }
    }

    /// Does all that can be done now.
    fn work(&mut self, now: Micros) -> Result<(), Stop> {
        loop {
            self.begin_round(now);
            self.propose_due(now);
            if !self.raw.has_ready() {
                break;
            }
            self.one_ready(now)?;
            self.role(now);
            self.answer_confirmed(now);
        }
        if self.conf_changed
            || self.state.revision() >= self.raw.store().snapshot.get_metadata().index + SNAPSHOT_EVERY
        {
            self.conf_changed = false;
            self.compact()?;
        }
        if self.warden.is_some() && self.state.lease_revision() != self.told {
            self.out.push(Out::News(self.state.view()));
        }
        self.told = self.state.lease_revision();
        Ok(())
    }

    fn begin_round(&mut self, now: Micros) {
        if self.warden.is_some() && self.round.is_none() && !self.queued.is_empty() {
            self.next += 1;
            let context = postcard::to_stdvec(&(self.nonce, self.next)).unwrap_or_default();
            self.raw.read_index(context);
            let renewals = std::mem::take(&mut self.queued);
            self.round = Some(Round { number: self.next, since: now, renewals });
        }
    }

    fn propose_due(&mut self, now: Micros) {
        let Some(warden) = &mut self.warden else { return };
        // What is due of permits is proposed at most so often: the agreement takes a moment.
        if now.saturating_sub(self.voided) > self.times.heartbeat_interval {
            for command in self.permit_timeouts.expired(now) {
                self.voided = now;
                let _ = self.raw.propose(Vec::new(), Command::Disruption(command).encode());
            }
        }
        for command in warden.due_commands(now, &self.state) {
            if self.raw.propose(Vec::new(), command.encode()).is_err() {
                warden.proposal_rejected(&command);
            }
        }
    }

    fn one_ready(&mut self, now: Micros) -> Result<(), Stop> {
        let mut ready = self.raw.ready();
        self.send(ready.take_messages());
        for read in ready.take_read_states() {
            let number = postcard::from_bytes::<(u64, u64)>(&read.request_ctx).ok();
            let number = number.filter(|(nonce, _)| *nonce == self.nonce).map(|(_, number)| number);
            if self.round.as_ref().is_some_and(|round| Some(round.number) == number) {
                let renewals = self.round.take().map(|round| round.renewals).unwrap_or_default();
                self.confirmed.push_back((read.index, renewals));
            }
        }
        let mut batch = Batch { entries: ready.entries(), peers: &self.peers_changed, ..Batch::default() };
        let foreign = !ready.snapshot().is_empty();
        if foreign {
            batch.snapshot = Some((ready.snapshot(), ready.snapshot().get_metadata().index));
            batch.clear = true;
        }
        batch.hard = ready.hs();
        // A commit index alone is found again from the others; it needs no write.
        if ready.must_sync() || foreign || !batch.entries.is_empty() {
            self.disk.write(&batch)?;
            self.peers_changed.clear();
        }
        if foreign {
            let snapshot = ready.snapshot().clone();
            self.raw.mut_store().log.wl().apply_snapshot(snapshot.clone()).map_err(raft_fault)?;
            self.state = restored(&snapshot)?.with_injected_disruption_bug(self.flaw);
            self.conf = snapshot.get_metadata().get_conf_state().clone();
            self.raw.mut_store().snapshot = snapshot;
        }
        self.raw.mut_store().log.wl().append(ready.entries()).map_err(raft_fault)?;
        if let Some(hard) = ready.hs() {
            self.raw.mut_store().log.wl().set_hardstate(hard.clone());
        }
        self.send(ready.take_persisted_messages());
        self.apply(ready.take_committed_entries(), now)?;
        let mut light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raw.mut_store().log.wl().mut_hard_state().commit = commit;
        }
        self.send(light.take_messages());
        self.apply(light.take_committed_entries(), now)?;
        self.raw.advance_apply();
        Ok(())
    }

    fn send(&mut self, messages: Vec<Message>) {
        self.out.extend(messages.into_iter().map(Out::Raft));
    }

    fn apply(&mut self, entries: Vec<Entry>, now: Micros) -> Result<(), Stop> {
        for entry in entries {
            if entry.get_entry_type() != EntryType::EntryNormal {
                self.change_keepers(&entry)?;
                continue;
            }
            if entry.data.is_empty() {
                self.state.skip_entry(entry.index);
                continue;
            }
            let command = Command::decode_with_supported_version(self.knows, &entry.data)
                .map_err(|fault| Stop::Later(format!("at entry {}: {fault}", entry.index)))?;
            let outcome = self.state.apply(entry.index, &command);
            if let CommandOutcome::Disruption(_) = outcome {
                self.permit_timeouts.update(now, self.state.disruption());
            }
            if let Some(warden) = &mut self.warden {
                warden.on_entries_applied(now, &self.state);
                if matches!(outcome, CommandOutcome::Rejected(_)) {
                    warden.proposal_rejected(&command);
                }
            }
            let own = postcard::from_bytes::<(u64, u64)>(&entry.context)
                .ok()
                .filter(|(nonce, _)| *nonce == self.nonce);
            if let Some(waiter) = own.and_then(|(_, number)| self.waiting.remove(&number)) {
                let _ = self.commits.record(now.saturating_sub(waiter.since).max(1));
                self.answer(waiter, &outcome, now);
            }
            let digest = if self.digests { self.state.digest() } else { 0 };
            self.out.push(Out::Applied { index: entry.index, command, outcome, digest });
        }
        Ok(())
    }

    fn answer(&mut self, waiter: Waiter, outcome: &CommandOutcome, now: Micros) {
        let answer = match (outcome, &mut self.warden) {
            // Only the leading keeper may give a lease, old or new.
            (CommandOutcome::SessionOpened(session, incarnation), Some(warden)) => {
                // A session that was there is renewed by this, unless its end is on its way.
                match warden.renew_session(*session, 0, now, &self.state) {
                    Ok(()) => {
                        self.sessions.insert(waiter.conn, *session);
                        Response::SessionOpened {
                            session: *session,
                            incarnation: *incarnation,
                            view: self.state.view(),
                        }
                    }
                    Err(_) => Response::Busy,
                }
            }
            (CommandOutcome::SessionOpened(..), None) => self.not_leading(),
            (CommandOutcome::Rejected(reason), _) => Response::Rejected(reason.clone()),
            (CommandOutcome::Disruption(outcome), _) => {
                if let disruption_budget::DisruptionOutcome::PermitRequested(id, _) = outcome {
                    self.permit_timeouts.renew(*id, now);
                }
                Response::DisruptionStateChanged(outcome.clone())
            }
            _ => Response::Done,
        };
        self.say(waiter.conn, waiter.request, answer);
    }

    /// Notices whether this keeper leads. It counts itself as leading only when it has applied an entry of its term,
    /// and with it all that was agreed before.
    fn role(&mut self, now: Micros) {
        let raft = &self.raw.raft;
        if raft.leader_id != self.leader {
            self.leader = raft.leader_id;
            self.elections += u64::from(self.leader != 0);
        }
        let leads = (raft.state == StateRole::Leader && raft.apply_to_current_term()).then_some(raft.term);
        if leads == self.leads {
            return;
        }
        self.leads = leads;
        self.out.push(Out::Leads(leads));
        self.warden = leads.map(|_| LeaderState::new(self.times, now, &self.state));
        self.permit_timeouts = PermitTimeouts::default();
        self.permit_timeouts.update(now, self.state.disruption());
        self.propose_boots();
        // Whoever waits asks the next leader; what was proposed may still be agreed on, and asking twice does no harm.
        let answer = self.not_leading();
        let waiting =
            std::mem::take(&mut self.waiting).into_values().map(|waiter| (waiter.conn, waiter.request));
        let queued = std::mem::take(&mut self.queued);
        let round = self.round.take().into_iter().flat_map(|round| round.renewals);
        let confirmed = std::mem::take(&mut self.confirmed).into_iter().flat_map(|(_, renewals)| renewals);
        let renewals =
            queued.into_iter().chain(round).chain(confirmed).map(|renewal| (renewal.conn, renewal.request));
        let all: Vec<(Conn, u64)> = waiting.chain(renewals).collect();
        for (conn, request) in all {
            self.say(conn, request, answer.clone());
        }
    }

    fn answer_confirmed(&mut self, now: Micros) {
        while self.confirmed.front().is_some_and(|(index, _)| *index <= self.state.revision()) {
            let Some((_, renewals)) = self.confirmed.pop_front() else { return };
            for renewal in renewals {
                let Some(warden) = &mut self.warden else { return };
                let answer = match warden.renew_session(renewal.session, renewal.seen, now, &self.state) {
                    Ok(()) => Response::SessionRenewed {
                        view: (self.state.lease_revision() > renewal.seen).then(|| self.state.view()),
                        members: renewal
                            .roster
                            .filter(|known| *known < self.state.membership_revision())
                            .map(|_| self.roster()),
                    },
                    Err(reason) => Response::Rejected(reason),
                };
                self.say(renewal.conn, renewal.request, answer);
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
    pub fn session_of(&self, conn: Conn) -> Option<SessionId> {
        self.sessions.get(&conn).copied()
    }

    /// Makes a snapshot of what is applied and drops most of the log before it.
    fn compact(&mut self) -> Result<(), Stop> {
        let index = self.state.revision();
        let mut snapshot = Snapshot::default();
        let term = self.raw.store().term(index).map_err(raft_fault)?;
        let voters = self.conf.clone();
        snapshot.mut_metadata().index = index;
        snapshot.mut_metadata().term = term;
        snapshot.mut_metadata().set_conf_state(voters);
        snapshot.set_data(self.state.snapshot().into());
        let gone = index.saturating_sub(SNAPSHOT_KEEPS);
        self.disk.write(&Batch { snapshot: Some((&snapshot, gone)), ..Batch::default() })?;
        self.raw.mut_store().log.wl().compact(gone + 1).map_err(raft_fault)?;
        self.raw.mut_store().snapshot = snapshot;
        Ok(())
    }

    /// How things are.
    pub fn status(&self) -> ReplicaStatus {
        let raft = &self.raw.raft;
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
        let quantile = |q| self.commits.value_at_quantile(q);
        ReplicaStatus {
            replica_id: self.identity.replica_id,
            is_leader: self.warden.is_some(),
            leader_id: Some(self.leader).filter(|leader| *leader != 0),
            raft_term: raft.term,
            applied_index: state.revision(),
            committed_index: raft.raft_log.committed,
            first_log_index: self.raw.store().first_index().unwrap_or(0),
            start_count: self.identity.start_count,
            election_count: self.elections,
            commit_latency: (quantile(0.5), quantile(0.99), self.commits.max()),
            members: members.collect(),
            leases: duties.collect(),
            replicas: state.replica_starts().iter().map(|(keeper, boots)| (*keeper, *boots)).collect(),
            voters: {
                let both = self.conf.get_voters().iter().chain(self.conf.get_voters_outgoing());
                both.copied().collect::<std::collections::BTreeSet<u64>>().into_iter().collect()
            },
            learners: self.conf.get_learners().to_vec(),
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
pub fn pack(message: &Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// A message of Raft out of its bytes.
pub fn unpack(bytes: &[u8]) -> Option<Message> {
    let mut message = Message::default();
    message.merge_from_bytes(bytes).ok().map(|()| message)
}
