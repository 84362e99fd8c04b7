//! The four rules, over random streams of events and case by case.

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

/// Plays a random stream of requests, outcomes, notes, list changes and odd events; the driver checks every
/// action. The stream is not a model of a fleet: outcomes fall as the generator likes.
fn stream(seed: u64, cfg: Settings) -> Vec<Action> {
    let mut rng = Rng::with_seed(seed);
    let workers = fleet(9);
    let mut d = Driver::new(cfg, seed, &workers);
    let mut next = 1;
    for _ in 0..1500 {
        d.advance(rng.f64() * 0.03);
        let open = d.open_attempts.clone();
        match rng.u32(..10) {
            0..=3 => {
                let req = Request {
                    class: rng.u32(..5),
                    tenant: rng.u32(..3),
                    slots: f64::from(1 + rng.u32(..4)),
                    timeout: 0.05 + rng.f64() * 4.0,
                    affinity_key: (rng.u32(..2) == 0).then(|| rng.u64(..20)),
                    ..request(next)
                };
                let class = req.class.min(3);
                d.request(Request { class, ..req });
                next += 1;
            }
            4..=7 if !open.is_empty() => {
                let attempt = open[rng.usize(..open.len())];
                let good = rng.u32(..3) > 0;
                let outcome = if good { Outcome::Ok } else { OUTCOMES[rng.usize(..OUTCOMES.len())] };
                d.end_attempt(attempt.request, attempt.number, outcome);
            }
            8 => {
                let w = rng.u64(1..=10);
                let state =
                    [WorkerState::Serving, WorkerState::Draining, WorkerState::Removed][rng.usize(..3)];
                let since = if rng.u32(..4) == 0 { d.now - 1.0 } else { 0.0 };
                d.send_list(ListScope::Incremental, &[Endpoint { started_at: since, ..endpoint(w, state) }]);
            }
            _ => {
                d.event(Event::JobStarted { request: RequestId(rng.u64(..next + 3)), attempt: rng.u32(..3) });
                d.event(Event::Timer(rng.u64(..)));
                d.event(Event::AttemptEnded {
                    request: RequestId(next + 7),
                    attempt: 0,
                    outcome: Outcome::Overloaded,
                    complete: false,
                    load: None,
                });
                if rng.u32(..5) == 0 {
                    d.event(Event::EndpointList { scope: ListScope::Failed, endpoints: &[] });
                }
            }
        }
    }
    d.advance(12.0);
    for (id, s) in &d.requests {
        assert_eq!(s.answers, 1, "rule 1: request {id} was never answered");
    }
    d.log
}

