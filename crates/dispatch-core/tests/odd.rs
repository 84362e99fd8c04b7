//! Bad input and unusual faults: the dispatcher's behaviour stays defined and keeps the rules.

mod common;

use common::*;
use dispatch_core::api::*;

/// Sends requests at a constant rate and ends each attempt after a tenth of a second with the given outcome.
fn play(driver: &mut Driver, from: u64, count: u64, answer: impl Fn(WorkerId) -> Outcome) -> usize {
    for id in from..from + count {
        driver.request(request(id));
        driver.advance(0.05);
        for open in driver.open_attempts.clone() {
            let send = driver.requests[&open.request].sends[open.number as usize];
            if driver.now - send.sent_at >= 0.1 {
                driver.end_attempt(open.request, open.number, answer(send.worker));
            }
        }
    }
    let served = |id: &u64| driver.requests[id].sends.iter().any(|send| send.outcome == Some(Outcome::Ok));
    (from..from + count).filter(served).count()
}

fn sends_to(driver: &Driver, worker: u64) -> usize {
    driver
        .requests
        .values()
        .flat_map(|record| &record.sends)
        .filter(|send| send.worker == WorkerId(worker))
        .count()
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
        // Shorter than the least delay between two calls: reversed bounds caused a panic.
        Settings { polls_endpoint_list: true, max_poll_interval: 0.3, ..settings() },
        Settings {
            max_attempts: 0,
            clock_resolution: 0.0,
            overload_window: 0.0,
            slow_start_min_capacity: 0.0,
            ..settings()
        },
    ] {
        let mut driver = Driver::new(Settings { max_attempts: cfg.max_attempts.max(1), ..cfg }, 1, &fleet(3));
        driver.advance(2.0);
        driver.send_list(ListScope::Failed, &[]);
        let served = play(&mut driver, 0, 60, |_| Outcome::Ok);
        driver.advance(10.0);
        assert!(driver.requests.values().all(|record| record.answers == 1));
        assert!(served > 0, "{:?}", driver.cfg.tenants);
    }
}

#[test]
fn rejects_every_job_without_workers() {
    let mut driver = Driver::new(settings(), 1, &[]);
    driver.advance(2.0);
    play(&mut driver, 0, 10, |_| Outcome::Ok);
    driver.advance(10.0);
    assert!(driver.requests.values().all(|record| record.answers == 1 && record.sends.is_empty()));
}

/// One job of a million slots must not open the banks to everything that follows.
#[test]
fn rejects_a_job_larger_than_any_worker_without_growing_the_banks() {
    let mut driver = Driver::new(settings(), 1, &fleet(3));
    for worker in 1..=3 {
        driver.probed(WorkerId(worker), 4.0);
    }
    driver.advance(2.0);
    for (id, slots) in [(1, 1e9), (2, f64::INFINITY), (3, 50.0)] {
        driver.request(Request { slots, ..request(id) });
        assert!(driver.requests[&id].sends.is_empty() && driver.requests[&id].answers == 1);
    }
    for id in 10..3000 {
        driver.request(request(id));
    }
    let admitted = driver.requests.values().filter(|record| record.answers == 0).count();
    assert!(admitted < 400, "R is 120 a second, banks hold a second or two: {admitted} admitted at once");
}

#[test]
fn takes_figures_that_are_no_numbers_for_the_least() {
    let mut driver = Driver::new(settings(), 1, &fleet(3));
    driver.advance(2.0);
    driver.request(Request { slots: f64::NAN, memory: f64::NAN, ..request(1) });
    driver.request(Request { slots: -3.0, memory: -1.0, class: 3, tenant: 1, ..request(2) });
    let load =
        Some(LoadReport { free_slots: Some(f64::NAN), free_memory: Some(-7.0), ..LoadReport::default() });
    driver.event(Event::ProbeEnded { worker: WorkerId(1), ok: true, load });
    assert!(play(&mut driver, 10, 20, |_| Outcome::Ok) > 10);
}

/// A clock that stands still, falls back or leaps a year ahead.
#[test]
fn survives_clocks_that_stop_fall_back_or_leap() {
    let mut driver = Driver::new(settings(), 1, &fleet(3));
    driver.advance(2.0);
    for id in 0..50 {
        driver.request(request(id));
    }
    driver.now -= 1.5;
    driver.request(request(100));
    driver.advance(20.0);
    driver.now += 3.2e7;
    driver.event(Event::Timer(u64::MAX));
    driver.now += 1.0;
    assert!(play(&mut driver, 200, 40, |_| Outcome::Ok) > 20, "it continues to serve after a leap");
}

