//! Tests with invalid input and unusual faults: the dispatcher must keep the rules and must not panic.

mod common;

use common::*;
use dispatch_core::api::*;

/// Sends `count` requests at a constant rate, starting with the id `from`, and ends each attempt after a tenth of a
/// second with the outcome that `outcome_of` returns for its worker. Returns the number of requests that were served.
fn serve(driver: &mut Driver, from: u64, count: u64, outcome_of: impl Fn(WorkerId) -> Outcome) -> usize {
    for id in from..from + count {
        driver.request(request(id));
        driver.advance(0.05);
        for open in driver.open_attempts.clone() {
            let send = driver.requests[&open.request].sends[open.number as usize];
            if driver.now - send.sent_at >= 0.1 {
                driver.end_attempt(open.request, open.number, outcome_of(send.worker));
            }
        }
    }
    let served = |id: &u64| driver.requests[id].sends.iter().any(|send| send.outcome == Some(Outcome::Ok));
    (from..from + count).filter(served).count()
}

/// Returns the number of attempts at this worker.
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
        // Guards against a panic: the maximum delay between two calls was below the minimum.
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
        let served = serve(&mut driver, 0, 60, |_| Outcome::Ok);
        driver.advance(10.0);
        assert!(driver.requests.values().all(|record| record.responses == 1));
        assert!(served > 0, "{:?}", driver.cfg.tenants);
    }
}

#[test]
fn rejects_every_job_without_workers() {
    let mut driver = Driver::new(settings(), 1, &[]);
    driver.advance(2.0);
    serve(&mut driver, 0, 10, |_| Outcome::Ok);
    driver.advance(10.0);
    assert!(driver.requests.values().all(|record| record.responses == 1 && record.sends.is_empty()));
}

/// Guards against token banks that grow with a job of a million slots and then admit all requests that follow.
#[test]
fn rejects_a_job_larger_than_any_worker_without_enlarging_the_banks() {
    let mut driver = Driver::new(settings(), 1, &fleet(3));
    for worker in 1..=3 {
        driver.probed(WorkerId(worker), 4.0);
    }
    driver.advance(2.0);
    for (id, slots) in [(1, 1e9), (2, f64::INFINITY), (3, 50.0)] {
        driver.request(Request { slots, ..request(id) });
        assert!(driver.requests[&id].sends.is_empty() && driver.requests[&id].responses == 1);
    }
    for id in 10..3000 {
        driver.request(request(id));
    }
    let admitted = driver.requests.values().filter(|record| record.responses == 0).count();
    assert!(
        admitted < 400,
        "R is 120 per second and banks hold one or two seconds: {admitted} admitted at once"
    );
}

#[test]
fn handles_invalid_numbers_as_minimum_values() {
    let mut driver = Driver::new(settings(), 1, &fleet(3));
    driver.advance(2.0);
    driver.request(Request { slots: f64::NAN, memory: f64::NAN, ..request(1) });
    driver.request(Request { slots: -3.0, memory: -1.0, class: 3, tenant: 1, ..request(2) });
    let load =
        Some(LoadReport { free_slots: Some(f64::NAN), free_memory: Some(-7.0), ..LoadReport::default() });
    driver.event(Event::ProbeEnded { worker: WorkerId(1), ok: true, load });
    assert!(serve(&mut driver, 10, 20, |_| Outcome::Ok) > 10);
}

/// The clock stands still, goes back and jumps ahead by a year; the dispatcher must continue to serve.
#[test]
fn continues_after_clock_stops_and_jumps() {
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
    assert!(serve(&mut driver, 200, 40, |_| Outcome::Ok) > 20, "the dispatcher must serve after the jump");
}

/// A worker whose load report always states free slots rejects all jobs as overloaded. The rejections must outweigh the
/// reports.
#[test]
fn rejections_outweigh_false_load_reports() {
    let mut driver = Driver::new(settings(), 1, &fleet(8));
    driver.advance(2.0);
    for id in 0..100 {
        driver.probed(WorkerId(2), 9.0);
        serve(&mut driver, id, 1, |worker| if worker.0 == 2 { Outcome::Overloaded } else { Outcome::Ok });
    }
    let sends_to_full = sends_to(&driver, 2);
    assert!(
        sends_to_full < 40,
        "{sends_to_full} of 100 jobs were sent to the full worker that reports free slots"
    );
}

