use super::*;

/// If jobs wait for half a running time at workers whose expected utilization is one, that wait is expected at such
/// workers afterward, but not at workers with another utilization.
#[test]
fn waits_are_learned_by_utilization() {
    let mut curve = QueueingCurve::default();
    assert_eq!(
        (curve.mean_wait(0.5), curve.mean_wait(1.0), curve.mean_wait(2.0)),
        (0.0, 0.0, 1.0),
        "the initial curve assumes exact reports"
    );
    (0..400).for_each(|n| curve.learn(1.0, f64::from(n % 2)));
    assert!((0.4..0.6).contains(&curve.mean_wait(1.0)), "{}", curve.mean_wait(1.0));
    assert_eq!((curve.mean_wait(0.5), curve.mean_wait(2.0)), (0.0, 1.0));
    for extreme in [-1.0, f64::MAX, f64::INFINITY] {
        curve.learn(extreme, extreme);
    }
    assert!(curve.mean_wait(f64::MAX).is_finite() && curve.mean_wait(-1.0) >= 0.0);
}
