//! A member's side: its session, what it knows of tokens, whether it may act and whether it takes an effect.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ClusterView, FencingToken, LeaseId, LeaseView, Micros, Revision, SessionId, Timing};

/// A injected_bug put in on purpose, to see that it is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A receiver takes every effect.
    SkipTokenCheck,
    /// The lease counts from the answer of the keepers instead of from before it was asked for.
    LeaseFromResponse,
    /// What a receiver is told of tokens is forgotten.
    ForgetMinimumToken,
    /// An holder looks at the clock once a round and not before each effect.
    SkipExpiryCheck,
}

impl InjectedBug {
    /// The flaws by name. Empty where the program was not built for such tests.
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

/// A session that the keepers gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClientSession {
    /// Its number.
    pub id: SessionId,
    /// Which process of this name.
    pub incarnation: u64,
    /// When it ends, by this member's clock, if it is not renewed.
    pub expires_at: Micros,
}

/// Why an effect is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EffectRejection {
    /// This member has no session: what it knows of tokens may be old.
    NoSession,
    /// A higher token is known.
    StaleToken {
        /// The lowest that would be taken.
        minimum_token: FencingToken,
    },
    /// The duty is not one that this member knows.
    UnknownLease,
}

impl std::fmt::Display for EffectRejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            EffectRejection::NoSession => write!(f, "the receiver has no session, so it takes nothing"),
            EffectRejection::StaleToken { minimum_token: floor } => {
                write!(f, "the term is over: tokens below {} are refused", floor.0)
            }
            EffectRejection::UnknownLease => write!(f, "the receiver knows no such duty"),
        }
    }
}

/// What happened at this member, since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EffectCounts {
    /// Effects taken.
    pub accepted: u64,
    /// Effects refused for an old token.
    pub stale_tokens: u64,
    /// Effects refused without a session.
    pub without_session: u64,
    /// Effects of duties that are not known.
    pub unknown_leases: u64,
}

