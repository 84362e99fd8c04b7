//! The account of who is out, change by change.

use disruption_budget::{
    Amount, Availability, Budget, BudgetScope, DisruptionCommand, DisruptionOutcome, DisruptionState,
    PermitState, Rejection, Target, TargetKind, TargetStatus,
};

fn target(name: &str) -> Target {
    Target { kind: TargetKind::Dispatcher, name: name.into() }
}

fn budget(scope: BudgetScope, max_unavailable: Amount) -> Budget {
    Budget {
        name: "b".into(),
        kind: TargetKind::Dispatcher,
        scope,
        max_unavailable: Some(max_unavailable),
        min_available: None,
    }
}

/// Dispatchers d0, d1 and on, in three zones in turn, and the log that they are in.
struct Fleet {
    state: DisruptionState,
    index: u64,
    availabilities: Vec<(Availability, u64)>,
}

impl Fleet {
    fn new(count: usize, budgets: Vec<Budget>) -> Fleet {
        let availabilities = vec![(Availability::Available, 1); count];
        let mut fleet = Fleet { state: DisruptionState::default(), index: 0, availabilities };
        assert_eq!(
            fleet.apply(DisruptionCommand::SetBudgets { expected_version: 0, budgets }),
            DisruptionOutcome::Applied
        );
        fleet
    }

    fn apply(&mut self, change: DisruptionCommand) -> DisruptionOutcome {
        self.index += 1;
        self.state.apply(self.index, &change)
    }

    fn ask(&mut self, name: &str, force: bool) -> u64 {
        let (reason, requester) = ("test".into(), format!("asker of {name}"));
        match self.apply(DisruptionCommand::RequestPermit { target: target(name), reason, requester, force })
        {
            DisruptionOutcome::PermitRequested(id, _) => id,
            other => panic!("{other:?}"),
        }
    }

    fn targets(&self) -> Vec<TargetStatus> {
        let one = |(n, (availability, incarnation)): (usize, &(Availability, u64))| TargetStatus {
            target: target(&format!("d{n}")),
            zone: ["north", "south", "west"][n % 3].into(),
            pool: String::new(),
            availability: *availability,
            incarnation: *incarnation,
        };
        self.availabilities.iter().enumerate().map(one).collect()
    }

