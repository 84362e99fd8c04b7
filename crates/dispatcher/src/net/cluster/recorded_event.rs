//! Events in the record file, whose keys are read by the record checker of the emulator.

use cluster_member::record::{RecordKind, Recorder};
use coordination::{FencingToken, LeaseId, Micros};
use serde::Serialize;

/// An event of this member for the record file.
#[derive(Serialize)]
#[serde(untagged)]
pub(in crate::net) enum RecordedEvent {
    /// The process started.
    ProcessStarted {},
    /// A health check was sent on behalf of a lease.
    HealthCheckSent {
        #[serde(rename = "duty")]
        lease: String,
        token: u64,
        worker: u64,
    },
    /// An observation was sent on behalf of a lease.
    ObservationSent {
        #[serde(rename = "duty")]
        lease: String,
        token: u64,
    },
    /// The unhealthy verdict on a worker changed. It is withdrawn if `valid_for` is 0.
    VerdictChanged {
        #[serde(rename = "holds")]
        valid_for: Micros,
        worker: u64,
    },
    /// A slow-start quota was granted to this process.
    QuotaGranted {
        token: u64,
        #[serde(rename = "until")]
        expires_at: Micros,
        work: f64,
        worker: u64,
    },
    /// The dispatcher entered standby. `permit` is `None` if standby was forced without the coordinators.
    StandbyEntered { permit: Option<u64> },
    /// The dispatcher returned from standby.
    StandbyLeft {
        #[serde(rename = "number")]
        incarnation: u64,
    },
}

impl RecordedEvent {
    pub(in crate::net) fn health_check_sent(lease: &LeaseId, token: FencingToken, worker: u64) -> Self {
        RecordedEvent::HealthCheckSent { lease: lease.to_string(), token: token.0, worker }
    }

    pub(in crate::net) fn observation_sent(lease: &LeaseId, token: FencingToken) -> Self {
        RecordedEvent::ObservationSent { lease: lease.to_string(), token: token.0 }
    }

    fn kind(&self) -> RecordKind {
        match self {
            RecordedEvent::ProcessStarted {} => RecordKind::ProcessStarted,
            RecordedEvent::HealthCheckSent { .. } | RecordedEvent::ObservationSent { .. } => {
                RecordKind::EffectSent
            }
            RecordedEvent::VerdictChanged { .. } => RecordKind::VerdictApplied,
            RecordedEvent::QuotaGranted { .. } => RecordKind::QuotaGranted,
            RecordedEvent::StandbyEntered { .. } => RecordKind::StandbyEntered,
            RecordedEvent::StandbyLeft { .. } => RecordKind::StandbyLeft,
        }
    }

    /// Writes the event to the record file; `time` is when it happened.
    pub(in crate::net) fn write(&self, recorder: &Recorder, time: Micros) {
        recorder.record(time, self.kind(), self);
    }
}
