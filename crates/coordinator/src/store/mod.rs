//! Store of a replica in one file: identity, vote, log, snapshot, and the identities of its peers.

mod bootstrap;
mod error;
mod format;

use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;

use cluster_member::wire::StoreIdentity;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadTransaction, ReadableTable, WriteTransaction};
use rustix::fs::{flock, FlockOperation};

pub use bootstrap::{bootstrap, bootstrap_joining};
pub use error::StoreError;

use format::{StoreHeader, LOG_TABLE, META_TABLE, PEERS_TABLE, STORE_FORMAT};

const LOCK_FILE: &str = "keeper.lock";
/// Name of the copy of the store that is opened at a start and then replaces the store.
const OPENING_FILE: &str = "keeper.open";

/// Content of the store at the start.
#[derive(Debug)]
pub struct RecoveredState {
    /// Identity of the store.
    pub identity: StoreIdentity,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// Last snapshot.
    pub snapshot: Snapshot,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Identities of the peers' stores, by the number of the peer.
    pub peers: BTreeMap<u64, StoreIdentity>,
}

/// Store of a replica, locked against other processes.
#[derive(Debug)]
pub struct Store {
    database: Database,
    /// Lock on the store, released when dropped.
    _lock: Option<File>,
}

/// Data written in one transaction.
#[derive(Debug, Default)]
pub struct WriteBatch<'a> {
    /// Term, vote and commit index.
    pub hard_state: Option<&'a HardState>,
    /// New entries; they replace all stored ones from the first new entry's index on.
    pub entries: &'a [Entry],
    /// New snapshot.
    pub snapshot: Option<SnapshotWrite<'a>>,
    /// Changed identities of the peers' stores.
    pub peers: &'a [StoreIdentity],
}

/// Snapshot to be written, and the part of the log that is retained.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotWrite<'a> {
    /// Snapshot to be written.
    pub snapshot: &'a Snapshot,
    /// Part of the log that is retained.
    pub retained: RetainedLog,
}

/// Part of the log that is retained when a snapshot is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetainedLog {
    /// Entries after this index.
    After(u64),
    /// No entries: the snapshot came from the leader.
    Nothing,
}

impl Store {
    /// Opens the store, counts this start, and reads the content.
    ///
    /// # Errors
    /// Returns [`StoreError::Missing`], [`StoreError::Locked`], [`StoreError::UnknownFormat`] or
    /// [`StoreError::WrongReplica`], or another [`StoreError`] if the store cannot be read or written.
    pub fn open(
        directory: &Path,
        installation: &str,
        replica_id: u64,
    ) -> Result<(Store, RecoveredState), StoreError> {
        let file = directory.join(format::STORE_FILE);
        if !file.exists() {
            return Err(StoreError::Missing { file });
        }
        let lock = lock(directory)?;
        // Opening repairs the file after a crash. If a write fails during the repair, as on a full disk, redb marks the
        // damaged file as intact. A copy is opened instead, which is removed on failure, so the store remains
        // unchanged.
        let copy = directory.join(OPENING_FILE);
        let opened = Store::open_copy(&file, &copy, lock, installation, replica_id);
        if opened.is_err() {
            let _ = std::fs::remove_file(&copy);
        }
        let (store, header) = opened?;
        std::fs::rename(&copy, &file)?;
        File::open(directory)?.sync_all()?;
        let recovered = store.recover(&header)?;
        Ok((store, recovered))
    }

    /// Opens a copy of the store and counts this start there.
    fn open_copy(
        file: &Path,
        copy: &Path,
        lock: File,
        installation: &str,
        replica_id: u64,
    ) -> Result<(Store, StoreHeader), StoreError> {
        std::fs::copy(file, copy)?;
        let store = Store { database: Database::open(copy)?, _lock: Some(lock) };
        let mut header = store.read_header()?;
        if header.format != STORE_FORMAT {
            return Err(StoreError::UnknownFormat {
                file: file.to_owned(),
                found: header.format,
                supported: STORE_FORMAT,
            });
        }
        if header.installation != installation || header.replica_id != replica_id {
            return Err(StoreError::WrongReplica {
                file: file.to_owned(),
                found_replica: header.replica_id,
                found_installation: header.installation,
                replica_id,
                installation: installation.to_owned(),
            });
        }
        header.start_count += 1;
        store.write_header(&header)?;
        Ok((store, header))
    }

    fn read_header(&self) -> Result<StoreHeader, StoreError> {
        let transaction = self.database.begin_read()?;
        let meta = transaction.open_table(META_TABLE)?;
        let bytes = meta.get(format::HEADER_KEY)?.ok_or(StoreError::MissingHeader)?;
        Ok(postcard::from_bytes(bytes.value())?)
    }

