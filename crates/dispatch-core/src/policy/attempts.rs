//! 5. **Attempts.** What never ran is pushed again; what may have run only as its class allows.

use super::*;

/// After so many tries a job goes on only to a worker that is thought free: the rest bounces as well.
const BLIND_ATTEMPTS: usize = 2;
/// A job that waits at a worker for more than this part of the time it has counts as bounced.
const CONGESTED_WAIT: f64 = 0.5;
/// So many hopeless jobs are pushed all the same: what is believed must be open to refutation.
const UNREACHABLE_SEND_RATE: f64 = 1.0 / 16.0;
/// So many paid jobs are tried at one event.
pub(super) const MAX_PLACEMENTS: usize = 3;
/// A worker that turned a job away holds about this many times its slots.
const OVERLOADED_UTILIZATION: f64 = 1.5;

impl Dispatcher {
    /// Whether a keyed job that may have run may go to this worker.
    pub(super) fn key_scope_allows(&self, w: &Worker, job: &Job) -> bool {
        let class = &self.cfg.classes[job.request.class as usize];
        let Idempotency::WithKey(group) = class.idempotency else { return true };
        job.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran)).all(|a| {
            let first = &self.fleet.workers[a.worker];
            self.now - a.sent_at < class.retry_window()
                && match group {
                    KeyScope::All => true,
                    KeyScope::Zone => w.zone == first.zone,
                    KeyScope::Cell => w.cell == first.cell,
                }
        })
    }

    /// Pushes what is paid, first come first. An event costs a few looks at the most: where the first jobs
    /// find no worker, those behind them would not either.
    pub(super) fn place_admitted(&mut self, actions: &mut Vec<Action>) {
        let mut waiting = Vec::with_capacity(MAX_PLACEMENTS);
        while waiting.len() < MAX_PLACEMENTS {
            let Some(id) = self.admitted.pop_front() else { break };
            if self.place(id, actions) {
                waiting.push(id);
            }
        }
        waiting.into_iter().rev().for_each(|id| self.admitted.push_front(id));
    }

    /// A job has waited for a free worker for as long as it may.
    pub(super) fn on_placement_timeout(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(n) = self.admitted.iter().position(|&p| p == id) {
            self.admitted.remove(n);
            if self.place(id, actions) {
                self.admitted.push_front(id);
            }
        }
    }

    /// Pushes a job, or ends it where that is of no use. Where loads are reported and no worker is known
    /// free, it waits here a while: true.
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.remove(&id) else { return false };
        let tries_left = job.attempts.len() < self.cfg.max_attempts.max(1) as usize;
        let choice = if tries_left { self.choose_worker(&job) } else { None };
        let told = self.cfg.load_reports != LoadReports::None;
        let early = self.now + 1e-6 < job.placement_deadline(PLACEMENT_WAIT);
        let waits = told && early && tries_left && choice.is_none_or(|c| !c.has_free_slot);
        let (tried, k) = (job.attempts.len(), job.size());
        let class = job.request.class as usize;
        let worthless = self.cfg.classes[class].late_weight == 0.0 && job.never_ran();
        let hopeless =
            |c: &Candidate| worthless && self.run_times[class].deadline_unreachable(c.lateness_probability);
        self.jobs.insert(id, job);
        match choice {
            _ if waits => {}
            Some(c) if hopeless(&c) && self.rng.f64() > UNREACHABLE_SEND_RATE => {
                self.rate.record_rejection(c.worker, k);
                self.reject_or_fail(id, actions);
            }
            Some(c) if c.has_free_slot || !told || tried < BLIND_ATTEMPTS => self.send(id, c, actions),
            _ => self.reject_or_fail(id, actions),
        }
        waits
    }

    pub(super) fn send(&mut self, id: RequestId, choice: Candidate, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Candidate { worker: i, has_free_slot: free, utilization: filled, .. } = choice;
        let (k, work) = (job.size(), job.work());
        job.state = JobState::InFlight;
        job.attempts.push(Attempt {
            worker: i,
            sent_at: self.now,
            started_at: None,
            had_free_slot: free,
            utilization: filled,
            outcome: None,
        });
        self.fleet.add_slots(i, k, self.observation_time());
        let (slice, w) = (self.time_slice(), &mut self.fleet.workers[i]);
        (w.in_flight, w.idle_connection_until) = (w.in_flight + 1, 0.0);
        w.slow_start.spend(work, slice, self.now);
        self.hedge_budget = (self.hedge_budget + HEDGES_PER_SEND).min(MAX_HEDGE_BUDGET);
        if self.cfg.reports_job_start {
            self.schedule(2.0 * PROMPT_START, TimerEvent::StallCheck(id));
        }
        actions.push(Action::Send { request: id, worker: self.fleet.workers[i].id, timeout: None });
    }

    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = JobState::Ended;
        let class = &self.cfg.classes[job.request.class as usize];
        let wait = (job.slots as f64 / self.rate.slots_per_second.max(1e-3)).min(self.cfg.max_retry_after);
        // A client that comes back as it is told must come back within the window.
        let known = |a: &Attempt| self.now + wait - a.sent_at < class.retry_window();
        let again = |a: &Attempt| {
            known(a)
                && matches!(class.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All))
        };
        let ran = job.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        let harmless = ran.is_none_or(again);
        actions.push(if harmless { self.rejection(id, wait) } else { Action::Fail { request: id } });
        self.remove_if_finished(id);
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        if self.jobs.get(&id).is_some_and(|job| job.state == JobState::Ended && !job.has_open_attempt()) {
            self.jobs.remove(&id);
        }
    }

    pub(super) fn on_job_started(&mut self, id: RequestId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let a = job.attempts.get_mut(attempt as usize);
        if let Some(a) = a.filter(|a| a.started_at.is_none() && a.outcome.is_none()) {
            a.started_at = Some(self.now);
            let (i, delay, filled) = (a.worker, self.now - a.sent_at, a.utilization);
            let (work, spread) = (job.log_work, self.run_times[job.request.class as usize].spread());
            let run = self.rate_window() * self.slowdowns.log_slowdown(i, &self.fleet, self.now).exp();
            self.fleet.queueing_curve.learn(filled, delay / run);
            self.fleet.workers[i].running.push(RunningJob {
                started_at: self.now,
                log_work: work,
                variance: spread,
            });
            self.record_liveness(i);
            self.mean_wait += WAIT_LEARNING_RATE * (delay - self.mean_wait);
            if self.cfg.load_reports != LoadReports::WithResponses {
                self.fleet.record_wait(i, delay, self.observation_time());
            }
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        complete: bool,
        load: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none()) else { return };
        a.outcome = Some(outcome);
        let (i, a, k, class, work) = (a.worker, *a, job.size(), job.request.class as usize, job.log_work);
        let (expected, tenant) = (job.request.expected_run_time, job.request.tenant as usize);
        let ended = |a: &Attempt| matches!(a.outcome, Some(Outcome::Reset | Outcome::Error));
        let failed_before = job.attempts[..attempt as usize].iter().any(ended);
        let already = job.state == JobState::Ended;
        let expired = now - job.arrived_at >= job.request.timeout - self.cfg.clock_resolution;
        self.fleet.add_slots(i, -k, self.observation_time());
        self.fleet.workers[i].end_attempt(a.started_at, work);
        if outcome != Outcome::Overloaded {
            self.apply_load_report(i, load);
        }
        if matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Error | Outcome::InvalidRequest) {
            self.record_liveness(i);
        }
        match outcome {
            Outcome::Ok => {
                // Without word of the start, the run is known only where the worker was free.
                let clear = a.started_at.is_some() || a.had_free_slot;
                let run = now - a.started_at.unwrap_or(a.sent_at);
                // A long wait there is congestion; a long run is the job's or the worker's own matter.
                let likely = self.run_times[class].mean * self.cfg.classes[class].run_time_allowance.max(1.0);
                let waited = now - a.sent_at - if a.started_at.is_some() { run } else { run.min(likely) };
                if waited <= CONGESTED_WAIT * self.start_slack(class, expected) {
                    self.rate.accepted += k;
                } else {
                    self.rate.record_rejection(i, k);
                }
                self.record_success(i);
                self.fleet.workers[i].idle_connection_until = now + 0.7 * self.cfg.keep_alive;
                if self.cfg.keep_alive > 0.0 {
                    self.recently_probed.truncate(MAX_SAMPLE - 1);
                    self.recently_probed.push_front(i);
                }
                if clear {
                    let (w, class) = (&mut self.fleet.workers[i], &mut self.run_times[class]);
                    let kind = &mut self.fleet.kinds[w.kind];
                    self.slowdowns.learn(run, expected, class, kind, &mut w.slowdown, now);
                }
            }
            Outcome::Overloaded => {
                if attempt > 0 {
                    self.rate.record_rejection(i, k);
                }
                let w = &self.fleet.workers[i];
                // Its report is older than this answer, and says less.
                self.fleet.record_other_slots(
                    i,
                    OVERLOADED_UTILIZATION * self.fleet.slots_of(w) - w.our_slots,
                    now,
                );
            }
            Outcome::Timeout => {
                self.rate.record_rejection(i, k);
                if a.started_at.is_none() {
                    self.record_failure(i);
                }
            }
            Outcome::ConnectFailed => self.record_failure(i),
            // What fails at one worker after another is at fault itself, and must not bar them all.
            Outcome::Reset | Outcome::Error if failed_before => {}
            Outcome::Reset | Outcome::Error => self.record_failure(i),
            Outcome::InvalidRequest => {
                // It was no job: what it took of its tenant's part is given back.
                let slots = k.ceil() as i64;
                self.banks[tenant].refund(slots);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if complete || already {
            actions.extend(job.cancel_actions().filter(|_| self.cfg.cancellation_allowed && !already));
            job.state = JobState::Ended;
            self.remove_if_finished(id);
            return self.place_admitted(actions);
        }
        if job.has_open_attempt() {
            return;
        }
        if outcome == Outcome::InvalidRequest {
            job.state = JobState::Ended;
            actions.push(Action::Fail { request: id });
            return self.remove_if_finished(id);
        }
        let again = job.never_ran() || self.cfg.classes[class].idempotency != Idempotency::NotIdempotent;
        if again && !expired && job.start_by > now {
            self.admit(id, actions);
        } else {
            self.reject_or_fail(id, actions);
        }
    }

    pub(super) fn on_client_disconnect(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match std::mem::replace(&mut job.state, JobState::Ended) {
            JobState::Queued => self.banks[job.request.tenant as usize].remove_queued(id, job.slots),
            JobState::Admitted => self.admitted.retain(|&p| p != id),
            JobState::InFlight if self.cfg.cancellation_allowed => actions.extend(job.cancel_actions()),
            _ => {}
        }
        self.remove_if_finished(id);
    }
}
