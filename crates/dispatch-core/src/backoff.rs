//! How long to wait before the next attempt at something that all dispatchers ask for: capped exponential backoff with
//! full jitter.
//!
//! A service that all of them call is slowed down by one event for all at once, so a fixed pause keeps them in step
//! and a service that is overbooked stays so: each failed call costs it as much as one that it answers. Here the
//! pauses double with each failure, up to a cap, and each is drawn evenly from nothing up to that, so that the calls
//! of many spread over the whole span.

/// A span in microseconds.
pub type Micros = u64;

/// The pauses double this often at the most.
const MAX_DOUBLINGS: u32 = 32;

/// The pauses between the attempts at one thing.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Micros,
    cap: Micros,
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Pauses of up to `first` after the first failure, in microseconds, and of up to `cap` in the end. The seed should
    /// differ between dispatchers.
    pub fn new(first: Micros, cap: Micros, seed: u64) -> Backoff {
        Backoff { first, cap: cap.max(first), failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The pause after one more failure, in microseconds. `retry_after` is what the other side asked for, where it did:
    /// no pause is shorter, as far as the cap allows, and the jitter comes on top.
    pub fn next_delay(&mut self, retry_after: Option<Micros>) -> Micros {
        let longest = self.first.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS)).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        retry_after.unwrap_or(0).min(self.cap).saturating_add(self.rng.u64(0..=longest))
    }

    /// It went well: the next failure is a first one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
