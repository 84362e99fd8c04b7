//! The state machine, the leading keeper's account and a member's side, each by themselves.

use coordination::{
    Command, CommandDecodeError, CommandOutcome, CommandRejection, EffectRejection, FencingToken,
    LeaderState, LeaseClient, LeaseId, LeaseScope, Revision, SessionId, StateMachine, Timing,
};

const SECOND: u64 = 1_000_000;

/// A log of one fleet with its leading keeper, all at one clock.
struct Fleet {
    state: StateMachine,
    warden: LeaderState,
    index: Revision,
}

impl Fleet {
    fn new() -> Fleet {
        let state = StateMachine::new(1);
        Fleet { warden: LeaderState::new(Timing::default(), 0, &state), state, index: 0 }
    }

    fn apply(&mut self, now: u64, command: &Command) -> CommandOutcome {
        self.index += 1;
        let outcome = self.state.apply(self.index, command);
        self.warden.on_entries_applied(now, &self.state);
        if matches!(outcome, CommandOutcome::Rejected(_)) {
            self.warden.proposal_rejected(command);
        }
        outcome
    }

    fn join(&mut self, now: u64, name: &str, boot: u64) -> CommandOutcome {
        let short = self.warden.is_short_session(name, now, &self.state);
        let (zone, address) = ("north".to_owned(), "127.0.0.1:1".to_owned());
        self.apply(
            now,
            &Command::OpenSession {
                name: name.to_owned(),
                boot_id: boot,
                zone,
                address,
                eligible_leases: offers(),
                short_lived: short,
            },
        )
    }

    fn session(&mut self, now: u64, name: &str, boot: u64) -> SessionId {
        match self.join(now, name, boot) {
            CommandOutcome::SessionOpened(id, _) => id,
            other => panic!("{other:?}"),
        }
    }

    /// Renews these sessions, as having seen everything, and does what is due, until nothing is.
    fn settle(&mut self, now: u64, alive: &[SessionId]) -> Vec<CommandOutcome> {
        let mut outcomes = Vec::new();
        loop {
            for id in alive {
                self.warden.renew_session(*id, self.state.lease_revision(), now, &self.state).unwrap();
            }
            let due = self.warden.due_commands(now, &self.state);
            if due.is_empty() {
                return outcomes;
            }
            outcomes.extend(due.iter().map(|command| self.apply(now, command)));
        }
    }

    fn owner(&self) -> Option<(SessionId, FencingToken)> {
        self.state.leases()[&duty()].holder.map(|owner| (owner.session, owner.token))
    }
}

fn duty() -> LeaseId {
    LeaseId::fleet("list")
}

fn offers() -> Vec<LeaseId> {
    vec![duty()]
}

#[test]
fn a_duty_has_one_owner_and_the_next_one_a_higher_token() {
    let mut fleet = Fleet::new();
    let (a, b) = (fleet.session(0, "a", 1), fleet.session(0, "b", 2));
    assert!(fleet.settle(SECOND / 2, &[a, b]).is_empty(), "nobody stayed long enough yet");
    fleet.settle(SECOND, &[a, b]);
    let (first, token) = fleet.owner().unwrap();
    let other = if first == a { b } else { a };
    let gone = SECOND + Timing::default().expiry_wait();
    assert!(fleet.settle(gone, &[other]).is_empty(), "not before its time");
    fleet.settle(gone + 1, &[other]);
    let (second, later) = fleet.owner().unwrap();
    assert_eq!(second, other);
    assert!(later > token);
}

