//! Requests of members and operators to a replica, and the messages that a replica sends them.

use std::net::SocketAddr;

use coordination::{ClusterView, CommandRejection, FencingToken, LeaseId, Revision, SessionId};
use disruption_budget::{DisruptionCommand, DisruptionOutcome, DisruptionState};
use serde::{Deserialize, Serialize};

use super::{Peer, ReplicaStatus};

/// Request of a member or an operator to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Id chosen by the client, repeated in the response.
    pub id: u64,
    /// Requested operation.
    pub operation: Operation,
}

/// Operation of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Opens a session.
    OpenSession {
        /// Name of the member.
        name: String,
        /// Random number that the member's process draws when it starts.
        boot_id: u64,
        /// Zone of the member.
        zone: String,
        /// Address at which the member receives effects of other members.
        address: String,
        /// Leases that the member may be granted.
        eligible_leases: Vec<LeaseId>,
    },
    /// Renews a session.
    RenewSession {
        /// Session to renew.
        session: SessionId,
        /// Revision of the last cluster view that the member applied.
        known_view: Revision,
        /// Revision of the member list that the member has; `None` if it needs no list.
        known_members: Option<Revision>,
    },
    /// Ends a session.
    CloseSession {
        /// Session to end.
        session: SessionId,
    },
    /// Ends a term of a lease.
    ReleaseLease {
        /// Lease to release.
        lease: LeaseId,
        /// Fencing token of the term; `None`, as operators send it, for the present term.
        token: Option<FencingToken>,
    },
    /// Requests the status of the replica.
    Status,
    /// Replaces a replica with a new one.
    ReplaceReplica {
        /// Number of the replica to retire.
        old: u64,
        /// Number of the replica to add.
        new: u64,
        /// Address of the new replica.
        address: String,
    },
    /// Requests the disruption state if it has changed. Since schema version 3.
    DisruptionState {
        /// Revision of the disruption state that the client has.
        known_revision: Revision,
    },
    /// Changes the disruption state. Since schema version 3.
    ChangeDisruptionState(DisruptionCommand),
}

/// Message of a replica to a member or an operator.
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
        /// Session of the notified member.
        session: SessionId,
        /// The new view.
        view: ClusterView,
    },
}

/// Response to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// A session was opened.
    SessionOpened {
        /// Id of the session.
        session: SessionId,
        /// Incarnation of the member: the number of its process.
        incarnation: u64,
        /// Holders of all leases.
        view: ClusterView,
    },
    /// The session was renewed.
    SessionRenewed {
        /// Holders of all leases; `None` if the member has the latest view.
        view: Option<ClusterView>,
        /// Member list; `None` if it was not requested or has not changed.
        members: Option<MemberList>,
    },
    /// The operation was carried out.
    Done,
    /// Another replica leads.
    NotLeader {
        /// Number of the leader; `None` if there is none.
        leader: Option<u64>,
        /// Address of a leader that was added after the installation was set up and may be missing in the settings of
        /// members.
        address: Option<String>,
    },
    /// The replica cannot carry out the operation now. A retry may succeed.
    Busy,
    /// The operation was rejected.
    Rejected(CommandRejection),
    /// Status of the replica.
    Status(Box<ReplicaStatus>),
    /// The disruption state.
    DisruptionState {
        /// Revision of its last change.
        revision: Revision,
        /// The state; `None` if the client has this revision.
        state: Option<Box<DisruptionState>>,
    },
    /// Outcome of a change of the disruption state.
    DisruptionStateChanged(DisruptionOutcome),
}

/// Members of the cluster at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Revision of the last change.
    pub revision: Revision,
    /// Members, sorted by name.
    pub members: Vec<Peer>,
}

/// Leader named by a replica that does not lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderHint {
    /// Number of the leader.
    pub replica_id: u64,
    /// Address of the leader, if one was sent and is valid.
    pub address: Option<SocketAddr>,
}

impl LeaderHint {
    /// Converts the fields of [`Response::NotLeader`]; returns `None` if they name no leader.
    pub fn new(leader: Option<u64>, address: Option<&str>) -> Option<LeaderHint> {
        let address = address.and_then(|address| address.parse().ok());
        leader.map(|replica_id| LeaderHint { replica_id, address })
    }
}
