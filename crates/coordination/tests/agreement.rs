//! The state machine, the leading keeper's account and a member's side, each by themselves.

use coordination::{
    Command, CommandFault, DutyId, Holder, Outcome, Reason, Refusal, Revision, Scope, SessionId, State,
    Times, Token, Warden,
};

const SECOND: u64 = 1_000_000;

/// A log of one fleet with its leading keeper, all at one clock.
struct Fleet {
    state: State,
    warden: Warden,
    index: Revision,
}

impl Fleet {
    fn new() -> Fleet {
        let state = State::new(1);
        Fleet { warden: Warden::new(Times::default(), 0, &state), state, index: 0 }
    }

    fn apply(&mut self, now: u64, command: &Command) -> Outcome {
        self.index += 1;
        let outcome = self.state.apply(self.index, command);
        self.warden.applied(now, &self.state);
        if matches!(outcome, Outcome::Refused(_)) {
            self.warden.dropped(command);
        }
        outcome
    }

    fn join(&mut self, now: u64, name: &str, boot: u64) -> Outcome {
        let short = self.warden.short(name, now, &self.state);
        let (zone, address) = ("north".to_owned(), "127.0.0.1:1".to_owned());
        self.apply(
            now,
            &Command::Join { name: name.to_owned(), boot, zone, address, offers: offers(), short },
        )
    }

    fn session(&mut self, now: u64, name: &str, boot: u64) -> SessionId {
        match self.join(now, name, boot) {
            Outcome::Joined(id, _) => id,
            other => panic!("{other:?}"),
        }
    }

    /// Renews these sessions, as having seen everything, and does what is due, until nothing is.
    fn settle(&mut self, now: u64, alive: &[SessionId]) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        loop {
            for id in alive {
                self.warden.renewed(*id, self.state.seats_revision(), now, &self.state).unwrap();
            }
            let due = self.warden.due(now, &self.state);
            if due.is_empty() {
                return outcomes;
            }
            outcomes.extend(due.iter().map(|command| self.apply(now, command)));
        }
    }

    fn owner(&self) -> Option<(SessionId, Token)> {
        self.state.duties()[&duty()].owner.map(|owner| (owner.session, owner.token))
    }
}

fn duty() -> DutyId {
    DutyId::fleet("list")
}

fn offers() -> Vec<DutyId> {
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
    let gone = SECOND + Times::default().keepers_wait();
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
    fleet.apply(SECOND, &Command::Leave { session: owner, short: false });
    let fence = fleet.state.seats_revision();
    fleet.warden.renewed(others[0], fence, SECOND, &fleet.state).unwrap();
    fleet.warden.renewed(others[1], fence - 1, SECOND, &fleet.state).unwrap();
    assert!(fleet.warden.due(SECOND, &fleet.state).is_empty(), "one of them has not seen the fence");
    fleet.warden.renewed(others[1], fence, SECOND, &fleet.state).unwrap();
    assert!(matches!(&fleet.warden.due(SECOND, &fleet.state)[..], [Command::Grant { .. }]));
    // A new leader does not know what was seen, and asks anew.
    fleet.warden = Warden::new(Times::default(), SECOND, &fleet.state);
    assert!(fleet.warden.due(SECOND, &fleet.state).is_empty());
    assert!(fleet.state.duties()[&duty()].floor > token);
}

