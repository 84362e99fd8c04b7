//! Metrics of a dispatcher, updated where each event happens and exposed in the Prometheus text format.

mod cluster;

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use crate::names::ClassInfo;

pub use cluster::ClusterMetrics;

/// Metrics of a dispatcher.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Jobs by class and outcome (served, refused, failed), and attempts written completely to workers.
    pub requests: IntCounterVec,
    /// Jobs submitted and not yet answered.
    pub in_flight: IntGauge,
    /// Workers on the endpoint list.
    pub workers_known: IntGauge,
    /// Listed workers that are ejected.
    pub workers_excluded: IntGauge,
    /// Reloads of the configuration that were applied.
    pub reloads_ok: IntCounter,
    /// Reloads of the configuration that were rejected.
    pub reloads_failed: IntCounter,
    /// Load reports with a malformed figure.
    pub malformed_reports: IntCounter,
}

/// Value of the `outcome` label: the outcome of a job for its client, or an attempt that was written completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The client received a worker's result.
    Served,
    /// Admission rejected the job, and nothing ran.
    Rejected,
    /// The job failed, or the request was invalid.
    Failed,
    /// The last byte of an attempt was written to a worker.
    Attempt,
}

impl Outcome {
    fn label(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Rejected => "refused",
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
    /// Creates the metrics, all at 0.
    ///
    /// # Panics
    /// Never panics: the names are valid and distinct.
    #[must_use]
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let opts =
            Opts::new("balancer_requests", "Jobs by class and outcome, and attempts written completely");
        let requests = IntCounterVec::new(opts, &["class", "outcome"]).expect("a valid name");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("a valid name");
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("a valid name");
        let metrics = Metrics {
            requests,
            in_flight: gauge("balancer_in_flight", "Jobs submitted and not yet answered"),
            workers_known: gauge("balancer_shop_workers_known", "Workers on the endpoint list"),
            workers_excluded: gauge("balancer_shop_workers_excluded", "Listed workers that are ejected"),
            reloads_ok: counter("balancer_reloads_ok", "Configuration reloads that were applied"),
            reloads_failed: counter("balancer_reloads_failed", "Configuration reloads that were rejected"),
            malformed_reports: counter(
                "balancer_load_reports_malformed",
                "Load reports with a malformed figure",
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

    /// Registers the metrics of a cluster member. Called once, if the local settings name a cluster.
    ///
    /// # Panics
    /// Panics if it is called twice.
    #[must_use]
    pub fn register_cluster(&self) -> ClusterMetrics {
        ClusterMetrics::register(&self.registry)
    }

    /// Counts the outcome of a job, or an attempt, of a class.
    pub fn count(&self, class: &str, outcome: Outcome) {
        self.requests.with_label_values(&[class, outcome.label()]).inc();
    }

    /// Registers the counters of these classes, so that they are exposed at 0 before their first job.
    pub(super) fn register_classes(&self, classes: &[ClassInfo]) {
        for class in classes {
            self.register_class(&class.name);
        }
    }

    /// Registers the counters of a class, so that they are exposed at 0 before its first job.
    pub fn register_class(&self, class: &str) {
        for outcome in [Outcome::Served, Outcome::Rejected, Outcome::Failed, Outcome::Attempt] {
            self.requests.with_label_values(&[class, outcome.label()]);
        }
    }

    /// Returns the metrics in the Prometheus text exposition format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding fails only for a metric family without metrics, which cannot be registered.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// Guard that counts a job as in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlight(IntGauge);

impl InFlight {
    /// Increments the count of jobs in flight.
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
