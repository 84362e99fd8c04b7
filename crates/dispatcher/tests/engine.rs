//! The engine without sockets: what the queue promises whatever the network does.

use std::net::SocketAddr;

use bytes::Bytes;
use dispatcher::api::{
    Class, Endpoint, Idempotency, ListScope, Outcome, Request, RequestId, Settings, Tenant, WorkerId,
    WorkerState,
};
use dispatcher::engine::{
    AttemptEnd, AttemptId, AttemptStage, Clock, Command, Engine, FinalResponse, Handle, Input,
    InvalidRequest, Job, ListedEndpoint, Payload, PendingJob,
};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// An engine, the way to it, and what it wants done.
struct Bench {
    handle: Handle,
    commands: mpsc::UnboundedReceiver<Command>,
}

impl Bench {
    fn start(quota: f64) -> Bench {
        Bench::start_with(quota, |_| {})
    }

    /// One that waits for discovery for so long at the most.
    fn start_unheard(longest: u64) -> Bench {
        Bench::start_with(1000.0, |engine| engine.await_initial_list(longest))
    }

    fn start_with(quota: f64, prepare: impl FnOnce(&mut Engine)) -> Bench {
        let settings = Settings {
            classes: vec![Class {
                idempotency: Idempotency::Idempotent,
                latency_objective: 0.2,
                ..Class::default()
            }],
            tenants: vec![Tenant { share: 1.0, quota }],
            cancellation_allowed: true,
            max_attempts: 3,
            max_retry_after: 2.0,
            ..Settings::default()
        };
        let address = Some(SocketAddr::from(([127, 0, 0, 1], 9)));
        let member = Endpoint {
            worker: WorkerId(7),
            kind: 0,
            zone: 0,
            cell: 0,
            started_at: 0.0,
            state: WorkerState::Serving,
        };
        let (sender, commands) = mpsc::unbounded_channel();
        let (handle, inputs) = Handle::channel();
        let mut engine = Engine::new(
            settings,
            1,
            vec![ListedEndpoint { endpoint: member, address }],
            Clock::start(),
            sender,
        );
        prepare(&mut engine);
        tokio::task::spawn_local(engine.run(inputs));
        Bench { handle, commands }
    }

    fn submit(&self, timeout: u64) -> PendingJob {
        self.submit_job(timeout, Payload::default())
    }

    fn submit_as(&self, id: &'static str) -> PendingJob {
        self.submit_job(HOUR, Payload { id: Bytes::from(id), ..Payload::default() })
    }

    fn submit_job(&self, timeout: u64, payload: Payload) -> PendingJob {
        let request = Request {
            id: RequestId(0),
            class: 0,
            tenant: 0,
            slots: 1.0,
            memory: 0.0,
            timeout: 0.0,
            is_retry: false,
            expected_run_time: None,
            affinity_key: None,
        };
        self.handle.submit(Job { request, timeout, payload })
    }

