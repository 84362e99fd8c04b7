//! Bytes and texts that other processes, stored logs and operators rely on. Postcard writes variants and fields by
//! their order, so a snapshot may change only together with the version of the format.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use disruption_budget::{
    Amount, Availability, Budget, BudgetError, BudgetScope, DisruptionCommand, DisruptionOutcome,
    DisruptionState, InjectedBug, ReadinessReport, Target, TargetKind, TargetStatus, OBSERVER_LEASE,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn target(kind: TargetKind, name: &str) -> Target {
    Target { kind, name: name.into() }
}

fn observed(name: &str, availability: Availability, incarnation: u64) -> TargetStatus {
    TargetStatus {
        target: target(TargetKind::Dispatcher, name),
        zone: "north".into(),
        pool: "small".into(),
        availability,
        incarnation,
    }
}

fn budget(
    name: &str,
    scope: BudgetScope,
    max_unavailable: Option<Amount>,
    min_available: Option<Amount>,
) -> Budget {
    Budget { name: name.into(), kind: TargetKind::Dispatcher, scope, max_unavailable, min_available }
}

fn request_permit(name: &str, requester: &str, force: bool) -> DisruptionCommand {
    let reason = "upgrade".into();
    let requester = requester.into();
    DisruptionCommand::RequestPermit {
        target: target(TargetKind::Dispatcher, name),
        reason,
        requester,
        force,
    }
}

fn observe(
    fencing_token: u64,
    known_revision: u64,
    changed: Vec<TargetStatus>,
    removed: Vec<Target>,
) -> DisruptionCommand {
    DisruptionCommand::RecordObservation { fencing_token, known_revision, changed, removed }
}

/// Returns budgets with every scope and both kinds of amount.
fn budgets() -> Vec<Budget> {
    vec![
        budget("fleet", BudgetScope::Fleet, Some(Amount::Count(2)), None),
        budget("zones", BudgetScope::EachZone, None, Some(Amount::Percent(20))),
        budget("zone", BudgetScope::Zone("south".into()), Some(Amount::Percent(60)), Some(Amount::Count(3))),
        budget("pools", BudgetScope::EachPool, Some(Amount::Count(2)), None),
        budget("pool", BudgetScope::Pool("large".into()), Some(Amount::Count(7)), None),
    ]
}

/// Returns the commands of a log from entry 1 on. Together they have every outcome and every rejection.
fn history() -> Vec<(&'static str, DisruptionCommand)> {
    let available = |name| observed(name, Availability::Available, 5);
    let never_allows = budget("unmet", BudgetScope::Fleet, Some(Amount::Count(0)), None);
    let workers = Budget {
        kind: TargetKind::Worker,
        ..budget("workers", BudgetScope::Fleet, Some(Amount::Count(1)), None)
    };
    let all_available = ["a", "b", "c", "d", "e"].map(available).into();
    let warming =
        vec![observed("d", Availability::WarmingUp(300), 6), observed("e", Availability::Unavailable, 5)];
    let deregister = |name| DisruptionCommand::DeregisterTarget {
        target: target(TargetKind::Dispatcher, name),
        operator: "on call".into(),
    };
    vec![
        ("set budgets", DisruptionCommand::SetBudgets { expected_version: 0, budgets: budgets() }),
        (
            "set budgets of another version",
            DisruptionCommand::SetBudgets { expected_version: 0, budgets: vec![workers] },
        ),
        (
            "set a budget that allows nothing",
            DisruptionCommand::SetBudgets { expected_version: 1, budgets: vec![never_allows] },
        ),
        (
            "set too many budgets",
            DisruptionCommand::SetBudgets { expected_version: 1, budgets: vec![budgets().remove(0); 65] },
        ),
        ("deregister an unknown target", deregister("z")),
        ("request a permit", request_permit("a", "operator", false)),
        ("request a second permit", request_permit("b", "agent", false)),
        ("request with a long name", request_permit("c", &"x".repeat(257), false)),
        ("begin a waiting permit", DisruptionCommand::BeginPermit { permit: 6, incarnation: 5 }),
        ("an observation that grants", observe(9, 9, all_available, vec![])),
        ("begin a granted permit", DisruptionCommand::BeginPermit { permit: 6, incarnation: 5 }),
        ("an observation that revokes", observe(9, 11, warming, vec![target(TargetKind::Worker, "w")])),
        ("cancel a begun permit", DisruptionCommand::CancelPermit { permit: 6 }),
        ("complete a begun permit", DisruptionCommand::CompletePermit { permit: 6 }),
        ("an observation of an earlier observer", observe(8, 14, vec![], vec![])),
        (
            "an observation that closes and grants",
            observe(10, 16, vec![observed("e", Availability::Available, 5)], vec![]),
        ),
        ("cancel a granted permit", DisruptionCommand::CancelPermit { permit: 7 }),
        ("cancel a permit that is not open", DisruptionCommand::CancelPermit { permit: 7 }),
        ("deregister a target", deregister("c")),
        ("request a forced permit", request_permit("b", "on call", true)),
        ("request a permit again", request_permit("a", "agent", false)),
        ("begin a forced permit", DisruptionCommand::BeginPermit { permit: 20, incarnation: 6 }),
        ("complete a forced permit", DisruptionCommand::CompletePermit { permit: 20 }),
        ("request a permit for another target", request_permit("e", "agent", false)),
    ]
}

