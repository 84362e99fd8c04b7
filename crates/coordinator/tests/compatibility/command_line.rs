//! Command line: the usage, and the output of each subcommand for scripted responses of the replicas.

use cluster_member::wire::{
    HandshakeRejection, LeaseStatus, MemberStatus, Operation, Peer, ReplicaStarts, ReplicaStatus, Response,
};
use coordination::{CommandRejection, FencingToken, LeaseId, Revision, SessionId};
use disruption_budget::{
    Amount, Availability, Budget, BudgetScope, DisruptionCommand, DisruptionOutcome, DisruptionState,
    PermitState, Rejection, Target, TargetKind, TargetStatus,
};

use crate::support::{report, run_program, Installation, Script};

const DISRUPTION_REVISION: Revision = 12;

fn member(session: u64, name: &str, stable: bool, superseded: bool) -> MemberStatus {
    let peer = Peer {
        name: name.to_owned(),
        incarnation: session + 1,
        zone: "east".to_owned(),
        address: format!("192.0.2.{session}:7200"),
    };
    MemberStatus { session: SessionId(session), peer, stable, superseded, consecutive_short_sessions: 2 }
}

/// Returns the status of a leader. All its values are different, so that exchanged values would show in the output.
fn leader_status() -> ReplicaStatus {
    ReplicaStatus {
        replica_id: 1,
        is_leader: true,
        leader_id: Some(1),
        raft_term: 7,
        applied_index: 1_200,
        committed_index: 1_201,
        first_log_index: 900,
        start_count: 5,
        election_count: 6,
        commit_latency: (310, 4_200, 9_900).into(),
        members: vec![
            member(41, "berlin", true, false),
            member(42, "cairo", false, false),
            member(43, "delhi", true, true),
        ],
        leases: vec![
            LeaseStatus {
                lease: LeaseId::fleet("list"),
                holder: Some(("berlin".to_owned(), FencingToken(61)).into()),
                minimum_token: FencingToken(61),
                fencing_revision: 1_100,
            },
            LeaseStatus {
                lease: LeaseId::zone("watch", "east"),
                holder: None,
                minimum_token: FencingToken(57),
                fencing_revision: 1_101,
            },
            LeaseStatus {
                lease: LeaseId::worker_set("watch", 3),
                holder: Some((String::new(), FencingToken(58)).into()),
                minimum_token: FencingToken(58),
                fencing_revision: 1_102,
            },
        ],
        replicas: [(1, 5), (2, 8), (3, 9)].map(ReplicaStarts::from).to_vec(),
        voters: vec![1, 2, 3],
        learners: vec![4],
        replacement: Some((3, 4).into()),
    }
}

fn follower_status() -> ReplicaStatus {
    let (members, leases) = (Vec::new(), Vec::new());
    ReplicaStatus {
        replica_id: 2,
        is_leader: false,
        applied_index: 1_190,
        members,
        leases,
        ..leader_status()
    }
}

fn target(kind: TargetKind, name: &str) -> Target {
    Target { kind, name: name.to_owned() }
}

fn observed(kind: TargetKind, name: &str, availability: Availability) -> TargetStatus {
    let (zone, pool) = ("east".to_owned(), "large".to_owned());
    TargetStatus { target: target(kind, name), zone, pool, availability, incarnation: 4 }
}

fn budget(
    name: &str,
    kind: TargetKind,
    scope: BudgetScope,
    max_unavailable: Option<Amount>,
    min_available: Option<Amount>,
) -> Budget {
    Budget { name: name.to_owned(), kind, scope, max_unavailable, min_available }
}

/// Returns a state with permits in each state, budgets of different scopes, and targets of each availability.
fn disruption_state() -> DisruptionState {
    let request = |name: &str, force| DisruptionCommand::RequestPermit {
        target: target(TargetKind::Worker, name),
        reason: "release 7".to_owned(),
        requester: "shop a".to_owned(),
        force,
    };
    let budgets = vec![
        budget("workers", TargetKind::Worker, BudgetScope::EachZone, Some(Amount::Count(1)), None),
        budget("dispatchers", TargetKind::Dispatcher, BudgetScope::Fleet, None, Some(Amount::Count(2))),
        budget(
            "large",
            TargetKind::Worker,
            BudgetScope::Pool("large".to_owned()),
            None,
            Some(Amount::Percent(10)),
        ),
    ];
    let targets = vec![
        observed(TargetKind::Worker, "w1", Availability::Available),
        observed(TargetKind::Worker, "w2", Availability::Unavailable),
        observed(TargetKind::Worker, "w3", Availability::Available),
        observed(TargetKind::Worker, "w4", Availability::WarmingUp(250)),
        observed(TargetKind::Worker, "w5", Availability::Available),
        observed(TargetKind::Dispatcher, "d1", Availability::Available),
    ];
    let changes = [
        DisruptionCommand::SetBudgets { expected_version: 0, budgets },
        DisruptionCommand::RecordObservation {
            fencing_token: 51,
            known_revision: 1,
            changed: targets,
            removed: Vec::new(),
        },
        request("w1", true),
        DisruptionCommand::BeginPermit { permit: 3, incarnation: 4 },
        DisruptionCommand::CompletePermit { permit: 3 },
        request("w3", true),
        request("w5", false),
    ];
    let mut state = DisruptionState::default();
    for (index, change) in (1..).zip(&changes) {
        let outcome = state.apply(index, change);
        assert!(!matches!(outcome, DisruptionOutcome::Rejected(_)), "{change:?}: {outcome:?}");
    }
    state
}

