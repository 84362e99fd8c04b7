//! 4. **Slow start.** A worker that just started gets work by a budget of all dispatchers together.

use super::placement::MAX_SAMPLE;
use super::Dispatcher;
use crate::api::{Seconds, WorkerId};
use crate::fleet::Worker;
use crate::hashing::mix_bits;
use crate::job::{Candidate, Job};
use crate::slow_start::time_slice;

/// The part of the budget that is planned for: running times vary, and sends of two slices may overlap.
const PLANNED_BUDGET_SHARE: f64 = 0.25;

impl Dispatcher {
    pub(super) fn time_slice(&self) -> u64 {
        time_slice(self.now, self.settings.overload_window)
    }

    /// What all may send there in this slice, as work, and our part of it. It is planned in parts, each for
    /// about a job and with an owner of its own: of many dispatchers none has the traffic to use up more.
    fn planned_budget(&self, worker: &Worker) -> (f64, f64) {
        let settings = &self.settings;
        let capacity = self.fleet.warm_capacity(worker, self.now) * self.fleet.slots_of(worker);
        let budget = settings.overload_multiple * capacity * settings.overload_window * PLANNED_BUDGET_SHARE;
        let part = self.mean_job_work();
        (budget, self.slow_start_turns.planned_share(worker.id, self.time_slice(), budget, part, settings))
    }

    /// A job that asks for more than our part goes there by chance, drawn once a slice: the mean keeps it.
    pub(super) fn has_slow_start_budget(&self, worker: &Worker, job: &Job) -> bool {
        if !self.fleet.is_warming_up(worker, self.now)
            || worker.slow_start.granted_work(self.now) >= job.work()
        {
            return true;
        }
        let ((budget, ours), work) = (self.planned_budget(worker), job.work());
        if let Some(spent) = worker.slow_start.spent_in_slice(self.time_slice()) {
            return spent + work <= ours;
        }
        let instance = u64::from(self.settings.instance);
        let drawn = mix_bits(worker.id.0 ^ mix_bits(!self.time_slice() ^ mix_bits(instance)));
        work <= budget && drawn as f64 / u64::MAX as f64 * work < ours
    }

    fn is_our_turn(&self, index: usize) -> bool {
        let worker = &self.fleet.workers[index];
        self.fleet.is_warming_up(worker, self.now)
            && (worker.slow_start.granted_work(self.now) > 0.0 || self.planned_budget(worker).1 > 0.0)
    }

    /// Looks at some workers in slow start of which a part is ours: a sample of all hardly contains them.
    pub(super) fn consider_warming_up(&mut self, job: &Job, best: &mut Option<Candidate>) {
        let time_slice = self.time_slice();
        if self.slow_start_turns.time_slice != time_slice {
            let workers = (0..self.fleet.workers.len()).filter(|index| self.is_our_turn(*index)).collect();
            (self.slow_start_turns.time_slice, self.slow_start_turns.workers) = (time_slice, workers);
        }
        for _ in 0..MAX_SAMPLE.min(self.slow_start_turns.workers.len()) {
            let position = self.rng.usize(..self.slow_start_turns.workers.len());
            self.consider(self.slow_start_turns.workers[position], job, best);
        }
    }

    /// The leader that shares out slow-start budgets granted more than our planned share.
    pub(super) fn on_slow_start_grant(&mut self, worker: WorkerId, work: f64, expires_at: Seconds) {
        self.fleet.apply_grant(worker, work, expires_at, self.now);
        self.slow_start_turns.time_slice = u64::MAX;
    }
}
