//! Processing of Raft's ready state: store, send, apply; and compaction of the log.

use coordination::{Command, CommandOutcome, Micros, StateMachine};
use raft::eraftpb::{Entry, EntryType, Message, Snapshot};
use raft::{Ready, Storage};

use super::{Output, Replica};
use crate::error::{CoordinatorError, UnsupportedFormat};
use crate::store::{RetainedLog, SnapshotWrite, WriteBatch};

/// Number of entries between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 4_096;
/// Number of entries retained before a snapshot, so that peers that lag by fewer entries need no snapshot.
const RETAINED_ENTRIES: u64 = 512;

/// Restores the replicated state from a snapshot.
pub(super) fn restore_state(snapshot: &Snapshot) -> Result<StateMachine, UnsupportedFormat> {
    let mut state = StateMachine::restore(snapshot.get_data())?;
    state.skip_entry(snapshot.get_metadata().index);
    Ok(state)
}

impl Replica {
    /// Processes Raft's ready state in the order that Raft requires: a leader's messages are sent at once, all others
    /// once the state that they promise has been stored; committed entries are applied last.
    pub(super) fn process_ready(&mut self, now: Micros) -> Result<(), CoordinatorError> {
        let mut ready = self.raw_node.ready();
        self.send_to_peers(ready.take_messages());
        self.confirm_rounds(ready.take_read_states());
        self.store_ready(&ready)?;
        if !ready.snapshot().is_empty() {
            self.install_snapshot(ready.snapshot())?;
        }
        self.raw_node.mut_store().log.wl().append(ready.entries())?;
        if let Some(hard_state) = ready.hs() {
            self.raw_node.mut_store().log.wl().set_hardstate(hard_state.clone());
        }
        self.send_to_peers(ready.take_persisted_messages());
        self.apply_entries(ready.take_committed_entries(), now)?;
        let mut light_ready = self.raw_node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.raw_node.mut_store().log.wl().mut_hard_state().commit = commit;
        }
        self.send_to_peers(light_ready.take_messages());
        self.apply_entries(light_ready.take_committed_entries(), now)?;
        self.raw_node.advance_apply();
        Ok(())
    }

    fn store_ready(&mut self, ready: &Ready) -> Result<(), CoordinatorError> {
        let received = Some(ready.snapshot()).filter(|snapshot| !snapshot.is_empty());
        // A changed commit index alone needs no write, because it is recovered from the peers.
        if !ready.must_sync() && received.is_none() && ready.entries().is_empty() {
            return Ok(());
        }
        self.store.write(&WriteBatch {
            hard_state: ready.hs(),
            entries: ready.entries(),
            snapshot: received.map(|snapshot| SnapshotWrite { snapshot, retained: RetainedLog::Nothing }),
            peers: self.peers.unsaved(),
        })?;
        self.peers.mark_saved();
        Ok(())
    }

    /// Replaces log and replicated state by a snapshot that the leader sent.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), CoordinatorError> {
        self.raw_node.mut_store().log.wl().apply_snapshot(snapshot.clone())?;
        self.state = restore_state(snapshot)?.with_injected_disruption_bug(self.injected_bug);
        self.configuration = snapshot.get_metadata().get_conf_state().clone();
        self.raw_node.mut_store().snapshot = snapshot.clone();
        Ok(())
    }

    fn send_to_peers(&mut self, messages: Vec<Message>) {
        self.outputs.extend(messages.into_iter().map(Output::SendToPeer));
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, now: Micros) -> Result<(), CoordinatorError> {
        for entry in entries {
            if entry.get_entry_type() != EntryType::EntryNormal {
                self.apply_configuration_change(&entry)?;
            } else if entry.data.is_empty() {
                // This is the empty entry with which a leader begins its term.
                self.state.skip_entry(entry.index);
            } else {
                self.apply_command(&entry, now)?;
            }
        }
        Ok(())
    }

    fn apply_command(&mut self, entry: &Entry, now: Micros) -> Result<(), CoordinatorError> {
        let index = entry.index;
        let command = Command::decode_with_supported_version(self.supported_version, &entry.data)
            .map_err(|source| UnsupportedFormat::Command { index, source })?;
        let outcome = self.state.apply(index, &command);
        if let CommandOutcome::Disruption(_) = outcome {
            self.permit_timeouts.update(now, self.state.disruption());
        }
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.on_entries_applied(now, &self.state);
            if matches!(outcome, CommandOutcome::Rejected(_)) {
                leader_state.proposal_rejected(&command);
            }
        }
        if let Some(proposal) = self.proposals.remove(&entry.context) {
            let _ = self.commit_latency.record(now.saturating_sub(proposal.proposed_at).max(1));
            self.respond_to_proposal(proposal.requester, &outcome, now);
        }
        let digest = if self.digests_enabled { self.state.digest() } else { 0 };
        self.outputs.push(Output::Applied { index, command, outcome, digest });
        Ok(())
    }

    /// Compacts the log if it has grown by `SNAPSHOT_INTERVAL` entries, or if the configuration changed, because the
    /// snapshot must contain the new configuration.
    pub(super) fn compact_log_if_due(&mut self) -> Result<(), CoordinatorError> {
        let last_snapshot = self.raw_node.store().snapshot.get_metadata().index;
        if self.configuration_changed || self.state.revision() >= last_snapshot + SNAPSHOT_INTERVAL {
            self.configuration_changed = false;
            self.compact_log()?;
        }
        Ok(())
    }

    /// Writes a snapshot of the applied state and drops most of the log before it.
    fn compact_log(&mut self) -> Result<(), CoordinatorError> {
        let index = self.state.revision();
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = index;
        snapshot.mut_metadata().term = self.raw_node.store().term(index)?;
        snapshot.mut_metadata().set_conf_state(self.configuration.clone());
        snapshot.set_data(self.state.snapshot().into());
        let compacted_up_to = index.saturating_sub(RETAINED_ENTRIES);
        let written = SnapshotWrite { snapshot: &snapshot, retained: RetainedLog::After(compacted_up_to) };
        self.store.write(&WriteBatch { snapshot: Some(written), ..WriteBatch::default() })?;
        self.raw_node.mut_store().log.wl().compact(compacted_up_to + 1)?;
        self.raw_node.mut_store().snapshot = snapshot;
        Ok(())
    }
}
