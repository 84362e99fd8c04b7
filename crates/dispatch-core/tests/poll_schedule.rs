//! Discovery is polled again early enough for changes to be known when they count as notified.

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

/// Whatever the duration of a call and the number of failures before: after the end of a watch the next call begins so
/// early that its answer, which may take 2 s, arrives in time.
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
                assert!(delay <= left, "{delay} after {without_watch}");
            }
        }
    }
}

/// An agent's changes count as notified at once, so the grace of a worker that drains is all the time there is.
#[test]
fn polls_an_agent_again_within_a_fraction_of_the_grace() {
    for seed in 0..50 {
        let mut schedule = PollSchedule::new(&settings(300, false), GRACE, seed);
        assert!((0..20).all(|_| schedule.next_delay(0, None) <= 100_000));
    }
}

/// Settings may state no grace, or an unbounded one: there is a delay all the same, and an agent has time to answer.
#[test]
fn keeps_pauses_for_a_grace_of_nothing_or_for_ever() {
    for grace in [0, Micros::MAX] {
        let mut schedule = PollSchedule::new(&settings(1, false), grace, 1);
        assert!((0..20).map(|_| schedule.next_delay(0, None)).max() > Some(5_000));
        assert!((20_000..=24_000_000).contains(&standby_watch_delay(grace)));
    }
}

/// Returns how many dispatchers, whose watches ended at one moment, are answered `within` a time.
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

/// Callers are spread, the more of them the wider, until all are answered; with a fixed delay of 0.1 s the service
/// answers no more callers once its queue is full.
#[test]
fn a_herd_thins_out_until_all_are_answered() {
    for (instances, call) in [(6, 227_000), (6, 333_000), (32, 60_000), (300, 12_000)] {
        assert_eq!(
            answered(instances, call, 12_000_000, |schedule| schedule.next_delay(0, None)),
            instances as usize
        );
    }
    let fixed = answered(300, 12_000, 12_000_000, |_| 100_000);
    assert!(fixed < 200, "{fixed} of 300 with a fixed pause");
}
