//! Disruption budgets, their validation, and the check whether one is exceeded.

use serde::{Deserialize, Serialize};

use crate::TargetKind;

/// Thousandths of one target. A target that warms up counts as unavailable by the capacity that it lacks.
pub(crate) const THOUSANDTHS_PER_TARGET: u64 = 1_000;

/// Settings key of [`Budget::max_unavailable`].
const MAX_UNAVAILABLE_KEY: &str = "most_out";
/// Settings key of [`Budget::min_available`].
const MIN_AVAILABLE_KEY: &str = "least_in";

/// The targets that a budget selects, and how they are grouped. The order of variants is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetScope {
    /// All targets of the kind, in one group.
    Fleet,
    /// All targets of the kind, grouped by zone.
    EachZone,
    /// The targets of one zone.
    Zone(String),
    /// All targets of the kind, grouped by pool.
    EachPool,
    /// The targets of one pool.
    Pool(String),
}

/// A number of targets, or a percentage of a group. The order of variants is part of the stored format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Amount {
    /// A number of targets.
    Count(u32),
    /// A percentage of the group.
    Percent(u32),
}

impl Amount {
    /// Returns the amount for a group of `targets`, rounded down to complete targets, in thousandths of a target.
    fn rounded_down(self, targets: u64) -> u64 {
        let complete_targets = match self {
            Amount::Count(count) => u64::from(count),
            Amount::Percent(percent) => targets * u64::from(percent) / 100,
        };
        complete_targets * THOUSANDTHS_PER_TARGET
    }

    /// Returns the amount for a group of `targets`, rounded up to complete targets, in thousandths of a target.
    fn rounded_up(self, targets: u64) -> u64 {
        let complete_targets = match self {
            Amount::Count(count) => u64::from(count),
            Amount::Percent(percent) => (targets * u64::from(percent)).div_ceil(100),
        };
        complete_targets * THOUSANDTHS_PER_TARGET
    }
}

/// A bound on the targets that are unavailable at once. The order of fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// Name, unique among budgets.
    pub name: String,
    /// Kind of the selected targets.
    pub kind: TargetKind,
    /// Selection and grouping of the targets of that kind.
    pub scope: BudgetScope,
    /// Maximum that may be unavailable in a group, rounded down to complete targets.
    pub max_unavailable: Option<Amount>,
    /// Minimum that must be available in a group, rounded up to complete targets.
    pub min_available: Option<Amount>,
}

/// Error for an invalid budget.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct BudgetError {
    /// Settings key of the invalid bound: `most_out` or `least_in`.
    pub key: &'static str,
    /// Problem with the value.
    pub problem: BudgetProblem,
}

/// Problem with a bound of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BudgetProblem {
    /// No target may ever be unavailable.
    #[error("0 never allows a disruption")]
    NoneUnavailable,
    /// All targets may be unavailable at once.
    #[error("100 % or more allows the last target to be unavailable")]
    AllUnavailable,
    /// All targets must always be available.
    #[error("100 % or more never allows a disruption")]
    AllAvailable,
    /// No target needs to be available.
    #[error("0 allows the last target to be unavailable")]
    NoneAvailable,
    /// Neither bound is set.
    #[error("a budget needs most_out or least_in")]
    Unbounded,
    /// The percentage of a group rounds down to no target.
    #[error("in a group of {targets}, it rounds down to none")]
    RoundsToNone {
        /// Number of targets in the group.
        targets: u64,
    },
    /// All targets of a group must be available.
    #[error("in a group of {targets}, it never allows a disruption")]
    NoneDisruptable {
        /// Number of targets in the group.
        targets: u64,
    },
}

impl BudgetError {
    fn max_unavailable(problem: BudgetProblem) -> BudgetError {
        BudgetError { key: MAX_UNAVAILABLE_KEY, problem }
    }

    fn min_available(problem: BudgetProblem) -> BudgetError {
        BudgetError { key: MIN_AVAILABLE_KEY, problem }
    }
}

impl Budget {
    /// Checks that the budget allows a disruption in a large enough group, but never that of the last available target.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetError`] if a bound allows no disruption or allows that of all targets, or if no bound is set.
    pub fn validate(&self) -> Result<(), BudgetError> {
        match self.max_unavailable {
            Some(Amount::Count(0) | Amount::Percent(0)) => {
                return Err(BudgetError::max_unavailable(BudgetProblem::NoneUnavailable));
            }
            Some(Amount::Percent(100..)) if self.min_available.is_none() => {
                return Err(BudgetError::max_unavailable(BudgetProblem::AllUnavailable));
            }
            _ => {}
        }
        match self.min_available {
            Some(Amount::Percent(100..)) => Err(BudgetError::min_available(BudgetProblem::AllAvailable)),
            Some(Amount::Count(0) | Amount::Percent(0)) => {
                Err(BudgetError::min_available(BudgetProblem::NoneAvailable))
            }
            None if self.max_unavailable.is_none() => {
                Err(BudgetError::max_unavailable(BudgetProblem::Unbounded))
            }
            _ => Ok(()),
        }
    }

    /// Checks that a group of `targets` allows a disruption while all others are available.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetError`] with the bound that never allows a disruption in a group of this size.
    pub fn validate_for(&self, targets: u64) -> Result<(), BudgetError> {
        if self.max_unavailable.is_some_and(|max| max.rounded_down(targets) < THOUSANDTHS_PER_TARGET) {
            return Err(BudgetError::max_unavailable(BudgetProblem::RoundsToNone { targets }));
        }
        let available_after_one = (targets * THOUSANDTHS_PER_TARGET).checked_sub(THOUSANDTHS_PER_TARGET);
        if available_after_one.is_none_or(|available| available < self.required_available(targets)) {
            return Err(BudgetError::min_available(BudgetProblem::NoneDisruptable { targets }));
        }
        Ok(())
    }

    /// Returns whether `unavailable` thousandths of a target may be unavailable in a group of `targets`. At least one
    /// target must be available under every budget.
    pub(crate) fn allows(&self, unavailable: u64, targets: u64) -> bool {
        let available = (targets * THOUSANDTHS_PER_TARGET).saturating_sub(unavailable);
        self.max_unavailable.is_none_or(|max| unavailable <= max.rounded_down(targets))
            && available >= self.required_available(targets)
    }

    /// Returns the thousandths of a target that must be available in a group of `targets`.
    fn required_available(&self, targets: u64) -> u64 {
        let required = self.min_available.map_or(0, |min| min.rounded_up(targets));
        required.max(THOUSANDTHS_PER_TARGET)
    }
}
