//! Evidence for and against a regression: likelihood ratios of the failures of the canary and the baseline.

use statrs::function::factorial::ln_binomial;

use super::settings::AnalysisSettings;

/// Odds ratios, canary against baseline, that the test can detect.
const TESTED_ODDS_RATIOS: [f64; 4] = [1.5, 2.0, 4.0, 16.0];
/// Fraction of the acceptable failure share at which a canary passes quickly.
const CLEARLY_GOOD_FRACTION: f64 = 0.25;

/// Logarithms of products of likelihood ratios, for one class and kind of failure.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    /// Evidence that the canary is worse, for each of [`TESTED_ODDS_RATIOS`].
    regression: [f64; TESTED_ODDS_RATIOS.len()],
    /// Evidence that the canary is not harmful compared with the baseline.
    no_regression: f64,
    /// Evidence that the canary's own failure share is acceptable.
    acceptable: f64,
}

impl Evidence {
    /// Adds the evidence of one window.
    pub(super) fn add(&mut self, split: &FailureSplit, settings: &AnalysisSettings) {
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

    /// Returns the logarithm of the evidence that the canary is worse.
    pub(super) fn ln_regression(&self) -> f64 {
        ln_mean(&self.regression)
    }

    /// Returns the logarithm of the evidence that the canary is good.
    pub(super) fn ln_no_regression(&self) -> f64 {
        ln_mean(&[self.no_regression, self.acceptable])
    }
}

/// Jobs and failures of the canary and the baseline in one window.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailureSplit {
    pub(super) canary_jobs: u64,
    pub(super) baseline_jobs: u64,
    pub(super) canary_failures: u64,
    pub(super) all_failures: u64,
}

impl FailureSplit {
    /// Returns the logarithm of the probability of the split, given the numbers of jobs and of all failures, if the
    /// odds of a failure on the canary are `odds_ratio` times the baseline's.
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
