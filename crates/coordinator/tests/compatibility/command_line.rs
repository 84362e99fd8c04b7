//! The command line: usage, and what each command prints for fixed answers of the coordinators.

use cluster_member::wire::{Answer, Ask, DutyStatus, MemberStatus, Peer, Status, Turned};
use coordination::{CommandRejection, FencingToken, LeaseId, Revision, SessionId};
use disruption_budget::{
    Account, Amount, Budget, Change, Condition, Cover, Kind, Observed, Outcome, Refusal, State, Target,
};

use crate::support::{report, run_program, Installation, Script};

const ACCOUNT_REVISION: Revision = 12;

fn member(session: u64, name: &str, settled: bool, superseded: bool) -> MemberStatus {
    let peer = Peer {
        name: name.to_owned(),
        incarnation: session + 1,
        zone: "east".to_owned(),
        address: format!("192.0.2.{session}:7200"),
    };
    MemberStatus { session: SessionId(session), peer, settled, superseded, short_lives: 2 }
}

/// A status in which no two values are the same.
fn leading() -> Status {
    Status {
        keeper: 1,
        leads: true,
        leader: Some(1),
        term: 7,
        applied: 1_200,
        committed: 1_201,
        first: 900,
        boots: 5,
        elections: 6,
        commit_us: (310, 4_200, 9_900),
        members: vec![
            member(41, "berlin", true, false),
            member(42, "cairo", false, false),
            member(43, "delhi", true, true),
        ],
        duties: vec![
            DutyStatus {
                duty: LeaseId::fleet("list"),
                owner: Some(("berlin".to_owned(), FencingToken(61))),
                floor: FencingToken(61),
                fenced: 1_100,
            },
            DutyStatus {
                duty: LeaseId::zone("watch", "east"),
                owner: None,
                floor: FencingToken(57),
                fenced: 1_101,
            },
            DutyStatus {
                duty: LeaseId::worker_set("watch", 3),
                owner: Some((String::new(), FencingToken(58))),
                floor: FencingToken(58),
                fenced: 1_102,
            },
        ],
        keepers: vec![(1, 5), (2, 8), (3, 9)],
        voters: vec![1, 2, 3],
        learners: vec![4],
        replacing: Some((3, 4)),
    }
}

fn following() -> Status {
    let (members, duties) = (Vec::new(), Vec::new());
    Status { keeper: 2, leads: false, applied: 1_190, members, duties, ..leading() }
}

fn target(kind: Kind, name: &str) -> Target {
    Target { kind, name: name.to_owned() }
}

fn observed(kind: Kind, name: &str, condition: Condition) -> Observed {
    let (zone, pool) = ("east".to_owned(), "large".to_owned());
    Observed { target: target(kind, name), zone, pool, condition, incarnation: 4 }
}

fn budget(
    name: &str,
    kind: Kind,
    cover: Cover,
    most_out: Option<Amount>,
    least_in: Option<Amount>,
) -> Budget {
    Budget { name: name.to_owned(), kind, cover, most_out, least_in }
}

/// One permit of each state, budgets of each kind, targets of each condition.
fn account() -> Account {
    let ask = |name: &str, force| Change::Ask {
        target: target(Kind::Worker, name),
        reason: "release 7".to_owned(),
        asker: "shop a".to_owned(),
        force,
    };
    let budgets = vec![
        budget("workers", Kind::Worker, Cover::EachZone, Some(Amount::Count(1)), None),
        budget("dispatchers", Kind::Dispatcher, Cover::Fleet, None, Some(Amount::Count(2))),
        budget("large", Kind::Worker, Cover::Pool("large".to_owned()), None, Some(Amount::Percent(10))),
    ];
    let targets = vec![
        observed(Kind::Worker, "w1", Condition::In),
        observed(Kind::Worker, "w2", Condition::Out),
        observed(Kind::Worker, "w3", Condition::In),
        observed(Kind::Worker, "w4", Condition::Warming(250)),
        observed(Kind::Worker, "w5", Condition::In),
        observed(Kind::Dispatcher, "d1", Condition::In),
    ];
    let changes = [
        Change::Budgets { seen: 0, budgets },
        Change::Observe { token: 51, seen: 1, targets, gone: Vec::new() },
        ask("w1", true),
        Change::Begin { permit: 3, incarnation: 4 },
        Change::Done { permit: 3 },
        ask("w3", true),
        ask("w5", false),
    ];
    let mut account = Account::default();
    for (index, change) in (1..).zip(&changes) {
        let outcome = account.apply(index, change);
        assert!(!matches!(outcome, Outcome::Refused(_)), "{change:?}: {outcome:?}");
    }
    account
}

/// The first leads and is asked for its status and the account; other operations get this answer.
fn installation(answer: Answer) -> Installation {
    Installation::answered_by(move |operation| match operation {
        Ask::Status => Answer::Status(Box::new(leading())),
        Ask::Account { .. } => Answer::Account(ACCOUNT_REVISION, Some(Box::new(account()))),
        _ => answer.clone(),
    })
}

