//! A member's side: its session, what it knows of tokens, whether it may act and whether it takes an effect.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ClusterView, FencingToken, LeaseId, LeaseView, Micros, Revision, SessionId, Timing};

/// A flaw put in on purpose, to see that it is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A receiver takes every effect.
    SkipTokenCheck,
    /// The lease counts from the answer of the keepers instead of from before it was asked for.
    LeaseFromResponse,
    /// What a receiver is told of tokens is forgotten.
    ForgetMinimumToken,
    /// An owner looks at the clock once a round and not before each effect.
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
    times: Timing,
    flaw: Option<InjectedBug>,
    session: Option<ClientSession>,
    revision: Revision,
    seats: BTreeMap<LeaseId, LeaseView>,
    counts: EffectCounts,
}

impl LeaseClient {
    /// A process that knows nothing yet.
    pub fn new(times: Timing) -> LeaseClient {
        LeaseClient {
            times,
            flaw: None,
            session: None,
            revision: 0,
            seats: BTreeMap::new(),
            counts: EffectCounts::default(),
        }
    }

    /// Puts a flaw in.
    #[cfg(feature = "seeded-bugs")]
    pub fn with_injected_bug(mut self, flaw: Option<InjectedBug>) -> LeaseClient {
        self.flaw = flaw;
        self
    }

    /// The keepers gave a session, asked for at that time.
    pub fn on_session_opened(
        &mut self,
        id: SessionId,
        incarnation: u64,
        asked: Micros,
        now: Micros,
        view: ClusterView,
    ) {
        if self.session.is_none_or(|session| session.id != id) {
            // The keepers' word at the start of a session is the whole truth, also after they were set up anew.
            (self.revision, self.seats) = (0, BTreeMap::new());
            self.session = Some(ClientSession { id, incarnation, expires_at: 0 });
        }
        self.on_session_renewed(id, asked, now, Some(view));
    }

    /// The keepers confirmed the session, asked for at that time.
    pub fn on_session_renewed(
        &mut self,
        id: SessionId,
        asked: Micros,
        now: Micros,
        view: Option<ClusterView>,
    ) {
        let until = self.until(asked, now);
        if let Some(session) = self.session.as_mut().filter(|session| session.id == id) {
            session.expires_at = session.expires_at.max(until);
            if let Some(view) = view {
                self.learn(view);
            }
        }
    }

    /// News of who owns what; returns whether it is to be confirmed at once.
    pub fn on_view_changed(&mut self, id: SessionId, view: ClusterView) -> bool {
        self.session.is_some_and(|session| session.id == id) && self.learn(view)
    }

    /// The keepers said that the session is over, or this member gave it back.
    pub fn on_session_ended(&mut self) {
        self.session = None;
    }

    fn until(&self, asked: Micros, now: Micros) -> Micros {
        match self.flaw {
            Some(InjectedBug::LeaseFromResponse) => now + self.times.lease_duration,
            _ => asked + self.times.lease_duration,
        }
    }

    fn learn(&mut self, view: ClusterView) -> bool {
        if view.revision <= self.revision {
            return false;
        }
        self.revision = view.revision;
        for mut seat in view.leases {
            // What was taken with a higher token than this view knows stays the measure.
            if let Some(known) = self.seats.get(&seat.lease) {
                seat.minimum_token = seat.minimum_token.max(known.minimum_token);
            }
            if self.flaw == Some(InjectedBug::ForgetMinimumToken) {
                seat.minimum_token = FencingToken(0);
            }
            self.seats.insert(seat.lease.clone(), seat);
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
        let mine = |seat: &&LeaseView| seat.holder.is_some_and(|owner| owner.session == session.id);
        let token = |seat: &LeaseView| Some((seat.lease.clone(), seat.holder?.token));
        self.seats.values().filter(mine).filter_map(token).collect()
    }

    /// Whether this member may do an effect of that term at this moment. To be asked immediately before each.
    pub fn holds_lease(&self, duty: &LeaseId, token: FencingToken, now: Micros) -> bool {
        let Some(session) = self.active_session(now) else { return false };
        let owner = self.seats.get(duty).and_then(|seat| seat.holder);
        owner.is_some_and(|owner| owner.session == session.id && owner.token == token)
    }

    /// The flaw, for whoever drives the rounds.
    pub fn injected_bug(&self) -> Option<InjectedBug> {
        self.flaw
    }

    /// Whether this member takes an effect with that token now. What is taken raises the measure.
    pub fn accept_effect(
        &mut self,
        duty: &LeaseId,
        token: FencingToken,
        now: Micros,
    ) -> Result<(), EffectRejection> {
        let verdict = self.check_token(duty, token, now);
        match verdict {
            Ok(()) => self.counts.accepted += 1,
            Err(EffectRejection::NoSession) => self.counts.without_session += 1,
            Err(EffectRejection::StaleToken { .. }) => self.counts.stale_tokens += 1,
            Err(EffectRejection::UnknownLease) => self.counts.unknown_leases += 1,
        }
        if let Some(seat) = self.seats.get_mut(duty).filter(|_| verdict.is_ok()) {
            if self.flaw != Some(InjectedBug::ForgetMinimumToken) {
                seat.minimum_token = seat.minimum_token.max(token);
            }
        }
        verdict
    }

    fn check_token(&self, duty: &LeaseId, token: FencingToken, now: Micros) -> Result<(), EffectRejection> {
        if self.flaw == Some(InjectedBug::SkipTokenCheck) {
            return Ok(());
        }
        if self.active_session(now).is_none() {
            return Err(EffectRejection::NoSession);
        }
        let seat = self.seats.get(duty).ok_or(EffectRejection::UnknownLease)?;
        match token >= seat.minimum_token {
            true => Ok(()),
            false => Err(EffectRejection::StaleToken { minimum_token: seat.minimum_token }),
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
        self.seats.values()
    }
}
