//! Regression tests for failures in experiments, each reduced to a few events.

mod common;

use common::*;
use dispatch_core::api::*;

/// Returns a dispatcher that may probe its twelve workers, at this price per probe.
fn driver_with_probes(probe_price: f64) -> Driver {
    let mut driver = Driver::new(Settings { probes_allowed: true, probe_price, ..settings() }, 7, &fleet(12));
    driver.advance(1.0);
    driver
}

/// Returns the workers that these actions probe.
fn probes(actions: &[Action]) -> Vec<WorkerId> {
    let worker = |action: &Action| if let Action::Probe(worker) = action { Some(*worker) } else { None };
    actions.iter().filter_map(worker).collect()
}

/// Guards against sends that rely on old load reports. Each of hundreds of dispatchers uses a worker only once per
/// minute, so its reports are old. Jobs were sent to busy workers while others were free, which was worse than random
/// choice.
#[test]
fn probes_workers_when_load_reports_are_old() {
    let mut driver = driver_with_probes(0.002);
    let probed = probes(&driver.request(request(1)));
    assert!((1..=3).contains(&probed.len()), "a few workers must be probed: {probed:?}");
    assert!(driver.requests[&1].sends.is_empty(), "the job must wait for the reports");
    driver.probed(probed[0], 2.0);
    assert_eq!(
        driver.requests[&1].sends[0].worker, probed[0],
        "the first worker that reports a free slot must get the job"
    );
}

/// Busy workers queue probes like jobs, and all workers of a zone may be busy. Workers of other zones must be probed
/// while there is time: of the jobs that were sent without a probe, a quarter were late.
#[test]
fn probes_other_zones_when_no_worker_of_its_own_is_free() {
    let mut driver = driver_with_probes(0.002);
    let own_zone = probes(&driver.request(request(1)));
    let other_zone = probes(&driver.advance(0.03));
    assert!(
        own_zone.iter().all(|worker| worker.0 % 2 == 0) && !own_zone.is_empty(),
        "first the own zone: {own_zone:?}"
    );
    assert!(
        other_zone.iter().all(|worker| worker.0 % 2 == 1) && !other_zone.is_empty(),
        "then the other zone: {other_zone:?}"
    );
    driver.probed(other_zone[0], 2.0);
    assert_eq!(driver.requests[&1].sends[0].worker, other_zone[0]);
}

/// Probes have a price: if one costs a tenth of the value of a request, no worker must be probed.
#[test]
fn sends_no_probes_that_cost_too_much() {
    let mut driver = driver_with_probes(0.1);
    assert!(probes(&driver.request(request(1))).is_empty());
    driver.advance(1.0);
    assert_eq!(driver.requests[&1].sends.len(), 1, "the job must be sent by the old reports");
}

/// Guards against a rate that assumes equal traffic at all dispatchers: a dispatcher with ten times the equal share of
/// the traffic was limited to the equal share for several seconds.
#[test]
fn a_busy_dispatcher_is_not_limited_to_an_equal_share() {
    let tenants = vec![Tenant { share: 1.0, quota: 400.0 }];
    let cfg = Settings { instances: 200, tenants, ..settings() };
    let mut driver = Driver::new(cfg, 7, &fleet(40));
    for id in 0..100 {
        driver.advance(0.05);
        driver.request(request(id));
        while let Some(open) = driver.open_attempts.first().copied() {
            driver.end_attempt(open.request, open.number, Outcome::Ok);
        }
    }
    let rejected = (40..100).filter(|id| driver.requests[id].sends.is_empty()).count();
    assert_eq!(
        rejected, 0,
        "a dispatcher with ten times the equal share of the traffic must reject no job after two seconds"
    );
}

/// After a deployment or a zone outage most workers are in slow start, and each may be used by one dispatcher at a
/// time. A sample of all workers rarely contained those of whose budget the dispatcher had a share, so they were idle
/// while jobs queued at the others.
#[test]
fn uses_workers_in_slow_start_in_its_time_slices() {
    let instances = 20;
    let mut list = fleet(40);
    list.extend(
        (41..=120).map(|worker| Endpoint { started_at: 100.0, ..endpoint(worker, WorkerState::Serving) }),
    );
    let mut driver =
        Driver::new(Settings { instances, slow_start_min_capacity: 0.5, ..settings() }, 7, &list);
    driver.advance(1.0);
    for id in 0..120 {
        driver.advance(0.05);
        driver.request(request(id));
    }
    let sends = driver.requests.values().flat_map(|record| &record.sends);
    let warming_up = sends.clone().filter(|send| send.worker.0 > 40).count();
    assert!(4 * warming_up > sends.count(), "only {warming_up} of the sends went to workers in slow start");
}

