//! Tests of the model of a worker: queue, shared cores, warm-up, overload, drain and predicted completion.

use emulator::day::{Micros, WorkerPlan};
use emulator::worker::{progress_interval, AssignedJob, JobEvent, Overload, OverloadLimit, Worker};

const LIMIT: OverloadLimit = OverloadLimit { multiple: 3.0, window: 1_500_000 };

fn plan(slots: u32, speed: f64) -> WorkerPlan {
    WorkerPlan {
        kind: 0,
        zone: 0,
        rack: 0,
        cores: 4.0,
        slots,
        queue_capacity: 8,
        speed,
        initial_capacity: 0.2,
        warm_up: 10.0,
        error_rate: 0.0,
        drops_cancelled: true,
        max_connections: 100,
    }
}

fn job(attempt: usize, slots: u32, work: f64) -> AssignedJob {
    AssignedJob {
        attempt,
        slots,
        work,
        expected_work: work * f64::from(slots),
        fails: false,
        sender_knew_start: true,
    }
}

/// Runs a worker until it is idle, and returns its events with their times.
fn run(worker: &mut Worker, events: &mut Vec<JobEvent>, now: Micros) -> Vec<(Micros, JobEvent)> {
    let mut reported: Vec<(Micros, JobEvent)> = events.drain(..).map(|event| (now, event)).collect();
    while let Some(next) = worker.next_event() {
        worker.wake(next, events);
        reported.extend(
            events
                .drain(..)
                .filter(|event| !matches!(event, JobEvent::Progress { .. }))
                .map(|event| (next, event)),
        );
    }
    reported
}

#[test]
fn the_first_job_of_the_queue_blocks_the_others_until_its_slots_are_free() {
    let mut worker = Worker::new(plan(4, 1.0), None, 0, progress_interval());
    let mut events = Vec::new();
    for job in [job(0, 2, 1.0), job(1, 4, 0.5), job(2, 1, 0.1)] {
        worker.offer(job, 0, LIMIT, &mut events);
    }
    let reported = run(&mut worker, &mut events, 0);
    let expected = [
        (0, JobEvent::Started(0)),
        (1_000_000, JobEvent::Done(0)),
        (1_000_000, JobEvent::Started(1)),
        (1_500_000, JobEvent::Done(1)),
        (1_500_000, JobEvent::Started(2)),
        (1_600_000, JobEvent::Done(2)),
    ];
    assert_eq!(reported, expected);
}

#[test]
fn more_jobs_than_cores_share_the_cores_evenly() {
    let mut worker = Worker::new(plan(8, 1.0), None, 0, progress_interval());
    let mut events = Vec::new();
    (0..8).for_each(|n| {
        worker.offer(job(n, 1, 0.2), 0, LIMIT, &mut events);
    });
    assert_eq!(run(&mut worker, &mut events, 0).last(), Some(&(400_000, JobEvent::Done(7))));
}

#[test]
fn a_worker_in_slow_start_is_slow_and_ends_when_it_is_overloaded() {
    let mut worker = Worker::new(plan(4, 1.0), Some(0), 0, progress_interval());
    let mut events = Vec::new();
    // The limit is 0.2 of 4 cores for 1.5 s, times the multiple of 3 and the slack of 1.15: 4.14 slot-seconds.
    assert_eq!(worker.offer(job(0, 4, 1.0), 0, LIMIT, &mut events), None);
    let overload = worker.offer(job(1, 1, 1.0), 1000, LIMIT, &mut events);
    assert_eq!(overload, Some(Overload { by_informed_senders: true }));
    assert_eq!(events, [JobEvent::Started(0), JobEvent::Lost(0), JobEvent::Lost(1)]);
    let mut slow = Worker::new(plan(4, 1.0), Some(0), 0, progress_interval());
    events.clear();
    slow.offer(job(0, 1, 0.5), 0, LIMIT, &mut events);
    let (end, _) = run(&mut slow, &mut events, 0)[1];
    assert!((1_500_000..2_500_000).contains(&end), "the capacity starts at a fifth and grows: {end}");
}

#[test]
fn a_hung_worker_reports_nothing_and_continues_when_it_resumes() {
    let mut worker = Worker::new(plan(4, 1.0), None, 0, progress_interval());
    let mut events = Vec::new();
    worker.offer(job(0, 1, 1.0), 0, LIMIT, &mut events);
    worker.set_hung(true, 500_000, &mut events);
    worker.offer(job(1, 1, 1.0), 600_000, LIMIT, &mut events);
    assert_eq!((worker.next_event(), events.len()), (None, 1));
    worker.set_hung(false, 5_000_000, &mut events);
    let reported = run(&mut worker, &mut events, 5_000_000);
    assert_eq!(reported[2..], [(5_500_000, JobEvent::Done(0)), (6_000_000, JobEvent::Done(1))]);
}

#[test]
fn a_draining_worker_rejects_waiting_jobs_and_keeps_running_ones_until_its_process_ends() {
    let mut worker = Worker::new(plan(4, 1.0), None, 0, progress_interval());
    let mut events = Vec::new();
    worker.offer(job(0, 4, 1.0), 0, LIMIT, &mut events);
    worker.offer(job(1, 1, 1.0), 0, LIMIT, &mut events);
    worker.drain(1, &mut events);
    worker.offer(job(2, 1, 1.0), 2, LIMIT, &mut events);
    assert_eq!(events, [JobEvent::Started(0), JobEvent::Rejected(1), JobEvent::Rejected(2)]);
    events.clear();
    worker.end(3, &mut events);
    assert_eq!(events, [JobEvent::Lost(0)]);
}

/// The prediction equals the completion time if no other job arrives.
#[test]
fn a_predicted_completion_agrees_with_the_actual_one() {
    let mut worker = Worker::new(plan(4, 0.8), None, 0, progress_interval());
    let mut events = Vec::new();
    for job in [job(0, 2, 1.0), job(1, 1, 0.3), job(2, 4, 0.5), job(3, 1, 0.2)] {
        worker.offer(job, 0, LIMIT, &mut events);
    }
    let predicted = worker.predict_completion(0, 2, 0.4).expect("the job fits");
    worker.offer(job(4, 2, 0.4), 0, LIMIT, &mut events);
    let reported = run(&mut worker, &mut events, 0);
    let (end, _) = reported.iter().find(|(_, event)| *event == JobEvent::Done(4)).expect("the job completes");
    assert!((predicted * 1e6 - *end as f64).abs() < 10.0, "{predicted} against {end}");
}