    /// Granted, called back, proven.
    fn observe(&mut self) -> (Vec<u64>, Vec<u64>, Vec<u64>) {
        let change = DisruptionCommand::RecordObservation {
            fencing_token: 1,
            known_revision: self.index,
            changed: self.targets(),
            removed: vec![],
        };
        match self.apply(change) {
            DisruptionOutcome::ObservationRecorded { granted, revoked, closed } => (granted, revoked, closed),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn permits_go_in_order_as_far_as_every_budget_allows() {
    let budgets =
        vec![budget(BudgetScope::Fleet, Amount::Count(2)), budget(BudgetScope::EachZone, Amount::Count(1))];
    let mut fleet = Fleet::new(12, budgets);
    let asked: Vec<u64> = ["d0", "d3", "d1", "d2"].map(|name| fleet.ask(name, false)).into();
    // d3 is in the zone of d0, so the place of the fleet goes to d1; d2 finds none.
    assert_eq!(fleet.observe().0, [asked[0], asked[2]]);
    assert_eq!(fleet.state.blocking_budget(asked[1]).unwrap().scope, BudgetScope::Fleet);
    assert_eq!(
        fleet.apply(DisruptionCommand::BeginPermit { permit: asked[0], incarnation: 1 }),
        DisruptionOutcome::PermitBegun(asked[0])
    );
    fleet.availabilities[0] = (Availability::Unavailable, 1);
    assert_eq!(fleet.observe(), (vec![], vec![], vec![]));
    // In again, as a later process: proven, and the next of the zone gets its turn.
    fleet.availabilities[0] = (Availability::Available, 2);
    assert_eq!(fleet.observe(), (vec![asked[1]], vec![], vec![asked[0]]));
}

#[test]
fn nothing_is_granted_by_what_was_seen_before_it_was_asked_for() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let (seen, targets) = (fleet.index, fleet.targets());
    let id = fleet.ask("d0", false);
    let late = DisruptionCommand::RecordObservation {
        fencing_token: 1,
        known_revision: seen,
        changed: targets,
        removed: vec![],
    };
    let nothing = DisruptionOutcome::ObservationRecorded { granted: vec![], revoked: vec![], closed: vec![] };
    assert_eq!(fleet.apply(late), nothing);
    assert_eq!(fleet.observe().0, [id]);
}

#[test]
fn unplanned_losses_use_the_budget_up_and_call_back_what_was_not_begun() {
    let mut fleet = Fleet::new(6, vec![budget(BudgetScope::Fleet, Amount::Count(2))]);
    let (one, two) = (fleet.ask("d0", false), fleet.ask("d1", false));
    assert_eq!(fleet.observe().0, [one, two]);
    assert_eq!(
        fleet.apply(DisruptionCommand::BeginPermit { permit: one, incarnation: 1 }),
        DisruptionOutcome::PermitBegun(one)
    );
    fleet.availabilities[5] = (Availability::Unavailable, 1);
    assert_eq!(fleet.observe(), (vec![], vec![two], vec![]));
    // Whoever had it in hand is refused now, and gets it again when there is room.
    assert_eq!(
        fleet.apply(DisruptionCommand::BeginPermit { permit: two, incarnation: 1 }),
        DisruptionOutcome::Rejected(Rejection::NotGranted)
    );
    // One that warms up counts by what it lacks.
    fleet.availabilities[5] = (Availability::WarmingUp(900), 2);
    assert_eq!(fleet.observe().0, []);
    fleet.availabilities[5] = (Availability::Available, 2);
    assert_eq!(fleet.observe().0, [two]);
}

#[test]
fn a_begun_permit_is_not_over_because_its_target_is_still_in() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let (one, two) = (fleet.ask("d0", false), fleet.ask("d1", false));
    fleet.observe();
    fleet.apply(DisruptionCommand::BeginPermit { permit: one, incarnation: 1 });
    // Whoever began it sleeps: the target is in, and out only later.
    assert_eq!(fleet.observe(), (vec![], vec![], vec![]));
    assert_eq!(
        fleet.apply(DisruptionCommand::CancelPermit { permit: one }),
        DisruptionOutcome::Rejected(Rejection::AlreadyBegun)
    );
    // It was done, says the asker; from an observation made after that on it is over.
    let (seen, targets) = (fleet.index, fleet.targets());
    assert_eq!(fleet.apply(DisruptionCommand::CompletePermit { permit: one }), DisruptionOutcome::Applied);
    let before = fleet.apply(DisruptionCommand::RecordObservation {
        fencing_token: 1,
        known_revision: seen,
        changed: targets,
        removed: vec![],
    });
    assert_eq!(
        before,
        DisruptionOutcome::ObservationRecorded { granted: vec![], revoked: vec![], closed: vec![] }
    );
    assert_eq!(fleet.observe(), (vec![two], vec![], vec![one]));
}

/// Found by the model: an asker that begins anew is told of its old permit, and must not use it for a second step.
#[test]
fn a_permit_is_good_for_one_step() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let one = fleet.ask("d0", false);
    fleet.observe();
    let begin = |incarnation| DisruptionCommand::BeginPermit { permit: one, incarnation };
    assert_eq!(fleet.apply(begin(1)), DisruptionOutcome::PermitBegun(one));
    assert_eq!(
        fleet.apply(begin(1)),
        DisruptionOutcome::PermitBegun(one),
        "the first answer may have been lost"
    );
    assert_eq!(fleet.ask("d0", false), one);
    assert_eq!(
        fleet.apply(begin(2)),
        DisruptionOutcome::Rejected(Rejection::UnknownPermit),
        "it came back since"
    );
    fleet.apply(DisruptionCommand::CompletePermit { permit: one });
    assert_eq!(fleet.apply(begin(1)), DisruptionOutcome::Rejected(Rejection::UnknownPermit));
}

#[test]
fn a_target_that_vanishes_while_it_is_out_counts_until_it_is_struck_off() {
    let mut fleet = Fleet::new(4, vec![budget(BudgetScope::EachZone, Amount::Count(1))]);
    let (one, two) = (fleet.ask("d3", false), fleet.ask("d0", false));
    assert_eq!(fleet.observe().0, [one], "both are in the north");
    fleet.apply(DisruptionCommand::BeginPermit { permit: one, incarnation: 1 });
    fleet.availabilities.pop();
    let vanished = DisruptionCommand::RecordObservation {
        fencing_token: 1,
        known_revision: fleet.index,
        changed: vec![],
        removed: vec![target("d3")],
    };
    let nothing = DisruptionOutcome::ObservationRecorded { granted: vec![], revoked: vec![], closed: vec![] };
    assert_eq!(fleet.apply(vanished), nothing);
    assert_eq!(fleet.observe().0, [], "nor later");
    let strike = DisruptionCommand::DeregisterTarget { target: target("d3"), operator: "an operator".into() };
    assert_eq!(fleet.apply(strike.clone()), DisruptionOutcome::Applied);
    assert_eq!(fleet.apply(strike), DisruptionOutcome::Rejected(Rejection::UnknownTarget));
    // d0 alone is left in the north: whatever the budget says, the last one does not go.
    assert_eq!(fleet.observe().0, []);
    fleet.availabilities.push((Availability::Available, 7));
    assert_eq!(fleet.observe().0, [two]);
}

