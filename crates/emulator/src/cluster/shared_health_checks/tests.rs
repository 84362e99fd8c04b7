//! The checks of a schedule report violations of the rules and nothing else.

use tokio::time::Instant;

use super::evaluation::{check_drains, check_idempotency, check_slow_start};
use super::{
    Fault, HealthCheckRule, InjectedFault, JobArrival, JobOutcome, Observations, ScheduleResult, RUN_TIME,
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

fn is_violated(violations: &Violations<HealthCheckRule>, rule: HealthCheckRule) -> bool {
    violations.rules().any(|violated| violated == rule)
}

/// Jobs may reach a draining worker within the grace time, and later from a dispatcher that was paused when the drain
/// began.
#[test]
fn a_job_at_a_draining_worker_is_reported_unless_its_dispatcher_was_paused() {
    let is_reported = |jobs: &[JobArrival], others: &[InjectedFault]| {
        let (mut violations, faults) = (Violations::default(), [&[DRAIN], others].concat());
        check_drains(&observations(jobs), &faults, &mut violations);
        is_violated(&violations, HealthCheckRule::NoJobAtDrainingWorker)
    };
    assert!(!is_reported(&[job(1_590_000, 1, 1), job(4_100_000, 1, 2)], &[]));
    assert!(is_reported(&[job(1_610_000, 1, 1)], &[]));
    let pause = InjectedFault {
        fault: Fault::PauseDispatcher,
        target: 1,
        zone: 0,
        began_at: 900_000,
        ended_at: 1_500_000,
    };
    assert!(!is_reported(&[job(1_610_000, 1, 1)], std::slice::from_ref(&pause)));
    assert!(is_reported(&[job(1_610_000, 2, 1)], &[pause]), "another dispatcher was paused");
}

/// Only a worker in slow start can be overloaded: 60 jobs at once overload it, 20 do not.
#[test]
fn overload_of_a_worker_in_slow_start_is_reported() {
    for (is_starting, jobs, is_reported) in [(true, 60, true), (true, 20, false), (false, 60, false)] {
        let worker = WorkerModel::new(SLOTS, RUN_TIME, is_starting, 1);
        let now = Instant::now();
        (0..jobs).for_each(|_| {
            worker.accept_job(now);
        });
        let (mut violations, mut result) = (Violations::default(), ScheduleResult::default());
        let observations = Observations { workers: vec![worker], ..Observations::default() };
        check_slow_start(&observations, &mut result, &mut violations);
        let is_violated = is_violated(&violations, HealthCheckRule::NoOverloadInSlowStart);
        assert_eq!(is_violated, is_reported, "in slow start: {is_starting}, jobs: {jobs}");
    }
}

/// Jobs with odd numbers are not idempotent, those with even numbers are. Job 1 must therefore not reach two workers,
/// nor be rejected after it reached one. Job 2 may reach two workers.
#[test]
fn repeated_execution_of_a_job_that_is_not_idempotent_is_reported() {
    let is_reported = |id: u64, arrivals: &[u64], status: u16| {
        let mut observations = Observations { jobs: vec![Vec::new(); 2], ..Observations::default() };
        for (worker, at) in arrivals.iter().enumerate() {
            observations.jobs[worker].push(job(*at, 0, id));
        }
        observations.outcomes.push(JobOutcome {
            job: id,
            dispatcher: 0,
            submitted_at: 1,
            answered_at: 900,
            status,
        });
        let mut violations = Violations::default();
        check_idempotency(&observations, &mut violations);
        is_violated(&violations, HealthCheckRule::NoRepeatedExecution)
    };
    assert!(!is_reported(1, &[100], 200) && !is_reported(1, &[100], 502) && !is_reported(1, &[], 503));
    assert!(is_reported(1, &[100, 200], 200) && is_reported(1, &[100], 503));
    assert!(!is_reported(2, &[100, 200], 200), "the job is idempotent");
}
