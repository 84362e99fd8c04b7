//! Work that a worker in slow start tolerates, and the part of it that may be granted.

use coordination::Micros;

/// Microseconds in a second; also the divisor of parts per million.
const MILLION: u64 = 1_000_000;

/// Configuration of quotas; must be the same at all members.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaConfig {
    /// Number of slots of the smallest kind of worker.
    pub smallest_worker_slots: f64,
    /// Fraction of the tolerated work that may be granted.
    pub grantable_fraction: f64,
    /// Time to live of a grant, in microseconds.
    pub grant_ttl: Micros,
    /// Maximum time from the use of a grant until its job reaches the worker, in microseconds.
    pub delivery_timeout: Micros,
    /// Maximum difference between the rates of two clocks, in parts per million.
    pub skew_ppm: u64,
}

/// Slow-start properties of workers, as stated by the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartProfile {
    /// Fraction of its full capacity that a worker has when it starts.
    pub initial_capacity_fraction: f64,
    /// Time until a worker has its full capacity, in microseconds. The capacity grows linearly.
    pub ramp_duration: Micros,
    /// Multiple of its capacity over [`SlowStartProfile::overload_window`] above which the work makes a worker fail.
    pub overload_factor: f64,
    /// Window over which overload is measured, in microseconds.
    pub overload_window: Micros,
}

impl QuotaConfig {
    /// Returns the time for which a grant is accounted for, after which none of its work can fall into the same window
    /// as the work of a new grant.
    pub(super) fn accounting_period(&self, profile: &SlowStartProfile) -> Micros {
        let clock_drift = (self.grant_ttl * 2 * self.skew_ppm).div_ceil(MILLION) + 1;
        profile.overload_window + self.grant_ttl + clock_drift + self.delivery_timeout
    }

    /// Returns the work that a worker of this age tolerates over one overload window from all dispatchers together, in
    /// slot-seconds.
    pub fn tolerated_work(&self, profile: &SlowStartProfile, age: Micros) -> f64 {
        let ramped = (age as f64 / profile.ramp_duration.max(1) as f64).min(1.0);
        let initial = profile.initial_capacity_fraction;
        let capacity = self.smallest_worker_slots * (initial + (1.0 - initial) * ramped);
        profile.overload_factor * capacity * profile.overload_window as f64 / MILLION as f64
    }
}
