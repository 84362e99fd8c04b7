//! 1. **Throttle.** Each tenant has a token bank and a small job buffer (Berger and Whitt), folded into one
//!    counter in slots, U = T - J + C_J. A k-slot job needs U >= k or is refused at once, whole, with a
//!    retry-after. With k tokens banked it is pushed at once; else it is held, and tokens pay the head.

use super::attempts::TRIED;
use super::*;

/// A full token bank holds this much time's tokens: a burst that evens out over a running time or two.
const BANK: Seconds = 1.0;
/// Those of other zones are asked after this part of the wait.
const LOOK_FAR: f64 = 0.2;
/// No job is larger, in slots; the sums stay exact.
const LARGEST: f64 = 1e6;

impl Dispatcher {
    pub(super) fn size_banks(&mut self) {
        let aim = self.cfg.classes.iter().map(|c| c.latency_objective).fold(f64::INFINITY, f64::min);
        for b in &mut self.banks {
            let rate = b.share * self.rate.slots_per_s;
            let buffer = ((rate * aim) as i64).max(self.fleet.largest);
            b.resize(((rate * BANK) as i64).max(2 * self.fleet.largest), buffer);
        }
    }

    pub(super) fn accrue(&mut self) {
        let dt = self.now - std::mem::replace(&mut self.accrued, self.now);
        if dt <= 0.0 {
            return;
        }
        accrue_all(&mut self.banks, self.rate.slots_per_s * dt);
    }

    pub(super) fn on_request(&mut self, req: Request, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&req.id) {
            return;
        }
        let class = (req.class as usize).min(self.cfg.classes.len() - 1);
        let tenant = (req.tenant as usize).min(self.banks.len() - 1);
        let req = Request { class: class as u32, tenant: tenant as u32, ..req };
        let k = req.slots.max(1.0).ceil() as i64;
        if k > self.fleet.largest {
            // A figure beyond any worker must not open the banks to everything that follows.
            let most = |kind: &Kind| if kind.slots > 0.0 { 2.0 * kind.slots } else { f64::INFINITY };
            if k as f64 > self.fleet.kinds.iter().map(most).fold(0.0, f64::max).min(LARGEST) {
                return actions.push(self.refusal(req.id, self.cfg.max_retry_after));
            }
            self.fleet.largest = k;
            self.size_banks();
        }
        self.accrue();
        self.slots += LEARN_CLASS * (k as f64 - self.slots);
        self.room.asked(k as f64, k as f64 * self.runs[class].mean, &self.fleet.workers);
        if let Some(key) = req.affinity_key {
            self.keys.ask(key, self.now);
        }
        let slack = self.slack(class, req.expected_run_time);
        let longest = self.runs[class].longest_patience(req.timeout);
        // A first try that is to be answered sooner than others is no older than they.
        let age = longest - req.timeout;
        let first =
            if self.cfg.clients_mark_retries { !req.is_retry } else { age < self.cfg.clock_resolution };
        let age = if first { 0.0 } else { age };
        self.banks[tenant].asking += f64::from(first);
        let until = self.now + (slack - age).min(req.timeout - 4.0 * self.cfg.clock_resolution);
        let late = until <= self.now && self.cfg.classes[class].late_weight == 0.0;
        let bank = &mut self.banks[tenant];
        if late || bank.u < k || req.timeout <= 0.0 {
            let wait = (k - bank.u).max(1) as f64 / self.rate_of(tenant);
            self.rate.limiting |= !late;
            return actions.push(self.refusal(req.id, wait));
        }
        let until = until.max(self.now + 0.01_f64.min(req.timeout / 2.0));
        let now_pay = bank.u - bank.buffer >= k;
        bank.u -= k;
        let state = if now_pay { State::Paid } else { State::Held };
        let run = self.runs[class].mean.max(req.expected_run_time.unwrap_or(0.0));
        let work_log = self.runs[class].work(req.expected_run_time);
        let c = &self.cfg.classes[class];
        let due = self.now - age + c.latency_objective + c.run_time_allowance * work_log.exp();
        let (arrived, attempts) = (self.now, Vec::new());
        let job = Job { req, run, work_log, due, slots: k, arrived, until, state, attempts };
        self.jobs.insert(req.id, job);
        if now_pay {
            self.pay(req.id, actions);
        } else {
            self.rate.limiting = true;
            self.banks[tenant].held.push_back(req.id);
            self.banks[tenant].held_slots += k;
            self.wake(until - self.now, Wake::Hold(req.id));
            self.release(tenant, actions);
        }
    }

    /// How long a job of the class may wait and still be in time, by its running time as told or as usual.
    pub(super) fn slack(&self, class: usize, expected: Option<Seconds>) -> Seconds {
        let c = &self.cfg.classes[class];
        c.latency_objective + (c.run_time_allowance - 1.0).max(0.0) * self.runs[class].work(expected).exp()
    }

    /// Tokens a second of a tenant; never quite none, to divide by.
    fn rate_of(&self, tenant: usize) -> f64 {
        (self.banks[tenant].share * self.rate.slots_per_s).max(1e-3)
    }

    pub(super) fn refusal(&self, request: RequestId, wait: Seconds) -> Action {
        let longest = self.cfg.max_retry_after;
        let retry_after = (longest > 0.0).then(|| wait.clamp(0.001, longest));
        Action::Reject { request, retry_after }
    }

    pub(super) fn release(&mut self, tenant: usize, actions: &mut Vec<Action>) {
        while let Some(&id) = self.banks[tenant].held.front() {
            let b = &mut self.banks[tenant];
            let Some(job) = self.jobs.get(&id) else { return };
            let owed = (b.buffer - b.u).max(0);
            let missing = job.slots - (b.held_slots - owed);
            if missing > 0 {
                let after = (missing as f64 - b.part).max(0.01) / self.rate_of(tenant);
                self.wake(after, Wake::Token(tenant));
                return;
            }
            b.held.pop_front();
            b.held_slots -= job.slots;
            self.pay(id, actions);
        }
    }

    /// Its tokens are all there, or were taken for an attempt that never ran.
    pub(super) fn pay(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = State::Paid;
        let give_way = job.give_way(GATE);
        self.paid.push_back(id);
        self.dispatch(actions);
        if self.paid.contains(&id) {
            self.wake(give_way - self.now, Wake::Gate(id));
            if self.may_look() && self.paid.len() <= TRIED {
                self.look(id, false, actions);
                self.wake(LOOK_FAR * (give_way - self.now), Wake::Look(id));
            }
        }
    }

    pub(super) fn on_hold_over(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.until > self.now + 1e-6 {
            return;
        }
        match job.state {
            State::Held => {
                self.banks[job.req.tenant as usize].give_back(id, job.slots);
                self.rate.limiting = true;
            }
            State::Paid => self.paid.retain(|&p| p != id),
            _ => return,
        }
        self.end_unserved(id, actions);
    }
}
