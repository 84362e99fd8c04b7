//! Budgets and what counts against them.

use std::collections::{BTreeMap, BTreeSet};

use super::{DisruptionState, TargetRecord};
use crate::budget::WHOLE_TARGET_THOUSANDTHS;
use crate::command::{check_text_length, DisruptionOutcome, Rejection, MAX_BUDGETS};
use crate::{Availability, Budget, BudgetScope, InjectedBug, PermitId, PermitState, Target};

/// What is unavailable in a group of targets. All but the number of targets is in thousandths of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DisruptionTotals {
    /// The number of targets.
    pub targets: u64,
    /// Unavailable by a permit that is granted or begun.
    pub planned: u64,
    /// Unavailable without one.
    pub unplanned: u64,
}

/// What counts against a budget in one of its groups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetUsage<'a> {
    /// The budget.
    pub budget: &'a Budget,
    /// The zone or pool of the group; empty where the budget has one group for the fleet.
    pub group: String,
    /// What is unavailable in the group.
    pub totals: DisruptionTotals,
}

/// How much of one target is unavailable, in thousandths.
#[derive(Debug, Clone, Copy)]
struct Disruption {
    planned: u64,
    unplanned: u64,
}

impl TargetRecord {
    /// A target with an active permit counts as unavailable by that permit alone.
    fn disruption(&self, has_active_permit: bool) -> Disruption {
        if has_active_permit {
            return Disruption { planned: WHOLE_TARGET_THOUSANDTHS, unplanned: 0 };
        }
        let unplanned = match self.availability {
            Availability::Available => 0,
            Availability::Unavailable => WHOLE_TARGET_THOUSANDTHS,
            Availability::WarmingUp(capacity) => WHOLE_TARGET_THOUSANDTHS.saturating_sub(u64::from(capacity)),
        };
        Disruption { planned: 0, unplanned }
    }
}

impl Budget {
    /// Whether the budget selects a target of its kind.
    fn selects(&self, record: &TargetRecord) -> bool {
        match &self.scope {
            BudgetScope::Fleet | BudgetScope::EachZone | BudgetScope::EachPool => true,
            BudgetScope::Zone(zone) => record.zone == *zone,
            BudgetScope::Pool(pool) => record.pool == *pool,
        }
    }

    /// The group in which the budget counts a target of its kind.
    fn group_of<'a>(&self, record: &'a TargetRecord) -> &'a str {
        match self.scope {
            BudgetScope::Fleet => "",
            BudgetScope::EachZone | BudgetScope::Zone(_) => &record.zone,
            BudgetScope::EachPool | BudgetScope::Pool(_) => &record.pool,
        }
    }
}

impl DisruptionState {
    /// Replaces the budgets. Permits that do not fit any more are revoked with the next observation.
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

    /// What counts against each budget, in each of its groups.
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
            let in_order = groups.into_iter();
            usage.extend(in_order.map(|(group, totals)| BudgetUsage {
                budget,
                group: group.to_owned(),
                totals,
            }));
        }
        usage
    }

    /// The first budget that does not allow a waiting permit; none where no budget does, or no such permit waits.
    pub fn blocking_budget(&self, id: PermitId) -> Option<&Budget> {
        let permit = self.permits.get(&id).filter(|permit| permit.state == PermitState::Waiting)?;
        self.budget_exceeded_by_disruption(&permit.target)
    }

    /// Whether a target is known and its budgets allow what is unavailable now.
    pub(super) fn is_within_budgets(&self, target: &Target) -> bool {
        let Some(record) = self.targets.get(target) else { return false };
        self.exceeded_budget(target, record, 0).is_none()
    }

    /// Whether a target is known and its budgets allow it to be unavailable as well.
    pub(super) fn allows_disruption(&self, target: &Target) -> bool {
        self.targets.contains_key(target) && self.budget_exceeded_by_disruption(target).is_none()
    }

    fn budget_exceeded_by_disruption(&self, target: &Target) -> Option<&Budget> {
        let record = self.targets.get(target)?;
        let has_active_permit = self.active_permits().any(|permit| permit.target == *target);
        let present = record.disruption(has_active_permit);
        let additional = WHOLE_TARGET_THOUSANDTHS - present.planned - present.unplanned;
        self.exceeded_budget(target, record, additional)
    }

    /// The first budget that selects a target and does not allow `additional` thousandths on top of what is unavailable.
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

    /// What is unavailable in a group of a budget.
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

    /// The targets of permits that are granted or begun.
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
