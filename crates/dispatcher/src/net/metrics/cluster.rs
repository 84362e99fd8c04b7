//! Metrics of a cluster member.

use prometheus::{Counter, Gauge, IntCounter, IntGauge, Registry};

/// Metrics of a cluster member, in the registry of the dispatcher.
#[derive(Debug, Clone)]
pub struct ClusterMetrics {
    /// 1 while this member has a session.
    pub session: IntGauge,
    /// Number of leases that this member holds.
    pub leases_held: IntGauge,
    /// Effects of lease holders that were rejected since the start, for a stale token or because this member had no
    /// session.
    pub effects_rejected: IntGauge,
    /// Workers that this member checks for the cluster.
    pub workers_checked: IntGauge,
    /// Workers that fail health checks, of those that this member checks.
    pub workers_failing: IntGauge,
    /// Workers with an unhealthy verdict in force at this member.
    pub workers_reported_failing: IntGauge,
    /// Health checks sent for the cluster.
    pub health_checks: IntCounter,
    /// Slow-start quota granted to this member since the start, in slot-seconds.
    pub quota_granted: Counter,
    /// Slow-start quota that this member granted to all members in its last term of the lease, in slot-seconds.
    pub quota_allocated: Gauge,
    /// Requests for standby that were rejected.
    pub drains_rejected: IntCounter,
    /// Requests for standby that an operator forced and that took effect.
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
                "1 while this member has a session with the coordinators",
            ),
            leases_held: gauge(registry, "cairncrank_fleet_duties_owned", "Leases that this member holds"),
            effects_rejected: gauge(
                registry,
                "cairncrank_fleet_effects_refused",
                "Effects of lease holders rejected since the start",
            ),
            workers_checked: gauge(
                registry,
                "cairncrank_fleet_workers_watched",
                "Workers that this member health-checks for the cluster",
            ),
            workers_failing: gauge(
                registry,
                "cairncrank_fleet_workers_failing",
                "Workers that fail this member's health checks",
            ),
            workers_reported_failing: gauge(
                registry,
                "cairncrank_fleet_workers_told_failing",
                "Workers with an unhealthy verdict in force at this member",
            ),
            health_checks: counter(
                registry,
                "cairncrank_fleet_probes_total",
                "Health check probes sent for the cluster",
            ),
            quota_granted: quota_granted(registry),
            quota_allocated: quota_allocated(registry),
            drains_rejected: counter(
                registry,
                "cairncrank_fleet_standby_denied_total",
                "Requests for standby that were rejected",
            ),
            drains_forced: counter(
                registry,
                "cairncrank_fleet_standby_forced_total",
                "Forced requests for standby that took effect",
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
    let help = "Slow-start quota granted to this member, in slot-seconds";
    let counter = Counter::new("cairncrank_fleet_cold_granted_total", help).expect("a valid name");
    registry.register(Box::new(counter.clone())).expect("registered once");
    counter
}

fn quota_allocated(registry: &Registry) -> Gauge {
    let help = "Slow-start quota granted by this member in its last term of the lease, in slot-seconds";
    let gauge = Gauge::new("cairncrank_fleet_cold_dealt", help).expect("a valid name");
    registry.register(Box::new(gauge.clone())).expect("registered once");
    gauge
}
