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
const MIN_REPORT_INTERVAL: Micros = 100_000;
/// Workers that come new are probed first within this part of a period after the first, so that they do not all meet.
const INITIAL_SPREAD_DIVISOR: u64 = 4;
/// Clocks of two processes are compared by the quickest word of a term; this many terms are remembered.
const MAX_TRACKED_TERMS: usize = 256;

/// How workers are watched; the same at all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthCheckConfig {
    /// Into how many sets the workers are cut.
    pub set_count: u16,
    /// How many zones there are; by the settings that all dispatchers have, at the start.
    pub zone_count: u16,
    /// How often a worker is probed.
    pub probe_interval: Micros,
    /// So many failures in a row are told as such.
    pub failure_threshold: u16,
    /// What was said counts for so long.
    pub report_ttl: Micros,
    /// A flaw put in on purpose, to see that it is found.
    pub injected_bug: Option<InjectedBug>,
}

/// A flaw put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// An owner probes as soon as its term begins.
    ProbeAtOnce,
    /// Every watcher is believed, also one that may be cut off.
    TrustEveryReport,
    /// Probes are written without a look at the lease.
    SkipLeaseCheck,
}

impl InjectedBug {
    /// The flaws by name.
    pub const NAMES: [(&'static str, InjectedBug); 3] = [
        ("no-wait", InjectedBug::ProbeAtOnce),
        ("trusting", InjectedBug::TrustEveryReport),
        ("no-look", InjectedBug::SkipLeaseCheck),
    ];
}

impl HealthCheckConfig {
    /// The name of the duties. It carries how the workers are cut: members that do so in other ways do not take each
    /// other's sets for their own.
    pub fn lease_name(&self) -> String {
        format!("watch-of-{}-in-{}", self.set_count, self.zone_count)
    }

    /// All duties of this kind.
    pub fn leases(&self) -> Vec<LeaseId> {
        (0..self.set_count).map(|set| LeaseId::worker_set(&self.lease_name(), set)).collect()
    }

    /// The set that a duty is about, where it is one of these.
    pub fn set_of_lease(&self, duty: &LeaseId) -> Option<u16> {
        match duty.scope {
            LeaseScope::WorkerSet(set) if set < self.set_count && duty.name == self.lease_name() => Some(set),
            _ => None,
        }
    }

    /// The set that a worker is in; by its number and its zone's place, which are the same everywhere. The workers of a
    /// zone are in as few sets as there are for it, so that each has neighbours of its zone there: without one that is
    /// well, nobody can tell a worker that fails from the way to its zone.
    pub fn set_of_worker(&self, worker: u64, zone: u32) -> u16 {
        let (sets, zones) = (u64::from(self.set_count.max(1)), u64::from(self.zone_count.max(1)));
        let spread = (sets / zones).max(1);
        let mixed = worker.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        ((u64::from(zone) * spread + mixed % spread) % sets) as u16
    }
}

/// When some worker of each zone was seen well last, over all sets that one process watches.
#[derive(Debug, Clone, Default)]
pub struct ZoneLiveness(BTreeMap<String, Micros>);

impl ZoneLiveness {
    fn healthy_since(&self, zone: &str, since: Micros) -> bool {
        self.0.get(zone).is_some_and(|last| *last >= since)
    }
}

/// One worker as its watcher knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct WorkerProbeState {
    zone: String,
    next_probe: Micros,
    in_flight: bool,
    consecutive_failures: u16,
    /// When the first of these failures was.
    first_failure: Micros,
    /// Another worker of its zone was last_result well between the first and the last of them.
    zone_reachable: bool,
    /// When it was seen last, well or not.
    last_result: Option<Micros>,
}

/// An owner's rounds through one set, in one term.
#[derive(Debug, Clone)]
pub struct HealthCheckScheduler {
    config: HealthCheckConfig,
    /// The watcher's own zone.
    zone: String,
    workers: BTreeMap<u64, WorkerProbeState>,
    last_report: Option<Micros>,
    changed: bool,
}

