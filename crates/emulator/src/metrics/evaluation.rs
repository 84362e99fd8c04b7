//! Computes the metrics of a run from the outcomes of its jobs.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::starvation::RunIndex;
use super::{latency_objective, JobOutcome, JobRun, RunMetrics, RunRecord, WeightedService};
use crate::day::{Day, JobPlan, Micros, DAY_START};
use crate::spec::Experiment;

/// Length of the windows into which a day is divided; the lowest service of a window counts in the goal.
const WORST_WINDOW: Micros = 10_000_000;
/// Largest lateness in the histogram, in milliseconds; a larger one counts as this.
const MAX_LATENESS_MS: u64 = 600_000;

/// Weight of the service of the whole day in the operators' goal. This and the three weights below sum to 1.
const WHOLE_DAY_WEIGHT: f64 = 0.55;
/// Weight of the service in the worst window.
const WORST_WINDOW_WEIGHT: f64 = 0.15;
/// Weight of the service of the worst class.
const WORST_CLASS_WEIGHT: f64 = 0.05;
/// Weight of the service of the worst tenant.
const WORST_TENANT_WEIGHT: f64 = 0.25;

/// Price of one late failure per job, as a share of the service.
const LATE_FAILURE_PRICE: f64 = 0.076;
/// Price of one new connection per job, as a share of the service.
const CONNECTION_PRICE: f64 = 0.05;
/// Price of one attempt per job beyond the first, as a share of the service.
const WASTED_SEND_PRICE: f64 = 0.016;

/// A job whose client did not leave before its end.
struct FinishedJob<'a> {
    number: usize,
    plan: &'a JobPlan,
    outcome: Option<JobOutcome>,
    /// Time after which a response is late.
    due_at: Micros,
    earned: f64,
}

/// Counts and sums over the jobs of a run.
struct Evaluation<'a> {
    experiment: &'a Experiment,
    day: &'a Day,
    record: &'a RunRecord,
    metrics: RunMetrics,
    windows: BTreeMap<Micros, WeightedService>,
    lateness: Option<Histogram<u64>>,
    late: u64,
    rejected: u64,
    failed: u64,
    late_failures: u64,
    /// Large jobs that were admitted and late.
    late_large: Vec<usize>,
    last_run: Vec<Option<&'a JobRun>>,
}

impl RunMetrics {
    /// Computes the metrics of a run on this day.
    pub fn evaluate(experiment: &Experiment, day: &Day, record: &RunRecord) -> RunMetrics {
        let mut evaluation = Evaluation::new(experiment, day, record);
        for number in 0..day.jobs.len() {
            if let Some(job) = evaluation.finished_job(number) {
                evaluation.count_outcome(&job);
                evaluation.count_lost_value(&job);
                evaluation.count_service(&job);
            }
        }
        evaluation.finish()
    }
}

impl<'a> Evaluation<'a> {
    fn new(experiment: &'a Experiment, day: &'a Day, record: &'a RunRecord) -> Evaluation<'a> {
        let mut last_run: Vec<Option<&JobRun>> = vec![None; day.jobs.len()];
        record.runs.iter().for_each(|run| last_run[run.job as usize] = Some(run));
        Evaluation {
            experiment,
            day,
            record,
            metrics: RunMetrics {
                rules: record.violations,
                jobs: day.jobs.len() as u64,
                tries: record.submissions,
                sends: record.sends,
                connects: record.new_connections,
                events: record.events,
                ..RunMetrics::default()
            },
            windows: BTreeMap::new(),
            lateness: Histogram::new_with_max(MAX_LATENESS_MS, 3).ok(),
            late: 0,
            rejected: 0,
            failed: 0,
            late_failures: 0,
            late_large: Vec::new(),
            last_run,
        }
    }

    /// Returns a job, unless its client left: its value then counts neither as requested nor as earned.
    fn finished_job(&self, number: usize) -> Option<FinishedJob<'a>> {
        let plan = &self.day.jobs[number];
        let outcome = self.record.outcomes.get(number).copied().flatten();
        if outcome == Some(JobOutcome::ClientLeft) {
            return None;
        }
        let due_at = plan.arrival + latency_objective(self.experiment, self.day, number);
        let class = &self.experiment.traffic.classes[plan.class as usize];
        let earned = match outcome {
            Some(JobOutcome::Served(at)) if at <= due_at => plan.value,
            Some(JobOutcome::Served(_)) => plan.value * class.late_weight,
            _ => 0.0,
        };
        Some(FinishedJob { number, plan, outcome, due_at, earned })
    }

    fn count_outcome(&mut self, job: &FinishedJob<'_>) {
        match job.outcome {
            Some(JobOutcome::Served(at)) => {
                if let Some(lateness) = &mut self.lateness {
                    lateness.saturating_record(at.saturating_sub(job.due_at) / 1000);
                }
                self.late += u64::from(at > job.due_at);
            }
            Some(JobOutcome::Rejected(at)) => {
                self.rejected += 1;
                self.late_failures += u64::from(at > job.due_at);
            }
            Some(JobOutcome::Failed(at)) => {
                self.failed += 1;
                self.late_failures += u64::from(at > job.due_at);
            }
            _ => self.failed += 1,
        }
    }

