//! A member's side: its session, what it knows of tokens, whether it may act and whether it takes an effect.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DutyId, Micros, Revision, Seat, SessionId, Times, Token, View};

/// A flaw put in on purpose, to see that it is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// A receiver takes every effect.
    NoCheck,
    /// The lease counts from the answer of the keepers instead of from before it was asked for.
    LeaseFromAnswer,
    /// What a receiver is told of tokens is forgotten.
    NotStored,
    /// An owner looks at the clock once a round and not before each effect.
    NoLookAtTheClock,
}

impl Flaw {
    /// The flaws by name. Empty where the program was not built for such tests.
    pub fn names() -> &'static [(&'static str, Flaw)] {
        #[cfg(feature = "seeded-bugs")]
        return &[
            ("receiver-without-check", Flaw::NoCheck),
            ("lease-from-answer", Flaw::LeaseFromAnswer),
            ("token-not-stored", Flaw::NotStored),
            ("effect-after-pause", Flaw::NoLookAtTheClock),
        ];
        #[cfg(not(feature = "seeded-bugs"))]
        &[]
    }
}

/// A session that the keepers gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Session {
    /// Its number.
    pub id: SessionId,
    /// Which process of this name.
    pub incarnation: u64,
    /// When it ends, by this member's clock, if it is not renewed.
    pub until: Micros,
}

/// Why an effect is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// This member has no session: what it knows of tokens may be old.
    NoSession,
    /// A higher token is known.
    OldToken {
        /// The lowest that would be taken.
        floor: Token,
    },
    /// The duty is not one that this member knows.
    Unknown,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::NoSession => write!(f, "the receiver has no session, so it takes nothing"),
            Refusal::OldToken { floor } => {
                write!(f, "the term is over: tokens below {} are refused", floor.0)
            }
            Refusal::Unknown => write!(f, "the receiver knows no such duty"),
        }
    }
}

/// What happened at this member, since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HolderCounts {
    /// Effects taken.
    pub taken: u64,
    /// Effects refused for an old token.
    pub old_tokens: u64,
    /// Effects refused without a session.
    pub without_session: u64,
    /// Effects of duties that are not known.
    pub unknown: u64,
}

/// A member's account.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    times: Times,
    flaw: Option<Flaw>,
    session: Option<Session>,
    revision: Revision,
    seats: BTreeMap<DutyId, Seat>,
    counts: HolderCounts,
}

impl Holder {
    /// A process that knows nothing yet.
    pub fn new(times: Times) -> Holder {
        Holder {
            times,
            flaw: None,
            session: None,
            revision: 0,
            seats: BTreeMap::new(),
            counts: HolderCounts::default(),
        }
    }

    /// Puts a flaw in.
    #[cfg(feature = "seeded-bugs")]
    pub fn with_flaw(mut self, flaw: Option<Flaw>) -> Holder {
        self.flaw = flaw;
        self
    }

    /// The keepers gave a session, asked for at that time.
    pub fn joined(&mut self, id: SessionId, incarnation: u64, asked: Micros, now: Micros, view: View) {
        if self.session.is_none_or(|session| session.id != id) {
            // The keepers' word at the start of a session is the whole truth, also after they were set up anew.
            (self.revision, self.seats) = (0, BTreeMap::new());
            self.session = Some(Session { id, incarnation, until: 0 });
        }
        self.renewed(id, asked, now, Some(view));
    }

    /// The keepers confirmed the session, asked for at that time.
    pub fn renewed(&mut self, id: SessionId, asked: Micros, now: Micros, view: Option<View>) {
        let until = self.until(asked, now);
        if let Some(session) = self.session.as_mut().filter(|session| session.id == id) {
            session.until = session.until.max(until);
            if let Some(view) = view {
                self.learn(view);
            }
        }
    }

    /// News of who owns what; returns whether it is to be confirmed at once.
    pub fn told(&mut self, id: SessionId, view: View) -> bool {
        self.session.is_some_and(|session| session.id == id) && self.learn(view)
    }