/// Applies the history. Returns each command with its outcome, and the final state.
fn applied_history() -> (Vec<(&'static str, DisruptionCommand, DisruptionOutcome)>, DisruptionState) {
    let mut state = DisruptionState::default();
    let mut entries = Vec::new();
    for ((label, command), index) in history().into_iter().zip(1..) {
        let outcome = state.apply(index, &command);
        entries.push((label, command, outcome));
    }
    (entries, state)
}

#[test]
fn bytes_of_commands_and_outcomes() {
    let mut text = String::new();
    let mut commands = BTreeSet::new();
    let mut outcomes = BTreeSet::new();
    let mut rejections = BTreeSet::new();
    for (label, command, outcome) in applied_history().0 {
        let command_bytes = postcard::to_stdvec(&command).unwrap();
        let outcome_bytes = postcard::to_stdvec(&outcome).unwrap();
        assert_eq!(postcard::from_bytes::<DisruptionCommand>(&command_bytes).unwrap(), command, "{label}");
        assert_eq!(postcard::from_bytes::<DisruptionOutcome>(&outcome_bytes).unwrap(), outcome, "{label}");
        // Of a long command, only the first bytes and the length are pinned.
        let shown = if command_bytes.len() > 400 { &command_bytes[..48] } else { &command_bytes[..] };
        writeln!(
            text,
            "{label}\n  {} ({} bytes)\n  {}",
            hex(shown),
            command_bytes.len(),
            hex(&outcome_bytes)
        )
        .unwrap();
        if let DisruptionOutcome::Rejected(rejection) = &outcome {
            writeln!(text, "  {rejection}").unwrap();
            rejections.insert(outcome_bytes[1]);
        }
        commands.insert(command_bytes[0]);
        outcomes.insert(outcome_bytes[0]);
    }
    insta::assert_snapshot!(text);
    let all = |count: u8| (0..count).collect::<BTreeSet<u8>>();
    assert_eq!(
        (commands, outcomes, rejections),
        (all(7), all(5), all(8)),
        "every variant of commands, outcomes and rejections"
    );
}

#[test]
fn bytes_of_the_state() {
    let state = applied_history().1;
    let bytes = postcard::to_stdvec(&state).unwrap();
    assert_eq!(postcard::from_bytes::<DisruptionState>(&bytes).unwrap(), state);
    let mut text = format!("at the end\n  {}\n", hex(&bytes));
    writeln!(text, "empty\n  {}", hex(&postcard::to_stdvec(&DisruptionState::default()).unwrap())).unwrap();
    for (id, permit) in state.permits() {
        writeln!(text, "permit {id}\n  {}", hex(&postcard::to_stdvec(permit).unwrap())).unwrap();
    }
    for status in state.targets() {
        writeln!(text, "{}\n  {}", status.target, hex(&postcard::to_stdvec(&status).unwrap())).unwrap();
    }
    insta::assert_snapshot!(text);
}

#[test]
fn bytes_of_a_readiness_report() {
    let report =
        ReadinessReport { name: "d1".into(), zone: "north".into(), incarnation: 3 << 20 | 2, ready: true };
    assert_eq!(hex(&report.encode()), "026431056e6f7274688280c00101");
    assert_eq!(ReadinessReport::decode(&report.encode()), Some(report.clone()));
    assert_eq!(ReadinessReport::decode(&report.encode()[1..]), None);
}

#[test]
fn names_in_settings_records_and_the_command_line() {
    assert_eq!(OBSERVER_LEASE, "account", "the name of the lease in settings and records");
    let bugs: Vec<&str> = InjectedBug::names().iter().map(|(name, _)| *name).collect();
    assert_eq!(bugs, ["any-process", "planned-only", "old-observation", "begin-unasked"]);
    let names: Vec<String> = [target(TargetKind::Dispatcher, "d1"), target(TargetKind::Worker, "w1")]
        .iter()
        .map(Target::to_string)
        .collect();
    assert_eq!(names, ["dispatcher/d1", "worker/w1"]);
    assert_eq!("worker/w1".parse(), Ok(target(TargetKind::Worker, "w1")));
}

#[test]
fn texts_of_errors() {
    let mut text = String::new();
    for (max_unavailable, min_available, targets) in [
        (Some(Amount::Count(0)), None, 3),
        (Some(Amount::Percent(0)), None, 3),
        (Some(Amount::Percent(100)), None, 3),
        (None, Some(Amount::Percent(100)), 3),
        (None, Some(Amount::Count(0)), 3),
        (None, None, 3),
        (Some(Amount::Percent(10)), None, 9),
        (None, Some(Amount::Percent(90)), 5),
        (Some(Amount::Count(1)), None, 1),
        (Some(Amount::Count(1)), None, 2),
    ] {
        let budget = budget("b", BudgetScope::Fleet, max_unavailable, min_available);
        let shown = |result: Result<(), BudgetError>| match result {
            Ok(()) => "fine".to_owned(),
            Err(error) => error.to_string(),
        };
        writeln!(text, "{}; of {targets}: {}", shown(budget.validate()), shown(budget.validate_for(targets)))
            .unwrap();
    }
    for text_without_target in ["", "w1", "shop/w1", "worker/", "dispatcher/"] {
        writeln!(text, "{}", text_without_target.parse::<Target>().unwrap_err()).unwrap();
    }
    insta::assert_snapshot!(text);
}
