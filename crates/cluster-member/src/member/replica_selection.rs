//! Selection of the replica that a member connects to next, and the delay before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coordination::Micros;

use crate::wire::LeaderHint;

/// Maximum number of replicas: configured ones and those learned from hints.
const MAX_REPLICAS: usize = 32;
/// Upper bound of the first delay, in microseconds, doubled for each attempt up to [`MAX_DOUBLINGS`].
const INITIAL_BACKOFF: Micros = 10_000;
const MAX_DOUBLINGS: u32 = 8;
/// Upper bound of each delay, as a divisor of the lease duration: a session may expire meanwhile.
const MAX_BACKOFF_DIVISOR: Micros = 4;

/// Replica with its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Replica {
    pub(super) id: u64,
    pub(super) address: SocketAddr,
}

/// Round-robin over the configured replicas and leaders learned from hints.
#[derive(Debug)]
pub(super) struct ReplicaSelection {
    /// Configured replicas first, then learned ones.
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

    /// Returns the replica to connect to; `None` if none is configured.
    pub(super) fn current(&self) -> Option<Replica> {
        self.replicas.get(self.current).copied()
    }

    /// Selects the leader if it is known and not the current replica, the next one in turn otherwise.
    pub(super) fn advance(&mut self, leader: Option<LeaderHint>) {
        let leader = leader.and_then(|leader| self.update_address(leader));
        self.current = match leader {
            Some(index) if index != self.current => index,
            _ => (self.current + 1) % self.replicas.len().max(1),
        };
    }

    /// Updates the address of a leader and returns its index.
    fn update_address(&mut self, leader: LeaderHint) -> Option<usize> {
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

/// Exponential backoff with full jitter: the first retries are quick, because a session may expire, and members that lost
/// the coordinator together do not reconnect together.
#[derive(Debug)]
pub(super) struct Backoff {
    max_span: Micros,
    attempts: u32,
}

impl Backoff {
    pub(super) fn new(lease_duration: Micros) -> Backoff {
        Backoff { max_span: lease_duration / MAX_BACKOFF_DIVISOR, attempts: 0 }
    }

    /// Resets the backoff after an attempt that succeeded for long enough.
    pub(super) fn reset(&mut self) {
        self.attempts = 0;
    }

    pub(super) fn next_delay(&mut self, random: &mut fastrand::Rng) -> Duration {
        self.attempts = (self.attempts + 1).min(MAX_DOUBLINGS);
        let max_delay = (INITIAL_BACKOFF << self.attempts).min(self.max_span);
        Duration::from_micros(random.u64(1..=max_delay))
    }
}
