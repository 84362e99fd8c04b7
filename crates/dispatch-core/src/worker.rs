//! The state that a dispatcher keeps for one worker.

use crate::api::{KeyScope, Seconds, WorkerId, WorkerState};
use crate::outlier_detection::OutlierDetector;
use crate::run_time::{RunningJob, Slowdown};
use crate::slow_start::SlowStartBudget;

/// Fraction of the keep-alive time for which an idle connection is expected to be usable.
const IDLE_CONNECTION_USE: f64 = 0.7;

/// A worker as this dispatcher sees it. "Our" slots, attempts and jobs are those of this dispatcher.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub id: WorkerId,
    pub kind: usize,
    pub zone: u32,
    /// Position of the worker's cohort in [`Fleet::cohorts`](crate::fleet::Fleet::cohorts).
    pub cohort: usize,
    pub cell: u32,
    /// Time of the worker's start as the endpoint list states it.
    pub listed_start: Seconds,
    /// Time of the worker's start on this dispatcher's clock.
    pub started_at: Seconds,
    pub state: WorkerState,
    /// Slots of our open attempts.
    pub our_slots: f64,
    /// Number of our open attempts.
    pub in_flight: u32,
    /// Slots of our open attempts that a load report, which is delayed, is expected to include: a moving average.
    pub our_slots_delayed: f64,
    pub our_slots_changed_at: Seconds,
    /// Slots that other dispatchers use or wait for, as last observed.
    pub other_slots: f64,
    pub other_slots_observed_at: Seconds,
    /// Slowdown of the worker relative to its kind.
    pub slowdown: Slowdown,
    /// Our jobs that run at the worker.
    pub running: Vec<RunningJob>,
    pub slow_start: SlowStartBudget,
    /// Whether a probe of the worker is in progress.
    pub probing: bool,
    /// Time until which this dispatcher expects to have an idle connection to the worker.
    pub idle_connection_until: Seconds,
    pub health: OutlierDetector,
}

impl Worker {
    /// Applies a newer endpoint. If the worker has restarted, only the counts of open attempts are kept.
    pub(crate) fn update(&mut self, new: Worker) {
        if new.listed_start > self.listed_start {
            *self = Worker { our_slots: self.our_slots, in_flight: self.in_flight, ..new };
            return;
        }
        self.kind = new.kind;
        self.zone = new.zone;
        self.cell = new.cell;
        self.state = new.state;
    }

    /// Removes an attempt that ended; `started_at` is the time at which its job began to run, or `None` if no start was
    /// reported.
    pub(crate) fn end_attempt(&mut self, started_at: Option<Seconds>, log_work: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let is_ended = |job: &RunningJob| Some(job.started_at) == started_at && job.log_work == log_work;
        if let Some(position) = self.running.iter().position(is_ended) {
            self.running.swap_remove(position);
        }
    }

    /// Counts slots that our jobs occupy or, if negative, free; load reports include the change only after about
    /// `report_delay`.
    pub(crate) fn add_slots(&mut self, slots: f64, now: Seconds, report_delay: Seconds) {
        let decay = (-(now - self.our_slots_changed_at) / report_delay).exp();
        self.our_slots_delayed = self.our_slots + (self.our_slots_delayed - self.our_slots) * decay;
        self.our_slots_changed_at = now;
        self.our_slots = (self.our_slots + slots).max(0.0);
    }

    /// Records that an attempt left an idle connection, which is usable for a fraction of the keep-alive time.
    pub(crate) fn keep_connection(&mut self, now: Seconds, keep_alive: Seconds) {
        self.idle_connection_until = now + IDLE_CONNECTION_USE * keep_alive;
    }

    /// Returns the present location of the worker.
    pub(crate) fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }
}

/// The zone and the cell of a worker, which determine the workers that know its idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    zone: u32,
    cell: u32,
}

impl Location {
    /// Whether a worker here knows the idempotency keys of the jobs that were sent to a worker at the other location, so
    /// that it drops repeats of them.
    pub(crate) fn shares_keys_with(self, other: Location, scope: KeyScope) -> bool {
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => self.zone == other.zone,
            KeyScope::Cell => self.cell == other.cell,
        }
    }
}