#[test]
fn random_streams_keep_the_rules() {
    for seed in 0..60 {
        stream(seed, settings());
        stream(seed, Settings { max_attempts: 2, ..settings() });
        stream(
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
fn the_same_events_give_the_same_actions() {
    for seed in 0..5 {
        assert_eq!(stream(seed, settings()), stream(seed, settings()));
    }
}

/// For each class, what an outcome of the first attempt may lead to.
#[test]
fn retries_and_rejections_follow_the_class() {
    for (class, outcome, again) in [
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
        let mut d = Driver::new(settings(), 3, &workers);
        d.advance(1.0);
        d.request(Request { class, ..request(1) });
        assert_eq!(d.requests[&1].sends.len(), 1, "class {class} is pushed at once with tokens in the bank");
        d.advance(0.01);
        let mut actions = d.end_attempt(1, 0, outcome);
        actions.extend(d.advance(0.3));
        assert_eq!(d.requests[&1].sends.len() == 2, again, "class {class} after {outcome:?}: {actions:?}");
        let failed = actions.contains(&Action::Fail { request: RequestId(1) });
        assert_eq!(failed, !again, "class {class} after {outcome:?}: {actions:?}");
    }
}

/// Keyed repeats stay within the group that drops them and within its window; where none of it is left, an answer is
/// given in place of a send.
#[test]
fn retries_with_a_key_stay_in_their_scope_and_window() {
    for (group, wait, again) in [
        (KeyScope::All, 0.1, true),
        (KeyScope::Zone, 0.1, true),
        (KeyScope::Cell, 0.1, true),
        (KeyScope::Zone, 6.0, false),
        (KeyScope::All, 6.0, false),
    ] {
        let classes = vec![Class { latency_objective: 20.0, ..class(Idempotency::WithKey(group)) }];
        let workers: Vec<Endpoint> =
            (1..=6).map(|w| Endpoint { cell: (w % 3) as u32, ..endpoint(w, WorkerState::Serving) }).collect();
        let mut d = Driver::new(Settings { classes, ..settings() }, 3, &workers);
        d.advance(1.0);
        d.request(Request { timeout: 30.0, ..request(1) });
        d.advance(wait);
        d.end_attempt(1, 0, Outcome::Reset);
        d.advance(3.0);
        let sends = &d.requests[&1].sends;
        assert_eq!(sends.len() > 1, again, "{group:?} after {wait} s: {sends:?}");
        if let (KeyScope::Cell, Some(second)) = (group, sends.get(1)) {
            assert_eq!(second.worker.0 % 3, sends[0].worker.0 % 3, "the same cell");
        }
        assert!(again || d.requests[&1].answers == 1, "{group:?} after {wait} s is answered");
    }
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut d = Driver::new(settings(), 3, &[endpoint(1, WorkerState::Serving)]);
    d.advance(1.0);
    d.request(Request { class: 1, timeout: 0.5, ..request(1) });
    assert!(d.advance(0.5).contains(&Action::Fail { request: RequestId(1) }));
}

#[test]
fn sends_nothing_to_draining_or_removed_workers() {
    let all = fleet(4);
    let mut d = Driver::new(settings(), 5, &all);
    d.advance(1.0);
    d.send_list(
        ListScope::Incremental,
        &[endpoint(1, WorkerState::Draining), endpoint(2, WorkerState::Removed)],
    );
    d.send_list(ListScope::Full, &[endpoint(1, WorkerState::Draining), endpoint(4, WorkerState::Serving)]);
    for id in 0..20 {
        d.advance(0.05);
        d.request(request(id));
    }
    let sends = d.requests.values().flat_map(|s| &s.sends);
    assert!(sends.clone().count() > 10 && sends.clone().all(|send| send.worker == WorkerId(4)));
}

/// Rule 4 is a budget for all dispatchers together: with one worker, just started, and hundreds of them, what
/// they send within any span must stay under multiple x present capacity x span.
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
            for (n, d) in (0_u64..).zip(&mut all) {
                d.advance(0.1);
                for job in 0..u64::from(per_step) {
                    d.request(request(step * 1000 + job + n * 1_000_000));
                }
            }
        }
        let sends = all.iter().flat_map(|d| d.requests.values()).flat_map(|record| &record.sends);
        let sent: Vec<f64> = sends.map(|send| send.sent_at).collect();
        // A worker of one slot's size would be overloaded by this much; the module plans by the largest job.
        let (share, warm, span, multiple) = (0.2, 20.0, 2.0, 3.0);
        for &from in &sent {
            let in_span = sent.iter().filter(|sent_at| **sent_at >= from && **sent_at < from + span);
            let work: f64 = in_span.map(|_| 0.3).sum();
            let capacity = share + (1.0 - share) * ((from - start) / warm).min(1.0);
            assert!(work <= multiple * capacity * span, "{instances} instances: {work} at {}", from - start);
        }
        assert!(!sent.is_empty(), "{instances} instances: a cold worker gets some work");
    }
}

/// When a process sent work to the one worker there is, which started at 100.0; it gets a request every 10 ms.
fn sends_of_process(process: &mut Driver, until: f64, first_id: u64) -> Vec<f64> {
    let mut id = first_id;
    while process.now < until - 0.005 {
        process.advance(0.01);
        process.request(request(id));
        id += 1;
    }
    process.requests.values().flat_map(|record| &record.sends).map(|send| send.sent_at).collect()
}

/// What happened: a process began its part of the present slice of the slow-start budget anew, though the process before it
/// may have spent it. One that crashes again and again sent its part each time, and a worker that had just started got
/// several times what it can take.
#[test]
fn processes_that_restart_within_a_slice_keep_the_slow_start_budget() {
    let worker = Endpoint { started_at: 100.0, ..endpoint(1, WorkerState::Serving) };
    let (share, warm, span, multiple, work) = (0.2, 20.0, 2.0, 3.0, 0.3);
    let mut sent = Vec::new();
    for life in 0..40_u64 {
        // Some lives span the border of two slices.
        let begins = 100.1 + life as f64 / 4.0;
        let mut process = Driver::new_at(begins, settings(), 7 + life, &[worker]);
        sent.extend(sends_of_process(&mut process, begins + 0.25, life * 1000));
    }
    assert!(!sent.is_empty(), "a cold worker gets some work");
    for &from in &sent {
        let in_span = sent.iter().filter(|at| (from..from + span).contains(*at)).count();
        let capacity = share + (1.0 - share) * (from - 100.0) / warm;
        let allowed = multiple * capacity * span;
        assert!(in_span as f64 * work <= allowed, "{in_span} sends from {from} on, {allowed} allowed");
    }
}

