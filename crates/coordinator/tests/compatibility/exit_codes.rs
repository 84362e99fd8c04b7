//! What the program ends with, and says, where it does not start or has to stop.

use std::path::Path;

use cluster_member::wire::HandshakeRejection;
use coordination::{Command, StateMachine};
use coordinator::store::{self, Store, WriteBatch};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Snapshot,
};
use redb::{Database, ReadableTable, TableDefinition};

use crate::support::{no_process_starts, report, run_program, unpack_fixture, Installation, Script};

const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const SERVE: [&str; 3] = ["serve", "--log", "error"];

/// An empty store of this coordinator.
fn empty_store(folder: &Path, installation: &str, coordinator: u64) {
    let _guard = no_process_starts();
    store::bootstrap(folder, installation, coordinator, &[1, 2, 3], 1, 7).unwrap();
}

/// The store of coordinator 2 with one entry that is agreed on.
fn store_with(folder: &Path, entry: Entry) {
    let _guard = no_process_starts();
    store::bootstrap(folder, "north", 2, &[1, 2, 3], 1, 7).unwrap();
    let (store, _) = Store::open(folder, "north", 2).unwrap();
    let hard_state = HardState { term: 2, vote: 2, commit: 2, ..HardState::default() };
    store
        .write(&WriteBatch { hard_state: Some(&hard_state), entries: &[entry], ..WriteBatch::default() })
        .unwrap();
}

fn entry(data: Vec<u8>) -> Entry {
    Entry { index: 2, term: 2, data: data.into(), ..Entry::default() }
}

fn configuration_entry(removed: &[u64]) -> Entry {
    let changes: Vec<ConfChangeSingle> = removed
        .iter()
        .map(|coordinator| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(ConfChangeType::RemoveNode);
            change.node_id = *coordinator;
            change
        })
        .collect();
    let mut change = ConfChangeV2::default();
    change.set_changes(changes.into());
    let mut entry = entry(change.write_to_bytes().unwrap());
    entry.set_entry_type(EntryType::EntryConfChangeV2);
    entry
}

/// An entry as a program two versions later would write it.
fn later_entry() -> Vec<u8> {
    let mut data = Command::RecordReplicaStart { replica: 1, starts: 1 }.encode();
    data[0] = 5;
    data
}

fn change_meta(folder: &Path, key: &str, change: impl Fn(&mut Vec<u8>)) {
    let _guard = no_process_starts();
    let database = Database::open(folder.join("keeper.redb")).unwrap();
    let write = database.begin_write().unwrap();
    {
        let mut meta = write.open_table(META).unwrap();
        let mut bytes = meta.get(key).unwrap().unwrap().value().to_vec();
        change(&mut bytes);
        meta.insert(key, bytes.as_slice()).unwrap();
    }
    write.commit().unwrap();
}

#[test]
fn a_disk_that_others_know_better_ends_with_3() {
    for (name, why) in [
        ("old_disk", HandshakeRejection::StaleStore { start_count: 9, raft_term: 4 }),
        ("wrong_disk", HandshakeRejection::StoreMismatch),
    ] {
        let installation =
            Installation::new([Script::Rejects(why), Script::Unreachable, Script::Unreachable]);
        empty_store(&installation.store(), "north", 2);
        insta::assert_snapshot!(name, installation.run(&SERVE));
    }
}

#[test]
fn a_store_that_cannot_be_used_ends_with_4() {
    let installation = Installation::unreachable();
    let store = installation.store();
    let mut all = format!("no store: {}", installation.run(&SERVE));
    all += &format!("set up: {}", installation.run(&["bootstrap"]));
    all += &format!("set up again: {}", installation.run(&["bootstrap"]));
    change_meta(&store, "label", |label| label[0] = 2);
    all += &format!("a later format: {}", installation.run(&SERVE));
    std::fs::remove_dir_all(&store).unwrap();
    all += &format!("set up to join: {}", installation.run(&["bootstrap", "--joining"]));
    std::fs::remove_dir_all(&store).unwrap();
    empty_store(&store, "south", 3);
    all += &format!("another's: {}", installation.run(&SERVE));
    std::fs::write(store.join("keeper.redb"), "no store").unwrap();
    all += &format!("not a store: {}", installation.run(&SERVE));
    std::fs::remove_dir_all(&store).unwrap();
    empty_store(&store, "north", 2);
    let _open = {
        let _guard = no_process_starts();
        Store::open(&store, "north", 2).unwrap()
    };
    all += &format!("in use: {}", installation.run(&SERVE));
    insta::assert_snapshot!("store", all);
}

