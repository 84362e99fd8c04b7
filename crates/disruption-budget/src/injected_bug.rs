//! Known mistakes for tests that must find them.

/// A mistake that a build with the feature `seeded-bugs` makes on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A begun permit is closed as soon as its target is seen available, whatever its incarnation.
    AnyIncarnation,
    /// Unplanned losses do not count against budgets.
    PlannedOnly,
    /// A permit is granted by an observation that was made before it was requested.
    StaleObservation,
    /// To begin a permit that is not open is not rejected.
    BeginUnknownPermit,
}

impl InjectedBug {
    /// All of them, by the name that settings and the command line use.
    #[must_use]
    pub fn names() -> &'static [(&'static str, InjectedBug)] {
        &[
            ("any-process", InjectedBug::AnyIncarnation),
            ("planned-only", InjectedBug::PlannedOnly),
            ("old-observation", InjectedBug::StaleObservation),
            ("begin-unasked", InjectedBug::BeginUnknownPermit),
        ]
    }
}
