//! Liveness of sessions: renewals, acknowledged revisions, expiry and stability.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Command, CommandRejection, Micros, Revision, Session, SessionId, StateMachine, Timing};

/// Liveness of one session, by the leader's clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SessionLiveness {
    /// Time of the last confirmed renewal, or `first_seen` before the first one.
    last_renewal: Micros,
    /// Time at which this leader first saw the session.
    first_seen: Micros,
    /// Start of the current unstable period, as seen by this leader; `None` while the session is stable.
    unstable_since: Option<Micros>,
    /// Revision of the latest view that the member acknowledged.
    acknowledged: Revision,
    /// Whether the session's expiry was proposed. If so, renewals are rejected until the proposal fails.
    expiry_proposed: bool,
}

impl SessionLiveness {
    fn starting_at(now: Micros) -> SessionLiveness {
        SessionLiveness {
            last_renewal: now,
            first_seen: now,
            unstable_since: Some(now),
            acknowledged: 0,
            expiry_proposed: false,
        }
    }

    fn since_renewal(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_renewal)
    }

    fn is_short(&self, now: Micros, timing: &Timing) -> bool {
        now.saturating_sub(self.first_seen) < timing.short_session_limit
    }

    fn is_expired(&self, now: Micros, timing: &Timing) -> bool {
        self.since_renewal(now) > timing.expiry_wait()
    }

    fn unstable_for(&self, now: Micros) -> Micros {
        now.saturating_sub(self.unstable_since.unwrap_or(now))
    }

    /// Returns whether the session has lasted its stability period and is not marked as stable yet.
    fn has_become_stable(
        &self,
        now: Micros,
        session: &Session,
        state: &StateMachine,
        timing: &Timing,
    ) -> bool {
        if session.stable || session.superseded {
            return false;
        }
        let short_sessions = state.consecutive_short_sessions(&session.name);
        self.unstable_for(now) >= timing.stability_period_after(short_sessions)
    }
}

/// Liveness of all sessions, as recorded by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct SessionMonitor {
    timing: Timing,
    sessions: BTreeMap<SessionId, SessionLiveness>,
    stability_proposed: BTreeSet<SessionId>,
}

impl SessionMonitor {
    pub(crate) fn new(timing: Timing) -> SessionMonitor {
        SessionMonitor { timing, sessions: BTreeMap::new(), stability_proposed: BTreeSet::new() }
    }

    /// Updates the liveness records after sessions were opened or ended, or became stable or unstable.
    pub(crate) fn on_entries_applied(&mut self, now: Micros, state: &StateMachine) {
        let sessions = state.sessions();
        self.sessions.retain(|id, _| sessions.contains_key(id));
        self.stability_proposed.retain(|id| sessions.get(id).is_some_and(|session| !session.stable));
        for (id, session) in sessions {
            let liveness = self.sessions.entry(*id).or_insert_with(|| SessionLiveness::starting_at(now));
            if session.stable {
                liveness.unstable_since = None;
            } else {
                liveness.unstable_since.get_or_insert(now);
            }
        }
    }

    /// Records a renewal; see [`crate::LeaderState::renew_session`].
    pub(crate) fn renew(
        &mut self,
        id: SessionId,
        acknowledged: Revision,
        now: Micros,
        state: &StateMachine,
    ) -> Result<(), CommandRejection> {
        let session = state.sessions().get(&id).ok_or(CommandRejection::NoSuchSession)?;
        if session.superseded {
            let incarnation = state.incarnation_of(&session.name);
            return Err(CommandRejection::Superseded { incarnation });
        }
        let liveness = self.sessions.get_mut(&id).filter(|liveness| !liveness.expiry_proposed);
        let liveness = liveness.ok_or(CommandRejection::NoSuchSession)?;
        liveness.last_renewal = now;
        liveness.acknowledged = liveness.acknowledged.max(acknowledged);
        Ok(())
    }

    /// Returns whether the session would be short if it ended now.
    pub(crate) fn is_short(&self, id: SessionId, now: Micros) -> bool {
        self.sessions.get(&id).is_some_and(|liveness| liveness.is_short(now, &self.timing))
    }

    /// Returns whether the session was renewed less than half of its duration ago, so that a grant is likely to reach
    /// its member before it expires.
    pub(crate) fn is_responsive(&self, id: SessionId, now: Micros) -> bool {
        self.sessions.get(&id).is_some_and(|liveness| {
            !liveness.expiry_proposed && liveness.since_renewal(now) < self.timing.lease_duration / 2
        })
    }

    /// Returns whether every session older than the fencing revision has acknowledged it. A later session need not,
    /// because it received a view with this revision when it was opened.
    pub(crate) fn fence_acknowledged(&self, fencing_revision: Revision, state: &StateMachine) -> bool {
        state.sessions().keys().all(|id| id.0 >= fencing_revision || self.acknowledged(*id, fencing_revision))
    }

    fn acknowledged(&self, id: SessionId, revision: Revision) -> bool {
        self.sessions.get(&id).is_some_and(|liveness| liveness.acknowledged >= revision)
    }

    /// Returns the commands that expire sessions that were not renewed in time, and that mark sessions as stable.
    pub(crate) fn due_commands(&mut self, now: Micros, state: &StateMachine) -> Vec<Command> {
        let mut due = Vec::new();
        for (id, liveness) in &mut self.sessions {
            if liveness.expiry_proposed {
                continue;
            }
            if liveness.is_expired(now, &self.timing) {
                liveness.expiry_proposed = true;
                let short_lived = liveness.is_short(now, &self.timing);
                due.push(Command::ExpireSession { session: *id, short_lived });
                continue;
            }
            let Some(session) = state.sessions().get(id) else { continue };
            if liveness.has_become_stable(now, session, state, &self.timing)
                && self.stability_proposed.insert(*id)
            {
                due.push(Command::MarkSessionStable { session: *id });
            }
        }
        due
    }

    /// Allows the expiry of this session to be proposed again, and the session to be renewed.
    pub(crate) fn expiry_rejected(&mut self, id: SessionId) {
        if let Some(liveness) = self.sessions.get_mut(&id) {
            liveness.expiry_proposed = false;
        }
    }

    /// Allows the stability of this session to be proposed again.
    pub(crate) fn stability_rejected(&mut self, id: SessionId) {
        self.stability_proposed.remove(&id);
    }
}
