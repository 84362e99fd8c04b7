//! Bytes of the store. The fixtures are files written by the first version with each format. The present version must
//! recover all their values, and must write the same tables, keys and bytes.
//!
//! With the environment variable `WRITE_STORE_FIXTURES` the tests overwrite the fixtures. Use it only to add a
//! fixture for a new format, never to change an old one.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use cluster_member::wire::StoreIdentity;
use coordination::{Command, FencingToken, LeaseId, Revision, SessionId, StateMachine, Timing};
use coordinator::replica::Replica;
use coordinator::store::{self, Store, WriteBatch};
use disruption_budget::{
    Amount, Availability, Budget, BudgetScope, DisruptionCommand, Target, TargetKind, TargetStatus,
};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Snapshot,
};
use redb::{Database, ReadableTable, TableDefinition, TableHandle};

use crate::support::{hex, no_process_starts, pack_fixture, unpack_fixture, write_snapshot};

const REPLICA_ID: u64 = 2;
const STORE_ID: u64 = 0x1122_3344;
const FIRST_TOKEN: u64 = 50;
/// Tick interval, in microseconds.
const TICK: u64 = 40_000;

/// Content of a fixture: a snapshot in the format of its version, and log entries with commands up to that version.
struct Example {
    fixture: &'static str,
    state: StateMachine,
    configuration: ConfState,
    commands: Vec<Command>,
}

fn lease() -> LeaseId {
    LeaseId::fleet("list")
}

fn target(kind: TargetKind, name: &str) -> Target {
    Target { kind, name: name.to_owned() }
}

fn first_commands() -> Vec<Command> {
    vec![
        Command::RecordReplicaStart { replica: 2, starts: 1 },
        Command::OpenSession {
            name: "berlin".to_owned(),
            boot_id: 7,
            zone: "east".to_owned(),
            address: "192.0.2.41:7200".to_owned(),
            eligible_leases: vec![
                lease(),
                LeaseId::fleet("account"),
                LeaseId::zone("watch", "east"),
                LeaseId::worker_set("watch", 3),
            ],
            short_lived: false,
        },
        Command::MarkSessionStable { session: SessionId(3) },
        Command::GrantLease { lease: lease(), session: SessionId(3), fencing_revision: 3 },
    ]
}

/// Commands for the log after a snapshot of [`first_commands`], which are applied from entry 2 on.
fn later_commands() -> Vec<Command> {
    vec![
        Command::ReleaseLease { lease: lease(), token: FencingToken(50), reset_stability: true },
        Command::ExpireSession { session: SessionId(3), short_lived: true },
        Command::CloseSession { session: SessionId(3), short_lived: false },
    ]
}

fn replacement() -> Vec<Command> {
    vec![
        Command::ReplaceReplica { old: 3, new: 4, address: "192.0.2.14:7100".to_owned() },
        Command::CompleteReplacement { old: 3 },
        Command::ReplaceReplica { old: 1, new: 5, address: "192.0.2.15:7100".to_owned() },
    ]
}

fn observed(kind: TargetKind, name: &str, availability: Availability) -> TargetStatus {
    let (zone, pool) = ("east".to_owned(), "large".to_owned());
    TargetStatus { target: target(kind, name), zone, pool, availability, incarnation: 4 }
}

fn budgets() -> Vec<Budget> {
    vec![
        Budget {
            name: "workers".to_owned(),
            kind: TargetKind::Worker,
            scope: BudgetScope::EachZone,
            max_unavailable: Some(Amount::Percent(40)),
            min_available: None,
        },
        Budget {
            name: "dispatchers".to_owned(),
            kind: TargetKind::Dispatcher,
            scope: BudgetScope::Fleet,
            max_unavailable: None,
            min_available: Some(Amount::Count(2)),
        },
    ]
}

