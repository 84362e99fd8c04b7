//! What a dispatcher has spent of a cold worker's budget, and what it was granted on top: plain bookkeeping.
//!
//! The planned share of a slice is the dispatcher's own without asking anybody. A grant is a part of the budget that
//! one owner in the fleet hands out; it is of use until it expires, once, and is spent before the planned share.

use crate::api::Seconds;

/// One dispatcher's account of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartBudget {
    time_slice: u64,
    spent: f64,
    /// What was granted and not spent yet: until when, and how much work.
    grants: Vec<(Seconds, f64)>,
}

/// The most grants of one worker that are kept; further ones are as if they had not come.
const MAX_GRANTS: usize = 32;

impl SlowStartBudget {
    /// So much work may be sent there until then, beside the planned share.
    pub(crate) fn grant(&mut self, work: f64, until: Seconds, now: Seconds) {
        self.grants.retain(|(until, work)| *until > now && *work > 0.0);
        if self.grants.len() < MAX_GRANTS && until > now && work > 0.0 && work.is_finite() {
            self.grants.push((until, work));
            self.grants.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
    }

    /// Work that is granted and can be used now.
    pub(crate) fn granted(&self, now: Seconds) -> f64 {
        self.grants.iter().filter(|(until, _)| *until > now).map(|(_, work)| work).sum()
    }

    /// What was spent of the planned share in this slice; none where nothing was.
    pub(crate) fn spent_in_slice(&self, slice: u64) -> Option<f64> {
        Some(self.spent).filter(|spent| self.time_slice == slice && *spent > 0.0)
    }

    /// Work is sent there: out of grants where they cover it whole, those first that expire first; else out of the
    /// planned share of this slice.
    pub(crate) fn spend(&mut self, work: f64, slice: u64, now: Seconds) {
        if !self.grants.is_empty() && self.granted(now) >= work {
            let mut left = work;
            for (_, granted) in self.grants.iter_mut().filter(|(until, _)| *until > now) {
                let part = left.min(*granted);
                (*granted, left) = (*granted - part, left - part);
            }
            return;
        }
        if self.time_slice != slice {
            (self.time_slice, self.spent) = (slice, 0.0);
        }
        self.spent += work;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn grants_are_spent_once_first_and_not_after_they_expire() {
        let mut account = SlowStartBudget::default();
        account.spend(1.0, 7, 10.0);
        assert_eq!((account.spent_in_slice(7), account.spent_in_slice(8)), (Some(1.0), None));
        account.grant(0.5, 11.0, 10.0);
        account.grant(0.7, 12.0, 10.0);
        assert!((account.granted(10.5) - 1.2).abs() < 1e-9 && account.granted(11.5) == 0.7);
        account.spend(1.0, 8, 10.5);
        assert_eq!(account.spent_in_slice(8), None, "the grants covered it");
        assert!((account.granted(10.5) - 0.2).abs() < 1e-9);
        account.spend(0.3, 8, 10.5);
        assert_eq!(account.spent_in_slice(8), Some(0.3), "they do not cover this one, and stay");
        assert!(account.granted(12.0) == 0.0, "expired");
    }

    #[test]
    fn what_makes_no_sense_is_no_grant() {
        let mut account = SlowStartBudget::default();
        for (work, until) in [(f64::NAN, 20.0), (-1.0, 20.0), (f64::INFINITY, 20.0), (1.0, 9.0)] {
            account.grant(work, until, 10.0);
        }
        assert_eq!(account.granted(10.0), 0.0);
        (0..100).for_each(|_| account.grant(1.0, 20.0, 10.0));
        assert_eq!(account.granted(10.0), MAX_GRANTS as f64);
    }
}
