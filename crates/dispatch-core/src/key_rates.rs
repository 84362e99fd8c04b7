//! How often each affinity key is asked for.

use rustc_hash::FxHashMap;

use crate::api::Seconds;

/// How long a request for a key counts.
const MEMORY: Seconds = 10.0;

/// How often each key was asked for of late, and when that was counted.
#[derive(Debug, Default)]
pub(crate) struct KeyRates(FxHashMap<u64, (f64, Seconds)>);

impl KeyRates {
    /// Counts a request.
    pub(crate) fn record(&mut self, key: u64, now: Seconds) {
        let count = 1.0 + MEMORY * self.rate(key, now);
        self.0.insert(key, (count, now));
    }

    /// Requests a second for the key; older ones count less.
    pub(crate) fn rate(&self, key: u64, now: Seconds) -> f64 {
        let (count, counted_at) = self.0.get(&key).copied().unwrap_or_default();
        count * (-(now - counted_at) / MEMORY).exp() / MEMORY
    }

    /// Forgets keys that are not asked for any more.
    pub(crate) fn evict_old(&mut self, now: Seconds) {
        self.0.retain(|_, (_, counted_at)| now - *counted_at < 2.0 * MEMORY);
    }
}
