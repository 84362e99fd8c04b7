//! The engine without sockets: its guarantees for attempts and requests, regardless of what the network does.

mod engine_harness;

use std::net::SocketAddr;

use bytes::Bytes;
use dispatcher::api::{
    Class, Endpoint, Idempotency, ListScope, Outcome, Settings, Tenant, WorkerId, WorkerState,
};
use dispatcher::engine::{
    AttemptId, AttemptStage, Command, FinalResponse, Input, InvalidRequest, ListedEndpoint, PendingJob,
};
use engine_harness::{attempt_ended, run, EngineHarness, HOUR};

/// Guards against responses that are held back until the deadline: a request that exceeds the tenant's quota is
/// rejected immediately, an hour before its deadline, with the time after which the client may try again.
#[test]
fn requests_over_the_quota_are_rejected_immediately() {
    run(async {
        let engine = EngineHarness::start(5.0);
        let mut pending_jobs: Vec<PendingJob> = (0..200).map(|_| engine.submit(HOUR)).collect();
        let mut rejected = 0;
        for pending in pending_jobs.iter_mut().rev().take(150) {
            match pending.final_response().await {
                FinalResponse::Rejected { retry_after: Some(after) } if after > 0.0 && after <= 2.0 => {
                    rejected += 1
                }
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(rejected, 150);
    });
}

/// Guards against an attempt that ends twice or a request that is answered twice: after the first end, further ends, a
/// late start and a disconnect of the client have no effect.
#[test]
fn an_attempt_ends_once_and_a_request_is_answered_once() {
    run(async {
        let mut engine = EngineHarness::start(1000.0);
        let mut pending = engine.submit(HOUR);
        let attempt = engine.next_attempt().await;
        for result in ["first", "second"] {
            engine.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::from(result)));
        }
        engine.handle.send(attempt_ended(attempt, Outcome::Reset, Bytes::new()));
        engine.handle.send(Input::JobStarted(attempt));
        engine.handle.send(attempt_ended(AttemptId { number: 17, ..attempt }, Outcome::Ok, Bytes::new()));
        engine.handle.send(Input::ClientDisconnected(attempt.request));
        assert_eq!(pending.final_response().await, FinalResponse::Served(Bytes::from("first")));
        // The engine still serves further requests.
        let mut next = engine.submit(HOUR);
        let attempt = engine.next_attempt().await;
        engine.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::from("next")));
        assert_eq!(next.final_response().await, FinalResponse::Served(Bytes::from("next")));
    });
}

/// Guards against two open requests with the same id, by which workers identify jobs. The second request is rejected,
/// the first one is not affected, and the id can be used again once the first one has ended.
#[test]
fn the_id_of_an_open_request_cannot_be_used_again() {
    run(async {
        let mut engine = EngineHarness::start(1000.0);
        let mut first = engine.submit_with_id("a1");
        let attempt = engine.next_attempt().await;
        assert_eq!(
            engine.submit_with_id("a1").final_response().await,
            FinalResponse::Invalid(InvalidRequest::DuplicateId)
        );
        engine.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::from("one")));
        assert_eq!(first.final_response().await, FinalResponse::Served(Bytes::from("one")));
        let mut again = engine.submit_with_id("a1");
        let attempt = engine.next_attempt().await;
        // A request that a worker rejects as unusable is answered without an attempt at another worker.
        engine.handle.send(attempt_ended(attempt, Outcome::InvalidRequest, Bytes::new()));
        assert_eq!(again.final_response().await, FinalResponse::Invalid(InvalidRequest::Unusable));
    });
}

/// Guards against an attempt that outlives its request's deadline, and against a request that is unanswered at its
/// deadline.
#[test]
fn the_deadline_cancels_the_attempt_and_answers_the_request() {
    run(async {
        let mut engine = EngineHarness::start(1000.0);
        let mut pending = engine.submit(50_000);
        let attempt = engine.next_attempt().await;
        assert!(
            matches!(pending.final_response().await, FinalResponse::Rejected { .. }),
            "nothing ran, so the request is rejected"
        );
        let cancelled = engine.commands.recv().await;
        assert!(matches!(cancelled, Some(Command::Cancel(id)) if id == attempt), "{cancelled:?}");
    });
}

/// Guards against work for a client that has disconnected.
#[test]
fn dropping_a_pending_job_cancels_its_attempt() {
    run(async {
        let mut engine = EngineHarness::start(1000.0);
        let pending = engine.submit(HOUR);
        let attempt = engine.next_attempt().await;
        drop(pending);
        let cancelled = engine.commands.recv().await;
        assert!(matches!(cancelled, Some(Command::Cancel(id)) if id == attempt), "{cancelled:?}");
    });
}

/// Guards against requests that stay unanswered when the process ends: a request whose job may be running fails instead
/// of being rejected, and requests after the shutdown are rejected.
#[test]
fn shutdown_answers_open_requests() {
    run(async {
        let mut engine = EngineHarness::start(1000.0);
        let mut open = engine.submit(HOUR);
        engine.next_attempt().await;
        engine.handle.send(Input::Shutdown);
        assert_eq!(open.final_response().await, FinalResponse::Failed);
        assert_eq!(engine.submit(HOUR).final_response().await, FinalResponse::Rejected { retry_after: None });
    });
}

