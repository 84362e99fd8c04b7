//! A worker: slots on a few cores, a bounded queue whose head waits until it fits, a cold start.
//!
//! Jobs that run share the cores evenly, so one service clock serves them all: it runs at the worker's speed of the
//! moment, and a job ends when the clock has moved by its work. A change of speed (warmth, a neighbour, one more job
//! than cores) moves the clock's pace and nothing else.

use std::collections::VecDeque;

use crate::day::{micros, seconds, Micros, WorkerPlan};

/// While a worker warms up its pace is taken anew this often.
const WARM_UP_STEP: Micros = 250_000;
/// Work is done within this, in seconds; the clock's sums are not exact.
const WORK_TOLERANCE: f64 = 1e-9;

/// A job at a worker: the attempt's number, at its owner's choice.
pub type AttemptId = usize;

/// A job as it reaches a worker.
#[derive(Clone, Copy, Debug)]
pub struct AssignedJob {
    /// Which attempt it is.
    pub attempt: AttemptId,
    /// Slots it takes.
    pub slots: u32,
    /// Work at speed 1, in seconds for each slot.
    pub work: f64,
    /// What a job like it takes as a rule, in slot-seconds at speed 1: by this cold workers are judged, since nobody
    /// can know more of a job when it is sent.
    pub expected_work: f64,
    /// It will end in an error.
    pub fails: bool,
    /// It came from a dispatcher that knew of the worker's start.
    pub sender_knew_start: bool,
}

/// What a worker says of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobEvent {
    /// It runs.
    Started(AttemptId),
    /// It runs, and this part is done.
    Progress(AttemptId, f64),
    /// It is done.
    Done(AttemptId),
    /// It ended in an error.
    Failed(AttemptId),
    /// Rejected or handed back unstarted.
    Rejected(AttemptId),
    /// It was killed.
    Lost(AttemptId),
}

/// How a worker is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes jobs.
    Serving,
    /// Finishes what runs.
    Draining,
    /// Its process has ended.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct RunningJob {
    job: AssignedJob,
    /// Where the service clock stands when it is done.
    done_at_clock: f64,
    /// When it says next how far it is.
    next_progress: Micros,
}

/// A worker process.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it is.
    pub plan: WorkerPlan,
    /// How it is.
    pub phase: Phase,
    /// When it started; none for long ago.
    pub started_at: Option<Micros>,
    running: Vec<RunningJob>,
    waiting: VecDeque<AssignedJob>,
    /// The service clock, and when it was last moved.
    service_clock: f64,
    clock_moved_at: Micros,
    /// Work that it did since its start, in slot-seconds.
    work_done: f64,
    hung: bool,
    stolen_share: f64,
    /// What was sent while it was cold: when, its usual work in slot-seconds, and whether the sender knew of its start.
    sent_cold: VecDeque<(Micros, f64, bool)>,
    progress_interval: Micros,
}

/// What a cold worker can bear.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// Sent more than this many times what it can do ...
    pub multiple: f64,
    /// ... within this span it falls over.
    pub window: Micros,
}

/// How much more than the stated budget a cold worker bears: jobs are drawn, and the rule leaves a little to chance.
const OVERLOAD_SLACK: f64 = 1.15;

impl Worker {
    /// A worker as it starts: cold, where `since` says when, or long since warm.
    pub fn new(plan: WorkerPlan, since: Option<Micros>, now: Micros, progress: Micros) -> Worker {
        Worker {
            plan,
            phase: Phase::Serving,
            started_at: since,
            running: Vec::new(),
            waiting: VecDeque::new(),
            service_clock: 0.0,
            clock_moved_at: now,
            work_done: 0.0,
            hung: false,
            stolen_share: 0.0,
            sent_cold: VecDeque::new(),
            progress_interval: progress.max(1),
        }
    }

    /// Its capacity as a part of the full one. It grows evenly with time, or with the work done where that is more.
    pub fn slow_start_factor(&self, now: Micros) -> f64 {
        let Some(since) = self.started_at else { return 1.0 };
        let warm = self.plan.warm_up.max(1e-6);
        let by_time = seconds(now.saturating_sub(since)) / warm;
        let by_work = self.work_done / (self.plan.cores * self.plan.speed * warm * 0.5);
        let cold = self.plan.initial_capacity;
        cold + (1.0 - cold) * by_time.max(by_work).clamp(0.0, 1.0)
    }

