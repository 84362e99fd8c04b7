//! Reasons for which a planned drain is rejected.

use cluster_member::coordinator_client::CallError;
use coordination::CommandRejection;
use disruption_budget::{PermitId, Rejection};

/// `Retry-After` of a drain that another one has to precede, in seconds.
const RETRY_AFTER_WAIT_S: u32 = 1;
/// `Retry-After` of a drain that the coordinators cannot decide on or reject, in seconds.
const RETRY_AFTER_COORDINATORS_S: u32 = 5;

/// Reason for which a planned drain is rejected; the dispatcher goes on serving.
#[derive(Debug, thiserror::Error)]
pub enum DrainRejected {
    /// The decision on an earlier request is pending.
    #[error("another call for standby is being decided on")]
    DecisionInProgress,
    /// The permit is not granted yet.
    #[error("permit {permit} waits for its turn{}", blocked_by(.blocking_budget.as_deref()))]
    WaitsForTurn {
        /// The permit.
        permit: PermitId,
        /// Name of the budget that is used up, if one is.
        blocking_budget: Option<String>,
    },
    /// The disruption state rejected the request for a permit.
    #[error(transparent)]
    PermitRejected(Rejection),
    /// The coordinators rejected the request for a permit.
    #[error(transparent)]
    RequestRejected(CommandRejection),
    /// The request for a permit got a response of another kind.
    #[error("the coordinators sent an unexpected response to the request for a permit")]
    UnexpectedResponse,
    /// The coordinators did not answer the request for a permit.
    #[error("no majority of the coordinators answers ({0}); serving goes on")]
    NoMajority(#[source] CallError),
    /// The permit of the previous drain is still open.
    #[error("the permit before this one is not over yet")]
    PreviousPermitOpen,
    /// The permit was granted, and the disruption state did not let it begin.
    #[error(transparent)]
    BeginRejected(Rejection),
    /// The permit was granted, and the coordinators rejected its begin.
    #[error("the permit could not be begun: {0}")]
    BeginRequestRejected(#[source] CommandRejection),
    /// The permit was granted, and its begin was not confirmed.
    #[error("the permit could not be begun: {0}")]
    BeginFailed(#[source] CallError),
    /// The permit was granted, and its begin got a response of another kind.
    #[error("the permit could not be begun: unexpected response of the coordinators")]
    BeginUnexpectedResponse,
    /// The session ended during the decision, so that the permit may be over.
    #[error("this dispatcher lost its session meanwhile")]
    SessionLost,
}

impl DrainRejected {
    /// Returns the time after which the request may be repeated, in seconds.
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
