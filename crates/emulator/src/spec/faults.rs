//! The faults of a day and their figures.

use super::Span;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Workers take jobs and answer nothing.
    Hang,
    /// Another program takes a part of machines, on and off.
    NoisyNeighbour,
    /// Traffic jumps.
    Burst,
    /// Workers are replaced, batch by batch; successors start cold.
    Deploy,
    /// Dispatchers are killed and come back, batch by batch.
    RestartDispatchers,
    /// Workers die and start again cold.
    Crash,
}

/// The names of faults in experiments.
pub(super) const FAULT_KINDS: [(&str, FaultKind); 6] = [
    ("hang", FaultKind::Hang),
    ("neighbour", FaultKind::NoisyNeighbour),
    ("burst", FaultKind::Burst),
    ("deploy", FaultKind::Deploy),
    ("restarts", FaultKind::RestartDispatchers),
    ("crash", FaultKind::Crash),
];

/// A fault with its figures; what each means goes by the kind.
#[derive(Clone, Debug)]
pub struct FaultSpec {
    /// Which.
    pub kind: FaultKind,
    /// How long it goes on, in seconds.
    pub length: Span,
    /// The part of workers or dispatchers that it meets.
    pub affected_share: Span,
    /// The share taken, the factor of the rate, or the part replaced at a time.
    pub magnitude: Span,
    /// Seconds on and off, of draining, or down.
    pub interval: Span,
}

impl FaultKind {
    /// The fault of this name in experiments.
    pub(super) fn by_name(name: &str) -> Option<FaultKind> {
        FAULT_KINDS.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind)
    }
}
