//! What a set of runs leaves: `results.json`, `table.md` and charts.

mod chart;
mod comparison;
mod summary;
mod table;

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF as _, StudentsT};

use crate::checker::RuleViolations;
use crate::metrics::LostValue;

pub use comparison::compare;

/// The name of the file that other tools read.
pub const RESULTS_FILE: &str = "results.json";
/// How sure an interval is.
const CONFIDENCE_LEVEL: f64 = 0.95;

/// Reads one figure of a case.
type CaseFigure = fn(&CaseResult) -> Mean;

/// The charts: name of the file, title, and the figure that is shown.
const CHARTS: [(&str, &str, CaseFigure); 5] = [
    ("service", "Service of all jobs", |case| case.all),
    ("small", "Service of small jobs", |case| case.small),
    ("large", "Service of large jobs", |case| case.large),
    ("refused", "Part of the jobs refused", |case| case.refused),
    ("late_p99", "99th percentile of lateness, ms", |case| case.late_p99_ms),
];

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

impl Results {
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
        for (file, title, figure) in CHARTS {
            let path = folder.join(format!("{file}.svg"));
            chart::draw(self, &path, title, figure).map_err(|error| io::Error::other(error.to_string()))?;
        }
        Ok(())
    }
}
