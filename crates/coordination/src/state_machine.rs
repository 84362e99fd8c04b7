//! The replicated state: sessions, names, duties, tokens. The same entries give the same state on every keeper.

use std::collections::{BTreeMap, BTreeSet};

use disruption_budget::availability_observer::OBSERVER_LEASE;
use disruption_budget::{DisruptionCommand, DisruptionState};
use serde::{Deserialize, Serialize};

use crate::{Command, FencingToken, LeaseId, LeaseScope, Revision, SessionId};

/// Bounds on what the state may hold: sessions, duties, duties offered by one member, bytes of a name or an address.
pub const LIMITS: (usize, usize, usize, usize) = (2_048, 4_096, 128, 128);

/// How many processes of one name are remembered, so that an old one is known when it comes again.
const REMEMBERED_BOOT_IDS: usize = 8;
/// The version of the snapshot.
const SNAPSHOT_VERSION: u16 = 3;

/// A member that is there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The member's name.
    pub name: String,
    /// Which process of that name, counted from one.
    pub incarnation: u64,
    /// The number that this process drew.
    pub boot_id: u64,
    /// Its zone.
    pub zone: String,
    /// Where members reach it.
    pub address: String,
    /// The duties that it may be given.
    pub eligible_leases: Vec<LeaseId>,
    /// Whether it stayed long enough.
    pub stable: bool,
    /// Whether a later process of the same name is there: no renewal any more.
    pub superseded: bool,
}

/// What is remembered of a name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct NameHistory {
    incarnation: u64,
    /// The last processes of the name, the latest last.
    boot_ids: Vec<u64>,
    /// Whether the last session was short.
    last_session_short: bool,
    /// Short lives of processes in a row. One that comes again after a cut is the same process, and no new life.
    consecutive_short_sessions: u8,
}

/// Who owns a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// By which session.
    pub session: SessionId,
    /// With which token.
    pub token: FencingToken,
}

/// A lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Tokens below this one are of ended terms.
    pub minimum_token: FencingToken,
    /// When the last term ended: whoever is to have a say in the next has to know of this.
    pub fencing_revision: Revision,
    /// The holder, if it has one.
    pub holder: Option<LeaseHolder>,
}

/// What all keepers agree on.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateMachine {
    revision: Revision,
    lease_revision: Revision,
    membership_revision: Revision,
    next_token: u64,
    sessions: BTreeMap<SessionId, Session>,
    names: BTreeMap<String, NameHistory>,
    leases: BTreeMap<LeaseId, Lease>,
    replica_starts: BTreeMap<u64, u64>,
    /// Stands behind the rest in a snapshot, and only where there is something of it.
    #[serde(skip)]
    replica_changes: ReplicaChanges,
    /// Who may be out, since version 3. Stands behind the rest in the same way.
    #[serde(skip)]
    disruption: DisruptionState,
    /// The last entry that changed it; after a restart, the snapshot's.
    #[serde(skip)]
    disruption_revision: Revision,
}

/// What is agreed on of keepers that came later, since version 2.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct ReplicaChanges {
    /// Where those are that came later.
    addresses: BTreeMap<u64, String>,
    replacing: Option<ReplicaReplacement>,
    /// Numbers that are not used again.
    retired: BTreeSet<u64>,
}

/// A replacement of a keeper that is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaReplacement {
    /// The one that goes.
    pub old: u64,
    /// The one that comes.
    pub new: u64,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The member has this session, as that process of its name.
    SessionOpened(SessionId, u64),
    /// The session is over.
    SessionEnded(SessionId),
    /// It may own duties now.
    SessionStable(SessionId),
    /// The lease has an holder.
    LeaseGranted(LeaseId, LeaseHolder),
    /// The term is over.
    LeaseReleased(LeaseId, FencingToken),
    /// What became of a change of the account.
    Disruption(disruption_budget::DisruptionOutcome),
    /// Noted.
    Acknowledged,
    /// Not done, and nothing was changed.
    Rejected(CommandRejection),
}

/// Why a command was not done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandRejection {
    /// There is no such session, or no more.
    NoSuchSession,
    /// A later process of the same name is there.
    Superseded {
        /// Which one.
        incarnation: u64,
    },
    /// The lease was granted, fencing_revision or unknown.
    LeaseNotFree,
    /// That term is over, or never was.
    NotLeaseHolder,
    /// Too much of something.
    LimitExceeded(String),
    /// The disk of a keeper was seen with more starts.
    StaleDisk {
        /// How many.
        starts: u64,
    },
    /// A keeper cannot be replaced so.
    InvalidReplacement(String),
}

