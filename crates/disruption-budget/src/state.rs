//! The account: who is there and in, which permits are asked for, granted and begun.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Budget, BudgetScope, Target};

/// Targets.
pub const MAX_TARGETS: usize = 4_096;
/// Open permits.
pub const MAX_OPEN_PERMITS: usize = 1_024;
/// Budgets.
pub const MAX_BUDGETS: usize = 64;
/// Bytes of a name or a reason.
pub const MAX_TEXT_BYTES: usize = 256;

/// A permit's number: the position of the entry that asked for it, so it only grows.
pub type PermitId = u64;

/// How a target was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Availability {
    /// It serves.
    Available,
    /// It does not, or nobody can say.
    Unavailable,
    /// It serves with a part of its capacity, in thousandths.
    WarmingUp(u16),
}

/// A target as it was seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Which.
    pub target: Target,
    /// Its zone.
    pub zone: String,
    /// Its pool, or nothing.
    pub pool: String,
    /// How it is.
    pub availability: Availability,
    /// A number that the target raises with every start and every return, or 0 where it has none.
    pub incarnation: u64,
}

/// How far a permit is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitState {
    /// It waits for its turn.
    Waiting,
    /// It may be begun.
    Granted,
    /// It was begun: its target counts as out.
    Begun,
}

/// A permit that is open.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// What is to be taken out.
    pub target: Target,
    /// Why.
    pub reason: String,
    /// Who asked.
    pub requester: String,
    /// How far it is.
    pub state: PermitState,
    /// The target's number when it was granted.
    pub incarnation: u64,
    /// The entry in which the asker said that the step is done and the target told to come back.
    pub completed_at: Option<u64>,
    /// It was granted beyond the budgets, because somebody insisted.
    pub forced: bool,
}

/// What changes the account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DisruptionCommand {
    /// Other budgets, by an operator who saw this version of them.
    SetBudgets {
        /// The version that was seen.
        expected_version: u64,
        /// All of them.
        budgets: Vec<Budget>,
    },
    /// Somebody wants to take a target out. Asked again by the same asker it is the same permit.
    RequestPermit {
        /// Which.
        target: Target,
        /// Why.
        reason: String,
        /// Who asks.
        requester: String,
        /// Granted at once, whatever the budgets say, and counted.
        force: bool,
    },
    /// The step of a permit is about to be done, at the target as it is with this number, and at no later one.
    BeginPermit {
        /// Which permit.
        permit: PermitId,
        /// The target's number, as whoever does the step knows it; 0 where it has none.
        incarnation: u64,
    },
    /// The step was done, and its target told to come back. From then on it is over when the target is seen in.
    CompletePermit {
        /// Which permit.
        permit: PermitId,
    },
    /// A permit that was not begun is given back, or was not begun in time.
    CancelPermit {
        /// Which permit.
        permit: PermitId,
    },
    /// What an observer saw: all targets are as the account has them, but for these.
    RecordObservation {
        /// The token of the observer's term.
        fencing_token: u64,
        /// The last entry that it knew of when it looked.
        known_revision: u64,
        /// Those that are new, or not as the account has them.
        changed: Vec<TargetStatus>,
        /// Those that are not in the list any more.
        removed: Vec<Target>,
    },
    /// An operator strikes a target off: it is gone for good, and its permits with it, until it is seen in again.
    DeregisterTarget {
        /// Which target.
        target: Target,
        /// Who says so.
        operator: String,
    },
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DisruptionOutcome {
    /// This permit is there.
    PermitRequested(PermitId, PermitState),
    /// The step may be done now.
    PermitBegun(PermitId),
    /// Done.
    Applied,
    /// What an observation led to.
    ObservationRecorded {
        /// Permits that were granted by it.
        granted: Vec<PermitId>,
        /// Permits that were granted before and are taken back.
        revoked: Vec<PermitId>,
        /// Permits whose targets are proven in again.
        closed: Vec<PermitId>,
    },
    /// Nothing was changed.
    Rejected(Rejection),
}

