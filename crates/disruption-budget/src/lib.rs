//! Who may be out at once. Pure: no clock, no I/O, no randomness; the same changes give the same account everywhere.
//!
//! A *target* is a dispatcher or a worker. It is *in* while whoever observes the fleet has proven it in, and *out*
//! otherwise. Whoever wants to take a target out asks for a *permit*. What holds:
//!
//! 1. **No permit is granted beyond a budget.** All budgets that cover a target hold together, and unplanned losses use
//!    them up first: what is out, for whatever reason, and what is permitted to be, is counted as one.
//! 2. **A permit that was not begun can be taken back; one that was begun counts as out** until its target is proven in
//!    again, or an operator strikes it off. No time ends it. Proven is a target that was seen in with a higher number
//!    than it had when the permit was granted, or after the asker said that the step is done: not one that is in
//!    because the step was not done yet.
//! 3. **To begin is to ask once more.** A permit that was taken back meanwhile, or one that is void, is refused then; so
//!    an asker that wakes up late takes nothing out.
//! 4. **An observation is the word of the observer's running term**: who observed for an earlier one changes nothing.
//! 5. **Nothing is granted but by an observation that was made after the permit was asked for.**
//!
//! [`Budget`] says how many, [`DisruptionState`] keeps the account, [`DisruptionCommand`] is what changes it. [`permit_timeouts`] is what the leading
//! keeper knows of time, [`availability_observer`] what an observer makes of the dispatchers' word;
//! [`canary_analysis`] says whether a new version does worse than the old one beside it.

pub mod availability_observer;
mod budget;
pub mod canary_analysis;
pub mod permit_timeouts;
mod state;

pub use budget::{Amount, Budget, BudgetError, BudgetScope};
pub use state::{
    Availability, DisruptionCommand, DisruptionOutcome, DisruptionState, DisruptionTotals, ForcedPermits,
    InjectedBug, ObservationUrgency, Permit, PermitId, PermitState, Rejection, TargetStatus, MAX_BUDGETS,
    MAX_OPEN_PERMITS, MAX_TARGETS, MAX_TEXT_BYTES,
};

use serde::{Deserialize, Serialize};

/// What kind of process a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TargetKind {
    /// A dispatcher.
    Dispatcher,
    /// A shop's worker.
    Worker,
}

/// A process that may be taken out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Its kind.
    pub kind: TargetKind,
    /// Its name, the only one of its kind.
    pub name: String,
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.kind {
            TargetKind::Dispatcher => write!(f, "dispatcher/{}", self.name),
            TargetKind::Worker => write!(f, "worker/{}", self.name),
        }
    }
}

impl std::str::FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Target, String> {
        let (kind, name) = text.split_once('/').unwrap_or(("", ""));
        let kind = match kind {
            "dispatcher" => TargetKind::Dispatcher,
            "worker" => TargetKind::Worker,
            _ => return Err(format!("{text:?} is no target; wanted dispatcher/NAME or worker/NAME")),
        };
        match name.is_empty() {
            true => Err(format!("{text:?}: the name is missing")),
            false => Ok(Target { kind, name: name.to_owned() }),
        }
    }
}
