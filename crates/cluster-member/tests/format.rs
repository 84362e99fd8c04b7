//! Bytes and texts that other processes, files and operators rely on: they stay as they are from version to version.

mod support;

use cluster_member::endpoint_list::{EndpointSnapshot, WatchEvent, ENDPOINT_LIST_LEASE};
use cluster_member::health_check::{FailingWorker, HealthCheckConfig, HealthReport, ZoneReport};
use cluster_member::record::{RecordKind, Recorder};
use cluster_member::slow_start::{Grant, QuotaGrants, UsageReport, SLOW_START_LEASE};
use cluster_member::wire::{
    encode, ClientHello, ClientIdentity, ConnectionError, CoordinatorMessage, Effect, EffectResponse,
    HandshakeRejection, MemberList, Operation, Peer, ReplicaStatus, Request, Response, ServerHello,
    StoreIdentity, IO_TIMEOUT, MAX_FRAME_BYTES, OLDEST_SCHEMA_VERSION, SCHEMA_VERSION,
};
use coordination::{
    ClusterView, CommandRejection, EffectRejection, FencingToken, LeaseHolder, LeaseId, LeaseScope,
    LeaseView, SessionId,
};
use disruption_budget::{
    Amount, Budget, BudgetScope, DisruptionCommand, DisruptionOutcome, DisruptionState, PermitState,
    Rejection, Target, TargetKind,
};
use serde_json::json;
use support::{assert_pinned, encoded, hex};

fn peer() -> Peer {
    Peer {
        name: "d1".to_owned(),
        incarnation: 300,
        zone: "north".to_owned(),
        address: "127.0.0.1:7201".to_owned(),
    }
}

fn view() -> ClusterView {
    ClusterView {
        revision: 1_000,
        leases: vec![
            LeaseView {
                lease: LeaseId::fleet("list"),
                minimum_token: FencingToken(6),
                holder: Some(LeaseHolder { session: SessionId(512), token: FencingToken(7) }),
            },
            LeaseView {
                lease: LeaseId::zone("probe", "north"),
                minimum_token: FencingToken(2),
                holder: None,
            },
            LeaseView {
                lease: LeaseId::worker_set("watch-of-8-in-3", 5),
                minimum_token: FencingToken(0),
                holder: None,
            },
        ],
    }
}

/// What `status --json` prints, key for key.
const STATUS: &str = concat!(
    r#"{"keeper":2,"leads":true,"leader":3,"term":4,"applied":500,"committed":501,"first":6,"boots":7,"#,
    r#""elections":8,"commit_us":[900,1000,1100],"members":[{"session":12,"peer":{"name":"d1","#,
    r#""incarnation":300,"zone":"north","address":"127.0.0.1:7201"},"settled":true,"superseded":false,"#,
    r#""short_lives":13}],"duties":[{"duty":{"name":"list","scope":"Fleet"},"owner":["d1",14],"#,
    r#""floor":15,"fenced":16},{"duty":{"name":"watch","scope":{"Set":2}},"owner":null,"floor":17,"#,
    r#""fenced":18}],"keepers":[[1,19],[2,20]],"voters":[1,2],"learners":[21],"replacing":[22,23]}"#,
);

fn status() -> ReplicaStatus {
    serde_json::from_str(STATUS).unwrap()
}

fn disruption_state() -> DisruptionState {
    let mut account = DisruptionState::default();
    let budget = Budget {
        name: "zone".to_owned(),
        kind: TargetKind::Dispatcher,
        scope: BudgetScope::EachZone,
        max_unavailable: Some(Amount::Count(1)),
        min_available: Some(Amount::Percent(50)),
    };
    let budgets = DisruptionCommand::SetBudgets { expected_version: 0, budgets: vec![budget] };
    assert_eq!(account.apply(5, &budgets), DisruptionOutcome::Applied);
    account
}