/// A worker that fails quickly seems to be fast and empty. It must be ejected, and readmitted once it serves jobs.
#[test]
fn ejects_a_worker_on_fast_errors_and_readmits_it() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    serve(&mut driver, 0, 200, |worker| if worker.0 == 2 { Outcome::Error } else { Outcome::Ok });
    let sends_to_failing = sends_to(&driver, 2);
    assert!(
        (2..=14).contains(&sends_to_failing),
        "{sends_to_failing} of 200 jobs were sent to the failing worker"
    );
    driver.advance(10.0);
    serve(&mut driver, 1000, 200, |_| Outcome::Ok);
    assert!(sends_to(&driver, 2) > sends_to_failing + 10, "a worker that serves again must get its share");
}

/// Some workers are unreachable; nearly all jobs must be served by the others.
#[test]
fn avoids_unreachable_workers() {
    let mut driver = Driver::new(settings(), 1, &fleet(10));
    driver.advance(2.0);
    serve(&mut driver, 0, 100, |worker| if worker.0 > 6 { Outcome::ConnectFailed } else { Outcome::Ok });
    let served =
        serve(
            &mut driver,
            100,
            200,
            |worker| if worker.0 > 6 { Outcome::ConnectFailed } else { Outcome::Ok },
        );
    assert!(served > 180, "{served} of 200 jobs were served by the six reachable workers");
}

/// If all workers seem unhealthy, the cause is probably the network or the dispatcher itself. Jobs must still be sent,
/// so that service resumes as soon as workers respond.
#[test]
fn keeps_sending_when_all_workers_fail() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    serve(&mut driver, 0, 100, |_| Outcome::Reset);
    let served = serve(&mut driver, 1000, 100, |_| Outcome::Ok);
    assert!(served > 60, "{served} of 100 jobs were served right after the network recovered");
}

/// A saved list that arrives late must not undo a newer restart, and the newer list that follows must apply.
#[test]
fn keeps_the_rules_on_an_outdated_endpoint_list() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    let restarted = Endpoint { started_at: driver.now, ..endpoint(2, WorkerState::Serving) };
    driver.send_list(ListScope::Incremental, &[restarted, endpoint(4, WorkerState::Draining)]);
    let old = fleet(6);
    driver.send_list(ListScope::Cached, &old);
    serve(&mut driver, 0, 40, |_| Outcome::Ok);
    driver.send_list(ListScope::Full, &[restarted, endpoint(1, WorkerState::Serving)]);
    let before = driver.requests.len() as u64;
    serve(&mut driver, before, 40, |_| Outcome::Ok);
    let is_listed = |worker: &WorkerId| worker.0 == 1 || worker.0 == 2;
    let sends = driver.requests.range(before..).flat_map(|(_, record)| &record.sends);
    assert!(sends.clone().all(|send| is_listed(&send.worker)) && sends.count() > 20);
}

/// Returns the number of workers of the own zone that get jobs for the requests from the id `from` on.
fn used_workers_of_own_zone(driver: &Driver, from: u64) -> usize {
    let used = |worker: &u64| {
        driver
            .requests
            .range(from..)
            .any(|(_, record)| record.sends.iter().any(|send| send.worker == WorkerId(*worker)))
    };
    (2..=6).step_by(2).filter(used).count()
}

/// Clients send invalid requests and retry them as soon as they are rejected. Guards against ejecting workers for them:
/// each such request was sent four times, ejected four workers and took the tokens of four jobs from its tenant's bank.
#[test]
fn invalid_requests_eject_no_worker() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    serve(&mut driver, 0, 30, |_| Outcome::InvalidRequest);
    assert!(
        driver.requests.values().all(|record| record.sends.len() <= 1),
        "an invalid request must not be retried"
    );
    assert!(
        driver.requests.values().filter(|record| record.responses == 1).count() >= 28,
        "most invalid requests must be answered at once"
    );
    let served = serve(&mut driver, 1000, 40, |_| Outcome::Ok);
    assert!(served > 30, "{served} of 40 jobs were served");
    assert_eq!(used_workers_of_own_zone(&driver, 1000), 3, "all workers of the own zone must be used");
}

/// A request that fails at several workers is probably the cause itself, so only its first failure must count.
#[test]
fn one_failing_request_ejects_at_most_one_worker() {
    let mut driver = Driver::new(settings(), 1, &fleet(6));
    driver.advance(2.0);
    for id in 0..2 {
        driver.request(request(id));
        while let Some(open) = driver.open_attempts.first().copied() {
            driver.end_attempt(open.request, open.number, Outcome::Reset);
        }
    }
    serve(&mut driver, 1000, 8, |_| Outcome::Ok);
    assert!(used_workers_of_own_zone(&driver, 1000) >= 2, "at most one worker may be ejected");
}
