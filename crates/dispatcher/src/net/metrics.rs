//! The metrics of the program, counted where each event happens, in the Prometheus text exposition format.

use prometheus::{Counter, Encoder, Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use crate::names::ClassInfo;

/// The figures, counted where each event happens.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Jobs by class and outcome (served, refused, failed), and attempts written whole to workers.
    pub requests: IntCounterVec,
    /// Jobs taken and not yet answered.
    pub in_flight: IntGauge,
    /// The workers in the list.
    pub workers_known: IntGauge,
    /// The listed workers that are avoided.
    pub workers_excluded: IntGauge,
    /// Settings taken at SIGHUP.
    pub reloads_ok: IntCounter,
    /// Settings turned down at SIGHUP.
    pub reloads_failed: IntCounter,
    /// Load reports of which some figure could not be used.
    pub malformed_reports: IntCounter,
}

/// The figures of a member of a fleet.
#[derive(Debug, Clone)]
pub struct ClusterMetrics {
    /// Whether the keepers' word that this is a member holds now.
    pub session: IntGauge,
    /// Duties that are ours.
    pub leases_held: IntGauge,
    /// Effects of others that were refused since the start: old tokens, or no session here.
    pub effects_rejected: IntGauge,
    /// Workers that this member watches for all.
    pub workers_checked: IntGauge,
    /// Those of them that fail.
    pub workers_failing: IntGauge,
    /// Workers that some watcher's word is held against here.
    pub workers_reported_failing: IntGauge,
    /// Probes written on behalf of the fleet.
    pub health_checks: IntCounter,
    /// Work at cold workers that this member was granted since the start, in slots by seconds.
    pub quota_granted: Counter,
    /// Work at cold workers that this member granted to all in its last term, in slots by seconds.
    pub quota_allocated: Gauge,
    /// Calls for standby that the disruption budgets did not allow.
    pub drains_rejected: IntCounter,
    /// Calls for standby that an operator forced.
    pub drains_forced: IntCounter,
}

/// How a job ended for its client, or that an attempt was written whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with a worker's result.
    Served,
    /// Declined; coming again does no harm.
    Refused,
    /// Failed.
    Failed,
    /// An attempt's last byte was written to a worker.
    Attempt,
}

impl Outcome {
    fn label(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Attempt => "attempts",
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    /// All figures at 0.
    ///
    /// # Panics
    /// Never: the names are fixed and differ.
    #[must_use]
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let opts = Opts::new("balancer_requests", "Jobs by class and outcome, and attempts written whole");
        let requests = IntCounterVec::new(opts, &["class", "outcome"]).expect("a valid name");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("a valid name");
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("a valid name");
        let metrics = Metrics {
            requests,
            in_flight: gauge("balancer_in_flight", "Jobs taken and not yet answered"),
            workers_known: gauge("balancer_shop_workers_known", "Workers in the list"),
            workers_excluded: gauge("balancer_shop_workers_excluded", "Listed workers that are avoided now"),
            reloads_ok: counter("balancer_reloads_ok", "Settings taken at SIGHUP"),
            reloads_failed: counter("balancer_reloads_failed", "Settings turned down at SIGHUP"),
            malformed_reports: counter(
                "balancer_load_reports_malformed",
                "Load reports of which a figure could not be used",
            ),
            registry,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone())).expect("registered once");
        registry.register(Box::new(metrics.in_flight.clone())).expect("registered once");
        registry.register(Box::new(metrics.workers_known.clone())).expect("registered once");
        registry.register(Box::new(metrics.workers_excluded.clone())).expect("registered once");
        registry.register(Box::new(metrics.reloads_ok.clone())).expect("registered once");
        registry.register(Box::new(metrics.reloads_failed.clone())).expect("registered once");
        registry.register(Box::new(metrics.malformed_reports.clone())).expect("registered once");
        metrics
    }

    /// The figures of a member, shown from now on. Called once, where our own settings name a fleet.
    ///
    /// # Panics
    /// Never where it is called once: the names are fixed and differ.
    #[must_use]
    pub fn register_cluster(&self) -> ClusterMetrics {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("a valid name");
            self.registry.register(Box::new(gauge.clone())).expect("registered once");
            gauge
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("a valid name");
            self.registry.register(Box::new(counter.clone())).expect("registered once");
            counter
        };
        let probes = "Probes written on behalf of the fleet";
        let probes = counter("cairncrank_fleet_probes_total", probes);
        let granted = "Work at cold workers granted to this member, slots by seconds";
        let granted = Counter::new("cairncrank_fleet_cold_granted_total", granted).expect("a valid name");
        self.registry.register(Box::new(granted.clone())).expect("registered once");
        let dealt = "Work at cold workers granted by this member in its term, slots by seconds";
        let dealt = Gauge::new("cairncrank_fleet_cold_dealt", dealt).expect("a valid name");
        self.registry.register(Box::new(dealt.clone())).expect("registered once");
        ClusterMetrics {
            drains_rejected: counter(
                "cairncrank_fleet_standby_denied_total",
                "Calls for standby that the fleet did not allow",
            ),
            drains_forced: counter(
                "cairncrank_fleet_standby_forced_total",
                "Calls for standby that were forced",
            ),
            quota_granted: granted,
            quota_allocated: dealt,
            session: gauge(
                "cairncrank_fleet_session",
                "1 while the keepers' word holds that this is a member",
            ),
            leases_held: gauge("cairncrank_fleet_duties_owned", "Duties that this member owns"),
            effects_rejected: gauge(
                "cairncrank_fleet_effects_refused",
                "Effects of others refused since the start",
            ),
            workers_checked: gauge(
                "cairncrank_fleet_workers_watched",
                "Workers that this member watches for all",
            ),
            workers_failing: gauge(
                "cairncrank_fleet_workers_failing",
                "Workers that fail, of those watched here",
            ),
            workers_reported_failing: gauge(
                "cairncrank_fleet_workers_told_failing",
                "Workers that watchers' word is against",
            ),
            health_checks: probes,
        }
    }

    /// Counts one job's end, or one attempt, of a class.
    pub fn count(&self, class: &str, outcome: Outcome) {
        self.requests.with_label_values(&[class, outcome.label()]).inc();
    }

    /// Registers the figures of these classes, so that they are shown from 0 on.
    pub(super) fn register_classes(&self, classes: &[ClassInfo]) {
        for class in classes {
            self.register_class(&class.name);
        }
    }

    /// Registers the figures of a class, so that they are shown from 0 on.
    pub fn register_class(&self, class: &str) {
        for outcome in [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Attempt] {
            self.requests.with_label_values(&[class, outcome.label()]);
        }
    }

    /// The figures in the Prometheus text exposition format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only on a family without metrics, which registration rules out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// A job taken and not yet answered, for as long as it lives.
#[derive(Debug)]
pub struct InFlight(IntGauge);

impl InFlight {
    /// Counts one in.
    #[must_use]
    pub fn new(metrics: &Metrics) -> InFlight {
        metrics.in_flight.inc();
        InFlight(metrics.in_flight.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}