fn reject_reasons() -> Vec<(&'static str, CommandRejection)> {
    vec![
        ("no session", CommandRejection::NoSuchSession),
        ("superseded", CommandRejection::Superseded { incarnation: 4 }),
        ("not free", CommandRejection::LeaseNotFree),
        ("not the holder", CommandRejection::NotLeaseHolder),
        ("full", CommandRejection::LimitExceeded("sessions".to_owned())),
        ("old store", CommandRejection::StaleStore { starts: 5 }),
        ("coordinators", CommandRejection::InvalidReplacement("no".to_owned())),
    ]
}

fn effect_rejections() -> Vec<(&'static str, EffectRejection)> {
    vec![
        ("no session", EffectRejection::NoSession),
        ("old token", EffectRejection::StaleToken { minimum_token: FencingToken(7) }),
        ("unknown lease", EffectRejection::UnknownLease),
    ]
}

fn handshake_rejections() -> Vec<(&'static str, HandshakeRejection)> {
    vec![
        ("schema version", HandshakeRejection::UnsupportedSchema { latest_supported: 2 }),
        ("installation", HandshakeRejection::WrongInstallation { expected: "south".to_owned() }),
        ("unknown coordinator", HandshakeRejection::UnknownReplica),
        ("other store", HandshakeRejection::StoreMismatch),
        ("stale store", HandshakeRejection::StaleStore { start_count: 9, raft_term: 300 }),
        ("full", HandshakeRejection::TooManyConnections),
        ("other service", HandshakeRejection::WrongService),
    ]
}

#[test]
fn versions_and_bounds() {
    assert_eq!((OLDEST_SCHEMA_VERSION, SCHEMA_VERSION), (2, 3));
    assert_eq!(MAX_FRAME_BYTES, 4_194_304);
    assert_eq!(IO_TIMEOUT.as_millis(), 2_000);
    let error = encode(&"x".repeat(MAX_FRAME_BYTES)).unwrap_err();
    assert_eq!(error.to_string(), "message of 4194308 bytes exceeds the limit of 4194304");
    assert!(encode(&"x".repeat(MAX_FRAME_BYTES - 4)).is_ok());
}

#[test]
fn client_hello() {
    let identities = [
        (
            "coordinator",
            ClientIdentity::Replica(StoreIdentity {
                replica_id: 1,
                store_id: 0x0102_0304_0506_0708,
                start_count: 3,
                raft_term: 400,
            }),
        ),
        ("member", ClientIdentity::Member { name: "d1".to_owned() }),
        ("operator", ClientIdentity::Operator),
        ("lease holder", ClientIdentity::LeaseHolder { name: "d2".to_owned(), incarnation: 200 }),
    ];
    let mut text = String::new();
    for schema in OLDEST_SCHEMA_VERSION..=SCHEMA_VERSION {
        for (label, who) in &identities {
            let hello = ClientHello {
                schema_version: schema,
                installation: "north".to_owned(),
                identity: who.clone(),
            };
            text += &encoded(&format!("schema {schema}, {label}"), &hello);
        }
    }
    assert_pinned("client_hello", &text);
}

