//! Estimates of the load of workers: the slots that other dispatchers fill there by now.
//!
//! The slots of our own attempts are known. Those of others are observed now and then: by load reports, by how long a
//! job of ours waits before it starts, by rejections. Each observation is of a while ago and decays to the mean of the
//! workers of that kind in that zone. Spans are in windows, a window being about a running time: within a few of them
//! all that runs at a worker has changed.

use crate::api::{LoadReport, Seconds, WorkerState};
use crate::fleet::{Fleet, Worker};
use crate::run_time::CLASS_LEARNING_RATE;

/// An observation of a worker's load decays over this many windows.
const OCCUPANCY_FADE_WINDOWS: f64 = 4.0;
/// A report is late by about this part of a window.
const REPORT_DELAY_WINDOWS: f64 = 0.5;
/// Learning rate of the slots of a kind, from the largest figures seen.
const SLOTS_LEARNING_RATE: f64 = 0.5;
/// The weight of a report beside the estimate before it: it is a sample, late and noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// A cohort's mean load moves by one part in this many observations at first.
const INITIAL_COHORT_SAMPLES: f64 = 24.0;
/// A job that starts within this time of its send did not wait: round trips, and a handshake that takes work.
pub(crate) const PROMPT_START: Seconds = 0.1;

/// The present, by which observations are old.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservationTime {
    pub now: Seconds,
    /// A window of the admission rate, about a running time.
    pub window: Seconds,
}

impl Fleet {
    /// How many slots a worker has, by what was observed.
    pub(crate) fn slots_of(&self, worker: &Worker) -> f64 {
        self.kinds[worker.kind].slots.max(self.largest_job as f64)
    }

    /// Its capacity now, as a part of the full one; a lower bound.
    pub(crate) fn warm_capacity(&self, worker: &Worker, now: Seconds) -> f64 {
        if worker.listed_start <= 0.0 || self.slow_start_duration <= 0.0 {
            return 1.0;
        }
        let age = ((now - worker.started_at) / self.slow_start_duration).clamp(0.0, 1.0);
        self.slow_start_min_capacity + (1.0 - self.slow_start_min_capacity) * age
    }

    /// It serves and has started so recently that it does not have its full capacity yet.
    pub(crate) fn is_warming_up(&self, worker: &Worker, now: Seconds) -> bool {
        worker.state == WorkerState::Serving && self.warm_capacity(worker, now) < 1.0
    }

    /// Slots that other dispatchers fill there by now: the last observation, decaying to the mean of the cohort.
    pub(crate) fn other_slots(&self, worker: &Worker, time: ObservationTime) -> f64 {
        let cohort_mean = self.cohorts[worker.cohort].utilization
            * self.slots_of(worker)
            * self.warm_capacity(worker, time.now);
        let decay =
            (-(time.now - worker.other_slots_observed_at) / (OCCUPANCY_FADE_WINDOWS * time.window)).exp();
        cohort_mean + (worker.other_slots - cohort_mean) * decay
    }

    /// How long a job is expected to wait at a worker of this utilization, in running times; none where the number of its
    /// slots was never reported.
    pub(crate) fn expected_wait(&self, worker: &Worker, utilization: f64) -> f64 {
        if self.kinds[worker.kind].slots > 0.0 {
            self.queueing_curve.mean_wait(utilization)
        } else {
            0.0
        }
    }

    /// Counts slots that we take at a worker or give back.
    pub(crate) fn add_slots(&mut self, index: usize, slots: f64, time: ObservationTime) {
        self.workers[index].add_slots(slots, time.now, REPORT_DELAY_WINDOWS * time.window);
    }

    /// Takes an observation of the slots that other dispatchers fill or wait for there.
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

    /// Takes a load report, where it tells of free slots; `job_slots` is the slots of a usual job. Returns the slots that
    /// wait there.
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

    /// A job of ours waited there for so long, which shows how many slots others had: each slot comes free once in a
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