/// Guards against futile retries in overload. With load reports and no worker expected to be free, a job that was
/// rejected twice was sent up to six times, and two thirds of all attempts were rejected as overloaded.
#[test]
fn rejects_a_job_after_two_overloaded_workers_when_none_is_free() {
    let mut driver = Driver::new(settings(), 7, &fleet(8));
    driver.advance(1.0);
    for id in 0..8 {
        driver.request(request(id));
        driver.advance(0.2);
        while let Some(open) = driver.open_attempts.iter().find(|open| open.request == id).copied() {
            driver.end_attempt(open.request, open.number, Outcome::Overloaded);
            driver.advance(0.01);
        }
    }
    let last = &driver.requests[&7];
    assert_eq!((last.sends.len(), last.responses), (2, 1), "all workers were overloaded just before");
}

/// Guards against a rate that never falls below the quotas. It stayed there while workers rejected nearly every job, so
/// the queues stayed full and service did not recover after the fault ended.
#[test]
fn cuts_the_rate_below_the_quotas_when_nearly_all_jobs_are_rejected() {
    let mut driver = Driver::new(settings(), 7, &fleet(8));
    let mut sent = Vec::new();
    for second in 0..8 {
        for n in 0..100 {
            let id = second * 100 + n;
            driver.advance(0.01);
            driver.request(Request { tenant: (n % 2) as u32, ..request(id) });
            while let Some(open) = driver.open_attempts.first().copied() {
                driver.end_attempt(open.request, open.number, Outcome::Overloaded);
            }
        }
        let was_sent = |n: &u64| !driver.requests[&(second * 100 + n)].sends.is_empty();
        sent.push((0..100).filter(was_sent).count());
    }
    assert!(sent[0] > 60 && sent[7] < 30, "the quotas are 80 per second: {sent:?}");
}

/// If only probes carry load reports, the reports are older than a running time, and the delay until a job starts is
/// newer information. When one worker starts jobs late, the next jobs must be sent to the other worker.
#[test]
fn a_late_start_marks_a_worker_as_busy() {
    let cfg = Settings { load_reports: LoadReports::WithProbes, ..settings() };
    let mut driver = Driver::new(cfg, 7, &fleet(2));
    driver.advance(1.0);
    let mut to_late_worker = 0;
    for id in 0..20 {
        driver.request(request(id));
        if driver.requests[&id].sends.is_empty() {
            driver.advance(0.2);
        }
        let to = driver.requests[&id].sends[0].worker;
        to_late_worker += u32::from(to == WorkerId(2) && id >= 4);
        driver.advance(if to == WorkerId(2) { 0.3 } else { 0.004 });
        driver.event(Event::JobStarted { request: RequestId(id), attempt: 0 });
        driver.advance(0.1);
        driver.end_attempt(id, 0, Outcome::Ok);
    }
    assert!(to_late_worker <= 5, "{to_late_worker} of 16 jobs went to the worker that starts jobs late");
}

/// Guards against taking a progress report for the start of a job. If workers do not report starts, the first progress
/// report of a long job comes seconds after its start, so the worker seemed busy and the running time short. In one
/// experiment the service fell from 0.73 to 0.68.
#[test]
fn a_progress_report_does_not_count_as_a_start() {
    let cfg = Settings { load_reports: LoadReports::WithProbes, reports_job_start: false, ..settings() };
    let mut driver = Driver::new(cfg, 7, &fleet(2));
    driver.advance(1.0);
    for id in 0..10 {
        driver.request(request(id));
        assert_eq!(
            driver.requests[&id].sends.first().map(|send| send.worker),
            Some(WorkerId(2)),
            "job {id} must be sent to the own zone"
        );
        driver.advance(0.2);
        driver.event(Event::Progress { request: RequestId(id), attempt: 0, done: 0.9 });
        driver.advance(0.02);
        driver.end_attempt(id, 0, Outcome::Ok);
    }
}

