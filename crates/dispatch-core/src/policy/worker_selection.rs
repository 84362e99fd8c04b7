//! **Worker selection.** Considers for a job, in this order: recently probed workers, the homes of its
//! affinity key, workers in slow start, and a sample of each zone, starting with the zone of this dispatcher.

use super::Dispatcher;
use crate::api::{Idempotency, LoadReports, WorkerState};
use crate::job::{Candidate, Job};
use crate::worker::Worker;

/// Maximum number of workers considered in one step of the selection.
pub(super) const MAX_SAMPLE: usize = 6;
/// Minimum number of workers considered in a zone if loads are reported. It is small, because all dispatchers
/// see the same old reports: the more workers each considers, the more of them choose the same worker.
const MIN_SAMPLE: usize = 2;
/// Number of samples per serving worker, over all dispatchers.
const SAMPLES_PER_WORKER: usize = 2;
/// Number of workers on the ring that are the homes of a key.
const KEY_HOMES: usize = 3;
/// Number of further homes of a key, per worker that the jobs of the key could keep busy.
const KEY_SPREAD: f64 = 0.3;
/// Maximum random increase of a cost, as a fraction of it, so that workers of equal cost take turns.
const COST_JITTER: f64 = 0.01;

fn has_free_slot(best: Option<Candidate>) -> bool {
    best.is_some_and(|best| best.has_free_slot)
}

impl Dispatcher {
    /// Returns the best of a sample of workers for the job.
    pub(super) fn choose_worker(&mut self, job: &Job) -> Option<Candidate> {
        let mut best = None;
        if self.may_probe() {
            self.consider_recently_probed(job, &mut best);
        }
        if let Some(key) = job.request.affinity_key.filter(|_| !has_free_slot(best)) {
            self.consider_key_homes(key, job, &mut best);
        }
        if !has_free_slot(best) {
            self.consider_warming_up(job, &mut best);
        }
        let zones = self.fleet.serving_by_zone.len();
        for step in 0..zones {
            let may_improve = job.request.affinity_key.is_none() && !has_free_slot(best);
            if best.is_none() || may_improve {
                let zone = (self.settings.zone as usize + step) % zones;
                self.consider_sample(zone, job, &mut best);
                if !self.may_probe() {
                    self.consider_recently_probed(job, &mut best);
                }
            }
        }
        best
    }

    /// Replaces the best candidate by this worker if it is eligible for the job and costs less.
    pub(super) fn consider(&mut self, index: usize, job: &Job, best: &mut Option<Candidate>) {
        if !self.is_eligible(index, job) {
            return;
        }
        let mut candidate = self.evaluate(index, job);
        candidate.cost *= 1.0 + COST_JITTER * self.rng.f64();
        if best.is_none_or(|best| candidate.cost < best.cost) {
            *best = Some(candidate);
        }
    }

    /// Whether a worker is eligible for the job.
    pub(super) fn is_eligible(&self, index: usize, job: &Job) -> bool {
        let worker = &self.fleet.workers[index];
        let required_kind = job.settings.required_kind();
        worker.state == WorkerState::Serving
            && required_kind.is_none_or(|kind| kind as usize == worker.kind)
            && (!worker.health.is_ejected(self.now, worker.in_flight > 0) || self.fleet.most_are_unhealthy())
            && !job.was_tried_at(index)
            && self.has_slow_start_budget(worker, job)
            && self.key_scope_allows(worker, job)
    }

    /// Whether a job with an idempotency key that may have run may go to this worker.
    fn key_scope_allows(&self, worker: &Worker, job: &Job) -> bool {
        let Idempotency::WithKey(scope) = job.settings.idempotency() else { return true };
        job.possible_runs().all(|attempt| {
            self.now - attempt.sent_at < job.settings.retry_window()
                && worker.location().shares_keys_with(attempt.location, scope)
        })
    }

    fn consider_recently_probed(&mut self, job: &Job, best: &mut Option<Candidate>) {
        for position in 0..self.recently_probed.len() {
            self.consider(self.recently_probed[position], job, best);
        }
    }

    fn consider_sample(&mut self, zone: usize, job: &Job, best: &mut Option<Candidate>) {
        let zones = &self.fleet.serving_by_zone;
        let in_zone = zones[zone].len();
        let in_all = zones.iter().map(Vec::len).sum::<usize>();
        let offset = self.rng.usize(..in_zone.max(1));
        let sample = self.sample_size(in_all);
        for step in 0..sample.min(in_zone) {
            // The stride spreads the sample over the zone without repeats.
            let position = (offset + step * in_zone.div_ceil(sample)) % in_zone;
            self.consider(self.fleet.serving_by_zone[zone][position], job, best);
        }
    }

    /// Returns the number of workers to consider in each zone, given the number of serving workers.
    fn sample_size(&self, workers: usize) -> usize {
        let least = if self.settings.load_reports == LoadReports::None { MAX_SAMPLE } else { MIN_SAMPLE };
        (SAMPLES_PER_WORKER * workers / self.settings.instances as usize).clamp(least, MAX_SAMPLE)
    }

    /// Considers the homes of a key: the workers that follow the key on the ring, which are the same at every
    /// dispatcher. The higher the rate of the key, the more homes it has. A random number of homes is
    /// skipped, and the next few are considered, so that the job can go to another home if one is busy.
    fn consider_key_homes(&mut self, key: u64, job: &Job, best: &mut Option<Candidate>) {
        let rate = self.key_rates.rate(key, self.now) * f64::from(self.settings.instances);
        let work = rate * self.workload.rate_window() * self.workload.mean_slots;
        let busy_workers = work / self.fleet.largest_job as f64;
        let skipped = self.rng.usize(..1 + (busy_workers * KEY_SPREAD) as usize);
        for index in self.fleet.ring_workers(key, skipped + KEY_HOMES).into_iter().skip(skipped) {
            self.consider(index, job, best);
        }
    }
}
