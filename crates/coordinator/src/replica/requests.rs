//! Requests of clients: answered from the state, or proposed and answered once applied.

use cluster_member::wire::{CoordinatorMessage, Operation, Request, Response};
use coordination::{
    Command, CommandOutcome, CommandRejection, FencingToken, LeaseId, Micros, Revision, SessionId,
};
use disruption_budget::DisruptionCommand;

use super::proposals::{PendingProposal, Requester};
use super::read_index::PendingRenewal;
use super::{ConnectionId, Output, Replica};
use crate::error::CoordinatorError;

/// Maximum number of requests that wait for an entry or a read index.
const MAX_PENDING_REQUESTS: usize = 8_192;
/// First version of commands and messages with permits.
const FIRST_VERSION_WITH_PERMITS: u16 = 3;

impl Replica {
    /// Handles the request of a client. The response follows as [`Output::SendToClient`], now or after a later call.
    ///
    /// # Errors
    /// Returns an error if the replica must stop.
    pub fn handle_request(
        &mut self,
        connection: ConnectionId,
        request: Request,
        now: Micros,
    ) -> Result<(), CoordinatorError> {
        let requester = Requester { connection, request_id: request.id };
        if let Operation::Status = request.operation {
            let status = self.status();
            self.respond(requester, Response::Status(Box::new(status)));
            return Ok(());
        }
        if !self.is_leader() {
            let response = self.not_leader_response();
            self.respond(requester, response);
            return Ok(());
        }
        if self.proposals.len() + self.renewals.queued() >= MAX_PENDING_REQUESTS {
            self.respond(requester, Response::Busy);
            return Ok(());
        }
        self.handle_as_leader(requester, request.operation, now);
        self.advance(now)
    }

    fn handle_as_leader(&mut self, requester: Requester, operation: Operation, now: Micros) {
        match operation {
            Operation::OpenSession { name, boot_id, zone, address, eligible_leases } => {
                let short_lived = self.is_short_session(&name, now);
                self.propose(
                    requester,
                    &Command::OpenSession { name, boot_id, zone, address, eligible_leases, short_lived },
                    now,
                );
            }
            Operation::RenewSession { session, known_view, known_members } => {
                self.client_sessions.insert(requester.connection, session);
                self.renewals.push(PendingRenewal { requester, session, known_view, known_members });
            }
            Operation::CloseSession { session } => self.close_session(requester, session, now),
            Operation::ReleaseLease { lease, token } => self.release_lease(requester, lease, token, now),
            Operation::ReplaceReplica { old, new, address } => {
                self.replace(requester, old, new, address, now)
            }
            Operation::ChangeDisruptionState(change) => self.change_disruption_state(requester, change, now),
            Operation::DisruptionState { known_revision } => {
                self.respond_with_disruption_state(requester, known_revision)
            }
            // Handled by `handle_request`, because followers respond too.
            Operation::Status => {}
        }
    }

    fn close_session(&mut self, requester: Requester, session: SessionId, now: Micros) {
        let name = self.state.sessions().get(&session).map(|session| session.name.clone());
        let short_lived = self.is_short_session(&name.unwrap_or_default(), now);
        self.propose(requester, &Command::CloseSession { session, short_lived }, now);
    }

    fn is_short_session(&self, name: &str, now: Micros) -> bool {
        self.leader_state.as_ref().is_some_and(|leader| leader.is_short_session(name, now, &self.state))
    }

    /// Ends the term of a lease with this token, or its running term if no token is given.
    fn release_lease(&mut self, requester: Requester, id: LeaseId, token: Option<FencingToken>, now: Micros) {
        let lease = self.state.leases().get(&id);
        let running = lease.and_then(|lease| lease.holder).map(|holder| holder.token);
        match token.or(running) {
            Some(token) => self.propose(
                requester,
                &Command::ReleaseLease { lease: id, token, reset_stability: true },
                now,
            ),
            None => self.respond(requester, Response::Rejected(CommandRejection::NotLeaseHolder)),
        }
    }

    fn replace(&mut self, requester: Requester, old: u64, new: u64, address: String, now: Micros) {
        match self.replacement_rejection(old, new) {
            Some(reason) => self.respond(requester, Response::Rejected(reason)),
            None => self.propose(requester, &Command::ReplaceReplica { old, new, address }, now),
        }
    }