/// Guards against many dispatchers that choose the same workers by the same old load reports. When each of two hundred
/// dispatchers took the best of a sample of six, the workers that seemed empty to all of them were overloaded, which
/// was worse than random choice.
#[test]
fn many_dispatchers_do_not_all_choose_the_same_workers() {
    let mut sends = std::collections::BTreeMap::new();
    for instance in 0..120 {
        let cfg = Settings { instance, instances: 120, load_reports: LoadReports::WithProbes, ..settings() };
        let mut driver = Driver::new(cfg, u64::from(instance), &fleet(60));
        driver.advance(1.0);
        // All dispatchers have the same reports: six workers of the own zone are free, most of the others are full.
        for worker in 1..=60 {
            driver.probed(WorkerId(worker), 4.0);
            driver.probed(WorkerId(worker), if worker <= 12 { 4.0 } else { 1.0 });
        }
        driver.request(request(1));
        for send in &driver.requests[&1].sends {
            *sends.entry(send.worker).or_insert(0) += 1;
        }
    }
    let to_free_workers: i32 = sends.iter().filter(|(worker, _)| worker.0 <= 12).map(|(_, n)| n).sum();
    assert!(
        to_free_workers < 72,
        "{to_free_workers} of 120 jobs were sent to six workers at once: {sends:?}"
    );
}

/// A worker that hangs accepts jobs and gives no sign of life for seconds. Each of its jobs waited until the client's
/// timeout, and more jobs were sent there. Such a job must be hedged at another worker, and the worker must be ejected
/// until it responds.
#[test]
fn ejects_a_stalled_worker_and_hedges_its_job() {
    let with_reports =
        Settings { reports_job_start: true, progress_interval: 1.0, hedging_allowed: true, ..settings() };
    let mut driver = Driver::new(Settings { load_reports: LoadReports::None, ..with_reports }, 7, &fleet(6));
    driver.advance(1.0);
    driver.request(Request { timeout: 30.0, ..request(1) });
    let stalled = driver.requests[&1].sends[0].worker;
    driver.advance(2.0);
    assert_eq!(driver.requests[&1].sends.len(), 2, "a hedged request must be open");
    // Runs jobs one after another and counts those that the stalled worker got.
    let serve = |driver: &mut Driver, ids: std::ops::Range<u64>| {
        ids.filter(|&id| {
            driver.request(Request { timeout: 30.0, ..request(id) });
            driver.advance(0.3);
            let worker = driver.requests[&id].sends.first().map(|send| send.worker);
            worker.inspect(|_| drop(driver.end_attempt(id, 0, Outcome::Ok))) == Some(stalled)
        })
        .count()
    };
    assert_eq!(serve(&mut driver, 10..30), 0, "the worker must get no jobs while it gives no sign of life");
    // When the hedged request is served, the stalled attempt must be canceled.
    let actions = driver.end_attempt(1, 1, Outcome::Ok);
    assert!(actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }), "{actions:?}");
    // The worker must be tried again later and, once it serves a job, get its share.
    driver.end_attempt(1, 0, Outcome::Cancelled);
    driver.advance(2.0);
    let served = serve(&mut driver, 40..80);
    assert!(served > 2, "the worker got {served} of 40 jobs");
}

/// If jobs wait because all workers are busy, no worker must count as stalled.
#[test]
fn a_long_queue_does_not_count_as_a_stall() {
    let with_reports =
        Settings { reports_job_start: true, progress_interval: 1.0, hedging_allowed: true, ..settings() };
    let mut driver = Driver::new(Settings { load_reports: LoadReports::None, ..with_reports }, 7, &fleet(6));
    driver.advance(1.0);
    for id in 0..60 {
        driver.request(Request { timeout: 60.0, ..request(id) });
        driver.advance(0.5);
        if !driver.requests[&id].sends.is_empty() {
            driver.event(Event::JobStarted { request: RequestId(id), attempt: 0 });
            driver.end_attempt(id, 0, Outcome::Ok);
        }
    }
    driver.request(Request { timeout: 60.0, ..request(100) });
    driver.advance(3.0);
    assert_eq!(
        driver.requests[&100].sends.len(),
        1,
        "with a mean wait of half a second, a wait of three seconds is not a stall"
    );
}

