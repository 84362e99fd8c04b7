//! Status of a replica, for operators.

use std::collections::BTreeSet;

use cluster_member::wire::{
    CommitLatency, HolderStatus, LeaseStatus, MemberStatus, Peer, ReplacementStatus, ReplicaStarts,
    ReplicaStatus,
};
use coordination::{FencingToken, LeaseHolder, ReplicaReplacement, Session};
use raft::Storage;

use super::Replica;

impl Replica {
    /// Returns the status of this replica, with the replicated state as far as it is applied.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let raft = &self.raw_node.raft;
        let latency = |quantile| self.commit_latency.value_at_quantile(quantile);
        ReplicaStatus {
            replica_id: self.identity.replica_id,
            is_leader: self.is_leader(),
            leader_id: Some(self.leader_id).filter(|leader| *leader != 0),
            raft_term: raft.term,
            applied_index: self.state.revision(),
            committed_index: raft.raft_log.committed,
            first_log_index: self.raw_node.store().first_index().unwrap_or(0),
            start_count: self.identity.start_count,
            election_count: self.election_count,
            commit_latency: CommitLatency {
                p50_us: latency(0.5),
                p99_us: latency(0.99),
                max_us: self.commit_latency.max(),
            },
            members: self.member_statuses(),
            leases: self.lease_statuses(),
            replicas: self
                .state
                .replica_starts()
                .iter()
                .map(|(replica, starts)| ReplicaStarts { replica_id: *replica, start_count: *starts })
                .collect(),
            voters: self.voters(),
            learners: self.configuration.get_learners().to_vec(),
            replacement: self
                .state
                .replacement_in_progress()
                .map(|ReplicaReplacement { old, new }| ReplacementStatus { old, new }),
        }
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let status = |(id, session): (&_, &Session)| MemberStatus {
            session: *id,
            peer: peer(session),
            stable: session.stable,
            superseded: session.superseded,
            consecutive_short_sessions: self.state.consecutive_short_sessions(&session.name),
        };
        self.state.sessions().iter().map(status).collect()
    }

    fn lease_statuses(&self) -> Vec<LeaseStatus> {
        let holder_status = |holder: LeaseHolder| {
            let name = self.state.sessions().get(&holder.session).map(|session| session.name.clone());
            HolderStatus { member: name.unwrap_or_default(), token: holder.token }
        };
        let leases = self.state.leases().iter();
        let statuses = leases.map(|(id, lease)| LeaseStatus {
            lease: id.clone(),
            holder: lease.holder.map(holder_status),
            minimum_token: lease.minimum_token,
            fencing_revision: lease.fencing_revision,
        });
        statuses.collect()
    }

    /// Returns the voters in order; during a replacement those of both configurations.
    fn voters(&self) -> Vec<u64> {
        let voters = self.configuration.get_voters().iter().chain(self.configuration.get_voters_outgoing());
        let distinct: BTreeSet<u64> = voters.copied().collect();
        distinct.into_iter().collect()
    }

    /// Returns the fencing token of the next grant.
    #[must_use]
    pub fn next_token(&self) -> FencingToken {
        self.state.next_token()
    }
}

/// Returns name and address of a member.
pub(super) fn peer(session: &Session) -> Peer {
    Peer {
        name: session.name.clone(),
        incarnation: session.incarnation,
        zone: session.zone.clone(),
        address: session.address.clone(),
    }
}
