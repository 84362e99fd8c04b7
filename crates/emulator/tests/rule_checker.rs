//! Tests of the rule checker: each rule fails on a dispatcher that violates it, and passes just before.

use dispatch_core::api::{Idempotency, KeyScope};
use emulator::checker::{Location, ObservedAttempt, RuleChecker, RuleLimits, RuleViolations};

const CELL: Idempotency = Idempotency::WithKey(KeyScope::Cell);

fn checker() -> RuleChecker {
    let mut checker = RuleChecker::new(RuleLimits { drain_grace: 500, answer_slack: 50 });
    checker.record_accepted(1, CELL, 1000, 5000);
    checker
}

/// An attempt in zone 0.
fn attempt(incarnation: u32, request: u64, worker: u64, rack: u32, sent_at: u64) -> ObservedAttempt {
    ObservedAttempt { incarnation, request, worker, location: Location { zone: 0, rack }, sent_at }
}

/// Each rule is shown to fail on a dispatcher that breaks it, and to pass just before.
#[test]
fn a_send_after_the_grace_is_found() {
    let mut checker = checker();
    checker.record_drain_notice(0, 7, 100);
    checker.record_attempt(attempt(0, 1, 7, 0, 600));
    checker.record_answer(1, false, 700);
    assert_eq!(checker.violations(), RuleViolations::default());
    checker.record_accepted(2, Idempotency::Idempotent, 0, 5000);
    checker.record_attempt(attempt(0, 2, 7, 0, 601));
    // Another life was not told.
    checker.record_attempt(attempt(1, 2, 7, 0, 9000));
    checker.record_answer(2, false, 700);
    assert_eq!(checker.finish(), RuleViolations { drain: 1, ..RuleViolations::default() });
}

#[test]
fn a_keyed_request_must_stay_on_its_rack_and_within_its_window() {
    for (rack, at, dup) in [(3, 900, 0), (4, 900, 1), (3, 1101, 1)] {
        let mut checker = checker();
        checker.record_attempt(attempt(0, 1, 7, 3, 100));
        checker.record_attempt(attempt(0, 1, 8, rack, at));
        checker.record_answer(1, false, 2000);
        assert_eq!(checker.finish().dup, dup, "rack {rack} at {at}");
    }
}

#[test]
fn what_never_ran_may_go_anywhere_and_be_refused() {
    for (shown, dup) in [(true, 0), (false, 2)] {
        let mut checker = checker();
        let send = checker.record_attempt(attempt(0, 1, 7, 3, 100));
        if shown {
            checker.record_never_ran(1, send);
        }
        let send = checker.record_attempt(attempt(0, 1, 8, 4, 200));
        if shown {
            checker.record_never_ran(1, send);
        }
        checker.record_answer(1, true, 300);
        assert_eq!(checker.finish().dup, dup);
    }
}

#[test]
fn no_answer_a_late_one_and_two_are_lost() {
    assert_eq!(checker().finish().lost, 1);
    for (answers, lost) in [(vec![5050], 0), (vec![5051], 1), (vec![100, 101], 1)] {
        let mut checker = checker();
        for at in &answers {
            checker.record_answer(1, false, *at);
        }
        assert_eq!(checker.finish().lost, lost, "{answers:?}");
    }
    let mut gone = checker();
    gone.waive_answer(1);
    assert_eq!(gone.finish().lost, 0);
}
