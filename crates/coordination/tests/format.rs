//! Formats that other processes and existing stores depend on: bytes of log entries, snapshots and messages, JSON and
//! texts.
//!
//! The bytes and keys in the snapshots of this file change only together with the version of a format.

use std::fmt::{Display, Write as _};

use coordination::{
    ClusterView, Command, CommandOutcome, CommandRejection, EffectCounts, EffectRejection, FencingToken,
    LeaseHolder, LeaseId, LeaseScope, LeaseView, Revision, SessionId, StateMachine, Timing, COMMAND_VERSION,
};
use disruption_budget::{
    Amount, Availability, Budget, BudgetScope, DisruptionCommand, Target, TargetKind, TargetStatus,
};
use serde::Serialize;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn postcard_hex<T: Serialize>(value: &T) -> String {
    hex(&postcard::to_stdvec(value).unwrap())
}

fn lines<T>(examples: &[(&str, T)], text: impl Fn(&T) -> String) -> String {
    examples.iter().map(|(label, example)| format!("{label}: {}\n", text(example))).collect()
}

fn worker(name: &str) -> Target {
    Target { kind: TargetKind::Worker, name: name.to_owned() }
}

fn open_session_command(
    name: &str,
    boot_id: u64,
    zone: &str,
    eligible_leases: Vec<LeaseId>,
    short_lived: bool,
) -> Command {
    let name = name.to_owned();
    let zone = zone.to_owned();
    let address = format!("10.0.0.{boot_id}:7000");
    Command::OpenSession { name, boot_id, zone, address, eligible_leases, short_lived }
}

fn version_1_commands() -> Vec<(&'static str, Command)> {
    let eligible_leases =
        vec![LeaseId::fleet("list"), LeaseId::zone("cold", "north"), LeaseId::worker_set("watch", 300)];
    vec![
        ("0 open session", open_session_command("a", 200, "north", eligible_leases, true)),
        ("1 close session", Command::CloseSession { session: SessionId(5), short_lived: true }),
        ("2 expire session", Command::ExpireSession { session: SessionId(300), short_lived: false }),
        ("3 mark session stable", Command::MarkSessionStable { session: SessionId(7) }),
        (
            "4 grant lease",
            Command::GrantLease {
                lease: LeaseId::zone("cold", "north"),
                session: SessionId(8),
                fencing_revision: 513,
            },
        ),
        (
            "5 release lease",
            Command::ReleaseLease {
                lease: LeaseId::fleet("list"),
                token: FencingToken(9),
                reset_stability: true,
            },
        ),
        ("6 record replica start", Command::RecordReplicaStart { replica: 3, starts: 11 }),
    ]
}

fn version_2_commands() -> Vec<(&'static str, Command)> {
    vec![
        (
            "7 replace replica",
            Command::ReplaceReplica { old: 2, new: 4, address: "10.0.0.4:7100".to_owned() },
        ),
        ("8 complete replacement", Command::CompleteReplacement { old: 2 }),
    ]
}

fn budgets() -> Vec<Budget> {
    let budget = |name: &str, kind, scope, max_unavailable, min_available| Budget {
        name: name.to_owned(),
        kind,
        scope,
        max_unavailable,
        min_available,
    };
    vec![
        budget("whole", TargetKind::Dispatcher, BudgetScope::Fleet, Some(Amount::Count(1)), None),
        budget(
            "zones",
            TargetKind::Worker,
            BudgetScope::EachZone,
            Some(Amount::Percent(25)),
            Some(Amount::Count(2)),
        ),
        budget(
            "north",
            TargetKind::Worker,
            BudgetScope::Zone("north".to_owned()),
            Some(Amount::Count(3)),
            None,
        ),
        budget("pools", TargetKind::Worker, BudgetScope::EachPool, None, Some(Amount::Percent(50))),
        budget(
            "batch",
            TargetKind::Worker,
            BudgetScope::Pool("batch".to_owned()),
            Some(Amount::Count(4)),
            None,
        ),
    ]
}

fn observed(target: Target, availability: Availability, incarnation: u64) -> TargetStatus {
    TargetStatus { target, zone: "north".to_owned(), pool: "batch".to_owned(), availability, incarnation }
}

fn request_permit(name: &str, force: bool) -> DisruptionCommand {
    DisruptionCommand::RequestPermit {
        target: worker(name),
        reason: "kernel".to_owned(),
        requester: "ops".to_owned(),
        force,
    }
}

