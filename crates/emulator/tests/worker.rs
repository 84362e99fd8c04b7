//! Tests of the model of a worker: queue, shared cores, warm-up, overload, drain and predicted completion.

use emulator::day::{Micros, WorkerPlan};
use emulator::worker::{progress_interval, AssignedJob, JobEvent, Overload, OverloadLimit, Worker};

const FALL: OverloadLimit = OverloadLimit { multiple: 3.0, window: 1_500_000 };

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

fn task(attempt: usize, slots: u32, work: f64) -> AssignedJob {
    AssignedJob {
        attempt,
        slots,
        work,
        expected_work: work * f64::from(slots),
        fails: false,
        sender_knew_start: true,
    }
}

/// Runs a worker until it is idle, and returns what it said with the times.
fn run(worker: &mut Worker, notes: &mut Vec<JobEvent>, now: Micros) -> Vec<(Micros, JobEvent)> {
    let mut said: Vec<(Micros, JobEvent)> = notes.drain(..).map(|note| (now, note)).collect();
    while let Some(next) = worker.next_event() {
        worker.wake(next, notes);
        said.extend(
            notes.drain(..).filter(|n| !matches!(n, JobEvent::Progress { .. })).map(|note| (next, note)),
        );
    }
    said
}

#[test]
fn the_head_of_the_queue_waits_until_it_fits() {
    let mut worker = Worker::new(plan(4, 1.0), None, 0, progress_interval());
    let mut notes = Vec::new();
    for one in [task(0, 2, 1.0), task(1, 4, 0.5), task(2, 1, 0.1)] {
        worker.offer(one, 0, FALL, &mut notes);
    }
    let said = run(&mut worker, &mut notes, 0);
    let expected = [
        (0, JobEvent::Started(0)),
        (1_000_000, JobEvent::Done(0)),
        (1_000_000, JobEvent::Started(1)),
        (1_500_000, JobEvent::Done(1)),
        (1_500_000, JobEvent::Started(2)),
        (1_600_000, JobEvent::Done(2)),
    ];
    assert_eq!(said, expected);
}

#[test]
fn jobs_beyond_the_cores_share_them() {
    let mut worker = Worker::new(plan(8, 1.0), None, 0, progress_interval());
    let mut notes = Vec::new();
    (0..8).for_each(|n| {
        worker.offer(task(n, 1, 0.2), 0, FALL, &mut notes);
    });
    assert_eq!(run(&mut worker, &mut notes, 0).last(), Some(&(400_000, JobEvent::Done(7))));
}

#[test]
fn a_cold_worker_is_slow_and_falls_over_when_sent_too_much() {
    let mut worker = Worker::new(plan(4, 1.0), Some(0), 0, progress_interval());
    let mut notes = Vec::new();
    // 0.2 of 4 cores for 1.5 s, three times over and the slack: 4.14 slot-seconds.
    assert_eq!(worker.offer(task(0, 4, 1.0), 0, FALL, &mut notes), None);
    let fallen = worker.offer(task(1, 1, 1.0), 1000, FALL, &mut notes);
    assert_eq!(fallen, Some(Overload { by_informed_senders: true }));
    assert_eq!(notes, [JobEvent::Started(0), JobEvent::Lost(0), JobEvent::Lost(1)]);
    let mut patient = Worker::new(plan(4, 1.0), Some(0), 0, progress_interval());
    notes.clear();
    patient.offer(task(0, 1, 0.5), 0, FALL, &mut notes);
    let (end, _) = run(&mut patient, &mut notes, 0)[1];
    assert!((1_500_000..2_500_000).contains(&end), "about a fifth of the speed at first: {end}");
}

#[test]
fn a_hung_worker_says_nothing_and_goes_on_later() {
    let mut worker = Worker::new(plan(4, 1.0), None, 0, progress_interval());
    let mut notes = Vec::new();
    worker.offer(task(0, 1, 1.0), 0, FALL, &mut notes);
    worker.set_hung(true, 500_000, &mut notes);
    worker.offer(task(1, 1, 1.0), 600_000, FALL, &mut notes);
    assert_eq!((worker.next_event(), notes.len()), (None, 1));
    worker.set_hung(false, 5_000_000, &mut notes);
    let said = run(&mut worker, &mut notes, 5_000_000);
    assert_eq!(said[2..], [(5_500_000, JobEvent::Done(0)), (6_000_000, JobEvent::Done(1))]);
}

#[test]
fn a_draining_worker_hands_back_what_waits_and_ends_what_runs() {
    let mut worker = Worker::new(plan(4, 1.0), None, 0, progress_interval());
    let mut notes = Vec::new();
    worker.offer(task(0, 4, 1.0), 0, FALL, &mut notes);
    worker.offer(task(1, 1, 1.0), 0, FALL, &mut notes);
    worker.drain(1, &mut notes);
    worker.offer(task(2, 1, 1.0), 2, FALL, &mut notes);
    assert_eq!(notes, [JobEvent::Started(0), JobEvent::Rejected(1), JobEvent::Rejected(2)]);
    notes.clear();
    worker.end(3, &mut notes);
    assert_eq!(notes, [JobEvent::Lost(0)]);
}

/// What the oracle foresees is what happens, where nothing else comes.
#[test]
fn foresight_agrees_with_the_outcome() {
    let mut worker = Worker::new(plan(4, 0.8), None, 0, progress_interval());
    let mut notes = Vec::new();
    for one in [task(0, 2, 1.0), task(1, 1, 0.3), task(2, 4, 0.5), task(3, 1, 0.2)] {
        worker.offer(one, 0, FALL, &mut notes);
    }
    let foreseen = worker.predict_completion(0, 2, 0.4).expect("it fits");
    worker.offer(task(4, 2, 0.4), 0, FALL, &mut notes);
    let said = run(&mut worker, &mut notes, 0);
    let (end, _) = said.iter().find(|(_, note)| *note == JobEvent::Done(4)).expect("its end");
    assert!((foreseen * 1e6 - *end as f64).abs() < 10.0, "{foreseen} against {end}");
}
