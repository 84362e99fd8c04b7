//! The account: who is there and in, which permits are asked for, granted and begun.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Budget, Cover, Target};

/// Bounds: targets, permits that are open, budgets, bytes of a name or a reason.
pub const LIMITS: (usize, usize, usize, usize) = (4_096, 1_024, 64, 256);

/// A permit's number: the position of the entry that asked for it, so it only grows.
pub type PermitId = u64;

/// How a target was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Condition {
    /// It serves.
    In,
    /// It does not, or nobody can say.
    Out,
    /// It serves with a part of its capacity, in thousandths.
    Warming(u16),
}

/// A target as it was seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Observed {
    /// Which.
    pub target: Target,
    /// Its zone.
    pub zone: String,
    /// Its pool, or nothing.
    pub pool: String,
    /// How it is.
    pub condition: Condition,
    /// A number that the target raises with every start and every return, or 0 where it has none.
    pub incarnation: u64,
}

/// How far a permit is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
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
    pub asker: String,
    /// How far it is.
    pub state: State,
    /// The target's number when it was granted.
    pub incarnation: u64,
    /// The entry in which the asker said that the step is done and the target told to come back.
    pub done: Option<u64>,
    /// It was granted beyond the budgets, because somebody insisted.
    pub forced: bool,
}

/// What changes the account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Other budgets, by an operator who saw this version of them.
    Budgets {
        /// The version that was seen.
        seen: u64,
        /// All of them.
        budgets: Vec<Budget>,
    },
    /// Somebody wants to take a target out. Asked again by the same asker it is the same permit.
    Ask {
        /// Which.
        target: Target,
        /// Why.
        reason: String,
        /// Who asks.
        asker: String,
        /// Granted at once, whatever the budgets say, and counted.
        force: bool,
    },
    /// The step of a permit is about to be done, at the target as it is with this number, and at no later one.
    Begin {
        /// Which permit.
        permit: PermitId,
        /// The target's number, as whoever does the step knows it; 0 where it has none.
        incarnation: u64,
    },
    /// The step was done, and its target told to come back. From then on it is over when the target is seen in.
    Done {
        /// Which permit.
        permit: PermitId,
    },
    /// A permit that was not begun is given back, or was not begun in time.
    Void {
        /// Which permit.
        permit: PermitId,
    },
    /// What an observer saw: all targets are as the account has them, but for these.
    Observe {
        /// The token of the observer's term.
        token: u64,
        /// The last entry that it knew of when it looked.
        seen: u64,
        /// Those that are new, or not as the account has them.
        targets: Vec<Observed>,
        /// Those that are not in the list any more.
        gone: Vec<Target>,
    },
    /// An operator strikes a target off: it is gone for good, and its permits with it, until it is seen in again.
    Strike {
        /// Which target.
        target: Target,
        /// Who says so.
        by: String,
    },
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// This permit is there.
    Asked(PermitId, State),
    /// The step may be done now.
    Begun(PermitId),
    /// Done.
    Done,
    /// What an observation led to.
    Observed {
        /// Permits that were granted by it.
        granted: Vec<PermitId>,
        /// Permits that were granted before and are taken back.
        called_back: Vec<PermitId>,
        /// Permits whose targets are proven in again.
        proven: Vec<PermitId>,
    },
    /// Nothing was changed.
    Refused(Refusal),
}

/// Why nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No such permit is open: it is void, was taken back, or its target is in again.
    NoPermit,
    /// No such target is known.
    NoTarget,
    /// It was not granted yet, or was taken back.
    NotGranted,
    /// It was begun: only its target's return ends it, or an operator.
    WasBegun,
    /// The observation is of a term that is over.
    OldTerm {
        /// The newest token.
        newest: u64,
    },
    /// The budgets were changed since.
    Conflict {
        /// Their version.
        version: u64,
    },
    /// A budget is wrong: its name, and why.
    Budget(String, String),
    /// Too much of something.
    Full(String),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::NoPermit => write!(f, "no such permit is open: it is void, was taken back, or is over"),
            Refusal::NoTarget => write!(f, "no such target is known"),
            Refusal::NotGranted => write!(f, "the permit is not granted, or was taken back"),
            Refusal::WasBegun => write!(f, "the permit was begun; it ends when its target is in again"),
            Refusal::OldTerm { newest } => write!(f, "the observation is of a term before token {newest}"),
            Refusal::Conflict { version } => {
                write!(
                    f,
                    "the budgets were changed meanwhile and are at version {version}; look at them again"
                )
            }
            Refusal::Budget(name, why) => write!(f, "budget {name:?}: {why}"),
            Refusal::Full(what) => write!(f, "no room: {what}"),
        }
    }
}

