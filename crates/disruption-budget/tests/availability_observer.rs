//! Availability of dispatchers, derived from their readiness reports and from missing reports.

use disruption_budget::{
    Availability, AvailabilityObserver, DispatcherMember, DisruptionCommand, DisruptionState,
    ReadinessReport, StatusChanges, Target, TargetKind,
};

const NORTH: &str = "north";

fn report(name: &str, incarnation: u64, ready: bool) -> ReadinessReport {
    ReadinessReport { name: name.into(), zone: NORTH.into(), incarnation, ready }
}

#[test]
fn dispatcher_without_a_report_is_unavailable_once_it_had_time_to_report() {
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
    assert_eq!(
        observer.status_changes(1_260, &members, &state),
        unchanged,
        "no status differs from the registered one"
    );
    // Dispatcher "a" has left the list of members and its report has expired, and "b" reports from standby. Both count
    // as unavailable.
    observer.record_report(report("b", 1, false), 1_300);
    let changed = observer.status_changes(1_360, &members[1..], &state).unwrap().changed;
    assert_eq!(changed.len(), 2);
    assert!(changed.iter().all(|status| status.availability == Availability::Unavailable));
}

/// Returns an observer and the state after dispatcher "b", which never reported, was registered as unavailable and then
/// deregistered. The list of members still contains "b".
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

/// Records a report of dispatcher "a", so that it is available, and returns the names and availabilities that the next
/// observation would change.
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

/// Regression test: an operator deregistered a lost dispatcher that the observer's list of members still contained. The
/// next observation registered it again as unavailable, permanently, because an observation removes no dispatcher.
#[test]
fn deregistered_dispatcher_stays_unregistered_while_it_is_still_listed() {
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

/// Dispatcher "b" leaves the list of members, is listed again and does not report, so it counts as unavailable again.
#[test]
fn deregistered_dispatcher_counts_again_once_it_left_the_list_and_is_listed_again() {
    let (mut observer, state) = observer_after_deregistration();
    assert_eq!(changes(&mut observer, &LISTED, &state, 1_310), []);
    assert_eq!(changes(&mut observer, &LISTED[..1], &state, 1_320), []);
    let expected = [("b".to_owned(), Availability::Unavailable)];
    assert_eq!(changes(&mut observer, &LISTED, &state, 1_330), expected);
}

/// A report that was received before the deregistration does not count after it.
#[test]
fn report_from_before_the_deregistration_does_not_register_the_dispatcher_again() {
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
