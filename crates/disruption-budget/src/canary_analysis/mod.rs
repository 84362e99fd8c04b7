//! Canary analysis: a sequential test, for each job class, of whether a new version fails more often than the old
//! version that runs at the same time in the same zone. Its error rates hold however often the verdict is read.
//!
//! Each window gives the number of jobs of both sides and the number of all failures. Given these sums, the number of
//! failures on the canary's side is hypergeometric while both versions are equally good, whatever made the jobs fail.
//! So failures that both sides share are no evidence against the canary. If the odds of a failure are higher on the
//! canary's side, the number follows Fisher's noncentral hypergeometric distribution. The product of the likelihood
//! ratios of the two distributions, over windows, zones and several odds ratios, is a test martingale: the probability
//! that it ever exceeds `1 / a` is at most `a` while the canary is no worse (Ville's inequality). The inverse ratio,
//! and the canary's own failure share against an acceptable one, are the evidence that it is good.

mod evidence;
mod settings;

use std::collections::BTreeMap;

use evidence::{Evidence, FailureSplit};

pub use settings::AnalysisSettings;

/// Kind of failure of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// The job was rejected.
    Rejected,
    /// The job failed or was lost.
    Failed,
    /// The job was served later than its latency objective allows.
    Late,
}

impl FailureKind {
    const ALL: [FailureKind; 3] = [FailureKind::Rejected, FailureKind::Failed, FailureKind::Late];
}

/// Jobs of one class on one side, canary or baseline, in one window and zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Number of all jobs.
    pub jobs: u64,
    /// Number of rejected jobs.
    pub rejected: u64,
    /// Number of failed jobs.
    pub failed: u64,
    /// Number of jobs that were served late.
    pub late: u64,
}

impl JobCounts {
    fn failures(&self, kind: FailureKind) -> u64 {
        let failures = match kind {
            FailureKind::Rejected => self.rejected,
            FailureKind::Failed => self.failed,
            FailureKind::Late => self.late,
        };
        failures.min(self.jobs)
    }

    fn all_failures(&self) -> u64 {
        (self.rejected + self.failed + self.late).min(self.jobs)
    }
}

/// Result of the analysis so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// There is too little evidence for another verdict.
    Inconclusive,
    /// No class is worse on the canary.
    Passed,
    /// A class is worse on the canary.
    Regressed {
        /// The class.
        class: String,
        /// Kind of failure that is more frequent.
        failure: FailureKind,
    },
}

/// Jobs and failures of the baseline in the last window of a zone and class.
#[derive(Debug, Clone, Copy)]
struct BaselineWindow {
    jobs: u64,
    failures: u64,
}

/// A zone and a job class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneClass {
    zone: String,
    class: String,
}

/// A job class and a kind of failure.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ClassFailure {
    class: String,
    failure: FailureKind,
}

/// The analysis of one release wave.
#[derive(Debug, Clone)]
pub struct CanaryAnalysis {
    settings: AnalysisSettings,
    evidence: BTreeMap<ClassFailure, Evidence>,
    baseline: BTreeMap<ZoneClass, BaselineWindow>,
}

impl CanaryAnalysis {
    /// Starts an analysis without evidence.
    pub fn new(settings: AnalysisSettings) -> CanaryAnalysis {
        CanaryAnalysis { settings, evidence: BTreeMap::new(), baseline: BTreeMap::new() }
    }

    /// Adds the jobs of both sides in one window, in one zone, of one class.
    pub fn record_window(&mut self, zone: &str, class: &str, canary: JobCounts, baseline: JobCounts) {
        let key = ZoneClass { zone: zone.to_owned(), class: class.to_owned() };
        let window = BaselineWindow { jobs: baseline.jobs, failures: baseline.all_failures() };
        self.baseline.insert(key, window);
        if canary.jobs == 0 {
            return;
        }
        for failure in FailureKind::ALL {
            let key = ClassFailure { class: class.to_owned(), failure };
            let split = FailureSplit {
                canary_jobs: canary.jobs,
                baseline_jobs: baseline.jobs,
                canary_failures: canary.failures(failure),
                all_failures: canary.failures(failure) + baseline.failures(failure),
            };
            self.evidence.entry(key).or_default().add(&split, &self.settings);
        }
    }

    /// Returns the verdict on all windows so far. The error rates of the settings hold for a caller that reads it after
    /// each window, and for all classes and kinds of failure together.
    pub fn verdict(&self) -> Verdict {
        let tests = self.evidence.len().max(1) as f64;
        let regression_bound = (tests / self.settings.false_positive_rate).ln();
        let regressed =
            self.evidence.iter().find(|(_, evidence)| evidence.ln_regression() > regression_bound);
        if let Some((ClassFailure { class, failure }, _)) = regressed {
            return Verdict::Regressed { class: class.clone(), failure: *failure };
        }
        // Every class must pass by itself, so the error rate needs no correction for the number of classes.
        let pass_bound = (1.0 / self.settings.false_negative_rate).ln();
        let passes = |evidence: &Evidence| evidence.ln_no_regression() > pass_bound;
        if !self.evidence.is_empty() && self.evidence.values().all(passes) {
            Verdict::Passed
        } else {
            Verdict::Inconclusive
        }
    }

    /// Returns whether the baseline fails so often that a release should pause, whatever the cause.
    pub fn should_pause(&self) -> bool {
        let jobs: u64 = self.baseline.values().map(|window| window.jobs).sum();
        let failures: u64 = self.baseline.values().map(|window| window.failures).sum();
        jobs > 0 && failures as f64 > self.settings.pause_above * jobs as f64
    }
}
