//! Selection of the replica that a member connects to next, and the delay before it connects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coordination::Micros;

use crate::wire::LeaderHint;

/// Maximum number of replicas, both configured and learned from leader hints.
const MAX_REPLICAS: usize = 32;
/// Base of the upper bound of the delay, in microseconds: each attempt doubles the bound, at most [`MAX_DOUBLINGS`]
/// times.
const INITIAL_BACKOFF: Micros = 10_000;
/// Maximum number of times that the upper bound is doubled.
const MAX_DOUBLINGS: u32 = 8;
/// Divisor of the lease duration that gives the longest possible delay. The bound depends on the lease duration because
/// a session may expire during a delay.
const LEASE_DURATION_DIVISOR: Micros = 4;

/// Replica with its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Replica {
    pub(super) id: u64,
    pub(super) address: SocketAddr,
}

/// Round-robin selection from the configured replicas and the leaders learned from hints.
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

    /// Selects the leader if its address is known and it is not the current replica; otherwise selects the next
    /// replica.
    pub(super) fn advance(&mut self, leader: Option<LeaderHint>) {
        let leader = leader.and_then(|leader| self.update_address(leader));
        self.current = match leader {
            Some(index) if index != self.current => index,
            _ => (self.current + 1) % self.replicas.len().max(1),
        };
    }

    /// Adds a leader or updates its address, and returns its index; `None` if it is not in the list and cannot be
    /// added.
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

/// Exponential backoff with full jitter. The first retries are quick, because a session may expire. The jitter spreads
/// the reconnects of members that lost the coordinator at the same time.
#[derive(Debug)]
pub(super) struct Backoff {
    max_delay_bound: Micros,
    attempts: u32,
}

impl Backoff {
    pub(super) fn new(lease_duration: Micros) -> Backoff {
        Backoff { max_delay_bound: lease_duration / LEASE_DURATION_DIVISOR, attempts: 0 }
    }

    /// Resets the backoff after a connection that lasted long enough.
    pub(super) fn reset(&mut self) {
        self.attempts = 0;
    }

    pub(super) fn next_delay(&mut self, random: &mut fastrand::Rng) -> Duration {
        self.attempts = (self.attempts + 1).min(MAX_DOUBLINGS);
        let max_delay = (INITIAL_BACKOFF << self.attempts).min(self.max_delay_bound);
        Duration::from_micros(random.u64(1..=max_delay))
    }
}
