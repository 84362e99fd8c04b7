//! Overload of a warming worker: work sent to it within a window, compared with its capacity at the time.

use std::collections::VecDeque;

use super::AssignedJob;
use crate::day::{seconds, Micros};

/// Factor by which the work may exceed the limit, because the work of a job is random and senders know only its mean.
const OVERLOAD_SLACK: f64 = 1.15;
/// Part of the work above which an overload is attributed to senders that had been notified of the worker's start.
const INFORMED_NUMERATOR: f64 = 2.0;
const INFORMED_DENOMINATOR: f64 = 3.0;

/// Work above which a warming worker is overloaded.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// Work sent within the window, as a multiple of what the worker's capacity allows in that time.
    pub multiple: f64,
    /// Length of the window.
    pub window: Micros,
}

/// Overload that ended the process of a warming worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Whether at least two thirds of the work came from dispatchers that had been notified of the worker's start.
    pub by_informed_senders: bool,
}

/// Job that was sent to a warming worker.
#[derive(Clone, Copy, Debug)]
struct SentJob {
    sent_at: Micros,
    /// Mean work of such a job, in slot-seconds.
    expected_work: f64,
    sender_knew_start: bool,
}

/// Jobs sent to a worker while it warms up, within the last window.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmUpLoad {
    sent: VecDeque<SentJob>,
}

impl WarmUpLoad {
    /// Records a job sent to a worker with a capacity in slot-seconds a second; returns the overload that it causes.
    pub(super) fn record(
        &mut self,
        job: &AssignedJob,
        now: Micros,
        capacity: f64,
        limit: OverloadLimit,
    ) -> Option<Overload> {
        self.sent.push_back(SentJob {
            sent_at: now,
            expected_work: job.expected_work,
            sender_knew_start: job.sender_knew_start,
        });
        while self.sent.front().is_some_and(|job| job.sent_at + limit.window < now) {
            self.sent.pop_front();
        }
        // A single job is never an overload, however long it is.
        if self.sent.len() < 2 {
            return None;
        }
        let sent: f64 = self.sent.iter().map(|job| job.expected_work).sum();
        let budget = limit.multiple * capacity * seconds(limit.window) * OVERLOAD_SLACK;
        if sent <= budget {
            return None;
        }
        let informed_jobs = self.sent.iter().filter(|job| job.sender_knew_start);
        let informed: f64 = informed_jobs.map(|job| job.expected_work).sum();
        Some(Overload { by_informed_senders: informed >= sent * INFORMED_NUMERATOR / INFORMED_DENOMINATOR })
    }
}
