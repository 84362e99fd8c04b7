//! Whether a new version does worse than the old one beside it, at the same time, in the same zone, by class: a
//! sequential test whose error rates hold however often it is looked at.
//!
//! In each window both sides had so many jobs, and so many of all of them went wrong. Given these sums, which of the
//! jobs that went wrong were the new side's is a matter of chance where both do equally well, whatever made them go
//! wrong: the count is hypergeometric. So a loss that both sides share says nothing against the new one. Where the odds
//! of going wrong are higher on the new side, the count follows Fisher's noncentral hypergeometric law. The product of
//! the ratios of the two, over windows, zones and a few odds, is a test martingale: that it ever exceeds `1 / a` has a
//! probability of at most `a` where the new side is no worse (Ville's inequality). The same the other way round, and by
//! the new side's own share against what is tolerated, says that it is good.

use std::collections::BTreeMap;

use statrs::function::factorial::ln_binomial;

/// Odds of going wrong on the new side, against the old one's, that are looked for.
const TESTED_ODDS_RATIOS: [f64; 4] = [1.5, 2.0, 4.0, 16.0];
/// A side that does as well as this part of what is tolerated is quickly called good.
const CLEARLY_GOOD_FRACTION: f64 = 0.25;

/// What is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// Jobs that were refused.
    Rejected,
    /// Jobs that failed, or were lost.
    Failed,
    /// Jobs that were served later than was promised.
    Late,
}

/// Error rates and bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnalysisSettings {
    /// The probability that a version that is no worse is ever called bad.
    pub false_positive_rate: f64,
    /// The probability that a version that is as bad as this is ever called good.
    pub false_negative_rate: f64,
    /// So bad is one whose odds of going wrong are so many times the old one's.
    pub harmful_odds_ratio: f64,
    /// So good is one of whose jobs no larger share goes wrong, whatever the old one's does.
    pub acceptable_failure_share: f64,
    /// A release pauses while more than this share goes wrong on the old side.
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

/// The jobs of one side, of one class, in one window and zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// All of them.
    pub jobs: u64,
    /// Those that were refused.
    pub rejected: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were served late.
    pub late: u64,
}

impl JobCounts {
    fn failures(&self, failure_kind: FailureKind) -> u64 {
        let wrong = match failure_kind {
            FailureKind::Rejected => self.rejected,
            FailureKind::Failed => self.failed,
            FailureKind::Late => self.late,
        };
        wrong.min(self.jobs)
    }
}

/// What the judge says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// There was too little to tell.
    Inconclusive,
    /// No class does worse.
    Passed,
    /// This class does worse, by this measure.
    Regressed(String, FailureKind),
}

/// Logarithms of products of likelihood ratios.
#[derive(Debug, Clone, Default)]
struct Evidence {
    /// That the new side is worse, for each of [`TESTED_ODDS_RATIOS`].
    regression: [f64; TESTED_ODDS_RATIOS.len()],
    /// That it is not, given what the old side did; and by its own share.
    no_regression: f64,
    acceptable: f64,
}

/// The judge of one wave.
#[derive(Debug, Clone)]
pub struct CanaryAnalysis {
    settings: AnalysisSettings,
    evidence: BTreeMap<(String, FailureKind), Evidence>,
    /// Jobs of the old side in the last window of each zone and class, and those that went wrong.
    baseline: BTreeMap<(String, String), (u64, u64)>,
}

/// The logarithm of a mean of values that are given by theirs.
fn ln_mean(logs: &[f64]) -> f64 {
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - most).exp()).sum();
    most + (sum / logs.len() as f64).ln()
}

/// The logarithm of how probable it is that `k` of `wrong` jobs that went wrong are of the `new` side's, with `old` on
/// the other, where its odds are so many times the other's.
fn ln_probability(k: u64, wrong: u64, (canary, baseline): (u64, u64), odds: f64) -> f64 {
    let weight = |k: u64| ln_binomial(canary, k) + ln_binomial(baseline, wrong - k) + k as f64 * odds.ln();
    let all: Vec<f64> = (wrong.saturating_sub(baseline)..=wrong.min(canary)).map(weight).collect();
    weight(k) - (ln_mean(&all) + (all.len() as f64).ln())
}

impl CanaryAnalysis {
    /// Nothing was seen yet.
    pub fn new(settings: AnalysisSettings) -> CanaryAnalysis {
        CanaryAnalysis { settings, evidence: BTreeMap::new(), baseline: BTreeMap::new() }
    }

    /// What both sides did in one window, in one zone, of one class.
    pub fn record_window(&mut self, zone: &str, class: &str, canary: JobCounts, baseline: JobCounts) {
        let wrong = baseline.rejected + baseline.failed + baseline.late;
        self.baseline.insert((zone.to_owned(), class.to_owned()), (baseline.jobs, wrong.min(baseline.jobs)));
        if canary.jobs == 0 {
            return;
        }
        for failure_kind in [FailureKind::Rejected, FailureKind::Failed, FailureKind::Late] {
            let evidence = self.evidence.entry((class.to_owned(), failure_kind)).or_default();
            let (k, both) = (
                canary.failures(failure_kind),
                canary.failures(failure_kind) + baseline.failures(failure_kind),
            );
            let share = |odds| ln_probability(k, both, (canary.jobs, baseline.jobs), odds);
            let equal = share(1.0);
            for (bad, odds) in evidence.regression.iter_mut().zip(TESTED_ODDS_RATIOS) {
                *bad += share(odds) - equal;
            }
            evidence.no_regression += equal - share(self.settings.harmful_odds_ratio);
            let (most, well) = (
                self.settings.acceptable_failure_share,
                self.settings.acceptable_failure_share * CLEARLY_GOOD_FRACTION,
            );
            let right = (canary.jobs - k) as f64;
            evidence.acceptable += k as f64 * (well / most).ln() + right * ((1.0 - well) / (1.0 - most)).ln();
        }
    }

    /// What can be said by now. Whoever asks after each window is told something wrong no more often than stated: the
    /// error rate is shared out over classes and measures.
    pub fn verdict(&self) -> Verdict {
        let parts = self.evidence.len().max(1) as f64;
        let bad = |evidence: &Evidence| {
            ln_mean(&evidence.regression) > (parts / self.settings.false_positive_rate).ln()
        };
        if let Some(((class, failure_kind), _)) = self.evidence.iter().find(|(_, evidence)| bad(evidence)) {
            return Verdict::Regressed(class.clone(), *failure_kind);
        }
        // Each class has to be good, so that one that is bad gets by no more often than it alone would.
        let good = |evidence: &Evidence| {
            ln_mean(&[evidence.no_regression, evidence.acceptable])
                > (1.0 / self.settings.false_negative_rate).ln()
        };
        match !self.evidence.is_empty() && self.evidence.values().all(good) {
            true => Verdict::Passed,
            false => Verdict::Inconclusive,
        }
    }

    /// Whether so much goes wrong on the old side that no step is to be taken now, whoever is to blame.
    pub fn should_pause(&self) -> bool {
        let (jobs, wrong) = self.baseline.values().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        jobs > 0 && wrong as f64 > self.settings.pause_above * jobs as f64
    }
}
