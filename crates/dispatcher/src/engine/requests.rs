//! Life cycle of a request in the engine: it is opened, sent in attempts, answered once and removed.

use std::rc::Rc;

use tokio::sync::oneshot;

use super::clock::{micros, seconds, Micros};
use super::event_loop::Engine;
use super::messages::{AttemptEnd, AttemptId, Command, FinalResponse, InvalidRequest, Job};
use super::request_table::{Attempt, OpenRequest};
use super::timers::Timer;
use dispatch_core::api::{Event, Outcome, Request, RequestId, Seconds, WorkerId};

impl Engine {
    pub(super) fn open_request(
        &mut self,
        id: RequestId,
        job: Job,
        response_sender: oneshot::Sender<FinalResponse>,
    ) {
        if self.shutting_down {
            let _ = response_sender.send(FinalResponse::Rejected { retry_after: None });
            return;
        }
        // Workers identify jobs by the client's id: two open requests with the same id would be one job to them.
        if !self.requests.claim_client_id(&job.payload.id) {
            let _ = response_sender.send(FinalResponse::Invalid(InvalidRequest::DuplicateId));
            return;
        }
        // The client may have left, or sent the request to a process before this one, and the job may have run.
        if self.recent_ids.must_not_run(&job.payload.id, &job.settings, self.now) {
            self.requests.release_client_id(&job.payload.id);
            let _ = response_sender.send(FinalResponse::Invalid(InvalidRequest::RepeatedId));
            return;
        }
        let deadline = self.now + job.timeout;
        let open = OpenRequest {
            deadline,
            payload: Rc::new(job.payload),
            response_sender: Some(response_sender),
            settings: job.settings,
            attempts: Vec::new(),
            sent_id: None,
        };
        self.requests.insert(id, open);
        self.timers.set(deadline, Timer::Deadline(id));
        let request = Request { id, timeout: seconds(job.timeout), ..job.request };
        match &mut self.awaiting_initial_list {
            Some(awaiting) => awaiting.push(request),
            None => self.notify_policy(Event::Request { request, settings: job.settings }),
        }
    }

    /// Removes a request that is finished, with its timers.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let Some(open) = self.requests.take_finished(id) else { return };
        self.timers.cancel(open.deadline, Timer::Deadline(id));
        if let Some(sent_id) = open.sent_id.filter(|_| !open.may_have_run()) {
            self.recent_ids.withdraw(sent_id, self.now);
        }
        for (number, attempt) in (0..).zip(&open.attempts) {
            if let Some(timeout_at) = attempt.timeout_at {
                self.timers.cancel(timeout_at, Timer::Attempt(AttemptId { request: id, number }));
            }
        }
    }

    /// Passes the requests that wait for the first endpoint list to the decision module, and stops holding new ones.
    pub(super) fn release_awaiting_requests(&mut self) {
        for request in self.awaiting_initial_list.take().unwrap_or_default() {
            let Some(open) = self.requests.get(request.id).filter(|open| !open.is_concluded()) else {
                continue;
            };
            let settings = open.settings;
            let timeout = seconds(open.deadline.saturating_sub(self.now));
            self.notify_policy(Event::Request { request: Request { timeout, ..request }, settings });
        }
    }

    /// Starts an attempt that the decision module requested.
    pub(super) fn start_attempt(&mut self, request: RequestId, worker: WorkerId, timeout: Option<Seconds>) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let attempt = AttemptId { request, number: open.attempts.len() as u32 };
        let first_sent_at = open.first_sent_that_may_have_run();
        // A timeout of 0 means none.
        let timeout = timeout.filter(|timeout| *timeout != 0.0);
        let timeout_at = timeout.map(|timeout| self.now + micros(timeout)).filter(|at| *at < open.deadline);
        open.attempts.push(Attempt { sent_at: self.now, timeout_at, in_flight: true, may_have_run: true });
        let may_send = !open.is_concluded()
            && self.now < open.deadline
            && open.attempts.len() <= open.settings.max_attempts();
        if !may_send {
            self.abandoned_attempts.push_back(AttemptEnd::without_result(attempt, Outcome::NotSent));
            return;
        }
        if let Some(timeout_at) = timeout_at {
            self.timers.set(timeout_at, Timer::Attempt(attempt));
        }
        if attempt.number == 0 {
            open.sent_id = self.recent_ids.record_send(&open.payload.id, &open.settings, self.now);
        }
        let retry_window = micros(open.settings.retry_window());
        let not_after = first_sent_at.map_or(Micros::MAX, |sent_at| sent_at.saturating_add(retry_window));
        let _ = self.commands.send(Command::Attempt {
            attempt,
            worker,
            payload: open.payload.clone(),
            deadline: timeout_at.unwrap_or(open.deadline),
            not_after,
        });
    }

    /// Cancels an attempt in flight; its end is reported by [`Self::report_abandoned_attempts`].
    pub(super) fn abandon_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        if self.requests.is_in_flight(attempt) {
            let _ = self.commands.send(Command::Cancel(attempt));
            self.abandoned_attempts.push_back(AttemptEnd::without_result(attempt, outcome));
        }
    }

    /// Reports the ends of abandoned attempts to the decision module, including attempts that it abandons in response.
    pub(super) fn report_abandoned_attempts(&mut self) {
        while let Some(end) = self.abandoned_attempts.pop_front() {
            if self.requests.is_in_flight(end.attempt) {
                self.end_attempt(end);
            }
        }
    }

    /// Ends an attempt that is in flight, and answers its request if the outcome is final.
    pub(super) fn end_attempt(&mut self, end: AttemptEnd) {
        let AttemptEnd { attempt: AttemptId { request, number }, outcome, result, load } = end;
        let Some(open) = self.requests.get_mut(request) else { return };
        let ended = &mut open.attempts[number as usize];
        ended.in_flight = false;
        ended.may_have_run = !outcome.never_ran();
        match outcome {
            Outcome::Ok => open.answer(FinalResponse::Served(result)),
            Outcome::InvalidRequest => open.answer(FinalResponse::Invalid(InvalidRequest::Unusable)),
            _ => {}
        }
        let complete = open.is_concluded();
        self.notify_policy(Event::AttemptEnded { request, attempt: number, outcome, complete, load });
        self.remove_if_finished(request);
    }

    /// Answers a request in place of the decision module, because the request is overdue or the process ends.
    pub(super) fn force_close(&mut self, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let may_have_run = open.first_sent_that_may_have_run().is_some();
        let response =
            if may_have_run { FinalResponse::Failed } else { FinalResponse::Rejected { retry_after: None } };
        if let Some(response_sender) = open.conclude() {
            let _ = response_sender.send(response);
            self.notify_policy(Event::ClientDisconnected(request));
        }
        for number in 0..self.requests.attempts(request) {
            self.abandon_attempt(AttemptId { request, number }, Outcome::Cancelled);
        }
        self.remove_if_finished(request);
    }

    pub(super) fn answer_request(&mut self, request: RequestId, response: FinalResponse) {
        if let Some(open) = self.requests.get_mut(request) {
            open.answer(response);
        }
        self.remove_if_finished(request);
    }
}