/// A member's account.
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
    /// A process that knows nothing yet.
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

    /// Puts a injected_bug in.
    #[cfg(feature = "seeded-bugs")]
    pub fn with_injected_bug(mut self, injected_bug: Option<InjectedBug>) -> LeaseClient {
        self.injected_bug = injected_bug;
        self
    }

    /// The keepers gave a session, asked for at that time.
    pub fn on_session_opened(
        &mut self,
        id: SessionId,
        incarnation: u64,
        requested_at: Micros,
        now: Micros,
        view: ClusterView,
    ) {
        if self.session.is_none_or(|session| session.id != id) {
            // The keepers' word at the start of a session is the whole truth, also after they were set up anew.
            (self.revision, self.leases) = (0, BTreeMap::new());
            self.session = Some(ClientSession { id, incarnation, expires_at: 0 });
        }
        self.on_session_renewed(id, requested_at, now, Some(view));
    }

    /// The keepers confirmed the session, asked for at that time.
    pub fn on_session_renewed(
        &mut self,
        id: SessionId,
        requested_at: Micros,
        now: Micros,
        view: Option<ClusterView>,
    ) {
        let expires_at = self.expiry(requested_at, now);
        if let Some(session) = self.session.as_mut().filter(|session| session.id == id) {
            session.expires_at = session.expires_at.max(expires_at);
            if let Some(view) = view {
                self.apply_view(view);
            }
        }
    }

    /// News of who owns what; returns whether it is to be confirmed at once.
    pub fn on_view_changed(&mut self, id: SessionId, view: ClusterView) -> bool {
        self.session.is_some_and(|session| session.id == id) && self.apply_view(view)
    }

    /// The keepers said that the session is over, or this member gave it back.
    pub fn on_session_ended(&mut self) {
        self.session = None;
    }

    fn expiry(&self, requested_at: Micros, now: Micros) -> Micros {
        match self.injected_bug {
            Some(InjectedBug::LeaseFromResponse) => now + self.timing.lease_duration,
            _ => requested_at + self.timing.lease_duration,
        }
    }

    fn apply_view(&mut self, view: ClusterView) -> bool {
        if view.revision <= self.revision {
            return false;
        }
        self.revision = view.revision;
        for mut lease_view in view.leases {
            // What was taken with a higher token than this view knows stays the measure.
            if let Some(known) = self.leases.get(&lease_view.lease) {
                lease_view.minimum_token = lease_view.minimum_token.max(known.minimum_token);
            }
            if self.injected_bug == Some(InjectedBug::ForgetMinimumToken) {
                lease_view.minimum_token = FencingToken(0);
            }
            self.leases.insert(lease_view.lease.clone(), lease_view);
        }
        true
    }

    /// The last view that was applied; said with each renewal.
    pub fn applied_revision(&self) -> Revision {
        self.revision
    }

    /// The session, if there is one that has not ended by this clock.
    pub fn active_session(&self, now: Micros) -> Option<ClientSession> {
        self.session.filter(|session| now < session.expires_at)
    }

    /// The session that was given last, ended or not.
    pub fn last_session(&self) -> Option<ClientSession> {
        self.session
    }

    /// The duties that this member owns now, with their tokens.
    pub fn held_leases(&self, now: Micros) -> Vec<(LeaseId, FencingToken)> {
        let Some(session) = self.active_session(now) else { return Vec::new() };
        let mine =
            |lease_view: &&LeaseView| lease_view.holder.is_some_and(|holder| holder.session == session.id);
        let token = |lease_view: &LeaseView| Some((lease_view.lease.clone(), lease_view.holder?.token));
        self.leases.values().filter(mine).filter_map(token).collect()
    }

    /// Whether this member may do an effect of that term at this moment. To be requested_at immediately before each.
    pub fn holds_lease(&self, lease: &LeaseId, token: FencingToken, now: Micros) -> bool {
        let Some(session) = self.active_session(now) else { return false };
        let holder = self.leases.get(lease).and_then(|lease_view| lease_view.holder);
        holder.is_some_and(|holder| holder.session == session.id && holder.token == token)
    }

    /// The injected_bug, for whoever drives the rounds.
    pub fn injected_bug(&self) -> Option<InjectedBug> {
        self.injected_bug
    }

    /// Whether this member takes an effect with that token now. What is taken raises the measure.
    pub fn accept_effect(
        &mut self,
        lease: &LeaseId,
        token: FencingToken,
        now: Micros,
    ) -> Result<(), EffectRejection> {
        let verdict = self.check_token(lease, token, now);
        match verdict {
            Ok(()) => self.counts.accepted += 1,
            Err(EffectRejection::NoSession) => self.counts.without_session += 1,
            Err(EffectRejection::StaleToken { .. }) => self.counts.stale_tokens += 1,
            Err(EffectRejection::UnknownLease) => self.counts.unknown_leases += 1,
        }
        if let Some(lease_view) = self.leases.get_mut(lease).filter(|_| verdict.is_ok()) {
            if self.injected_bug != Some(InjectedBug::ForgetMinimumToken) {
                lease_view.minimum_token = lease_view.minimum_token.max(token);
            }
        }
        verdict
    }

    fn check_token(&self, lease: &LeaseId, token: FencingToken, now: Micros) -> Result<(), EffectRejection> {
        if self.injected_bug == Some(InjectedBug::SkipTokenCheck) {
            return Ok(());
        }
        if self.active_session(now).is_none() {
            return Err(EffectRejection::NoSession);
        }
        let lease_view = self.leases.get(lease).ok_or(EffectRejection::UnknownLease)?;
        match token >= lease_view.minimum_token {
            true => Ok(()),
            false => Err(EffectRejection::StaleToken { minimum_token: lease_view.minimum_token }),
        }
    }

    /// What happened so far.
    pub fn effect_counts(&self) -> EffectCounts {
        self.counts
    }

    /// Begins counting anew.
    pub fn reset_effect_counts(&mut self) {
        self.counts = EffectCounts::default();
    }

    /// The duties as known.
    pub fn lease_views(&self) -> impl Iterator<Item = &LeaseView> {
        self.leases.values()
    }
}
