//! All workers that were ever on the endpoint list, with indexes by id, zone and affinity key.

use rustc_hash::FxHashMap;

use crate::api::{Endpoint, Seconds, Settings, WorkerId, WorkerState};
use crate::hashing::mix_bits;
use crate::outlier_detection::ZoneOutage;
use crate::queueing::QueueingCurve;
use crate::run_time::{Slowdown, SlowdownModel, WorkerSlowdowns};
use crate::worker::Worker;

/// Number of points of each worker on the consistent-hashing ring; more points spread keys more evenly.
const RING_POINTS: u64 = 16;
/// Highest zone number; higher numbers are treated as this one.
const MAX_ZONE: u32 = 255;
/// Highest kind number; higher numbers are treated as this one.
const MAX_KIND: usize = 4095;
/// Maximum size of a job, in slots; the limit keeps sums of sizes exact.
const MAX_JOB_SLOTS: f64 = 1e6;
/// Assumed maximum ratio of a worker's slots to the slots that were reported free.
const MAX_SLOTS_PER_REPORTED: f64 = 2.0;
/// Maximum time from a worker's start until discovery lists it.
const MAX_LISTING_DELAY: Seconds = 5.0;

/// Estimates of a kind of machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct MachineKind {
    /// Number of slots per worker; 0 as long as none was reported.
    pub slots: f64,
    /// Slowdown of the kind relative to the fleet.
    pub slowdown: Slowdown,
}

impl MachineKind {
    /// Returns an upper bound of the size of a job that a worker of the kind can run, in slots.
    fn max_job_slots(&self) -> f64 {
        if self.slots > 0.0 {
            MAX_SLOTS_PER_REPORTED * self.slots
        } else {
            f64::INFINITY
        }
    }
}

/// Mean load of the workers of a cohort: those of one kind in one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cohort {
    /// Mean fraction of a worker's slots that other dispatchers use.
    pub utilization: f64,
    /// Number of observations.
    pub samples: f64,
}

/// A point of a worker on the consistent-hashing ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    hash: u64,
    index: usize,
}

/// The zone and the kind that identify a cohort.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CohortKey {
    zone: u32,
    kind: usize,
}

/// All workers that were ever listed, with their indexes.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub workers: Vec<Worker>,
    /// Positions of the workers in [`Fleet::workers`].
    pub index: FxHashMap<WorkerId, usize>,
    /// Positions of the serving workers in [`Fleet::workers`], by zone.
    pub serving_by_zone: Vec<Vec<usize>>,
    /// Number of serving workers that are unhealthy.
    pub unhealthy_count: usize,
    /// Mean loads by cohort.
    pub cohorts: Vec<Cohort>,
    /// Estimates by kind of machine.
    pub kinds: Vec<MachineKind>,
    /// Size of the largest job so far, in slots.
    pub largest_job: i64,
    /// Mean wait at a worker as a function of its utilization.
    pub queueing_curve: QueueingCurve,
    /// See [`Settings::slow_start_min_capacity`].
    pub slow_start_min_capacity: f64,
    /// See [`Settings::slow_start_duration`].
    pub slow_start_duration: Seconds,
    /// The consistent-hashing ring of the serving workers, sorted by hash; it is the same at all dispatchers.
    ring: Vec<RingPoint>,
    /// Outage detectors by zone.
    zone_outages: Vec<ZoneOutage>,
    /// Positions in [`Fleet::cohorts`] by zone and kind.
    cohort_index: FxHashMap<CohortKey, usize>,
    /// Time at which discovery last sent the list or a change to it.
    list_received_at: Option<Seconds>,
}

impl Fleet {
    /// Returns a fleet without workers.
    pub(crate) fn new(settings: &Settings) -> Fleet {
        let mut fleet = Fleet { largest_job: 1, ..Fleet::default() };
        fleet.configure(settings);
        fleet
    }

