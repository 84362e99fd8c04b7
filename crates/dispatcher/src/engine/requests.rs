//! The life of a request in the engine: opened, sent in attempts, answered once, forgotten.

use std::rc::Rc;

use tokio::sync::oneshot;

use super::clock::{micros, seconds, Micros};
use super::event_loop::Engine;
use super::messages::{Answer, AttemptEnd, AttemptId, Command, InvalidRequest, Job};
use super::request_table::{Attempt, OpenRequest};
use super::timers::Timer;
use dispatch_core::api::{Event, Outcome, Request, RequestId, Seconds, WorkerId};

impl Engine {
    pub(super) fn open_request(&mut self, id: RequestId, job: Job, answer: oneshot::Sender<Answer>) {
        if self.shutting_down {
            let _ = answer.send(Answer::Rejected { retry_after: None });
            return;
        }
        // Workers know jobs by these ids: a second one would be taken for the first, and a cancel would end both.
        if !self.requests.claim_client_id(&job.payload.id) {
            let _ = answer.send(Answer::Invalid(InvalidRequest::DuplicateId));
            return;
        }
        let deadline = self.now + job.timeout;
        let open = OpenRequest {
            deadline,
            payload: Rc::new(job.payload),
            answer_sender: Some(answer),
            class: job.request.class as usize,
            attempts: Vec::new(),
        };
        self.requests.insert(id, open);
        self.timers.set(deadline, Timer::Deadline(id));
        let request = Request { id, timeout: seconds(job.timeout), ..job.request };
        match &mut self.held_for_initial_list {
            Some(held) => held.push(request),
            None => self.notify_policy(Event::Request(request)),
        }
    }

    /// Discovery was heard, or waited for for long enough: hands on what came before.
    pub(super) fn release_held_requests(&mut self) {
        for request in self.held_for_initial_list.take().unwrap_or_default() {
            if let Some(open) = self.requests.get(request.id).filter(|open| open.answer_sender.is_some()) {
                let timeout = seconds(open.deadline.saturating_sub(self.now));
                self.notify_policy(Event::Request(Request { timeout, ..request }));
            }
        }
    }

    /// Stops waiting for an attempt that is out, and notes its end for the module.
    pub(super) fn abandon_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        if self.requests.is_in_flight(attempt) {
            let _ = self.commands.send(Command::Cancel(attempt));
            self.abandoned_attempts.push_back(AttemptEnd::without_result(attempt, outcome));
        }
    }

    /// Tells the module of the ends that are noted; what it does then may cause more.
    pub(super) fn report_abandoned_attempts(&mut self) {
        while let Some(end) = self.abandoned_attempts.pop_front() {
            if self.requests.is_in_flight(end.attempt) {
                self.end_attempt(end);
            }
        }
    }

    pub(super) fn end_attempt(&mut self, end: AttemptEnd) {
        let AttemptEnd { attempt: AttemptId { request, number }, outcome, result, load } = end;
        let Some(open) = self.requests.get_mut(request) else { return };
        let ended = &mut open.attempts[number as usize];
        (ended.in_flight, ended.may_have_run) = (false, !outcome.never_ran());
        if outcome == Outcome::Ok {
            if let Some(answer) = open.conclude() {
                let _ = answer.send(Answer::Served(result));
            }
        } else if outcome == Outcome::InvalidRequest {
            if let Some(answer) = open.conclude() {
                let _ = answer.send(Answer::Invalid(InvalidRequest::Unusable));
            }
        }
        let complete = open.answer_sender.is_none();
        self.notify_policy(Event::AttemptEnded { request, attempt: number, outcome, complete, load });
        self.requests.remove_if_finished(request);
    }

    /// Answers a request in the module's stead: it is overdue, or the program ends.
    pub(super) fn force_close(&mut self, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let harmless = !open.attempts.iter().any(|attempt| attempt.may_have_run);
        if let Some(answer) = open.conclude() {
            let _ =
                answer.send(if harmless { Answer::Rejected { retry_after: None } } else { Answer::Failed });
            self.notify_policy(Event::ClientDisconnected(request));
        }
        let attempts = self.requests.attempts(request);
        for number in 0..attempts {
            self.abandon_attempt(AttemptId { request, number }, Outcome::Cancelled);
        }
        self.requests.remove_if_finished(request);
    }

    pub(super) fn start_attempt(&mut self, request: RequestId, worker: WorkerId, timeout: Option<Seconds>) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let attempt = AttemptId { request, number: open.attempts.len() as u32 };
        let may_have_run =
            open.attempts.iter().find(|attempt| attempt.may_have_run).map(|attempt| attempt.sent_at);
        open.attempts.push(Attempt { sent_at: self.now, in_flight: true, may_have_run: true });
        if open.answer_sender.is_none()
            || self.now >= open.deadline
            || open.attempts.len() > self.max_attempts
        {
            self.abandoned_attempts.push_back(AttemptEnd::without_result(attempt, Outcome::NotSent));
            return;
        }
        let wanted = timeout.filter(|t| *t != 0.0).map_or(Micros::MAX, |t| self.now + micros(t));
        let deadline = wanted.min(open.deadline);
        if wanted < open.deadline {
            self.timers.set(wanted, Timer::Attempt(attempt));
        }
        let within = self.retry_windows.get(open.class).copied().unwrap_or(0);
        let latest = may_have_run.map_or(Micros::MAX, |sent| sent.saturating_add(within));
        let payload = open.payload.clone();
        let _ =
            self.commands.send(Command::Attempt { attempt, worker, payload, deadline, not_after: latest });
    }

    pub(super) fn answer_request(&mut self, request: RequestId, answer: Answer) {
        if let Some(sender) = self.requests.get_mut(request).and_then(OpenRequest::conclude) {
            let _ = sender.send(answer);
        }
        self.requests.remove_if_finished(request);
    }
}