fn version_3_commands() -> Vec<(&'static str, Command)> {
    let dispatcher = Target { kind: TargetKind::Dispatcher, name: "d".to_owned() };
    let targets = vec![
        observed(worker("w1"), Availability::Available, 1),
        observed(worker("w2"), Availability::WarmingUp(250), 2),
        observed(dispatcher.clone(), Availability::Unavailable, 300),
    ];
    vec![
        (
            "9.0 set budgets",
            Command::Disruption(DisruptionCommand::SetBudgets { expected_version: 300, budgets: budgets() }),
        ),
        ("9.1 request permit", Command::Disruption(request_permit("w1", true))),
        (
            "9.2 begin permit",
            Command::Disruption(DisruptionCommand::BeginPermit { permit: 6, incarnation: 2 }),
        ),
        ("9.3 complete permit", Command::Disruption(DisruptionCommand::CompletePermit { permit: 6 })),
        ("9.4 cancel permit", Command::Disruption(DisruptionCommand::CancelPermit { permit: 7 })),
        (
            "9.5 record observation",
            Command::Disruption(DisruptionCommand::RecordObservation {
                fencing_token: 4,
                known_revision: 5,
                changed: targets,
                removed: vec![worker("w3")],
            }),
        ),
        (
            "9.6 deregister target",
            Command::Disruption(DisruptionCommand::DeregisterTarget {
                target: dispatcher,
                operator: "ops".to_owned(),
            }),
        ),
    ]
}

#[test]
fn bytes_of_log_entries_are_pinned_and_decoded() {
    for (version, commands) in
        [(1, version_1_commands()), (2, version_2_commands()), (3, version_3_commands())]
    {
        for (label, command) in &commands {
            assert_eq!(command.version(), version, "{label}");
            assert_eq!(Command::decode(&command.encode()).as_ref(), Ok(command), "{label}");
            assert_eq!(
                Command::decode_with_supported_version(version, &command.encode()).as_ref(),
                Ok(command),
                "{label}"
            );
        }
        let text = lines(&commands, |command| hex(&command.encode()));
        insta::assert_snapshot!(format!("log_entries_version_{version}"), text);
    }
}

/// A state machine and the position of the last entry of its log.
struct Log {
    state: StateMachine,
    index: Revision,
}

impl Log {
    fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    fn open_session(&mut self, command: &Command) -> SessionId {
        match self.apply(command) {
            CommandOutcome::SessionOpened { session, .. } => session,
            other => panic!("{other:?}"),
        }
    }

    fn grant_lease(&mut self, lease: &LeaseId, session: SessionId) -> FencingToken {
        let fencing_revision = self.state.leases()[lease].fencing_revision;
        match self.apply(&Command::GrantLease { lease: lease.clone(), session, fencing_revision }) {
            CommandOutcome::LeaseGranted { holder, .. } => holder.token,
            other => panic!("{other:?}"),
        }
    }
}

/// Returns a log with sessions that are stable, superseded and ended, and leases of all scopes that are held, free and
/// released.
fn version_1_log() -> Log {
    let mut log = Log { state: StateMachine::new(70), index: 0 };
    let list = LeaseId::fleet("list");
    let account = LeaseId::fleet("account");
    let slow_start = LeaseId::zone("cold", "north");
    let watch = LeaseId::worker_set("watch", 300);
    let all = vec![list.clone(), account.clone(), slow_start, watch.clone()];
    let first = log.open_session(&open_session_command("a", 1, "north", all.clone(), false));
    let second = log.open_session(&open_session_command("b", 2, "south", all.clone(), false));
    for session in [first, second] {
        assert_eq!(
            log.apply(&Command::MarkSessionStable { session }),
            CommandOutcome::SessionStable(session)
        );
    }
    log.grant_lease(&list, first);
    log.grant_lease(&account, second);
    let token = log.grant_lease(&watch, second);
    log.apply(&Command::ReleaseLease { lease: watch, token, reset_stability: false });
    // A second process of the name "a" supersedes the first after a short session.
    log.open_session(&open_session_command("a", 3, "north", all.clone(), true));
    // A session of a third name is opened and expires.
    let third = log.open_session(&open_session_command("c", 4, "", vec![], false));
    assert_eq!(
        log.apply(&Command::ExpireSession { session: third, short_lived: true }),
        CommandOutcome::SessionEnded(third)
    );
    for (replica, starts) in [(1, 2), (2, 1), (3, 300)] {
        assert_eq!(log.apply(&Command::RecordReplicaStart { replica, starts }), CommandOutcome::Acknowledged);
    }
    log
}