/// Found by the rig (three keepers, seed 3): a duty stayed without an owner for ten seconds, until the leader changed.
#[test]
fn a_grant_that_came_too_late_for_its_member_is_made_to_another() {
    let mut fleet = Fleet::new();
    let (a, b) = (fleet.session(0, "a", 1), fleet.session(0, "b", 2));
    for id in [a, b] {
        fleet.warden.renewed(id, fleet.state.seats_revision(), SECOND, &fleet.state).unwrap();
    }
    for settle in fleet.warden.due(SECOND, &fleet.state) {
        fleet.apply(SECOND, &settle);
    }
    let grant = fleet.warden.due(SECOND, &fleet.state).remove(0);
    let Command::Grant { session: chosen, .. } = grant else { panic!("{grant:?}") };
    let other = if chosen == a { b } else { a };
    let name = if chosen == a { "a" } else { "b" };
    // A later process of that name is there before the grant is applied.
    fleet.session(SECOND, name, 9);
    assert_eq!(fleet.apply(SECOND, &grant), Outcome::Refused(Reason::NoSession));
    let again = fleet.warden.due(SECOND, &fleet.state);
    assert!(matches!(again[..], [Command::Grant { session, .. }] if session == other), "{again:?}");
}

#[test]
fn a_session_whose_end_was_proposed_is_not_renewed_unless_the_proposal_is_lost() {
    let mut fleet = Fleet::new();
    let a = fleet.session(0, "a", 1);
    let late = 3 * SECOND;
    let due = fleet.warden.due(late, &fleet.state);
    assert!(matches!(due[..], [Command::End { .. }]));
    assert_eq!(fleet.warden.renewed(a, 0, late, &fleet.state), Err(Reason::NoSession));
    fleet.warden.dropped(&due[0]);
    assert_eq!(fleet.warden.renewed(a, 0, late, &fleet.state), Ok(()));
}

#[test]
fn a_later_process_of_a_name_takes_over_and_an_older_one_does_not_come_back() {
    let mut fleet = Fleet::new();
    let old = fleet.session(0, "a", 1);
    assert_eq!(fleet.join(0, "a", 1), Outcome::Joined(old, 1), "asked twice, one session");
    let Outcome::Joined(new, 2) = fleet.join(0, "a", 2) else { panic!() };
    assert_eq!(fleet.warden.renewed(old, 9, 0, &fleet.state), Err(Reason::Superseded { incarnation: 2 }));
    assert_eq!(fleet.warden.renewed(new, 9, 0, &fleet.state), Ok(()));
    assert_eq!(fleet.join(0, "a", 1), Outcome::Refused(Reason::Superseded { incarnation: 2 }));
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
    assert_eq!(fleet.state.short_lives("a"), 4);
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
    let mut holder = Holder::new(Times::default());
    holder.joined(a, 1, 0, 5 * SECOND, fleet.state.view());
    assert!(!holder.may_act(&duty(), token, 5 * SECOND), "the answer came after the lease was over");
    holder.renewed(a, 5 * SECOND, 6 * SECOND, None);
    assert!(holder.may_act(&duty(), token, 6_599_999));
    assert!(!holder.may_act(&duty(), token, 6_600_000));
}

#[test]
fn a_receiver_refuses_old_tokens_and_takes_nothing_without_a_session() {
    let mut fleet = Fleet::new();
    let a = fleet.session(0, "a", 1);
    fleet.settle(SECOND, &[a]);
    let (_, token) = fleet.owner().unwrap();
    let mut holder = Holder::new(Times::default());
    assert_eq!(holder.take(&duty(), token, 0), Err(Refusal::NoSession));
    holder.joined(a, 1, 0, 0, fleet.state.view());
    assert_eq!(holder.take(&duty(), token, 1), Ok(()));
    assert_eq!(holder.take(&DutyId::fleet("other"), token, 1), Err(Refusal::Unknown));
    fleet.apply(0, &Command::Release { duty: duty(), token, unsettle: true });
    assert!(holder.told(a, fleet.state.view()), "news are confirmed at once");
    let floor = Token(token.0 + 1);
    assert_eq!(holder.take(&duty(), token, 1), Err(Refusal::OldToken { floor }));
    assert_eq!(holder.take(&duty(), floor, Times::default().lease), Err(Refusal::NoSession));
    let counts = holder.counts();
    assert_eq!((counts.taken, counts.old_tokens, counts.without_session, counts.unknown), (1, 1, 2, 1));
}

