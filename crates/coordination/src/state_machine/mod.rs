//! The replicated state machine: the same log entries lead to the same state on every replica.
//!
//! [`StateMachine::apply`] is the only way to change it. Each concern has its module: sessions of members, leases and
//! their fencing tokens, membership changes of the replicas, and the snapshot codec.

mod leases;
mod replicas;
mod sessions;
mod snapshot;

use std::collections::BTreeMap;

use disruption_budget::{DisruptionCommand, DisruptionState, OBSERVER_LEASE};
use serde::{Deserialize, Serialize};

use crate::{
    ClusterView, Command, CommandOutcome, CommandRejection, FencingToken, LeaseId, LeaseView, Revision,
    SessionId,
};

pub use leases::Lease;
pub use replicas::ReplicaReplacement;
pub use sessions::Session;
pub use snapshot::SnapshotError;

use replicas::ReplicaChanges;
use sessions::{NameHistory, SessionRequest};

/// Result of applying one command.
type CommandResult = Result<CommandOutcome, CommandRejection>;

/// Replicated state of sessions, leases, replicas and disruptions.
///
/// The order of the fields is the layout of snapshots; see [`StateMachine::snapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateMachine {
    revision: Revision,
    lease_revision: Revision,
    membership_revision: Revision,
    next_token: u64,
    sessions: BTreeMap<SessionId, Session>,
    names: BTreeMap<String, NameHistory>,
    leases: BTreeMap<LeaseId, Lease>,
    replica_starts: BTreeMap<u64, u64>,
    /// Appended to a snapshot of version 2 and later.
    #[serde(skip)]
    replica_changes: ReplicaChanges,
    /// Appended to a snapshot of version 3 and later.
    #[serde(skip)]
    disruption: DisruptionState,
    /// Not part of a snapshot: a restored state has the snapshot's revision here.
    #[serde(skip)]
    disruption_revision: Revision,
}

impl StateMachine {
    /// Creates the state of a new installation. `first_token` must be above every token of an earlier installation.
    pub fn new(first_token: u64) -> StateMachine {
        StateMachine {
            revision: 0,
            lease_revision: 0,
            membership_revision: 0,
            next_token: first_token.max(1),
            sessions: BTreeMap::new(),
            names: BTreeMap::new(),
            leases: BTreeMap::new(),
            replica_starts: BTreeMap::new(),
            replica_changes: ReplicaChanges::default(),
            disruption: DisruptionState::default(),
            disruption_revision: 0,
        }
    }

    /// Returns the position of the last entry that was applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the position of the last entry that changed a lease's holder or fencing revision.
    pub fn lease_revision(&self) -> Revision {
        self.lease_revision
    }

    /// Returns the position of the last entry that opened or ended a session.
    pub fn membership_revision(&self) -> Revision {
        self.membership_revision
    }

    /// Returns the open sessions.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// Returns all leases, held or free.
    pub fn leases(&self) -> &BTreeMap<LeaseId, Lease> {
        &self.leases
    }

    /// Returns the token of the next grant.
    pub fn next_token(&self) -> FencingToken {
        FencingToken(self.next_token)
    }

    /// Returns the committed start counts of the replicas' stores.
    pub fn replica_starts(&self) -> &BTreeMap<u64, u64> {
        &self.replica_starts
    }

    /// Returns the addresses of the replicas that were added after the installation was set up.
    pub fn added_replicas(&self) -> &BTreeMap<u64, String> {
        &self.replica_changes.addresses
    }

    /// Returns the replacement of a replica that is in progress.
    pub fn replacement_in_progress(&self) -> Option<ReplicaReplacement> {
        self.replica_changes.in_progress
    }

    /// Returns the budgets, targets and permits for planned unavailability.
    pub fn disruption(&self) -> &DisruptionState {
        &self.disruption
    }

    /// Injects a bug into the disruption state, in builds for tests.
    #[must_use]
    pub fn with_injected_disruption_bug(self, bug: Option<disruption_budget::InjectedBug>) -> StateMachine {
        StateMachine { disruption: self.disruption.with_injected_bug(bug), ..self }
    }

    /// Returns the position of the last entry that changed the disruption state.
    pub fn disruption_revision(&self) -> Revision {
        self.disruption_revision
    }

    /// Returns the view that members are notified of.
    pub fn view(&self) -> ClusterView {
        let lease_view = |(id, lease): (&LeaseId, &Lease)| LeaseView {
            lease: id.clone(),
            minimum_token: lease.minimum_token,
            holder: lease.holder,
        };
        ClusterView { revision: self.lease_revision, leases: self.leases.iter().map(lease_view).collect() }
    }

    /// Records that a log entry without a command was applied.
    pub fn skip_entry(&mut self, index: Revision) {
        self.revision = self.revision.max(index);
    }

    /// Applies the log entry at this position. An entry that was applied before is not applied again.
    pub fn apply(&mut self, index: Revision, command: &Command) -> CommandOutcome {
        if index <= self.revision {
            return CommandOutcome::Acknowledged;
        }
        self.revision = index;
        self.execute(index, command).unwrap_or_else(CommandOutcome::Rejected)
    }

    fn execute(&mut self, index: Revision, command: &Command) -> CommandResult {
        match command {
            Command::OpenSession { name, boot_id, zone, address, eligible_leases, short_lived } => {
                let request = SessionRequest {
                    name,
                    boot_id: *boot_id,
                    zone,
                    address,
                    eligible_leases,
                    short_lived: *short_lived,
                };
                self.open_session(index, &request)
            }
            Command::CloseSession { session, short_lived }
            | Command::ExpireSession { session, short_lived } => {
                self.end_session(index, *session, *short_lived)
            }
            Command::MarkSessionStable { session } => self.mark_session_stable(*session),
            Command::GrantLease { lease, session, fencing_revision } => {
                self.grant_lease(index, lease, *session, *fencing_revision)
            }
            Command::ReleaseLease { lease, token, reset_stability } => {
                self.release_lease(index, lease, *token, *reset_stability)
            }
            Command::RecordReplicaStart { replica, starts } => self.record_replica_start(*replica, *starts),
            Command::ReplaceReplica { old, new, address } => self.replace_replica(*old, *new, address),
            Command::CompleteReplacement { old } => Ok(self.complete_replacement(*old)),
            Command::Disruption(change) => self.change_disruption(index, change),
        }
    }

    /// Applies a change of the disruption state. An observation is rejected unless its token is that of the current
    /// holder of the observer's lease.
    fn change_disruption(&mut self, index: Revision, change: &DisruptionCommand) -> CommandResult {
        if let DisruptionCommand::RecordObservation { fencing_token, .. } = change {
            let observer = self.leases.get(&LeaseId::fleet(OBSERVER_LEASE)).and_then(|lease| lease.holder);
            if observer.is_none_or(|holder| holder.token != FencingToken(*fencing_token)) {
                return Err(CommandRejection::NotLeaseHolder);
            }
        }
        self.disruption_revision = index;
        Ok(CommandOutcome::Disruption(self.disruption.apply(index, change)))
    }
}