/// Commands for budgets and permits; `first` is the index of the first one.
fn disruption_commands(first: Revision) -> Vec<Command> {
    let targets = vec![
        observed(TargetKind::Worker, "w1", Availability::Available),
        observed(TargetKind::Worker, "w2", Availability::Unavailable),
        observed(TargetKind::Worker, "w3", Availability::Available),
        observed(TargetKind::Dispatcher, "d1", Availability::WarmingUp(250)),
    ];
    let removed = vec![target(TargetKind::Worker, "w9")];
    let (reason, requester) = ("release 7".to_owned(), "shop a".to_owned());
    let forced = first + 2;
    let changes = [
        DisruptionCommand::SetBudgets { expected_version: 0, budgets: budgets() },
        DisruptionCommand::RecordObservation {
            fencing_token: 51,
            known_revision: 5,
            changed: targets,
            removed,
        },
        DisruptionCommand::RequestPermit {
            target: target(TargetKind::Worker, "w1"),
            reason,
            requester: requester.clone(),
            force: true,
        },
        DisruptionCommand::BeginPermit { permit: forced, incarnation: 4 },
        DisruptionCommand::CompletePermit { permit: forced },
        DisruptionCommand::RequestPermit {
            target: target(TargetKind::Dispatcher, "d1"),
            reason: String::new(),
            requester,
            force: false,
        },
        DisruptionCommand::DeregisterTarget {
            target: target(TargetKind::Worker, "w2"),
            operator: "an operator".to_owned(),
        },
    ];
    changes.into_iter().map(Command::Disruption).collect()
}

/// Returns the state after these commands, the first of which is entry 2.
fn state_after(commands: &[Command]) -> StateMachine {
    let mut state = StateMachine::new(FIRST_TOKEN);
    state.skip_entry(1);
    for (index, command) in (2..).zip(commands) {
        state.apply(index, command);
    }
    state
}

fn example(fixture: &'static str, applied: &[Command], commands: Vec<Command>) -> Example {
    let state = state_after(applied);
    let configuration = ConfState::from((vec![1, 2, 3], Vec::new()));
    Example { fixture, state, configuration, commands }
}

fn examples() -> [Example; 3] {
    let joint = ConfState {
        voters: vec![1, 2, 4],
        voters_outgoing: vec![1, 2, 3],
        learners: vec![5],
        ..ConfState::default()
    };
    let second = [first_commands(), replacement()].concat();
    let observer =
        Command::GrantLease { lease: LeaseId::fleet("account"), session: SessionId(3), fencing_revision: 3 };
    let third = [first_commands(), vec![observer], disruption_commands(7)].concat();
    let further =
        [disruption_commands(14), vec![Command::Disruption(DisruptionCommand::CancelPermit { permit: 12 })]]
            .concat();
    [
        example("store-version-1.hex", &first_commands(), later_commands()),
        Example { configuration: joint, ..example("store-version-2.hex", &second, replacement()) },
        example("store-version-3.hex", &third, further),
    ]
}

