//! What the leading keeper knows besides the log: when it last liveness of each session, and what each has seen.
//!
//! It is lost with the leadership. A keeper that becomes leader gives every session its full time again and waits
//! anew for what sessions have seen, so nothing here has to be right for safety except what is written at each step.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    Command, CommandRejection, LeaseId, LeaseScope, Micros, Revision, SessionId, StateMachine, Timing,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SessionLiveness {
    /// When the session's last renewal was confirmed, or when this keeper first knew of it as leader.
    last_renewal: Micros,
    /// Since when this keeper has known it as leader.
    first_seen: Micros,
    /// Since when it has not been settled, as far as this keeper knows.
    unstable_since: Option<Micros>,
    /// The last revision of the seats that the member says it has applied.
    acknowledged: Revision,
    /// The end of this session was proposed: no renewal is confirmed any more.
    expiry_proposed: bool,
}

/// The leading keeper's account of sessions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaderState {
    timing: Timing,
    liveness: BTreeMap<SessionId, SessionLiveness>,
    stability_proposed: BTreeSet<SessionId>,
    grants_proposed: BTreeSet<(LeaseId, Revision)>,
    /// When a set was moved last to a member with less to do.
    last_rebalance: Option<Micros>,
}

impl LeaderState {
    /// A keeper that just became leader and has applied all that was agreed before.
    pub fn new(timing: Timing, now: Micros, state: &StateMachine) -> LeaderState {
        let mut leader_state = LeaderState {
            timing,
            liveness: BTreeMap::new(),
            stability_proposed: BTreeSet::new(),
            grants_proposed: BTreeSet::new(),
            last_rebalance: None,
        };
        leader_state.on_entries_applied(now, state);
        leader_state
    }

    /// Entries were applied: sessions may have come and gone.
    pub fn on_entries_applied(&mut self, now: Micros, state: &StateMachine) {
        let sessions = state.sessions();
        self.liveness.retain(|id, _| sessions.contains_key(id));
        self.stability_proposed.retain(|id| sessions.get(id).is_some_and(|session| !session.stable));
        self.grants_proposed.retain(|(lease, fencing_revision)| {
            state
                .leases()
                .get(lease)
                .is_some_and(|lease| lease.holder.is_none() && lease.fencing_revision == *fencing_revision)
        });
        for (id, session) in sessions {
            let new = SessionLiveness {
                last_renewal: now,
                first_seen: now,
                unstable_since: Some(now),
                acknowledged: 0,
                expiry_proposed: false,
            };
            let liveness = self.liveness.entry(*id).or_insert(new);
            liveness.unstable_since = (!session.stable).then(|| liveness.unstable_since.unwrap_or(now));
        }
    }

    /// A member asked for its renewal, and a majority has confirmed since that this keeper leads.
    ///
    /// Its lease is counted by itself from before it asked and here from now, which is later.
    pub fn renew_session(
        &mut self,
        id: SessionId,
        seen: Revision,
        now: Micros,
        state: &StateMachine,
    ) -> Result<(), CommandRejection> {
        let session = state.sessions().get(&id).ok_or(CommandRejection::NoSuchSession)?;
        if session.superseded {
            return Err(CommandRejection::Superseded { incarnation: state.incarnation_of(&session.name) });
        }
        let liveness = self.liveness.get_mut(&id).ok_or(CommandRejection::NoSuchSession)?;
        if liveness.expiry_proposed {
            return Err(CommandRejection::NoSuchSession);
        }
        liveness.last_renewal = now;
        liveness.acknowledged = liveness.acknowledged.max(seen);
        Ok(())
    }

    /// Whether the session of this name would be a short life if it ended now.
    pub fn is_short_session(&self, name: &str, now: Micros, state: &StateMachine) -> bool {
        let liveness = state.current_session_of(name).and_then(|(id, _)| self.liveness.get(&id));
        liveness
            .is_some_and(|liveness| now.saturating_sub(liveness.first_seen) < self.timing.short_session_limit)
    }

