//! **Outlier detection.** Workers that fail or stall are ejected for some time and then readmitted. Jobs at
//! stalled workers are hedged.

use super::Dispatcher;
use crate::api::{Action, LoadReports, RequestId, Seconds};
use crate::job::{Attempt, Job, JobState};
use crate::timers::{TimerEvent, TIMER_TOLERANCE};

/// Time without a sign of life after which a worker counts as stalled while a job of this dispatcher waits
/// there; [`STALL_WAITS`] mean waits are added.
const STALL_TIMEOUT: Seconds = 1.5;
/// Number of mean waits that are added to [`STALL_TIMEOUT`] for a job that waits at a worker.
const STALL_WAITS: f64 = 16.0;
/// Number of progress intervals without a sign of life after which a worker counts as stalled while a job of
/// this dispatcher runs there.
const STALL_PROGRESS_INTERVALS: f64 = 2.2;

impl Dispatcher {
    /// Counts a failure of a worker.
    pub(super) fn record_failure(&mut self, index: usize) {
        let jitter = self.rng.f64();
        self.fleet.record_failure(index, self.now, jitter);
    }

    /// Ejects a worker that holds a job and gives no sign of life, until it gives one, and hedges the job. If
    /// the stall timeout is not over yet, schedules the next check.
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

    /// Returns the time without a sign of life after which the worker of an attempt counts as stalled.
    fn stall_timeout(&self, attempt: &Attempt) -> Seconds {
        if attempt.started_at.is_none() {
            STALL_TIMEOUT + STALL_WAITS * self.workload.mean_wait
        } else {
            STALL_PROGRESS_INTERVALS * self.settings.progress_interval
        }
    }

    /// Sends a hedged request if the job's settings and the budget allow one and a worker is available.
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
        job.settings.allows_hedging()
            && job.attempts.len() < job.settings.max_attempts()
            && self.hedge_budget.allows_hedge()
    }
}
