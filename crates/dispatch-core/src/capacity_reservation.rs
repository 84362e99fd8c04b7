//! Capacity for large jobs: some workers are reserved for them, as many as their part of the work asks for.
//!
//! A worker starts waiting jobs in order, so a job of four slots behind small ones waits until four slots are free at
//! once, and holds up all behind it meanwhile. Where large and small jobs go to workers of their own, slots come free
//! together and nothing is held up. Dispatchers share nothing, but they see the same list: each puts them in
//! the same order, by kind and a hash of their names, and reserves every n-th, so they agree without communication, up
//! to differences in the traffic that each has seen.
//!
//! It is a preference with a price, not a partition: a small job still goes to a reserved worker when the others would keep
//! it waiting for longer than the price, and a large job to any worker that seems empty.

use crate::api::{CapacityReservation, WorkerState};
use crate::fleet::Worker;
use crate::hashing::mix_bits;

/// How quickly the parts of the work are learnt, by jobs.
const LEARNING_RATE: f64 = 1.0 / 256.0;
/// The workers are assigned anew when the part of large work has moved by this much.
const REASSIGN_THRESHOLD: f64 = 0.04;

/// A worker in the order in which workers are reserved, which is the same at every dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderedWorker {
    kind: usize,
    hash: u64,
    index: usize,
}

/// Which workers are reserved for large jobs.
#[derive(Debug, Default)]
pub(crate) struct ReservedWorkers {
    settings: Option<CapacityReservation>,
    /// Work asked for by jobs of either size, fading.
    small_work: f64,
    large_work: f64,
    /// The part of large work that the workers were assigned by.
    reserved_share: f64,
    /// By position: reserved for large jobs.
    reserved: Vec<bool>,
}

impl ReservedWorkers {
    /// None reserved yet.
    pub(crate) fn new(settings: Option<CapacityReservation>) -> ReservedWorkers {
        ReservedWorkers { settings, ..ReservedWorkers::default() }
    }

    /// Other settings hold; what was learnt of the traffic stays only if they mean the same by large.
    pub(crate) fn configure(&mut self, settings: Option<CapacityReservation>) {
        let min_slots = |settings: Option<CapacityReservation>| settings.map(|settings| settings.min_slots);
        if min_slots(settings) != min_slots(self.settings) {
            *self = ReservedWorkers::new(settings);
        }
        self.settings = settings;
    }

    fn is_large(&self, slots: f64) -> bool {
        self.settings.is_some_and(|settings| slots >= settings.min_slots)
    }

    /// A job arrived; the workers are assigned anew where its work has moved the parts by much.
    pub(crate) fn record_job(&mut self, slots: f64, work: f64, workers: &[Worker]) {
        let is_large = self.is_large(slots);
        let large_work = if is_large { work } else { 0.0 };
        let small_work = if is_large { 0.0 } else { work };
        self.large_work += LEARNING_RATE * (large_work - self.large_work);
        self.small_work += LEARNING_RATE * (small_work - self.small_work);
        if self.settings.is_some() && (self.large_share() - self.reserved_share).abs() > REASSIGN_THRESHOLD {
            self.assign(workers);
        }
    }

    /// The part of the work that large jobs ask for.
    fn large_share(&self) -> f64 {
        let all = self.large_work + self.small_work;
        if all > 0.0 {
            self.large_work / all
        } else {
            0.0
        }
    }

    /// Assigns the workers that serve: in an order that all dispatchers share, every n-th is reserved.
    pub(crate) fn assign(&mut self, workers: &[Worker]) {
        self.reserved_share = self.large_share();
        self.reserved.clear();
        self.reserved.resize(workers.len(), false);
        if self.settings.is_none() || self.reserved_share <= 0.0 {
            return;
        }
        let serving = workers.iter().enumerate().filter(|(_, worker)| worker.state == WorkerState::Serving);
        let mut order: Vec<OrderedWorker> = serving
            .map(|(index, worker)| OrderedWorker { kind: worker.kind, hash: mix_bits(worker.id.0), index })
            .collect();
        order.sort_unstable();
        // Spread over the kinds, since they differ in speed; rounding carries over from one kind to the next.
        let mut wanted = 0.0;
        for worker in order {
            wanted += self.reserved_share;
            if wanted >= 0.5 {
                self.reserved[worker.index] = true;
                wanted -= 1.0;
            }
        }
    }

    /// The price of sending a job of this size there, in waits as long as its run.
    pub(crate) fn price(&self, index: usize, slots: f64) -> f64 {
        let is_reserved = self.reserved.get(index).copied().unwrap_or(false);
        match self.settings {
            Some(settings) if is_reserved != self.is_large(slots) && self.reserved_share > 0.0 => {
                settings.price
            }
            _ => 0.0,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/capacity_reservation.rs"]
mod tests;
