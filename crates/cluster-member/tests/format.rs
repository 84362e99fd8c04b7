//! Formats of messages, files and texts that other processes and operators rely on. They must not change between
//! versions.

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

/// Complete output of `status --json`.
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
    let mut state = DisruptionState::default();
    let budget = Budget {
        name: "zone".to_owned(),
        kind: TargetKind::Dispatcher,
        scope: BudgetScope::EachZone,
        max_unavailable: Some(Amount::Count(1)),
        min_available: Some(Amount::Percent(50)),
    };
    let budgets = DisruptionCommand::SetBudgets { expected_version: 0, budgets: vec![budget] };
    assert_eq!(state.apply(5, &budgets), DisruptionOutcome::Applied);
    state
}

fn command_rejections() -> Vec<(&'static str, CommandRejection)> {
    vec![
        ("no session", CommandRejection::NoSuchSession),
        ("superseded", CommandRejection::Superseded { incarnation: 4 }),
        ("lease not free", CommandRejection::LeaseNotFree),
        ("not the lease holder", CommandRejection::NotLeaseHolder),
        ("limit exceeded", CommandRejection::LimitExceeded("sessions".to_owned())),
        ("stale store", CommandRejection::StaleStore { starts: 5 }),
        ("invalid replacement", CommandRejection::InvalidReplacement("no".to_owned())),
    ]
}

fn effect_rejections() -> Vec<(&'static str, EffectRejection)> {
    vec![
        ("no session", EffectRejection::NoSession),
        ("stale token", EffectRejection::StaleToken { minimum_token: FencingToken(7) }),
        ("unknown lease", EffectRejection::UnknownLease),
    ]
}

fn handshake_rejections() -> Vec<(&'static str, HandshakeRejection)> {
    vec![
        ("schema version", HandshakeRejection::UnsupportedSchema { latest_supported: 2 }),
        ("installation", HandshakeRejection::WrongInstallation { expected: "south".to_owned() }),
        ("unknown replica", HandshakeRejection::UnknownReplica),
        ("store mismatch", HandshakeRejection::StoreMismatch),
        ("stale store", HandshakeRejection::StaleStore { start_count: 9, raft_term: 300 }),
        ("too many connections", HandshakeRejection::TooManyConnections),
        ("wrong service", HandshakeRejection::WrongService),
    ]
}

#[test]
fn versions_and_limits() {
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
            "replica",
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
        for (label, identity) in &identities {
            let hello = ClientHello {
                schema_version: schema,
                installation: "north".to_owned(),
                identity: identity.clone(),
            };
            text += &encoded(&format!("schema {schema}, {label}"), &hello);
        }
    }
    assert_pinned("client_hello", &text);
}

/// Names of clients are escaped in log lines, so that a line break in a name does not split a line.
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
    let eligible_leases =
        vec![LeaseId::fleet("list"), LeaseId::worker_set("watch", 1), LeaseId::zone("probe", "north")];
    let operations = [
        (
            "open session",
            Operation::OpenSession {
                name: "d1".to_owned(),
                boot_id: 0x0102_0304_0506_0708,
                zone: "north".to_owned(),
                address: "127.0.0.1:7201".to_owned(),
                eligible_leases,
            },
        ),
        (
            "renew session",
            Operation::RenewSession { session: SessionId(512), known_view: 1_000, known_members: None },
        ),
        (
            "renew session, with members",
            Operation::RenewSession { session: SessionId(512), known_view: 1_000, known_members: Some(900) },
        ),
        ("close session", Operation::CloseSession { session: SessionId(512) }),
        (
            "release lease",
            Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: Some(FencingToken(7)) },
        ),
        (
            "release lease, as an operator",
            Operation::ReleaseLease { lease: LeaseId::fleet("list"), token: None },
        ),
        ("status", Operation::Status),
        (
            "replace replica",
            Operation::ReplaceReplica { old: 1, new: 4, address: "127.0.0.1:7104".to_owned() },
        ),
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
            "session opened".to_owned(),
            Response::SessionOpened { session: SessionId(512), incarnation: 300, view: view() },
        ),
        ("session renewed".to_owned(), Response::SessionRenewed { view: None, members: None }),
        (
            "session renewed, with view and members".to_owned(),
            Response::SessionRenewed {
                view: Some(view()),
                members: Some(MemberList { revision: 900, members: vec![peer()] }),
            },
        ),
        ("done".to_owned(), Response::Done),
        ("not the leader".to_owned(), Response::NotLeader { leader: None, address: None }),
        (
            "not the leader, with a hint".to_owned(),
            Response::NotLeader { leader: Some(4), address: Some("127.0.0.1:7104".to_owned()) },
        ),
        ("busy".to_owned(), Response::Busy),
    ];
    for (label, reason) in command_rejections() {
        responses.push((format!("rejected, {label}"), Response::Rejected(reason)));
    }
    responses.extend([
        ("status".to_owned(), Response::Status(Box::new(status()))),
        ("default status".to_owned(), Response::Status(Box::default())),
        (
            "disruption state unchanged, since schema 3".to_owned(),
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
            "change of the disruption state rejected, since schema 3".to_owned(),
            Response::DisruptionStateChanged(DisruptionOutcome::Rejected(Rejection::VersionConflict {
                version: 5,
            })),
        ),
    ]);
    let mut text = String::new();
    for (label, response) in responses {
        text += &encoded(&label, &CoordinatorMessage::Response { id: 300, response });
    }
    text +=
        &encoded("view changed", &CoordinatorMessage::ViewChanged { session: SessionId(512), view: view() });
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
    for (label, rejection) in effect_rejections() {
        text += &encoded(&format!("rejected, {label}"), &EffectResponse::Rejected(rejection));
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
    let mut without_zone = report.clone();
    without_zone.failing[0].zone_index = 2;
    assert_eq!(HealthReport::decode(&without_zone.encode()), None);
    assert_pinned("health_reports", &hex(&report.encode()));
}

