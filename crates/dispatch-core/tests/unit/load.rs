use super::*;
use crate::api::{Endpoint, Settings, WorkerId};
use crate::fleet::MachineKind;

/// Requests in flight beyond the number of slots count as queued, but only if the report states no free slot.
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
    assert_eq!(
        fleet.apply_load_report(0, &report(0.0, 7.0), 1.0, time),
        Some(3.0),
        "seven requests for four slots"
    );
    assert!(fleet.other_slots(&fleet.workers[0], time) > 3.0);
    assert_eq!(fleet.apply_load_report(0, &LoadReport::default(), 1.0, time), None);
}

/// Guards against wrong clocks of other processes (experiments/wrong-clocks.hcl). With a clock that was an hour ahead,
/// every worker in slow start seemed to have its full capacity; with a clock that is behind, every worker would seem to
/// be in slow start.
#[test]
fn slow_start_tolerates_wrong_clocks_of_other_processes() {
    let mut fleet = Fleet::default();
    (fleet.slow_start_min_capacity, fleet.slow_start_duration) = (0.2, 20.0);
    let endpoint = |worker, started_at| Endpoint {
        worker: WorkerId(worker),
        kind: 0,
        zone: 0,
        cell: 0,
        started_at,
        state: WorkerState::Serving,
    };
    fleet.kinds.push(MachineKind::default());
    let capacity = |fleet: &Fleet, worker: usize, now| {
        (fleet.warm_capacity(&fleet.workers[worker], now) * 1e6).round() / 1e6
    };
    // The start times in the first list are accepted, but none may be in the future.
    fleet.upsert(&endpoint(1, 9_990.0), 10_000.0);
    fleet.upsert(&endpoint(2, 13_600.0), 10_000.0);
    fleet.rebuild_indexes(0, Some(10_000.0));
    assert_eq!((capacity(&fleet, 0, 10_000.0), capacity(&fleet, 1, 10_000.0)), (0.6, 0.2));
    assert_eq!(capacity(&fleet, 1, 10_020.0), 1.0, "the worker must not stay in slow start for another hour");
    // Discovery lists a start soon after it happened. So a worker that is new on a list, or that has restarted, cannot
    // have started long before the previous list.
    fleet.upsert(&endpoint(3, 6_400.0), 10_010.0);
    fleet.upsert(&endpoint(2, 13_601.0), 10_010.0);
    assert_eq!((capacity(&fleet, 2, 10_010.0), capacity(&fleet, 1, 10_010.0)), (0.8, 0.2));
    // A worker that is listed again with the same start time has not restarted.
    fleet.rebuild_indexes(0, Some(10_010.0));
    fleet.upsert(&endpoint(3, 6_400.0), 10_014.0);
    assert_eq!(capacity(&fleet, 2, 10_015.0), 1.0);
}
