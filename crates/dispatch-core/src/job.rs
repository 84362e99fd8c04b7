//! Jobs and their attempts, from the arrival of a request to the end of its last attempt.

use crate::api::{Action, Class, Outcome, Request, Seconds};
use crate::run_time::RunTimeModel;

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobState {
    /// Waits for tokens in its tenant's buffer.
    Queued,
    /// Waits for a worker.
    Admitted,
    /// Has an open attempt.
    InFlight,
    /// Has its final answer; attempts may still be open.
    Ended,
}

/// A request from its arrival on.
#[derive(Debug)]
pub(crate) struct Job {
    pub request: Request,
    /// Expected running time: the mean of the class, or the hint if that is longer.
    pub run_time: Seconds,
    /// Logarithm of the work.
    pub log_work: f64,
    /// Time by which the response meets the latency objective.
    pub objective_due: Seconds,
    /// Slots that are withdrawn from the tenant's bank.
    pub slots: i64,
    pub arrived_at: Seconds,
    /// Latest time at which a start makes sense.
    pub start_by: Seconds,
    pub state: JobState,
    pub attempts: Vec<Attempt>,
}

/// Times of a job at its arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobTiming {
    pub arrived_at: Seconds,
    /// Time since the client's first attempt.
    pub age: Seconds,
    /// The latest time at which a start makes sense.
    pub start_by: Seconds,
}

impl Job {
    /// Returns a job that arrives now and waits for tokens.
    pub(crate) fn new(
        request: Request,
        slots: i64,
        class: &Class,
        run_times: &RunTimeModel,
        timing: JobTiming,
    ) -> Job {
        let log_work = run_times.log_work(request.expected_run_time);
        let JobTiming { arrived_at, age, start_by } = timing;
        let allowance = class.run_time_allowance * log_work.exp();
        Job {
            run_time: run_times.mean.max(request.expected_run_time.unwrap_or(0.0)),
            log_work,
            objective_due: arrived_at - age + class.latency_objective + allowance,
            arrived_at,
            state: JobState::Queued,
            attempts: Vec::new(),
            request,
            slots,
            start_by,
        }
    }

    /// Returns the class, as a position in the settings.
    pub(crate) fn class(&self) -> usize {
        self.request.class as usize
    }

    /// Returns the tenant, as a position in the settings.
    pub(crate) fn tenant(&self) -> usize {
        self.request.tenant as usize
    }

    /// Returns the time at which the job stops waiting for a free worker, as a part of the time that it has to start.
    pub(crate) fn placement_deadline(&self, part: f64) -> Seconds {
        self.arrived_at + part * (self.start_by - self.arrived_at)
    }

    /// Whether the client's timeout is over, to the resolution of the clock.
    pub(crate) fn has_expired(&self, now: Seconds, clock_resolution: Seconds) -> bool {
        now - self.arrived_at >= self.request.timeout - clock_resolution
    }

