use super::*;

/// Old reports mean less: where jobs wait for half a running time at workers that seem just full, that wait is expected
/// at such workers afterwards, and at no others.
#[test]
fn waits_are_learnt_by_utilization() {
    let mut curve = QueueingCurve::default();
    assert_eq!(
        (curve.mean_wait(0.5), curve.mean_wait(1.0), curve.mean_wait(2.0)),
        (0.0, 0.0, 1.0),
        "as if reports were exact"
    );
    (0..400).for_each(|n| curve.learn(1.0, f64::from(n % 2)));
    assert!((0.4..0.6).contains(&curve.mean_wait(1.0)), "{}", curve.mean_wait(1.0));
    assert_eq!((curve.mean_wait(0.5), curve.mean_wait(2.0)), (0.0, 1.0));
    for odd in [-1.0, f64::MAX, f64::INFINITY] {
        curve.learn(odd, odd);
    }
    assert!(curve.mean_wait(f64::MAX).is_finite() && curve.mean_wait(-1.0) >= 0.0);
}
