//! Keepers as values, with disks and a clock of the test's own: no sockets, no real time, every message by hand.

use std::collections::BTreeMap;
use std::path::PathBuf;

use cluster_member::wire::{
    CoordinatorMessage, HandshakeRejection, Operation, Request, Response, StoreIdentity, SCHEMA_VERSION,
};
use coordination::{CommandOutcome, CommandRejection, FencingToken, LeaseId, SessionId, Timing};
use coordinator::replica::{Output, Replica};
use coordinator::store::{self, Store};
use coordinator::CoordinatorError;

const TICK: u64 = 40_000;

struct Cluster {
    folder: tempfile::TempDir,
    replicas: BTreeMap<u64, Replica>,
    now: u64,
    answers: Vec<Response>,
    granted: Vec<(SessionId, FencingToken)>,
    digests: BTreeMap<u64, u64>,
    next: u64,
}

impl Cluster {
    fn new() -> Cluster {
        let mut cluster = Cluster {
            folder: tempfile::tempdir().unwrap(),
            replicas: BTreeMap::new(),
            now: 0,
            answers: Vec::new(),
            granted: Vec::new(),
            digests: BTreeMap::new(),
            next: 0,
        };
        for coordinator in 1..=3 {
            store::bootstrap(
                &cluster.store(coordinator),
                "test",
                coordinator,
                &[1, 2, 3],
                1,
                100 + coordinator,
            )
            .unwrap();
            cluster.start(coordinator);
        }
        cluster
    }

    fn store(&self, coordinator: u64) -> PathBuf {
        self.folder.path().join(coordinator.to_string())
    }

    fn start(&mut self, coordinator: u64) {
        let (store, recovered) = Store::open(&self.store(coordinator), "test", coordinator).unwrap();
        self.next += 1;
        let mut replica =
            Replica::new(store, recovered, Timing::default(), TICK, coordinator << 32 | self.next).unwrap();
        replica.enable_digests(true);
        self.replicas.insert(coordinator, replica);
    }

    /// Lets so much time pass, and delivers every message between the keepers that are there.
    fn pass(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.now += TICK;
            for replica in self.replicas.values_mut() {
                replica.tick(self.now).unwrap();
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        assert!(self.deliver_some().is_empty(), "a keeper was replaced");
    }

    /// Delivers all messages; returns who ended because another took its place.
    fn deliver_some(&mut self) -> Vec<u64> {
        let mut replaced = Vec::new();
        loop {
            let mut messages = Vec::new();
            for (coordinator, replica) in &mut self.replicas {
                for output in replica.take_outputs() {
                    match output {
                        Output::SendToPeer(message) => messages.push((*coordinator, message)),
                        Output::SendToClient(_, CoordinatorMessage::Response(_, answer)) => {
                            self.answers.push(answer)
                        }
                        Output::Applied { index, outcome, digest, .. } => {
                            let known = self.digests.entry(index).or_insert(digest);
                            assert_eq!(*known, digest, "entry {index} at coordinator {coordinator}");
                            if let CommandOutcome::LeaseGranted { holder: owner, .. } = outcome {
                                self.granted.push((owner.session, owner.token));
                            }
                        }
                        Output::SendToClient(..) | Output::ViewChanged(_) | Output::LeadershipChanged(_) => {}
                    }
                }
            }
            if messages.is_empty() {
                return replaced;
            }
            for (from, message) in messages {
                let to = message.to;
                let Some(replica) = self.replicas.get_mut(&to) else { continue };
                match replica.receive_raft_message(from, message, self.now) {
                    Ok(()) => {}
                    Err(CoordinatorError::Replaced(_)) => {
                        self.replicas.remove(&to);
                        replaced.push(to);
                    }
                    Err(stop) => panic!("keeper {to}: {stop}"),
                }
            }
        }
    }

    fn leader(&mut self) -> u64 {
        for _ in 0..100 {
            if let Some((coordinator, _)) = self.replicas.iter().find(|(_, replica)| replica.is_leader()) {
                return *coordinator;
            }
            self.pass(TICK);
        }
        panic!("nobody leads after 4 s");
    }

    fn ask(&mut self, ask: Operation) -> Response {
        let leader = self.leader();
        self.next += 1;
        self.answers.clear();
        let request = Request { id: self.next, operation: ask };
        self.replicas.get_mut(&leader).unwrap().handle_request(7, request, self.now).unwrap();
        for _ in 0..20 {
            self.deliver();
            if let Some(answer) = self.answers.pop() {
                return answer;
            }
            self.pass(TICK);
        }
        panic!("no answer");
    }

    fn join(&mut self, name: &str, boot: u64) -> SessionId {
        let offers = vec![LeaseId::fleet("list")];
        let (zone, address) = (String::new(), String::new());
        match self.ask(Operation::OpenSession {
            name: name.to_owned(),
            boot_id: boot,
            zone,
            address,
            eligible_leases: offers,
        }) {
            Response::SessionOpened { session, .. } => session,
            other => panic!("{other:?}"),
        }
    }

    /// Renews a session, as of a member that has seen all that there is.
    fn renew(&mut self, session: SessionId) -> Response {
        self.ask(Operation::RenewSession { session, known_view: u64::MAX, known_members: Some(0) })
    }

    fn live(&mut self, sessions: &[SessionId], micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            for session in sessions {
                self.renew(*session);
            }
            self.pass(400_000);
        }
    }

