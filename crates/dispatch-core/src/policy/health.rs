//! Workers that fail or say nothing are left out for a while, and are let in again.

use super::*;

impl Dispatcher {
    pub(super) fn failed(&mut self, i: usize) {
        let jitter = self.rng.f64();
        self.fleet.outage(i).failed(i, self.now, jitter);
        if self.fleet.workers[i].health.failed(self.now, jitter) {
            self.fleet.count_shut();
        }
    }

    pub(super) fn worked(&mut self, i: usize) {
        if self.fleet.workers[i].health.worked() {
            self.fleet.count_shut();
        }
    }

    pub(super) fn sign(&mut self, i: usize) {
        self.fleet.outage(i).lives();
        if self.fleet.workers[i].health.lives(self.now) {
            self.fleet.count_shut();
        }
    }

    /// A worker that takes jobs and says nothing is left out until it speaks; its job is copied elsewhere.
    pub(super) fn on_quiet(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.state == State::Out) else { return };
        let noted =
            |a: &&Attempt| a.ended.is_none() && (a.started.is_none() || self.cfg.progress_interval > 0.0);
        let Some(a) = job.attempts.last().filter(noted) else { return };
        let (a, i, notes) = (*a, a.worker, QUIET_NOTES * self.cfg.progress_interval);
        let quiet = if a.started.is_some() { notes } else { QUIET + QUIET_WAITS * self.waits };
        let until = self.fleet.workers[i].health.sign.max(a.sent) + quiet;
        if a.started.is_none() && self.cfg.load_reports == LoadReports::None {
            self.fleet.waited(i, self.now - a.sent, self.present());
        }
        if until > self.now + 1e-6 {
            return self.wake(until - self.now, Wake::Quiet(id));
        }
        if self.fleet.workers[i].health.fell_silent() {
            self.failed(i);
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        let repeat = self.cfg.classes[job.req.class as usize].idempotency;
        let allowed = self.cfg.hedging_allowed && repeat != Idempotency::NotIdempotent;
        let left = job.attempts.len() < self.cfg.max_attempts as usize && self.copies >= 1.0;
        let choice = if allowed && left { self.choose(&job) } else { None };
        self.jobs.insert(id, job);
        if let Some(choice) = choice {
            self.copies -= 1.0;
            self.push(id, choice, actions);
        }
    }
}
