//! What a run is judged by: service by size, class and tenant, lateness, and large jobs that starved.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::checker::RuleViolations;
use crate::day::{micros, Day, Micros, DAY_START};
use crate::spec::Experiment;

/// The worst window is this long.
const WORST_WINDOW: Micros = 10_000_000;
/// What the operators weigh: the whole day, its worst window, its worst class, its worst tenant.
const GOAL: (f64, f64, f64, f64) = (0.55, 0.15, 0.05, 0.25);
/// Prices, as parts of the service: all failing late only, a connection for each request, all work wasted.
const LATE_FAILURE_PRICE: f64 = 0.076;
const CONNECTION_PRICE: f64 = 0.05;
const WASTED_SEND_PRICE: f64 = 0.016;
/// The longest lateness that the histogram tells apart, in milliseconds.
const MAX_LATENESS_MS: u64 = 600_000;

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

/// What a drive hands over of a day.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// How each job ended.
    pub outcomes: Vec<Option<JobOutcome>>,
    /// When each job was first sent to a worker.
    pub first_sent: Vec<Option<Micros>>,
    /// Whether each job was let in: it was not turned away on arrival.
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

impl RunMetrics {
    /// Judges a record.
    pub fn evaluate(experiment: &Experiment, day: &Day, record: &RunRecord) -> RunMetrics {
        let mut f =
            RunMetrics { rules: record.violations, jobs: day.jobs.len() as u64, ..RunMetrics::default() };
        (f.tries, f.sends, f.connects, f.events) =
            (record.submissions, record.sends, record.new_connections, record.events);
        let mut windows: BTreeMap<Micros, WeightedService> = BTreeMap::new();
        let mut lateness = Histogram::<u64>::new_with_max(MAX_LATENESS_MS, 3).ok();
        let (mut late, mut refused, mut failed, mut late_fails) = (0u64, 0u64, 0u64, 0u64);
        let mut late_large = Vec::new();
        let mut last_run: Vec<Option<&JobRun>> = vec![None; day.jobs.len()];
        record.runs.iter().for_each(|ran| last_run[ran.job as usize] = Some(ran));
        for (n, job) in day.jobs.iter().enumerate() {
            let class = &experiment.traffic.classes[job.class as usize];
            let wanted = job.arrival + latency_objective(experiment, day, n);
            let end = record.outcomes.get(n).copied().flatten();
            if end == Some(JobOutcome::ClientLeft) {
                // Nobody waits for it any more: neither asked for nor earned.
                continue;
            }
            let earned = match end {
                Some(JobOutcome::Served(at)) if at <= wanted => job.value,
                Some(JobOutcome::Served(_)) => job.value * class.late_weight,
                _ => 0.0,
            };
            match end {
                Some(JobOutcome::Served(at)) => {
                    if let Some(lateness) = &mut lateness {
                        lateness.saturating_record(at.saturating_sub(wanted) / 1000);
                    }
                    late += u64::from(at > wanted);
                }
                Some(JobOutcome::Rejected(at)) => {
                    refused += 1;
                    late_fails += u64::from(at > wanted);
                }
                Some(JobOutcome::Failed(at)) => {
                    failed += 1;
                    late_fails += u64::from(at > wanted);
                }
                _ => failed += 1,
            }
            let short = job.value - earned;
            match end {
                Some(JobOutcome::Served(_)) if short > 0.0 => {
                    let run = last_run[n].map_or(0, |ran| ran.ended_at.saturating_sub(ran.started_at));
                    let sent = record.first_sent.get(n).copied().flatten().unwrap_or(job.arrival);
                    let queued = last_run[n].map_or(0, |ran| ran.started_at.saturating_sub(sent));
                    let by = wanted - job.arrival;
                    let why = if run > by {
                        &mut f.lost.slow
                    } else if run + queued > by {
                        &mut f.lost.queued
                    } else {
                        &mut f.lost.held
                    };
                    *why += short;
                }
                Some(JobOutcome::Rejected(_)) => f.lost.refused += short,
                _ => f.lost.failed += short,
            }
            let large = job.slots >= experiment.large_slots;
            f.all.add(job.value, earned);
            if large { &mut f.large } else { &mut f.small }.add(job.value, earned);
            f.classes.entry(class.name.clone()).or_default().add(job.value, earned);
            if let Some(tenant) = experiment.traffic.tenants.get(job.tenant as usize) {
                f.tenants.entry(tenant.name.clone()).or_default().add(job.value, earned);
            }
            windows.entry((job.arrival - DAY_START) / WORST_WINDOW).or_default().add(job.value, earned);
            if large {
                f.large_jobs += 1;
                let admitted = record.admitted.get(n).copied().unwrap_or(false);
                f.large_admitted += u64::from(admitted);
                if admitted && !matches!(end, Some(JobOutcome::Served(at)) if at <= wanted) {
                    late_large.push(n);
                }
            }
        }
        let asked = f.all.asked.max(1e-9);
        let lost = &mut f.lost;
        for why in [&mut lost.refused, &mut lost.failed, &mut lost.held, &mut lost.queued, &mut lost.slow] {
            *why /= asked;
        }
        let jobs = (f.jobs as f64).max(1.0);
        (f.late, f.refused, f.failed) = (late as f64 / jobs, refused as f64 / jobs, failed as f64 / jobs);
        f.late_p99_ms = lateness.map_or(0.0, |l| l.value_at_quantile(0.99) as f64);
        f.large_late = late_large.len() as u64;
        let runs = RunIndex::of(day, record);
        let starved =
            late_large.iter().filter(|n| runs.starved(**n, latency_objective(experiment, day, **n)));
        f.large_starved = starved.count() as u64;
        let least = |parts: &mut dyn Iterator<Item = &WeightedService>| {
            parts.map(|p| p.service()).fold(f64::INFINITY, f64::min).min(1.0)
        };
        // The last window may hold a handful of jobs only.
        let whole = day.last_arrival.saturating_sub(DAY_START) / WORST_WINDOW;
        let worst_window = least(&mut windows.range(..whole.max(1)).map(|(_, part)| part));
        f.goal = GOAL.0 * f.all.service()
            + GOAL.1 * worst_window
            + GOAL.2 * least(&mut f.classes.values())
            + GOAL.3 * least(&mut f.tenants.values())
            - experiment.rules.cross_zone_price * record.cross_zone_sends as f64 / jobs
            - LATE_FAILURE_PRICE * late_fails as f64 / jobs
            - CONNECTION_PRICE * record.new_connections as f64 / jobs
            - WASTED_SEND_PRICE * (record.sends as f64 / jobs - 1.0).max(0.0);
        f
    }
}

