//! In-memory log for Raft, with the snapshot for lagging peers.

use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// Copy of the stored log and snapshot in memory.
#[derive(Clone)]
pub(super) struct RaftStorage {
    pub(super) log: MemStorage,
    pub(super) snapshot: Snapshot,
}

impl RaftStorage {
    /// Creates the storage from recovered state.
    pub(super) fn new(
        hard_state: HardState,
        snapshot: Snapshot,
        entries: &[Entry],
    ) -> raft::Result<RaftStorage> {
        let log = MemStorage::new();
        {
            let mut log = log.wl();
            let snapshot_index = snapshot.get_metadata().index;
            // The store of a joining replica has an empty snapshot, which is not part of the log.
            if snapshot_index > 0 {
                log.apply_snapshot(snapshot.clone())?;
            }
            log.append(entries)?;
            let highest_commit = log.hard_state().commit.max(hard_state.commit);
            let commit = hard_state.commit.clamp(snapshot_index, highest_commit);
            let last_index = entries.last().map_or(snapshot_index, |entry| entry.index);
            let term = hard_state.term.max(snapshot.get_metadata().term);
            log.set_hardstate(HardState { commit: commit.min(last_index), term, ..hard_state });
        }
        Ok(RaftStorage { log, snapshot })
    }
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index {
            Ok(metadata.term)
        } else {
            self.log.term(index)
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index >= request_index {
            Ok(self.snapshot.clone())
        } else {
            Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable))
        }
    }
}
