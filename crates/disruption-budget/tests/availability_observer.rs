//! Dispatchers' availability, from their readiness reports and their silence.

use disruption_budget::{
    Availability, AvailabilityObserver, DisruptionCommand, DisruptionState, FleetMember, ReadinessReport,
    StatusChanges,
};

const NORTH: &str = "north";

fn report(name: &str, incarnation: u64, ready: bool) -> ReadinessReport {
    ReadinessReport { name: name.into(), zone: NORTH.into(), incarnation, ready }
}

#[test]
fn silent_dispatcher_is_unavailable_once_it_had_time_to_report() {
    let (mut observer, mut state) = (AvailabilityObserver::new(100, 1_000), DisruptionState::default());
    let members = ["a", "b"].map(|name| FleetMember { name, zone: NORTH });
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