#[test]
fn slow_start_grants_and_usage() {
    let grant = |work| Grant { process_id: 300, clock_reading: 1_000_000, worker: 70_000, work };
    let grants = QuotaGrants(vec![grant(0.25), grant(2.0)]);
    assert_eq!(QuotaGrants::decode(&grants.encode()).as_ref(), Some(&grants));
    assert_eq!(QuotaGrants::decode(&QuotaGrants(vec![grant(0.0)]).encode()), None);
    let message_of = |count| QuotaGrants(vec![grant(1.0); count]).encode();
    assert!(
        QuotaGrants::decode(&message_of(512)).is_some() && QuotaGrants::decode(&message_of(513)).is_none()
    );
    let usage =
        UsageReport { process_id: 300, clock_reading: 1_000_000, jobs_per_second: 12.5, typical_work: 0.125 };
    assert_eq!(UsageReport::decode(&usage.encode()), Some(usage));
    for invalid in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        assert_eq!(UsageReport::decode(&UsageReport { jobs_per_second: invalid, ..usage }.encode()), None);
        assert_eq!(UsageReport::decode(&UsageReport { typical_work: invalid, ..usage }.encode()), None);
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
    let complete = WatchEvent {
        source: "127.0.0.1:7000".to_owned(),
        member_count: 3,
        list: snapshot.complete_list().unwrap(),
    };
    let unchanged = WatchEvent {
        source: "127.0.0.1:7000".to_owned(),
        member_count: 3,
        list: json!({"revision": snapshot.revision()}),
    };
    assert!(complete.is_complete() && !unchanged.is_complete());
    assert_eq!((complete.revision(), unchanged.revision()), (5, 5));
    let mut text = String::new();
    for event in [complete, unchanged] {
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
    for lease in config.leases() {
        text += &format!(" {lease}={:?}", config.set_of_lease(&lease));
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

/// JSON objects of which the output of `status --json`, `members --json` and `duties --json` consists.
#[test]
fn status_json() {
    assert_eq!(serde_json::to_string(&status()).unwrap(), STATUS);
    let default_status = serde_json::to_string(&ReplicaStatus::default()).unwrap();
    let lease_json = |scope| serde_json::to_string(&LeaseId { name: "probe".to_owned(), scope }).unwrap();
    let scopes = [
        lease_json(LeaseScope::Zone("north".to_owned())),
        lease_json(LeaseScope::WorkerSet(3)),
        lease_json(LeaseScope::Fleet),
    ]
    .join("\n");
    assert_pinned("status_json", &format!("{default_status}\n{scopes}\n"));
}

/// Texts of rejections, which appear in logs and on the console.
#[test]
fn display_texts() {
    let mut text = String::new();
    for (label, rejection) in handshake_rejections() {
        text += &format!(
            "{label}: {rejection}\n{label}, as an error: {}\n",
            ConnectionError::Rejected(rejection.clone())
        );
    }
    for (label, rejection) in command_rejections() {
        text += &format!("request rejected, {label}: {rejection}\n");
    }
    for (label, rejection) in effect_rejections() {
        text += &format!("effect rejected, {label}: {rejection}\n");
    }
    assert_pinned("display_texts", &text);
}

#[test]
fn records() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("records.jsonl");
    std::fs::write(&file, "{\"t\":1,\"kind\":\"earlier\"}\n").unwrap();
    let recorder = Recorder::append_to(&file).unwrap();
    assert!(recorder.is_enabled() && !Recorder::default().is_enabled());
    recorder.record(1_000_000, RecordKind::EffectAccepted, json!({"token": 7, "duty": "list"}));
    recorder.clone().record(1_000_001, RecordKind::ProcessStarted, json!({}));
    Recorder::default().record(1_000_002, RecordKind::EntryApplied, json!({}));
    assert_pinned("records", &std::fs::read_to_string(&file).unwrap());
    assert!(Recorder::append_to(folder.path()).is_err());
}

/// Names of the record kinds in the file, by which the record checker identifies them.
#[test]
fn names_of_record_kinds() {
    let names = [
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
    for (kind, name) in names {
        assert_eq!(serde_json::to_value(kind).unwrap(), json!(name));
    }
}
