//! What the leading keeper knows of permits besides the account: since when each is as it is.
//!
//! It is lost with the lead, and the next leader counts anew: a permit then lasts longer, and never shorter, than said.

use std::collections::BTreeMap;

use crate::{DisruptionCommand, DisruptionState, PermitId, PermitState};

/// Microseconds on the leading keeper's clock.
pub type Micros = u64;

/// How long a permit may be granted and not begun.
pub const BEGIN_TIMEOUT: Micros = 5_000_000;
/// How long a permit waits after its asker asked for it last.
pub const RENEWAL_TIMEOUT: Micros = 60_000_000;

/// The leading keeper's account of time.
#[derive(Debug, Clone, Default)]
pub struct PermitTimeouts {
    since: BTreeMap<PermitId, (PermitState, Micros)>,
}

impl PermitTimeouts {
    /// The account changed, or this keeper leads from now on.
    pub fn update(&mut self, now: Micros, state: &DisruptionState) {
        let permits = state.permits();
        self.since.retain(|id, (state, _)| permits.get(id).is_some_and(|permit| permit.state == *state));
        for (id, permit) in permits {
            self.since.entry(*id).or_insert((permit.state, now));
        }
    }

    /// Its asker asked for a permit again.
    pub fn renew(&mut self, id: PermitId, now: Micros) {
        if let Some((PermitState::Waiting, since)) = self.since.get_mut(&id) {
            *since = now;
        }
    }

    /// What is to be proposed now. What was proposed before and not agreed on yet is named again: it does no harm.
    pub fn expired(&self, now: Micros) -> Vec<DisruptionCommand> {
        let over = |(state, since): &(PermitState, Micros)| match state {
            PermitState::Waiting => now.saturating_sub(*since) > RENEWAL_TIMEOUT,
            PermitState::Granted => now.saturating_sub(*since) > BEGIN_TIMEOUT,
            // No time ends what was begun.
            PermitState::Begun => false,
        };
        let due = self.since.iter().filter(|(_, since)| over(since));
        due.map(|(id, _)| DisruptionCommand::CancelPermit { permit: *id }).collect()
    }

    /// Permits that were begun so long ago, in microseconds, and whose targets are not in again: hung ones, most likely.
    pub fn begun_durations(&self, now: Micros) -> impl Iterator<Item = (PermitId, Micros)> + '_ {
        let begun = self.since.iter().filter(|(_, (state, _))| *state == PermitState::Begun);
        begun.map(move |(id, (_, since))| (*id, now.saturating_sub(*since)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Target, TargetKind};

    #[test]
    fn what_is_not_begun_in_time_is_void_and_what_was_begun_never() {
        let (mut state, mut timeouts) = (DisruptionState::default(), PermitTimeouts::default());
        let target = Target { kind: TargetKind::Worker, name: "w".into() };
        let ask = |force| DisruptionCommand::RequestPermit {
            target: target.clone(),
            reason: "r".into(),
            requester: "a".into(),
            force,
        };
        state.apply(1, &ask(false));
        timeouts.update(0, &state);
        timeouts.renew(1, 50_000_000);
        assert!(timeouts.expired(RENEWAL_TIMEOUT + 1).is_empty(), "it asked again");
        assert_eq!(
            timeouts.expired(50_000_001 + RENEWAL_TIMEOUT),
            [DisruptionCommand::CancelPermit { permit: 1 }]
        );
        state.apply(2, &ask(true));
        timeouts.update(60_000_000, &state);
        assert!(timeouts.expired(60_000_000 + BEGIN_TIMEOUT).is_empty());
        assert_eq!(
            timeouts.expired(60_000_001 + BEGIN_TIMEOUT),
            [DisruptionCommand::CancelPermit { permit: 1 }]
        );
        state.apply(3, &DisruptionCommand::BeginPermit { permit: 1, incarnation: 0 });
        timeouts.update(60_000_002, &state);
        assert!(timeouts.expired(u64::MAX).is_empty());
        assert_eq!(timeouts.begun_durations(60_000_005).collect::<Vec<_>>(), [(1, 3)]);
    }
}
