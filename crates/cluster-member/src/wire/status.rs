//! The status of a replica, as operators read it. The names in JSON are a format of their own.

use coordination::{FencingToken, LeaseId, Revision, SessionId};
use serde::{Deserialize, Serialize};

/// A member as others reach it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Which process of that name.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Where it takes effects.
    pub address: String,
}

/// The status of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    #[serde(rename = "keeper")]
    pub replica_id: u64,
    /// Whether it leads.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Who leads, as far as it knows.
    #[serde(rename = "leader")]
    pub leader_id: Option<u64>,
    /// The term of Raft.
    #[serde(rename = "term")]
    pub raft_term: u64,
    /// The last entry that it applied.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// The last entry that it knows to be committed.
    #[serde(rename = "committed")]
    pub committed_index: u64,
    /// The first entry of the log that it still has.
    #[serde(rename = "first")]
    pub first_log_index: u64,
    /// How often its store was started.
    #[serde(rename = "boots")]
    pub start_count: u64,
    /// Elections that it has seen since it started.
    #[serde(rename = "elections")]
    pub election_count: u64,
    /// From a proposal to its being applied.
    #[serde(rename = "commit_us")]
    pub commit_latency: CommitLatency,
    /// The members.
    pub members: Vec<MemberStatus>,
    /// The leases.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseStatus>,
    /// The replicas, and how often each one's store was started.
    #[serde(rename = "keepers")]
    pub replicas: Vec<ReplicaStarts>,
    /// Those that vote; while one is replaced, of both configurations.
    pub voters: Vec<u64>,
    /// Those that learn and do not vote yet.
    pub learners: Vec<u64>,
    /// Who is being replaced by whom.
    #[serde(rename = "replacing")]
    pub replacement: Option<ReplacementStatus>,
}

/// Percentiles of the time from a proposal to its being applied. In JSON a list of the three.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct CommitLatency {
    /// Half of them took at most this, in microseconds.
    pub p50_us: u64,
    /// 99 of 100 took at most this, in microseconds.
    pub p99_us: u64,
    /// The longest, in microseconds.
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

/// How often a replica's store was started. In JSON a list of the two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ReplicaStarts {
    /// The replica.
    pub replica_id: u64,
    /// How often its store was started.
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

/// A replacement of a replica that is on its way. In JSON a list of the two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ReplacementStatus {
    /// The replica that goes.
    pub old: u64,
    /// The replica that comes.
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

/// A member as a replica sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its session.
    pub session: SessionId,
    /// Who it is.
    pub peer: Peer,
    /// Whether its session has lasted long enough to be granted leases.
    #[serde(rename = "settled")]
    pub stable: bool,
    /// Whether a later process of the same name is there.
    pub superseded: bool,
    /// Short sessions in a row.
    #[serde(rename = "short_lives")]
    pub consecutive_short_sessions: u8,
}

/// The holder of a lease. In JSON a list of the two.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, FencingToken)", into = "(String, FencingToken)")]
pub struct HolderStatus {
    /// The member's name.
    pub member: String,
    /// The token of the term.
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

/// A lease as a replica sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Which.
    #[serde(rename = "duty")]
    pub lease: LeaseId,
    /// Its holder, if it has one.
    #[serde(rename = "owner")]
    pub holder: Option<HolderStatus>,
    /// Lower tokens are of ended terms.
    #[serde(rename = "floor")]
    pub minimum_token: FencingToken,
    /// The entry that ended the last term.
    #[serde(rename = "fenced")]
    pub fencing_revision: Revision,
}
