//! Many hours of a cluster in virtual time, on the modules that the processes run: members and coordinators with clocks of
//! different rates; messages that are delayed, lost or reordered; members that pause, restart or are disconnected; changes
//! of the leader.
//!
//! The coordinators are one log here, as Raft gives it; Raft itself is tested with replicas and by the harness.

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
/// Factor that spreads the seeds of successive hours over all values.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Result of many hours.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoakResult {
    /// Virtual hours.
    pub hours: f64,
    /// Events.
    pub events: u64,
    /// Lease terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
    /// Effects that receivers accepted.
    #[serde(rename = "taken")]
    pub effects_accepted: u64,
    /// Effects that receivers rejected.
    #[serde(rename = "refused")]
    pub effects_rejected: u64,
    /// Faults: members paused, restarted and disconnected, and changes of the leader.
    pub faults: u64,
    /// Effects of an ended term that were accepted.
    #[serde(rename = "late")]
    pub late_effects: u64,
    /// Checks by which a holder was allowed to act after a later term was granted.
    #[serde(rename = "doubly_owned")]
    pub overlapping_holders: u64,
    /// Effects accepted with a lower token than one before at the same receiver.
    #[serde(rename = "backwards")]
    pub decreasing_tokens: u64,
}

/// The form that the command line prints, with the names of the JSON form.
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

/// Runs a cluster for each of so many hours, each with a seed of its own. `skew_ppm` is the largest deviation of clock rates.
pub fn run_soak(hours: u64, seed: u64, skew_ppm: u64, injected_bug: Option<InjectedBug>) -> SoakResult {
    let run_hour = |hour: u64| {
        let seed = seed ^ hour.wrapping_mul(SEED_STEP);
        Simulation::new(seed, skew_ppm, injected_bug).run(HOUR)
    };
    let results = (0..hours).into_par_iter().map(run_hour);
    results.reduce(SoakResult::default, |total, hour| total.merge(&hour))
}
