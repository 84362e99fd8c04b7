//! Capped exponential backoff with full jitter, for calls to a service that all dispatchers share.
//!
//! A service that all of them call slows down for all at once, so fixed delays keep their retries in step and an
//! overloaded service stays overloaded: each failed call costs it as much as a successful one. Here the longest delay
//! doubles with each failure, up to a cap, and each delay is drawn uniformly between zero and that, so that the
//! retries of many callers spread over the whole span.

/// Duration in microseconds.
pub type Micros = u64;

/// Number of times that the longest delay doubles, at most.
const MAX_DOUBLINGS: u32 = 32;

/// Delays between the attempts at one call.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Micros,
    cap: Micros,
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Returns a backoff with delays of up to `first` after the first failure, and of up to `cap` in the end. The seed
    /// should differ between dispatchers.
    pub fn new(first: Micros, cap: Micros, seed: u64) -> Backoff {
        Backoff { first, cap: cap.max(first), failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the delay after one more failure. It is no shorter than `retry_after`, the delay that the service
    /// requested, as far as the cap allows; the jitter is added to it.
    pub fn next_delay(&mut self, retry_after: Option<Micros>) -> Micros {
        let longest = self.first.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS)).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        retry_after.unwrap_or(0).min(self.cap).saturating_add(self.rng.u64(0..=longest))
    }

    /// Records a success: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
