//! Clients, which submit jobs, disconnect, retry and receive responses.

use dispatch_core::api::{Event, Idempotency, Outcome, Request, RequestId, Seconds};

use super::events::SimulationEvent;
use super::{OpenRequest, Simulation, Submission};
use crate::day::{micros, seconds, Micros};
use crate::metrics::JobOutcome;

/// Time after the deadline at which a request is answered without a decision of the router.
const OVERDUE_GRACE: Micros = 10_000;
/// Shortest time left before the deadline in which a client still retries.
const MIN_RETRY_TIME: Micros = 100_000;

/// Final response of a dispatcher that reports no success.
#[derive(Clone, Copy, Debug)]
pub(super) enum Response {
    Rejected { retry_after: Option<Seconds> },
    Failed,
}

impl Simulation<'_> {
    /// Schedules the first submission of a job, or its retry.
    pub(super) fn schedule_submission(&mut self, job: u32, is_retry: bool, at: Micros, deadline: Micros) {
        self.pending_submissions += 1;
        let submission = self.submissions.len() as u32;
        self.submissions.push(Submission { job, is_retry, deadline });
        self.schedule(at, SimulationEvent::Submit(submission));
    }

    /// Returns the request id of a submission: its index plus one.
    pub(super) fn request_id(submission: u32) -> RequestId {
        RequestId(u64::from(submission) + 1)
    }

    pub(super) fn on_submit(&mut self, submission: u32) {
        self.pending_submissions -= 1;
        let Submission { job: job_number, deadline, .. } = self.submissions[submission as usize];
        let job = &self.day.jobs[job_number as usize];
        let dispatcher = job.dispatcher;
        if job.client_leaves_at.is_some_and(|leaves| leaves <= self.now) {
            return self.record_outcome(submission, JobOutcome::ClientLeft);
        }
        if self.dispatchers[dispatcher as usize].router.is_none() {
            // The dispatcher is down, so the connection is refused and a retry is safe for every class.
            return self.retry_or(submission, None, JobOutcome::Failed(self.now));
        }
        self.open_submissions += 1;
        let id = Self::request_id(submission);
        let class = &self.experiment.traffic.classes[job.class as usize];
        self.checker.record_accepted(id.0, class.idempotency, micros(class.retry_window), deadline);
        let open = OpenRequest { attempts: Vec::new(), answered: false, never_ran: true };
        self.dispatchers[dispatcher as usize].open_requests.insert(id, open);
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
        let settings = self.dispatchers[dispatcher as usize].settings.for_job(job.class);
        self.deliver(dispatcher, Event::Request { request, settings });
        let answered =
            self.dispatchers[dispatcher as usize].open_requests.get(&id).is_none_or(|open| open.answered);
        if !answered {
            self.record.admitted[job_number as usize] = true;
        }
    }

    /// Returns whether a submission has reached its dispatcher and has no response yet.
    pub(super) fn is_open(&self, submission: u32) -> bool {
        let dispatcher = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        self.dispatchers[dispatcher as usize]
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
        let dispatcher = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        self.deliver(dispatcher, Event::ClientDisconnected(id));
        self.close_if_complete(dispatcher, id);
    }

    pub(super) fn on_deadline(&mut self, submission: u32) {
        if !self.is_open(submission) {
            return;
        }
        let dispatcher = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        let attempts = self.dispatchers[dispatcher as usize]
            .open_requests
            .get(&Self::request_id(submission))
            .map(|open| open.attempts.clone());
        for attempt in attempts.unwrap_or_default() {
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
        let dispatcher = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        let open = self.dispatchers[dispatcher as usize].open_requests.get(&id);
        let may_reject = open.is_some_and(|open| {
            let in_flight = |attempt: &u32| self.attempts[*attempt as usize].in_flight;
            open.never_ran && !open.attempts.iter().any(in_flight)
        });
        let response = if may_reject { Response::Rejected { retry_after: None } } else { Response::Failed };
        self.respond(submission, response);
        self.deliver(dispatcher, Event::ClientDisconnected(id));
        self.close_if_complete(dispatcher, id);
    }

    /// Sends the client a final response that reports no success.
    pub(super) fn respond(&mut self, submission: u32, response: Response) {
        if !self.is_open(submission) {
            return;
        }
        let id = Self::request_id(submission);
        let is_rejected = matches!(response, Response::Rejected { .. });
        self.checker.record_response(id.0, is_rejected, self.now);
        let job = &self.day.jobs[self.submissions[submission as usize].job as usize];
        let class = &self.experiment.traffic.classes[job.class as usize];
        match response {
            Response::Rejected { retry_after } => {
                self.retry_or(submission, retry_after, JobOutcome::Rejected(self.now))
            }
            Response::Failed if class.idempotency == Idempotency::Idempotent => {
                self.retry_or(submission, None, JobOutcome::Failed(self.now))
            }
            Response::Failed => self.record_outcome(submission, JobOutcome::Failed(self.now)),
        }
        self.mark_answered(submission);
    }

    /// Schedules the retry of the client, or records the outcome if the client does not retry.
    pub(super) fn retry_or(&mut self, submission: u32, retry_after: Option<Seconds>, outcome: JobOutcome) {
        let Submission { job: job_number, is_retry, deadline } = self.submissions[submission as usize];
        let job = &self.day.jobs[job_number as usize];
        let Some(backoff) = job.retry_backoff.filter(|_| !is_retry) else {
            return self.record_outcome(submission, outcome);
        };
        let requested_wait = retry_after.filter(|_| job.honours_retry_after).map_or(0, micros);
        let retry_at = self.now + backoff.max(requested_wait);
        if retry_at + MIN_RETRY_TIME > deadline {
            return self.record_outcome(submission, outcome);
        }
        self.schedule_submission(job_number, true, retry_at, deadline);
    }

    /// Records how the job of a submission ended for its client.
    pub(super) fn record_outcome(&mut self, submission: u32, outcome: JobOutcome) {
        let job = self.submissions[submission as usize].job as usize;
        self.record.outcomes[job] = Some(outcome);
    }

    /// Marks a submission as one that expects no further response.
    pub(super) fn mark_answered(&mut self, submission: u32) {
        let dispatcher = self.day.jobs[self.submissions[submission as usize].job as usize].dispatcher;
        if let Some(open) =
            self.dispatchers[dispatcher as usize].open_requests.get_mut(&Self::request_id(submission))
        {
            if !open.answered {
                open.answered = true;
                self.open_submissions -= 1;
            }
        }
    }
}