    /// The next attempt that is wanted.
    async fn attempt(&mut self) -> AttemptId {
        loop {
            match self.commands.recv().await.expect("a command") {
                Command::Attempt { attempt, .. } => return attempt,
                Command::Cancel(_)
                | Command::HealthCheck(_)
                | Command::CloseIdle(_)
                | Command::EndpointList { .. } => {}
            }
        }
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn attempt_ended(attempt: AttemptId, outcome: Outcome, result: Bytes) -> Input {
    Input::AttemptEnded(AttemptEnd { attempt, outcome, result, load: None })
}

const HOUR: u64 = 3_600_000_000;

/// Guards against answers held back until near the deadline: with an hour to go, what the throttle declines is
/// answered at once, and the client is told when to come back.
#[test]
fn what_the_module_declines_is_answered_at_once() {
    run(async {
        let bench = Bench::start(5.0);
        let mut tickets: Vec<PendingJob> = (0..200).map(|_| bench.submit(HOUR)).collect();
        let mut rejected = 0;
        for ticket in tickets.iter_mut().rev().take(150) {
            match ticket.final_response().await {
                FinalResponse::Rejected { retry_after: Some(after) } if after > 0.0 && after <= 2.0 => {
                    rejected += 1
                }
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(rejected, 150);
    });
}

/// Guards against an attempt that ends twice or a request that is answered twice: a late end, a late start and
/// the client's leaving after the answer change nothing.
#[test]
fn an_attempt_ends_once_and_a_request_is_answered_once() {
    run(async {
        let mut bench = Bench::start(1000.0);
        let mut ticket = bench.submit(HOUR);
        let attempt = bench.attempt().await;
        for result in ["first", "second"] {
            bench.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::from(result)));
        }
        bench.handle.send(attempt_ended(attempt, Outcome::Reset, Bytes::new()));
        bench.handle.send(Input::JobStarted(attempt));
        bench.handle.send(attempt_ended(AttemptId { number: 17, ..attempt }, Outcome::Ok, Bytes::new()));
        bench.handle.send(Input::ClientDisconnected(attempt.request));
        assert_eq!(ticket.final_response().await, FinalResponse::Served(Bytes::from("first")));
        // It goes on.
        let mut next = bench.submit(HOUR);
        let attempt = bench.attempt().await;
        bench.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::from("next")));
        assert_eq!(next.final_response().await, FinalResponse::Served(Bytes::from("next")));
    });
}

/// Guards against two open requests of one id: workers know jobs by it. The first is left alone, and once it has
/// ended its id is free.
#[test]
fn an_id_that_is_open_is_not_taken_again() {
    run(async {
        let mut bench = Bench::start(1000.0);
        let mut first = bench.submit_as("a1");
        let attempt = bench.attempt().await;
        assert_eq!(
            bench.submit_as("a1").final_response().await,
            FinalResponse::Invalid(InvalidRequest::DuplicateId)
        );
        bench.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::from("one")));
        assert_eq!(first.final_response().await, FinalResponse::Served(Bytes::from("one")));
        let mut again = bench.submit_as("a1");
        let attempt = bench.attempt().await;
        // What a worker cannot use ends here: no other is asked.
        bench.handle.send(attempt_ended(attempt, Outcome::InvalidRequest, Bytes::new()));
        assert_eq!(again.final_response().await, FinalResponse::Invalid(InvalidRequest::Unusable));
    });
}

/// Guards against an attempt that outlives its client's deadline, and against a request without an answer there.
#[test]
fn the_deadline_ends_the_attempt_and_answers() {
    run(async {
        let mut bench = Bench::start(1000.0);
        let mut ticket = bench.submit(50_000);
        let attempt = bench.attempt().await;
        assert!(
            matches!(ticket.final_response().await, FinalResponse::Rejected { .. }),
            "nothing ran: rejected"
        );
        let cancelled = bench.commands.recv().await;
        assert!(matches!(cancelled, Some(Command::Cancel(id)) if id == attempt), "{cancelled:?}");
    });
}

/// Guards against work for a client that has left.
#[test]
fn a_dropped_ticket_cancels_its_attempt() {
    run(async {
        let mut bench = Bench::start(1000.0);
        let ticket = bench.submit(HOUR);
        let attempt = bench.attempt().await;
        drop(ticket);
        let cancelled = bench.commands.recv().await;
        assert!(matches!(cancelled, Some(Command::Cancel(id)) if id == attempt), "{cancelled:?}");
    });
}

/// Guards against requests that are left open when the program ends: one that may run is failed, not rejected,
/// and what comes after is rejected.
#[test]
fn the_end_answers_what_is_open() {
    run(async {
        let mut bench = Bench::start(1000.0);
        let mut open = bench.submit(HOUR);
        bench.attempt().await;
        bench.handle.send(Input::Shutdown);
        assert_eq!(open.final_response().await, FinalResponse::Failed);
        assert_eq!(bench.submit(HOUR).final_response().await, FinalResponse::Rejected { retry_after: None });
    });
}

