//! 5. **Attempts.** What never ran is pushed again; what may have run only as its class allows.

use super::*;

/// After so many tries a job goes on only to a worker that is thought free: the rest bounces as well.
const BLIND_TRIES: usize = 2;
/// A job that waits at a worker for more than this part of the time it has counts as bounced.
const WAITED: f64 = 0.5;
/// So many hopeless jobs are pushed all the same: what is believed must be open to refutation.
const DARE: f64 = 1.0 / 16.0;
/// So many paid jobs are tried at one event.
pub(super) const TRIED: usize = 3;
/// A worker that turned a job away holds about this many times its slots.
const FULL_AT: f64 = 1.5;

impl Dispatcher {
    /// Whether a keyed job that may have run may go to this worker.
    pub(super) fn group_allows(&self, w: &Worker, job: &Job) -> bool {
        let class = &self.cfg.classes[job.req.class as usize];
        let Idempotency::WithKey(group) = class.idempotency else { return true };
        job.attempts.iter().filter(|a| !a.ended.is_some_and(Outcome::never_ran)).all(|a| {
            let first = &self.fleet.workers[a.worker];
            self.now - a.sent < class.retry_window()
                && match group {
                    KeyScope::All => true,
                    KeyScope::Zone => w.zone == first.zone,
                    KeyScope::Cell => w.cell == first.cell,
                }
        })
    }

