//! Commands: the entries of the replicated log that change the disruption state.
//!
//! All types here are stored and sent in postcard: the order of variants and fields is the format.

use serde::{Deserialize, Serialize};

use crate::{Budget, PermitId, Target, TargetStatus};

/// A change of the disruption state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DisruptionCommand {
    /// Replaces all budgets if they were not changed since the operator read them.
    SetBudgets {
        /// Version of the budgets that the operator read.
        expected_version: u64,
        /// New budgets, which replace all others.
        budgets: Vec<Budget>,
    },
    /// Requests a permit. Idempotent: a requester that repeats the request gets the number of its open permit and
    /// renews the permit's timeout.
    RequestPermit {
        /// Target to be taken out of service.
        target: Target,
        /// Reason, shown to operators.
        reason: String,
        /// Name of the requester.
        requester: String,
        /// Whether the permit is granted at once, without regard to the budgets, and counted as forced.
        force: bool,
    },
    /// Begins a granted permit, for this incarnation of the target and no later one.
    BeginPermit {
        /// The permit.
        permit: PermitId,
        /// Incarnation of the target as known to the requester; 0 if the target has none.
        incarnation: u64,
    },
    /// Reports that the disruption is complete and the target returns: the permit is closed once the target is
    /// observed to be available.
    CompletePermit {
        /// The permit.
        permit: PermitId,
    },
    /// Closes a permit that was not begun: its requester cancelled it, or it expired.
    CancelPermit {
        /// The permit.
        permit: PermitId,
    },
    /// Records an observation: the targets that differ from the state.
    RecordObservation {
        /// Fencing token of the observer's lease.
        fencing_token: u64,
        /// Last log entry that the observer had seen applied when it observed the targets.
        known_revision: u64,
        /// Targets that are new, or whose status differs from the state.
        changed: Vec<TargetStatus>,
        /// Targets that are no longer listed.
        removed: Vec<Target>,
    },
    /// Removes a target that an operator declares permanently lost, and closes its permits. The target is registered
    /// again once it is observed again.
    DeregisterTarget {
        /// The target.
        target: Target,
        /// Name of the operator.
        operator: String,
    },
}
