//! Leases: grants, releases and the fencing of terms that ended.

use serde::{Deserialize, Serialize};

use super::{CommandResult, StateMachine};
use crate::{CommandOutcome, CommandRejection, FencingToken, LeaseHolder, LeaseId, Revision, SessionId};

/// State of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Lowest token that receivers accept; lower ones belong to terms that ended.
    pub minimum_token: FencingToken,
    /// Revision at which the last term ended. Every older session must acknowledge it before the next grant.
    pub fencing_revision: Revision,
    /// The holder, unless the lease is free.
    pub holder: Option<LeaseHolder>,
}

impl StateMachine {
    /// Adds the leases that do not exist yet, without a holder and fenced by this entry.
    pub(super) fn add_leases(&mut self, index: Revision, ids: &[LeaseId]) {
        for id in ids {
            if !self.leases.contains_key(id) {
                let lease = self.free_lease(index);
                self.leases.insert(id.clone(), lease);
                self.lease_revision = index;
            }
        }
    }

    /// Ends the terms of all leases of a session.
    pub(super) fn free_leases_of(&mut self, index: Revision, session: SessionId) {
        let freed = self.free_lease(index);
        for lease in self.leases.values_mut() {
            if lease.holder.is_some_and(|holder| holder.session == session) {
                *lease = freed.clone();
                self.lease_revision = index;
            }
        }
    }

    /// Grants a lease that was not granted or fenced since the leader proposed the grant.
    pub(super) fn grant_lease(
        &mut self,
        index: Revision,
        id: &LeaseId,
        session: SessionId,
        fencing_revision: Revision,
    ) -> CommandResult {
        let is_eligible = self.sessions.get(&session).is_some_and(|session| session.is_eligible_for(id));
        let token = self.next_token();
        let lease = self.leases.get_mut(id).ok_or(CommandRejection::LeaseNotFree)?;
        if lease.holder.is_some() || lease.fencing_revision != fencing_revision {
            return Err(CommandRejection::LeaseNotFree);
        }
        if !is_eligible {
            return Err(CommandRejection::NoSuchSession);
        }
        let holder = LeaseHolder { session, token };
        lease.minimum_token = token;
        lease.holder = Some(holder);
        self.next_token += 1;
        self.lease_revision = index;
        Ok(CommandOutcome::LeaseGranted { lease: id.clone(), holder })
    }

    /// Ends the term of a lease if the term has this token.
    pub(super) fn release_lease(
        &mut self,
        index: Revision,
        id: &LeaseId,
        token: FencingToken,
        reset_stability: bool,
    ) -> CommandResult {
        let freed = self.free_lease(index);
        let lease = self.leases.get_mut(id).ok_or(CommandRejection::NotLeaseHolder)?;
        let holder = lease.holder.filter(|holder| holder.token == token);
        let holder = holder.ok_or(CommandRejection::NotLeaseHolder)?;
        *lease = freed;
        self.lease_revision = index;
        if reset_stability {
            if let Some(session) = self.sessions.get_mut(&holder.session) {
                session.stable = false;
            }
        }
        Ok(CommandOutcome::LeaseReleased { lease: id.clone(), token })
    }

    /// Returns a lease without a holder, fenced by this entry.
    fn free_lease(&self, index: Revision) -> Lease {
        Lease { minimum_token: self.next_token(), fencing_revision: index, holder: None }
    }
}
