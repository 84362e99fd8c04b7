//! Availability of workers, derived from the endpoint list, health checks and the time since each worker's start.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Availability, DisruptionState, Micros, StatusChanges, Target, TargetKind, TargetStatus};

/// Full capacity of a worker, in thousandths.
const FULL_CAPACITY_THOUSANDTHS: f64 = 1e3;
/// Step in which the capacity of a worker is reported, in thousandths. Smaller steps would add more entries to the
/// replicated log, since each change is an entry.
const CAPACITY_STEP_THOUSANDTHS: u16 = 100;

/// An endpoint of the endpoint list, with the result of health checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEndpoint {
    /// Name of the worker.
    pub name: String,
    /// Zone of the worker.
    pub zone: String,
    /// Pool of the worker.
    pub pool: String,
    /// Whether the endpoint list has the worker in service, so that it accepts new jobs.
    pub in_service: bool,
    /// Identifies the worker's start. Compared only for equality, because discovery derives it from the worker's clock,
    /// which may go back.
    pub start_id: u64,
    /// Whether health checks report the worker as unhealthy.
    pub unhealthy: bool,
}

/// A start of a worker, and when this process first saw it.
#[derive(Debug, Clone, Copy)]
struct ObservedStart {
    start_id: u64,
    first_seen: Micros,
    /// Whether the worker was in the first non-empty list that this process received, so that its age is unknown.
    in_first_list: bool,
}

/// Warm-up of workers, measured by this process's clock from the time at which it first saw each start.
#[derive(Debug, Clone)]
pub struct WarmupTracker {
    initial_share: f64,
    duration: Micros,
    starts: BTreeMap<String, ObservedStart>,
    list_received: bool,
}

impl WarmupTracker {
    /// Creates a tracker: a worker has `initial_share` of its capacity (0 to 1) at its start, and all of it after
    /// `duration`.
    pub fn new(initial_share: f64, duration: Micros) -> WarmupTracker {
        WarmupTracker { initial_share, duration, starts: BTreeMap::new(), list_received: false }
    }

    /// Records new starts. Must be called whenever the endpoint list may have changed.
    pub fn update_list(&mut self, now: Micros, workers: &[WorkerEndpoint]) {
        let earlier = std::mem::take(&mut self.starts);
        for worker in workers {
            let same_start =
                earlier.get(&worker.name).copied().filter(|start| start.start_id == worker.start_id);
            let start = same_start.unwrap_or(ObservedStart {
                start_id: worker.start_id,
                first_seen: now,
                in_first_list: !self.list_received,
            });
            self.starts.insert(worker.name.clone(), start);
        }
        self.list_received |= !workers.is_empty();
    }

    /// Returns the workers whose status differs from the replicated state, and the registered workers that are no
    /// longer listed.
    pub fn status_changes(
        &self,
        now: Micros,
        workers: &[WorkerEndpoint],
        state: &DisruptionState,
    ) -> StatusChanges {
        let registered = state.targets_by_name(TargetKind::Worker);
        let statuses = workers.iter().map(|worker| self.status(now, worker, registered.get(&worker.name)));
        let changed = statuses.filter(|status| registered.get(&status.target.name) != Some(status)).collect();
        let worker_names: BTreeSet<&str> = workers.iter().map(|worker| worker.name.as_str()).collect();
        let unlisted =
            registered.values().filter(|status| !worker_names.contains(status.target.name.as_str()));
        StatusChanges { changed, removed: unlisted.map(|status| status.target.clone()).collect() }
    }

    fn status(
        &self,
        now: Micros,
        worker: &WorkerEndpoint,
        registered: Option<&TargetStatus>,
    ) -> TargetStatus {
        TargetStatus {
            target: Target::worker(&worker.name),
            zone: worker.zone.clone(),
            pool: worker.pool.clone(),
            availability: self.availability(now, worker, registered.map(|status| status.availability)),
            // Starts of a worker have no order, so a worker has no incarnation: its permit is closed only after the
            // requester reported that the disruption is complete.
            incarnation: 0,
        }
    }

    /// Returns the availability of a worker. The age of a worker of the first list is unknown, so it counts as
    /// available if it is registered as available. All other workers count as started when they were first seen.
    fn availability(
        &self,
        now: Micros,
        worker: &WorkerEndpoint,
        registered: Option<Availability>,
    ) -> Availability {
        if !worker.in_service || worker.unhealthy {
            return Availability::Unavailable;
        }
        let Some(start) = self.starts.get(&worker.name) else { return Availability::Unavailable };
        let age = now.saturating_sub(start.first_seen);
        let was_available = start.in_first_list && registered == Some(Availability::Available);
        if age >= self.duration || was_available {
            return Availability::Available;
        }
        let share =
            self.initial_share + (1.0 - self.initial_share) * age as f64 / self.duration.max(1) as f64;
        let thousandths = (share.clamp(0.0, 1.0) * FULL_CAPACITY_THOUSANDTHS) as u16;
        Availability::WarmingUp(thousandths / CAPACITY_STEP_THOUSANDTHS * CAPACITY_STEP_THOUSANDTHS)
    }
}
