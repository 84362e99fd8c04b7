//! Creation of the store of a replica, once, before its first start.

use std::fs::File;
use std::path::Path;

use coordination::StateMachine;
use raft::eraftpb::{ConfState, Snapshot};
use redb::Database;

use super::format::{StoreHeader, STORE_FILE, STORE_FORMAT};
use super::{RetainedLog, SnapshotWrite, Store, StoreError, WriteBatch};

/// Name of the store's file until it is complete.
const UNFINISHED_FILE: &str = "keeper.new";

/// Index and term of the snapshot with which every replica of a new installation begins.
const FIRST_INDEX: u64 = 1;
const FIRST_TERM: u64 = 1;

/// Creates the store of a replica of a new installation with these voters, no session, and this first fencing token.
/// `store_id` is a random number that no other store has.
///
/// # Errors
/// Returns [`StoreError::AlreadyExists`], or another [`StoreError`] if the store cannot be written.
pub fn bootstrap(
    directory: &Path,
    installation: &str,
    replica_id: u64,
    voters: &[u64],
    first_token: u64,
    store_id: u64,
) -> Result<(), StoreError> {
    let mut state = StateMachine::new(first_token);
    state.skip_entry(FIRST_INDEX);
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = FIRST_INDEX;
    snapshot.mut_metadata().term = FIRST_TERM;
    snapshot.mut_metadata().set_conf_state(ConfState::from((voters.to_vec(), Vec::new())));
    snapshot.set_data(state.snapshot().into());
    create(directory, &header(installation, replica_id, store_id), &snapshot)
}

/// Creates the store of a replica that joins a running installation. The replica has no state and does not vote; it
/// receives the log once the other replicas have agreed to add it.
///
/// # Errors
/// Returns [`StoreError::AlreadyExists`], or another [`StoreError`] if the store cannot be written.
pub fn bootstrap_joining(
    directory: &Path,
    installation: &str,
    replica_id: u64,
    store_id: u64,
) -> Result<(), StoreError> {
    let mut snapshot = Snapshot::default();
    snapshot.set_data(StateMachine::new(1).snapshot().into());
    create(directory, &header(installation, replica_id, store_id), &snapshot)
}

fn header(installation: &str, replica_id: u64, store_id: u64) -> StoreHeader {
    StoreHeader {
        format: STORE_FORMAT,
        installation: installation.to_owned(),
        replica_id,
        store_id,
        start_count: 0,
    }
}

fn create(directory: &Path, header: &StoreHeader, snapshot: &Snapshot) -> Result<(), StoreError> {
    if directory.join(STORE_FILE).exists() {
        return Err(StoreError::AlreadyExists { directory: directory.to_owned() });
    }
    std::fs::create_dir_all(directory)?;
    // The file is renamed when it is complete, so that an interrupted bootstrap leaves no store.
    let unfinished = directory.join(UNFINISHED_FILE);
    let _ = std::fs::remove_file(&unfinished);
    let store = Store { database: Database::create(&unfinished)?, _lock: None };
    store.write_header(header)?;
    let snapshot = SnapshotWrite { snapshot, retained: RetainedLog::After(0) };
    store.write(&WriteBatch { snapshot: Some(snapshot), ..WriteBatch::default() })?;
    drop(store);
    std::fs::rename(&unfinished, directory.join(STORE_FILE))?;
    File::open(directory)?.sync_all()?;
    Ok(())
}
