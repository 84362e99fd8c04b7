//! Status of a replica, for operators. The JSON keys are a stable format and differ from the field names.

use coordination::{FencingToken, LeaseId, Revision, SessionId};
use serde::{Deserialize, Serialize};

/// Name, incarnation, zone and address of a member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the member.
    pub name: String,
    /// Incarnation of the member: the number of its process.
    pub incarnation: u64,
    /// Zone of the member.
    pub zone: String,
    /// Address at which the member receives effects.
    pub address: String,
}

/// Status of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Number of the replica.
    #[serde(rename = "keeper")]
    pub replica_id: u64,
    /// Whether the replica leads.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Number of the leader, if the replica knows one.
    #[serde(rename = "leader")]
    pub leader_id: Option<u64>,
    /// Raft term.
    #[serde(rename = "term")]
    pub raft_term: u64,
    /// Index of the last applied entry.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// Index of the last entry that the replica knows to be committed.
    #[serde(rename = "committed")]
    pub committed_index: u64,
    /// Index of the first entry that remains in the log of the replica.
    #[serde(rename = "first")]
    pub first_log_index: u64,
    /// Number of starts of the replica on its store.
    #[serde(rename = "boots")]
    pub start_count: u64,
    /// Number of elections since the process started.
    #[serde(rename = "elections")]
    pub election_count: u64,
    /// Time from a proposal until it is applied.
    #[serde(rename = "commit_us")]
    pub commit_latency: CommitLatency,
    /// Sessions of the members.
    pub members: Vec<MemberStatus>,
    /// All leases.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseStatus>,
    /// Number of starts of each replica.
    #[serde(rename = "keepers")]
    pub replicas: Vec<ReplicaStarts>,
    /// Replicas that vote; during a replacement those of both configurations.
    pub voters: Vec<u64>,
    /// Replicas that receive the log but do not vote yet.
    pub learners: Vec<u64>,
    /// Replacement in progress.
    #[serde(rename = "replacing")]
    pub replacement: Option<ReplacementStatus>,
}

/// Percentiles of the time from a proposal until it is applied. In JSON an array of the three numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct CommitLatency {
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// Maximum, in microseconds.
    pub max_us: u64,
}

impl From<(u64, u64, u64)> for CommitLatency {
    fn from((p50_us, p99_us, max_us): (u64, u64, u64)) -> CommitLatency {
        CommitLatency { p50_us, p99_us, max_us }
    }
}

impl From<CommitLatency> for (u64, u64, u64) {
    fn from(latency: CommitLatency) -> (u64, u64, u64) {
        (latency.p50_us, latency.p99_us, latency.max_us)
    }
}

/// Number of starts of a replica. In JSON an array of the two numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ReplicaStarts {
    /// Number of the replica.
    pub replica_id: u64,
    /// Number of starts of the replica on its store.
    pub start_count: u64,
}

impl From<(u64, u64)> for ReplicaStarts {
    fn from((replica_id, start_count): (u64, u64)) -> ReplicaStarts {
        ReplicaStarts { replica_id, start_count }
    }
}

impl From<ReplicaStarts> for (u64, u64) {
    fn from(starts: ReplicaStarts) -> (u64, u64) {
        (starts.replica_id, starts.start_count)
    }
}

/// Replacement in progress. In JSON an array of the two numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ReplacementStatus {
    /// Number of the replica that is retired.
    pub old: u64,
    /// Number of the replica that is added.
    pub new: u64,
}

impl From<(u64, u64)> for ReplacementStatus {
    fn from((old, new): (u64, u64)) -> ReplacementStatus {
        ReplacementStatus { old, new }
    }
}

impl From<ReplacementStatus> for (u64, u64) {
    fn from(replacement: ReplacementStatus) -> (u64, u64) {
        (replacement.old, replacement.new)
    }
}

/// Session of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the session.
    pub session: SessionId,
    /// Name and address of the member.
    pub peer: Peer,
    /// Whether the session has lasted its stability period, so that the member may be granted leases.
    #[serde(rename = "settled")]
    pub stable: bool,
    /// Whether a later process of the same name has a session.
    pub superseded: bool,
    /// Number of consecutive short sessions of the member.
    #[serde(rename = "short_lives")]
    pub consecutive_short_sessions: u8,
}

/// Holder of a lease. In JSON an array of the name and the token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, FencingToken)", into = "(String, FencingToken)")]
pub struct HolderStatus {
    /// Name of the member.
    pub member: String,
    /// Fencing token of the term.
    pub token: FencingToken,
}

impl From<(String, FencingToken)> for HolderStatus {
    fn from((member, token): (String, FencingToken)) -> HolderStatus {
        HolderStatus { member, token }
    }
}

impl From<HolderStatus> for (String, FencingToken) {
    fn from(holder: HolderStatus) -> (String, FencingToken) {
        (holder.member, holder.token)
    }
}

/// State of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Id of the lease.
    #[serde(rename = "duty")]
    pub lease: LeaseId,
    /// Holder of the lease, if there is one.
    #[serde(rename = "owner")]
    pub holder: Option<HolderStatus>,
    /// Lowest fencing token that receivers accept.
    #[serde(rename = "floor")]
    pub minimum_token: FencingToken,
    /// Position in the log at which the last term ended.
    #[serde(rename = "fenced")]
    pub fencing_revision: Revision,
}
