//! Tests of the rule checker: each rule is violated just beyond its limit, and not violated at the limit.

use dispatch_core::api::{Idempotency, KeyScope};
use emulator::checker::{Location, ObservedAttempt, RuleChecker, RuleLimits, RuleViolations};

const CELL: Idempotency = Idempotency::WithKey(KeyScope::Cell);

fn checker() -> RuleChecker {
    let mut checker = RuleChecker::new(RuleLimits { drain_grace: 500, response_slack: 50 });
    checker.record_accepted(1, CELL, 1000, 5000);
    checker
}

/// An attempt in zone 0.
fn attempt(incarnation: u32, request: u64, worker: u64, rack: u32, sent_at: u64) -> ObservedAttempt {
    ObservedAttempt { incarnation, request, worker, location: Location { zone: 0, rack }, sent_at }
}

#[test]
fn an_attempt_after_the_drain_grace_is_a_violation() {
    let mut checker = checker();
    checker.record_drain_notice(0, 7, 100);
    checker.record_attempt(attempt(0, 1, 7, 0, 600));
    checker.record_response(1, false, 700);
    assert_eq!(checker.violations(), RuleViolations::default());
    checker.record_accepted(2, Idempotency::Idempotent, 0, 5000);
    checker.record_attempt(attempt(0, 2, 7, 0, 601));
    // Another incarnation, which was not notified of the drain, may send attempts.
    checker.record_attempt(attempt(1, 2, 7, 0, 9000));
    checker.record_response(2, false, 700);
    assert_eq!(checker.finish(), RuleViolations { drain: 1, ..RuleViolations::default() });
}

#[test]
fn a_retry_with_an_idempotency_key_must_stay_on_its_rack_and_within_the_retry_window() {
    for (rack, at, repeated) in [(3, 900, 0), (4, 900, 1), (3, 1101, 1)] {
        let mut checker = checker();
        checker.record_attempt(attempt(0, 1, 7, 3, 100));
        checker.record_attempt(attempt(0, 1, 8, rack, at));
        checker.record_response(1, false, 2000);
        assert_eq!(checker.finish().repeated, repeated, "rack {rack} at {at}");
    }
}

#[test]
fn a_request_whose_attempts_never_ran_may_be_retried_anywhere_and_rejected() {
    for (never_ran, repeated) in [(true, 0), (false, 2)] {
        let mut checker = checker();
        let number = checker.record_attempt(attempt(0, 1, 7, 3, 100));
        if never_ran {
            checker.record_never_ran(1, number);
        }
        let number = checker.record_attempt(attempt(0, 1, 8, 4, 200));
        if never_ran {
            checker.record_never_ran(1, number);
        }
        checker.record_response(1, true, 300);
        assert_eq!(checker.finish().repeated, repeated);
    }
}

#[test]
fn a_missing_late_or_second_response_is_a_violation() {
    assert_eq!(checker().finish().unanswered, 1);
    for (responses, unanswered) in [(vec![5050], 0), (vec![5051], 1), (vec![100, 101], 1)] {
        let mut checker = checker();
        for at in &responses {
            checker.record_response(1, false, *at);
        }
        assert_eq!(checker.finish().unanswered, unanswered, "{responses:?}");
    }
    let mut waived = checker();
    waived.waive_response(1);
    assert_eq!(waived.finish().unanswered, 0);
}