/// The part of a slice is taken up by the next process in the slice after its start, and by none for good.
#[test]
fn a_process_takes_its_part_of_the_slow_start_budget_up_in_the_slice_after_its_start() {
    let worker = Endpoint { started_at: 100.0, ..endpoint(1, WorkerState::Serving) };
    let mut process = Driver::new_at(105.0, settings(), 7, &[worker]);
    let sent = sends_of_process(&mut process, 110.0, 0);
    assert!(sent.iter().all(|at| *at >= 106.0), "{sent:?}");
    assert!(sent.iter().any(|at| *at < 108.0), "{sent:?}");
}

/// Slices are counted by the length that the settings name: a longer one must not make the count wait for the old one.
#[test]
fn a_process_keeps_its_part_of_the_slow_start_budget_when_the_settings_name_longer_slices() {
    let worker = Endpoint { started_at: 100.0, ..endpoint(1, WorkerState::Serving) };
    let mut process = Driver::new_at(101.0, settings(), 7, &[worker]);
    let longer = Settings { overload_window: 3.0, ..settings() };
    process.event(Event::Settings(&longer));
    assert!(!sends_of_process(&mut process, 110.0, 0).is_empty());
}

/// A process that is told to end gives its part up at once: its successor may be there already.
#[test]
fn a_process_that_drains_gives_its_part_of_the_slow_start_budget_up() {
    let worker = Endpoint { started_at: 100.0, ..endpoint(1, WorkerState::Serving) };
    let mut process = Driver::new_at(101.0, settings(), 7, &[worker]);
    assert!(!sends_of_process(&mut process, 104.0, 0).is_empty());
    let before = process.requests.values().flat_map(|record| &record.sends).count();
    process.dispatcher.release_slow_start_share();
    let after = sends_of_process(&mut process, 112.0, 10_000).len();
    assert_eq!(after, before);
}

/// Six in ten of 60 workers have just started, and 100 dispatchers carry the traffic, one of them a third of it: the
/// ones in slow start get some of it, and the sum stays within the budget. Some dispatchers restart on the way, and some hear of
/// the workers late.
#[test]
fn a_large_fleet_warms_up_within_the_slow_start_budget() {
    for seed in 0..3 {
        let (start, instances) = (100.0, 100_u32);
        let mut list = fleet(60);
        list.iter_mut().filter(|m| m.worker.0 > 24).for_each(|m| m.started_at = start);
        let cfg = |instance| Settings {
            instance,
            instances,
            overload_window: 1.5,
            slow_start_duration: 24.0,
            ..settings()
        };
        let named = |n: u32| if n % 7 == 3 { &list[..24] } else { &list[..] };
        let drivers = (0..instances).map(|n| Driver::new(cfg(n), seed * 1000 + u64::from(n), named(n)));
        let mut all: Vec<Driver> = drivers.collect();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sent: Vec<SendRecord> = Vec::new();
        for step in 0..1200_u64 {
            let n = if rng.f64() < 0.3 { 0 } else { rng.usize(..100) };
            if step == 300 {
                all.iter_mut()
                    .filter(|d| d.cfg.instance % 7 == 3)
                    .for_each(|d| drop(d.send_list(ListScope::Full, &list)));
            }
            for d in all[60..90].iter_mut().filter(|_| step == 500) {
                // What it has out counts on; the rest it forgets.
                let open = d.open_attempts.iter();
                sent.extend(open.map(|open| d.requests[&open.request].sends[open.number as usize]));
                *d = Driver::new(d.cfg.clone(), seed + 77, &list);
            }
            let now = start + step as f64 / 100.0;
            let d = &mut all[n];
            d.advance(now - d.now);
            d.request(request(step));
            // Each runs for 0.3 s.
            for d in &mut all {
                for open in d.open_attempts.clone() {
                    let send = d.requests[&open.request].sends[open.number as usize];
                    if send.sent_at + 0.3 <= now {
                        sent.push(send);
                        d.advance(now - d.now);
                        d.end_attempt(open.request, open.number, Outcome::Ok);
                    }
                }
            }
        }
        let cold = |send: &SendRecord| send.worker.0 > 24;
        let late = sent.iter().filter(|send| send.sent_at > start + 8.0);
        let part = late.clone().filter(|send| cold(send)).count() as f64 / late.count() as f64;
        assert!(part > 0.1, "{part} of the pushes went to the six in ten that are cold");
        for &SendRecord { sent_at: from, worker, .. } in sent.iter().filter(|send| cold(send)) {
            let to_worker = sent.iter().filter(|send| send.worker == worker);
            let span = to_worker.filter(|send| (from..from + 1.5).contains(&send.sent_at));
            let capacity = 0.2 + 0.8 * (from - start) / 24.0;
            // The module takes a worker to have as many slots as the largest job: one, and a run for 0.3 s.
            assert!(span.count() as f64 * 0.3 <= 3.0 * capacity * 1.5, "{worker:?} at {}", from - start);
        }
    }
}

