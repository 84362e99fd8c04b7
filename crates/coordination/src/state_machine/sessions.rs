//! Sessions of members, and the history of each member's name.

use serde::{Deserialize, Serialize};

use super::{CommandResult, StateMachine};
use crate::limits::{
    MAX_ELIGIBLE_LEASES, MAX_LEASES, MAX_NAME_HISTORIES, MAX_REMEMBERED_BOOT_IDS, MAX_SESSIONS,
    MAX_TEXT_BYTES,
};
use crate::{CommandOutcome, CommandRejection, LeaseId, LeaseScope, Revision, SessionId};

/// An open session of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Name of the member.
    pub name: String,
    /// Number of the session among all sessions of the name, starting at 1.
    pub incarnation: u64,
    /// Random number that the member's process drew at its start.
    pub boot_id: u64,
    /// Zone of the member; empty if it has none.
    pub zone: String,
    /// Address at which other members reach this member.
    pub address: String,
    /// Leases that the member may be granted.
    pub eligible_leases: Vec<LeaseId>,
    /// Whether the session lasted its stability period.
    pub stable: bool,
    /// Whether a later process of the same name has a session. A superseded session is not renewed any more.
    pub superseded: bool,
}

impl Session {
    /// Returns whether the session may be granted this lease.
    pub fn is_eligible_for(&self, lease: &LeaseId) -> bool {
        let in_scope = match &lease.scope {
            LeaseScope::Fleet | LeaseScope::WorkerSet(_) => true,
            LeaseScope::Zone(zone) => *zone == self.zone,
        };
        in_scope && self.stable && !self.superseded && self.eligible_leases.contains(lease)
    }
}

/// History of a name, across its sessions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct NameHistory {
    incarnation: u64,
    /// Boot ids of the last processes of the name, oldest first.
    boot_ids: Vec<u64>,
    last_session_short: bool,
    /// Counted by process: another session of the same process adds nothing.
    consecutive_short_sessions: u8,
}

impl NameHistory {
    /// Adds a session of this process; `previous_short` is whether the session before it was short.
    ///
    /// # Errors
    /// Returns [`CommandRejection::Superseded`] if a later process of the name was seen.
    fn add_session(&mut self, boot_id: u64, previous_short: bool) -> Result<u64, CommandRejection> {
        if self.boot_ids.last() != Some(&boot_id) {
            if self.boot_ids.contains(&boot_id) {
                return Err(CommandRejection::Superseded { incarnation: self.incarnation });
            }
            self.add_process(boot_id, previous_short);
        }
        self.incarnation += 1;
        Ok(self.incarnation)
    }

    fn add_process(&mut self, boot_id: u64, previous_short: bool) {
        let is_first = self.boot_ids.is_empty();
        self.consecutive_short_sessions =
            if previous_short && !is_first { self.consecutive_short_sessions.saturating_add(1) } else { 0 };
        self.boot_ids.push(boot_id);
        if self.boot_ids.len() > MAX_REMEMBERED_BOOT_IDS {
            self.boot_ids.remove(0);
        }
    }
}

/// A member's request for a session, as in [`crate::Command::OpenSession`].
pub(super) struct SessionRequest<'a> {
    pub(super) name: &'a str,
    pub(super) boot_id: u64,
    pub(super) zone: &'a str,
    pub(super) address: &'a str,
    pub(super) eligible_leases: &'a [LeaseId],
    pub(super) short_lived: bool,
}

impl SessionRequest<'_> {
    fn texts_within_limit(&self) -> bool {
        let lease_names = self.eligible_leases.iter().map(|lease| lease.name.as_str());
        let mut texts = [self.name, self.zone, self.address].into_iter().chain(lease_names);
        !self.name.is_empty() && texts.all(|text| text.len() <= MAX_TEXT_BYTES)
    }

    fn session(&self, incarnation: u64) -> Session {
        Session {
            name: self.name.to_owned(),
            incarnation,
            boot_id: self.boot_id,
            zone: self.zone.to_owned(),
            address: self.address.to_owned(),
            eligible_leases: self.eligible_leases.to_vec(),
            stable: false,
            superseded: false,
        }
    }
}

impl StateMachine {
    /// Returns the number of consecutive short sessions of this name.
    pub fn consecutive_short_sessions(&self, name: &str) -> u8 {
        self.names.get(name).map_or(0, |history| history.consecutive_short_sessions)
    }

