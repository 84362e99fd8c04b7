//! Metrics of a replica in the text format of Prometheus. Their names and labels are a stable format.

use std::fmt::Write as _;

use cluster_member::wire::{CommitLatency, LeaseStatus, ReplicaStatus};

const PREFIX: &str = "cairncrank_keeper_";

/// Type of a metric.
enum Kind {
    Gauge,
    Counter,
}

/// Value of a metric, with its labels in the text format.
struct Sample {
    labels: String,
    value: u64,
}

impl Sample {
    fn unlabelled(value: u64) -> [Sample; 1] {
        [Sample { labels: String::new(), value }]
    }
}

/// Formats all metrics of a replica.
pub(super) fn prometheus_text(status: &ReplicaStatus) -> String {
    let mut text = String::new();
    let leads = Sample::unlabelled(status.is_leader.into());
    write_metric(&mut text, "leads", Kind::Gauge, "Whether this keeper leads.", &leads);
    let term = Sample::unlabelled(status.raft_term);
    write_metric(&mut text, "term", Kind::Gauge, "The term of Raft.", &term);
    let applied = Sample::unlabelled(status.applied_index);
    write_metric(&mut text, "applied_entries", Kind::Counter, "The last entry applied.", &applied);
    let elections = Sample::unlabelled(status.election_count);
    write_metric(&mut text, "elections_total", Kind::Counter, "Leaders seen since the start.", &elections);
    let starts = Sample::unlabelled(status.start_count);
    write_metric(&mut text, "starts_total", Kind::Counter, "How often this disk was started.", &starts);
    let members = Sample::unlabelled(status.members.len() as u64);
    write_metric(&mut text, "members", Kind::Gauge, "Sessions of members.", &members);
    let latency_help = "From a proposal to its being applied, since the start.";
    write_metric(&mut text, "commit_microseconds", Kind::Gauge, latency_help, &commit_latencies(status));
    let token_help = "The token of a duty's running term, 0 without an owner.";
    let tokens: Vec<Sample> = status.leases.iter().map(running_token).collect();
    write_metric(&mut text, "duty_token", Kind::Gauge, token_help, &tokens);
    text
}

fn commit_latencies(status: &ReplicaStatus) -> [Sample; 3] {
    let CommitLatency { p50_us, p99_us, max_us } = status.commit_latency;
    [("0.5", p50_us), ("0.99", p99_us), ("1", max_us)]
        .map(|(quantile, value)| Sample { labels: format!("{{quantile=\"{quantile}\"}}"), value })
}

fn running_token(lease: &LeaseStatus) -> Sample {
    let (holder, value) =
        lease.holder.as_ref().map_or(("", 0), |holder| (holder.member.as_str(), holder.token.0));
    Sample { labels: format!("{{duty={:?},owner={holder:?}}}", lease.lease.to_string()), value }
}

fn write_metric(text: &mut String, name: &str, kind: Kind, help: &str, samples: &[Sample]) {
    let kind = match kind {
        Kind::Gauge => "gauge",
        Kind::Counter => "counter",
    };
    let _ = writeln!(text, "# HELP {PREFIX}{name} {help}\n# TYPE {PREFIX}{name} {kind}");
    for Sample { labels, value } in samples {
        let _ = writeln!(text, "{PREFIX}{name}{labels} {value}");
    }
}