/// A report that is frozen at "all free" counts for less than the worker's own answers that it is overloaded.
#[test]
fn trusts_overloaded_answers_over_false_load_reports() {
    let mut driver = Driver::new(settings(), 1, &fleet(8));
    driver.advance(2.0);
    for id in 0..100 {
        driver.probed(WorkerId(2), 9.0);
        play(&mut driver, id, 1, |worker| if worker.0 == 2 { Outcome::Overloaded } else { Outcome::Ok });
    }
    let sends_to_full = sends_to(&driver, 2);
    assert!(
        sends_to_full < 40,
        "{sends_to_full} of 100 jobs were sent to the worker that reports free slots and is full"
    );
}

/// A worker that fails fast seems fast and empty: it is ejected, and tried again later.
#[test]
fn ejects_a_worker_on_fast_errors_and_readmits_it() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    play(&mut driver, 0, 200, |worker| if worker.0 == 2 { Outcome::Error } else { Outcome::Ok });
    let sends_to_failing = sends_to(&driver, 2);
    assert!(
        (2..=14).contains(&sends_to_failing),
        "{sends_to_failing} of 200 jobs were sent to the failing worker"
    );
    driver.advance(10.0);
    play(&mut driver, 1000, 200, |_| Outcome::Ok);
    assert!(sends_to(&driver, 2) > sends_to_failing + 10, "once it works it gets its share again");
}

/// Only some workers can be reached: jobs go to these as before.
#[test]
fn avoids_unreachable_workers() {
    let mut driver = Driver::new(settings(), 1, &fleet(10));
    driver.advance(2.0);
    play(&mut driver, 0, 100, |worker| if worker.0 > 6 { Outcome::ConnectFailed } else { Outcome::Ok });
    let served =
        play(&mut driver, 100, 200, |worker| if worker.0 > 6 { Outcome::ConnectFailed } else { Outcome::Ok });
    assert!(served > 180, "{served} of 200 served by the six that can be reached");
}

/// All workers seem unhealthy: the fault is the network's or our own, and service resumes as soon as a worker responds.
#[test]
fn keeps_sending_when_all_workers_fail() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    play(&mut driver, 0, 100, |_| Outcome::Reset);
    let served = play(&mut driver, 1000, 100, |_| Outcome::Ok);
    assert!(served > 60, "{served} of 100 served at once when the network is back");
}

/// An old list arrives late: it does not undo a restart that is newer, and a newer list follows.
#[test]
fn keeps_the_rules_on_an_outdated_endpoint_list() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    let young = Endpoint { started_at: driver.now, ..endpoint(2, WorkerState::Serving) };
    driver.send_list(ListScope::Incremental, &[young, endpoint(4, WorkerState::Draining)]);
    let old = fleet(6);
    driver.send_list(ListScope::Cached, &old);
    play(&mut driver, 0, 40, |_| Outcome::Ok);
    driver.send_list(ListScope::Full, &[young, endpoint(1, WorkerState::Serving)]);
    let before = driver.requests.len() as u64;
    play(&mut driver, before, 40, |_| Outcome::Ok);
    let ok = |worker: &WorkerId| worker.0 == 1 || worker.0 == 2;
    let sends = driver.requests.range(before..).flat_map(|(_, record)| &record.sends);
    assert!(sends.clone().all(|send| ok(&send.worker)) && sends.count() > 20);
}

/// Returns the number of workers of the own zone that get jobs from this request on.
fn near_in_use(driver: &Driver, from: u64) -> usize {
    let used = |worker: &u64| {
        driver
            .requests
            .range(from..)
            .any(|(_, record)| record.sends.iter().any(|send| send.worker == WorkerId(*worker)))
    };
    (2..=6).step_by(2).filter(used).count()
}

/// Invalid requests, from clients that retry them as soon as they are rejected: they are the clients' fault, and no
/// worker is ejected for them (each ejected four, and took the tokens of four from its tenant's bank).
#[test]
fn invalid_requests_eject_no_worker() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    play(&mut driver, 0, 30, |_| Outcome::InvalidRequest);
    assert!(
        driver.requests.values().all(|record| record.sends.len() <= 1),
        "an invalid request is not retried"
    );
    assert!(
        driver.requests.values().filter(|record| record.answers == 1).count() >= 28,
        "most invalid requests are answered at once"
    );
    let served = play(&mut driver, 1000, 40, |_| Outcome::Ok);
    assert!(served > 30, "{served} of 40 served");
    assert_eq!(near_in_use(&driver, 1000), 3, "all are used at once");
}

/// A request that fails at one worker after another is at fault itself: only the first failure counts.
#[test]
fn one_failing_request_ejects_no_second_worker() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    for id in 0..2 {
        driver.request(request(id));
        while let Some(open) = driver.open_attempts.first().copied() {
            driver.end_attempt(open.request, open.number, Outcome::Reset);
        }
    }
    play(&mut driver, 1000, 8, |_| Outcome::Ok);
    assert!(near_in_use(&driver, 1000) >= 2, "two failures are at most one worker's");
}
