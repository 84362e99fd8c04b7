//! Handles the inputs of the engine and passes them to the decision module as events.

use super::clock::seconds;
use super::event_loop::Engine;
use super::messages::{AttemptId, Command, Input, ListedEndpoint};
use dispatch_core::api::{Endpoint, Event, ListScope, RequestId};

impl Engine {
    pub(super) fn handle_input(&mut self, input: Input) {
        match input {
            Input::Submit { id, job, response_sender } => self.open_request(id, *job, response_sender),
            Input::ClientDisconnected(request) => self.handle_client_disconnect(request),
            Input::JobStarted(attempt) => self.handle_job_started(attempt),
            Input::Progress { attempt, done } => self.handle_progress(attempt, done),
            Input::AttemptEnded(end) => {
                if self.requests.is_in_flight(end.attempt) {
                    self.end_attempt(end);
                }
            }
            Input::HealthCheckEnded { worker, healthy, load } => {
                self.notify_policy(Event::ProbeEnded { worker, ok: healthy, load });
            }
            Input::UnhealthyReported { worker, observed_ago, valid_for } => {
                let observed_ago = seconds(observed_ago);
                let valid_for = seconds(valid_for);
                self.notify_policy(Event::UnhealthyVerdict { worker, observed_ago, valid_for });
            }
            Input::QuotaGranted { worker, work, expires_at } => {
                self.notify_policy(Event::SlowStartGrant { worker, work, expires_at: seconds(expires_at) });
            }
            Input::EndpointList { scope, endpoints } => self.update_endpoints(scope, endpoints),
            Input::Configure(settings) => self.notify_policy(Event::Settings(&settings)),
            Input::MemoryLimit(limit) => self.set_memory_limit(limit),
            Input::Draining => self.dispatcher.release_slow_start_share(),
            Input::Shutdown => self.shut_down(),
            Input::Barrier(reached) => drop(reached),
        }
        self.report_abandoned_attempts();
    }

    fn handle_client_disconnect(&mut self, request: RequestId) {
        let Some(open) = self.requests.get_mut(request) else { return };
        // The request may have been answered before the disconnect was handled.
        if open.conclude().is_some() {
            self.notify_policy(Event::ClientDisconnected(request));
        }
        self.remove_if_finished(request);
    }

    fn handle_job_started(&mut self, attempt: AttemptId) {
        if self.requests.is_in_flight(attempt) {
            let AttemptId { request, number } = attempt;
            self.notify_policy(Event::JobStarted { request, attempt: number });
        }
    }

    fn handle_progress(&mut self, attempt: AttemptId, done: f64) {
        if self.requests.is_in_flight(attempt) {
            let AttemptId { request, number } = attempt;
            self.notify_policy(Event::Progress { request, attempt: number, done });
        }
    }

    /// Passes a list to the network layer before the decision module: the network layer must know a worker's address
    /// before the worker can be chosen, and must send nothing more to a withdrawn one.
    fn update_endpoints(&mut self, scope: ListScope, listed: Vec<ListedEndpoint>) {
        let endpoints: Vec<Endpoint> = listed.iter().map(|entry| entry.endpoint).collect();
        let _ = self.commands.send(Command::EndpointList { scope, endpoints: listed });
        self.notify_policy(Event::EndpointList { scope, endpoints: &endpoints });
        if scope != ListScope::Cached {
            self.release_awaiting_requests();
        }
    }

    fn shut_down(&mut self) {
        self.shutting_down = true;
        for request in self.requests.ids() {
            self.force_close(request);
        }
    }
}