    fn count_lost_value(&mut self, job: &FinishedJob<'_>) {
        let short = job.plan.value - job.earned;
        let lost = &mut self.metrics.lost;
        match job.outcome {
            Some(JobOutcome::Served(_)) if short > 0.0 => {
                let arrival = job.plan.arrival;
                let sent = self.record.first_sent.get(job.number).copied().flatten().unwrap_or(arrival);
                let last_run = self.last_run[job.number];
                let run_time = last_run.map_or(0, |run| run.ended_at.saturating_sub(run.started_at));
                let queue_time = last_run.map_or(0, |run| run.started_at.saturating_sub(sent));
                let allowed = job.due_at - arrival;
                let cause = if run_time > allowed {
                    &mut lost.slow
                } else if run_time + queue_time > allowed {
                    &mut lost.queued
                } else {
                    &mut lost.held
                };
                *cause += short;
            }
            Some(JobOutcome::Rejected(_)) => lost.refused += short,
            _ => lost.failed += short,
        }
    }

    fn count_service(&mut self, job: &FinishedJob<'_>) {
        let (value, earned) = (job.plan.value, job.earned);
        let traffic = &self.experiment.traffic;
        let metrics = &mut self.metrics;
        let large = job.plan.slots >= self.experiment.large_slots;
        metrics.all.add(value, earned);
        if large { &mut metrics.large } else { &mut metrics.small }.add(value, earned);
        let class = traffic.classes[job.plan.class as usize].name.clone();
        metrics.classes.entry(class).or_default().add(value, earned);
        if let Some(tenant) = traffic.tenants.get(job.plan.tenant as usize) {
            metrics.tenants.entry(tenant.name.clone()).or_default().add(value, earned);
        }
        let window = (job.plan.arrival - DAY_START) / WORST_WINDOW;
        self.windows.entry(window).or_default().add(value, earned);
        if large {
            metrics.large_jobs += 1;
            let admitted = self.record.admitted.get(job.number).copied().unwrap_or(false);
            metrics.large_admitted += u64::from(admitted);
            if admitted && !matches!(job.outcome, Some(JobOutcome::Served(at)) if at <= job.due_at) {
                self.late_large.push(job.number);
            }
        }
    }

    fn finish(mut self) -> RunMetrics {
        let asked = self.metrics.all.asked.max(1e-9);
        let lost = &mut self.metrics.lost;
        for part in [&mut lost.refused, &mut lost.failed, &mut lost.held, &mut lost.queued, &mut lost.slow] {
            *part /= asked;
        }
        let jobs = (self.metrics.jobs as f64).max(1.0);
        self.metrics.late = self.late as f64 / jobs;
        self.metrics.refused = self.rejected as f64 / jobs;
        self.metrics.failed = self.failed as f64 / jobs;
        self.metrics.late_p99_ms = self.lateness.as_ref().map_or(0.0, |l| l.value_at_quantile(0.99) as f64);
        self.metrics.large_late = self.late_large.len() as u64;
        self.metrics.large_starved = self.starved_jobs();
        self.metrics.goal = self.goal(jobs);
        self.metrics
    }

    fn starved_jobs(&self) -> u64 {
        let runs = RunIndex::of(self.day, self.record);
        let starved =
            |number: &&usize| runs.starved(**number, latency_objective(self.experiment, self.day, **number));
        self.late_large.iter().filter(starved).count() as u64
    }

    /// Returns the operators' goal: weighted service minus prices.
    fn goal(&self, jobs: f64) -> f64 {
        let lowest_service = |parts: &mut dyn Iterator<Item = &WeightedService>| {
            parts.map(|part| part.service()).fold(f64::INFINITY, f64::min).min(1.0)
        };
        // The last window may be shorter than the others and have only a few jobs.
        let complete = self.day.last_arrival.saturating_sub(DAY_START) / WORST_WINDOW;
        let worst_window = lowest_service(&mut self.windows.range(..complete.max(1)).map(|(_, part)| part));
        let record = self.record;
        WHOLE_DAY_WEIGHT * self.metrics.all.service()
            + WORST_WINDOW_WEIGHT * worst_window
            + WORST_CLASS_WEIGHT * lowest_service(&mut self.metrics.classes.values())
            + WORST_TENANT_WEIGHT * lowest_service(&mut self.metrics.tenants.values())
            - self.experiment.rules.cross_zone_price * record.cross_zone_sends as f64 / jobs
            - LATE_FAILURE_PRICE * self.late_failures as f64 / jobs
            - CONNECTION_PRICE * record.new_connections as f64 / jobs
            - WASTED_SEND_PRICE * (record.sends as f64 / jobs - 1.0).max(0.0)
    }
}
