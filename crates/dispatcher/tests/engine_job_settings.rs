//! The settings of a job in the engine: whatever a reload changes, a job keeps those under which it was accepted.

mod engine_harness;

use std::time::Duration;

use bytes::Bytes;
use dispatch_core::hashing::hash_bytes;
use dispatcher::api::{Class, Idempotency, KeyScope, ListScope, Outcome, Settings};
use dispatcher::engine::{
    Clock, FinalResponse, Input, InvalidRequest, Micros, Payload, PendingJob, SentId, SharedIds,
};
use engine_harness::{attempt_ended, run, serving_endpoint, settings, EngineHarness, HOUR};

const SECOND: Micros = 1_000_000;
/// Time within which a response or an attempt must come; much longer than a slow machine needs.
const PATIENCE: Duration = Duration::from_secs(20);
const WORKERS: [u64; 2] = [7, 8];

/// Returns settings with one class, whose jobs are in time for an hour.
fn settings_with(idempotency: Idempotency, key_window: f64) -> Settings {
    let class = Class { idempotency, key_window, latency_objective: 3600.0, ..Class::default() };
    Settings { classes: vec![class], ..settings(1000.0) }
}

async fn response(pending: &mut PendingJob) -> FinalResponse {
    tokio::time::timeout(PATIENCE, pending.final_response()).await.expect("a response")
}

/// Guards against a request that is written when workers have forgotten the key of its first attempt, after a reload
/// that makes the key window longer: the last check before the write uses the job's own window.
#[test]
fn an_open_job_keeps_the_retry_window_up_to_the_write() {
    run(async {
        let by_key = Idempotency::WithKey(KeyScope::All);
        let mut engine = EngineHarness::start_with(settings_with(by_key, 60.0), &WORKERS, |_| {});
        let _pending = engine.submit(HOUR);
        let first = engine.next_attempt().await;
        engine.configure(settings_with(by_key, 6000.0));
        engine.handle.send(attempt_ended(first, Outcome::Reset, Bytes::new()));
        let second = engine.next_commanded_attempt().await;
        let latest_end = engine.clock.now() + 60 * SECOND;
        assert!(second.not_after <= latest_end, "{} after {latest_end}", second.not_after);
    });
}

/// Guards against an attempt that the engine withholds because a reload lowered the maximum number of attempts.
#[test]
fn an_open_job_keeps_its_maximum_number_of_attempts() {
    run(async {
        let before = settings_with(Idempotency::Idempotent, 0.0);
        let mut engine = EngineHarness::start_with(before.clone(), &WORKERS, |_| {});
        let mut pending = engine.submit(HOUR);
        let first = engine.next_attempt().await;
        engine.configure(Settings { max_attempts: 1, ..before });
        engine.handle.send(attempt_ended(first, Outcome::Reset, Bytes::new()));
        let second = tokio::time::timeout(PATIENCE, engine.next_attempt()).await.expect("an attempt");
        engine.handle.send(attempt_ended(second, Outcome::Ok, Bytes::from("second")));
        assert_eq!(response(&mut pending).await, FinalResponse::Served(Bytes::from("second")));
    });
}

/// Guards against a second run of a job that was held until the first endpoint list came: a reload in the meantime makes
/// its class idempotent.
#[test]
fn a_job_held_until_the_first_list_keeps_its_settings() {
    run(async {
        let before = settings_with(Idempotency::NotIdempotent, 0.0);
        let hold = |engine: &mut dispatcher::engine::Engine| engine.await_initial_list(HOUR);
        let mut engine = EngineHarness::start_with(before, &WORKERS, hold);
        let mut pending = engine.submit(HOUR);
        engine.configure(settings_with(Idempotency::Idempotent, 0.0));
        let endpoints = WORKERS.map(serving_endpoint).to_vec();
        engine.handle.send(Input::EndpointList { scope: ListScope::Full, endpoints });
        let first = engine.next_attempt().await;
        engine.handle.send(attempt_ended(first, Outcome::Reset, Bytes::new()));
        assert_eq!(response(&mut pending).await, FinalResponse::Failed);
    });
}