/// Names of clients in log lines, which a name cannot break into two.
#[test]
fn client_identities_as_text() {
    let store = StoreIdentity { replica_id: 3, store_id: 7, start_count: 2, raft_term: 4 };
    let texts = [
        (ClientIdentity::Replica(store), "replica 3"),
        (ClientIdentity::Member { name: "d1\n".to_owned() }, r#"member "d1\n""#),
        (ClientIdentity::Operator, "operator"),
        (
            ClientIdentity::LeaseHolder { name: "d2".to_owned(), incarnation: 9 },
            r#"lease holder "d2", incarnation 9"#,
        ),
    ];
    for (identity, text) in texts {
        assert_eq!(identity.to_string(), text);
    }
}

#[test]
fn server_hello() {
    let mut text = encoded("accepted", &ServerHello::Accepted { name: "coordinator 1".to_owned() });
    for (label, rejection) in handshake_rejections() {
        text += &encoded(&format!("rejected, {label}"), &ServerHello::Rejected(rejection));
    }
    assert_pinned("server_hello", &text);
}

#[test]
fn requests() {
    let target = Target { kind: TargetKind::Dispatcher, name: "d1".to_owned() };
    let offers =
        vec![LeaseId::fleet("list"), LeaseId::worker_set("watch", 1), LeaseId::zone("probe", "north")];
    let operations = [
        (
            "join",
            Operation::OpenSession {
                name: "d1".to_owned(),
                boot_id: 0x0102_0304_0506_0708,
                zone: "north".to_owned(),
                address: "127.0.0.1:7201".to_owned(),
                eligible_leases: offers,
            },
        ),
        (
            "renew",
            Operation::RenewSession { session: SessionId(512), known_view: 1_000, known_members: None },
        ),
        (
            "renew with members",
            Operation::RenewSession { session: SessionId(512), known_view: 1_000, known_members: Some(900) },
        ),
        ("leave", Operation::CloseSession { session: SessionId(512) }),
        ("release", Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: Some(FencingToken(7)) }),
        ("release by an operator", Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: None }),
        ("status", Operation::Status),
        ("replace", Operation::ReplaceReplica { old: 1, new: 4, address: "127.0.0.1:7104".to_owned() }),
        ("disruption state, since schema 3", Operation::DisruptionState { known_revision: 700 }),
        (
            "change of the disruption state, since schema 3",
            Operation::ChangeDisruptionState(DisruptionCommand::RequestPermit {
                target,
                reason: "kernel".to_owned(),
                requester: "dispatcher/d1".to_owned(),
                force: true,
            }),
        ),
    ];
    let mut text = String::new();
    for (label, operation) in operations {
        text += &encoded(label, &Request { id: 300, operation });
    }
    assert_pinned("requests", &text);
}

#[test]
fn coordinator_messages() {
    let mut responses = vec![
        (
            "joined".to_owned(),
            Response::SessionOpened { session: SessionId(512), incarnation: 300, view: view() },
        ),
        ("renewed".to_owned(), Response::SessionRenewed { view: None, members: None }),
        (
            "renewed with news".to_owned(),
            Response::SessionRenewed {
                view: Some(view()),
                members: Some(MemberList { revision: 900, members: vec![peer()] }),
            },
        ),
        ("done".to_owned(), Response::Done),
        ("not the leader".to_owned(), Response::NotLeader { leader: None, address: None }),
        (
            "not the leader, which is known".to_owned(),
            Response::NotLeader { leader: Some(4), address: Some("127.0.0.1:7104".to_owned()) },
        ),
        ("busy".to_owned(), Response::Busy),
    ];
    for (label, reason) in reject_reasons() {
        responses.push((format!("rejected, {label}"), Response::Rejected(reason)));
    }
    responses.extend([
        ("status".to_owned(), Response::Status(Box::new(status()))),
        ("status of a new coordinator".to_owned(), Response::Status(Box::default())),
        (
            "disruption state is known, since schema 3".to_owned(),
            Response::DisruptionState { revision: 700, state: None },
        ),
        (
            "disruption state, since schema 3".to_owned(),
            Response::DisruptionState { revision: 701, state: Some(Box::new(disruption_state())) },
        ),
        (
            "disruption state changed, since schema 3".to_owned(),
            Response::DisruptionStateChanged(DisruptionOutcome::PermitRequested {
                permit: 800,
                state: PermitState::Granted,
            }),
        ),
        (
            "disruption state not changed, since schema 3".to_owned(),
            Response::DisruptionStateChanged(DisruptionOutcome::Rejected(Rejection::VersionConflict {
                version: 5,
            })),
        ),
    ]);
    let mut text = String::new();
    for (label, answer) in responses {
        text += &encoded(&label, &CoordinatorMessage::Response { id: 300, response: answer });
    }
    text += &encoded(
        "the view has changed",
        &CoordinatorMessage::ViewChanged { session: SessionId(512), view: view() },
    );
    assert_pinned("coordinator_messages", &text);
}

