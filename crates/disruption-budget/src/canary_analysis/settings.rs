//! Settings of a canary analysis.

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
