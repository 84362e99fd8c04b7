//! Three replicas with stores and a clock of the test's own: no sockets, no real time, every message passed by hand.

use std::collections::BTreeMap;
use std::path::PathBuf;

use cluster_member::wire::{
    CoordinatorMessage, HandshakeRejection, Operation, Request, Response, StoreIdentity, SCHEMA_VERSION,
};
use coordination::{CommandOutcome, FencingToken, LeaseId, SessionId, Timing};
use coordinator::replica::{HandshakeError, Output, Replica};
use coordinator::store::{self, Store};
use coordinator::CoordinatorError;

pub const TICK: u64 = 40_000;

pub struct Cluster {
    folder: tempfile::TempDir,
    pub replicas: BTreeMap<u64, Replica>,
    pub now: u64,
    responses: Vec<Response>,
    pub granted: Vec<(SessionId, FencingToken)>,
    digests: BTreeMap<u64, u64>,
    next: u64,
}

/// What a replica says to a peer with this identity.
pub fn handshake(replica: &mut Replica, identity: StoreIdentity) -> Result<(), HandshakeRejection> {
    match replica.accept_peer(identity, SCHEMA_VERSION) {
        Ok(()) => Ok(()),
        Err(HandshakeError::Rejected(reason)) => Err(reason),
        Err(HandshakeError::Failed(error)) => panic!("{error}"),
    }
}

impl Cluster {
    pub fn new() -> Cluster {
        let mut cluster = Cluster {
            folder: tempfile::tempdir().unwrap(),
            replicas: BTreeMap::new(),
            now: 0,
            responses: Vec::new(),
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

    pub fn store(&self, coordinator: u64) -> PathBuf {
        self.folder.path().join(coordinator.to_string())
    }

    pub fn start(&mut self, coordinator: u64) {
        let (store, recovered) = Store::open(&self.store(coordinator), "test", coordinator).unwrap();
        self.next += 1;
        let mut replica =
            Replica::new(store, recovered, Timing::default(), TICK, coordinator << 32 | self.next).unwrap();
        replica.enable_digests(true);
        self.replicas.insert(coordinator, replica);
    }

    /// Lets so much time pass, and delivers every message between the keepers that are there.
    pub fn advance(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.now += TICK;
            for replica in self.replicas.values_mut() {
                replica.tick(self.now).unwrap();
            }
            self.deliver();
        }
    }

    pub fn deliver(&mut self) {
        assert!(self.deliver_until_idle().is_empty(), "a keeper was replaced");
    }

    /// Delivers all messages; returns who ended because another took its place.
    pub fn deliver_until_idle(&mut self) -> Vec<u64> {
        let mut replaced = Vec::new();
        loop {
            let mut messages = Vec::new();
            for (coordinator, replica) in &mut self.replicas {
                for output in replica.take_outputs() {
                    match output {
                        Output::SendToPeer(message) => messages.push((*coordinator, message)),
                        Output::SendToClient {
                            message: CoordinatorMessage::Response { response: answer, .. },
                            ..
                        } => self.responses.push(answer),
                        Output::Applied { index, outcome, digest, .. } => {
                            let known = self.digests.entry(index).or_insert(digest);
                            assert_eq!(*known, digest, "entry {index} at coordinator {coordinator}");
                            if let CommandOutcome::LeaseGranted { holder: owner, .. } = outcome {
                                self.granted.push((owner.session, owner.token));
                            }
                        }
                        Output::SendToClient { .. }
                        | Output::ViewChanged(_)
                        | Output::LeadershipChanged { .. } => {}
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
                    Err(CoordinatorError::Replaced { .. }) => {
                        self.replicas.remove(&to);
                        replaced.push(to);
                    }
                    Err(stop) => panic!("keeper {to}: {stop}"),
                }
            }
        }
    }

    pub fn leader(&mut self) -> u64 {
        for _ in 0..100 {
            if let Some((coordinator, _)) = self.replicas.iter().find(|(_, replica)| replica.is_leader()) {
                return *coordinator;
            }
            self.advance(TICK);
        }
        panic!("nobody leads after 4 s");
    }

    pub fn request(&mut self, operation: Operation) -> Response {
        let leader = self.leader();
        self.next += 1;
        self.responses.clear();
        let request = Request { id: self.next, operation };
        self.replicas.get_mut(&leader).unwrap().handle_request(7, request, self.now).unwrap();
        for _ in 0..20 {
            self.deliver();
            if let Some(answer) = self.responses.pop() {
                return answer;
            }
            self.advance(TICK);
        }
        panic!("no answer");
    }

    pub fn join(&mut self, name: &str, boot: u64) -> SessionId {
        let offers = vec![LeaseId::fleet("list")];
        let (zone, address) = (String::new(), String::new());
        match self.request(Operation::OpenSession {
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
    pub fn renew(&mut self, session: SessionId) -> Response {
        self.request(Operation::RenewSession { session, known_view: u64::MAX, known_members: Some(0) })
    }

    pub fn keep_alive(&mut self, sessions: &[SessionId], micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            for session in sessions {
                self.renew(*session);
            }
            self.advance(400_000);
        }
    }

    pub fn last_grant(&self) -> (SessionId, FencingToken) {
        self.granted.iter().copied().max_by_key(|grant| grant.1).unwrap()
    }
}

impl Cluster {
    pub fn voters(&mut self) -> Vec<u64> {
        let leader = self.leader();
        self.replicas[&leader].status().voters
    }

    pub fn replace(&mut self, old: u64, new: u64) -> Response {
        self.request(Operation::ReplaceReplica { old, new, address: "127.0.0.1:7104".into() })
    }

    /// Lets time pass until these vote, and nobody is being replaced.
    pub fn until_voters(&mut self, wanted: &[u64]) {
        for _ in 0..500 {
            let leader = self.leader();
            let status = self.replicas[&leader].status();
            if status.voters == wanted && status.replacement.is_none() && status.learners.is_empty() {
                return;
            }
            self.advance(TICK);
        }
        let leader = self.leader();
        panic!("{:?}", self.replicas[&leader].status());
    }
}