/// Most of a hundred dispatchers get only one or two requests per second. With a learning rate of 1/64 per job none of
/// them learned which kind of machine is fast, and a sample of two of sixty workers rarely contained a fast one.
#[test]
fn prefers_the_faster_kind_with_little_traffic() {
    let mut list = fleet(60);
    list.iter_mut().for_each(|endpoint| endpoint.kind = u32::from(endpoint.worker.0 % 6 > 0));
    let cfg = Settings { instances: 100, load_reports: LoadReports::None, ..settings() };
    let mut to_fast_kind = 0;
    for seed in 0..20 {
        let mut driver = Driver::new(cfg.clone(), seed, &list);
        driver.advance(10.0);
        for id in 0..36 {
            driver.request(request(id));
            let to = driver.requests[&id].sends[0].worker.0;
            driver.advance(0.001);
            driver.event(Event::JobStarted { request: RequestId(id), attempt: 0 });
            driver.advance(if to % 6 > 0 { 0.6 } else { 0.2 });
            driver.end_attempt(id, 0, Outcome::Ok);
            driver.advance(3.0);
            to_fast_kind += u32::from(id >= 12 && to % 6 == 0);
        }
    }
    assert!(
        to_fast_kind > 20 * 24 * 9 / 10,
        "{to_fast_kind} of 480 jobs were sent to the fast third of the own zone"
    );
}

/// Guards against detecting a zone outage worker by worker. For a zone of 20 workers each dispatcher had two failures
/// of 250 ms per worker. With 100 dispatchers, 200 connections per second timed out for six seconds, and jobs failed
/// after two or three timeouts.
#[test]
fn detects_a_zone_outage_after_a_few_failures() {
    let cfg = Settings { instances: 100, load_reports: LoadReports::None, ..settings() };
    let mut driver = Driver::new(cfg, 7, &fleet(40));
    driver.advance(10.0);
    let mut failed = 0;
    for id in 0..30 {
        driver.request(request(id));
        while let Some(open) = driver.open_attempts.first().copied() {
            let id = open.request;
            let attempt = open.number;
            // All workers with even numbers, the zone of the dispatcher, are unreachable.
            let is_unreachable = driver.requests[&id].sends[attempt as usize].worker.0 % 2 == 0;
            failed += u32::from(is_unreachable);
            driver.advance(if is_unreachable { 0.25 } else { 0.001 });
            if !is_unreachable {
                driver.event(Event::JobStarted { request: RequestId(id), attempt });
                driver.advance(0.2);
            }
            driver.end_attempt(
                id,
                attempt,
                if is_unreachable { Outcome::ConnectFailed } else { Outcome::Ok },
            );
        }
        driver.advance(0.8);
    }
    assert!(failed <= 12, "{failed} attempts were sent to the unreachable zone in 30 s");
    assert!(driver.requests.values().all(|record| record.sends.len() < 4), "no job may run out of attempts");
}

/// All workers of one cohort, which are those of one kind in one zone, are full. Reported starts would show that only
/// seconds later, but jobs that already wait for a long time show it earlier. The next jobs must be sent to another
/// cohort: to the other kind or the other zone.
#[test]
fn waiting_jobs_mark_their_cohort_as_full() {
    let mut list = fleet(40);
    list.iter_mut().for_each(|endpoint| endpoint.kind = u32::from(endpoint.worker.0 % 4 >= 2));
    let cfg =
        Settings { instances: 100, load_reports: LoadReports::None, reports_job_start: true, ..settings() };
    let mut driver = Driver::new(cfg, 7, &list);
    driver.advance(30.0);
    let full = |worker: u64| worker % 4 == 0;
    let mut to_full_cohort = 0;
    for id in 0..48 {
        driver.request(request(id));
        let to = driver.requests[&id].sends.first().map(|send| send.worker.0);
        to_full_cohort += u32::from(id >= 24 && to.is_some_and(full));
        // Workers of the full cohort start no job during the test; the others end each job.
        if to.is_some_and(|worker| !full(worker)) {
            driver.event(Event::JobStarted { request: RequestId(id), attempt: 0 });
            driver.advance(0.2);
            driver.end_attempt(id, 0, Outcome::Ok);
        }
        driver.advance(0.8);
    }
    assert!(
        to_full_cohort <= 4,
        "{to_full_cohort} of 24 jobs were sent to the cohort in which no job has started for 20 s"
    );
}

