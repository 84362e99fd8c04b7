//! Schedule of the probes and reports of one set, in one term of its lease.

use std::collections::BTreeMap;

use coordination::Micros;

use super::{FailingWorker, HealthCheckConfig, HealthReport, InjectedBug, ZoneReport};

/// Minimum interval between two reports of a lease holder, in microseconds.
const MIN_REPORT_INTERVAL: Micros = 100_000;
/// Divisor of the probe interval that gives the time over which the first probes of new workers are spread.
const INITIAL_SPREAD_DIVISOR: u64 = 4;
/// Number of probe intervals during which a healthy result counts as recent.
const RECENT_INTERVALS: u64 = 2;

/// Time of the last healthy result in each zone, from all sets that one process checks.
#[derive(Debug, Clone, Default)]
pub struct ZoneLiveness(BTreeMap<String, Micros>);

impl ZoneLiveness {
    fn record_healthy(&mut self, zone: &str, now: Micros) {
        self.0.insert(zone.to_owned(), now);
    }

    fn healthy_since(&self, zone: &str, since: Micros) -> bool {
        self.0.get(zone).is_some_and(|last| *last >= since)
    }

    fn any_healthy_since(&self, since: Micros) -> bool {
        self.0.values().any(|last| *last >= since)
    }
}

/// Probe state of one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct WorkerProbeState {
    zone: String,
    next_probe: Micros,
    in_flight: bool,
    consecutive_failures: u16,
    first_failure: Micros,
    /// Whether another worker of the zone was seen healthy between the first and the last failure.
    zone_reachable: bool,
    /// Time of the last result, healthy or not.
    last_result: Option<Micros>,
}

/// Part of the probe state whose change makes a report due.
#[derive(PartialEq)]
struct ReportedState {
    failing: bool,
    zone_reachable: bool,
}

impl WorkerProbeState {
    fn new(zone: &str, next_probe: Micros) -> WorkerProbeState {
        WorkerProbeState {
            zone: zone.to_owned(),
            next_probe,
            in_flight: false,
            consecutive_failures: 0,
            first_failure: 0,
            zone_reachable: false,
            last_result: None,
        }
    }

    fn reported(&self, failure_threshold: u16) -> ReportedState {
        ReportedState {
            failing: self.consecutive_failures >= failure_threshold,
            zone_reachable: self.zone_reachable,
        }
    }

    fn record_healthy(&mut self, now: Micros) {
        self.consecutive_failures = 0;
        self.zone_reachable = false;
        self.last_result = Some(now);
    }

    fn record_failure(&mut self, now: Micros, zones: &ZoneLiveness) {
        if self.consecutive_failures == 0 {
            self.first_failure = now;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        // Evaluated at each failure and not later, because a worker that is seen healthy after a partition has healed
        // does not show that the zone was reachable during the failures.
        self.zone_reachable |=
            self.consecutive_failures > 1 && zones.healthy_since(&self.zone, self.first_failure);
        self.last_result = Some(now);
    }
}

/// Numbers of workers of a set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Number of checked workers.
    pub checked: usize,
    /// Number of failing workers.
    pub failing: usize,
}

/// Scheduler of the probes and reports of one set, in one term.
#[derive(Debug, Clone)]
pub struct HealthCheckScheduler {
    config: HealthCheckConfig,
    /// Zone of the observer.
    zone: String,
    workers: BTreeMap<u64, WorkerProbeState>,
    last_report: Option<Micros>,
    /// Whether the reported state of a worker has changed since the last report.
    changed: bool,
}

impl HealthCheckScheduler {
    /// Creates a scheduler at the start of a term. `zone` is the zone of the observer.
    pub fn new(config: HealthCheckConfig, zone: &str) -> HealthCheckScheduler {
        HealthCheckScheduler {
            config,
            zone: zone.to_owned(),
            workers: BTreeMap::new(),
            last_report: None,
            changed: false,
        }
    }

