//! What the leading keeper knows besides the log: when it last heard of each session, and what each has seen.
//!
//! It is lost with the leadership. A keeper that becomes leader gives every session its full time again and waits
//! anew for what sessions have seen, so nothing here has to be right for safety except what is written at each step.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    Command, CommandRejection, LeaseId, LeaseScope, Micros, Revision, SessionId, StateMachine, Timing,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Heard {
    /// When the session's last renewal was confirmed, or when this keeper first knew of it as leader.
    at: Micros,
    /// Since when this keeper has known it as leader.
    since: Micros,
    /// Since when it has not been settled, as far as this keeper knows.
    unsettled: Option<Micros>,
    /// The last revision of the seats that the member says it has applied.
    seen: Revision,
    /// The end of this session was proposed: no renewal is confirmed any more.
    ending: bool,
}

/// The leading keeper's account of sessions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaderState {
    times: Timing,
    heard: BTreeMap<SessionId, Heard>,
    settling: BTreeSet<SessionId>,
    granting: BTreeSet<(LeaseId, Revision)>,
    /// When a set was moved last to a member with less to do.
    moved: Option<Micros>,
}

impl LeaderState {
    /// A keeper that just became leader and has applied all that was agreed before.
    pub fn new(times: Timing, now: Micros, state: &StateMachine) -> LeaderState {
        let mut warden = LeaderState {
            times,
            heard: BTreeMap::new(),
            settling: BTreeSet::new(),
            granting: BTreeSet::new(),
            moved: None,
        };
        warden.on_entries_applied(now, state);
        warden
    }

