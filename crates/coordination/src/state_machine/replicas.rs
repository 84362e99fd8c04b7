//! Start counts of the replicas' stores, and the replacement of one replica by another.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{CommandResult, StateMachine};
use crate::limits::MAX_TEXT_BYTES;
use crate::{CommandOutcome, CommandRejection};

/// The replacement of one replica by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaReplacement {
    /// Number of the replica that is retired.
    pub old: u64,
    /// Number of the replica that takes its place, never used before.
    pub new: u64,
}

/// Membership changes of the replicas since the installation was set up. Part of snapshots since version 2.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct ReplicaChanges {
    /// Addresses of the added replicas.
    pub(super) addresses: BTreeMap<u64, String>,
    /// Replacement in progress; there is at most one.
    pub(super) in_progress: Option<ReplicaReplacement>,
    /// Numbers that must not be used again.
    retired: BTreeSet<u64>,
}

impl StateMachine {
    /// Records the start count of a replica's store. A count below the recorded one means that the store is an old
    /// copy.
    pub(super) fn record_replica_start(&mut self, replica: u64, starts: u64) -> CommandResult {
        let recorded = self.replica_starts.entry(replica).or_default();
        if starts < *recorded {
            return Err(CommandRejection::StaleStore { starts: *recorded });
        }
        *recorded = starts;
        Ok(CommandOutcome::Acknowledged)
    }

    /// Begins a replacement. Idempotent while the replacement is in progress, because an operator that missed the
    /// response repeats the command.
    pub(super) fn replace_replica(&mut self, old: u64, new: u64, address: &str) -> CommandResult {
        let requested = ReplicaReplacement { old, new };
        if let Some(current) = self.replica_changes.in_progress {
            if current == requested {
                return Ok(CommandOutcome::Acknowledged);
            }
            return invalid(format!(
                "replica {} is still being replaced by replica {}",
                current.old, current.new
            ));
        }
        if old == new || self.is_used_replica_number(new) {
            return invalid(format!(
                "replica number {new} was used before; a new replica needs a new number"
            ));
        }
        if self.replica_changes.retired.contains(&old) {
            return invalid(format!("replica {old} was already replaced"));
        }
        if address.is_empty() || address.len() > MAX_TEXT_BYTES {
            let reason = format!("an address is empty or over {MAX_TEXT_BYTES} bytes");
            return Err(CommandRejection::LimitExceeded(reason));
        }
        self.replica_changes.addresses.insert(new, address.to_owned());
        self.replica_changes.in_progress = Some(requested);
        Ok(CommandOutcome::Acknowledged)
    }

    /// Completes the replacement of this replica and retires its number.
    pub(super) fn complete_replacement(&mut self, old: u64) -> CommandOutcome {
        let changes = &mut self.replica_changes;
        if changes.in_progress.is_some_and(|replacement| replacement.old == old) {
            changes.in_progress = None;
            changes.addresses.remove(&old);
            changes.retired.insert(old);
        }
        CommandOutcome::Acknowledged
    }

    fn is_used_replica_number(&self, number: u64) -> bool {
        self.replica_starts.contains_key(&number)
            || self.replica_changes.retired.contains(&number)
            || self.replica_changes.addresses.contains_key(&number)
    }
}

fn invalid(reason: String) -> CommandResult {
    Err(CommandRejection::InvalidReplacement(reason))
}
