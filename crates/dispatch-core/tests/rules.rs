//! Tests of the four rules of a dispatcher (see `common`), on random event streams and in single cases.

mod common;

use common::*;
use dispatch_core::api::*;
use fastrand::Rng;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// Returns a request of a random class, tenant and size. The last class is drawn twice as often as the others.
fn random_request(rng: &mut Rng, id: u64) -> Request {
    Request {
        class: rng.u32(..5).min(3),
        tenant: rng.u32(..3),
        slots: f64::from(1 + rng.u32(..4)),
        timeout: 0.05 + rng.f64() * 4.0,
        affinity_key: (rng.u32(..2) == 0).then(|| rng.u64(..20)),
        ..request(id)
    }
}

/// Runs a random stream of requests, outcomes, list changes and unexpected events, and returns the actions; the driver
/// checks each of them. The stream does not model a fleet: its outcomes are random.
fn run_random_stream(seed: u64, cfg: Settings) -> Vec<Action> {
    let mut rng = Rng::with_seed(seed);
    let workers = fleet(9);
    let mut driver = Driver::new(cfg, seed, &workers);
    let mut next = 1;
    for _ in 0..1500 {
        driver.advance(rng.f64() * 0.03);
        let open = driver.open_attempts.clone();
        match rng.u32(..10) {
            0..=3 => {
                driver.request(random_request(&mut rng, next));
                next += 1;
            }
            4..=7 if !open.is_empty() => {
                let attempt = open[rng.usize(..open.len())];
                let is_ok = rng.u32(..3) > 0;
                let outcome = if is_ok { Outcome::Ok } else { OUTCOMES[rng.usize(..OUTCOMES.len())] };
                driver.end_attempt(attempt.request, attempt.number, outcome);
            }
            8 => {
                let worker = rng.u64(1..=10);
                let state =
                    [WorkerState::Serving, WorkerState::Draining, WorkerState::Removed][rng.usize(..3)];
                let started_at = if rng.u32(..4) == 0 { driver.now - 1.0 } else { 0.0 };
                driver
                    .send_list(ListScope::Incremental, &[Endpoint { started_at, ..endpoint(worker, state) }]);
            }
            _ => {
                driver.event(Event::JobStarted {
                    request: RequestId(rng.u64(..next + 3)),
                    attempt: rng.u32(..3),
                });
                driver.event(Event::Timer(rng.u64(..)));
                driver.event(Event::AttemptEnded {
                    request: RequestId(next + 7),
                    attempt: 0,
                    outcome: Outcome::Overloaded,
                    complete: false,
                    load: None,
                });
                if rng.u32(..5) == 0 {
                    driver.event(Event::EndpointList { scope: ListScope::Failed, endpoints: &[] });
                }
            }
        }
    }
    driver.advance(12.0);
    for (id, record) in &driver.requests {
        assert_eq!(record.responses, 1, "rule 1: request {id} must get one response");
    }
    driver.log
}

#[test]
fn rules_hold_on_random_streams() {
    for seed in 0..60 {
        run_random_stream(seed, settings());
        run_random_stream(seed, Settings { max_attempts: 2, ..settings() });
        run_random_stream(
            seed,
            Settings {
                load_reports: LoadReports::None,
                reports_job_start: false,
                tenants: vec![],
                ..settings()
            },
        );
    }
}

#[test]
fn equal_events_and_seeds_give_equal_actions() {
    for seed in 0..5 {
        assert_eq!(run_random_stream(seed, settings()), run_random_stream(seed, settings()));
    }
}

/// The class and the outcome of the first attempt must decide whether the job is sent again or failed.
#[test]
fn retries_and_rejections_follow_the_class() {
    for (class, outcome, is_retried) in [
        (0, Outcome::Overloaded, true),
        (0, Outcome::Reset, true),
        (0, Outcome::Error, true),
        (1, Outcome::Overloaded, true),
        (1, Outcome::ConnectFailed, true),
        (1, Outcome::Reset, false),
        (1, Outcome::Error, false),
        (2, Outcome::Reset, true),
        (3, Outcome::Reset, true),
    ] {
        let workers = fleet(6);
        let mut driver = Driver::new(settings(), 3, &workers);
        driver.advance(1.0);
        driver.request(Request { class, ..request(1) });
        assert_eq!(
            driver.requests[&1].sends.len(),
            1,
            "with tokens in the bank, class {class} must be sent at once"
        );
        driver.advance(0.01);
        let mut actions = driver.end_attempt(1, 0, outcome);
        actions.extend(driver.advance(0.3));
        assert_eq!(
            driver.requests[&1].sends.len() == 2,
            is_retried,
            "class {class} after {outcome:?}: {actions:?}"
        );
        let failed = actions.contains(&Action::Fail { request: RequestId(1) });
        assert_eq!(failed, !is_retried, "class {class} after {outcome:?}: {actions:?}");
    }
}