/// Guards against ignoring idle connections: with 100 dispatchers and 60 workers two of three jobs paid for a
/// handshake. With a handshake price in the settings, workers with an idle connection must be preferred; they have also
/// just freed a slot.
#[test]
fn prefers_idle_connections_if_handshakes_have_a_price() {
    let count_reused = |handshake_price: f64| {
        let cfg = Settings {
            instances: 100,
            load_reports: LoadReports::None,
            handshake_price,
            keep_alive: 5.0,
            ..settings()
        };
        let mut driver = Driver::new(cfg, 7, &fleet(60));
        driver.advance(10.0);
        let mut used: Vec<WorkerId> = Vec::new();
        let mut reused = 0;
        for id in 0..40 {
            driver.request(request(id));
            let to = driver.requests[&id].sends[0].worker;
            reused += u32::from(used.iter().rev().take(3).any(|worker| *worker == to));
            used.push(to);
            driver.event(Event::JobStarted { request: RequestId(id), attempt: 0 });
            driver.advance(0.3);
            driver.end_attempt(id, 0, Outcome::Ok);
            driver.advance(0.7);
        }
        reused
    };
    let (without_price, with_price) = (count_reused(0.0), count_reused(0.05));
    assert!(
        with_price >= 30 && with_price > without_price,
        "{with_price} of 40 jobs used an idle connection with the price, {without_price} without it"
    );
}

/// All workers report long queues. Jobs that cannot be in time and have no weight when late must be rejected soon; a
/// few of them must still be sent, so that wrong estimates are corrected. If a late response has weight, the jobs must
/// be sent.
#[test]
fn rejects_jobs_that_cannot_meet_their_deadline() {
    for (late_weight, least, most) in [(0.0, 1, 15), (0.5, 40, 100)] {
        let classes = vec![Class {
            latency_objective: 0.5,
            run_time_allowance: 1.5,
            late_weight,
            ..class(Idempotency::Idempotent)
        }];
        let mut driver = Driver::new(Settings { classes, ..settings() }, 8, &fleet(4));
        driver.advance(0.5);
        let full = LoadReport { free_slots: Some(0.0), in_flight: Some(60.0), ..LoadReport::default() };
        for worker in 1..=4 {
            driver.probed(WorkerId(worker), 4.0);
        }
        for id in 0..100 {
            for worker in 1..=4 {
                driver.event(Event::ProbeEnded { worker: WorkerId(worker), ok: true, load: Some(full) });
            }
            driver.request(Request { expected_run_time: Some(0.3), ..request(id) });
            driver.advance(0.1);
        }
        let sent = driver.requests.values().filter(|record| !record.sends.is_empty()).count();
        assert!((least..=most).contains(&sent), "{sent} of 100 jobs were sent, late weight {late_weight}");
        let rejected = driver
            .requests
            .values()
            .filter(|record| record.sends.is_empty() && record.responses == 1)
            .count();
        assert!(rejected + sent >= 98, "{rejected} rejected, {sent} sent: no job may wait for long");
    }
}

/// Guards against taking first attempts for retries. When clients had different timeouts, first attempts with a short
/// timeout were taken for old retries, and two thirds of all jobs were rejected on arrival. If clients mark retries,
/// only the mark must decide.
#[test]
fn a_first_attempt_with_a_short_timeout_does_not_count_as_a_retry() {
    let is_rejected = |clients_mark_retries: bool, is_retry: bool| {
        let mut driver = Driver::new(Settings { clients_mark_retries, ..settings() }, 4, &fleet(4));
        driver.advance(1.0);
        driver.request(Request { timeout: 5.0, ..request(1) });
        let actions = driver.request(Request { timeout: 2.0, is_retry, ..request(2) });
        actions.iter().any(|action| matches!(action, Action::Reject { request: RequestId(2), .. }))
    };
    assert!(!is_rejected(true, false), "an unmarked request is a first attempt");
    assert!(is_rejected(true, true), "a request that is three seconds old misses its latency objective");
    assert!(is_rejected(false, false) && is_rejected(false, true), "without marks, the timeout decides");
}