impl std::fmt::Display for CommandRejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CommandRejection::NoSuchSession => write!(f, "there is no such session, or it has ended"),
            CommandRejection::Superseded { incarnation } => {
                write!(f, "process {incarnation} of the same name is there and this one is older")
            }
            CommandRejection::LeaseNotFree => write!(f, "the duty is not free"),
            CommandRejection::NotLeaseHolder => write!(f, "that term is over"),
            CommandRejection::LimitExceeded(what) => write!(f, "no room: {what}"),
            CommandRejection::InvalidReplacement(why) => write!(f, "{why}"),
            CommandRejection::StaleDisk { starts: boots } => {
                write!(f, "this disk was seen with {boots} starts already")
            }
        }
    }
}

/// What a member is told of one lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseView {
    /// The lease.
    pub lease: LeaseId,
    /// Tokens below are refused.
    pub minimum_token: FencingToken,
    /// The holder, if there is one.
    pub holder: Option<LeaseHolder>,
}

/// What a member is told of all duties, at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterView {
    /// The revision of the last change that it shows.
    pub revision: Revision,
    /// The duties.
    pub leases: Vec<LeaseView>,
}

/// A snapshot that this program cannot read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotError(pub String);

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the snapshot cannot be read: {}", self.0)
    }
}

impl std::error::Error for SnapshotError {}

impl StateMachine {
    /// A fleet without members. `first_token` is above every token of an earlier installation.
    pub fn new(first_token: u64) -> StateMachine {
        StateMachine {
            revision: 0,
            lease_revision: 0,
            membership_revision: 0,
            next_token: first_token.max(1),
            sessions: BTreeMap::new(),
            names: BTreeMap::new(),
            leases: BTreeMap::new(),
            replica_starts: BTreeMap::new(),
            replica_changes: ReplicaChanges::default(),
            disruption: DisruptionState::default(),
            disruption_revision: 0,
        }
    }

    /// The last entry that was applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The last entry that changed who owns what or what is fenced.
    pub fn lease_revision(&self) -> Revision {
        self.lease_revision
    }

    /// The last entry that changed who is there.
    pub fn membership_revision(&self) -> Revision {
        self.membership_revision
    }

    /// The members that are there.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// The duties.
    pub fn leases(&self) -> &BTreeMap<LeaseId, Lease> {
        &self.leases
    }

    /// The token that the next grant gets.
    pub fn next_token(&self) -> FencingToken {
        FencingToken(self.next_token)
    }

    /// How often each keeper's disk was started, as far as agreed.
    pub fn replica_starts(&self) -> &BTreeMap<u64, u64> {
        &self.replica_starts
    }

    /// Where those keepers are that came later than the installation was set up.
    pub fn added_replicas(&self) -> &BTreeMap<u64, String> {
        &self.replica_changes.addresses
    }

    /// The replacement that is on its way.
    pub fn replacement_in_progress(&self) -> Option<ReplicaReplacement> {
        self.replica_changes.replacing
    }

    /// Who may be out.
    pub fn disruption(&self) -> &DisruptionState {
        &self.disruption
    }

    /// The same with a flaw in the account, in builds for tests.
    #[must_use]
    pub fn with_injected_disruption_bug(
        self,
        injected_bug: Option<disruption_budget::InjectedBug>,
    ) -> StateMachine {
        StateMachine { disruption: self.disruption.with_injected_bug(injected_bug), ..self }
    }

    /// The last entry that changed who may be out.
    pub fn disruption_revision(&self) -> Revision {
        self.disruption_revision
    }

    /// How many short lives in a row a member of this name had.
    pub fn consecutive_short_sessions(&self, name: &str) -> u8 {
        self.names.get(name).map_or(0, |name| name.consecutive_short_sessions)
    }

    /// The session of this name that may be renewed.
    pub fn current_session_of(&self, name: &str) -> Option<(SessionId, &Session)> {
        self.sessions
            .iter()
            .find(|(_, session)| session.name == name && !session.superseded)
            .map(|(id, s)| (*id, s))
    }

    /// Which incarnation took over from a session that may not be renewed any more.
    pub fn incarnation_of(&self, name: &str) -> u64 {
        self.names.get(name).map_or(0, |name| name.incarnation)
    }

