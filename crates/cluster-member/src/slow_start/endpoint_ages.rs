//! How long each worker has been known, by this process's clock.

use std::collections::BTreeMap;

use coordination::Micros;

/// When a start of a worker was first seen.
#[derive(Debug, Clone, Copy)]
struct FirstSeen {
    /// Tells this start from others of the worker.
    start: u64,
    at: Micros,
}

/// Since when each worker is known: a lower bound of its age that no wall clock moves.
#[derive(Debug, Clone, Default)]
pub struct EndpointAges(BTreeMap<u64, FirstSeen>);

impl EndpointAges {
    /// Takes in the workers that serve, each with a figure that changes with every start of it.
    pub fn update(&mut self, now: Micros, workers: impl Iterator<Item = (u64, u64)>) {
        let before = std::mem::take(&mut self.0);
        for (worker, start) in workers {
            let known = before.get(&worker).filter(|known| known.start == start);
            self.0.insert(worker, known.copied().unwrap_or(FirstSeen { start, at: now }));
        }
    }

    /// Whether a worker has been known for less than this.
    pub fn any_younger(&self, now: Micros, than: Micros) -> bool {
        self.ages(now).any(|(_, age)| age < than)
    }

    /// Each worker with how long it has been known, in microseconds.
    pub fn ages(&self, now: Micros) -> impl Iterator<Item = (u64, Micros)> + '_ {
        self.0.iter().map(move |(worker, first)| (*worker, now.saturating_sub(first.at)))
    }
}
