//! Simulates many hours of a cluster in virtual time, with the same modules that the processes run. The clocks of
//! members and coordinators have different rates; messages are delayed, lost or reordered; members pause, restart or
//! are disconnected; the leader changes.
//!
//! The coordinators are a single replicated log, as Raft provides it. Raft itself is tested with replicas in the
//! package `coordinator`, and with processes by the lease harness.

mod event_queue;
mod faults;
mod simulation;

use coordination::InjectedBug;
use rayon::prelude::*;
use serde::Serialize;

use self::simulation::Simulation;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// Microseconds in an hour.
const HOUR: u64 = 3_600 * SECOND;
const MEMBERS: usize = 8;
/// Factor that spreads the seeds of successive hours over the whole range.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Sums over all simulated hours.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoakResult {
    /// Number of simulated hours.
    pub hours: f64,
    /// Number of events.
    pub events: u64,
    /// Number of lease terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
    /// Number of effects that receivers accepted.
    #[serde(rename = "taken")]
    pub effects_accepted: u64,
    /// Number of effects that receivers rejected.
    #[serde(rename = "refused")]
    pub effects_rejected: u64,
    /// Number of faults: members paused, restarted and disconnected, and changes of the leader.
    pub faults: u64,
    /// Number of effects of an ended term that were accepted.
    #[serde(rename = "late")]
    pub late_effects: u64,
    /// Number of times that a holder passed the check of its lease after a later term was granted.
    #[serde(rename = "doubly_owned")]
    pub overlapping_holders: u64,
    /// Number of effects that a receiver accepted with a lower token than an earlier one.
    #[serde(rename = "backwards")]
    pub decreasing_tokens: u64,
}

/// Formats the result for the command line, with the same names as in JSON.
impl std::fmt::Display for SoakResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hours")
            .field("hours", &self.hours)
            .field("events", &self.events)
            .field("terms", &self.lease_terms)
            .field("taken", &self.effects_accepted)
            .field("refused", &self.effects_rejected)
            .field("faults", &self.faults)
            .field("late", &self.late_effects)
            .field("doubly_owned", &self.overlapping_holders)
            .field("backwards", &self.decreasing_tokens)
            .finish()
    }
}

impl SoakResult {
    /// Whether a rule was violated.
    #[must_use]
    pub fn is_violated(&self) -> bool {
        self.late_effects + self.overlapping_holders + self.decreasing_tokens > 0
    }

    fn merge(&self, other: &SoakResult) -> SoakResult {
        SoakResult {
            hours: self.hours + other.hours,
            events: self.events + other.events,
            lease_terms: self.lease_terms + other.lease_terms,
            effects_accepted: self.effects_accepted + other.effects_accepted,
            effects_rejected: self.effects_rejected + other.effects_rejected,
            faults: self.faults + other.faults,
            late_effects: self.late_effects + other.late_effects,
            overlapping_holders: self.overlapping_holders + other.overlapping_holders,
            decreasing_tokens: self.decreasing_tokens + other.decreasing_tokens,
        }
    }
}

/// Simulates this many hours, each as a cluster of its own with its own seed. `skew_ppm` is the maximum deviation of
/// clock rates, in parts per million.
pub fn run_soak(hours: u64, seed: u64, skew_ppm: u64, injected_bug: Option<InjectedBug>) -> SoakResult {
    let run_hour = |hour: u64| {
        let seed = seed ^ hour.wrapping_mul(SEED_STEP);
        Simulation::new(seed, skew_ppm, injected_bug).run(HOUR)
    };
    let results = (0..hours).into_par_iter().map(run_hour);
    results.reduce(SoakResult::default, |total, hour| total.merge(&hour))
}