    /// Work it can do a second now, in slot-seconds.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.plan.speed * self.plan.cores.min(f64::from(self.plan.slots)) * self.slow_start_factor(now)
    }

    /// Slots taken by what runs.
    pub fn busy(&self) -> u32 {
        self.running.iter().map(|r| r.job.slots).sum()
    }

    /// Jobs that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// The attempts that run, with their slots.
    pub fn runs(&self) -> impl Iterator<Item = (AttemptId, u32)> + '_ {
        self.running.iter().map(|r| (r.job.attempt, r.job.slots))
    }

    /// Service clock seconds for each second, now.
    fn service_rate(&self, now: Micros) -> f64 {
        if self.hung || self.phase == Phase::Ended {
            return 0.0;
        }
        let shared = (self.plan.cores / f64::from(self.busy().max(1))).min(1.0);
        self.plan.speed * self.slow_start_factor(now) * (1.0 - self.stolen_share) * shared
    }

    /// Moves the service clock to now.
    fn advance_to(&mut self, now: Micros) {
        let passed = seconds(now.saturating_sub(self.clock_moved_at));
        if passed > 0.0 {
            let moved = passed * self.service_rate(self.clock_moved_at);
            self.service_clock += moved;
            self.work_done += moved * f64::from(self.busy());
            self.clock_moved_at = now;
        }
    }

    /// When [`Worker::wake`] is due, where anything is.
    pub fn next_event(&self) -> Option<Micros> {
        let pace = self.service_rate(self.clock_moved_at);
        if pace <= 0.0 || self.running.is_empty() {
            return None;
        }
        let first = self.running.iter().map(|r| r.done_at_clock).fold(f64::INFINITY, f64::min);
        // Up to a thousandth of a microsecond early counts as done.
        let done = (first - self.service_clock).max(0.0) / pace * 1e6 - 1e-3;
        let done = self.clock_moved_at + done.ceil().clamp(0.0, 1e15) as Micros;
        let note = self.running.iter().map(|r| r.next_progress).min().unwrap_or(Micros::MAX);
        let next = done.min(note);
        let warming = self.slow_start_factor(self.clock_moved_at) < 1.0;
        Some(
            if warming { next.min(self.clock_moved_at + WARM_UP_STEP) } else { next }
                .max(self.clock_moved_at + 1),
        )
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, notes: &mut Vec<JobEvent>) {
        self.advance_to(now);
        if self.hung || self.phase == Phase::Ended {
            return;
        }
        let (clock, progress) = (self.service_clock, self.progress_interval);
        self.running.retain_mut(|r| {
            if r.done_at_clock <= clock + WORK_TOLERANCE {
                let end = if r.job.fails { JobEvent::Failed } else { JobEvent::Done };
                notes.push(end(r.job.attempt));
                return false;
            }
            if r.next_progress <= now {
                r.next_progress = now + progress;
                let done = 1.0 - (r.done_at_clock - clock) / r.job.work.max(WORK_TOLERANCE);
                notes.push(JobEvent::Progress(r.job.attempt, done.clamp(0.0, 1.0)));
            }
            true
        });
        self.start_waiting(now, notes);
    }

    /// Starts waiting jobs in order; the first waits until it fits.
    fn start_waiting(&mut self, now: Micros, notes: &mut Vec<JobEvent>) {
        while let Some(head) = self.waiting.front().copied() {
            if self.hung || self.busy() + head.slots > self.plan.slots {
                return;
            }
            self.waiting.pop_front();
            let until = self.service_clock + head.work;
            self.running.push(RunningJob {
                job: head,
                done_at_clock: until,
                next_progress: now + self.progress_interval,
            });
            notes.push(JobEvent::Started(head.attempt));
        }
    }

    /// A job arrives. True where that makes a cold worker fall over.
    pub fn offer(
        &mut self,
        task: AssignedJob,
        now: Micros,
        fall: OverloadLimit,
        notes: &mut Vec<JobEvent>,
    ) -> Option<Overload> {
        self.advance_to(now);
        let fallen = self.record_cold_load(&task, now, fall);
        if fallen.is_some() {
            self.end(now, notes);
            notes.push(JobEvent::Lost(task.attempt));
            return fallen;
        }
        let full =
            self.waiting.len() >= self.plan.queue_capacity && self.busy() + task.slots > self.plan.slots;
        if self.phase != Phase::Serving || full || task.slots > self.plan.slots {
            notes.push(JobEvent::Rejected(task.attempt));
            return None;
        }
        self.waiting.push_back(task);
        self.start_waiting(now, notes);
        None
    }

    /// Counts what a cold worker is sent, rejected work included, and tells when it is too much.
    fn record_cold_load(&mut self, task: &AssignedJob, now: Micros, fall: OverloadLimit) -> Option<Overload> {
        if self.slow_start_factor(now) >= 1.0 || self.phase == Phase::Ended {
            return None;
        }
        self.sent_cold.push_back((now, task.expected_work, task.sender_knew_start));
        while self.sent_cold.front().is_some_and(|(at, _, _)| at + fall.window < now) {
            self.sent_cold.pop_front();
        }
        let sent: f64 = self.sent_cold.iter().map(|(_, work, _)| work).sum();
        let informed: f64 = self.sent_cold.iter().filter(|(_, _, i)| *i).map(|(_, work, _)| work).sum();
        // One job alone, however long, pushes nobody over.
        let several = self.sent_cold.len() > 1;
        let budget = fall.multiple * self.capacity(now) * seconds(fall.window) * OVERLOAD_SLACK;
        (several && sent > budget).then(|| Overload { by_informed_senders: informed >= sent * 2.0 / 3.0 })
    }

    /// The dispatcher gave an attempt up; what waits is dropped where this worker does that. True if it was.
    pub fn cancel(&mut self, attempt: AttemptId, now: Micros, notes: &mut Vec<JobEvent>) -> bool {
        if !self.plan.drops_cancelled {
            return false;
        }
        self.advance_to(now);
        let before = self.waiting.len();
        self.waiting.retain(|task| task.attempt != attempt);
        self.start_waiting(now, notes);
        self.waiting.len() < before
    }

    /// It finishes what runs and hands back what waits.
    pub fn drain(&mut self, now: Micros, notes: &mut Vec<JobEvent>) {
        self.advance_to(now);
        if self.phase == Phase::Serving {
            self.phase = Phase::Draining;
            notes.extend(self.waiting.drain(..).map(|task| JobEvent::Rejected(task.attempt)));
        }
    }

    /// Its process ends; what it has is lost.
    pub fn end(&mut self, now: Micros, notes: &mut Vec<JobEvent>) {
        self.advance_to(now);
        self.phase = Phase::Ended;
        notes.extend(self.running.drain(..).map(|r| JobEvent::Lost(r.job.attempt)));
        notes.extend(self.waiting.drain(..).map(|task| JobEvent::Lost(task.attempt)));
    }

    /// It stops answering, or goes on.
    pub fn set_hung(&mut self, hung: bool, now: Micros, notes: &mut Vec<JobEvent>) {
        self.advance_to(now);
        self.hung = hung;
        self.start_waiting(now, notes);
    }

    /// Another program takes this part of the machine.
    pub fn set_stolen_share(&mut self, part: f64, now: Micros) {
        self.advance_to(now);
        self.stolen_share = part.clamp(0.0, 0.99);
    }

    /// Seconds from now until a job of these slots and this work would be done here, as far as can be told by one
    /// who sees all: what runs goes on at today's pace, and what waits starts in order.
    pub fn predict_completion(&self, now: Micros, slots: u32, work: f64) -> Option<f64> {
        if self.phase != Phase::Serving || self.hung || slots > self.plan.slots {
            return None;
        }
        if self.waiting.len() >= self.plan.queue_capacity {
            return None;
        }
        let pace = self.plan.speed * self.slow_start_factor(now) * (1.0 - self.stolen_share);
        let late = seconds(now.saturating_sub(self.clock_moved_at)) * self.service_rate(self.clock_moved_at);
        let mut ends: Vec<(f64, u32)> = self
            .running
            .iter()
            .map(|r| ((r.done_at_clock - self.service_clock - late).max(0.0), r.job.slots))
            .collect();
        let mut start = 0.0_f64;
        let queue = self.waiting.iter().map(|t| (t.slots, t.work)).chain([(slots, work)]);
        let mut done = 0.0;
        for (slots, work) in queue {
            ends.retain(|(end, _)| *end > start);
            ends.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut busy: u32 = ends.iter().map(|(_, s)| s).sum();
            let mut gone = 0;
            while busy + slots > self.plan.slots && gone < ends.len() {
                (start, busy) = (ends[gone].0, busy - ends[gone].1);
                gone += 1;
            }
            done = start + work;
            ends.push((done, slots));
        }
        Some(done / pace.max(1e-6))
    }
}