/// Returns the log of version 1 with a completed replacement of a replica and one in progress.
fn version_2_log() -> Log {
    let mut log = version_1_log();
    let replace = |old, new| Command::ReplaceReplica { old, new, address: format!("10.0.0.{new}:7100") };
    assert_eq!(log.apply(&replace(3, 4)), CommandOutcome::Acknowledged);
    assert_eq!(log.apply(&Command::CompleteReplacement { old: 3 }), CommandOutcome::Acknowledged);
    assert_eq!(log.apply(&replace(2, 5)), CommandOutcome::Acknowledged);
    log
}

/// Returns the log of version 2 with budgets, targets, and permits in every state.
fn version_3_log() -> Log {
    let mut log = version_2_log();
    let token = log.state.leases()[&LeaseId::fleet("account")].holder.unwrap().token.0;
    let mut change = |change: DisruptionCommand| match log.apply(&Command::Disruption(change)) {
        CommandOutcome::Disruption(outcome) => outcome,
        other => panic!("{other:?}"),
    };
    change(DisruptionCommand::SetBudgets { expected_version: 0, budgets: budgets() });
    let targets = vec![
        observed(worker("w1"), Availability::Available, 1),
        observed(worker("w2"), Availability::WarmingUp(250), 2),
        observed(worker("w3"), Availability::Unavailable, 3),
    ];
    change(DisruptionCommand::RecordObservation {
        fencing_token: token,
        known_revision: 1_000,
        changed: targets,
        removed: vec![],
    });
    let disruption_budget::DisruptionOutcome::PermitRequested { permit, .. } =
        change(request_permit("w1", true))
    else {
        panic!("no permit")
    };
    change(DisruptionCommand::BeginPermit { permit, incarnation: 1 });
    change(DisruptionCommand::CompletePermit { permit });
    change(request_permit("w2", true));
    change(request_permit("w3", false));
    log
}

/// Lists every value that the state's accessors return. The labels are not taken from the code, so that the text does
/// not change when an identifier is renamed.
fn accessor_values(state: &StateMachine) -> String {
    let mut text = format!(
        "revisions: {} leases {} members {} disruption {}\nnext token: {}\n",
        state.revision(),
        state.lease_revision(),
        state.membership_revision(),
        state.disruption_revision(),
        state.next_token().0
    );
    for (id, session) in state.sessions() {
        let eligible: Vec<String> = session.eligible_leases.iter().map(LeaseId::to_string).collect();
        let _ = writeln!(
            text,
            "session {}: name {:?} incarnation {} boot {} zone {:?} address {:?} eligible {} stable {} superseded {}",
            id.0,
            session.name,
            session.incarnation,
            session.boot_id,
            session.zone,
            session.address,
            eligible.join(" "),
            session.stable,
            session.superseded
        );
    }
    for name in ["a", "b", "c"] {
        let short = state.consecutive_short_sessions(name);
        let incarnation = state.incarnation_of(name);
        let _ = writeln!(text, "name {name}: short sessions {short} incarnation {incarnation}");
    }
    for (id, lease) in state.leases() {
        let holder = lease.holder.map(|holder| (holder.session.0, holder.token.0));
        let _ = writeln!(
            text,
            "lease {id}: minimum {} fenced {} holder {holder:?}",
            lease.minimum_token.0, lease.fencing_revision
        );
    }
    let replacing = state.replacement_in_progress().map(|replacing| (replacing.old, replacing.new));
    let _ = writeln!(
        text,
        "replicas: {:?} added {:?} replacing {replacing:?}",
        state.replica_starts(),
        state.added_replicas()
    );
    let _ = writeln!(text, "disruption: {}", postcard_hex(state.disruption()));
    text
}

#[test]
fn bytes_of_snapshots_are_pinned_and_restore_every_value() {
    for (version, log) in [(1, version_1_log()), (2, version_2_log()), (3, version_3_log())] {
        let bytes = log.state.snapshot();
        assert_eq!(u16::from(bytes[0]), version);
        let restored = StateMachine::restore(&bytes).unwrap();
        assert_eq!(accessor_values(&restored), accessor_values(&log.state));
        assert_eq!(restored, log.state);
        assert_eq!(restored.digest(), log.state.digest());
        assert_eq!(restored.snapshot(), bytes);
        let text = format!(
            "bytes: {}\ndigest: {:016x}\n{}",
            hex(&bytes),
            restored.digest(),
            accessor_values(&restored)
        );
        insta::assert_snapshot!(format!("snapshot_version_{version}"), text);
    }
}

