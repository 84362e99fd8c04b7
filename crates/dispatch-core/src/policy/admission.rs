//! **Admission.** Validates a request, estimates by when its job must start, and admits, queues or rejects
//! it. A job of k slots is accepted if its tenant's balance U is at least k and it can start in time.
//! Otherwise it is rejected at once, as a whole, with a retry-after.

use super::Dispatcher;
use crate::api::{Action, JobSettings, Request, RequestId, Seconds};
use crate::job::{Job, JobTiming};

/// Minimum time that a job is given to start, unless half of its timeout is shorter.
const MIN_START_TIME: Seconds = 0.01;
/// Clock steps between the latest start of a job and the timeout of its client, in which the response is
/// sent.
const CLOCK_STEPS_TO_RESPOND: f64 = 4.0;
/// Minimum retry-after of a rejection.
const MIN_RETRY_AFTER: Seconds = 0.001;

impl Dispatcher {
    /// Admits, queues or rejects a request. A request whose id is already in use is ignored.
    pub(super) fn on_request(&mut self, request: Request, settings: JobSettings, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&request.id) {
            return;
        }
        let request = self.with_valid_positions(request);
        let slots = request.slots.max(1.0).ceil() as i64;
        if !self.fits_some_worker(slots) {
            return actions.push(self.rejection(request.id, self.settings.max_retry_after));
        }
        self.accrue_tokens();
        self.record_arrival(&request, slots as f64);
        let timing = self.estimate_timing(&request, &settings);
        if let Some(wait) = self.rejection_wait(&request, &settings, slots, timing) {
            return actions.push(self.rejection(request.id, wait));
        }
        let earliest_deadline = self.now + MIN_START_TIME.min(request.timeout / 2.0);
        let timing = JobTiming { start_by: timing.start_by.max(earliest_deadline), ..timing };
        let run_times = &self.workload.run_times[request.class as usize];
        self.enqueue(Job::new(request, settings, slots, run_times, timing), actions);
    }

    /// Returns the request with its class and tenant limited to the lists of the settings.
    fn with_valid_positions(&self, request: Request) -> Request {
        let class = (request.class as usize).min(self.settings.classes.len() - 1);
        let tenant = (request.tenant as usize).min(self.banks.len() - 1);
        Request { class: class as u32, tenant: tenant as u32, ..request }
    }

    /// Whether a job of this size may fit a worker. The banks are enlarged for the largest job so far, but
    /// not for a job that no worker can run, because such large banks would admit all requests that follow.
    fn fits_some_worker(&mut self, slots: i64) -> bool {
        if slots <= self.fleet.largest_job {
            return true;
        }
        if slots as f64 > self.fleet.max_job_slots() {
            return false;
        }
        self.fleet.largest_job = slots;
        self.resize_banks();
        true
    }

    /// Updates the estimates of job sizes and key rates with an arrival.
    fn record_arrival(&mut self, request: &Request, slots: f64) {
        self.workload.record_slots(slots);
        let work = slots * self.workload.run_times[request.class as usize].mean;
        self.reserved_workers.record_job(slots, work, &self.fleet.workers);
        if let Some(key) = request.affinity_key {
            self.key_rates.record(key, self.now);
        }
    }

    /// Estimates the age of a request and the time by which its job must start for the response to be in
    /// time.
    fn estimate_timing(&mut self, request: &Request, settings: &JobSettings) -> JobTiming {
        let run_times = &self.workload.run_times[request.class as usize];
        let slack = run_times.start_slack(settings, request.expected_run_time);
        let age = self.request_age(request);
        let latest_start = request.timeout - CLOCK_STEPS_TO_RESPOND * self.settings.clock_resolution;
        JobTiming { arrived_at: self.now, age, start_by: self.now + (slack - age).min(latest_start) }
    }

    /// Returns the time since the client's first attempt. Counts a first attempt as an arrival of the tenant.
    fn request_age(&mut self, request: &Request) -> Seconds {
        let run_times = &mut self.workload.run_times[request.class as usize];
        // The timeout of a retry is shorter by the time since the first attempt, but a first attempt may have
        // a short timeout of its own. If clients mark retries, only the mark decides.
        let age = run_times.record_timeout(request.timeout) - request.timeout;
        let seems_first = age < self.settings.clock_resolution;
        let is_first = if self.settings.clients_mark_retries { !request.is_retry } else { seems_first };
        if is_first {
            self.banks[request.tenant as usize].window_arrivals += 1.0;
            return 0.0;
        }
        age
    }

    /// Returns the retry-after to suggest to the client if the request is rejected, or `None` if it is
    /// accepted.
    fn rejection_wait(
        &mut self,
        request: &Request,
        settings: &JobSettings,
        slots: i64,
        timing: JobTiming,
    ) -> Option<Seconds> {
        let is_too_late = timing.start_by <= self.now && settings.late_weight() == 0.0;
        let bank = &self.banks[request.tenant as usize];
        let is_rejected = is_too_late || bank.balance < slots || request.timeout <= 0.0;
        if !is_rejected {
            return None;
        }
        let missing_tokens = (slots - bank.balance).max(1) as f64;
        let wait = missing_tokens / self.rate.partial(bank.share);
        self.rate.is_limiting |= !is_too_late;
        Some(wait)
    }

    /// Returns a rejection, with a retry-after if the settings allow one.
    pub(super) fn rejection(&self, request: RequestId, wait: Seconds) -> Action {
        let longest = self.settings.max_retry_after;
        let retry_after = (longest > 0.0).then(|| wait.clamp(MIN_RETRY_AFTER, longest));
        Action::Reject { request, retry_after }
    }
}
