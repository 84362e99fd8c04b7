//! Faults of a simulated day and their parameters.

use super::ValueRange;

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Workers accept jobs and do not respond.
    Hang,
    /// Another process takes a share of the CPU of workers' machines, in intervals.
    NoisyNeighbour,
    /// The arrival rate is multiplied for a time.
    Burst,
    /// Workers are drained and replaced in batches; their replacements start cold.
    Deploy,
    /// Dispatchers are killed and restarted in batches.
    RestartDispatchers,
    /// Workers are killed in batches and restart cold.
    Crash,
}

/// Names of fault kinds in experiment files.
pub(super) const FAULT_KINDS: [(&str, FaultKind); 6] = [
    ("hang", FaultKind::Hang),
    ("neighbour", FaultKind::NoisyNeighbour),
    ("burst", FaultKind::Burst),
    ("deploy", FaultKind::Deploy),
    ("restarts", FaultKind::RestartDispatchers),
    ("crash", FaultKind::Crash),
];

/// A kind of fault with its parameters, some of which differ in meaning by kind.
#[derive(Clone, Debug)]
pub struct FaultSpec {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Duration in seconds: of the fault itself, or the time over which its batches begin.
    pub length: ValueRange,
    /// Share of the workers or dispatchers that are affected.
    pub affected_share: ValueRange,
    /// `NoisyNeighbour`: share of CPU taken. `Burst`: factor of the arrival rate. Faults in batches: size of a batch,
    /// as a share of all workers or dispatchers.
    pub magnitude: ValueRange,
    /// Seconds. `NoisyNeighbour`: length of each interval with load and without. `Deploy`: time from a worker's drain
    /// to its end. `Crash` and `RestartDispatchers`: downtime.
    pub interval: ValueRange,
}

impl FaultKind {
    /// Returns the fault kind with this name in experiment files.
    pub(super) fn by_name(name: &str) -> Option<FaultKind> {
        FAULT_KINDS.iter().find(|(kind_name, _)| *kind_name == name).map(|(_, kind)| *kind)
    }
}
