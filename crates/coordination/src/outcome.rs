//! Results of applying a command.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, LeaseHolder, LeaseId, SessionId};

/// What applying a command led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The member has a session.
    SessionOpened {
        /// The session, new or open before.
        session: SessionId,
        /// Which session of the member's name, counted from one.
        incarnation: u64,
    },
    /// The session is over.
    SessionEnded(SessionId),
    /// The session may hold leases now.
    SessionStable(SessionId),
    /// The lease has a holder.
    LeaseGranted {
        /// The lease.
        lease: LeaseId,
        /// Its holder, with the token of the new term.
        holder: LeaseHolder,
    },
    /// A term is over.
    LeaseReleased {
        /// The lease.
        lease: LeaseId,
        /// The token of the term that ended.
        token: FencingToken,
    },
    /// What a change of the disruption state led to.
    Disruption(disruption_budget::DisruptionOutcome),
    /// Recorded, or applied before.
    Acknowledged,
    /// Nothing was changed.
    Rejected(CommandRejection),
}

/// Why a command changed nothing.
///
/// Members receive these as postcard: the order of variants and fields is part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum CommandRejection {
    /// The session does not exist or has ended. The member may open a new one.
    #[error("there is no such session, or it has ended")]
    NoSuchSession,
    /// A later process of the same name has a session; the member has to stop.
    #[error("superseded by process {incarnation} of the same name")]
    Superseded {
        /// The incarnation of the later process.
        incarnation: u64,
    },
    /// The lease is held, was fenced again, or is unknown.
    #[error("the lease is not free")]
    LeaseNotFree,
    /// The term with this token is over, or never was.
    #[error("the term with this token has ended")]
    NotLeaseHolder,
    /// A limit would be exceeded; names the limit.
    #[error("limit exceeded: {0}")]
    LimitExceeded(String),
    /// The disk of a replica was already seen with more starts: it is an old copy.
    #[error("the disk is stale: it was already seen with {starts} starts")]
    StaleDisk {
        /// The highest number of starts seen.
        starts: u64,
    },
    /// The replacement of a replica is not possible; says why.
    #[error("{0}")]
    InvalidReplacement(String),
}
