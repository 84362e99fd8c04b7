//! The checks of a schedule find what they are for, and nothing else.

use tokio::time::Instant;

use super::evaluation::{check_drains, check_idempotency, check_slow_start};
use super::{
    Fault, HealthCheckRule, InjectedFault, JobAnswer, JobArrival, Observations, ScheduleResult, RUN_TIME,
    SLOTS,
};
use crate::cluster::violations::Violations;
use crate::cluster::worker_model::WorkerModel;

const DRAIN: InjectedFault =
    InjectedFault { fault: Fault::DrainWorker, target: 0, zone: 0, began_at: 1_000_000, ended_at: 4_000_000 };

fn observations(jobs: &[JobArrival]) -> Observations {
    Observations { jobs: vec![jobs.to_vec()], ..Observations::default() }
}

fn job(time: u64, dispatcher: usize, job: u64) -> JobArrival {
    JobArrival { time, dispatcher, job }
}

fn is_violated(found: &Violations<HealthCheckRule>, rule: HealthCheckRule) -> bool {
    found.rules().any(|violated| violated == rule)
}

#[test]
fn a_job_at_a_worker_that_drains_is_found_unless_its_sender_was_held() {
    let found = |jobs: &[JobArrival], others: &[InjectedFault]| {
        let (mut found, done) = (Violations::default(), [&[DRAIN], others].concat());
        check_drains(&observations(jobs), &done, &mut found);
        is_violated(&found, HealthCheckRule::NoJobAtDrainingWorker)
    };
    assert!(!found(&[job(1_590_000, 1, 1), job(4_100_000, 1, 2)], &[]));
    assert!(found(&[job(1_610_000, 1, 1)], &[]));
    let stop = InjectedFault {
        fault: Fault::PauseDispatcher,
        target: 1,
        zone: 0,
        began_at: 900_000,
        ended_at: 1_500_000,
    };
    assert!(!found(&[job(1_610_000, 1, 1)], std::slice::from_ref(&stop)));
    assert!(found(&[job(1_610_000, 2, 1)], &[stop]), "another one was stopped");
}

#[test]
fn a_cold_worker_that_falls_is_found_and_a_warm_one_is_not_counted() {
    for (since, sends, broken) in [(true, 60, true), (true, 20, false), (false, 60, false)] {
        let worker = WorkerModel::new(SLOTS, RUN_TIME, since, 1);
        let now = Instant::now();
        (0..sends).for_each(|_| {
            worker.accept_job(now);
        });
        let (mut found, mut played) = (Violations::default(), ScheduleResult::default());
        let observations = Observations { workers: vec![worker], ..Observations::default() };
        check_slow_start(&observations, &mut played, &mut found);
        assert_eq!(is_violated(&found, HealthCheckRule::NoOverloadInSlowStart), broken, "{since} {sends}");
    }
}

#[test]
fn a_job_that_may_run_once_at_two_workers_or_refused_after_one_is_found() {
    let found = |id: u64, sends: &[u64], status: u16| {
        let mut observations = Observations { jobs: vec![Vec::new(); 2], ..Observations::default() };
        for (worker, at) in sends.iter().enumerate() {
            observations.jobs[worker].push(job(*at, 0, id));
        }
        observations.answers.push(JobAnswer {
            job: id,
            dispatcher: 0,
            submitted_at: 1,
            answered_at: 900,
            status,
        });
        let mut found = Violations::default();
        check_idempotency(&observations, &mut found);
        is_violated(&found, HealthCheckRule::NoRepeatedExecution)
    };
    assert!(!found(1, &[100], 200) && !found(1, &[100], 502) && !found(1, &[], 503));
    assert!(found(1, &[100, 200], 200) && found(1, &[100], 503));
    assert!(!found(2, &[100, 200], 200), "one of the class that may run twice");
}