#[test]
fn a_grant_waits_for_everybody_who_could_still_take_an_old_effect() {
    let mut fleet = Fleet::new();
    let ids = [fleet.session(0, "a", 1), fleet.session(0, "b", 2), fleet.session(0, "c", 3)];
    fleet.settle(SECOND, &ids);
    let (owner, token) = fleet.owner().unwrap();
    let others: Vec<SessionId> = ids.into_iter().filter(|id| *id != owner).collect();
    fleet.apply(SECOND, &Command::CloseSession { session: owner, short_lived: false });
    let fence = fleet.state.lease_revision();
    fleet.warden.renew_session(others[0], fence, SECOND, &fleet.state).unwrap();
    fleet.warden.renew_session(others[1], fence - 1, SECOND, &fleet.state).unwrap();
    assert!(fleet.warden.due_commands(SECOND, &fleet.state).is_empty(), "one of them has not seen the fence");
    fleet.warden.renew_session(others[1], fence, SECOND, &fleet.state).unwrap();
    assert!(matches!(&fleet.warden.due_commands(SECOND, &fleet.state)[..], [Command::GrantLease { .. }]));
    // A new leader does not know what was seen, and asks anew.
    fleet.warden = LeaderState::new(Timing::default(), SECOND, &fleet.state);
    assert!(fleet.warden.due_commands(SECOND, &fleet.state).is_empty());
    assert!(fleet.state.leases()[&duty()].minimum_token > token);
}

/// Found by the rig (three keepers, seed 3): a duty stayed without an owner for ten seconds, until the leader changed.
#[test]
fn a_grant_that_came_too_late_for_its_member_is_made_to_another() {
    let mut fleet = Fleet::new();
    let (a, b) = (fleet.session(0, "a", 1), fleet.session(0, "b", 2));
    for id in [a, b] {
        fleet.warden.renew_session(id, fleet.state.lease_revision(), SECOND, &fleet.state).unwrap();
    }
    for settle in fleet.warden.due_commands(SECOND, &fleet.state) {
        fleet.apply(SECOND, &settle);
    }
    let grant = fleet.warden.due_commands(SECOND, &fleet.state).remove(0);
    let Command::GrantLease { session: chosen, .. } = grant else { panic!("{grant:?}") };
    let other = if chosen == a { b } else { a };
    let name = if chosen == a { "a" } else { "b" };
    // A later process of that name is there before the grant is applied.
    fleet.session(SECOND, name, 9);
    assert_eq!(fleet.apply(SECOND, &grant), CommandOutcome::Rejected(CommandRejection::NoSuchSession));
    let again = fleet.warden.due_commands(SECOND, &fleet.state);
    assert!(matches!(again[..], [Command::GrantLease { session, .. }] if session == other), "{again:?}");
}

#[test]
fn a_session_whose_end_was_proposed_is_not_renewed_unless_the_proposal_is_lost() {
    let mut fleet = Fleet::new();
    let a = fleet.session(0, "a", 1);
    let late = 3 * SECOND;
    let due = fleet.warden.due_commands(late, &fleet.state);
    assert!(matches!(due[..], [Command::ExpireSession { .. }]));
    assert_eq!(fleet.warden.renew_session(a, 0, late, &fleet.state), Err(CommandRejection::NoSuchSession));
    fleet.warden.proposal_rejected(&due[0]);
    assert_eq!(fleet.warden.renew_session(a, 0, late, &fleet.state), Ok(()));
}

#[test]
fn a_later_process_of_a_name_takes_over_and_an_older_one_does_not_come_back() {
    let mut fleet = Fleet::new();
    let old = fleet.session(0, "a", 1);
    assert_eq!(fleet.join(0, "a", 1), CommandOutcome::SessionOpened(old, 1), "asked twice, one session");
    let CommandOutcome::SessionOpened(new, 2) = fleet.join(0, "a", 2) else { panic!() };
    assert_eq!(
        fleet.warden.renew_session(old, 9, 0, &fleet.state),
        Err(CommandRejection::Superseded { incarnation: 2 })
    );
    assert_eq!(fleet.warden.renew_session(new, 9, 0, &fleet.state), Ok(()));
    assert_eq!(
        fleet.join(0, "a", 1),
        CommandOutcome::Rejected(CommandRejection::Superseded { incarnation: 2 })
    );
}