/// Values without an accessor are restored too: the boot ids and the last short session of a name, and the used numbers
/// of replicas.
#[test]
fn restored_state_decides_as_the_state_of_the_snapshot() {
    let log = version_3_log();
    let mut restored = Log { state: StateMachine::restore(&log.state.snapshot()).unwrap(), index: log.index };
    let old_process = restored.apply(&open_session_command("a", 1, "north", vec![], false));
    assert_eq!(old_process, CommandOutcome::Rejected(CommandRejection::Superseded { incarnation: 2 }));
    let used_number = Command::ReplaceReplica { old: 2, new: 3, address: "10.0.0.3:7100".to_owned() };
    assert!(matches!(
        restored.apply(&used_number),
        CommandOutcome::Rejected(CommandRejection::InvalidReplacement(_))
    ));
    restored.open_session(&open_session_command("c", 5, "", vec![], false));
    assert_eq!(restored.state.consecutive_short_sessions("c"), 1, "the session before it was short");
}

#[test]
fn bytes_of_messages_are_pinned() {
    let holder = LeaseHolder { session: SessionId(300), token: FencingToken(7) };
    let leases = vec![
        LeaseView { lease: LeaseId::fleet("list"), minimum_token: FencingToken(7), holder: Some(holder) },
        LeaseView { lease: LeaseId::zone("cold", "north"), minimum_token: FencingToken(300), holder: None },
        LeaseView { lease: LeaseId::worker_set("watch", 300), minimum_token: FencingToken(1), holder: None },
    ];
    let counts = EffectCounts { accepted: 1, stale_tokens: 2, without_session: 3, unknown_leases: 4 };
    let mut text = lines(&command_rejections(), postcard_hex);
    text += &lines(&effect_rejections(), postcard_hex);
    let _ = writeln!(text, "view: {}", postcard_hex(&ClusterView { revision: 513, leases }));
    let _ = writeln!(text, "counts: {}", postcard_hex(&counts));
    let _ = writeln!(text, "timing: {}", postcard_hex(&Timing::default()));
    insta::assert_snapshot!("messages", text);
}

fn command_rejections() -> Vec<(&'static str, CommandRejection)> {
    vec![
        ("rejection 0", CommandRejection::NoSuchSession),
        ("rejection 1", CommandRejection::Superseded { incarnation: 300 }),
        ("rejection 2", CommandRejection::LeaseNotFree),
        ("rejection 3", CommandRejection::NotLeaseHolder),
        ("rejection 4", CommandRejection::LimitExceeded("much".to_owned())),
        ("rejection 5", CommandRejection::StaleStore { starts: 301 }),
        ("rejection 6", CommandRejection::InvalidReplacement("why".to_owned())),
    ]
}

fn effect_rejections() -> Vec<(&'static str, EffectRejection)> {
    vec![
        ("effect rejection 0", EffectRejection::NoSession),
        ("effect rejection 1", EffectRejection::StaleToken { minimum_token: FencingToken(300) }),
        ("effect rejection 2", EffectRejection::UnknownLease),
    ]
}

fn ids() -> Vec<(&'static str, LeaseId)> {
    vec![
        ("id of the fleet", LeaseId::fleet("list")),
        ("id of a zone", LeaseId::zone("cold", "north")),
        ("id of a set", LeaseId::worker_set("watch", 300)),
    ]
}