impl Example {
    fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.state.revision();
        snapshot.mut_metadata().term = 3;
        snapshot.mut_metadata().set_conf_state(self.configuration.clone());
        snapshot.set_data(self.state.snapshot().into());
        snapshot
    }

    /// Returns entries with the commands, an empty entry as a new leader proposes it, and a change of the
    /// configuration.
    fn entries(&self) -> Vec<Entry> {
        let first = self.state.revision() + 1;
        let mut change = ConfChangeV2::default();
        let mut learner = ConfChangeSingle::default();
        learner.set_change_type(ConfChangeType::AddLearnerNode);
        learner.node_id = 9;
        change.set_changes(vec![learner].into());
        let data = self.commands.iter().map(Command::encode).chain([Vec::new()]);
        let mut entries: Vec<Entry> = (first..)
            .zip(data)
            .map(|(index, data)| Entry {
                index,
                term: 3,
                data: data.into(),
                context: vec![1, 2, 3].into(),
                ..Entry::default()
            })
            .collect();
        let mut last = Entry { index: first + entries.len() as u64, term: 4, ..Entry::default() };
        last.set_entry_type(EntryType::EntryConfChangeV2);
        last.data = change.write_to_bytes().unwrap().into();
        entries.push(last);
        entries
    }

    fn hard_state(&self) -> HardState {
        let commit = self.state.revision() + self.commands.len() as u64;
        HardState { term: 4, vote: 3, commit, ..HardState::default() }
    }

    fn peers(&self) -> [StoreIdentity; 2] {
        [
            StoreIdentity { replica_id: 1, store_id: 0x5566, start_count: 3, raft_term: 4 },
            StoreIdentity { replica_id: 3, store_id: 0x7788, start_count: 1, raft_term: 2 },
        ]
    }

    /// Writes the store with the present version.
    fn write(&self, directory: &Path) {
        store::bootstrap(directory, "north", REPLICA_ID, &[1, 2, 3], FIRST_TOKEN, STORE_ID).unwrap();
        let (store, _) = Store::open(directory, "north", REPLICA_ID).unwrap();
        let snapshot = self.snapshot();
        write_snapshot(&store, &snapshot);
        let (entries, hard_state) = (self.entries(), self.hard_state());
        store
            .write(&WriteBatch { entries: &entries, hard_state: Some(&hard_state), ..WriteBatch::default() })
            .unwrap();
        store.write(&WriteBatch { peers: &self.peers(), ..WriteBatch::default() }).unwrap();
    }
}

/// Formats all tables of a store with their keys and bytes.
fn dump(file: &Path) -> String {
    /// Tables with text keys; the others have numbers as keys.
    const TEXT_KEYED: [&str; 1] = ["meta"];
    let database = Database::open(file).unwrap();
    let read = database.begin_read().unwrap();
    let mut names: Vec<String> = read.list_tables().unwrap().map(|table| table.name().to_owned()).collect();
    names.sort();
    let mut text = String::new();
    for name in names {
        let _ = writeln!(text, "table {name}");
        if TEXT_KEYED.contains(&name.as_str()) {
            let table = read.open_table(TableDefinition::<&str, &[u8]>::new(&name)).unwrap();
            for row in table.iter().unwrap() {
                let (key, bytes) = row.unwrap();
                let _ = writeln!(text, "  {}: {}", key.value(), hex(bytes.value()));
            }
        } else {
            let table = read.open_table(TableDefinition::<u64, &[u8]>::new(&name)).unwrap();
            for row in table.iter().unwrap() {
                let (key, bytes) = row.unwrap();
                let _ = writeln!(text, "  {}: {}", key.value(), hex(bytes.value()));
            }
        }
    }
    text
}

#[test]
fn writes_the_same_tables_keys_and_bytes_as_the_fixtures() {
    let _guard = no_process_starts();
    let mut all = String::new();
    for example in examples() {
        let directory = tempfile::tempdir().unwrap();
        let store = directory.path().join("store");
        example.write(&store);
        let file = store.join("keeper.redb");
        if std::env::var_os("WRITE_STORE_FIXTURES").is_some() {
            pack_fixture(example.fixture, &file);
        }
        let written = dump(&file);
        let fixture = directory.path().join("fixture.redb");
        unpack_fixture(example.fixture, &fixture);
        assert_eq!(written, dump(&fixture), "{}", example.fixture);
        let _ = writeln!(all, "{}\n{written}", example.fixture);
    }
    insta::assert_snapshot!("tables", all);
}

