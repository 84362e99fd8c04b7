//! Outcomes of commands and reasons for rejection.
//!
//! All types here are sent in postcard: the order of variants and fields is the format.

use serde::{Deserialize, Serialize};

use crate::{PermitId, PermitState};

/// Result of a [`DisruptionCommand`](crate::DisruptionCommand).
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
        /// Permits that were granted and not begun, and now wait again.
        revoked: Vec<PermitId>,
        /// Permits whose targets are proven available again.
        closed: Vec<PermitId>,
    },
    /// Nothing changed.
    Rejected(Rejection),
}

/// Reason why a [`DisruptionCommand`](crate::DisruptionCommand) changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No such permit is open: it expired, was cancelled or closed. The requester must request a new one.
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
        /// Current version of the budgets.
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
    /// A limit on the size of the state would be exceeded; the text names it.
    #[error("limit exceeded: {0}")]
    LimitExceeded(String),
}
