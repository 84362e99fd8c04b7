//! Bugs built in for tests, which show that the checkers and the model find them.

/// A bug in a member's side of the leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A receiver accepts every effect.
    SkipTokenCheck,
    /// The lease is measured from the response instead of from before the renewal was requested.
    LeaseFromResponse,
    /// A receiver forgets the minimum tokens that it was notified of.
    ForgetMinimumToken,
    /// A holder checks the clock once a round and not before each effect.
    SkipExpiryCheck,
}

impl InjectedBug {
    /// The bugs by name; empty unless built with the feature `seeded-bugs`.
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
}
