//! Availability of workers, derived from the endpoint list, health checks and the time since each worker's start.

use disruption_budget::{
    Availability, DisruptionCommand, DisruptionState, StatusChanges, Target, TargetKind, WarmupTracker,
    WorkerEndpoint,
};

fn worker(in_service: bool, start_id: u64, unhealthy: bool) -> WorkerEndpoint {
    let name = "w".to_owned();
    let zone = "north".to_owned();
    let pool = "small".to_owned();
    WorkerEndpoint { name, zone, pool, in_service, start_id, unhealthy }
}

#[test]
fn restarted_worker_warms_up_by_the_observers_own_clock() {
    let mut tracker = WarmupTracker::new(0.2, 1_000);
    let mut state = DisruptionState::default();
    let mut observe = |now, worker: WorkerEndpoint| {
        let workers = [worker];
        tracker.update_list(now, &workers);
        let StatusChanges { changed, removed } = tracker.status_changes(now, &workers, &state);
        assert!(removed.is_empty());
        let availability = changed.first().map(|status| status.availability);
        let observation =
            DisruptionCommand::RecordObservation { fencing_token: 1, known_revision: 0, changed, removed };
        state.apply(now, &observation);
        availability
    };
    // The worker is in the first list and not registered, so its age is unknown: it counts as just started.
    assert_eq!(observe(5_000, worker(true, 77, false)), Some(Availability::WarmingUp(200)));
    assert_eq!(observe(6_000, worker(true, 77, false)), Some(Availability::Available));
    assert_eq!(observe(6_100, worker(true, 77, false)), None, "the status equals the registered one");
    assert_eq!(observe(6_200, worker(false, 77, false)), Some(Availability::Unavailable));
    // The worker restarts. Its start id is lower than before, because the worker's clock went back.
    assert_eq!(observe(6_300, worker(true, 5, false)), Some(Availability::WarmingUp(200)));
    assert_eq!(observe(6_900, worker(true, 5, false)), Some(Availability::WarmingUp(600)));
    assert_eq!(
        observe(6_950, worker(true, 5, true)),
        Some(Availability::Unavailable),
        "health checks report the worker as unhealthy"
    );
    assert_eq!(observe(7_300, worker(true, 5, false)), Some(Availability::Available));
    // The worker is in the first list of another observer, so this observer does not know its age. The worker is
    // registered as available, so its status must not change.
    let mut other_tracker = WarmupTracker::new(0.2, 1_000);
    let workers = [worker(true, 5, false)];
    other_tracker.update_list(9_000, &workers);
    assert_eq!(other_tracker.status_changes(9_000, &workers, &state), StatusChanges::default());
    let removed = vec![Target { kind: TargetKind::Worker, name: "w".into() }];
    assert_eq!(other_tracker.status_changes(9_000, &[], &state), StatusChanges { changed: vec![], removed });
}
