//! The replicated state: sessions, names, duties, tokens. The same entries give the same state on every keeper.

use std::collections::{BTreeMap, BTreeSet};

use disruption_budget::availability_observer::OBSERVER_LEASE;
use disruption_budget::{DisruptionCommand, DisruptionState};
use serde::{Deserialize, Serialize};

use crate::{Command, DutyId, Revision, Scope, SessionId, Token};

/// Bounds on what the state may hold: sessions, duties, duties offered by one member, bytes of a name or an address.
pub const LIMITS: (usize, usize, usize, usize) = (2_048, 4_096, 128, 128);

/// How many processes of one name are remembered, so that an old one is known when it comes again.
const OLD_BOOTS: usize = 8;
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
    pub boot: u64,
    /// Its zone.
    pub zone: String,
    /// Where members reach it.
    pub address: String,
    /// The duties that it may be given.
    pub offers: Vec<DutyId>,
    /// Whether it stayed long enough.
    pub settled: bool,
    /// Whether a later process of the same name is there: no renewal any more.
    pub superseded: bool,
}

/// What is remembered of a name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Name {
    incarnation: u64,
    /// The last processes of the name, the latest last.
    boots: Vec<u64>,
    /// Whether the last session was short.
    last_short: bool,
    /// Short lives of processes in a row. One that comes again after a cut is the same process, and no new life.
    short_lives: u8,
}

/// Who owns a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// By which session.
    pub session: SessionId,
    /// With which token.
    pub token: Token,
}

/// A duty.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// Tokens below this one are of ended terms.
    pub floor: Token,
    /// When the last term ended: whoever is to have a say in the next has to know of this.
    pub fenced: Revision,
    /// The owner, if it has one.
    pub owner: Option<Owner>,
}

/// What all keepers agree on.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    revision: Revision,
    seats_revision: Revision,
    roster_revision: Revision,
    next_token: u64,
    sessions: BTreeMap<SessionId, Session>,
    names: BTreeMap<String, Name>,
    duties: BTreeMap<DutyId, Duty>,
    keepers: BTreeMap<u64, u64>,
    /// Stands behind the rest in a snapshot, and only where there is something of it.
    #[serde(skip)]
    changes: Changes,
    /// Who may be out, since version 3. Stands behind the rest in the same way.
    #[serde(skip)]
    account: DisruptionState,
    /// The last entry that changed it; after a restart, the snapshot's.
    #[serde(skip)]
    account_revision: Revision,
}

/// What is agreed on of keepers that came later, since version 2.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Changes {
    /// Where those are that came later.
    addresses: BTreeMap<u64, String>,
    replacing: Option<Replacing>,
    /// Numbers that are not used again.
    gone: BTreeSet<u64>,
}

/// A replacement of a keeper that is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Replacing {
    /// The one that goes.
    pub old: u64,
    /// The one that comes.
    pub new: u64,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The member has this session, as that process of its name.
    Joined(SessionId, u64),
    /// The session is over.
    Ended(SessionId),
    /// It may own duties now.
    Settled(SessionId),
    /// The duty has an owner.
    Granted(DutyId, Owner),
    /// The term is over.
    Released(DutyId, Token),
    /// What became of a change of the account.
    Account(disruption_budget::DisruptionOutcome),
    /// Noted.
    Noted,
    /// Not done, and nothing was changed.
    Refused(Reason),
}

/// Why a command was not done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// There is no such session, or no more.
    NoSession,
    /// A later process of the same name is there.
    Superseded {
        /// Which one.
        incarnation: u64,
    },
    /// The duty was granted, fenced or unknown.
    NotFree,
    /// That term is over, or never was.
    NotTheOwner,
    /// Too much of something.
    Full(String),
    /// The disk of a keeper was seen with more starts.
    OldDisk {
        /// How many.
        boots: u64,
    },
    /// A keeper cannot be replaced so.
    Keepers(String),
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::NoSession => write!(f, "there is no such session, or it has ended"),
            Reason::Superseded { incarnation } => {
                write!(f, "process {incarnation} of the same name is there and this one is older")
            }
            Reason::NotFree => write!(f, "the duty is not free"),
            Reason::NotTheOwner => write!(f, "that term is over"),
            Reason::Full(what) => write!(f, "no room: {what}"),
            Reason::Keepers(why) => write!(f, "{why}"),
            Reason::OldDisk { boots } => write!(f, "this disk was seen with {boots} starts already"),
        }
    }
}

/// What a member is told of one duty.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seat {
    /// The duty.
    pub duty: DutyId,
    /// Tokens below are refused.
    pub floor: Token,
    /// The owner, if there is one.
    pub owner: Option<Owner>,
}

