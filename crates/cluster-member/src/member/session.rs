//! Connection of a member to one replica: opens and renews the session and applies what the replica sends.

use std::time::Duration;

use coordination::{ClusterView, CommandRejection, HeldLease, Micros, SessionId};
use serde::Serialize;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use super::{Member, MembershipEnd, Replica};
use crate::clock;
use crate::record::RecordKind;
use crate::wire::{
    ClientHello, ClientIdentity, Connection, ConnectionError, CoordinatorMessage, LeaderHint, MemberList,
    Operation, Request, Response, SCHEMA_VERSION,
};

/// Outcome of a connection to a replica.
pub(super) enum SessionOutcome {
    /// The member connects to another replica next: the leader if one is named.
    TryAnother(Option<LeaderHint>),
    /// The membership ended.
    Ended(MembershipEnd),
}

/// Next step after a response.
enum NextStep {
    /// Send the next request now.
    RequestNow,
    /// Wait until the session must be renewed.
    AwaitRenewal,
    /// Close the connection.
    Stop(SessionOutcome),
}

/// Next request of a member, with the session that it is sent for.
struct PlannedRequest {
    session: Option<SessionId>,
    operation: Operation,
    /// Whether the member had been requested to leave when the request was planned.
    leaving: bool,
}

/// Response to a request, and whether a new view arrived before it.
struct ReceivedResponse {
    response: Response,
    /// Whether a new view was applied while the response was awaited.
    view_changed: bool,
}

/// Record of a new session.
#[derive(Serialize)]
struct SessionRecord {
    incarnation: u64,
    session: u64,
}

impl Member {
    /// Maintains the session at one replica until the membership ends, the connection fails, or the member must connect
    /// to another replica.
    pub(super) async fn run_session(
        &self,
        replica: Replica,
        boot_id: u64,
    ) -> Result<SessionOutcome, ConnectionError> {
        let Some(mut connection) = self.connect(replica).await? else {
            return Ok(SessionOutcome::TryAnother(None));
        };
        let mut request_id = 0;
        loop {
            let Some(planned) = self.plan_request(boot_id) else {
                return Ok(SessionOutcome::Ended(MembershipEnd::Left));
            };
            request_id += 1;
            let requested_at = clock::now();
            let request = Request { id: request_id, operation: planned.operation.clone() };
            connection.send(&request).await?;
            let received = self.receive_response(&mut connection, request_id).await?;
            match self.apply_response(&planned, requested_at, received.response) {
                NextStep::Stop(outcome) => return Ok(outcome),
                NextStep::AwaitRenewal if !received.view_changed => {
                    self.await_renewal(&mut connection, requested_at).await?;
                }
                NextStep::AwaitRenewal | NextStep::RequestNow => {}
            }
        }
    }

    fn call_timeout(&self) -> Duration {
        Duration::from_micros(self.config.timing.call_timeout)
    }