/// Guards against treating a job that may have run as one that never ran: only a job whose request was not written up to
/// its last byte is certain not to have run.
#[test]
fn the_outcome_of_a_lost_connection_depends_on_what_was_written() {
    let outcomes = [
        AttemptStage::NotConnected,
        AttemptStage::PartiallyWritten,
        AttemptStage::Written,
        AttemptStage::Started,
    ]
    .map(AttemptStage::outcome_if_disconnected);
    assert_eq!(outcomes, [Outcome::ConnectFailed, Outcome::ConnectFailed, Outcome::Reset, Outcome::Reset]);
    assert_eq!(outcomes.map(Outcome::never_ran), [true, true, false, false]);
}

/// Guards against a job that is sent according to the saved list before discovery, which pushes its lists, has sent
/// one. While it waits, a request is still answered at its deadline, and is dropped if its client disconnects.
#[test]
fn requests_wait_for_the_first_list_of_discovery() {
    run(async {
        let mut engine = EngineHarness::start_awaiting_list(HOUR);
        assert!(matches!(
            engine.commands.recv().await,
            Some(Command::EndpointList { scope: ListScope::Cached, .. })
        ));
        assert_eq!(
            engine.submit(20_000).final_response().await,
            FinalResponse::Rejected { retry_after: None },
            "the deadline passed while the request waited"
        );
        drop(engine.submit(HOUR));
        let mut waiting = engine.submit(HOUR);
        engine.handle.send(Input::EndpointList { scope: ListScope::Full, endpoints: Vec::new() });
        assert!(matches!(
            engine.commands.recv().await,
            Some(Command::EndpointList { scope: ListScope::Full, .. })
        ));
        assert!(
            matches!(waiting.final_response().await, FinalResponse::Rejected { retry_after: Some(_) }),
            "no worker is left"
        );
        assert!(engine.commands.try_recv().is_err(), "no job was sent");
    });
}

/// If discovery sends no list within the timeout, waiting requests use the saved list.
#[test]
fn requests_use_the_saved_list_after_the_timeout() {
    run(async {
        let mut engine = EngineHarness::start_awaiting_list(20_000);
        let _pending = engine.submit(HOUR);
        engine.next_attempt().await;
    });
}

/// The network layer receives each list with all its entries, and before the decision module sends a job according to
/// it.
#[test]
fn the_list_reaches_the_network_layer_first() {
    run(async {
        let mut engine = EngineHarness::start(1000.0);
        assert!(
            matches!(engine.commands.recv().await, Some(Command::EndpointList { scope: ListScope::Cached, endpoints: all }) if all.len() == 1)
        );
        engine.handle.send(Input::EndpointList { scope: ListScope::Full, endpoints: Vec::new() });
        assert!(
            matches!(engine.commands.recv().await, Some(Command::EndpointList { scope: ListScope::Full, endpoints: all }) if all.is_empty())
        );
        assert!(matches!(
            engine.submit(HOUR).final_response().await,
            FinalResponse::Rejected { retry_after: Some(_) }
        ));
    });
}

/// A draining process must release its slow-start share, because its successor may already use the same share.
#[test]
fn a_draining_process_sends_no_more_work_to_a_worker_in_slow_start() {
    run(async {
        let mut engine = EngineHarness::start(1000.0);
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
        let settings = Settings {
            classes: vec![Class { idempotency: Idempotency::Idempotent, ..Class::default() }],
            tenants: vec![Tenant { share: 1.0, quota: 1000.0 }],
            cancellation_allowed: true,
            max_attempts: 3,
            slow_start_duration: 10_000.0,
            slow_start_min_capacity: 0.5,
            overload_multiple: 1000.0,
            overload_window: 0.1,
            ..Settings::default()
        };
        engine.configure(settings);
        let endpoint = Endpoint {
            worker: WorkerId(8),
            kind: 0,
            zone: 0,
            cell: 0,
            started_at: unix.as_secs_f64() - 1.0,
            state: WorkerState::Serving,
        };
        let address = Some(SocketAddr::from(([127, 0, 0, 1], 9)));
        engine.handle.send(Input::EndpointList {
            scope: ListScope::Full,
            endpoints: vec![ListedEndpoint { endpoint, address }],
        });
        // The time slice that contains the start of the process ends after 0.1 s.
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        let mut first = engine.submit(HOUR);
        let attempt = engine.next_attempt().await;
        engine.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::from("x")));
        assert_eq!(first.final_response().await, FinalResponse::Served(Bytes::from("x")));
        engine.handle.send(Input::Draining);
        let _second = engine.submit(HOUR);
        // With the share, the job would be sent immediately or in the next time slice of 0.1 s.
        let sent = tokio::time::timeout(std::time::Duration::from_millis(400), engine.next_attempt()).await;
        assert!(sent.is_err(), "{sent:?}");
    });
}
