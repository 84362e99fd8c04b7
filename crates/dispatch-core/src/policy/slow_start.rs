//! **Slow start.** All dispatchers together send a worker that has just started no more work than its budget.

use super::worker_selection::MAX_SAMPLE;
use super::Dispatcher;
use crate::api::{Seconds, WorkerId};
use crate::hashing::mix_bits;
use crate::job::{Candidate, Job};
use crate::slow_start::{time_slice, BudgetSlice};
use crate::worker::Worker;

/// Fraction of the budget that is planned; the rest is a margin, because running times vary and work that was
/// sent in two slices may overlap.
const PLANNED_BUDGET_SHARE: f64 = 0.25;

impl Dispatcher {
    /// Returns the number of the current time slice.
    pub(super) fn time_slice(&self) -> u64 {
        time_slice(self.now, self.settings.overload_window)
    }

    /// Returns the planned budget of a worker in this slice. It is divided into parts of about one job, each
    /// of which is assigned to one dispatcher, because none of many dispatchers has enough traffic to use
    /// more.
    fn planned_budget(&self, worker: &Worker) -> BudgetSlice {
        let settings = &self.settings;
        let capacity = self.fleet.warm_capacity(worker, self.now) * self.fleet.slots_of(worker);
        BudgetSlice {
            worker: worker.id,
            time_slice: self.time_slice(),
            work: settings.overload_multiple * capacity * settings.overload_window * PLANNED_BUDGET_SHARE,
            part: self.mean_job_work(),
        }
    }

    /// Returns this dispatcher's share of the planned budget of a worker in this slice, in slot-seconds.
    fn planned_share(&self, budget: &BudgetSlice) -> f64 {
        self.slow_start_shares.planned_share(budget, &self.settings)
    }

    /// Whether the job fits this dispatcher's budget of a worker, or the worker is not in slow start. A job
    /// of more work than the share may be sent with a probability, drawn once per slice, at which the mean of
    /// the work sent equals the share.
    pub(super) fn has_slow_start_budget(&self, worker: &Worker, job: &Job) -> bool {
        let work = job.work();
        if !self.fleet.is_warming_up(worker, self.now) || worker.slow_start.granted_work(self.now) >= work {
            return true;
        }
        let budget = self.planned_budget(worker);
        let own_share = self.planned_share(&budget);
        if let Some(spent) = worker.slow_start.spent_in_slice(budget.time_slice) {
            return spent + work <= own_share;
        }
        let instance = u64::from(self.settings.instance);
        let drawn = mix_bits(worker.id.0 ^ mix_bits(!budget.time_slice ^ mix_bits(instance)));
        work <= budget.work && drawn as f64 / u64::MAX as f64 * work < own_share
    }

    /// Whether a worker is in slow start and this dispatcher has a part of its budget.
    fn has_slow_start_share(&self, index: usize) -> bool {
        let worker = &self.fleet.workers[index];
        self.fleet.is_warming_up(worker, self.now)
            && (worker.slow_start.granted_work(self.now) > 0.0
                || self.planned_share(&self.planned_budget(worker)) > 0.0)
    }

    /// Considers some of the workers in slow start of whose budget this dispatcher has a share, because a
    /// sample of all workers rarely contains them.
    pub(super) fn consider_warming_up(&mut self, job: &Job, best: &mut Option<Candidate>) {
        self.update_slow_start_shares();
        for _ in 0..MAX_SAMPLE.min(self.slow_start_shares.workers.len()) {
            let position = self.rng.usize(..self.slow_start_shares.workers.len());
            self.consider(self.slow_start_shares.workers[position], job, best);
        }
    }

    /// Lists the workers of whose budget this dispatcher has a share, once per time slice.
    fn update_slow_start_shares(&mut self) {
        let time_slice = self.time_slice();
        if self.slow_start_shares.time_slice == time_slice {
            return;
        }
        let workers = 0..self.fleet.workers.len();
        self.slow_start_shares.workers = workers.filter(|index| self.has_slow_start_share(*index)).collect();
        self.slow_start_shares.time_slice = time_slice;
    }

    /// Applies a grant beyond the planned share, from the leader that allocates slow-start budgets.
    pub(super) fn on_slow_start_grant(&mut self, worker: WorkerId, work: f64, expires_at: Seconds) {
        self.fleet.apply_grant(worker, work, expires_at, self.now);
        self.slow_start_shares.invalidate();
    }

    /// Releases the planned share of all slow-start budgets until this process ends: its successor, which has
    /// the same instance number, may already serve and use that share. Granted work may still be sent.
    pub fn release_slow_start_share(&mut self) {
        self.slow_start_shares.planned_from = Seconds::INFINITY;
        self.slow_start_shares.invalidate();
    }
}
