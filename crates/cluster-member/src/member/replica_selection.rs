//! Which replica of the coordinator a member connects to next, and after which pause.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coordination::Micros;

use crate::wire::LeaderHint;

/// The most replicas that a member knows of: those that are configured and those that came later.
const MAX_REPLICAS: usize = 32;
/// The span of the first pause, doubled for each attempt up to [`MAX_DOUBLINGS`], in microseconds.
const INITIAL_BACKOFF: Micros = 10_000;
const MAX_DOUBLINGS: u32 = 8;
/// No pause is longer than this part of a lease, since a session may be at stake.
const MAX_BACKOFF_DIVISOR: Micros = 4;

/// A replica and where it is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Replica {
    pub(super) id: u64,
    pub(super) address: SocketAddr,
}

/// The replicas that are configured, and those that came later and lead; connected to in turn.
#[derive(Debug)]
pub(super) struct ReplicaSelection {
    /// Those that came later are at the end.
    replicas: Vec<Replica>,
    current: usize,
}

impl ReplicaSelection {
    pub(super) fn new(replicas: &BTreeMap<u64, SocketAddr>, random: &mut fastrand::Rng) -> ReplicaSelection {
        let replicas: Vec<Replica> =
            replicas.iter().map(|(id, address)| Replica { id: *id, address: *address }).collect();
        let current = random.usize(..replicas.len().max(1));
        ReplicaSelection { replicas, current }
    }

    /// The replica to connect to; `None` where no replica is configured.
    pub(super) fn current(&self) -> Option<Replica> {
        self.replicas.get(self.current).copied()
    }

    /// Selects the leader if it is named and another than the current one, else the next in turn.
    pub(super) fn advance(&mut self, leader: Option<LeaderHint>) {
        let leader = leader.and_then(|leader| self.learn(leader));
        self.current = match leader {
            Some(index) if index != self.current => index,
            _ => (self.current + 1) % self.replicas.len().max(1),
        };
    }

    /// The index of a leader, after taking in its address.
    fn learn(&mut self, leader: LeaderHint) -> Option<usize> {
        let index = self.replicas.iter().position(|replica| replica.id == leader.replica_id);
        let Some(address) = leader.address else { return index };
        match index {
            Some(index) => self.replicas[index].address = address,
            None if self.replicas.len() < MAX_REPLICAS => {
                self.replicas.push(Replica { id: leader.replica_id, address });
                return Some(self.replicas.len() - 1);
            }
            None => {}
        }
        index
    }
}

/// Pauses between attempts: with full jitter, over a span that grows. The first attempts are quick, since a session may be
/// at stake, and members that lost the coordinator do not come back in step.
#[derive(Debug)]
pub(super) struct Backoff {
    max_span: Micros,
    attempts: u32,
}

impl Backoff {
    pub(super) fn new(lease: Micros) -> Backoff {
        Backoff { max_span: lease / MAX_BACKOFF_DIVISOR, attempts: 0 }
    }

    /// An attempt went well for long enough: the next pause is a short one.
    pub(super) fn reset(&mut self) {
        self.attempts = 0;
    }

    pub(super) fn next_delay(&mut self, random: &mut fastrand::Rng) -> Duration {
        self.attempts = (self.attempts + 1).min(MAX_DOUBLINGS);
        let span = (INITIAL_BACKOFF << self.attempts).min(self.max_span);
        Duration::from_micros(random.u64(1..=span))
    }
}
