//! Calls to the coordinators on behalf of an operator.

mod error;

use std::net::SocketAddr;
use std::time::Duration;

use cluster_member::coordinator_client::CoordinatorClient;
use cluster_member::wire::{
    ClientHello, ClientIdentity, Connection, ConnectionError, CoordinatorMessage, Operation, ReplicaStatus,
    Request, Response, SCHEMA_VERSION,
};
use coordination::{FencingToken, LeaseId, Revision};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, DisruptionState};
use tokio::time::{sleep, timeout, Instant};

use crate::config::Config;

pub use error::{OperatorError, ReplacementProgress};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a replacement.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the progress of a replacement is polled.
const REPLACEMENT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Result of requesting the status of one replica.
#[derive(Debug)]
pub struct StatusResult {
    /// Number of the replica.
    pub replica: u64,
    /// Status of the replica, or the error of the call.
    pub status: Result<ReplicaStatus, OperatorError>,
}

/// Disruption state at a revision.
#[derive(Debug, Clone, Default)]
pub struct DisruptionSnapshot {
    /// Revision of the last change.
    pub revision: Revision,
    /// Budgets, permits and targets.
    pub state: DisruptionState,
}

/// Calls one replica, whether or not it leads.
async fn call(config: &Config, replica: u64, operation: Operation) -> Result<Response, OperatorError> {
    let address = *config.replicas.get(&replica).ok_or(OperatorError::UnknownReplica(replica))?;
    let hello = ClientHello {
        schema_version: SCHEMA_VERSION,
        installation: config.installation.clone(),
        identity: ClientIdentity::Operator,
    };
    match timeout(CALL_TIMEOUT, exchange(address, &hello, operation)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(source)) => Err(OperatorError::Connection { replica, address, source }),
        Err(_) => Err(OperatorError::Timeout { replica, address }),
    }
}

async fn exchange(
    address: SocketAddr,
    hello: &ClientHello,
    operation: Operation,
) -> Result<Response, ConnectionError> {
    const REQUEST_ID: u64 = 1;
    let (mut connection, _) = Connection::connect(address, None, hello).await?;
    connection.send(&Request { id: REQUEST_ID, operation }).await?;
    loop {
        if let CoordinatorMessage::Response { id: REQUEST_ID, response } = connection.receive().await? {
            return Ok(response);
        }
    }
}

/// Calls the leading replica.
async fn call_leader(config: &Config, operation: Operation) -> Result<Response, OperatorError> {
    let mut client =
        CoordinatorClient::new(&config.installation, ClientIdentity::Operator, config.replicas.clone(), None);
    let response = client.call(&operation, Instant::now() + CALL_TIMEOUT).await;
    response.map_err(OperatorError::LeaderUnavailable)
}

/// Requests the status of one replica.
///
/// # Errors
/// Returns an error if the replica is not configured, is not reached, or sends an unexpected response.
pub async fn status(config: &Config, replica: u64) -> Result<ReplicaStatus, OperatorError> {
    match call(config, replica, Operation::Status).await? {
        Response::Status(status) => Ok(*status),
        other => Err(OperatorError::UnexpectedResponse { replica, response: Box::new(other) }),
    }
}

/// Requests the status of each replica in turn.
pub async fn statuses(config: &Config) -> Vec<StatusResult> {
    let mut statuses = Vec::with_capacity(config.replicas.len());
    for replica in config.replicas.keys() {
        let status = status(config, *replica).await;
        statuses.push(StatusResult { replica: *replica, status });
    }
    statuses
}

/// Requests the status of the leader; if two replicas consider themselves leader, of the one with the higher Raft term.
///
/// # Errors
/// Returns [`OperatorError::NoLeader`] if no replica leads.
pub async fn leader_status(config: &Config) -> Result<ReplicaStatus, OperatorError> {
    let mut leaders = Vec::new();
    let mut unreachable = Vec::new();
    for result in statuses(config).await {
        match result.status {
            Ok(status) if status.is_leader => leaders.push(status),
            Ok(_) => {}
            Err(error) => unreachable.push(error),
        }
    }
    let leader = leaders.into_iter().max_by_key(|status| status.raft_term);
    leader.ok_or(OperatorError::NoLeader { unreachable })
}

