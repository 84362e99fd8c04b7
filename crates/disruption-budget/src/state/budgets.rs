//! Budgets and the disruptions that count against them.

use std::collections::{BTreeMap, BTreeSet};

use super::{DisruptionState, TargetRecord};
use crate::budget::THOUSANDTHS_PER_TARGET;
use crate::limits::{check_text_length, MAX_BUDGETS};
use crate::{
    Availability, Budget, BudgetScope, DisruptionOutcome, InjectedBug, PermitId, PermitState, Rejection,
    Target,
};

/// Unavailable targets of a group. All sums but the number of targets are in thousandths of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DisruptionTotals {
    /// Number of targets in the group.
    pub targets: u64,
    /// Unavailable because of a permit that is granted or begun.
    pub planned: u64,
    /// Unavailable without such a permit.
    pub unplanned: u64,
}

/// Usage of a budget in one of its groups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetUsage<'a> {
    /// The budget.
    pub budget: &'a Budget,
    /// Zone or pool of the group; empty if the budget has one group for the fleet.
    pub group: String,
    /// Unavailable targets of the group.
    pub totals: DisruptionTotals,
}

/// Unavailable part of one target, in thousandths.
#[derive(Debug, Clone, Copy)]
struct Disruption {
    planned: u64,
    unplanned: u64,
}

impl TargetRecord {
    /// Returns the unavailable part of the target. A target with an active permit is counted only as planned, whatever
    /// its availability.
    fn disruption(&self, has_active_permit: bool) -> Disruption {
        if has_active_permit {
            return Disruption { planned: THOUSANDTHS_PER_TARGET, unplanned: 0 };
        }
        let unplanned = match self.availability {
            Availability::Available => 0,
            Availability::Unavailable => THOUSANDTHS_PER_TARGET,
            Availability::WarmingUp(capacity) => THOUSANDTHS_PER_TARGET.saturating_sub(u64::from(capacity)),
        };
        Disruption { planned: 0, unplanned }
    }
}

impl Budget {
    /// Returns whether the budget selects this target, which must be of the budget's kind.
    fn selects(&self, record: &TargetRecord) -> bool {
        match &self.scope {
            BudgetScope::Fleet | BudgetScope::EachZone | BudgetScope::EachPool => true,
            BudgetScope::Zone(zone) => record.zone == *zone,
            BudgetScope::Pool(pool) => record.pool == *pool,
        }
    }

    /// Returns the group in which the budget counts this target, which must be of the budget's kind.
    fn group_of<'a>(&self, record: &'a TargetRecord) -> &'a str {
        match self.scope {
            BudgetScope::Fleet => "",
            BudgetScope::EachZone | BudgetScope::Zone(_) => &record.zone,
            BudgetScope::EachPool | BudgetScope::Pool(_) => &record.pool,
        }
    }
}

impl DisruptionState {
    /// Replaces the budgets. Grants that exceed the new budgets are revoked by the next observation.
    pub(super) fn set_budgets(
        &mut self,
        index: u64,
        expected_version: u64,
        budgets: &[Budget],
    ) -> Result<DisruptionOutcome, Rejection> {
        if expected_version != self.budgets_version {
            return Err(Rejection::VersionConflict { version: self.budgets_version });
        }
        if budgets.len() > MAX_BUDGETS {
            return Err(Rejection::LimitExceeded(format!("more than {MAX_BUDGETS} budgets")));
        }
        budgets.iter().try_for_each(|budget| check_text_length(&[&budget.name]))?;
        for budget in budgets {
            budget.validate().map_err(|error| Rejection::InvalidBudget {
                name: budget.name.clone(),
                reason: error.to_string(),
            })?;
        }
        self.budgets_version = index;
        self.budgets = budgets.to_vec();
        Ok(DisruptionOutcome::Applied)
    }

    /// Returns the usage of each budget, in each of its groups.
    pub fn budget_usage(&self) -> Vec<BudgetUsage<'_>> {
        let planned_targets = self.planned_targets();
        let mut usage = Vec::new();
        for budget in &self.budgets {
            let of_kind = self.targets.iter().filter(|(target, _)| target.kind == budget.kind);
            let selected = of_kind.filter(|(_, record)| budget.selects(record));
            let mut groups: BTreeMap<&str, DisruptionTotals> = BTreeMap::new();
            for (target, record) in selected {
                let totals = groups.entry(budget.group_of(record)).or_default();
                totals.add(record.disruption(planned_targets.contains(target)));
            }
            for (group, totals) in groups {
                usage.push(BudgetUsage { budget, group: group.to_owned(), totals });
            }
        }
        usage
    }

    /// Returns the first budget that prevents the grant of a waiting permit; `None` if no budget does, or the permit
    /// does not wait.
    pub fn blocking_budget(&self, id: PermitId) -> Option<&Budget> {
        let permit = self.permits.get(&id).filter(|permit| permit.state == PermitState::Waiting)?;
        self.budget_exceeded_by_disruption(&permit.target)
    }

    /// Returns whether a target is registered and none of its budgets is exceeded now.
    pub(super) fn is_within_budgets(&self, target: &Target) -> bool {
        let Some(record) = self.targets.get(target) else { return false };
        self.exceeded_budget(target, record, 0).is_none()
    }

    /// Returns whether a target is registered and its budgets allow it to become unavailable.
    pub(super) fn allows_disruption(&self, target: &Target) -> bool {
        self.targets.contains_key(target) && self.budget_exceeded_by_disruption(target).is_none()
    }

    fn budget_exceeded_by_disruption(&self, target: &Target) -> Option<&Budget> {
        let record = self.targets.get(target)?;
        let has_active_permit = self.active_permits().any(|permit| permit.target == *target);
        let current = record.disruption(has_active_permit);
        let additional = THOUSANDTHS_PER_TARGET - current.planned - current.unplanned;
        self.exceeded_budget(target, record, additional)
    }

    /// Returns the first budget that selects a target and does not allow `additional` thousandths on top of the current
    /// disruptions.
    fn exceeded_budget(&self, target: &Target, record: &TargetRecord, additional: u64) -> Option<&Budget> {
        let planned_targets = self.planned_targets();
        let of_kind = self.budgets.iter().filter(|budget| budget.kind == target.kind);
        let mut selecting = of_kind.filter(|budget| budget.selects(record));
        selecting.find(|budget| {
            let totals = self.group_totals(budget, budget.group_of(record), &planned_targets);
            let unplanned = if self.has_bug(InjectedBug::PlannedOnly) { 0 } else { totals.unplanned };
            !budget.allows(totals.planned + unplanned + additional, totals.targets)
        })
    }

    /// Returns the unavailable targets of a group of a budget.
    fn group_totals(
        &self,
        budget: &Budget,
        group: &str,
        planned_targets: &BTreeSet<&Target>,
    ) -> DisruptionTotals {
        let mut totals = DisruptionTotals::default();
        for (target, record) in &self.targets {
            if target.kind == budget.kind && budget.group_of(record) == group {
                totals.add(record.disruption(planned_targets.contains(target)));
            }
        }
        totals
    }

    /// Returns the targets of permits that are granted or begun.
    fn planned_targets(&self) -> BTreeSet<&Target> {
        self.active_permits().map(|permit| &permit.target).collect()
    }
}

impl DisruptionTotals {
    fn add(&mut self, disruption: Disruption) {
        self.targets += 1;
        self.planned += disruption.planned;
        self.unplanned += disruption.unplanned;
    }
}