#[test]
fn usage_and_bad_usage() {
    let mut all = String::new();
    let cases: [&[&str]; 12] = [
        &["help"],
        &["--help"],
        &["-h"],
        &["version"],
        &["--version"],
        &[],
        &["halp"],
        &["status"],
        &["status", "--confg", "x"],
        &["status", "too", "many"],
        &["permit", "ask", "--target", "server/x"],
        &["release-duty", "--duty", "list@nowhere"],
    ];
    let usage = String::from_utf8(run_program(&["help"]).stdout).unwrap();
    let usage = usage.replace(env!("CARGO_PKG_NAME"), "PROGRAM");
    for arguments in cases {
        all += &format!("{arguments:?}\n{}\n", report(&run_program(arguments)).replace(&usage, "USAGE\n"));
    }
    insta::assert_snapshot!("usage", format!("{usage}\n{all}"));
}

#[test]
fn status_members_and_duties() {
    let scripts = [
        Script::Answers(Box::new(|_| Answer::Status(Box::new(leading())))),
        Script::Answers(Box::new(|_| Answer::Status(Box::new(following())))),
        Script::Unreachable,
    ];
    let installation = Installation::new(scripts);
    let mut all = String::new();
    for command in ["status", "members", "duties"] {
        all += &format!("{command}\n{}\n", installation.run(&[command]));
        all += &format!("{command} --json\n{}\n", installation.run(&[command, "--json"]));
    }
    insta::assert_snapshot!("status", all);
}

#[test]
fn account_as_text_and_as_json() {
    let installation = installation(Answer::Busy);
    let all = format!("{}\n{}", installation.run(&["account"]), installation.run(&["account", "--json"]));
    insta::assert_snapshot!("account", all);
    let empty = Installation::answered_by(|_| Answer::Account(3, None));
    let all = format!("{}\n{}", empty.run(&["account"]), empty.run(&["account", "--json"]));
    insta::assert_snapshot!("empty_account", all);
}

#[test]
fn metrics_in_the_text_form_of_prometheus() {
    // The settings file is that of the second.
    let scripts = [
        Script::Unreachable,
        Script::Answers(Box::new(|_| Answer::Status(Box::new(leading())))),
        Script::Unreachable,
    ];
    insta::assert_snapshot!("metrics", Installation::new(scripts).run(&["metrics"]));
}

#[test]
fn permit_commands_and_what_they_ask_for() {
    let full = [
        "--target",
        "worker/w1",
        "--by",
        "shop a",
        "--reason",
        "release 7",
        "--force",
        "--permit",
        "3",
        "--number",
        "4",
    ];
    let answers = [
        Outcome::Asked(7, State::Waiting),
        Outcome::Asked(8, State::Waiting),
        Outcome::Asked(3, State::Granted),
        Outcome::Asked(3, State::Begun),
        Outcome::Begun(3),
        Outcome::Done,
        Outcome::Refused(Refusal::NotGranted),
    ];
    let mut all = String::new();
    for outcome in answers {
        let installation = installation(Answer::Changed(outcome.clone()));
        all += &format!("asked: {}\n", installation.run(&[&["permit", "ask"][..], &full].concat()));
    }
    insta::assert_snapshot!("permit_ask", all);
    let installation = installation(Answer::Changed(Outcome::Begun(3)));
    let mut all = String::new();
    for verb in ["ask", "begin", "done", "void"] {
        all += &format!("{verb}: {}\n", installation.run(&[&["permit", verb][..], &full].concat()));
    }
    all += &installation.run(&["permit", "ask", "--target", "dispatcher/d1", "--by", "shop a"]);
    all += &installation.run(&["permit", "begin", "--permit", "3"]);
    insta::assert_snapshot!("permit_verbs", all);
    let (reason, asker) = ("release 7".to_owned(), "shop a".to_owned());
    let ask = Change::Ask { target: target(Kind::Worker, "w1"), reason, asker: asker.clone(), force: true };
    let (plain, reason) = (target(Kind::Dispatcher, "d1"), String::new());
    let changes = [
        ask,
        Change::Begin { permit: 3, incarnation: 4 },
        Change::Done { permit: 3 },
        Change::Void { permit: 3 },
        Change::Ask { target: plain, reason, asker, force: false },
        Change::Begin { permit: 3, incarnation: 0 },
    ];
    let expected: Vec<(u64, Ask)> = changes.map(|change| (1, Ask::Change(change))).into();
    assert_eq!(installation.requests(), expected);
}

