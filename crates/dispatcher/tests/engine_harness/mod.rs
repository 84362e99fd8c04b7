//! An engine without sockets: the tests submit jobs, receive its commands and report what the network would.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use dispatcher::api::{
    Class, Endpoint, Idempotency, Outcome, Request, RequestId, Settings, Tenant, WorkerId, WorkerState,
};
use dispatcher::engine::{
    AttemptEnd, AttemptId, Clock, Command, Engine, Handle, Input, Job, ListedEndpoint, Micros, Payload,
    PendingJob,
};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Timeout of a request that must be answered long before its deadline.
pub const HOUR: Micros = 3_600_000_000;
/// The only worker of an engine, unless the test names others.
const WORKER: u64 = 7;

/// Runs a test in a runtime of its own.
pub fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Returns settings with one idempotent class and one tenant, which has this quota.
pub fn settings(quota: f64) -> Settings {
    Settings {
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
    }
}

/// Returns the list entry of a worker that serves.
pub fn serving_endpoint(worker: u64) -> ListedEndpoint {
    let endpoint = Endpoint {
        worker: WorkerId(worker),
        kind: 0,
        zone: 0,
        cell: 0,
        started_at: 0.0,
        state: WorkerState::Serving,
    };
    ListedEndpoint { endpoint, address: Some(SocketAddr::from(([127, 0, 0, 1], 9))) }
}

/// Returns the input that reports the end of an attempt.
pub fn attempt_ended(attempt: AttemptId, outcome: Outcome, result: Bytes) -> Input {
    Input::AttemptEnded(AttemptEnd { attempt, outcome, result, load: None })
}

/// An attempt that the engine commanded.
#[derive(Clone, Copy, Debug)]
pub struct CommandedAttempt {
    pub id: AttemptId,
    /// Time after which nothing of the attempt may be written.
    pub not_after: Micros,
}

/// A running engine with its input handle and its commands.
pub struct EngineHarness {
    pub handle: Handle,
    pub commands: mpsc::UnboundedReceiver<Command>,
    pub clock: Clock,
    /// Settings of the jobs that the test submits from now on.
    settings: Settings,
}

impl EngineHarness {
    pub fn start(quota: f64) -> EngineHarness {
        EngineHarness::start_with(settings(quota), &[WORKER], |_| {})
    }

    /// Starts an engine that waits for discovery's first list, for at most `timeout` microseconds.
    pub fn start_awaiting_list(timeout: Micros) -> EngineHarness {
        EngineHarness::start_with(settings(1000.0), &[WORKER], |engine| engine.await_initial_list(timeout))
    }

    /// Starts an engine whose saved list names these workers.
    pub fn start_with(
        settings: Settings,
        workers: &[u64],
        prepare: impl FnOnce(&mut Engine),
    ) -> EngineHarness {
        let (sender, commands) = mpsc::unbounded_channel();
        let (handle, inputs) = Handle::channel();
        let clock = Clock::start();
        let saved_endpoints = workers.iter().copied().map(serving_endpoint).collect();
        let mut engine = Engine::new(settings.clone(), 1, saved_endpoints, clock, sender);
        prepare(&mut engine);
        tokio::task::spawn_local(engine.run(inputs));
        EngineHarness { handle, commands, clock, settings }
    }

    /// Replaces the settings, which bind the jobs that are accepted from now on.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings.clone();
        self.handle.send(Input::Configure(Box::new(settings)));
    }

    /// Returns a job of the first class, as accepted under the present settings.
    pub fn job(&self, timeout: Micros, payload: Payload) -> Job {
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
        Job { request, settings: self.settings.for_job(request.class), timeout, payload }
    }

    pub fn submit(&self, timeout: Micros) -> PendingJob {
        self.handle.submit(self.job(timeout, Payload::default()))
    }

    pub fn submit_with_id(&self, id: &'static str) -> PendingJob {
        self.handle.submit(self.job(HOUR, Payload { id: Bytes::from(id), ..Payload::default() }))
    }

    /// Waits for the engine's next attempt command.
    pub async fn next_attempt(&mut self) -> AttemptId {
        self.next_commanded_attempt().await.id
    }

    /// Waits for the engine's next attempt command, and begins to write its request.
    pub async fn next_commanded_attempt(&mut self) -> CommandedAttempt {
        let (attempt, payload) = self.next_unwritten_attempt().await;
        payload.write_started.set(true);
        attempt
    }

    /// Waits for the engine's next attempt command, and returns it with its request, of which nothing is written.
    pub async fn next_unwritten_attempt(&mut self) -> (CommandedAttempt, Rc<Payload>) {
        loop {
            match self.commands.recv().await.expect("a command") {
                Command::Attempt { attempt, not_after, payload, .. } => {
                    return (CommandedAttempt { id: attempt, not_after }, payload)
                }
                Command::Cancel(_)
                | Command::HealthCheck(_)
                | Command::CloseIdle(_)
                | Command::EndpointList { .. } => {}
            }
        }
    }
}
