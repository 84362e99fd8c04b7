//! Capacity reservation: some workers are reserved for large jobs, in proportion to the large jobs' share of the work.
//!
//! A worker starts queued jobs in order, so a job of four slots behind small jobs waits until four slots are free at
//! the same time, and delays all jobs behind it meanwhile. If large and small jobs go to separate workers, slots become
//! free together and no job is delayed by one of the other size. Dispatchers share no state, but they have the same
//! endpoint list: each sorts the workers in the same order, by kind and a hash of the id, and reserves every n-th. So
//! they agree without communication, except where the traffic that they have seen differs.
//!
//! The reservation is a preference with a price, not a partition: a small job still goes to a reserved worker if the
//! wait at the other workers would cost more than the price, and a large job goes to any worker that seems empty.

use crate::api::{CapacityReservation, WorkerState};
use crate::hashing::mix_bits;
use crate::worker::Worker;

/// Learning rate per job of the moving averages of small and large work.
const LEARNING_RATE: f64 = 1.0 / 256.0;
/// Change of the large jobs' share of the work at which the set of reserved workers is recomputed.
const REASSIGN_THRESHOLD: f64 = 0.04;

/// Capacity still to be reserved from which one more worker is reserved, as a fraction of a worker. One half rounds the
/// number of reserved workers to the nearest whole number.
const RESERVE_THRESHOLD: f64 = 0.5;

/// A worker in the order in which workers are reserved, which is the same at every dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderedWorker {
    kind: usize,
    hash: u64,
    index: usize,
}

/// The workers that are reserved for large jobs.
#[derive(Debug, Default)]
pub(crate) struct ReservedWorkers {
    settings: Option<CapacityReservation>,
    /// Work per arriving job that is due to small jobs, as a moving average.
    small_work: f64,
    /// Work per arriving job that is due to large jobs, as a moving average.
    large_work: f64,
    /// The large jobs' share of the work when the reserved workers were last computed.
    reserved_share: f64,
    /// Whether each worker is reserved, by its position in the fleet.
    reserved: Vec<bool>,
}

impl ReservedWorkers {
    /// Returns a reservation without workers.
    pub(crate) fn new(settings: Option<CapacityReservation>) -> ReservedWorkers {
        ReservedWorkers { settings, ..ReservedWorkers::default() }
    }

    /// Applies new settings; keeps the estimates of the traffic only if the size of a large job is unchanged.
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

    /// Counts the work of an arriving job, and recomputes the reserved workers if the share of large work has changed
    /// by more than [`REASSIGN_THRESHOLD`].
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

    /// Returns the large jobs' share of the work.
    fn large_share(&self) -> f64 {
        let all = self.large_work + self.small_work;
        if all > 0.0 {
            self.large_work / all
        } else {
            0.0
        }
    }

    /// Reserves every n-th serving worker, in an order that is the same at all dispatchers.
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
        // Sorting by kind spreads the reservation over the kinds of machines, which differ in speed. The capacity still
        // to be reserved carries over from one kind to the next.
        let mut outstanding = 0.0;
        for worker in order {
            outstanding += self.reserved_share;
            if outstanding >= RESERVE_THRESHOLD {
                self.reserved[worker.index] = true;
                outstanding -= 1.0;
            }
        }
    }

    /// Returns the price of sending a job of this size to a worker, as a multiple of its running time.
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
