//! Timeouts of open permits, by the leading replica's clock.
//!
//! The times are lost when the leader changes, and the next leader starts them again. A permit may then outlast its
//! timeout, but it never expires early.

use std::collections::BTreeMap;

use crate::{DisruptionCommand, DisruptionState, Micros, PermitId, PermitState};

/// Time after its grant at which a permit that was not begun expires.
pub const BEGIN_TIMEOUT: Micros = 5_000_000;
/// Time after its latest request at which a waiting permit expires.
pub const RENEWAL_TIMEOUT: Micros = 60_000_000;

/// State of a permit, and the time at which it entered the state or was renewed.
#[derive(Debug, Clone, Copy)]
struct StateEntry {
    state: PermitState,
    since: Micros,
}

impl StateEntry {
    fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.since)
    }

    fn is_expired(&self, now: Micros) -> bool {
        match self.state {
            PermitState::Waiting => self.age(now) > RENEWAL_TIMEOUT,
            PermitState::Granted => self.age(now) > BEGIN_TIMEOUT,
            // A begun permit counts against budgets until its target is available again.
            PermitState::Begun => false,
        }
    }
}

/// A begun permit whose target was not observed to be available again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BegunPermit {
    /// Number of the permit.
    pub id: PermitId,
    /// Time since the permit was begun.
    pub duration: Micros,
}

/// Ages of all open permits.
#[derive(Debug, Clone, Default)]
pub struct PermitTimeouts {
    entries: BTreeMap<PermitId, StateEntry>,
}

impl PermitTimeouts {
    /// Updates the entries to the open permits. Must be called after each change of the state and when this replica
    /// becomes leader.
    pub fn update(&mut self, now: Micros, state: &DisruptionState) {
        let permits = state.permits();
        self.entries.retain(|id, entry| permits.get(id).is_some_and(|permit| permit.state == entry.state));
        for (id, permit) in permits {
            self.entries.entry(*id).or_insert(StateEntry { state: permit.state, since: now });
        }
    }

    /// Restarts the timeout of a waiting permit that was requested again.
    pub fn renew(&mut self, id: PermitId, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.state == PermitState::Waiting) {
            entry.since = now;
        }
    }

    /// Returns the commands that cancel expired permits. A command that is proposed and not committed yet is returned
    /// again. This is harmless, because a permit can be cancelled only once.
    pub fn expired(&self, now: Micros) -> Vec<DisruptionCommand> {
        let expired = self.entries.iter().filter(|(_, entry)| entry.is_expired(now));
        expired.map(|(id, _)| DisruptionCommand::CancelPermit { permit: *id }).collect()
    }

    /// Returns the begun permits. A long duration suggests a target that does not return.
    pub fn begun_permits(&self, now: Micros) -> impl Iterator<Item = BegunPermit> + '_ {
        let begun = self.entries.iter().filter(|(_, entry)| entry.state == PermitState::Begun);
        begun.map(move |(id, entry)| BegunPermit { id: *id, duration: entry.age(now) })
    }
}
