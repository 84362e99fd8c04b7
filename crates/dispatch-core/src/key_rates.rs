//! Request rates by affinity key.

use rustc_hash::FxHashMap;

use crate::api::Seconds;

/// Time constant with which the count of requests for a key decays.
const DECAY_TIME: Seconds = 10.0;
/// Maximum number of keys.
const MAX_KEYS: usize = 16_384;
/// Factor that a rate must exceed the mean by, so that equal rates are not above it by rounding.
const ROUNDING_MARGIN: f64 = 1.0 + 1e-9;

/// Decaying count of the requests for a key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyCount {
    /// Number of requests at the time `counted_at`; older requests count less.
    requests: f64,
    counted_at: Seconds,
}

impl KeyCount {
    /// Returns the request rate, in requests per second.
    fn rate(&self, now: Seconds) -> f64 {
        self.requests * (-(now - self.counted_at) / DECAY_TIME).exp() / DECAY_TIME
    }
}

/// Recent request rates by key.
#[derive(Debug, Default)]
pub(crate) struct KeyRates(FxHashMap<u64, KeyCount>);

impl KeyRates {
    /// Counts a request for a key.
    pub(crate) fn record(&mut self, key: u64, now: Seconds) {
        if self.0.len() >= MAX_KEYS && !self.0.contains_key(&key) {
            self.evict_rare(now);
        }
        let requests = 1.0 + DECAY_TIME * self.rate(key, now);
        self.0.insert(key, KeyCount { requests, counted_at: now });
    }

    /// Returns the request rate of a key, in requests per second.
    pub(crate) fn rate(&self, key: u64, now: Seconds) -> f64 {
        self.0.get(&key).map_or(0.0, |count| count.rate(now))
    }

    /// Removes keys without recent requests.
    pub(crate) fn evict_old(&mut self, now: Seconds) {
        self.0.retain(|_, count| now - count.counted_at < 2.0 * DECAY_TIME);
    }

    /// Removes the keys whose rate is not above the mean, so that keys that come once cannot fill the memory.
    fn evict_rare(&mut self, now: Seconds) {
        let sum = self.0.values().map(|count| count.rate(now)).sum::<f64>();
        let limit = sum / self.0.len() as f64 * ROUNDING_MARGIN;
        self.0.retain(|_, count| count.rate(now) > limit);
    }
}
