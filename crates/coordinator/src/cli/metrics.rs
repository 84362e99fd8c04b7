//! Metrics of a replica in the text format of Prometheus. Their names and labels are a stable format.

use std::fmt;

use cluster_member::wire::{CommitLatency, LeaseStatus, ReplicaStatus};

/// Prefix of the name of each metric.
const PREFIX: &str = "cairncrank_keeper_";

/// Metric with its values.
struct Metric {
    name: &'static str,
    metric_type: MetricType,
    help: &'static str,
    samples: Vec<Sample>,
}

/// Type of a metric.
enum MetricType {
    Gauge,
    Counter,
}

/// Value of a metric, with its labels in the text format.
struct Sample {
    labels: String,
    value: u64,
}

impl Metric {
    /// Creates a gauge with one value.
    fn gauge(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric::labelled_gauge(name, help, vec![Sample::unlabelled(value)])
    }

    /// Creates a gauge with a value for each set of labels.
    fn labelled_gauge(name: &'static str, help: &'static str, samples: Vec<Sample>) -> Metric {
        Metric { name, metric_type: MetricType::Gauge, help, samples }
    }

    /// Creates a counter with one value.
    fn counter(name: &'static str, help: &'static str, value: u64) -> Metric {
        Metric { name, metric_type: MetricType::Counter, help, samples: vec![Sample::unlabelled(value)] }
    }
}

impl Sample {
    fn unlabelled(value: u64) -> Sample {
        Sample { labels: String::new(), value }
    }
}

impl fmt::Display for MetricType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MetricType::Gauge => "gauge",
            MetricType::Counter => "counter",
        })
    }
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Metric { name, metric_type, help, samples } = self;
        writeln!(f, "# HELP {PREFIX}{name} {help}")?;
        writeln!(f, "# TYPE {PREFIX}{name} {metric_type}")?;
        for Sample { labels, value } in samples {
            writeln!(f, "{PREFIX}{name}{labels} {value}")?;
        }
        Ok(())
    }
}

/// Formats all metrics of a replica.
pub(super) fn prometheus_text(status: &ReplicaStatus) -> String {
    metrics(status).iter().map(Metric::to_string).collect()
}

fn metrics(status: &ReplicaStatus) -> [Metric; 8] {
    [
        Metric::gauge("leads", "1 if this replica is the leader, 0 otherwise.", status.is_leader.into()),
        Metric::gauge("term", "Current Raft term.", status.raft_term),
        Metric::counter(
            "applied_entries",
            "Index of the last log entry that was applied.",
            status.applied_index,
        ),
        Metric::counter(
            "elections_total",
            "Number of elected leaders that this replica has seen since it started.",
            status.election_count,
        ),
        Metric::counter("starts_total", "Number of starts on the store of this replica.", status.start_count),
        Metric::gauge("members", "Number of open sessions of members.", status.members.len() as u64),
        Metric::labelled_gauge(
            "commit_microseconds",
            "Time from proposing a command to applying it, in microseconds, since this replica started.",
            commit_latencies(status),
        ),
        Metric::labelled_gauge(
            "duty_token",
            "Fencing token of the running term of a lease, 0 if the lease has no holder.",
            status.leases.iter().map(running_token).collect(),
        ),
    ]
}

fn commit_latencies(status: &ReplicaStatus) -> Vec<Sample> {
    let CommitLatency { p50_us, p99_us, max_us } = status.commit_latency;
    let sample = |quantile: &str, value| Sample { labels: format!("{{quantile=\"{quantile}\"}}"), value };
    vec![sample("0.5", p50_us), sample("0.99", p99_us), sample("1", max_us)]
}

fn running_token(lease: &LeaseStatus) -> Sample {
    let holder = lease.holder.as_ref();
    let holder_name = holder.map_or("", |holder| holder.member.as_str());
    let token = holder.map_or(0, |holder| holder.token.0);
    let lease_name = lease.lease.to_string();
    Sample { labels: format!("{{duty={lease_name:?},owner={holder_name:?}}}"), value: token }
}