    /// Connects to a replica; returns `None` if it rejects the handshake.
    async fn connect(&self, replica: Replica) -> Result<Option<Connection>, ConnectionError> {
        let hello = ClientHello {
            schema_version: SCHEMA_VERSION,
            installation: self.config.installation.clone(),
            identity: ClientIdentity::Member { name: self.config.name.clone() },
        };
        let connecting = Connection::connect(replica.address, self.config.local_address, &hello);
        match timeout(self.call_timeout(), connecting).await? {
            Ok((connection, _)) => Ok(Some(connection)),
            Err(ConnectionError::Rejected(rejection)) => {
                tracing::warn!(replica = replica.id, %rejection, "handshake rejected by replica");
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Returns the request that is due; `None` if this member leaves and has no session.
    fn plan_request(&self, boot_id: u64) -> Option<PlannedRequest> {
        let now = clock::now();
        // A session that has expired by this clock is abandoned, because its view may be outdated; a new session starts
        // with a current view.
        let session = self.lease_client.borrow().active_session(now).map(|session| session.id);
        let leaving = *self.leave_requested.borrow();
        let operation = match session {
            None if leaving => return None,
            None => self.open_session(boot_id),
            Some(session) if leaving => Operation::CloseSession { session },
            Some(session) => {
                self.release_lease_operation().unwrap_or_else(|| self.renew_session(session, now))
            }
        };
        Some(PlannedRequest { session, operation, leaving })
    }

    fn open_session(&self, boot_id: u64) -> Operation {
        Operation::OpenSession {
            name: self.config.name.clone(),
            boot_id,
            zone: self.config.zone.clone(),
            address: self.config.address.clone(),
            eligible_leases: self.config.eligible_leases.clone(),
        }
    }

    /// Builds the renewal. Only lease holders request the member list.
    fn renew_session(&self, session: SessionId, now: Micros) -> Operation {
        let lease_client = self.lease_client.borrow();
        let is_lease_holder = !lease_client.held_leases(now).is_empty();
        Operation::RenewSession {
            session,
            known_view: lease_client.applied_revision(),
            known_members: is_lease_holder.then(|| self.members.borrow().revision),
        }
    }

    fn release_lease_operation(&self) -> Option<Operation> {
        let HeldLease { lease, token } = self.pending_releases.borrow().first()?.clone();
        Some(Operation::ReleaseLease { lease, token: Some(token) })
    }

    /// Receives the response to a request. Views that arrive before it are applied.
    async fn receive_response(
        &self,
        connection: &mut Connection,
        request_id: u64,
    ) -> Result<ReceivedResponse, ConnectionError> {
        let mut view_changed = false;
        let deadline = Instant::now() + self.call_timeout();
        loop {
            match timeout_at(deadline, connection.receive()).await?? {
                CoordinatorMessage::Response { id, response } if id == request_id => {
                    return Ok(ReceivedResponse { response, view_changed });
                }
                CoordinatorMessage::Response { .. } => {}
                CoordinatorMessage::ViewChanged { session, view } => {
                    view_changed |= self.apply_view(session, view);
                }
            }
        }
    }

    /// Waits until a renewal is due, a new view must be acknowledged, or a request is pending.
    async fn await_renewal(
        &self,
        connection: &mut Connection,
        requested_at: Micros,
    ) -> Result<(), ConnectionError> {
        // The interval is measured by the clock of leases, from the time of the last request.
        let due_in = (requested_at + self.config.timing.renewal_interval).saturating_sub(clock::now());
        let due = Instant::now() + Duration::from_micros(due_in);
        let mut leave_requested = self.leave_requested.subscribe();
        let mut pending_releases = self.pending_releases.subscribe();
        loop {
            tokio::select! {
                message = connection.receive() => {
                    if let CoordinatorMessage::ViewChanged { session, view } = message? {
                        if self.apply_view(session, view) {
                            return Ok(());
                        }
                    }
                }
                () = sleep_until(due) => return Ok(()),
                _ = leave_requested.wait_for(|requested| *requested) => return Ok(()),
                _ = pending_releases.wait_for(|releases| !releases.is_empty()) => return Ok(()),
            }
        }
    }

    /// Applies a view and returns whether it is new.
    fn apply_view(&self, session: SessionId, view: ClusterView) -> bool {
        let is_new = self.lease_client.borrow_mut().on_view_changed(session, view);
        if is_new {
            self.notify_change();
        }
        is_new
    }

    /// Applies a response and returns the next step.
    fn apply_response(&self, planned: &PlannedRequest, requested_at: Micros, response: Response) -> NextStep {
        let completed = matches!(response, Response::Done | Response::Rejected(_));
        if planned.leaving && completed {
            return NextStep::Stop(SessionOutcome::Ended(MembershipEnd::Left));
        }
        if matches!(planned.operation, Operation::ReleaseLease { .. }) && completed {
            // The term was released by this request or had ended before it.
            self.pending_releases.send_modify(|releases| drop(releases.remove(0)));
            return NextStep::RequestNow;
        }
        match response {
            Response::SessionOpened { session, incarnation, view } => {
                self.session_opened(session, incarnation, requested_at, view);
            }
            Response::SessionRenewed { view, members } => {
                self.session_renewed(planned.session, requested_at, view, members);
            }
            Response::Rejected(CommandRejection::NoSuchSession) => {
                self.lease_client.borrow_mut().on_session_ended()
            }
            Response::Rejected(reason) => {
                return NextStep::Stop(SessionOutcome::Ended(self.membership_end(reason)))
            }
            Response::NotLeader { leader, address } => {
                let leader = LeaderHint::new(leader, address.as_deref());
                return NextStep::Stop(SessionOutcome::TryAnother(leader));
            }
            Response::Busy
            | Response::Done
            | Response::Status(_)
            | Response::DisruptionState { .. }
            | Response::DisruptionStateChanged(_) => {
                return NextStep::Stop(SessionOutcome::TryAnother(None));
            }
        }
        self.notify_change();
        NextStep::AwaitRenewal
    }

    fn session_opened(&self, session: SessionId, incarnation: u64, requested_at: Micros, view: ClusterView) {
        let now = clock::now();
        self.lease_client.borrow_mut().on_session_opened(session, incarnation, requested_at, now, view);
        *self.members.borrow_mut() = MemberList::default();
        tracing::info!(name = self.config.name, session = session.0, incarnation, "session opened");
        self.recorder.record(
            now,
            RecordKind::SessionOpened,
            SessionRecord { incarnation, session: session.0 },
        );
    }

    fn session_renewed(
        &self,
        session: Option<SessionId>,
        requested_at: Micros,
        view: Option<ClusterView>,
        members: Option<MemberList>,
    ) {
        if let Some(session) = session {
            self.lease_client.borrow_mut().on_session_renewed(session, requested_at, clock::now(), view);
        }
        if let Some(members) = members {
            *self.members.borrow_mut() = members;
        }
    }

    /// Converts a rejection into the end of the membership.
    fn membership_end(&self, reason: CommandRejection) -> MembershipEnd {
        match reason {
            CommandRejection::Superseded { incarnation } => {
                tracing::error!(
                    incarnation,
                    "superseded by a later process of the same name; this process is no longer a member"
                );
                MembershipEnd::Superseded { incarnation }
            }
            reason => MembershipEnd::Rejected(reason),
        }
    }
}
