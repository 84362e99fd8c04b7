//! Replacement of a replica by a new one.

use cluster_member::wire::{HandshakeRejection, Response};
use coordination::CommandRejection;
use coordinator::store;
use coordinator::CoordinatorError;

use crate::harness::{handshake, Cluster, TICK};

/// A replica that lost its store is replaced while the other two run. Afterwards the new replica has the full state and
/// counts for a majority.
#[test]
fn replaces_a_replica_that_lost_its_store() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    cluster.keep_alive(&[a], 3_000_000);
    let before = cluster.granted.last().copied().expect("a lease was granted");
    let leader = cluster.leader();
    let lost = (1..=3).find(|replica_id| *replica_id != leader).unwrap();
    cluster.replicas.remove(&lost);
    std::fs::remove_dir_all(cluster.store(lost)).unwrap();
    store::bootstrap_joining(&cluster.store(4), "test", 4, 104).unwrap();
    cluster.start(4);
    cluster.advance(2_000_000);
    assert_eq!(
        cluster.replicas[&4].status().applied_index,
        0,
        "the new replica received entries before it was added"
    );
    // A joining replica has no configuration, but must accept the handshakes of the replicas that will send it the log.
    // When it rejected these handshakes, a replacement between real processes never completed.
    let leader_identity = cluster.replicas[&leader].identity();
    assert_eq!(handshake(cluster.replicas.get_mut(&4).unwrap(), leader_identity), Ok(()));
    let new = cluster.replicas[&4].identity();
    assert_eq!(
        handshake(cluster.replicas.get_mut(&leader).unwrap(), new),
        Err(HandshakeRejection::UnknownReplica)
    );
    assert_eq!(cluster.replace(lost, 4), Response::Done);
    let new = cluster.replicas[&4].identity();
    assert_eq!(handshake(cluster.replicas.get_mut(&leader).unwrap(), new), Ok(()));
    let mut wanted: Vec<u64> = (1..=4).filter(|replica_id| *replica_id != lost).collect();
    cluster.advance_until_voters(&wanted);
    assert!(
        matches!(cluster.replace(lost, 5), Response::Rejected(CommandRejection::InvalidReplacement(_))),
        "a replica was replaced twice"
    );
    assert!(
        matches!(cluster.replace(leader, lost), Response::Rejected(CommandRejection::InvalidReplacement(_))),
        "a replacement used the number of a replaced replica again"
    );
    // Without the old leader, the new replica and a remaining one are the majority, and both have the committed state.
    cluster.replicas.remove(&leader);
    wanted.retain(|replica_id| *replica_id != leader);
    let b = cluster.join("b", 2);
    cluster.keep_alive(&[b], 6_000_000);
    let after = cluster.granted.last().copied().expect("a lease was granted");
    assert!(after.1 > before.1 && after.0 == b, "{before:?} {after:?}");
    // Restarts the remaining replicas from their stores: the new voters and the last token must be recovered.
    for replica_id in wanted {
        cluster.replicas.remove(&replica_id);
        cluster.start(replica_id);
    }
    let voters = cluster.voters();
    assert!(voters.contains(&4) && !voters.contains(&lost), "{voters:?}");
    let c = cluster.join("c", 3);
    cluster.keep_alive(&[c], 6_000_000);
    assert!(cluster.granted.last().is_some_and(|last| last.1 > after.1));
}

/// The leader itself is replaced: it must transfer the leadership first, and stop once it is removed.
#[test]
fn leader_transfers_leadership_before_it_is_replaced() {
    let mut cluster = Cluster::new();
    let old = cluster.leader();
    store::bootstrap_joining(&cluster.store(4), "test", 4, 104).unwrap();
    cluster.start(4);
    assert_eq!(cluster.replace(old, 4), Response::Done);
    let end = cluster.now + 10_000_000;
    while cluster.replicas.contains_key(&old) && cluster.now < end {
        cluster.now += TICK;
        let now = cluster.now;
        let mut stopped = Vec::new();
        for (replica_id, replica) in &mut cluster.replicas {
            if let Err(error) = replica.tick(now) {
                assert!(matches!(error, CoordinatorError::Replaced { .. }), "{error}");
                stopped.push(*replica_id);
            }
        }
        stopped.iter().for_each(|replica_id| drop(cluster.replicas.remove(replica_id)));
        stopped.extend(cluster.deliver_until_idle());
        assert!(stopped.iter().all(|replica_id| *replica_id == old), "{stopped:?}");
    }
    let wanted: Vec<u64> = (1..=4).filter(|replica_id| *replica_id != old).collect();
    assert!(!cluster.replicas.contains_key(&old), "the replaced leader did not stop");
    cluster.advance_until_voters(&wanted);
    let a = cluster.join("a", 1);
    cluster.keep_alive(&[a], 6_000_000);
    assert!(!cluster.granted.is_empty());
}

/// The leader is killed between two steps of a replacement: the next leader must continue at that step.
#[test]
fn next_leader_continues_a_replacement() {
    for steps in [1, 4, 8, 12, 16, 24] {
        let mut cluster = Cluster::new();
        let leader = cluster.leader();
        let old = (1..=3).find(|replica_id| *replica_id != leader).unwrap();
        cluster.replicas.remove(&old);
        store::bootstrap_joining(&cluster.store(4), "test", 4, 104).unwrap();
        cluster.start(4);
        assert_eq!(cluster.replace(old, 4), Response::Done);
        cluster.advance(steps * TICK);
        // Kills and restarts the leader. The replica to be replaced is down, so the leader is needed for a majority.
        cluster.replicas.remove(&leader);
        cluster.advance(1_000_000);
        cluster.start(leader);
        let wanted: Vec<u64> = (1..=4).filter(|replica_id| *replica_id != old).collect();
        cluster.advance_until_voters(&wanted);
    }
}
