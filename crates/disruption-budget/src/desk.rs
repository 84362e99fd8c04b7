//! What the leading keeper knows of permits besides the account: since when each is as it is.
//!
//! It is lost with the lead, and the next leader counts anew: a permit then lasts longer, and never shorter, than said.

use std::collections::BTreeMap;

use crate::{Account, Change, PermitId, State};

/// Microseconds on the leading keeper's clock.
pub type Micros = u64;

/// How long a permit may be granted and not begun.
pub const BEGIN_WITHIN: Micros = 5_000_000;
/// How long a permit waits after its asker asked for it last.
pub const ASK_AGAIN: Micros = 60_000_000;

/// The leading keeper's account of time.
#[derive(Debug, Clone, Default)]
pub struct Desk {
    since: BTreeMap<PermitId, (State, Micros)>,
}

impl Desk {
    /// The account changed, or this keeper leads from now on.
    pub fn applied(&mut self, now: Micros, account: &Account) {
        let permits = account.permits();
        self.since.retain(|id, (state, _)| permits.get(id).is_some_and(|permit| permit.state == *state));
        for (id, permit) in permits {
            self.since.entry(*id).or_insert((permit.state, now));
        }
    }

    /// Its asker asked for a permit again.
    pub fn asked(&mut self, id: PermitId, now: Micros) {
        if let Some((State::Waiting, since)) = self.since.get_mut(&id) {
            *since = now;
        }
    }

    /// What is to be proposed now. What was proposed before and not agreed on yet is named again: it does no harm.
    pub fn due(&self, now: Micros) -> Vec<Change> {
        let over = |(state, since): &(State, Micros)| match state {
            State::Waiting => now.saturating_sub(*since) > ASK_AGAIN,
            State::Granted => now.saturating_sub(*since) > BEGIN_WITHIN,
            // No time ends what was begun.
            State::Begun => false,
        };
        let due = self.since.iter().filter(|(_, since)| over(since));
        due.map(|(id, _)| Change::Void { permit: *id }).collect()
    }

    /// Permits that were begun so long ago, in microseconds, and whose targets are not in again: hung ones, most likely.
    pub fn begun_for(&self, now: Micros) -> impl Iterator<Item = (PermitId, Micros)> + '_ {
        let begun = self.since.iter().filter(|(_, (state, _))| *state == State::Begun);
        begun.map(move |(id, (_, since))| (*id, now.saturating_sub(*since)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Kind, Target};

    #[test]
    fn what_is_not_begun_in_time_is_void_and_what_was_begun_never() {
        let (mut account, mut desk) = (Account::default(), Desk::default());
        let target = Target { kind: Kind::Worker, name: "w".into() };
        let ask =
            |force| Change::Ask { target: target.clone(), reason: "r".into(), asker: "a".into(), force };
        account.apply(1, &ask(false));
        desk.applied(0, &account);
        desk.asked(1, 50_000_000);
        assert!(desk.due(ASK_AGAIN + 1).is_empty(), "it asked again");
        assert_eq!(desk.due(50_000_001 + ASK_AGAIN), [Change::Void { permit: 1 }]);
        account.apply(2, &ask(true));
        desk.applied(60_000_000, &account);
        assert!(desk.due(60_000_000 + BEGIN_WITHIN).is_empty());
        assert_eq!(desk.due(60_000_001 + BEGIN_WITHIN), [Change::Void { permit: 1 }]);
        account.apply(3, &Change::Begin { permit: 1, incarnation: 0 });
        desk.applied(60_000_002, &account);
        assert!(desk.due(u64::MAX).is_empty());
        assert_eq!(desk.begun_for(60_000_005).collect::<Vec<_>>(), [(1, 3)]);
    }
}
