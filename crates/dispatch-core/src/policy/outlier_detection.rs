//! Workers that fail or stall are ejected for a while and readmitted; jobs at stalled workers are hedged.

use super::Dispatcher;
use crate::api::{Action, Idempotency, LoadReports, RequestId, Seconds};
use crate::job::JobState;
use crate::timers::{TimerEvent, TIMER_TOLERANCE};

/// A worker is stalled that gives no sign of life for this long and so many usual waits while a job of ours
/// waits there, or for so many times the span between two progress reports while one runs.
const STALL_TIMEOUT: Seconds = 1.5;
const STALL_WAITS: f64 = 16.0;
const STALL_PROGRESS_INTERVALS: f64 = 2.2;

impl Dispatcher {
    pub(super) fn record_failure(&mut self, index: usize) {
        let jitter = self.rng.f64();
        self.fleet.record_failure(index, self.now, jitter);
    }

    /// A worker that takes jobs and gives no sign of life is ejected until it does; its job is hedged.
    pub(super) fn on_stall_check(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.state == JobState::InFlight) else { return };
        let interval = self.settings.progress_interval;
        let Some(attempt) = job.attempt_to_watch(interval > 0.0) else { return };
        let (index, is_waiting) = (attempt.worker, attempt.started_at.is_none());
        let timeout = if is_waiting {
            STALL_TIMEOUT + STALL_WAITS * self.workload.mean_wait
        } else {
            STALL_PROGRESS_INTERVALS * interval
        };
        let stalled_at = self.fleet.workers[index].health.last_alive.max(attempt.sent_at) + timeout;
        if is_waiting && self.settings.load_reports == LoadReports::None {
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

    /// Sends a hedged request where settings, class and budget allow one.
    fn hedge(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let idempotency = self.settings.classes[job.class()].idempotency;
        let is_allowed = self.settings.hedging_allowed && idempotency != Idempotency::NotIdempotent;
        let has_attempts = job.attempts.len() < self.settings.max_attempts as usize;
        let may_send = is_allowed && has_attempts && self.hedge_budget.is_left();
        let candidate = if may_send { self.choose_worker(&job) } else { None };
        self.jobs.insert(id, job);
        if let Some(candidate) = candidate {
            self.hedge_budget.spend();
            self.send(id, candidate, actions);
        }
    }
}