#[test]
fn a_member_that_restarts_in_a_loop_gets_no_duty_until_it_has_stayed() {
    let mut fleet = Fleet::new();
    let mut at = 0;
    for boot in 0..4 {
        fleet.session(at, "a", boot);
        at += SECOND / 2;
    }
    let a = fleet.session(at, "a", 9);
    assert_eq!(fleet.state.consecutive_short_sessions("a"), 4);
    let mut granted = None;
    for tenth in 0..400 {
        let now = at + tenth * SECOND / 10;
        fleet.settle(now, &[a]);
        if fleet.owner().is_some() {
            granted = Some(now - at);
            break;
        }
    }
    assert_eq!(granted, Some(16 * SECOND));
}

#[test]
fn a_member_counts_its_lease_from_before_it_asked() {
    let mut fleet = Fleet::new();
    let a = fleet.session(0, "a", 1);
    fleet.settle(SECOND, &[a]);
    let (_, token) = fleet.owner().unwrap();
    let mut holder = LeaseClient::new(Timing::default());
    holder.on_session_opened(a, 1, 0, 5 * SECOND, fleet.state.view());
    assert!(!holder.holds_lease(&duty(), token, 5 * SECOND), "the answer came after the lease was over");
    holder.on_session_renewed(a, 5 * SECOND, 6 * SECOND, None);
    assert!(holder.holds_lease(&duty(), token, 6_599_999));
    assert!(!holder.holds_lease(&duty(), token, 6_600_000));
}

#[test]
fn a_receiver_refuses_old_tokens_and_takes_nothing_without_a_session() {
    let mut fleet = Fleet::new();
    let a = fleet.session(0, "a", 1);
    fleet.settle(SECOND, &[a]);
    let (_, token) = fleet.owner().unwrap();
    let mut holder = LeaseClient::new(Timing::default());
    assert_eq!(holder.accept_effect(&duty(), token, 0), Err(EffectRejection::NoSession));
    holder.on_session_opened(a, 1, 0, 0, fleet.state.view());
    assert_eq!(holder.accept_effect(&duty(), token, 1), Ok(()));
    assert_eq!(holder.accept_effect(&LeaseId::fleet("other"), token, 1), Err(EffectRejection::UnknownLease));
    fleet.apply(0, &Command::ReleaseLease { lease: duty(), token, reset_stability: true });
    assert!(holder.on_view_changed(a, fleet.state.view()), "news are confirmed at once");
    let floor = FencingToken(token.0 + 1);
    assert_eq!(
        holder.accept_effect(&duty(), token, 1),
        Err(EffectRejection::StaleToken { minimum_token: floor })
    );
    assert_eq!(
        holder.accept_effect(&duty(), floor, Timing::default().lease_duration),
        Err(EffectRejection::NoSession)
    );
    let counts = holder.effect_counts();
    assert_eq!(
        (counts.accepted, counts.stale_tokens, counts.without_session, counts.unknown_leases),
        (1, 1, 2, 1)
    );
}

#[test]
fn a_duty_of_a_zone_goes_to_that_zone_only() {
    let mut fleet = Fleet::new();
    let far = vec![LeaseId::zone("list", "south")];
    let join = Command::OpenSession {
        name: "a".into(),
        boot_id: 1,
        zone: "north".into(),
        address: String::new(),
        eligible_leases: far.clone(),
        short_lived: false,
    };
    let CommandOutcome::SessionOpened(a, _) = fleet.apply(0, &join) else { panic!() };
    fleet.settle(SECOND, &[a]);
    assert_eq!(fleet.state.leases()[&far[0]].holder, None);
}