    fn change_disruption_state(&mut self, requester: Requester, change: DisruptionCommand, now: Micros) {
        match self.voter_without_permits() {
            Some(voter) => {
                let reason = format!("replica {voter} runs a version that does not support permits");
                self.respond(requester, Response::Rejected(CommandRejection::InvalidReplacement(reason)));
            }
            None => self.propose(requester, &Command::Disruption(change), now),
        }
    }

    fn respond_with_disruption_state(&mut self, requester: Requester, known_revision: Revision) {
        let revision = self.state.disruption_revision();
        let state = (revision > known_revision).then(|| Box::new(self.state.disruption().clone()));
        self.respond(requester, Response::DisruptionState { revision, state });
    }

    /// Returns a voter whose version does not support permits: an unsupported command would stop it.
    fn voter_without_permits(&self) -> Option<u64> {
        if self.supported_version < FIRST_VERSION_WITH_PERMITS {
            return Some(self.identity.replica_id);
        }
        let mut voters =
            self.configuration.get_voters().iter().chain(self.configuration.get_voters_outgoing());
        let outdated = |voter: &&u64| {
            self.peers.protocol_version(**voter).is_some_and(|version| version < FIRST_VERSION_WITH_PERMITS)
        };
        voters.find(outdated).copied()
    }

    fn propose(&mut self, requester: Requester, command: &Command, now: Micros) {
        let context = self.proposals.next_context();
        match self.raw_node.propose(context.encode(), command.encode()) {
            Ok(()) => {
                self.proposals.insert(context, PendingProposal { requester, proposed_at: now });
            }
            Err(_) => self.respond(requester, Response::Busy),
        }
    }

    /// Responds to the client whose command was applied.
    pub(super) fn respond_to_proposal(
        &mut self,
        requester: Requester,
        outcome: &CommandOutcome,
        now: Micros,
    ) {
        let response = match outcome {
            CommandOutcome::SessionOpened { session, incarnation } => {
                self.session_opened_response(requester.connection, *session, *incarnation, now)
            }
            CommandOutcome::Rejected(reason) => Response::Rejected(reason.clone()),
            CommandOutcome::Disruption(outcome) => {
                if let disruption_budget::DisruptionOutcome::PermitRequested { permit, .. } = outcome {
                    self.permit_timeouts.renew(*permit, now);
                }
                Response::DisruptionStateChanged(outcome.clone())
            }
            _ => Response::Done,
        };
        self.respond(requester, response);
    }

    /// Builds the response to a member that opened a session. The response makes the session valid at the member, so
    /// only a leader sends it.
    fn session_opened_response(
        &mut self,
        connection: ConnectionId,
        session: SessionId,
        incarnation: u64,
        now: Micros,
    ) -> Response {
        let Some(leader_state) = &mut self.leader_state else { return self.not_leader_response() };
        // Opening a session again renews it, unless its end is proposed.
        match leader_state.renew_session(session, 0, now, &self.state) {
            Ok(()) => {
                self.client_sessions.insert(connection, session);
                Response::SessionOpened { session, incarnation, view: self.state.view() }
            }
            Err(_) => Response::Busy,
        }
    }

    pub(super) fn respond(&mut self, requester: Requester, response: Response) {
        let Requester { connection, request_id } = requester;
        let message = CoordinatorMessage::Response { id: request_id, response };
        self.outputs.push(Output::SendToClient { connection, message });
    }

    /// Builds the response of a follower, with number and address of the leader if there is one.
    pub(super) fn not_leader_response(&self) -> Response {
        let leader =
            Some(self.leader_id).filter(|leader| *leader != 0 && *leader != self.identity.replica_id);
        match leader {
            Some(leader) => {
                let address = self.state.added_replicas().get(&leader).cloned();
                Response::NotLeader { leader: Some(leader), address }
            }
            None => Response::Busy,
        }
    }

    /// Returns the session that was last opened or renewed on a connection.
    #[must_use]
    pub fn session_of(&self, connection: ConnectionId) -> Option<SessionId> {
        self.client_sessions.get(&connection).copied()
    }

    /// Removes a closed connection.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.client_sessions.remove(&connection);
    }
}
