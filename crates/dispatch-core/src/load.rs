//! Estimates of the load of workers, in particular of the slots that other dispatchers use.
//!
//! The slots of this dispatcher's own attempts are counted. The slots that other dispatchers use are only observed from
//! time to time: through load reports, through rejections, and through the wait of our own jobs before they start. An
//! observation decays to the mean of the worker's cohort. Times are measured in windows of the admission rate, each of
//! which is about a running time long, because all jobs at a worker change within a few running times.

use crate::api::{LoadReport, Seconds, WorkerState};
use crate::fleet::Fleet;
use crate::run_time::CLASS_LEARNING_RATE;
use crate::worker::Worker;

/// Time constant with which an observation of a worker's load decays, in windows.
const LOAD_DECAY_WINDOWS: f64 = 4.0;
/// Mean delay of a load report, in windows.
const REPORT_DELAY_WINDOWS: f64 = 0.5;
/// Learning rate of the number of slots of a kind, which is learned from the reports with the most free slots.
const SLOTS_LEARNING_RATE: f64 = 0.5;
/// Weight of a report; the rest is the weight of the earlier estimate, because reports are late and noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Weight of the initial mean of a cohort, in observations.
const INITIAL_COHORT_SAMPLES: f64 = 24.0;
/// Time from the send to the start of a job that does not wait at the worker: round trips and a handshake.
pub(crate) const UNQUEUED_START_DELAY: Seconds = 0.1;

/// The current time, from which the age of observations is measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservationTime {
    pub now: Seconds,
    /// Length of a window of the admission rate, about a running time.
    pub window: Seconds,
}

impl Fleet {
    /// Returns the estimated number of slots of a worker.
    pub(crate) fn slots_of(&self, worker: &Worker) -> f64 {
        self.kinds[worker.kind].slots.max(self.largest_job as f64)
    }

    /// Returns a lower bound of a worker's current capacity, as a fraction of its full capacity.
    pub(crate) fn warm_capacity(&self, worker: &Worker, now: Seconds) -> f64 {
        if worker.listed_start <= 0.0 || self.slow_start_duration <= 0.0 {
            return 1.0;
        }
        let age = ((now - worker.started_at) / self.slow_start_duration).clamp(0.0, 1.0);
        self.slow_start_min_capacity + (1.0 - self.slow_start_min_capacity) * age
    }

    /// Whether a worker serves and has started so recently that it does not have its full capacity yet.
    pub(crate) fn is_warming_up(&self, worker: &Worker, now: Seconds) -> bool {
        worker.state == WorkerState::Serving && self.warm_capacity(worker, now) < 1.0
    }

    /// Returns the slots that other dispatchers use at a worker: the last observation, decaying to the mean of the
    /// cohort.
    pub(crate) fn other_slots(&self, worker: &Worker, time: ObservationTime) -> f64 {
        let cohort_mean = self.cohorts[worker.cohort].utilization
            * self.slots_of(worker)
            * self.warm_capacity(worker, time.now);
        let decay = (-(time.now - worker.other_slots_observed_at) / (LOAD_DECAY_WINDOWS * time.window)).exp();
        cohort_mean + (worker.other_slots - cohort_mean) * decay
    }

    /// Returns the expected wait at a worker with this utilization, in running times; zero if no number of slots was
    /// reported for its kind.
    pub(crate) fn expected_wait(&self, worker: &Worker, utilization: f64) -> f64 {
        if self.kinds[worker.kind].slots > 0.0 {
            self.queueing_curve.mean_wait(utilization)
        } else {
            0.0
        }
    }

    /// Counts slots that our jobs occupy at a worker or, if negative, free.
    pub(crate) fn add_slots(&mut self, index: usize, slots: f64, time: ObservationTime) {
        self.workers[index].add_slots(slots, time.now, REPORT_DELAY_WINDOWS * time.window);
    }

    /// Records an observation of the slots that other dispatchers use or wait for at a worker.
    pub(crate) fn record_other_slots(&mut self, index: usize, slots: f64, now: Seconds) {
        let utilization = slots / self.slots_of(&self.workers[index]);
        let worker = &mut self.workers[index];
        let cohort = &mut self.cohorts[worker.cohort];
        cohort.samples += 1.0;
        let learning_rate = CLASS_LEARNING_RATE.max(1.0 / (cohort.samples + INITIAL_COHORT_SAMPLES));
        cohort.utilization += learning_rate * (utilization.min(1.0) - cohort.utilization);
        worker.other_slots = slots;
        worker.other_slots_observed_at = now;
    }

    /// Updates the estimates with a load report, if it states free slots; `job_slots` is the mean number of slots of a
    /// job. Returns the slots of the jobs that wait at the worker.
    pub(crate) fn apply_load_report(
        &mut self,
        index: usize,
        load: &LoadReport,
        job_slots: f64,
        time: ObservationTime,
    ) -> Option<f64> {
        let free_slots = load.free_slots?;
        let free = load.free_memory.map_or(free_slots, |free_memory| free_slots.min(free_memory));
        self.add_slots(index, 0.0, time);
        self.learn_slots_of_kind(self.workers[index].kind, free_slots);
        let worker = &self.workers[index];
        let slots = self.slots_of(worker);
        // If a worker has more requests than slots, the excess is queued, unless a slot is reported free.
        let in_flight = load.in_flight.filter(|_| free < 1.0);
        let excess = in_flight.map_or(0.0, |in_flight| (in_flight * job_slots - slots).max(0.0));
        let queue = load.queue_length.unwrap_or(excess);
        let reported_others = slots - free + queue - worker.our_slots_delayed;
        let other_slots = REPORT_WEIGHT * (reported_others.max(0.0) + self.other_slots(worker, time));
        self.record_other_slots(index, other_slots, time.now);
        Some(queue.round().min(slots))
    }

    /// Raises the estimated number of slots of a kind toward the number of free slots in a report, if that is higher.
    fn learn_slots_of_kind(&mut self, kind: usize, free_slots: f64) {
        let kind = &mut self.kinds[kind];
        let learning_rate = if kind.slots == 0.0 { 1.0 } else { SLOTS_LEARNING_RATE };
        kind.slots += (free_slots - kind.slots).max(0.0) * learning_rate;
    }

    /// Estimates the slots that other dispatchers use from the delay between send and start of one of our jobs, under
    /// the assumption that each slot becomes free once per running time.
    pub(crate) fn record_wait(&mut self, index: usize, delay: Seconds, time: ObservationTime) {
        let worker = &self.workers[index];
        let waited = delay - UNQUEUED_START_DELAY / self.warm_capacity(worker, time.now);
        let slots = self.slots_of(worker);
        let rest = (slots - worker.our_slots).max(0.0);
        let other_slots = if waited > 0.0 {
            rest + slots * waited / time.window
        } else {
            self.other_slots(worker, time).min(rest)
        };
        self.record_other_slots(index, other_slots, time.now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/load.rs"]
mod tests;
