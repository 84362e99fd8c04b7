//! What a worker in slow start tolerates, and which part of that may be granted.

use coordination::Micros;

/// Microseconds in a second; also the parts in a whole that clock rates are stated in.
const MILLION: u64 = 1_000_000;

/// What is granted and how; the same at all members.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaConfig {
    /// Slots of the smallest kind of worker.
    pub smallest_worker_slots: f64,
    /// The fraction of what a worker in slow start tolerates that may be granted.
    pub grantable_fraction: f64,
    /// How long a grant may be used, in microseconds.
    pub grant_ttl: Micros,
    /// How long after its grant was spent a job may reach its worker, in microseconds.
    pub delivery_timeout: Micros,
    /// The most by which two clocks' rates differ, in parts of a million.
    pub skew_ppm: u64,
}

/// What the platform states of workers that started lately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartProfile {
    /// The fraction of its capacity that a worker has when it starts.
    pub initial_capacity_fraction: f64,
    /// The time after which it has all of its capacity, in microseconds; until then it grows evenly.
    pub ramp_duration: Micros,
    /// A worker fails when it is sent more than this many times what it can do ...
    pub overload_factor: f64,
    /// ... over this window, in microseconds.
    pub overload_window: Micros,
}

impl QuotaConfig {
    /// How long a grant counts: until nothing that it allowed can meet another grant in one window.
    pub(super) fn accounting_period(&self, profile: &SlowStartProfile) -> Micros {
        let clock_drift = (self.grant_ttl * 2 * self.skew_ppm).div_ceil(MILLION) + 1;
        profile.overload_window + self.grant_ttl + clock_drift + self.delivery_timeout
    }

    /// The work that a worker of this age tolerates over one overload window, from all dispatchers together, in slots by
    /// seconds.
    pub fn tolerated_work(&self, profile: &SlowStartProfile, age: Micros) -> f64 {
        let ramped = (age as f64 / profile.ramp_duration.max(1) as f64).min(1.0);
        let initial = profile.initial_capacity_fraction;
        let capacity = self.smallest_worker_slots * (initial + (1.0 - initial) * ramped);
        profile.overload_factor * capacity * profile.overload_window as f64 / MILLION as f64
    }
}
