use super::*;

/// Each ejection is twice as long as the last and ends when the worker serves a job. After an ejection a worker with a
/// job in flight gets no further jobs.
#[test]
fn two_failures_eject_a_worker_until_it_succeeds() {
    let mut worker = OutlierDetector::default();
    assert!(!worker.record_failure(10.0, 0.5) && worker.record_failure(10.1, 0.5));
    assert!(
        worker.is_ejected(10.5, false) && !worker.is_ejected(10.7, false) && worker.is_ejected(10.7, true)
    );
    assert!(
        worker.record_failure(10.7, 0.5) && worker.is_ejected(11.6, false),
        "the second ejection lasts a second"
    );
    assert!(worker.record_success() && !worker.is_ejected(10.8, true) && !worker.record_success());
    assert!(worker.mark_stalled() && !worker.mark_stalled() && worker.record_failure(12.0, 0.5));
    assert!(worker.record_liveness(12.1) && !worker.is_unhealthy() && !worker.record_liveness(12.2));
}

/// The verdict of a health checker applies until it expires, is withdrawn, or the worker gives a later sign of life.
#[test]
fn a_later_sign_of_life_overrides_a_verdict() {
    let mut worker = OutlierDetector::default();
    worker.apply_verdict(9.5, 13.5);
    assert!(worker.is_ejected(10.0, false) && worker.is_unhealthy() && !worker.is_ejected(13.6, false));
    worker.apply_verdict(10.0, 10.0);
    assert!(!worker.is_ejected(10.1, false) && !worker.is_unhealthy());
    worker.apply_verdict(10.0, 14.0);
    assert!(
        worker.record_liveness(10.5) && !worker.is_ejected(10.6, false),
        "this dispatcher saw a sign of life"
    );
    worker.apply_verdict(10.2, 14.2);
    assert!(!worker.is_ejected(10.6, false), "the failure was observed before the sign of life");
    worker.apply_verdict(10.7, 14.7);
    assert!(worker.is_ejected(10.8, false));
    assert!(worker.record_success() && !worker.is_ejected(10.8, false));
}

#[test]
fn failures_of_three_workers_in_a_row_suspect_their_zone_until_a_sign_of_life() {
    let mut zone = ZoneOutage::default();
    zone.record_failure(1, 10.0, 0.5);
    zone.record_failure(2, 10.1, 0.5);
    assert!(!zone.is_suspected(10.1));
    zone.record_liveness();
    zone.record_failure(3, 10.2, 0.5);
    zone.record_failure(4, 10.3, 0.5);
    assert!(!zone.is_suspected(10.3), "a sign of life came between the failures");
    zone.record_failure(5, 10.4, 0.5);
    assert!(zone.is_suspected(10.4) && !zone.is_suspected(11.0));
    zone.record_failure(6, 11.0, 0.5);
    assert!(zone.is_suspected(11.9) && !zone.is_suspected(12.1), "the second suspicion lasts twice as long");
    zone.record_liveness();
    assert!(!zone.is_suspected(11.1));
}

#[test]
fn repeated_failures_of_one_worker_do_not_suspect_its_zone() {
    let mut zone = ZoneOutage::default();
    (0..50).for_each(|n| zone.record_failure(7, f64::from(n), 0.5));
    assert!(!zone.is_suspected(49.0));
}
