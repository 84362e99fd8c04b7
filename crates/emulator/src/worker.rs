//! A worker: slots on a few cores, a bounded queue whose head waits until it fits, a cold start.
//!
//! Jobs that run share the cores evenly, so one service clock serves them all: it runs at the worker's speed of the
//! moment, and a job ends when the clock has moved by its work. A change of speed (warmth, a neighbour, one more job
//! than cores) moves the clock's pace and nothing else.

use std::collections::VecDeque;

use crate::day::{micros, seconds, Micros, WorkerPlan};

/// While a worker warms up its pace is taken anew this often.
const WARMING: Micros = 250_000;
/// Work is done within this, in seconds; the clock's sums are not exact.
const DONE: f64 = 1e-9;

/// A job at a worker: the attempt's number, at its owner's choice.
pub type AttemptNo = usize;

/// A job as it reaches a worker.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Which attempt it is.
    pub attempt: AttemptNo,
    /// Slots it takes.
    pub slots: u32,
    /// Work at speed 1, in seconds for each slot.
    pub work: f64,
    /// What a job like it takes as a rule, in slot-seconds at speed 1: by this cold workers are judged, since nobody
    /// can know more of a job when it is sent.
    pub usual: f64,
    /// It will end in an error.
    pub fails: bool,
    /// It came from a dispatcher that knew of the worker's start.
    pub informed: bool,
}

/// What a worker says of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// It runs.
    Started(AttemptNo),
    /// It runs, and this part is done.
    Running(AttemptNo, f64),
    /// It is done.
    Done(AttemptNo),
    /// It ended in an error.
    Failed(AttemptNo),
    /// Turned away or handed back unstarted.
    Returned(AttemptNo),
    /// It was killed.
    Lost(AttemptNo),
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
struct Running {
    task: Task,
    /// Where the service clock stands when it is done.
    until: f64,
    /// When it says next how far it is.
    note: Micros,
}

/// A worker process.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it is.
    pub plan: WorkerPlan,
    /// How it is.
    pub phase: Phase,
    /// When it started; none for long ago.
    pub since: Option<Micros>,
    running: Vec<Running>,
    waiting: VecDeque<Task>,
    /// The service clock, and when it was last moved.
    clock: f64,
    at: Micros,
    /// Work that it did since its start, in slot-seconds.
    did: f64,
    hung: bool,
    taken: f64,
    /// What was sent while it was cold: when, its usual work in slot-seconds, and whether the sender knew of its start.
    sent_cold: VecDeque<(Micros, f64, bool)>,
    progress: Micros,
}

/// What a cold worker can bear.
#[derive(Clone, Copy, Debug)]
pub struct Fall {
    /// Sent more than this many times what it can do ...
    pub multiple: f64,
    /// ... within this span it falls over.
    pub span: Micros,
}

/// How much more than the stated budget a cold worker bears: jobs are drawn, and the rule leaves a little to chance.
const FALL_SLACK: f64 = 1.15;

impl Worker {
    /// A worker as it starts: cold, where `since` says when, or long since warm.
    pub fn new(plan: WorkerPlan, since: Option<Micros>, now: Micros, progress: Micros) -> Worker {
        Worker {
            plan,
            phase: Phase::Serving,
            since,
            running: Vec::new(),
            waiting: VecDeque::new(),
            clock: 0.0,
            at: now,
            did: 0.0,
            hung: false,
            taken: 0.0,
            sent_cold: VecDeque::new(),
            progress: progress.max(1),
        }
    }