    /// What is to be proposed now. Each is given out once; see [`LeaderState::proposal_rejected`].
    pub fn due_commands(&mut self, now: Micros, state: &StateMachine) -> Vec<Command> {
        let mut due = Vec::new();
        for (id, liveness) in &mut self.liveness {
            let age = now.saturating_sub(liveness.first_seen);
            if !liveness.expiry_proposed
                && now.saturating_sub(liveness.last_renewal) > self.timing.expiry_wait()
            {
                liveness.expiry_proposed = true;
                due.push(Command::ExpireSession {
                    session: *id,
                    short_lived: age < self.timing.short_session_limit,
                });
                continue;
            }
            let Some(session) = state.sessions().get(id).filter(|session| !session.stable) else { continue };
            let stays = now.saturating_sub(liveness.unstable_since.unwrap_or(now));
            let stayed =
                stays >= self.timing.stability_period_after(state.consecutive_short_sessions(&session.name));
            if stayed
                && !liveness.expiry_proposed
                && !session.superseded
                && self.stability_proposed.insert(*id)
            {
                due.push(Command::MarkSessionStable { session: *id });
            }
        }
        let mut load: BTreeMap<SessionId, usize> = BTreeMap::new();
        for holder in state.leases().values().filter_map(|lease| lease.holder) {
            *load.entry(holder.session).or_default() += 1;
        }
        for (id, lease) in state.leases().iter().filter(|(_, lease)| lease.holder.is_none()) {
            if !self.fence_acknowledged(lease.fencing_revision, state)
                || self.grants_proposed.contains(&(id.clone(), lease.fencing_revision))
            {
                continue;
            }
            if let Some(session) = self.choose_holder(id, &load, now, state) {
                *load.entry(session).or_default() += 1;
                self.grants_proposed.insert((id.clone(), lease.fencing_revision));
                due.push(Command::GrantLease {
                    lease: id.clone(),
                    session,
                    fencing_revision: lease.fencing_revision,
                });
            }
        }
        if due.is_empty() {
            due.extend(self.rebalance(&load, now, state));
        }
        due
    }

    /// The release of one set whose holder has at least two duties more than the member that would get it. One set moves
    /// at a time, and the next only after the time that a member has to stay: a fleet that comes and goes does not
    /// make its sets wander.
    fn rebalance(
        &mut self,
        load: &BTreeMap<SessionId, usize>,
        now: Micros,
        state: &StateMachine,
    ) -> Option<Command> {
        if self.last_rebalance.is_some_and(|at| now.saturating_sub(at) < self.timing.stability_period) {
            return None;
        }
        let sets = state.leases().iter().filter(|(id, _)| matches!(id.scope, LeaseScope::WorkerSet(_)));
        let owned = sets.filter_map(|(id, lease)| Some((id, lease.holder?)));
        let heaviest = owned.max_by_key(|(id, holder)| (load.get(&holder.session).copied(), *id));
        let (id, holder) = heaviest?;
        let to = self.choose_holder(id, load, now, state)?;
        let of = |session: &SessionId| load.get(session).copied().unwrap_or(0);
        if of(&to) + 2 > of(&holder.session) {
            return None;
        }
        self.last_rebalance = Some(now);
        Some(Command::ReleaseLease { lease: id.clone(), token: holder.token, reset_stability: false })
    }

    /// A proposal did not get into the log, or was refused when it was applied: what it was about is open again.
    pub fn proposal_rejected(&mut self, command: &Command) {
        match command {
            Command::ExpireSession { session, .. } => {
                if let Some(liveness) = self.liveness.get_mut(session) {
                    liveness.expiry_proposed = false;
                }
            }
            Command::MarkSessionStable { session } => {
                self.stability_proposed.remove(session);
            }
            Command::GrantLease { lease, fencing_revision, .. } => {
                self.grants_proposed.remove(&(lease.clone(), *fencing_revision));
            }
            _ => {}
        }
    }

    /// Whether every session that is older than the fence knows of it. One that began later learnt of it when it began.
    fn fence_acknowledged(&self, fencing_revision: Revision, state: &StateMachine) -> bool {
        let knows = |id: &SessionId| {
            self.liveness.get(id).is_some_and(|liveness| liveness.acknowledged >= fencing_revision)
        };
        state.sessions().keys().all(|id| id.0 >= fencing_revision || knows(id))
    }

    /// Who is to own a lease: liveness of lately, with the fewest duties, and among those by rendezvous.
    fn choose_holder(
        &self,
        lease: &LeaseId,
        load: &BTreeMap<SessionId, usize>,
        now: Micros,
        state: &StateMachine,
    ) -> Option<SessionId> {
        let fresh = |id: &SessionId| {
            let liveness = self.liveness.get(id);
            liveness.is_some_and(|liveness| {
                !liveness.expiry_proposed
                    && now.saturating_sub(liveness.last_renewal) < self.timing.lease_duration / 2
            })
        };
        let candidates = state.sessions().iter().filter(|(id, session)| session.may_hold(lease) && fresh(id));
        candidates
            .map(|(id, session)| {
                let key = postcard::to_stdvec(&(lease, &session.name)).unwrap_or_default();
                let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
                (load.get(id).copied().unwrap_or(0), key.iter().fold(0xcbf2_9ce4_8422_2325, step), *id)
            })
            .min()
            .map(|(_, _, id)| id)
    }
}