/// Creates an installation whose leader responds with its status and the disruption state, and with `response` to all
/// other operations.
fn installation(response: Response) -> Installation {
    Installation::with_responses(move |operation| match operation {
        Operation::Status => Response::Status(Box::new(leader_status())),
        Operation::DisruptionState { .. } => Response::DisruptionState {
            revision: DISRUPTION_REVISION,
            state: Some(Box::new(disruption_state())),
        },
        _ => response.clone(),
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
        Script::Responds(Box::new(|_| Response::Status(Box::new(leader_status())))),
        Script::Responds(Box::new(|_| Response::Status(Box::new(follower_status())))),
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
fn account_prints_text_or_json() {
    let installation = installation(Response::Busy);
    let all = format!("{}\n{}", installation.run(&["account"]), installation.run(&["account", "--json"]));
    insta::assert_snapshot!("account", all);
    let empty = Installation::with_responses(|_| Response::DisruptionState { revision: 3, state: None });
    let all = format!("{}\n{}", empty.run(&["account"]), empty.run(&["account", "--json"]));
    insta::assert_snapshot!("empty_account", all);
}

#[test]
fn metrics_are_in_the_text_format_of_prometheus() {
    // The settings file is that of replica 2, whose status is requested.
    let scripts = [
        Script::Unreachable,
        Script::Responds(Box::new(|_| Response::Status(Box::new(leader_status())))),
        Script::Unreachable,
    ];
    insta::assert_snapshot!("metrics", Installation::new(scripts).run(&["metrics"]));
}

#[test]
fn permit_subcommands_and_their_requests() {
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
    let outcomes = [
        DisruptionOutcome::PermitRequested { permit: 7, state: PermitState::Waiting },
        DisruptionOutcome::PermitRequested { permit: 8, state: PermitState::Waiting },
        DisruptionOutcome::PermitRequested { permit: 3, state: PermitState::Granted },
        DisruptionOutcome::PermitRequested { permit: 3, state: PermitState::Begun },
        DisruptionOutcome::PermitBegun(3),
        DisruptionOutcome::Applied,
        DisruptionOutcome::Rejected(Rejection::NotGranted),
    ];
    let mut all = String::new();
    for outcome in outcomes {
        let installation = installation(Response::DisruptionStateChanged(outcome.clone()));
        all += &format!("requested: {}\n", installation.run(&[&["permit", "ask"][..], &full].concat()));
    }
    insta::assert_snapshot!("permit_ask", all);
    let installation = installation(Response::DisruptionStateChanged(DisruptionOutcome::PermitBegun(3)));
    let mut all = String::new();
    for operation in ["ask", "begin", "done", "void"] {
        all += &format!("{operation}: {}\n", installation.run(&[&["permit", operation][..], &full].concat()));
    }
    all += &installation.run(&["permit", "ask", "--target", "dispatcher/d1", "--by", "shop a"]);
    all += &installation.run(&["permit", "begin", "--permit", "3"]);
    insta::assert_snapshot!("permit_verbs", all);
    let (reason, requester) = ("release 7".to_owned(), "shop a".to_owned());
    let forced = DisruptionCommand::RequestPermit {
        target: target(TargetKind::Worker, "w1"),
        reason,
        requester: requester.clone(),
        force: true,
    };
    let (other_target, reason) = (target(TargetKind::Dispatcher, "d1"), String::new());
    let changes = [
        forced,
        DisruptionCommand::BeginPermit { permit: 3, incarnation: 4 },
        DisruptionCommand::CompletePermit { permit: 3 },
        DisruptionCommand::CancelPermit { permit: 3 },
        DisruptionCommand::RequestPermit { target: other_target, reason, requester, force: false },
        DisruptionCommand::BeginPermit { permit: 3, incarnation: 0 },
    ];
    let expected: Vec<(u64, Operation)> =
        changes.map(|change| (1, Operation::ChangeDisruptionState(change))).into();
    assert_eq!(installation.requests(), expected);
}

#[test]
fn budgets_and_strike_off_and_their_requests() {
    let installation = installation(Response::DisruptionStateChanged(DisruptionOutcome::Applied));
    let file = installation.path("budgets.hcl");
    std::fs::write(&file, "budget \"workers\" {\n  targets = \"workers\"\n  most_out = 1\n}\n").unwrap();
    let file = file.to_str().unwrap();
    let mut all = installation.run(&["budgets", "--set", file]);
    all += &installation.run(&["budgets", "--set", file, "--seen", "9"]);
    all += &installation.run(&["budgets", "--set", "nowhere.hcl"]);
    all += &installation.run(&["strike-off", "--target", "worker/w1"]);
    all += &installation.run(&["strike-off", "--target", "worker/w1", "--by", "shop a"]);
    insta::assert_snapshot!("budgets_and_strike_off", all);
    let budgets =
        vec![budget("workers", TargetKind::Worker, BudgetScope::Fleet, Some(Amount::Count(1)), None)];
    let target = target(TargetKind::Worker, "w1");
    let deregister =
        |by: &str| DisruptionCommand::DeregisterTarget { target: target.clone(), operator: by.to_owned() };
    let changes = [
        DisruptionCommand::SetBudgets { expected_version: 1, budgets: budgets.clone() },
        DisruptionCommand::SetBudgets { expected_version: 9, budgets },
        deregister("an operator"),
        deregister("shop a"),
    ];
    let mut expected: Vec<(u64, Operation)> =
        changes.map(|change| (1, Operation::ChangeDisruptionState(change))).into();
    expected.insert(0, (1, Operation::DisruptionState { known_revision: 0 }));
    assert_eq!(installation.requests(), expected);
}

#[test]
fn release_duty_and_its_requests() {
    let responses = [
        Response::Done,
        Response::Busy,
        Response::Rejected(CommandRejection::NotLeaseHolder),
        Response::NotLeader { leader: Some(2), address: None },
    ];
    let mut all = String::new();
    for response in responses {
        let installation = installation(response.clone());
        all += &installation.run(&["release-duty", "--duty", "list"]);
        all += &installation.run(&["release-duty", "--duty", "watch@set/3", "--token", "58"]);
        let expected = [
            (1, Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: None }),
            (
                1,
                Operation::ReleaseLease {
                    lease: LeaseId::worker_set("watch", 3),
                    token: Some(FencingToken(58)),
                },
            ),
        ];
        assert_eq!(installation.requests(), expected);
    }
    insta::assert_snapshot!("release_duty", all);
}

#[test]
fn replace_and_its_request() {
    let full = ["replace", "--keeper", "3", "--with", "4", "--address", "192.0.2.14:7100"];
    let rejecting = installation(Response::Rejected(CommandRejection::InvalidReplacement(
        "there is no replica 3".to_owned(),
    )));
    let mut all = rejecting.run(&full);
    let expected = Operation::ReplaceReplica { old: 3, new: 4, address: "192.0.2.14:7100".to_owned() };
    assert_eq!(rejecting.requests(), [(1, expected)]);
    let replaced = Installation::with_responses(|_| {
        Response::Status(Box::new(ReplicaStatus {
            voters: vec![1, 2, 4],
            learners: Vec::new(),
            ..leader_status()
        }))
    });
    all += &replaced.run(&full);
    insta::assert_snapshot!("replace", all);
}

#[test]
fn missing_arguments() {
    let installation = installation(Response::Busy);
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
fn commands_without_a_leader() {
    let rejecting =
        || Script::Rejects(HandshakeRejection::WrongInstallation { expected: "south".to_owned() });
    let follower = Script::Responds(Box::new(|operation| match operation {
        Operation::Status => Response::Status(Box::new(follower_status())),
        _ => Response::NotLeader { leader: None, address: None },
    }));
    let installation = Installation::new([rejecting(), follower, Script::Unreachable]);
    let mut all = String::new();
    for command in ["status", "members", "duties"] {
        all += &format!("{command}: {}", installation.run(&[command]));
    }
    all += &format!("metrics: {}", installation.run(&["metrics"]));
    let unreachable = Installation::unreachable();
    all += &format!("metrics: {}", unreachable.run(&["metrics"]));
    all += &format!("release-duty: {}", unreachable.run(&["release-duty", "--duty", "list"]));
    insta::assert_snapshot!("no_leader", all);
    // The error names the replica that was called last, which depends on timing.
    let account = unreachable.run(&["account"]);
    assert!(account.starts_with("exit 1\n--- stdout\n--- stderr\nPROGRAM: "), "{account}");
    let advice = ": a majority of the replicas must run and reach each other\n";
    assert!(account.ends_with(advice), "{account}");
}
