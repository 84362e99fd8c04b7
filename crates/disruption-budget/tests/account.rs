//! The account of who is out, change by change.

use disruption_budget::{
    Account, Amount, Budget, Change, Condition, Cover, Kind, Observed, Outcome, Refusal, State, Target,
};

fn target(name: &str) -> Target {
    Target { kind: Kind::Dispatcher, name: name.into() }
}

fn budget(cover: Cover, most_out: Amount) -> Budget {
    Budget { name: "b".into(), kind: Kind::Dispatcher, cover, most_out: Some(most_out), least_in: None }
}

/// Dispatchers d0, d1 and on, in three zones in turn, and the log that they are in.
struct Fleet {
    account: Account,
    index: u64,
    conditions: Vec<(Condition, u64)>,
}

impl Fleet {
    fn new(count: usize, budgets: Vec<Budget>) -> Fleet {
        let conditions = vec![(Condition::In, 1); count];
        let mut fleet = Fleet { account: Account::default(), index: 0, conditions };
        assert_eq!(fleet.apply(Change::Budgets { seen: 0, budgets }), Outcome::Done);
        fleet
    }

    fn apply(&mut self, change: Change) -> Outcome {
        self.index += 1;
        self.account.apply(self.index, &change)
    }

    fn ask(&mut self, name: &str, force: bool) -> u64 {
        let (reason, asker) = ("test".into(), format!("asker of {name}"));
        match self.apply(Change::Ask { target: target(name), reason, asker, force }) {
            Outcome::Asked(id, _) => id,
            other => panic!("{other:?}"),
        }
    }

    fn targets(&self) -> Vec<Observed> {
        let one = |(n, (condition, incarnation)): (usize, &(Condition, u64))| Observed {
            target: target(&format!("d{n}")),
            zone: ["north", "south", "west"][n % 3].into(),
            pool: String::new(),
            condition: *condition,
            incarnation: *incarnation,
        };
        self.conditions.iter().enumerate().map(one).collect()
    }

