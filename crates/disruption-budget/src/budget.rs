//! Disruption budgets and the arithmetic that decides whether one is exceeded.

use serde::{Deserialize, Serialize};

use crate::TargetKind;

/// One whole target, in the unit of sums: a target that warms up is unavailable by what it lacks.
pub(crate) const WHOLE_TARGET_THOUSANDTHS: u64 = 1_000;

/// The settings key of [`Budget::max_unavailable`].
const MAX_UNAVAILABLE_KEY: &str = "most_out";
/// The settings key of [`Budget::min_available`].
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
    /// So many targets.
    Count(u32),
    /// So many of a hundred.
    Percent(u32),
}

impl Amount {
    /// The amount of a group of `targets`, rounded down to whole targets, in thousandths of a target.
    fn rounded_down(self, targets: u64) -> u64 {
        let whole = match self {
            Amount::Count(count) => u64::from(count),
            Amount::Percent(percent) => targets * u64::from(percent) / 100,
        };
        whole * WHOLE_TARGET_THOUSANDTHS
    }

    /// The amount of a group of `targets`, rounded up to whole targets, in thousandths of a target.
    fn rounded_up(self, targets: u64) -> u64 {
        let whole = match self {
            Amount::Count(count) => u64::from(count),
            Amount::Percent(percent) => (targets * u64::from(percent)).div_ceil(100),
        };
        whole * WHOLE_TARGET_THOUSANDTHS
    }
}

/// A bound on the targets that are unavailable at once. The order of fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// Its name, unique among budgets.
    pub name: String,
    /// The kind of targets that it selects.
    pub kind: TargetKind,
    /// Which of them it selects, and how they are grouped.
    pub scope: BudgetScope,
    /// The most that may be unavailable in a group, rounded down to whole targets.
    pub max_unavailable: Option<Amount>,
    /// The least that must be available in a group, rounded up to whole targets.
    pub min_available: Option<Amount>,
}

/// What is wrong with a budget.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct BudgetError {
    /// The settings key at fault: `most_out` or `least_in`.
    pub key: &'static str,
    /// What is wrong with its value.
    pub problem: BudgetProblem,
}

/// What is wrong with a budget's bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BudgetProblem {
    /// No target may ever be unavailable.
    #[error("0 can never be met: nothing could ever be taken out")]
    NoneUnavailable,
    /// All targets may be unavailable at once.
    #[error("100 % or more allows the last target to be unavailable")]
    AllUnavailable,
    /// All targets must always be available.
    #[error("100 % or more can never be met: nothing could ever be taken out")]
    AllAvailable,
    /// No target has to be available.
    #[error("0 allows the last target to be unavailable")]
    NoneAvailable,
    /// Neither bound is set.
    #[error("a budget needs most_out or least_in")]
    Unbounded,
    /// The percentage of a group rounds down to no target.
    #[error("in a group of {targets}, it rounds down to none")]
    RoundsToNone {
        /// The targets of the group.
        targets: u64,
    },
    /// All targets of a group must be available.
    #[error("in a group of {targets}, it never allows a disruption")]
    NoneDisruptable {
        /// The targets of the group.
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
    /// Checks that the budget makes sense for some group: it allows a disruption, and not that of the last target.
    ///
    /// # Errors
    ///
    /// The bound at fault, where it allows none or all, or no bound is set.
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
    /// The bound that never allows one in a group of this size.
    pub fn validate_for(&self, targets: u64) -> Result<(), BudgetError> {
        if self.max_unavailable.is_some_and(|max| max.rounded_down(targets) < WHOLE_TARGET_THOUSANDTHS) {
            return Err(BudgetError::max_unavailable(BudgetProblem::RoundsToNone { targets }));
        }
        let available_after_one = (targets * WHOLE_TARGET_THOUSANDTHS).checked_sub(WHOLE_TARGET_THOUSANDTHS);
        if available_after_one.is_none_or(|available| available < self.required_available(targets)) {
            return Err(BudgetError::min_available(BudgetProblem::NoneDisruptable { targets }));
        }
        Ok(())
    }

    /// Whether `unavailable` thousandths of a target may be unavailable in a group of `targets`. One target must be
    /// available whatever the budget says.
    pub(crate) fn allows(&self, unavailable: u64, targets: u64) -> bool {
        let available = (targets * WHOLE_TARGET_THOUSANDTHS).saturating_sub(unavailable);
        self.max_unavailable.is_none_or(|max| unavailable <= max.rounded_down(targets))
            && available >= self.required_available(targets)
    }

    /// The thousandths of a target that must be available in a group of `targets`.
    fn required_available(&self, targets: u64) -> u64 {
        let required = self.min_available.map_or(0, |min| min.rounded_up(targets));
        required.max(WHOLE_TARGET_THOUSANDTHS)
    }
}
