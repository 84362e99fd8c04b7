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
const ODDS: [f64; 4] = [1.5, 2.0, 4.0, 16.0];
/// A side that does as well as this part of what is tolerated is quickly called good.
const WELL: f64 = 0.25;

/// What is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Measure {
    /// Jobs that were refused.
    Refused,
    /// Jobs that failed, or were lost.
    Failed,
    /// Jobs that were served later than was promised.
    Late,
}

/// Error rates and bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judging {
    /// The probability that a version that is no worse is ever called bad.
    pub false_halt: f64,
    /// The probability that a version that is as bad as this is ever called good.
    pub missed: f64,
    /// So bad is one whose odds of going wrong are so many times the old one's.
    pub worse: f64,
    /// So good is one of whose jobs no larger share goes wrong, whatever the old one's does.
    pub tolerated: f64,
    /// A release pauses while more than this share goes wrong on the old side.
    pub pause_above: f64,
}

impl Default for Judging {
    fn default() -> Judging {
        Judging { false_halt: 0.02, missed: 0.02, worse: 2.0, tolerated: 0.05, pause_above: 0.2 }
    }
}

/// The jobs of one side, of one class, in one window and zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// All of them.
    pub jobs: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were served late.
    pub late: u64,
}

impl Counts {
    fn wrong(&self, measure: Measure) -> u64 {
        let wrong = match measure {
            Measure::Refused => self.refused,
            Measure::Failed => self.failed,
            Measure::Late => self.late,
        };
        wrong.min(self.jobs)
    }
}

/// What the judge says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// There was too little to tell.
    NotYet,
    /// No class does worse.
    Good,
    /// This class does worse, by this measure.
    Bad(String, Measure),
}

/// Logarithms of products of likelihood ratios.
#[derive(Debug, Clone, Default)]
struct Evidence {
    /// That the new side is worse, for each of [`ODDS`].
    bad: [f64; ODDS.len()],
    /// That it is not, given what the old side did; and by its own share.
    good: f64,
    within: f64,
}

/// The judge of one wave.
#[derive(Debug, Clone)]
pub struct Judge {
    how: Judging,
    evidence: BTreeMap<(String, Measure), Evidence>,
    /// Jobs of the old side in the last window of each zone and class, and those that went wrong.
    shared: BTreeMap<(String, String), (u64, u64)>,
}

/// The logarithm of a mean of values that are given by theirs.
fn ln_mean(logs: &[f64]) -> f64 {
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - most).exp()).sum();
    most + (sum / logs.len() as f64).ln()
}

/// The logarithm of how probable it is that `k` of `wrong` jobs that went wrong are of the `new` side's, with `old` on
/// the other, where its odds are so many times the other's.
fn ln_share(k: u64, wrong: u64, (new, old): (u64, u64), odds: f64) -> f64 {
    let weight = |k: u64| ln_binomial(new, k) + ln_binomial(old, wrong - k) + k as f64 * odds.ln();
    let all: Vec<f64> = (wrong.saturating_sub(old)..=wrong.min(new)).map(weight).collect();
    weight(k) - (ln_mean(&all) + (all.len() as f64).ln())
}

impl Judge {
    /// Nothing was seen yet.
    pub fn new(how: Judging) -> Judge {
        Judge { how, evidence: BTreeMap::new(), shared: BTreeMap::new() }
    }

    /// What both sides did in one window, in one zone, of one class.
    pub fn window(&mut self, zone: &str, class: &str, new: Counts, old: Counts) {
        let wrong = old.refused + old.failed + old.late;
        self.shared.insert((zone.to_owned(), class.to_owned()), (old.jobs, wrong.min(old.jobs)));
        if new.jobs == 0 {
            return;
        }
        for measure in [Measure::Refused, Measure::Failed, Measure::Late] {
            let evidence = self.evidence.entry((class.to_owned(), measure)).or_default();
            let (k, both) = (new.wrong(measure), new.wrong(measure) + old.wrong(measure));
            let share = |odds| ln_share(k, both, (new.jobs, old.jobs), odds);
            let equal = share(1.0);
            for (bad, odds) in evidence.bad.iter_mut().zip(ODDS) {
                *bad += share(odds) - equal;
            }
            evidence.good += equal - share(self.how.worse);
            let (most, well) = (self.how.tolerated, self.how.tolerated * WELL);
            let right = (new.jobs - k) as f64;
            evidence.within += k as f64 * (well / most).ln() + right * ((1.0 - well) / (1.0 - most)).ln();
        }
    }

    /// What can be said by now. Whoever asks after each window is told something wrong no more often than stated: the
    /// error rate is shared out over classes and measures.
    pub fn verdict(&self) -> Verdict {
        let parts = self.evidence.len().max(1) as f64;
        let bad = |evidence: &Evidence| ln_mean(&evidence.bad) > (parts / self.how.false_halt).ln();
        if let Some(((class, measure), _)) = self.evidence.iter().find(|(_, evidence)| bad(evidence)) {
            return Verdict::Bad(class.clone(), *measure);
        }
        // Each class has to be good, so that one that is bad gets by no more often than it alone would.
        let good =
            |evidence: &Evidence| ln_mean(&[evidence.good, evidence.within]) > (1.0 / self.how.missed).ln();
        match !self.evidence.is_empty() && self.evidence.values().all(good) {
            true => Verdict::Good,
            false => Verdict::NotYet,
        }
    }

    /// Whether so much goes wrong on the old side that no step is to be taken now, whoever is to blame.
    pub fn pauses(&self) -> bool {
        let (jobs, wrong) = self.shared.values().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        jobs > 0 && wrong as f64 > self.how.pause_above * jobs as f64
    }
}
