//! Bugs injected on purpose, for tests that must detect them.

/// A bug of the disruption state, active only in builds with the feature `seeded-bugs`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A begun permit is closed as soon as its target is observed to be available, whatever its incarnation.
    AnyIncarnation,
    /// Unplanned losses do not count against budgets.
    PlannedOnly,
    /// A permit is granted by an observation that was made before the permit was requested.
    StaleObservation,
    /// A command to begin a permit that is not open succeeds.
    BeginUnknownPermit,
}

impl InjectedBug {
    /// Returns all bugs with the names that settings and the command line use.
    #[must_use]
    pub fn names() -> &'static [(&'static str, InjectedBug)] {
        &[
            ("any-process", InjectedBug::AnyIncarnation),
            ("planned-only", InjectedBug::PlannedOnly),
            ("old-observation", InjectedBug::StaleObservation),
            ("begin-unasked", InjectedBug::BeginUnknownPermit),
        ]
    }

    /// Returns the bug of this name, one of [`InjectedBug::names`].
    #[must_use]
    pub fn from_name(name: &str) -> Option<InjectedBug> {
        InjectedBug::names().iter().find(|(candidate, _)| *candidate == name).map(|(_, bug)| *bug)
    }
}
