//! How workers are cut into sets, and how often they are probed.

use coordination::{LeaseId, LeaseScope, Micros};

/// An odd number near 2^64 divided by the golden ratio: multiplied with it, successive numbers are spread evenly.
const SPREADING_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// How workers are checked; the same at all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthCheckConfig {
    /// Into how many sets the workers are cut.
    pub set_count: u16,
    /// How many zones there are; by the settings that all dispatchers have, at the start.
    pub zone_count: u16,
    /// How often a worker is probed, in microseconds.
    pub probe_interval: Micros,
    /// After so many failures in a row a worker is reported.
    pub failure_threshold: u16,
    /// How long a report counts, in microseconds.
    pub report_ttl: Micros,
    /// A bug put in on purpose, to see that it is found.
    pub injected_bug: Option<InjectedBug>,
}

/// A bug put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// A lease holder probes as soon as its term begins.
    ProbeAtOnce,
    /// Every observer is believed, also one that may be cut off.
    TrustEveryReport,
    /// Probes are sent without a check of the lease.
    SkipLeaseCheck,
}

impl InjectedBug {
    /// The bugs by the names that settings have for them.
    pub const NAMES: [(&'static str, InjectedBug); 3] = [
        ("no-wait", InjectedBug::ProbeAtOnce),
        ("trusting", InjectedBug::TrustEveryReport),
        ("no-look", InjectedBug::SkipLeaseCheck),
    ];
}

impl HealthCheckConfig {
    /// The name of the leases. It carries how the workers are cut: members that do so in other ways do not take each
    /// other's sets for their own.
    pub fn lease_name(&self) -> String {
        format!("watch-of-{}-in-{}", self.set_count, self.zone_count)
    }

    /// The leases of all sets.
    pub fn leases(&self) -> Vec<LeaseId> {
        (0..self.set_count).map(|set| LeaseId::worker_set(&self.lease_name(), set)).collect()
    }

    /// The set that a lease is for; `None` where it is not one of [`HealthCheckConfig::leases`].
    pub fn set_of_lease(&self, lease: &LeaseId) -> Option<u16> {
        match lease.scope {
            LeaseScope::WorkerSet(set) if set < self.set_count && lease.name == self.lease_name() => {
                Some(set)
            }
            _ => None,
        }
    }

    /// The set that a worker is in; by its number and its zone's index, which are the same everywhere. The workers of a
    /// zone are in as few sets as there are for it, so that each has neighbours of its zone there: without a healthy one
    /// among them, nobody can tell a worker that fails from the path to its zone.
    pub fn set_of_worker(&self, worker: u64, zone: u32) -> u16 {
        let (sets, zones) = (u64::from(self.set_count.max(1)), u64::from(self.zone_count.max(1)));
        let sets_per_zone = (sets / zones).max(1);
        let mixed = worker.wrapping_mul(SPREADING_MULTIPLIER) >> 32;
        ((u64::from(zone) * sets_per_zone + mixed % sets_per_zone) % sets) as u16
    }
}
