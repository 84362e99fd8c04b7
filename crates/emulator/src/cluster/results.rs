//! Adds up the schedules of an experiment: results.json and a table.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;

use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use rayon::prelude::*;
use serde::Serialize;

use super::error::ClusterError;
use super::lease_harness::{play, Programs, SchedulePlan, ScheduleResult};
use super::schedule::{Arm, ClusterExperiment};
use super::violations::Rule;

/// Seconds at half, 99 of 100, and the longest.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// How many.
    pub count: u64,
    /// At half.
    pub p50: f64,
    /// At 99 of 100.
    pub p99: f64,
    /// The longest.
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

/// What one arm gave.
#[derive(Debug, Default, Serialize)]
pub struct ArmResult {
    /// Violations by rule.
    pub rules: BTreeMap<String, u64>,
    /// Schedules played.
    pub schedules: u64,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Effects that were taken.
    pub taken: u64,
    /// Effects that were refused.
    pub refused_tokens: u64,
    /// Terms that were granted.
    pub terms: u64,
    /// From a fault at an holder to the first effect of the next term.
    pub takeover_s: Quantiles,
    /// The same by kind of fault.
    pub takeover_by_cause_s: BTreeMap<&'static str, Quantiles>,
    /// The seeds of schedules that broke a rule.
    pub broken: Vec<u64>,
}

/// All of it.
#[derive(Debug, Serialize)]
pub struct Results {
    /// The experiment.
    pub experiment: String,
    /// `fleet`.
    pub drive: &'static str,
    /// The bug put in, if there was one.
    pub seeded_bug: Option<String>,
    /// By arm.
    pub arms: BTreeMap<String, ArmResult>,
}

impl Results {
    /// Whether a rule was broken.
    pub fn broken(&self) -> bool {
        self.arms.values().any(|arm| !arm.broken.is_empty())
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut text =
            "| arm | schedules | violations | terms | effects taken | refused | takeover p50 | p99 | max |\n\
                        | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
                .to_owned();
        for (name, arm) in &self.arms {
            let (rules, over) = (arm.rules.values().sum::<u64>(), arm.takeover_s);
            text += &format!(
                "| {name} | {} | {rules} | {} | {} | {} | {:.3} s | {:.3} s | {:.3} s |\n",
                arm.schedules, arm.terms, arm.taken, arm.refused_tokens, over.p50, over.p99, over.max
            );
        }
        text += "\n| arm | cause | takeovers | p50 | p99 | max |\n| --- | --- | --- | --- | --- | --- |\n";
        for (name, arm) in &self.arms {
            for (cause, over) in &arm.takeover_by_cause_s {
                let (count, p50, p99, max) = (over.count, over.p50, over.p99, over.max);
                text += &format!("| {name} | {cause} | {count} | {p50:.3} s | {p99:.3} s | {max:.3} s |\n");
            }
        }
        text
    }

    /// Writes results.json and table.md into this folder.
    ///
    /// # Errors
    /// They cannot be written.
    pub fn write(&self, out: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(out)?;
        std::fs::write(out.join("results.json"), serde_json::to_vec_pretty(self)?)?;
        std::fs::write(out.join("table.md"), self.table())
    }
}

/// Plays all schedules, so many at once, each in a lane of its own.
///
/// # Errors
/// The harness could not do its work.
pub fn run(
    plan: &ClusterExperiment,
    seeds: &[u64],
    programs: &Programs,
    out: &Path,
    bug: Option<&str>,
    lanes: usize,
    bar: &ProgressBar,
) -> Result<Results, ClusterError> {
    let all: Vec<(&Arm, u64)> =
        plan.arms.iter().flat_map(|arm| seeds.iter().map(move |seed| (arm, *seed))).collect();
    let pool = rayon::ThreadPoolBuilder::new().num_threads(lanes).build()?;
    let said = Mutex::new(());
    let played: Result<Vec<(&Arm, ScheduleResult)>, ClusterError> = pool.install(|| {
        let one = |(arm, seed): &(&'_ Arm, u64)| {
            let schedule = SchedulePlan { experiment: plan, arm, seed: *seed, injected_bug: bug };
            let played = play(schedule, programs, out);
            bar.inc(1);
            let played = played.map_err(|source| ClusterError::Schedule {
                arm: arm.name.clone(),
                seed: *seed,
                source: Box::new(source),
            })?;
            if !played.violations.is_empty() {
                let _one = said.lock();
                bar.suspend(|| report(plan, arm, &played, bug));
            }
            Ok(played)
        };
        all.par_iter().with_max_len(1).map(|job| one(job).map(|played| (job.0, played))).collect()
    });
    let mut arms: BTreeMap<String, ArmResult> = BTreeMap::new();
    let mut times: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    let mut by_cause: BTreeMap<(String, &'static str), Vec<u64>> = BTreeMap::new();
    for (arm, played) in played? {
        let result = arms.entry(arm.name.clone()).or_default();
        result.schedules += 1;
        result.taken += played.effects_accepted;
        result.refused_tokens += played.effects_rejected;
        result.terms += played.lease_terms;
        for (kind, count) in &played.faults {
            *result.faults.entry(kind.name()).or_default() += count;
        }
        *result.faults.entry("connections reset").or_default() += played.resets;
        *result.faults.entry("connections doubled").or_default() += played.duplicates;
        for (rule, texts) in played.violations.iter() {
            *result.rules.entry(rule.text().to_owned()).or_default() += texts.len() as u64;
        }
        if !played.violations.is_empty() {
            result.broken.push(played.seed);
        }
        for (kind, taken) in &played.takeovers {
            times.entry(arm.name.clone()).or_default().extend(taken);
            by_cause.entry((arm.name.clone(), kind.name())).or_default().extend(taken);
        }
    }
    for (name, times) in times {
        arms.entry(name).or_default().takeover_s = Quantiles::of(&times);
    }
    for ((name, cause), times) in by_cause {
        arms.entry(name).or_default().takeover_by_cause_s.insert(cause, Quantiles::of(&times));
    }
    Ok(Results { experiment: plan.name.clone(), drive: "fleet", seeded_bug: bug.map(str::to_owned), arms })
}

fn report(plan: &ClusterExperiment, arm: &Arm, played: &ScheduleResult, bug: Option<&str>) {
    for (rule, texts) in played.violations.iter() {
        let first = texts.first().map_or("", String::as_str);
        eprintln!(
            "{} seed {}: {}: {} times, first: {first}",
            arm.name,
            played.seed,
            rule.text(),
            texts.len()
        );
    }
    let bug = bug.map_or(String::new(), |bug| format!(" --seeded-bug {bug}"));
    eprintln!(
        "  to play it again: emulator run experiments/{}.hcl --seed {} --seeds 1 --arm {} --out again{bug}",
        plan.name, played.seed, arm.name
    );
}