impl HealthCheckScheduler {
    /// A term begins. `zone` is the watcher's own.
    pub fn new(how: HealthCheckConfig, zone: &str) -> HealthCheckScheduler {
        HealthCheckScheduler {
            config: how,
            zone: zone.to_owned(),
            workers: BTreeMap::new(),
            last_report: None,
            changed: false,
        }
    }

    /// The workers of the set as they are now, with their zones. What is new is probed a period from now, since another
    /// owner may have probed it until now.
    pub fn update_workers<'a>(&mut self, now: Micros, workers: impl Iterator<Item = (u64, &'a str)>) {
        let workers: BTreeMap<u64, &str> = workers.collect();
        self.workers.retain(|id, _| workers.contains_key(id));
        let new: Vec<_> = workers.iter().filter(|(id, _)| !self.workers.contains_key(id)).collect();
        let step = self.config.probe_interval / INITIAL_SPREAD_DIVISOR / new.len().max(1) as u64;
        let mut next = now
            + if self.config.injected_bug == Some(InjectedBug::ProbeAtOnce) {
                0
            } else {
                self.config.probe_interval
            };
        let new: Vec<(u64, WorkerProbeState)> = new
            .into_iter()
            .map(|(id, zone)| {
                let zone = (*zone).to_owned();
                let watched = WorkerProbeState {
                    zone,
                    next_probe: next,
                    in_flight: false,
                    consecutive_failures: 0,
                    first_failure: 0,
                    zone_reachable: false,
                    last_result: None,
                };
                next += step;
                (*id, watched)
            })
            .collect();
        self.workers.extend(new);
    }

    /// The workers to be probed now. Each is given out once until it has ended.
    pub fn due_probes(&mut self, now: Micros) -> Vec<u64> {
        let due =
            self.workers.iter_mut().filter(|(_, watched)| !watched.in_flight && watched.next_probe <= now);
        due.map(|(id, watched)| {
            watched.in_flight = true;
            *id
        })
        .collect()
    }

    /// A probe is about to be written: the next is a period later.
    pub fn probe_sent(&mut self, worker: u64, now: Micros) {
        if let Some(watched) = self.workers.get_mut(&worker) {
            watched.next_probe = now + self.config.probe_interval;
        }
    }

    /// A probe has ended: the worker was seen well or failing, or nothing was learnt of it.
    pub fn probe_finished(&mut self, worker: u64, well: Option<bool>, now: Micros, zones: &mut ZoneLiveness) {
        let Some(watched) = self.workers.get_mut(&worker) else { return };
        watched.in_flight = false;
        if watched.next_probe <= now {
            // Nothing was written.
            watched.next_probe = now + self.config.probe_interval;
        }
        let Some(well) = well else { return };
        let told = |watched: &WorkerProbeState| {
            (watched.consecutive_failures >= self.config.failure_threshold, watched.zone_reachable)
        };
        let before = told(watched);
        if well {
            (watched.consecutive_failures, watched.zone_reachable) = (0, false);
            zones.0.insert(watched.zone.clone(), now);
        } else {
            if watched.consecutive_failures == 0 {
                watched.first_failure = now;
            }
            watched.consecutive_failures = watched.consecutive_failures.saturating_add(1);
            // The well ones are looked for at each failure and not later: those seen when a cut has healed say nothing
            // of what failed during it.
            watched.zone_reachable |=
                watched.consecutive_failures > 1 && zones.healthy_since(&watched.zone, watched.first_failure);
        }
        watched.last_result = Some(now);
        self.changed |= before != told(watched);
    }

    /// What is to be said now, if anything is.
    pub fn next_report(&mut self, now: Micros, zones: &ZoneLiveness) -> Option<HealthReport> {
        let since = self.last_report.map(|said| now.saturating_sub(said));
        let due = match since {
            None => self.workers.values().any(|watched| watched.last_result.is_some()),
            Some(since) => {
                since >= self.config.probe_interval || (self.changed && since >= MIN_REPORT_INTERVAL)
            }
        };
        if !due {
            return None;
        }
        (self.last_report, self.changed) = (Some(now), false);
        let lately = now.saturating_sub(2 * self.config.probe_interval);
        let sees = zones.0.values().any(|last| *last >= lately);
        let mut report = HealthReport {
            observer_zone: self.zone.clone(),
            sent_at: now,
            sees_healthy_worker: sees,
            zones: Vec::new(),
            failing: Vec::new(),
        };
        for (id, watched) in &self.workers {
            let Some(seen) = watched.last_result else { continue };
            let zone = report.zones.iter().position(|known| known.name == watched.zone);
            let zone = zone.unwrap_or_else(|| {
                let lit = zones.healthy_since(&watched.zone, lately);
                report.zones.push(ZoneReport {
                    name: watched.zone.clone(),
                    reachable: lit,
                    failing_count: 0,
                });
                report.zones.len() - 1
            });
            // Once is no news.
            if watched.consecutive_failures >= self.config.failure_threshold {
                report.zones[zone].failing_count += 1;
                let (failures, alone, ago) =
                    (watched.consecutive_failures, watched.zone_reachable, now.saturating_sub(seen));
                report.failing.push(FailingWorker {
                    worker: *id,
                    zone_index: zone as u16,
                    consecutive_failures: failures,
                    age: ago,
                    zone_reachable: alone,
                });
            }
        }
        Some(report)
    }

    /// How many workers are watched, and how many of them fail.
    pub fn worker_counts(&self) -> (usize, usize) {
        let failing = self
            .workers
            .values()
            .filter(|watched| watched.consecutive_failures >= self.config.failure_threshold);
        (self.workers.len(), failing.count())
    }
}

