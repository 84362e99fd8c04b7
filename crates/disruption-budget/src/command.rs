//! Entries of the replicated log that change the disruption state, and their results.
//!
//! All types here are stored and sent in postcard: the order of variants and fields is the format.

use serde::{Deserialize, Serialize};

use crate::{Budget, PermitId, PermitState, Target, TargetStatus};

/// The most targets that the state holds.
pub const MAX_TARGETS: usize = 4_096;
/// The most permits that are open at once.
pub const MAX_OPEN_PERMITS: usize = 1_024;
/// The most budgets.
pub const MAX_BUDGETS: usize = 64;
/// The most bytes of a name, a zone, a pool or a reason.
pub const MAX_TEXT_BYTES: usize = 256;

/// A change of the disruption state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DisruptionCommand {
    /// Replaces all budgets, unless they were changed since the operator read them.
    SetBudgets {
        /// The version that the operator read.
        expected_version: u64,
        /// All budgets from now on.
        budgets: Vec<Budget>,
    },
    /// Requests a permit. Idempotent: a requester that repeats it gets the number of its open permit, and keeps it from
    /// timing out.
    RequestPermit {
        /// The target that is to be taken out of service.
        target: Target,
        /// The reason, for operators.
        reason: String,
        /// Who requests it.
        requester: String,
        /// Whether it is granted at once, whatever the budgets say, and counted as forced.
        force: bool,
    },
    /// Begins the step of a granted permit, at the incarnation of the target that is named and at no later one.
    BeginPermit {
        /// The permit.
        permit: PermitId,
        /// The target's incarnation as the requester knows it; 0 where it has none.
        incarnation: u64,
    },
    /// The step is complete and its target was asked to come back: the permit is closed when it is seen available.
    CompletePermit {
        /// The permit.
        permit: PermitId,
    },
    /// Closes a permit that was not begun: its requester gave it back, or it timed out.
    CancelPermit {
        /// The permit.
        permit: PermitId,
    },
    /// What an availability observer saw: all targets are as the state has them, but for these.
    RecordObservation {
        /// The fencing token of the observer's lease.
        fencing_token: u64,
        /// The last log entry that the observer had seen applied when it looked.
        known_revision: u64,
        /// Targets that are new, or whose status differs from the state.
        changed: Vec<TargetStatus>,
        /// Targets that are not listed any more.
        removed: Vec<Target>,
    },
    /// An operator declares a target gone for good: its permits are closed, and it is unknown until it is seen again.
    DeregisterTarget {
        /// The target.
        target: Target,
        /// Who declares it.
        operator: String,
    },
}

/// The result of a [`DisruptionCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DisruptionOutcome {
    /// The requester has this open permit, which has come so far.
    PermitRequested(PermitId, PermitState),
    /// The step of this permit may be carried out now.
    PermitBegun(PermitId),
    /// The command took effect.
    Applied,
    /// The effects of an observation.
    ObservationRecorded {
        /// Permits that were granted by it.
        granted: Vec<PermitId>,
        /// Permits that had been granted and wait again.
        revoked: Vec<PermitId>,
        /// Permits whose targets are proven available again.
        closed: Vec<PermitId>,
    },
    /// Nothing changed.
    Rejected(Rejection),
}

/// Why a [`DisruptionCommand`] changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No such permit is open: it was cancelled, or closed. Request a new one.
    #[error("no such permit is open: it expired, was cancelled, or has ended")]
    UnknownPermit,
    /// The state has no such target, nor a permit for it.
    #[error("no such target is registered")]
    UnknownTarget,
    /// The permit waits, or waits again after it was revoked. Retry later.
    #[error("the permit is not granted, or was revoked")]
    NotGranted,
    /// The permit was begun: only its target's return closes it, or an operator who deregisters the target.
    #[error("the permit was begun; it ends when its target is available again")]
    AlreadyBegun,
    /// The observer has lost its lease to another one.
    #[error("the observation is of an earlier term: the newest fencing token is {newest_token}")]
    StaleObserver {
        /// The newest fencing token of an observer.
        newest_token: u64,
    },
    /// The budgets were changed since the operator read them. Read them again.
    #[error("the budgets were changed meanwhile and are at version {version}; read them again")]
    VersionConflict {
        /// Their version.
        version: u64,
    },
    /// A budget is invalid.
    #[error("budget {name:?}: {reason}")]
    InvalidBudget {
        /// The budget's name.
        name: String,
        /// What is wrong with it, as [`BudgetError`](crate::BudgetError) says it.
        reason: String,
    },
    /// A limit of this module would be exceeded; the text says which.
    #[error("limit exceeded: {0}")]
    LimitExceeded(String),
}

impl Rejection {
    /// A text is longer than [`MAX_TEXT_BYTES`].
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
