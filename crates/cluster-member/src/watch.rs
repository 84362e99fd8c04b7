//! The duties "watch": the workers are cut into sets, and each set is watched by one owner, who tells all members
//! which workers fail. Pure: no I/O, no clock.
//!
//! What holds:
//!
//! 1. *A worker is probed at most once a period, whoever does it.* An owner probes each worker first one period after
//!    its term began, so after the last probe of the term before, and then a period after the last probe was written.
//! 2. *A watcher that is cut off condemns nobody.* A worker that fails counts only where its watcher saw another worker of
//!    that zone well between the first and the last of these failures, or where a watcher of another zone sees the whole
//!    zone dark as it does; and never where the watcher sees no worker well at all.
//! 3. *What is said lapses.* Without fresh word nothing is held against a worker for longer than the stated time, and
//!    word that was long on its way is as old as that.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{FencingToken, LeaseId, LeaseScope, Micros};
use serde::{Deserialize, Serialize};

/// Between two reports of one owner there is at least this.
const ROUND: Micros = 100_000;
/// Workers that come new are probed first within this part of a period after the first, so that they do not all meet.
const SPREAD: u64 = 4;
/// Clocks of two processes are compared by the quickest word of a term; this many terms are remembered.
const TERMS: usize = 256;

/// How workers are watched; the same at all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watching {
    /// Into how many sets the workers are cut.
    pub sets: u16,
    /// How many zones there are; by the settings that all dispatchers have, at the start.
    pub zones: u16,
    /// How often a worker is probed.
    pub period: Micros,
    /// So many failures in a row are told as such.
    pub fails: u16,
    /// What was said counts for so long.
    pub holds: Micros,
    /// A flaw put in on purpose, to see that it is found.
    pub flaw: Option<Flaw>,
}

/// A flaw put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// An owner probes as soon as its term begins.
    NoWait,
    /// Every watcher is believed, also one that may be cut off.
    Trusting,
    /// Probes are written without a look at the lease.
    NoLook,
}

impl Flaw {
    /// The flaws by name.
    pub const NAMES: [(&'static str, Flaw); 3] =
        [("no-wait", Flaw::NoWait), ("trusting", Flaw::Trusting), ("no-look", Flaw::NoLook)];
}

impl Watching {
    /// The name of the duties. It carries how the workers are cut: members that do so in other ways do not take each
    /// other's sets for their own.
    pub fn name(&self) -> String {
        format!("watch-of-{}-in-{}", self.sets, self.zones)
    }

    /// All duties of this kind.
    pub fn duties(&self) -> Vec<LeaseId> {
        (0..self.sets).map(|set| LeaseId::worker_set(&self.name(), set)).collect()
    }

    /// The set that a duty is about, where it is one of these.
    pub fn set(&self, duty: &LeaseId) -> Option<u16> {
        match duty.scope {
            LeaseScope::WorkerSet(set) if set < self.sets && duty.name == self.name() => Some(set),
            _ => None,
        }
    }

    /// The set that a worker is in; by its number and its zone's place, which are the same everywhere. The workers of a
    /// zone are in as few sets as there are for it, so that each has neighbours of its zone there: without one that is
    /// well, nobody can tell a worker that fails from the way to its zone.
    pub fn set_of(&self, worker: u64, zone: u32) -> u16 {
        let (sets, zones) = (u64::from(self.sets.max(1)), u64::from(self.zones.max(1)));
        let spread = (sets / zones).max(1);
        let mixed = worker.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        ((u64::from(zone) * spread + mixed % spread) % sets) as u16
    }
}

/// When some worker of each zone was seen well last, over all sets that one process watches.
#[derive(Debug, Clone, Default)]
pub struct Zones(BTreeMap<String, Micros>);

impl Zones {
    fn well_since(&self, zone: &str, since: Micros) -> bool {
        self.0.get(zone).is_some_and(|last| *last >= since)
    }
}

/// One worker as its watcher knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Watched {
    zone: String,
    next: Micros,
    out: bool,
    failures: u16,
    /// When the first of these failures was.
    first: Micros,
    /// Another worker of its zone was seen well between the first and the last of them.
    alone: bool,
    /// When it was seen last, well or not.
    seen: Option<Micros>,
}

/// An owner's rounds through one set, in one term.
#[derive(Debug, Clone)]
pub struct Rounds {
    how: Watching,
    /// The watcher's own zone.
    zone: String,
    workers: BTreeMap<u64, Watched>,
    said: Option<Micros>,
    changed: bool,
}

impl Rounds {
    /// A term begins. `zone` is the watcher's own.
    pub fn new(how: Watching, zone: &str) -> Rounds {
        Rounds { how, zone: zone.to_owned(), workers: BTreeMap::new(), said: None, changed: false }
    }