    /// Granted, called back, proven.
    fn observe(&mut self) -> (Vec<u64>, Vec<u64>, Vec<u64>) {
        let change = Change::Observe { token: 1, seen: self.index, targets: self.targets(), gone: vec![] };
        match self.apply(change) {
            Outcome::Observed { granted, called_back, proven } => (granted, called_back, proven),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn permits_go_in_order_as_far_as_every_budget_allows() {
    let budgets = vec![budget(Cover::Fleet, Amount::Count(2)), budget(Cover::EachZone, Amount::Count(1))];
    let mut fleet = Fleet::new(12, budgets);
    let asked: Vec<u64> = ["d0", "d3", "d1", "d2"].map(|name| fleet.ask(name, false)).into();
    // d3 is in the zone of d0, so the place of the fleet goes to d1; d2 finds none.
    assert_eq!(fleet.observe().0, [asked[0], asked[2]]);
    assert_eq!(fleet.account.held_by(asked[1]).unwrap().cover, Cover::Fleet);
    assert_eq!(fleet.apply(Change::Begin { permit: asked[0], incarnation: 1 }), Outcome::Begun(asked[0]));
    fleet.conditions[0] = (Condition::Out, 1);
    assert_eq!(fleet.observe(), (vec![], vec![], vec![]));
    // In again, as a later process: proven, and the next of the zone gets its turn.
    fleet.conditions[0] = (Condition::In, 2);
    assert_eq!(fleet.observe(), (vec![asked[1]], vec![], vec![asked[0]]));
}

#[test]
fn nothing_is_granted_by_what_was_seen_before_it_was_asked_for() {
    let mut fleet = Fleet::new(3, vec![budget(Cover::Fleet, Amount::Count(1))]);
    let (seen, targets) = (fleet.index, fleet.targets());
    let id = fleet.ask("d0", false);
    let late = Change::Observe { token: 1, seen, targets, gone: vec![] };
    let nothing = Outcome::Observed { granted: vec![], called_back: vec![], proven: vec![] };
    assert_eq!(fleet.apply(late), nothing);
    assert_eq!(fleet.observe().0, [id]);
}

#[test]
fn unplanned_losses_use_the_budget_up_and_call_back_what_was_not_begun() {
    let mut fleet = Fleet::new(6, vec![budget(Cover::Fleet, Amount::Count(2))]);
    let (one, two) = (fleet.ask("d0", false), fleet.ask("d1", false));
    assert_eq!(fleet.observe().0, [one, two]);
    assert_eq!(fleet.apply(Change::Begin { permit: one, incarnation: 1 }), Outcome::Begun(one));
    fleet.conditions[5] = (Condition::Out, 1);
    assert_eq!(fleet.observe(), (vec![], vec![two], vec![]));
    // Whoever had it in hand is refused now, and gets it again when there is room.
    assert_eq!(
        fleet.apply(Change::Begin { permit: two, incarnation: 1 }),
        Outcome::Refused(Refusal::NotGranted)
    );
    // One that warms up counts by what it lacks.
    fleet.conditions[5] = (Condition::Warming(900), 2);
    assert_eq!(fleet.observe().0, []);
    fleet.conditions[5] = (Condition::In, 2);
    assert_eq!(fleet.observe().0, [two]);
}

#[test]
fn a_begun_permit_is_not_over_because_its_target_is_still_in() {
    let mut fleet = Fleet::new(3, vec![budget(Cover::Fleet, Amount::Count(1))]);
    let (one, two) = (fleet.ask("d0", false), fleet.ask("d1", false));
    fleet.observe();
    fleet.apply(Change::Begin { permit: one, incarnation: 1 });
    // Whoever began it sleeps: the target is in, and out only later.
    assert_eq!(fleet.observe(), (vec![], vec![], vec![]));
    assert_eq!(fleet.apply(Change::Void { permit: one }), Outcome::Refused(Refusal::WasBegun));
    // It was done, says the asker; from an observation made after that on it is over.
    let (seen, targets) = (fleet.index, fleet.targets());
    assert_eq!(fleet.apply(Change::Done { permit: one }), Outcome::Done);
    let before = fleet.apply(Change::Observe { token: 1, seen, targets, gone: vec![] });
    assert_eq!(before, Outcome::Observed { granted: vec![], called_back: vec![], proven: vec![] });
    assert_eq!(fleet.observe(), (vec![two], vec![], vec![one]));
}

/// Found by the model: an asker that begins anew is told of its old permit, and must not use it for a second step.
#[test]
fn a_permit_is_good_for_one_step() {
    let mut fleet = Fleet::new(3, vec![budget(Cover::Fleet, Amount::Count(1))]);
    let one = fleet.ask("d0", false);
    fleet.observe();
    let begin = |incarnation| Change::Begin { permit: one, incarnation };
    assert_eq!(fleet.apply(begin(1)), Outcome::Begun(one));
    assert_eq!(fleet.apply(begin(1)), Outcome::Begun(one), "the first answer may have been lost");
    assert_eq!(fleet.ask("d0", false), one);
    assert_eq!(fleet.apply(begin(2)), Outcome::Refused(Refusal::NoPermit), "it came back since");
    fleet.apply(Change::Done { permit: one });
    assert_eq!(fleet.apply(begin(1)), Outcome::Refused(Refusal::NoPermit));
}

#[test]
fn a_target_that_vanishes_while_it_is_out_counts_until_it_is_struck_off() {
    let mut fleet = Fleet::new(4, vec![budget(Cover::EachZone, Amount::Count(1))]);
    let (one, two) = (fleet.ask("d3", false), fleet.ask("d0", false));
    assert_eq!(fleet.observe().0, [one], "both are in the north");
    fleet.apply(Change::Begin { permit: one, incarnation: 1 });
    fleet.conditions.pop();
    let vanished = Change::Observe { token: 1, seen: fleet.index, targets: vec![], gone: vec![target("d3")] };
    let nothing = Outcome::Observed { granted: vec![], called_back: vec![], proven: vec![] };
    assert_eq!(fleet.apply(vanished), nothing);
    assert_eq!(fleet.observe().0, [], "nor later");
    let strike = Change::Strike { target: target("d3"), by: "an operator".into() };
    assert_eq!(fleet.apply(strike.clone()), Outcome::Done);
    assert_eq!(fleet.apply(strike), Outcome::Refused(Refusal::NoTarget));
    // d0 alone is left in the north: whatever the budget says, the last one does not go.
    assert_eq!(fleet.observe().0, []);
    fleet.conditions.push((Condition::In, 7));
    assert_eq!(fleet.observe().0, [two]);
}

#[test]
fn an_older_process_proves_nothing_and_an_older_observer_changes_nothing() {
    let mut fleet = Fleet::new(3, vec![budget(Cover::Fleet, Amount::Count(1))]);
    fleet.conditions[0].1 = 5;
    let one = fleet.ask("d0", false);
    fleet.observe();
    fleet.apply(Change::Begin { permit: one, incarnation: 1 });
    fleet.conditions[0].1 = 4;
    assert_eq!(fleet.observe().2, []);
    let newer = Change::Observe { token: 9, seen: fleet.index, targets: fleet.targets(), gone: vec![] };
    fleet.apply(newer);
    let old = Change::Observe { token: 8, seen: fleet.index, targets: fleet.targets(), gone: vec![] };
    assert_eq!(fleet.apply(old), Outcome::Refused(Refusal::OldTerm { newest: 9 }));
}

#[test]
fn force_goes_beyond_and_is_counted_as_out() {
    let mut fleet = Fleet::new(4, vec![budget(Cover::Fleet, Amount::Count(1))]);
    let (one, two) = (fleet.ask("d0", false), fleet.ask("d1", false));
    assert_eq!(fleet.observe().0, [one]);
    assert_eq!(fleet.ask("d1", true), two, "the same permit, now granted");
    assert_eq!(fleet.account.permits()[&two].state, State::Granted);
    assert_eq!(fleet.account.forced().count, 1);
    // What was granted within the budget and not begun makes room.
    assert_eq!(fleet.observe().1, [one]);
    assert_eq!(fleet.account.sums()[0].2.by_plan, 1_000);
}

/// A large fleet may change all at once: those that are known count once.
#[test]
fn bounds_are_on_what_is_new_and_on_texts() {
    let mut fleet = Fleet::new(3_000, vec![budget(Cover::Fleet, Amount::Count(1))]);
    fleet.observe();
    fleet.conditions.fill((Condition::Out, 1));
    fleet.observe();
    fleet.conditions.resize(4_097, (Condition::In, 1));
    let full = Change::Observe { token: 1, seen: fleet.index, targets: fleet.targets(), gone: vec![] };
    assert!(matches!(fleet.apply(full), Outcome::Refused(Refusal::Full(_))));
    let long = Observed { zone: "z".repeat(300), ..fleet.targets().remove(0) };
    let long = Change::Observe { token: 1, seen: fleet.index, targets: vec![long], gone: vec![] };
    assert!(matches!(fleet.apply(long), Outcome::Refused(Refusal::Full(_))));
}

#[test]
fn operators_that_saw_an_older_version_are_told_so() {
    let mut fleet = Fleet::new(3, vec![budget(Cover::Fleet, Amount::Count(1))]);
    let (version, _) = fleet.account.budgets();
    let budgets = vec![budget(Cover::Fleet, Amount::Count(2))];
    assert_eq!(fleet.apply(Change::Budgets { seen: version, budgets: budgets.clone() }), Outcome::Done);
    let refused = fleet.apply(Change::Budgets { seen: version, budgets });
    assert_eq!(refused, Outcome::Refused(Refusal::Conflict { version: 2 }));
    // Lowered under what is granted: what was not begun is taken back.
    let asked = [fleet.ask("d0", false), fleet.ask("d1", false)];
    assert_eq!(fleet.observe().0, asked);
    let budgets = vec![budget(Cover::Fleet, Amount::Count(1))];
    fleet.apply(Change::Budgets { seen: 2, budgets });
    assert_eq!(fleet.observe().1, [asked[1]]);
}

#[test]
fn a_budget_that_cannot_be_met_or_lets_the_last_one_go_is_wrong() {
    let with = |most_out, least_in| Budget { most_out, least_in, ..budget(Cover::Fleet, Amount::Count(1)) };
    for (most, least, key) in [
        (Some(Amount::Count(0)), None, "most_out"),
        (Some(Amount::Percent(100)), None, "most_out"),
        (None, Some(Amount::Percent(100)), "least_in"),
        (None, Some(Amount::Count(0)), "least_in"),
        (None, None, "most_out"),
    ] {
        assert_eq!(with(most, least).check().unwrap_err().key, key);
    }
    let tenth = with(Some(Amount::Percent(10)), None);
    assert_eq!(tenth.check(), Ok(()));
    assert_eq!(tenth.fits(9).unwrap_err().key, "most_out", "rounded down it is none of 9");
    assert_eq!(tenth.fits(10), Ok(()));
    let most = with(None, Some(Amount::Percent(90)));
    assert_eq!(most.fits(5).unwrap_err().key, "least_in", "rounded up it is all of 5");
    assert_eq!(most.fits(20), Ok(()));
}
