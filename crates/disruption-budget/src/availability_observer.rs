//! What an observer makes of the dispatchers' own word and of their silence.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Availability, DisruptionState, Target, TargetKind, TargetStatus};

/// The duty of observing.
pub const OBSERVER_LEASE: &str = "account";

/// Microseconds on the observer's clock.
type Micros = u64;

/// What a dispatcher says of itself, whenever it is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadinessReport {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Which of its lives: higher with each start and each return from standby.
    pub incarnation: u64,
    /// Whether it is ready and invites work.
    pub ready: bool,
}

impl ReadinessReport {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Out of its bytes.
    pub fn decode(bytes: &[u8]) -> Option<ReadinessReport> {
        postcard::from_bytes(bytes).ok()
    }
}

/// An observer's knowledge in one term.
#[derive(Debug, Clone)]
pub struct AvailabilityObserver {
    report_ttl: Micros,
    term_started: Micros,
    reports: BTreeMap<String, (Micros, ReadinessReport)>,
}

impl AvailabilityObserver {
    /// A term begins. What a dispatcher says counts for so long.
    pub fn new(report_ttl: Micros, now: Micros) -> AvailabilityObserver {
        AvailabilityObserver { report_ttl, term_started: now, reports: BTreeMap::new() }
    }

    /// A dispatcher says how it is.
    pub fn record_report(&mut self, report: ReadinessReport, now: Micros) {
        self.reports.insert(report.name.clone(), (now, report));
    }

    /// How the dispatchers are that are not as the account has them: those in the list of members, and those that were
    /// in once and were not struck off. None before everybody has had time to say something in this term.
    pub fn status_changes(
        &self,
        now: Micros,
        members: &[(&str, &str)],
        state: &DisruptionState,
    ) -> Option<Vec<TargetStatus>> {
        if now.saturating_sub(self.term_started) < 2 * self.report_ttl {
            return None;
        }
        let known: BTreeMap<Target, TargetStatus> =
            state.targets().map(|seen| (seen.target.clone(), seen)).collect();
        let earlier = known.keys().filter(|target| target.kind == TargetKind::Dispatcher);
        let names: BTreeSet<&str> =
            members.iter().map(|(name, _)| *name).chain(earlier.map(|target| target.name.as_str())).collect();
        let one = |name: &str| {
            let target = Target { kind: TargetKind::Dispatcher, name: name.to_owned() };
            let fresh = self.reports.get(name).filter(|(at, _)| now.saturating_sub(*at) < self.report_ttl);
            let zone = members.iter().find(|(member, _)| *member == name).map(|(_, zone)| *zone);
            let was = known.get(&target);
            let (availability, zone, incarnation) = match fresh {
                Some((_, report)) => {
                    let availability =
                        if report.ready { Availability::Available } else { Availability::Unavailable };
                    (availability, report.zone.clone(), report.incarnation)
                }
                None => {
                    let zone =
                        zone.map(str::to_owned).or(was.map(|was| was.zone.clone())).unwrap_or_default();
                    (Availability::Unavailable, zone, was.map_or(0, |was| was.incarnation))
                }
            };
            TargetStatus { target, zone, pool: String::new(), availability, incarnation }
        };
        let changed = |one: &TargetStatus| known.get(&one.target) != Some(one);
        Some(names.into_iter().map(one).filter(changed).collect())
    }
}

/// A worker as discovery's list and the watchers have it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedWorker {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its pool.
    pub pool: String,
    /// It takes new work, as far as discovery told.
    pub in_service: bool,
    /// Which start of it this is, in discovery's words. Only whether it is the same start is asked, never when it was.
    pub start_id: u64,
    /// A watcher holds something against it.
    pub unhealthy: bool,
}

/// How warm workers are, by when this process first heard of each start, on its own clock.
#[derive(Debug, Clone)]
pub struct WarmupTracker {
    initial_share: f64,
    duration: Micros,
    /// The start, when it was first heard of, and whether it was there before this process was.
    starts: BTreeMap<String, (u64, Micros, bool)>,
    list_received: bool,
}

/// Steps in which warmth is told, in thousandths: each is a change of the account.
const CAPACITY_STEP_THOUSANDTHS: u16 = 100;

impl WarmupTracker {
    /// A worker has this share of its capacity when it starts, and all of it after so long.
    pub fn new(initial_share: f64, duration: Micros) -> WarmupTracker {
        WarmupTracker { initial_share, duration, starts: BTreeMap::new(), list_received: false }
    }

    /// The list, whenever it may have changed.
    pub fn update_list(&mut self, now: Micros, workers: &[ListedWorker]) {
        let earlier = std::mem::take(&mut self.starts);
        for worker in workers {
            let same_start =
                earlier.get(&worker.name).copied().filter(|(start_id, ..)| *start_id == worker.start_id);
            let start = same_start.unwrap_or((worker.start_id, now, !self.list_received));
            self.starts.insert(worker.name.clone(), start);
        }
        self.list_received |= !workers.is_empty();
    }

