//! Workers that fail or say nothing are left out for a while, and are let in again.

use super::*;

impl Dispatcher {
    pub(super) fn record_failure(&mut self, i: usize) {
        let jitter = self.rng.f64();
        self.fleet.zone_outage(i).failed(i, self.now, jitter);
        if self.fleet.workers[i].health.record_failure(self.now, jitter) {
            self.fleet.count_unhealthy();
        }
    }

    pub(super) fn record_success(&mut self, i: usize) {
        if self.fleet.workers[i].health.record_success() {
            self.fleet.count_unhealthy();
        }
    }

    pub(super) fn record_liveness(&mut self, i: usize) {
        self.fleet.zone_outage(i).record_liveness();
        if self.fleet.workers[i].health.record_liveness(self.now) {
            self.fleet.count_unhealthy();
        }
    }

    /// A worker that takes jobs and says nothing is left out until it speaks; its job is copied elsewhere.
    pub(super) fn on_stall_check(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.state == JobState::InFlight) else { return };
        let noted = |a: &&Attempt| {
            a.outcome.is_none() && (a.started_at.is_none() || self.cfg.progress_interval > 0.0)
        };
        let Some(a) = job.attempts.last().filter(noted) else { return };
        let (a, i, notes) = (*a, a.worker, STALL_PROGRESS_INTERVALS * self.cfg.progress_interval);
        let quiet = if a.started_at.is_some() { notes } else { STALL_TIMEOUT + STALL_WAITS * self.mean_wait };
        let until = self.fleet.workers[i].health.last_alive.max(a.sent_at) + quiet;
        if a.started_at.is_none() && self.cfg.load_reports == LoadReports::None {
            self.fleet.record_wait(i, self.now - a.sent_at, self.observation_time());
        }
        if until > self.now + 1e-6 {
            return self.schedule(until - self.now, TimerEvent::StallCheck(id));
        }
        if self.fleet.workers[i].health.mark_stalled() {
            self.record_failure(i);
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        let repeat = self.cfg.classes[job.request.class as usize].idempotency;
        let allowed = self.cfg.hedging_allowed && repeat != Idempotency::NotIdempotent;
        let left = job.attempts.len() < self.cfg.max_attempts as usize && self.hedge_budget >= 1.0;
        let choice = if allowed && left { self.choose_worker(&job) } else { None };
        self.jobs.insert(id, job);
        if let Some(choice) = choice {
            self.hedge_budget -= 1.0;
            self.send(id, choice, actions);
        }
    }
}
