//! Replacement of a replica by a new one, through a joint configuration.
//!
//! The new replica is added as a learner. When it has caught up, a joint configuration exchanges the two replicas:
//! majorities of both the old and the new voters must agree. Leaving the joint configuration completes the
//! replacement. Each step is derived from committed state, so that the next leader continues a replacement that its
//! predecessor began.

use std::collections::BTreeMap;

use coordination::{Command, CommandRejection, Micros, ReplicaReplacement};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, ConfState, Entry,
    EntryType,
};

use super::Replica;
use crate::display::replica_list;
use crate::error::{CoordinatorError, UnsupportedFormat};

/// Maximum number of entries that a learner may lag behind to become a voter.
const MAX_LEARNER_LAG: u64 = 64;

/// Next step of a replacement.
enum ReplacementStep {
    AddLearner,
    WaitForLearner,
    /// The leader is the replica to be replaced, so another leader must continue.
    TransferLeadership,
    ExchangeVoters,
    LeaveJointConfiguration,
    Finish,
}

impl Replica {
    /// Returns the addresses of replicas that were added since the installation was set up.
    #[must_use]
    pub fn added_replicas(&self) -> &BTreeMap<u64, String> {
        self.state.added_replicas()
    }

    /// Returns why the configuration does not allow replacing `old` by `new`; `None` if it allows it.
    pub(super) fn replacement_rejection(&self, old: u64, new: u64) -> Option<CommandRejection> {
        let voters = self.configuration.get_voters();
        if !voters.contains(&old) && self.state.replacement_in_progress().is_none() {
            return Some(CommandRejection::InvalidReplacement(format!(
                "replica {old} is not a voter; the voters are {}",
                replica_list(voters)
            )));
        }
        voters
            .contains(&new)
            .then(|| CommandRejection::InvalidReplacement(format!("replica {new} is a voter already")))
    }

    /// Proposes the next step of the replacement in progress, if this replica leads and no step is pending.
    pub(super) fn advance_replacement(&mut self, now: Micros) {
        let Some(replacement) = self.state.replacement_in_progress().filter(|_| self.is_leader()) else {
            return;
        };
        let is_recent = |proposed_at: Micros| now.saturating_sub(proposed_at) < self.timing.election_timeout;
        if self.raw_node.raft.has_pending_conf() || self.configuration_proposed_at.is_some_and(is_recent) {
            return;
        }
        self.configuration_proposed_at = Some(now);
        let ReplicaReplacement { old, new } = replacement;
        match self.next_replacement_step(replacement) {
            ReplacementStep::AddLearner => {
                self.propose_change(&[single_change(ConfChangeType::AddLearnerNode, new)]);
            }
            ReplacementStep::WaitForLearner => {}
            ReplacementStep::TransferLeadership => self.transfer_leadership_except(new),
            ReplacementStep::ExchangeVoters => self.propose_exchange(old, new),
            ReplacementStep::LeaveJointConfiguration => self.propose_change(&[]),
            ReplacementStep::Finish => {
                self.propose_without_client(&Command::CompleteReplacement { old });
            }
        }
    }

    fn next_replacement_step(&self, ReplicaReplacement { old, new }: ReplicaReplacement) -> ReplacementStep {
        let voters = self.configuration.get_voters();
        if !self.configuration.get_voters_outgoing().is_empty() {
            ReplacementStep::LeaveJointConfiguration
        } else if voters.contains(&new) && !voters.contains(&old) {
            ReplacementStep::Finish
        } else if !voters.contains(&new) && !self.configuration.get_learners().contains(&new) {
            ReplacementStep::AddLearner
        } else if old == self.identity.replica_id {
            ReplacementStep::TransferLeadership
        } else if self.has_caught_up(new) {
            ReplacementStep::ExchangeVoters
        } else {
            ReplacementStep::WaitForLearner
        }
    }

    fn has_caught_up(&self, learner: u64) -> bool {
        let raft = &self.raw_node.raft;
        let committed = raft.raft_log.committed;
        raft.prs()
            .get(learner)
            .is_some_and(|progress| progress.recent_active && progress.matched + MAX_LEARNER_LAG >= committed)
    }

    fn propose_exchange(&mut self, old: u64, new: u64) {
        let mut change = ConfChangeV2::default();
        change.set_transition(ConfChangeTransition::Explicit);
        let added = single_change(ConfChangeType::AddNode, new);
        let removed = single_change(ConfChangeType::RemoveNode, old);
        change.set_changes(vec![added, removed].into());
        let _ = self.raw_node.propose_conf_change(Vec::new(), change);
    }

    /// Proposes these changes of the configuration. An empty list leaves a joint configuration.
    fn propose_change(&mut self, changes: &[ConfChangeSingle]) {
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.to_vec().into());
        let _ = self.raw_node.propose_conf_change(Vec::new(), change);
    }

    /// Applies a committed change of the configuration.
    ///
    /// # Errors
    /// Returns [`CoordinatorError::UnsupportedFormat`] if the entry cannot be read, [`CoordinatorError::Raft`] if Raft
    /// rejects the change, and [`CoordinatorError::Replaced`] if it removes this replica.
    pub(super) fn apply_configuration_change(&mut self, entry: &Entry) -> Result<(), CoordinatorError> {
        let changed = self.decode_and_apply_change(entry)?;
        let removed = self.votes_in(&self.configuration) && !self.votes_in(&changed);
        self.raw_node.mut_store().log.wl().set_conf_state(changed.clone());
        self.configuration = changed;
        self.configuration_changed = true;
        self.state.skip_entry(entry.index);
        if removed {
            return Err(CoordinatorError::Replaced { replica_id: self.identity.replica_id });
        }
        Ok(())
    }

    fn decode_and_apply_change(&mut self, entry: &Entry) -> Result<ConfState, CoordinatorError> {
        let unsupported = |source| UnsupportedFormat::ConfigurationChange { index: entry.index, source };
        let changed = if entry.get_entry_type() == EntryType::EntryConfChange {
            let mut change = ConfChange::default();
            change.merge_from_bytes(&entry.data).map_err(unsupported)?;
            self.raw_node.apply_conf_change(&change)?
        } else {
            let mut change = ConfChangeV2::default();
            change.merge_from_bytes(&entry.data).map_err(unsupported)?;
            self.raw_node.apply_conf_change(&change)?
        };
        Ok(changed)
    }

    fn votes_in(&self, configuration: &ConfState) -> bool {
        let mut voters = configuration.get_voters().iter().chain(configuration.get_voters_outgoing());
        voters.any(|voter| *voter == self.identity.replica_id)
    }
}

fn single_change(change_type: ConfChangeType, replica: u64) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(change_type);
    change.node_id = replica;
    change
}
