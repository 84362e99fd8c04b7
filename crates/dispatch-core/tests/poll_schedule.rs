//! Discovery is polled again early enough for changes to be known when they count as notified.

use dispatch_core::backoff::Micros;
use dispatch_core::poll_schedule::{standby_watch_delay, PollSchedule, MAX_NOTIFICATION_DELAY};
use dispatch_core::Settings;

const GRACE: Micros = 500_000;

fn settings(instances: u32, ask_for_list: bool) -> Settings {
    Settings { instances, polls_endpoint_list: ask_for_list, max_poll_interval: 10.0, ..Settings::default() }
}

/// Whatever a call cost and however many failed before: from the moment on which there is no watch, the
/// next call begins so early that its answer, which may take 2 s, is there in time.
#[test]
fn polls_again_within_the_notification_time() {
    for instances in [1, 6, 30, 300] {
        for seed in 0..50 {
            let mut calls = PollSchedule::new(&settings(instances, true), GRACE, seed);
            for failure in 0..20 {
                let deaf = [0, 500_000, 2_800_000, 5_000_000][failure % 4];
                let wanted = [None, Some(30_000_000)][failure / 4 % 2];
                let pause = calls.next_delay(deaf, wanted);
                let left = (MAX_NOTIFICATION_DELAY - 2_000_000).saturating_sub(deaf);
                assert!(pause <= left, "{pause} after {deaf}");
            }
        }
    }
}

/// What an agent has counts as notified at once, so the time that a worker may still get work after it drains is all
/// there is.
#[test]
fn polls_an_agent_again_within_a_fraction_of_the_grace() {
    for seed in 0..50 {
        let mut calls = PollSchedule::new(&settings(300, false), GRACE, seed);
        assert!((0..20).all(|_| calls.next_delay(0, None) <= 100_000));
    }
}

/// Settings may tell no grace, or one without measure: there is a pause all the same, and an agent has a moment to answer.
#[test]
fn keeps_pauses_for_a_grace_of_nothing_or_for_ever() {
    for grace in [0, Micros::MAX] {
        let mut calls = PollSchedule::new(&settings(1, false), grace, 1);
        assert!((0..20).map(|_| calls.next_delay(0, None)).max() > Some(5_000));
        assert!((20_000..=24_000_000).contains(&standby_watch_delay(grace)));
    }
}

/// How many of these dispatchers, whose watches ended at one moment, are answered within so long by a service as it was
/// measured: it takes so much for a call, also for one that is rejected since it would wait for 2 s.
fn answered(
    instances: u32,
    call: Micros,
    within: Micros,
    pause: impl Fn(&mut PollSchedule) -> Micros,
) -> usize {
    let set = settings(instances, true);
    let mut herd: Vec<(Micros, PollSchedule)> = (0..instances)
        .map(|seed| PollSchedule::new(&set, GRACE, seed.into()))
        .map(|mut calls| (pause(&mut calls), calls))
        .collect();
    let mut free_at = 0;
    while let Some(next) = (0..herd.len()).min_by_key(|n| herd[*n].0).filter(|n| herd[*n].0 < within) {
        let now = herd[next].0;
        let wait = free_at.max(now) - now;
        free_at = now + (wait + call).min(2_500_000);
        if wait < 2_000_000 {
            herd.swap_remove(next);
        } else {
            herd[next].0 = now + 1 + pause(&mut herd[next].1);
        }
    }
    instances as usize - herd.len()
}

/// A herd is spread, the larger the wider, and thins out; one that asks every 0.1 s keeps the service from answering
/// anybody once its queue is full.
#[test]
fn a_herd_thins_out_until_all_are_answered() {
    for (instances, call) in [(6, 227_000), (6, 333_000), (32, 60_000), (300, 12_000)] {
        assert_eq!(
            answered(instances, call, 12_000_000, |calls| calls.next_delay(0, None)),
            instances as usize
        );
    }
    let fixed = answered(300, 12_000, 12_000_000, |_| 100_000);
    assert!(fixed < 200, "{fixed} of 300 with a fixed pause");
}
