//! What a dispatcher has spent of the budget of a worker in slow start, and what it was granted on top: bookkeeping.
//!
//! The planned share of a slice is the dispatcher's own without asking anybody. A grant is a part of the budget that
//! one leader in the fleet hands out; it is of use until it expires, once, and is spent before the planned share.

use crate::api::{Seconds, Settings, WorkerId};
use crate::hashing::mix_bits;

/// The most grants of one worker that are held; further ones are as if they had not come.
const MAX_GRANTS: usize = 32;
/// No time slice is shorter.
const MIN_TIME_SLICE: Seconds = 0.1;
/// The most parts that the budget of one worker and slice is planned in.
const MAX_PLANNED_PARTS: u64 = 64;

/// Work that may be sent, once, until a time.
#[derive(Clone, Copy, Debug)]
struct Grant {
    expires_at: Seconds,
    work: f64,
}

/// One dispatcher's account of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartBudget {
    /// A slice of time, and what was spent in it of the planned share.
    time_slice: u64,
    spent: f64,
    /// What was granted and not spent yet, in the order of expiry.
    grants: Vec<Grant>,
}

impl SlowStartBudget {
    /// So much work may be sent there until then, beside the planned share.
    pub(crate) fn grant(&mut self, work: f64, expires_at: Seconds, now: Seconds) {
        self.grants.retain(|grant| grant.expires_at > now && grant.work > 0.0);
        if self.grants.len() < MAX_GRANTS && expires_at > now && work > 0.0 && work.is_finite() {
            self.grants.push(Grant { expires_at, work });
            self.grants.sort_by(|one, other| one.expires_at.total_cmp(&other.expires_at));
        }
    }

    /// Work that is granted and can be used now.
    pub(crate) fn granted_work(&self, now: Seconds) -> f64 {
        self.grants.iter().filter(|grant| grant.expires_at > now).map(|grant| grant.work).sum()
    }

    /// What was spent of the planned share in this slice; none where nothing was.
    pub(crate) fn spent_in_slice(&self, time_slice: u64) -> Option<f64> {
        Some(self.spent).filter(|spent| self.time_slice == time_slice && *spent > 0.0)
    }

    /// Work is sent there: out of grants where they cover it whole, those first that expire first; else out of the
    /// planned share of this slice.
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

/// The workers in slow start of which we own a part in a time slice, by their positions.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartShares {
    pub time_slice: u64,
    pub workers: Vec<usize>,
    /// In slices that began before this, another process may have spent the planned share that is ours by its number.
    pub planned_from: Seconds,
}

impl SlowStartShares {
    /// Has the workers listed anew at the next use.
    pub(crate) fn invalidate(&mut self) {
        self.time_slice = u64::MAX;
    }

    /// What is planned for this dispatcher in a slice; see [`planned_share`]. Nothing in the slice of its start, since the
    /// process before it may have spent that, and nothing any more once it has given its share up.
    pub(crate) fn planned_share(
        &self,
        worker: WorkerId,
        time_slice: u64,
        budget: f64,
        part: f64,
        settings: &Settings,
    ) -> f64 {
        let began_at = time_slice as f64 * settings.overload_window.max(MIN_TIME_SLICE);
        if began_at < self.planned_from {
            return 0.0;
        }
        planned_share(worker, time_slice, budget, part, settings)
    }
}

/// The number of a span in which each planned part has one owner, by the clock that all dispatchers share.
pub(crate) fn time_slice(now: Seconds, overload_window: Seconds) -> u64 {
    (now / overload_window.max(MIN_TIME_SLICE)) as u64
}

/// Of the budget of a worker in a slice, as work, what one of all dispatchers plans for itself. The budget is divided into
/// parts of about this size, each with an owner of its own by a hash that all share.
pub(crate) fn planned_share(
    worker: WorkerId,
    time_slice: u64,
    budget: f64,
    part: f64,
    settings: &Settings,
) -> f64 {
    let parts = (budget / part).clamp(1.0, MAX_PLANNED_PARTS as f64) as u64;
    let first = time_slice * MAX_PLANNED_PARTS;
    let owner = |part: u64| mix_bits(worker.0 ^ mix_bits(first + part)) % u64::from(settings.instances);
    let ours = (0..parts).filter(|part| owner(*part) == u64::from(settings.instance)).count();
    budget * ours as f64 / parts as f64
}

#[cfg(test)]
#[path = "../tests/unit/slow_start.rs"]
mod tests;