    /// Entries were applied: sessions may have come and gone.
    pub fn on_entries_applied(&mut self, now: Micros, state: &StateMachine) {
        let sessions = state.sessions();
        self.heard.retain(|id, _| sessions.contains_key(id));
        self.settling.retain(|id| sessions.get(id).is_some_and(|session| !session.stable));
        self.granting.retain(|(duty, fenced)| {
            state
                .leases()
                .get(duty)
                .is_some_and(|duty| duty.holder.is_none() && duty.fencing_revision == *fenced)
        });
        for (id, session) in sessions {
            let new = Heard { at: now, since: now, unsettled: Some(now), seen: 0, ending: false };
            let heard = self.heard.entry(*id).or_insert(new);
            heard.unsettled = (!session.stable).then(|| heard.unsettled.unwrap_or(now));
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
        let heard = self.heard.get_mut(&id).ok_or(CommandRejection::NoSuchSession)?;
        if heard.ending {
            return Err(CommandRejection::NoSuchSession);
        }
        heard.at = now;
        heard.seen = heard.seen.max(seen);
        Ok(())
    }

    /// Whether the session of this name would be a short life if it ended now.
    pub fn is_short_session(&self, name: &str, now: Micros, state: &StateMachine) -> bool {
        let heard = state.current_session_of(name).and_then(|(id, _)| self.heard.get(&id));
        heard.is_some_and(|heard| now.saturating_sub(heard.since) < self.times.short_session_limit)
    }

    /// What is to be proposed now. Each is given out once; see [`LeaderState::proposal_rejected`].
    pub fn due_commands(&mut self, now: Micros, state: &StateMachine) -> Vec<Command> {
        let mut due = Vec::new();
        for (id, heard) in &mut self.heard {
            let age = now.saturating_sub(heard.since);
            if !heard.ending && now.saturating_sub(heard.at) > self.times.expiry_wait() {
                heard.ending = true;
                due.push(Command::ExpireSession {
                    session: *id,
                    short_lived: age < self.times.short_session_limit,
                });
                continue;
            }
            let Some(session) = state.sessions().get(id).filter(|session| !session.stable) else { continue };
            let stays = now.saturating_sub(heard.unsettled.unwrap_or(now));
            let stayed =
                stays >= self.times.stability_period_after(state.consecutive_short_sessions(&session.name));
            if stayed && !heard.ending && !session.superseded && self.settling.insert(*id) {
                due.push(Command::MarkSessionStable { session: *id });
            }
        }
        let mut load: BTreeMap<SessionId, usize> = BTreeMap::new();
        for owner in state.leases().values().filter_map(|duty| duty.holder) {
            *load.entry(owner.session).or_default() += 1;
        }
        for (id, duty) in state.leases().iter().filter(|(_, duty)| duty.holder.is_none()) {
            if !self.fence_is_seen(duty.fencing_revision, state)
                || self.granting.contains(&(id.clone(), duty.fencing_revision))
            {
                continue;
            }
            if let Some(session) = self.candidate(id, &load, now, state) {
                *load.entry(session).or_default() += 1;
                self.granting.insert((id.clone(), duty.fencing_revision));
                due.push(Command::GrantLease {
                    lease: id.clone(),
                    session,
                    fencing_revision: duty.fencing_revision,
                });
            }
        }
        if due.is_empty() {
            due.extend(self.evened_out(&load, now, state));
        }
        due
    }

    /// The release of one set whose owner has at least two duties more than the member that would get it. One set moves
    /// at a time, and the next only after the time that a member has to stay: a fleet that comes and goes does not
    /// make its sets wander.
    fn evened_out(
        &mut self,
        load: &BTreeMap<SessionId, usize>,
        now: Micros,
        state: &StateMachine,
    ) -> Option<Command> {
        if self.moved.is_some_and(|at| now.saturating_sub(at) < self.times.stability_period) {
            return None;
        }
        let sets = state.leases().iter().filter(|(id, _)| matches!(id.scope, LeaseScope::WorkerSet(_)));
        let owned = sets.filter_map(|(id, duty)| Some((id, duty.holder?)));
        let heaviest = owned.max_by_key(|(id, owner)| (load.get(&owner.session).copied(), *id));
        let (id, owner) = heaviest?;
        let to = self.candidate(id, load, now, state)?;
        let of = |session: &SessionId| load.get(session).copied().unwrap_or(0);
        if of(&to) + 2 > of(&owner.session) {
            return None;
        }
        self.moved = Some(now);
        Some(Command::ReleaseLease { lease: id.clone(), token: owner.token, reset_stability: false })
    }

    /// A proposal did not get into the log, or was refused when it was applied: what it was about is open again.
    pub fn proposal_rejected(&mut self, command: &Command) {
        match command {
            Command::ExpireSession { session, .. } => {
                if let Some(heard) = self.heard.get_mut(session) {
                    heard.ending = false;
                }
            }
            Command::MarkSessionStable { session } => {
                self.settling.remove(session);
            }
            Command::GrantLease { lease: duty, fencing_revision: fenced, .. } => {
                self.granting.remove(&(duty.clone(), *fenced));
            }
            _ => {}
        }
    }

    /// Whether every session that is older than the fence knows of it. One that began later learnt of it when it began.
    fn fence_is_seen(&self, fenced: Revision, state: &StateMachine) -> bool {
        let knows = |id: &SessionId| self.heard.get(id).is_some_and(|heard| heard.seen >= fenced);
        state.sessions().keys().all(|id| id.0 >= fenced || knows(id))
    }

    /// Who is to own a duty: heard of lately, with the fewest duties, and among those by rendezvous.
    fn candidate(
        &self,
        duty: &LeaseId,
        load: &BTreeMap<SessionId, usize>,
        now: Micros,
        state: &StateMachine,
    ) -> Option<SessionId> {
        let fresh = |id: &SessionId| {
            let heard = self.heard.get(id);
            heard.is_some_and(|heard| {
                !heard.ending && now.saturating_sub(heard.at) < self.times.lease_duration / 2
            })
        };
        let able = state.sessions().iter().filter(|(id, session)| session.may_hold(duty) && fresh(id));
        able.map(|(id, session)| {
            let key = postcard::to_stdvec(&(duty, &session.name)).unwrap_or_default();
            let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            (load.get(id).copied().unwrap_or(0), key.iter().fold(0xcbf2_9ce4_8422_2325, step), *id)
        })
        .min()
        .map(|(_, _, id)| id)
    }
}