/// What a watcher sees of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    pub name: String,
    /// Some worker of it was seen well of late, in whichever set the watcher owns.
    pub reachable: bool,
    /// Workers that fail.
    pub failing_count: u32,
}

/// A worker that fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailingWorker {
    /// The worker, by the number that all members know it by.
    pub worker: u64,
    /// The place of its zone in [`Report::zones`].
    pub zone_index: u16,
    /// How often in a row.
    pub consecutive_failures: u16,
    /// How long before [`Report::sent`] it was seen last.
    pub age: Micros,
    /// Another worker of its zone was seen well between the first and the last of these failures.
    pub zone_reachable: bool,
}

/// What the owner of a set says to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The watcher's own zone.
    pub observer_zone: String,
    /// When this was said, by the watcher's clock: only differences within one term mean something.
    pub sent_at: Micros,
    /// It sees some worker well somewhere.
    pub sees_healthy_worker: bool,
    /// What is last_failure of each zone.
    pub zones: Vec<ZoneReport>,
    /// The workers that fail.
    pub failing: Vec<FailingWorker>,
}

impl HealthReport {
    /// The bytes that members are told.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads them; nothing where they are none.
    pub fn decode(bytes: &[u8]) -> Option<HealthReport> {
        let report: HealthReport = postcard::from_bytes(bytes).ok()?;
        let known = |failing: &FailingWorker| usize::from(failing.zone_index) < report.zones.len();
        report.failing.iter().all(known).then_some(report)
    }

    /// It sees no worker of that zone well, and some that fail.
    fn zone_unreachable(&self, zone: &str) -> bool {
        self.zones.iter().any(|seen| seen.name == zone && !seen.reachable && seen.failing_count > 0)
    }
}

/// What was heard of one set.
#[derive(Debug, Clone)]
struct ReceivedReport {
    /// When it was said, by the receiver's clock.
    sent_at: Micros,
    report: HealthReport,
}

