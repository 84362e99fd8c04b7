//! Request rates by affinity key.

use rustc_hash::FxHashMap;

use crate::api::Seconds;

/// Time constant with which the count of requests for a key decays.
const DECAY_TIME: Seconds = 10.0;

/// Decaying count of the requests for a key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyCount {
    /// Number of requests at the time `counted_at`; older requests count less.
    requests: f64,
    counted_at: Seconds,
}

/// Recent request rates by key.
#[derive(Debug, Default)]
pub(crate) struct KeyRates(FxHashMap<u64, KeyCount>);

impl KeyRates {
    /// Counts a request for a key.
    pub(crate) fn record(&mut self, key: u64, now: Seconds) {
        let requests = 1.0 + DECAY_TIME * self.rate(key, now);
        self.0.insert(key, KeyCount { requests, counted_at: now });
    }

    /// Returns the request rate of a key, in requests per second.
    pub(crate) fn rate(&self, key: u64, now: Seconds) -> f64 {
        let count = self.0.get(&key).copied().unwrap_or_default();
        count.requests * (-(now - count.counted_at) / DECAY_TIME).exp() / DECAY_TIME
    }

    /// Removes keys without recent requests.
    pub(crate) fn evict_old(&mut self, now: Seconds) {
        self.0.retain(|_, count| now - count.counted_at < 2.0 * DECAY_TIME);
    }
}
