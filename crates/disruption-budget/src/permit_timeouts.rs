//! How long open permits have been in their state, by the leading coordinator's clock.
//!
//! The times are lost with the lead, and the next leader counts anew: a permit then lasts longer than its timeout, and
//! never shorter.

use std::collections::BTreeMap;

use crate::{DisruptionCommand, DisruptionState, Micros, PermitId, PermitState};

/// How long a permit may be granted and not begun.
pub const BEGIN_TIMEOUT: Micros = 5_000_000;
/// How long a permit may wait after its requester requested it last.
pub const RENEWAL_TIMEOUT: Micros = 60_000_000;

/// Since when a permit is in its state, or was requested again.
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
            // No timeout ends a step that began.
            PermitState::Begun => false,
        }
    }
}

/// The ages of all open permits.
#[derive(Debug, Clone, Default)]
pub struct PermitTimeouts {
    entries: BTreeMap<PermitId, StateEntry>,
}

impl PermitTimeouts {
    /// Takes over the open permits, after each change of the state and when this coordinator becomes leader.
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

    /// The commands that cancel expired permits. A command that was proposed and not committed yet is named again, which
    /// does no harm: a permit is cancelled once.
    pub fn expired(&self, now: Micros) -> Vec<DisruptionCommand> {
        let expired = self.entries.iter().filter(|(_, entry)| entry.is_expired(now));
        expired.map(|(id, _)| DisruptionCommand::CancelPermit { permit: *id }).collect()
    }

    /// Permits that were begun and whose targets are not available again, with the time since then: a long one is most
    /// likely a target that hangs.
    pub fn begun_durations(&self, now: Micros) -> impl Iterator<Item = (PermitId, Micros)> + '_ {
        let begun = self.entries.iter().filter(|(_, entry)| entry.state == PermitState::Begun);
        begun.map(move |(id, entry)| (*id, entry.age(now)))
    }
}
