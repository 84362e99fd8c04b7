//! Keepers as values, with disks and a clock of the test's own: no sockets, no real time, every message by hand.

use std::collections::BTreeMap;
use std::path::PathBuf;

use cluster_member::wire::{Answer, Ask, Disk as Identity, FromKeeper, Request, Turned, SCHEMA};
use coordination::{DutyId, Outcome, Reason, SessionId, Times, Token};
use coordinator::replica::{Output, Replica};
use coordinator::store::{self, Store};
use coordinator::CoordinatorError;

const TICK: u64 = 40_000;

struct Cluster {
    folder: tempfile::TempDir,
    replicas: BTreeMap<u64, Replica>,
    now: u64,
    answers: Vec<Answer>,
    granted: Vec<(SessionId, Token)>,
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
            Replica::new(store, recovered, Times::default(), TICK, coordinator << 32 | self.next).unwrap();
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
                        Output::SendToClient(_, FromKeeper::Answer(_, answer)) => self.answers.push(answer),
                        Output::Applied { index, outcome, digest, .. } => {
                            let known = self.digests.entry(index).or_insert(digest);
                            assert_eq!(*known, digest, "entry {index} at coordinator {coordinator}");
                            if let Outcome::Granted(_, owner) = outcome {
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

    fn ask(&mut self, ask: Ask) -> Answer {
        let leader = self.leader();
        self.next += 1;
        self.answers.clear();
        let request = Request { id: self.next, ask };
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
        let offers = vec![DutyId::fleet("list")];
        let (zone, address) = (String::new(), String::new());
        match self.ask(Ask::Join { name: name.to_owned(), boot, zone, address, offers }) {
            Answer::Joined { session, .. } => session,
            other => panic!("{other:?}"),
        }
    }

    /// Renews a session, as of a member that has seen all that there is.
    fn renew(&mut self, session: SessionId) -> Answer {
        self.ask(Ask::Renew { session, seen: u64::MAX, roster: Some(0) })
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

    fn last_grant(&self) -> (SessionId, Token) {
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
    let lease = Times::default().lease;
    assert!(cluster.now - started > lease, "the new leader gives the running lease its full time");
    assert_eq!(cluster.last_grant().0, other);
    // The old leader comes back and agrees on the same.
    cluster.start(leader);
    cluster.live(&[other], 1_000_000);
    let now = cluster.leader();
    assert_eq!(cluster.replicas[&leader].status().duties, cluster.replicas[&now].status().duties);
}

#[test]
fn tokens_and_sessions_survive_a_restart_of_all_coordinators() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    cluster.live(&[a], 2_000_000);
    let (_, token) = cluster.last_grant();
    cluster.replicas.clear();
    (1..=3).for_each(|coordinator| cluster.start(coordinator));
    assert!(matches!(cluster.renew(a), Answer::Renewed { .. }), "the session has its full time again");
    cluster.ask(Ask::Release { duty: DutyId::fleet("list"), token: Some(token) });
    cluster.live(&[a], 2_000_000);
    assert!(cluster.last_grant().1 > token);
    let stale = cluster.ask(Ask::Release { duty: DutyId::fleet("list"), token: Some(token) });
    assert_eq!(stale, Answer::Refused(Reason::NotTheOwner));
}

#[test]
fn isolated_leader_confirms_no_renewal() {
    let mut cluster = Cluster::new();
    let a = cluster.join("a", 1);
    let leader = cluster.leader();
    let mut cut = cluster.replicas.remove(&leader).unwrap();
    let request = Request { id: 1, ask: Ask::Renew { session: a, seen: 0, roster: None } };
    cut.handle_request(7, request, cluster.now).unwrap();
    for tick in 1..100 {
        cut.tick(cluster.now + tick * TICK).unwrap();
        let said: Vec<Answer> = cut
            .take_outputs()
            .into_iter()
            .filter_map(|output| match output {
                Output::SendToClient(_, FromKeeper::Answer(_, answer)) => Some(answer),
                _ => None,
            })
            .collect();
        assert!(
            said.iter().all(|answer| matches!(answer, Answer::Busy | Answer::NotLeading { .. })),
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
        cluster.ask(Ask::Leave { session });
    }
    let leader = cluster.leader();
    let status = cluster.replicas[&leader].status();
    assert!(status.first > 3_000, "the log begins at {} of {}", status.first, status.applied);
    cluster.start(away);
    cluster.pass(2_000_000);
    let leader = cluster.leader();
    assert_eq!(cluster.replicas[&away].status().applied, cluster.replicas[&leader].status().applied);
    assert_eq!(cluster.replicas[&away].next_token(), cluster.replicas[&leader].next_token());
    // And from its own disk, after another start.
    cluster.replicas.remove(&away);
    cluster.start(away);
    assert!(cluster.replicas[&away].status().applied > 3_000);
}

#[test]
fn rejects_handshake_of_an_old_copy_of_a_store() {
    let mut cluster = Cluster::new();
    let replica = cluster.replicas.get_mut(&1).unwrap();
    let fresh = Identity { keeper: 2, disk: 102, boots: 5, term: 3 };
    assert_eq!(replica.accept_peer(fresh, SCHEMA).unwrap(), Ok(()));
    let old = Identity { boots: 4, ..fresh };
    assert_eq!(replica.accept_peer(old, SCHEMA).unwrap(), Err(Turned::OldDisk { boots: 5, term: 3 }));
    let older_term = Identity { boots: 6, term: 2, ..fresh };
    assert_eq!(replica.accept_peer(older_term, SCHEMA).unwrap(), Err(Turned::OldDisk { boots: 5, term: 3 }));
    assert_eq!(
        replica.accept_peer(Identity { disk: 999, boots: 9, ..fresh }, SCHEMA).unwrap(),
        Err(Turned::WrongDisk)
    );
    assert_eq!(replica.accept_peer(Identity { keeper: 9, ..fresh }, SCHEMA).unwrap(), Err(Turned::Stranger));
    // It knows so after a start, too.
    cluster.replicas.remove(&1);
    cluster.start(1);
    let again = cluster.replicas.get_mut(&1).unwrap().accept_peer(old, SCHEMA).unwrap();
    assert_eq!(again, Err(Turned::OldDisk { boots: 5, term: 3 }));
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
        (recovered.identity.boots, recovered.identity.disk),
        (1, 5),
        "starts that failed do not count"
    );
}

impl Cluster {
    fn voters(&mut self) -> Vec<u64> {
        let leader = self.leader();
        self.replicas[&leader].status().voters
    }

    fn replace(&mut self, old: u64, new: u64) -> Answer {
        self.ask(Ask::Replace { old, new, address: "127.0.0.1:7104".into() })
    }

    /// Lets time pass until these vote, and nobody is being replaced.
    fn until_voters(&mut self, wanted: &[u64]) {
        for _ in 0..500 {
            let leader = self.leader();
            let status = self.replicas[&leader].status();
            if status.voters == wanted && status.replacing.is_none() && status.learners.is_empty() {
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
    assert_eq!(cluster.replicas[&4].status().applied, 0, "nobody speaks to it before it is agreed on");
    // Found by processes: one that joins has to let those in that will tell it all.
    let others = cluster.replicas[&leader].identity();
    assert_eq!(cluster.replicas.get_mut(&4).unwrap().accept_peer(others, SCHEMA).unwrap(), Ok(()));
    let new = cluster.replicas[&4].identity();
    assert_eq!(
        cluster.replicas.get_mut(&leader).unwrap().accept_peer(new, SCHEMA).unwrap(),
        Err(Turned::Stranger)
    );
    assert_eq!(cluster.replace(lost, 4), Answer::Done);
    let new = cluster.replicas[&4].identity();
    assert_eq!(cluster.replicas.get_mut(&leader).unwrap().accept_peer(new, SCHEMA).unwrap(), Ok(()));
    let mut wanted: Vec<u64> = (1..=4).filter(|coordinator| *coordinator != lost).collect();
    cluster.until_voters(&wanted);
    assert!(matches!(cluster.replace(lost, 5), Answer::Refused(Reason::Keepers(_))), "it is gone already");
    assert!(matches!(cluster.replace(leader, lost), Answer::Refused(Reason::Keepers(_))), "a used number");
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
    assert_eq!(cluster.replace(old, 4), Answer::Done);
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
        assert_eq!(cluster.replace(old, 4), Answer::Done);
        cluster.pass(steps * TICK);
        // Killed and started again: with the one that lost its disk away, it is needed for a majority.
        cluster.replicas.remove(&leader);
        cluster.pass(1_000_000);
        cluster.start(leader);
        let wanted: Vec<u64> = (1..=4).filter(|coordinator| *coordinator != old).collect();
        cluster.until_voters(&wanted);
    }
}
