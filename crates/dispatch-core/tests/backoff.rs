//! Tests of the delays between calls: capped exponential backoff with full jitter.

#[path = "common/service.rs"]
mod service;

use dispatch_core::backoff::{Backoff, Micros};
use service::{answered_callers, Caller};

const FIRST: Micros = 100_000;
const CAP: Micros = 2_000_000;

/// Returns the longest delay over many seeds after this number of failures and, if `succeeded`, a success.
fn longest_delay(failures: usize, succeeded: bool) -> Micros {
    let delay = |seed| {
        let mut backoff = Backoff::new(FIRST, CAP, seed);
        (0..failures).for_each(|_| {
            backoff.next_delay(None);
        });
        if succeeded {
            backoff.reset();
        }
        backoff.next_delay(None)
    };
    (0..500).map(delay).max().expect("a delay")
}

#[test]
fn delays_double_up_to_the_cap_and_restart_after_a_success() {
    for (failures, longest) in
        [100_000, 200_000, 400_000, 800_000, 1_600_000, CAP, CAP].into_iter().enumerate()
    {
        let seen = longest_delay(failures, false);
        assert!(
            seen <= longest && seen > longest * 9 / 10,
            "after {failures} failures the longest delay is {seen} µs, expected nearly {longest} µs"
        );
    }
    assert!(longest_delay(7, true) <= FIRST);
}

#[test]
fn honors_a_retry_after_up_to_the_cap() {
    let mut backoff = Backoff::new(FIRST, CAP, 7);
    assert!((1_000_000..=1_000_000 + FIRST).contains(&backoff.next_delay(Some(1_000_000))));
    assert!(backoff.next_delay(Some(Micros::MAX)) <= 2 * CAP);
}

/// Returns how many of 100 dispatchers, whose watches ended at the same time, are answered within 30 s by a service
/// that takes 90 ms per call.
fn answered(delay: impl Fn(&mut Backoff) -> Micros) -> usize {
    let callers = (0..100).map(|seed| {
        let client = Backoff::new(15_000_000, 40_000_000, seed);
        Caller { next_call: 0, client }
    });
    answered_callers(callers.collect(), 90_000, 30_000_000, delay)
}

/// With an earlier fixed delay of 0.1 s, the service answered only the callers that found a place in its first queue.
#[test]
fn jittered_retries_after_a_common_failure_are_answered() {
    let (fixed, jittered) = (answered(|_| 100_000), answered(|backoff| backoff.next_delay(None)));
    assert!(
        jittered >= 95 && fixed < 50,
        "answered of 100: {jittered} with the backoff, {fixed} with a fixed delay"
    );
}
