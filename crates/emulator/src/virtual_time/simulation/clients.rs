//! Clients: they submit jobs, leave, retry and take their answers.

use dispatch_core::api::{Event, Idempotency, Outcome, Request, RequestId, Seconds};

use super::events::SimulationEvent;
use super::{OpenRequest, Simulation, Submission};
use crate::day::{micros, seconds, Micros};
use crate::metrics::JobOutcome;

/// A request that a router still holds this long after its deadline is answered without it.
const OVERDUE_GRACE: Micros = 10_000;
/// A retry with less time than this is not worth a client's while.
const MIN_RETRY_TIME: Micros = 100_000;

impl Simulation<'_> {
    pub(super) fn schedule_submission(&mut self, job: u32, is_retry: bool, at: Micros, deadline: Micros) {
        self.pending_submissions += 1;
        let submission = self.submissions.len() as u32;
        self.submissions.push(Submission { job, is_retry, deadline });
        self.schedule(at, SimulationEvent::Submit(submission));
    }

    pub(super) fn request_id(submission: u32) -> RequestId {
        RequestId(u64::from(submission) + 1)
    }

    pub(super) fn on_submit(&mut self, submission: u32) {
        self.pending_submissions -= 1;
        let (job_no, deadline) =
            (self.submissions[submission as usize].job, self.submissions[submission as usize].deadline);
        let job = &self.day.jobs[job_no as usize];
        let host = job.dispatcher;
        if job.client_leaves_at.is_some_and(|leaves| leaves <= self.now) {
            return self.record_outcome(submission, JobOutcome::ClientLeft);
        }
        if self.dispatchers[host as usize].router.is_none() {
            // Nobody listens: any class may try again.
            return self.retry_or(submission, None, JobOutcome::Failed(self.now));
        }
        self.open_submissions += 1;
        let id = Self::request_id(submission);
        let class = &self.experiment.traffic.classes[job.class as usize];
        self.checker.record_accepted(id.0, class.idempotency, micros(class.retry_window), deadline);
        let open = OpenRequest { attempts: Vec::new(), answered: false, never_ran: true };
        self.dispatchers[host as usize].open_requests.insert(id, open);
        self.schedule(deadline, SimulationEvent::Deadline(submission));
        if let Some(leaves) = job.client_leaves_at.filter(|leaves| *leaves < deadline) {
            self.schedule(leaves, SimulationEvent::ClientLeaves(submission));
        }
        let request = Request {
            id,
            class: job.class,
            tenant: job.tenant,
            slots: f64::from(job.slots),
            memory: 0.0,
            timeout: seconds(deadline - self.now),
            is_retry: false,
            expected_run_time: None,
            affinity_key: None,
        };
        self.deliver(host, Event::Request(request));
        let answered =
            self.dispatchers[host as usize].open_requests.get(&id).is_none_or(|open| open.answered);
        if !answered {
            self.record.admitted[job_no as usize] = true;
        }
    }

    pub(super) fn is_open(&self, submission: u32) -> bool {
        let host = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        self.dispatchers[host as usize]
            .open_requests
            .get(&Self::request_id(submission))
            .is_some_and(|open| !open.answered)
    }

    pub(super) fn on_client_leaves(&mut self, submission: u32) {
        if !self.is_open(submission) {
            return;
        }
        let id = Self::request_id(submission);
        self.checker.waive_response(id.0);
        self.record_outcome(submission, JobOutcome::ClientLeft);
        self.mark_answered(submission);
        let host = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        self.deliver(host, Event::ClientDisconnected(id));
        self.close_if_complete(host, id);
    }

    pub(super) fn on_deadline(&mut self, submission: u32) {
        if !self.is_open(submission) {
            return;
        }
        let host = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        let out = self.dispatchers[host as usize]
            .open_requests
            .get(&Self::request_id(submission))
            .map(|o| o.attempts.clone());
        for attempt in out.unwrap_or_default() {
            self.abandon_attempt(attempt, Outcome::Timeout);
        }
        if self.is_open(submission) {
            self.schedule(self.now + OVERDUE_GRACE, SimulationEvent::Overdue(submission));
        }
    }

    pub(super) fn on_overdue(&mut self, submission: u32) {
        if !self.is_open(submission) {
            return;
        }
        let id = Self::request_id(submission);
        let host = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        let open = self.dispatchers[host as usize].open_requests.get(&id);
        let harmless = open
            .is_some_and(|o| o.never_ran && !o.attempts.iter().any(|a| self.attempts[*a as usize].in_flight));
        self.answer(submission, harmless.then_some(None));
        self.deliver(host, Event::ClientDisconnected(id));
        self.close_if_complete(host, id);
    }

    /// Gives the client its answer: refused with when to come back, or failed.
    pub(super) fn answer(&mut self, submission: u32, refused: Option<Option<Seconds>>) {
        if !self.is_open(submission) {
            return;
        }
        let id = Self::request_id(submission);
        self.checker.record_response(id.0, refused.is_some(), self.now);
        let job = &self.day.jobs[self.submissions[submission as usize].job as usize];
        let class = &self.experiment.traffic.classes[job.class as usize];
        match refused {
            Some(after) => self.retry_or(submission, after, JobOutcome::Rejected(self.now)),
            None if class.idempotency == Idempotency::Idempotent => {
                self.retry_or(submission, None, JobOutcome::Failed(self.now))
            }
            None => self.record_outcome(submission, JobOutcome::Failed(self.now)),
        }
        self.mark_answered(submission);
    }

    /// The client tries once more where it does that, or takes the end as it is.
    pub(super) fn retry_or(&mut self, submission: u32, after: Option<Seconds>, end: JobOutcome) {
        let (job_no, is_retry, deadline) = {
            let entry = &self.submissions[submission as usize];
            (entry.job, entry.is_retry, entry.deadline)
        };
        let job = &self.day.jobs[job_no as usize];
        let Some(wait) = job.retry_backoff.filter(|_| !is_retry) else {
            return self.record_outcome(submission, end);
        };
        let asked = after.filter(|_| job.honours_retry_after).map_or(0, micros);
        let at = self.now + wait.max(asked);
        if at + MIN_RETRY_TIME > deadline {
            return self.record_outcome(submission, end);
        }
        self.schedule_submission(job_no, true, at, deadline);
    }

    pub(super) fn record_outcome(&mut self, submission: u32, end: JobOutcome) {
        let job = self.submissions[submission as usize].job as usize;
        self.record.outcomes[job] = Some(end);
    }

    /// The try has its answer, or is owed none.
    pub(super) fn mark_answered(&mut self, submission: u32) {
        let host = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        if let Some(open) =
            self.dispatchers[host as usize].open_requests.get_mut(&Self::request_id(submission))
        {
            if !open.answered {
                open.answered = true;
                self.open_submissions -= 1;
            }
        }
    }
}
