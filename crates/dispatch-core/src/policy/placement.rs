//! 3. **Workers.** A paid job goes to a worker that is known free, else to one that holds few of ours;
//!    sampled, own zone first, quick workers first, and those that may still hold its data.

use super::*;

/// A wait costs this many times a run of its length: what starts late is late. And how much an emptier worker
/// is preferred among those that seem free: what is known is late too.
const WAIT_COST: f64 = 4.0;
const UTILIZATION_COST: f64 = 0.6;
/// Where probes may be sent, what is known of a worker is news for this part of a window.
const FRESH_WINDOWS: f64 = 0.25;
/// Workers asked for one job that waits, and what their probes may cost, in parts of the service.
const PROBES_PER_JOB: f64 = 3.0;
const MAX_PROBE_COST: f64 = 0.01;
/// Workers on the ring that a key may go to, and the further ones it uses for each worker that it could fill.
const KEY_HOMES: usize = 3;
const KEY_SPREAD: f64 = 0.3;
/// A worker of a zone that seems lost is the last choice.
const LOST_ZONE_COST: Seconds = 1e3;
/// What being late costs, in runs, where it is sure.
const LATENESS_COST: f64 = 80.0;
/// A price, which is in parts of the service, as running time: what is late is lost.
const PRICE_COST: f64 = 5.0;

impl Dispatcher {
    /// What a job would cost there, in seconds, with prices and lateness as time.
    fn evaluate(&self, i: usize, job: &Job) -> Candidate {
        let w = &self.fleet.workers[i];
        let work = job.log_work.exp();
        let pace = self.slowdowns.log_slowdown(i, &self.fleet, self.now).exp()
            / self.fleet.warm_capacity(w, self.now);
        let slots = self.fleet.slots_of(w);
        let filled = (w.our_slots + self.fleet.other_slots(w, self.observation_time()) + job.size()) / slots;
        let crossing = if w.zone == self.cfg.zone { 0.0 } else { self.cfg.cross_zone_price };
        let handshake = if self.now < w.idle_connection_until { 0.0 } else { self.cfg.handshake_price };
        let waits = WAIT_COST * (filled - 1.0).max(0.0) + UTILIZATION_COST * filled.min(2.0).powi(2);
        let fresh = !self.may_probe() || self.now - w.other_slots_at < FRESH_WINDOWS * self.rate_window();
        let lost = self.fleet.zone_outages[w.zone.min(MAX_ZONE) as usize].is_suspected(self.now);
        let run = work * pace;
        let wait = self.fleet.expected_wait(w, filled) * self.rate_window() * pace;
        let class = job.request.class as usize;
        let late = self.run_times[class].lateness_probability(job.objective_due - self.now, run, wait);
        let lost_late = LATENESS_COST
            * late
            * (1.0 - self.cfg.classes[class].late_weight)
            * self.run_times[class].lateness_weight();
        let cost = run * (1.0 + waits + self.reserved_workers.price(i, job.slots as f64))
            + (PRICE_COST * (crossing + handshake) + lost_late) * work
            + if lost { LOST_ZONE_COST } else { 0.0 };
        Candidate {
            worker: i,
            cost,
            has_free_slot: filled <= 1.0 && fresh && !lost,
            utilization: filled,
            lateness_probability: late,
        }
    }

    fn is_eligible(&self, i: usize, job: &Job) -> bool {
        let w = &self.fleet.workers[i];
        let c = &self.cfg.classes[job.request.class as usize];
        w.state == WorkerState::Serving
            && c.required_kind.is_none_or(|k| k as usize == w.kind)
            && (!w.health.is_ejected(self.now, w.in_flight > 0)
                || 2 * self.fleet.unhealthy_count > self.fleet.index.len())
            && !job.attempts.iter().any(|a| a.worker == i && a.outcome != Some(Outcome::StaleConnection))
            && self.has_slow_start_budget(w, job)
            && self.key_scope_allows(w, job)
    }

    pub(super) fn consider(&mut self, i: usize, job: &Job, best: &mut BestCandidate) {
        if self.is_eligible(i, job) {
            let mut choice = self.evaluate(i, job);
            choice.cost *= 1.0 + 0.01 * self.rng.f64();
            if best.is_none_or(|b| choice.cost < b.cost) {
                *best = Some(choice);
            }
        }
    }

