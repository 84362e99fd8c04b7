//! Results of an experiment with processes: sums over its schedules, `results.json` and a table.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;

use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use rayon::prelude::*;
use serde::Serialize;

use super::error::ClusterError;
use super::lease_harness::{self, Programs, SchedulePlan, ScheduleResult};
use super::schedule::ClusterExperiment;
use super::violations::Rule;

/// Quantiles of times, in seconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Quantiles {
    fn of(microseconds: &[u64]) -> Quantiles {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3) else {
            return Quantiles::default();
        };
        for value in microseconds {
            let _ = histogram.record((*value).max(1));
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e6;
        match microseconds.iter().max() {
            Some(max) => Quantiles {
                count: histogram.len(),
                p50: at(0.5),
                p99: at(0.99).min(*max as f64 / 1e6),
                max: *max as f64 / 1e6,
            },
            None => Quantiles::default(),
        }
    }
}

/// Result of one arm.
#[derive(Debug, Default, Serialize)]
pub struct ArmResult {
    /// Violations by rule.
    pub rules: BTreeMap<String, u64>,
    /// Number of schedules.
    pub schedules: u64,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Effects that receivers accepted.
    #[serde(rename = "taken")]
    pub effects_accepted: u64,
    /// Effects that receivers rejected.
    #[serde(rename = "refused_tokens")]
    pub effects_rejected: u64,
    /// Lease terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
    /// Takeover times: from a fault of a lease holder to the first accepted effect of a later term.
    pub takeover_s: Quantiles,
    /// Takeover times by kind of fault.
    pub takeover_by_cause_s: BTreeMap<&'static str, Quantiles>,
    /// Seeds of the schedules that violated a rule.
    #[serde(rename = "broken")]
    pub violating_seeds: Vec<u64>,
}

/// Results of all arms.
#[derive(Debug, Serialize)]
pub struct Results {
    /// Name of the experiment.
    pub experiment: String,
    /// Execution mode: `fleet`.
    pub drive: &'static str,
    /// Name of the injected bug.
    pub seeded_bug: Option<String>,
    /// Results by arm.
    pub arms: BTreeMap<String, ArmResult>,
}

impl Results {
    /// Whether a rule was violated.
    #[must_use]
    pub fn is_violated(&self) -> bool {
        self.arms.values().any(|arm| !arm.violating_seeds.is_empty())
    }

    /// Returns the results as tables in Markdown.
    pub fn table(&self) -> String {
        let mut text =
            "| arm | schedules | violations | terms | effects taken | refused | takeover p50 | p99 | max |\n\
                        | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
                .to_owned();
        for (name, arm) in &self.arms {
            let violations = arm.rules.values().sum::<u64>();
            let takeover = arm.takeover_s;
            text += &format!(
                "| {name} | {} | {violations} | {} | {} | {} | {:.3} s | {:.3} s | {:.3} s |\n",
                arm.schedules,
                arm.lease_terms,
                arm.effects_accepted,
                arm.effects_rejected,
                takeover.p50,
                takeover.p99,
                takeover.max
            );
        }
        text += "\n| arm | cause | takeovers | p50 | p99 | max |\n| --- | --- | --- | --- | --- | --- |\n";
        for (name, arm) in &self.arms {
            for (cause, takeover) in &arm.takeover_by_cause_s {
                let Quantiles { count, p50, p99, max } = takeover;
                text += &format!("| {name} | {cause} | {count} | {p50:.3} s | {p99:.3} s | {max:.3} s |\n");
            }
        }
        text
    }

    /// Writes `results.json` and `table.md` to this folder.
    ///
    /// # Errors
    /// Returns the error of the file that cannot be written.
    pub fn write(&self, out: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(out)?;
        std::fs::write(out.join("results.json"), serde_json::to_vec_pretty(self)?)?;
        std::fs::write(out.join("table.md"), self.table())
    }
}

/// Options of a run of an experiment.
#[derive(Debug, Clone, Copy)]
pub struct RunOptions<'a> {
    /// Seeds of the schedules of each arm.
    pub seeds: &'a [u64],
    /// Programs that are started as processes.
    pub programs: &'a Programs,
    /// Folder of the schedules' files.
    pub out: &'a Path,
    /// Bug to inject, by name.
    pub injected_bug: Option<&'a str>,
    /// Number of schedules that run in parallel.
    pub parallel: usize,
}

