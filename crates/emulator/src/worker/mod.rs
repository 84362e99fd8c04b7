//! Model of a worker: slots on a few cores, a bounded FIFO queue and a slow start.
//!
//! Running jobs share the cores evenly, so one service clock serves them all: it runs at the current speed of the
//! worker, and a job completes when the clock has advanced by its work. A change of speed (warm-up, a noisy neighbour,
//! more jobs than cores) changes the rate of the clock and nothing else. The model has no clock and no I/O of its own:
//! callers pass the time and call [`Worker::wake`] when [`Worker::next_event`] is due.

mod job;
mod overload;
mod prediction;

use std::collections::VecDeque;

pub use self::job::{AssignedJob, AttemptId, JobEvent};
use self::overload::WarmUpLoad;
pub use self::overload::{Overload, OverloadLimit};
use crate::day::{micros, seconds, Micros, WorkerPlan};

/// Interval at which the speed of a warming worker is recomputed.
const WARM_UP_STEP: Micros = 250_000;
/// Rounding tolerance of the service clock, in seconds of work.
const WORK_TOLERANCE: f64 = 1e-9;
/// The time of a completion is rounded up to a whole microsecond, unless it exceeds one by no more than this.
const COMPLETION_TOLERANCE_MICROS: f64 = 1e-3;
/// Upper bound of the time until a completion, so that it fits [`Micros`].
const MAX_REMAINING_MICROS: f64 = 1e15;
const MICROS_PER_SECOND: f64 = 1e6;
/// Shortest warm-up, in seconds.
const MIN_WARM_UP_SECONDS: f64 = 1e-6;
/// A worker is warm as soon as it has done this share of the work that it could do in a warm-up period at full speed.
const WARM_UP_WORK_SHARE: f64 = 0.5;
/// Largest part of a machine that another program takes.
const MAX_STOLEN_SHARE: f64 = 0.99;

/// Lifecycle phase of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts jobs.
    Serving,
    /// Finishes running jobs and rejects new ones.
    Draining,
    /// The process has ended.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct RunningJob {
    job: AssignedJob,
    /// Service clock at completion.
    done_at_clock: f64,
    /// Time of the next progress event.
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

/// Worker process.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Properties drawn for the day.
    pub plan: WorkerPlan,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Start of the process; none if it was warm from the beginning of the day.
    pub started_at: Option<Micros>,
    running: Vec<RunningJob>,
    waiting: VecDeque<AssignedJob>,
    /// Seconds of work that each running job has received since the worker was created.
    service_clock: f64,
    /// Time up to which the service clock has advanced.
    clock_moved_at: Micros,
    /// Work done since the start, in slot-seconds.
    work_done: f64,
    hung: bool,
    stolen_share: f64,
    warm_up_load: WarmUpLoad,
    progress_interval: Micros,
}

impl Worker {
    /// Creates a serving worker: warming up if it has a start time, warm otherwise.
    pub fn new(
        plan: WorkerPlan,
        started_at: Option<Micros>,
        now: Micros,
        progress_interval: Micros,
    ) -> Worker {
        Worker {
            plan,
            phase: Phase::Serving,
            started_at,
            running: Vec::new(),
            waiting: VecDeque::new(),
            service_clock: 0.0,
            clock_moved_at: now,
            work_done: 0.0,
            hung: false,
            stolen_share: 0.0,
            warm_up_load: WarmUpLoad::default(),
            progress_interval: progress_interval.max(1),
        }
    }

