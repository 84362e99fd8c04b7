//! Permits to take one target out of service once.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Target;

/// Number of a permit: the position of the log entry that requested it, so later permits have higher numbers.
pub type PermitId = u64;

/// State of an open permit. The order of variants is part of the stored format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitState {
    /// Waits until the budgets allow the disruption.
    Waiting,
    /// The disruption may begin.
    Granted,
    /// The disruption began: the target counts as unavailable.
    Begun,
}

impl fmt::Display for PermitState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PermitState::Waiting => "waiting",
            PermitState::Granted => "granted",
            PermitState::Begun => "begun",
        })
    }
}

/// An open permit. The order of fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Target to be taken out of service.
    pub target: Target,
    /// Reason of the requester, shown to operators.
    pub reason: String,
    /// Name of the requester, which has at most one open permit for a target.
    pub requester: String,
    /// State of the permit.
    pub state: PermitState,
    /// Incarnation of the target when the permit was granted or begun: only a higher one proves a restart.
    pub incarnation: u64,
    /// Log entry in which the requester reported that the disruption is complete and the target returns.
    pub completed_at: Option<u64>,
    /// Whether the requester forced the grant beyond the budgets.
    pub forced: bool,
}

/// Count of the permits that were forced beyond the budgets. The order of fields is part of the stored format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ForcedPermits {
    /// Number of forced permits since the installation was set up.
    pub count: u64,
    /// Requester of the latest forced permit; empty if there was none.
    pub last_requester: String,
}
