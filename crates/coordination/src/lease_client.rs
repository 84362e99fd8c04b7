//! Lease client: a member's session, the leases that it holds, and the check of the effects that it receives.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ClusterView, FencingToken, InjectedBug, LeaseId, LeaseView, Micros, Revision, SessionId, Timing,
};

/// A session, as its member sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClientSession {
    /// The session.
    pub id: SessionId,
    /// Number of the session among all sessions of the member's name, starting at 1.
    pub incarnation: u64,
    /// Time by this member's clock at which the session expires unless it is renewed.
    pub expires_at: Micros,
}

/// A lease that a member holds, in the term with this fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// Fencing token of the term.
    pub token: FencingToken,
}

/// Reason why a receiver rejects an effect.
///
/// Holders receive these as postcard: the order of variants and fields is part of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error, Serialize, Deserialize)]
pub enum EffectRejection {
    /// The receiver has no session, so its minimum tokens may be stale. The holder may retry later.
    #[error("the receiver has no session, so it accepts no effects")]
    NoSession,
    /// The receiver was notified of a later term. The holder must stop sending effects.
    #[error("the term has ended: the minimum token is {}", minimum_token.0)]
    StaleToken {
        /// Lowest token that the receiver accepts.
        minimum_token: FencingToken,
    },
    /// The receiver was not notified of the lease yet. The holder may retry later.
    #[error("the lease is unknown to the receiver")]
    UnknownLease,
}

/// Effects that a member received since it started or last reset the counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EffectCounts {
    /// Number of accepted effects.
    pub accepted: u64,
    /// Number of effects rejected with [`EffectRejection::StaleToken`].
    pub stale_tokens: u64,
    /// Number of effects rejected with [`EffectRejection::NoSession`].
    pub without_session: u64,
    /// Number of effects rejected with [`EffectRejection::UnknownLease`].
    pub unknown_leases: u64,
}

impl EffectCounts {
    fn record(&mut self, result: Result<(), EffectRejection>) {
        let count = match result {
            Ok(()) => &mut self.accepted,
            Err(EffectRejection::NoSession) => &mut self.without_session,
            Err(EffectRejection::StaleToken { .. }) => &mut self.stale_tokens,
            Err(EffectRejection::UnknownLease) => &mut self.unknown_leases,
        };
        *count += 1;
    }
}

/// A member's session and leases, by its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    timing: Timing,
    injected_bug: Option<InjectedBug>,
    session: Option<ClientSession>,
    revision: Revision,
    leases: BTreeMap<LeaseId, LeaseView>,
    counts: EffectCounts,
}

impl LeaseClient {
    /// Creates the client of a process without a session.
    pub fn new(timing: Timing) -> LeaseClient {
        LeaseClient {
            timing,
            injected_bug: None,
            session: None,
            revision: 0,
            leases: BTreeMap::new(),
            counts: EffectCounts::default(),
        }
    }

    /// Injects a bug.
    #[cfg(feature = "seeded-bugs")]
    pub fn with_injected_bug(mut self, bug: Option<InjectedBug>) -> LeaseClient {
        self.injected_bug = bug;
        self
    }

    /// Returns the injected bug, for callers that check the expiry themselves.
    pub fn injected_bug(&self) -> Option<InjectedBug> {
        self.injected_bug
    }

    /// Records that a session was opened, which this member requested at `requested_at`.
    pub fn on_session_opened(
        &mut self,
        id: SessionId,
        incarnation: u64,
        requested_at: Micros,
        now: Micros,
        view: ClusterView,
    ) {
        if self.session.is_none_or(|session| session.id != id) {
            // The first view of a session replaces all earlier views, whatever their revisions: when an installation is
            // set up again, its revisions restart at zero.
            self.revision = 0;
            self.leases = BTreeMap::new();
            self.session = Some(ClientSession { id, incarnation, expires_at: 0 });
        }
        self.on_session_renewed(id, requested_at, now, Some(view));
    }

    /// Records that the session was renewed, which this member requested at `requested_at`.
    pub fn on_session_renewed(
        &mut self,
        id: SessionId,
        requested_at: Micros,
        now: Micros,
        view: Option<ClusterView>,
    ) {
        let expires_at = self.expiry(requested_at, now);
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else { return };
        session.expires_at = session.expires_at.max(expires_at);
        if let Some(view) = view {
            self.apply_view(view);
        }
    }

