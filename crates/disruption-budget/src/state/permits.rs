//! Commands of requesters and operators: request, begin, complete and cancel a permit, deregister a target.

use super::DisruptionState;
use crate::limits::{check_text_length, MAX_OPEN_PERMITS};
use crate::{
    DisruptionOutcome, ForcedPermits, InjectedBug, Permit, PermitId, PermitState, Rejection, Target,
};

impl DisruptionState {
    /// Opens a permit numbered `index`, unless the requester has an open one for the target.
    pub(super) fn request_permit(
        &mut self,
        index: u64,
        target: &Target,
        reason: &str,
        requester: &str,
        force: bool,
    ) -> Result<DisruptionOutcome, Rejection> {
        if let Some(id) = self.open_permit(target, requester) {
            return self.repeat_request(id, target, requester, force);
        }
        if self.permits.len() >= MAX_OPEN_PERMITS {
            return Err(Rejection::LimitExceeded(format!("{MAX_OPEN_PERMITS} permits are open")));
        }
        check_text_length(&[reason, requester, &target.name])?;
        let state = if force { PermitState::Granted } else { PermitState::Waiting };
        if force {
            self.count_forced(requester);
        }
        let permit = Permit {
            target: target.clone(),
            reason: reason.to_owned(),
            requester: requester.to_owned(),
            state,
            incarnation: self.observed_incarnation(target),
            completed_at: None,
            forced: force,
        };
        self.permits.insert(index, permit);
        Ok(DisruptionOutcome::PermitRequested { permit: index, state })
    }

    /// Returns the requester's open permit for a target.
    fn open_permit(&self, target: &Target, requester: &str) -> Option<PermitId> {
        let is_same = |permit: &Permit| permit.target == *target && permit.requester == requester;
        self.permits.iter().find(|(_, permit)| is_same(permit)).map(|(id, _)| *id)
    }

    /// Handles a repeated request for an open permit. A waiting permit is granted if the repeated request is forced.
    fn repeat_request(
        &mut self,
        id: PermitId,
        target: &Target,
        requester: &str,
        force: bool,
    ) -> Result<DisruptionOutcome, Rejection> {
        let incarnation = self.observed_incarnation(target);
        let permit = self.permits.get_mut(&id).ok_or(Rejection::UnknownPermit)?;
        if !force || permit.state != PermitState::Waiting {
            return Ok(DisruptionOutcome::PermitRequested { permit: id, state: permit.state });
        }
        permit.state = PermitState::Granted;
        permit.forced = true;
        permit.incarnation = incarnation;
        self.count_forced(requester);
        Ok(DisruptionOutcome::PermitRequested { permit: id, state: PermitState::Granted })
    }

    fn count_forced(&mut self, requester: &str) {
        self.forced = ForcedPermits { count: self.forced.count + 1, last_requester: requester.to_owned() };
    }

    /// Returns the incarnation of a target as last observed, or 0 if it is not registered.
    pub(super) fn observed_incarnation(&self, target: &Target) -> u64 {
        self.targets.get(target).map_or(0, |record| record.incarnation)
    }

    /// Begins a granted permit. Idempotent until the target returns.
    pub(super) fn begin_permit(
        &mut self,
        id: PermitId,
        incarnation: u64,
    ) -> Result<DisruptionOutcome, Rejection> {
        if !self.permits.contains_key(&id) && self.has_bug(InjectedBug::BeginUnknownPermit) {
            return Ok(DisruptionOutcome::PermitBegun(id));
        }
        let permit = self.permits.get_mut(&id).ok_or(Rejection::UnknownPermit)?;
        match permit.state {
            PermitState::Waiting => Err(Rejection::NotGranted),
            PermitState::Granted => {
                permit.state = PermitState::Begun;
                // The target may have restarted by itself since the grant, so only an incarnation later than the one
                // that the requester knows proves its return.
                permit.incarnation = permit.incarnation.max(incarnation);
                Ok(DisruptionOutcome::PermitBegun(id))
            }
            // A requester repeats the command if it missed the first response. A permit allows only one disruption, so
            // the repetition is rejected if the target has returned since. The next observation closes the permit.
            PermitState::Begun if permit.completed_at.is_some() || incarnation > permit.incarnation => {
                Err(Rejection::UnknownPermit)
            }
            PermitState::Begun => Ok(DisruptionOutcome::PermitBegun(id)),
        }
    }

    /// Records the entry in which the requester reported that the disruption is complete; only the first report counts.
    pub(super) fn complete_permit(
        &mut self,
        index: u64,
        id: PermitId,
    ) -> Result<DisruptionOutcome, Rejection> {
        let permit = self.permits.get_mut(&id).ok_or(Rejection::UnknownPermit)?;
        if permit.state != PermitState::Begun {
            return Err(Rejection::NotGranted);
        }
        permit.completed_at.get_or_insert(index);
        Ok(DisruptionOutcome::Applied)
    }

    /// Closes a permit that was not begun.
    pub(super) fn cancel_permit(&mut self, id: PermitId) -> Result<DisruptionOutcome, Rejection> {
        let permit = self.permits.get(&id).ok_or(Rejection::UnknownPermit)?;
        if permit.state == PermitState::Begun {
            return Err(Rejection::AlreadyBegun);
        }
        self.permits.remove(&id);
        Ok(DisruptionOutcome::Applied)
    }

    /// Removes a target, and closes its permits whatever their state.
    pub(super) fn deregister_target(&mut self, target: &Target) -> Result<DisruptionOutcome, Rejection> {
        let was_registered = self.targets.remove(target).is_some();
        let open_before = self.permits.len();
        self.permits.retain(|_, permit| permit.target != *target);
        let had_permit = self.permits.len() < open_before;
        if was_registered || had_permit {
            Ok(DisruptionOutcome::Applied)
        } else {
            Err(Rejection::UnknownTarget)
        }
    }
}
