//! Report that the holder of the lease of a set sends to all members.

use coordination::Micros;
use serde::{Deserialize, Serialize};

/// State of one zone as an observer sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub name: String,
    /// Whether the observer recently saw a healthy worker of the zone, in any set that it checks.
    pub reachable: bool,
    /// Number of failing workers in the zone.
    pub failing_count: u32,
}

/// Worker whose consecutive failures have reached the threshold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailingWorker {
    /// Number of the worker, which is the same at all members.
    pub worker: u64,
    /// Index of the worker's zone in [`HealthReport::zones`].
    pub zone_index: u16,
    /// Number of consecutive failures.
    pub consecutive_failures: u16,
    /// Time from the last failure to [`HealthReport::sent_at`], in microseconds.
    pub age: Micros,
    /// Whether the observer saw another worker of the zone healthy between the first and the last of these failures.
    pub zone_reachable: bool,
}

/// Report on the workers of one set, sent by the holder of its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Zone of the observer.
    pub observer_zone: String,
    /// Time of sending by the observer's clock. Only differences within one term are meaningful.
    pub sent_at: Micros,
    /// Whether the observer recently saw a healthy worker, in any zone.
    pub sees_healthy_worker: bool,
    /// Zones of the checked workers.
    pub zones: Vec<ZoneReport>,
    /// Failing workers.
    pub failing: Vec<FailingWorker>,
}

impl HealthReport {
    /// Encodes the report.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report; returns `None` if it is malformed or does not contain the zone of a failing worker.
    pub fn decode(bytes: &[u8]) -> Option<HealthReport> {
        let report: HealthReport = postcard::from_bytes(bytes).ok()?;
        let has_zone = |failing: &FailingWorker| usize::from(failing.zone_index) < report.zones.len();
        report.failing.iter().all(has_zone).then_some(report)
    }

    /// Returns whether the observer sees no healthy worker and at least one failing worker in the zone.
    pub(super) fn zone_unreachable(&self, zone: &str) -> bool {
        self.zones.iter().any(|report| report.name == zone && !report.reachable && report.failing_count > 0)
    }
}