/// Replaces a replica by a new one that was started with an empty store, and waits for completion.
///
/// # Errors
/// Returns [`OperatorError::Rejected`] if the leader rejects the replacement, [`OperatorError::ReplacementTimeout`]
/// if it is not complete within `REPLACEMENT_TIMEOUT`, or an error of the call that starts it.
pub async fn replace(config: &Config, old: u64, new: u64, address: String) -> Result<(), OperatorError> {
    let deadline = Instant::now() + REPLACEMENT_TIMEOUT;
    let mut progress = ReplacementProgress::NotStarted;
    let mut accepted = false;
    while Instant::now() < deadline {
        match leader_status(config).await {
            Ok(leader) if leader.voters.contains(&new) && !leader.voters.contains(&old) => return Ok(()),
            Ok(leader) if accepted => {
                progress =
                    ReplacementProgress::InProgress { voters: leader.voters, learners: leader.learners };
            }
            Ok(leader) => {
                let operation = Operation::ReplaceReplica { old, new, address: address.clone() };
                match call(config, leader.replica_id, operation).await? {
                    Response::Done => accepted = true,
                    Response::Rejected(reason) => return Err(OperatorError::Rejected(reason)),
                    other => progress = ReplacementProgress::NotAccepted(Box::new(other)),
                }
            }
            Err(error) => progress = ReplacementProgress::NoLeader(Box::new(error)),
        }
        sleep(REPLACEMENT_POLL_INTERVAL).await;
    }
    Err(OperatorError::ReplacementTimeout { old, progress })
}

/// Requests the disruption state.
///
/// # Errors
/// Returns [`OperatorError::LeaderUnavailable`] if no leading replica responds.
pub async fn disruption_state(config: &Config) -> Result<DisruptionSnapshot, OperatorError> {
    // The leader omits a disruption state that was never changed; such a state is empty.
    match call_leader(config, Operation::DisruptionState { known_revision: 0 }).await? {
        Response::DisruptionState { revision, state } => {
            Ok(DisruptionSnapshot { revision, state: state.map(|state| *state).unwrap_or_default() })
        }
        other => Err(OperatorError::UnexpectedLeaderResponse(Box::new(other))),
    }
}

/// Changes the disruption state.
///
/// # Errors
/// Returns [`OperatorError::ChangeRejected`] or [`OperatorError::Rejected`] if the leader rejects the change, and
/// [`OperatorError::LeaderUnavailable`] if no leading replica responds.
pub async fn change_disruption_state(
    config: &Config,
    change: DisruptionCommand,
) -> Result<DisruptionOutcome, OperatorError> {
    match call_leader(config, Operation::ChangeDisruptionState(change)).await? {
        Response::DisruptionStateChanged(DisruptionOutcome::Rejected(rejection)) => {
            Err(OperatorError::ChangeRejected(rejection))
        }
        Response::DisruptionStateChanged(outcome) => Ok(outcome),
        Response::Rejected(reason) => Err(OperatorError::Rejected(reason)),
        other => Err(OperatorError::UnexpectedLeaderResponse(Box::new(other))),
    }
}

/// Ends the running term of a lease, or only the term with this fencing token, so that another member is granted the
/// lease.
///
/// # Errors
/// Returns [`OperatorError::NoLeader`] if no replica leads, [`OperatorError::ReleaseRejected`] if the lease has no such
/// term, and [`OperatorError::ReleaseIncomplete`] if the leader cannot release it now.
pub async fn release_lease(
    config: &Config,
    lease: LeaseId,
    token: Option<FencingToken>,
) -> Result<(), OperatorError> {
    let leader = leader_status(config).await?;
    let operation = Operation::ReleaseLease { lease: lease.clone(), token };
    match call(config, leader.replica_id, operation).await? {
        Response::Done => Ok(()),
        Response::Rejected(reason) => Err(OperatorError::ReleaseRejected { lease, reason }),
        other => Err(OperatorError::ReleaseIncomplete { lease, response: Box::new(other) }),
    }
}
