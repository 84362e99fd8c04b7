//! What an observer makes of the dispatchers' own word and of their silence.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Account, Condition, Kind, Observed, Target};

/// The duty of observing.
pub const ACCOUNT: &str = "account";

/// Microseconds on the observer's clock.
type Micros = u64;

/// What a dispatcher says of itself, whenever it is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Which of its lives: higher with each start and each return from standby.
    pub number: u64,
    /// Whether it is ready and invites work.
    pub serves: bool,
}

impl Standing {
    /// Its bytes.
    pub fn pack(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Out of its bytes.
    pub fn unpack(bytes: &[u8]) -> Option<Standing> {
        postcard::from_bytes(bytes).ok()
    }
}

/// An observer's knowledge in one term.
#[derive(Debug, Clone)]
pub struct Census {
    holds: Micros,
    began: Micros,
    heard: BTreeMap<String, (Micros, Standing)>,
}

impl Census {
    /// A term begins. What a dispatcher says counts for so long.
    pub fn new(holds: Micros, now: Micros) -> Census {
        Census { holds, began: now, heard: BTreeMap::new() }
    }

    /// A dispatcher says how it is.
    pub fn heard(&mut self, standing: Standing, now: Micros) {
        self.heard.insert(standing.name.clone(), (now, standing));
    }

    /// How the dispatchers are that are not as the account has them: those in the list of members, and those that were
    /// in once and were not struck off. None before everybody has had time to say something in this term.
    pub fn look(&self, now: Micros, members: &[(&str, &str)], account: &Account) -> Option<Vec<Observed>> {
        if now.saturating_sub(self.began) < 2 * self.holds {
            return None;
        }
        let known: BTreeMap<Target, Observed> =
            account.targets().map(|seen| (seen.target.clone(), seen)).collect();
        let earlier = known.keys().filter(|target| target.kind == Kind::Dispatcher);
        let names: BTreeSet<&str> =
            members.iter().map(|(name, _)| *name).chain(earlier.map(|target| target.name.as_str())).collect();
        let one = |name: &str| {
            let target = Target { kind: Kind::Dispatcher, name: name.to_owned() };
            let fresh = self.heard.get(name).filter(|(at, _)| now.saturating_sub(*at) < self.holds);
            let zone = members.iter().find(|(member, _)| *member == name).map(|(_, zone)| *zone);
            let was = known.get(&target);
            let (condition, zone, incarnation) = match fresh {
                Some((_, standing)) => {
                    let condition = if standing.serves { Condition::In } else { Condition::Out };
                    (condition, standing.zone.clone(), standing.number)
                }
                None => {
                    let zone =
                        zone.map(str::to_owned).or(was.map(|was| was.zone.clone())).unwrap_or_default();
                    (Condition::Out, zone, was.map_or(0, |was| was.incarnation))
                }
            };
            Observed { target, zone, pool: String::new(), condition, incarnation }
        };
        let changed = |one: &Observed| known.get(&one.target) != Some(one);
        Some(names.into_iter().map(one).filter(changed).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Change;

    fn says(name: &str, number: u64, serves: bool) -> Standing {
        Standing { name: name.into(), zone: "north".into(), number, serves }
    }

    #[test]
    fn silence_is_out_and_nobody_is_judged_before_it_had_time_to_speak() {
        let (mut census, mut account) = (Census::new(100, 1_000), Account::default());
        let members = [("a", "north"), ("b", "north")];
        census.heard(says("a", 7, true), 1_010);
        assert_eq!(census.look(1_199, &members, &account), None);
        census.heard(says("a", 7, true), 1_150);
        let seen = census.look(1_200, &members, &account).unwrap();
        let conditions: Vec<_> = seen.iter().map(|one| (one.condition, one.incarnation)).collect();
        assert_eq!(conditions, [(Condition::In, 7), (Condition::Out, 0)]);
        account.apply(1, &Change::Observe { token: 1, seen: 0, targets: seen, gone: Vec::new() });
        census.heard(says("a", 7, true), 1_250);
        assert_eq!(census.look(1_260, &members, &account), Some(Vec::new()), "as the account has it");
        // One that left the list of members counts on, and one in standby is out.
        census.heard(says("b", 1, false), 1_300);
        let seen = census.look(1_360, &[("b", "north")], &account).unwrap();
        assert_eq!(seen.len(), 2);
        assert!(seen.iter().all(|one| one.condition == Condition::Out));
    }
}