#[test]
fn an_older_process_proves_nothing_and_an_older_observer_changes_nothing() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    fleet.availabilities[0].1 = 5;
    let one = fleet.ask("d0", false);
    fleet.observe();
    fleet.apply(DisruptionCommand::BeginPermit { permit: one, incarnation: 1 });
    fleet.availabilities[0].1 = 4;
    assert_eq!(fleet.observe().2, []);
    let newer = DisruptionCommand::RecordObservation {
        fencing_token: 9,
        known_revision: fleet.index,
        changed: fleet.targets(),
        removed: vec![],
    };
    fleet.apply(newer);
    let old = DisruptionCommand::RecordObservation {
        fencing_token: 8,
        known_revision: fleet.index,
        changed: fleet.targets(),
        removed: vec![],
    };
    assert_eq!(fleet.apply(old), DisruptionOutcome::Rejected(Rejection::StaleObserver { newest_token: 9 }));
}

#[test]
fn force_goes_beyond_and_is_counted_as_out() {
    let mut fleet = Fleet::new(4, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let (one, two) = (fleet.ask("d0", false), fleet.ask("d1", false));
    assert_eq!(fleet.observe().0, [one]);
    assert_eq!(fleet.ask("d1", true), two, "the same permit, now granted");
    assert_eq!(fleet.state.permits()[&two].state, PermitState::Granted);
    assert_eq!(fleet.state.forced().count, 1);
    // What was granted within the budget and not begun makes room.
    assert_eq!(fleet.observe().1, [one]);
    assert_eq!(fleet.state.budget_usage()[0].2.planned, 1_000);
}

/// A large fleet may change all at once: those that are known count once.
#[test]
fn bounds_are_on_what_is_new_and_on_texts() {
    let mut fleet = Fleet::new(3_000, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    fleet.observe();
    fleet.availabilities.fill((Availability::Unavailable, 1));
    fleet.observe();
    fleet.availabilities.resize(4_097, (Availability::Available, 1));
    let full = DisruptionCommand::RecordObservation {
        fencing_token: 1,
        known_revision: fleet.index,
        changed: fleet.targets(),
        removed: vec![],
    };
    assert!(matches!(fleet.apply(full), DisruptionOutcome::Rejected(Rejection::LimitExceeded(_))));
    let long = TargetStatus { zone: "z".repeat(300), ..fleet.targets().remove(0) };
    let long = DisruptionCommand::RecordObservation {
        fencing_token: 1,
        known_revision: fleet.index,
        changed: vec![long],
        removed: vec![],
    };
    assert!(matches!(fleet.apply(long), DisruptionOutcome::Rejected(Rejection::LimitExceeded(_))));
}

#[test]
fn operators_that_saw_an_older_version_are_told_so() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let (version, _) = fleet.state.budgets();
    let budgets = vec![budget(BudgetScope::Fleet, Amount::Count(2))];
    assert_eq!(
        fleet.apply(DisruptionCommand::SetBudgets { expected_version: version, budgets: budgets.clone() }),
        DisruptionOutcome::Applied
    );
    let refused = fleet.apply(DisruptionCommand::SetBudgets { expected_version: version, budgets });
    assert_eq!(refused, DisruptionOutcome::Rejected(Rejection::VersionConflict { version: 2 }));
    // Lowered under what is granted: what was not begun is taken back.
    let asked = [fleet.ask("d0", false), fleet.ask("d1", false)];
    assert_eq!(fleet.observe().0, asked);
    let budgets = vec![budget(BudgetScope::Fleet, Amount::Count(1))];
    fleet.apply(DisruptionCommand::SetBudgets { expected_version: 2, budgets });
    assert_eq!(fleet.observe().1, [asked[1]]);
}

#[test]
fn a_budget_that_cannot_be_met_or_lets_the_last_one_go_is_wrong() {
    let with = |max_unavailable, min_available| Budget {
        max_unavailable,
        min_available,
        ..budget(BudgetScope::Fleet, Amount::Count(1))
    };
    for (most, least, key) in [
        (Some(Amount::Count(0)), None, "most_out"),
        (Some(Amount::Percent(100)), None, "most_out"),
        (None, Some(Amount::Percent(100)), "least_in"),
        (None, Some(Amount::Count(0)), "least_in"),
        (None, None, "most_out"),
    ] {
        assert_eq!(with(most, least).validate().unwrap_err().key, key);
    }
    let tenth = with(Some(Amount::Percent(10)), None);
    assert_eq!(tenth.validate(), Ok(()));
    assert_eq!(tenth.validate_for(9).unwrap_err().key, "most_out", "rounded down it is none of 9");
    assert_eq!(tenth.validate_for(10), Ok(()));
    let most = with(None, Some(Amount::Percent(90)));
    assert_eq!(most.validate_for(5).unwrap_err().key, "least_in", "rounded up it is all of 5");
    assert_eq!(most.validate_for(20), Ok(()));
}