    /// Writes the header and creates missing tables.
    fn write_header(&self, header: &StoreHeader) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        {
            let mut meta = transaction.open_table(META_TABLE)?;
            let bytes = postcard::to_stdvec(header)?;
            meta.insert(format::HEADER_KEY, bytes.as_slice())?;
            transaction.open_table(LOG_TABLE)?;
            transaction.open_table(PEERS_TABLE)?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn recover(&self, header: &StoreHeader) -> Result<RecoveredState, StoreError> {
        let transaction = self.database.begin_read()?;
        let meta = transaction.open_table(META_TABLE)?;
        let mut hard_state = HardState::default();
        if let Some(bytes) = meta.get(format::HARD_STATE_KEY)? {
            hard_state.merge_from_bytes(bytes.value())?;
        }
        let mut snapshot = Snapshot::default();
        let bytes = meta.get(format::SNAPSHOT_KEY)?.ok_or(StoreError::MissingSnapshot)?;
        snapshot.merge_from_bytes(bytes.value())?;
        let entries = read_entries(&transaction, snapshot.get_metadata().index + 1)?;
        let peers = read_peers(&transaction)?;
        let identity = StoreIdentity {
            replica_id: header.replica_id,
            store_id: header.store_id,
            start_count: header.start_count,
            raft_term: hard_state.term.max(snapshot.get_metadata().term),
        };
        Ok(RecoveredState { identity, hard_state, snapshot, entries, peers })
    }

    /// Writes the batch in one transaction, which is durable when this returns.
    ///
    /// # Errors
    /// Returns an error if the disk is full or faulty. The replica must then stop, because it cannot persist what it
    /// promises to its peers.
    pub fn write(&self, batch: &WriteBatch<'_>) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        if let Some(snapshot) = &batch.snapshot {
            write_snapshot(&transaction, snapshot)?;
        }
        write_entries(&transaction, batch.entries)?;
        if let Some(hard_state) = batch.hard_state {
            let bytes = hard_state.write_to_bytes()?;
            transaction.open_table(META_TABLE)?.insert(format::HARD_STATE_KEY, bytes.as_slice())?;
        }
        write_peers(&transaction, batch.peers)?;
        transaction.commit()?;
        Ok(())
    }
}

/// Writes a snapshot and drops the part of the log that is not retained.
fn write_snapshot(transaction: &WriteTransaction, write: &SnapshotWrite<'_>) -> Result<(), StoreError> {
    let bytes = write.snapshot.write_to_bytes()?;
    transaction.open_table(META_TABLE)?.insert(format::SNAPSHOT_KEY, bytes.as_slice())?;
    let mut log = transaction.open_table(LOG_TABLE)?;
    match write.retained {
        RetainedLog::After(compacted_up_to) => log.retain(|index, _| index > compacted_up_to)?,
        RetainedLog::Nothing => log.retain(|_, _| false)?,
    }
    Ok(())
}

/// Writes entries in place of all stored ones from the first new entry's index on.
fn write_entries(transaction: &WriteTransaction, entries: &[Entry]) -> Result<(), StoreError> {
    let Some(first) = entries.first() else { return Ok(()) };
    let mut log = transaction.open_table(LOG_TABLE)?;
    log.retain_in(first.index.., |_, _| false)?;
    for entry in entries {
        let bytes = entry.write_to_bytes()?;
        log.insert(entry.index, bytes.as_slice())?;
    }
    Ok(())
}

/// Writes the identities of the peers' stores.
fn write_peers(transaction: &WriteTransaction, identities: &[StoreIdentity]) -> Result<(), StoreError> {
    let mut peers = transaction.open_table(PEERS_TABLE)?;
    for peer in identities {
        let bytes = postcard::to_stdvec(peer)?;
        peers.insert(peer.replica_id, bytes.as_slice())?;
    }
    Ok(())
}

/// Reads the entries of the log from this index on.
fn read_entries(transaction: &ReadTransaction, first_index: u64) -> Result<Vec<Entry>, StoreError> {
    let mut entries = Vec::new();
    for row in transaction.open_table(LOG_TABLE)?.range(first_index..)? {
        let (_, bytes) = row?;
        let mut entry = Entry::default();
        entry.merge_from_bytes(bytes.value())?;
        entries.push(entry);
    }
    Ok(entries)
}

/// Reads the identities of the peers' stores.
fn read_peers(transaction: &ReadTransaction) -> Result<BTreeMap<u64, StoreIdentity>, StoreError> {
    let mut peers = BTreeMap::new();
    for row in transaction.open_table(PEERS_TABLE)?.iter()? {
        let (peer, bytes) = row?;
        peers.insert(peer.value(), postcard::from_bytes(bytes.value())?);
    }
    Ok(peers)
}

/// Locks the store against other processes.
fn lock(directory: &Path) -> Result<File, StoreError> {
    let lock = File::create(directory.join(LOCK_FILE))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|errno| StoreError::Locked(errno.into()))?;
    Ok(lock)
}