/// Values in the output of `status --json` and in files of the emulator.
#[test]
fn json_keys_are_pinned() {
    fn json<T: Serialize>(value: &T) -> String {
        serde_json::to_string(value).unwrap()
    }
    let mut text = lines(&ids(), json);
    let _ = writeln!(text, "session: {}", json(&SessionId(300)));
    let _ = writeln!(text, "token: {}", json(&FencingToken(300)));
    let _ = writeln!(text, "timing: {}", json(&Timing::default()));
    insta::assert_snapshot!("json", text);
    for (label, id) in ids() {
        assert_eq!(serde_json::from_str::<LeaseId>(&json(&id)).unwrap(), id, "{label}");
    }
    assert_eq!(serde_json::from_str::<Timing>(&json(&Timing::default())).unwrap(), Timing::default());
    assert_eq!(serde_json::from_str::<LeaseScope>(r#"{"Set":7}"#).unwrap(), LeaseScope::WorkerSet(7));
}

#[test]
fn texts_of_rejections_ids_and_errors_are_pinned() {
    let shown = |label: &str, text: &dyn Display| format!("{label}: {text}\n");
    let mut text = lines(&command_rejections(), CommandRejection::to_string);
    text += &lines(&effect_rejections(), EffectRejection::to_string);
    text += &lines(&ids(), LeaseId::to_string);
    for text_without_id in
        ["", "@zone/a", "list@", "list@zone/", "list@set/x", "list@set/70000", "list@shop/a"]
    {
        text += &shown(&format!("id {text_without_id:?}"), &text_without_id.parse::<LeaseId>().unwrap_err());
    }
    let valid = Timing::default();
    for timing in [
        Timing { heartbeat_interval: 200_000, ..valid },
        Timing { renewal_interval: 900_000, ..valid },
        Timing { call_timeout: 0, ..valid },
        Timing { election_timeout: 900_000, ..valid },
        Timing { stability_period: 1, ..valid },
        Timing { short_session_limit: 1, ..valid },
        Timing { max_clock_skew_ppm: 100_001, ..valid },
    ] {
        text += &shown("timing", &timing.validate().unwrap_err());
    }
    insta::assert_snapshot!("texts", text);
}

#[test]
fn rejections_name_the_exceeded_limit_or_the_invalid_replacement() {
    let mut log = Log { state: StateMachine::new(1), index: 0 };
    let long = "x".repeat(129);
    let address = |address: &str| Command::ReplaceReplica { old: 1, new: 9, address: address.to_owned() };
    let many = (0..129).map(|set| LeaseId::worker_set("watch", set)).collect();
    log.apply(&Command::RecordReplicaStart { replica: 1, starts: 7 });
    let mut text = String::new();
    for (label, command) in [
        ("empty name", open_session_command("", 1, "", vec![], false)),
        ("long name", open_session_command(&long, 1, "", vec![], false)),
        ("long zone", open_session_command("a", 1, &long, vec![], false)),
        ("long lease name", open_session_command("a", 1, "", vec![LeaseId::fleet(&long)], false)),
        ("too many eligible leases", open_session_command("a", 1, "", many, false)),
        ("empty address", address("")),
        ("long address", address(&long)),
        (
            "used replica number",
            Command::ReplaceReplica { old: 2, new: 1, address: "10.0.0.1:7100".to_owned() },
        ),
        (
            "old and new number equal",
            Command::ReplaceReplica { old: 2, new: 2, address: "10.0.0.1:7100".to_owned() },
        ),
        ("old store", Command::RecordReplicaStart { replica: 1, starts: 6 }),
        (
            "first replacement",
            Command::ReplaceReplica { old: 1, new: 2, address: "10.0.0.1:7100".to_owned() },
        ),
        (
            "second replacement",
            Command::ReplaceReplica { old: 3, new: 4, address: "10.0.0.1:7100".to_owned() },
        ),
        ("completed", Command::CompleteReplacement { old: 1 }),
        ("already replaced", Command::ReplaceReplica { old: 1, new: 4, address: "10.0.0.1:7100".to_owned() }),
    ] {
        let result = match log.apply(&command) {
            CommandOutcome::Rejected(reason) => reason.to_string(),
            CommandOutcome::Acknowledged => "acknowledged".to_owned(),
            other => panic!("{label}: {other:?}"),
        };
        let _ = writeln!(text, "{label}: {result}");
    }
    insta::assert_snapshot!("limits", text);
}

#[test]
fn errors_for_later_versions_name_both_versions() {
    let mut text = String::new();
    let mut shown = |label: &str, error: &dyn Display| {
        let _ = writeln!(text, "{label}: {error}");
    };
    for (supported, commands) in [(1, version_2_commands()), (2, version_3_commands())] {
        for (label, command) in commands {
            shown(label, &Command::decode_with_supported_version(supported, &command.encode()).unwrap_err());
        }
    }
    let mut entry = version_1_commands()[1].1.encode();
    entry[0] = COMMAND_VERSION as u8 + 1;
    shown("later entry", &Command::decode(&entry).unwrap_err());
    entry[0] = 1;
    shown("short entry", &Command::decode(&entry[..2]).unwrap_err());
    entry.push(0);
    shown("long entry", &Command::decode(&entry).unwrap_err());
    shown("unknown command", &Command::decode(&[1, 10]).unwrap_err());
    shown("no entry", &Command::decode(&[]).unwrap_err());
    let mut snapshot = version_3_log().state.snapshot();
    shown("short snapshot", &StateMachine::restore(&snapshot[..snapshot.len() - 1]).unwrap_err());
    snapshot[0] = 4;
    shown("later snapshot", &StateMachine::restore(&snapshot).unwrap_err());
    snapshot[0] = 0;
    shown("snapshot 0", &StateMachine::restore(&snapshot).unwrap_err());
    shown("no snapshot", &StateMachine::restore(&[]).unwrap_err());
    insta::assert_snapshot!("later_versions", text);
}
