//! Unhealthy verdicts, derived from the reports of all observers.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{FencingToken, Micros};

use super::{FailingWorker, HealthCheckConfig, HealthReport, InjectedBug};

/// Latest report of one set.
#[derive(Debug, Clone)]
struct ReceivedReport {
    /// Time of sending, estimated by the receiver's clock.
    sent_at: Micros,
    report: HealthReport,
}

/// Latest reports of all sets, as received by one member.
#[derive(Debug, Clone)]
pub struct HealthReports {
    config: HealthCheckConfig,
    reports: BTreeMap<u16, ReceivedReport>,
    clock_offsets: BTreeMap<u16, ClockOffset>,
}

/// Difference between the clocks of the receiver and of the observer of a set, in the present term of the set's lease.
#[derive(Debug, Clone, Copy)]
struct ClockOffset {
    token: FencingToken,
    /// Smallest difference between the time of receipt and [`HealthReport::sent_at`], which is that of the fastest
    /// report.
    smallest: i128,
}

/// Verdict that a worker is unhealthy, based on the report of its observer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnhealthyVerdict {
    /// Time of the last failure, by the receiver's clock.
    pub last_failure: Micros,
    /// Time at which the verdict expires unless another report arrives.
    pub expires_at: Micros,
}

impl HealthReports {
    /// Creates a collection without reports.
    pub fn new(config: HealthCheckConfig) -> HealthReports {
        HealthReports { config, reports: BTreeMap::new(), clock_offsets: BTreeMap::new() }
    }

    /// Records a report of the observer of a set. The caller must have accepted its fencing token.
    pub fn record(&mut self, set: u16, token: FencingToken, report: HealthReport, now: Micros) {
        let offset = i128::from(now) - i128::from(report.sent_at);
        let new_term = ClockOffset { token, smallest: offset };
        let present_term = self.clock_offsets.get(&set).copied().filter(|offset| offset.token == token);
        let fastest = present_term.unwrap_or(new_term).smallest.min(offset);
        self.clock_offsets.insert(set, ClockOffset { token, smallest: fastest });
        // The time that this report was in flight beyond that of the fastest report counts toward its age.
        let delay = u64::try_from(offset - fastest).unwrap_or(u64::MAX);
        self.reports.insert(set, ReceivedReport { sent_at: now.saturating_sub(delay), report });
    }

    fn is_fresh(&self, received: &ReceivedReport, now: Micros) -> bool {
        now.saturating_sub(received.sent_at) < self.config.report_ttl
    }

    fn fresh(&self, now: Micros) -> impl Iterator<Item = (u16, &ReceivedReport)> {
        let all = self.reports.iter().map(|(set, received)| (*set, received));
        all.filter(move |(_, received)| self.is_fresh(received, now))
    }

    /// Returns whether this report and the report of an observer in another zone both find a zone unreachable. The
    /// other observer must see a healthy worker, or it may be partitioned itself.
    fn zone_unreachable(&self, set: u16, report: &HealthReport, zone: &str, now: Micros) -> bool {
        let confirms = |other: &HealthReport| {
            other.observer_zone != report.observer_zone
                && other.sees_healthy_worker
                && other.zone_unreachable(zone)
        };
        let mut others = self.fresh(now).filter(|(other, _)| *other != set);
        report.zone_unreachable(zone) && others.any(|(_, other)| confirms(&other.report))
    }

    /// Returns the unhealthy workers with their verdicts.
    pub fn verdicts(&self, now: Micros) -> BTreeMap<u64, UnhealthyVerdict> {
        let mut verdicts = BTreeMap::new();
        for (set, received) in self.fresh(now) {
            let report = &received.report;
            let unreachable: Vec<bool> =
                report.zones.iter().map(|zone| self.zone_unreachable(set, report, &zone.name, now)).collect();
            for failing in &report.failing {
                let last_failure = received.sent_at.saturating_sub(failing.age);
                let expires_at = last_failure + self.config.report_ttl;
                let confirmed = unreachable.get(usize::from(failing.zone_index)) == Some(&true);
                if expires_at > now && self.credible(report, failing, confirmed) {
                    verdicts.insert(failing.worker, UnhealthyVerdict { last_failure, expires_at });
                }
            }
        }
        verdicts
    }

    /// Returns whether a failure is due to the worker or its zone and not to a partition of the observer. `confirmed`
    /// is whether another observer also finds the zone unreachable.
    fn credible(&self, report: &HealthReport, failing: &FailingWorker, confirmed: bool) -> bool {
        let trusts_all = self.config.injected_bug == Some(InjectedBug::TrustEveryReport);
        trusts_all || (report.sees_healthy_worker && (failing.zone_reachable || confirmed))
    }

    /// Returns the sets with a fresh report.
    pub fn observed_sets(&self, now: Micros) -> BTreeSet<u16> {
        self.fresh(now).map(|(set, _)| set).collect()
    }
}
