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

use crate::Stop;

const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const PEERS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("peers");
/// The version of what stands in the file.
const FORMAT: u32 = 1;
const FILE: &str = "keeper.redb";

/// What does not change over the life of a disk, and how often it was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Label {
    format: u32,
    installation: String,
    keeper: u64,
    disk: u64,
    boots: u64,
}

/// All that was on the disk at the start.
#[derive(Debug)]
pub struct Found {
    /// Whose disk it is.
    pub identity: StoreIdentity,
    /// Raft's vote and term.
    pub hard: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// What is known of other keepers' disks.
    pub peers: BTreeMap<u64, StoreIdentity>,
}

/// The store of a keeper.
#[derive(Debug)]
pub struct Disk {
    database: Database,
    /// Held for as long as the store is open.
    _lock: Option<File>,
}

/// What is written at once.
#[derive(Debug, Default)]
pub struct Batch<'a> {
    /// Term, vote and what is agreed.
    pub hard: Option<&'a HardState>,
    /// New entries; whatever stands behind them goes.
    pub entries: &'a [Entry],
    /// A snapshot, and up to where entries may go.
    pub snapshot: Option<(&'a Snapshot, u64)>,
    /// Whether no entry is to be left, since the snapshot came from elsewhere.
    pub clear: bool,
    /// What is known of other keepers' disks.
    pub peers: &'a [StoreIdentity],
}

fn fault(what: impl std::fmt::Display) -> Stop {
    Stop::Disk(format!("the store cannot be used: {what}"))
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
    folder: &Path,
    installation: &str,
    keeper: u64,
    voters: &[u64],
    first_token: u64,
    disk: u64,
) -> Result<(), Stop> {
    let mut state = StateMachine::new(first_token);
    state.skip_entry(1);
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = 1;
    snapshot.mut_metadata().term = 1;
    snapshot.mut_metadata().set_conf_state(ConfState::from((voters.to_vec(), Vec::new())));
    snapshot.set_data(state.snapshot().into());
    set_up(folder, installation, keeper, disk, &snapshot)
}

/// Sets up the store of a keeper that is to take another's place: it knows nothing, votes for nobody, and learns all
/// from the others once they have agreed to take it.
///
/// # Errors
/// There is a store already, or it cannot be written.
pub fn bootstrap_joining(folder: &Path, installation: &str, keeper: u64, disk: u64) -> Result<(), Stop> {
    let mut snapshot = Snapshot::default();
    snapshot.set_data(StateMachine::new(1).snapshot().into());
    set_up(folder, installation, keeper, disk, &snapshot)
}

fn set_up(
    folder: &Path,
    installation: &str,
    keeper: u64,
    disk: u64,
    snapshot: &Snapshot,
) -> Result<(), Stop> {
    if folder.join(FILE).exists() {
        return Err(Stop::Disk(format!("{}: there is a store already; it is left alone", folder.display())));
    }
    fault_from!(std::fs::create_dir_all(folder));
    // The file gets its name only when all is in it: a bootstrap that was cut short leaves no store.
    let half = folder.join("keeper.new");
    let _ = std::fs::remove_file(&half);
    let store = Disk { database: fault_from!(Database::create(&half)), _lock: None };
    let label = Label { format: FORMAT, installation: installation.to_owned(), keeper, disk, boots: 0 };
    store.set_label(&label)?;
    store.write(&Batch { snapshot: Some((snapshot, 0)), ..Batch::default() })?;
    drop(store);
    fault_from!(std::fs::rename(&half, folder.join(FILE)));
    fault_from!(File::open(folder).and_then(|folder| folder.sync_all()));
    Ok(())
}