    /// The workers of the set as they are now, with their zones. What is new is probed a period from now, since another
    /// owner may have probed it until now.
    pub fn list<'a>(&mut self, now: Micros, workers: impl Iterator<Item = (u64, &'a str)>) {
        let workers: BTreeMap<u64, &str> = workers.collect();
        self.workers.retain(|id, _| workers.contains_key(id));
        let new: Vec<_> = workers.iter().filter(|(id, _)| !self.workers.contains_key(id)).collect();
        let step = self.how.period / SPREAD / new.len().max(1) as u64;
        let mut next = now + if self.how.flaw == Some(Flaw::NoWait) { 0 } else { self.how.period };
        let new: Vec<(u64, Watched)> = new
            .into_iter()
            .map(|(id, zone)| {
                let zone = (*zone).to_owned();
                let watched =
                    Watched { zone, next, out: false, failures: 0, first: 0, alone: false, seen: None };
                next += step;
                (*id, watched)
            })
            .collect();
        self.workers.extend(new);
    }

    /// The workers to be probed now. Each is given out once until it has ended.
    pub fn due(&mut self, now: Micros) -> Vec<u64> {
        let due = self.workers.iter_mut().filter(|(_, watched)| !watched.out && watched.next <= now);
        due.map(|(id, watched)| {
            watched.out = true;
            *id
        })
        .collect()
    }

    /// A probe is about to be written: the next is a period later.
    pub fn written(&mut self, worker: u64, now: Micros) {
        if let Some(watched) = self.workers.get_mut(&worker) {
            watched.next = now + self.how.period;
        }
    }

    /// A probe has ended: the worker was seen well or failing, or nothing was learnt of it.
    pub fn ended(&mut self, worker: u64, well: Option<bool>, now: Micros, zones: &mut Zones) {
        let Some(watched) = self.workers.get_mut(&worker) else { return };
        watched.out = false;
        if watched.next <= now {
            // Nothing was written.
            watched.next = now + self.how.period;
        }
        let Some(well) = well else { return };
        let told = |watched: &Watched| (watched.failures >= self.how.fails, watched.alone);
        let before = told(watched);
        if well {
            (watched.failures, watched.alone) = (0, false);
            zones.0.insert(watched.zone.clone(), now);
        } else {
            if watched.failures == 0 {
                watched.first = now;
            }
            watched.failures = watched.failures.saturating_add(1);
            // The well ones are looked for at each failure and not later: those seen when a cut has healed say nothing
            // of what failed during it.
            watched.alone |= watched.failures > 1 && zones.well_since(&watched.zone, watched.first);
        }
        watched.seen = Some(now);
        self.changed |= before != told(watched);
    }

    /// What is to be said now, if anything is.
    pub fn report(&mut self, now: Micros, zones: &Zones) -> Option<Report> {
        let since = self.said.map(|said| now.saturating_sub(said));
        let due = match since {
            None => self.workers.values().any(|watched| watched.seen.is_some()),
            Some(since) => since >= self.how.period || (self.changed && since >= ROUND),
        };
        if !due {
            return None;
        }
        (self.said, self.changed) = (Some(now), false);
        let lately = now.saturating_sub(2 * self.how.period);
        let sees = zones.0.values().any(|last| *last >= lately);
        let mut report =
            Report { zone: self.zone.clone(), sent: now, sees, zones: Vec::new(), failing: Vec::new() };
        for (id, watched) in &self.workers {
            let Some(seen) = watched.seen else { continue };
            let zone = report.zones.iter().position(|known| known.name == watched.zone);
            let zone = zone.unwrap_or_else(|| {
                let lit = zones.well_since(&watched.zone, lately);
                report.zones.push(ZoneSeen { name: watched.zone.clone(), lit, failing: 0 });
                report.zones.len() - 1
            });
            // Once is no news.
            if watched.failures >= self.how.fails {
                report.zones[zone].failing += 1;
                let (failures, alone, ago) = (watched.failures, watched.alone, now.saturating_sub(seen));
                report.failing.push(Failing { worker: *id, zone: zone as u16, failures, ago, alone });
            }
        }
        Some(report)
    }

    /// How many workers are watched, and how many of them fail.
    pub fn counts(&self) -> (usize, usize) {
        let failing = self.workers.values().filter(|watched| watched.failures >= self.how.fails);
        (self.workers.len(), failing.count())
    }
}