/// The first member that stays gets every set; those that come later take over their part, one set at a time.
#[test]
fn sets_are_evened_out_one_at_a_time_and_then_stay() {
    let mut fleet = Fleet::new();
    let sets: Vec<LeaseId> = (0..6).map(|set| LeaseId::worker_set("watch", set)).collect();
    let mut alive = Vec::new();
    let mut moves = 0;
    let (mut now, step) = (0, Timing::default().renewal_interval);
    for (boot, name) in ["a", "b", "c"].into_iter().enumerate() {
        let join = Command::OpenSession {
            name: name.to_owned(),
            boot_id: boot as u64 + 1,
            zone: String::new(),
            address: "127.0.0.1:1".to_owned(),
            eligible_leases: sets.clone(),
            short_lived: false,
        };
        let CommandOutcome::SessionOpened(id, _) = fleet.apply(now, &join) else { panic!("no session") };
        alive.push(id);
        for _ in 0..30 {
            now += step;
            let released = |outcome: &&CommandOutcome| matches!(outcome, CommandOutcome::LeaseReleased(..));
            let outcomes = fleet.settle(now, &alive);
            let in_one_round = outcomes.iter().filter(released).count();
            assert!(in_one_round <= 1, "{in_one_round} sets moved at once");
            moves += in_one_round;
        }
        let of = |id: &SessionId| {
            let owners = fleet.state.leases().values().filter_map(|duty| duty.holder);
            owners.filter(|owner| owner.session == *id).count()
        };
        let (least, most) =
            (alive.iter().map(of).min().unwrap_or(0), alive.iter().map(of).max().unwrap_or(0));
        assert!(most - least <= 1 && least > 0, "{name}: from {least} to {most}");
    }
    assert_eq!(moves, 3 + 2, "three go to the second member, two to the third, and none wanders");
}

#[test]
fn entries_and_snapshots_are_read_back_or_stop_the_keeper() {
    let mut fleet = Fleet::new();
    let a = fleet.session(0, "a", 1);
    fleet.settle(SECOND, &[a]);
    let again = StateMachine::restore(&fleet.state.snapshot()).unwrap();
    assert_eq!(again, fleet.state);
    assert_eq!(again.digest(), fleet.state.digest());
    let command = Command::CloseSession { session: a, short_lived: true };
    assert_eq!(Command::decode(&command.encode()), Ok(command.clone()));
    let mut later = command.encode();
    later[0] = 4;
    assert_eq!(
        Command::decode(&later),
        Err(CommandDecodeError::UnsupportedVersion { version: 4, supported: 3 })
    );
    let mut long = command.encode();
    long.push(0);
    assert!(matches!(Command::decode(&long), Err(CommandDecodeError::TrailingBytes { count: 1 })));
    // What keepers of the version before read is written as they wrote it, until something new is agreed on.
    assert_eq!((command.encode()[0], fleet.state.snapshot()[0]), (1, 1));
    let replace = Command::ReplaceReplica { old: 3, new: 4, address: "127.0.0.1:1".into() };
    assert_eq!(replace.encode()[0], 2);
    assert_eq!(fleet.apply(SECOND, &replace), CommandOutcome::Acknowledged);
    assert_eq!(fleet.apply(SECOND, &replace), CommandOutcome::Acknowledged, "asked again");
    let other = Command::ReplaceReplica { old: 2, new: 5, address: "127.0.0.1:1".into() };
    assert!(
        matches!(
            fleet.apply(SECOND, &other),
            CommandOutcome::Rejected(CommandRejection::InvalidReplacement(_))
        ),
        "one at a time"
    );
    assert_eq!(fleet.apply(SECOND, &Command::CompleteReplacement { old: 3 }), CommandOutcome::Acknowledged);
    let back = Command::ReplaceReplica { old: 4, new: 3, address: "127.0.0.1:1".into() };
    assert!(
        matches!(
            fleet.apply(SECOND, &back),
            CommandOutcome::Rejected(CommandRejection::InvalidReplacement(_))
        ),
        "a number of old"
    );
    assert_eq!(fleet.state.snapshot()[0], 2);
    assert_eq!(StateMachine::restore(&fleet.state.snapshot()), Ok(fleet.state.clone()));
    let target = disruption_budget::Target { kind: disruption_budget::TargetKind::Worker, name: "w".into() };
    let ask = disruption_budget::DisruptionCommand::RequestPermit {
        target,
        reason: "r".into(),
        requester: "a".into(),
        force: false,
    };
    let ask = Command::Disruption(ask);
    assert_eq!(ask.encode()[0], 3);
    assert_eq!(
        Command::decode_with_supported_version(2, &ask.encode()),
        Err(CommandDecodeError::UnsupportedVersion { version: 3, supported: 2 })
    );
    assert!(matches!(fleet.apply(SECOND, &ask), CommandOutcome::Disruption(_)));
    assert_eq!(fleet.state.snapshot()[0], 3);
    let again = StateMachine::restore(&fleet.state.snapshot()).unwrap();
    assert_eq!((again.disruption(), again.digest()), (fleet.state.disruption(), fleet.state.digest()));
    let mut snapshot = fleet.state.snapshot();
    snapshot[0] = 7;
    assert!(StateMachine::restore(&snapshot).unwrap_err().to_string().contains("version 7"));
}