    /// What members are told.
    pub fn view(&self) -> ClusterView {
        let lease_view = |(id, lease): (&LeaseId, &Lease)| LeaseView {
            lease: id.clone(),
            minimum_token: lease.minimum_token,
            holder: lease.holder,
        };
        ClusterView { revision: self.lease_revision, leases: self.leases.iter().map(lease_view).collect() }
    }

    /// Counts an entry of the log that carries no command.
    pub fn skip_entry(&mut self, index: Revision) {
        self.revision = self.revision.max(index);
    }

    /// Applies the entry at this position of the log. One that was applied is not applied again.
    pub fn apply(&mut self, index: Revision, command: &Command) -> CommandOutcome {
        if index <= self.revision {
            return CommandOutcome::Acknowledged;
        }
        self.revision = index;
        match command {
            Command::OpenSession {
                name,
                boot_id: boot,
                zone,
                address,
                eligible_leases: offers,
                short_lived: short,
            } => self.open_session(index, (name, *boot), zone, address, offers, *short),
            Command::CloseSession { session, short_lived: short }
            | Command::ExpireSession { session, short_lived: short } => {
                match self.end_session(index, *session) {
                    Some(ended) => {
                        // Of a superseded one it was said when it was.
                        if !ended.superseded {
                            self.record_session_length(&ended.name, *short);
                        }
                        CommandOutcome::SessionEnded(*session)
                    }
                    None => CommandOutcome::Rejected(CommandRejection::NoSuchSession),
                }
            }
            Command::MarkSessionStable { session } => match self.sessions.get_mut(session) {
                Some(there) if !there.superseded => {
                    there.stable = true;
                    CommandOutcome::SessionStable(*session)
                }
                _ => CommandOutcome::Rejected(CommandRejection::NoSuchSession),
            },
            Command::GrantLease { lease, session, fencing_revision } => {
                self.grant_lease(index, lease, *session, *fencing_revision)
            }
            Command::ReleaseLease { lease, token, reset_stability } => {
                self.release_lease(index, lease, *token, *reset_stability)
            }
            Command::RecordReplicaStart { replica: keeper, starts: boots } => {
                let seen = self.replica_starts.entry(*keeper).or_default();
                if *boots < *seen {
                    return CommandOutcome::Rejected(CommandRejection::StaleDisk { starts: *seen });
                }
                *seen = *boots;
                CommandOutcome::Acknowledged
            }
            Command::Disruption(change) => {
                // An observation counts while its term is the running one, and at no other time.
                if let DisruptionCommand::RecordObservation { fencing_token, .. } = change {
                    let holder =
                        self.leases.get(&LeaseId::fleet(OBSERVER_LEASE)).and_then(|lease| lease.holder);
                    if holder.is_none_or(|holder| holder.token != FencingToken(*fencing_token)) {
                        return CommandOutcome::Rejected(CommandRejection::NotLeaseHolder);
                    }
                }
                self.disruption_revision = index;
                CommandOutcome::Disruption(self.disruption.apply(index, change))
            }
            Command::ReplaceReplica { old, new, address } => self.replace_replica(*old, *new, address),
            Command::CompleteReplacement { old } => {
                if self.replica_changes.replacing.is_some_and(|replacing| replacing.old == *old) {
                    self.replica_changes.replacing = None;
                    self.replica_changes.addresses.remove(old);
                    self.replica_changes.retired.insert(*old);
                }
                CommandOutcome::Acknowledged
            }
        }
    }

    fn replace_replica(&mut self, old: u64, new: u64, address: &str) -> CommandOutcome {
        let wanted = ReplicaReplacement { old, new };
        let refused = |why: String| CommandOutcome::Rejected(CommandRejection::InvalidReplacement(why));
        match self.replica_changes.replacing {
            // Asked again by an operator who did not hear the answer.
            Some(going) if going == wanted => return CommandOutcome::Acknowledged,
            Some(going) => {
                return refused(format!("keeper {} is being replaced by {} still", going.old, going.new))
            }
            None => {}
        }
        let used = self.replica_starts.contains_key(&new) || self.replica_changes.retired.contains(&new);
        if old == new || used || self.replica_changes.addresses.contains_key(&new) {
            return refused(format!("number {new} was used already; a new keeper has a new number"));
        }
        if self.replica_changes.retired.contains(&old) {
            return refused(format!("keeper {old} was replaced already"));
        }
        if address.is_empty() || address.len() > LIMITS.3 {
            return CommandOutcome::Rejected(CommandRejection::LimitExceeded(format!(
                "an address is empty or over {} bytes",
                LIMITS.3
            )));
        }
        self.replica_changes.addresses.insert(new, address.to_owned());
        self.replica_changes.replacing = Some(wanted);
        CommandOutcome::Acknowledged
    }

