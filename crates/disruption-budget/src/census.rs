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

/// A worker as discovery's list and the watchers have it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its pool.
    pub pool: String,
    /// It takes new work, as far as discovery told.
    pub serves: bool,
    /// Which start of it this is, in discovery's words. Only whether it is the same start is asked, never when it was.
    pub start: u64,
    /// A watcher holds something against it.
    pub fails: bool,
}

/// How warm workers are, by when this process first heard of each start, on its own clock.
#[derive(Debug, Clone)]
pub struct Warmth {
    share: f64,
    within: Micros,
    /// The start, when it was first heard of, and whether it was there before this process was.
    seen: BTreeMap<String, (u64, Micros, bool)>,
    begun: bool,
}

/// Steps in which warmth is told, in thousandths: each is a change of the account.
const STEP: u16 = 100;

impl Warmth {
    /// A worker has this share of its capacity when it starts, and all of it after so long.
    pub fn new(share: f64, within: Micros) -> Warmth {
        Warmth { share, within, seen: BTreeMap::new(), begun: false }
    }

    /// The list, whenever it may have changed.
    pub fn list(&mut self, now: Micros, workers: &[Listed]) {
        let earlier = std::mem::take(&mut self.seen);
        for worker in workers {
            let known = earlier.get(&worker.name).copied().filter(|(start, ..)| *start == worker.start);
            let seen = known.unwrap_or((worker.start, now, !self.begun));
            self.seen.insert(worker.name.clone(), seen);
        }
        self.begun |= !workers.is_empty();
    }

    /// How it is. One that was there before this process was is as warm as the account has it, or as cold as one that
    /// started when this process first heard of it.
    fn condition(&self, worker: &Listed, now: Micros, was: Option<Condition>) -> Condition {
        let Some((_, first, before)) = self.seen.get(&worker.name).filter(|_| worker.serves && !worker.fails)
        else {
            return Condition::Out;
        };
        let age = now.saturating_sub(*first);
        if age >= self.within || (*before && was == Some(Condition::In)) {
            return Condition::In;
        }
        let part = self.share + (1.0 - self.share) * age as f64 / self.within.max(1) as f64;
        Condition::Warming((part.clamp(0.0, 1.0) * 1e3) as u16 / STEP * STEP)
    }

    /// The workers that are not as the account has them, and those of the account that are not in the list any more.
    pub fn look(&self, now: Micros, workers: &[Listed], account: &Account) -> (Vec<Observed>, Vec<Target>) {
        let of_kind = account.targets().filter(|seen| seen.target.kind == Kind::Worker);
        let known: BTreeMap<String, Observed> =
            of_kind.map(|seen| (seen.target.name.clone(), seen)).collect();
        let one = |worker: &Listed| {
            let was = known.get(&worker.name).map(|was| was.condition);
            Observed {
                target: Target { kind: Kind::Worker, name: worker.name.clone() },
                zone: worker.zone.clone(),
                pool: worker.pool.clone(),
                condition: self.condition(worker, now, was),
                // What discovery tells of a start may go back with a worker's clock, so it orders nothing: only the word
                // of whoever did a step ends its permit.
                incarnation: 0,
            }
        };
        let changed = workers.iter().map(one).filter(|one| known.get(&one.target.name) != Some(one));
        let names: BTreeSet<&str> = workers.iter().map(|worker| worker.name.as_str()).collect();
        let gone = known.values().filter(|was| !names.contains(was.target.name.as_str()));
        (changed.collect(), gone.map(|was| was.target.clone()).collect())
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

    fn worker(serves: bool, start: u64, fails: bool) -> Listed {
        let (name, zone, pool) = ("w".to_owned(), "north".to_owned(), "small".to_owned());
        Listed { name, zone, pool, serves, start, fails }
    }

    #[test]
    fn a_worker_that_came_back_warms_up_by_the_observers_own_clock() {
        let (mut warmth, mut account) = (Warmth::new(0.2, 1_000), Account::default());
        let mut see = |now, worker: Listed| {
            warmth.list(now, std::slice::from_ref(&worker));
            let (targets, gone) = warmth.look(now, std::slice::from_ref(&worker), &account);
            assert!(gone.is_empty());
            let condition = targets.first().map(|seen| seen.condition);
            account.apply(now, &Change::Observe { token: 1, seen: 0, targets, gone });
            condition
        };
        // Nobody knows how old it is: as cold as one that just started.
        assert_eq!(see(5_000, worker(true, 77, false)), Some(Condition::Warming(200)));
        assert_eq!(see(6_000, worker(true, 77, false)), Some(Condition::In));
        assert_eq!(see(6_100, worker(true, 77, false)), None, "as the account has it");
        assert_eq!(see(6_200, worker(false, 77, false)), Some(Condition::Out));
        // Another start, by a clock that went back an hour.
        assert_eq!(see(6_300, worker(true, 5, false)), Some(Condition::Warming(200)));
        assert_eq!(see(6_900, worker(true, 5, false)), Some(Condition::Warming(600)));
        assert_eq!(
            see(6_950, worker(true, 5, true)),
            Some(Condition::Out),
            "a watcher holds something against it"
        );
        assert_eq!(see(7_300, worker(true, 5, false)), Some(Condition::In));
        // Another observer finds it as the account has it.
        let mut other = Warmth::new(0.2, 1_000);
        let workers = [worker(true, 5, false)];
        other.list(9_000, &workers);
        assert_eq!(other.look(9_000, &workers, &account), (vec![], vec![]));
        let gone = Target { kind: Kind::Worker, name: "w".into() };
        assert_eq!(other.look(9_000, &[], &account), (vec![], vec![gone]));
    }
}
