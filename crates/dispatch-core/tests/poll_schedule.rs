//! Tests that discovery is polled again so early that a dispatcher has a change by the time it counts as notified.

#[path = "common/service.rs"]
mod service;

use dispatch_core::backoff::Micros;
use dispatch_core::poll_schedule::{standby_watch_delay, PollSchedule, MAX_NOTIFICATION_DELAY};
use dispatch_core::Settings;
use service::{answered_callers, Caller};

const GRACE: Micros = 500_000;

fn settings(instances: u32, polls_endpoint_list: bool) -> Settings {
    Settings { instances, polls_endpoint_list, max_poll_interval: 10.0, ..Settings::default() }
}

/// After the end of a watch the next call must begin so early that its response, which may take 2 s, arrives in time.
/// This must hold for any duration of the last call and any number of earlier failures.
#[test]
fn polls_again_within_the_notification_time() {
    for instances in [1, 6, 30, 300] {
        for seed in 0..50 {
            let mut schedule = PollSchedule::new(&settings(instances, true), GRACE, seed);
            for failure in 0..20 {
                let without_watch = [0, 500_000, 2_800_000, 5_000_000][failure % 4];
                let retry_after = [None, Some(30_000_000)][failure / 4 % 2];
                let delay = schedule.next_delay(without_watch, retry_after);
                let left = (MAX_NOTIFICATION_DELAY - 2_000_000).saturating_sub(without_watch);
                assert!(delay <= left, "a delay of {delay} µs after {without_watch} µs without a watch");
            }
        }
    }
}

/// Dispatchers count as notified of an agent's changes at once, so the next call must begin well within the grace of a
/// worker that drains.
#[test]
fn polls_an_agent_again_within_a_fraction_of_the_grace() {
    for seed in 0..50 {
        let mut schedule = PollSchedule::new(&settings(300, false), GRACE, seed);
        assert!((0..20).all(|_| schedule.next_delay(0, None) <= 100_000));
    }
}

/// For a grace of zero or without a bound there must still be delays between calls, and time for an agent to respond.
#[test]
fn bounds_the_delays_for_a_zero_or_unlimited_grace() {
    for grace in [0, Micros::MAX] {
        let mut schedule = PollSchedule::new(&settings(1, false), grace, 1);
        assert!((0..20).map(|_| schedule.next_delay(0, None)).max() > Some(5_000));
        assert!((20_000..=24_000_000).contains(&standby_watch_delay(grace)));
    }
}

/// Returns how many dispatchers, whose watches ended at the same time, are answered within the time `within` by a
/// service that takes the time `call` per call.
fn answered(
    instances: u32,
    call: Micros,
    within: Micros,
    delay: impl Fn(&mut PollSchedule) -> Micros,
) -> usize {
    let settings = settings(instances, true);
    let callers = (0..instances).map(|seed| {
        let mut client = PollSchedule::new(&settings, GRACE, seed.into());
        Caller { next_call: delay(&mut client), client }
    });
    answered_callers(callers.collect(), call, within, &delay)
}

/// The more callers there are, the more widely their calls must be spread, so that all are answered. With a fixed delay
/// of 0.1 s the service answers no further callers once its queue is full.
#[test]
fn polls_after_a_common_failure_are_all_answered() {
    for (instances, call) in [(6, 227_000), (6, 333_000), (32, 60_000), (300, 12_000)] {
        assert_eq!(
            answered(instances, call, 12_000_000, |schedule| schedule.next_delay(0, None)),
            instances as usize
        );
    }
    let fixed = answered(300, 12_000, 12_000_000, |_| 100_000);
    assert!(fixed < 200, "{fixed} of 300 dispatchers were answered with a fixed delay");
}
