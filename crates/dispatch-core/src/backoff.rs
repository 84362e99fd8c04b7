//! Capped exponential backoff with full jitter, for calls to a service that all dispatchers share.
//!
//! When such a service slows down, it does so for all dispatchers at the same time. With fixed delays their retries
//! stay synchronized and an overloaded service stays overloaded, because each failed call costs it as much as a
//! successful one. Here the maximum delay doubles with each failure, up to a cap, and each delay is drawn uniformly
//! between zero and that maximum, so that the retries of many callers spread over the whole range.

/// Duration in microseconds.
pub type Micros = u64;

/// Maximum number of times that the maximum delay doubles.
const MAX_DOUBLINGS: u32 = 32;

/// Delays between the attempts at a call.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Micros,
    cap: Micros,
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Returns a backoff whose maximum delay is `first` after the first failure and grows to `cap`. The seed should
    /// differ between dispatchers.
    pub fn new(first: Micros, cap: Micros, seed: u64) -> Backoff {
        Backoff { first, cap: cap.max(first), failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the delay after one more failure. If the service requested a delay, `retry_after`, the delay is at least
    /// that, up to the cap, and the jitter is added to it.
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
