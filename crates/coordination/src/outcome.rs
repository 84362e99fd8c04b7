//! Outcomes of commands and reasons for rejection.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, LeaseHolder, LeaseId, SessionId};

/// Outcome of applying a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The member has a session.
    SessionOpened {
        /// The session, new or already open.
        session: SessionId,
        /// Number of the session among all sessions of the member's name, starting at 1.
        incarnation: u64,
    },
    /// The session has ended.
    SessionEnded(SessionId),
    /// The session may hold leases now.
    SessionStable(SessionId),
    /// The lease was granted.
    LeaseGranted {
        /// The lease.
        lease: LeaseId,
        /// The holder, with the token of the new term.
        holder: LeaseHolder,
    },
    /// The term of a lease has ended.
    LeaseReleased {
        /// The lease.
        lease: LeaseId,
        /// Token of the term that ended.
        token: FencingToken,
    },
    /// Outcome of a change of the disruption state.
    Disruption(disruption_budget::DisruptionOutcome),
    /// The command was recorded, or its log entry was applied before.
    Acknowledged,
    /// The command changed nothing.
    Rejected(CommandRejection),
}

/// Reason why a command changed nothing.
///
/// Members receive these as postcard: the order of variants and fields is part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum CommandRejection {
    /// The session does not exist or has ended. The member may open a new one.
    #[error("there is no such session, or it has ended")]
    NoSuchSession,
    /// A later process of the same name has a session; the member must stop.
    #[error("superseded by process {incarnation} of the same name")]
    Superseded {
        /// Incarnation of the latest session of the name.
        incarnation: u64,
    },
    /// The lease is held, was fenced again, or is unknown.
    #[error("the lease is not free")]
    LeaseNotFree,
    /// The term with this token has ended, or the lease never had one.
    #[error("the term with this token has ended")]
    NotLeaseHolder,
    /// A limit would be exceeded; the text names it.
    #[error("limit exceeded: {0}")]
    LimitExceeded(String),
    /// The store of a replica has a lower start count than was recorded for it, so it is an old copy.
    #[error("the store is an old copy: its recorded start count is already {starts}")]
    StaleStore {
        /// Highest recorded start count of the replica's store.
        starts: u64,
    },
    /// The replacement of a replica is not possible; the text gives the reason.
    #[error("{0}")]
    InvalidReplacement(String),
}
