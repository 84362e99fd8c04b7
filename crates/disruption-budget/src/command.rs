//! Entries of the replicated log that change the disruption state, and their results.
//!
//! All types here are stored and sent in postcard: the order of variants and fields is the format.

use serde::{Deserialize, Serialize};

use crate::{Budget, PermitId, PermitState, Target, TargetStatus};

/// Maximum number of targets in the state.
pub const MAX_TARGETS: usize = 4_096;
/// Maximum number of open permits.
pub const MAX_OPEN_PERMITS: usize = 1_024;
/// Maximum number of budgets.
pub const MAX_BUDGETS: usize = 64;
/// Maximum length of a name, a zone, a pool or a reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

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
    /// Requests a permit. Idempotent: a requester that repeats it gets the number of its open permit and renews the
    /// permit's timeout.
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
    /// Begins a granted permit, for the named incarnation of the target and no later one.
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
        /// Targets that are not listed any more.
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

/// Result of a [`DisruptionCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DisruptionOutcome {
    /// The requester has this open permit, in this state.
    PermitRequested {
        /// Number of the permit.
        permit: PermitId,
        /// State of the permit.
        state: PermitState,
    },
    /// The disruption that this permit allows may be carried out now.
    PermitBegun(PermitId),
    /// The command took effect.
    Applied,
    /// The effects of an observation.
    ObservationRecorded {
        /// Permits that the observation granted.
        granted: Vec<PermitId>,
        /// Permits that were granted before and wait again.
        revoked: Vec<PermitId>,
        /// Permits whose targets are proven available again.
        closed: Vec<PermitId>,
    },
    /// Nothing changed.
    Rejected(Rejection),
}

/// Reason for which a [`DisruptionCommand`] changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No such permit is open: it expired, was cancelled or closed. The requester has to request a new one.
    #[error("no such permit is open: it expired, was cancelled, or has ended")]
    UnknownPermit,
    /// Neither the target nor a permit for it is in the state.
    #[error("no such target is registered")]
    UnknownTarget,
    /// The permit waits, or waits again after it was revoked. The requester may retry later.
    #[error("the permit is not granted, or was revoked")]
    NotGranted,
    /// The permit was begun: only its target's return or deregistration closes it.
    #[error("the permit was begun; it ends when its target is available again")]
    AlreadyBegun,
    /// The observer has lost its lease to another member.
    #[error("the observation is of an earlier term: the newest fencing token is {newest_token}")]
    StaleObserver {
        /// Newest fencing token of an observer.
        newest_token: u64,
    },
    /// The budgets were changed since the operator read them.
    #[error("the budgets were changed meanwhile and are at version {version}; read them again")]
    VersionConflict {
        /// Present version of the budgets.
        version: u64,
    },
    /// A budget is invalid.
    #[error("budget {name:?}: {reason}")]
    InvalidBudget {
        /// Name of the budget.
        name: String,
        /// Text of the [`BudgetError`](crate::BudgetError).
        reason: String,
    },
    /// A limit of this module would be exceeded; the text names it.
    #[error("limit exceeded: {0}")]
    LimitExceeded(String),
}

impl Rejection {
    /// Rejects a text that is longer than [`MAX_TEXT_BYTES`].
    pub(crate) fn text_too_long() -> Rejection {
        Rejection::LimitExceeded(format!("a text is longer than {MAX_TEXT_BYTES} bytes"))
    }
}

/// Checks the length of texts that are to be stored.
pub(crate) fn check_text_length(texts: &[&str]) -> Result<(), Rejection> {
    if texts.iter().any(|text| text.len() > MAX_TEXT_BYTES) {
        return Err(Rejection::text_too_long());
    }
    Ok(())
}
