//! Results of an experiment: `results.json`, `table.md` and charts.

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

/// Name of the results file, which other tools read.
pub const RESULTS_FILE: &str = "results.json";
/// Confidence level of intervals.
const CONFIDENCE_LEVEL: f64 = 0.95;

/// Returns one metric of a case.
type CaseMetric = fn(&CaseResult) -> Mean;

/// Charts: name of the file, title, and the metric that is shown.
const CHARTS: [(&str, &str, CaseMetric); 5] = [
    ("service", "Service of all jobs", |case| case.all),
    ("small", "Service of small jobs", |case| case.small),
    ("large", "Service of large jobs", |case| case.large),
    ("refused", "Part of the jobs refused", |case| case.refused),
    ("late_p99", "99th percentile of lateness, ms", |case| case.late_p99_ms),
];

/// Mean of a metric over seeds, with its confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mean {
    /// Mean over the seeds.
    pub mean: f64,
    /// Half the width of the 95 % confidence interval; 0 if there is only one run.
    pub within: f64,
}

impl Mean {
    /// Computes the mean of samples, with the interval by Student's t-distribution.
    pub fn from_samples(samples: &[f64]) -> Mean {
        let n = samples.len() as f64;
        if samples.is_empty() {
            return Mean::default();
        }
        let mean = samples.iter().sum::<f64>() / n;
        if samples.len() < 2 {
            return Mean { mean, within: 0.0 };
        }
        let variance = samples.iter().map(|sample| (sample - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let t =
            StudentsT::new(0.0, 1.0, n - 1.0).map_or(1.96, |t| t.inverse_cdf(0.5 + CONFIDENCE_LEVEL / 2.0));
        Mean { mean, within: t * (variance / n).sqrt() }
    }
}

/// Service by size of the jobs and by tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Service of all jobs.
    pub all: f64,
    /// Service of jobs with fewer slots than large ones.
    pub small: f64,
    /// Service of large jobs.
    pub large: f64,
    /// Service by tenant.
    pub tenant: BTreeMap<String, f64>,
}

/// Result of an arm on one case.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CaseResult {
    /// Name of the case.
    pub name: String,
    /// Service of all jobs.
    pub all: Mean,
    /// Service of jobs with fewer slots than large ones.
    pub small: Mean,
    /// Service of large jobs.
    pub large: Mean,
    /// Operators' goal: weighted service minus prices.
    pub goal: Mean,
    /// Share of jobs that were served late.
    pub late: Mean,
    /// Share of jobs that were rejected.
    pub refused: Mean,
    /// Share of jobs that failed.
    pub failed: Mean,
    /// 99th percentile of lateness, in milliseconds.
    pub late_p99_ms: Mean,
    /// Attempts sent to workers, per job.
    pub sends: Mean,
    /// Value lost, by cause, as shares of the value of all jobs; means over the runs.
    pub lost: LostValue,
    /// Large jobs that were admitted and starved.
    pub large_starved: u64,
    /// Violations of the rules.
    pub rules: RuleViolations,
    /// Operators' goal of each seed, in the order of the seeds; paired comparisons need it.
    pub goal_by_seed: Vec<f64>,
    /// Service of each seed, in the order of the seeds; paired comparisons need it.
    pub service_by_seed: Vec<f64>,
}

/// Result of an arm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArmResult {
    /// Name of the arm.
    pub name: String,
    /// Service, as means over all runs.
    pub service: Service,
    /// 99th percentile of lateness of each run, as the mean over all runs, in milliseconds.
    pub late_p99_ms: f64,
    /// Large jobs that were admitted and starved, over all runs.
    pub large_starved: u64,
    /// Large jobs, over all runs.
    pub large_jobs: u64,
    /// Large jobs that were admitted, over all runs.
    pub large_admitted: u64,
    /// Admitted large jobs that were not served in time, over all runs.
    pub large_late: u64,
    /// Violations of the rules, over all runs.
    pub rules: RuleViolations,
    /// Operators' goal, as the mean over all runs.
    pub goal: f64,
    /// Results by case, in the order of the file.
    pub cases: Vec<CaseResult>,
}

/// All results of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Name of the experiment.
    pub experiment: String,
    /// Description of the experiment in one line.
    pub about: String,
    /// Execution mode.
    pub drive: String,
    /// Seeds of the simulated days.
    pub seeds: Vec<u64>,
    /// Results by arm, in the order of the file.
    pub arms: Vec<ArmResult>,
}

impl Results {
    /// Reads the results file in a folder.
    ///
    /// # Errors
    /// The file cannot be read or is not valid JSON of this type.
    pub fn read(folder: &Path) -> io::Result<Results> {
        let text = std::fs::read(folder.join(RESULTS_FILE))?;
        serde_json::from_slice(&text).map_err(io::Error::other)
    }

    /// Writes the results, the tables and the charts to a folder, which is created if it does not exist.
    ///
    /// # Errors
    /// The folder cannot be written to.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let mut json = serde_json::to_string_pretty(self).map_err(io::Error::other)?;
        json.push('\n');
        std::fs::write(folder.join(RESULTS_FILE), json)?;
        std::fs::write(folder.join("table.md"), self.table())?;
        for (file, title, metric) in CHARTS {
            let path = folder.join(format!("{file}.svg"));
            chart::draw(self, &path, title, metric).map_err(|error| io::Error::other(error.to_string()))?;
        }
        Ok(())
    }
}
