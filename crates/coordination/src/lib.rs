//! Who owns which duty of a fleet. Pure: no clock, no I/O, no randomness; times come in as whole microseconds.
//!
//! A *duty* is work that one member does on behalf of all. It has at most one owner, with a *fencing token* that only
//! grows. What holds, and what the checkers and the model look for:
//!
//! 1. **Tokens only grow.** They are drawn from the keepers' log, one for each grant, never twice.
//! 2. **A term ends before the next begins, at every receiver.** A duty that lost its owner is *fenced* first: each
//!    session that is older than the fence has either said that it knows of it, or has ended. Only then is the duty
//!    granted again. So no receiver takes an effect of the old term once the new one is granted anywhere.
//! 3. **A receiver without a session takes nothing.** What it knows of tokens may be old; it refuses and says so.
//! 4. **An owner acts only inside its lease**, counted on its own clock from before it asked, and looked at
//!    immediately before each effect.
//!
//! The lease is for speed (2 rests on sessions ending by time only where a member does not answer); tokens are for
//! safety where clocks run at other rates than stated: an old owner's effect is refused by whoever knows a higher token.
//!
//! [`StateMachine`] is the replicated state machine, [`LeaderState`] what the leading keeper knows besides, [`LeaseClient`] a member's
//! side, [`Timing`] the times and the bound on clock rates.

mod command;
mod leader_state;
mod lease_client;
mod state_machine;
mod timing;

pub use command::{Command, CommandDecodeError, COMMAND_VERSION};
pub use leader_state::LeaderState;
pub use lease_client::{ClientSession, EffectCounts, EffectRejection, InjectedBug, LeaseClient};
pub use state_machine::{
    ClusterView, CommandOutcome, CommandRejection, Lease, LeaseHolder, LeaseView, ReplicaReplacement,
    Session, SnapshotError, StateMachine, LIMITS,
};
pub use timing::{Timing, TimingError};

use serde::{Deserialize, Serialize};

/// Microseconds on a monotonic clock of whoever reads them; two processes' figures are never compared.
pub type Micros = u64;

/// A position in the keepers' log: the version of all that follows from it.
pub type Revision = u64;

/// A session of a member: the position of the log entry that began it, so no two are ever the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// A fencing token. Higher is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// What a duty reaches over.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseScope {
    /// The whole fleet; any member may own it.
    Fleet,
    /// One zone; only its members may own it.
    Zone(String),
    /// One of the sets that the workers are cut into; any member may own it.
    #[serde(rename = "Set")]
    WorkerSet(u16),
}

/// A duty by name and scope.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// What is done, such as `list`.
    pub name: String,
    /// What it reaches over.
    pub scope: LeaseScope,
}

impl LeaseId {
    /// The duty of this name for the whole fleet.
    pub fn fleet(name: &str) -> LeaseId {
        LeaseId { name: name.to_owned(), scope: LeaseScope::Fleet }
    }

    /// The duty of this name for one zone.
    pub fn zone(name: &str, zone: &str) -> LeaseId {
        LeaseId { name: name.to_owned(), scope: LeaseScope::Zone(zone.to_owned()) }
    }

    /// The duty of this name for one set of workers.
    pub fn worker_set(name: &str, set: u16) -> LeaseId {
        LeaseId { name: name.to_owned(), scope: LeaseScope::WorkerSet(set) }
    }
}

impl std::fmt::Display for LeaseId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.scope {
            LeaseScope::Fleet => write!(f, "{}", self.name),
            LeaseScope::Zone(zone) => write!(f, "{}@zone/{zone}", self.name),
            LeaseScope::WorkerSet(set) => write!(f, "{}@set/{set}", self.name),
        }
    }
}

impl std::str::FromStr for LeaseId {
    type Err = String;

    fn from_str(text: &str) -> Result<LeaseId, String> {
        let fault = || format!("{text:?} is no duty; wanted NAME, NAME@zone/ZONE or NAME@set/NUMBER");
        let (name, scope) = match text.split_once('@') {
            None => (text, LeaseScope::Fleet),
            Some((name, scope)) => match scope.split_once('/') {
                Some(("zone", zone)) if !zone.is_empty() => (name, LeaseScope::Zone(zone.to_owned())),
                Some(("set", set)) => (name, LeaseScope::WorkerSet(set.parse().map_err(|_| fault())?)),
                _ => return Err(fault()),
            },
        };
        match name.is_empty() {
            true => Err(fault()),
            false => Ok(LeaseId { name: name.to_owned(), scope }),
        }
    }
}
