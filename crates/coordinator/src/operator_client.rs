//! Calls to the coordinators on behalf of an operator.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use cluster_member::coordinator_client::{CallError, CoordinatorClient};
use cluster_member::wire::{
    ClientHello, ClientIdentity, Connection, ConnectionError, CoordinatorMessage, Operation, ReplicaStatus,
    Request, Response, SCHEMA_VERSION,
};
use coordination::{CommandRejection, FencingToken, LeaseId, Revision};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, DisruptionState, Rejection};
use tokio::time::{sleep, timeout, Instant};

use crate::config::Config;
use crate::display::replica_list;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a replacement.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the progress of a replacement is polled.
const REPLACEMENT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Error of an operator's request.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The settings have no replica with this number.
    #[error("replica {0} is not configured")]
    UnknownReplica(u64),
    /// A replica is not reached, or rejects the handshake.
    #[error("replica {replica} at {address}: {source}")]
    Connection {
        /// Number of the replica.
        replica: u64,
        /// Address of the replica.
        address: SocketAddr,
        /// Cause.
        source: ConnectionError,
    },
    /// A replica does not respond within `CALL_TIMEOUT`.
    #[error("replica {replica} at {address}: no response within {} s", CALL_TIMEOUT.as_secs())]
    Timeout {
        /// Number of the replica.
        replica: u64,
        /// Address of the replica.
        address: SocketAddr,
    },
    /// A replica sent a response that does not match the request.
    #[error("replica {replica}: unexpected response: {}", describe(.response))]
    UnexpectedResponse {
        /// Number of the replica.
        replica: u64,
        /// Response of the replica.
        response: Box<Response>,
    },
    /// The leader sent a response that does not match the request.
    #[error("unexpected response of the leader: {}", describe(.0))]
    UnexpectedLeaderResponse(Box<Response>),
    /// No replica leads.
    #[error("no replica leads: a majority has to run and reach each other{}", Lines(.unreachable))]
    NoLeader {
        /// Errors of the replicas that are not reached.
        unreachable: Vec<OperatorError>,
    },
    /// No leading replica responds.
    #[error("{0}: a majority of the replicas has to run and reach each other")]
    LeaderUnavailable(CallError),
    /// The leader rejected the request.
    #[error("{0}")]
    Rejected(CommandRejection),
    /// The leader rejected the change of the disruption state.
    #[error("{0}")]
    ChangeRejected(Rejection),
    /// The leader rejected the release of a lease.
    #[error("{lease}: {reason}")]
    ReleaseRejected {
        /// Lease to be released.
        lease: LeaseId,
        /// Reason of the rejection.
        reason: CommandRejection,
    },
    /// The leader could not release a lease now. A retry may succeed.
    #[error("{lease}: not released: {}; retry", describe(.response))]
    ReleaseIncomplete {
        /// Lease to be released.
        lease: LeaseId,
        /// Response of the replica.
        response: Box<Response>,
    },
    /// A replacement was not complete in time. It continues; the request may be repeated.
    #[error("replica {old} was not replaced within {} s: {progress}", REPLACEMENT_TIMEOUT.as_secs())]
    ReplacementTimeout {
        /// Number of the replica to be replaced.
        old: u64,
        /// Progress at the timeout.
        progress: ReplacementProgress,
    },
}

/// Progress of a replacement at its timeout.
#[derive(Debug)]
pub enum ReplacementProgress {
    /// No replica was called yet.
    NotStarted,
    /// The replacement is in progress.
    UnderWay {
        /// Numbers of the voters.
        voters: Vec<u64>,
        /// Numbers of the learners.
        learners: Vec<u64>,
    },
    /// The leader has not accepted the request.
    NotAccepted(Box<Response>),
    /// No replica leads.
    NoLeader(Box<OperatorError>),
}

impl fmt::Display for ReplacementProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplacementProgress::NotStarted => f.write_str("not started"),
            ReplacementProgress::UnderWay { voters, learners } => {
                write!(
                    f,
                    "in progress with voters {} and learners {}",
                    replica_list(voters),
                    replica_list(learners)
                )
            }
            ReplacementProgress::NotAccepted(response) => write!(f, "not accepted: {}", describe(response)),
            ReplacementProgress::NoLeader(error) => write!(f, "{error}"),
        }
    }
}

/// Describes a response to an operator.
fn describe(response: &Response) -> String {
    match response {
        Response::SessionOpened { .. } => "a session was opened".to_owned(),
        Response::SessionRenewed { .. } => "a session was renewed".to_owned(),
        Response::Done => "the operation was carried out".to_owned(),
        Response::NotLeader { leader: Some(leader), .. } => format!("replica {leader} leads now"),
        Response::NotLeader { leader: None, .. } => "no replica leads now".to_owned(),
        Response::Busy => "the leader is busy".to_owned(),
        Response::Rejected(rejection) => format!("rejected: {rejection}"),
        Response::Status(_) => "the status of a replica".to_owned(),
        Response::DisruptionState { .. } => "the disruption state".to_owned(),
        Response::DisruptionStateChanged(_) => "a change of the disruption state".to_owned(),
    }
}

/// Formats each error on an indented line of its own.
struct Lines<'a>(&'a [OperatorError]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|error| write!(f, "\n  {error}"))
    }
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
pub async fn statuses(config: &Config) -> Vec<(u64, Result<ReplicaStatus, OperatorError>)> {
    let mut statuses = Vec::new();
    for replica in config.replicas.keys() {
        statuses.push((*replica, status(config, *replica).await));
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
    for (_, status) in statuses(config).await {
        match status {
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
/// Returns [`OperatorError::Rejected`] if the leader rejects the replacement, [`OperatorError::ReplacementTimeout`] if it
/// is not complete within `REPLACEMENT_TIMEOUT`, or an error of the call that starts it.
pub async fn replace(config: &Config, old: u64, new: u64, address: String) -> Result<(), OperatorError> {
    let deadline = Instant::now() + REPLACEMENT_TIMEOUT;
    let mut progress = ReplacementProgress::NotStarted;
    let mut accepted = false;
    while Instant::now() < deadline {
        match leader_status(config).await {
            Ok(leader) if leader.voters.contains(&new) && !leader.voters.contains(&old) => return Ok(()),
            Ok(leader) if accepted => {
                let (voters, learners) = (leader.voters, leader.learners);
                progress = ReplacementProgress::UnderWay { voters, learners };
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
    // A state that never changed is not sent: it is empty.
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

/// Ends the running term of a lease, or the one with this fencing token, so that another member is granted the lease.
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
