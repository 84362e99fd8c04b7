//! Effects of an observation: the status of targets, then the permits that it closes, revokes and grants.

use super::{DisruptionState, TargetRecord};
use crate::limits::{check_text_length, MAX_TARGETS};
use crate::{
    Availability, DisruptionOutcome, InjectedBug, Permit, PermitId, PermitState, Rejection, Target,
    TargetStatus,
};

impl DisruptionState {
    /// Records the observed statuses, then closes, revokes and grants permits, in this order.
    pub(super) fn record_observation(
        &mut self,
        fencing_token: u64,
        known_revision: u64,
        changed: &[TargetStatus],
        removed: &[Target],
    ) -> Result<DisruptionOutcome, Rejection> {
        self.check_observation(fencing_token, changed)?;
        self.observer_token = fencing_token;
        for target in removed {
            self.remove_target(target);
        }
        for status in changed {
            self.update_target(status);
        }
        let closed = self.close_recovered(known_revision);
        let revoked = self.revoke_exceeding_permits();
        let granted = self.grant_waiting(known_revision);
        Ok(DisruptionOutcome::ObservationRecorded { granted, revoked, closed })
    }

    fn check_observation(&self, fencing_token: u64, changed: &[TargetStatus]) -> Result<(), Rejection> {
        if fencing_token < self.observer_token {
            return Err(Rejection::StaleObserver { newest_token: self.observer_token });
        }
        let added = changed.iter().filter(|status| !self.targets.contains_key(&status.target)).count();
        if self.targets.len() + added > MAX_TARGETS {
            return Err(Rejection::LimitExceeded(format!("more than {MAX_TARGETS} targets")));
        }
        changed
            .iter()
            .try_for_each(|status| check_text_length(&[&status.target.name, &status.zone, &status.pool]))
    }

    /// Removes a target that is no longer listed. A target with a begun permit is kept and counts as unavailable.
    fn remove_target(&mut self, target: &Target) {
        let is_begun = |permit: &Permit| permit.target == *target && permit.state == PermitState::Begun;
        if !self.permits.values().any(is_begun) {
            self.targets.remove(target);
        } else if let Some(record) = self.targets.get_mut(target) {
            record.availability = Availability::Unavailable;
        }
    }

    /// Records the status of a target. If the status is of an older incarnation than the newest known one, the target
    /// counts as unavailable.
    fn update_target(&mut self, status: &TargetStatus) {
        let recorded = self.observed_incarnation(&status.target);
        let permits_of_target = self.permits.values().filter(|permit| permit.target == status.target);
        let newest = permits_of_target.map(|permit| permit.incarnation).fold(recorded, u64::max);
        // A status of an earlier process of the target proves nothing about the current one.
        let is_stale = status.incarnation < newest;
        let record = TargetRecord {
            zone: status.zone.clone(),
            pool: status.pool.clone(),
            availability: if is_stale { Availability::Unavailable } else { status.availability },
            incarnation: status.incarnation.max(recorded),
        };
        self.targets.insert(status.target.clone(), record);
    }

    /// Closes begun permits whose targets are proven to be available again.
    fn close_recovered(&mut self, known_revision: u64) -> Vec<PermitId> {
        let recovered = self.permits.iter().filter(|(_, permit)| self.has_recovered(permit, known_revision));
        let closed: Vec<PermitId> = recovered.map(|(id, _)| *id).collect();
        for id in &closed {
            self.permits.remove(id);
        }
        closed
    }

    /// Returns whether the permit is begun and its target is proven to be available again by an observation at
    /// `known_revision`.
    fn has_recovered(&self, permit: &Permit, known_revision: u64) -> bool {
        let Some(record) = self.targets.get(&permit.target) else { return false };
        if permit.state != PermitState::Begun || record.availability != Availability::Available {
            return false;
        }
        let completed_before = permit.completed_at.is_some_and(|completed_at| completed_at <= known_revision);
        let has_restarted = record.incarnation > permit.incarnation;
        completed_before || has_restarted || self.has_bug(InjectedBug::AnyIncarnation)
    }

    /// Revokes permits that are granted and not begun, the newest first, while a budget that selects their targets is
    /// exceeded. A revoked permit waits again at its former position.
    fn revoke_exceeding_permits(&mut self) -> Vec<PermitId> {
        let mut revoked = Vec::new();
        while let Some(id) = self.newest_exceeding_permit() {
            if let Some(permit) = self.permits.get_mut(&id) {
                permit.state = PermitState::Waiting;
            }
            revoked.push(id);
        }
        revoked
    }

    fn newest_exceeding_permit(&self) -> Option<PermitId> {
        let is_revocable = |permit: &Permit| permit.state == PermitState::Granted && !permit.forced;
        let mut newest_first = self.permits.iter().rev().filter(|(_, permit)| is_revocable(permit));
        newest_first.find(|(_, permit)| !self.is_within_budgets(&permit.target)).map(|(id, _)| *id)
    }

    /// Grants waiting permits that were requested before the observation, oldest first, as far as budgets allow.
    fn grant_waiting(&mut self, known_revision: u64) -> Vec<PermitId> {
        let accept_stale_observation = self.has_bug(InjectedBug::StaleObservation);
        let is_candidate = |id: PermitId, permit: &Permit| {
            permit.state == PermitState::Waiting && (id <= known_revision || accept_stale_observation)
        };
        let candidates = self.permits.iter().filter(|(id, permit)| is_candidate(**id, permit));
        let candidates: Vec<PermitId> = candidates.map(|(id, _)| *id).collect();
        candidates.into_iter().filter(|id| self.try_grant(*id)).collect()
    }

    /// Grants a waiting permit if its target is registered, has no active permit, and its budgets allow the disruption.
    fn try_grant(&mut self, id: PermitId) -> bool {
        let Some(target) = self.permits.get(&id).map(|permit| permit.target.clone()) else { return false };
        let has_active_permit = self.active_permits().any(|other| other.target == target);
        if has_active_permit || !self.allows_disruption(&target) {
            return false;
        }
        let incarnation = self.observed_incarnation(&target);
        let Some(permit) = self.permits.get_mut(&id) else { return false };
        permit.state = PermitState::Granted;
        permit.incarnation = incarnation;
        true
    }
}
