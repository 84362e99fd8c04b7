//! Jobs and their attempts, as a dispatcher remembers them until both are over.

use crate::api::{Action, Class, Outcome, Request, Seconds};
use crate::run_time::RunTimeModel;

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobState {
    /// It waits for tokens in its tenant's buffer.
    Queued,
    /// It waits for a worker.
    Admitted,
    /// An attempt is open.
    InFlight,
    /// It was answered; attempts may still be open.
    Ended,
}

/// One request from its arrival on.
#[derive(Debug)]
pub(crate) struct Job {
    pub request: Request,
    /// Its expected running time: the mean of its class, or the hint if that is more.
    pub run_time: Seconds,
    /// Its work as a logarithm, and when its answer must be out to be in time.
    pub log_work: f64,
    pub objective_due: Seconds,
    /// What it takes out of its tenant's bank.
    pub slots: i64,
    pub arrived_at: Seconds,
    /// Not worth starting after this.
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

    /// Its class, a position in the settings.
    pub(crate) fn class(&self) -> usize {
        self.request.class as usize
    }

    /// Its tenant, a position in the settings.
    pub(crate) fn tenant(&self) -> usize {
        self.request.tenant as usize
    }

    /// When it stops waiting for a free worker: after this part of the time it has.
    pub(crate) fn placement_deadline(&self, part: f64) -> Seconds {
        self.arrived_at + part * (self.start_by - self.arrived_at)
    }

    /// Its client has given up by now, as far as the clock can tell.
    pub(crate) fn has_expired(&self, now: Seconds, clock_resolution: Seconds) -> bool {
        now - self.arrived_at >= self.request.timeout - clock_resolution
    }

    /// The attempts that may have run.
    pub(crate) fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran))
    }

    /// All its attempts have ended and none can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.possible_runs().next().is_none()
    }

    /// An attempt has not ended yet.
    pub(crate) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// A worker was tried, and more came of it than a connection that had been closed before.
    pub(crate) fn was_tried_at(&self, worker: usize) -> bool {
        let stale = Some(Outcome::StaleConnection);
        self.attempts.iter().any(|attempt| attempt.worker == worker && attempt.outcome != stale)
    }

    /// The job of an open attempt begins to run; the attempt, unless that was known.
    pub(crate) fn start_attempt(&mut self, number: u32, now: Seconds) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number as usize)?;
        if attempt.started_at.is_some() || attempt.outcome.is_some() {
            return None;
        }
        attempt.started_at = Some(now);
        Some(*attempt)
    }

    /// The last attempt, if it is open and its worker should give signs of life: until the job starts, or for as long as
    /// it runs where progress is reported.
    pub(crate) fn attempt_to_watch(&self, reports_progress: bool) -> Option<Attempt> {
        let attempt = self.attempts.last()?;
        let is_watched = attempt.outcome.is_none() && (attempt.started_at.is_none() || reports_progress);
        is_watched.then_some(*attempt)
    }

    /// Ends an open attempt.
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

    /// To call off what is still open.
    pub(crate) fn cancel_actions(&self) -> impl Iterator<Item = Action> + '_ {
        let open = self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none());
        open.map(|(number, _)| Action::Cancel { request: self.request.id, attempt: number as u32 })
    }

    /// What it asks of a worker, in slots by seconds.
    pub(crate) fn work(&self) -> f64 {
        self.size() * self.run_time
    }

    /// What it takes of a worker, in slots: a worker has a unit of memory for each.
    pub(crate) fn size(&self) -> f64 {
        (self.slots as f64).max(self.request.memory)
    }
}

/// A job that was sent to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub worker: usize,
    pub sent_at: Seconds,
    /// When the job began to run, where that was reported.
    pub started_at: Option<Seconds>,
    /// Whether the worker was expected to have a free slot, and its expected utilization with the job.
    pub had_free_slot: bool,
    pub utilization: f64,
    /// How it ended; none while it is open.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn new(candidate: &Candidate, now: Seconds) -> Attempt {
        let &Candidate { worker, has_free_slot, utilization, .. } = candidate;
        let had_free_slot = has_free_slot;
        Attempt { worker, sent_at: now, started_at: None, had_free_slot, utilization, outcome: None }
    }
}

/// An attempt that has just ended, and what of its job tells how to take that.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub attempt: Attempt,
    pub outcome: Outcome,
    pub request: Request,
    /// The job's size in slots, and its work as a logarithm.
    pub size: f64,
    pub log_work: f64,
    /// It was not the first attempt.
    pub is_retry: bool,
    /// An earlier attempt broke or ended with an error.
    pub failed_before: bool,
    /// The client had its answer before.
    pub was_answered: bool,
}

impl EndedAttempt {
    /// How long the job ran; from its send where its start was not reported.
    pub(crate) fn run_time(&self, now: Seconds) -> Seconds {
        now - self.attempt.started_at.unwrap_or(self.attempt.sent_at)
    }

    /// How long it waited at the worker; where its start was not reported, it is taken to have run for no longer than is
    /// likely.
    pub(crate) fn wait(&self, now: Seconds, likely_run_time: Seconds) -> Seconds {
        let run_time = self.run_time(now);
        let is_measured = self.attempt.started_at.is_some();
        now - self.attempt.sent_at - if is_measured { run_time } else { run_time.min(likely_run_time) }
    }

    /// Whether its running time is known: where its start was not reported, only if the worker was free.
    pub(crate) fn has_measured_run(&self) -> bool {
        self.attempt.started_at.is_some() || self.attempt.had_free_slot
    }
}

/// A worker that a job may be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub worker: usize,
    /// What the job would cost there, in seconds.
    pub cost: f64,
    /// It is expected to have a free slot for the job.
    pub has_free_slot: bool,
    /// Its expected utilization with the job: slots in use, as a part of those it has.
    pub utilization: f64,
    /// How likely the job is to be late there.
    pub lateness_probability: f64,
}