/// A cold worker fell over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Two thirds of what it was sent came from dispatchers that knew of its start.
    pub by_informed_senders: bool,
}

/// The span between two notes of progress.
pub fn progress_interval() -> Micros {
    micros(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

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
    fn run(worker: &mut Worker, notes: &mut Vec<JobEvent>) -> Vec<(Micros, JobEvent)> {
        let mut said: Vec<(Micros, JobEvent)> =
            notes.drain(..).map(|note| (worker.clock_moved_at, note)).collect();
        while let Some(next) = worker.next_event() {
            worker.wake(next, notes);
            said.extend(
                notes.drain(..).filter(|n| !matches!(n, JobEvent::Progress(..))).map(|note| (next, note)),
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
        let said = run(&mut worker, &mut notes);
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
        assert_eq!(run(&mut worker, &mut notes).last(), Some(&(400_000, JobEvent::Done(7))));
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
        let (end, _) = run(&mut patient, &mut notes)[1];
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
        let said = run(&mut worker, &mut notes);
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
        let said = run(&mut worker, &mut notes);
        let (end, _) = said.iter().find(|(_, note)| *note == JobEvent::Done(4)).expect("its end");
        assert!((foreseen * 1e6 - *end as f64).abs() < 10.0, "{foreseen} against {end}");
    }
}
