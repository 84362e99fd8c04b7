//! 5. **Attempts.** What never ran is sent again; what may have run only as its class allows.

use super::Dispatcher;
use crate::api::{Action, Idempotency, LoadReport, LoadReports, Outcome, RequestId};
use crate::fleet::Worker;
use crate::job::{Attempt, Candidate, EndedAttempt, Job, JobState};
use crate::load::PROMPT_START;
use crate::run_time::RunningJob;
use crate::timers::{TimerEvent, TIMER_TOLERANCE};

/// An admitted job waits for a free worker for this part of the time it has.
pub(super) const PLACEMENT_WAIT: f64 = 0.1;
/// After so many attempts a job goes on only to a worker that seems free: the others would reject it as well.
const BLIND_ATTEMPTS: usize = 2;
/// A job that waits at a worker for more than this part of the time it has counts as rejected.
const CONGESTED_WAIT: f64 = 0.5;
/// This part of the jobs that cannot be in time is sent all the same, to correct estimates that are wrong.
const UNREACHABLE_SEND_RATE: f64 = 1.0 / 16.0;
/// At most this many admitted jobs are tried at one event.
pub(super) const MAX_PLACEMENTS: usize = 3;
/// A worker that rejected a job as overloaded holds about this many times its slots.
const OVERLOADED_UTILIZATION: f64 = 1.5;

impl Dispatcher {
    /// Whether a job with an idempotency key that may have run may go to this worker.
    pub(super) fn key_scope_allows(&self, worker: &Worker, job: &Job) -> bool {
        let class = &self.settings.classes[job.class()];
        let Idempotency::WithKey(scope) = class.idempotency else { return true };
        job.possible_runs().all(|attempt| {
            self.now - attempt.sent_at < class.retry_window()
                && self.fleet.workers[attempt.worker].shares_keys_with(worker, scope)
        })
    }

