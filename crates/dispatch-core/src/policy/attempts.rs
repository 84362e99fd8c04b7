//! **Attempts.** A job that never ran may be sent again; a job that may have run is sent again only if its
//! class allows it.

use super::Dispatcher;
use crate::api::{Action, LoadReport, LoadReports, Outcome, RequestId};
use crate::job::{Attempt, EndedAttempt, Job, JobState};
use crate::run_time::RunningJob;

/// Fraction of the time within which a job must start; a longer wait at a worker counts as a rejection.
const CONGESTED_WAIT: f64 = 0.5;
/// Estimated utilization of a worker that rejected a job as overloaded.
const OVERLOADED_UTILIZATION: f64 = 1.5;

/// The end of an attempt, as the caller reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub request: RequestId,
    /// The number of the attempt.
    pub number: u32,
    pub outcome: Outcome,
    /// Whether the client has its final response.
    pub is_complete: bool,
    /// The worker's load report, if the response carried one.
    pub load: Option<LoadReport>,
}

impl Dispatcher {
    /// Ends a job that was not served: as rejected if its client may send it again, otherwise as failed.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let wait = (job.slots as f64 / self.rate.partial(1.0)).min(self.settings.max_retry_after);
        // A client that honors the retry-after must be able to retry within the retry window.
        let may_return =
            |attempt: &Attempt| job.settings.allows_client_retry(self.now + wait - attempt.sent_at);
        let is_retry_harmless = job.possible_runs().next().is_none_or(may_return);
        let action = if is_retry_harmless { self.rejection(id, wait) } else { Action::Fail { request: id } };
        actions.push(action);
        self.finish(id);
    }

    /// Marks a job as answered; its state is kept until all its attempts have ended.
    fn finish(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = JobState::Ended;
        if !job.has_open_attempt() {
            self.jobs.remove(&id);
        }
    }

    /// Updates the estimates with the wait of a job that began to run.
    pub(super) fn on_job_started(&mut self, id: RequestId, number: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let class = job.class();
        let log_work = job.log_work;
        let Some(attempt) = job.start_attempt(number, self.now) else { return };
        let index = attempt.worker;
        let wait = self.now - attempt.sent_at;
        let log_slowdown = self.fleet.log_slowdown(index, &self.workload.slowdowns, self.now);
        let run_time = self.workload.rate_window() * log_slowdown.exp();
        self.fleet.queueing_curve.learn(attempt.utilization, wait / run_time);
        let variance = self.workload.run_times[class].variance();
        let running = RunningJob { started_at: self.now, log_work, variance };
        self.fleet.workers[index].running.push(running);
        self.fleet.record_liveness(index, self.now);
        self.workload.record_wait(wait);
        if self.settings.load_reports != LoadReports::WithResponses {
            self.fleet.record_wait(index, wait, self.observation_time());
        }
    }

    /// Records a progress report as a sign of life of the worker.
    pub(super) fn on_progress(&mut self, id: RequestId, number: u32) {
        let Some(job) = self.jobs.get(&id) else { return };
        if let Some(attempt) = job.attempts.get(number as usize) {
            self.fleet.record_liveness(attempt.worker, self.now);
        }
    }

    /// Updates the estimates with the end of an attempt, then ends the job or sends it again.
    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.request;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(ended) = job.end_attempt(end.number, end.outcome) else { return };
        self.record_attempt(&ended, end.load);
        let Some(job) = self.jobs.get(&id) else { return };
        if end.is_complete || ended.was_answered {
            if self.settings.cancellation_allowed && !ended.was_answered {
                actions.extend(job.cancel_actions());
            }
            self.finish(id);
            return self.place_admitted(actions);
        }
        if job.has_open_attempt() {
            return;
        }
        if end.outcome == Outcome::InvalidRequest {
            actions.push(Action::Fail { request: id });
            return self.finish(id);
        }
        if self.may_retry(job) {
            self.admit(id, actions);
        } else {
            self.reject_or_fail(id, actions);
        }
    }

    /// Whether a job without an open attempt may be sent again and can still start in time.
    fn may_retry(&self, job: &Job) -> bool {
        let is_harmless = job.never_ran() || job.settings.allows_repeats();
        let has_expired = job.has_expired(self.now, self.settings.clock_resolution);
        is_harmless && !has_expired && job.start_by > self.now
    }

    /// Updates the state of the worker, the counts of the rate window and the running times with the end of
    /// an attempt.
    fn record_attempt(&mut self, ended: &EndedAttempt, load: Option<LoadReport>) {
        let index = ended.attempt.worker;
        self.fleet.add_slots(index, -ended.size, self.observation_time());
        self.fleet.workers[index].end_attempt(ended.attempt.started_at, ended.log_work);
        if ended.outcome != Outcome::Overloaded {
            self.apply_load_report(index, load);
        }
        if ended.outcome.is_response() {
            self.fleet.record_liveness(index, self.now);
        }
        match ended.outcome {
            Outcome::Ok => self.record_served(ended),
            Outcome::Overloaded => self.record_overloaded(ended),
            Outcome::Timeout => self.record_timeout(ended),
            Outcome::ConnectFailed => self.record_failure(index),
            // Only the first failure of a job counts, so that a faulty job does not eject many workers.
            Outcome::Reset | Outcome::Error if ended.failed_before => {}
            Outcome::Reset | Outcome::Error => self.record_failure(index),
            // An invalid request never ran as a job, so its tenant gets the tokens back.
            Outcome::InvalidRequest => {
                let slots = ended.size.ceil() as i64;
                self.banks[ended.request.tenant as usize].refund(slots);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
        }
    }

    /// Updates the load estimate of a worker that rejected a job as overloaded. The rejection itself is newer
    /// than the load report in the response, so the report is not applied.
    fn record_overloaded(&mut self, ended: &EndedAttempt) {
        let index = ended.attempt.worker;
        if ended.is_retry {
            self.rate.record_rejection(index, ended.size);
        }
        let worker = &self.fleet.workers[index];
        let other_slots = OVERLOADED_UTILIZATION * self.fleet.slots_of(worker) - worker.our_slots;
        self.fleet.record_other_slots(index, other_slots, self.now);
    }

    /// Counts a timeout as congestion, and also as a failure of the worker if the job did not start.
    fn record_timeout(&mut self, ended: &EndedAttempt) {
        self.rate.record_rejection(ended.attempt.worker, ended.size);
        if ended.attempt.started_at.is_none() {
            self.record_failure(ended.attempt.worker);
        }
    }

    /// Updates the counts of the rate window, the running times and the health of the worker with a job that
    /// was served.
    fn record_served(&mut self, ended: &EndedAttempt) {
        let index = ended.attempt.worker;
        self.record_served_wait(ended);
        self.fleet.record_success(index);
        self.fleet.workers[index].keep_connection(self.now, self.settings.keep_alive);
        if self.settings.keep_alive > 0.0 {
            self.remember_probed(index);
        }
        if ended.has_measured_run() {
            let class = ended.request.class as usize;
            let hint = ended.request.expected_run_time;
            let slowdowns = self.fleet.slowdowns_of(index);
            self.workload.record_run(class, ended.run_time(self.now), hint, slowdowns, self.now);
        }
    }

    /// Counts a served job as accepted, or as rejected if it waited long. A long wait indicates congestion,
    /// whereas a long run depends on the job or the worker.
    fn record_served_wait(&mut self, ended: &EndedAttempt) {
        let run_times = &self.workload.run_times[ended.request.class as usize];
        let likely_run_time = run_times.mean * ended.settings.run_time_allowance().max(1.0);
        let slack = run_times.start_slack(&ended.settings, ended.request.expected_run_time);
        if ended.wait(self.now, likely_run_time) <= CONGESTED_WAIT * slack {
            self.rate.accepted += ended.size;
        } else {
            self.rate.record_rejection(ended.attempt.worker, ended.size);
        }
    }

    /// Ends a job whose client has disconnected, and cancels its open attempts if that is allowed.
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
