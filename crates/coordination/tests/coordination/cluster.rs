//! A small cluster for the tests: the state machine and the state of its leader.

use coordination::{
    Command, CommandOutcome, FencingToken, LeaderState, LeaseId, Revision, SessionId, StateMachine, Timing,
};

/// One second, in microseconds.
pub const SECOND: u64 = 1_000_000;

/// A state machine with its log position, and the volatile state of its leader. All use one clock.
pub struct Cluster {
    pub state: StateMachine,
    pub leader: LeaderState,
    index: Revision,
}

impl Cluster {
    pub fn new() -> Cluster {
        let state = StateMachine::new(1);
        Cluster { leader: LeaderState::new(Timing::default(), 0, &state), state, index: 0 }
    }

    /// Creates a cluster with one member, which holds [`list_lease`].
    pub fn with_lease_holder() -> Cluster {
        let mut cluster = Cluster::new();
        let session = cluster.open_session(0, "a", 1);
        cluster.run_until_idle(SECOND, &[session]);
        assert!(cluster.holder().is_some());
        cluster
    }

    pub fn apply(&mut self, now: u64, command: &Command) -> CommandOutcome {
        self.index += 1;
        let outcome = self.state.apply(self.index, command);
        self.leader.on_entries_applied(now, &self.state);
        if matches!(outcome, CommandOutcome::Rejected(_)) {
            self.leader.proposal_rejected(command);
        }
        outcome
    }

    pub fn request_session(&mut self, now: u64, name: &str, boot_id: u64) -> CommandOutcome {
        let short_lived = self.leader.is_short_session(name, now, &self.state);
        let zone = "north".to_owned();
        let address = "127.0.0.1:1".to_owned();
        self.apply(
            now,
            &Command::OpenSession {
                name: name.to_owned(),
                boot_id,
                zone,
                address,
                eligible_leases: vec![list_lease()],
                short_lived,
            },
        )
    }

    pub fn open_session(&mut self, now: u64, name: &str, boot_id: u64) -> SessionId {
        match self.request_session(now, name, boot_id) {
            CommandOutcome::SessionOpened { session: id, .. } => id,
            other => panic!("{other:?}"),
        }
    }

    /// Renews these sessions, each acknowledging the latest view, and applies all due commands; repeats this until no
    /// command is due.
    pub fn run_until_idle(&mut self, now: u64, renewed: &[SessionId]) -> Vec<CommandOutcome> {
        let mut outcomes = Vec::new();
        loop {
            for id in renewed {
                self.leader.renew_session(*id, self.state.lease_revision(), now, &self.state).unwrap();
            }
            let due = self.leader.due_commands(now, &self.state);
            if due.is_empty() {
                return outcomes;
            }
            outcomes.extend(due.iter().map(|command| self.apply(now, command)));
        }
    }

    pub fn holder(&self) -> Option<(SessionId, FencingToken)> {
        self.state.leases()[&list_lease()].holder.map(|holder| (holder.session, holder.token))
    }
}

pub fn list_lease() -> LeaseId {
    LeaseId::fleet("list")
}
