//! Leadership of this replica, and its transfer.

use coordination::{LeaderState, Micros};
use disruption_budget::PermitTimeouts;
use raft::StateRole;

use super::{Output, Replica};
use crate::error::CoordinatorError;

/// Placeholder for "no replica"; the numbers of replicas start at 1.
const NO_REPLICA: u64 = 0;

impl Replica {
    /// Returns whether this replica leads: it was elected and has applied an entry of its term.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.leader_state.is_some()
    }

    /// Transfers the leadership, if this replica has it, to the peer with the most complete log.
    ///
    /// # Errors
    /// Returns an error if the replica must stop.
    pub fn transfer_leadership(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        self.transfer_leadership_except(NO_REPLICA);
        self.advance(now)
    }

    /// Transfers the leadership to a peer other than `excluded`.
    pub(super) fn transfer_leadership_except(&mut self, excluded: u64) {
        let raft = &self.raw_node.raft;
        if raft.state != StateRole::Leader {
            return;
        }
        let voters = self.configuration.get_voters();
        let may_lead =
            |peer: u64| peer != self.identity.replica_id && peer != excluded && voters.contains(&peer);
        let candidates = raft.prs().iter().filter(|(peer, _)| may_lead(**peer));
        let successor = candidates.max_by_key(|(_, progress)| progress.matched).map(|(peer, _)| *peer);
        if let Some(successor) = successor {
            self.raw_node.transfer_leader(successor);
        }
    }

    /// Updates the leadership. A replica considers itself leader only after it has applied an entry of its term, and
    /// with it all entries that were committed before.
    pub(super) fn update_leadership(&mut self, now: Micros) {
        let raft = &self.raw_node.raft;
        if raft.leader_id != self.leader_id {
            self.leader_id = raft.leader_id;
            self.election_count += u64::from(self.leader_id != NO_REPLICA);
        }
        let leads = raft.state == StateRole::Leader && raft.apply_to_current_term();
        let leading_term = leads.then_some(raft.term);
        if leading_term == self.leading_term {
            return;
        }
        self.leading_term = leading_term;
        self.outputs.push(Output::LeadershipChanged { leading_term });
        self.leader_state = leading_term.map(|_| LeaderState::new(self.timing, now, &self.state));
        self.permit_timeouts = PermitTimeouts::default();
        self.permit_timeouts.update(now, self.state.disruption());
        self.propose_start_counts();
        self.redirect_waiting_clients();
    }

    /// Redirects all waiting clients to the next leader. Their proposals may still be committed. Clients may repeat
    /// them nevertheless, because requests are idempotent.
    fn redirect_waiting_clients(&mut self) {
        let response = self.not_leader_response();
        let mut requesters = self.proposals.drain();
        requesters.extend(self.renewals.drain());
        for requester in requesters {
            self.respond(requester, response.clone());
        }
    }
}
