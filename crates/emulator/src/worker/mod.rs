//! A worker: slots on a few cores, a bounded queue whose head waits until it fits, a cold start.
//!
//! Jobs that run share the cores evenly, so one service clock serves them all: it runs at the worker's speed of the
//! moment, and a job ends when the clock has moved by its work. A change of speed (warmth, a neighbour, one more job
//! than cores) moves the clock's pace and nothing else.

mod job;
mod overload;
mod prediction;

use std::collections::VecDeque;

pub use self::job::{AssignedJob, AttemptId, JobEvent};
use self::overload::WarmUpLoad;
pub use self::overload::{Overload, OverloadLimit};
use crate::day::{micros, seconds, Micros, WorkerPlan};

/// While a worker warms up its pace is taken anew this often.
const WARM_UP_STEP: Micros = 250_000;
/// Work is done within this, in seconds; the clock's sums are not exact.
const WORK_TOLERANCE: f64 = 1e-9;

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

impl RunningJob {
    fn is_done(&self, service_clock: f64) -> bool {
        self.done_at_clock <= service_clock + WORK_TOLERANCE
    }

    fn final_event(&self) -> JobEvent {
        if self.job.fails {
            JobEvent::Failed(self.job.attempt)
        } else {
            JobEvent::Done(self.job.attempt)
        }
    }

    fn progress_event(&self, service_clock: f64) -> JobEvent {
        let remaining = (self.done_at_clock - service_clock) / self.job.work.max(WORK_TOLERANCE);
        JobEvent::Progress { attempt: self.job.attempt, completed_share: (1.0 - remaining).clamp(0.0, 1.0) }
    }
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
    warm_up_load: WarmUpLoad,
    progress_interval: Micros,
}

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
            warm_up_load: WarmUpLoad::default(),
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
        let mut next = done.min(note);
        if self.slow_start_factor(self.clock_moved_at) < 1.0 {
            next = next.min(self.clock_moved_at + WARM_UP_STEP);
        }
        Some(next.max(self.clock_moved_at + 1))
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, notes: &mut Vec<JobEvent>) {
        self.advance_to(now);
        if self.hung || self.phase == Phase::Ended {
            return;
        }
        let service_clock = self.service_clock;
        let progress_interval = self.progress_interval;
        self.running.retain_mut(|r| {
            if r.is_done(service_clock) {
                notes.push(r.final_event());
                return false;
            }
            if r.next_progress <= now {
                r.next_progress = now + progress_interval;
                notes.push(r.progress_event(service_clock));
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
        let fallen = self.record_warm_up_load(&task, now, fall);
        if fallen.is_some() {
            self.end(now, notes);
            notes.push(JobEvent::Lost(task.attempt));
            return fallen;
        }
        if !self.accepts(&task) {
            notes.push(JobEvent::Rejected(task.attempt));
            return None;
        }
        self.waiting.push_back(task);
        self.start_waiting(now, notes);
        None
    }

    fn accepts(&self, job: &AssignedJob) -> bool {
        let queue_full = self.waiting.len() >= self.plan.queue_capacity;
        let must_wait = self.busy() + job.slots > self.plan.slots;
        self.phase == Phase::Serving && !(queue_full && must_wait) && job.slots <= self.plan.slots
    }

    /// Records the work sent to a warming worker, including work that it rejects.
    fn record_warm_up_load(
        &mut self,
        job: &AssignedJob,
        now: Micros,
        limit: OverloadLimit,
    ) -> Option<Overload> {
        if self.slow_start_factor(now) >= 1.0 || self.phase == Phase::Ended {
            return None;
        }
        self.warm_up_load.record(job, now, self.capacity(now), limit)
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
}

/// The span between two notes of progress.
pub fn progress_interval() -> Micros {
    micros(1.0)
}
