//! What other processes and older stores depend on: bytes of log entries, snapshots and messages, JSON, texts.
//!
//! The snapshots of this file change only with the version of a format.

use std::fmt::{Display, Write as _};

use coordination::{
    Command, DutyId, HolderCounts, Outcome, Owner, Reason, Refusal, Revision, Scope, Seat, SessionId, State,
    Times, Token, View, COMMAND_VERSION,
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

fn join(name: &str, boot: u64, zone: &str, offers: Vec<DutyId>, short: bool) -> Command {
    let (name, zone, address) = (name.to_owned(), zone.to_owned(), format!("10.0.0.{boot}:7000"));
    Command::Join { name, boot, zone, address, offers, short }
}

fn version_1_commands() -> Vec<(&'static str, Command)> {
    let offers = vec![DutyId::fleet("list"), DutyId::zone("cold", "north"), DutyId::set("watch", 300)];
    vec![
        ("0 join", join("a", 200, "north", offers, true)),
        ("1 leave", Command::Leave { session: SessionId(5), short: true }),
        ("2 end", Command::End { session: SessionId(300), short: false }),
        ("3 settle", Command::Settle { session: SessionId(7) }),
        (
            "4 grant",
            Command::Grant { duty: DutyId::zone("cold", "north"), session: SessionId(8), fenced: 513 },
        ),
        ("5 release", Command::Release { duty: DutyId::fleet("list"), token: Token(9), unsettle: true }),
        ("6 started", Command::KeeperStarted { keeper: 3, boots: 11 }),
    ]
}

fn version_2_commands() -> Vec<(&'static str, Command)> {
    vec![
        ("7 replace", Command::ReplaceKeeper { old: 2, new: 4, address: "10.0.0.4:7100".to_owned() }),
        ("8 replaced", Command::KeeperReplaced { old: 2 }),
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

fn ask(name: &str, force: bool) -> DisruptionCommand {
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
            "9.0 budgets",
            Command::Account(DisruptionCommand::SetBudgets { expected_version: 300, budgets: budgets() }),
        ),
        ("9.1 ask", Command::Account(ask("w1", true))),
        ("9.2 begin", Command::Account(DisruptionCommand::BeginPermit { permit: 6, incarnation: 2 })),
        ("9.3 done", Command::Account(DisruptionCommand::CompletePermit { permit: 6 })),
        ("9.4 void", Command::Account(DisruptionCommand::CancelPermit { permit: 7 })),
        (
            "9.5 observe",
            Command::Account(DisruptionCommand::RecordObservation {
                fencing_token: 4,
                known_revision: 5,
                changed: targets,
                removed: vec![worker("w3")],
            }),
        ),
        (
            "9.6 strike",
            Command::Account(DisruptionCommand::DeregisterTarget {
                target: dispatcher,
                operator: "ops".to_owned(),
            }),
        ),
    ]
}

#[test]
fn log_entries_keep_their_bytes_and_are_read_back() {
    for (version, commands) in
        [(1, version_1_commands()), (2, version_2_commands()), (3, version_3_commands())]
    {
        for (label, command) in &commands {
            assert_eq!(command.version(), version, "{label}");
            assert_eq!(Command::decode(&command.encode()).as_ref(), Ok(command), "{label}");
            assert_eq!(Command::decode_up_to(version, &command.encode()).as_ref(), Ok(command), "{label}");
        }
        let text = lines(&commands, |command| hex(&command.encode()));
        insta::assert_snapshot!(format!("log_entries_version_{version}"), text);
    }
}

/// A state and the log that made it.
struct Log {
    state: State,
    index: Revision,
}

impl Log {
    fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    fn joined(&mut self, command: &Command) -> SessionId {
        match self.apply(command) {
            Outcome::Joined(session, _) => session,
            other => panic!("{other:?}"),
        }
    }

    fn granted(&mut self, duty: &DutyId, session: SessionId) -> Token {
        let fenced = self.state.duties()[duty].fenced;
        match self.apply(&Command::Grant { duty: duty.clone(), session, fenced }) {
            Outcome::Granted(_, owner) => owner.token,
            other => panic!("{other:?}"),
        }
    }
}

/// Sessions that are settled, superseded and gone; duties of all scopes, owned, free and given back.
fn version_1_log() -> Log {
    let mut log = Log { state: State::new(70), index: 0 };
    let (list, account) = (DutyId::fleet("list"), DutyId::fleet("account"));
    let (cold, set) = (DutyId::zone("cold", "north"), DutyId::set("watch", 300));
    let all = vec![list.clone(), account.clone(), cold, set.clone()];
    let first = log.joined(&join("a", 1, "north", all.clone(), false));
    let second = log.joined(&join("b", 2, "south", all.clone(), false));
    for session in [first, second] {
        assert_eq!(log.apply(&Command::Settle { session }), Outcome::Settled(session));
    }
    log.granted(&list, first);
    log.granted(&account, second);
    let token = log.granted(&set, second);
    log.apply(&Command::Release { duty: set, token, unsettle: false });
    // A second process of a name supersedes the first, after a short life.
    log.joined(&join("a", 3, "north", all.clone(), true));
    // A third name comes and goes again.
    let third = log.joined(&join("c", 4, "", vec![], false));
    assert_eq!(log.apply(&Command::End { session: third, short: true }), Outcome::Ended(third));
    for (keeper, boots) in [(1, 2), (2, 1), (3, 300)] {
        assert_eq!(log.apply(&Command::KeeperStarted { keeper, boots }), Outcome::Noted);
    }
    log
}

/// The same with a replacement of a keeper that is over and one on its way.
fn version_2_log() -> Log {
    let mut log = version_1_log();
    let replace = |old, new| Command::ReplaceKeeper { old, new, address: format!("10.0.0.{new}:7100") };
    assert_eq!(log.apply(&replace(3, 4)), Outcome::Noted);
    assert_eq!(log.apply(&Command::KeeperReplaced { old: 3 }), Outcome::Noted);
    assert_eq!(log.apply(&replace(2, 5)), Outcome::Noted);
    log
}

/// The same with budgets, targets and permits in every state.
fn version_3_log() -> Log {
    let mut log = version_2_log();
    let token = log.state.duties()[&DutyId::fleet("account")].owner.unwrap().token.0;
    let mut change = |change: DisruptionCommand| match log.apply(&Command::Account(change)) {
        Outcome::Account(outcome) => outcome,
        other => panic!("{other:?}"),
    };
    change(DisruptionCommand::SetBudgets { expected_version: 0, budgets: budgets() });
    let targets = vec![
        observed(worker("w1"), Availability::Available, 1),
        observed(worker("w2"), Availability::WarmingUp(250), 2),
        observed(worker("w3"), Availability::Unavailable, 3),
    ];
    let seen = 1_000;
    change(DisruptionCommand::RecordObservation {
        fencing_token: token,
        known_revision: seen,
        changed: targets,
        removed: vec![],
    });
    let disruption_budget::DisruptionOutcome::PermitRequested(permit, _) = change(ask("w1", true)) else {
        panic!("no permit")
    };
    change(DisruptionCommand::BeginPermit { permit, incarnation: 1 });
    change(DisruptionCommand::CompletePermit { permit });
    change(ask("w2", true));
    change(ask("w3", false));
    log
}

/// Every value that the state shows, under names that are not those of the code.
fn described(state: &State) -> String {
    let mut text = format!(
        "revisions: {} leases {} members {} disruption {}\nnext token: {}\n",
        state.revision(),
        state.seats_revision(),
        state.roster_revision(),
        state.account_revision(),
        state.next_token().0
    );
    for (id, session) in state.sessions() {
        let offers: Vec<String> = session.offers.iter().map(DutyId::to_string).collect();
        let _ = writeln!(
            text,
            "session {}: name {:?} incarnation {} boot {} zone {:?} address {:?} offers {} stable {} superseded {}",
            id.0,
            session.name,
            session.incarnation,
            session.boot,
            session.zone,
            session.address,
            offers.join(" "),
            session.settled,
            session.superseded
        );
    }
    for name in ["a", "b", "c"] {
        let (short, incarnation) = (state.short_lives(name), state.incarnation_of(name));
        let _ = writeln!(text, "name {name}: short sessions {short} incarnation {incarnation}");
    }
    for (id, duty) in state.duties() {
        let owner = duty.owner.map(|owner| (owner.session.0, owner.token.0));
        let _ =
            writeln!(text, "lease {id}: minimum {} fenced {} holder {owner:?}", duty.floor.0, duty.fenced);
    }
    let replacing = state.replacing().map(|replacing| (replacing.old, replacing.new));
    let _ =
        writeln!(text, "replicas: {:?} added {:?} replacing {replacing:?}", state.keepers(), state.added());
    let _ = writeln!(text, "disruption: {}", postcard_hex(state.account()));
    text
}

#[test]
fn snapshots_keep_their_bytes_and_restore_every_value() {
    for (version, log) in [(1, version_1_log()), (2, version_2_log()), (3, version_3_log())] {
        let bytes = log.state.snapshot();
        assert_eq!(u16::from(bytes[0]), version);
        let restored = State::restore(&bytes).unwrap();
        assert_eq!(described(&restored), described(&log.state));
        assert_eq!(restored, log.state);
        assert_eq!(restored.digest(), log.state.digest());
        assert_eq!(restored.snapshot(), bytes);
        let text =
            format!("bytes: {}\ndigest: {:016x}\n{}", hex(&bytes), restored.digest(), described(&restored));
        insta::assert_snapshot!(format!("snapshot_version_{version}"), text);
    }
}

/// What the state shows to nobody is kept too: processes of a name, and numbers of keepers that were used.
#[test]
fn a_restored_snapshot_decides_as_the_state_that_it_was_taken_of() {
    let log = version_3_log();
    let mut restored = Log { state: State::restore(&log.state.snapshot()).unwrap(), index: log.index };
    let old_process = restored.apply(&join("a", 1, "north", vec![], false));
    assert_eq!(old_process, Outcome::Refused(Reason::Superseded { incarnation: 2 }));
    let used_number = Command::ReplaceKeeper { old: 2, new: 3, address: "10.0.0.3:7100".to_owned() };
    assert!(matches!(restored.apply(&used_number), Outcome::Refused(Reason::Keepers(_))));
    restored.joined(&join("c", 5, "", vec![], false));
    assert_eq!(restored.state.short_lives("c"), 1, "the session before was short");
}

#[test]
fn messages_keep_their_bytes() {
    let owner = Owner { session: SessionId(300), token: Token(7) };
    let seats = vec![
        Seat { duty: DutyId::fleet("list"), floor: Token(7), owner: Some(owner) },
        Seat { duty: DutyId::zone("cold", "north"), floor: Token(300), owner: None },
        Seat { duty: DutyId::set("watch", 300), floor: Token(1), owner: None },
    ];
    let counts = HolderCounts { taken: 1, old_tokens: 2, without_session: 3, unknown: 4 };
    let mut text = lines(&reasons(), postcard_hex);
    text += &lines(&refusals(), postcard_hex);
    let _ = writeln!(text, "view: {}", postcard_hex(&View { revision: 513, seats }));
    let _ = writeln!(text, "counts: {}", postcard_hex(&counts));
    let _ = writeln!(text, "times: {}", postcard_hex(&Times::default()));
    insta::assert_snapshot!("messages", text);
}

fn reasons() -> Vec<(&'static str, Reason)> {
    vec![
        ("rejection 0", Reason::NoSession),
        ("rejection 1", Reason::Superseded { incarnation: 300 }),
        ("rejection 2", Reason::NotFree),
        ("rejection 3", Reason::NotTheOwner),
        ("rejection 4", Reason::Full("much".to_owned())),
        ("rejection 5", Reason::OldDisk { boots: 301 }),
        ("rejection 6", Reason::Keepers("why".to_owned())),
    ]
}

fn refusals() -> Vec<(&'static str, Refusal)> {
    vec![
        ("effect rejection 0", Refusal::NoSession),
        ("effect rejection 1", Refusal::OldToken { floor: Token(300) }),
        ("effect rejection 2", Refusal::Unknown),
    ]
}

fn ids() -> Vec<(&'static str, DutyId)> {
    vec![
        ("id of the fleet", DutyId::fleet("list")),
        ("id of a zone", DutyId::zone("cold", "north")),
        ("id of a set", DutyId::set("watch", 300)),
    ]
}

/// What `status --json` of the command line and files of the emulator carry.
#[test]
fn json_keeps_its_keys() {
    fn json<T: Serialize>(value: &T) -> String {
        serde_json::to_string(value).unwrap()
    }
    let mut text = lines(&ids(), json);
    let _ = writeln!(text, "session: {}", json(&SessionId(300)));
    let _ = writeln!(text, "token: {}", json(&Token(300)));
    let _ = writeln!(text, "times: {}", json(&Times::default()));
    insta::assert_snapshot!("json", text);
    for (label, id) in ids() {
        assert_eq!(serde_json::from_str::<DutyId>(&json(&id)).unwrap(), id, "{label}");
    }
    assert_eq!(serde_json::from_str::<Times>(&json(&Times::default())).unwrap(), Times::default());
    assert_eq!(serde_json::from_str::<Scope>(r#"{"Set":7}"#).unwrap(), Scope::Set(7));
}

#[test]
fn texts_stay() {
    let shown = |label: &str, text: &dyn Display| format!("{label}: {text}\n");
    let mut text = lines(&reasons(), Reason::to_string);
    text += &lines(&refusals(), Refusal::to_string);
    text += &lines(&ids(), DutyId::to_string);
    for wrong in ["", "@zone/a", "list@", "list@zone/", "list@set/x", "list@set/70000", "list@shop/a"] {
        text += &shown(&format!("id {wrong:?}"), &wrong.parse::<DutyId>().unwrap_err());
    }
    let good = Times::default();
    for times in [
        Times { heartbeat: 200_000, ..good },
        Times { renew: 900_000, ..good },
        Times { call: 0, ..good },
        Times { election: 900_000, ..good },
        Times { stay: 1, ..good },
        Times { short: 1, ..good },
        Times { skew_ppm: 100_001, ..good },
    ] {
        text += &shown("times", &times.check().unwrap_err());
    }
    insta::assert_snapshot!("texts", text);
}

#[test]
fn too_many_or_too_long_values_are_named() {
    let mut log = Log { state: State::new(1), index: 0 };
    let long = "x".repeat(129);
    let address = |address: &str| Command::ReplaceKeeper { old: 1, new: 9, address: address.to_owned() };
    let many = (0..129).map(|set| DutyId::set("watch", set)).collect();
    log.apply(&Command::KeeperStarted { keeper: 1, boots: 7 });
    let mut text = String::new();
    for (label, command) in [
        ("empty name", join("", 1, "", vec![], false)),
        ("long name", join(&long, 1, "", vec![], false)),
        ("long zone", join("a", 1, &long, vec![], false)),
        ("long lease", join("a", 1, "", vec![DutyId::fleet(&long)], false)),
        ("many offers", join("a", 1, "", many, false)),
        ("empty address", address("")),
        ("long address", address(&long)),
        ("used number", Command::ReplaceKeeper { old: 2, new: 1, address: "10.0.0.1:7100".to_owned() }),
        ("itself", Command::ReplaceKeeper { old: 2, new: 2, address: "10.0.0.1:7100".to_owned() }),
        ("old disk", Command::KeeperStarted { keeper: 1, boots: 6 }),
        ("first", Command::ReplaceKeeper { old: 1, new: 2, address: "10.0.0.1:7100".to_owned() }),
        ("second", Command::ReplaceKeeper { old: 3, new: 4, address: "10.0.0.1:7100".to_owned() }),
        ("over", Command::KeeperReplaced { old: 1 }),
        ("again", Command::ReplaceKeeper { old: 1, new: 4, address: "10.0.0.1:7100".to_owned() }),
    ] {
        let told = match log.apply(&command) {
            Outcome::Refused(reason) => reason.to_string(),
            Outcome::Noted => "done".to_owned(),
            other => panic!("{label}: {other:?}"),
        };
        let _ = writeln!(text, "{label}: {told}");
    }
    insta::assert_snapshot!("limits", text);
}

#[test]
fn entries_and_snapshots_of_later_versions_are_refused_with_both_versions() {
    let mut text = String::new();
    let mut shown = |label: &str, error: &dyn Display| {
        let _ = writeln!(text, "{label}: {error}");
    };
    for (known, commands) in [(1, version_2_commands()), (2, version_3_commands())] {
        for (label, command) in commands {
            shown(label, &Command::decode_up_to(known, &command.encode()).unwrap_err());
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
    shown("short snapshot", &State::restore(&snapshot[..snapshot.len() - 1]).unwrap_err());
    snapshot[0] = 4;
    shown("later snapshot", &State::restore(&snapshot).unwrap_err());
    snapshot[0] = 0;
    shown("snapshot 0", &State::restore(&snapshot).unwrap_err());
    shown("no snapshot", &State::restore(&[]).unwrap_err());
    insta::assert_snapshot!("later_versions", text);
}