#[test]
fn effects() {
    let effect = Effect {
        lease: LeaseId { name: "list".to_owned(), scope: LeaseScope::Fleet },
        token: FencingToken(700),
        sequence: 300,
        body: vec![1, 2, 255],
    };
    let mut text = encoded("effect", &effect);
    text += &encoded("accepted", &EffectResponse::Accepted(vec![3, 4]));
    for (label, refusal) in effect_rejections() {
        text += &encoded(&format!("rejected, {label}"), &EffectResponse::Rejected(refusal));
    }
    assert_pinned("effects", &text);
}

#[test]
fn health_reports() {
    let report = HealthReport {
        observer_zone: "north".to_owned(),
        sent_at: 1_000_000,
        sees_healthy_worker: true,
        zones: vec![
            ZoneReport { name: "north".to_owned(), reachable: true, failing_count: 1 },
            ZoneReport { name: "south".to_owned(), reachable: false, failing_count: 300 },
        ],
        failing: vec![FailingWorker {
            worker: 70_000,
            zone_index: 1,
            consecutive_failures: 400,
            age: 500,
            zone_reachable: true,
        }],
    };
    assert_eq!(HealthReport::decode(&report.encode()).as_ref(), Some(&report));
    let mut of_no_zone = report.clone();
    of_no_zone.failing[0].zone_index = 2;
    assert_eq!(HealthReport::decode(&of_no_zone.encode()), None);
    assert_pinned("health_reports", &hex(&report.encode()));
}

#[test]
fn slow_start_grants_and_usage() {
    let grant = |work| Grant { process_id: 300, clock_reading: 1_000_000, worker: 70_000, work };
    let grants = QuotaGrants(vec![grant(0.25), grant(2.0)]);
    assert_eq!(QuotaGrants::decode(&grants.encode()).as_ref(), Some(&grants));
    assert_eq!(QuotaGrants::decode(&QuotaGrants(vec![grant(0.0)]).encode()), None);
    let most = |count| QuotaGrants(vec![grant(1.0); count]).encode();
    assert!(QuotaGrants::decode(&most(512)).is_some() && QuotaGrants::decode(&most(513)).is_none());
    let usage =
        UsageReport { process_id: 300, clock_reading: 1_000_000, jobs_per_second: 12.5, typical_work: 0.125 };
    assert_eq!(UsageReport::decode(&usage.encode()), Some(usage));
    for wrong in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        assert_eq!(UsageReport::decode(&UsageReport { jobs_per_second: wrong, ..usage }.encode()), None);
        assert_eq!(UsageReport::decode(&UsageReport { typical_work: wrong, ..usage }.encode()), None);
    }
    let text = format!("grants: {}\nusage: {}\n", hex(&grants.encode()), hex(&usage.encode()));
    assert_pinned("slow_start_grants_and_usage", &text);
}

#[test]
fn endpoint_list_events() {
    let mut snapshot = EndpointSnapshot::default();
    let member = |id: &str, phase: &str| json!({"id": id, "phase": phase, "locality": "north", "more": [1]});
    snapshot.apply(&json!({"revision": 4, "complete": true, "members": [member("b", "in_service"), member("a", "in_service")]}));
    snapshot.apply(
        &json!({"revision": 5, "complete": false, "members": [member("b", "terminated"), member("c", "starting")]}),
    );
    let whole = WatchEvent {
        source: "127.0.0.1:7000".to_owned(),
        member_count: 3,
        list: snapshot.complete_list().unwrap(),
    };
    let unchanged = WatchEvent {
        source: "127.0.0.1:7000".to_owned(),
        member_count: 3,
        list: json!({"revision": snapshot.revision()}),
    };
    assert!(whole.is_complete() && !unchanged.is_complete());
    assert_eq!((whole.revision(), unchanged.revision()), (5, 5));
    let mut text = String::new();
    for event in [whole, unchanged] {
        let line = serde_json::to_string(&event).unwrap();
        assert_eq!(serde_json::from_str::<WatchEvent>(&line).unwrap(), event);
        text += &format!("{line}\n");
    }
    assert_pinned("endpoint_list_events", &text);
}

