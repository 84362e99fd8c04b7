//! A member's session with the keepers: joins, renews, hears news, and starts over where it has to.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use coordination::{CommandRejection, FencingToken, LeaseClient, LeaseId, Revision, SessionId, Timing};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use crate::clock;
use crate::record::Recorder;
use crate::wire::{
    handshake_rejection, ClientHello, ClientIdentity, Connection, CoordinatorMessage, Operation, Peer,
    Request, Response, SCHEMA_VERSION,
};

/// The most keepers that a member knows of: those that it is told of and those that came later.
const MOST_KEEPERS: usize = 32;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The installation.
    pub installation: String,
    /// The member's name.
    pub name: String,
    /// Its zone, or nothing.
    pub zone: String,
    /// Where other members reach it.
    pub address: String,
    /// The keepers, by number.
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// The address that connections come from.
    pub bind: Option<IpAddr>,
    /// The times, the same as the keepers'.
    pub times: Timing,
    /// What it may be given.
    pub offers: Vec<LeaseId>,
    /// Seed of its pauses.
    pub seed: u64,
}

/// A member of the fleet. Clones are the same member.
#[derive(Debug, Clone)]
pub struct Member {
    settings: Rc<Settings>,
    holder: Rc<RefCell<LeaseClient>>,
    roster: Rc<RefCell<(Revision, Vec<Peer>)>>,
    /// Changes whenever what is owned or known may have changed.
    changed: watch::Sender<u64>,
    leaving: watch::Sender<bool>,
    /// Terms to be given back.
    releases: watch::Sender<Vec<(LeaseId, FencingToken)>>,
    record: Recorder,
}

/// Why a member gave up being one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// It gave its session back.
    Left,
    /// A later process of the same name is there.
    Superseded {
        /// Which.
        incarnation: u64,
    },
    /// The keepers do not want it.
    Refused(String),
}

/// What became of a connection to a keeper.
enum Next {
    /// Another keeper, this one if it is known, with where it is if that was said.
    Elsewhere(Option<(u64, Option<SocketAddr>)>),
    End(Ended),
}

