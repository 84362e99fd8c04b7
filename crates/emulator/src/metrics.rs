//! What a run is evaluated by: service by size, class and tenant, lateness, and large jobs that starved.

mod evaluation;
mod starvation;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::checker::RuleViolations;
use crate::day::{micros, Day, Micros};
use crate::spec::Experiment;

/// Worth answered in time (or late, at its part) over worth asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Asked for.
    pub asked: f64,
    /// Earned.
    pub earned: f64,
}

impl WeightedService {
    fn add(&mut self, worth: f64, earned: f64) {
        self.asked += worth;
        self.earned += earned;
    }

    /// The service; whole where nothing was asked for.
    pub fn service(self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }
}

/// How a job ended for its client, its retry included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Served, at this time.
    Served(Micros),
    /// Refused last.
    Rejected(Micros),
    /// Failed or unreachable last.
    Failed(Micros),
    /// The client left.
    ClientLeft,
}

/// A job that ran, as its worker saw it.
#[derive(Clone, Copy, Debug)]
pub struct JobRun {
    /// The job.
    pub job: u32,
    /// The worker.
    pub worker: u32,
    /// From when ...
    pub started_at: Micros,
    /// ... to when; the end of time while it runs.
    pub ended_at: Micros,
}

/// Why a job earned less than its worth, in parts of the worth asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LostValue {
    /// Refused.
    pub refused: f64,
    /// Failed, or had no answer.
    pub failed: f64,
    /// Late, and would have been in time had it not waited at its dispatcher.
    pub held: f64,
    /// Late, and would have been in time had it not waited at a worker.
    pub queued: f64,
    /// Late by its run alone: a slow worker, or more work than the job was thought to be.
    pub slow: f64,
}

/// What a run hands over of a day.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// How each job ended.
    pub outcomes: Vec<Option<JobOutcome>>,
    /// When each job was first sent to a worker.
    pub first_sent: Vec<Option<Micros>>,
    /// Whether each job was let in: it was not rejected on arrival.
    pub admitted: Vec<bool>,
    /// What ran.
    pub runs: Vec<JobRun>,
    /// The speed of each worker, its slots, and from when to when it took jobs warm.
    pub workers: Vec<(f64, u32, Micros, Micros)>,
    /// Breaches of the rules.
    pub violations: RuleViolations,
    /// Sends, those across zones, new connections, tries and events.
    pub sends: u64,
    /// See there.
    pub cross_zone_sends: u64,
    /// See there.
    pub new_connections: u64,
    /// See there.
    pub submissions: u64,
    /// See there.
    pub events: u64,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunMetrics {
    /// All jobs.
    pub all: WeightedService,
    /// Jobs of fewer slots than count as large.
    pub small: WeightedService,
    /// The others.
    pub large: WeightedService,
    /// By class.
    pub classes: BTreeMap<String, WeightedService>,
    /// By tenant.
    pub tenants: BTreeMap<String, WeightedService>,
    /// The operators' goal, prices taken off.
    pub goal: f64,
    /// Parts of the jobs.
    pub late: f64,
    /// See there.
    pub refused: f64,
    /// See there.
    pub failed: f64,
    /// The 99th percentile of lateness of served jobs, in milliseconds.
    pub late_p99_ms: f64,
    /// Large jobs, those let in, those of them that were late, and those of these that starved.
    pub large_jobs: u64,
    /// See there.
    pub large_admitted: u64,
    /// See there.
    pub large_late: u64,
    /// See there.
    pub large_starved: u64,
    /// Why worth was lost.
    pub lost: LostValue,
    /// Breaches of the rules.
    pub rules: RuleViolations,
    /// Jobs, tries, sends, new connections and events.
    pub jobs: u64,
    /// See there.
    pub tries: u64,
    /// See there.
    pub sends: u64,
    /// See there.
    pub connects: u64,
    /// See there.
    pub events: u64,
}

/// How long after its arrival a job is wanted.
pub fn latency_objective(experiment: &Experiment, day: &Day, n: usize) -> Micros {
    let job = &day.jobs[n];
    let class = &experiment.traffic.classes[job.class as usize];
    micros((class.latency_objective + class.stretch * job.work).min(class.timeout))
}