/// Why nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// No such permit is open: it is void, was taken back, or its target is in again.
    UnknownPermit,
    /// No such target is known.
    UnknownTarget,
    /// It was not granted yet, or was taken back.
    NotGranted,
    /// It was begun: only its target's return ends it, or an operator.
    AlreadyBegun,
    /// The observation is of a term that is over.
    StaleObserver {
        /// The newest token.
        newest_token: u64,
    },
    /// The budgets were changed since.
    VersionConflict {
        /// Their version.
        version: u64,
    },
    /// A budget is wrong: its name, and why.
    InvalidBudget(String, String),
    /// Too much of something.
    LimitExceeded(String),
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Rejection::UnknownPermit => {
                write!(f, "no such permit is open: it is void, was taken back, or is over")
            }
            Rejection::UnknownTarget => write!(f, "no such target is known"),
            Rejection::NotGranted => write!(f, "the permit is not granted, or was taken back"),
            Rejection::AlreadyBegun => write!(f, "the permit was begun; it ends when its target is in again"),
            Rejection::StaleObserver { newest_token } => {
                write!(f, "the observation is of a term before token {newest_token}")
            }
            Rejection::VersionConflict { version } => {
                write!(
                    f,
                    "the budgets were changed meanwhile and are at version {version}; look at them again"
                )
            }
            Rejection::InvalidBudget(name, why) => write!(f, "budget {name:?}: {why}"),
            Rejection::LimitExceeded(what) => write!(f, "no room: {what}"),
        }
    }
}

/// How many permits were granted beyond the budgets, by whom last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ForcedPermits {
    /// How many.
    pub count: u64,
    /// The last asker.
    pub last_requester: String,
}

/// A sum over the targets that a budget covers, in thousandths of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DisruptionTotals {
    /// Targets, whole ones.
    pub targets: u64,
    /// Out by a permit that was granted or begun.
    pub planned: u64,
    /// Out without one.
    pub unplanned: u64,
}

/// How urgently an observation is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservationUrgency {
    /// At once.
    Immediate,
    /// Now and then.
    Periodic,
}

/// A flaw put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InjectedBug {
    /// A begun permit is over as soon as its target is seen in, whichever process it is.
    AnyIncarnation,
    /// Unplanned losses are not counted.
    PlannedOnly,
    /// A permit is granted by what was observed before it was asked for.
    StaleObservation,
    /// To begin is not refused where the permit was taken back.
    BeginUnknownPermit,
}

impl InjectedBug {
    /// All of them, by name.
    #[must_use]
    pub fn names() -> &'static [(&'static str, InjectedBug)] {
        &[
            ("any-process", InjectedBug::AnyIncarnation),
            ("planned-only", InjectedBug::PlannedOnly),
            ("old-observation", InjectedBug::StaleObservation),
            ("begin-unasked", InjectedBug::BeginUnknownPermit),
        ]
    }
}

/// The account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DisruptionState {
    budgets_version: u64,
    budgets: Vec<Budget>,
    /// The newest token of an observer.
    observer_token: u64,
    targets: BTreeMap<Target, TargetRecord>,
    permits: BTreeMap<PermitId, Permit>,
    forced: ForcedPermits,
    #[serde(skip)]
    injected_bug: Option<InjectedBug>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct TargetRecord {
    zone: String,
    pool: String,
    availability: Availability,
    incarnation: u64,
}

impl TargetRecord {
    /// How much of it is out by a permit, where it has one that was granted, and how much without one.
    fn disruption(&self, planned: bool) -> (u64, u64) {
        match self.availability {
            _ if planned => (1_000, 0),
            Availability::Available => (0, 0),
            Availability::Unavailable => (0, 1_000),
            Availability::WarmingUp(part) => (0, 1_000 - u64::from(part.min(1_000))),
        }
    }
}

fn exceeds_text_limit(text: &str) -> bool {
    text.len() > MAX_TEXT_BYTES
}

fn text_limit_exceeded() -> Rejection {
    Rejection::LimitExceeded(format!("a text is longer than {} bytes", MAX_TEXT_BYTES))
}