/// What a watcher sees of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSeen {
    /// The zone.
    pub name: String,
    /// Some worker of it was seen well of late, in whichever set the watcher owns.
    pub lit: bool,
    /// Workers that fail.
    pub failing: u32,
}

/// A worker that fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failing {
    /// The worker, by the number that all members know it by.
    pub worker: u64,
    /// The place of its zone in [`Report::zones`].
    pub zone: u16,
    /// How often in a row.
    pub failures: u16,
    /// How long before [`Report::sent`] it was seen last.
    pub ago: Micros,
    /// Another worker of its zone was seen well between the first and the last of these failures.
    pub alone: bool,
}

/// What the owner of a set says to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The watcher's own zone.
    pub zone: String,
    /// When this was said, by the watcher's clock: only differences within one term mean something.
    pub sent: Micros,
    /// It sees some worker well somewhere.
    pub sees: bool,
    /// What is seen of each zone.
    pub zones: Vec<ZoneSeen>,
    /// The workers that fail.
    pub failing: Vec<Failing>,
}

impl Report {
    /// The bytes that members are told.
    pub fn pack(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads them; nothing where they are none.
    pub fn unpack(bytes: &[u8]) -> Option<Report> {
        let report: Report = postcard::from_bytes(bytes).ok()?;
        let known = |failing: &Failing| usize::from(failing.zone) < report.zones.len();
        report.failing.iter().all(known).then_some(report)
    }

    /// It sees no worker of that zone well, and some that fail.
    fn dark(&self, zone: &str) -> bool {
        self.zones.iter().any(|seen| seen.name == zone && !seen.lit && seen.failing > 0)
    }
}

/// What was heard of one set.
#[derive(Debug, Clone)]
struct Heard {
    /// When it was said, by the receiver's clock.
    at: Micros,
    report: Report,
}

/// A receiver's account of what watchers say.
#[derive(Debug, Clone)]
pub struct Sightings {
    how: Watching,
    heard: BTreeMap<u16, Heard>,
    /// By term, the smallest difference between the receiver's clock and what a report says: the quickest word.
    quickest: BTreeMap<FencingToken, i128>,
}

/// What is held against a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Against {
    /// When it was last seen failing, by the receiver's clock.
    pub seen: Micros,
    /// When that lapses if nothing more is heard.
    pub until: Micros,
}

impl Sightings {
    /// Nothing was heard yet.
    pub fn new(how: Watching) -> Sightings {
        Sightings { how, heard: BTreeMap::new(), quickest: BTreeMap::new() }
    }

    /// Takes a report of a set's owner, whose token was found good.
    pub fn take(&mut self, set: u16, token: FencingToken, report: Report, now: Micros) {
        let apart = i128::from(now) - i128::from(report.sent);
        let quickest = self.quickest.entry(token).or_insert(apart);
        *quickest = apart.min(*quickest);
        // What took longer than the quickest word is older by that much.
        let late = u64::try_from(apart - *quickest).unwrap_or(u64::MAX);
        let at = now.saturating_sub(late);
        while self.quickest.len() > TERMS {
            self.quickest.pop_first();
        }
        self.heard.insert(set, Heard { at, report });
    }

    fn fresh(&self, heard: &Heard, now: Micros) -> bool {
        now.saturating_sub(heard.at) < self.how.holds
    }

    /// Whether this watcher and one of another zone see a zone dark, and something else well.
    fn dark(&self, set: u16, heard: &Heard, zone: &str, now: Micros) -> bool {
        let mut others = self.heard.iter().filter(|(other, _)| **other != set).map(|(_, other)| other);
        heard.report.dark(zone)
            && others.any(|other| {
                self.fresh(other, now)
                    && other.report.zone != heard.report.zone
                    && other.report.sees
                    && other.report.dark(zone)
            })
    }

    /// What is held against which worker at this moment.
    pub fn against(&self, now: Micros) -> BTreeMap<u64, Against> {
        let mut against = BTreeMap::new();
        for (set, heard) in self.heard.iter().filter(|(_, heard)| self.fresh(heard, now)) {
            let zones = heard.report.zones.iter();
            let dark: Vec<bool> = zones.map(|zone| self.dark(*set, heard, &zone.name, now)).collect();
            let trusting = self.how.flaw == Some(Flaw::Trusting);
            for failing in &heard.report.failing {
                let seen = heard.at.saturating_sub(failing.ago);
                let until = seen + self.how.holds;
                let dark = dark.get(usize::from(failing.zone)) == Some(&true);
                let credible = trusting || (heard.report.sees && (failing.alone || dark));
                if until > now && credible {
                    against.insert(failing.worker, Against { seen, until });
                }
            }
        }
        against
    }

