//! Bugs injected on purpose, for tests that must detect them.

/// A bug of the lease client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A receiver accepts every effect.
    SkipTokenCheck,
    /// The session's expiry is measured from the response to a renewal instead of from its request.
    LeaseFromResponse,
    /// A receiver drops the minimum tokens that it was notified of.
    ForgetMinimumToken,
    /// A holder checks the expiry before the first effect of a round or connection instead of before each effect.
    SkipExpiryCheck,
}

impl InjectedBug {
    /// Returns all bugs with their names on the command line; empty unless built with the feature `seeded-bugs`.
    pub fn names() -> &'static [(&'static str, InjectedBug)] {
        #[cfg(feature = "seeded-bugs")]
        return &[
            ("receiver-without-check", InjectedBug::SkipTokenCheck),
            ("lease-from-answer", InjectedBug::LeaseFromResponse),
            ("token-not-stored", InjectedBug::ForgetMinimumToken),
            ("effect-after-pause", InjectedBug::SkipExpiryCheck),
        ];
        #[cfg(not(feature = "seeded-bugs"))]
        &[]
    }

    /// Returns the bug of this name, one of [`InjectedBug::names`].
    #[must_use]
    pub fn from_name(name: &str) -> Option<InjectedBug> {
        InjectedBug::names().iter().find(|(candidate, _)| *candidate == name).map(|(_, bug)| *bug)
    }
}
