//! Sessions, leases and tokens while replicas are lost, restarted or partitioned.

use cluster_member::wire::{
    CoordinatorMessage, HandshakeRejection, Operation, Request, Response, StoreIdentity,
};
use coordination::{CommandRejection, LeaseId, Timing};
use coordinator::replica::Output;
use coordinator::store::{self, Store, StoreError};

use crate::harness::{handshake, Cluster, TICK};

#[test]
fn lease_moves_when_its_holder_and_the_leader_are_lost() {
    let mut cluster = Cluster::new();
    let (a, b) = (cluster.join("a", 1), cluster.join("b", 2));
    cluster.keep_alive(&[a, b], 2_000_000);
    let (holder, token) = cluster.last_grant();
    let other = if holder == a { b } else { a };
    let leader = cluster.leader();
    cluster.replicas.remove(&leader);
    let started = cluster.now;
    while cluster.last_grant().1 == token {
        assert!(cluster.now - started < 3_000_000, "no other holder within 3 s");
        cluster.renew(other);
        cluster.advance(TICK);
    }
    let lease = Timing::default().lease_duration;
    assert!(cluster.now - started > lease, "the new leader granted the lease before its duration had passed");
    assert_eq!(cluster.last_grant().0, other);
    // The restarted old leader must have the same leases as the new one.
    cluster.start(leader);
    cluster.keep_alive(&[other], 1_000_000);
    let new_leader = cluster.leader();
    assert_eq!(cluster.replicas[&leader].status().leases, cluster.replicas[&new_leader].status().leases);
}

#[test]
fn tokens_and_sessions_survive_a_restart_of_all_replicas() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    cluster.keep_alive(&[a], 2_000_000);
    let (_, token) = cluster.last_grant();
    cluster.replicas.clear();
    (1..=3).for_each(|replica_id| cluster.start(replica_id));
    assert!(
        matches!(cluster.renew(a), Response::SessionRenewed { .. }),
        "the session did not survive the restart"
    );
    cluster.request(Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: Some(token) });
    cluster.keep_alive(&[a], 2_000_000);
    assert!(cluster.last_grant().1 > token);
    let stale =
        cluster.request(Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: Some(token) });
    assert_eq!(stale, Response::Rejected(CommandRejection::NotLeaseHolder));
}

#[test]
fn isolated_leader_confirms_no_renewal() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    let leader = cluster.leader();
    let mut isolated = cluster.replicas.remove(&leader).unwrap();
    let request = Request {
        id: 1,
        operation: Operation::RenewSession { session: a, known_view: 0, known_members: None },
    };
    isolated.handle_request(7, request, cluster.now).unwrap();
    for tick in 1..100 {
        isolated.tick(cluster.now + tick * TICK).unwrap();
        let responses: Vec<Response> = isolated
            .take_outputs()
            .into_iter()
            .filter_map(|output| match output {
                Output::SendToClient { message: CoordinatorMessage::Response { response, .. }, .. } => {
                    Some(response)
                }
                _ => None,
            })
            .collect();
        assert!(
            responses.iter().all(|response| matches!(response, Response::Busy | Response::NotLeader { .. })),
            "{responses:?}"
        );
        if !responses.is_empty() {
            return;
        }
    }
    panic!("the isolated leader did not respond");
}

#[test]
fn lagging_replica_catches_up_from_a_snapshot_after_compaction() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let lagging = if leader == 3 { 2 } else { 3 };
    cluster.replicas.remove(&lagging);
    for round in 0..2_200u64 {
        let session = cluster.join("a", round);
        cluster.request(Operation::CloseSession { session });
    }
    let leader = cluster.leader();
    let status = cluster.replicas[&leader].status();
    assert!(
        status.first_log_index > 3_000,
        "the log begins at entry {}, and entry {} is the last applied one",
        status.first_log_index,
        status.applied_index
    );
    cluster.start(lagging);
    cluster.advance(2_000_000);
    let leader = cluster.leader();
    assert_eq!(
        cluster.replicas[&lagging].status().applied_index,
        cluster.replicas[&leader].status().applied_index
    );
    assert_eq!(cluster.replicas[&lagging].next_token(), cluster.replicas[&leader].next_token());
    // Another start must recover the received state from the store.
    cluster.replicas.remove(&lagging);
    cluster.start(lagging);
    assert!(cluster.replicas[&lagging].status().applied_index > 3_000);
}

#[test]
fn rejects_handshake_of_an_old_copy_of_a_store() {
    let mut cluster = Cluster::new();
    let replica = cluster.replicas.get_mut(&1).unwrap();
    let current = StoreIdentity { replica_id: 2, store_id: 102, start_count: 5, raft_term: 3 };
    assert_eq!(handshake(replica, current), Ok(()));
    let old = StoreIdentity { start_count: 4, ..current };
    assert_eq!(handshake(replica, old), Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 }));
    let older_term = StoreIdentity { start_count: 6, raft_term: 2, ..current };
    assert_eq!(
        handshake(replica, older_term),
        Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 })
    );
    assert_eq!(
        handshake(replica, StoreIdentity { store_id: 999, start_count: 9, ..current }),
        Err(HandshakeRejection::StoreMismatch)
    );
    assert_eq!(
        handshake(replica, StoreIdentity { replica_id: 9, ..current }),
        Err(HandshakeRejection::UnknownReplica)
    );
    // The recorded identity must survive a restart.
    cluster.replicas.remove(&1);
    cluster.start(1);
    let again = handshake(cluster.replicas.get_mut(&1).unwrap(), old);
    assert_eq!(again, Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 }));
}

#[test]
fn store_is_created_once_and_opened_only_by_its_replica() {
    let directory = tempfile::tempdir().unwrap();
    let store = directory.path().join("s");
    let missing = Store::open(&store, "test", 1).unwrap_err();
    assert!(matches!(missing, StoreError::Missing { .. }), "{missing}");
    assert!(missing.to_string().contains("could vote twice"), "{missing}");
    store::bootstrap(&store, "test", 1, &[1, 2, 3], 1, 5).unwrap();
    let second = store::bootstrap(&store, "test", 1, &[1, 2, 3], 1, 5).unwrap_err();
    assert!(second.to_string().contains("was not changed"), "{second}");
    let other_replica = Store::open(&store, "test", 2).unwrap_err();
    assert!(other_replica.to_string().contains("not of replica 2"), "{other_replica}");
    let other_installation = Store::open(&store, "elsewhere", 1).unwrap_err();
    assert!(other_installation.to_string().contains("elsewhere"), "{other_installation}");
    let (_, recovered) = Store::open(&store, "test", 1).unwrap();
    assert_eq!(
        (recovered.identity.start_count, recovered.identity.store_id),
        (1, 5),
        "failed starts must not count"
    );
}
