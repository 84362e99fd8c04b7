//! 3. **Placement.** An admitted job is sent to the best worker of a sample, waits a while for a free one
//!    where loads are reported, or is given up.

use super::Dispatcher;
use crate::api::{Action, LoadReports, RequestId};
use crate::job::{Attempt, Candidate, Job, JobState};
use crate::load::PROMPT_START;
use crate::timers::{TimerEvent, TIMER_TOLERANCE};

/// Part of the time that a job has to start for which it waits for a free worker.
pub(super) const PLACEMENT_WAIT: f64 = 0.1;
/// Attempts after which a job is sent only to a worker that seems free: others would reject it as well.
const BLIND_ATTEMPTS: usize = 2;
/// Part of the jobs with an unreachable deadline that is sent all the same, to correct wrong estimates.
const UNREACHABLE_SEND_RATE: f64 = 1.0 / 16.0;
/// Most admitted jobs that are tried at one event.
pub(super) const MAX_PLACEMENTS: usize = 3;

/// The decision on an admitted job.
#[derive(Clone, Copy, Debug)]
enum Placement {
    /// The job waits for a free worker.
    Wait,
    /// The job is sent to this worker.
    Send(Candidate),
    /// The job would be late even at the best worker.
    DeadlineUnreachable(Candidate),
    /// No worker may get the job.
    NoWorker,
}

impl Dispatcher {
    /// Places admitted jobs, first come first. Only the first few are tried: where they find no worker, those
    /// behind them would not either.
    pub(super) fn place_admitted(&mut self, actions: &mut Vec<Action>) {
        let mut waiting = Vec::with_capacity(MAX_PLACEMENTS);
        while waiting.len() < MAX_PLACEMENTS {
            let Some(id) = self.admitted.pop_front() else { break };
            if self.place(id, actions) {
                waiting.push(id);
            }
        }
        for id in waiting.into_iter().rev() {
            self.admitted.push_front(id);
        }
    }

    /// Places a job whose wait for a free worker is over.
    pub(super) fn on_placement_timeout(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let position = self.admitted.iter().position(|&admitted| admitted == id);
        let Some(position) = position else { return };
        self.admitted.remove(position);
        if self.place(id, actions) {
            self.admitted.push_front(id);
        }
    }

    /// Sends a job, or ends it where that is of no use. Returns whether the job is to wait for a free worker.
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.remove(&id) else { return false };
        let placement = self.decide_placement(&job);
        let size = job.size();
        self.jobs.insert(id, job);
        match placement {
            Placement::Wait => return true,
            Placement::Send(candidate) => self.send(id, candidate, actions),
            Placement::DeadlineUnreachable(candidate) => {
                self.rate.record_rejection(candidate.worker, size);
                self.reject_or_fail(id, actions);
            }
            Placement::NoWorker => self.reject_or_fail(id, actions),
        }
        false
    }

    fn decide_placement(&mut self, job: &Job) -> Placement {
        let may_send = job.attempts.len() < self.settings.max_attempts.max(1) as usize;
        let candidate = if may_send { self.choose_worker(job) } else { None };
        let has_reports = self.settings.load_reports != LoadReports::None;
        let is_early = self.now + TIMER_TOLERANCE < job.placement_deadline(PLACEMENT_WAIT);
        let is_free = candidate.is_some_and(|candidate| candidate.has_free_slot);
        if has_reports && is_early && may_send && !is_free {
            return Placement::Wait;
        }
        let Some(candidate) = candidate else { return Placement::NoWorker };
        if self.deadline_unreachable(job, candidate) && self.rng.f64() > UNREACHABLE_SEND_RATE {
            return Placement::DeadlineUnreachable(candidate);
        }
        let may_send_blind = !has_reports || job.attempts.len() < BLIND_ATTEMPTS;
        if is_free || may_send_blind {
            Placement::Send(candidate)
        } else {
            Placement::NoWorker
        }
    }

    /// Whether the job is nearly certain to be late at its best worker and worth nothing then.
    fn deadline_unreachable(&self, job: &Job, candidate: Candidate) -> bool {
        let late_weight = self.settings.classes[job.class()].late_weight;
        let run_times = &self.workload.run_times[job.class()];
        late_weight == 0.0
            && job.never_ran()
            && run_times.deadline_unreachable(candidate.lateness_probability)
    }

    /// Sends a job to a worker and counts what it takes there.
    pub(super) fn send(&mut self, id: RequestId, candidate: Candidate, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let size = job.size();
        let work = job.work();
        job.state = JobState::InFlight;
        job.attempts.push(Attempt::new(&candidate, self.now));
        self.fleet.add_slots(candidate.worker, size, self.observation_time());
        let time_slice = self.time_slice();
        let worker = &mut self.fleet.workers[candidate.worker];
        worker.in_flight += 1;
        worker.idle_connection_until = 0.0;
        worker.slow_start.spend(work, time_slice, self.now);
        actions.push(Action::Send { request: id, worker: worker.id, timeout: None });
        self.hedge_budget.record_send();
        if self.settings.reports_job_start {
            self.schedule(2.0 * PROMPT_START, TimerEvent::StallCheck(id));
        }
    }
}