impl Member {
    /// A member that has no session yet.
    pub fn new(settings: Settings, holder: LeaseClient, record: Recorder) -> Member {
        Member {
            settings: Rc::new(settings),
            holder: Rc::new(RefCell::new(holder)),
            roster: Rc::default(),
            changed: watch::Sender::new(0),
            leaving: watch::Sender::new(false),
            releases: watch::Sender::default(),
            record,
        }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Its account of session and tokens.
    pub fn holder(&self) -> &RefCell<LeaseClient> {
        &self.holder
    }

    /// Where it records.
    pub fn record(&self) -> &Recorder {
        &self.record
    }

    /// Changes whenever what is owned may have changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The members as last heard. Only owners hear of them.
    pub fn roster(&self) -> Vec<Peer> {
        self.roster.borrow().1.clone()
    }

    /// The terms that this member holds now.
    pub fn owned(&self) -> Vec<(LeaseId, FencingToken)> {
        self.holder.borrow().held_leases(clock::now())
    }

    /// Whether an effect of that term may be done at this moment, by a clock that is read here.
    pub fn may_act(&self, duty: &LeaseId, token: FencingToken) -> bool {
        self.holder.borrow().holds_lease(duty, token, clock::now())
    }

    /// Gives a term back, because this member cannot do what it is for; another one gets the duty.
    pub fn release(&self, duty: LeaseId, token: FencingToken) {
        self.releases.send_if_modified(|releases| {
            let new = !releases.contains(&(duty.clone(), token));
            if new {
                releases.push((duty, token));
            }
            new
        });
    }

    /// Gives the session back, and with it all duties; [`Member::run`] then ends. Where no keeper is reached within
    /// the time of two calls the session is left to end by itself.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Stays a member for as long as it is let.
    pub async fn run(&self) -> Ended {
        let mut random = fastrand::Rng::with_seed(self.settings.seed);
        // Not from the seed: the next process of this name may well be given the same, and would pass for this one.
        let boot = clock::unique();
        // Those that are configured, and those that came later and lead.
        let mut keepers = self.settings.keepers.clone();
        let mut numbers: Vec<u64> = keepers.keys().copied().collect();
        let mut at = random.usize(..numbers.len().max(1));
        let mut failures = 0u32;
        // One wait over all attempts: keepers that refuse at once would begin it anew each time.
        let given_up = self.left_long_enough();
        tokio::pin!(given_up);
        loop {
            let Some(&keeper) = numbers.get(at % numbers.len().max(1)) else {
                return Ended::Refused("no keeper is named".to_owned());
            };
            let started = Instant::now();
            let next = tokio::select! {
                next = self.with_keeper((keeper, keepers.get(&keeper).copied()), boot) => next,
                () = &mut given_up => Ok(Next::End(Ended::Left)),
            };
            self.changed.send_modify(|count| *count += 1);
            if started.elapsed() > Duration::from_micros(self.settings.times.lease_duration) {
                failures = 0;
            }
            let next = match next {
                Ok(Next::End(ended)) => {
                    self.holder.borrow_mut().on_session_ended();
                    return ended;
                }
                Ok(Next::Elsewhere(leader)) => leader,
                Err(error) => {
                    tracing::debug!(keeper, %error, "no keeper here");
                    None
                }
            };
            if let Some((leader, Some(address))) = next {
                let room = keepers.contains_key(&leader) || keepers.len() < MOST_KEEPERS;
                if room && keepers.insert(leader, address).is_none() {
                    numbers.push(leader);
                }
            }
            let next = next.map(|(leader, _)| leader);
            match next.and_then(|leader| numbers.iter().position(|number| *number == leader)) {
                Some(leader) if numbers[leader] != keeper => at = leader,
                _ => at += 1,
            }
            // Full jitter over a span that grows to a fourth of the lease: the first tries are quick, since a session
            // may be at stake, and a fleet that lost its keepers does not come back in step.
            failures = (failures + 1).min(8);
            let span = (10_000u64 << failures).min(self.settings.times.lease_duration / 4);
            sleep(Duration::from_micros(random.u64(1..=span))).await;
        }
    }

    /// Ends when this member was told to leave and has tried to say so for the time of two calls.
    async fn left_long_enough(&self) {
        if self.leaving.subscribe().wait_for(|leaving| *leaving).await.is_ok() {
            sleep(Duration::from_micros(2 * self.settings.times.call_timeout)).await;
        }
    }

    fn hello(&self) -> ClientHello {
        let who = ClientIdentity::Member { name: self.settings.name.clone() };
        ClientHello {
            schema_version: SCHEMA_VERSION,
            installation: self.settings.installation.clone(),
            identity: who,
        }
    }

    async fn with_keeper(&self, (keeper, address): (u64, Option<SocketAddr>), boot: u64) -> io::Result<Next> {
        let settings = &self.settings;
        let Some(address) = address else { return Ok(Next::Elsewhere(None)) };
        let call = Duration::from_micros(settings.times.call_timeout);
        let hello = self.hello();
        let connecting = tokio::time::timeout(call, Connection::connect(address, settings.bind, &hello));
        let mut link = match connecting.await? {
            Ok((link, _)) => link,
            Err(error) => match handshake_rejection(&error) {
                Some(why) => {
                    tracing::warn!(keeper, %why, "a keeper turned this member away");
                    return Ok(Next::Elsewhere(None));
                }
                None => return Err(error),
            },
        };
        let mut id = 0;
        let (mut told, mut releases) = (self.leaving.subscribe(), self.releases.subscribe());
        loop {
            let now = clock::now();
            // A session that is over by this clock is given up: what was known may be old, and a new one learns anew.
            let session = self.holder.borrow().active_session(now).map(|session| session.id);
            let leaving = *self.leaving.borrow();
            let ask = match session {
                None if leaving => return Ok(Next::End(Ended::Left)),
                Some(session) if leaving => Operation::CloseSession { session },
                Some(_) if !self.releases.borrow().is_empty() => {
                    let (duty, token) = self.releases.borrow()[0].clone();
                    Operation::ReleaseLease { lease: duty, token: Some(token) }
                }
                Some(session) => Operation::RenewSession {
                    session,
                    known_view: self.holder.borrow().applied_revision(),
                    known_members: self
                        .holder
                        .borrow()
                        .held_leases(now)
                        .first()
                        .map(|_| self.roster.borrow().0),
                },
                None => Operation::OpenSession {
                    name: settings.name.clone(),
                    boot_id: boot,
                    zone: settings.zone.clone(),
                    address: settings.address.clone(),
                    eligible_leases: settings.offers.clone(),
                },
            };
            id += 1;
            let releasing = matches!(ask, Operation::ReleaseLease { .. });
            let asked = clock::now();
            link.send(&Request { id, operation: ask }).await?;
            let mut news = false;
            let deadline = Instant::now() + call;
            let answer = loop {
                match timeout_at(deadline, link.receive()).await?? {
                    CoordinatorMessage::Response(of, answer) if of == id => break answer,
                    CoordinatorMessage::Response(..) => {}
                    CoordinatorMessage::ViewChanged(of, view) => news |= self.hear(of, view),
                }
            };
            if leaving && matches!(answer, Response::Done | Response::Rejected(_)) {
                return Ok(Next::End(Ended::Left));
            }
            if releasing && matches!(answer, Response::Done | Response::Rejected(_)) {
                // Done, or the term was over already.
                self.releases.send_modify(|releases| drop(releases.remove(0)));
                continue;
            }
            if let Some(next) = self.learn(session, asked, answer) {
                return Ok(next);
            }
            if news {
                continue;
            }
            // The next renewal is due by this clock, counted from when the last one was asked for.
            let due = Instant::now()
                + Duration::from_micros(
                    (asked + settings.times.renewal_interval).saturating_sub(clock::now()),
                );
            loop {
                tokio::select! {
                    message = link.receive() => match message? {
                        CoordinatorMessage::ViewChanged(of, view) => {
                            if self.hear(of, view) {
                                break;
                            }
                        }
                        CoordinatorMessage::Response(..) => {}
                    },
                    () = sleep_until(due) => break,
                    _ = told.wait_for(|leaving| *leaving) => break,
                    _ = releases.wait_for(|releases| !releases.is_empty()) => break,
                }
            }
        }
    }

    fn hear(&self, of: SessionId, view: coordination::ClusterView) -> bool {
        let heard = self.holder.borrow_mut().on_view_changed(of, view);
        if heard {
            self.changed.send_modify(|count| *count += 1);
        }
        heard
    }

    /// Takes an answer in; what to do next, unless it is to go on here.
    fn learn(&self, renewed: Option<SessionId>, asked: u64, answer: Response) -> Option<Next> {
        let now = clock::now();
        match answer {
            Response::SessionOpened { session, incarnation, view } => {
                self.holder.borrow_mut().on_session_opened(session, incarnation, asked, now, view);
                *self.roster.borrow_mut() = (0, Vec::new());
                let name = &self.settings.name;
                tracing::info!(name, session = session.0, incarnation, "has a session");
                self.record.put(
                    now,
                    "session",
                    serde_json::json!({"session": session.0, "incarnation": incarnation}),
                );
            }
            Response::SessionRenewed { view, members: roster } => {
                if let Some(session) = renewed {
                    self.holder.borrow_mut().on_session_renewed(session, asked, now, view);
                }
                if let Some(roster) = roster {
                    *self.roster.borrow_mut() = roster;
                }
            }
            Response::NotLeader { leader, address } => {
                let address = address.and_then(|address| address.parse().ok());
                return Some(Next::Elsewhere(leader.map(|leader| (leader, address))));
            }
            Response::Rejected(CommandRejection::Superseded { incarnation }) => {
                tracing::error!(
                    incarnation,
                    "another process of the same name is there; this one is no member any more"
                );
                return Some(Next::End(Ended::Superseded { incarnation }));
            }
            Response::Rejected(CommandRejection::NoSuchSession) => {
                self.holder.borrow_mut().on_session_ended()
            }
            Response::Rejected(reason) => return Some(Next::End(Ended::Refused(reason.to_string()))),
            Response::Busy
            | Response::Done
            | Response::Status(_)
            | Response::DisruptionState(..)
            | Response::DisruptionStateChanged(_) => return Some(Next::Elsewhere(None)),
        }
        self.changed.send_modify(|count| *count += 1);
        None
    }
}
