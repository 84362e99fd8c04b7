//! Replacing a coordinator by a new one.

use cluster_member::wire::{HandshakeRejection, Response};
use coordination::CommandRejection;
use coordinator::store;
use coordinator::CoordinatorError;

use crate::harness::{handshake, Cluster, TICK};

/// A keeper whose disk is gone is replaced while the others go on; the new one knows all, and counts.
#[test]
fn replaces_a_coordinator_that_lost_its_store() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    cluster.keep_alive(&[a], 3_000_000);
    let before = cluster.granted.last().copied().expect("an owner");
    let leader = cluster.leader();
    let lost = (1..=3).find(|coordinator| *coordinator != leader).unwrap();
    cluster.replicas.remove(&lost);
    std::fs::remove_dir_all(cluster.store(lost)).unwrap();
    store::bootstrap_joining(&cluster.store(4), "test", 4, 104).unwrap();
    cluster.start(4);
    cluster.advance(2_000_000);
    assert_eq!(cluster.replicas[&4].status().applied_index, 0, "nobody speaks to it before it is agreed on");
    // Found by processes: one that joins has to let those in that will tell it all.
    let others = cluster.replicas[&leader].identity();
    assert_eq!(handshake(cluster.replicas.get_mut(&4).unwrap(), others), Ok(()));
    let new = cluster.replicas[&4].identity();
    assert_eq!(
        handshake(cluster.replicas.get_mut(&leader).unwrap(), new),
        Err(HandshakeRejection::UnknownReplica)
    );
    assert_eq!(cluster.replace(lost, 4), Response::Done);
    let new = cluster.replicas[&4].identity();
    assert_eq!(handshake(cluster.replicas.get_mut(&leader).unwrap(), new), Ok(()));
    let mut wanted: Vec<u64> = (1..=4).filter(|coordinator| *coordinator != lost).collect();
    cluster.until_voters(&wanted);
    assert!(
        matches!(cluster.replace(lost, 5), Response::Rejected(CommandRejection::InvalidReplacement(_))),
        "it is gone already"
    );
    assert!(
        matches!(cluster.replace(leader, lost), Response::Rejected(CommandRejection::InvalidReplacement(_))),
        "a used number"
    );
    // The new one and one of the old are a majority; what was agreed is known to both.
    cluster.replicas.remove(&leader);
    wanted.retain(|coordinator| *coordinator != leader);
    let b = cluster.join("b", 2);
    cluster.keep_alive(&[b], 6_000_000);
    let after = cluster.granted.last().copied().expect("an owner");
    assert!(after.1 > before.1 && after.0 == b, "{before:?} {after:?}");
    // And after all that are left were started anew from their disks.
    for coordinator in wanted {
        cluster.replicas.remove(&coordinator);
        cluster.start(coordinator);
    }
    let voters = cluster.voters();
    assert!(voters.contains(&4) && !voters.contains(&lost), "{voters:?}");
    let c = cluster.join("c", 3);
    cluster.keep_alive(&[c], 6_000_000);
    assert!(cluster.granted.last().is_some_and(|last| last.1 > after.1));
}

/// The one that leads is replaced too: it gives the lead away first, and ends when it is out.
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
        let mut out = Vec::new();
        for (coordinator, replica) in &mut cluster.replicas {
            if let Err(stop) = replica.tick(now) {
                assert!(matches!(stop, CoordinatorError::Replaced { .. }), "{stop}");
                out.push(*coordinator);
            }
        }
        out.iter().for_each(|coordinator| drop(cluster.replicas.remove(coordinator)));
        out.extend(cluster.deliver_until_idle());
        assert!(out.iter().all(|coordinator| *coordinator == old), "{out:?}");
    }
    let wanted: Vec<u64> = (1..=4).filter(|coordinator| *coordinator != old).collect();
    assert!(!cluster.replicas.contains_key(&old), "it heard of it and did not end");
    cluster.until_voters(&wanted);
    let a = cluster.join("a", 1);
    cluster.keep_alive(&[a], 6_000_000);
    assert!(!cluster.granted.is_empty());
}

/// The leader dies between two steps of a replacement: the next one goes on where it was.
#[test]
fn next_leader_continues_a_replacement() {
    for steps in [1, 4, 8, 12, 16, 24] {
        let mut cluster = Cluster::new();
        let leader = cluster.leader();
        let old = (1..=3).find(|coordinator| *coordinator != leader).unwrap();
        cluster.replicas.remove(&old);
        store::bootstrap_joining(&cluster.store(4), "test", 4, 104).unwrap();
        cluster.start(4);
        assert_eq!(cluster.replace(old, 4), Response::Done);
        cluster.advance(steps * TICK);
        // Killed and started again: with the one that lost its disk away, it is needed for a majority.
        cluster.replicas.remove(&leader);
        cluster.advance(1_000_000);
        cluster.start(leader);
        let wanted: Vec<u64> = (1..=4).filter(|coordinator| *coordinator != old).collect();
        cluster.until_voters(&wanted);
    }
}