#[test]
fn what_a_later_version_wrote_ends_with_5_and_names_both_versions() {
    let installation = Installation::unreachable();
    let store = installation.store();
    store_with(&store, entry(later_entry()));
    let mut all = format!("a later entry: {}", installation.run(&SERVE));
    std::fs::remove_dir_all(&store).unwrap();
    store_with(&store, entry(vec![1, 99]));
    all += &format!("an entry that is none: {}", installation.run(&SERVE));
    std::fs::remove_dir_all(&store).unwrap();
    empty_store(&store, "north", 2);
    change_meta(&store, "snapshot", |bytes| {
        let mut snapshot = Snapshot::default();
        snapshot.merge_from_bytes(bytes).unwrap();
        let mut data = StateMachine::new(1).snapshot();
        data[0] = 4;
        snapshot.set_data(data.into());
        *bytes = snapshot.write_to_bytes().unwrap();
    });
    all += &format!("a later snapshot: {}", installation.run(&SERVE));
    insta::assert_snapshot!("later", all);
}

#[test]
fn what_a_later_version_wrote_stops_one_that_is_held_at_an_older_version() {
    let installation = Installation::unreachable();
    unpack_fixture("store-version-3.hex", &installation.store().join("keeper.redb"));
    let settings = std::fs::read_to_string(installation.settings_file()).unwrap();
    let held = settings.replace("serve {\n", "serve {\n  speaks = 2\n");
    std::fs::write(installation.settings_file(), held).unwrap();
    insta::assert_snapshot!("held_at_an_older_version", installation.run(&SERVE));
}

#[test]
fn a_change_that_raft_refuses_ends_with_6() {
    let installation = Installation::unreachable();
    store_with(&installation.store(), configuration_entry(&[1, 2, 3]));
    insta::assert_snapshot!("raft", installation.run(&SERVE));
}

#[test]
fn a_coordinator_that_was_replaced_ends_with_7() {
    let installation = Installation::unreachable();
    store_with(&installation.store(), configuration_entry(&[2]));
    insta::assert_snapshot!("replaced", installation.run(&SERVE));
}

#[test]
fn settings_with_a_fault_end_with_1() {
    let installation = Installation::unreachable();
    let file = installation.settings_file();
    let settings = std::fs::read_to_string(&file).unwrap();
    let mut all = format!("fine: {}", installation.run(&["check-config"]));
    std::fs::write(&file, settings.replace("store = ", "stroe = ")).unwrap();
    all += &format!("a key: {}", installation.run(&["check-config"]));
    std::fs::write(&file, settings.replace("127.0.0.1:0", "192.0.2.1:1")).unwrap();
    empty_store(&installation.store(), "north", 2);
    all += &format!("the listening address: {}", installation.run(&SERVE));
    std::fs::write(&file, &settings[..settings.find("serve {").unwrap()]).unwrap();
    all += &format!("no serve: {}", installation.run(&SERVE));
    all += &format!("no serve: {}", installation.run(&["bootstrap"]));
    all += &format!("no serve: {}", installation.run(&["metrics"]));
    std::fs::remove_file(&file).unwrap();
    all += &format!("no file: {}", installation.run(&["check-config"]));
    all += &report(&run_program(&["serve", "--config"]));
    insta::assert_snapshot!("settings", all);
}

#[test]
fn the_entry_of_an_empty_configuration_is_read_by_one_that_joins() {
    let _guard = no_process_starts();
    let folder = tempfile::tempdir().unwrap();
    store::bootstrap_joining(folder.path(), "north", 4, 9).unwrap();
    let (_, recovered) = Store::open(folder.path(), "north", 4).unwrap();
    assert_eq!(*recovered.snapshot.get_metadata().get_conf_state(), ConfState::default());
    assert_eq!(
        (recovered.identity.replica_id, recovered.identity.start_count, recovered.entries.len()),
        (4, 1, 0)
    );
}
