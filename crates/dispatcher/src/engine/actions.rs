//! Carries out the actions of the decision module.

use super::clock::micros;
use super::event_loop::Engine;
use super::messages::{AttemptId, Command, FinalResponse};
use super::timers::Timer;
use dispatch_core::api::{Action, Outcome};

impl Engine {
    pub(super) fn perform_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, timeout } => self.start_attempt(request, worker, timeout),
            Action::Reject { request, retry_after } => {
                self.answer_request(request, FinalResponse::Rejected { retry_after });
            }
            Action::Fail { request } => self.answer_request(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => {
                self.abandon_attempt(AttemptId { request, number: attempt }, Outcome::Cancelled);
            }
            Action::SetTimer { after, token } => {
                self.timers.set(self.now + micros(after), Timer::Policy(token));
            }
            Action::CloseIdle(worker) => {
                let _ = self.commands.send(Command::CloseIdle(worker));
            }
            Action::Probe(worker) => {
                let _ = self.commands.send(Command::HealthCheck(worker));
            }
            Action::Log(text) => tracing::info!(target: "dispatcher::policy", "{text}"),
            // No effect on sockets: the network layer always watches discovery, and dispatchers exchange no messages.
            Action::Watch(_) | Action::FetchEndpointList | Action::SendToPeer { .. } => {}
        }
    }
}
