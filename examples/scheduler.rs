//! A small scheduler around the `Dispatcher`: what a program of your own does with its events and actions.
//!
//! The workers here are three ids that answer at once; put your own transport in `send`, your own
//! clock in `now` and your own timer in `SetTimer`. Run it with `cargo run --example scheduler`.

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
    let mut dispatcher = Dispatcher::new(settings, 42);
    let mut now = 0.0;
    let mut actions = Vec::new();
    dispatcher.start(now, &mut actions);

    // The ids of workers must be the same at every scheduler: a hash of the name, say.
    let member = |id| Endpoint {
        worker: WorkerId(id),
        kind: 0,
        zone: 0,
        cell: 0,
        started_at: 0.0,
        state: WorkerState::Serving,
    };
    let workers: Vec<Endpoint> = [11, 12, 13].map(member).to_vec();
    dispatcher.on_event(
        now,
        Event::EndpointList { scope: ListScope::Full, endpoints: &workers },
        &mut actions,
    );

    let (mut served, mut refused) = (0, 0);
    let mut tries: HashMap<RequestId, u32> = HashMap::new();
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
        dispatcher.on_event(now, Event::Request(job), &mut actions);

        // Carry out what is wanted; each attempt ends exactly once, and its end may want more.
        let mut todo: VecDeque<Action> = actions.drain(..).collect();
        while let Some(action) = todo.pop_front() {
            match action {
                Action::Send { request, worker, .. } => {
                    let outcome = send(request, worker);
                    let complete = outcome == Outcome::Ok;
                    served += u32::from(complete);
                    // Attempts are numbered in the order of their sends.
                    let attempt = *tries.entry(request).and_modify(|n| *n += 1).or_insert(0);
                    let ended = Event::AttemptEnded { request, attempt, outcome, complete, load: None };
                    dispatcher.on_event(now, ended, &mut actions);
                    todo.extend(actions.drain(..));
                }
                Action::Reject { request, retry_after } => {
                    refused += 1;
                    println!("{request:?} refused, come back in {retry_after:?} s");
                }
                // A real scheduler arms its timer, cancels, probes and follows the worker list here.
                other => println!("at {now:.2} s: {other:?}"),
            }
        }
    }
    println!("{served} served, {refused} refused");
    assert!(served > 60 && served + refused <= 120);
}

/// Stands for the network.
fn send(_request: RequestId, _worker: WorkerId) -> Outcome {
    Outcome::Ok
}
