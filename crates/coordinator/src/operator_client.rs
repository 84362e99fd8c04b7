//! What an operator asks the coordinators.

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

/// How long a coordinator has for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the client waits for a replacement to finish.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// How often the client polls the progress of a replacement.
const REPLACEMENT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why an operator's request was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The settings name no such coordinator.
    #[error("there is no keeper {0}")]
    UnknownCoordinator(u64),
    /// A coordinator is not reached, or rejects this program.
    #[error("keeper {coordinator} at {address}: {source}")]
    Connection {
        /// Its number.
        coordinator: u64,
        /// Where it was tried.
        address: SocketAddr,
        /// What went wrong.
        source: ConnectionError,
    },
    /// A coordinator does not respond.
    #[error("keeper {coordinator} at {address}: no answer within {} s", CALL_TIMEOUT.as_secs())]
    Timeout {
        /// Its number.
        coordinator: u64,
        /// Where it was tried.
        address: SocketAddr,
    },
    /// A coordinator sent a response to another request.
    #[error("keeper {coordinator}: an answer that was not asked for: {response:?}")]
    UnexpectedResponse {
        /// Its number.
        coordinator: u64,
        /// The response.
        response: Box<Response>,
    },
    /// The leader sent a response to another request.
    #[error("an answer that was not asked for: {0:?}")]
    UnexpectedLeaderResponse(Box<Response>),
    /// No coordinator leads. Those that are not reached are named.
    #[error("no keeper leads: a majority has to be there and reach each other{}", Lines(.unreachable))]
    NoLeader {
        /// Why each of them is not reached.
        unreachable: Vec<OperatorError>,
    },
    /// No coordinator that leads responds.
    #[error("{0}: a majority of the keepers has to be there and reach each other")]
    LeaderUnavailable(CallError),
    /// The leader rejects the request.
    #[error("{0}")]
    Rejected(CommandRejection),
    /// The leader rejects the change of budgets or permits.
    #[error("{0}")]
    ChangeRejected(Rejection),
    /// The leader does not end the term of a lease.
    #[error("{lease}: {reason}")]
    ReleaseRejected {
        /// The lease.
        lease: LeaseId,
        /// Why.
        reason: CommandRejection,
    },
    /// The leader could not end the term of a lease now. Retry.
    #[error("{lease}: not done: {}; ask again", response_text(.response))]
    ReleaseIncomplete {
        /// The lease.
        lease: LeaseId,
        /// What it said.
        response: Box<Response>,
    },
    /// A replacement takes long. It goes on, and may be asked for again.
    #[error("keeper {old} is not replaced after a minute: {progress}")]
    ReplacementTimeout {
        /// The coordinator to be replaced.
        old: u64,
        /// How far it was.
        progress: ReplacementProgress,
    },
}

/// How far a replacement was when the operator's time was over.
#[derive(Debug)]
pub enum ReplacementProgress {
    /// Nobody was asked yet.
    NotStarted,
    /// It is under way.
    UnderWay {
        /// Who votes.
        voters: Vec<u64>,
        /// Who learns.
        learners: Vec<u64>,
    },
    /// The leader did not accept it yet.
    NotAccepted(Box<Response>),
    /// No leader was found.
    NoLeader(Box<OperatorError>),
}

impl fmt::Display for ReplacementProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplacementProgress::NotStarted => Ok(()),
            ReplacementProgress::UnderWay { voters, learners } => {
                write!(f, "it goes on: {voters:?} vote, {learners:?} learn")
            }
            ReplacementProgress::NotAccepted(response) => f.write_str(&response_text(response)),
            ReplacementProgress::NoLeader(error) => write!(f, "{error}"),
        }
    }
}

/// A response as operators have always been shown it, whatever its type is called.
fn response_text(response: &Response) -> String {
    match response {
        Response::NotLeader { leader, address } => {
            format!("NotLeading {{ leader: {leader:?}, address: {address:?} }}")
        }
        other => format!("{other:?}"),
    }
}

/// Each error on an indented line of its own.
struct Lines<'a>(&'a [OperatorError]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|error| write!(f, "\n  {error}"))
    }
}

/// The state of budgets and permits, as of an entry of the log.
#[derive(Debug, Clone, Default)]
pub struct DisruptionSnapshot {
    /// The last entry that changed it.
    pub revision: Revision,
    /// The state.
    pub state: DisruptionState,
}