    /// Applies new settings.
    pub(crate) fn configure(&mut self, settings: &Settings) {
        self.slow_start_min_capacity = settings.slow_start_min_capacity;
        self.slow_start_duration = settings.slow_start_duration;
    }

    /// Rebuilds the indexes after a change of the workers. The index by zone includes `zone` even if it has no workers.
    /// `received_at` is the time of the change if it came from discovery rather than from a saved list.
    pub(crate) fn rebuild_indexes(&mut self, zone: u32, received_at: Option<Seconds>) {
        self.list_received_at = received_at.or(self.list_received_at);
        let zones = self.workers.iter().map(|worker| worker.zone).chain([zone]).max();
        self.serving_by_zone = vec![Vec::new(); zones.unwrap_or(0).min(MAX_ZONE) as usize + 1];
        self.zone_outages.resize(self.serving_by_zone.len(), ZoneOutage::default());
        self.ring.clear();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let next = self.cohort_index.len();
            let cohort = CohortKey { zone: worker.zone.min(MAX_ZONE), kind: worker.kind };
            worker.cohort = *self.cohort_index.entry(cohort).or_insert(next);
            if worker.state == WorkerState::Serving {
                self.serving_by_zone[zone_index(worker)].push(index);
                let hash = |point| mix_bits(worker.id.0 ^ mix_bits(point));
                self.ring.extend((0..RING_POINTS).map(|point| RingPoint { hash: hash(point), index }));
            }
        }
        self.cohorts.resize(self.cohort_index.len(), Cohort::default());
        self.ring.sort_unstable();
        self.count_unhealthy();
    }

    /// Adds or updates the worker of an endpoint.
    pub(crate) fn upsert(&mut self, endpoint: &Endpoint, now: Seconds) {
        let kind = (endpoint.kind as usize).min(MAX_KIND);
        self.kinds.resize(self.kinds.len().max(kind + 1), MachineKind::default());
        let new = Worker {
            id: endpoint.worker,
            kind,
            zone: endpoint.zone,
            cell: endpoint.cell,
            listed_start: endpoint.started_at,
            started_at: self.plausible_start(endpoint.started_at, now),
            state: endpoint.state,
            our_slots_changed_at: now,
            ..Worker::default()
        };
        match self.index.get(&new.id) {
            Some(&index) => self.workers[index].update(new),
            None => {
                self.index.insert(new.id, self.workers.len());
                self.workers.push(new);
            }
        }
    }

    /// Returns the start time of a worker on this dispatcher's clock. Clocks of other processes may be wrong by hours,
    /// so the listed time is bounded: a worker did not start in the future, and a start that was not on the last list
    /// from discovery happened at most [`MAX_LISTING_DELAY`] before that list arrived.
    fn plausible_start(&self, listed_start: Seconds, now: Seconds) -> Seconds {
        let earliest = self.list_received_at.map_or(0.0, |received_at| received_at - MAX_LISTING_DELAY);
        listed_start.min(now).max(earliest)
    }

    /// Marks all workers as removed that are absent from a full list.
    pub(crate) fn remove_absent(&mut self, endpoints: &[Endpoint]) {
        let mut listed_ids: Vec<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
        listed_ids.sort_unstable();
        for worker in &mut self.workers {
            if listed_ids.binary_search(&worker.id).is_err() {
                worker.state = WorkerState::Removed;
            }
        }
    }

    /// Returns an upper bound of the size of a job that any worker can run, in slots; zero if there are no workers.
    pub(crate) fn max_job_slots(&self) -> f64 {
        self.kinds.iter().map(MachineKind::max_job_slots).fold(0.0, f64::max).min(MAX_JOB_SLOTS)
    }

    /// Returns the first `count` distinct workers on the ring that follow a key.
    pub(crate) fn ring_workers(&self, key: u64, count: usize) -> Vec<usize> {
        let start = self.ring.partition_point(|point| point.hash < mix_bits(key));
        let mut workers: Vec<usize> = Vec::with_capacity(count);
        for point in self.ring[start..].iter().chain(&self.ring[..start]) {
            if workers.len() == count {
                break;
            }
            if !workers.contains(&point.index) {
                workers.push(point.index);
            }
        }
        workers
    }

    /// Returns the logarithm of the current slowdown of a worker.
    pub(crate) fn log_slowdown(&self, index: usize, slowdowns: &SlowdownModel, now: Seconds) -> f64 {
        let worker = &self.workers[index];
        let kind = &self.kinds[worker.kind].slowdown;
        slowdowns.log_slowdown(kind, &worker.slowdown, &worker.running, now)
    }

    /// Returns mutable references to the slowdowns that act on the jobs of a worker.
    pub(crate) fn slowdowns_of(&mut self, index: usize) -> WorkerSlowdowns<'_> {
        let worker = &mut self.workers[index];
        WorkerSlowdowns { kind: &mut self.kinds[worker.kind].slowdown, worker: &mut worker.slowdown }
    }

    /// Counts a failure of a worker; `jitter` must be a random number from 0 to 1.
    pub(crate) fn record_failure(&mut self, index: usize, now: Seconds, jitter: f64) {
        let worker = &mut self.workers[index];
        self.zone_outages[zone_index(worker)].record_failure(index, now, jitter);
        if worker.health.record_failure(now, jitter) {
            self.count_unhealthy();
        }
    }

    /// Records that a worker served a job.
    pub(crate) fn record_success(&mut self, index: usize) {
        if self.workers[index].health.record_success() {
            self.count_unhealthy();
        }
    }

    /// Records a sign of life of a worker.
    pub(crate) fn record_liveness(&mut self, index: usize, now: Seconds) {
        let worker = &mut self.workers[index];
        self.zone_outages[zone_index(worker)].record_liveness();
        if worker.health.record_liveness(now) {
            self.count_unhealthy();
        }
    }

    /// Whether an outage of the worker's zone is suspected now.
    pub(crate) fn is_zone_suspected(&self, worker: &Worker, now: Seconds) -> bool {
        self.zone_outages[zone_index(worker)].is_suspected(now)
    }

    /// Applies the verdict of a health checker that observed a failure `observed_ago` seconds before `now`; the verdict
    /// is valid for `valid_for` seconds from `now`.
    pub(crate) fn apply_verdict(
        &mut self,
        worker: WorkerId,
        now: Seconds,
        observed_ago: Seconds,
        valid_for: Seconds,
    ) {
        if let Some(&index) = self.index.get(&worker) {
            let valid_until = if valid_for > 0.0 { now + valid_for } else { 0.0 };
            self.workers[index].health.apply_verdict(now - observed_ago.max(0.0), valid_until);
            self.count_unhealthy();
        }
    }

    /// Adds a grant of work for a worker in slow start, beyond the planned share.
    pub(crate) fn apply_grant(&mut self, worker: WorkerId, work: f64, expires_at: Seconds, now: Seconds) {
        if let Some(&index) = self.index.get(&worker) {
            self.workers[index].slow_start.grant(work, expires_at, now);
        }
    }

    /// Whether more than half of all workers are unhealthy, in which case the cause is probably the network or this
    /// dispatcher.
    pub(crate) fn most_are_unhealthy(&self) -> bool {
        2 * self.unhealthy_count > self.index.len()
    }

    /// Recomputes the number of unhealthy workers among those that serve.
    pub(crate) fn count_unhealthy(&mut self) {
        let serving = self.workers.iter().filter(|worker| worker.state == WorkerState::Serving);
        self.unhealthy_count = serving.filter(|worker| worker.health.is_unhealthy()).count();
    }
}

/// Returns the position of a worker's zone in the indexes by zone.
fn zone_index(worker: &Worker) -> usize {
    worker.zone.min(MAX_ZONE) as usize
}
