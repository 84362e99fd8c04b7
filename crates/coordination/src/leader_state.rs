//! Volatile state of the leading replica, reinitialized after each election.
//!
//! A new leader gives every session its full duration again and waits again for all acknowledgements. Safety depends on
//! the checks of the state machine and on these waits, never on the volatile state of an earlier leader.

use crate::lease_assigner::{AssignmentContext, LeaseAssigner, LeaseCounts};
use crate::session_monitor::SessionMonitor;
use crate::{Command, CommandRejection, Micros, Revision, SessionId, StateMachine, Timing};

/// Volatile state of the leader, from which it derives the commands that become due as time passes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaderState {
    sessions: SessionMonitor,
    assigner: LeaseAssigner,
}

impl LeaderState {
    /// Creates the state of a replica that was just elected and has applied all entries committed before.
    pub fn new(timing: Timing, now: Micros, state: &StateMachine) -> LeaderState {
        let mut leader =
            LeaderState { sessions: SessionMonitor::new(timing), assigner: LeaseAssigner::new(timing) };
        leader.on_entries_applied(now, state);
        leader
    }

    /// Updates the volatile state after log entries were applied to the state machine.
    pub fn on_entries_applied(&mut self, now: Micros, state: &StateMachine) {
        self.sessions.on_entries_applied(now, state);
        self.assigner.on_entries_applied(state);
    }

    /// Renews a session whose member acknowledged the view of this revision. Must be called only after a majority
    /// has confirmed, after the request arrived, that this replica still leads.
    ///
    /// The member measures the session from its request and the leader from `now`, which is later, so the session
    /// expires at the member first.
    ///
    /// # Errors
    /// Returns [`CommandRejection::NoSuchSession`] if the session is unknown or about to expire, and
    /// [`CommandRejection::Superseded`] if a later process of the same name has a session.
    pub fn renew_session(
        &mut self,
        id: SessionId,
        acknowledged: Revision,
        now: Micros,
        state: &StateMachine,
    ) -> Result<(), CommandRejection> {
        self.sessions.renew(id, acknowledged, now, state)
    }

    /// Returns whether the current session of this name would be short if it ended now.
    pub fn is_short_session(&self, name: &str, now: Micros, state: &StateMachine) -> bool {
        let current = state.current_session_of(name);
        current.is_some_and(|(id, _)| self.sessions.is_short(id, now))
    }

    /// Returns the commands to propose now: those that expire sessions, mark sessions as stable and grant leases, or a
    /// rebalance if there are none.
    ///
    /// A command is returned once, and again only after it was passed to [`LeaderState::proposal_rejected`].
    pub fn due_commands(&mut self, now: Micros, state: &StateMachine) -> Vec<Command> {
        let mut due = self.sessions.due_commands(now, state);
        let mut counts = LeaseCounts::of(state);
        let context = AssignmentContext { now, state, sessions: &self.sessions };
        due.extend(self.assigner.grants(&context, &mut counts));
        if due.is_empty() {
            due.extend(self.assigner.rebalance(&context, &counts));
        }
        due
    }

    /// Allows a command to be proposed again after it did not get into the log or was rejected when it was applied.
    pub fn proposal_rejected(&mut self, command: &Command) {
        match command {
            Command::ExpireSession { session, .. } => self.sessions.expiry_rejected(*session),
            Command::MarkSessionStable { session } => self.sessions.stability_rejected(*session),
            Command::GrantLease { lease, fencing_revision, .. } => {
                self.assigner.grant_rejected(lease, *fencing_revision);
            }
            _ => {}
        }
    }
}
