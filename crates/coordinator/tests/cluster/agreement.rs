//! Sessions, leases and tokens while coordinators are lost, restarted or cut off.

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
    let (owner, token) = cluster.last_grant();
    let other = if owner == a { b } else { a };
    let leader = cluster.leader();
    cluster.replicas.remove(&leader);
    let started = cluster.now;
    while cluster.last_grant().1 == token {
        assert!(cluster.now - started < 3_000_000, "no next owner within 3 s");
        cluster.renew(other);
        cluster.advance(TICK);
    }
    let lease = Timing::default().lease_duration;
    assert!(cluster.now - started > lease, "the new leader gives the running lease its full time");
    assert_eq!(cluster.last_grant().0, other);
    // The old leader comes back and agrees on the same.
    cluster.start(leader);
    cluster.keep_alive(&[other], 1_000_000);
    let now = cluster.leader();
    assert_eq!(cluster.replicas[&leader].status().leases, cluster.replicas[&now].status().leases);
}

#[test]
fn tokens_and_sessions_survive_a_restart_of_all_coordinators() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    cluster.keep_alive(&[a], 2_000_000);
    let (_, token) = cluster.last_grant();
    cluster.replicas.clear();
    (1..=3).for_each(|coordinator| cluster.start(coordinator));
    assert!(
        matches!(cluster.renew(a), Response::SessionRenewed { .. }),
        "the session has its full time again"
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
    let mut cut = cluster.replicas.remove(&leader).unwrap();
    let request = Request {
        id: 1,
        operation: Operation::RenewSession { session: a, known_view: 0, known_members: None },
    };
    cut.handle_request(7, request, cluster.now).unwrap();
    for tick in 1..100 {
        cut.tick(cluster.now + tick * TICK).unwrap();
        let said: Vec<Response> = cut
            .take_outputs()
            .into_iter()
            .filter_map(|output| match output {
                Output::SendToClient {
                    message: CoordinatorMessage::Response { response: answer, .. },
                    ..
                } => Some(answer),
                _ => None,
            })
            .collect();
        assert!(
            said.iter().all(|answer| matches!(answer, Response::Busy | Response::NotLeader { .. })),
            "{said:?}"
        );
        if !said.is_empty() {
            return;
        }
    }
    panic!("it never said that it cannot");
}

#[test]
fn lagging_coordinator_catches_up_from_a_snapshot_after_compaction() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let away = if leader == 3 { 2 } else { 3 };
    cluster.replicas.remove(&away);
    for round in 0..2_200u64 {
        let session = cluster.join("a", round);
        cluster.request(Operation::CloseSession { session });
    }
    let leader = cluster.leader();
    let status = cluster.replicas[&leader].status();
    assert!(
        status.first_log_index > 3_000,
        "the log begins at {} of {}",
        status.first_log_index,
        status.applied_index
    );
    cluster.start(away);
    cluster.advance(2_000_000);
    let leader = cluster.leader();
    assert_eq!(
        cluster.replicas[&away].status().applied_index,
        cluster.replicas[&leader].status().applied_index
    );
    assert_eq!(cluster.replicas[&away].next_token(), cluster.replicas[&leader].next_token());
    // And from its own disk, after another start.
    cluster.replicas.remove(&away);
    cluster.start(away);
    assert!(cluster.replicas[&away].status().applied_index > 3_000);
}

#[test]
fn rejects_handshake_of_an_old_copy_of_a_store() {
    let mut cluster = Cluster::new();
    let replica = cluster.replicas.get_mut(&1).unwrap();
    let fresh = StoreIdentity { replica_id: 2, store_id: 102, start_count: 5, raft_term: 3 };
    assert_eq!(handshake(replica, fresh), Ok(()));
    let old = StoreIdentity { start_count: 4, ..fresh };
    assert_eq!(handshake(replica, old), Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 }));
    let older_term = StoreIdentity { start_count: 6, raft_term: 2, ..fresh };
    assert_eq!(
        handshake(replica, older_term),
        Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 })
    );
    assert_eq!(
        handshake(replica, StoreIdentity { store_id: 999, start_count: 9, ..fresh }),
        Err(HandshakeRejection::StoreMismatch)
    );
    assert_eq!(
        handshake(replica, StoreIdentity { replica_id: 9, ..fresh }),
        Err(HandshakeRejection::UnknownReplica)
    );
    // It knows so after a start, too.
    cluster.replicas.remove(&1);
    cluster.start(1);
    let again = handshake(cluster.replicas.get_mut(&1).unwrap(), old);
    assert_eq!(again, Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 }));
}

#[test]
fn store_is_created_once_and_opened_only_by_its_coordinator() {
    let folder = tempfile::tempdir().unwrap();
    let store = folder.path().join("s");
    let missing = Store::open(&store, "test", 1).unwrap_err();
    assert!(matches!(missing, StoreError::Missing { .. }), "{missing}");
    assert!(missing.to_string().contains("could vote twice"), "{missing}");
    store::bootstrap(&store, "test", 1, &[1, 2, 3], 1, 5).unwrap();
    let twice = store::bootstrap(&store, "test", 1, &[1, 2, 3], 1, 5).unwrap_err();
    assert!(twice.to_string().contains("was not changed"), "{twice}");
    let other = Store::open(&store, "test", 2).unwrap_err();
    assert!(other.to_string().contains("not of replica 2"), "{other}");
    let stranger = Store::open(&store, "elsewhere", 1).unwrap_err();
    assert!(stranger.to_string().contains("elsewhere"), "{stranger}");
    let (_, recovered) = Store::open(&store, "test", 1).unwrap();
    assert_eq!(
        (recovered.identity.start_count, recovered.identity.store_id),
        (1, 5),
        "starts that failed do not count"
    );
}
