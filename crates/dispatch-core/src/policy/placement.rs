//! 3. **Placement.** An admitted job goes to a worker that is known free, else to one that holds few of ours;
//!    sampled, own zone first, quick workers first, and those that may still hold its data.

use super::Dispatcher;
use crate::api::{Action, LoadReport, LoadReports, RequestId, Seconds, WorkerId, WorkerState};
use crate::job::{Candidate, Job, JobState};
use crate::load::ObservationTime;
use crate::timers::TimerEvent;

/// Workers looked at for one job. Where loads are reported, dispatchers share old reports, and the more of
/// them choose the best of many the more they choose alike: there two for each dispatcher, within these.
pub(super) const MAX_SAMPLE: usize = 6;
const MIN_SAMPLE: usize = 2;
/// What a wait costs, in runs of its length: what starts late is late.
const WAIT_COST: f64 = 4.0;
/// How much an emptier worker is preferred among those that seem free, since load reports are late.
const UTILIZATION_COST: f64 = 0.6;
/// Where probes may be sent, the load of a worker is known for this part of a window after a report.
const FRESH_WINDOWS: f64 = 0.25;
/// Workers probed for one job that waits.
const PROBES_PER_JOB: f64 = 3.0;
/// What the probes for one job may cost, in parts of the service.
const MAX_PROBE_COST: f64 = 0.01;
/// Workers on the ring that a key may go to, and the further ones it uses for each worker that it could fill.
const KEY_HOMES: usize = 3;
const KEY_SPREAD: f64 = 0.3;
/// A worker of a zone that seems lost is the last choice.
const LOST_ZONE_COST: Seconds = 1e3;
/// What being late costs, in runs, where it is certain.
const LATENESS_COST: f64 = 80.0;
/// A price, which is in parts of the service, as running time: what is late is lost.
const PRICE_COST: f64 = 5.0;

impl Dispatcher {
    /// What a job would cost there, in seconds, with prices and lateness as time.
    fn evaluate(&self, index: usize, job: &Job) -> Candidate {
        let worker = &self.fleet.workers[index];
        let (settings, window) = (&self.settings, self.workload.rate_window());
        let class = &settings.classes[job.class()];
        let run_times = &self.workload.run_times[job.class()];
        let work = job.log_work.exp();
        let log_slowdown = self.fleet.log_slowdown(index, &self.workload.slowdowns, self.now);
        let slowdown = log_slowdown.exp() / self.fleet.warm_capacity(worker, self.now);
        let others = self.fleet.other_slots(worker, self.observation_time());
        let utilization = (worker.our_slots + others + job.size()) / self.fleet.slots_of(worker);
        let crossing = if worker.zone == settings.zone { 0.0 } else { settings.cross_zone_price };
        let handshake = if self.now < worker.idle_connection_until { 0.0 } else { settings.handshake_price };
        let waits =
            WAIT_COST * (utilization - 1.0).max(0.0) + UTILIZATION_COST * utilization.min(2.0).powi(2);
        let is_fresh = !self.may_probe() || self.now - worker.other_slots_at < FRESH_WINDOWS * window;
        let is_lost = self.fleet.is_zone_lost(worker, self.now);
        let run_time = work * slowdown;
        let wait = self.fleet.expected_wait(worker, utilization) * window * slowdown;
        let time_left = job.objective_due - self.now;
        let lateness_probability = run_times.lateness_probability(time_left, run_time, wait);
        let late_cost =
            LATENESS_COST * lateness_probability * (1.0 - class.late_weight) * run_times.lateness_weight();
        let cost = run_time * (1.0 + waits + self.reserved_workers.price(index, job.slots as f64))
            + (PRICE_COST * (crossing + handshake) + late_cost) * work
            + if is_lost { LOST_ZONE_COST } else { 0.0 };
        let has_free_slot = utilization <= 1.0 && is_fresh && !is_lost;
        Candidate { worker: index, cost, has_free_slot, utilization, lateness_probability }
    }

    fn is_eligible(&self, index: usize, job: &Job) -> bool {
        let worker = &self.fleet.workers[index];
        let required_kind = self.settings.classes[job.class()].required_kind;
        worker.state == WorkerState::Serving
            && required_kind.is_none_or(|kind| kind as usize == worker.kind)
            && (!worker.health.is_ejected(self.now, worker.in_flight > 0) || self.fleet.most_are_unhealthy())
            && !job.was_tried_at(index)
            && self.has_slow_start_budget(worker, job)
            && self.key_scope_allows(worker, job)
    }

    pub(super) fn consider(&mut self, index: usize, job: &Job, best: &mut Option<Candidate>) {
        if self.is_eligible(index, job) {
            let mut candidate = self.evaluate(index, job);
            // So that equal workers take turns.
            candidate.cost *= 1.0 + 0.01 * self.rng.f64();
            if best.is_none_or(|best| candidate.cost < best.cost) {
                *best = Some(candidate);
            }
        }
    }

