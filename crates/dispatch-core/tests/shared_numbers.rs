//! Tests of hashes that must be the same in dispatchers of all versions, and of delays that must depend on the seed
//! only.

use std::fmt::Write as _;

use dispatch_core::backoff::Backoff;
use dispatch_core::hashing::{hash_bytes, worker_id};
use dispatch_core::poll_schedule::{standby_watch_delay, PollSchedule};
use dispatch_core::Settings;

#[test]
fn hashes_of_names_and_keys_do_not_change() {
    let mut text = String::new();
    for name in ["", "w", "worker.a", "worker.b", "10.0.0.7:8080", "a name that is longer than eight bytes"] {
        let _ = writeln!(text, "{name:?}: {} {}", worker_id(name).0, hash_bytes(name.as_bytes()));
    }
    insta::assert_snapshot!("numbers_of_names", text);
}

#[test]
fn delays_depend_on_the_seed_only() {
    let mut text = String::new();
    for seed in 0..3 {
        let mut backoff = Backoff::new(100_000, 2_000_000, seed);
        let delays: Vec<u64> = [None, None, Some(500_000), None, Some(9_000_000)]
            .map(|retry_after| backoff.next_delay(retry_after))
            .to_vec();
        let _ = writeln!(text, "backoff, seed {seed}: {delays:?}");
        for (instances, polls_list) in [(1, false), (6, true), (300, true)] {
            let settings = Settings { instances, polls_endpoint_list: polls_list, ..Settings::default() };
            let mut schedule = PollSchedule::new(&settings, 500_000, seed);
            let mut delays: Vec<u64> = (0..6).map(|n| schedule.next_delay(n * 700_000, None)).collect();
            schedule.record_success();
            delays.push(schedule.next_delay(0, Some(1_000_000)));
            let _ = writeln!(
                text,
                "polls, {instances} dispatchers, polls_list {polls_list}, seed {seed}: {delays:?}"
            );
        }
    }
    let limits = [0, 50_000, 500_000, u64::MAX].map(standby_watch_delay);
    let _ = writeln!(text, "standby watch after: {limits:?}");
    insta::assert_snapshot!("pauses_by_seed", text);
}
