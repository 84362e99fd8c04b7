//! 1. **Throttle.** Each tenant has a token bank and a small job buffer (Berger and Whitt), folded into one
//!    counter in slots, U = T - J + C_J. A k-slot job needs U >= k or is refused at once, whole, with a
//!    retry-after. With k tokens banked it is pushed at once; else it is held, and tokens pay the head.

use super::attempts::MAX_PLACEMENTS;
use super::*;

/// A full token bank holds this much time's tokens: a burst that evens out over a running time or two.
const BANK_TIME: Seconds = 1.0;
/// Those of other zones are asked after this part of the wait.
const PROBE_OTHER_ZONES_AFTER: f64 = 0.2;
/// No job is larger, in slots; the sums stay exact.
const LARGEST: f64 = 1e6;

impl Dispatcher {
    pub(super) fn resize_banks(&mut self) {
        let aim = self.cfg.classes.iter().map(|c| c.latency_objective).fold(f64::INFINITY, f64::min);
        for b in &mut self.banks {
            let rate = b.share * self.rate.slots_per_second;
            let buffer = ((rate * aim) as i64).max(self.fleet.largest_job);
            b.resize(((rate * BANK_TIME) as i64).max(2 * self.fleet.largest_job), buffer);
        }
    }

    pub(super) fn accrue_tokens(&mut self) {
        let dt = self.now - std::mem::replace(&mut self.accrued_at, self.now);
        if dt <= 0.0 {
            return;
        }
        accrue_all(&mut self.banks, self.rate.slots_per_second * dt);
    }

    pub(super) fn on_request(&mut self, req: Request, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&req.id) {
            return;
        }
        let class = (req.class as usize).min(self.cfg.classes.len() - 1);
        let tenant = (req.tenant as usize).min(self.banks.len() - 1);
        let req = Request { class: class as u32, tenant: tenant as u32, ..req };
        let k = req.slots.max(1.0).ceil() as i64;
        if k > self.fleet.largest_job {
            // A figure beyond any worker must not open the banks to everything that follows.
            let most = |kind: &MachineKind| if kind.slots > 0.0 { 2.0 * kind.slots } else { f64::INFINITY };
            if k as f64 > self.fleet.kinds.iter().map(most).fold(0.0, f64::max).min(LARGEST) {
                return actions.push(self.rejection(req.id, self.cfg.max_retry_after));
            }
            self.fleet.largest_job = k;
            self.resize_banks();
        }
        self.accrue_tokens();
        self.mean_slots += CLASS_LEARNING_RATE * (k as f64 - self.mean_slots);
        self.reserved_workers.record_job(
            k as f64,
            k as f64 * self.run_times[class].mean,
            &self.fleet.workers,
        );
        if let Some(key) = req.affinity_key {
            self.key_rates.record(key, self.now);
        }
        let slack = self.start_slack(class, req.expected_run_time);
        let longest = self.run_times[class].record_timeout(req.timeout);
        // A first try that is to be answered sooner than others is no older than they.
        let age = longest - req.timeout;
        let first =
            if self.cfg.clients_mark_retries { !req.is_retry } else { age < self.cfg.clock_resolution };
        let age = if first { 0.0 } else { age };
        self.banks[tenant].window_arrivals += f64::from(first);
        let until = self.now + (slack - age).min(req.timeout - 4.0 * self.cfg.clock_resolution);
        let late = until <= self.now && self.cfg.classes[class].late_weight == 0.0;
        let bank = &mut self.banks[tenant];
        if late || bank.balance < k || req.timeout <= 0.0 {
            let wait = (k - bank.balance).max(1) as f64 / self.tenant_rate(tenant);
            self.rate.is_limiting |= !late;
            return actions.push(self.rejection(req.id, wait));
        }
        let until = until.max(self.now + 0.01_f64.min(req.timeout / 2.0));
        let now_pay = bank.balance - bank.buffer_capacity >= k;
        bank.balance -= k;
        let state = if now_pay { JobState::Admitted } else { JobState::Queued };
        let run = self.run_times[class].mean.max(req.expected_run_time.unwrap_or(0.0));
        let work_log = self.run_times[class].log_work(req.expected_run_time);
        let c = &self.cfg.classes[class];
        let due = self.now - age + c.latency_objective + c.run_time_allowance * work_log.exp();
        let (arrived, attempts) = (self.now, Vec::new());
        let job = Job {
            request: req,
            run_time: run,
            log_work: work_log,
            objective_due: due,
            slots: k,
            arrived_at: arrived,
            start_by: until,
            state,
            attempts,
        };
        self.jobs.insert(req.id, job);
        if now_pay {
            self.admit(req.id, actions);
        } else {
            self.rate.is_limiting = true;
            self.banks[tenant].queued.push_back(req.id);
            self.banks[tenant].queued_slots += k;
            self.schedule(until - self.now, TimerEvent::QueueTimeout(req.id));
            self.release_queued(tenant, actions);
        }
    }

    /// How long a job of the class may wait and still be in time, by its running time as told or as usual.
    pub(super) fn start_slack(&self, class: usize, expected: Option<Seconds>) -> Seconds {
        let c = &self.cfg.classes[class];
        c.latency_objective
            + (c.run_time_allowance - 1.0).max(0.0) * self.run_times[class].log_work(expected).exp()
    }

    /// Tokens a second of a tenant; never quite none, to divide by.
    fn tenant_rate(&self, tenant: usize) -> f64 {
        (self.banks[tenant].share * self.rate.slots_per_second).max(1e-3)
    }

    pub(super) fn rejection(&self, request: RequestId, wait: Seconds) -> Action {
        let longest = self.cfg.max_retry_after;
        let retry_after = (longest > 0.0).then(|| wait.clamp(0.001, longest));
        Action::Reject { request, retry_after }
    }

    pub(super) fn release_queued(&mut self, tenant: usize, actions: &mut Vec<Action>) {
        while let Some(&id) = self.banks[tenant].queued.front() {
            let b = &mut self.banks[tenant];
            let Some(job) = self.jobs.get(&id) else { return };
            let owed = (b.buffer_capacity - b.balance).max(0);
            let missing = job.slots - (b.queued_slots - owed);
            if missing > 0 {
                let after = (missing as f64 - b.partial_token).max(0.01) / self.tenant_rate(tenant);
                self.schedule(after, TimerEvent::TokensDue(tenant));
                return;
            }
            b.queued.pop_front();
            b.queued_slots -= job.slots;
            self.admit(id, actions);
        }
    }

    /// Its tokens are all there, or were taken for an attempt that never ran.
    pub(super) fn admit(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = JobState::Admitted;
        let give_way = job.placement_deadline(PLACEMENT_WAIT);
        self.admitted.push_back(id);
        self.place_admitted(actions);
        if self.admitted.contains(&id) {
            self.schedule(give_way - self.now, TimerEvent::PlacementTimeout(id));
            if self.may_probe() && self.admitted.len() <= MAX_PLACEMENTS {
                self.probe(id, false, actions);
                self.schedule(
                    PROBE_OTHER_ZONES_AFTER * (give_way - self.now),
                    TimerEvent::ProbeOtherZones(id),
                );
            }
        }
    }

    pub(super) fn on_queue_timeout(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.start_by > self.now + 1e-6 {
            return;
        }
        match job.state {
            JobState::Queued => {
                self.banks[job.request.tenant as usize].remove_queued(id, job.slots);
                self.rate.is_limiting = true;
            }
            JobState::Admitted => self.admitted.retain(|&p| p != id),
            _ => return,
        }
        self.reject_or_fail(id, actions);
    }
}