/// What a member is told of all duties, at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The revision of the last change that it shows.
    pub revision: Revision,
    /// The duties.
    pub seats: Vec<Seat>,
}

/// A snapshot that this program cannot read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotFault(pub String);

impl std::fmt::Display for SnapshotFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the snapshot cannot be read: {}", self.0)
    }
}

impl std::error::Error for SnapshotFault {}

impl State {
    /// A fleet without members. `first_token` is above every token of an earlier installation.
    pub fn new(first_token: u64) -> State {
        State {
            revision: 0,
            seats_revision: 0,
            roster_revision: 0,
            next_token: first_token.max(1),
            sessions: BTreeMap::new(),
            names: BTreeMap::new(),
            duties: BTreeMap::new(),
            keepers: BTreeMap::new(),
            changes: Changes::default(),
            account: DisruptionState::default(),
            account_revision: 0,
        }
    }

    /// The last entry that was applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The last entry that changed who owns what or what is fenced.
    pub fn seats_revision(&self) -> Revision {
        self.seats_revision
    }

    /// The last entry that changed who is there.
    pub fn roster_revision(&self) -> Revision {
        self.roster_revision
    }

    /// The members that are there.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// The duties.
    pub fn duties(&self) -> &BTreeMap<DutyId, Duty> {
        &self.duties
    }

    /// The token that the next grant gets.
    pub fn next_token(&self) -> Token {
        Token(self.next_token)
    }

    /// How often each keeper's disk was started, as far as agreed.
    pub fn keepers(&self) -> &BTreeMap<u64, u64> {
        &self.keepers
    }

    /// Where those keepers are that came later than the installation was set up.
    pub fn added(&self) -> &BTreeMap<u64, String> {
        &self.changes.addresses
    }

    /// The replacement that is on its way.
    pub fn replacing(&self) -> Option<Replacing> {
        self.changes.replacing
    }

    /// Who may be out.
    pub fn account(&self) -> &DisruptionState {
        &self.account
    }

    /// The same with a flaw in the account, in builds for tests.
    #[must_use]
    pub fn with_account_flaw(self, injected_bug: Option<disruption_budget::InjectedBug>) -> State {
        State { account: self.account.with_injected_bug(injected_bug), ..self }
    }

    /// The last entry that changed who may be out.
    pub fn account_revision(&self) -> Revision {
        self.account_revision
    }

    /// How many short lives in a row a member of this name had.
    pub fn short_lives(&self, name: &str) -> u8 {
        self.names.get(name).map_or(0, |name| name.short_lives)
    }

