//! Which workers are held to fail, by the reports of all lease holders.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{FencingToken, Micros};

use super::{FailingWorker, HealthCheckConfig, HealthReport, InjectedBug};

/// The latest report of one set.
#[derive(Debug, Clone)]
struct ReceivedReport {
    /// When it was sent, by the receiver's clock.
    sent_at: Micros,
    report: HealthReport,
}

/// What a member has received of the reports on all sets.
#[derive(Debug, Clone)]
pub struct HealthReports {
    config: HealthCheckConfig,
    reports: BTreeMap<u16, ReceivedReport>,
    clock_offsets: BTreeMap<u16, ClockOffset>,
}

/// How the receiver's clock stands to that of a set's lease holder. Only the present term of a set counts, so that there
/// are no more of these than sets.
#[derive(Debug, Clone, Copy)]
struct ClockOffset {
    token: FencingToken,
    /// The smallest difference between the receiver's clock and [`HealthReport::sent_at`]: the fastest report of the term.
    smallest: i128,
}

/// That a worker is held to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnhealthyVerdict {
    /// When it last failed, by the receiver's clock.
    pub last_failure: Micros,
    /// When the verdict expires if no other report comes.
    pub expires_at: Micros,
}

impl HealthReports {
    /// No report was received yet.
    pub fn new(config: HealthCheckConfig) -> HealthReports {
        HealthReports { config, reports: BTreeMap::new(), clock_offsets: BTreeMap::new() }
    }

    /// Records a report of the holder of a set's lease, whose token was accepted.
    pub fn record(&mut self, set: u16, token: FencingToken, report: HealthReport, now: Micros) {
        let offset = i128::from(now) - i128::from(report.sent_at);
        let new_term = ClockOffset { token, smallest: offset };
        let known = self.clock_offsets.get(&set).copied().filter(|known| known.token == token);
        let fastest = known.unwrap_or(new_term).smallest.min(offset);
        self.clock_offsets.insert(set, ClockOffset { token, smallest: fastest });
        // What took longer than the fastest report is older by that much.
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

    /// Whether this observer and one of another zone see no healthy worker of a zone, and one somewhere else.
    fn zone_unreachable(&self, set: u16, report: &HealthReport, zone: &str, now: Micros) -> bool {
        let confirms = |other: &HealthReport| {
            other.observer_zone != report.observer_zone
                && other.sees_healthy_worker
                && other.zone_unreachable(zone)
        };
        let mut others = self.fresh(now).filter(|(other, _)| *other != set);
        report.zone_unreachable(zone) && others.any(|(_, other)| confirms(&other.report))
    }

    /// The workers that are held to fail at this moment.
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

    /// Whether a failure is the worker's and not the observer's. `confirmed`: another observer finds its zone unreachable.
    fn credible(&self, report: &HealthReport, failing: &FailingWorker, confirmed: bool) -> bool {
        let trusts_all = self.config.injected_bug == Some(InjectedBug::TrustEveryReport);
        trusts_all || (report.sees_healthy_worker && (failing.zone_reachable || confirmed))
    }

    /// The sets of which a fresh report is known.
    pub fn observed_sets(&self, now: Micros) -> BTreeSet<u16> {
        self.fresh(now).map(|(set, _)| set).collect()
    }
}
