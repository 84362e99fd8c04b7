//! Delays between calls: capped exponential backoff with full jitter.

use dispatch_core::backoff::{Backoff, Micros};

const FIRST: Micros = 100_000;
const CAP: Micros = 2_000_000;

/// Returns the longest delay over many seeds after so many failures, and optionally a success.
fn most(failures: usize, succeeded: bool) -> Micros {
    let pause = |seed| {
        let mut backoff = Backoff::new(FIRST, CAP, seed);
        (0..failures).for_each(|_| {
            backoff.next_delay(None);
        });
        if succeeded {
            backoff.reset();
        }
        backoff.next_delay(None)
    };
    (0..500).map(pause).max().expect("a pause")
}

#[test]
fn pauses_double_up_to_the_cap_and_reset_after_a_success() {
    for (failures, longest) in
        [100_000, 200_000, 400_000, 800_000, 1_600_000, CAP, CAP].into_iter().enumerate()
    {
        let seen = most(failures, false);
        assert!(seen <= longest && seen > longest * 9 / 10, "{seen} of {longest}");
    }
    assert!(most(7, true) <= FIRST);
}

#[test]
fn honours_a_retry_after_up_to_the_cap() {
    let mut backoff = Backoff::new(FIRST, CAP, 7);
    assert!((1_000_000..=1_000_000 + FIRST).contains(&backoff.next_delay(Some(1_000_000))));
    assert!(backoff.next_delay(Some(Micros::MAX)) <= 2 * CAP);
}

/// Returns how many of 100 dispatchers, whose watches broke at one moment, are answered within 30 s by a service as it
/// was measured: a call takes 90 ms, even if it is rejected since it would have to wait for 2 s.
fn answered(pause: impl Fn(&mut Backoff) -> Micros) -> usize {
    let make = |seed| Backoff::new(15_000_000, 40_000_000, seed);
    let mut herd: Vec<(Micros, Backoff)> = (0..100).map(|seed| (0, make(seed))).collect();
    let mut free_at = 0;
    while let Some(next) = (0..herd.len()).min_by_key(|n| herd[*n].0).filter(|n| herd[*n].0 < 30_000_000) {
        let now = herd[next].0;
        let wait = free_at.max(now) - now;
        free_at = now + (wait + 90_000).min(2_500_000);
        if wait < 2_000_000 {
            herd.swap_remove(next);
        } else {
            herd[next].0 += 1 + pause(&mut herd[next].1);
        }
    }
    100 - herd.len()
}

/// With the former fixed delay of 0.1 s only the callers in the first queue were ever answered.
#[test]
fn a_herd_thins_out_until_all_are_served() {
    let (fixed, jittered) = (answered(|_| 100_000), answered(|backoff| backoff.next_delay(None)));
    assert!(jittered >= 95 && fixed < 50, "{jittered} of 100 with the backoff, {fixed} with a fixed pause");
}