    fn open_session(
        &mut self,
        index: Revision,
        (name, boot): (&str, u64),
        zone: &str,
        address: &str,
        offers: &[LeaseId],
        short: bool,
    ) -> CommandOutcome {
        if let Some((id, session)) = self.current_session_of(name) {
            if session.boot_id == boot {
                return CommandOutcome::SessionOpened(id, session.incarnation);
            }
        }
        let (sessions, duties, offered, bytes) = LIMITS;
        let text = [name, zone, address].into_iter().chain(offers.iter().map(|lease| lease.name.as_str()));
        if name.is_empty() || text.into_iter().any(|text| text.len() > bytes) {
            return CommandOutcome::Rejected(CommandRejection::LimitExceeded(format!(
                "a name or an address is empty or over {bytes} bytes"
            )));
        }
        let new = offers.iter().filter(|lease| !self.leases.contains_key(lease)).count();
        if self.sessions.len() >= sessions || self.leases.len() + new > duties || offers.len() > offered {
            return CommandOutcome::Rejected(CommandRejection::LimitExceeded(format!(
                "{sessions} sessions, {duties} duties, {offered} offers"
            )));
        }
        let older = self.current_session_of(name).map(|(id, _)| id);
        let known = self.names.entry(name.to_owned()).or_default();
        if known.boot_ids.contains(&boot) && known.boot_ids.last() != Some(&boot) {
            return CommandOutcome::Rejected(CommandRejection::Superseded { incarnation: known.incarnation });
        }
        if known.boot_ids.last() != Some(&boot) {
            let short = if older.is_some() { short } else { known.last_session_short };
            let again = short && !known.boot_ids.is_empty();
            known.consecutive_short_sessions =
                if again { known.consecutive_short_sessions.saturating_add(1) } else { 0 };
            known.boot_ids.push(boot);
            if known.boot_ids.len() > REMEMBERED_BOOT_IDS {
                known.boot_ids.remove(0);
            }
        }
        known.incarnation += 1;
        let incarnation = known.incarnation;
        // The older process keeps its duties until its lease is over by its own clock: it may be acting still.
        if let Some(older) = older.and_then(|id| self.sessions.get_mut(&id)) {
            older.superseded = true;
        }
        for lease in
            offers.iter().filter(|lease| !self.leases.contains_key(lease)).cloned().collect::<Vec<_>>()
        {
            self.leases.insert(
                lease,
                Lease { minimum_token: FencingToken(self.next_token), fencing_revision: index, holder: None },
            );
            self.lease_revision = index;
        }
        let session = Session {
            name: name.to_owned(),
            incarnation,
            boot_id: boot,
            zone: zone.to_owned(),
            address: address.to_owned(),
            eligible_leases: offers.to_vec(),
            stable: false,
            superseded: false,
        };
        self.sessions.insert(SessionId(index), session);
        self.membership_revision = index;
        self.trim_name_history();
        CommandOutcome::SessionOpened(SessionId(index), incarnation)
    }

    /// Names without a session are forgotten, the ones with the fewest processes first, when there are very many.
    fn trim_name_history(&mut self) {
        while self.names.len() > 2 * LIMITS.0 {
            let here = |name: &str| self.sessions.values().any(|session| session.name == name);
            let gone =
                self.names.iter().filter(|(name, _)| !here(name)).min_by_key(|(_, name)| name.incarnation);
            let Some(gone) = gone.map(|(name, _)| name.clone()) else { return };
            self.names.remove(&gone);
        }
    }

    fn record_session_length(&mut self, name: &str, short: bool) {
        if let Some(name) = self.names.get_mut(name) {
            name.last_session_short = short;
        }
    }

