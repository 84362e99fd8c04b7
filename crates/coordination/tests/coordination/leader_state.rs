//! Commands that the leader proposes: expiry of sessions, grants and rebalancing.

use coordination::{Command, CommandOutcome, CommandRejection, LeaderState, LeaseId, SessionId, Timing};

use crate::cluster::{list_lease, Cluster, SECOND};

#[test]
fn next_holder_gets_a_higher_token_after_expiry() {
    let mut cluster = Cluster::new();
    let a = cluster.open_session(0, "a", 1);
    let b = cluster.open_session(0, "b", 2);
    assert!(cluster.run_until_idle(SECOND / 2, &[a, b]).is_empty(), "no session is stable yet");
    cluster.run_until_idle(SECOND, &[a, b]);
    let (first, token) = cluster.holder().unwrap();
    let other = if first == a { b } else { a };
    let expiry = SECOND + Timing::default().expiry_wait();
    assert!(cluster.run_until_idle(expiry, &[other]).is_empty(), "the expiry wait is not over");
    cluster.run_until_idle(expiry + 1, &[other]);
    let (second, later) = cluster.holder().unwrap();
    assert_eq!(second, other);
    assert!(later > token);
}

#[test]
fn grant_waits_until_older_sessions_acknowledge_the_fencing_revision() {
    let mut cluster = Cluster::new();
    let ids =
        [cluster.open_session(0, "a", 1), cluster.open_session(0, "b", 2), cluster.open_session(0, "c", 3)];
    cluster.run_until_idle(SECOND, &ids);
    let (holder, token) = cluster.holder().unwrap();
    let others: Vec<SessionId> = ids.into_iter().filter(|id| *id != holder).collect();
    cluster.apply(SECOND, &Command::CloseSession { session: holder, short_lived: false });
    let fence = cluster.state.lease_revision();
    cluster.leader.renew_session(others[0], fence, SECOND, &cluster.state).unwrap();
    cluster.leader.renew_session(others[1], fence - 1, SECOND, &cluster.state).unwrap();
    assert!(
        cluster.leader.due_commands(SECOND, &cluster.state).is_empty(),
        "one session has not acknowledged the fencing revision"
    );
    cluster.leader.renew_session(others[1], fence, SECOND, &cluster.state).unwrap();
    assert!(matches!(&cluster.leader.due_commands(SECOND, &cluster.state)[..], [Command::GrantLease { .. }]));
    // A new leader does not know which sessions acknowledged the revision, and waits for all of them again.
    cluster.leader = LeaderState::new(Timing::default(), SECOND, &cluster.state);
    assert!(cluster.leader.due_commands(SECOND, &cluster.state).is_empty());
    assert!(cluster.state.leases()[&list_lease()].minimum_token > token);
}

/// Regression test: after a grant was rejected because its session had been superseded, the lease stayed free for ten
/// seconds, until the leader changed (three replicas, seed 3 of the emulator).
#[test]
fn lease_goes_to_another_member_after_a_rejected_grant() {
    let mut cluster = Cluster::new();
    let a = cluster.open_session(0, "a", 1);
    let b = cluster.open_session(0, "b", 2);
    for id in [a, b] {
        cluster.leader.renew_session(id, cluster.state.lease_revision(), SECOND, &cluster.state).unwrap();
    }
    for command in cluster.leader.due_commands(SECOND, &cluster.state) {
        cluster.apply(SECOND, &command);
    }
    let grant = cluster.leader.due_commands(SECOND, &cluster.state).remove(0);
    let Command::GrantLease { session: chosen, .. } = grant else { panic!("{grant:?}") };
    let other = if chosen == a { b } else { a };
    let name = if chosen == a { "a" } else { "b" };
    // A later process of the chosen member opens a session before the grant is applied, so the session that the grant
    // names is superseded.
    cluster.open_session(SECOND, name, 9);
    assert_eq!(cluster.apply(SECOND, &grant), CommandOutcome::Rejected(CommandRejection::NoSuchSession));
    let again = cluster.leader.due_commands(SECOND, &cluster.state);
    assert!(matches!(again[..], [Command::GrantLease { session, .. }] if session == other), "{again:?}");
}

