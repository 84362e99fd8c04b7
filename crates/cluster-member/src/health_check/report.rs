//! What the holder of a set's lease reports to all members.

use coordination::Micros;
use serde::{Deserialize, Serialize};

/// What an observer sees of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    pub name: String,
    /// Some worker of it was seen healthy of late, in whichever set the observer checks.
    pub reachable: bool,
    /// The number of its workers that fail.
    pub failing_count: u32,
}

/// A worker that fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailingWorker {
    /// The worker, by the number that all members know it by.
    pub worker: u64,
    /// The index of its zone in [`HealthReport::zones`].
    pub zone_index: u16,
    /// How often it failed in a row.
    pub consecutive_failures: u16,
    /// How long before [`HealthReport::sent_at`] it failed last, in microseconds.
    pub age: Micros,
    /// Another worker of its zone was seen healthy between the first and the last of these failures.
    pub zone_reachable: bool,
}

/// What the holder of a set's lease reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The observer's own zone.
    pub observer_zone: String,
    /// When it was sent, by the observer's clock: only differences within one term mean something.
    pub sent_at: Micros,
    /// It sees some healthy worker somewhere.
    pub sees_healthy_worker: bool,
    /// What it sees of each zone.
    pub zones: Vec<ZoneReport>,
    /// The workers that fail.
    pub failing: Vec<FailingWorker>,
}

impl HealthReport {
    /// The bytes of the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The report in these bytes; `None` where they hold none, or one with a worker of no zone.
    pub fn decode(bytes: &[u8]) -> Option<HealthReport> {
        let report: HealthReport = postcard::from_bytes(bytes).ok()?;
        let known_zone = |failing: &FailingWorker| usize::from(failing.zone_index) < report.zones.len();
        report.failing.iter().all(known_zone).then_some(report)
    }

    /// Whether it sees no healthy worker of that zone, and some that fail.
    pub(super) fn zone_unreachable(&self, zone: &str) -> bool {
        self.zones.iter().any(|seen| seen.name == zone && !seen.reachable && seen.failing_count > 0)
    }
}
