//! Renewals of sessions. They are not written to the log, but only the leader may confirm them. A read-index round lets
//! a majority confirm the leadership, and the renewals of the round succeed once its read index is applied.

use std::collections::VecDeque;

use cluster_member::wire::{MemberList, Peer, Response};
use coordination::{Micros, Revision, SessionId};
use raft::ReadState;

use super::proposals::Requester;
use super::{status, Replica};

/// Renewal that has no response yet.
pub(super) struct PendingRenewal {
    pub(super) requester: Requester,
    pub(super) session: SessionId,
    /// Revision of the last view that the member applied.
    pub(super) known_view: Revision,
    /// Revision of the member list that the member has; `None` if it needs no list.
    pub(super) known_members: Option<Revision>,
}

/// Renewals that wait until a majority has confirmed the leadership.
struct ReadIndexRound {
    /// Number of the request in its Raft context.
    request: u64,
    started_at: Micros,
    renewals: Vec<PendingRenewal>,
}

/// Confirmed renewals that wait until their read index is applied.
struct ConfirmedRenewals {
    read_index: Revision,
    renewals: Vec<PendingRenewal>,
}

/// Renewals that have no response yet.
#[derive(Default)]
pub(super) struct RenewalQueue {
    /// Renewals of the next round.
    queued: Vec<PendingRenewal>,
    round: Option<ReadIndexRound>,
    confirmed: VecDeque<ConfirmedRenewals>,
}

impl RenewalQueue {
    pub(super) fn push(&mut self, renewal: PendingRenewal) {
        self.queued.push(renewal);
    }

    /// Returns the number of renewals of the next round.
    pub(super) fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Removes all renewals and returns their clients.
    pub(super) fn drain(&mut self) -> Vec<Requester> {
        let RenewalQueue { queued, round, confirmed } = std::mem::take(self);
        let in_round = round.into_iter().flat_map(|round| round.renewals);
        let confirmed = confirmed.into_iter().flat_map(|confirmed| confirmed.renewals);
        let all = queued.into_iter().chain(in_round).chain(confirmed);
        all.map(|renewal| renewal.requester).collect()
    }
}

impl Replica {
    /// Starts a round for the queued renewals, unless one is running.
    pub(super) fn start_read_index_round(&mut self, now: Micros) {
        if !self.is_leader() || self.renewals.round.is_some() || self.renewals.queued.is_empty() {
            return;
        }
        let context = self.proposals.next_context();
        self.raw_node.read_index(context.encode());
        let renewals = std::mem::take(&mut self.renewals.queued);
        self.renewals.round = Some(ReadIndexRound { request: context.request, started_at: now, renewals });
    }

    /// Abandons a round that a majority did not confirm within the election timeout.
    pub(super) fn abandon_expired_round(&mut self, now: Micros) {
        let expired =
            |round: &ReadIndexRound| now.saturating_sub(round.started_at) > self.timing.election_timeout;
        if !self.renewals.round.as_ref().is_some_and(expired) {
            return;
        }
        for renewal in self.renewals.round.take().into_iter().flat_map(|round| round.renewals) {
            self.respond(renewal.requester, Response::Busy);
        }
    }

    /// Records the rounds that a majority confirmed.
    pub(super) fn confirm_rounds(&mut self, read_states: Vec<ReadState>) {
        for read_state in read_states {
            let request = self.proposals.own_request(&read_state.request_ctx);
            if self.renewals.round.as_ref().is_some_and(|round| Some(round.request) == request) {
                let renewals = self.renewals.round.take().map(|round| round.renewals).unwrap_or_default();
                self.renewals
                    .confirmed
                    .push_back(ConfirmedRenewals { read_index: read_state.index, renewals });
            }
        }
    }

    /// Responds to the renewals whose read index is applied.
    pub(super) fn respond_to_confirmed_renewals(&mut self, now: Micros) {
        let applied = self.state.revision();
        while self.renewals.confirmed.front().is_some_and(|confirmed| confirmed.read_index <= applied) {
            let Some(confirmed) = self.renewals.confirmed.pop_front() else { return };
            for renewal in confirmed.renewals {
                let Some(response) = self.renewal_response(&renewal, now) else { return };
                self.respond(renewal.requester, response);
            }
        }
    }

    /// Builds the response to a confirmed renewal; returns `None` if this replica no longer leads.
    fn renewal_response(&mut self, renewal: &PendingRenewal, now: Micros) -> Option<Response> {
        let leader_state = self.leader_state.as_mut()?;
        let renewed = leader_state.renew_session(renewal.session, renewal.known_view, now, &self.state);
        if let Err(reason) = renewed {
            return Some(Response::Rejected(reason));
        }
        let view_changed = self.state.lease_revision() > renewal.known_view;
        let member_list_revision = self.state.membership_revision();
        let members_changed = renewal.known_members.is_some_and(|known| known < member_list_revision);
        Some(Response::SessionRenewed {
            view: view_changed.then(|| self.state.view()),
            members: members_changed
                .then(|| MemberList { revision: member_list_revision, members: self.member_list() }),
        })
    }

    /// Returns the members, sorted by name.
    fn member_list(&self) -> Vec<Peer> {
        let sessions = self.state.sessions().values().filter(|session| !session.superseded);
        let mut members: Vec<Peer> = sessions.map(status::peer).collect();
        members.sort();
        members
    }
}