/// Retries with an idempotency key must stay within the key scope and the key window; outside of them the request gets
/// a final response instead.
#[test]
fn retries_with_a_key_stay_in_their_scope_and_window() {
    for (scope, wait, is_retried) in [
        (KeyScope::All, 0.1, true),
        (KeyScope::Zone, 0.1, true),
        (KeyScope::Cell, 0.1, true),
        (KeyScope::Zone, 6.0, false),
        (KeyScope::All, 6.0, false),
    ] {
        let classes = vec![Class { latency_objective: 20.0, ..class(Idempotency::WithKey(scope)) }];
        let workers: Vec<Endpoint> = (1..=6)
            .map(|worker| Endpoint { cell: (worker % 3) as u32, ..endpoint(worker, WorkerState::Serving) })
            .collect();
        let mut driver = Driver::new(Settings { classes, ..settings() }, 3, &workers);
        driver.advance(1.0);
        driver.request(Request { timeout: 30.0, ..request(1) });
        driver.advance(wait);
        driver.end_attempt(1, 0, Outcome::Reset);
        driver.advance(3.0);
        let sends = &driver.requests[&1].sends;
        assert_eq!(sends.len() > 1, is_retried, "key scope {scope:?}, reset after {wait} s: {sends:?}");
        if let (KeyScope::Cell, Some(second)) = (scope, sends.get(1)) {
            assert_eq!(second.worker.0 % 3, sends[0].worker.0 % 3, "the retry must stay in the cell");
        }
        assert!(
            is_retried || driver.requests[&1].responses == 1,
            "key scope {scope:?}, reset after {wait} s: the request must be answered"
        );
    }
}

/// Guards against a retry at workers that do not know the job's key: a worker that is listed in another cell after an
/// attempt has left its keys in the cell in which the attempt was sent to it.
#[test]
fn a_retry_with_a_key_stays_in_the_cell_of_the_attempt_when_the_worker_moves() {
    let classes = vec![Class { latency_objective: 20.0, ..class(Idempotency::WithKey(KeyScope::Cell)) }];
    let mut driver = Driver::new(Settings { classes, ..settings() }, 3, &fleet(4));
    driver.advance(1.0);
    driver.request(Request { timeout: 30.0, ..request(1) });
    let SendRecord { worker, location, .. } = driver.requests[&1].sends[0];
    let moved = Endpoint { cell: 1 - location.cell, ..endpoint(worker.0, WorkerState::Serving) };
    driver.send_list(ListScope::Incremental, &[moved]);
    driver.end_attempt(1, 0, Outcome::Reset);
    driver.advance(3.0);
    let cells: Vec<u32> = driver.requests[&1].sends.iter().map(|send| send.location.cell).collect();
    assert_eq!(cells, [location.cell; 2]);
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut driver = Driver::new(settings(), 3, &[endpoint(1, WorkerState::Serving)]);
    driver.advance(1.0);
    driver.request(Request { class: 1, timeout: 0.5, ..request(1) });
    assert!(driver.advance(0.5).contains(&Action::Fail { request: RequestId(1) }));
}

#[test]
fn sends_nothing_to_draining_or_removed_workers() {
    let all = fleet(4);
    let mut driver = Driver::new(settings(), 5, &all);
    driver.advance(1.0);
    driver.send_list(
        ListScope::Incremental,
        &[endpoint(1, WorkerState::Draining), endpoint(2, WorkerState::Removed)],
    );
    driver
        .send_list(ListScope::Full, &[endpoint(1, WorkerState::Draining), endpoint(4, WorkerState::Serving)]);
    for id in 0..20 {
        driver.advance(0.05);
        driver.request(request(id));
    }
    let sends = driver.requests.values().flat_map(|record| &record.sends);
    assert!(sends.clone().count() > 10 && sends.clone().all(|send| send.worker == WorkerId(4)));
}