#[test]
fn a_duty_of_a_zone_goes_to_that_zone_only() {
    let mut fleet = Fleet::new();
    let far = vec![DutyId::zone("list", "south")];
    let join = Command::Join {
        name: "a".into(),
        boot: 1,
        zone: "north".into(),
        address: String::new(),
        offers: far.clone(),
        short: false,
    };
    let Outcome::Joined(a, _) = fleet.apply(0, &join) else { panic!() };
    fleet.settle(SECOND, &[a]);
    assert_eq!(fleet.state.duties()[&far[0]].owner, None);
}

/// The first member that stays gets every set; those that come later take over their part, one set at a time.
#[test]
fn sets_are_evened_out_one_at_a_time_and_then_stay() {
    let mut fleet = Fleet::new();
    let sets: Vec<DutyId> = (0..6).map(|set| DutyId::set("watch", set)).collect();
    let mut alive = Vec::new();
    let mut moves = 0;
    let (mut now, step) = (0, Times::default().renew);
    for (boot, name) in ["a", "b", "c"].into_iter().enumerate() {
        let join = Command::Join {
            name: name.to_owned(),
            boot: boot as u64 + 1,
            zone: String::new(),
            address: "127.0.0.1:1".to_owned(),
            offers: sets.clone(),
            short: false,
        };
        let Outcome::Joined(id, _) = fleet.apply(now, &join) else { panic!("no session") };
        alive.push(id);
        for _ in 0..30 {
            now += step;
            let released = |outcome: &&Outcome| matches!(outcome, Outcome::Released(..));
            let outcomes = fleet.settle(now, &alive);
            let in_one_round = outcomes.iter().filter(released).count();
            assert!(in_one_round <= 1, "{in_one_round} sets moved at once");
            moves += in_one_round;
        }
        let of = |id: &SessionId| {
            let owners = fleet.state.duties().values().filter_map(|duty| duty.owner);
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
    let again = State::restore(&fleet.state.snapshot()).unwrap();
    assert_eq!(again, fleet.state);
    assert_eq!(again.digest(), fleet.state.digest());
    let command = Command::Leave { session: a, short: true };
    assert_eq!(Command::decode(&command.encode()), Ok(command.clone()));
    let mut later = command.encode();
    later[0] = 4;
    assert_eq!(Command::decode(&later), Err(CommandFault::Later(4, 3)));
    let mut long = command.encode();
    long.push(0);
    assert!(matches!(Command::decode(&long), Err(CommandFault::Malformed(_))));
    // What keepers of the version before read is written as they wrote it, until something new is agreed on.
    assert_eq!((command.encode()[0], fleet.state.snapshot()[0]), (1, 1));
    let replace = Command::ReplaceKeeper { old: 3, new: 4, address: "127.0.0.1:1".into() };
    assert_eq!(replace.encode()[0], 2);
    assert_eq!(fleet.apply(SECOND, &replace), Outcome::Noted);
    assert_eq!(fleet.apply(SECOND, &replace), Outcome::Noted, "asked again");
    let other = Command::ReplaceKeeper { old: 2, new: 5, address: "127.0.0.1:1".into() };
    assert!(matches!(fleet.apply(SECOND, &other), Outcome::Refused(Reason::Keepers(_))), "one at a time");
    assert_eq!(fleet.apply(SECOND, &Command::KeeperReplaced { old: 3 }), Outcome::Noted);
    let back = Command::ReplaceKeeper { old: 4, new: 3, address: "127.0.0.1:1".into() };
    assert!(matches!(fleet.apply(SECOND, &back), Outcome::Refused(Reason::Keepers(_))), "a number of old");
    assert_eq!(fleet.state.snapshot()[0], 2);
    assert_eq!(State::restore(&fleet.state.snapshot()), Ok(fleet.state.clone()));
    let target = disruption_budget::Target { kind: disruption_budget::TargetKind::Worker, name: "w".into() };
    let ask = disruption_budget::DisruptionCommand::RequestPermit {
        target,
        reason: "r".into(),
        requester: "a".into(),
        force: false,
    };
    let ask = Command::Account(ask);
    assert_eq!(ask.encode()[0], 3);
    assert_eq!(Command::decode_up_to(2, &ask.encode()), Err(CommandFault::Later(3, 2)));
    assert!(matches!(fleet.apply(SECOND, &ask), Outcome::Account(_)));
    assert_eq!(fleet.state.snapshot()[0], 3);
    let again = State::restore(&fleet.state.snapshot()).unwrap();
    assert_eq!((again.account(), again.digest()), (fleet.state.account(), fleet.state.digest()));
    let mut snapshot = fleet.state.snapshot();
    snapshot[0] = 7;
    assert!(State::restore(&snapshot).unwrap_err().to_string().contains("version 7"));
}

/// The account takes the word of whoever observes in the running term, and of nobody else.
#[test]
fn an_observation_of_another_term_is_refused() {
    use disruption_budget::{availability_observer::OBSERVER_LEASE, DisruptionCommand};
    let mut fleet = Fleet::new();
    let observe = |token| {
        Command::Account(DisruptionCommand::RecordObservation {
            fencing_token: token,
            known_revision: 0,
            changed: vec![],
            removed: vec![],
        })
    };
    assert_eq!(fleet.apply(SECOND, &observe(1)), Outcome::Refused(Reason::NotTheOwner), "nobody owns it");
    let join = Command::Join {
        name: "a".into(),
        boot: 1,
        zone: String::new(),
        address: String::new(),
        offers: vec![DutyId::fleet(OBSERVER_LEASE)],
        short: false,
    };
    let Outcome::Joined(session, _) = fleet.apply(SECOND, &join) else { panic!("no session") };
    fleet.apply(SECOND, &Command::Settle { session });
    let fenced = fleet.state.duties()[&DutyId::fleet(OBSERVER_LEASE)].fenced;
    let grant = Command::Grant { duty: DutyId::fleet(OBSERVER_LEASE), session, fenced };
    let Outcome::Granted(_, owner) = fleet.apply(SECOND, &grant) else { panic!("not granted") };
    assert!(matches!(fleet.apply(SECOND, &observe(owner.token.0)), Outcome::Account(_)));
    let late = fleet.apply(SECOND, &observe(owner.token.0 - 1));
    assert_eq!(late, Outcome::Refused(Reason::NotTheOwner));
    fleet.apply(SECOND, &Command::End { session, short: false });
    assert_eq!(fleet.apply(SECOND, &observe(owner.token.0)), Outcome::Refused(Reason::NotTheOwner));
}

#[test]
fn times_that_do_not_fit_name_both_keys() {
    let good = Times::default();
    assert_eq!(good.check(), Ok(()));
    for (times, key, against) in [
        (Times { renew: 900_000, ..good }, "renew", "lease"),
        (Times { heartbeat: 200_000, ..good }, "heartbeat", "election"),
        (Times { election: 900_000, ..good }, "election", "lease"),
        (Times { stay: 1, ..good }, "stay", "renew"),
        (Times { call: 0, ..good }, "call", "lease"),
    ] {
        let fault = times.check().unwrap_err();
        assert_eq!((fault.key, fault.against), (key, against));
    }
    // Two clocks at the far ends of the bound: the member's slow, the keeper's fast.
    let member_takes = (good.lease as f64) / 0.999;
    assert!(good.keepers_wait() as f64 / 1.001 >= member_takes - 5.0);
}

#[test]
fn duties_are_written_and_read() {
    for (text, scope) in
        [("list", Scope::Fleet), ("list@zone/a", Scope::Zone("a".into())), ("w@set/7", Scope::Set(7))]
    {
        let id: DutyId = text.parse().unwrap();
        assert_eq!((id.scope.clone(), id.to_string()), (scope, text.to_owned()));
    }
    assert!("@zone/".parse::<DutyId>().is_err());
    assert!("w@set/x".parse::<DutyId>().is_err());
}
