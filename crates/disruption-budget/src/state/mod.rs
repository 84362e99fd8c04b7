//! Disruption state: the replicated targets, budgets and open permits.

mod budgets;
mod observation;
mod permits;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Availability, Budget, DisruptionCommand, DisruptionOutcome, ForcedPermits, InjectedBug, Permit, PermitId,
    PermitState, Rejection, Target, TargetKind, TargetStatus,
};

pub use budgets::{BudgetUsage, DisruptionTotals};

/// Targets with their last observed status, budgets, and open permits. The order of fields is part of the stored
/// format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DisruptionState {
    /// Position of the log entry that set the budgets; 0 if none did.
    budgets_version: u64,
    budgets: Vec<Budget>,
    /// Newest fencing token of an observer.
    observer_token: u64,
    targets: BTreeMap<Target, TargetRecord>,
    permits: BTreeMap<PermitId, Permit>,
    forced: ForcedPermits,
    #[serde(skip)]
    injected_bug: Option<InjectedBug>,
}

/// A [`TargetStatus`] without its target. The order of fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct TargetRecord {
    zone: String,
    pool: String,
    availability: Availability,
    incarnation: u64,
}

/// Urgency of a new observation while no status has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservationUrgency {
    /// At once: a permit waits to be granted or closed.
    Immediate,
    /// At intervals: a permit is open.
    Periodic,
}

impl DisruptionState {
    /// Injects a bug. Ignored in builds without the feature `seeded-bugs`.
    #[must_use]
    pub fn with_injected_bug(self, injected_bug: Option<InjectedBug>) -> DisruptionState {
        if cfg!(feature = "seeded-bugs") {
            DisruptionState { injected_bug, ..self }
        } else {
            self
        }
    }

    /// Returns the budgets, in the order in which they were set.
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// Returns the version of the budgets, which the next [`DisruptionCommand::SetBudgets`] must name.
    pub fn budgets_version(&self) -> u64 {
        self.budgets_version
    }

    /// Returns the open permits, in the order in which they were requested.
    pub fn permits(&self) -> &BTreeMap<PermitId, Permit> {
        &self.permits
    }

    /// Returns the permits that are granted or begun.
    pub fn active_permits(&self) -> impl Iterator<Item = &Permit> {
        self.permits.values().filter(|permit| permit.state != PermitState::Waiting)
    }

    /// Returns the count of permits that were forced beyond the budgets.
    pub fn forced(&self) -> &ForcedPermits {
        &self.forced
    }

    /// Returns all targets with their last observed status.
    pub fn targets(&self) -> impl Iterator<Item = TargetStatus> + '_ {
        self.targets.iter().map(|(target, record)| TargetStatus {
            target: target.clone(),
            zone: record.zone.clone(),
            pool: record.pool.clone(),
            availability: record.availability,
            incarnation: record.incarnation,
        })
    }

    /// Returns the targets of a kind with their last observed status, by name.
    pub(crate) fn targets_by_name(&self, kind: TargetKind) -> BTreeMap<String, TargetStatus> {
        let of_kind = self.targets().filter(|status| status.target.kind == kind);
        of_kind.map(|status| (status.target.name.clone(), status)).collect()
    }

    /// Returns the urgency of a new observation while no status has changed; `None` if no permit is open.
    pub fn observation_urgency(&self) -> Option<ObservationUrgency> {
        let awaits_observation =
            |permit: &Permit| permit.state == PermitState::Waiting || permit.completed_at.is_some();
        if self.permits.values().any(awaits_observation) {
            return Some(ObservationUrgency::Immediate);
        }
        (!self.permits.is_empty()).then_some(ObservationUrgency::Periodic)
    }

    /// Applies the log entry at `index`. The result depends only on the state, the index and the command.
    pub fn apply(&mut self, index: u64, command: &DisruptionCommand) -> DisruptionOutcome {
        self.try_apply(index, command).unwrap_or_else(DisruptionOutcome::Rejected)
    }

    fn try_apply(&mut self, index: u64, command: &DisruptionCommand) -> Result<DisruptionOutcome, Rejection> {
        match command {
            DisruptionCommand::SetBudgets { expected_version, budgets } => {
                self.set_budgets(index, *expected_version, budgets)
            }
            DisruptionCommand::RequestPermit { target, reason, requester, force } => {
                self.request_permit(index, target, reason, requester, *force)
            }
            DisruptionCommand::BeginPermit { permit, incarnation } => {
                self.begin_permit(*permit, *incarnation)
            }
            DisruptionCommand::CompletePermit { permit } => self.complete_permit(index, *permit),
            DisruptionCommand::CancelPermit { permit } => self.cancel_permit(*permit),
            DisruptionCommand::RecordObservation { fencing_token, known_revision, changed, removed } => {
                self.record_observation(*fencing_token, *known_revision, changed, removed)
            }
            DisruptionCommand::DeregisterTarget { target, .. } => self.deregister_target(target),
        }
    }

    fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == Some(bug)
    }
}