/// Rule 4 is a budget for all dispatchers together: within any time window, the work that hundreds of them send to a
/// worker that has just started must stay below the overload multiple times the worker's capacity times the window.
#[test]
fn all_dispatchers_together_keep_the_slow_start_budget() {
    for instances in [1_u32, 3, 40, 230] {
        let start = 100.0;
        let worker = Endpoint { started_at: start, ..endpoint(1, WorkerState::Serving) };
        let mut all: Vec<Driver> = (0..instances)
            .map(|instance| {
                let cfg = Settings { instance, instances, ..settings() };
                Driver::new(cfg, u64::from(instance), &[worker])
            })
            .collect();
        let per_step = 60_u32.div_ceil(instances);
        for step in 0..180_u64 {
            for (n, driver) in (0_u64..).zip(&mut all) {
                driver.advance(0.1);
                for job in 0..u64::from(per_step) {
                    driver.request(request(step * 1000 + job + n * 1_000_000));
                }
            }
        }
        let sends = all.iter().flat_map(|driver| driver.requests.values()).flat_map(|record| &record.sends);
        let sent: Vec<f64> = sends.map(|send| send.sent_at).collect();
        // The worker is assumed to have one slot, because the largest job so far has one.
        let (min_capacity, duration, window, multiple) = (0.2, 20.0, 2.0, 3.0);
        for &from in &sent {
            let in_window = sent.iter().filter(|sent_at| **sent_at >= from && **sent_at < from + window);
            let work: f64 = in_window.map(|_| 0.3).sum();
            let capacity = min_capacity + (1.0 - min_capacity) * ((from - start) / duration).min(1.0);
            assert!(
                work <= multiple * capacity * window,
                "{instances} instances: {work} at {}",
                from - start
            );
        }
        assert!(!sent.is_empty(), "{instances} instances: a worker in slow start must get some work");
    }
}

/// Passes a request to a dispatcher process every 10 ms and returns the times at which it sent jobs to the only worker.
fn sends_of_process(process: &mut Driver, until: f64, first_id: u64) -> Vec<f64> {
    let mut id = first_id;
    while process.now < until - 0.005 {
        process.advance(0.01);
        process.request(request(id));
        id += 1;
    }
    process.requests.values().flat_map(|record| &record.sends).map(|send| send.sent_at).collect()
}

/// Guards against a process that uses its share of the slow-start budget in the slice in which it starts, although an
/// earlier process with the same number may have spent it. With repeated crashes each process sent the whole share, and
/// a worker in slow start got several times its capacity.
#[test]
fn processes_that_restart_within_a_slice_stay_within_the_slow_start_budget() {
    let worker = Endpoint { started_at: 100.0, ..endpoint(1, WorkerState::Serving) };
    let (min_capacity, duration, window, multiple, work) = (0.2, 20.0, 2.0, 3.0, 0.3);
    let mut sent = Vec::new();
    for process_number in 0..40_u64 {
        // Some processes run across the boundary of two slices.
        let start = 100.1 + process_number as f64 / 4.0;
        let mut process = Driver::new_at(start, settings(), 7 + process_number, &[worker]);
        sent.extend(sends_of_process(&mut process, start + 0.25, process_number * 1000));
    }
    assert!(!sent.is_empty(), "a worker in slow start must get some work");
    for &from in &sent {
        let sends = sent.iter().filter(|at| (from..from + window).contains(*at)).count();
        let capacity = min_capacity + (1.0 - min_capacity) * (from - 100.0) / duration;
        let allowed = multiple * capacity * window;
        assert!(
            sends as f64 * work <= allowed,
            "{sends} sends in the window from {from} on exceed the allowed work of {allowed}"
        );
    }
}