/// How many permits were granted beyond the budgets, by whom last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Forced {
    /// How many.
    pub count: u64,
    /// The last asker.
    pub last: String,
}

/// A sum over the targets that a budget covers, in thousandths of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sum {
    /// Targets, whole ones.
    pub targets: u64,
    /// Out by a permit that was granted or begun.
    pub by_plan: u64,
    /// Out without one.
    pub unplanned: u64,
}

/// How urgently an observation is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wants {
    /// At once.
    Now,
    /// Now and then.
    Seldom,
}

/// A flaw put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Flaw {
    /// A begun permit is over as soon as its target is seen in, whichever process it is.
    AnyProcess,
    /// Unplanned losses are not counted.
    PlannedOnly,
    /// A permit is granted by what was observed before it was asked for.
    OldObservation,
    /// To begin is not refused where the permit was taken back.
    BeginUnasked,
}

impl Flaw {
    /// All of them, by name.
    #[must_use]
    pub fn names() -> &'static [(&'static str, Flaw)] {
        &[
            ("any-process", Flaw::AnyProcess),
            ("planned-only", Flaw::PlannedOnly),
            ("old-observation", Flaw::OldObservation),
            ("begin-unasked", Flaw::BeginUnasked),
        ]
    }
}

/// The account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account {
    version: u64,
    budgets: Vec<Budget>,
    /// The newest token of an observer.
    observer: u64,
    targets: BTreeMap<Target, Seen>,
    permits: BTreeMap<PermitId, Permit>,
    forced: Forced,
    #[serde(skip)]
    flaw: Option<Flaw>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Seen {
    zone: String,
    pool: String,
    condition: Condition,
    incarnation: u64,
}

impl Seen {
    /// How much of it is out by a permit, where it has one that was granted, and how much without one.
    fn weight(&self, planned: bool) -> (u64, u64) {
        match self.condition {
            _ if planned => (1_000, 0),
            Condition::In => (0, 0),
            Condition::Out => (0, 1_000),
            Condition::Warming(part) => (0, 1_000 - u64::from(part.min(1_000))),
        }
    }
}

fn long(text: &str) -> bool {
    text.len() > LIMITS.3
}

fn too_long() -> Refusal {
    Refusal::Full(format!("a text is longer than {} bytes", LIMITS.3))
}

impl Account {
    /// The same with a flaw, in builds for tests.
    #[must_use]
    pub fn with_flaw(self, flaw: Option<Flaw>) -> Account {
        match cfg!(feature = "seeded-bugs") {
            true => Account { flaw, ..self },
            false => self,
        }
    }

    /// The budgets, and their version.
    pub fn budgets(&self) -> (u64, &[Budget]) {
        (self.version, &self.budgets)
    }

    /// Permits that are open, in the order in which they were asked for.
    pub fn permits(&self) -> &BTreeMap<PermitId, Permit> {
        &self.permits
    }

    /// Permits that are granted or begun.
    pub fn granted(&self) -> impl Iterator<Item = &Permit> {
        self.permits.values().filter(|permit| permit.state != State::Waiting)
    }

    /// The targets of these.
    fn planned(&self) -> BTreeSet<&Target> {
        self.granted().map(|permit| &permit.target).collect()
    }

    /// Permits granted beyond the budgets.
    pub fn forced(&self) -> &Forced {
        &self.forced
    }

