//! Bytes and texts that other processes, stored logs and operators rely on. Postcard writes variants and fields by their
//! order, so a snapshot may change only together with the version of the format.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use disruption_budget::census::{Standing, ACCOUNT};
use disruption_budget::{
    Account, Amount, Budget, BudgetFault, Change, Condition, Cover, Flaw, Kind, Observed, Outcome, Target,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn target(kind: Kind, name: &str) -> Target {
    Target { kind, name: name.into() }
}

fn observed(name: &str, condition: Condition, incarnation: u64) -> Observed {
    Observed {
        target: target(Kind::Dispatcher, name),
        zone: "north".into(),
        pool: "small".into(),
        condition,
        incarnation,
    }
}

fn budget(name: &str, cover: Cover, most_out: Option<Amount>, least_in: Option<Amount>) -> Budget {
    Budget { name: name.into(), kind: Kind::Dispatcher, cover, most_out, least_in }
}

fn ask(name: &str, asker: &str, force: bool) -> Change {
    let (reason, asker) = ("upgrade".into(), asker.into());
    Change::Ask { target: target(Kind::Dispatcher, name), reason, asker, force }
}

fn observe(token: u64, seen: u64, targets: Vec<Observed>, gone: Vec<Target>) -> Change {
    Change::Observe { token, seen, targets, gone }
}

/// Every scope and both kinds of amount.
fn budgets() -> Vec<Budget> {
    vec![
        budget("fleet", Cover::Fleet, Some(Amount::Count(2)), None),
        budget("zones", Cover::EachZone, None, Some(Amount::Percent(20))),
        budget("zone", Cover::Zone("south".into()), Some(Amount::Percent(60)), Some(Amount::Count(3))),
        budget("pools", Cover::EachPool, Some(Amount::Count(2)), None),
        budget("pool", Cover::Pool("large".into()), Some(Amount::Count(7)), None),
    ]
}

/// Commands in the order of a log from entry 1 on, which together give every outcome and every rejection.
fn history() -> Vec<(&'static str, Change)> {
    let available = |name| observed(name, Condition::In, 5);
    let unmet = budget("unmet", Cover::Fleet, Some(Amount::Count(0)), None);
    let workers =
        Budget { kind: Kind::Worker, ..budget("workers", Cover::Fleet, Some(Amount::Count(1)), None) };
    let fleet = ["a", "b", "c", "d", "e"].map(available).into();
    let warming = vec![observed("d", Condition::Warming(300), 6), observed("e", Condition::Out, 5)];
    let strike = |name| Change::Strike { target: target(Kind::Dispatcher, name), by: "on call".into() };
    vec![
        ("set budgets", Change::Budgets { seen: 0, budgets: budgets() }),
        ("set budgets of another version", Change::Budgets { seen: 0, budgets: vec![workers] }),
        ("set a budget that allows nothing", Change::Budgets { seen: 1, budgets: vec![unmet] }),
        ("set too many budgets", Change::Budgets { seen: 1, budgets: vec![budgets().remove(0); 65] }),
        ("deregister an unknown target", strike("z")),
        ("request a permit", ask("a", "operator", false)),
        ("request a second permit", ask("b", "agent", false)),
        ("request with a long name", ask("c", &"x".repeat(257), false)),
        ("begin a waiting permit", Change::Begin { permit: 6, incarnation: 5 }),
        ("an observation that grants", observe(9, 9, fleet, vec![])),
        ("begin a granted permit", Change::Begin { permit: 6, incarnation: 5 }),
        ("an observation that revokes", observe(9, 11, warming, vec![target(Kind::Worker, "w")])),
        ("cancel a begun permit", Change::Void { permit: 6 }),
        ("complete a begun permit", Change::Done { permit: 6 }),
        ("an observation of an earlier observer", observe(8, 14, vec![], vec![])),
        (
            "an observation that closes and grants",
            observe(10, 16, vec![observed("e", Condition::In, 5)], vec![]),
        ),
        ("cancel a granted permit", Change::Void { permit: 7 }),
        ("cancel a permit that is not open", Change::Void { permit: 7 }),
        ("deregister a target", strike("c")),
        ("request a forced permit", ask("b", "on call", true)),
        ("request a permit again", ask("a", "agent", false)),
        ("begin a forced permit", Change::Begin { permit: 20, incarnation: 6 }),
        ("complete a forced permit", Change::Done { permit: 20 }),
        ("request a permit for another target", ask("e", "agent", false)),
    ]
}

/// Applies the history: each command with its outcome, and the state at the end.
fn applied_history() -> (Vec<(&'static str, Change, Outcome)>, Account) {
    let mut account = Account::default();
    let mut entries = Vec::new();
    for ((label, change), index) in history().into_iter().zip(1..) {
        let outcome = account.apply(index, &change);
        entries.push((label, change, outcome));
    }
    (entries, account)
}

#[test]
fn bytes_of_commands_and_outcomes() {
    let mut text = String::new();
    let (mut commands, mut outcomes, mut rejections) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for (label, change, outcome) in applied_history().0 {
        let (command_bytes, outcome_bytes) =
            (postcard::to_stdvec(&change).unwrap(), postcard::to_stdvec(&outcome).unwrap());
        assert_eq!(postcard::from_bytes::<Change>(&command_bytes).unwrap(), change, "{label}");
        assert_eq!(postcard::from_bytes::<Outcome>(&outcome_bytes).unwrap(), outcome, "{label}");
        // Of the long ones the start and the length are enough.
        let shown = if command_bytes.len() > 400 { &command_bytes[..48] } else { &command_bytes[..] };
        writeln!(
            text,
            "{label}\n  {} ({} bytes)\n  {}",
            hex(shown),
            command_bytes.len(),
            hex(&outcome_bytes)
        )
        .unwrap();
        if let Outcome::Refused(why) = &outcome {
            writeln!(text, "  {why}").unwrap();
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
    let account = applied_history().1;
    let bytes = postcard::to_stdvec(&account).unwrap();
    assert_eq!(postcard::from_bytes::<Account>(&bytes).unwrap(), account);
    let mut text = format!("at the end\n  {}\n", hex(&bytes));
    writeln!(text, "empty\n  {}", hex(&postcard::to_stdvec(&Account::default()).unwrap())).unwrap();
    for (id, permit) in account.permits() {
        writeln!(text, "permit {id}\n  {}", hex(&postcard::to_stdvec(permit).unwrap())).unwrap();
    }
    for one in account.targets() {
        writeln!(text, "{}\n  {}", one.target, hex(&postcard::to_stdvec(&one).unwrap())).unwrap();
    }
    insta::assert_snapshot!(text);
}

#[test]
fn bytes_of_a_readiness_report() {
    let standing = Standing { name: "d1".into(), zone: "north".into(), number: 3 << 20 | 2, serves: true };
    assert_eq!(hex(&standing.pack()), "026431056e6f7274688280c00101");
    assert_eq!(Standing::unpack(&standing.pack()), Some(standing.clone()));
    assert_eq!(Standing::unpack(&standing.pack()[1..]), None);
}

#[test]
fn names_that_others_read() {
    assert_eq!(ACCOUNT, "account", "the name of the lease in settings and records");
    let bugs: Vec<&str> = Flaw::names().iter().map(|(name, _)| *name).collect();
    assert_eq!(bugs, ["any-process", "planned-only", "old-observation", "begin-unasked"]);
    let names: Vec<String> =
        [target(Kind::Dispatcher, "d1"), target(Kind::Worker, "w1")].iter().map(Target::to_string).collect();
    assert_eq!(names, ["dispatcher/d1", "worker/w1"]);
    assert_eq!("worker/w1".parse(), Ok(target(Kind::Worker, "w1")));
}

#[test]
fn texts_of_errors() {
    let mut text = String::new();
    for (most_out, least_in, targets) in [
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
        let budget = budget("b", Cover::Fleet, most_out, least_in);
        let shown = |result: Result<(), BudgetFault>| match result {
            Ok(()) => "fine".to_owned(),
            Err(fault) => fault.to_string(),
        };
        writeln!(text, "{}; of {targets}: {}", shown(budget.check()), shown(budget.fits(targets))).unwrap();
    }
    for word in ["", "w1", "shop/w1", "worker/", "dispatcher/"] {
        writeln!(text, "{}", word.parse::<Target>().unwrap_err()).unwrap();
    }
    insta::assert_snapshot!(text);
}
