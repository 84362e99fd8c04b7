//! How many of some targets may be out at once, and how many have to be in.

use serde::{Deserialize, Serialize};

use crate::TargetKind;

/// What a budget covers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetScope {
    /// All targets of the kind.
    Fleet,
    /// Those of each zone, counted by zone.
    EachZone,
    /// Those of one zone.
    Zone(String),
    /// Those of each pool, counted by pool.
    EachPool,
    /// Those of one pool.
    Pool(String),
}

/// A number, or a part of those that there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Amount {
    /// So many.
    Count(u32),
    /// So many of a hundred.
    Percent(u32),
}

impl Amount {
    /// In thousandths of a target, rounded down to whole targets.
    fn rounded_down(self, of: u64) -> u64 {
        match self {
            Amount::Count(count) => u64::from(count) * 1_000,
            Amount::Percent(percent) => of * u64::from(percent) / 100 * 1_000,
        }
    }

    /// In thousandths of a target, rounded up to whole targets.
    fn rounded_up(self, of: u64) -> u64 {
        match self {
            Amount::Count(count) => u64::from(count) * 1_000,
            Amount::Percent(percent) => (of * u64::from(percent)).div_ceil(100) * 1_000,
        }
    }
}

/// A bound on who is out at once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// Its name.
    pub name: String,
    /// Targets of which kind.
    pub kind: TargetKind,
    /// Which of them.
    pub scope: BudgetScope,
    /// The most that may be out, rounded down to whole targets.
    pub max_unavailable: Option<Amount>,
    /// The least that has to be in, rounded up to whole targets.
    pub min_available: Option<Amount>,
}

/// What is wrong with a budget: the key, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetError {
    /// `max_unavailable` or `min_available`.
    pub key: &'static str,
    /// Why.
    pub reason: String,
}

impl std::fmt::Display for BudgetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for BudgetError {}

impl Budget {
    /// Whether it makes sense whatever there is: it can be met, and it does not let the last one go.
    ///
    /// # Errors
    /// It does not.
    pub fn validate(&self) -> Result<(), BudgetError> {
        let fault = |key, reason: &str| Err(BudgetError { key, reason: reason.to_owned() });
        match self.max_unavailable {
            Some(Amount::Count(0) | Amount::Percent(0)) => {
                return fault("most_out", "0 can never be met: nothing could ever be taken out")
            }
            Some(Amount::Percent(100..)) if self.min_available.is_none() => {
                return fault("most_out", "100 % or more lets the last one go")
            }
            _ => {}
        }
        match self.min_available {
            Some(Amount::Percent(100..)) => {
                fault("least_in", "100 % or more can never be met: nothing could ever be taken out")
            }
            Some(Amount::Count(0) | Amount::Percent(0)) => fault("least_in", "0 lets the last one go"),
            None if self.max_unavailable.is_none() => {
                fault("most_out", "a budget needs most_out or least_in")
            }
            _ => Ok(()),
        }
    }

    /// Whether it can be met by so many targets: one of them may be taken out while all others are in.
    ///
    /// # Errors
    /// It cannot.
    pub fn validate_for(&self, targets: u64) -> Result<(), BudgetError> {
        if self.max_unavailable.is_some_and(|most| most.rounded_down(targets) < 1_000) {
            let reason = format!("of {targets} it is none, rounded down: nothing could ever be taken out");
            return Err(BudgetError { key: "most_out", reason });
        }
        let least = self.min_available.map_or(1_000, |least| least.rounded_up(targets).max(1_000));
        match least + 1_000 > targets * 1_000 {
            true => {
                let reason = format!("of {targets} nothing could ever be taken out");
                Err(BudgetError { key: "least_in", reason })
            }
            false => Ok(()),
        }
    }

    /// Whether so much may be out of so many targets, in thousandths. One has to be in whatever it says.
    pub(crate) fn allows(&self, out: u64, targets: u64) -> bool {
        let inside = (targets * 1_000).saturating_sub(out);
        let least = self.min_available.map_or(1_000, |least| least.rounded_up(targets).max(1_000));
        self.max_unavailable.is_none_or(|most| out <= most.rounded_down(targets)) && inside >= least
    }
}