    /// Applies a view that arrived between renewals. Returns whether it is newer than the last one; the member must
    /// then acknowledge it at once.
    pub fn on_view_changed(&mut self, id: SessionId, view: ClusterView) -> bool {
        self.session.is_some_and(|session| session.id == id) && self.apply_view(view)
    }

    /// Records that the session has ended, as reported by a replica or requested by this member.
    pub fn on_session_ended(&mut self) {
        self.session = None;
    }

    /// Returns the expiry of a session, measured from the request of its renewal as invariant 4 of the crate requires.
    fn expiry(&self, requested_at: Micros, now: Micros) -> Micros {
        let start =
            if self.injected_bug == Some(InjectedBug::LeaseFromResponse) { now } else { requested_at };
        start + self.timing.lease_duration
    }

    fn apply_view(&mut self, view: ClusterView) -> bool {
        if view.revision <= self.revision {
            return false;
        }
        self.revision = view.revision;
        for mut lease in view.leases {
            // An accepted effect may have raised the minimum above that of this view.
            if let Some(previous) = self.leases.get(&lease.lease) {
                lease.minimum_token = lease.minimum_token.max(previous.minimum_token);
            }
            if self.injected_bug == Some(InjectedBug::ForgetMinimumToken) {
                lease.minimum_token = FencingToken(0);
            }
            self.leases.insert(lease.lease.clone(), lease);
        }
        true
    }

    /// Returns the revision of the latest view that was applied; it is acknowledged with each renewal.
    pub fn applied_revision(&self) -> Revision {
        self.revision
    }

    /// Returns the session unless it has expired by this clock.
    pub fn active_session(&self, now: Micros) -> Option<ClientSession> {
        self.session.filter(|session| now < session.expires_at)
    }

    /// Returns the latest session, expired or not.
    pub fn last_session(&self) -> Option<ClientSession> {
        self.session
    }

    /// Returns the leases that this member holds now.
    pub fn held_leases(&self, now: Micros) -> Vec<HeldLease> {
        let Some(session) = self.active_session(now) else { return Vec::new() };
        let held_by_session = |view: &LeaseView| {
            let holder = view.holder.filter(|holder| holder.session == session.id)?;
            Some(HeldLease { lease: view.lease.clone(), token: holder.token })
        };
        self.leases.values().filter_map(held_by_session).collect()
    }

    /// Returns whether this member may send an effect of this term now. Must be called immediately before each effect.
    pub fn holds_lease(&self, lease: &LeaseId, token: FencingToken, now: Micros) -> bool {
        let Some(session) = self.active_session(now) else { return false };
        let holder = self.leases.get(lease).and_then(|lease| lease.holder);
        holder.is_some_and(|holder| holder.session == session.id && holder.token == token)
    }

    /// Accepts or rejects an effect with this token, and counts the result. Accepting raises the minimum token.
    ///
    /// # Errors
    /// Returns [`EffectRejection`] if the effect must not be applied.
    pub fn accept_effect(
        &mut self,
        lease: &LeaseId,
        token: FencingToken,
        now: Micros,
    ) -> Result<(), EffectRejection> {
        let result = self.check_token(lease, token, now);
        self.counts.record(result);
        result?;
        if self.injected_bug != Some(InjectedBug::ForgetMinimumToken) {
            if let Some(view) = self.leases.get_mut(lease) {
                view.minimum_token = view.minimum_token.max(token);
            }
        }
        Ok(())
    }

    fn check_token(&self, lease: &LeaseId, token: FencingToken, now: Micros) -> Result<(), EffectRejection> {
        if self.injected_bug == Some(InjectedBug::SkipTokenCheck) {
            return Ok(());
        }
        if self.active_session(now).is_none() {
            return Err(EffectRejection::NoSession);
        }
        let minimum_token = self.leases.get(lease).ok_or(EffectRejection::UnknownLease)?.minimum_token;
        if token >= minimum_token {
            Ok(())
        } else {
            Err(EffectRejection::StaleToken { minimum_token })
        }
    }

    /// Returns the counts of effects received so far.
    pub fn effect_counts(&self) -> EffectCounts {
        self.counts
    }

    /// Resets all counts to zero.
    pub fn reset_effect_counts(&mut self) {
        self.counts = EffectCounts::default();
    }

    /// Returns the leases of the latest view.
    pub fn lease_views(&self) -> impl Iterator<Item = &LeaseView> {
        self.leases.values()
    }
}