    /// The best of a sample of workers for the job.
    pub(super) fn choose_worker(&mut self, job: &Job) -> BestCandidate {
        let mut best: BestCandidate = None;
        let known = |best: &BestCandidate| best.is_some_and(|b| b.has_free_slot);
        if self.may_probe() {
            self.consider_recently_probed(job, &mut best);
        }
        if let Some(key) = job.request.affinity_key.filter(|_| !known(&best)) {
            self.consider_key_homes(key, job, &mut best);
        }
        if !known(&best) {
            self.consider_warming_up(job, &mut best);
        }
        for step in 0..self.fleet.serving_by_zone.len() {
            let z = (self.cfg.zone as usize + step) % self.fleet.serving_by_zone.len();
            if best.is_none() || (job.request.affinity_key.is_none() && !known(&best)) {
                self.consider_sample(z, job, &mut best);
                if !self.may_probe() {
                    self.consider_recently_probed(job, &mut best);
                }
            }
        }
        best
    }

    fn consider_recently_probed(&mut self, job: &Job, best: &mut BestCandidate) {
        for n in 0..self.recently_probed.len() {
            self.consider(self.recently_probed[n], job, best);
        }
    }

    fn consider_sample(&mut self, z: usize, job: &Job, best: &mut BestCandidate) {
        let n = self.fleet.serving_by_zone[z].len();
        let offset = self.rng.usize(..n.max(1));
        let all: usize = self.fleet.serving_by_zone.iter().map(Vec::len).sum();
        let none = if self.cfg.load_reports == LoadReports::None { MAX_SAMPLE } else { 0 };
        let looks = (2 * all / self.cfg.instances as usize).clamp(MIN_SAMPLE.max(none), MAX_SAMPLE);
        for j in 0..looks.min(n) {
            // A stride that spreads the looks walks the zone without repeats.
            let i = self.fleet.serving_by_zone[z][(offset + j * n.div_ceil(looks)) % n];
            self.consider(i, job, best);
        }
    }

    /// The homes of a key are the next workers on the ring, the same at every dispatcher, and the more the
    /// more it is asked for. The job takes one of them, or where that is busy one of those that follow.
    fn consider_key_homes(&mut self, key: u64, job: &Job, best: &mut BestCandidate) {
        let asked = self.key_rates.rate(key, self.now) * f64::from(self.cfg.instances);
        let busy = asked * self.rate_window() * self.mean_slots / self.fleet.largest_job as f64;
        let skip = self.rng.usize(..1 + (busy * KEY_SPREAD) as usize);
        for i in self.fleet.ring_workers(key, skip + KEY_HOMES).into_iter().skip(skip) {
            self.consider(i, job, best);
        }
    }

    pub(super) fn observation_time(&self) -> ObservationTime {
        ObservationTime { now: self.now, window: self.rate_window() }
    }

    pub(super) fn apply_load_report(&mut self, i: usize, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let waiting = self.fleet.apply_load_report(i, &load, self.mean_slots, self.observation_time());
        if let Some(waiting) = waiting.filter(|w| *w > 0.0 && !self.cfg.reports_job_start) {
            // Nobody says when a job starts, but a queue says that some did not.
            self.rate.record_rejection(i, waiting);
        }
    }

    pub(super) fn may_probe(&self) -> bool {
        self.cfg.probes_allowed && self.cfg.load_reports == LoadReports::WithResponses
    }

    /// Asks a few workers while a paid job waits for a free one: where traffic is thin, news is old.
    /// A free worker answers soon; the own zone is asked first, then the others.
    pub(super) fn probe(&mut self, id: RequestId, far: bool, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.state == JobState::Admitted) else { return };
        let zones = self.fleet.serving_by_zone.len() as u32;
        let mut looks =
            (MAX_PROBE_COST / self.cfg.probe_price.max(MAX_PROBE_COST / PROBES_PER_JOB)).round() as usize;
        for _ in 0..MAX_SAMPLE {
            let step = if far { self.rng.u32(1..zones.max(2)) } else { 0 };
            let zone = &self.fleet.serving_by_zone[((self.cfg.zone + step) % zones.max(1)) as usize];
            let i = zone.get(self.rng.usize(..zone.len().max(1))).copied();
            if let Some(i) =
                i.filter(|&i| looks > 0 && !self.fleet.workers[i].probing && self.is_eligible(i, job))
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
        let pace = (n as f64).min(1.0 + self.banks.iter().map(|b| b.arrival_rate).sum::<f64>()).max(1.0);
        let after = 2.0 * self.rng.f64() / pace;
        self.schedule(after, TimerEvent::ProbeDue);
    }

    pub(super) fn on_probed(&mut self, id: WorkerId, load: Option<LoadReport>, actions: &mut Vec<Action>) {
        let Some(&i) = self.fleet.index.get(&id) else { return };
        self.fleet.workers[i].probing = false;
        self.apply_load_report(i, load);
        if load.is_some() && self.may_probe() {
            self.recently_probed.truncate(MAX_SAMPLE - 1);
            self.recently_probed.push_front(i);
            self.place_admitted(actions);
        }
    }
}
