//! What a set of runs leaves: `results.json`, `table.md` and charts.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::path::Path;

use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF as _, StudentsT};

use crate::checker::RuleViolations;
use crate::metrics::{LostValue, RunMetrics};
use crate::run::Run;
use crate::spec::Experiment;

/// The name of the file that other tools read.
pub const RESULTS_FILE: &str = "results.json";
/// How sure an interval is.
const CONFIDENCE_LEVEL: f64 = 0.95;

/// The mean of a figure over seeds, and half the width of its interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval of 95 %; 0 where there is one run only.
    pub within: f64,
}

impl Mean {
    /// Of some figures, after Student.
    pub fn from_samples(figures: &[f64]) -> Mean {
        let n = figures.len() as f64;
        if figures.is_empty() {
            return Mean::default();
        }
        let mean = figures.iter().sum::<f64>() / n;
        if figures.len() < 2 {
            return Mean { mean, within: 0.0 };
        }
        let variance = figures.iter().map(|f| (f - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let t =
            StudentsT::new(0.0, 1.0, n - 1.0).map_or(1.96, |t| t.inverse_cdf(0.5 + CONFIDENCE_LEVEL / 2.0));
        Mean { mean, within: t * (variance / n).sqrt() }
    }
}

/// Service by size and tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// All jobs.
    pub all: f64,
    /// Those of fewer slots than count as large.
    pub small: f64,
    /// The others.
    pub large: f64,
    /// By tenant.
    pub tenant: BTreeMap<String, f64>,
}

/// What an arm reached on one case.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CaseResult {
    /// The case.
    pub name: String,
    /// Service of all, small and large jobs.
    pub all: Mean,
    /// See there.
    pub small: Mean,
    /// See there.
    pub large: Mean,
    /// The operators' goal, prices taken off.
    pub goal: Mean,
    /// Parts of the jobs.
    pub late: Mean,
    /// See there.
    pub refused: Mean,
    /// See there.
    pub failed: Mean,
    /// The 99th percentile of lateness, in milliseconds.
    pub late_p99_ms: Mean,
    /// Sends for each job.
    pub sends: Mean,
    /// Why worth was lost, in parts of the worth asked for: means over the runs.
    pub lost: LostValue,
    /// Large jobs that were let in and starved.
    pub large_starved: u64,
    /// Breaches of the rules.
    pub rules: RuleViolations,
    /// The goal and service by seed, in the order of the seeds, for comparisons in pairs.
    pub goal_by_seed: Vec<f64>,
    /// See there.
    pub service_by_seed: Vec<f64>,
}

/// What an arm reached.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArmResult {
    /// The arm.
    pub name: String,
    /// Means over all runs.
    pub service: Service,
    /// The mean over all runs of each run's 99th percentile of lateness, in milliseconds.
    pub late_p99_ms: f64,
    /// Large jobs that were let in and starved, over all runs.
    pub large_starved: u64,
    /// Large jobs, those let in, and those late, over all runs.
    pub large_jobs: u64,
    /// See there.
    pub large_admitted: u64,
    /// See there.
    pub large_late: u64,
    /// Breaches of the rules, over all runs.
    pub rules: RuleViolations,
    /// The operators' goal.
    pub goal: f64,
    /// By case.
    pub cases: Vec<CaseResult>,
}

/// All results of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// The experiment.
    pub experiment: String,
    /// What it is about.
    pub about: String,
    /// How it was played.
    pub drive: String,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// The arms, in the order of the file.
    pub arms: Vec<ArmResult>,
}

fn mean(runs: &[&Run], figure: impl Fn(&RunMetrics) -> f64) -> Mean {
    let figures: Vec<f64> = runs.iter().map(|run| figure(&run.metrics)).collect();
    Mean::from_samples(&figures)
}

fn total_violations(runs: &[&Run]) -> RuleViolations {
    let mut all = RuleViolations::default();
    runs.iter().for_each(|run| all.add(run.metrics.rules));
    all
}

