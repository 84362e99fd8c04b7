//! Commands applied to the state machine, and its snapshots.

use coordination::{Command, CommandDecodeError, CommandOutcome, CommandRejection, LeaseId, StateMachine};
use disruption_budget::OBSERVER_LEASE;
use disruption_budget::{DisruptionCommand, Target, TargetKind};

use crate::cluster::{Cluster, SECOND};

#[test]
fn later_process_supersedes_the_earlier_one_which_is_then_rejected() {
    let mut cluster = Cluster::new();
    let old = cluster.open_session(0, "a", 1);
    assert_eq!(
        cluster.request_session(0, "a", 1),
        CommandOutcome::SessionOpened { session: old, incarnation: 1 },
        "a repeated request returns the same session"
    );
    let CommandOutcome::SessionOpened { session: new, incarnation: 2 } = cluster.request_session(0, "a", 2)
    else {
        panic!()
    };
    assert_eq!(
        cluster.leader.renew_session(old, 9, 0, &cluster.state),
        Err(CommandRejection::Superseded { incarnation: 2 })
    );
    assert_eq!(cluster.leader.renew_session(new, 9, 0, &cluster.state), Ok(()));
    assert_eq!(
        cluster.request_session(0, "a", 1),
        CommandOutcome::Rejected(CommandRejection::Superseded { incarnation: 2 })
    );
}

#[test]
fn entries_round_trip_and_later_or_longer_ones_are_rejected() {
    let mut cluster = Cluster::new();
    let session = cluster.open_session(0, "a", 1);
    let command = Command::CloseSession { session, short_lived: true };
    assert_eq!(Command::decode(&command.encode()), Ok(command.clone()));
    assert_eq!(command.encode()[0], 1);
    let mut later = command.encode();
    later[0] = 4;
    let unsupported = CommandDecodeError::UnsupportedVersion { version: 4, supported: 3 };
    assert_eq!(Command::decode(&later), Err(unsupported));
    let mut longer = command.encode();
    longer.push(0);
    assert_eq!(Command::decode(&longer), Err(CommandDecodeError::TrailingBytes { count: 1 }));
}

#[test]
fn snapshot_restores_an_equal_state_and_later_versions_are_rejected() {
    let cluster = Cluster::with_lease_holder();
    let mut snapshot = cluster.state.snapshot();
    assert_eq!(snapshot[0], 1);
    let restored = StateMachine::restore(&snapshot).unwrap();
    assert_eq!(restored, cluster.state);
    assert_eq!(restored.digest(), cluster.state.digest());
    snapshot[0] = 7;
    assert!(StateMachine::restore(&snapshot).unwrap_err().to_string().contains("version 7"));
}

/// Entries and snapshots have version 1 until a replacement is committed, so that older replicas can read them.
#[test]
fn replacements_go_one_at_a_time_and_numbers_are_not_reused() {
    let mut cluster = Cluster::with_lease_holder();
    let replace = |old, new| Command::ReplaceReplica { old, new, address: "127.0.0.1:1".into() };
    assert_eq!(replace(3, 4).encode()[0], 2);
    assert_eq!(cluster.apply(SECOND, &replace(3, 4)), CommandOutcome::Acknowledged);
    assert_eq!(cluster.apply(SECOND, &replace(3, 4)), CommandOutcome::Acknowledged, "a repeated request");
    let second = cluster.apply(SECOND, &replace(2, 5));
    assert!(is_invalid_replacement(&second), "another replacement is in progress");
    let complete = Command::CompleteReplacement { old: 3 };
    assert_eq!(cluster.apply(SECOND, &complete), CommandOutcome::Acknowledged);
    let reused = cluster.apply(SECOND, &replace(4, 3));
    assert!(is_invalid_replacement(&reused), "the number was retired");
    assert_eq!(cluster.state.snapshot()[0], 2);
    assert_eq!(StateMachine::restore(&cluster.state.snapshot()), Ok(cluster.state.clone()));
}

fn is_invalid_replacement(outcome: &CommandOutcome) -> bool {
    matches!(outcome, CommandOutcome::Rejected(CommandRejection::InvalidReplacement(_)))
}

#[test]
fn disruption_state_is_part_of_entries_and_snapshots_of_version_3() {
    let mut cluster = Cluster::with_lease_holder();
    let request = Command::Disruption(DisruptionCommand::RequestPermit {
        target: Target { kind: TargetKind::Worker, name: "w".into() },
        reason: "r".into(),
        requester: "a".into(),
        force: false,
    });
    assert_eq!(request.encode()[0], 3);
    let unsupported = CommandDecodeError::UnsupportedVersion { version: 3, supported: 2 };
    assert_eq!(Command::decode_with_supported_version(2, &request.encode()), Err(unsupported));
    assert!(matches!(cluster.apply(SECOND, &request), CommandOutcome::Disruption(_)));
    assert_eq!(cluster.state.snapshot()[0], 3);
    let restored = StateMachine::restore(&cluster.state.snapshot()).unwrap();
    assert_eq!(
        (restored.disruption(), restored.digest()),
        (cluster.state.disruption(), cluster.state.digest())
    );
}

#[test]
fn observation_is_rejected_unless_it_has_the_token_of_the_current_term() {
    let mut cluster = Cluster::new();
    let observe = |token| {
        Command::Disruption(DisruptionCommand::RecordObservation {
            fencing_token: token,
            known_revision: 0,
            changed: vec![],
            removed: vec![],
        })
    };
    assert_eq!(
        cluster.apply(SECOND, &observe(1)),
        CommandOutcome::Rejected(CommandRejection::NotLeaseHolder),
        "the lease has no holder"
    );
    let open_session = Command::OpenSession {
        name: "a".into(),
        boot_id: 1,
        zone: String::new(),
        address: String::new(),
        eligible_leases: vec![LeaseId::fleet(OBSERVER_LEASE)],
        short_lived: false,
    };
    let CommandOutcome::SessionOpened { session, .. } = cluster.apply(SECOND, &open_session) else {
        panic!("no session")
    };
    cluster.apply(SECOND, &Command::MarkSessionStable { session });
    let fencing_revision = cluster.state.leases()[&LeaseId::fleet(OBSERVER_LEASE)].fencing_revision;
    let grant = Command::GrantLease { lease: LeaseId::fleet(OBSERVER_LEASE), session, fencing_revision };
    let CommandOutcome::LeaseGranted { holder, .. } = cluster.apply(SECOND, &grant) else {
        panic!("not granted")
    };
    assert!(matches!(cluster.apply(SECOND, &observe(holder.token.0)), CommandOutcome::Disruption(_)));
    let earlier = cluster.apply(SECOND, &observe(holder.token.0 - 1));
    assert_eq!(earlier, CommandOutcome::Rejected(CommandRejection::NotLeaseHolder));
    cluster.apply(SECOND, &Command::ExpireSession { session, short_lived: false });
    assert_eq!(
        cluster.apply(SECOND, &observe(holder.token.0)),
        CommandOutcome::Rejected(CommandRejection::NotLeaseHolder)
    );
}