#[test]
fn bootstrap_writes_unchanged_tables_keys_and_bytes() {
    let _guard = no_process_starts();
    let directory = tempfile::tempdir().unwrap();
    let (first, joining) = (directory.path().join("first"), directory.path().join("joining"));
    store::bootstrap(&first, "north", REPLICA_ID, &[1, 2, 3], FIRST_TOKEN, STORE_ID).unwrap();
    store::bootstrap_joining(&joining, "north", 4, STORE_ID).unwrap();
    let all = format!(
        "bootstrap\n{}\nbootstrap of a joining replica\n{}",
        dump(&first.join("keeper.redb")),
        dump(&joining.join("keeper.redb"))
    );
    insta::assert_snapshot!("empty", all);
    let mut files: Vec<String> = std::fs::read_dir(&first)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    files.sort();
    assert_eq!(files, ["keeper.redb"]);
}

#[test]
fn recovers_all_values_from_the_store_of_each_version() {
    let _guard = no_process_starts();
    for example in examples() {
        let directory = tempfile::tempdir().unwrap();
        unpack_fixture(example.fixture, &directory.path().join("keeper.redb"));
        let (_, recovered) = Store::open(directory.path(), "north", REPLICA_ID).unwrap();
        let version = example.fixture;
        // The fixture has one start, and opening it counts as the second.
        let identity =
            StoreIdentity { replica_id: REPLICA_ID, store_id: STORE_ID, start_count: 2, raft_term: 4 };
        assert_eq!(recovered.identity, identity, "{version}");
        assert_eq!(recovered.hard_state, example.hard_state(), "{version}");
        assert_eq!(recovered.snapshot, example.snapshot(), "{version}");
        assert_eq!(StateMachine::restore(recovered.snapshot.get_data()).unwrap(), example.state, "{version}");
        assert_eq!(recovered.entries, example.entries(), "{version}");
        for (entry, command) in recovered.entries.iter().zip(&example.commands) {
            assert_eq!(Command::decode(&entry.data).unwrap(), *command, "{version}");
        }
        let peers: BTreeMap<u64, StoreIdentity> =
            example.peers().into_iter().map(|peer| (peer.replica_id, peer)).collect();
        assert_eq!(recovered.peers, peers, "{version}");
    }
}

#[test]
fn applies_the_log_of_each_version_after_a_start() {
    let _guard = no_process_starts();
    for example in examples() {
        let directory = tempfile::tempdir().unwrap();
        unpack_fixture(example.fixture, &directory.path().join("keeper.redb"));
        let (store, recovered) = Store::open(directory.path(), "north", REPLICA_ID).unwrap();
        let mut replica = Replica::new(store, recovered, Timing::default(), TICK, 1).unwrap();
        replica.tick(TICK).unwrap();
        let mut expected = example.state.clone();
        for (index, command) in (example.state.revision() + 1..).zip(&example.commands) {
            expected.apply(index, command);
        }
        let status = replica.status();
        let version = example.fixture;
        assert_eq!(status.applied_index, expected.revision(), "{version}");
        assert_eq!(status.committed_index, example.hard_state().commit, "{version}");
        assert_eq!(
            (status.replica_id, status.raft_term, status.start_count),
            (REPLICA_ID, 4, 2),
            "{version}"
        );
        assert_eq!(replica.next_token(), expected.next_token(), "{version}");
        assert_eq!(status.members.len(), expected.sessions().len(), "{version}");
        assert_eq!(status.leases.len(), expected.leases().len(), "{version}");
        for (status, (id, lease)) in status.leases.iter().zip(expected.leases()) {
            let holder: Option<(FencingToken, Revision)> =
                status.holder.as_ref().map(|holder| (holder.token, status.fencing_revision));
            assert_eq!(status.lease, *id, "{version}");
            assert_eq!(
                holder,
                lease.holder.map(|holder| (holder.token, lease.fencing_revision)),
                "{version}"
            );
            assert_eq!(status.minimum_token, lease.minimum_token, "{version}");
        }
        let replaced = expected.replacement_in_progress().map(|replacing| (replacing.old, replacing.new));
        assert_eq!(status.replacement.map(<(u64, u64)>::from), replaced, "{version}");
    }
}