    /// The keepers said that the session is over, or this member gave it back.
    pub fn gone(&mut self) {
        self.session = None;
    }

    fn until(&self, asked: Micros, now: Micros) -> Micros {
        match self.flaw {
            Some(Flaw::LeaseFromAnswer) => now + self.times.lease,
            _ => asked + self.times.lease,
        }
    }

    fn learn(&mut self, view: View) -> bool {
        if view.revision <= self.revision {
            return false;
        }
        self.revision = view.revision;
        for mut seat in view.seats {
            // What was taken with a higher token than this view knows stays the measure.
            if let Some(known) = self.seats.get(&seat.duty) {
                seat.floor = seat.floor.max(known.floor);
            }
            if self.flaw == Some(Flaw::NotStored) {
                seat.floor = Token(0);
            }
            self.seats.insert(seat.duty.clone(), seat);
        }
        true
    }

    /// The last view that was applied; said with each renewal.
    pub fn seen(&self) -> Revision {
        self.revision
    }

    /// The session, if there is one that has not ended by this clock.
    pub fn session(&self, now: Micros) -> Option<Session> {
        self.session.filter(|session| now < session.until)
    }

    /// The session that was given last, ended or not.
    pub fn last_session(&self) -> Option<Session> {
        self.session
    }

    /// The duties that this member owns now, with their tokens.
    pub fn owned(&self, now: Micros) -> Vec<(DutyId, Token)> {
        let Some(session) = self.session(now) else { return Vec::new() };
        let mine = |seat: &&Seat| seat.owner.is_some_and(|owner| owner.session == session.id);
        let token = |seat: &Seat| Some((seat.duty.clone(), seat.owner?.token));
        self.seats.values().filter(mine).filter_map(token).collect()
    }

    /// Whether this member may do an effect of that term at this moment. To be asked immediately before each.
    pub fn may_act(&self, duty: &DutyId, token: Token, now: Micros) -> bool {
        let Some(session) = self.session(now) else { return false };
        let owner = self.seats.get(duty).and_then(|seat| seat.owner);
        owner.is_some_and(|owner| owner.session == session.id && owner.token == token)
    }

    /// The flaw, for whoever drives the rounds.
    pub fn flaw(&self) -> Option<Flaw> {
        self.flaw
    }

    /// Whether this member takes an effect with that token now. What is taken raises the measure.
    pub fn take(&mut self, duty: &DutyId, token: Token, now: Micros) -> Result<(), Refusal> {
        let verdict = self.verdict(duty, token, now);
        match verdict {
            Ok(()) => self.counts.taken += 1,
            Err(Refusal::NoSession) => self.counts.without_session += 1,
            Err(Refusal::OldToken { .. }) => self.counts.old_tokens += 1,
            Err(Refusal::Unknown) => self.counts.unknown += 1,
        }
        if let Some(seat) = self.seats.get_mut(duty).filter(|_| verdict.is_ok()) {
            if self.flaw != Some(Flaw::NotStored) {
                seat.floor = seat.floor.max(token);
            }
        }
        verdict
    }

    fn verdict(&self, duty: &DutyId, token: Token, now: Micros) -> Result<(), Refusal> {
        if self.flaw == Some(Flaw::NoCheck) {
            return Ok(());
        }
        if self.session(now).is_none() {
            return Err(Refusal::NoSession);
        }
        let seat = self.seats.get(duty).ok_or(Refusal::Unknown)?;
        match token >= seat.floor {
            true => Ok(()),
            false => Err(Refusal::OldToken { floor: seat.floor }),
        }
    }

    /// What happened so far.
    pub fn counts(&self) -> HolderCounts {
        self.counts
    }

    /// Begins counting anew.
    pub fn forget_counts(&mut self) {
        self.counts = HolderCounts::default();
    }

    /// The duties as known.
    pub fn seats(&self) -> impl Iterator<Item = &Seat> {
        self.seats.values()
    }
}