/// Asks one coordinator, whether or not it leads.
async fn call(config: &Config, coordinator: u64, operation: Operation) -> Result<Response, OperatorError> {
    let address =
        *config.coordinators.get(&coordinator).ok_or(OperatorError::UnknownCoordinator(coordinator))?;
    let hello = ClientHello {
        schema_version: SCHEMA_VERSION,
        installation: config.installation.clone(),
        identity: ClientIdentity::Operator,
    };
    match timeout(CALL_TIMEOUT, exchange(address, &hello, operation)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(source)) => Err(OperatorError::Connection { coordinator, address, source }),
        Err(_) => Err(OperatorError::Timeout { coordinator, address }),
    }
}

async fn exchange(
    address: SocketAddr,
    hello: &ClientHello,
    operation: Operation,
) -> Result<Response, ConnectionError> {
    const REQUEST_ID: u64 = 1;
    let (mut link, _) = Connection::connect(address, None, hello).await?;
    link.send(&Request { id: REQUEST_ID, operation }).await?;
    loop {
        if let CoordinatorMessage::Response { id: REQUEST_ID, response } = link.receive().await? {
            return Ok(response);
        }
    }
}

/// Asks the coordinator that leads.
async fn call_leader(config: &Config, operation: Operation) -> Result<Response, OperatorError> {
    let mut coordinators = CoordinatorClient::new(
        &config.installation,
        ClientIdentity::Operator,
        config.coordinators.clone(),
        None,
    );
    let response = coordinators.call(&operation, Instant::now() + CALL_TIMEOUT).await;
    response.map_err(OperatorError::LeaderUnavailable)
}

/// The status of one coordinator.
///
/// # Errors
/// It is not reached.
pub async fn status(config: &Config, coordinator: u64) -> Result<ReplicaStatus, OperatorError> {
    match call(config, coordinator, Operation::Status).await? {
        Response::Status(status) => Ok(*status),
        other => Err(OperatorError::UnexpectedResponse { coordinator, response: Box::new(other) }),
    }
}

/// The status of each coordinator in turn, or why it is not reached.
pub async fn statuses(config: &Config) -> Vec<(u64, Result<ReplicaStatus, OperatorError>)> {
    let mut statuses = Vec::new();
    for coordinator in config.coordinators.keys() {
        statuses.push((*coordinator, status(config, *coordinator).await));
    }
    statuses
}

/// The status of the coordinator that leads; where two say so, of the one with the higher term.
///
/// # Errors
/// No coordinator leads.
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

/// Replaces a coordinator by a new one that was started with an empty store, and waits until that is done.
///
/// # Errors
/// The replacement is rejected, the leader is lost, or it takes longer than a minute; it goes on then, and may be asked for
/// again.
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

/// The state of budgets and permits.
///
/// # Errors
/// No coordinator leads.
pub async fn disruption_state(config: &Config) -> Result<DisruptionSnapshot, OperatorError> {
    // Of a state that never changed nothing is sent: it is an empty one.
    match call_leader(config, Operation::DisruptionState { known_revision: 0 }).await? {
        Response::DisruptionState { revision, state } => {
            Ok(DisruptionSnapshot { revision, state: state.map(|state| *state).unwrap_or_default() })
        }
        other => Err(OperatorError::UnexpectedLeaderResponse(Box::new(other))),
    }
}

/// Changes budgets or permits.
///
/// # Errors
/// No coordinator leads, or the change is rejected.
pub async fn change_disruption_state(
    config: &Config,
    change: DisruptionCommand,
) -> Result<DisruptionOutcome, OperatorError> {
    match call_leader(config, Operation::ChangeDisruptionState(change)).await? {
        Response::DisruptionStateChanged(DisruptionOutcome::Rejected(refusal)) => {
            Err(OperatorError::ChangeRejected(refusal))
        }
        Response::DisruptionStateChanged(outcome) => Ok(outcome),
        Response::Rejected(reason) => Err(OperatorError::Rejected(reason)),
        other => Err(OperatorError::UnexpectedLeaderResponse(Box::new(other))),
    }
}

/// Ends the running term of a lease, or the one with this token; another member gets it.
///
/// # Errors
/// No coordinator leads, or the lease has no such term.
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
