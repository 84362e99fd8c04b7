//! Bad input, and troubles that nobody has listed: the dispatcher stays defined and keeps the rules.

mod common;

use common::*;
use dispatch_core::api::*;

/// Sends requests at a steady pace and answers each attempt after a tenth of a second with the given outcome.
fn play(d: &mut Driver, from: u64, count: u64, answer: impl Fn(WorkerId) -> Outcome) -> usize {
    for id in from..from + count {
        d.request(request(id));
        d.advance(0.05);
        for open in d.open_attempts.clone() {
            let send = d.requests[&open.request].sends[open.number as usize];
            if d.now - send.sent_at >= 0.1 {
                d.end_attempt(open.request, open.number, answer(send.worker));
            }
        }
    }
    let served = |id: &u64| d.requests[id].sends.iter().any(|send| send.outcome == Some(Outcome::Ok));
    (from..from + count).filter(served).count()
}

fn sends_to(d: &Driver, worker: u64) -> usize {
    d.requests.values().flat_map(|s| &s.sends).filter(|send| send.worker == WorkerId(worker)).count()
}

#[test]
fn accepts_settings_out_of_range() {
    for cfg in [
        Settings { instances: 0, instance: 9, zone: 77, ..settings() },
        Settings { tenants: vec![Tenant { share: 0.0, quota: 0.0 }; 2], ..settings() },
        Settings {
            tenants: vec![Tenant { share: 2.0, quota: 9.0 }, Tenant { share: -1.0, quota: -5.0 }],
            ..settings()
        },
        Settings { tenants: vec![Tenant { share: f64::NAN, quota: f64::NAN }], ..settings() },
        // Shorter than the least wait between two calls: bounds the wrong way round were a panic.
        Settings { polls_endpoint_list: true, max_poll_interval: 0.3, ..settings() },
        Settings {
            max_attempts: 0,
            clock_resolution: 0.0,
            overload_window: 0.0,
            slow_start_min_capacity: 0.0,
            ..settings()
        },
    ] {
        let mut d = Driver::new(Settings { max_attempts: cfg.max_attempts.max(1), ..cfg }, 1, &fleet(3));
        d.advance(2.0);
        d.send_list(ListScope::Failed, &[]);
        let served = play(&mut d, 0, 60, |_| Outcome::Ok);
        d.advance(10.0);
        assert!(d.requests.values().all(|s| s.answers == 1));
        assert!(served > 0, "{:?}", d.cfg.tenants);
    }
}

#[test]
fn rejects_every_job_without_workers() {
    let mut d = Driver::new(settings(), 1, &[]);
    d.advance(2.0);
    play(&mut d, 0, 10, |_| Outcome::Ok);
    d.advance(10.0);
    assert!(d.requests.values().all(|s| s.answers == 1 && s.sends.is_empty()));
}

/// One job of a million slots must not open the banks to everything that follows.
#[test]
fn rejects_a_job_larger_than_any_worker_without_growing_the_banks() {
    let mut d = Driver::new(settings(), 1, &fleet(3));
    for w in 1..=3 {
        d.probed(WorkerId(w), 4.0);
    }
    d.advance(2.0);
    for (id, slots) in [(1, 1e9), (2, f64::INFINITY), (3, 50.0)] {
        d.request(Request { slots, ..request(id) });
        assert!(d.requests[&id].sends.is_empty() && d.requests[&id].answers == 1);
    }
    for id in 10..3000 {
        d.request(request(id));
    }
    let admitted = d.requests.values().filter(|s| s.answers == 0).count();
    assert!(admitted < 400, "R is 120 a second, banks hold a second or two: {admitted} admitted at once");
}

#[test]
fn takes_figures_that_are_no_numbers_for_the_least() {
    let mut d = Driver::new(settings(), 1, &fleet(3));
    d.advance(2.0);
    d.request(Request { slots: f64::NAN, memory: f64::NAN, ..request(1) });
    d.request(Request { slots: -3.0, memory: -1.0, class: 3, tenant: 1, ..request(2) });
    let load =
        Some(LoadReport { free_slots: Some(f64::NAN), free_memory: Some(-7.0), ..LoadReport::default() });
    d.event(Event::ProbeEnded { worker: WorkerId(1), ok: true, load });
    assert!(play(&mut d, 10, 20, |_| Outcome::Ok) > 10);
}

/// A clock that stands still, falls back or leaps a year ahead.
#[test]
fn survives_clocks_that_stop_fall_back_or_leap() {
    let mut d = Driver::new(settings(), 1, &fleet(3));
    d.advance(2.0);
    for id in 0..50 {
        d.request(request(id));
    }
    d.now -= 1.5;
    d.request(request(100));
    d.advance(20.0);
    d.now += 3.2e7;
    d.event(Event::Timer(u64::MAX));
    d.now += 1.0;
    assert!(play(&mut d, 200, 40, |_| Outcome::Ok) > 20, "it serves on after a leap");
}

