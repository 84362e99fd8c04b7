//! What outlives a keeper's process: identity, vote, log and snapshot, in one file, on the disk before anything is said.

use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;

use cluster_member::wire::StoreIdentity;
use coordination::StateMachine;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use redb::{Database, ReadableTable, TableDefinition};
use rustix::fs::{flock, FlockOperation};
use serde::{Deserialize, Serialize};

use crate::CoordinatorError;

const META_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const LOG_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const PEERS_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("peers");
/// The version of what stands in the file.
const STORE_FORMAT: u32 = 1;
const STORE_FILE: &str = "keeper.redb";

/// What does not change over the life of a disk, and how often it was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoreHeader {
    format: u32,
    installation: String,
    coordinator_id: u64,
    disk_id: u64,
    boots: u64,
}

/// All that was on the disk at the start.
#[derive(Debug)]
pub struct RecoveredState {
    /// Whose disk it is.
    pub identity: StoreIdentity,
    /// Raft's vote and term.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// What is known of other keepers' disks.
    pub peers: BTreeMap<u64, StoreIdentity>,
}

/// The store of a keeper.
#[derive(Debug)]
pub struct Store {
    database: Database,
    /// Held for as long as the store is open.
    _lock: Option<File>,
}

/// What is written at once.
#[derive(Debug, Default)]
pub struct WriteBatch<'a> {
    /// Term, vote and what is agreed.
    pub hard_state: Option<&'a HardState>,
    /// New entries; whatever stands behind them goes.
    pub entries: &'a [Entry],
    /// A snapshot, and up to where entries may go.
    pub snapshot: Option<(&'a Snapshot, u64)>,
    /// Whether no entry is to be left, since the snapshot came from elsewhere.
    pub clear_log: bool,
    /// What is known of other keepers' disks.
    pub peers: &'a [StoreIdentity],
}

fn fault(what: impl std::fmt::Display) -> CoordinatorError {
    CoordinatorError::Store(format!("the store cannot be used: {what}"))
}

macro_rules! fault_from {
    ($result:expr) => {
        $result.map_err(|error| fault(error))?
    };
}

/// Sets up an empty store with the first snapshot: these voters, no member, this token to come.
///
/// # Errors
/// There is a store already, or it cannot be written.
pub fn bootstrap(
    directory: &Path,
    installation: &str,
    coordinator_id: u64,
    voters: &[u64],
    first_token: u64,
    disk_id: u64,
) -> Result<(), CoordinatorError> {
    let mut state = StateMachine::new(first_token);
    state.skip_entry(1);
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = 1;
    snapshot.mut_metadata().term = 1;
    snapshot.mut_metadata().set_conf_state(ConfState::from((voters.to_vec(), Vec::new())));
    snapshot.set_data(state.snapshot().into());
    create_store(directory, installation, coordinator_id, disk_id, &snapshot)
}

/// Sets up the store of a keeper that is to take another's place: it knows nothing, votes for nobody, and learns all
/// from the others once they have agreed to take it.
///
/// # Errors
/// There is a store already, or it cannot be written.
pub fn bootstrap_joining(
    directory: &Path,
    installation: &str,
    coordinator_id: u64,
    disk_id: u64,
) -> Result<(), CoordinatorError> {
    let mut snapshot = Snapshot::default();
    snapshot.set_data(StateMachine::new(1).snapshot().into());
    create_store(directory, installation, coordinator_id, disk_id, &snapshot)
}

fn create_store(
    directory: &Path,
    installation: &str,
    coordinator_id: u64,
    disk_id: u64,
    snapshot: &Snapshot,
) -> Result<(), CoordinatorError> {
    if directory.join(STORE_FILE).exists() {
        return Err(CoordinatorError::Store(format!(
            "{}: there is a store already; it is left alone",
            directory.display()
        )));
    }
    fault_from!(std::fs::create_dir_all(directory));
    // The file gets its name only when all is in it: a bootstrap that was cut short leaves no store.
    let unfinished = directory.join("keeper.new");
    let _ = std::fs::remove_file(&unfinished);
    let store = Store { database: fault_from!(Database::create(&unfinished)), _lock: None };
    let header = StoreHeader {
        format: STORE_FORMAT,
        installation: installation.to_owned(),
        coordinator_id,
        disk_id,
        boots: 0,
    };
    store.write_header(&header)?;
    store.write(&WriteBatch { snapshot: Some((snapshot, 0)), ..WriteBatch::default() })?;
    drop(store);
    fault_from!(std::fs::rename(&unfinished, directory.join(STORE_FILE)));
    fault_from!(File::open(directory).and_then(|directory| directory.sync_all()));
    Ok(())
}