    /// The sets of which something fresh is known.
    pub fn watched(&self, now: Micros) -> BTreeSet<u16> {
        let fresh = self.heard.iter().filter(|(_, heard)| self.fresh(heard, now));
        fresh.map(|(set, _)| *set).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const HOW: Watching =
        Watching { sets: 2, zones: 1, period: SECOND, fails: 2, holds: 4 * SECOND, flaw: None };

    /// Workers 0 to 5, two in each of three zones.
    fn fleet() -> impl Iterator<Item = (u64, &'static str)> {
        (0..6).map(|worker| (worker, ["north", "south", "west"][worker as usize / 2]))
    }

    /// One watcher's term of so long, in steps of 10 ms; each probe is written so long after it was due. Returns when
    /// each worker was probed, and the last report.
    fn term(
        begun: Micros,
        length: Micros,
        zone: &str,
        well: impl Fn(u64) -> bool,
    ) -> (BTreeMap<u64, Vec<Micros>>, Option<Report>) {
        let (mut rounds, mut probes, mut last) = (Rounds::new(HOW, zone), BTreeMap::new(), None);
        let mut zones = Zones::default();
        rounds.list(begun, fleet());
        for now in (begun..begun + length).step_by(10_000) {
            for worker in rounds.due(now) {
                rounds.written(worker, now + 3_000 * worker);
                probes.entry(worker).or_insert_with(Vec::new).push(now + 3_000 * worker);
                rounds.ended(worker, Some(well(worker)), now + 20_000, &mut zones);
            }
            last = rounds.report(now, &zones).or(last);
        }
        (probes, last)
    }

    #[test]
    fn no_worker_is_probed_more_often_than_once_a_period_over_all_owners() {
        let mut all: BTreeMap<u64, Vec<Micros>> = BTreeMap::new();
        // An owner that is replaced the moment it has probed, again and again, and one that stays.
        for (begun, length) in [(0, 1_300_000), (1_300_000, 1_010_000), (2_310_000, 5 * SECOND)] {
            for (worker, at) in term(begun, length, "north", |_| true).0 {
                all.entry(worker).or_default().extend(at);
            }
        }
        for (worker, at) in all {
            assert!(at.windows(2).all(|pair| pair[1] - pair[0] >= SECOND), "worker {worker}: {at:?}");
            assert!(at.len() >= 5, "worker {worker} was probed {} times", at.len());
            let longest = at.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
            assert!(longest < 2 * SECOND + SECOND / 2, "worker {worker} waited {longest}");
        }
    }

    #[test]
    fn a_worker_that_comes_back_on_the_list_waits_for_a_period() {
        let mut rounds = Rounds::new(HOW, "north");
        rounds.list(0, fleet());
        assert!(rounds.due(999_999).is_empty());
        assert_eq!(rounds.due(2 * SECOND).len(), 6);
        assert!(rounds.due(9 * SECOND).is_empty(), "they are out");
        rounds.list(3 * SECOND, std::iter::empty());
        rounds.list(3 * SECOND, fleet());
        assert!(rounds.due(3_900_000).is_empty());
    }

    #[test]
    fn two_failures_are_told_and_one_sight_of_a_well_worker_takes_that_back() {
        let (_, report) = term(0, 3 * SECOND, "north", |worker| worker != 3);
        let report = report.unwrap();
        assert_eq!(report.failing.iter().map(|failing| failing.worker).collect::<Vec<_>>(), [3]);
        assert_eq!(Report::unpack(&report.pack()), Some(report.clone()));
        let mut sightings = Sightings::new(HOW);
        sightings.take(0, FencingToken(7), report.clone(), 10 * SECOND);
        let against = sightings.against(10 * SECOND)[&3];
        assert!(against.seen <= 10 * SECOND && against.until > 13 * SECOND);
        assert!(sightings.against(against.until).is_empty(), "it lapses");
        let well = Report { failing: Vec::new(), ..report };
        sightings.take(0, FencingToken(7), well, 10 * SECOND + 1);
        assert!(sightings.against(10 * SECOND + 2).is_empty());
    }

    #[test]
    fn word_that_was_long_on_its_way_is_as_old_as_that() {
        let (_, report) = term(0, 3 * SECOND, "north", |worker| worker != 3);
        let report = report.unwrap();
        let mut sightings = Sightings::new(HOW);
        sightings.take(0, FencingToken(7), report.clone(), 10 * SECOND);
        let later = Report { sent: report.sent + SECOND, ..report };
        sightings.take(0, FencingToken(7), later, 14 * SECOND);
        // Three of these four seconds it was on its way.
        assert!(sightings.against(14 * SECOND)[&3].seen <= 11 * SECOND);
        assert!(sightings.against(15 * SECOND).is_empty());
    }

    #[test]
    fn a_watcher_that_is_cut_off_from_a_zone_condemns_nobody_there() {
        let now = 10 * SECOND;
        // Cut off from the north; sees the rest.
        let (_, cut) = term(0, 3 * SECOND, "south", |worker| worker >= 2);
        let (_, fine) = term(0, 3 * SECOND, "west", |_| true);
        let (_, same) = term(0, 3 * SECOND, "west", |worker| worker >= 2);
        let (_, near) = term(0, 3 * SECOND, "south", |worker| worker >= 2);
        let told = |other: &Report| {
            let mut sightings = Sightings::new(HOW);
            sightings.take(0, FencingToken(1), cut.clone().unwrap(), now);
            sightings.take(1, FencingToken(2), other.clone(), now);
            sightings.against(now).into_keys().collect::<Vec<u64>>()
        };
        assert!(told(&fine.unwrap()).is_empty(), "another watcher sees the north well");
        assert!(told(&near.unwrap()).is_empty(), "one of the same zone proves nothing");
        assert_eq!(told(&same.unwrap()), [0, 1], "two zones see the north dark");
        let mut trusting = Sightings::new(Watching { flaw: Some(Flaw::Trusting), ..HOW });
        trusting.take(0, FencingToken(1), cut.unwrap(), now);
        assert_eq!(trusting.against(now).len(), 2, "without the check it would");
    }

    /// Found by processes (seed 2): when a cut had healed, the first worker seen well made the rest of its zone look
    /// as if they alone failed, until they were probed again.
    #[test]
    fn workers_that_failed_during_a_cut_are_not_held_to_fail_alone_when_it_heals() {
        let (mut rounds, mut zones) = (Rounds::new(HOW, "south"), Zones::default());
        let mut sightings = Sightings::new(HOW);
        rounds.list(0, fleet());
        for now in (0..12 * SECOND).step_by(10_000) {
            for worker in rounds.due(now) {
                rounds.written(worker, now);
                // The north is out of reach for a while.
                let reached = worker > 1 || !(3 * SECOND..7_100_000).contains(&now);
                rounds.ended(worker, Some(reached), now, &mut zones);
            }
            if let Some(report) = rounds.report(now, &zones) {
                sightings.take(0, FencingToken(1), report, now);
            }
            assert!(sightings.against(now).is_empty(), "at {now}");
        }
    }

    #[test]
    fn a_watcher_that_sees_nobody_well_says_nothing_even_where_others_agree() {
        let (_, blind) = term(0, 3 * SECOND, "south", |_| false);
        let (_, other) = term(0, 3 * SECOND, "west", |worker| worker >= 2);
        let mut sightings = Sightings::new(HOW);
        sightings.take(0, FencingToken(1), blind.unwrap(), 10 * SECOND);
        sightings.take(1, FencingToken(2), other.unwrap(), 10 * SECOND);
        assert!(sightings.against(10 * SECOND).is_empty());
        assert_eq!(sightings.watched(10 * SECOND).len(), 2);
        assert!(sightings.watched(15 * SECOND).is_empty());
    }

    #[test]
    fn workers_are_spread_over_the_sets_and_sets_are_told_apart_by_their_number() {
        let how = Watching { sets: 8, ..HOW };
        let mut counts = [0u32; 8];
        (0..4_000u64).for_each(|worker| counts[usize::from(how.set_of(worker * 7 + 1, 0))] += 1);
        assert!(counts.iter().all(|count| (400..600).contains(count)), "{counts:?}");
        // Found by processes (seed 208 with 8 dispatchers): a worker that was alone of its zone in its set.
        for zones in [2, 3, 8, 20] {
            let how = Watching { zones, ..how };
            let of = |zone: u16| (0..9u64).map(move |n| how.set_of(n * 7 + 1, u32::from(zone)));
            let sets: Vec<BTreeSet<u16>> = (0..zones).map(|zone| of(zone).collect()).collect();
            let most = usize::from((8 / zones).max(1));
            assert!(sets.iter().all(|sets| sets.len() <= most), "{zones}: {sets:?}");
            let all: BTreeSet<u16> = sets.iter().flatten().copied().collect();
            assert!(all.len() >= usize::from(zones.min(8)), "{zones}: {sets:?}");
        }
        assert_eq!(how.duties().len(), 8);
        assert!(how.duties().iter().all(|duty| how.set(duty).is_some()));
        assert!(HOW.duties().iter().all(|duty| how.set(duty).is_none()));
    }
}
