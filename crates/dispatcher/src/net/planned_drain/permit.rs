//! Calls to the coordinators for the permit of a planned drain.

use cluster_member::coordinator_client::CoordinatorClient;
use cluster_member::wire::{Operation, Response};
use disruption_budget::{
    DisruptionCommand, DisruptionOutcome, PermitId, PermitState, Rejection, Target, TargetKind,
};
use tokio::time::Instant;

use super::DrainRejected;

/// A request for the permit of one drain.
pub(super) struct PermitRequest<'a> {
    /// Name of this dispatcher, the target of the permit.
    pub(super) dispatcher: &'a str,
    pub(super) reason: &'a str,
    /// Whether the permit is granted even if it exceeds a budget.
    pub(super) force: bool,
}

/// Requests a permit and returns it once it is granted.
///
/// # Errors
/// Returns [`DrainRejected`] if the permit is not granted at once, or no majority of the coordinators answers by the
/// deadline.
pub(super) async fn request_permit(
    coordinators: &mut CoordinatorClient,
    request: &PermitRequest<'_>,
    deadline: Instant,
) -> Result<PermitId, DrainRejected> {
    let command = DisruptionCommand::RequestPermit {
        target: Target { kind: TargetKind::Dispatcher, name: request.dispatcher.to_owned() },
        reason: request.reason.to_owned(),
        requester: format!("dispatcher/{}", request.dispatcher),
        force: request.force,
    };
    let response = coordinators.call(&Operation::ChangeDisruptionState(command), deadline).await;
    match response.map_err(DrainRejected::NoMajority)? {
        Response::DisruptionStateChanged(DisruptionOutcome::PermitRequested { permit, state }) => {
            if state != PermitState::Waiting {
                return Ok(permit);
            }
            let blocking_budget = blocking_budget(coordinators, permit, deadline).await;
            Err(DrainRejected::WaitsForTurn { permit, blocking_budget })
        }
        Response::DisruptionStateChanged(DisruptionOutcome::Rejected(rejection)) => {
            Err(DrainRejected::PermitRejected(rejection))
        }
        Response::Rejected(rejection) => Err(DrainRejected::RequestRejected(rejection)),
        _ => Err(DrainRejected::UnexpectedResponse),
    }
}

/// Returns the name of the budget that a waiting permit would exceed. Returns `None` if no budget blocks it, or the
/// disruption state could not be read.
async fn blocking_budget(
    coordinators: &mut CoordinatorClient,
    permit: PermitId,
    deadline: Instant,
) -> Option<String> {
    let read = Operation::DisruptionState { known_revision: 0 };
    let Ok(Response::DisruptionState { state: Some(state), .. }) = coordinators.call(&read, deadline).await
    else {
        return None;
    };
    state.blocking_budget(permit).map(|budget| budget.name.clone())
}

/// Begins a permit that has been granted.
///
/// # Errors
/// Returns [`DrainRejected`] if the begin is rejected, or no majority of the coordinators confirms by the deadline.
pub(super) async fn begin_permit(
    coordinators: &mut CoordinatorClient,
    permit: PermitId,
    incarnation: u64,
    deadline: Instant,
) -> Result<(), DrainRejected> {
    let command = DisruptionCommand::BeginPermit { permit, incarnation };
    let response = coordinators.call(&Operation::ChangeDisruptionState(command), deadline).await;
    match response.map_err(DrainRejected::BeginFailed)? {
        Response::DisruptionStateChanged(DisruptionOutcome::PermitBegun(_)) => Ok(()),
        Response::DisruptionStateChanged(DisruptionOutcome::Rejected(Rejection::UnknownPermit)) => {
            Err(DrainRejected::PreviousPermitOpen)
        }
        Response::DisruptionStateChanged(DisruptionOutcome::Rejected(rejection)) => {
            Err(DrainRejected::BeginRejected(rejection))
        }
        Response::Rejected(rejection) => Err(DrainRejected::BeginRequestRejected(rejection)),
        _ => Err(DrainRejected::BeginUnexpectedResponse),
    }
}