    /// Sends what is admitted, first come first. An event costs a few looks at the most: where the first jobs
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
        if let Some(position) = self.admitted.iter().position(|&admitted| admitted == id) {
            self.admitted.remove(position);
            if self.place(id, actions) {
                self.admitted.push_front(id);
            }
        }
    }

    /// Sends a job, or ends it where that is of no use. Where loads are reported and no worker is known free,
    /// it waits here a while: true.
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.remove(&id) else { return false };
        let may_send = job.attempts.len() < self.settings.max_attempts.max(1) as usize;
        let candidate = if may_send { self.choose_worker(&job) } else { None };
        let has_reports = self.settings.load_reports != LoadReports::None;
        let is_early = self.now + TIMER_TOLERANCE < job.placement_deadline(PLACEMENT_WAIT);
        let is_free = candidate.is_some_and(|candidate| candidate.has_free_slot);
        let waits = has_reports && is_early && may_send && !is_free;
        let may_go_blind = !has_reports || job.attempts.len() < BLIND_ATTEMPTS;
        let (class, run_times) = (&self.settings.classes[job.class()], &self.workload.run_times[job.class()]);
        let is_worthless_late = class.late_weight == 0.0 && job.never_ran();
        let lateness = candidate.map_or(0.0, |candidate| candidate.lateness_probability);
        let is_unreachable = is_worthless_late && run_times.deadline_unreachable(lateness);
        let size = job.size();
        self.jobs.insert(id, job);
        match candidate {
            _ if waits => {}
            Some(candidate) if is_unreachable && self.rng.f64() > UNREACHABLE_SEND_RATE => {
                self.rate.record_rejection(candidate.worker, size);
                self.reject_or_fail(id, actions);
            }
            Some(candidate) if is_free || may_go_blind => self.send(id, candidate, actions),
            _ => self.reject_or_fail(id, actions),
        }
        waits
    }

    pub(super) fn send(&mut self, id: RequestId, candidate: Candidate, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (size, work) = (job.size(), job.work());
        job.state = JobState::InFlight;
        job.attempts.push(Attempt::new(&candidate, self.now));
        self.fleet.add_slots(candidate.worker, size, self.observation_time());
        let (time_slice, worker) = (self.time_slice(), &mut self.fleet.workers[candidate.worker]);
        worker.in_flight += 1;
        worker.idle_connection_until = 0.0;
        worker.slow_start.spend(work, time_slice, self.now);
        actions.push(Action::Send { request: id, worker: worker.id, timeout: None });
        self.hedge_budget.record_send();
        if self.settings.reports_job_start {
            self.schedule(2.0 * PROMPT_START, TimerEvent::StallCheck(id));
        }
    }

    /// Ends a job that was not served: rejected where its client may send it again, else failed.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let class = &self.settings.classes[job.class()];
        let wait = (job.slots as f64 / self.rate.partial(1.0)).min(self.settings.max_retry_after);
        // A client that honours the retry-after must come back within the window.
        let may_return = |attempt: &Attempt| class.allows_client_retry(self.now + wait - attempt.sent_at);
        let is_harmless = job.possible_runs().next().is_none_or(may_return);
        actions.push(if is_harmless { self.rejection(id, wait) } else { Action::Fail { request: id } });
        self.finish(id);
    }

    /// A job was answered; it is remembered until its attempts have ended.
    fn finish(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = JobState::Ended;
        if !job.has_open_attempt() {
            self.jobs.remove(&id);
        }
    }

    pub(super) fn on_job_started(&mut self, id: RequestId, number: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (class, log_work) = (job.class(), job.log_work);
        let Some(attempt) = job.start_attempt(number, self.now) else { return };
        let (index, delay) = (attempt.worker, self.now - attempt.sent_at);
        let log_slowdown = self.fleet.log_slowdown(index, &self.workload.slowdowns, self.now);
        let run_time = self.workload.rate_window() * log_slowdown.exp();
        self.fleet.queueing_curve.learn(attempt.utilization, delay / run_time);
        let variance = self.workload.run_times[class].variance();
        let running = RunningJob { started_at: self.now, log_work, variance };
        self.fleet.workers[index].running.push(running);
        self.fleet.record_liveness(index, self.now);
        self.workload.record_wait(delay);
        if self.settings.load_reports != LoadReports::WithResponses {
            self.fleet.record_wait(index, delay, self.observation_time());
        }
    }

    pub(super) fn on_progress(&mut self, id: RequestId, number: u32) {
        let job = self.jobs.get(&id);
        if let Some(attempt) = job.and_then(|job| job.attempts.get(number as usize)) {
            self.fleet.record_liveness(attempt.worker, self.now);
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        number: u32,
        outcome: Outcome,
        complete: bool,
        load: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let ended = self.jobs.get_mut(&id).and_then(|job| job.end_attempt(number, outcome));
        let Some(ended) = ended else { return };
        self.record_attempt(&ended, load);
        let Some(job) = self.jobs.get(&id) else { return };
        if complete || ended.was_answered {
            let cancels = self.settings.cancellation_allowed && !ended.was_answered;
            actions.extend(job.cancel_actions().filter(|_| cancels));
            self.finish(id);
            return self.place_admitted(actions);
        }
        if job.has_open_attempt() {
            return;
        }
        if outcome == Outcome::InvalidRequest {
            actions.push(Action::Fail { request: id });
            return self.finish(id);
        }
        let class = &self.settings.classes[job.class()];
        let is_harmless = job.never_ran() || class.idempotency != Idempotency::NotIdempotent;
        let has_expired = job.has_expired(self.now, self.settings.clock_resolution);
        if is_harmless && !has_expired && job.start_by > self.now {
            self.admit(id, actions);
        } else {
            self.reject_or_fail(id, actions);
        }
    }

    /// Updates worker, rate and running times by the end of an attempt.
    fn record_attempt(&mut self, ended: &EndedAttempt, load: Option<LoadReport>) {
        let &EndedAttempt { attempt, outcome, size, .. } = ended;
        let index = attempt.worker;
        self.fleet.add_slots(index, -size, self.observation_time());
        self.fleet.workers[index].end_attempt(attempt.started_at, ended.log_work);
        if outcome != Outcome::Overloaded {
            self.apply_load_report(index, load);
        }
        if outcome.is_response() {
            self.fleet.record_liveness(index, self.now);
        }
        match outcome {
            Outcome::Ok => self.record_served(ended),
            Outcome::Overloaded => {
                if ended.is_retry {
                    self.rate.record_rejection(index, size);
                }
                // This answer is newer than the report that came with it.
                let worker = &self.fleet.workers[index];
                let others = OVERLOADED_UTILIZATION * self.fleet.slots_of(worker) - worker.our_slots;
                self.fleet.record_other_slots(index, others, self.now);
            }
            Outcome::Timeout => {
                self.rate.record_rejection(index, size);
                if attempt.started_at.is_none() {
                    self.record_failure(index);
                }
            }
            Outcome::ConnectFailed => self.record_failure(index),
            // What fails at one worker after another is at fault itself, and must not bar them all.
            Outcome::Reset | Outcome::Error if ended.failed_before => {}
            Outcome::Reset | Outcome::Error => self.record_failure(index),
            // It was no job: what it took of its tenant's part is given back.
            Outcome::InvalidRequest => self.banks[ended.request.tenant as usize].refund(size.ceil() as i64),
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
        }
    }

    /// A job was served: its wait counts for the rate, its run for the estimates, and its worker is healthy.
    fn record_served(&mut self, ended: &EndedAttempt) {
        let (index, class, now) = (ended.attempt.worker, ended.request.class as usize, self.now);
        let expected = ended.request.expected_run_time;
        // A long wait there is congestion; a long run is the job's or the worker's own matter.
        let (settings, run_times) = (&self.settings.classes[class], &self.workload.run_times[class]);
        let likely = run_times.mean * settings.run_time_allowance.max(1.0);
        if ended.wait(now, likely) <= CONGESTED_WAIT * run_times.start_slack(settings, expected) {
            self.rate.accepted += ended.size;
        } else {
            self.rate.record_rejection(index, ended.size);
        }
        self.fleet.record_success(index);
        self.fleet.workers[index].keep_connection(now, self.settings.keep_alive);
        if self.settings.keep_alive > 0.0 {
            self.remember_probed(index);
        }
        if ended.has_known_run() {
            let slowdowns = self.fleet.slowdowns_of(index);
            self.workload.record_run(class, ended.run_time(now), expected, slowdowns, now);
        }
    }

    pub(super) fn on_client_disconnect(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match std::mem::replace(&mut job.state, JobState::Ended) {
            JobState::Queued => self.banks[job.tenant()].remove_queued(id, job.slots),
            JobState::Admitted => self.admitted.retain(|&admitted| admitted != id),
            JobState::InFlight if self.settings.cancellation_allowed => actions.extend(job.cancel_actions()),
            JobState::InFlight | JobState::Ended => {}
        }
        self.finish(id);
    }
}
