//! **Worker cost.** The cost of sending a job to a worker, in seconds. It consists of the running time there,
//! the wait, the prices of the path and the probability of a late response.

use super::Dispatcher;
use crate::api::Seconds;
use crate::job::{Candidate, Job};
use crate::worker::Worker;

/// Cost of queueing delay, as a multiple of the running time.
const WAIT_COST: f64 = 4.0;
/// Cost of a worker's utilization, as a multiple of the running time. Load reports are late, so among workers
/// that seem free the one with the lowest utilization is preferred.
const UTILIZATION_COST: f64 = 0.6;
/// Utilization above which the cost of a worker's utilization no longer grows.
const MAX_UTILIZATION: f64 = 2.0;
/// Fraction of a rate window for which a load report counts as fresh, if probes are allowed.
const FRESH_WINDOWS: f64 = 0.25;
/// Cost of a worker in a zone with a suspected outage, in seconds; it makes such a worker the last choice.
const SUSPECTED_ZONE_COST: f64 = 1e3;
/// Cost of a response that is certainly late, as a multiple of the job's work.
const LATENESS_COST: f64 = 80.0;
/// Cost per unit of price, as a multiple of the job's work; a price of 1 is the value of a served request.
const PRICE_COST: f64 = 5.0;

impl Dispatcher {
    /// Returns a worker as a candidate for the job, with its cost.
    pub(super) fn evaluate(&self, index: usize, job: &Job) -> Candidate {
        let worker = &self.fleet.workers[index];
        let work = job.log_work.exp();
        let slowdown = self.slowdown(index);
        let run_time = work * slowdown;
        let utilization = self.utilization_with(worker, job);
        let wait = self.expected_wait(worker, utilization, slowdown);
        let time_left = job.objective_due - self.now;
        let run_times = &self.workload.run_times[job.class()];
        let lateness_probability = run_times.lateness_probability(time_left, run_time, wait);
        let is_zone_suspected = self.fleet.is_zone_suspected(worker, self.now);
        let reservation_price = self.reserved_workers.price(index, job.slots as f64);
        let run_cost = run_time * (1.0 + queueing_cost(utilization) + reservation_price);
        let lateness_cost = self.lateness_cost(job, lateness_probability);
        let price_and_lateness_cost = (PRICE_COST * self.path_price(worker) + lateness_cost) * work;
        let zone_cost = if is_zone_suspected { SUSPECTED_ZONE_COST } else { 0.0 };
        Candidate {
            worker: index,
            cost: run_cost + price_and_lateness_cost + zone_cost,
            has_free_slot: utilization <= 1.0 && self.has_fresh_load(worker) && !is_zone_suspected,
            utilization,
            lateness_probability,
        }
    }

    /// Returns the running time at a worker relative to the work, including the reduced capacity in slow
    /// start.
    fn slowdown(&self, index: usize) -> f64 {
        let log_slowdown = self.fleet.log_slowdown(index, &self.workload.slowdowns, self.now);
        log_slowdown.exp() / self.fleet.warm_capacity(&self.fleet.workers[index], self.now)
    }

    /// Returns the expected utilization of a worker, this job included.
    fn utilization_with(&self, worker: &Worker, job: &Job) -> f64 {
        let other_slots = self.fleet.other_slots(worker, self.observation_time());
        (worker.our_slots + other_slots + job.size()) / self.fleet.slots_of(worker)
    }

    /// Whether the load of a worker was observed recently enough to rely on.
    fn has_fresh_load(&self, worker: &Worker) -> bool {
        if !self.may_probe() {
            return true;
        }
        let fresh_for = FRESH_WINDOWS * self.workload.rate_window();
        self.now - worker.other_slots_observed_at < fresh_for
    }

    /// Returns the price of the path to a worker, as a fraction of the value of a served request: that of
    /// crossing zones and of a new connection.
    fn path_price(&self, worker: &Worker) -> f64 {
        let settings = &self.settings;
        let crossing = if worker.zone == settings.zone { 0.0 } else { settings.cross_zone_price };
        let has_idle_connection = self.now < worker.idle_connection_until;
        let handshake = if has_idle_connection { 0.0 } else { settings.handshake_price };
        crossing + handshake
    }

    /// Returns the expected wait of a job at a worker before it starts.
    fn expected_wait(&self, worker: &Worker, utilization: f64, slowdown: f64) -> Seconds {
        self.fleet.expected_wait(worker, utilization) * self.workload.rate_window() * slowdown
    }

    /// Returns the cost of the risk of a late response, as a multiple of the job's work.
    fn lateness_cost(&self, job: &Job, lateness_probability: f64) -> f64 {
        let late_weight = job.settings.late_weight();
        let lateness_weight = self.workload.run_times[job.class()].lateness_weight();
        LATENESS_COST * lateness_probability * (1.0 - late_weight) * lateness_weight
    }
}

/// Returns the cost of a worker's utilization, the wait included, as a multiple of the running time.
fn queueing_cost(utilization: f64) -> f64 {
    let wait_cost = WAIT_COST * (utilization - 1.0).max(0.0);
    let utilization_cost = UTILIZATION_COST * utilization.min(MAX_UTILIZATION).powi(2);
    wait_cost + utilization_cost
}