impl Results {
    /// Sums runs up.
    pub fn summarize(experiment: &Experiment, drive: &str, seeds: &[u64], runs: &[Run]) -> Results {
        let arms = experiment.arms.iter().enumerate().map(|(n, arm)| {
            let of_arm: Vec<&Run> = runs.iter().filter(|run| run.arm == n).collect();
            let sum = |count: &dyn Fn(&RunMetrics) -> u64| of_arm.iter().map(|run| count(&run.metrics)).sum();
            let tenants = experiment.traffic.tenants.iter().map(|tenant| {
                let service =
                    |f: &RunMetrics| f.tenants.get(&tenant.name).copied().unwrap_or_default().service();
                (tenant.name.clone(), mean(&of_arm, service).mean)
            });
            let cases = experiment.cases.iter().enumerate().map(|(c, case)| {
                let runs: Vec<&Run> = of_arm.iter().copied().filter(|run| run.case == c).collect();
                CaseResult {
                    name: case.name.clone(),
                    all: mean(&runs, |f| f.all.service()),
                    small: mean(&runs, |f| f.small.service()),
                    large: mean(&runs, |f| f.large.service()),
                    goal: mean(&runs, |f| f.goal),
                    late: mean(&runs, |f| f.late),
                    refused: mean(&runs, |f| f.refused),
                    failed: mean(&runs, |f| f.failed),
                    late_p99_ms: mean(&runs, |f| f.late_p99_ms),
                    sends: mean(&runs, |f| f.sends as f64 / (f.jobs as f64).max(1.0)),
                    lost: LostValue {
                        refused: mean(&runs, |f| f.lost.refused).mean,
                        failed: mean(&runs, |f| f.lost.failed).mean,
                        held: mean(&runs, |f| f.lost.held).mean,
                        queued: mean(&runs, |f| f.lost.queued).mean,
                        slow: mean(&runs, |f| f.lost.slow).mean,
                    },
                    large_starved: runs.iter().map(|run| run.metrics.large_starved).sum(),
                    rules: total_violations(&runs),
                    goal_by_seed: runs.iter().map(|run| run.metrics.goal).collect(),
                    service_by_seed: runs.iter().map(|run| run.metrics.all.service()).collect(),
                }
            });
            ArmResult {
                name: arm.name.clone(),
                service: Service {
                    all: mean(&of_arm, |f| f.all.service()).mean,
                    small: mean(&of_arm, |f| f.small.service()).mean,
                    large: mean(&of_arm, |f| f.large.service()).mean,
                    tenant: tenants.collect(),
                },
                late_p99_ms: mean(&of_arm, |f| f.late_p99_ms).mean,
                large_starved: sum(&|f| f.large_starved),
                large_jobs: sum(&|f| f.large_jobs),
                large_admitted: sum(&|f| f.large_admitted),
                large_late: sum(&|f| f.large_late),
                rules: total_violations(&of_arm),
                goal: mean(&of_arm, |f| f.goal).mean,
                cases: cases.collect(),
            }
        });
        Results {
            experiment: experiment.name.clone(),
            about: experiment.about.clone(),
            drive: drive.to_owned(),
            seeds: seeds.to_vec(),
            arms: arms.collect(),
        }
    }

    /// Reads what an earlier run left in a folder.
    ///
    /// # Errors
    /// There is none, or it is of another form.
    pub fn read(folder: &Path) -> io::Result<Results> {
        let text = std::fs::read(folder.join(RESULTS_FILE))?;
        serde_json::from_slice(&text).map_err(io::Error::other)
    }