    /// Sets the workers to check, with their zones. New workers are first probed after one interval, because another
    /// lease holder may have probed them until now.
    pub fn update_workers<'a>(&mut self, now: Micros, workers: impl Iterator<Item = (u64, &'a str)>) {
        let workers: BTreeMap<u64, &str> = workers.collect();
        self.workers.retain(|id, _| workers.contains_key(id));
        let new: Vec<(u64, &str)> =
            workers.into_iter().filter(|(id, _)| !self.workers.contains_key(id)).collect();
        let probe_spacing = self.config.probe_interval / INITIAL_SPREAD_DIVISOR / new.len().max(1) as u64;
        let mut next_probe = now + self.initial_delay();
        for (id, zone) in new {
            self.workers.insert(id, WorkerProbeState::new(zone, next_probe));
            next_probe += probe_spacing;
        }
    }

    fn initial_delay(&self) -> Micros {
        if self.config.injected_bug == Some(InjectedBug::ProbeAtOnce) {
            0
        } else {
            self.config.probe_interval
        }
    }

    /// Returns the workers to probe now. A worker is not returned again until its probe has finished.
    pub fn due_probes(&mut self, now: Micros) -> Vec<u64> {
        let mut due = Vec::new();
        for (id, worker) in &mut self.workers {
            if !worker.in_flight && worker.next_probe <= now {
                worker.in_flight = true;
                due.push(*id);
            }
        }
        due
    }

    /// Records that a probe of a worker is about to be sent. The next probe is due one interval later.
    pub fn probe_sent(&mut self, worker: u64, now: Micros) {
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.next_probe = now + self.config.probe_interval;
        }
    }

    /// Records the result of a probe. `healthy` is `None` if the probe was not sent or gave no result.
    pub fn probe_finished(
        &mut self,
        worker: u64,
        healthy: Option<bool>,
        now: Micros,
        zones: &mut ZoneLiveness,
    ) {
        let Some(worker) = self.workers.get_mut(&worker) else { return };
        worker.in_flight = false;
        if worker.next_probe <= now {
            // The probe was not sent.
            worker.next_probe = now + self.config.probe_interval;
        }
        let Some(healthy) = healthy else { return };
        let before = worker.reported(self.config.failure_threshold);
        if healthy {
            worker.record_healthy(now);
            zones.record_healthy(&worker.zone, now);
        } else {
            worker.record_failure(now, zones);
        }
        self.changed |= before != worker.reported(self.config.failure_threshold);
    }

    /// Returns a report if one is due now. The caller must send it.
    pub fn next_report(&mut self, now: Micros, zones: &ZoneLiveness) -> Option<HealthReport> {
        if !self.report_due(now) {
            return None;
        }
        self.last_report = Some(now);
        self.changed = false;
        Some(self.report(now, zones))
    }

    fn report_due(&self, now: Micros) -> bool {
        let Some(last) = self.last_report else {
            return self.workers.values().any(|worker| worker.last_result.is_some());
        };
        let elapsed = now.saturating_sub(last);
        elapsed >= self.config.probe_interval || (self.changed && elapsed >= MIN_REPORT_INTERVAL)
    }

    fn report(&self, now: Micros, zones: &ZoneLiveness) -> HealthReport {
        let recent_since = now.saturating_sub(RECENT_INTERVALS * self.config.probe_interval);
        let mut report = HealthReport {
            observer_zone: self.zone.clone(),
            sent_at: now,
            sees_healthy_worker: zones.any_healthy_since(recent_since),
            zones: Vec::new(),
            failing: Vec::new(),
        };
        for (id, worker) in &self.workers {
            let Some(last_result) = worker.last_result else { continue };
            let zone_index = zone_index(&mut report.zones, &worker.zone, zones, recent_since);
            if worker.consecutive_failures < self.config.failure_threshold {
                continue;
            }
            report.zones[zone_index].failing_count += 1;
            report.failing.push(FailingWorker {
                worker: *id,
                zone_index: zone_index as u16,
                consecutive_failures: worker.consecutive_failures,
                age: now.saturating_sub(last_result),
                zone_reachable: worker.zone_reachable,
            });
        }
        report
    }

    /// Returns the numbers of checked and failing workers.
    pub fn worker_counts(&self) -> WorkerCounts {
        let is_failing =
            |worker: &&WorkerProbeState| worker.consecutive_failures >= self.config.failure_threshold;
        WorkerCounts {
            checked: self.workers.len(),
            failing: self.workers.values().filter(is_failing).count(),
        }
    }
}

/// Returns the index of a zone among the reported zones; adds the zone if it is missing.
fn zone_index(
    reported: &mut Vec<ZoneReport>,
    zone: &str,
    zones: &ZoneLiveness,
    recent_since: Micros,
) -> usize {
    if let Some(index) = reported.iter().position(|report| report.name == zone) {
        return index;
    }
    let reachable = zones.healthy_since(zone, recent_since);
    reported.push(ZoneReport { name: zone.to_owned(), reachable, failing_count: 0 });
    reported.len() - 1
}