    /// Pushes what is paid, first come first. An event costs a few looks at the most: where the first jobs
    /// find no worker, those behind them would not either.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let mut waiting = Vec::with_capacity(TRIED);
        while waiting.len() < TRIED {
            let Some(id) = self.paid.pop_front() else { break };
            if self.place(id, actions) {
                waiting.push(id);
            }
        }
        waiting.into_iter().rev().for_each(|id| self.paid.push_front(id));
    }

    /// A job has waited for a free worker for as long as it may.
    pub(super) fn give_way(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(n) = self.paid.iter().position(|&p| p == id) {
            self.paid.remove(n);
            if self.place(id, actions) {
                self.paid.push_front(id);
            }
        }
    }

    /// Pushes a job, or ends it where that is of no use. Where loads are reported and no worker is known
    /// free, it waits here a while: true.
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.remove(&id) else { return false };
        let tries_left = job.attempts.len() < self.cfg.max_attempts.max(1) as usize;
        let choice = if tries_left { self.choose(&job) } else { None };
        let told = self.cfg.load_reports != LoadReports::None;
        let early = self.now + 1e-6 < job.give_way(GATE);
        let waits = told && early && tries_left && choice.is_none_or(|c| !c.free);
        let (tried, k) = (job.attempts.len(), job.size());
        let class = job.req.class as usize;
        let worthless = self.cfg.classes[class].late_weight == 0.0 && job.never_ran();
        let hopeless = |c: &Choice| worthless && self.runs[class].hopeless(c.late);
        self.jobs.insert(id, job);
        match choice {
            _ if waits => {}
            Some(c) if hopeless(&c) && self.rng.f64() > DARE => {
                self.rate.bounce(c.worker, k);
                self.end_unserved(id, actions);
            }
            Some(c) if c.free || !told || tried < BLIND_TRIES => self.push(id, c, actions),
            _ => self.end_unserved(id, actions),
        }
        waits
    }

    pub(super) fn push(&mut self, id: RequestId, choice: Choice, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Choice { worker: i, free, filled, .. } = choice;
        let (k, work) = (job.size(), job.work());
        job.state = State::Out;
        job.attempts.push(Attempt { worker: i, sent: self.now, started: None, free, filled, ended: None });
        self.fleet.hold(i, k, self.present());
        let (slice, w) = (self.slice(), &mut self.fleet.workers[i]);
        (w.out, w.kept) = (w.out + 1, 0.0);
        w.cold.spend(work, slice, self.now);
        self.copies = (self.copies + COPIES).min(COPIES_SAVED);
        if self.cfg.reports_job_start {
            self.wake(2.0 * PROMPT, Wake::Quiet(id));
        }
        actions.push(Action::Send { request: id, worker: self.fleet.workers[i].id, timeout: None });
    }

    pub(super) fn end_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = State::Ended;
        let class = &self.cfg.classes[job.req.class as usize];
        let wait = (job.slots as f64 / self.rate.slots_per_s.max(1e-3)).min(self.cfg.max_retry_after);
        // A client that comes back as it is told must come back within the window.
        let known = |a: &Attempt| self.now + wait - a.sent < class.retry_window();
        let again = |a: &Attempt| {
            known(a)
                && matches!(class.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All))
        };
        let ran = job.attempts.iter().find(|a| !a.ended.is_some_and(Outcome::never_ran));
        let harmless = ran.is_none_or(again);
        actions.push(if harmless { self.refusal(id, wait) } else { Action::Fail { request: id } });
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.jobs.get(&id).is_some_and(|job| job.state == State::Ended && !job.is_out()) {
            self.jobs.remove(&id);
        }
    }

    pub(super) fn on_started(&mut self, id: RequestId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let a = job.attempts.get_mut(attempt as usize);
        if let Some(a) = a.filter(|a| a.started.is_none() && a.ended.is_none()) {
            a.started = Some(self.now);
            let (i, delay, filled) = (a.worker, self.now - a.sent, a.filled);
            let (work, spread) = (job.work_log, self.runs[job.req.class as usize].spread());
            let run = self.window() * self.paces.of(i, &self.fleet, self.now).exp();
            self.fleet.waits.learn(filled, delay / run);
            self.fleet.workers[i].running.push(Running { since: self.now, work, spread });
            self.sign(i);
            self.waits += LEARN_WORKER * (delay - self.waits);
            if self.cfg.load_reports != LoadReports::WithResponses {
                self.fleet.waited(i, delay, self.present());
            }
        }
    }

    pub(super) fn on_ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        complete: bool,
        load: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(attempt as usize).filter(|a| a.ended.is_none()) else { return };
        a.ended = Some(outcome);
        let (i, a, k, class, work) = (a.worker, *a, job.size(), job.req.class as usize, job.work_log);
        let (expected, tenant) = (job.req.expected_run_time, job.req.tenant as usize);
        let ended = |a: &Attempt| matches!(a.ended, Some(Outcome::Reset | Outcome::Error));
        let failed_before = job.attempts[..attempt as usize].iter().any(ended);
        let already = job.state == State::Ended;
        let expired = now - job.arrived >= job.req.timeout - self.cfg.clock_resolution;
        self.fleet.hold(i, -k, self.present());
        self.fleet.workers[i].stopped(a.started, work);
        if outcome != Outcome::Overloaded {
            self.report(i, load);
        }
        if matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Error | Outcome::InvalidRequest) {
            self.sign(i);
        }
        match outcome {
            Outcome::Ok => {
                // Without word of the start, the run is known only where the worker was free.
                let clear = a.started.is_some() || a.free;
                let run = now - a.started.unwrap_or(a.sent);
                // A long wait there is congestion; a long run is the job's or the worker's own matter.
                let likely = self.runs[class].mean * self.cfg.classes[class].run_time_allowance.max(1.0);
                let waited = now - a.sent - if a.started.is_some() { run } else { run.min(likely) };
                if waited <= WAITED * self.slack(class, expected) {
                    self.rate.taken += k;
                } else {
                    self.rate.bounce(i, k);
                }
                self.worked(i);
                self.fleet.workers[i].kept = now + 0.7 * self.cfg.keep_alive;
                if self.cfg.keep_alive > 0.0 {
                    self.looked.truncate(SAMPLE - 1);
                    self.looked.push_front(i);
                }
                if clear {
                    let (w, class) = (&mut self.fleet.workers[i], &mut self.runs[class]);
                    let kind = &mut self.fleet.kinds[w.kind];
                    self.paces.learn(run, expected, class, kind, &mut w.pace, now);
                }
            }
            Outcome::Overloaded => {
                if attempt > 0 {
                    self.rate.bounce(i, k);
                }
                let w = &self.fleet.workers[i];
                // Its report is older than this answer, and says less.
                self.fleet.heard(i, FULL_AT * self.fleet.slots_of(w) - w.ours, now);
            }
            Outcome::Timeout => {
                self.rate.bounce(i, k);
                if a.started.is_none() {
                    self.failed(i);
                }
            }
            Outcome::ConnectFailed => self.failed(i),
            // What fails at one worker after another is at fault itself, and must not bar them all.
            Outcome::Reset | Outcome::Error if failed_before => {}
            Outcome::Reset | Outcome::Error => self.failed(i),
            Outcome::InvalidRequest => {
                // It was no job: what it took of its tenant's part is given back.
                let slots = k.ceil() as i64;
                self.banks[tenant].refund(slots);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if complete || already {
            actions.extend(job.cancels().filter(|_| self.cfg.cancellation_allowed && !already));
            job.state = State::Ended;
            self.forget(id);
            return self.dispatch(actions);
        }
        if job.is_out() {
            return;
        }
        if outcome == Outcome::InvalidRequest {
            job.state = State::Ended;
            actions.push(Action::Fail { request: id });
            return self.forget(id);
        }
        let again = job.never_ran() || self.cfg.classes[class].idempotency != Idempotency::NotIdempotent;
        if again && !expired && job.until > now {
            self.pay(id, actions);
        } else {
            self.end_unserved(id, actions);
        }
    }

    pub(super) fn on_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match std::mem::replace(&mut job.state, State::Ended) {
            State::Held => self.banks[job.req.tenant as usize].give_back(id, job.slots),
            State::Paid => self.paid.retain(|&p| p != id),
            State::Out if self.cfg.cancellation_allowed => actions.extend(job.cancels()),
            _ => {}
        }
        self.forget(id);
    }
}