/// A receiver's account of what watchers say.
#[derive(Debug, Clone)]
pub struct HealthReports {
    config: HealthCheckConfig,
    reports: BTreeMap<u16, ReceivedReport>,
    /// By term, the smallest difference between the receiver's clock and what a report says: the quickest word.
    smallest_offsets: BTreeMap<FencingToken, i128>,
}

/// What is held verdicts a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnhealthyVerdict {
    /// When it was last seen failing, by the receiver's clock.
    pub last_failure: Micros,
    /// When that lapses if nothing more is heard.
    pub expires_at: Micros,
}

impl HealthReports {
    /// Nothing was heard yet.
    pub fn new(how: HealthCheckConfig) -> HealthReports {
        HealthReports { config: how, reports: BTreeMap::new(), smallest_offsets: BTreeMap::new() }
    }

    /// Takes a report of a set's owner, whose token was found good.
    pub fn record(&mut self, set: u16, token: FencingToken, report: HealthReport, now: Micros) {
        let apart = i128::from(now) - i128::from(report.sent_at);
        let quickest = self.smallest_offsets.entry(token).or_insert(apart);
        *quickest = apart.min(*quickest);
        // What took longer than the quickest word is older by that much.
        let late = u64::try_from(apart - *quickest).unwrap_or(u64::MAX);
        let at = now.saturating_sub(late);
        while self.smallest_offsets.len() > MAX_TRACKED_TERMS {
            self.smallest_offsets.pop_first();
        }
        self.reports.insert(set, ReceivedReport { sent_at: at, report });
    }

    fn is_fresh(&self, heard: &ReceivedReport, now: Micros) -> bool {
        now.saturating_sub(heard.sent_at) < self.config.report_ttl
    }

    /// Whether this watcher and one of another zone see a zone dark, and something else well.
    fn zone_unreachable(&self, set: u16, heard: &ReceivedReport, zone: &str, now: Micros) -> bool {
        let mut others = self.reports.iter().filter(|(other, _)| **other != set).map(|(_, other)| other);
        heard.report.zone_unreachable(zone)
            && others.any(|other| {
                self.is_fresh(other, now)
                    && other.report.observer_zone != heard.report.observer_zone
                    && other.report.sees_healthy_worker
                    && other.report.zone_unreachable(zone)
            })
    }

    /// What is held against which worker at this moment.
    pub fn verdicts(&self, now: Micros) -> BTreeMap<u64, UnhealthyVerdict> {
        let mut against = BTreeMap::new();
        for (set, heard) in self.reports.iter().filter(|(_, heard)| self.is_fresh(heard, now)) {
            let zones = heard.report.zones.iter();
            let dark: Vec<bool> =
                zones.map(|zone| self.zone_unreachable(*set, heard, &zone.name, now)).collect();
            let trusting = self.config.injected_bug == Some(InjectedBug::TrustEveryReport);
            for failing in &heard.report.failing {
                let seen = heard.sent_at.saturating_sub(failing.age);
                let until = seen + self.config.report_ttl;
                let dark = dark.get(usize::from(failing.zone_index)) == Some(&true);
                let credible =
                    trusting || (heard.report.sees_healthy_worker && (failing.zone_reachable || dark));
                if until > now && credible {
                    against
                        .insert(failing.worker, UnhealthyVerdict { last_failure: seen, expires_at: until });
                }
            }
        }
        against
    }