    /// The session of this name that may be renewed.
    pub fn session_of(&self, name: &str) -> Option<(SessionId, &Session)> {
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
    pub fn view(&self) -> View {
        let seat =
            |(id, duty): (&DutyId, &Duty)| Seat { duty: id.clone(), floor: duty.floor, owner: duty.owner };
        View { revision: self.seats_revision, seats: self.duties.iter().map(seat).collect() }
    }

    /// Counts an entry of the log that carries no command.
    pub fn skip(&mut self, index: Revision) {
        self.revision = self.revision.max(index);
    }

    /// Applies the entry at this position of the log. One that was applied is not applied again.
    pub fn apply(&mut self, index: Revision, command: &Command) -> Outcome {
        if index <= self.revision {
            return Outcome::Noted;
        }
        self.revision = index;
        match command {
            Command::Join { name, boot, zone, address, offers, short } => {
                self.join(index, (name, *boot), zone, address, offers, *short)
            }
            Command::Leave { session, short } | Command::End { session, short } => {
                match self.end(index, *session) {
                    Some(ended) => {
                        // Of a superseded one it was said when it was.
                        if !ended.superseded {
                            self.lived(&ended.name, *short);
                        }
                        Outcome::Ended(*session)
                    }
                    None => Outcome::Refused(Reason::NoSession),
                }
            }
            Command::Settle { session } => match self.sessions.get_mut(session) {
                Some(there) if !there.superseded => {
                    there.settled = true;
                    Outcome::Settled(*session)
                }
                _ => Outcome::Refused(Reason::NoSession),
            },
            Command::Grant { duty, session, fenced } => self.grant(index, duty, *session, *fenced),
            Command::Release { duty, token, unsettle } => self.release(index, duty, *token, *unsettle),
            Command::KeeperStarted { keeper, boots } => {
                let seen = self.keepers.entry(*keeper).or_default();
                if *boots < *seen {
                    return Outcome::Refused(Reason::OldDisk { boots: *seen });
                }
                *seen = *boots;
                Outcome::Noted
            }
            Command::Account(change) => {
                // An observation counts while its term is the running one, and at no other time.
                if let DisruptionCommand::RecordObservation { fencing_token, .. } = change {
                    let owner = self.duties.get(&DutyId::fleet(OBSERVER_LEASE)).and_then(|duty| duty.owner);
                    if owner.is_none_or(|owner| owner.token != Token(*fencing_token)) {
                        return Outcome::Refused(Reason::NotTheOwner);
                    }
                }
                self.account_revision = index;
                Outcome::Account(self.account.apply(index, change))
            }
            Command::ReplaceKeeper { old, new, address } => self.replace(*old, *new, address),
            Command::KeeperReplaced { old } => {
                if self.changes.replacing.is_some_and(|replacing| replacing.old == *old) {
                    self.changes.replacing = None;
                    self.changes.addresses.remove(old);
                    self.changes.gone.insert(*old);
                }
                Outcome::Noted
            }
        }
    }

    fn replace(&mut self, old: u64, new: u64, address: &str) -> Outcome {
        let wanted = Replacing { old, new };
        let refused = |why: String| Outcome::Refused(Reason::Keepers(why));
        match self.changes.replacing {
            // Asked again by an operator who did not hear the answer.
            Some(going) if going == wanted => return Outcome::Noted,
            Some(going) => {
                return refused(format!("keeper {} is being replaced by {} still", going.old, going.new))
            }
            None => {}
        }
        let used = self.keepers.contains_key(&new) || self.changes.gone.contains(&new);
        if old == new || used || self.changes.addresses.contains_key(&new) {
            return refused(format!("number {new} was used already; a new keeper has a new number"));
        }
        if self.changes.gone.contains(&old) {
            return refused(format!("keeper {old} was replaced already"));
        }
        if address.is_empty() || address.len() > LIMITS.3 {
            return Outcome::Refused(Reason::Full(format!("an address is empty or over {} bytes", LIMITS.3)));
        }
        self.changes.addresses.insert(new, address.to_owned());
        self.changes.replacing = Some(wanted);
        Outcome::Noted
    }

    fn join(
        &mut self,
        index: Revision,
        (name, boot): (&str, u64),
        zone: &str,
        address: &str,
        offers: &[DutyId],
        short: bool,
    ) -> Outcome {
        if let Some((id, session)) = self.session_of(name) {
            if session.boot == boot {
                return Outcome::Joined(id, session.incarnation);
            }
        }
        let (sessions, duties, offered, bytes) = LIMITS;
        let text = [name, zone, address].into_iter().chain(offers.iter().map(|duty| duty.name.as_str()));
        if name.is_empty() || text.into_iter().any(|text| text.len() > bytes) {
            return Outcome::Refused(Reason::Full(format!(
                "a name or an address is empty or over {bytes} bytes"
            )));
        }
        let new = offers.iter().filter(|duty| !self.duties.contains_key(duty)).count();
        if self.sessions.len() >= sessions || self.duties.len() + new > duties || offers.len() > offered {
            return Outcome::Refused(Reason::Full(format!(
                "{sessions} sessions, {duties} duties, {offered} offers"
            )));
        }
        let older = self.session_of(name).map(|(id, _)| id);
        let known = self.names.entry(name.to_owned()).or_default();
        if known.boots.contains(&boot) && known.boots.last() != Some(&boot) {
            return Outcome::Refused(Reason::Superseded { incarnation: known.incarnation });
        }
        if known.boots.last() != Some(&boot) {
            let short = if older.is_some() { short } else { known.last_short };
            let again = short && !known.boots.is_empty();
            known.short_lives = if again { known.short_lives.saturating_add(1) } else { 0 };
            known.boots.push(boot);
            if known.boots.len() > OLD_BOOTS {
                known.boots.remove(0);
            }
        }
        known.incarnation += 1;
        let incarnation = known.incarnation;
        // The older process keeps its duties until its lease is over by its own clock: it may be acting still.
        if let Some(older) = older.and_then(|id| self.sessions.get_mut(&id)) {
            older.superseded = true;
        }
        for duty in offers.iter().filter(|duty| !self.duties.contains_key(duty)).cloned().collect::<Vec<_>>()
        {
            self.duties.insert(duty, Duty { floor: Token(self.next_token), fenced: index, owner: None });
            self.seats_revision = index;
        }
        let session = Session {
            name: name.to_owned(),
            incarnation,
            boot,
            zone: zone.to_owned(),
            address: address.to_owned(),
            offers: offers.to_vec(),
            settled: false,
            superseded: false,
        };
        self.sessions.insert(SessionId(index), session);
        self.roster_revision = index;
        self.forget_names();
        Outcome::Joined(SessionId(index), incarnation)
    }

    /// Names without a session are forgotten, the ones with the fewest processes first, when there are very many.
    fn forget_names(&mut self) {
        while self.names.len() > 2 * LIMITS.0 {
            let here = |name: &str| self.sessions.values().any(|session| session.name == name);
            let gone =
                self.names.iter().filter(|(name, _)| !here(name)).min_by_key(|(_, name)| name.incarnation);
            let Some(gone) = gone.map(|(name, _)| name.clone()) else { return };
            self.names.remove(&gone);
        }
    }

    fn lived(&mut self, name: &str, short: bool) {
        if let Some(name) = self.names.get_mut(name) {
            name.last_short = short;
        }
    }

    fn end(&mut self, index: Revision, id: SessionId) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        self.roster_revision = index;
        let next = Token(self.next_token);
        for duty in
            self.duties.values_mut().filter(|duty| duty.owner.is_some_and(|owner| owner.session == id))
        {
            *duty = Duty { floor: next, fenced: index, owner: None };
            self.seats_revision = index;
        }
        Some(session)
    }