    fn last_grant(&self) -> (SessionId, FencingToken) {
        self.granted.iter().copied().max_by_key(|grant| grant.1).unwrap()
    }
}

#[test]
fn lease_moves_when_its_holder_and_the_leader_are_lost() {
    let mut cluster = Cluster::new();
    let (a, b) = (cluster.join("a", 1), cluster.join("b", 2));
    cluster.live(&[a, b], 2_000_000);
    let (owner, token) = cluster.last_grant();
    let other = if owner == a { b } else { a };
    let leader = cluster.leader();
    cluster.replicas.remove(&leader);
    let started = cluster.now;
    while cluster.last_grant().1 == token {
        assert!(cluster.now - started < 3_000_000, "no next owner within 3 s");
        cluster.renew(other);
        cluster.pass(TICK);
    }
    let lease = Timing::default().lease_duration;
    assert!(cluster.now - started > lease, "the new leader gives the running lease its full time");
    assert_eq!(cluster.last_grant().0, other);
    // The old leader comes back and agrees on the same.
    cluster.start(leader);
    cluster.live(&[other], 1_000_000);
    let now = cluster.leader();
    assert_eq!(cluster.replicas[&leader].status().leases, cluster.replicas[&now].status().leases);
}

#[test]
fn tokens_and_sessions_survive_a_restart_of_all_coordinators() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    cluster.live(&[a], 2_000_000);
    let (_, token) = cluster.last_grant();
    cluster.replicas.clear();
    (1..=3).for_each(|coordinator| cluster.start(coordinator));
    assert!(
        matches!(cluster.renew(a), Response::SessionRenewed { .. }),
        "the session has its full time again"
    );
    cluster.ask(Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: Some(token) });
    cluster.live(&[a], 2_000_000);
    assert!(cluster.last_grant().1 > token);
    let stale = cluster.ask(Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: Some(token) });
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
                Output::SendToClient(_, CoordinatorMessage::Response(_, answer)) => Some(answer),
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
        cluster.ask(Operation::CloseSession { session });
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
    cluster.pass(2_000_000);
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
    assert_eq!(replica.accept_peer(fresh, SCHEMA_VERSION).unwrap(), Ok(()));
    let old = StoreIdentity { start_count: 4, ..fresh };
    assert_eq!(
        replica.accept_peer(old, SCHEMA_VERSION).unwrap(),
        Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 })
    );
    let older_term = StoreIdentity { start_count: 6, raft_term: 2, ..fresh };
    assert_eq!(
        replica.accept_peer(older_term, SCHEMA_VERSION).unwrap(),
        Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 })
    );
    assert_eq!(
        replica
            .accept_peer(StoreIdentity { store_id: 999, start_count: 9, ..fresh }, SCHEMA_VERSION)
            .unwrap(),
        Err(HandshakeRejection::StoreMismatch)
    );
    assert_eq!(
        replica.accept_peer(StoreIdentity { replica_id: 9, ..fresh }, SCHEMA_VERSION).unwrap(),
        Err(HandshakeRejection::UnknownReplica)
    );
    // It knows so after a start, too.
    cluster.replicas.remove(&1);
    cluster.start(1);
    let again = cluster.replicas.get_mut(&1).unwrap().accept_peer(old, SCHEMA_VERSION).unwrap();
    assert_eq!(again, Err(HandshakeRejection::StaleStore { start_count: 5, raft_term: 3 }));
}