    /// The sets of which something fresh is known.
    pub fn observed_sets(&self, now: Micros) -> BTreeSet<u16> {
        let fresh = self.reports.iter().filter(|(_, heard)| self.is_fresh(heard, now));
        fresh.map(|(set, _)| *set).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const HOW: HealthCheckConfig = HealthCheckConfig {
        set_count: 2,
        zone_count: 1,
        probe_interval: SECOND,
        failure_threshold: 2,
        report_ttl: 4 * SECOND,
        injected_bug: None,
    };

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
    ) -> (BTreeMap<u64, Vec<Micros>>, Option<HealthReport>) {
        let (mut rounds, mut probes, mut last) =
            (HealthCheckScheduler::new(HOW, zone), BTreeMap::new(), None);
        let mut zones = ZoneLiveness::default();
        rounds.update_workers(begun, fleet());
        for now in (begun..begun + length).step_by(10_000) {
            for worker in rounds.due_probes(now) {
                rounds.probe_sent(worker, now + 3_000 * worker);
                probes.entry(worker).or_insert_with(Vec::new).push(now + 3_000 * worker);
                rounds.probe_finished(worker, Some(well(worker)), now + 20_000, &mut zones);
            }
            last = rounds.next_report(now, &zones).or(last);
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
        let mut rounds = HealthCheckScheduler::new(HOW, "north");
        rounds.update_workers(0, fleet());
        assert!(rounds.due_probes(999_999).is_empty());
        assert_eq!(rounds.due_probes(2 * SECOND).len(), 6);
        assert!(rounds.due_probes(9 * SECOND).is_empty(), "they are out");
        rounds.update_workers(3 * SECOND, std::iter::empty());
        rounds.update_workers(3 * SECOND, fleet());
        assert!(rounds.due_probes(3_900_000).is_empty());
    }

    #[test]
    fn two_failures_are_told_and_one_sight_of_a_well_worker_takes_that_back() {
        let (_, report) = term(0, 3 * SECOND, "north", |worker| worker != 3);
        let report = report.unwrap();
        assert_eq!(report.failing.iter().map(|failing| failing.worker).collect::<Vec<_>>(), [3]);
        assert_eq!(HealthReport::decode(&report.encode()), Some(report.clone()));
        let mut sightings = HealthReports::new(HOW);
        sightings.record(0, FencingToken(7), report.clone(), 10 * SECOND);
        let against = sightings.verdicts(10 * SECOND)[&3];
        assert!(against.last_failure <= 10 * SECOND && against.expires_at > 13 * SECOND);
        assert!(sightings.verdicts(against.expires_at).is_empty(), "it lapses");
        let well = HealthReport { failing: Vec::new(), ..report };
        sightings.record(0, FencingToken(7), well, 10 * SECOND + 1);
        assert!(sightings.verdicts(10 * SECOND + 2).is_empty());
    }

    #[test]
    fn word_that_was_long_on_its_way_is_as_old_as_that() {
        let (_, report) = term(0, 3 * SECOND, "north", |worker| worker != 3);
        let report = report.unwrap();
        let mut sightings = HealthReports::new(HOW);
        sightings.record(0, FencingToken(7), report.clone(), 10 * SECOND);
        let later = HealthReport { sent_at: report.sent_at + SECOND, ..report };
        sightings.record(0, FencingToken(7), later, 14 * SECOND);
        // Three of these four seconds it was on its way.
        assert!(sightings.verdicts(14 * SECOND)[&3].last_failure <= 11 * SECOND);
        assert!(sightings.verdicts(15 * SECOND).is_empty());
    }

    #[test]
    fn a_watcher_that_is_cut_off_from_a_zone_condemns_nobody_there() {
        let now = 10 * SECOND;
        // Cut off from the north; sees the rest.
        let (_, cut) = term(0, 3 * SECOND, "south", |worker| worker >= 2);
        let (_, fine) = term(0, 3 * SECOND, "west", |_| true);
        let (_, same) = term(0, 3 * SECOND, "west", |worker| worker >= 2);
        let (_, near) = term(0, 3 * SECOND, "south", |worker| worker >= 2);
        let told = |other: &HealthReport| {
            let mut sightings = HealthReports::new(HOW);
            sightings.record(0, FencingToken(1), cut.clone().unwrap(), now);
            sightings.record(1, FencingToken(2), other.clone(), now);
            sightings.verdicts(now).into_keys().collect::<Vec<u64>>()
        };
        assert!(told(&fine.unwrap()).is_empty(), "another watcher sees the north well");
        assert!(told(&near.unwrap()).is_empty(), "one of the same zone proves nothing");
        assert_eq!(told(&same.unwrap()), [0, 1], "two zones see the north dark");
        let mut trusting = HealthReports::new(HealthCheckConfig {
            injected_bug: Some(InjectedBug::TrustEveryReport),
            ..HOW
        });
        trusting.record(0, FencingToken(1), cut.unwrap(), now);
        assert_eq!(trusting.verdicts(now).len(), 2, "without the check it would");
    }

    /// Found by processes (seed 2): when a cut had healed, the first worker seen well made the rest of its zone look
    /// as if they alone failed, until they were probed again.
    #[test]
    fn workers_that_failed_during_a_cut_are_not_held_to_fail_alone_when_it_heals() {
        let (mut rounds, mut zones) = (HealthCheckScheduler::new(HOW, "south"), ZoneLiveness::default());
        let mut sightings = HealthReports::new(HOW);
        rounds.update_workers(0, fleet());
        for now in (0..12 * SECOND).step_by(10_000) {
            for worker in rounds.due_probes(now) {
                rounds.probe_sent(worker, now);
                // The north is out of reach for a while.
                let reached = worker > 1 || !(3 * SECOND..7_100_000).contains(&now);
                rounds.probe_finished(worker, Some(reached), now, &mut zones);
            }
            if let Some(report) = rounds.next_report(now, &zones) {
                sightings.record(0, FencingToken(1), report, now);
            }
            assert!(sightings.verdicts(now).is_empty(), "at {now}");
        }
    }

    #[test]
    fn a_watcher_that_sees_nobody_well_says_nothing_even_where_others_agree() {
        let (_, blind) = term(0, 3 * SECOND, "south", |_| false);
        let (_, other) = term(0, 3 * SECOND, "west", |worker| worker >= 2);
        let mut sightings = HealthReports::new(HOW);
        sightings.record(0, FencingToken(1), blind.unwrap(), 10 * SECOND);
        sightings.record(1, FencingToken(2), other.unwrap(), 10 * SECOND);
        assert!(sightings.verdicts(10 * SECOND).is_empty());
        assert_eq!(sightings.observed_sets(10 * SECOND).len(), 2);
        assert!(sightings.observed_sets(15 * SECOND).is_empty());
    }

    #[test]
    fn workers_are_spread_over_the_sets_and_sets_are_told_apart_by_their_number() {
        let how = HealthCheckConfig { set_count: 8, ..HOW };
        let mut counts = [0u32; 8];
        (0..4_000u64).for_each(|worker| counts[usize::from(how.set_of_worker(worker * 7 + 1, 0))] += 1);
        assert!(counts.iter().all(|count| (400..600).contains(count)), "{counts:?}");
        // Found by processes (seed 208 with 8 dispatchers): a worker that was alone of its zone in its set.
        for zones in [2, 3, 8, 20] {
            let how = HealthCheckConfig { zone_count: zones, ..how };
            let of = |zone: u16| (0..9u64).map(move |n| how.set_of_worker(n * 7 + 1, u32::from(zone)));
            let sets: Vec<BTreeSet<u16>> = (0..zones).map(|zone| of(zone).collect()).collect();
            let most = usize::from((8 / zones).max(1));
            assert!(sets.iter().all(|sets| sets.len() <= most), "{zones}: {sets:?}");
            let all: BTreeSet<u16> = sets.iter().flatten().copied().collect();
            assert!(all.len() >= usize::from(zones.min(8)), "{zones}: {sets:?}");
        }
        assert_eq!(how.leases().len(), 8);
        assert!(how.leases().iter().all(|duty| how.set_of_lease(duty).is_some()));
        assert!(HOW.leases().iter().all(|duty| how.set_of_lease(duty).is_none()));
    }
}
