//! The state of jobs and their attempts, from the arrival of a request to the end of its last attempt.

use crate::api::{Action, JobSettings, Outcome, Request, Seconds};
use crate::run_time::RunTimeModel;
use crate::worker::Location;

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobState {
    /// The job waits for tokens in its tenant's job buffer.
    Queued,
    /// The job waits for a worker.
    Admitted,
    /// The job has an open attempt.
    InFlight,
    /// The final response was sent; attempts may still be open.
    Ended,
}

/// A request and its state since its arrival.
#[derive(Debug)]
pub(crate) struct Job {
    pub request: Request,
    /// Settings at the acceptance of the request; later settings do not bind the job.
    pub settings: JobSettings,
    /// Expected running time: the mean of the class, or the client's hint if that is longer.
    pub run_time: Seconds,
    /// Logarithm of the expected work.
    pub log_work: f64,
    /// Time until which a response meets the latency objective.
    pub objective_due: Seconds,
    /// Slots that the job takes from the tenant's token bank.
    pub slots: i64,
    pub arrived_at: Seconds,
    /// Latest time at which the job can start and still be of use to its client.
    pub start_by: Seconds,
    pub state: JobState,
    pub attempts: Vec<Attempt>,
}

/// Time limits of a job, as determined at its arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobTiming {
    pub arrived_at: Seconds,
    /// Time since the client's first attempt.
    pub age: Seconds,
    /// Latest time at which the job can start and still be of use to its client.
    pub start_by: Seconds,
}

impl Job {
    /// Returns a queued job for a request that has just arrived.
    pub(crate) fn new(
        request: Request,
        settings: JobSettings,
        slots: i64,
        run_times: &RunTimeModel,
        timing: JobTiming,
    ) -> Job {
        let log_work = run_times.log_work(request.expected_run_time);
        let JobTiming { arrived_at, age, start_by } = timing;
        let allowance = settings.run_time_allowance() * log_work.exp();
        Job {
            run_time: run_times.mean.max(request.expected_run_time.unwrap_or(0.0)),
            log_work,
            objective_due: arrived_at - age + settings.latency_objective() + allowance,
            arrived_at,
            state: JobState::Queued,
            attempts: Vec::new(),
            request,
            settings,
            slots,
            start_by,
        }
    }

    /// Returns the class, as a position in the estimates by class. What the settings say of the job is in
    /// [`Job::settings`].
    pub(crate) fn class(&self) -> usize {
        self.request.class as usize
    }

    /// Returns the tenant, as a position in the settings.
    pub(crate) fn tenant(&self) -> usize {
        self.request.tenant as usize
    }

    /// Returns the time at which the job stops waiting for a free worker: after `fraction` of the time from its
    /// arrival until it must start.
    pub(crate) fn placement_deadline(&self, fraction: f64) -> Seconds {
        self.arrived_at + fraction * (self.start_by - self.arrived_at)
    }

    /// Whether the client's timeout is over, within the resolution of the clock.
    pub(crate) fn has_expired(&self, now: Seconds, clock_resolution: Seconds) -> bool {
        now - self.arrived_at >= self.request.timeout - clock_resolution
    }

    /// Returns the attempts that may have run.
    pub(crate) fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran))
    }

    /// Whether no attempt can have run the job; an open attempt may run it.
    pub(crate) fn never_ran(&self) -> bool {
        self.possible_runs().next().is_none()
    }

    /// Whether an attempt has not ended yet.
    pub(crate) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    /// Whether the job was sent to this worker, not counting attempts on an idle connection that the worker had closed.
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

    /// Returns the last attempt, if it is open and its worker must give signs of life: until the job starts, and while
    /// it runs if workers report progress.
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
            settings: self.settings,
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

    /// Returns the work of the job, in slot-seconds.
    pub(crate) fn work(&self) -> f64 {
        self.size() * self.run_time
    }

    /// Returns the size of the job in slots. A job that needs more memory units than slots counts by its memory,
    /// because workers have one unit of memory per slot.
    pub(crate) fn size(&self) -> f64 {
        (self.slots as f64).max(self.request.memory)
    }
}

/// One send of a job to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub worker: usize,
    /// Location of the worker at the time of the send, where its idempotency key is known since then.
    pub location: Location,
    pub sent_at: Seconds,
    /// Time at which the job began to run, if the worker reported it.
    pub started_at: Option<Seconds>,
    /// Whether the worker was expected to have a free slot.
    pub had_free_slot: bool,
    /// Expected utilization of the worker, this job included.
    pub utilization: f64,
    /// Outcome of the attempt; `None` while it is open.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns an open attempt that is sent now.
    pub(crate) fn new(candidate: &Candidate, location: Location, now: Seconds) -> Attempt {
        Attempt {
            worker: candidate.worker,
            location,
            sent_at: now,
            started_at: None,
            had_free_slot: candidate.has_free_slot,
            utilization: candidate.utilization,
            outcome: None,
        }
    }
}

/// An attempt that has just ended, with the state of its job that is needed to evaluate the outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub attempt: Attempt,
    pub outcome: Outcome,
    pub request: Request,
    /// Settings of the job.
    pub settings: JobSettings,
    /// Size of the job, in slots.
    pub size: f64,
    /// Logarithm of the job's expected work.
    pub log_work: f64,
    /// Whether this was not the first attempt at the job.
    pub is_retry: bool,
    /// Whether an earlier attempt ended with a reset connection or an error.
    pub failed_before: bool,
    /// Whether the client had its final response before this attempt ended.
    pub was_answered: bool,
}

impl EndedAttempt {
    /// Returns the running time of the job, counted from its send if its start was not reported.
    pub(crate) fn run_time(&self, now: Seconds) -> Seconds {
        now - self.attempt.started_at.unwrap_or(self.attempt.sent_at)
    }

    /// Returns the wait of the job at the worker. If its start was not reported, the job is assumed to have run for at
    /// most `likely_run_time`.
    pub(crate) fn wait(&self, now: Seconds, likely_run_time: Seconds) -> Seconds {
        let run_time = self.run_time(now);
        let has_start = self.attempt.started_at.is_some();
        let run_time = if has_start { run_time } else { run_time.min(likely_run_time) };
        now - self.attempt.sent_at - run_time
    }

    /// Whether the running time is known: if the start was reported, or if the worker had a free slot and the job did
    /// not wait.
    pub(crate) fn has_measured_run(&self) -> bool {
        self.attempt.started_at.is_some() || self.attempt.had_free_slot
    }
}

/// A worker to which a job may be sent, with the estimates by which it is compared to others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub worker: usize,
    /// Cost of the job at the worker, in seconds.
    pub cost: f64,
    /// Whether the worker is expected to have a free slot for the job.
    pub has_free_slot: bool,
    /// Expected utilization of the worker, this job included: slots in use as a fraction of all its slots.
    pub utilization: f64,
    /// Probability that the job is late at the worker.
    pub lateness_probability: f64,
}