    /// Its capacity as a part of the full one. It grows evenly with time, or with the work done where that is more.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let warm = self.plan.warm.max(1e-6);
        let by_time = seconds(now.saturating_sub(since)) / warm;
        let by_work = self.did / (self.plan.cores * self.plan.speed * warm * 0.5);
        let cold = self.plan.cold_share;
        cold + (1.0 - cold) * by_time.max(by_work).clamp(0.0, 1.0)
    }

    /// Work it can do a second now, in slot-seconds.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.plan.speed * self.plan.cores.min(f64::from(self.plan.slots)) * self.warmth(now)
    }

    /// Slots taken by what runs.
    pub fn busy(&self) -> u32 {
        self.running.iter().map(|r| r.task.slots).sum()
    }

    /// Jobs that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// The attempts that run, with their slots.
    pub fn runs(&self) -> impl Iterator<Item = (AttemptNo, u32)> + '_ {
        self.running.iter().map(|r| (r.task.attempt, r.task.slots))
    }

    /// Service clock seconds for each second, now.
    fn pace(&self, now: Micros) -> f64 {
        if self.hung || self.phase == Phase::Ended {
            return 0.0;
        }
        let shared = (self.plan.cores / f64::from(self.busy().max(1))).min(1.0);
        self.plan.speed * self.warmth(now) * (1.0 - self.taken) * shared
    }

    /// Moves the service clock to now.
    fn move_to(&mut self, now: Micros) {
        let passed = seconds(now.saturating_sub(self.at));
        if passed > 0.0 {
            let moved = passed * self.pace(self.at);
            self.clock += moved;
            self.did += moved * f64::from(self.busy());
            self.at = now;
        }
    }

    /// When [`Worker::wake`] is due, where anything is.
    pub fn next(&self) -> Option<Micros> {
        let pace = self.pace(self.at);
        if pace <= 0.0 || self.running.is_empty() {
            return None;
        }
        let first = self.running.iter().map(|r| r.until).fold(f64::INFINITY, f64::min);
        // Up to a thousandth of a microsecond early counts as done.
        let done = (first - self.clock).max(0.0) / pace * 1e6 - 1e-3;
        let done = self.at + done.ceil().clamp(0.0, 1e15) as Micros;
        let note = self.running.iter().map(|r| r.note).min().unwrap_or(Micros::MAX);
        let next = done.min(note);
        let warming = self.warmth(self.at) < 1.0;
        Some(if warming { next.min(self.at + WARMING) } else { next }.max(self.at + 1))
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, notes: &mut Vec<Note>) {
        self.move_to(now);
        if self.hung || self.phase == Phase::Ended {
            return;
        }
        let (clock, progress) = (self.clock, self.progress);
        self.running.retain_mut(|r| {
            if r.until <= clock + DONE {
                let end = if r.task.fails { Note::Failed } else { Note::Done };
                notes.push(end(r.task.attempt));
                return false;
            }
            if r.note <= now {
                r.note = now + progress;
                let done = 1.0 - (r.until - clock) / r.task.work.max(DONE);
                notes.push(Note::Running(r.task.attempt, done.clamp(0.0, 1.0)));
            }
            true
        });
        self.start_waiting(now, notes);
    }

    /// Starts waiting jobs in order; the first waits until it fits.
    fn start_waiting(&mut self, now: Micros, notes: &mut Vec<Note>) {
        while let Some(head) = self.waiting.front().copied() {
            if self.hung || self.busy() + head.slots > self.plan.slots {
                return;
            }
            self.waiting.pop_front();
            let until = self.clock + head.work;
            self.running.push(Running { task: head, until, note: now + self.progress });
            notes.push(Note::Started(head.attempt));
        }
    }

    /// A job arrives. True where that makes a cold worker fall over.
    pub fn take(&mut self, task: Task, now: Micros, fall: Fall, notes: &mut Vec<Note>) -> Option<Fallen> {
        self.move_to(now);
        let fallen = self.burden(&task, now, fall);
        if fallen.is_some() {
            self.end(now, notes);
            notes.push(Note::Lost(task.attempt));
            return fallen;
        }
        let full = self.waiting.len() >= self.plan.queue && self.busy() + task.slots > self.plan.slots;
        if self.phase != Phase::Serving || full || task.slots > self.plan.slots {
            notes.push(Note::Returned(task.attempt));
            return None;
        }
        self.waiting.push_back(task);
        self.start_waiting(now, notes);
        None
    }

    /// Counts what a cold worker is sent, rejected work included, and tells when it is too much.
    fn burden(&mut self, task: &Task, now: Micros, fall: Fall) -> Option<Fallen> {
        if self.warmth(now) >= 1.0 || self.phase == Phase::Ended {
            return None;
        }
        self.sent_cold.push_back((now, task.usual, task.informed));
        while self.sent_cold.front().is_some_and(|(at, _, _)| at + fall.span < now) {
            self.sent_cold.pop_front();
        }
        let sent: f64 = self.sent_cold.iter().map(|(_, work, _)| work).sum();
        let informed: f64 = self.sent_cold.iter().filter(|(_, _, i)| *i).map(|(_, work, _)| work).sum();
        // One job alone, however long, pushes nobody over.
        let several = self.sent_cold.len() > 1;
        let budget = fall.multiple * self.capacity(now) * seconds(fall.span) * FALL_SLACK;
        (several && sent > budget).then(|| Fallen { by_informed: informed >= sent * 2.0 / 3.0 })
    }

    /// The dispatcher gave an attempt up; what waits is dropped where this worker does that. True if it was.
    pub fn cancel(&mut self, attempt: AttemptNo, now: Micros, notes: &mut Vec<Note>) -> bool {
        if !self.plan.drops_cancelled {
            return false;
        }
        self.move_to(now);
        let before = self.waiting.len();
        self.waiting.retain(|task| task.attempt != attempt);
        self.start_waiting(now, notes);
        self.waiting.len() < before
    }

    /// It finishes what runs and hands back what waits.
    pub fn drain(&mut self, now: Micros, notes: &mut Vec<Note>) {
        self.move_to(now);
        if self.phase == Phase::Serving {
            self.phase = Phase::Draining;
            notes.extend(self.waiting.drain(..).map(|task| Note::Returned(task.attempt)));
        }
    }

    /// Its process ends; what it has is lost.
    pub fn end(&mut self, now: Micros, notes: &mut Vec<Note>) {
        self.move_to(now);
        self.phase = Phase::Ended;
        notes.extend(self.running.drain(..).map(|r| Note::Lost(r.task.attempt)));
        notes.extend(self.waiting.drain(..).map(|task| Note::Lost(task.attempt)));
    }

    /// It stops answering, or goes on.
    pub fn hang(&mut self, hung: bool, now: Micros, notes: &mut Vec<Note>) {
        self.move_to(now);
        self.hung = hung;
        self.start_waiting(now, notes);
    }

    /// Another program takes this part of the machine.
    pub fn take_away(&mut self, part: f64, now: Micros) {
        self.move_to(now);
        self.taken = part.clamp(0.0, 0.99);
    }

    /// Seconds from now until a job of these slots and this work would be done here, as far as can be told by one
    /// who sees all: what runs goes on at today's pace, and what waits starts in order.
    pub fn foresee(&self, now: Micros, slots: u32, work: f64) -> Option<f64> {
        if self.phase != Phase::Serving || self.hung || slots > self.plan.slots {
            return None;
        }
        if self.waiting.len() >= self.plan.queue {
            return None;
        }
        let pace = self.plan.speed * self.warmth(now) * (1.0 - self.taken);
        let late = seconds(now.saturating_sub(self.at)) * self.pace(self.at);
        let mut ends: Vec<(f64, u32)> =
            self.running.iter().map(|r| ((r.until - self.clock - late).max(0.0), r.task.slots)).collect();
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
pub struct Fallen {
    /// Two thirds of what it was sent came from dispatchers that knew of its start.
    pub by_informed: bool,
}

/// The span between two notes of progress.
pub fn progress() -> Micros {
    micros(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const FALL: Fall = Fall { multiple: 3.0, span: 1_500_000 };

    fn plan(slots: u32, speed: f64) -> WorkerPlan {
        WorkerPlan {
            kind: 0,
            zone: 0,
            rack: 0,
            cores: 4.0,
            slots,
            queue: 8,
            speed,
            cold_share: 0.2,
            warm: 10.0,
            errors: 0.0,
            drops_cancelled: true,
            connections: 100,
        }
    }

    fn task(attempt: usize, slots: u32, work: f64) -> Task {
        Task { attempt, slots, work, usual: work * f64::from(slots), fails: false, informed: true }
    }

    /// Runs a worker until it is idle, and returns what it said with the times.
    fn run(worker: &mut Worker, notes: &mut Vec<Note>) -> Vec<(Micros, Note)> {
        let mut said: Vec<(Micros, Note)> = notes.drain(..).map(|note| (worker.at, note)).collect();
        while let Some(next) = worker.next() {
            worker.wake(next, notes);
            said.extend(notes.drain(..).filter(|n| !matches!(n, Note::Running(..))).map(|note| (next, note)));
        }
        said
    }

    #[test]
    fn the_head_of_the_queue_waits_until_it_fits() {
        let mut worker = Worker::new(plan(4, 1.0), None, 0, progress());
        let mut notes = Vec::new();
        for one in [task(0, 2, 1.0), task(1, 4, 0.5), task(2, 1, 0.1)] {
            worker.take(one, 0, FALL, &mut notes);
        }
        let said = run(&mut worker, &mut notes);
        let expected = [
            (0, Note::Started(0)),
            (1_000_000, Note::Done(0)),
            (1_000_000, Note::Started(1)),
            (1_500_000, Note::Done(1)),
            (1_500_000, Note::Started(2)),
            (1_600_000, Note::Done(2)),
        ];
        assert_eq!(said, expected);
    }

    #[test]
    fn jobs_beyond_the_cores_share_them() {
        let mut worker = Worker::new(plan(8, 1.0), None, 0, progress());
        let mut notes = Vec::new();
        (0..8).for_each(|n| {
            worker.take(task(n, 1, 0.2), 0, FALL, &mut notes);
        });
        assert_eq!(run(&mut worker, &mut notes).last(), Some(&(400_000, Note::Done(7))));
    }

    #[test]
    fn a_cold_worker_is_slow_and_falls_over_when_sent_too_much() {
        let mut worker = Worker::new(plan(4, 1.0), Some(0), 0, progress());
        let mut notes = Vec::new();
        // 0.2 of 4 cores for 1.5 s, three times over and the slack: 4.14 slot-seconds.
        assert_eq!(worker.take(task(0, 4, 1.0), 0, FALL, &mut notes), None);
        let fallen = worker.take(task(1, 1, 1.0), 1000, FALL, &mut notes);
        assert_eq!(fallen, Some(Fallen { by_informed: true }));
        assert_eq!(notes, [Note::Started(0), Note::Lost(0), Note::Lost(1)]);
        let mut patient = Worker::new(plan(4, 1.0), Some(0), 0, progress());
        notes.clear();
        patient.take(task(0, 1, 0.5), 0, FALL, &mut notes);
        let (end, _) = run(&mut patient, &mut notes)[1];
        assert!((1_500_000..2_500_000).contains(&end), "about a fifth of the speed at first: {end}");
    }

    #[test]
    fn a_hung_worker_says_nothing_and_goes_on_later() {
        let mut worker = Worker::new(plan(4, 1.0), None, 0, progress());
        let mut notes = Vec::new();
        worker.take(task(0, 1, 1.0), 0, FALL, &mut notes);
        worker.hang(true, 500_000, &mut notes);
        worker.take(task(1, 1, 1.0), 600_000, FALL, &mut notes);
        assert_eq!((worker.next(), notes.len()), (None, 1));
        worker.hang(false, 5_000_000, &mut notes);
        let said = run(&mut worker, &mut notes);
        assert_eq!(said[2..], [(5_500_000, Note::Done(0)), (6_000_000, Note::Done(1))]);
    }

    #[test]
    fn a_draining_worker_hands_back_what_waits_and_ends_what_runs() {
        let mut worker = Worker::new(plan(4, 1.0), None, 0, progress());
        let mut notes = Vec::new();
        worker.take(task(0, 4, 1.0), 0, FALL, &mut notes);
        worker.take(task(1, 1, 1.0), 0, FALL, &mut notes);
        worker.drain(1, &mut notes);
        worker.take(task(2, 1, 1.0), 2, FALL, &mut notes);
        assert_eq!(notes, [Note::Started(0), Note::Returned(1), Note::Returned(2)]);
        notes.clear();
        worker.end(3, &mut notes);
        assert_eq!(notes, [Note::Lost(0)]);
    }

    /// What the oracle foresees is what happens, where nothing else comes.
    #[test]
    fn foresight_agrees_with_the_outcome() {
        let mut worker = Worker::new(plan(4, 0.8), None, 0, progress());
        let mut notes = Vec::new();
        for one in [task(0, 2, 1.0), task(1, 1, 0.3), task(2, 4, 0.5), task(3, 1, 0.2)] {
            worker.take(one, 0, FALL, &mut notes);
        }
        let foreseen = worker.foresee(0, 2, 0.4).expect("it fits");
        worker.take(task(4, 2, 0.4), 0, FALL, &mut notes);
        let said = run(&mut worker, &mut notes);
        let (end, _) = said.iter().find(|(_, note)| *note == Note::Done(4)).expect("its end");
        assert!((foreseen * 1e6 - *end as f64).abs() < 10.0, "{foreseen} against {end}");
    }
}
