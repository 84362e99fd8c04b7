//! Dispatchers' availability, from their readiness reports and their silence.

use disruption_budget::{
    Availability, AvailabilityObserver, DispatcherMember, DisruptionCommand, DisruptionState,
    ReadinessReport, StatusChanges, Target, TargetKind,
};

const NORTH: &str = "north";

fn report(name: &str, incarnation: u64, ready: bool) -> ReadinessReport {
    ReadinessReport { name: name.into(), zone: NORTH.into(), incarnation, ready }
}

#[test]
fn silent_dispatcher_is_unavailable_once_it_had_time_to_report() {
    let mut observer = AvailabilityObserver::new(100, 1_000);
    let mut state = DisruptionState::default();
    let members = ["a", "b"].map(|name| DispatcherMember { name, zone: NORTH });
    observer.record_report(report("a", 7, true), 1_010);
    assert_eq!(observer.status_changes(1_199, &members, &state), None);
    observer.record_report(report("a", 7, true), 1_150);
    let StatusChanges { changed, removed } = observer.status_changes(1_200, &members, &state).unwrap();
    let observed: Vec<_> = changed.iter().map(|status| (status.availability, status.incarnation)).collect();
    assert_eq!(observed, [(Availability::Available, 7), (Availability::Unavailable, 0)]);
    let observation =
        DisruptionCommand::RecordObservation { fencing_token: 1, known_revision: 0, changed, removed };
    state.apply(1, &observation);
    observer.record_report(report("a", 7, true), 1_250);
    let unchanged = Some(StatusChanges::default());
    assert_eq!(observer.status_changes(1_260, &members, &state), unchanged, "as the state has it");
    // One that left the list of members still counts, and one in standby is unavailable.
    observer.record_report(report("b", 1, false), 1_300);
    let changed = observer.status_changes(1_360, &members[1..], &state).unwrap().changed;
    assert_eq!(changed.len(), 2);
    assert!(changed.iter().all(|status| status.availability == Availability::Unavailable));
}

/// An observer whose dispatcher "b" is lost, counted as unavailable and then deregistered, while the list of members
/// still has it.
fn observer_after_deregistration() -> (AvailabilityObserver, DisruptionState) {
    let mut observer = AvailabilityObserver::new(100, 1_000);
    let mut state = DisruptionState::default();
    observer.record_report(report("a", 7, true), 1_250);
    let StatusChanges { changed, removed } = observer.status_changes(1_250, &LISTED, &state).unwrap();
    state.apply(
        1,
        &DisruptionCommand::RecordObservation { fencing_token: 1, known_revision: 0, changed, removed },
    );
    observer.record_report(report("a", 7, true), 1_300);
    assert_eq!(observer.status_changes(1_300, &LISTED, &state), Some(StatusChanges::default()));
    let target = Target { kind: TargetKind::Dispatcher, name: "b".into() };
    state.apply(2, &DisruptionCommand::DeregisterTarget { target, operator: "test".into() });
    (observer, state)
}

const LISTED: [DispatcherMember<'static>; 2] =
    [DispatcherMember { name: "a", zone: NORTH }, DispatcherMember { name: "b", zone: NORTH }];

/// The names and availabilities that an observer would change, with a report of "a" that is never too old.
fn changes(
    observer: &mut AvailabilityObserver,
    members: &[DispatcherMember<'_>],
    state: &DisruptionState,
    now: u64,
) -> Vec<(String, Availability)> {
    observer.record_report(report("a", 7, true), now);
    let changed = observer.status_changes(now, members, state).unwrap().changed;
    changed.into_iter().map(|status| (status.target.name, status.availability)).collect()
}

/// Regression test: an operator deregistered a lost dispatcher that the observer's list of members still had, and the
/// next observation registered it again as unavailable, permanently, since an observation removes no dispatcher.
#[test]
fn deregistered_dispatcher_stays_unknown_though_it_is_still_listed() {
    let (mut observer, state) = observer_after_deregistration();
    for now in [1_310, 1_400, 1_600] {
        assert_eq!(changes(&mut observer, &LISTED, &state, now), []);
    }
}

#[test]
fn deregistered_dispatcher_counts_again_once_it_reports() {
    let (mut observer, state) = observer_after_deregistration();
    assert_eq!(changes(&mut observer, &LISTED, &state, 1_310), []);
    observer.record_report(report("b", 3, true), 1_320);
    let expected = [("b".to_owned(), Availability::Available)];
    assert_eq!(changes(&mut observer, &LISTED, &state, 1_330), expected);
}

/// The dispatcher's next process has joined and does not report: that is a loss again.
#[test]
fn deregistered_dispatcher_counts_again_once_it_is_listed_anew() {
    let (mut observer, state) = observer_after_deregistration();
    assert_eq!(changes(&mut observer, &LISTED, &state, 1_310), []);
    assert_eq!(changes(&mut observer, &LISTED[..1], &state, 1_320), []);
    let expected = [("b".to_owned(), Availability::Unavailable)];
    assert_eq!(changes(&mut observer, &LISTED, &state, 1_330), expected);
}

/// A report from before the deregistration proves nothing after it.
#[test]
fn report_from_before_the_deregistration_does_not_bring_a_dispatcher_back() {
    let mut observer = AvailabilityObserver::new(100, 1_000);
    let mut state = DisruptionState::default();
    for name in ["a", "b"] {
        observer.record_report(report(name, 7, true), 1_250);
    }
    let StatusChanges { changed, removed } = observer.status_changes(1_250, &LISTED, &state).unwrap();
    state.apply(
        1,
        &DisruptionCommand::RecordObservation { fencing_token: 1, known_revision: 0, changed, removed },
    );
    assert_eq!(changes(&mut observer, &LISTED, &state, 1_260), []);
    let target = Target { kind: TargetKind::Dispatcher, name: "b".into() };
    state.apply(2, &DisruptionCommand::DeregisterTarget { target, operator: "test".into() });
    assert_eq!(changes(&mut observer, &LISTED, &state, 1_270), []);
}