/// A process must use its share of the slow-start budget only from the slice after its start.
#[test]
fn a_process_uses_its_slow_start_share_from_the_slice_after_its_start() {
    let worker = Endpoint { started_at: 100.0, ..endpoint(1, WorkerState::Serving) };
    let mut process = Driver::new_at(105.0, settings(), 7, &[worker]);
    let sent = sends_of_process(&mut process, 110.0, 0);
    assert!(sent.iter().all(|at| *at >= 106.0), "{sent:?}");
    assert!(sent.iter().any(|at| *at < 108.0), "{sent:?}");
}

/// The numbers of slices depend on their length in the settings. After a reload with longer slices, a process must not
/// wait for a slice number that was computed with the old length before it uses its share.
#[test]
fn a_process_keeps_its_slow_start_share_when_a_reload_makes_slices_longer() {
    let worker = Endpoint { started_at: 100.0, ..endpoint(1, WorkerState::Serving) };
    let mut process = Driver::new_at(101.0, settings(), 7, &[worker]);
    let longer = Settings { overload_window: 3.0, ..settings() };
    process.event(Event::Settings(&longer));
    assert!(!sends_of_process(&mut process, 110.0, 0).is_empty());
}

/// A process that shuts down must release its share at once, because its successor may already serve.
#[test]
fn a_process_that_shuts_down_releases_its_slow_start_share() {
    let worker = Endpoint { started_at: 100.0, ..endpoint(1, WorkerState::Serving) };
    let mut process = Driver::new_at(101.0, settings(), 7, &[worker]);
    assert!(!sends_of_process(&mut process, 104.0, 0).is_empty());
    let before = process.requests.values().flat_map(|record| &record.sends).count();
    process.dispatcher.release_slow_start_share();
    let after = sends_of_process(&mut process, 112.0, 10_000).len();
    assert_eq!(after, before);
}

/// 36 of 60 workers have just started, and 100 dispatchers carry the traffic, one of them a third of it. Some
/// dispatchers restart meanwhile, and some receive the list late. The workers in slow start must get part of the
/// traffic, and each must stay within its budget.
#[test]
fn a_large_fleet_warms_up_within_the_slow_start_budget() {
    for seed in 0..3 {
        let (start, instances) = (100.0, 100_u32);
        let mut list = fleet(60);
        list.iter_mut()
            .filter(|endpoint| endpoint.worker.0 > 24)
            .for_each(|endpoint| endpoint.started_at = start);
        let cfg = |instance| Settings {
            instance,
            instances,
            overload_window: 1.5,
            slow_start_duration: 24.0,
            ..settings()
        };
        let listed = |n: u32| if n % 7 == 3 { &list[..24] } else { &list[..] };
        let drivers = (0..instances).map(|n| Driver::new(cfg(n), seed * 1000 + u64::from(n), listed(n)));
        let mut all: Vec<Driver> = drivers.collect();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sent: Vec<SendRecord> = Vec::new();
        for step in 0..1200_u64 {
            let n = if rng.f64() < 0.3 { 0 } else { rng.usize(..100) };
            if step == 300 {
                all.iter_mut()
                    .filter(|driver| driver.cfg.instance % 7 == 3)
                    .for_each(|driver| drop(driver.send_list(ListScope::Full, &list)));
            }
            for driver in all[60..90].iter_mut().filter(|_| step == 500) {
                // The open attempts of the old process still count; the new process does not have them.
                let open = driver.open_attempts.iter();
                sent.extend(open.map(|open| driver.requests[&open.request].sends[open.number as usize]));
                *driver = Driver::new(driver.cfg.clone(), seed + 77, &list);
            }
            let now = start + step as f64 / 100.0;
            let driver = &mut all[n];
            driver.advance(now - driver.now);
            driver.request(request(step));
            // Each job runs for 0.3 s.
            for driver in &mut all {
                for open in driver.open_attempts.clone() {
                    let send = driver.requests[&open.request].sends[open.number as usize];
                    if send.sent_at + 0.3 <= now {
                        sent.push(send);
                        driver.advance(now - driver.now);
                        driver.end_attempt(open.request, open.number, Outcome::Ok);
                    }
                }
            }
        }
        let is_warming_up = |send: &SendRecord| send.worker.0 > 24;
        let late = sent.iter().filter(|send| send.sent_at > start + 8.0);
        let fraction = late.clone().filter(|send| is_warming_up(send)).count() as f64 / late.count() as f64;
        assert!(fraction > 0.1, "the workers in slow start got only {fraction} of the sends");
        for &SendRecord { sent_at: from, worker, .. } in sent.iter().filter(|send| is_warming_up(send)) {
            let to_worker = sent.iter().filter(|send| send.worker == worker);
            let in_window = to_worker.filter(|send| (from..from + 1.5).contains(&send.sent_at));
            let capacity = 0.2 + 0.8 * (from - start) / 24.0;
            // The worker is assumed to have one slot, because the largest job so far has one; each job runs for 0.3 s.
            assert!(
                in_window.count() as f64 * 0.3 <= 3.0 * capacity * 1.5,
                "{worker:?} is overloaded in the window that begins {} s after its start",
                from - start
            );
        }
    }
}