impl Store {
    /// Opens the store, counts this start, and reads all.
    ///
    /// # Errors
    /// There is none, it belongs to another keeper, or it cannot be read.
    pub fn open(
        directory: &Path,
        installation: &str,
        coordinator_id: u64,
    ) -> Result<(Store, RecoveredState), CoordinatorError> {
        let file = directory.join(STORE_FILE);
        if !file.exists() {
            return Err(CoordinatorError::Store(format!(
                "{}: there is no store. A keeper does not start without its memory, since it could vote twice. For a \
                 new installation run `coordinator bootstrap`; a keeper that lost its disk is replaced by a new \
                 one (docs/operate/keepers.md)",
                file.display()
            )));
        }
        // Two processes on one store: the second ends here.
        let lock = fault_from!(File::create(directory.join("keeper.lock")));
        fault_from!(flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|error| format!("another process has it: {error}")));
        // Opening goes through what a kill left, and writes. Where that fails in the middle, as on a full disk, redb's file
        // says that it is whole and is not; so it is done on a copy, which is thrown away then, and the store is as it was.
        let copy = directory.join("keeper.open");
        let opened = Store::open_copy(&file, &copy, lock, installation, coordinator_id);
        if opened.is_err() {
            let _ = std::fs::remove_file(&copy);
        }
        let (store, header) = opened?;
        fault_from!(std::fs::rename(&copy, &file));
        fault_from!(File::open(directory).and_then(|directory| directory.sync_all()));
        let recovered = store.recover(&header)?;
        Ok((store, recovered))
    }

    /// Opens a copy of the store, and counts this start there.
    fn open_copy(
        file: &Path,
        copy: &Path,
        lock: File,
        installation: &str,
        coordinator_id: u64,
    ) -> Result<(Store, StoreHeader), CoordinatorError> {
        fault_from!(std::fs::copy(file, copy));
        let store = Store { database: fault_from!(Database::open(copy)), _lock: Some(lock) };
        let mut header: StoreHeader = store.read_header()?;
        if header.format != STORE_FORMAT {
            return Err(CoordinatorError::Store(format!(
                "{}: format {}, wanted {STORE_FORMAT}",
                file.display(),
                header.format
            )));
        }
        if header.installation != installation || header.coordinator_id != coordinator_id {
            return Err(CoordinatorError::Store(format!(
                "{}: this is the store of keeper {} of installation {:?}, not of keeper {coordinator_id} of {installation:?}",
                file.display(),
                header.coordinator_id,
                header.installation
            )));
        }
        header.boots += 1;
        store.write_header(&header)?;
        Ok((store, header))
    }

    fn read_header(&self) -> Result<StoreHeader, CoordinatorError> {
        let read = fault_from!(self.database.begin_read());
        let meta = fault_from!(read.open_table(META_TABLE));
        let bytes = fault_from!(meta.get("label")).ok_or_else(|| fault("it has no label"))?;
        Ok(fault_from!(postcard::from_bytes(bytes.value())))
    }

    fn write_header(&self, header: &StoreHeader) -> Result<(), CoordinatorError> {
        let write = fault_from!(self.database.begin_write());
        {
            let mut meta = fault_from!(write.open_table(META_TABLE));
            let bytes = fault_from!(postcard::to_stdvec(header));
            fault_from!(meta.insert("label", bytes.as_slice()));
            fault_from!(write.open_table(LOG_TABLE));
            fault_from!(write.open_table(PEERS_TABLE));
        }
        fault_from!(write.commit());
        Ok(())
    }

    fn recover(&self, header: &StoreHeader) -> Result<RecoveredState, CoordinatorError> {
        let read = fault_from!(self.database.begin_read());
        let meta = fault_from!(read.open_table(META_TABLE));
        let mut hard_state = HardState::default();
        if let Some(bytes) = fault_from!(meta.get("hard")) {
            fault_from!(hard_state.merge_from_bytes(bytes.value()));
        }
        let mut snapshot = Snapshot::default();
        let bytes = fault_from!(meta.get("snapshot")).ok_or_else(|| fault("it has no snapshot"))?;
        fault_from!(snapshot.merge_from_bytes(bytes.value()));
        let mut entries = Vec::new();
        for row in
            fault_from!(fault_from!(read.open_table(LOG_TABLE)).range(snapshot.get_metadata().index + 1..))
        {
            let mut entry = Entry::default();
            fault_from!(entry.merge_from_bytes(fault_from!(row).1.value()));
            entries.push(entry);
        }
        let mut peers = BTreeMap::new();
        for row in fault_from!(fault_from!(read.open_table(PEERS_TABLE)).iter()) {
            let (id, bytes) = fault_from!(row);
            peers.insert(id.value(), fault_from!(postcard::from_bytes(bytes.value())));
        }
        let term = hard_state.term.max(snapshot.get_metadata().term);
        let identity = StoreIdentity {
            replica_id: header.coordinator_id,
            store_id: header.disk_id,
            start_count: header.boots,
            raft_term: term,
        };
        Ok(RecoveredState { identity, hard_state, snapshot, entries, peers })
    }

    /// Writes all of it at once; it is on the disk when this returns.
    ///
    /// # Errors
    /// The disk is full or broken. The keeper then stops, since it could not keep its word.
    pub fn write(&self, batch: &WriteBatch<'_>) -> Result<(), CoordinatorError> {
        let write = fault_from!(self.database.begin_write());
        {
            let mut meta = fault_from!(write.open_table(META_TABLE));
            let mut log = fault_from!(write.open_table(LOG_TABLE));
            let mut peers = fault_from!(write.open_table(PEERS_TABLE));
            if let Some((snapshot, compacted_up_to)) = batch.snapshot {
                let bytes = fault_from!(snapshot.write_to_bytes());
                fault_from!(meta.insert("snapshot", bytes.as_slice()));
                fault_from!(log.retain(|index, _| index > compacted_up_to && !batch.clear_log));
            }
            if let Some(first) = batch.entries.first() {
                fault_from!(log.retain_in(first.index.., |_, _| false));
            }
            for entry in batch.entries {
                let bytes = fault_from!(entry.write_to_bytes());
                fault_from!(log.insert(entry.index, bytes.as_slice()));
            }
            if let Some(hard_state) = batch.hard_state {
                let bytes = fault_from!(hard_state.write_to_bytes());
                fault_from!(meta.insert("hard", bytes.as_slice()));
            }
            for peer in batch.peers {
                let bytes = fault_from!(postcard::to_stdvec(peer));
                fault_from!(peers.insert(peer.replica_id, bytes.as_slice()));
            }
        }
        fault_from!(write.commit());
        Ok(())
    }
}
