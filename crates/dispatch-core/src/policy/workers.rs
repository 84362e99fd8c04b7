//! 3. **Workers.** A paid job goes to a worker that is known free, else to one that holds few of ours;
//!    sampled, own zone first, quick workers first, and those that may still hold its data.

use super::*;

/// A wait costs this many times a run of its length: what starts late is late. And how much an emptier worker
/// is preferred among those that seem free: what is known is late too.
const WAIT_COSTS: f64 = 4.0;
const DOUBT: f64 = 0.6;
/// Where probes may be sent, what is known of a worker is news for this part of a window.
const FRESH: f64 = 0.25;
/// Workers asked for one job that waits, and what their probes may cost, in parts of the service.
const LOOKS: f64 = 3.0;
const LOOKS_COST: f64 = 0.01;
/// Workers on the ring that a key may go to, and the further ones it uses for each worker that it could fill.
const KEY_HOMES: usize = 3;
const KEY_SPREAD: f64 = 0.3;
/// A worker of a zone that seems lost is the last choice.
const LOST: Seconds = 1e3;
/// What being late costs, in runs, where it is sure.
const LATE: f64 = 80.0;
/// A price, which is in parts of the service, as running time: what is late is lost.
const PRICED: f64 = 5.0;

impl Dispatcher {
    /// What a job would cost there, in seconds, with prices and lateness as time.
    fn cost(&self, i: usize, job: &Job) -> Choice {
        let w = &self.fleet.workers[i];
        let work = job.work_log.exp();
        let pace = self.paces.of(i, &self.fleet, self.now).exp() / self.fleet.warmth(w, self.now);
        let slots = self.fleet.slots_of(w);
        let filled = (w.ours + self.fleet.others(w, self.present()) + job.size()) / slots;
        let crossing = if w.zone == self.cfg.zone { 0.0 } else { self.cfg.cross_zone_price };
        let handshake = if self.now < w.kept { 0.0 } else { self.cfg.handshake_price };
        let waits = WAIT_COSTS * (filled - 1.0).max(0.0) + DOUBT * filled.min(2.0).powi(2);
        let fresh = !self.may_look() || self.now - w.told < FRESH * self.window();
        let lost = self.fleet.outages[w.zone.min(MAX_ZONE) as usize].suspected(self.now);
        let run = work * pace;
        let wait = self.fleet.wait(w, filled) * self.window() * pace;
        let class = job.req.class as usize;
        let late = self.runs[class].late(job.due - self.now, run, wait);
        let lost_late = LATE * late * (1.0 - self.cfg.classes[class].late_weight) * self.runs[class].sure();
        let cost = run * (1.0 + waits + self.room.price(i, job.slots as f64))
            + (PRICED * (crossing + handshake) + lost_late) * work
            + if lost { LOST } else { 0.0 };
        Choice { worker: i, cost, free: filled <= 1.0 && fresh && !lost, filled, late }
    }

    fn usable(&self, i: usize, job: &Job) -> bool {
        let w = &self.fleet.workers[i];
        let c = &self.cfg.classes[job.req.class as usize];
        w.state == WorkerState::Serving
            && c.required_kind.is_none_or(|k| k as usize == w.kind)
            && (!w.health.is_ejected(self.now, w.out > 0) || 2 * self.fleet.shut > self.fleet.index.len())
            && !job.attempts.iter().any(|a| a.worker == i && a.ended != Some(Outcome::StaleConnection))
            && self.cold_room(w, job)
            && self.group_allows(w, job)
    }

    pub(super) fn consider(&mut self, i: usize, job: &Job, best: &mut Best) {
        if self.usable(i, job) {
            let mut choice = self.cost(i, job);
            choice.cost *= 1.0 + 0.01 * self.rng.f64();
            if best.is_none_or(|b| choice.cost < b.cost) {
                *best = Some(choice);
            }
        }
    }

    /// The best of a sample of workers for the job.
    pub(super) fn choose(&mut self, job: &Job) -> Best {
        let mut best: Best = None;
        let known = |best: &Best| best.is_some_and(|b| b.free);
        if self.may_look() {
            self.consider_looked(job, &mut best);
        }
        if let Some(key) = job.req.affinity_key.filter(|_| !known(&best)) {
            self.consider_homes(key, job, &mut best);
        }
        if !known(&best) {
            self.consider_cold(job, &mut best);
        }
        for step in 0..self.fleet.zones.len() {
            let z = (self.cfg.zone as usize + step) % self.fleet.zones.len();
            if best.is_none() || (job.req.affinity_key.is_none() && !known(&best)) {
                self.consider_some(z, job, &mut best);
                if !self.may_look() {
                    self.consider_looked(job, &mut best);
                }
            }
        }
        best
    }