    /// How it is. One that was there before this process was is as warm as the account has it, or as cold as one that
    /// started when this process first heard of it.
    fn availability(&self, worker: &ListedWorker, now: Micros, was: Option<Availability>) -> Availability {
        let Some((_, first, before)) =
            self.starts.get(&worker.name).filter(|_| worker.in_service && !worker.unhealthy)
        else {
            return Availability::Unavailable;
        };
        let age = now.saturating_sub(*first);
        if age >= self.duration || (*before && was == Some(Availability::Available)) {
            return Availability::Available;
        }
        let part = self.initial_share + (1.0 - self.initial_share) * age as f64 / self.duration.max(1) as f64;
        Availability::WarmingUp(
            (part.clamp(0.0, 1.0) * 1e3) as u16 / CAPACITY_STEP_THOUSANDTHS * CAPACITY_STEP_THOUSANDTHS,
        )
    }

    /// The workers that are not as the account has them, and those of the account that are not in the list any more.
    pub fn status_changes(
        &self,
        now: Micros,
        workers: &[ListedWorker],
        state: &DisruptionState,
    ) -> (Vec<TargetStatus>, Vec<Target>) {
        let of_kind = state.targets().filter(|seen| seen.target.kind == TargetKind::Worker);
        let known: BTreeMap<String, TargetStatus> =
            of_kind.map(|seen| (seen.target.name.clone(), seen)).collect();
        let one = |worker: &ListedWorker| {
            let was = known.get(&worker.name).map(|was| was.availability);
            TargetStatus {
                target: Target { kind: TargetKind::Worker, name: worker.name.clone() },
                zone: worker.zone.clone(),
                pool: worker.pool.clone(),
                availability: self.availability(worker, now, was),
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
    use crate::DisruptionCommand;

    fn report(name: &str, incarnation: u64, ready: bool) -> ReadinessReport {
        ReadinessReport { name: name.into(), zone: "north".into(), incarnation, ready }
    }

    #[test]
    fn silence_is_out_and_nobody_is_judged_before_it_had_time_to_speak() {
        let (mut observer, mut state) = (AvailabilityObserver::new(100, 1_000), DisruptionState::default());
        let members = [("a", "north"), ("b", "north")];
        observer.record_report(report("a", 7, true), 1_010);
        assert_eq!(observer.status_changes(1_199, &members, &state), None);
        observer.record_report(report("a", 7, true), 1_150);
        let seen = observer.status_changes(1_200, &members, &state).unwrap();
        let availabilities: Vec<_> = seen.iter().map(|one| (one.availability, one.incarnation)).collect();
        assert_eq!(availabilities, [(Availability::Available, 7), (Availability::Unavailable, 0)]);
        state.apply(
            1,
            &DisruptionCommand::RecordObservation {
                fencing_token: 1,
                known_revision: 0,
                changed: seen,
                removed: Vec::new(),
            },
        );
        observer.record_report(report("a", 7, true), 1_250);
        assert_eq!(
            observer.status_changes(1_260, &members, &state),
            Some(Vec::new()),
            "as the account has it"
        );
        // One that left the list of members counts on, and one in standby is out.
        observer.record_report(report("b", 1, false), 1_300);
        let seen = observer.status_changes(1_360, &[("b", "north")], &state).unwrap();
        assert_eq!(seen.len(), 2);
        assert!(seen.iter().all(|one| one.availability == Availability::Unavailable));
    }

    fn worker(in_service: bool, start_id: u64, unhealthy: bool) -> ListedWorker {
        let (name, zone, pool) = ("w".to_owned(), "north".to_owned(), "small".to_owned());
        ListedWorker { name, zone, pool, in_service, start_id, unhealthy }
    }

    #[test]
    fn a_worker_that_came_back_warms_up_by_the_observers_own_clock() {
        let (mut tracker, mut state) = (WarmupTracker::new(0.2, 1_000), DisruptionState::default());
        let mut see = |now, worker: ListedWorker| {
            tracker.update_list(now, std::slice::from_ref(&worker));
            let (targets, gone) = tracker.status_changes(now, std::slice::from_ref(&worker), &state);
            assert!(gone.is_empty());
            let availability = targets.first().map(|seen| seen.availability);
            state.apply(
                now,
                &DisruptionCommand::RecordObservation {
                    fencing_token: 1,
                    known_revision: 0,
                    changed: targets,
                    removed: gone,
                },
            );
            availability
        };
        // Nobody knows how old it is: as cold as one that just started.
        assert_eq!(see(5_000, worker(true, 77, false)), Some(Availability::WarmingUp(200)));
        assert_eq!(see(6_000, worker(true, 77, false)), Some(Availability::Available));
        assert_eq!(see(6_100, worker(true, 77, false)), None, "as the account has it");
        assert_eq!(see(6_200, worker(false, 77, false)), Some(Availability::Unavailable));
        // Another start, by a clock that went back an hour.
        assert_eq!(see(6_300, worker(true, 5, false)), Some(Availability::WarmingUp(200)));
        assert_eq!(see(6_900, worker(true, 5, false)), Some(Availability::WarmingUp(600)));
        assert_eq!(
            see(6_950, worker(true, 5, true)),
            Some(Availability::Unavailable),
            "a watcher holds something against it"
        );
        assert_eq!(see(7_300, worker(true, 5, false)), Some(Availability::Available));
        // Another observer finds it as the account has it.
        let mut other = WarmupTracker::new(0.2, 1_000);
        let workers = [worker(true, 5, false)];
        other.update_list(9_000, &workers);
        assert_eq!(other.status_changes(9_000, &workers, &state), (vec![], vec![]));
        let gone = Target { kind: TargetKind::Worker, name: "w".into() };
        assert_eq!(other.status_changes(9_000, &[], &state), (vec![], vec![gone]));
    }
}