/// Guards against a second run of a job whose head was read before a reload and whose body arrived after it.
#[test]
fn a_job_submitted_after_a_reload_keeps_the_settings_of_its_acceptance() {
    run(async {
        let before = settings_with(Idempotency::NotIdempotent, 0.0);
        let mut engine = EngineHarness::start_with(before, &WORKERS, |_| {});
        let job = engine.job(HOUR, Payload::default());
        engine.configure(settings_with(Idempotency::Idempotent, 0.0));
        let mut pending = engine.handle.submit(job);
        let first = engine.next_attempt().await;
        engine.handle.send(attempt_ended(first, Outcome::Reset, Bytes::new()));
        assert_eq!(response(&mut pending).await, FinalResponse::Failed);
    });
}

/// Sends a request with the id "a1" and ends its attempt with this outcome; returns its response, and whether an attempt
/// was sent.
async fn send_again(engine: &mut EngineHarness, outcome: Outcome) -> (FinalResponse, bool) {
    let mut pending = engine.submit_with_id("a1");
    let attempt = tokio::select! {
        response = pending.final_response() => return (response, false),
        attempt = engine.next_attempt() => attempt,
    };
    engine.handle.send(attempt_ended(attempt, outcome, Bytes::new()));
    (pending.final_response().await, true)
}

const REPEATED: (FinalResponse, bool) = (FinalResponse::Invalid(InvalidRequest::RepeatedId), false);

fn one_attempt(idempotency: Idempotency) -> Settings {
    Settings { max_attempts: 1, ..settings_with(idempotency, 4.0) }
}

/// Guards against a second run of a job whose id came in between for a request of which nothing ran: its end made the
/// process forget the id, so that the first run was unknown.
#[test]
fn a_request_that_never_ran_leaves_an_earlier_run_known() {
    run(async {
        let unsafe_to_repeat = one_attempt(Idempotency::NotIdempotent);
        let mut engine = EngineHarness::start_with(unsafe_to_repeat.clone(), &[7], |_| {});
        assert!(send_again(&mut engine, Outcome::Ok).await.1);
        engine.configure(one_attempt(Idempotency::Idempotent));
        assert!(send_again(&mut engine, Outcome::Overloaded).await.1);
        engine.configure(unsafe_to_repeat);
        assert_eq!(send_again(&mut engine, Outcome::Ok).await, REPEATED);
    });
}

/// Guards against a key window that begins anew with each repeat: workers have forgotten the key of the first run while
/// the dispatcher still sends the job.
#[test]
fn a_repeat_does_not_move_the_key_window() {
    run(async {
        let by_key = Idempotency::WithKey(KeyScope::All);
        let mut engine = EngineHarness::start_with(one_attempt(by_key), &[7], |_| {});
        assert!(send_again(&mut engine, Outcome::Ok).await.1);
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(send_again(&mut engine, Outcome::Ok).await.1, "a repeat within the window");
        // Behind the usable part of the window that the first attempt began, before the end of one from the repeat on.
        tokio::time::sleep(Duration::from_millis(2_700)).await;
        assert_eq!(send_again(&mut engine, Outcome::Ok).await, REPEATED);
    });
}

/// Guards against the rejection of a job that never ran: its client left before the first byte of the attempt was written.
#[test]
fn an_attempt_cancelled_before_its_first_byte_does_not_count() {
    run(async {
        let unsafe_to_repeat = one_attempt(Idempotency::NotIdempotent);
        let mut engine = EngineHarness::start_with(unsafe_to_repeat, &[7], |_| {});
        let pending = engine.submit_with_id("a1");
        engine.next_unwritten_attempt().await;
        drop(pending);
        assert!(send_again(&mut engine, Outcome::Ok).await.1);
        assert_eq!(send_again(&mut engine, Outcome::Ok).await, REPEATED);
    });
}

/// Ids of another process, which publishes one batch after another.
#[derive(Debug)]
struct OtherProcess(Vec<Vec<SentId>>);

