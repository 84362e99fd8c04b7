use super::*;

#[test]
fn grants_are_spent_once_before_the_planned_share_and_not_after_they_expire() {
    let mut budget = SlowStartBudget::default();
    budget.spend(1.0, 7, 10.0);
    assert_eq!((budget.spent_in_slice(7), budget.spent_in_slice(8)), (Some(1.0), None));
    budget.grant(0.5, 11.0, 10.0);
    budget.grant(0.7, 12.0, 10.0);
    assert!((budget.granted_work(10.5) - 1.2).abs() < 1e-9 && budget.granted_work(11.5) == 0.7);
    budget.spend(1.0, 8, 10.5);
    assert_eq!(budget.spent_in_slice(8), None, "the grants covered the work");
    assert!((budget.granted_work(10.5) - 0.2).abs() < 1e-9);
    budget.spend(0.3, 8, 10.5);
    assert_eq!(budget.spent_in_slice(8), Some(0.3), "the grants do not cover the work and stay unspent");
    assert!(budget.granted_work(12.0) == 0.0, "both grants have expired");
}

#[test]
fn invalid_and_excess_grants_are_ignored() {
    let mut budget = SlowStartBudget::default();
    for (work, until) in [(f64::NAN, 20.0), (-1.0, 20.0), (f64::INFINITY, 20.0), (1.0, 9.0)] {
        budget.grant(work, until, 10.0);
    }
    assert_eq!(budget.granted_work(10.0), 0.0);
    (0..100).for_each(|_| budget.grant(1.0, 20.0, 10.0));
    assert_eq!(budget.granted_work(10.0), MAX_GRANTS as f64);
}