    /// Leaves everything in a folder, which is made where there is none.
    ///
    /// # Errors
    /// The folder cannot be written to.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let mut json = serde_json::to_string_pretty(self).map_err(io::Error::other)?;
        json.push('\n');
        std::fs::write(folder.join(RESULTS_FILE), json)?;
        std::fs::write(folder.join("table.md"), self.table())?;
        type Figure = fn(&CaseResult) -> Mean;
        let charts: [(&str, &str, Figure); 5] = [
            ("service", "Service of all jobs", |case| case.all),
            ("small", "Service of small jobs", |case| case.small),
            ("large", "Service of large jobs", |case| case.large),
            ("refused", "Part of the jobs refused", |case| case.refused),
            ("late_p99", "99th percentile of lateness, ms", |case| case.late_p99_ms),
        ];
        for (file, title, figure) in charts {
            let path = folder.join(format!("{file}.svg"));
            self.chart(&path, title, figure).map_err(|error| io::Error::other(error.to_string()))?;
        }
        Ok(())
    }

    /// All figures as tables of Markdown, one for each case.
    pub fn table(&self) -> String {
        let mut text = format!("# {}\n\n{}\n\n", self.experiment, self.about);
        let seeds: Vec<String> = self.seeds.iter().map(u64::to_string).collect();
        let _ = writeln!(
            text,
            "Drive: {}. Seeds: {}. Means with 95 % intervals.\n",
            self.drive,
            seeds.join(", ")
        );
        let cases = self.arms.first().map_or(0, |arm| arm.cases.len());
        for n in 0..cases {
            let _ = writeln!(text, "## {}\n", self.arms[0].cases[n].name);
            text.push_str("| arm | service | small | large | goal | late | refused | failed | late p99, ms | sends a job | starved | drain | dup | lost | failback |\n");
            text.push_str("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
            for arm in &self.arms {
                let case = &arm.cases[n];
                let part = |mean: Mean| format!("{:.3} ±{:.3}", mean.mean, mean.within);
                let _ = writeln!(
                    text,
                    "| {} | {} | {} | {} | {} | {} | {} | {} | {:.0} ±{:.0} | {:.2} | {} | {} | {} | {} | {} |",
                    arm.name,
                    part(case.all),
                    part(case.small),
                    part(case.large),
                    part(case.goal),
                    part(case.late),
                    part(case.refused),
                    part(case.failed),
                    case.late_p99_ms.mean,
                    case.late_p99_ms.within,
                    case.sends.mean,
                    case.large_starved,
                    case.rules.drain,
                    case.rules.dup,
                    case.rules.lost,
                    case.rules.failback,
                );
            }
            text.push_str("\nWorth lost, in parts of the worth asked for: refused, failed, late after a wait at the dispatcher (held)\n");
            text.push_str("or at a worker (queued), late by the run alone (slow).\n\n");
            text.push_str("| arm | refused | failed | held | queued | slow |\n|---|---|---|---|---|---|\n");
            for arm in &self.arms {
                let LostValue { refused, failed, held, queued, slow } = arm.cases[n].lost;
                let name = &arm.name;
                let _ = writeln!(
                    text,
                    "| {name} | {refused:.3} | {failed:.3} | {held:.3} | {queued:.3} | {slow:.3} |"
                );
            }
            text.push('\n');
        }
        text
    }

    /// A line for each arm over the cases, with its interval as a band.
    fn chart(
        &self,
        path: &Path,
        title: &str,
        figure: fn(&CaseResult) -> Mean,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let names: Vec<String> = self
            .arms
            .first()
            .map(|arm| arm.cases.iter().map(|case| case.name.clone()).collect())
            .unwrap_or_default();
        let all = || self.arms.iter().flat_map(|arm| arm.cases.iter().map(figure));
        let low = all().map(|m| m.mean - m.within).fold(f64::INFINITY, f64::min).min(0.9);
        let high = all().map(|m| m.mean + m.within).fold(0.0_f64, f64::max).max(low + 0.01);
        let margin = 0.05 * (high - low);
        let (low, high) = ((low - margin).max(0.0), high + margin);
        let last = (names.len().saturating_sub(1)) as f64;
        let root = SVGBackend::new(path, (900, 520)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(format!("{}: {title}", self.experiment), ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(-0.2..last + 0.2, low..high)?;
        let label = |x: &f64| {
            let nearest = x.round();
            let near = (x - nearest).abs() < 0.01 && nearest >= 0.0;
            if near {
                names.get(nearest as usize).cloned().unwrap_or_default()
            } else {
                String::new()
            }
        };
        let marks = names.len().max(2) * 5;
        chart.configure_mesh().x_labels(marks).x_label_formatter(&label).disable_x_mesh().draw()?;
        for (n, arm) in self.arms.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let at = |c: usize| (c as f64, figure(&arm.cases[c]));
            let points: Vec<(f64, Mean)> = (0..arm.cases.len()).map(at).collect();
            let upper = points.iter().map(|(x, m)| (*x, m.mean + m.within));
            let lower = points.iter().rev().map(|(x, m)| (*x, m.mean - m.within));
            let band: Vec<(f64, f64)> = upper.chain(lower).collect();
            chart.draw_series(std::iter::once(Polygon::new(band, color.mix(0.15).filled())))?;
            let line: Vec<(f64, f64)> = points.iter().map(|(x, m)| (*x, m.mean)).collect();
            chart
                .draw_series(LineSeries::new(line.clone(), color.stroke_width(2)).point_size(3))?
                .label(arm.name.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(3)));
            // One case has no line to show.
            chart.draw_series(points.iter().map(|(x, m)| {
                ErrorBar::new_vertical(*x, m.mean - m.within, m.mean, m.mean + m.within, color.filled(), 8)
            }))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }
}

/// Two results side by side: each arm and case that both have, with the difference in pairs where the seeds agree.
pub fn compare(before: &Results, after: &Results) -> String {
    let mut text = format!("# {} against {}\n\n", before.experiment, after.experiment);
    let paired = before.seeds == after.seeds;
    let _ = writeln!(
        text,
        "Differences are after less before, {}.\n",
        if paired { "in pairs by seed" } else { "of means; the seeds differ" }
    );
    text.push_str("| arm | case | service | goal | refused | late | starved | breaches |\n|---|---|---|---|---|---|---|---|\n");
    let mut common = 0;
    for new in &after.arms {
        let Some(old) = before.arms.iter().find(|arm| arm.name == new.name) else { continue };
        for case in &new.cases {
            let Some(was) = old.cases.iter().find(|other| other.name == case.name) else { continue };
            common += 1;
            let difference = |old: &[f64], new: &[f64], means: (Mean, Mean)| {
                if paired && old.len() == new.len() {
                    let each: Vec<f64> = new.iter().zip(old).map(|(new, old)| new - old).collect();
                    return Mean::from_samples(&each);
                }
                Mean { mean: means.1.mean - means.0.mean, within: means.0.within.hypot(means.1.within) }
            };
            let service = difference(&was.service_by_seed, &case.service_by_seed, (was.all, case.all));
            let goal = difference(&was.goal_by_seed, &case.goal_by_seed, (was.goal, case.goal));
            let _ = writeln!(
                text,
                "| {} | {} | {:+.3} ±{:.3} | {:+.3} ±{:.3} | {:+.3} | {:+.3} | {} → {} | {} → {} |",
                new.name,
                case.name,
                service.mean,
                service.within,
                goal.mean,
                goal.within,
                case.refused.mean - was.refused.mean,
                case.late.mean - was.late.mean,
                was.large_starved,
                case.large_starved,
                was.rules.total(),
                case.rules.total(),
            );
        }
    }
    if common == 0 {
        text.push_str("\nThey have no arm and case in common.\n");
    }
    text
}