    /// Returns the session of this name that is not superseded; no other one may be renewed.
    pub fn current_session_of(&self, name: &str) -> Option<(SessionId, &Session)> {
        let mut sessions = self.sessions.iter().map(|(id, session)| (*id, session));
        sessions.find(|(_, session)| session.name == name && !session.superseded)
    }

    /// Returns the incarnation of the latest session of this name, or 0 for an unknown name.
    pub fn incarnation_of(&self, name: &str) -> u64 {
        self.names.get(name).map_or(0, |history| history.incarnation)
    }

    /// Opens a session. Idempotent for the same process; supersedes the session of an earlier process.
    pub(super) fn open_session(&mut self, index: Revision, request: &SessionRequest<'_>) -> CommandResult {
        let current = self.current_session_of(request.name);
        if let Some((id, session)) = current.filter(|(_, session)| session.boot_id == request.boot_id) {
            return Ok(CommandOutcome::SessionOpened { session: id, incarnation: session.incarnation });
        }
        let superseded = current.map(|(id, _)| id);
        self.check_limits(request)?;
        let history = self.names.entry(request.name.to_owned()).or_default();
        let previous_short =
            if superseded.is_some() { request.short_lived } else { history.last_session_short };
        let incarnation = history.add_session(request.boot_id, previous_short)?;
        // The older process keeps its leases until its session ends, since it may still act on them.
        if let Some(session) = superseded.and_then(|id| self.sessions.get_mut(&id)) {
            session.superseded = true;
        }
        self.add_leases(index, request.eligible_leases);
        self.sessions.insert(SessionId(index), request.session(incarnation));
        self.membership_revision = index;
        self.trim_name_histories();
        Ok(CommandOutcome::SessionOpened { session: SessionId(index), incarnation })
    }

    /// Ends a session, and with it the terms of its leases.
    pub(super) fn end_session(&mut self, index: Revision, id: SessionId, short_lived: bool) -> CommandResult {
        let session = self.sessions.remove(&id).ok_or(CommandRejection::NoSuchSession)?;
        self.membership_revision = index;
        self.free_leases_of(index, id);
        // A superseded session that was short was already counted as short when its successor was opened.
        if !session.superseded {
            if let Some(history) = self.names.get_mut(&session.name) {
                history.last_session_short = short_lived;
            }
        }
        Ok(CommandOutcome::SessionEnded(id))
    }

    /// Marks the session as stable, so that it may hold leases.
    pub(super) fn mark_session_stable(&mut self, id: SessionId) -> CommandResult {
        let session = self.sessions.get_mut(&id).filter(|session| !session.superseded);
        session.ok_or(CommandRejection::NoSuchSession)?.stable = true;
        Ok(CommandOutcome::SessionStable(id))
    }

    fn check_limits(&self, request: &SessionRequest<'_>) -> Result<(), CommandRejection> {
        if !request.texts_within_limit() {
            let reason = format!("a name or an address is empty or over {MAX_TEXT_BYTES} bytes");
            return Err(CommandRejection::LimitExceeded(reason));
        }
        let is_new = |lease: &&LeaseId| !self.leases.contains_key(lease);
        let leases = self.leases.len() + request.eligible_leases.iter().filter(is_new).count();
        if self.sessions.len() >= MAX_SESSIONS
            || leases > MAX_LEASES
            || request.eligible_leases.len() > MAX_ELIGIBLE_LEASES
        {
            let reason = format!(
                "at most {MAX_SESSIONS} sessions, {MAX_LEASES} leases and {MAX_ELIGIBLE_LEASES} eligible leases of a \
                 member"
            );
            return Err(CommandRejection::LimitExceeded(reason));
        }
        Ok(())
    }

    /// Removes histories of names without a session, those with the fewest sessions first, down to the limit.
    fn trim_name_histories(&mut self) {
        while self.names.len() > MAX_NAME_HISTORIES {
            let has_session = |name: &str| self.sessions.values().any(|session| session.name == name);
            let without_session = self.names.iter().filter(|(name, _)| !has_session(name));
            let fewest_sessions = without_session.min_by_key(|(_, history)| history.incarnation);
            let Some(name) = fewest_sessions.map(|(name, _)| name.clone()) else { return };
            self.names.remove(&name);
        }
    }
}