    fn grant(&mut self, index: Revision, id: &DutyId, to: SessionId, fenced: Revision) -> Outcome {
        let able = self.sessions.get(&to).is_some_and(|session| session.may_own(id));
        let next = self.next_token;
        let Some(duty) = self.duties.get_mut(id) else { return Outcome::Refused(Reason::NotFree) };
        if duty.owner.is_some() || duty.fenced != fenced {
            return Outcome::Refused(Reason::NotFree);
        }
        if !able {
            return Outcome::Refused(Reason::NoSession);
        }
        let owner = Owner { session: to, token: Token(next) };
        *duty = Duty { floor: owner.token, fenced, owner: Some(owner) };
        self.next_token += 1;
        self.seats_revision = index;
        Outcome::Granted(id.clone(), owner)
    }

    fn release(&mut self, index: Revision, id: &DutyId, token: Token, unsettle: bool) -> Outcome {
        let next = Token(self.next_token);
        let Some(duty) = self.duties.get_mut(id) else { return Outcome::Refused(Reason::NotTheOwner) };
        let Some(owner) = duty.owner.filter(|owner| owner.token == token) else {
            return Outcome::Refused(Reason::NotTheOwner);
        };
        *duty = Duty { floor: next, fenced: index, owner: None };
        self.seats_revision = index;
        if let Some(session) = self.sessions.get_mut(&owner.session).filter(|_| unsettle) {
            session.settled = false;
        }
        Outcome::Released(id.clone(), token)
    }

    /// The bytes of a snapshot: its version, then all.
    pub fn snapshot(&self) -> Vec<u8> {
        // Each part as the first version that knew it wrote it, so that keepers of an older one read on.
        let (changes, account) = (&self.changes, &self.account);
        let packed = if *account != DisruptionState::default() {
            postcard::to_stdvec(&(SNAPSHOT_VERSION, self, changes, account))
        } else if *changes != Changes::default() {
            postcard::to_stdvec(&(2u16, self, changes))
        } else {
            postcard::to_stdvec(&(1u16, self))
        };
        packed.unwrap_or_default()
    }

    /// Reads a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<State, SnapshotFault> {
        let fault = |error: postcard::Error| SnapshotFault(error.to_string());
        let (version, rest): (u16, _) = postcard::take_from_bytes(bytes).map_err(fault)?;
        match version {
            1 => postcard::from_bytes(rest).map_err(fault),
            2 => {
                let (state, changes): (State, Changes) = postcard::from_bytes(rest).map_err(fault)?;
                Ok(State { changes, ..state })
            }
            SNAPSHOT_VERSION => {
                let (state, changes, account): (State, Changes, DisruptionState) =
                    postcard::from_bytes(rest).map_err(fault)?;
                let account_revision = state.revision;
                Ok(State { changes, account, account_revision, ..state })
            }
            _ => {
                Err(SnapshotFault(format!("it has version {version}, this keeper knows {SNAPSHOT_VERSION}")))
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
    /// Whether it may be given this duty.
    pub fn may_own(&self, duty: &DutyId) -> bool {
        let here = match &duty.scope {
            Scope::Fleet | Scope::Set(_) => true,
            Scope::Zone(zone) => *zone == self.zone,
        };
        here && self.settled && !self.superseded && self.offers.contains(duty)
    }
}