/// Guards against taking what may have run for what never did: only a request whose last byte was not written is
/// known not to have run.
#[test]
fn a_broken_connection_means_what_was_written_on_it() {
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

/// Guards against a job that goes by the list as last held before discovery was heard, where lists are pushed; and
/// against one that waits there for longer than its client, or for a client that has left.
#[test]
fn what_comes_before_discovery_is_heard_waits_for_it() {
    run(async {
        let mut bench = Bench::start_unheard(HOUR);
        assert!(matches!(
            bench.commands.recv().await,
            Some(Command::EndpointList { scope: ListScope::Cached, .. })
        ));
        assert_eq!(
            bench.submit(20_000).final_response().await,
            FinalResponse::Rejected { retry_after: None },
            "its time is up"
        );
        drop(bench.submit(HOUR));
        let mut waits = bench.submit(HOUR);
        bench.handle.send(Input::EndpointList { scope: ListScope::Full, endpoints: Vec::new() });
        assert!(matches!(
            bench.commands.recv().await,
            Some(Command::EndpointList { scope: ListScope::Full, .. })
        ));
        assert!(
            matches!(waits.final_response().await, FinalResponse::Rejected { retry_after: Some(_) }),
            "no worker is left"
        );
        assert!(bench.commands.try_recv().is_err(), "nothing was sent");
    });
}

/// Without word of discovery the list as last held serves after a while.
#[test]
fn what_waits_for_discovery_goes_on_without_it_in_the_end() {
    run(async {
        let mut bench = Bench::start_unheard(20_000);
        let _ticket = bench.submit(HOUR);
        bench.attempt().await;
    });
}

/// A list that discovery sends bars workers for the sockets before the module hears of it, and names all.
#[test]
fn the_list_reaches_the_sockets_first() {
    run(async {
        let mut bench = Bench::start(1000.0);
        assert!(
            matches!(bench.commands.recv().await, Some(Command::EndpointList { scope: ListScope::Cached, endpoints: all }) if all.len() == 1)
        );
        bench.handle.send(Input::EndpointList { scope: ListScope::Full, endpoints: Vec::new() });
        assert!(
            matches!(bench.commands.recv().await, Some(Command::EndpointList { scope: ListScope::Full, endpoints: all }) if all.is_empty())
        );
        assert!(matches!(
            bench.submit(HOUR).final_response().await,
            FinalResponse::Rejected { retry_after: Some(_) }
        ));
    });
}

/// The successor of a process that drains may serve already, and has the same part of each slow-start budget.
#[test]
fn a_process_that_drains_sends_no_more_to_a_worker_that_is_warming_up() {
    run(async {
        let mut bench = Bench::start(1000.0);
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
        bench.handle.send(Input::Configure(Box::new(settings)));
        let endpoint = Endpoint {
            worker: WorkerId(8),
            kind: 0,
            zone: 0,
            cell: 0,
            started_at: unix.as_secs_f64() - 1.0,
            state: WorkerState::Serving,
        };
        let address = Some(SocketAddr::from(([127, 0, 0, 1], 9)));
        bench.handle.send(Input::EndpointList {
            scope: ListScope::Full,
            endpoints: vec![ListedEndpoint { endpoint, address }],
        });
        // The slice of the start is over.
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        let mut first = bench.submit(HOUR);
        let attempt = bench.attempt().await;
        bench.handle.send(attempt_ended(attempt, Outcome::Ok, Bytes::from("x")));
        assert_eq!(first.final_response().await, FinalResponse::Served(Bytes::from("x")));
        bench.handle.send(Input::Draining);
        let _second = bench.submit(HOUR);
        // Without the share it would be sent at once, or with the next slice of 0.1 s.
        let sent = tokio::time::timeout(std::time::Duration::from_millis(400), bench.attempt()).await;
        assert!(sent.is_err(), "{sent:?}");
    });
}