    /// The best of a sample of workers for the job.
    pub(super) fn choose_worker(&mut self, job: &Job) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        let is_free = |best: &Option<Candidate>| best.is_some_and(|best| best.has_free_slot);
        if self.may_probe() {
            self.consider_recently_probed(job, &mut best);
        }
        if let Some(key) = job.request.affinity_key.filter(|_| !is_free(&best)) {
            self.consider_key_homes(key, job, &mut best);
        }
        if !is_free(&best) {
            self.consider_warming_up(job, &mut best);
        }
        let zones = self.fleet.serving_by_zone.len();
        for step in 0..zones {
            if best.is_none() || (job.request.affinity_key.is_none() && !is_free(&best)) {
                self.consider_sample((self.settings.zone as usize + step) % zones, job, &mut best);
                if !self.may_probe() {
                    self.consider_recently_probed(job, &mut best);
                }
            }
        }
        best
    }

    fn consider_recently_probed(&mut self, job: &Job, best: &mut Option<Candidate>) {
        for position in 0..self.recently_probed.len() {
            self.consider(self.recently_probed[position], job, best);
        }
    }

    fn consider_sample(&mut self, zone: usize, job: &Job, best: &mut Option<Candidate>) {
        let zones = &self.fleet.serving_by_zone;
        let (in_zone, in_all) = (zones[zone].len(), zones.iter().map(Vec::len).sum::<usize>());
        let offset = self.rng.usize(..in_zone.max(1));
        let least = if self.settings.load_reports == LoadReports::None { MAX_SAMPLE } else { MIN_SAMPLE };
        let sample = (2 * in_all / self.settings.instances as usize).clamp(least, MAX_SAMPLE);
        for step in 0..sample.min(in_zone) {
            // A stride that spreads the sample walks the zone without repeats.
            let position = (offset + step * in_zone.div_ceil(sample)) % in_zone;
            self.consider(self.fleet.serving_by_zone[zone][position], job, best);
        }
    }

    /// The homes of a key are the next workers on the ring, the same at every dispatcher, and the more the
    /// more it is asked for. The job takes one of them, or where that is busy one of those that follow.
    fn consider_key_homes(&mut self, key: u64, job: &Job, best: &mut Option<Candidate>) {
        let rate = self.key_rates.rate(key, self.now) * f64::from(self.settings.instances);
        let work = rate * self.workload.rate_window() * self.workload.mean_slots;
        let busy = work / self.fleet.largest_job as f64;
        let skipped = self.rng.usize(..1 + (busy * KEY_SPREAD) as usize);
        for index in self.fleet.ring_workers(key, skipped + KEY_HOMES).into_iter().skip(skipped) {
            self.consider(index, job, best);
        }
    }

    pub(super) fn observation_time(&self) -> ObservationTime {
        ObservationTime { now: self.now, window: self.workload.rate_window() }
    }

    pub(super) fn apply_load_report(&mut self, index: usize, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let time = self.observation_time();
        let waiting = self.fleet.apply_load_report(index, &load, self.workload.mean_slots, time);
        if let Some(waiting) = waiting.filter(|slots| *slots > 0.0 && !self.settings.reports_job_start) {
            // Job starts are not reported, but a queue shows that some jobs have not started.
            self.rate.record_rejection(index, waiting);
        }
    }

    pub(super) fn may_probe(&self) -> bool {
        self.settings.probes_allowed && self.settings.load_reports == LoadReports::WithResponses
    }

    /// Probes a few workers while an admitted job waits for a free one: where traffic is thin, reports are
    /// old. A free worker answers soon; the own zone is probed first, then the others.
    pub(super) fn probe(&mut self, id: RequestId, other_zones: bool, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.state == JobState::Admitted) else { return };
        let zones = self.fleet.serving_by_zone.len() as u32;
        let price = self.settings.probe_price.max(MAX_PROBE_COST / PROBES_PER_JOB);
        let mut probes_left = (MAX_PROBE_COST / price).round() as usize;
        for _ in 0..MAX_SAMPLE {
            let step = if other_zones { self.rng.u32(1..zones.max(2)) } else { 0 };
            let zone = &self.fleet.serving_by_zone[((self.settings.zone + step) % zones.max(1)) as usize];
            let Some(&index) = zone.get(self.rng.usize(..zone.len().max(1))) else { continue };
            if probes_left > 0 && !self.fleet.workers[index].probing && self.is_eligible(index, job) {
                probes_left -= 1;
                self.fleet.workers[index].probing = true;
                actions.push(Action::Probe(self.fleet.workers[index].id));
            }
        }
    }

    pub(super) fn on_probe_due(&mut self, actions: &mut Vec<Action>) {
        let count = self.fleet.workers.len();
        let index = self.rng.usize(..count.max(1));
        if let Some(worker) = self.fleet.workers.get_mut(index) {
            if worker.state == WorkerState::Serving && !worker.probing {
                worker.probing = true;
                actions.push(Action::Probe(worker.id));
            }
        }
        // Each worker about once a second, but no more than one probe a request: they have a price.
        let requests = 1.0 + self.banks.iter().map(|bank| bank.arrival_rate).sum::<f64>();
        let probes_per_second = (count as f64).min(requests).max(1.0);
        let after = 2.0 * self.rng.f64() / probes_per_second;
        self.schedule(after, TimerEvent::ProbeDue);
    }

    pub(super) fn on_probed(&mut self, id: WorkerId, load: Option<LoadReport>, actions: &mut Vec<Action>) {
        let Some(&index) = self.fleet.index.get(&id) else { return };
        self.fleet.workers[index].probing = false;
        self.apply_load_report(index, load);
        if load.is_some() && self.may_probe() {
            self.remember_probed(index);
            self.place_admitted(actions);
        }
    }

    /// Remembers a worker as the latest that was probed or left a connection.
    pub(super) fn remember_probed(&mut self, index: usize) {
        self.recently_probed.truncate(MAX_SAMPLE - 1);
        self.recently_probed.push_front(index);
    }
}