/// Runs all schedules of an experiment, several in parallel.
///
/// # Errors
/// Returns the [`ClusterError`] of a schedule whose harness failed, with its arm and seed.
pub fn run(
    experiment: &ClusterExperiment,
    options: RunOptions<'_>,
    bar: &ProgressBar,
) -> Result<Results, ClusterError> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(options.parallel).build()?;
    let mut schedules = Vec::new();
    for arm in &experiment.arms {
        for seed in options.seeds {
            schedules.push(SchedulePlan { experiment, arm, seed: *seed, injected_bug: options.injected_bug });
        }
    }
    let report_lock = Mutex::new(());
    let run_one = |schedule: &SchedulePlan<'_>| {
        let result = lease_harness::run(*schedule, options.programs, options.out);
        bar.inc(1);
        let result = result.map_err(|source| ClusterError::Schedule {
            arm: schedule.arm.name.clone(),
            seed: schedule.seed,
            source: Box::new(source),
        })?;
        if !result.violations.is_empty() {
            let _report = report_lock.lock();
            bar.suspend(|| report(schedule, &result));
        }
        Ok(result)
    };
    let results: Result<Vec<ScheduleResult>, ClusterError> =
        pool.install(|| schedules.par_iter().with_max_len(1).map(run_one).collect());
    let mut totals = Totals::default();
    for (schedule, result) in schedules.iter().zip(results?) {
        totals.add(&schedule.arm.name, &result);
    }
    Ok(Results {
        experiment: experiment.name.clone(),
        drive: "fleet",
        seeded_bug: options.injected_bug.map(str::to_owned),
        arms: totals.into_arms(),
    })
}

/// Sums over the schedules of each arm.
#[derive(Default)]
struct Totals {
    arms: BTreeMap<String, ArmResult>,
    /// Takeover times by arm, in microseconds.
    takeovers: BTreeMap<String, Vec<u64>>,
    /// Takeover times by arm and kind of fault, in microseconds.
    takeovers_by_cause: BTreeMap<(String, &'static str), Vec<u64>>,
}

impl Totals {
    fn add(&mut self, arm: &str, schedule: &ScheduleResult) {
        let result = self.arms.entry(arm.to_owned()).or_default();
        result.schedules += 1;
        result.effects_accepted += schedule.effects_accepted;
        result.effects_rejected += schedule.effects_rejected;
        result.lease_terms += schedule.lease_terms;
        for (kind, count) in &schedule.faults {
            *result.faults.entry(kind.name()).or_default() += count;
        }
        *result.faults.entry("connections reset").or_default() += schedule.resets;
        *result.faults.entry("connections doubled").or_default() += schedule.duplicates;
        for (rule, descriptions) in schedule.violations.iter() {
            *result.rules.entry(rule.text().to_owned()).or_default() += descriptions.len() as u64;
        }
        if !schedule.violations.is_empty() {
            result.violating_seeds.push(schedule.seed);
        }
        for (kind, times) in &schedule.takeovers {
            self.takeovers.entry(arm.to_owned()).or_default().extend(times);
            self.takeovers_by_cause.entry((arm.to_owned(), kind.name())).or_default().extend(times);
        }
    }

    fn into_arms(mut self) -> BTreeMap<String, ArmResult> {
        for (arm, times) in self.takeovers {
            self.arms.entry(arm).or_default().takeover_s = Quantiles::of(&times);
        }
        for ((arm, cause), times) in self.takeovers_by_cause {
            let result = self.arms.entry(arm).or_default();
            result.takeover_by_cause_s.insert(cause, Quantiles::of(&times));
        }
        self.arms
    }
}

/// Prints the violations of a schedule, and the command that repeats it.
fn report(schedule: &SchedulePlan<'_>, result: &ScheduleResult) {
    let SchedulePlan { experiment, arm, seed, injected_bug } = schedule;
    for (rule, descriptions) in result.violations.iter() {
        let first = descriptions.first().map_or("", String::as_str);
        let count = descriptions.len();
        eprintln!("{} seed {seed}: {}: {count} times, first: {first}", arm.name, rule.text());
    }
    let injected_bug = injected_bug.map_or(String::new(), |bug| format!(" --seeded-bug {bug}"));
    eprintln!(
        "  to run it again: emulator run experiments/{}.hcl --seed {seed} --seeds 1 --arm {} --out again{injected_bug}",
        experiment.name, arm.name
    );
}
