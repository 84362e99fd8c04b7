//! Metrics of a cluster member.

use prometheus::{Counter, Gauge, IntCounter, IntGauge, Registry};

/// Metrics of a cluster member.
#[derive(Debug, Clone)]
pub struct ClusterMetrics {
    /// 1 while this member has a session.
    pub session: IntGauge,
    /// Leases that this member holds.
    pub leases_held: IntGauge,
    /// Effects of lease holders that were rejected since the start, for a stale token or for want of a session.
    pub effects_rejected: IntGauge,
    /// Workers that this member checks for all members.
    pub workers_checked: IntGauge,
    /// Workers that fail, of those that this member checks.
    pub workers_failing: IntGauge,
    /// Workers with an unhealthy verdict in force at this member.
    pub workers_reported_failing: IntGauge,
    /// Health checks sent for all members.
    pub health_checks: IntCounter,
    /// Slow-start quota granted to this member since the start, in slot-seconds.
    pub quota_granted: Counter,
    /// Slow-start quota that this member granted to all in its last term of the lease, in slot-seconds.
    pub quota_allocated: Gauge,
    /// Requests for standby that were rejected.
    pub drains_rejected: IntCounter,
    /// Requests for standby that an operator forced.
    pub drains_forced: IntCounter,
}

impl ClusterMetrics {
    /// Registers the metrics.
    ///
    /// # Panics
    /// Panics if they are registered already.
    pub(super) fn register(registry: &Registry) -> ClusterMetrics {
        ClusterMetrics {
            session: gauge(
                registry,
                "cairncrank_fleet_session",
                "1 while the keepers' word holds that this is a member",
            ),
            leases_held: gauge(registry, "cairncrank_fleet_duties_owned", "Duties that this member owns"),
            effects_rejected: gauge(
                registry,
                "cairncrank_fleet_effects_refused",
                "Effects of others refused since the start",
            ),
            workers_checked: gauge(
                registry,
                "cairncrank_fleet_workers_watched",
                "Workers that this member watches for all",
            ),
            workers_failing: gauge(
                registry,
                "cairncrank_fleet_workers_failing",
                "Workers that fail, of those watched here",
            ),
            workers_reported_failing: gauge(
                registry,
                "cairncrank_fleet_workers_told_failing",
                "Workers that watchers' word is against",
            ),
            health_checks: counter(
                registry,
                "cairncrank_fleet_probes_total",
                "Probes written on behalf of the fleet",
            ),
            quota_granted: quota_granted(registry),
            quota_allocated: quota_allocated(registry),
            drains_rejected: counter(
                registry,
                "cairncrank_fleet_standby_denied_total",
                "Calls for standby that the fleet did not allow",
            ),
            drains_forced: counter(
                registry,
                "cairncrank_fleet_standby_forced_total",
                "Calls for standby that were forced",
            ),
        }
    }
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("a valid name");
    registry.register(Box::new(gauge.clone())).expect("registered once");
    gauge
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("a valid name");
    registry.register(Box::new(counter.clone())).expect("registered once");
    counter
}

fn quota_granted(registry: &Registry) -> Counter {
    let help = "Work at cold workers granted to this member, slots by seconds";
    let counter = Counter::new("cairncrank_fleet_cold_granted_total", help).expect("a valid name");
    registry.register(Box::new(counter.clone())).expect("registered once");
    counter
}

fn quota_allocated(registry: &Registry) -> Gauge {
    let help = "Work at cold workers granted by this member in its term, slots by seconds";
    let gauge = Gauge::new("cairncrank_fleet_cold_dealt", help).expect("a valid name");
    registry.register(Box::new(gauge.clone())).expect("registered once");
    gauge
}