/// A job that waits for a free worker must not go to one that began to drain meanwhile, though the grace has not
/// passed: the module uses none of it.
#[test]
fn sends_no_waiting_job_to_a_worker_that_began_to_drain() {
    let mut d = Driver::new(settings(), 5, &[endpoint(1, WorkerState::Serving)]);
    d.advance(1.0);
    for id in 0..6 {
        d.request(request(id));
        d.advance(0.001);
    }
    let waiting = d.requests.values().filter(|s| s.sends.is_empty()).count();
    let before = d.log.len();
    d.send_list(ListScope::Incremental, &[endpoint(1, WorkerState::Draining)]);
    d.advance(5.0);
    let sends = d.log[before..].iter().filter(|a| matches!(a, Action::Send { .. })).count();
    assert!(waiting > 0 && sends == 0, "{waiting} waited, {sends} went there after the word");
}

/// What each rule's check is worth: it must catch a dispatcher that breaks the rule.
mod broken {
    use super::*;

    fn driver(class: u32) -> Driver {
        let workers = [endpoint(1, WorkerState::Serving), endpoint(3, WorkerState::Serving)];
        let mut d = Driver::new(settings(), 3, &workers);
        d.advance(1.0);
        d.request(Request { class, timeout: 1.0, ..request(1) });
        d
    }

    fn send(worker: u64) -> Vec<Action> {
        vec![Action::Send { request: RequestId(1), worker: WorkerId(worker), timeout: None }]
    }

    #[test]
    #[should_panic(expected = "rule 1: request 1 answered twice")]
    fn two_answers() {
        let mut d = driver(0);
        d.end_attempt(1, 0, Outcome::Ok);
        d.check_actions(vec![Action::Fail { request: RequestId(1) }]);
    }

    #[test]
    #[should_panic(expected = "rule 1: request 1 sent after its end")]
    fn a_send_after_the_end() {
        let mut d = driver(0);
        d.end_attempt(1, 0, Outcome::Ok);
        d.check_actions(send(3));
    }

    #[test]
    #[should_panic(expected = "rule 1: request 1 answered late")]
    fn a_late_answer() {
        let mut d = driver(1);
        d.open_attempts.clear();
        d.advance(2.0);
        d.check_actions(vec![Action::Fail { request: RequestId(1) }]);
    }

    #[test]
    #[should_panic(expected = "rule 2: unsafe request 1 sent again")]
    fn a_retry_that_is_not_idempotent() {
        let mut d = driver(1);
        d.requests.get_mut(&1).expect("request 1").sends[0].outcome = Some(Outcome::Reset);
        d.check_actions(send(3));
    }

    #[test]
    #[should_panic(expected = "rule 2: request 1 refused")]
    fn a_rejection_that_is_not_idempotent() {
        let mut d = driver(1);
        d.requests.get_mut(&1).expect("request 1").sends[0].outcome = Some(Outcome::Reset);
        d.check_actions(vec![Action::Reject { request: RequestId(1), retry_after: None }]);
    }

    #[test]
    #[should_panic(expected = "rule 3")]
    fn a_send_past_the_grace() {
        let mut d = driver(0);
        d.send_list(ListScope::Incremental, &[endpoint(3, WorkerState::Draining)]);
        d.advance(DRAIN_GRACE + 0.001);
        d.check_actions(send(3));
    }
}
