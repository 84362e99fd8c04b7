//! Workers that fail or stall are ejected for a while and readmitted; jobs at stalled workers are hedged.

use super::Dispatcher;
use crate::api::{Action, Idempotency, LoadReports, RequestId, Seconds};
use crate::job::{Attempt, Job, JobState};
use crate::timers::{TimerEvent, TIMER_TOLERANCE};

/// Time without a sign of life after which a worker is stalled while a job of ours waits there, before
/// [`STALL_WAITS`] is added.
const STALL_TIMEOUT: Seconds = 1.5;
/// Mean waits by which the stall timeout of a job that waits is longer.
const STALL_WAITS: f64 = 16.0;
/// Intervals between progress reports after which a worker without a sign of life is stalled while a job of
/// ours runs there.
const STALL_PROGRESS_INTERVALS: f64 = 2.2;

impl Dispatcher {
    /// Counts a failure of a worker.
    pub(super) fn record_failure(&mut self, index: usize) {
        let jitter = self.rng.f64();
        self.fleet.record_failure(index, self.now, jitter);
    }

    /// Ejects a worker that took a job and gives no sign of life, until it does, and hedges the job; checks
    /// again later where the stall timeout is not over.
    pub(super) fn on_stall_check(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.state == JobState::InFlight) else { return };
        let reports_progress = self.settings.progress_interval > 0.0;
        let Some(attempt) = job.attempt_to_watch(reports_progress) else { return };
        let index = attempt.worker;
        let last_sign = self.fleet.workers[index].health.last_alive.max(attempt.sent_at);
        let stalled_at = last_sign + self.stall_timeout(&attempt);
        if attempt.started_at.is_none() && self.settings.load_reports == LoadReports::None {
            self.fleet.record_wait(index, self.now - attempt.sent_at, self.observation_time());
        }
        if stalled_at > self.now + TIMER_TOLERANCE {
            return self.schedule(stalled_at - self.now, TimerEvent::StallCheck(id));
        }
        if self.fleet.workers[index].health.mark_stalled() {
            self.record_failure(index);
        }
        self.hedge(id, actions);
    }

    /// Returns the time without a sign of life after which the worker of an attempt is stalled.
    fn stall_timeout(&self, attempt: &Attempt) -> Seconds {
        if attempt.started_at.is_none() {
            STALL_TIMEOUT + STALL_WAITS * self.workload.mean_wait
        } else {
            STALL_PROGRESS_INTERVALS * self.settings.progress_interval
        }
    }

    /// Sends a hedged request where settings, class and budget allow one.
    fn hedge(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let candidate = if self.may_hedge(&job) { self.choose_worker(&job) } else { None };
        self.jobs.insert(id, job);
        if let Some(candidate) = candidate {
            self.hedge_budget.spend();
            self.send(id, candidate, actions);
        }
    }

    fn may_hedge(&self, job: &Job) -> bool {
        let idempotency = self.settings.classes[job.class()].idempotency;
        self.settings.hedging_allowed
            && idempotency != Idempotency::NotIdempotent
            && job.attempts.len() < self.settings.max_attempts as usize
            && self.hedge_budget.allows_hedge()
    }
}
