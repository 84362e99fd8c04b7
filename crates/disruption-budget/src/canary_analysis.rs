//! Canary analysis: a sequential test, by job class, whether a new version fails more often than the old version that
//! runs at the same time in the same zone. Its error rates hold however often the verdict is read.
//!
//! Each window gives the number of jobs of both sides and the number of all failures. Given these sums, the number of
//! failures on the canary's side is hypergeometric while both versions are equally good, whatever made the jobs fail.
//! So failures that both sides share are no evidence against the canary. If the odds of a failure are higher on the
//! canary's side, the number follows Fisher's noncentral hypergeometric distribution. The product of the likelihood
//! ratios of the two, over windows, zones and several odds ratios, is a test martingale: the probability that it ever
//! exceeds `1 / a` is at most `a` while the canary is no worse (Ville's inequality). The inverse ratio, and the
//! canary's own failure share against an acceptable one, are the evidence that it is good.

use std::collections::BTreeMap;

use statrs::function::factorial::ln_binomial;

/// Odds ratios, canary against baseline, that the test can detect.
const TESTED_ODDS_RATIOS: [f64; 4] = [1.5, 2.0, 4.0, 16.0];
/// A canary whose failure share is this fraction of the acceptable one passes quickly.
const CLEARLY_GOOD_FRACTION: f64 = 0.25;

/// Kind of failure of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// Rejected.
    Rejected,
    /// Failed or lost.
    Failed,
    /// Served later than its latency objective allows.
    Late,
}

impl FailureKind {
    const ALL: [FailureKind; 3] = [FailureKind::Rejected, FailureKind::Failed, FailureKind::Late];
}

/// Error rates and bounds of the test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnalysisSettings {
    /// Probability that a canary that is no worse ever fails the test.
    pub false_positive_rate: f64,
    /// Probability that a canary with [`harmful_odds_ratio`](Self::harmful_odds_ratio) ever passes.
    pub false_negative_rate: f64,
    /// Lowest ratio of the odds of a failure, canary against baseline, at which a canary is harmful.
    pub harmful_odds_ratio: f64,
    /// Failure share (0 to 1) up to which a canary is good whatever the baseline does.
    pub acceptable_failure_share: f64,
    /// Failure share of the baseline (0 to 1) above which a release pauses.
    pub pause_above: f64,
}

impl Default for AnalysisSettings {
    fn default() -> AnalysisSettings {
        AnalysisSettings {
            false_positive_rate: 0.02,
            false_negative_rate: 0.02,
            harmful_odds_ratio: 2.0,
            acceptable_failure_share: 0.05,
            pause_above: 0.2,
        }
    }
}

/// Jobs of one side, of one class, in one window and zone.
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
    /// Too little evidence.
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

/// Logarithms of products of likelihood ratios, for one class and kind of failure.
#[derive(Debug, Clone, Default)]
struct Evidence {
    /// That the canary is worse, for each of [`TESTED_ODDS_RATIOS`].
    regression: [f64; TESTED_ODDS_RATIOS.len()],
    /// That the canary is not harmful compared with the baseline.
    no_regression: f64,
    /// That the canary's own failure share is acceptable.
    acceptable: f64,
}

/// Jobs of the baseline in the last window of a zone and class.
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

/// Jobs and failures of both sides in one window.
#[derive(Debug, Clone, Copy)]
struct FailureSplit {
    canary_jobs: u64,
    baseline_jobs: u64,
    canary_failures: u64,
    all_failures: u64,
}

impl FailureSplit {
    /// Returns the logarithm of the probability of the split, given the sums, if the odds of a failure on the canary are
    /// `odds_ratio` times the baseline's.
    fn ln_probability(&self, odds_ratio: f64) -> f64 {
        let ln_weight = |canary_failures: u64| {
            ln_binomial(self.canary_jobs, canary_failures)
                + ln_binomial(self.baseline_jobs, self.all_failures - canary_failures)
                + canary_failures as f64 * odds_ratio.ln()
        };
        let fewest = self.all_failures.saturating_sub(self.baseline_jobs);
        let most = self.all_failures.min(self.canary_jobs);
        let ln_weights: Vec<f64> = (fewest..=most).map(ln_weight).collect();
        ln_weight(self.canary_failures) - (ln_mean(&ln_weights) + (ln_weights.len() as f64).ln())
    }
}

/// Returns the logarithm of the mean of values that are given by their logarithms.
fn ln_mean(logarithms: &[f64]) -> f64 {
    let largest = logarithms.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logarithms.iter().map(|logarithm| (logarithm - largest).exp()).sum();
    largest + (sum / logarithms.len() as f64).ln()
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

    /// Returns the verdict by now. The error rates of the settings hold for a caller that reads it after each window, and
    /// for all classes and kinds of failure together.
    pub fn verdict(&self) -> Verdict {
        let tests = self.evidence.len().max(1) as f64;
        let regression_bound = (tests / self.settings.false_positive_rate).ln();
        let regressed =
            self.evidence.iter().find(|(_, evidence)| ln_mean(&evidence.regression) > regression_bound);
        if let Some((ClassFailure { class, failure }, _)) = regressed {
            return Verdict::Regressed { class: class.clone(), failure: *failure };
        }
        // Every class has to pass by itself, so the error rate needs no correction for their number.
        let pass_bound = (1.0 / self.settings.false_negative_rate).ln();
        let passes =
            |evidence: &Evidence| ln_mean(&[evidence.no_regression, evidence.acceptable]) > pass_bound;
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

impl Evidence {
    fn add(&mut self, split: &FailureSplit, settings: &AnalysisSettings) {
        let equal = split.ln_probability(1.0);
        for (regression, odds_ratio) in self.regression.iter_mut().zip(TESTED_ODDS_RATIOS) {
            *regression += split.ln_probability(odds_ratio) - equal;
        }
        self.no_regression += equal - split.ln_probability(settings.harmful_odds_ratio);
        let acceptable = settings.acceptable_failure_share;
        let clearly_good = acceptable * CLEARLY_GOOD_FRACTION;
        let failures = split.canary_failures as f64;
        let successes = (split.canary_jobs - split.canary_failures) as f64;
        self.acceptable += failures * (clearly_good / acceptable).ln()
            + successes * ((1.0 - clearly_good) / (1.0 - acceptable)).ln();
    }
}
