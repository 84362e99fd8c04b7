//! Slow-start budgets of one dispatcher: for each worker in slow start its planned share of the budget, the work that
//! it was granted beyond that share, and the work that it has sent.
//!
//! The planned share of a time slice is computed without communication. A grant is a part of the budget that a leader
//! allocates to one of the dispatchers; it is valid until it expires, can be spent once, and is spent before the
//! planned share.

use crate::api::{Seconds, Settings, WorkerId};
use crate::hashing::mix_bits;

/// Maximum number of unspent grants per worker; further grants are ignored.
const MAX_GRANTS: usize = 32;
/// Minimum length of a time slice.
const MIN_TIME_SLICE: Seconds = 0.1;
/// Maximum number of parts into which the planned budget of a worker for a time slice is divided.
const MAX_PLANNED_PARTS: u64 = 64;

/// Work that may be sent once before the grant expires, in slot-seconds.
#[derive(Clone, Copy, Debug)]
struct Grant {
    expires_at: Seconds,
    work: f64,
}

/// Budget of this dispatcher for one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartBudget {
    /// Time slice of the last send that was charged to the planned share.
    time_slice: u64,
    /// Work sent in that slice and charged to the planned share.
    spent: f64,
    /// Grants that may have unspent work, in the order of expiry.
    grants: Vec<Grant>,
}

impl SlowStartBudget {
    /// Adds a grant of work beyond the planned share. A grant that has expired or whose work is not positive and finite
    /// is ignored.
    pub(crate) fn grant(&mut self, work: f64, expires_at: Seconds, now: Seconds) {
        self.grants.retain(|grant| grant.expires_at > now && grant.work > 0.0);
        if self.grants.len() < MAX_GRANTS && expires_at > now && work > 0.0 && work.is_finite() {
            self.grants.push(Grant { expires_at, work });
            self.grants.sort_by(|left, right| left.expires_at.total_cmp(&right.expires_at));
        }
    }

    /// Returns the granted work that is unspent and valid now.
    pub(crate) fn granted_work(&self, now: Seconds) -> f64 {
        self.grants.iter().filter(|grant| grant.expires_at > now).map(|grant| grant.work).sum()
    }

    /// Returns the work charged to the planned share of this slice, or `None` if there is none.
    pub(crate) fn spent_in_slice(&self, time_slice: u64) -> Option<f64> {
        Some(self.spent).filter(|spent| self.time_slice == time_slice && *spent > 0.0)
    }

    /// Charges the work of a send to the grants if they cover all of it, starting with the grant that expires first;
    /// otherwise to the planned share of this slice.
    pub(crate) fn spend(&mut self, work: f64, time_slice: u64, now: Seconds) {
        if !self.grants.is_empty() && self.granted_work(now) >= work {
            let mut left = work;
            for grant in self.grants.iter_mut().filter(|grant| grant.expires_at > now) {
                let part = left.min(grant.work);
                grant.work -= part;
                left -= part;
            }
            return;
        }
        if self.time_slice != time_slice {
            self.time_slice = time_slice;
            self.spent = 0.0;
        }
        self.spent += work;
    }
}

/// The workers in slow start to which this dispatcher may send work in a time slice.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartShares {
    pub time_slice: u64,
    /// Positions of the workers in the fleet.
    pub workers: Vec<usize>,
    /// Time from which slices must begin for this process to use its planned share: an earlier process with the same
    /// instance number may have spent the shares of earlier slices.
    pub planned_from: Seconds,
}

impl SlowStartShares {
    /// Discards the list of workers, so that the next use recomputes it.
    pub(crate) fn invalidate(&mut self) {
        self.time_slice = u64::MAX;
    }

    /// Returns this dispatcher's planned share of a budget. It is zero in the slice in which this process started,
    /// because the previous process may have spent it, and after this process has released its share.
    pub(crate) fn planned_share(&self, budget: &BudgetSlice, settings: &Settings) -> f64 {
        let began_at = budget.time_slice as f64 * settings.overload_window.max(MIN_TIME_SLICE);
        if began_at < self.planned_from {
            return 0.0;
        }
        budget.share_of_instance(settings)
    }
}

/// Budget of a worker for a time slice; all dispatchers compute the same one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetSlice {
    pub worker: WorkerId,
    pub time_slice: u64,
    /// Work that all dispatchers together may send, in slot-seconds.
    pub work: f64,
    /// Work of one part; parts are larger if there would be more than [`MAX_PLANNED_PARTS`].
    pub part: f64,
}

impl BudgetSlice {
    /// Returns the share of one dispatcher, in slot-seconds. The budget is divided into parts, each of which is
    /// assigned to a dispatcher by a hash that is the same at all dispatchers.
    fn share_of_instance(&self, settings: &Settings) -> f64 {
        let parts = (self.work / self.part).clamp(1.0, MAX_PLANNED_PARTS as f64) as u64;
        let first_part = self.time_slice * MAX_PLANNED_PARTS;
        let instance_of = |part: u64| {
            let hash = mix_bits(self.worker.0 ^ mix_bits(first_part + part));
            hash % u64::from(settings.instances)
        };
        let our_parts = (0..parts).filter(|part| instance_of(*part) == u64::from(settings.instance)).count();
        self.work * our_parts as f64 / parts as f64
    }
}

/// Returns the number of the time slice at a time on the clock that all dispatchers share. In each slice every planned
/// part of a budget is assigned to one dispatcher.
pub(crate) fn time_slice(now: Seconds, overload_window: Seconds) -> u64 {
    (now / overload_window.max(MIN_TIME_SLICE)) as u64
}

#[cfg(test)]
#[path = "../tests/unit/slow_start.rs"]
mod tests;
