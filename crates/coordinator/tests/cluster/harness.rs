//! Three replicas with real stores, without sockets: the test advances a simulated clock and delivers each message.

use std::collections::BTreeMap;
use std::path::PathBuf;

use cluster_member::wire::{
    CoordinatorMessage, HandshakeRejection, Operation, Request, Response, StoreIdentity, SCHEMA_VERSION,
};
use coordination::{CommandOutcome, FencingToken, LeaseId, SessionId, Timing};
use coordinator::replica::{HandshakeError, Output, Replica};
use coordinator::store::{self, Store};
use coordinator::CoordinatorError;

/// Tick interval, in microseconds.
pub const TICK: u64 = 40_000;

pub struct Cluster {
    directory: tempfile::TempDir,
    pub replicas: BTreeMap<u64, Replica>,
    pub now: u64,
    responses: Vec<Response>,
    pub granted: Vec<(SessionId, FencingToken)>,
    /// Digest of the state after each entry, which must be the same at all replicas.
    digests: BTreeMap<u64, u64>,
    last_id: u64,
}

/// Returns the result of the handshake of a peer with this identity.
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
            directory: tempfile::tempdir().unwrap(),
            replicas: BTreeMap::new(),
            now: 0,
            responses: Vec::new(),
            granted: Vec::new(),
            digests: BTreeMap::new(),
            last_id: 0,
        };
        for replica_id in 1..=3 {
            store::bootstrap(&cluster.store(replica_id), "test", replica_id, &[1, 2, 3], 1, 100 + replica_id)
                .unwrap();
            cluster.start(replica_id);
        }
        cluster
    }

    pub fn store(&self, replica_id: u64) -> PathBuf {
        self.directory.path().join(replica_id.to_string())
    }

    pub fn start(&mut self, replica_id: u64) {
        let (store, recovered) = Store::open(&self.store(replica_id), "test", replica_id).unwrap();
        self.last_id += 1;
        let mut replica =
            Replica::new(store, recovered, Timing::default(), TICK, replica_id << 32 | self.last_id).unwrap();
        replica.enable_digests(true);
        self.replicas.insert(replica_id, replica);
    }

    /// Advances the clock and delivers all messages between the running replicas.
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
        assert!(self.deliver_until_idle().is_empty(), "a replica was replaced");
    }

    /// Delivers all messages until there are none. Returns the replicas that stopped because they were replaced.
    pub fn deliver_until_idle(&mut self) -> Vec<u64> {
        let mut replaced = Vec::new();
        loop {
            let mut messages = Vec::new();
            for (replica_id, replica) in &mut self.replicas {
                for output in replica.take_outputs() {
                    match output {
                        Output::SendToPeer(message) => messages.push((*replica_id, message)),
                        Output::SendToClient {
                            message: CoordinatorMessage::Response { response, .. },
                            ..
                        } => self.responses.push(response),
                        Output::Applied { index, outcome, digest, .. } => {
                            let first = self.digests.entry(index).or_insert(digest);
                            assert_eq!(*first, digest, "entry {index} at replica {replica_id}");
                            if let CommandOutcome::LeaseGranted { holder, .. } = outcome {
                                self.granted.push((holder.session, holder.token));
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
                    Err(error) => panic!("replica {to}: {error}"),
                }
            }
        }
    }

    pub fn leader(&mut self) -> u64 {
        for _ in 0..100 {
            if let Some((replica_id, _)) = self.replicas.iter().find(|(_, replica)| replica.is_leader()) {
                return *replica_id;
            }
            self.advance(TICK);
        }
        panic!("no replica leads after 4 s");
    }

    pub fn request(&mut self, operation: Operation) -> Response {
        let leader = self.leader();
        self.last_id += 1;
        self.responses.clear();
        let request = Request { id: self.last_id, operation };
        self.replicas.get_mut(&leader).unwrap().handle_request(7, request, self.now).unwrap();
        for _ in 0..20 {
            self.deliver();
            if let Some(response) = self.responses.pop() {
                return response;
            }
            self.advance(TICK);
        }
        panic!("no response");
    }

    pub fn join(&mut self, name: &str, boot_id: u64) -> SessionId {
        let eligible_leases = vec![LeaseId::fleet("list")];
        let (zone, address) = (String::new(), String::new());
        match self.request(Operation::OpenSession {
            name: name.to_owned(),
            boot_id,
            zone,
            address,
            eligible_leases,
        }) {
            Response::SessionOpened { session, .. } => session,
            other => panic!("{other:?}"),
        }
    }

    /// Renews a session for a member that already has the latest view.
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

    /// Advances the clock until the voters are `wanted` and no replacement is in progress.
    pub fn advance_until_voters(&mut self, wanted: &[u64]) {
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
