//! Estimates of the load of workers: the slots that other dispatchers use there.
//!
//! The slots of our own attempts are counted. Those of others are observed now and then: by load reports, by the wait
//! of our jobs before they start, by rejections. Observations age and decay to the mean of the workers of that kind in
//! that zone. Times are in windows of the admission rate, which are about a running time long: within a few of them all
//! jobs at a worker have changed.

use crate::api::{LoadReport, Seconds, WorkerState};
use crate::fleet::Fleet;
use crate::run_time::CLASS_LEARNING_RATE;
use crate::worker::Worker;

/// Time constant with which an observation of a worker's load decays, in windows.
const OCCUPANCY_FADE_WINDOWS: f64 = 4.0;
/// Mean delay of a load report, in windows.
const REPORT_DELAY_WINDOWS: f64 = 0.5;
/// Learning rate of the slots of a kind, by its largest reports.
const SLOTS_LEARNING_RATE: f64 = 0.5;
/// Weight of a report; the rest is the weight of the earlier estimate, since reports are late and noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Number of observations that the initial mean of a cohort is worth.
const INITIAL_COHORT_SAMPLES: f64 = 24.0;
/// Time from send to start of a job that did not wait: round trips and a handshake.
pub(crate) const PROMPT_START: Seconds = 0.1;

/// The present, by which the age of observations is measured.
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

    /// Returns a lower bound of a worker's present capacity, as a part of its full capacity.
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
        let decay =
            (-(time.now - worker.other_slots_observed_at) / (OCCUPANCY_FADE_WINDOWS * time.window)).exp();
        cohort_mean + (worker.other_slots - cohort_mean) * decay
    }

    /// Returns the expected wait at a worker of this utilization, in running times; zero where the number of its slots
    /// was never reported.
    pub(crate) fn expected_wait(&self, worker: &Worker, utilization: f64) -> f64 {
        if self.kinds[worker.kind].slots > 0.0 {
            self.queueing_curve.mean_wait(utilization)
        } else {
            0.0
        }
    }

    /// Counts slots that our jobs take at a worker or, if negative, give back.
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

    /// Updates the estimates by a load report, if it states free slots; `job_slots` is the mean number of slots of a
    /// job. Returns the slots of jobs that wait at the worker.
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
        // A worker that holds more than its slots has a queue, unless it has room.
        let in_flight = load.in_flight.filter(|_| free < 1.0);
        let excess = in_flight.map_or(0.0, |in_flight| (in_flight * job_slots - slots).max(0.0));
        let queue = load.queue_length.unwrap_or(excess);
        let reported_others = slots - free + queue - worker.our_slots_delayed;
        let other_slots = REPORT_WEIGHT * (reported_others.max(0.0) + self.other_slots(worker, time));
        self.record_other_slots(index, other_slots, time.now);
        Some(queue.round().min(slots))
    }

    /// Raises the slots of a kind towards the most free slots that a worker of it has reported.
    fn learn_slots_of_kind(&mut self, kind: usize, free_slots: f64) {
        let kind = &mut self.kinds[kind];
        let learning_rate = if kind.slots == 0.0 { 1.0 } else { SLOTS_LEARNING_RATE };
        kind.slots += (free_slots - kind.slots).max(0.0) * learning_rate;
    }

    /// Estimates the slots of other dispatchers by the wait of one of our jobs: each slot becomes free once in a
    /// running time.
    pub(crate) fn record_wait(&mut self, index: usize, delay: Seconds, time: ObservationTime) {
        let worker = &self.workers[index];
        let waited = delay - PROMPT_START / self.warm_capacity(worker, time.now);
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
