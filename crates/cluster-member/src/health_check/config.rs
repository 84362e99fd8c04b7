//! Configuration of health checks: sets of workers, intervals and thresholds.

use coordination::{LeaseId, LeaseScope, Micros};

/// Multiplier of Fibonacci hashing: an odd number near 2^64 divided by the golden ratio.
const SPREADING_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Configuration of health checks; must be the same at all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthCheckConfig {
    /// Number of sets into which the workers are partitioned.
    pub set_count: u16,
    /// Number of zones in the settings that a dispatcher starts with; must be the same at all dispatchers.
    pub zone_count: u16,
    /// Interval between two probes of a worker, in microseconds.
    pub probe_interval: Micros,
    /// Number of consecutive failures after which a worker is reported.
    pub failure_threshold: u16,
    /// Time to live of a report, in microseconds.
    pub report_ttl: Micros,
    /// Bug that an experiment injects to test that its checker finds it.
    pub injected_bug: Option<InjectedBug>,
}

/// Bug that an experiment injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// A lease holder sends its first probes when its term begins, not one interval later.
    ProbeAtOnce,
    /// Every reported failure gives a verdict, even if the observer may be partitioned.
    TrustEveryReport,
    /// Probes are sent without checking that the lease is still held.
    SkipLeaseCheck,
}

impl InjectedBug {
    /// Returns the bug with this name in the settings.
    #[must_use]
    pub fn from_name(name: &str) -> Option<InjectedBug> {
        match name {
            "no-wait" => Some(InjectedBug::ProbeAtOnce),
            "trusting" => Some(InjectedBug::TrustEveryReport),
            "no-look" => Some(InjectedBug::SkipLeaseCheck),
            _ => None,
        }
    }
}

impl HealthCheckConfig {
    /// Returns the name of the leases. It contains the numbers of sets and zones, because members with different
    /// settings partition the workers differently and must not share leases.
    pub fn lease_name(&self) -> String {
        format!("watch-of-{}-in-{}", self.set_count, self.zone_count)
    }

    /// Returns the leases of all sets.
    pub fn leases(&self) -> Vec<LeaseId> {
        (0..self.set_count).map(|set| LeaseId::worker_set(&self.lease_name(), set)).collect()
    }

    /// Returns the set of a lease; `None` if the lease is not one of [`HealthCheckConfig::leases`].
    pub fn set_of_lease(&self, lease: &LeaseId) -> Option<u16> {
        match lease.scope {
            LeaseScope::WorkerSet(set) if set < self.set_count && lease.name == self.lease_name() => {
                Some(set)
            }
            _ => None,
        }
    }

    /// Returns the set of a worker by its number and the index of its zone, which are the same at all members. The workers
    /// of a zone are assigned to few sets, because the observer of a set needs a healthy worker of the same zone to
    /// distinguish a failing worker from a network fault.
    pub fn set_of_worker(&self, worker: u64, zone: u32) -> u16 {
        let sets = u64::from(self.set_count.max(1));
        let zones = u64::from(self.zone_count.max(1));
        let sets_per_zone = (sets / zones).max(1);
        let mixed = worker.wrapping_mul(SPREADING_MULTIPLIER) >> 32;
        let first_set_of_zone = u64::from(zone) * sets_per_zone;
        ((first_set_of_zone + mixed % sets_per_zone) % sets) as u16
    }
}