/// A report that is frozen at "all free" is believed less than the worker's own full answers.
#[test]
fn trusts_overloaded_answers_over_false_load_reports() {
    let mut d = Driver::new(settings(), 1, &fleet(8));
    d.advance(2.0);
    for id in 0..100 {
        d.probed(WorkerId(2), 9.0);
        play(&mut d, id, 1, |w| if w.0 == 2 { Outcome::Overloaded } else { Outcome::Ok });
    }
    let at_liar = sends_to(&d, 2);
    assert!(at_liar < 40, "{at_liar} of 100 jobs were pushed to the worker that says it is free and is full");
}

/// Errors that come fast make a worker look quick and empty: it is ejected, and tried again later.
#[test]
fn ejects_a_worker_on_fast_errors_and_readmits_it() {
    let mut d = Driver::new(settings(), 1, &fleet(6));
    d.advance(2.0);
    play(&mut d, 0, 200, |w| if w.0 == 2 { Outcome::Error } else { Outcome::Ok });
    let sick = sends_to(&d, 2);
    assert!((2..=14).contains(&sick), "{sick} of 200 jobs met the failing worker");
    d.advance(10.0);
    play(&mut d, 1000, 200, |_| Outcome::Ok);
    assert!(sends_to(&d, 2) > sick + 10, "once it works it gets its part again");
}

/// Only some workers can be reached from here: the others are served as before.
#[test]
fn avoids_unreachable_workers() {
    let mut d = Driver::new(settings(), 1, &fleet(10));
    d.advance(2.0);
    play(&mut d, 0, 100, |w| if w.0 > 6 { Outcome::ConnectFailed } else { Outcome::Ok });
    let served = play(&mut d, 100, 200, |w| if w.0 > 6 { Outcome::ConnectFailed } else { Outcome::Ok });
    assert!(served > 180, "{served} of 200 served by the six in reach");
}

/// Everything looks bad: it is the network or we, and serving goes on as soon as anything works.
#[test]
fn keeps_sending_when_all_workers_fail() {
    let mut d = Driver::new(settings(), 1, &fleet(6));
    d.advance(2.0);
    play(&mut d, 0, 100, |_| Outcome::Reset);
    let served = play(&mut d, 1000, 100, |_| Outcome::Ok);
    assert!(served > 60, "{served} of 100 served at once when the network is back");
}

/// An old list comes late: a restart that it does not know is not undone, and the newer list follows.
#[test]
fn keeps_the_rules_on_an_outdated_endpoint_list() {
    let mut d = Driver::new(settings(), 1, &fleet(6));
    d.advance(2.0);
    let young = Endpoint { started_at: d.now, ..endpoint(2, WorkerState::Serving) };
    d.send_list(ListScope::Incremental, &[young, endpoint(4, WorkerState::Draining)]);
    let old = fleet(6);
    d.send_list(ListScope::Cached, &old);
    play(&mut d, 0, 40, |_| Outcome::Ok);
    d.send_list(ListScope::Full, &[young, endpoint(1, WorkerState::Serving)]);
    let before = d.requests.len() as u64;
    play(&mut d, before, 40, |_| Outcome::Ok);
    let ok = |w: &WorkerId| w.0 == 1 || w.0 == 2;
    let sends = d.requests.range(before..).flat_map(|(_, s)| &s.sends);
    assert!(sends.clone().all(|send| ok(&send.worker)) && sends.count() > 20);
}

/// How many workers of the own zone get work from this request on.
fn near_in_use(d: &Driver, from: u64) -> usize {
    let used = |w: &u64| {
        d.requests.range(from..).any(|(_, s)| s.sends.iter().any(|send| send.worker == WorkerId(*w)))
    };
    (2..=6).step_by(2).filter(used).count()
}

/// Requests that no worker can use, from clients that send them again as soon as they are rejected: they are
/// the clients' fault, and no worker is left out for them (each excluded_since four, and took four from its tenant's bank).
#[test]
fn invalid_requests_eject_no_worker() {
    let mut d = Driver::new(settings(), 1, &fleet(6));
    d.advance(2.0);
    play(&mut d, 0, 30, |_| Outcome::InvalidRequest);
    assert!(d.requests.values().all(|s| s.sends.len() <= 1), "what one rejects is not tried elsewhere");
    assert!(d.requests.values().filter(|s| s.answers == 1).count() >= 28, "it is answered at once");
    let served = play(&mut d, 1000, 40, |_| Outcome::Ok);
    assert!(served > 30, "{served} of 40 served");
    assert_eq!(near_in_use(&d, 1000), 3, "all are used at once");
}

/// A request on which one worker after another breaks is at fault itself: only the first counts it.
#[test]
fn one_failing_request_ejects_no_second_worker() {
    let mut d = Driver::new(settings(), 1, &fleet(6));
    d.advance(2.0);
    for id in 0..2 {
        d.request(request(id));
        while let Some(open) = d.open_attempts.first().copied() {
            d.end_attempt(open.request, open.number, Outcome::Reset);
        }
    }
    play(&mut d, 1000, 8, |_| Outcome::Ok);
    assert!(near_in_use(&d, 1000) >= 2, "two failures are at most one worker's");
}