#[test]
fn leases_and_the_sets_of_workers() {
    let config = HealthCheckConfig {
        set_count: 8,
        zone_count: 3,
        probe_interval: 1_000_000,
        failure_threshold: 2,
        report_ttl: 4_000_000,
        injected_bug: None,
    };
    let mut text = format!("list: {ENDPOINT_LIST_LEASE}\nslow start: {SLOW_START_LEASE}\nhealth checks:");
    for duty in config.leases() {
        text += &format!(" {duty}={:?}", config.set_of_lease(&duty));
    }
    text += "\n";
    for (sets, zones) in [(8, 3), (8, 1), (2, 5), (100, 7)] {
        let config = HealthCheckConfig { set_count: sets, zone_count: zones, ..config };
        text += &format!("{}:", config.lease_name());
        for worker in [0, 1, 70_000, u64::MAX] {
            for zone in 0..3 {
                text += &format!(" {}", config.set_of_worker(worker, zone));
            }
        }
        text += "\n";
    }
    assert_pinned("leases_and_the_sets_of_workers", &text);
}

/// What `status --json`, `members --json` and `duties --json` print.
#[test]
fn status_json() {
    assert_eq!(serde_json::to_string(&status()).unwrap(), STATUS);
    let new = serde_json::to_string(&ReplicaStatus::default()).unwrap();
    let with = |scope| serde_json::to_string(&LeaseId { name: "probe".to_owned(), scope }).unwrap();
    let scopes =
        [with(LeaseScope::Zone("north".to_owned())), with(LeaseScope::WorkerSet(3)), with(LeaseScope::Fleet)]
            .join("\n");
    assert_pinned("status_json", &format!("{new}\n{scopes}\n"));
}

/// Texts that stand in logs and on the console.
#[test]
fn display_texts() {
    let mut text = String::new();
    for (label, rejection) in handshake_rejections() {
        text += &format!(
            "{label}: {rejection}\n{label}, as an error: {}\n",
            ConnectionError::Rejected(rejection.clone())
        );
    }
    for (label, reason) in reject_reasons() {
        text += &format!("request rejected, {label}: {reason}\n");
    }
    for (label, refusal) in effect_rejections() {
        text += &format!("effect rejected, {label}: {refusal}\n");
    }
    assert_pinned("display_texts", &text);
}

#[test]
fn records() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("records.jsonl");
    std::fs::write(&file, "{\"t\":1,\"kind\":\"earlier\"}\n").unwrap();
    let record = Recorder::append_to(&file).unwrap();
    assert!(record.is_enabled() && !Recorder::default().is_enabled());
    record.record(1_000_000, RecordKind::EffectAccepted, json!({"token": 7, "duty": "list"}));
    record.clone().record(1_000_001, RecordKind::ProcessStarted, json!({}));
    Recorder::default().record(1_000_002, RecordKind::EntryApplied, json!({}));
    assert_pinned("records", &std::fs::read_to_string(&file).unwrap());
    assert!(Recorder::append_to(folder.path()).is_err());
}

/// The words by which checkers of experiments know the kinds of records.
#[test]
fn words_of_record_kinds() {
    let words = [
        (RecordKind::ProcessStarted, "started"),
        (RecordKind::LeadershipChanged, "leads"),
        (RecordKind::EntryApplied, "applied"),
        (RecordKind::SessionOpened, "session"),
        (RecordKind::EffectSent, "acted"),
        (RecordKind::EffectAccepted, "taken"),
        (RecordKind::EffectRejected, "refused"),
        (RecordKind::QuotaGranted, "granted"),
        (RecordKind::VerdictApplied, "against"),
        (RecordKind::StandbyEntered, "standby"),
        (RecordKind::StandbyLeft, "active"),
    ];
    for (kind, word) in words {
        assert_eq!(serde_json::to_value(kind).unwrap(), json!(word));
    }
}