/// A job that waits for a free worker must not be sent to a worker that began to drain meanwhile. Rule 3
/// would allow this until the grace is over, but the dispatcher does not make use of the grace.
#[test]
fn sends_no_waiting_job_to_a_worker_that_began_to_drain() {
    let mut driver = Driver::new(settings(), 5, &[endpoint(1, WorkerState::Serving)]);
    driver.advance(1.0);
    for id in 0..6 {
        driver.request(request(id));
        driver.advance(0.001);
    }
    let waiting = driver.requests.values().filter(|record| record.sends.is_empty()).count();
    let before = driver.log.len();
    driver.send_list(ListScope::Incremental, &[endpoint(1, WorkerState::Draining)]);
    driver.advance(5.0);
    let sends = driver.log[before..].iter().filter(|action| matches!(action, Action::Send { .. })).count();
    assert!(waiting > 0 && sends == 0, "{waiting} jobs waited, {sends} were sent after the drain began");
}

/// The check of each rule must detect a dispatcher that violates it.
mod violations {
    use super::*;

    fn driver(class: u32) -> Driver {
        let workers = [endpoint(1, WorkerState::Serving), endpoint(3, WorkerState::Serving)];
        let mut driver = Driver::new(settings(), 3, &workers);
        driver.advance(1.0);
        driver.request(Request { class, timeout: 1.0, ..request(1) });
        driver
    }

    fn send(worker: u64) -> Vec<Action> {
        vec![Action::Send { request: RequestId(1), worker: WorkerId(worker), timeout: None }]
    }

    #[test]
    #[should_panic(expected = "rule 1: request 1 answered twice")]
    fn two_responses() {
        let mut driver = driver(0);
        driver.end_attempt(1, 0, Outcome::Ok);
        driver.check_actions(vec![Action::Fail { request: RequestId(1) }]);
    }

    #[test]
    #[should_panic(expected = "rule 1: request 1 sent after its response")]
    fn a_send_after_the_response() {
        let mut driver = driver(0);
        driver.end_attempt(1, 0, Outcome::Ok);
        driver.check_actions(send(3));
    }

    #[test]
    #[should_panic(expected = "rule 1: request 1 answered late")]
    fn a_late_response() {
        let mut driver = driver(1);
        driver.open_attempts.clear();
        driver.advance(2.0);
        driver.check_actions(vec![Action::Fail { request: RequestId(1) }]);
    }

    #[test]
    #[should_panic(expected = "rule 2: request 1 is not idempotent and was sent again")]
    fn a_retry_of_a_job_that_is_not_idempotent() {
        let mut driver = driver(1);
        driver.requests.get_mut(&1).expect("request 1").sends[0].outcome = Some(Outcome::Reset);
        driver.check_actions(send(3));
    }

    #[test]
    #[should_panic(expected = "rule 2: request 1 rejected")]
    fn a_rejection_of_a_job_that_may_have_run() {
        let mut driver = driver(1);
        driver.requests.get_mut(&1).expect("request 1").sends[0].outcome = Some(Outcome::Reset);
        driver.check_actions(vec![Action::Reject { request: RequestId(1), retry_after: None }]);
    }

    #[test]
    #[should_panic(expected = "rule 3: job sent to WorkerId(3) after the grace")]
    fn a_send_after_the_grace() {
        let mut driver = driver(0);
        driver.send_list(ListScope::Incremental, &[endpoint(3, WorkerState::Draining)]);
        driver.advance(DRAIN_GRACE + 0.001);
        driver.check_actions(send(3));
    }
}
