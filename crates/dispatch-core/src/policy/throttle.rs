//! 1. **Throttle.** Each tenant has a token bank and a small job buffer (Berger and Whitt), folded into one
//!    counter in slots, U = T - J + C_J. A k-slot job needs U >= k or is rejected at once, whole, with a
//!    retry-after. With k tokens banked it is admitted at once; else it is queued, and tokens pay the head.

use super::attempts::{MAX_PLACEMENTS, PLACEMENT_WAIT};
use super::Dispatcher;
use crate::api::{Action, Request, RequestId, Seconds};
use crate::job::{Job, JobState};
use crate::timers::{TimerEvent, TIMER_TOLERANCE};
use crate::token_bank;

/// A full token bank holds this much time's tokens: a burst that evens out over a running time or two.
const BANK_TIME: Seconds = 1.0;
/// Workers of other zones are probed after this part of the wait for a free worker.
const PROBE_OTHER_ZONES_AFTER: f64 = 0.2;
/// A job has at least this time to start, or half its timeout.
const MIN_START_TIME: Seconds = 0.01;
/// A job starts so many steps of the clock before its client gives up.
const CLOCK_STEPS_TO_ANSWER: f64 = 4.0;
/// The shortest retry-after of a rejection.
const MIN_RETRY_AFTER: Seconds = 0.001;

impl Dispatcher {
    pub(super) fn resize_banks(&mut self) {
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.fold(f64::INFINITY, f64::min);
        let largest_job = self.fleet.largest_job;
        for bank in &mut self.banks {
            let rate = bank.share * self.rate.slots_per_second;
            let buffer_capacity = ((rate * shortest_objective) as i64).max(largest_job);
            bank.resize(((rate * BANK_TIME) as i64).max(2 * largest_job), buffer_capacity);
        }
    }

    pub(super) fn accrue_tokens(&mut self) {
        let elapsed = self.now - std::mem::replace(&mut self.accrued_at, self.now);
        if elapsed > 0.0 {
            token_bank::accrue(&mut self.banks, self.rate.slots_per_second * elapsed);
        }
    }

    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        let class = (request.class as usize).min(self.settings.classes.len() - 1);
        let tenant = (request.tenant as usize).min(self.banks.len() - 1);
        let request = Request { class: class as u32, tenant: tenant as u32, ..request };
        let slots = request.slots.max(1.0).ceil() as i64;
        if slots > self.fleet.largest_job {
            // A figure beyond any worker must not open the banks to everything that follows.
            if slots as f64 > self.fleet.max_job_slots() {
                return actions.push(self.rejection(request.id, self.settings.max_retry_after));
            }
            self.fleet.largest_job = slots;
            self.resize_banks();
        }
        self.accrue_tokens();
        self.record_arrival(&request, slots as f64);
        let slack = self.workload.run_times[class]
            .start_slack(&self.settings.classes[class], request.expected_run_time);
        let age = self.request_age(&request);
        let latest_start = request.timeout - CLOCK_STEPS_TO_ANSWER * self.settings.clock_resolution;
        let start_by = self.now + (slack - age).min(latest_start);
        let too_late = start_by <= self.now && self.settings.classes[class].late_weight == 0.0;
        let balance = self.banks[tenant].balance;
        if too_late || balance < slots || request.timeout <= 0.0 {
            let wait = (slots - balance).max(1) as f64 / self.rate.partial(self.banks[tenant].share);
            self.rate.is_limiting |= !too_late;
            return actions.push(self.rejection(request.id, wait));
        }
        let start_by = start_by.max(self.now + MIN_START_TIME.min(request.timeout / 2.0));
        let (class, run_times) = (&self.settings.classes[class], &self.workload.run_times[class]);
        let job = Job::new(request, slots, class, run_times, self.now, age, start_by);
        self.enqueue(job, actions);
    }

    fn record_arrival(&mut self, request: &Request, slots: f64) {
        self.workload.record_slots(slots);
        let work = slots * self.workload.run_times[request.class as usize].mean;
        self.reserved_workers.record_job(slots, work, &self.fleet.workers);
        if let Some(key) = request.affinity_key {
            self.key_rates.record(key, self.now);
        }
    }

    /// How long ago the client first asked for this job. First attempts count as arrivals of the tenant.
    fn request_age(&mut self, request: &Request) -> Seconds {
        let run_times = &mut self.workload.run_times[request.class as usize];
        // A first attempt that is to be answered sooner than others is no older than they.
        let age = run_times.record_timeout(request.timeout) - request.timeout;
        let seems_first = age < self.settings.clock_resolution;
        let is_first = if self.settings.clients_mark_retries { !request.is_retry } else { seems_first };
        if is_first {
            self.banks[request.tenant as usize].window_arrivals += 1.0;
            return 0.0;
        }
        age
    }

    /// Takes the job's slots out of its tenant's bank; it waits in the buffer until tokens pay for it.
    fn enqueue(&mut self, job: Job, actions: &mut Vec<Action>) {
        let (id, tenant, start_by) = (job.request.id, job.tenant(), job.start_by);
        let is_paid = self.banks[tenant].withdraw(id, job.slots);
        self.jobs.insert(id, job);
        if is_paid {
            return self.admit(id, actions);
        }
        self.rate.is_limiting = true;
        self.schedule(start_by - self.now, TimerEvent::QueueTimeout(id));
        self.release_queued(tenant, actions);
    }

    pub(super) fn rejection(&self, request: RequestId, wait: Seconds) -> Action {
        let longest = self.settings.max_retry_after;
        let retry_after = (longest > 0.0).then(|| wait.clamp(MIN_RETRY_AFTER, longest));
        Action::Reject { request, retry_after }
    }

    pub(super) fn release_queued(&mut self, tenant: usize, actions: &mut Vec<Action>) {
        while let Some(&id) = self.banks[tenant].queued.front() {
            let Some(job) = self.jobs.get(&id) else { return };
            if let Some(missing) = self.banks[tenant].release_head(job.slots) {
                let after = missing / self.rate.partial(self.banks[tenant].share);
                return self.schedule(after, TimerEvent::TokensDue(tenant));
            }
            self.admit(id, actions);
        }
    }

    /// Its tokens are all there, or were taken for an attempt that never ran: it waits for a worker.
    pub(super) fn admit(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = JobState::Admitted;
        let deadline = job.placement_deadline(PLACEMENT_WAIT);
        self.admitted.push_back(id);
        self.place_admitted(actions);
        if self.admitted.contains(&id) {
            let wait = deadline - self.now;
            self.schedule(wait, TimerEvent::PlacementTimeout(id));
            if self.may_probe() && self.admitted.len() <= MAX_PLACEMENTS {
                self.probe(id, false, actions);
                self.schedule(PROBE_OTHER_ZONES_AFTER * wait, TimerEvent::ProbeOtherZones(id));
            }
        }
    }

    /// A job that waits for tokens or for a worker has no time left to start.
    pub(super) fn on_queue_timeout(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.start_by > self.now + TIMER_TOLERANCE {
            return;
        }
        match job.state {
            JobState::Queued => {
                self.banks[job.tenant()].remove_queued(id, job.slots);
                self.rate.is_limiting = true;
            }
            JobState::Admitted => self.admitted.retain(|&admitted| admitted != id),
            JobState::InFlight | JobState::Ended => return,
        }
        self.reject_or_fail(id, actions);
    }
}