impl DisruptionState {
    /// The same with a flaw, in builds for tests.
    #[must_use]
    pub fn with_injected_bug(self, injected_bug: Option<InjectedBug>) -> DisruptionState {
        match cfg!(feature = "seeded-bugs") {
            true => DisruptionState { injected_bug, ..self },
            false => self,
        }
    }

    /// The budgets, and their version.
    pub fn budgets(&self) -> (u64, &[Budget]) {
        (self.budgets_version, &self.budgets)
    }

    /// Permits that are open, in the order in which they were asked for.
    pub fn permits(&self) -> &BTreeMap<PermitId, Permit> {
        &self.permits
    }

    /// Permits that are granted or begun.
    pub fn active_permits(&self) -> impl Iterator<Item = &Permit> {
        self.permits.values().filter(|permit| permit.state != PermitState::Waiting)
    }

    /// The targets of these.
    fn planned_targets(&self) -> BTreeSet<&Target> {
        self.active_permits().map(|permit| &permit.target).collect()
    }

    /// Permits granted beyond the budgets.
    pub fn forced(&self) -> &ForcedPermits {
        &self.forced
    }

    /// All targets, as they were seen last.
    pub fn targets(&self) -> impl Iterator<Item = TargetStatus> + '_ {
        self.targets.iter().map(|(target, record)| TargetStatus {
            target: target.clone(),
            zone: record.zone.clone(),
            pool: record.pool.clone(),
            availability: record.availability,
            incarnation: record.incarnation,
        })
    }

    /// Whether an observation is wanted though nothing has changed: at once, where a permit waits for its turn or for the
    /// proof that ends it, and now and then where one is open.
    pub fn observation_urgency(&self) -> Option<ObservationUrgency> {
        let now = |permit: &Permit| permit.state == PermitState::Waiting || permit.completed_at.is_some();
        match self.permits.values().any(now) {
            true => Some(ObservationUrgency::Immediate),
            false => (!self.permits.is_empty()).then_some(ObservationUrgency::Periodic),
        }
    }

    /// Applies the change at this position of the log.
    pub fn apply(&mut self, index: u64, command: &DisruptionCommand) -> DisruptionOutcome {
        match command {
            DisruptionCommand::SetBudgets { expected_version, budgets } => {
                self.set_budgets(index, *expected_version, budgets)
            }
            DisruptionCommand::RequestPermit { target, reason, requester, force } => {
                self.request_permit(index, target, (reason, requester), *force)
            }
            DisruptionCommand::BeginPermit { permit, incarnation } => {
                self.begin_permit(*permit, *incarnation)
            }
            DisruptionCommand::CompletePermit { permit } => match self.permits.get_mut(permit) {
                Some(permit) if permit.state == PermitState::Begun => {
                    permit.completed_at = Some(permit.completed_at.unwrap_or(index));
                    DisruptionOutcome::Applied
                }
                Some(_) => DisruptionOutcome::Rejected(Rejection::NotGranted),
                None => DisruptionOutcome::Rejected(Rejection::UnknownPermit),
            },
            DisruptionCommand::CancelPermit { permit } => {
                match self.permits.get(permit).map(|permit| permit.state) {
                    None => DisruptionOutcome::Rejected(Rejection::UnknownPermit),
                    Some(PermitState::Begun) => DisruptionOutcome::Rejected(Rejection::AlreadyBegun),
                    Some(_) => {
                        self.permits.remove(permit);
                        DisruptionOutcome::Applied
                    }
                }
            }
            DisruptionCommand::RecordObservation { fencing_token, known_revision, changed, removed } => {
                self.record_observation(*fencing_token, *known_revision, changed, removed)
            }
            DisruptionCommand::DeregisterTarget { target, .. } => {
                let known = self.targets.remove(target).is_some();
                let before = self.permits.len();
                self.permits.retain(|_, permit| permit.target != *target);
                match known || self.permits.len() < before {
                    true => DisruptionOutcome::Applied,
                    false => DisruptionOutcome::Rejected(Rejection::UnknownTarget),
                }
            }
        }
    }

    fn set_budgets(&mut self, index: u64, expected_version: u64, budgets: &[Budget]) -> DisruptionOutcome {
        if expected_version != self.budgets_version {
            return DisruptionOutcome::Rejected(Rejection::VersionConflict { version: self.budgets_version });
        }
        if budgets.len() > MAX_BUDGETS {
            return DisruptionOutcome::Rejected(Rejection::LimitExceeded(format!(
                "more than {} budgets",
                MAX_BUDGETS
            )));
        }
        if budgets.iter().any(|budget| exceeds_text_limit(&budget.name)) {
            return DisruptionOutcome::Rejected(text_limit_exceeded());
        }
        if let Some((budget, fault)) = budgets.iter().find_map(|b| Some((b, b.validate().err()?))) {
            return DisruptionOutcome::Rejected(Rejection::InvalidBudget(
                budget.name.clone(),
                fault.to_string(),
            ));
        }
        self.budgets_version = index;
        self.budgets = budgets.to_vec();
        // What fits no more is taken back with the next observation.
        DisruptionOutcome::Applied
    }

    fn request_permit(
        &mut self,
        index: u64,
        target: &Target,
        (reason, requester): (&str, &str),
        force: bool,
    ) -> DisruptionOutcome {
        let known = self
            .permits
            .iter_mut()
            .find(|(_, permit)| permit.target == *target && permit.requester == requester);
        let incarnation = self.targets.get(target).map_or(0, |record| record.incarnation);
        if let Some((id, permit)) = known {
            if force && permit.state == PermitState::Waiting {
                (permit.state, permit.forced, permit.incarnation) = (PermitState::Granted, true, incarnation);
                self.forced =
                    ForcedPermits { count: self.forced.count + 1, last_requester: requester.to_owned() };
            }
            return DisruptionOutcome::PermitRequested(*id, permit.state);
        }
        if self.permits.len() >= MAX_OPEN_PERMITS {
            return DisruptionOutcome::Rejected(Rejection::LimitExceeded(format!(
                "{} permits are open",
                MAX_OPEN_PERMITS
            )));
        }
        if [reason, requester, &target.name].iter().any(|text| exceeds_text_limit(text)) {
            return DisruptionOutcome::Rejected(text_limit_exceeded());
        }
        let state = if force { PermitState::Granted } else { PermitState::Waiting };
        if force {
            self.forced =
                ForcedPermits { count: self.forced.count + 1, last_requester: requester.to_owned() };
        }
        let permit = Permit {
            target: target.clone(),
            reason: reason.to_owned(),
            requester: requester.to_owned(),
            state,
            incarnation,
            completed_at: None,
            forced: force,
        };
        self.permits.insert(index, permit);
        DisruptionOutcome::PermitRequested(index, state)
    }

    fn begin_permit(&mut self, id: PermitId, incarnation: u64) -> DisruptionOutcome {
        let Some(permit) = self.permits.get_mut(&id) else {
            return match self.injected_bug == Some(InjectedBug::BeginUnknownPermit) {
                true => DisruptionOutcome::PermitBegun(id),
                false => DisruptionOutcome::Rejected(Rejection::UnknownPermit),
            };
        };
        match permit.state {
            PermitState::Waiting => DisruptionOutcome::Rejected(Rejection::NotGranted),
            PermitState::Granted => {
                permit.state = PermitState::Begun;
                // It may have come back by itself since it was granted; only a later return proves anything.
                permit.incarnation = permit.incarnation.max(incarnation);
                DisruptionOutcome::PermitBegun(id)
            }
            // Asked twice, for the first answer may have been lost. But one permit is good for one step: it is over with
            // the next observation where its target came back since.
            PermitState::Begun if permit.completed_at.is_some() || incarnation > permit.incarnation => {
                DisruptionOutcome::Rejected(Rejection::UnknownPermit)
            }
            PermitState::Begun => DisruptionOutcome::PermitBegun(id),
        }
    }

    fn record_observation(
        &mut self,
        fencing_token: u64,
        known_revision: u64,
        changed: &[TargetStatus],
        removed: &[Target],
    ) -> DisruptionOutcome {
        if fencing_token < self.observer_token {
            return DisruptionOutcome::Rejected(Rejection::StaleObserver {
                newest_token: self.observer_token,
            });
        }
        let added = changed.iter().filter(|one| !self.targets.contains_key(&one.target)).count();
        if self.targets.len() + added > MAX_TARGETS {
            return DisruptionOutcome::Rejected(Rejection::LimitExceeded(format!(
                "more than {} targets",
                MAX_TARGETS
            )));
        }
        if changed
            .iter()
            .any(|one| [&one.target.name, &one.zone, &one.pool].iter().any(|text| exceeds_text_limit(text)))
        {
            return DisruptionOutcome::Rejected(text_limit_exceeded());
        }
        self.observer_token = fencing_token;
        for target in removed {
            // One that vanished while it is out goes on counting where it was.
            let begun = |permit: &Permit| permit.target == *target && permit.state == PermitState::Begun;
            match self.targets.get_mut(target) {
                Some(record) if self.permits.values().any(begun) => {
                    record.availability = Availability::Unavailable
                }
                _ => drop(self.targets.remove(target)),
            }
        }
        for one in changed {
            let earlier = self.targets.get(&one.target).map_or(0, |record| record.incarnation);
            let of_permits = self.permits.values().filter(|permit| permit.target == one.target);
            // An older process than one that was seen before proves nothing.
            let old = one.incarnation < of_permits.map(|permit| permit.incarnation).fold(earlier, u64::max);
            let availability = if old { Availability::Unavailable } else { one.availability };
            let incarnation = one.incarnation.max(earlier);
            let (zone, pool) = (one.zone.clone(), one.pool.clone());
            self.targets.insert(one.target.clone(), TargetRecord { zone, pool, availability, incarnation });
        }
        let any = self.injected_bug == Some(InjectedBug::AnyIncarnation);
        let back = |permit: &Permit| {
            let there = self.targets.get(&permit.target);
            permit.state == PermitState::Begun
                && there.is_some_and(|target| {
                    let completed =
                        permit.completed_at.is_some_and(|completed_at| completed_at <= known_revision);
                    target.availability == Availability::Available
                        && (any || completed || target.incarnation > permit.incarnation)
                })
        };
        let closed: Vec<PermitId> =
            self.permits.iter().filter(|(_, permit)| back(permit)).map(|(id, _)| *id).collect();
        closed.iter().for_each(|id| {
            self.permits.remove(id);
        });
        let revoked = self.revoke_over_budget();
        let granted = self.grant_waiting(known_revision);
        DisruptionOutcome::ObservationRecorded { granted, revoked, closed }
    }

    /// Takes back what is granted and not begun, the newest first, while a budget that covers it is exceeded.
    fn revoke_over_budget(&mut self) -> Vec<PermitId> {
        let mut revoked = Vec::new();
        loop {
            let not_begun = self
                .permits
                .iter()
                .rev()
                .filter(|(_, permit)| permit.state == PermitState::Granted && !permit.forced);
            let mut over = not_begun.filter(|(_, permit)| !self.within_budgets(&permit.target, false));
            let Some(id) = over.next().map(|(id, _)| *id) else { return revoked };
            // It waits again, at its old place.
            if let Some(permit) = self.permits.get_mut(&id) {
                permit.state = PermitState::Waiting;
            }
            revoked.push(id);
        }
    }

    /// Grants what fits of those that were asked for before the observation, in their order.
    fn grant_waiting(&mut self, known_revision: u64) -> Vec<PermitId> {
        let mut granted = Vec::new();
        let waiting: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, permit)| permit.state == PermitState::Waiting)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if id > known_revision && self.injected_bug != Some(InjectedBug::StaleObservation) {
                continue;
            }
            let Some(target) = self.permits.get(&id).map(|permit| permit.target.clone()) else { continue };
            // One step at a time at a target; and what is not there cannot be taken out.
            let busy = self.active_permits().any(|other| other.target == target);
            let Some(incarnation) = self.targets.get(&target).map(|record| record.incarnation) else {
                continue;
            };
            if busy || !self.within_budgets(&target, true) {
                continue;
            }
            if let Some(permit) = self.permits.get_mut(&id) {
                (permit.state, permit.incarnation) = (PermitState::Granted, incarnation);
                granted.push(id);
            }
        }
        granted
    }

    /// Whether a target is known and all budgets that cover it allow what is out, with it or as it is.
    fn within_budgets(&self, target: &Target, and_disrupted: bool) -> bool {
        self.targets.contains_key(target) && self.exceeded_budget(target, and_disrupted).is_none()
    }

    /// The first budget that covers a target and does not allow what is out, with it or as it is.
    fn exceeded_budget(&self, target: &Target, and_disrupted: bool) -> Option<&Budget> {
        let record = self.targets.get(target)?;
        let planned_targets = self.planned_targets();
        let (planned, unplanned) = record.disruption(planned_targets.contains(target));
        let more = if and_disrupted { 1_000 - planned - unplanned } else { 0 };
        self.budgets.iter().filter(|budget| budget.kind == target.kind).find(|budget| {
            let Some(sum) = self.totals_around(budget, &record.zone, &record.pool, &planned_targets) else {
                return false;
            };
            let losses = if self.injected_bug == Some(InjectedBug::PlannedOnly) { 0 } else { sum.unplanned };
            !budget.allows(sum.planned + losses + more, sum.targets)
        })
    }

    /// The sum over what a budget covers together with a target of this zone and pool; none where it does not cover it.
    fn totals_around(
        &self,
        budget: &Budget,
        zone: &str,
        pool: &str,
        planned_targets: &BTreeSet<&Target>,
    ) -> Option<DisruptionTotals> {
        let with = |record: &TargetRecord| match &budget.scope {
            BudgetScope::Fleet => true,
            BudgetScope::EachZone => record.zone == zone,
            BudgetScope::Zone(name) => record.zone == *name,
            BudgetScope::EachPool => record.pool == pool,
            BudgetScope::Pool(name) => record.pool == *name,
        };
        let covers = match &budget.scope {
            BudgetScope::Zone(name) => name == zone,
            BudgetScope::Pool(name) => name == pool,
            _ => true,
        };
        covers.then(|| {
            let all =
                self.targets.iter().filter(|(target, record)| target.kind == budget.kind && with(record));
            all.fold(DisruptionTotals::default(), |sum, (target, record)| {
                let (planned, unplanned) = record.disruption(planned_targets.contains(target));
                DisruptionTotals {
                    targets: sum.targets + 1,
                    planned: sum.planned + planned,
                    unplanned: sum.unplanned + unplanned,
                }
            })
        })
    }

    /// What each budget has to do with, for whoever looks: the zone or pool where it counts by these, and the sum.
    pub fn budget_usage(&self) -> Vec<(&Budget, String, DisruptionTotals)> {
        let (mut usage, planned_targets) = (Vec::new(), self.planned_targets());
        for budget in &self.budgets {
            let of_kind = self.targets.iter().filter(|(target, _)| target.kind == budget.kind);
            let mut places: Vec<(String, &TargetRecord)> = of_kind
                .map(|(_, record)| match budget.scope {
                    BudgetScope::EachZone | BudgetScope::Zone(_) => (record.zone.clone(), record),
                    BudgetScope::EachPool | BudgetScope::Pool(_) => (record.pool.clone(), record),
                    BudgetScope::Fleet => (String::new(), record),
                })
                .collect();
            places.sort_by(|one, other| one.0.cmp(&other.0));
            places.dedup_by(|one, other| one.0 == other.0);
            for (place, record) in places {
                if let Some(sum) = self.totals_around(budget, &record.zone, &record.pool, &planned_targets) {
                    usage.push((budget, place, sum));
                }
            }
        }
        usage
    }

    /// Why a waiting permit is not granted, as far as budgets go: the first that does not allow it.
    pub fn blocking_budget(&self, id: PermitId) -> Option<&Budget> {
        let permit = self.permits.get(&id).filter(|permit| permit.state == PermitState::Waiting)?;
        self.exceeded_budget(&permit.target, true)
    }
}
