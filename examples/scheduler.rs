//! A small scheduler that embeds the `Dispatcher`: it passes events and carries out the actions.
//!
//! The three workers here are simulated and respond at once. A real scheduler replaces `send` by its
//! transport and `now` by its clock, and arms a timer for `SetTimer`.
//!
//! Run the example with `cargo run --example scheduler`.

use std::collections::{HashMap, VecDeque};

use dispatcher::api::{
    Class, Endpoint, Idempotency, ListScope, Outcome, Request, RequestId, Tenant, WorkerId, WorkerState,
};
use dispatcher::{Action, Dispatcher, Event, Settings};

#[expect(clippy::too_many_lines, reason = "an example reads from top to bottom")]
fn main() {
    let settings = Settings {
        classes: vec![Class {
            idempotency: Idempotency::Idempotent,
            latency_objective: 0.2,
            run_time_allowance: 2.0,
            ..Class::default()
        }],
        tenants: vec![Tenant { share: 1.0, quota: 50.0 }],
        max_attempts: 3,
        max_retry_after: 2.0,
        ..Settings::default()
    };
    let mut dispatcher = Dispatcher::new(settings.clone(), 42);
    let mut now = 0.0;
    let mut actions = Vec::new();
    dispatcher.start(now, &mut actions);

    // The id of a worker must be the same at every scheduler, for example a hash of its name.
    let endpoint = |id| Endpoint {
        worker: WorkerId(id),
        kind: 0,
        zone: 0,
        cell: 0,
        started_at: 0.0,
        state: WorkerState::Serving,
    };
    let workers: Vec<Endpoint> = [11, 12, 13].map(endpoint).to_vec();
    dispatcher.on_event(
        now,
        Event::EndpointList { scope: ListScope::Full, endpoints: &workers },
        &mut actions,
    );

    let (mut served, mut rejected) = (0, 0);
    let mut last_attempts: HashMap<RequestId, u32> = HashMap::new();
    for id in 0..120 {
        now += 0.01;
        let job = Request {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            slots: 1.0,
            memory: 0.0,
            timeout: 1.0,
            is_retry: false,
            expected_run_time: None,
            affinity_key: None,
        };
        // A job keeps the settings under which it is accepted, whatever a reload changes later.
        let accepted = Event::Request { request: job, settings: settings.for_job(job.class) };
        dispatcher.on_event(now, accepted, &mut actions);

        // Carries out the actions. Each attempt ends exactly once, and its end may cause further actions.
        let mut pending: VecDeque<Action> = actions.drain(..).collect();
        while let Some(action) = pending.pop_front() {
            match action {
                Action::Send { request, worker, .. } => {
                    let outcome = send(request, worker);
                    let complete = outcome == Outcome::Ok;
                    served += u32::from(complete);
                    // Attempts are numbered in the order of their sends.
                    let attempt =
                        *last_attempts.entry(request).and_modify(|attempt| *attempt += 1).or_insert(0);
                    let ended = Event::AttemptEnded { request, attempt, outcome, complete, load: None };
                    dispatcher.on_event(now, ended, &mut actions);
                    pending.extend(actions.drain(..));
                }
                Action::Reject { request, retry_after } => {
                    rejected += 1;
                    println!("{request:?} rejected, retry after {retry_after:?} s");
                }
                // A real scheduler arms its timer, cancels attempts, probes workers and watches the endpoint
                // list here.
                other => println!("at {now:.2} s: {other:?}"),
            }
        }
    }
    println!("{served} served, {rejected} rejected");
    assert!(served > 60 && served + rejected <= 120);
}

/// Sends a job to a worker; here every job is served at once.
fn send(_request: RequestId, _worker: WorkerId) -> Outcome {
    Outcome::Ok
}
