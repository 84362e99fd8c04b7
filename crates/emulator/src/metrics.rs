//! Metrics of a run: service by size, class and tenant, lateness, lost value, and large jobs that starved.

mod evaluation;
mod starvation;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::checker::RuleViolations;
use crate::day::{micros, Day, Micros};
use crate::spec::Experiment;

/// Service: value earned by jobs as a share of their whole value. A job earns its value if it is served in time, and a
/// part of it if it is served late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Value of all jobs whose clients did not leave.
    pub asked: f64,
    /// Value that these jobs earned.
    pub earned: f64,
}

impl WeightedService {
    fn add(&mut self, value: f64, earned: f64) {
        self.asked += value;
        self.earned += earned;
    }

    /// Returns the share of the value that was earned; 1 if there were no jobs.
    pub fn service(self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }
}

/// Outcome of a job for its client, after its retry if there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Served at this time.
    Served(Micros),
    /// Last submission rejected at this time.
    Rejected(Micros),
    /// Last submission failed or its dispatcher was unreachable, at this time.
    Failed(Micros),
    /// The client left.
    ClientLeft,
}

/// A run of a job on a worker, by the worker's record.
#[derive(Clone, Copy, Debug)]
pub struct JobRun {
    /// Index of the job.
    pub job: u32,
    /// Index of the worker.
    pub worker: u32,
    /// Start of the run.
    pub started_at: Micros,
    /// End of the run; `Micros::MAX` while it runs.
    pub ended_at: Micros,
}

/// Value that jobs did not earn, by cause, as shares of the value of all jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LostValue {
    /// Job was rejected.
    pub refused: f64,
    /// Job failed or was not answered.
    pub failed: f64,
    /// Response was late, but would have been in time without the wait at the dispatcher.
    pub held: f64,
    /// Response was late, but would have been in time without the waits at the dispatcher and the worker.
    pub queued: f64,
    /// Response was late by the run alone: the worker was slow, or the job had more work than expected.
    pub slow: f64,
}

/// Record of a run, from which its metrics are computed.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// Outcome of each job; `None` if the run ended before.
    pub outcomes: Vec<Option<JobOutcome>>,
    /// Time at which each job was first sent to a worker.
    pub first_sent: Vec<Option<Micros>>,
    /// Whether each job was admitted, that is, not rejected on arrival.
    pub admitted: Vec<bool>,
    /// Runs of jobs on workers, ordered by start.
    pub runs: Vec<JobRun>,
    /// Of each worker: speed, slots, and start and end of the time in which it was warm and accepted jobs.
    pub workers: Vec<(f64, u32, Micros, Micros)>,
    /// Violations of the rules.
    pub violations: RuleViolations,
    /// Attempts sent to workers.
    pub sends: u64,
    /// Attempts sent to workers in another zone.
    pub cross_zone_sends: u64,
    /// Connections opened to workers.
    pub new_connections: u64,
    /// Submissions by clients, retries included.
    pub submissions: u64,
    /// Events of the simulation.
    pub events: u64,
}

/// Metrics of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunMetrics {
    /// Service of all jobs.
    pub all: WeightedService,
    /// Service of jobs with fewer slots than large ones.
    pub small: WeightedService,
    /// Service of large jobs.
    pub large: WeightedService,
    /// Service by class.
    pub classes: BTreeMap<String, WeightedService>,
    /// Service by tenant.
    pub tenants: BTreeMap<String, WeightedService>,
    /// Operators' goal: weighted service minus prices for sends, connections and late failures.
    pub goal: f64,
    /// Share of jobs that were served late.
    pub late: f64,
    /// Share of jobs that were rejected.
    pub refused: f64,
    /// Share of jobs that failed.
    pub failed: f64,
    /// 99th percentile of the lateness of served jobs, in milliseconds.
    pub late_p99_ms: f64,
    /// Large jobs.
    pub large_jobs: u64,
    /// Large jobs that were admitted.
    pub large_admitted: u64,
    /// Admitted large jobs that were not served in time.
    pub large_late: u64,
    /// Late large jobs (see `large_late`) that starved: smaller jobs that arrived later were started in their place.
    pub large_starved: u64,
    /// Value lost, by cause.
    pub lost: LostValue,
    /// Violations of the rules.
    pub rules: RuleViolations,
    /// Jobs of the day.
    pub jobs: u64,
    /// Submissions by clients, retries included.
    pub tries: u64,
    /// Attempts sent to workers.
    pub sends: u64,
    /// Connections opened to workers.
    pub connects: u64,
    /// Events of the simulation.
    pub events: u64,
}

/// Returns the latency objective of job `n`, from its arrival.
pub fn latency_objective(experiment: &Experiment, day: &Day, n: usize) -> Micros {
    let job = &day.jobs[n];
    let class = &experiment.traffic.classes[job.class as usize];
    micros((class.latency_objective + class.stretch * job.work).min(class.timeout))
}