#[test]
fn store_is_created_once_and_opened_only_by_its_coordinator() {
    let folder = tempfile::tempdir().unwrap();
    let store = folder.path().join("s");
    let missing = Store::open(&store, "test", 1).unwrap_err();
    assert!(
        matches!(&missing, CoordinatorError::Store(why) if why.contains("could vote twice")),
        "{missing}"
    );
    store::bootstrap(&store, "test", 1, &[1, 2, 3], 1, 5).unwrap();
    let twice = store::bootstrap(&store, "test", 1, &[1, 2, 3], 1, 5).unwrap_err();
    assert!(twice.to_string().contains("left alone"), "{twice}");
    let other = Store::open(&store, "test", 2).unwrap_err();
    assert!(other.to_string().contains("not of keeper 2"), "{other}");
    let stranger = Store::open(&store, "elsewhere", 1).unwrap_err();
    assert!(stranger.to_string().contains("elsewhere"), "{stranger}");
    let (_, recovered) = Store::open(&store, "test", 1).unwrap();
    assert_eq!(
        (recovered.identity.start_count, recovered.identity.store_id),
        (1, 5),
        "starts that failed do not count"
    );
}

impl Cluster {
    fn voters(&mut self) -> Vec<u64> {
        let leader = self.leader();
        self.replicas[&leader].status().voters
    }

    fn replace(&mut self, old: u64, new: u64) -> Response {
        self.ask(Operation::ReplaceReplica { old, new, address: "127.0.0.1:7104".into() })
    }

    /// Lets time pass until these vote, and nobody is being replaced.
    fn until_voters(&mut self, wanted: &[u64]) {
        for _ in 0..500 {
            let leader = self.leader();
            let status = self.replicas[&leader].status();
            if status.voters == wanted && status.replacement.is_none() && status.learners.is_empty() {
                return;
            }
            self.pass(TICK);
        }
        let leader = self.leader();
        panic!("{:?}", self.replicas[&leader].status());
    }
}

/// A keeper whose disk is gone is replaced while the others go on; the new one knows all, and counts.
#[test]
fn replaces_a_coordinator_that_lost_its_store() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    cluster.live(&[a], 3_000_000);
    let before = cluster.granted.last().copied().expect("an owner");
    let leader = cluster.leader();
    let lost = (1..=3).find(|coordinator| *coordinator != leader).unwrap();
    cluster.replicas.remove(&lost);
    std::fs::remove_dir_all(cluster.store(lost)).unwrap();
    store::bootstrap_joining(&cluster.store(4), "test", 4, 104).unwrap();
    cluster.start(4);
    cluster.pass(2_000_000);
    assert_eq!(cluster.replicas[&4].status().applied_index, 0, "nobody speaks to it before it is agreed on");
    // Found by processes: one that joins has to let those in that will tell it all.
    let others = cluster.replicas[&leader].identity();
    assert_eq!(cluster.replicas.get_mut(&4).unwrap().accept_peer(others, SCHEMA_VERSION).unwrap(), Ok(()));
    let new = cluster.replicas[&4].identity();
    assert_eq!(
        cluster.replicas.get_mut(&leader).unwrap().accept_peer(new, SCHEMA_VERSION).unwrap(),
        Err(HandshakeRejection::UnknownReplica)
    );
    assert_eq!(cluster.replace(lost, 4), Response::Done);
    let new = cluster.replicas[&4].identity();
    assert_eq!(cluster.replicas.get_mut(&leader).unwrap().accept_peer(new, SCHEMA_VERSION).unwrap(), Ok(()));
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
    cluster.live(&[b], 6_000_000);
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
    cluster.live(&[c], 6_000_000);
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
                assert!(matches!(stop, CoordinatorError::Replaced(_)), "{stop}");
                out.push(*coordinator);
            }
        }
        out.iter().for_each(|coordinator| drop(cluster.replicas.remove(coordinator)));
        out.extend(cluster.deliver_some());
        assert!(out.iter().all(|coordinator| *coordinator == old), "{out:?}");
    }
    let wanted: Vec<u64> = (1..=4).filter(|coordinator| *coordinator != old).collect();
    assert!(!cluster.replicas.contains_key(&old), "it heard of it and did not end");
    cluster.until_voters(&wanted);
    let a = cluster.join("a", 1);
    cluster.live(&[a], 6_000_000);
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
        cluster.pass(steps * TICK);
        // Killed and started again: with the one that lost its disk away, it is needed for a majority.
        cluster.replicas.remove(&leader);
        cluster.pass(1_000_000);
        cluster.start(leader);
        let wanted: Vec<u64> = (1..=4).filter(|coordinator| *coordinator != old).collect();
        cluster.until_voters(&wanted);
    }
}
