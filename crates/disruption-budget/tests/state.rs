//! Effects of commands on the disruption state.

use disruption_budget::{
    Amount, Availability, Budget, BudgetScope, DisruptionCommand, DisruptionOutcome, DisruptionState,
    PermitId, PermitState, Rejection, Target, TargetKind, TargetStatus,
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

fn observation(
    fencing_token: u64,
    known_revision: u64,
    changed: Vec<TargetStatus>,
    removed: Vec<Target>,
) -> DisruptionCommand {
    DisruptionCommand::RecordObservation { fencing_token, known_revision, changed, removed }
}

fn no_effect() -> DisruptionOutcome {
    DisruptionOutcome::ObservationRecorded { granted: vec![], revoked: vec![], closed: vec![] }
}

fn rejected(rejection: Rejection) -> DisruptionOutcome {
    DisruptionOutcome::Rejected(rejection)
}

fn begin(permit: PermitId, incarnation: u64) -> DisruptionCommand {
    DisruptionCommand::BeginPermit { permit, incarnation }
}

/// Permits that an observation changed.
#[derive(Debug, Default, PartialEq, Eq)]
struct PermitChanges {
    granted: Vec<PermitId>,
    revoked: Vec<PermitId>,
    closed: Vec<PermitId>,
}

/// Dispatchers d0, d1 and so on, assigned to three zones in turn, with the disruption state and the position of the
/// last entry of its log.
struct Fleet {
    state: DisruptionState,
    index: u64,
    /// Availability and incarnation of each dispatcher.
    availabilities: Vec<(Availability, u64)>,
}

impl Fleet {
    fn new(count: usize, budgets: Vec<Budget>) -> Fleet {
        let availabilities = vec![(Availability::Available, 1); count];
        let mut fleet = Fleet { state: DisruptionState::default(), index: 0, availabilities };
        assert_eq!(
            fleet.apply(&DisruptionCommand::SetBudgets { expected_version: 0, budgets }),
            DisruptionOutcome::Applied
        );
        fleet
    }

    fn apply(&mut self, command: &DisruptionCommand) -> DisruptionOutcome {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    fn request(&mut self, name: &str, force: bool) -> u64 {
        let reason = "test".into();
        let requester = format!("requester of {name}");
        match self.apply(&DisruptionCommand::RequestPermit { target: target(name), reason, requester, force })
        {
            DisruptionOutcome::PermitRequested { permit, .. } => permit,
            other => panic!("{other:?}"),
        }
    }

    fn targets(&self) -> Vec<TargetStatus> {
        let status = |(n, (availability, incarnation)): (usize, &(Availability, u64))| TargetStatus {
            target: target(&format!("d{n}")),
            zone: ["north", "south", "west"][n % 3].into(),
            pool: String::new(),
            availability: *availability,
            incarnation: *incarnation,
        };
        self.availabilities.iter().enumerate().map(status).collect()
    }

    /// Records an observation of all targets, made after the last log entry.
    fn observe(&mut self) -> PermitChanges {
        let change = observation(1, self.index, self.targets(), vec![]);
        match self.apply(&change) {
            DisruptionOutcome::ObservationRecorded { granted, revoked, closed } => {
                PermitChanges { granted, revoked, closed }
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn grants_in_order_as_far_as_every_budget_allows() {
    let budgets =
        vec![budget(BudgetScope::Fleet, Amount::Count(2)), budget(BudgetScope::EachZone, Amount::Count(1))];
    let mut fleet = Fleet::new(12, budgets);
    let permits: Vec<u64> = ["d0", "d3", "d1", "d2"].map(|name| fleet.request(name, false)).into();
    // d0 and d3 are in zone north, whose budget allows one of them: d0, which was requested first. The fleet's budget
    // allows two disruptions, those of d0 and d1, so d2 must wait.
    assert_eq!(fleet.observe().granted, [permits[0], permits[2]]);
    assert_eq!(fleet.state.blocking_budget(permits[1]).unwrap().scope, BudgetScope::Fleet);
    assert_eq!(fleet.apply(&begin(permits[0], 1)), DisruptionOutcome::PermitBegun(permits[0]));
    fleet.availabilities[0] = (Availability::Unavailable, 1);
    assert_eq!(fleet.observe(), PermitChanges::default());
    // d0 is available again with a higher incarnation, so its permit is closed. Both budgets then allow d3, whose
    // permit was requested before that of d2.
    fleet.availabilities[0] = (Availability::Available, 2);
    assert_eq!(
        fleet.observe(),
        PermitChanges { granted: vec![permits[1]], revoked: vec![], closed: vec![permits[0]] }
    );
}

#[test]
fn ignores_observations_made_before_the_request() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let known_revision = fleet.index;
    let targets = fleet.targets();
    let permit = fleet.request("d0", false);
    let late = observation(1, known_revision, targets, vec![]);
    assert_eq!(fleet.apply(&late), no_effect());
    assert_eq!(fleet.observe().granted, [permit]);
}

#[test]
fn revokes_granted_permits_on_unplanned_losses() {
    let mut fleet = Fleet::new(6, vec![budget(BudgetScope::Fleet, Amount::Count(2))]);
    let first = fleet.request("d0", false);
    let second = fleet.request("d1", false);
    assert_eq!(fleet.observe().granted, [first, second]);
    assert_eq!(fleet.apply(&begin(first, 1)), DisruptionOutcome::PermitBegun(first));
    fleet.availabilities[5] = (Availability::Unavailable, 1);
    assert_eq!(fleet.observe(), PermitChanges { revoked: vec![second], ..PermitChanges::default() });
    // The requester cannot begin the revoked permit. The permit is granted again once the budget allows it.
    assert_eq!(fleet.apply(&begin(second, 1)), rejected(Rejection::NotGranted));
    // A target that warms up counts as unavailable by the capacity that it lacks.
    fleet.availabilities[5] = (Availability::WarmingUp(900), 2);
    assert_eq!(fleet.observe().granted, []);
    fleet.availabilities[5] = (Availability::Available, 2);
    assert_eq!(fleet.observe().granted, [second]);
}

#[test]
fn keeps_begun_permit_while_its_target_has_not_restarted() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let first = fleet.request("d0", false);
    let second = fleet.request("d1", false);
    fleet.observe();
    fleet.apply(&begin(first, 1));
    // The requester is paused before it acts, so the target is still available. The permit must stay open.
    assert_eq!(fleet.observe(), PermitChanges::default());
    assert_eq!(
        fleet.apply(&DisruptionCommand::CancelPermit { permit: first }),
        rejected(Rejection::AlreadyBegun)
    );
    // The requester reports that the disruption is complete. An observation made before the report must not close the
    // permit; the next one closes it.
    let known_revision = fleet.index;
    let targets = fleet.targets();
    assert_eq!(fleet.apply(&DisruptionCommand::CompletePermit { permit: first }), DisruptionOutcome::Applied);
    let before = fleet.apply(&observation(1, known_revision, targets, vec![]));
    assert_eq!(before, no_effect());
    assert_eq!(
        fleet.observe(),
        PermitChanges { granted: vec![second], revoked: vec![], closed: vec![first] }
    );
}

/// Regression test for a fault that the model check found: a requester that restarts and repeats its request receives
/// its old permit, and must not be able to use it for a second disruption.
#[test]
fn rejects_second_disruption_with_one_permit() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let first = fleet.request("d0", false);
    fleet.observe();
    assert_eq!(fleet.apply(&begin(first, 1)), DisruptionOutcome::PermitBegun(first));
    assert_eq!(
        fleet.apply(&begin(first, 1)),
        DisruptionOutcome::PermitBegun(first),
        "the first response may have been lost"
    );
    assert_eq!(fleet.request("d0", false), first);
    assert_eq!(
        fleet.apply(&begin(first, 2)),
        rejected(Rejection::UnknownPermit),
        "the target has restarted since"
    );
    fleet.apply(&DisruptionCommand::CompletePermit { permit: first });
    assert_eq!(fleet.apply(&begin(first, 1)), rejected(Rejection::UnknownPermit));
}

#[test]
fn counts_unlisted_target_until_it_is_deregistered() {
    let mut fleet = Fleet::new(4, vec![budget(BudgetScope::EachZone, Amount::Count(1))]);
    let first = fleet.request("d3", false);
    let second = fleet.request("d0", false);
    assert_eq!(fleet.observe().granted, [first], "both targets are in zone north");
    fleet.apply(&begin(first, 1));
    fleet.availabilities.pop();
    let unlisted = observation(1, fleet.index, vec![], vec![target("d3")]);
    assert_eq!(fleet.apply(&unlisted), no_effect());
    assert_eq!(fleet.observe().granted, [], "the target still counts as unavailable");
    let deregister =
        DisruptionCommand::DeregisterTarget { target: target("d3"), operator: "an operator".into() };
    assert_eq!(fleet.apply(&deregister), DisruptionOutcome::Applied);
    assert_eq!(fleet.apply(&deregister), rejected(Rejection::UnknownTarget));
    // d0 is the only target left in zone north. Every budget requires at least one available target in a group.
    assert_eq!(fleet.observe().granted, []);
    fleet.availabilities.push((Availability::Available, 7));
    assert_eq!(fleet.observe().granted, [second]);
}

#[test]
fn rejects_older_incarnations_and_older_observers() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    fleet.availabilities[0].1 = 5;
    let first = fleet.request("d0", false);
    fleet.observe();
    fleet.apply(&begin(first, 1));
    fleet.availabilities[0].1 = 4;
    assert_eq!(fleet.observe().closed, []);
    let newer = observation(9, fleet.index, fleet.targets(), vec![]);
    fleet.apply(&newer);
    let older = observation(8, fleet.index, fleet.targets(), vec![]);
    assert_eq!(fleet.apply(&older), rejected(Rejection::StaleObserver { newest_token: 9 }));
}

#[test]
fn forced_permit_exceeds_budgets_and_counts_as_unavailable() {
    let mut fleet = Fleet::new(4, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let first = fleet.request("d0", false);
    let second = fleet.request("d1", false);
    assert_eq!(fleet.observe().granted, [first]);
    assert_eq!(fleet.request("d1", true), second, "the same permit, now granted");
    assert_eq!(fleet.state.permits()[&second].state, PermitState::Granted);
    assert_eq!(fleet.state.forced().count, 1);
    // The forced permit uses up the budget, so the permit that was granted and not begun is revoked.
    assert_eq!(fleet.observe().revoked, [first]);
    assert_eq!(fleet.state.budget_usage()[0].totals.planned, 1_000);
}

/// All targets of a large fleet may change at once, because registered targets do not count as new.
#[test]
fn limits_new_targets_and_text_lengths() {
    let mut fleet = Fleet::new(3_000, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    fleet.observe();
    fleet.availabilities.fill((Availability::Unavailable, 1));
    fleet.observe();
    fleet.availabilities.resize(4_097, (Availability::Available, 1));
    let full = observation(1, fleet.index, fleet.targets(), vec![]);
    assert!(matches!(fleet.apply(&full), DisruptionOutcome::Rejected(Rejection::LimitExceeded(_))));
    let long = TargetStatus { zone: "z".repeat(300), ..fleet.targets().remove(0) };
    let long = observation(1, fleet.index, vec![long], vec![]);
    assert!(matches!(fleet.apply(&long), DisruptionOutcome::Rejected(Rejection::LimitExceeded(_))));
}

#[test]
fn rejects_budgets_of_an_older_version() {
    let mut fleet = Fleet::new(3, vec![budget(BudgetScope::Fleet, Amount::Count(1))]);
    let version = fleet.state.budgets_version();
    let budgets = vec![budget(BudgetScope::Fleet, Amount::Count(2))];
    assert_eq!(
        fleet.apply(&DisruptionCommand::SetBudgets { expected_version: version, budgets: budgets.clone() }),
        DisruptionOutcome::Applied
    );
    let outcome = fleet.apply(&DisruptionCommand::SetBudgets { expected_version: version, budgets });
    assert_eq!(outcome, rejected(Rejection::VersionConflict { version: 2 }));
    // A budget below the number of granted permits revokes the newest permit that was not begun.
    let permits = [fleet.request("d0", false), fleet.request("d1", false)];
    assert_eq!(fleet.observe().granted, permits);
    let budgets = vec![budget(BudgetScope::Fleet, Amount::Count(1))];
    fleet.apply(&DisruptionCommand::SetBudgets { expected_version: 2, budgets });
    assert_eq!(fleet.observe().revoked, [permits[1]]);
}

#[test]
fn rejects_budgets_that_allow_no_disruption_or_that_of_all_targets() {
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
    assert_eq!(
        tenth.validate_for(9).unwrap_err().key,
        "most_out",
        "10 % of 9 targets is rounded down to none"
    );
    assert_eq!(tenth.validate_for(10), Ok(()));
    let nine_tenths = with(None, Some(Amount::Percent(90)));
    assert_eq!(
        nine_tenths.validate_for(5).unwrap_err().key,
        "least_in",
        "90 % of 5 targets is rounded up to all"
    );
    assert_eq!(nine_tenths.validate_for(20), Ok(()));
}
