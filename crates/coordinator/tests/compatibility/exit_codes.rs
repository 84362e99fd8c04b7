//! Exit codes and error texts of the program when it cannot start or must stop.

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

/// Creates an empty store of this replica.
fn create_empty_store(directory: &Path, installation: &str, replica_id: u64) {
    let _guard = no_process_starts();
    store::bootstrap(directory, installation, replica_id, &[1, 2, 3], 1, 7).unwrap();
}

/// Creates the store of replica 2 with one committed entry.
fn create_store_with(directory: &Path, entry: Entry) {
    let _guard = no_process_starts();
    store::bootstrap(directory, "north", 2, &[1, 2, 3], 1, 7).unwrap();
    let (store, _) = Store::open(directory, "north", 2).unwrap();
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
        .map(|replica_id| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(ConfChangeType::RemoveNode);
            change.node_id = *replica_id;
            change
        })
        .collect();
    let mut change = ConfChangeV2::default();
    change.set_changes(changes.into());
    let mut entry = entry(change.write_to_bytes().unwrap());
    entry.set_entry_type(EntryType::EntryConfChangeV2);
    entry
}

/// Returns the data of an entry as a program two versions later would write it.
fn later_entry() -> Vec<u8> {
    let mut data = Command::RecordReplicaStart { replica: 1, starts: 1 }.encode();
    data[0] = 5;
    data
}

/// Changes the value of a key in the table `meta`.
fn change_meta(directory: &Path, key: &str, change: impl Fn(&mut Vec<u8>)) {
    let _guard = no_process_starts();
    let database = Database::open(directory.join("keeper.redb")).unwrap();
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
fn store_rejected_by_a_peer_exits_with_3() {
    for (name, rejection) in [
        ("old_disk", HandshakeRejection::StaleStore { start_count: 9, raft_term: 4 }),
        ("wrong_disk", HandshakeRejection::StoreMismatch),
    ] {
        let installation =
            Installation::new([Script::Rejects(rejection), Script::Unreachable, Script::Unreachable]);
        create_empty_store(&installation.store(), "north", 2);
        insta::assert_snapshot!(name, installation.run(&SERVE));
    }
}

#[test]
fn unusable_store_exits_with_4() {
    let installation = Installation::unreachable();
    let store = installation.store();
    let mut all = format!("no store: {}", installation.run(&SERVE));
    all += &format!("bootstrap: {}", installation.run(&["bootstrap"]));
    all += &format!("second bootstrap: {}", installation.run(&["bootstrap"]));
    change_meta(&store, "label", |label| label[0] = 2);
    all += &format!("a later format: {}", installation.run(&SERVE));
    std::fs::remove_dir_all(&store).unwrap();
    all += &format!("bootstrap of a joining replica: {}", installation.run(&["bootstrap", "--joining"]));
    std::fs::remove_dir_all(&store).unwrap();
    create_empty_store(&store, "south", 3);
    all += &format!("store of another replica: {}", installation.run(&SERVE));
    std::fs::write(store.join("keeper.redb"), "no store").unwrap();
    all += &format!("not a store: {}", installation.run(&SERVE));
    std::fs::remove_dir_all(&store).unwrap();
    create_empty_store(&store, "north", 2);
    let _open = {
        let _guard = no_process_starts();
        Store::open(&store, "north", 2).unwrap()
    };
    all += &format!("locked store: {}", installation.run(&SERVE));
    insta::assert_snapshot!("store", all);
}

#[test]
fn data_of_a_later_version_exits_with_5_and_names_both_versions() {
    let installation = Installation::unreachable();
    let store = installation.store();
    create_store_with(&store, entry(later_entry()));
    let mut all = format!("a later entry: {}", installation.run(&SERVE));
    std::fs::remove_dir_all(&store).unwrap();
    create_store_with(&store, entry(vec![1, 99]));
    all += &format!("a malformed entry: {}", installation.run(&SERVE));
    std::fs::remove_dir_all(&store).unwrap();
    create_empty_store(&store, "north", 2);
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
fn entry_above_the_configured_version_exits_with_5() {
    let installation = Installation::unreachable();
    unpack_fixture("store-version-3.hex", &installation.store().join("keeper.redb"));
    let settings = std::fs::read_to_string(installation.settings_file()).unwrap();
    let limited = settings.replace("serve {\n", "serve {\n  speaks = 2\n");
    std::fs::write(installation.settings_file(), limited).unwrap();
    insta::assert_snapshot!("held_at_an_older_version", installation.run(&SERVE));
}

#[test]
fn change_rejected_by_raft_exits_with_6() {
    let installation = Installation::unreachable();
    create_store_with(&installation.store(), configuration_entry(&[1, 2, 3]));
    insta::assert_snapshot!("raft", installation.run(&SERVE));
}

#[test]
fn replaced_replica_exits_with_7() {
    let installation = Installation::unreachable();
    create_store_with(&installation.store(), configuration_entry(&[2]));
    insta::assert_snapshot!("replaced", installation.run(&SERVE));
}

#[test]
fn invalid_settings_exit_with_1() {
    let installation = Installation::unreachable();
    let file = installation.settings_file();
    let settings = std::fs::read_to_string(&file).unwrap();
    let mut all = format!("valid settings: {}", installation.run(&["check-config"]));
    std::fs::write(&file, settings.replace("store = ", "stroe = ")).unwrap();
    all += &format!("misspelled key: {}", installation.run(&["check-config"]));
    std::fs::write(&file, settings.replace("127.0.0.1:0", "192.0.2.1:1")).unwrap();
    create_empty_store(&installation.store(), "north", 2);
    all += &format!("address that cannot be bound: {}", installation.run(&SERVE));
    std::fs::write(&file, &settings[..settings.find("serve {").unwrap()]).unwrap();
    all += &format!("no block serve: {}", installation.run(&SERVE));
    all += &format!("no block serve: {}", installation.run(&["bootstrap"]));
    all += &format!("no block serve: {}", installation.run(&["metrics"]));
    std::fs::remove_file(&file).unwrap();
    all += &format!("no settings file: {}", installation.run(&["check-config"]));
    all += &report(&run_program(&["serve", "--config"]));
    insta::assert_snapshot!("settings", all);
}

#[test]
fn joining_replica_recovers_an_empty_configuration() {
    let _guard = no_process_starts();
    let directory = tempfile::tempdir().unwrap();
    store::bootstrap_joining(directory.path(), "north", 4, 9).unwrap();
    let (_, recovered) = Store::open(directory.path(), "north", 4).unwrap();
    assert_eq!(*recovered.snapshot.get_metadata().get_conf_state(), ConfState::default());
    assert_eq!(
        (recovered.identity.replica_id, recovered.identity.start_count, recovered.entries.len()),
        (4, 1, 0)
    );
}
