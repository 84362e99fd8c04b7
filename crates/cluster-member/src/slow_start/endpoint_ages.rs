//! Ages of the workers by the clock of this process.

use std::collections::BTreeMap;

use coordination::Micros;

/// First observation of a worker after one of its starts.
#[derive(Debug, Clone, Copy)]
struct FirstSeen {
    /// Number that identifies the start among all starts of the worker.
    start: u64,
    at: Micros,
}

/// Ages of the workers since their first observation, which are lower bounds of the true ages and independent of wall
/// clocks.
#[derive(Debug, Clone, Default)]
pub struct EndpointAges(BTreeMap<u64, FirstSeen>);

impl EndpointAges {
    /// Sets the serving workers, each with the number that identifies its last start.
    pub fn update(&mut self, now: Micros, workers: impl Iterator<Item = (u64, u64)>) {
        let previous = std::mem::take(&mut self.0);
        for (worker, start) in workers {
            let same_start = previous.get(&worker).filter(|first_seen| first_seen.start == start);
            self.0.insert(worker, same_start.copied().unwrap_or(FirstSeen { start, at: now }));
        }
    }

    /// Returns whether any worker is younger than `than`, in microseconds.
    pub fn any_younger(&self, now: Micros, than: Micros) -> bool {
        self.ages(now).any(|(_, age)| age < than)
    }

    /// Iterates over the workers with their ages, in microseconds.
    pub fn ages(&self, now: Micros) -> impl Iterator<Item = (u64, Micros)> + '_ {
        self.0.iter().map(move |(worker, first_seen)| (*worker, now.saturating_sub(first_seen.at)))
    }
}