/// How long after its arrival a job is wanted.
pub fn latency_objective(experiment: &Experiment, day: &Day, n: usize) -> Micros {
    let job = &day.jobs[n];
    let class = &experiment.traffic.classes[job.class as usize];
    micros((class.latency_objective + class.stretch * job.work).min(class.timeout))
}

/// What ran, by the order of starts, by job and by worker.
struct RunIndex<'a> {
    day: &'a Day,
    record: &'a RunRecord,
    by_worker: Vec<Vec<&'a JobRun>>,
    first_start: Vec<Micros>,
}

impl<'a> RunIndex<'a> {
    fn of(day: &'a Day, record: &'a RunRecord) -> RunIndex<'a> {
        let mut by_worker = vec![Vec::new(); record.workers.len()];
        let mut first_start = vec![Micros::MAX; day.jobs.len()];
        for ran in &record.runs {
            by_worker[ran.worker as usize].push(ran);
            let first = &mut first_start[ran.job as usize];
            *first = ran.started_at.min(*first);
        }
        RunIndex { day, record, by_worker, first_start }
    }

    /// A large job starved if it was late although, while it waited and could still have been in time there, a warm
    /// worker that took jobs began a smaller job that was handed in after it, with room for the large one but for
    /// such smaller jobs.
    fn starved(&self, n: usize, wanted: Micros) -> bool {
        let job = &self.day.jobs[n];
        let by = job.arrival + wanted;
        let began = self.first_start[n].min(by);
        let later_and_smaller = |ran: &JobRun| {
            let other = &self.day.jobs[ran.job as usize];
            other.arrival > job.arrival && other.slots < job.slots
        };
        // Records are in the order of their starts.
        let first = self.record.runs.partition_point(|ran| ran.started_at <= job.arrival);
        let starts = self.record.runs[first..].iter().take_while(|ran| ran.started_at < began);
        starts.filter(|ran| later_and_smaller(ran)).any(|start| {
            let (speed, slots, warm_from, until) = self.record.workers[start.worker as usize];
            let would_end = start.started_at + micros(job.work / speed.max(1e-6));
            if would_end > by || slots < job.slots || !(warm_from..until).contains(&start.started_at) {
                return false;
            }
            let there = &self.by_worker[start.worker as usize];
            let before = there.partition_point(|ran| ran.started_at <= start.started_at);
            let at_once = there[..before].iter().filter(|ran| start.started_at < ran.ended_at);
            let others = at_once.filter(|ran| !later_and_smaller(ran));
            others.map(|ran| self.day.jobs[ran.job as usize].slots).sum::<u32>() + job.slots <= slots
        })
    }
}