    /// All targets, as they were seen last.
    pub fn targets(&self) -> impl Iterator<Item = Observed> + '_ {
        self.targets.iter().map(|(target, seen)| Observed {
            target: target.clone(),
            zone: seen.zone.clone(),
            pool: seen.pool.clone(),
            condition: seen.condition,
            incarnation: seen.incarnation,
        })
    }

    /// Whether an observation is wanted though nothing has changed: at once, where a permit waits for its turn or for the
    /// proof that ends it, and now and then where one is open.
    pub fn waits(&self) -> Option<Wants> {
        let now = |permit: &Permit| permit.state == State::Waiting || permit.done.is_some();
        match self.permits.values().any(now) {
            true => Some(Wants::Now),
            false => (!self.permits.is_empty()).then_some(Wants::Seldom),
        }
    }

    /// Applies the change at this position of the log.
    pub fn apply(&mut self, index: u64, change: &Change) -> Outcome {
        match change {
            Change::Budgets { seen, budgets } => self.set_budgets(index, *seen, budgets),
            Change::Ask { target, reason, asker, force } => self.ask(index, target, (reason, asker), *force),
            Change::Begin { permit, incarnation } => self.begin(*permit, *incarnation),
            Change::Done { permit } => match self.permits.get_mut(permit) {
                Some(permit) if permit.state == State::Begun => {
                    permit.done = Some(permit.done.unwrap_or(index));
                    Outcome::Done
                }
                Some(_) => Outcome::Refused(Refusal::NotGranted),
                None => Outcome::Refused(Refusal::NoPermit),
            },
            Change::Void { permit } => match self.permits.get(permit).map(|permit| permit.state) {
                None => Outcome::Refused(Refusal::NoPermit),
                Some(State::Begun) => Outcome::Refused(Refusal::WasBegun),
                Some(_) => {
                    self.permits.remove(permit);
                    Outcome::Done
                }
            },
            Change::Observe { token, seen, targets, gone } => self.observe(*token, *seen, targets, gone),
            Change::Strike { target, .. } => {
                let known = self.targets.remove(target).is_some();
                let before = self.permits.len();
                self.permits.retain(|_, permit| permit.target != *target);
                match known || self.permits.len() < before {
                    true => Outcome::Done,
                    false => Outcome::Refused(Refusal::NoTarget),
                }
            }
        }
    }

    fn set_budgets(&mut self, index: u64, seen: u64, budgets: &[Budget]) -> Outcome {
        if seen != self.version {
            return Outcome::Refused(Refusal::Conflict { version: self.version });
        }
        if budgets.len() > LIMITS.2 {
            return Outcome::Refused(Refusal::Full(format!("more than {} budgets", LIMITS.2)));
        }
        if budgets.iter().any(|budget| long(&budget.name)) {
            return Outcome::Refused(too_long());
        }
        if let Some((budget, fault)) = budgets.iter().find_map(|b| Some((b, b.check().err()?))) {
            return Outcome::Refused(Refusal::Budget(budget.name.clone(), fault.to_string()));
        }
        self.version = index;
        self.budgets = budgets.to_vec();
        // What fits no more is taken back with the next observation.
        Outcome::Done
    }

    fn ask(&mut self, index: u64, target: &Target, (reason, asker): (&str, &str), force: bool) -> Outcome {
        let known =
            self.permits.iter_mut().find(|(_, permit)| permit.target == *target && permit.asker == asker);
        let incarnation = self.targets.get(target).map_or(0, |seen| seen.incarnation);
        if let Some((id, permit)) = known {
            if force && permit.state == State::Waiting {
                (permit.state, permit.forced, permit.incarnation) = (State::Granted, true, incarnation);
                self.forced = Forced { count: self.forced.count + 1, last: asker.to_owned() };
            }
            return Outcome::Asked(*id, permit.state);
        }
        if self.permits.len() >= LIMITS.1 {
            return Outcome::Refused(Refusal::Full(format!("{} permits are open", LIMITS.1)));
        }
        if [reason, asker, &target.name].iter().any(|text| long(text)) {
            return Outcome::Refused(too_long());
        }
        let state = if force { State::Granted } else { State::Waiting };
        if force {
            self.forced = Forced { count: self.forced.count + 1, last: asker.to_owned() };
        }
        let permit = Permit {
            target: target.clone(),
            reason: reason.to_owned(),
            asker: asker.to_owned(),
            state,
            incarnation,
            done: None,
            forced: force,
        };
        self.permits.insert(index, permit);
        Outcome::Asked(index, state)
    }

    fn begin(&mut self, id: PermitId, incarnation: u64) -> Outcome {
        let Some(permit) = self.permits.get_mut(&id) else {
            return match self.flaw == Some(Flaw::BeginUnasked) {
                true => Outcome::Begun(id),
                false => Outcome::Refused(Refusal::NoPermit),
            };
        };
        match permit.state {
            State::Waiting => Outcome::Refused(Refusal::NotGranted),
            State::Granted => {
                permit.state = State::Begun;
                // It may have come back by itself since it was granted; only a later return proves anything.
                permit.incarnation = permit.incarnation.max(incarnation);
                Outcome::Begun(id)
            }
            // Asked twice, for the first answer may have been lost. But one permit is good for one step: it is over with
            // the next observation where its target came back since.
            State::Begun if permit.done.is_some() || incarnation > permit.incarnation => {
                Outcome::Refused(Refusal::NoPermit)
            }
            State::Begun => Outcome::Begun(id),
        }
    }

    fn observe(&mut self, token: u64, seen: u64, targets: &[Observed], gone: &[Target]) -> Outcome {
        if token < self.observer {
            return Outcome::Refused(Refusal::OldTerm { newest: self.observer });
        }
        let new = targets.iter().filter(|one| !self.targets.contains_key(&one.target)).count();
        if self.targets.len() + new > LIMITS.0 {
            return Outcome::Refused(Refusal::Full(format!("more than {} targets", LIMITS.0)));
        }
        if targets.iter().any(|one| [&one.target.name, &one.zone, &one.pool].iter().any(|text| long(text))) {
            return Outcome::Refused(too_long());
        }
        self.observer = token;
        for target in gone {
            // One that vanished while it is out goes on counting where it was.
            let begun = |permit: &Permit| permit.target == *target && permit.state == State::Begun;
            match self.targets.get_mut(target) {
                Some(seen) if self.permits.values().any(begun) => seen.condition = Condition::Out,
                _ => drop(self.targets.remove(target)),
            }
        }
        for one in targets {
            let earlier = self.targets.get(&one.target).map_or(0, |seen| seen.incarnation);
            let of_permits = self.permits.values().filter(|permit| permit.target == one.target);
            // An older process than one that was seen before proves nothing.
            let old = one.incarnation < of_permits.map(|permit| permit.incarnation).fold(earlier, u64::max);
            let condition = if old { Condition::Out } else { one.condition };
            let incarnation = one.incarnation.max(earlier);
            let (zone, pool) = (one.zone.clone(), one.pool.clone());
            self.targets.insert(one.target.clone(), Seen { zone, pool, condition, incarnation });
        }
        let any = self.flaw == Some(Flaw::AnyProcess);
        let back = |permit: &Permit| {
            let there = self.targets.get(&permit.target);
            permit.state == State::Begun
                && there.is_some_and(|target| {
                    let done = permit.done.is_some_and(|done| done <= seen);
                    target.condition == Condition::In
                        && (any || done || target.incarnation > permit.incarnation)
                })
        };
        let proven: Vec<PermitId> =
            self.permits.iter().filter(|(_, permit)| back(permit)).map(|(id, _)| *id).collect();
        proven.iter().for_each(|id| {
            self.permits.remove(id);
        });
        let called_back = self.call_back();
        let granted = self.grant(seen);
        Outcome::Observed { granted, called_back, proven }
    }

    /// Takes back what is granted and not begun, the newest first, while a budget that covers it is exceeded.
    fn call_back(&mut self) -> Vec<PermitId> {
        let mut called_back = Vec::new();
        loop {
            let not_begun = self
                .permits
                .iter()
                .rev()
                .filter(|(_, permit)| permit.state == State::Granted && !permit.forced);
            let mut over = not_begun.filter(|(_, permit)| !self.fits(&permit.target, false));
            let Some(id) = over.next().map(|(id, _)| *id) else { return called_back };
            // It waits again, at its old place.
            if let Some(permit) = self.permits.get_mut(&id) {
                permit.state = State::Waiting;
            }
            called_back.push(id);
        }
    }

    /// Grants what fits of those that were asked for before the observation, in their order.
    fn grant(&mut self, seen: u64) -> Vec<PermitId> {
        let mut granted = Vec::new();
        let waiting: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, permit)| permit.state == State::Waiting)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if id > seen && self.flaw != Some(Flaw::OldObservation) {
                continue;
            }
            let Some(target) = self.permits.get(&id).map(|permit| permit.target.clone()) else { continue };
            // One step at a time at a target; and what is not there cannot be taken out.
            let busy = self.granted().any(|other| other.target == target);
            let Some(incarnation) = self.targets.get(&target).map(|seen| seen.incarnation) else { continue };
            if busy || !self.fits(&target, true) {
                continue;
            }
            if let Some(permit) = self.permits.get_mut(&id) {
                (permit.state, permit.incarnation) = (State::Granted, incarnation);
                granted.push(id);
            }
        }
        granted
    }

    /// Whether a target is known and all budgets that cover it allow what is out, with it or as it is.
    fn fits(&self, target: &Target, and_out: bool) -> bool {
        self.targets.contains_key(target) && self.exceeded(target, and_out).is_none()
    }

    /// The first budget that covers a target and does not allow what is out, with it or as it is.
    fn exceeded(&self, target: &Target, and_out: bool) -> Option<&Budget> {
        let seen = self.targets.get(target)?;
        let planned = self.planned();
        let (by_plan, unplanned) = seen.weight(planned.contains(target));
        let more = if and_out { 1_000 - by_plan - unplanned } else { 0 };
        self.budgets.iter().filter(|budget| budget.kind == target.kind).find(|budget| {
            let Some(sum) = self.sum_around(budget, &seen.zone, &seen.pool, &planned) else { return false };
            let losses = if self.flaw == Some(Flaw::PlannedOnly) { 0 } else { sum.unplanned };
            !budget.allows(sum.by_plan + losses + more, sum.targets)
        })
    }

    /// The sum over what a budget covers together with a target of this zone and pool; none where it does not cover it.
    fn sum_around(
        &self,
        budget: &Budget,
        zone: &str,
        pool: &str,
        planned: &BTreeSet<&Target>,
    ) -> Option<Sum> {
        let with = |seen: &Seen| match &budget.cover {
            Cover::Fleet => true,
            Cover::EachZone => seen.zone == zone,
            Cover::Zone(name) => seen.zone == *name,
            Cover::EachPool => seen.pool == pool,
            Cover::Pool(name) => seen.pool == *name,
        };
        let covers = match &budget.cover {
            Cover::Zone(name) => name == zone,
            Cover::Pool(name) => name == pool,
            _ => true,
        };
        covers.then(|| {
            let all = self.targets.iter().filter(|(target, seen)| target.kind == budget.kind && with(seen));
            all.fold(Sum::default(), |sum, (target, seen)| {
                let (by_plan, unplanned) = seen.weight(planned.contains(target));
                Sum {
                    targets: sum.targets + 1,
                    by_plan: sum.by_plan + by_plan,
                    unplanned: sum.unplanned + unplanned,
                }
            })
        })
    }

    /// What each budget has to do with, for whoever looks: the zone or pool where it counts by these, and the sum.
    pub fn sums(&self) -> Vec<(&Budget, String, Sum)> {
        let (mut sums, planned) = (Vec::new(), self.planned());
        for budget in &self.budgets {
            let of_kind = self.targets.iter().filter(|(target, _)| target.kind == budget.kind);
            let mut places: Vec<(String, &Seen)> = of_kind
                .map(|(_, seen)| match budget.cover {
                    Cover::EachZone | Cover::Zone(_) => (seen.zone.clone(), seen),
                    Cover::EachPool | Cover::Pool(_) => (seen.pool.clone(), seen),
                    Cover::Fleet => (String::new(), seen),
                })
                .collect();
            places.sort_by(|one, other| one.0.cmp(&other.0));
            places.dedup_by(|one, other| one.0 == other.0);
            for (place, seen) in places {
                if let Some(sum) = self.sum_around(budget, &seen.zone, &seen.pool, &planned) {
                    sums.push((budget, place, sum));
                }
            }
        }
        sums
    }

    /// Why a waiting permit is not granted, as far as budgets go: the first that does not allow it.
    pub fn held_by(&self, id: PermitId) -> Option<&Budget> {
        let permit = self.permits.get(&id).filter(|permit| permit.state == State::Waiting)?;
        self.exceeded(&permit.target, true)
    }
}
