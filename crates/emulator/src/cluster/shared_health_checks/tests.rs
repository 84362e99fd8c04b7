//! The checks of a schedule find what they are for, and nothing else.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::evaluation::{check_cold_workers, check_drains, check_idempotency};
use super::{Fault, InjectedFault, Observations, ScheduleResult, RULES, RUN_TIME, SLOTS};
use crate::cluster::worker_model::WorkerModel;

const DRAIN: InjectedFault =
    InjectedFault { fault: Fault::DrainWorker, target: 0, zone: 0, began_at: 1_000_000, ended_at: 4_000_000 };

fn observations(jobs: &[(u64, usize, u64)]) -> Observations {
    Observations { jobs: vec![jobs.to_vec()], ..Observations::default() }
}

#[test]
fn a_job_at_a_worker_that_drains_is_found_unless_its_sender_was_held() {
    let found = |jobs: &[(u64, usize, u64)], others: &[InjectedFault]| {
        let (mut found, done) = (BTreeMap::new(), [&[DRAIN], others].concat());
        check_drains(&observations(jobs), &done, &mut found);
        found.contains_key(RULES[6])
    };
    assert!(!found(&[(1_590_000, 1, 1), (4_100_000, 1, 2)], &[]));
    assert!(found(&[(1_610_000, 1, 1)], &[]));
    let stop = InjectedFault {
        fault: Fault::PauseDispatcher,
        target: 1,
        zone: 0,
        began_at: 900_000,
        ended_at: 1_500_000,
    };
    assert!(!found(&[(1_610_000, 1, 1)], std::slice::from_ref(&stop)));
    assert!(found(&[(1_610_000, 2, 1)], &[stop]), "another one was stopped");
}

#[test]
fn a_cold_worker_that_falls_is_found_and_a_warm_one_is_not_counted() {
    for (since, sends, broken) in [(true, 60, true), (true, 20, false), (false, 60, false)] {
        let worker = WorkerModel::new((SLOTS, RUN_TIME), since, 1);
        let now = Instant::now();
        (0..sends).for_each(|_| {
            worker.accept_job(now);
        });
        let (mut found, mut played) = (BTreeMap::new(), ScheduleResult::default());
        let observations = Observations { workers: vec![worker], ..Observations::default() };
        check_cold_workers(&observations, &mut played, &mut found);
        assert_eq!(found.contains_key(RULES[7]), broken, "{since} {sends}");
    }
}

#[test]
fn a_job_that_may_run_once_at_two_workers_or_refused_after_one_is_found() {
    let found = |id: u64, sends: &[u64], status: u16| {
        let mut observations = Observations { jobs: vec![Vec::new(); 2], ..Observations::default() };
        for (worker, at) in sends.iter().enumerate() {
            observations.jobs[worker].push((*at, 0, id));
        }
        observations.answers.push((0, 1, 900, status, id));
        let mut found = BTreeMap::new();
        check_idempotency(&observations, &mut found);
        found.contains_key(RULES[8])
    };
    assert!(!found(1, &[100], 200) && !found(1, &[100], 502) && !found(1, &[], 503));
    assert!(found(1, &[100, 200], 200) && found(1, &[100], 503));
    assert!(!found(2, &[100, 200], 200), "one of the class that may run twice");
}