#[test]
fn budgets_and_strike_off_and_what_they_ask_for() {
    let installation = installation(Answer::Changed(Outcome::Done));
    let file = installation.path("budgets.hcl");
    std::fs::write(&file, "budget \"workers\" {\n  targets = \"workers\"\n  most_out = 1\n}\n").unwrap();
    let file = file.to_str().unwrap();
    let mut all = installation.run(&["budgets", "--set", file]);
    all += &installation.run(&["budgets", "--set", file, "--seen", "9"]);
    all += &installation.run(&["budgets", "--set", "nowhere.hcl"]);
    all += &installation.run(&["strike-off", "--target", "worker/w1"]);
    all += &installation.run(&["strike-off", "--target", "worker/w1", "--by", "shop a"]);
    insta::assert_snapshot!("budgets_and_strike_off", all);
    let budgets = vec![budget("workers", Kind::Worker, Cover::Fleet, Some(Amount::Count(1)), None)];
    let target = target(Kind::Worker, "w1");
    let strike = |by: &str| Change::Strike { target: target.clone(), by: by.to_owned() };
    let changes = [
        Change::Budgets { seen: 1, budgets: budgets.clone() },
        Change::Budgets { seen: 9, budgets },
        strike("an operator"),
        strike("shop a"),
    ];
    let mut expected: Vec<(u64, Ask)> = changes.map(|change| (1, Ask::Change(change))).into();
    expected.insert(0, (1, Ask::Account { known: 0 }));
    assert_eq!(installation.requests(), expected);
}

#[test]
fn release_duty_and_what_it_asks_for() {
    let answers = [
        Answer::Done,
        Answer::Busy,
        Answer::Refused(CommandRejection::NotLeaseHolder),
        Answer::NotLeading { leader: Some(2), address: None },
    ];
    let mut all = String::new();
    for answer in answers {
        let installation = installation(answer.clone());
        all += &installation.run(&["release-duty", "--duty", "list"]);
        all += &installation.run(&["release-duty", "--duty", "watch@set/3", "--token", "58"]);
        let expected = [
            (1, Ask::Release { duty: LeaseId::fleet("list"), token: None }),
            (1, Ask::Release { duty: LeaseId::worker_set("watch", 3), token: Some(FencingToken(58)) }),
        ];
        assert_eq!(installation.requests(), expected);
    }
    insta::assert_snapshot!("release_duty", all);
}

#[test]
fn replace_and_what_it_asks_for() {
    let full = ["replace", "--keeper", "3", "--with", "4", "--address", "192.0.2.14:7100"];
    let refused = installation(Answer::Refused(CommandRejection::InvalidReplacement(
        "there is no keeper 3".to_owned(),
    )));
    let mut all = refused.run(&full);
    let expected = Ask::Replace { old: 3, new: 4, address: "192.0.2.14:7100".to_owned() };
    assert_eq!(refused.requests(), [(1, expected)]);
    let done = Installation::answered_by(|_| {
        Answer::Status(Box::new(Status { voters: vec![1, 2, 4], learners: Vec::new(), ..leading() }))
    });
    all += &done.run(&full);
    insta::assert_snapshot!("replace", all);
}

#[test]
fn missing_arguments() {
    let installation = installation(Answer::Busy);
    let cases: [&[&str]; 13] = [
        &["replace"],
        &["replace", "--keeper", "3"],
        &["replace", "--keeper", "3", "--with", "4"],
        &["replace", "--keeper", "3", "--with", "4", "--address", "here"],
        &["release-duty"],
        &["budgets"],
        &["strike-off"],
        &["permit"],
        &["permit", "take"],
        &["permit", "ask"],
        &["permit", "ask", "--target", "worker/w1"],
        &["permit", "begin"],
        &["permit", "void"],
    ];
    let mut all = String::new();
    for arguments in cases {
        all += &format!("{arguments:?}: {}", installation.run(arguments));
    }
    insta::assert_snapshot!("missing_arguments", all);
}

#[test]
fn no_leader_is_found() {
    let rejecting = || Script::Rejects(Turned::Installation { ours: "south".to_owned() });
    let follows = Script::Answers(Box::new(|operation| match operation {
        Ask::Status => Answer::Status(Box::new(following())),
        _ => Answer::NotLeading { leader: None, address: None },
    }));
    let installation = Installation::new([rejecting(), follows, Script::Unreachable]);
    let mut all = String::new();
    for command in ["status", "members", "duties"] {
        all += &format!("{command}: {}", installation.run(&[command]));
    }
    all += &format!("metrics: {}", installation.run(&["metrics"]));
    let unreachable = Installation::unreachable();
    all += &format!("metrics: {}", unreachable.run(&["metrics"]));
    all += &format!("release-duty: {}", unreachable.run(&["release-duty", "--duty", "list"]));
    insta::assert_snapshot!("no_leader", all);
    // Which coordinator is named last depends on the time.
    let account = unreachable.run(&["account"]);
    assert!(account.starts_with("exit 1\n--- stdout\n--- stderr\nPROGRAM: "), "{account}");
    let advice = ": a majority of the keepers has to be there and reach each other\n";
    assert!(account.ends_with(advice), "{account}");
}
