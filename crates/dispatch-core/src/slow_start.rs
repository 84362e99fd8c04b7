//! Slow-start budgets of one dispatcher: its planned share of the budget of each worker in slow start, the work that it
//! was granted beyond that, and the work that it has sent.
//!
//! The planned share of a time slice needs no communication. A grant is a part of the budget that one leader in the
//! fleet allocates; it is valid until it expires, can be spent once, and is spent before the planned share.

use crate::api::{Seconds, Settings, WorkerId};
use crate::hashing::mix_bits;

/// Highest number of grants of one worker; further ones are ignored.
const MAX_GRANTS: usize = 32;
/// Shortest length of a time slice.
const MIN_TIME_SLICE: Seconds = 0.1;
/// Highest number of parts in which the budget of one worker and slice is planned.
const MAX_PLANNED_PARTS: u64 = 64;

/// Work that may be sent once, until the grant expires.
#[derive(Clone, Copy, Debug)]
struct Grant {
    expires_at: Seconds,
    work: f64,
}

/// Budget of one worker at one dispatcher.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartBudget {
    /// Time slice of the last send out of the planned share.
    time_slice: u64,
    /// Work sent in that slice out of the planned share.
    spent: f64,
    /// Grants that may have work left, in the order of expiry.
    grants: Vec<Grant>,
}

impl SlowStartBudget {
    /// Adds a grant of work beyond the planned share. One that makes no sense or has expired is ignored.
    pub(crate) fn grant(&mut self, work: f64, expires_at: Seconds, now: Seconds) {
        self.grants.retain(|grant| grant.expires_at > now && grant.work > 0.0);
        if self.grants.len() < MAX_GRANTS && expires_at > now && work > 0.0 && work.is_finite() {
            self.grants.push(Grant { expires_at, work });
            self.grants.sort_by(|one, other| one.expires_at.total_cmp(&other.expires_at));
        }
    }

    /// Returns the granted work that can be sent now.
    pub(crate) fn granted_work(&self, now: Seconds) -> f64 {
        self.grants.iter().filter(|grant| grant.expires_at > now).map(|grant| grant.work).sum()
    }

    /// Returns the work sent out of the planned share of this slice, or `None` if there was none.
    pub(crate) fn spent_in_slice(&self, time_slice: u64) -> Option<f64> {
        Some(self.spent).filter(|spent| self.time_slice == time_slice && *spent > 0.0)
    }

    /// Spends the work of a send: out of grants where they cover all of it, those first that expire first; else out of
    /// the planned share of this slice.
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

/// The workers in slow start of whose budget this dispatcher has a share in a time slice.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartShares {
    pub time_slice: u64,
    /// Positions of the workers.
    pub workers: Vec<usize>,
    /// Start of the first slice whose planned share is ours: another process with our number may have spent earlier
    /// ones.
    pub planned_from: Seconds,
}

impl SlowStartShares {
    /// Makes the next use list the workers anew.
    pub(crate) fn invalidate(&mut self) {
        self.time_slice = u64::MAX;
    }

    /// Returns this dispatcher's share of a budget; zero in the slice of its start, since the process before it may
    /// have spent that, and once it has given up its share.
    pub(crate) fn planned_share(&self, budget: &BudgetSlice, settings: &Settings) -> f64 {
        let began_at = budget.time_slice as f64 * settings.overload_window.max(MIN_TIME_SLICE);
        if began_at < self.planned_from {
            return 0.0;
        }
        budget.share_of_instance(settings)
    }
}

/// Budget of a worker in a time slice, which all dispatchers compute alike.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetSlice {
    pub worker: WorkerId,
    pub time_slice: u64,
    /// Work that all dispatchers together may send.
    pub work: f64,
    /// Work of a part, as far as there are not too many parts.
    pub part: f64,
}

impl BudgetSlice {
    /// Returns the share of one dispatcher, as work. The budget is divided into parts, each assigned to a dispatcher by
    /// a hash that is the same everywhere.
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

/// Returns the number of the time slice, by the clock that all dispatchers share. In a slice each planned part of a
/// budget is assigned to one dispatcher.
pub(crate) fn time_slice(now: Seconds, overload_window: Seconds) -> u64 {
    (now / overload_window.max(MIN_TIME_SLICE)) as u64
}

#[cfg(test)]
#[path = "../tests/unit/slow_start.rs"]
mod tests;