    fn consider_looked(&mut self, job: &Job, best: &mut Best) {
        for n in 0..self.looked.len() {
            self.consider(self.looked[n], job, best);
        }
    }

    fn consider_some(&mut self, z: usize, job: &Job, best: &mut Best) {
        let n = self.fleet.zones[z].len();
        let offset = self.rng.usize(..n.max(1));
        let all: usize = self.fleet.zones.iter().map(Vec::len).sum();
        let none = if self.cfg.load_reports == LoadReports::None { SAMPLE } else { 0 };
        let looks = (2 * all / self.cfg.instances as usize).clamp(LEAST_SAMPLE.max(none), SAMPLE);
        for j in 0..looks.min(n) {
            // A stride that spreads the looks walks the zone without repeats.
            let i = self.fleet.zones[z][(offset + j * n.div_ceil(looks)) % n];
            self.consider(i, job, best);
        }
    }

    /// The homes of a key are the next workers on the ring, the same at every dispatcher, and the more the
    /// more it is asked for. The job takes one of them, or where that is busy one of those that follow.
    fn consider_homes(&mut self, key: u64, job: &Job, best: &mut Best) {
        let asked = self.keys.rate(key, self.now) * f64::from(self.cfg.instances);
        let busy = asked * self.window() * self.slots / self.fleet.largest as f64;
        let skip = self.rng.usize(..1 + (busy * KEY_SPREAD) as usize);
        for i in self.fleet.homes(key, skip + KEY_HOMES).into_iter().skip(skip) {
            self.consider(i, job, best);
        }
    }

    pub(super) fn present(&self) -> Present {
        Present { now: self.now, window: self.window() }
    }

    pub(super) fn report(&mut self, i: usize, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let waiting = self.fleet.reported(i, &load, self.slots, self.present());
        if let Some(waiting) = waiting.filter(|w| *w > 0.0 && !self.cfg.reports_job_start) {
            // Nobody says when a job starts, but a queue says that some did not.
            self.rate.bounce(i, waiting);
        }
    }

    pub(super) fn may_look(&self) -> bool {
        self.cfg.probes_allowed && self.cfg.load_reports == LoadReports::WithResponses
    }

    /// Asks a few workers while a paid job waits for a free one: where traffic is thin, news is old.
    /// A free worker answers soon; the own zone is asked first, then the others.
    pub(super) fn look(&mut self, id: RequestId, far: bool, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.state == State::Paid) else { return };
        let zones = self.fleet.zones.len() as u32;
        let mut looks = (LOOKS_COST / self.cfg.probe_price.max(LOOKS_COST / LOOKS)).round() as usize;
        for _ in 0..SAMPLE {
            let step = if far { self.rng.u32(1..zones.max(2)) } else { 0 };
            let zone = &self.fleet.zones[((self.cfg.zone + step) % zones.max(1)) as usize];
            let i = zone.get(self.rng.usize(..zone.len().max(1))).copied();
            if let Some(i) = i.filter(|&i| looks > 0 && !self.fleet.workers[i].probing && self.usable(i, job))
            {
                looks -= 1;
                self.fleet.workers[i].probing = true;
                actions.push(Action::Probe(self.fleet.workers[i].id));
            }
        }
    }

    pub(super) fn on_probe_due(&mut self, actions: &mut Vec<Action>) {
        let n = self.fleet.workers.len();
        let i = self.rng.usize(..n.max(1));
        if let Some(w) = self.fleet.workers.get_mut(i) {
            if w.state == WorkerState::Serving && !w.probing {
                w.probing = true;
                actions.push(Action::Probe(w.id));
            }
        }
        // Each worker about once a second, but no more than one probe a request: they have a price.
        let pace = (n as f64).min(1.0 + self.banks.iter().map(|b| b.asked).sum::<f64>()).max(1.0);
        let after = 2.0 * self.rng.f64() / pace;
        self.wake(after, Wake::Probe);
    }

    pub(super) fn on_probed(&mut self, id: WorkerId, load: Option<LoadReport>, actions: &mut Vec<Action>) {
        let Some(&i) = self.fleet.index.get(&id) else { return };
        self.fleet.workers[i].probing = false;
        self.report(i, load);
        if load.is_some() && self.may_look() {
            self.looked.truncate(SAMPLE - 1);
            self.looked.push_front(i);
            self.dispatch(actions);
        }
    }
}
