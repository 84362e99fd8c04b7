//! Errors of calls on behalf of an operator.

use std::fmt;
use std::net::SocketAddr;

use cluster_member::coordinator_client::CallError;
use cluster_member::wire::{ConnectionError, Response};
use coordination::{CommandRejection, LeaseId};
use disruption_budget::Rejection;

use super::{CALL_TIMEOUT, REPLACEMENT_TIMEOUT};
use crate::display::replica_list;

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
    /// A replica sent a response that does not match the operation.
    #[error("replica {replica}: unexpected response: {}", describe(.response))]
    UnexpectedResponse {
        /// Number of the replica.
        replica: u64,
        /// Response of the replica.
        response: Box<Response>,
    },
    /// The leader sent a response that does not match the operation.
    #[error("unexpected response from the leader: {}", describe(.0))]
    UnexpectedLeaderResponse(Box<Response>),
    /// No replica leads.
    #[error("no replica leads: a majority of the replicas must run and reach each other{}", ErrorLines(.unreachable))]
    NoLeader {
        /// Errors of the replicas that are not reached.
        unreachable: Vec<OperatorError>,
    },
    /// No leading replica responds.
    #[error("{0}: a majority of the replicas must run and reach each other")]
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
    /// A replacement was not complete within the timeout. It continues; the operator may repeat the command.
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
    InProgress {
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
            ReplacementProgress::InProgress { voters, learners } => {
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

/// Describes a response for an error message.
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
struct ErrorLines<'a>(&'a [OperatorError]);

impl fmt::Display for ErrorLines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|error| write!(f, "\n  {error}"))
    }
}
