//! **Placement.** An admitted job is sent to the best worker of a sample. If loads are reported and no worker
//! seems free, the job waits for a short time first. A job that no worker can run in time is rejected.

use super::Dispatcher;
use crate::api::{Action, LoadReports, RequestId};
use crate::job::{Attempt, Candidate, Job, JobState};
use crate::load::UNQUEUED_START_DELAY;
use crate::timers::{TimerEvent, TIMER_TOLERANCE};

/// Fraction of the time within which a job must start that it may wait for a free worker.
pub(super) const PLACEMENT_WAIT: f64 = 0.1;
/// Number of attempts after which a job is sent only to a worker that seems free, because other workers would
/// probably reject it as well.
const MAX_BLIND_ATTEMPTS: usize = 2;
/// Fraction of the jobs with an unreachable deadline that is sent nevertheless, to correct wrong estimates.
const UNREACHABLE_SEND_RATE: f64 = 1.0 / 16.0;
/// Maximum number of admitted jobs that are tried per event.
pub(super) const MAX_PLACEMENTS: usize = 3;

/// The decision about an admitted job.
#[derive(Clone, Copy, Debug)]
enum Placement {
    /// The job waits for a free worker.
    Wait,
    /// The job is sent to this worker.
    Send(Candidate),
    /// The job would be late even at the best worker.
    DeadlineUnreachable(Candidate),
    /// No worker is eligible for the job.
    NoWorker,
}

impl Dispatcher {
    /// Places admitted jobs in the order of admission. Only the first few are tried: if they find no worker,
    /// the jobs behind them would find none either.
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

    /// Sends a job, or ends it if a send is of no use. Returns whether the job must wait for a free worker.
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
        let may_send = job.attempts.len() < job.settings.max_attempts();
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
        let may_send_blind = !has_reports || job.attempts.len() < MAX_BLIND_ATTEMPTS;
        if is_free || may_send_blind {
            Placement::Send(candidate)
        } else {
            Placement::NoWorker
        }
    }

    /// Whether the job is almost certain to be late at its best worker and a late response has no weight.
    fn deadline_unreachable(&self, job: &Job, candidate: Candidate) -> bool {
        let run_times = &self.workload.run_times[job.class()];
        job.settings.late_weight() == 0.0
            && job.never_ran()
            && run_times.deadline_unreachable(candidate.lateness_probability)
    }

    /// Sends a job to a worker and counts the slots and the slow-start budget that it uses there.
    pub(super) fn send(&mut self, id: RequestId, candidate: Candidate, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let size = job.size();
        let work = job.work();
        job.state = JobState::InFlight;
        let location = self.fleet.workers[candidate.worker].location();
        job.attempts.push(Attempt::new(&candidate, location, self.now));
        self.fleet.add_slots(candidate.worker, size, self.observation_time());
        let time_slice = self.time_slice();
        let worker = &mut self.fleet.workers[candidate.worker];
        worker.in_flight += 1;
        worker.idle_connection_until = 0.0;
        worker.slow_start.spend(work, time_slice, self.now);
        actions.push(Action::Send { request: id, worker: worker.id, timeout: None });
        self.hedge_budget.record_send();
        if self.settings.reports_job_start {
            self.schedule(2.0 * UNQUEUED_START_DELAY, TimerEvent::StallCheck(id));
        }
    }
}