    /// Returns the part of the full capacity that is available. It grows linearly with time or with the work done,
    /// whichever is faster.
    pub fn slow_start_factor(&self, now: Micros) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let warm_up = self.plan.warm_up.max(MIN_WARM_UP_SECONDS);
        let progress_by_time = seconds(now.saturating_sub(started_at)) / warm_up;
        let full_work = self.plan.cores * self.plan.speed * warm_up * WARM_UP_WORK_SHARE;
        let progress_by_work = self.work_done / full_work;
        let initial = self.plan.initial_capacity;
        initial + (1.0 - initial) * progress_by_time.max(progress_by_work).clamp(0.0, 1.0)
    }

    /// Returns the work that the worker can do in a second, in slot-seconds.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.plan.speed * self.plan.cores.min(f64::from(self.plan.slots)) * self.slow_start_factor(now)
    }

    /// Returns the number of slots that running jobs occupy.
    pub fn busy(&self) -> u32 {
        self.running.iter().map(|running| running.job.slots).sum()
    }

    /// Returns the rate of the service clock.
    fn service_rate(&self, now: Micros) -> f64 {
        if self.hung || self.phase == Phase::Ended {
            return 0.0;
        }
        let cores_per_slot = (self.plan.cores / f64::from(self.busy().max(1))).min(1.0);
        self.plan.speed * self.slow_start_factor(now) * (1.0 - self.stolen_share) * cores_per_slot
    }

    /// Advances the service clock to a time.
    fn advance_to(&mut self, now: Micros) {
        let elapsed = seconds(now.saturating_sub(self.clock_moved_at));
        if elapsed > 0.0 {
            let service = elapsed * self.service_rate(self.clock_moved_at);
            self.service_clock += service;
            self.work_done += service * f64::from(self.busy());
            self.clock_moved_at = now;
        }
    }

    /// Returns the time at which [`Worker::wake`] is due; none if nothing runs.
    pub fn next_event(&self) -> Option<Micros> {
        let service_rate = self.service_rate(self.clock_moved_at);
        if service_rate <= 0.0 || self.running.is_empty() {
            return None;
        }
        let ends_at_clock = self.running.iter().map(|running| running.done_at_clock);
        let first_end_at_clock = ends_at_clock.fold(f64::INFINITY, f64::min);
        let remaining_service = (first_end_at_clock - self.service_clock).max(0.0);
        let remaining = remaining_service / service_rate * MICROS_PER_SECOND - COMPLETION_TOLERANCE_MICROS;
        let completion = self.clock_moved_at + remaining.ceil().clamp(0.0, MAX_REMAINING_MICROS) as Micros;
        let progress = self.running.iter().map(|running| running.next_progress).min().unwrap_or(Micros::MAX);
        let mut next = completion.min(progress);
        if self.slow_start_factor(self.clock_moved_at) < 1.0 {
            next = next.min(self.clock_moved_at + WARM_UP_STEP);
        }
        Some(next.max(self.clock_moved_at + 1))
    }

    /// Completes running jobs, reports progress and starts waiting jobs as far as these are due.
    pub fn wake(&mut self, now: Micros, events: &mut Vec<JobEvent>) {
        self.advance_to(now);
        if self.hung || self.phase == Phase::Ended {
            return;
        }
        let service_clock = self.service_clock;
        let progress_interval = self.progress_interval;
        self.running.retain_mut(|running| {
            if running.is_done(service_clock) {
                events.push(running.final_event());
                return false;
            }
            if running.next_progress <= now {
                running.next_progress = now + progress_interval;
                events.push(running.progress_event(service_clock));
            }
            true
        });
        self.start_waiting(now, events);
    }

    /// Starts waiting jobs in order. The first blocks the others until enough slots are free.
    fn start_waiting(&mut self, now: Micros, events: &mut Vec<JobEvent>) {
        while let Some(job) = self.waiting.front().copied() {
            if self.hung || self.busy() + job.slots > self.plan.slots {
                return;
            }
            self.waiting.pop_front();
            let done_at_clock = self.service_clock + job.work;
            self.running.push(RunningJob { job, done_at_clock, next_progress: now + self.progress_interval });
            events.push(JobEvent::Started(job.attempt));
        }
    }

    /// Queues, starts or rejects a job. Returns the overload if the job overloads a warming worker, whose process then
    /// ends.
    pub fn offer(
        &mut self,
        job: AssignedJob,
        now: Micros,
        limit: OverloadLimit,
        events: &mut Vec<JobEvent>,
    ) -> Option<Overload> {
        self.advance_to(now);
        let overload = self.record_warm_up_load(&job, now, limit);
        if overload.is_some() {
            self.end(now, events);
            events.push(JobEvent::Lost(job.attempt));
            return overload;
        }
        if !self.accepts(&job) {
            events.push(JobEvent::Rejected(job.attempt));
            return None;
        }
        self.waiting.push_back(job);
        self.start_waiting(now, events);
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

    /// Cancels an attempt: removes it from the queue, if the worker supports cancellation. Returns whether it was
    /// removed.
    pub fn cancel(&mut self, attempt: AttemptId, now: Micros, events: &mut Vec<JobEvent>) -> bool {
        if !self.plan.drops_cancelled {
            return false;
        }
        self.advance_to(now);
        let waiting_before = self.waiting.len();
        self.waiting.retain(|job| job.attempt != attempt);
        self.start_waiting(now, events);
        self.waiting.len() < waiting_before
    }

    /// Starts a graceful shutdown: rejects waiting jobs and finishes running ones.
    pub fn drain(&mut self, now: Micros, events: &mut Vec<JobEvent>) {
        self.advance_to(now);
        if self.phase == Phase::Serving {
            self.phase = Phase::Draining;
            events.extend(self.waiting.drain(..).map(|job| JobEvent::Rejected(job.attempt)));
        }
    }

    /// Ends the process; running and waiting jobs are lost.
    pub fn end(&mut self, now: Micros, events: &mut Vec<JobEvent>) {
        self.advance_to(now);
        self.phase = Phase::Ended;
        events.extend(self.running.drain(..).map(|running| JobEvent::Lost(running.job.attempt)));
        events.extend(self.waiting.drain(..).map(|job| JobEvent::Lost(job.attempt)));
    }

    /// Suspends or resumes all work and all responses.
    pub fn set_hung(&mut self, hung: bool, now: Micros, events: &mut Vec<JobEvent>) {
        self.advance_to(now);
        self.hung = hung;
        self.start_waiting(now, events);
    }

    /// Sets the part of the machine that another program takes.
    pub fn set_stolen_share(&mut self, share: f64, now: Micros) {
        self.advance_to(now);
        self.stolen_share = share.clamp(0.0, MAX_STOLEN_SHARE);
    }
}

/// Returns the interval between two progress events of a job.
pub fn progress_interval() -> Micros {
    micros(1.0)
}