    fn end_session(&mut self, index: Revision, id: SessionId) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        self.membership_revision = index;
        let next = FencingToken(self.next_token);
        for lease in
            self.leases.values_mut().filter(|lease| lease.holder.is_some_and(|holder| holder.session == id))
        {
            *lease = Lease { minimum_token: next, fencing_revision: index, holder: None };
            self.lease_revision = index;
        }
        Some(session)
    }

    fn grant_lease(
        &mut self,
        index: Revision,
        id: &LeaseId,
        to: SessionId,
        fencing_revision: Revision,
    ) -> CommandOutcome {
        let able = self.sessions.get(&to).is_some_and(|session| session.may_hold(id));
        let next = self.next_token;
        let Some(lease) = self.leases.get_mut(id) else {
            return CommandOutcome::Rejected(CommandRejection::LeaseNotFree);
        };
        if lease.holder.is_some() || lease.fencing_revision != fencing_revision {
            return CommandOutcome::Rejected(CommandRejection::LeaseNotFree);
        }
        if !able {
            return CommandOutcome::Rejected(CommandRejection::NoSuchSession);
        }
        let holder = LeaseHolder { session: to, token: FencingToken(next) };
        *lease = Lease { minimum_token: holder.token, fencing_revision, holder: Some(holder) };
        self.next_token += 1;
        self.lease_revision = index;
        CommandOutcome::LeaseGranted(id.clone(), holder)
    }

    fn release_lease(
        &mut self,
        index: Revision,
        id: &LeaseId,
        token: FencingToken,
        reset_stability: bool,
    ) -> CommandOutcome {
        let next = FencingToken(self.next_token);
        let Some(lease) = self.leases.get_mut(id) else {
            return CommandOutcome::Rejected(CommandRejection::NotLeaseHolder);
        };
        let Some(holder) = lease.holder.filter(|holder| holder.token == token) else {
            return CommandOutcome::Rejected(CommandRejection::NotLeaseHolder);
        };
        *lease = Lease { minimum_token: next, fencing_revision: index, holder: None };
        self.lease_revision = index;
        if let Some(session) = self.sessions.get_mut(&holder.session).filter(|_| reset_stability) {
            session.stable = false;
        }
        CommandOutcome::LeaseReleased(id.clone(), token)
    }

    /// The bytes of a snapshot: its version, then all.
    pub fn snapshot(&self) -> Vec<u8> {
        // Each part as the first version that knew it wrote it, so that keepers of an older one read on.
        let (replica_changes, disruption) = (&self.replica_changes, &self.disruption);
        let packed = if *disruption != DisruptionState::default() {
            postcard::to_stdvec(&(SNAPSHOT_VERSION, self, replica_changes, disruption))
        } else if *replica_changes != ReplicaChanges::default() {
            postcard::to_stdvec(&(2u16, self, replica_changes))
        } else {
            postcard::to_stdvec(&(1u16, self))
        };
        packed.unwrap_or_default()
    }

    /// Reads a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<StateMachine, SnapshotError> {
        let fault = |error: postcard::Error| SnapshotError(error.to_string());
        let (version, rest): (u16, _) = postcard::take_from_bytes(bytes).map_err(fault)?;
        match version {
            1 => postcard::from_bytes(rest).map_err(fault),
            2 => {
                let (state, replica_changes): (StateMachine, ReplicaChanges) =
                    postcard::from_bytes(rest).map_err(fault)?;
                Ok(StateMachine { replica_changes, ..state })
            }
            SNAPSHOT_VERSION => {
                let (state, replica_changes, disruption): (StateMachine, ReplicaChanges, DisruptionState) =
                    postcard::from_bytes(rest).map_err(fault)?;
                let disruption_revision = state.revision;
                Ok(StateMachine { replica_changes, disruption, disruption_revision, ..state })
            }
            _ => {
                Err(SnapshotError(format!("it has version {version}, this keeper knows {SNAPSHOT_VERSION}")))
            }
        }
    }

    /// A figure that is the same on two keepers that applied the same, to compare them by (FNV-1a over the snapshot).
    pub fn digest(&self) -> u64 {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        self.snapshot().into_iter().fold(0xcbf2_9ce4_8422_2325, step)
    }
}

impl Session {
    /// Whether it may be given this lease.
    pub fn may_hold(&self, lease: &LeaseId) -> bool {
        let here = match &lease.scope {
            LeaseScope::Fleet | LeaseScope::WorkerSet(_) => true,
            LeaseScope::Zone(zone) => *zone == self.zone,
        };
        here && self.stable && !self.superseded && self.eligible_leases.contains(lease)
    }
}