    /// Returns the attempts that may have run.
    pub(crate) fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran))
    }

    /// Whether all attempts have ended and none can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.possible_runs().next().is_none()
    }

    /// Whether an attempt has not ended yet.
    pub(crate) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// Whether the job was sent to a worker, other than on an idle connection that the worker had closed.
    pub(crate) fn was_tried_at(&self, worker: usize) -> bool {
        let stale = Some(Outcome::StaleConnection);
        self.attempts.iter().any(|attempt| attempt.worker == worker && attempt.outcome != stale)
    }

    /// Records that the job of an open attempt began to run. Returns the attempt, or `None` if that was recorded
    /// before.
    pub(crate) fn start_attempt(&mut self, number: u32, now: Seconds) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number as usize)?;
        if attempt.started_at.is_some() || attempt.outcome.is_some() {
            return None;
        }
        attempt.started_at = Some(now);
        Some(*attempt)
    }

    /// Returns the last attempt, if it is open and its worker should give signs of life: until the job starts, or for
    /// as long as it runs where progress is reported.
    pub(crate) fn attempt_to_watch(&self, reports_progress: bool) -> Option<Attempt> {
        let attempt = self.attempts.last()?;
        let is_watched = attempt.outcome.is_none() && (attempt.started_at.is_none() || reports_progress);
        is_watched.then_some(*attempt)
    }

    /// Ends an open attempt. Returns `None` if there is no such attempt.
    pub(crate) fn end_attempt(&mut self, number: u32, outcome: Outcome) -> Option<EndedAttempt> {
        let attempt = self.attempts.get_mut(number as usize).filter(|attempt| attempt.outcome.is_none())?;
        attempt.outcome = Some(outcome);
        let attempt = *attempt;
        let failed = |earlier: &Attempt| matches!(earlier.outcome, Some(Outcome::Reset | Outcome::Error));
        Some(EndedAttempt {
            attempt,
            outcome,
            request: self.request,
            size: self.size(),
            log_work: self.log_work,
            is_retry: number > 0,
            failed_before: self.attempts[..number as usize].iter().any(failed),
            was_answered: self.state == JobState::Ended,
        })
    }

    /// Returns the actions that cancel all open attempts.
    pub(crate) fn cancel_actions(&self) -> impl Iterator<Item = Action> + '_ {
        let open = self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none());
        open.map(|(number, _)| Action::Cancel { request: self.request.id, attempt: number as u32 })
    }

    /// Returns the work of the job, in slots by seconds.
    pub(crate) fn work(&self) -> f64 {
        self.size() * self.run_time
    }

    /// Returns the size of the job in slots of a worker, which has a unit of memory for each slot.
    pub(crate) fn size(&self) -> f64 {
        (self.slots as f64).max(self.request.memory)
    }
}

/// One send of a job to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub worker: usize,
    pub sent_at: Seconds,
    /// Time at which the job began to run, where that was reported.
    pub started_at: Option<Seconds>,
    /// Whether the worker was expected to have a free slot.
    pub had_free_slot: bool,
    /// Expected utilization of the worker with the job.
    pub utilization: f64,
    /// Outcome of the attempt; `None` while it is open.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns an attempt that is sent now.
    pub(crate) fn new(candidate: &Candidate, now: Seconds) -> Attempt {
        Attempt {
            worker: candidate.worker,
            sent_at: now,
            started_at: None,
            had_free_slot: candidate.has_free_slot,
            utilization: candidate.utilization,
            outcome: None,
        }
    }
}

/// An attempt that has just ended, with the state of its job by which the end is judged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub attempt: Attempt,
    pub outcome: Outcome,
    pub request: Request,
    /// Size of the job in slots.
    pub size: f64,
    /// Logarithm of the job's work.
    pub log_work: f64,
    /// Whether it was not the first attempt.
    pub is_retry: bool,
    /// Whether an earlier attempt broke or ended with an error.
    pub failed_before: bool,
    /// Whether the client had its answer before.
    pub was_answered: bool,
}

impl EndedAttempt {
    /// Returns the running time of the job; from its send where its start was not reported.
    pub(crate) fn run_time(&self, now: Seconds) -> Seconds {
        now - self.attempt.started_at.unwrap_or(self.attempt.sent_at)
    }

    /// Returns the wait of the job at the worker. Where its start was not reported, it is assumed to have run for no
    /// longer than `likely_run_time`.
    pub(crate) fn wait(&self, now: Seconds, likely_run_time: Seconds) -> Seconds {
        let run_time = self.run_time(now);
        let has_start = self.attempt.started_at.is_some();
        let run_time = if has_start { run_time } else { run_time.min(likely_run_time) };
        now - self.attempt.sent_at - run_time
    }

    /// Whether the running time was measured: where its start was not reported, only if the worker was free.
    pub(crate) fn has_measured_run(&self) -> bool {
        self.attempt.started_at.is_some() || self.attempt.had_free_slot
    }
}

/// A worker that a job may be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub worker: usize,
    /// Cost of the job at the worker, in seconds.
    pub cost: f64,
    /// Whether the worker is expected to have a free slot for the job.
    pub has_free_slot: bool,
    /// Expected utilization of the worker with the job: slots in use, as a part of those it has.
    pub utilization: f64,
    /// Probability that the job is late at the worker.
    pub lateness_probability: f64,
}
