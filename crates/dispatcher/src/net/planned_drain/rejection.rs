//! Reasons why a planned drain is rejected.

use cluster_member::coordinator_client::CallError;
use coordination::CommandRejection;
use disruption_budget::{PermitId, Rejection};

/// `Retry-After` of a drain that must wait for another one, or that failed to begin, in seconds.
const RETRY_AFTER_WAIT_S: u32 = 1;
/// `Retry-After` of a drain that the coordinators rejected or could not decide, in seconds.
const RETRY_AFTER_COORDINATORS_S: u32 = 5;

/// Reason why a planned drain is rejected. The dispatcher continues to serve.
#[derive(Debug, thiserror::Error)]
pub enum DrainRejected {
    /// An earlier request for standby is still being decided.
    #[error("another call for standby is being decided on")]
    DecisionInProgress,
    /// The permit must wait until other disruptions end.
    #[error("permit {permit} waits for its turn{}", blocked_by(.blocking_budget.as_deref()))]
    WaitsForTurn {
        /// Permit that waits.
        permit: PermitId,
        /// Name of the budget that blocks the permit, if any.
        blocking_budget: Option<String>,
    },
    /// The disruption state rejected the request for a permit.
    #[error(transparent)]
    PermitRejected(Rejection),
    /// The coordinators rejected the request for a permit.
    #[error(transparent)]
    RequestRejected(CommandRejection),
    /// The coordinators sent a response of another kind to the request for a permit.
    #[error("the coordinators sent an unexpected response to the request for a permit")]
    UnexpectedResponse,
    /// No majority of the coordinators answered the request for a permit.
    #[error("no majority of the coordinators answers ({0}); serving goes on")]
    NoMajority(#[source] CallError),
    /// The permit of the previous drain is still open.
    #[error("the permit before this one is not over yet")]
    PreviousPermitOpen,
    /// The permit was granted, but the disruption state rejected its begin.
    #[error(transparent)]
    BeginRejected(Rejection),
    /// The permit was granted, but the coordinators rejected the request to begin it.
    #[error("the permit could not be begun: {0}")]
    BeginRequestRejected(#[source] CommandRejection),
    /// The permit was granted, but no majority of the coordinators confirmed its begin.
    #[error("the permit could not be begun: {0}")]
    BeginFailed(#[source] CallError),
    /// The permit was granted, but the coordinators sent a response of another kind to the request to begin it.
    #[error("the permit could not be begun: unexpected response of the coordinators")]
    BeginUnexpectedResponse,
    /// The session ended during the decision, so the permit may have been closed.
    #[error("this dispatcher lost its session meanwhile")]
    SessionLost,
}

impl DrainRejected {
    /// Returns the delay after which the request may be repeated, in seconds.
    pub fn retry_after_s(&self) -> u32 {
        match self {
            DrainRejected::PermitRejected(_)
            | DrainRejected::RequestRejected(_)
            | DrainRejected::UnexpectedResponse
            | DrainRejected::NoMajority(_) => RETRY_AFTER_COORDINATORS_S,
            DrainRejected::DecisionInProgress
            | DrainRejected::WaitsForTurn { .. }
            | DrainRejected::PreviousPermitOpen
            | DrainRejected::BeginRejected(_)
            | DrainRejected::BeginRequestRejected(_)
            | DrainRejected::BeginFailed(_)
            | DrainRejected::BeginUnexpectedResponse
            | DrainRejected::SessionLost => RETRY_AFTER_WAIT_S,
        }
    }
}

fn blocked_by(budget: Option<&str>) -> String {
    budget.map_or_else(String::new, |name| format!(": budget {name:?} is used up"))
}