/// The account takes the word of whoever observes in the running term, and of nobody else.
#[test]
fn an_observation_of_another_term_is_refused() {
    use disruption_budget::{DisruptionCommand, OBSERVER_LEASE};
    let mut fleet = Fleet::new();
    let observe = |token| {
        Command::Disruption(DisruptionCommand::RecordObservation {
            fencing_token: token,
            known_revision: 0,
            changed: vec![],
            removed: vec![],
        })
    };
    assert_eq!(
        fleet.apply(SECOND, &observe(1)),
        CommandOutcome::Rejected(CommandRejection::NotLeaseHolder),
        "nobody owns it"
    );
    let join = Command::OpenSession {
        name: "a".into(),
        boot_id: 1,
        zone: String::new(),
        address: String::new(),
        eligible_leases: vec![LeaseId::fleet(OBSERVER_LEASE)],
        short_lived: false,
    };
    let CommandOutcome::SessionOpened(session, _) = fleet.apply(SECOND, &join) else { panic!("no session") };
    fleet.apply(SECOND, &Command::MarkSessionStable { session });
    let fenced = fleet.state.leases()[&LeaseId::fleet(OBSERVER_LEASE)].fencing_revision;
    let grant =
        Command::GrantLease { lease: LeaseId::fleet(OBSERVER_LEASE), session, fencing_revision: fenced };
    let CommandOutcome::LeaseGranted(_, owner) = fleet.apply(SECOND, &grant) else { panic!("not granted") };
    assert!(matches!(fleet.apply(SECOND, &observe(owner.token.0)), CommandOutcome::Disruption(_)));
    let late = fleet.apply(SECOND, &observe(owner.token.0 - 1));
    assert_eq!(late, CommandOutcome::Rejected(CommandRejection::NotLeaseHolder));
    fleet.apply(SECOND, &Command::ExpireSession { session, short_lived: false });
    assert_eq!(
        fleet.apply(SECOND, &observe(owner.token.0)),
        CommandOutcome::Rejected(CommandRejection::NotLeaseHolder)
    );
}

#[test]
fn times_that_do_not_fit_name_both_keys() {
    let good = Timing::default();
    assert_eq!(good.validate(), Ok(()));
    for (times, key, against) in [
        (Timing { renewal_interval: 900_000, ..good }, "renew", "lease"),
        (Timing { heartbeat_interval: 200_000, ..good }, "heartbeat", "election"),
        (Timing { election_timeout: 900_000, ..good }, "election", "lease"),
        (Timing { stability_period: 1, ..good }, "stay", "renew"),
        (Timing { call_timeout: 0, ..good }, "call", "lease"),
    ] {
        let fault = times.validate().unwrap_err();
        assert_eq!((fault.key, fault.against), (key, against));
    }
    // Two clocks at the far ends of the bound: the member's slow, the keeper's fast.
    let member_takes = (good.lease_duration as f64) / 0.999;
    assert!(good.expiry_wait() as f64 / 1.001 >= member_takes - 5.0);
}

#[test]
fn duties_are_written_and_read() {
    for (text, scope) in [
        ("list", LeaseScope::Fleet),
        ("list@zone/a", LeaseScope::Zone("a".into())),
        ("w@set/7", LeaseScope::WorkerSet(7)),
    ] {
        let id: LeaseId = text.parse().unwrap();
        assert_eq!((id.scope.clone(), id.to_string()), (scope, text.to_owned()));
    }
    assert!("@zone/".parse::<LeaseId>().is_err());
    assert!("w@set/x".parse::<LeaseId>().is_err());
}
