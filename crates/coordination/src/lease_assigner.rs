//! Assignment of leases: the choice of holders for free leases, and the rebalance of sets of workers.

use std::collections::{BTreeMap, BTreeSet};

use crate::hash::fnv1a;
use crate::session_monitor::SessionMonitor;
use crate::{Command, LeaseId, LeaseScope, Micros, Revision, SessionId, StateMachine, Timing};

/// Minimum difference in the number of leases at which a set of workers moves to another member.
pub const REBALANCE_THRESHOLD: usize = 2;

/// Number of leases that each session holds or is about to be granted.
pub(crate) struct LeaseCounts(BTreeMap<SessionId, usize>);

impl LeaseCounts {
    pub(crate) fn of(state: &StateMachine) -> LeaseCounts {
        let mut counts = LeaseCounts(BTreeMap::new());
        for holder in state.leases().values().filter_map(|lease| lease.holder) {
            counts.add(holder.session);
        }
        counts
    }

    fn add(&mut self, session: SessionId) {
        *self.0.entry(session).or_default() += 1;
    }

    fn get(&self, session: SessionId) -> usize {
        self.0.get(&session).copied().unwrap_or(0)
    }
}

/// Inputs of an assignment.
pub(crate) struct AssignmentContext<'a> {
    pub(crate) now: Micros,
    pub(crate) state: &'a StateMachine,
    pub(crate) sessions: &'a SessionMonitor,
}

impl AssignmentContext<'_> {
    /// Returns the responsive session with the fewest leases; rendezvous hashing decides among equals.
    fn choose_holder(&self, lease: &LeaseId, counts: &LeaseCounts) -> Option<SessionId> {
        let sessions = self.state.sessions().iter();
        let candidates = sessions.filter(|(id, session)| {
            session.is_eligible_for(lease) && self.sessions.is_responsive(**id, self.now)
        });
        let best = candidates
            .min_by_key(|(id, session)| (counts.get(**id), rendezvous_weight(lease, &session.name), **id));
        best.map(|(id, _)| *id)
    }
}

/// Returns the rendezvous weight of a member for a lease; the lowest weight wins.
fn rendezvous_weight(lease: &LeaseId, member: &str) -> u64 {
    let key = postcard::to_stdvec(&(lease, member)).unwrap_or_default();
    fnv1a(&key)
}

/// A grant that was proposed and is not applied yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ProposedGrant {
    lease: LeaseId,
    fencing_revision: Revision,
}

/// Chooses the holders of leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LeaseAssigner {
    timing: Timing,
    proposed_grants: BTreeSet<ProposedGrant>,
    last_rebalance: Option<Micros>,
}

impl LeaseAssigner {
    pub(crate) fn new(timing: Timing) -> LeaseAssigner {
        LeaseAssigner { timing, proposed_grants: BTreeSet::new(), last_rebalance: None }
    }

    /// Drops proposals whose lease was granted or fenced again.
    pub(crate) fn on_entries_applied(&mut self, state: &StateMachine) {
        self.proposed_grants.retain(|grant| {
            let lease = state.leases().get(&grant.lease);
            lease.is_some_and(|lease| {
                lease.holder.is_none() && lease.fencing_revision == grant.fencing_revision
            })
        });
    }

    /// Returns grants of the free leases whose fencing revision was acknowledged by all older sessions.
    pub(crate) fn grants(
        &mut self,
        context: &AssignmentContext<'_>,
        counts: &mut LeaseCounts,
    ) -> Vec<Command> {
        let mut grants = Vec::new();
        for (id, lease) in context.state.leases().iter().filter(|(_, lease)| lease.holder.is_none()) {
            let fencing_revision = lease.fencing_revision;
            let proposal = ProposedGrant { lease: id.clone(), fencing_revision };
            if self.proposed_grants.contains(&proposal)
                || !context.sessions.fence_acknowledged(fencing_revision, context.state)
            {
                continue;
            }
            if let Some(session) = context.choose_holder(id, counts) {
                counts.add(session);
                self.proposed_grants.insert(proposal);
                grants.push(Command::GrantLease { lease: id.clone(), session, fencing_revision });
            }
        }
        grants
    }

    /// Returns the command that releases a set of workers if its holder has at least [`REBALANCE_THRESHOLD`] leases
    /// more than the member that would be granted it.
    ///
    /// One set moves at a time, and the next one only after a stability period, so that members that join and leave do
    /// not make the sets move back and forth.
    pub(crate) fn rebalance(
        &mut self,
        context: &AssignmentContext<'_>,
        counts: &LeaseCounts,
    ) -> Option<Command> {
        let now = context.now;
        if self.last_rebalance.is_some_and(|last| now.saturating_sub(last) < self.timing.stability_period) {
            return None;
        }
        let leases = context.state.leases().iter();
        let sets = leases.filter(|(id, _)| matches!(id.scope, LeaseScope::WorkerSet(_)));
        let with_holder = sets.filter_map(|(id, lease)| Some((id, lease.holder?)));
        let (id, holder) = with_holder.max_by_key(|(id, holder)| (counts.get(holder.session), *id))?;
        let candidate = context.choose_holder(id, counts)?;
        if counts.get(candidate) + REBALANCE_THRESHOLD > counts.get(holder.session) {
            return None;
        }
        self.last_rebalance = Some(now);
        Some(Command::ReleaseLease { lease: id.clone(), token: holder.token, reset_stability: false })
    }

    /// Allows the grant of this lease to be proposed again.
    pub(crate) fn grant_rejected(&mut self, lease: &LeaseId, fencing_revision: Revision) {
        self.proposed_grants.remove(&ProposedGrant { lease: lease.clone(), fencing_revision });
    }
}