#[test]
fn expiring_session_is_not_renewed_unless_its_expiry_is_rejected() {
    let mut cluster = Cluster::new();
    let a = cluster.open_session(0, "a", 1);
    let late = 3 * SECOND;
    let due = cluster.leader.due_commands(late, &cluster.state);
    assert!(matches!(due[..], [Command::ExpireSession { .. }]));
    assert_eq!(
        cluster.leader.renew_session(a, 0, late, &cluster.state),
        Err(CommandRejection::NoSuchSession)
    );
    cluster.leader.proposal_rejected(&due[0]);
    assert_eq!(cluster.leader.renew_session(a, 0, late, &cluster.state), Ok(()));
}

#[test]
fn restarting_member_is_granted_no_lease_until_it_is_stable() {
    let mut cluster = Cluster::new();
    let mut opened_at = 0;
    for boot_id in 0..4 {
        cluster.open_session(opened_at, "a", boot_id);
        opened_at += SECOND / 2;
    }
    let a = cluster.open_session(opened_at, "a", 9);
    assert_eq!(cluster.state.consecutive_short_sessions("a"), 4);
    let mut granted_after = None;
    for tenth in 0..400 {
        let now = opened_at + tenth * SECOND / 10;
        cluster.run_until_idle(now, &[a]);
        if cluster.holder().is_some() {
            granted_after = Some(now - opened_at);
            break;
        }
    }
    assert_eq!(granted_after, Some(16 * SECOND), "the stability period was doubled four times");
}

#[test]
fn zone_lease_is_granted_in_its_zone_only() {
    let mut cluster = Cluster::new();
    let other_zone = vec![LeaseId::zone("list", "south")];
    let open_session = Command::OpenSession {
        name: "a".into(),
        boot_id: 1,
        zone: "north".into(),
        address: String::new(),
        eligible_leases: other_zone.clone(),
        short_lived: false,
    };
    let CommandOutcome::SessionOpened { session: a, .. } = cluster.apply(0, &open_session) else { panic!() };
    cluster.run_until_idle(SECOND, &[a]);
    assert_eq!(cluster.state.leases()[&other_zone[0]].holder, None);
}

/// The first stable member is granted all six sets. The second and the third member take over their shares, one set at
/// a time.
#[test]
fn worker_sets_move_one_at_a_time_until_they_are_balanced() {
    let mut cluster = Cluster::new();
    let sets: Vec<LeaseId> = (0..6).map(|set| LeaseId::worker_set("watch", set)).collect();
    let mut alive = Vec::new();
    let mut moves = 0;
    let mut now = 0;
    let step = Timing::default().renewal_interval;
    for (boot, name) in ["a", "b", "c"].into_iter().enumerate() {
        let open_session = Command::OpenSession {
            name: name.to_owned(),
            boot_id: boot as u64 + 1,
            zone: String::new(),
            address: "127.0.0.1:1".to_owned(),
            eligible_leases: sets.clone(),
            short_lived: false,
        };
        let CommandOutcome::SessionOpened { session: id, .. } = cluster.apply(now, &open_session) else {
            panic!("no session")
        };
        alive.push(id);
        for _ in 0..30 {
            now += step;
            let released =
                |outcome: &&CommandOutcome| matches!(outcome, CommandOutcome::LeaseReleased { .. });
            let outcomes = cluster.run_until_idle(now, &alive);
            let moved = outcomes.iter().filter(released).count();
            assert!(moved <= 1, "{moved} sets moved at once");
            moves += moved;
        }
        let lease_count = |id: &SessionId| {
            let holders = cluster.state.leases().values().filter_map(|lease| lease.holder);
            holders.filter(|holder| holder.session == *id).count()
        };
        let least = alive.iter().map(lease_count).min().unwrap_or(0);
        let most = alive.iter().map(lease_count).max().unwrap_or(0);
        assert!(most - least <= 1 && least > 0, "after {name}: {least} to {most} leases per member");
    }
    assert_eq!(moves, 3 + 2, "three sets move to the second member, two to the third, and none moves again");
}
