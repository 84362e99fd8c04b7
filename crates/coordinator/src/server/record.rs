//! Records for the checkers of the emulator, written with `--record`. Their keys are a stable format.

use cluster_member::clock;
use cluster_member::record::{RecordKind, Recorder};
use coordination::{Command, CommandOutcome, Revision};
use serde::Serialize;

#[derive(Serialize)]
struct Started {
    #[serde(rename = "boots")]
    start_count: u64,
    #[serde(rename = "keeper")]
    replica_id: u64,
}

#[derive(Serialize)]
struct LeadershipChanged {
    term: Option<u64>,
}

/// Applied entry. The optional values depend on the outcome.
#[derive(Default, Serialize)]
struct Applied<'a> {
    digest: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    ended: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    granted: Option<String>,
    index: Revision,
    #[serde(skip_serializing_if = "Option::is_none")]
    joined: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<&'a str>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    permits: &'a [u64],
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    token: Option<u64>,
}

/// Records the start of the process.
pub(super) fn started(recorder: &Recorder, replica_id: u64, start_count: u64) {
    recorder.record(clock::now(), RecordKind::ProcessStarted, Started { start_count, replica_id });
}

/// Records that this replica became leader in this term, or lost the leadership.
pub(super) fn leadership_changed(recorder: &Recorder, leading_term: Option<u64>) {
    recorder.record(clock::now(), RecordKind::LeadershipChanged, LeadershipChanged { term: leading_term });
}

/// Records an applied entry.
pub(super) fn applied(
    recorder: &Recorder,
    index: Revision,
    digest: u64,
    command: &Command,
    outcome: &CommandOutcome,
) {
    let mut entry = Applied { index, digest, ..Applied::default() };
    match outcome {
        CommandOutcome::LeaseGranted { lease, holder } => {
            entry.granted = Some(lease.to_string());
            entry.token = Some(holder.token.0);
            entry.session = Some(holder.session.0);
        }
        CommandOutcome::SessionEnded(session) => entry.ended = Some(session.0),
        CommandOutcome::SessionOpened { session, .. } => {
            entry.joined = Some(session.0);
            if let Command::OpenSession { name, .. } = command {
                entry.name = Some(name);
            }
        }
        CommandOutcome::Disruption(disruption_budget::DisruptionOutcome::ObservationRecorded {
            granted,
            ..
        }) => entry.permits = granted,
        _ => {}
    }
    recorder.record(clock::now(), RecordKind::EntryApplied, entry);
}