impl SharedIds for OtherProcess {
    fn publish(&mut self, _id: SentId, _now: Micros) {}

    fn received(&mut self, _now: Micros) -> Vec<SentId> {
        if self.0.is_empty() {
            Vec::new()
        } else {
            self.0.remove(0)
        }
    }

    fn set_memory_limit(&mut self, _limit: usize) {}
}

/// Guards against a process of an upgrade that forgets a run because another send of the id was withdrawn, and against one
/// that keeps an id of which nothing ran.
#[test]
fn a_withdrawal_counts_for_its_own_send_only() {
    run(async {
        let settings = one_attempt(Idempotency::NotIdempotent);
        let now = Clock::start().now();
        let hash = hash_bytes(b"a1");
        let sent =
            SentId { hash, first_sent_at: now, last_sent_at: now, repeatable_until: 0, may_have_run: true };
        let other = SentId { first_sent_at: now - 5, last_sent_at: now - 5, ..sent };
        let withdrawn = |id| SentId { may_have_run: false, ..id };
        let batches = vec![vec![sent], vec![withdrawn(other)], vec![withdrawn(sent)]];
        let share =
            |engine: &mut dispatcher::engine::Engine| engine.share_ids(Box::new(OtherProcess(batches)));
        let mut engine = EngineHarness::start_with(settings, &[7], share);
        assert_eq!(send_again(&mut engine, Outcome::Ok).await, REPEATED);
        assert_eq!(send_again(&mut engine, Outcome::Ok).await, REPEATED, "another send was withdrawn");
        assert!(send_again(&mut engine, Outcome::Ok).await.1, "nothing ran");
    });
}

/// Guards against a number of ids that stays when the memory limit changes: a small limit forgets the oldest.
#[test]
fn the_number_of_ids_follows_the_memory_limit() {
    run(async {
        let settings = one_attempt(Idempotency::NotIdempotent);
        let mut engine = EngineHarness::start_with(settings, &[7], |_| {});
        assert!(send_again(&mut engine, Outcome::Ok).await.1);
        engine.handle.send(Input::MemoryLimit(4096));
        for id in ["b1", "b2"] {
            let mut pending = engine.submit_with_id(id);
            let attempt = engine.next_attempt().await;
            engine.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::new()));
            pending.final_response().await;
        }
        assert!(send_again(&mut engine, Outcome::Ok).await.1, "two ids fit");
    });
}

/// Guards against a second run of a job whose id comes again after its end, and against the rejection of one that may run
/// again: because nothing ran, because its class is idempotent, or because all workers drop repeats.
#[test]
fn an_id_runs_again_only_where_the_job_may() {
    let with_key = Idempotency::WithKey;
    let cases = [
        (Idempotency::NotIdempotent, Outcome::Ok, false),
        (Idempotency::NotIdempotent, Outcome::Reset, false),
        (Idempotency::NotIdempotent, Outcome::Overloaded, true),
        (with_key(KeyScope::Cell), Outcome::Ok, false),
        (with_key(KeyScope::All), Outcome::Ok, true),
        (Idempotency::Idempotent, Outcome::Ok, true),
    ];
    for (idempotency, outcome, may_run_again) in cases {
        run(async {
            let class = Class { idempotency, key_window: 15.0, latency_objective: 20.0, ..Class::default() };
            let settings = Settings { classes: vec![class], max_attempts: 1, ..settings(1000.0) };
            let mut engine = EngineHarness::start_with(settings, &[7], |_| {});
            let mut first = engine.submit_with_id("a1");
            let attempt = engine.next_attempt().await;
            engine.handle.send(attempt_ended(attempt, outcome, Bytes::new()));
            first.final_response().await;
            let mut again = engine.submit_with_id("a1");
            let response = tokio::select! {
                response = again.final_response() => Some(response),
                _ = engine.next_attempt() => None,
            };
            let repeated = FinalResponse::Invalid(InvalidRequest::RepeatedId);
            let expected = if may_run_again { None } else { Some(repeated) };
            assert_eq!(response, expected, "{idempotency:?}, {outcome:?}");
        });
    }
}
