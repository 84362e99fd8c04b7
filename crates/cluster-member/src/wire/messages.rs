//! Requests of members and operators, and what a replica of the coordinator sends them.

use std::net::SocketAddr;

use coordination::{ClusterView, CommandRejection, FencingToken, LeaseId, Revision, SessionId};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, DisruptionState};
use serde::{Deserialize, Serialize};

use super::{Peer, ReplicaStatus};

/// What a member or an operator requests of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// A number of the client's; the response has the same.
    pub id: u64,
    /// What is requested.
    pub operation: Operation,
}

/// What may be requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Opens a session.
    OpenSession {
        /// The member's name.
        name: String,
        /// The number that its process drew.
        boot_id: u64,
        /// Its zone.
        zone: String,
        /// Where it is reached.
        address: String,
        /// The leases that it may be granted.
        eligible_leases: Vec<LeaseId>,
    },
    /// Renews a session.
    RenewSession {
        /// Which.
        session: SessionId,
        /// The revision of the last view that was applied.
        known_view: Revision,
        /// The revision of the last list of members that is known, for those who need one.
        known_members: Option<Revision>,
    },
    /// Ends a session.
    CloseSession {
        /// Which.
        session: SessionId,
    },
    /// Ends a term of a lease.
    ReleaseLease {
        /// The lease.
        lease: LeaseId,
        /// Which term; an operator leaves it out.
        token: Option<FencingToken>,
    },
    /// Asks for the status of the replica.
    Status,
    /// Replaces a replica by a new one.
    ReplaceReplica {
        /// The one that goes.
        old: u64,
        /// The one that comes.
        new: u64,
        /// Where the new one is reached.
        address: String,
    },
    /// Asks for the disruption state, where that has changed since. Since schema version 3.
    DisruptionState {
        /// The revision up to which the client knows it.
        known_revision: Revision,
    },
    /// Changes the disruption state. Since schema version 3.
    ChangeDisruptionState(DisruptionCommand),
}

/// What a replica sends to a member or an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// The response to a request.
    Response {
        /// Id of the request.
        id: u64,
        /// The response.
        response: Response,
    },
    /// The cluster view has changed.
    ViewChanged {
        /// Session of the member that is notified.
        session: SessionId,
        /// The new view.
        view: ClusterView,
    },
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// A session was opened.
    SessionOpened {
        /// Which.
        session: SessionId,
        /// Which process of that name.
        incarnation: u64,
        /// Which lease has which holder.
        view: ClusterView,
    },
    /// The session was renewed.
    SessionRenewed {
        /// Which lease has which holder, if that is later than what was known.
        view: Option<ClusterView>,
        /// The members, if asked for and changed.
        members: Option<MemberList>,
    },
    /// It was done.
    Done,
    /// Another replica leads, this one if it is known.
    NotLeader {
        /// Its number.
        leader: Option<u64>,
        /// Where it is reached, if it came after the installation was set up: a member may not know of it.
        address: Option<String>,
    },
    /// Not now: request again.
    Busy,
    /// It was not done.
    Rejected(CommandRejection),
    /// The status of the replica.
    Status(Box<ReplicaStatus>),
    /// The disruption state.
    DisruptionState {
        /// Revision of its last change.
        revision: Revision,
        /// The state; `None` if the client has this revision.
        state: Option<Box<DisruptionState>>,
    },
    /// What became of a change of the disruption state.
    DisruptionStateChanged(DisruptionOutcome),
}

/// The members at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// The last change that it shows.
    pub revision: Revision,
    /// The members, in the order of their names.
    pub members: Vec<Peer>,
}

/// The leader that a replica names, with its address if that was sent and can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderHint {
    /// Its number.
    pub replica_id: u64,
    /// Where it is reached.
    pub address: Option<SocketAddr>,
}

impl LeaderHint {
    /// Reads the fields of [`Response::NotLeader`]; `None` where no leader is known.
    pub fn new(leader: Option<u64>, address: Option<&str>) -> Option<LeaderHint> {
        let address = address.and_then(|address| address.parse().ok());
        leader.map(|replica_id| LeaderHint { replica_id, address })
    }
}
