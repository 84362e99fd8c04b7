//! Permits to take one target out of service once.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Target;

/// A permit's number: the position of the log entry that requested it, so later permits have higher numbers.
pub type PermitId = u64;

/// How far a permit has come. The order of variants is part of the stored format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitState {
    /// It waits for room in the budgets.
    Waiting,
    /// Its step may begin.
    Granted,
    /// Its step began: the target counts as unavailable.
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
    /// The target that is to be taken out of service.
    pub target: Target,
    /// The requester's reason, for operators.
    pub reason: String,
    /// Who requested it. A requester has at most one open permit for a target.
    pub requester: String,
    /// How far it has come.
    pub state: PermitState,
    /// The target's incarnation when the permit was granted or begun: only a higher one proves that it came back.
    pub incarnation: u64,
    /// The log entry in which the requester said that the step is complete and the target was told to come back.
    pub completed_at: Option<u64>,
    /// It was granted whatever the budgets say, because the requester forced it.
    pub forced: bool,
}

/// How many permits were forced beyond the budgets. The order of fields is part of the stored format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ForcedPermits {
    /// How many, since the installation was set up.
    pub count: u64,
    /// Who forced the latest one; empty before the first.
    pub last_requester: String,
}