impl Disk {
    /// Opens the store, counts this start, and reads all.
    ///
    /// # Errors
    /// There is none, it belongs to another keeper, or it cannot be read.
    pub fn open(folder: &Path, installation: &str, keeper: u64) -> Result<(Disk, Found), Stop> {
        let file = folder.join(FILE);
        if !file.exists() {
            return Err(Stop::Disk(format!(
                "{}: there is no store. A keeper does not start without its memory, since it could vote twice. For a \
                 new installation run `coordinator bootstrap`; a keeper that lost its disk is replaced by a new \
                 one (docs/operate/keepers.md)",
                file.display()
            )));
        }
        // Two processes on one store: the second ends here.
        let lock = fault_from!(File::create(folder.join("keeper.lock")));
        fault_from!(flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|error| format!("another process has it: {error}")));
        // Opening goes through what a kill left, and writes. Where that fails in the middle, as on a full disk, redb's file
        // says that it is whole and is not; so it is done on a copy, which is thrown away then, and the store is as it was.
        let copy = folder.join("keeper.open");
        let opened = Disk::open_copy(&file, &copy, lock, installation, keeper);
        if opened.is_err() {
            let _ = std::fs::remove_file(&copy);
        }
        let (disk, label) = opened?;
        fault_from!(std::fs::rename(&copy, &file));
        fault_from!(File::open(folder).and_then(|folder| folder.sync_all()));
        let found = disk.read(&label)?;
        Ok((disk, found))
    }

    /// Opens a copy of the store, and counts this start there.
    fn open_copy(
        file: &Path,
        copy: &Path,
        lock: File,
        installation: &str,
        keeper: u64,
    ) -> Result<(Disk, Label), Stop> {
        fault_from!(std::fs::copy(file, copy));
        let disk = Disk { database: fault_from!(Database::open(copy)), _lock: Some(lock) };
        let mut label: Label = disk.label()?;
        if label.format != FORMAT {
            return Err(Stop::Disk(format!("{}: format {}, wanted {FORMAT}", file.display(), label.format)));
        }
        if label.installation != installation || label.keeper != keeper {
            return Err(Stop::Disk(format!(
                "{}: this is the store of keeper {} of installation {:?}, not of keeper {keeper} of {installation:?}",
                file.display(),
                label.keeper,
                label.installation
            )));
        }
        label.boots += 1;
        disk.set_label(&label)?;
        Ok((disk, label))
    }

    fn label(&self) -> Result<Label, Stop> {
        let read = fault_from!(self.database.begin_read());
        let meta = fault_from!(read.open_table(META));
        let bytes = fault_from!(meta.get("label")).ok_or_else(|| fault("it has no label"))?;
        Ok(fault_from!(postcard::from_bytes(bytes.value())))
    }

    fn set_label(&self, label: &Label) -> Result<(), Stop> {
        let write = fault_from!(self.database.begin_write());
        {
            let mut meta = fault_from!(write.open_table(META));
            let bytes = fault_from!(postcard::to_stdvec(label));
            fault_from!(meta.insert("label", bytes.as_slice()));
            fault_from!(write.open_table(LOG));
            fault_from!(write.open_table(PEERS));
        }
        fault_from!(write.commit());
        Ok(())
    }

    fn read(&self, label: &Label) -> Result<Found, Stop> {
        let read = fault_from!(self.database.begin_read());
        let meta = fault_from!(read.open_table(META));
        let mut hard = HardState::default();
        if let Some(bytes) = fault_from!(meta.get("hard")) {
            fault_from!(hard.merge_from_bytes(bytes.value()));
        }
        let mut snapshot = Snapshot::default();
        let bytes = fault_from!(meta.get("snapshot")).ok_or_else(|| fault("it has no snapshot"))?;
        fault_from!(snapshot.merge_from_bytes(bytes.value()));
        let mut entries = Vec::new();
        for row in fault_from!(fault_from!(read.open_table(LOG)).range(snapshot.get_metadata().index + 1..)) {
            let mut entry = Entry::default();
            fault_from!(entry.merge_from_bytes(fault_from!(row).1.value()));
            entries.push(entry);
        }
        let mut peers = BTreeMap::new();
        for row in fault_from!(fault_from!(read.open_table(PEERS)).iter()) {
            let (keeper, bytes) = fault_from!(row);
            peers.insert(keeper.value(), fault_from!(postcard::from_bytes(bytes.value())));
        }
        let term = hard.term.max(snapshot.get_metadata().term);
        let identity = StoreIdentity {
            replica_id: label.keeper,
            store_id: label.disk,
            start_count: label.boots,
            raft_term: term,
        };
        Ok(Found { identity, hard, snapshot, entries, peers })
    }

    /// Writes all of it at once; it is on the disk when this returns.
    ///
    /// # Errors
    /// The disk is full or broken. The keeper then stops, since it could not keep its word.
    pub fn write(&self, batch: &Batch<'_>) -> Result<(), Stop> {
        let write = fault_from!(self.database.begin_write());
        {
            let mut meta = fault_from!(write.open_table(META));
            let mut log = fault_from!(write.open_table(LOG));
            let mut peers = fault_from!(write.open_table(PEERS));
            if let Some((snapshot, gone)) = batch.snapshot {
                let bytes = fault_from!(snapshot.write_to_bytes());
                fault_from!(meta.insert("snapshot", bytes.as_slice()));
                fault_from!(log.retain(|index, _| index > gone && !batch.clear));
            }
            if let Some(first) = batch.entries.first() {
                fault_from!(log.retain_in(first.index.., |_, _| false));
            }
            for entry in batch.entries {
                let bytes = fault_from!(entry.write_to_bytes());
                fault_from!(log.insert(entry.index, bytes.as_slice()));
            }
            if let Some(hard) = batch.hard {
                let bytes = fault_from!(hard.write_to_bytes());
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
