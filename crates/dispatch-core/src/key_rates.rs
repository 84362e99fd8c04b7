//! How often each affinity key is asked for.

use rustc_hash::FxHashMap;

use crate::api::Seconds;

/// How long a request for a key counts.
const MEMORY: Seconds = 10.0;

/// Requests for a key, counted at a time.
#[derive(Clone, Copy, Debug, Default)]
struct KeyCount {
    /// Number of requests; older ones count less.
    requests: f64,
    counted_at: Seconds,
}

/// How often each key was asked for of late.
#[derive(Debug, Default)]
pub(crate) struct KeyRates(FxHashMap<u64, KeyCount>);

impl KeyRates {
    /// Counts a request.
    pub(crate) fn record(&mut self, key: u64, now: Seconds) {
        let requests = 1.0 + MEMORY * self.rate(key, now);
        self.0.insert(key, KeyCount { requests, counted_at: now });
    }

    /// Requests a second for the key; older ones count less.
    pub(crate) fn rate(&self, key: u64, now: Seconds) -> f64 {
        let count = self.0.get(&key).copied().unwrap_or_default();
        count.requests * (-(now - count.counted_at) / MEMORY).exp() / MEMORY
    }

    /// Forgets keys that are not asked for any more.
    pub(crate) fn evict_old(&mut self, now: Seconds) {
        self.0.retain(|_, count| now - count.counted_at < 2.0 * MEMORY);
    }
}
