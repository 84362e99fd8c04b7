use super::*;
use crate::api::{Endpoint, Settings, WorkerId};
use crate::fleet::MachineKind;

/// A report shows a queue by the requests in flight beyond the slots, and only while no slot is free.
#[test]
fn requests_beyond_the_slots_of_a_worker_count_as_queued() {
    let mut fleet = Fleet::new(&Settings::default());
    let endpoint = Endpoint {
        worker: WorkerId(1),
        kind: 0,
        zone: 0,
        cell: 0,
        started_at: 0.0,
        state: WorkerState::Serving,
    };
    fleet.kinds.push(MachineKind::default());
    fleet.upsert(&endpoint, 0.0);
    fleet.rebuild_indexes(0, None);
    let time = ObservationTime { now: 1.0, window: 0.3 };
    let report = |free: f64, in_flight: f64| LoadReport {
        free_slots: Some(free),
        in_flight: Some(in_flight),
        ..LoadReport::default()
    };
    assert_eq!(fleet.apply_load_report(0, &report(4.0, 0.0), 1.0, time), Some(0.0));
    assert_eq!(fleet.apply_load_report(0, &report(2.0, 9.0), 1.0, time), Some(0.0), "a slot is free");
    assert_eq!(fleet.apply_load_report(0, &report(0.0, 7.0), 1.0, time), Some(3.0), "seven in four slots");
    assert!(fleet.other_slots(&fleet.workers[0], time) > 3.0);
    assert_eq!(fleet.apply_load_report(0, &LoadReport::default(), 1.0, time), None);
}

/// Seen in experiments/wrong-clocks.hcl: a clock that was an hour ahead made every worker in slow start seem warm, and
/// one that is behind would make every warm worker seem to be in slow start.
#[test]
fn slow_start_does_not_rest_on_the_clocks_of_others() {
    let mut fleet = Fleet::default();
    (fleet.slow_start_min_capacity, fleet.slow_start_duration) = (0.2, 20.0);
    let endpoint = |worker, since| Endpoint {
        worker: WorkerId(worker),
        kind: 0,
        zone: 0,
        cell: 0,
        started_at: since,
        state: WorkerState::Serving,
    };
    fleet.kinds.push(MachineKind::default());
    let warmth = |fleet: &Fleet, worker: usize, now| {
        (fleet.warm_capacity(&fleet.workers[worker], now) * 1e6).round() / 1e6
    };
    // Workers of the first list are as old as it states, but did not start in the future.
    fleet.upsert(&endpoint(1, 9_990.0), 10_000.0);
    fleet.upsert(&endpoint(2, 13_600.0), 10_000.0);
    fleet.rebuild_indexes(0, Some(10_000.0));
    assert_eq!((warmth(&fleet, 0, 10_000.0), warmth(&fleet, 1, 10_000.0)), (0.6, 0.2));
    assert_eq!(warmth(&fleet, 1, 10_020.0), 1.0, "not an hour later");
    // A worker that is listed later, or restarts, started after the last list from discovery, or shortly before.
    fleet.upsert(&endpoint(3, 6_400.0), 10_010.0);
    fleet.upsert(&endpoint(2, 13_601.0), 10_010.0);
    assert_eq!((warmth(&fleet, 2, 10_010.0), warmth(&fleet, 1, 10_010.0)), (0.8, 0.2));
    // A worker that is listed again has not restarted.
    fleet.rebuild_indexes(0, Some(10_010.0));
    fleet.upsert(&endpoint(3, 6_400.0), 10_014.0);
    assert_eq!(warmth(&fleet, 2, 10_015.0), 1.0);
}
