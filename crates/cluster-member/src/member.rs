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
const MAX_REPLICAS: usize = 32;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct MemberConfig {
    /// The installation.
    pub installation: String,
    /// The member's name.
    pub name: String,
    /// Its zone, or nothing.
    pub zone: String,
    /// Where other members reach it.
    pub address: String,
    /// The keepers, by number.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// The address that connections come from.
    pub local_address: Option<IpAddr>,
    /// The times, the same as the keepers'.
    pub timing: Timing,
    /// What it may be given.
    pub eligible_leases: Vec<LeaseId>,
    /// Seed of its pauses.
    pub seed: u64,
}

/// A member of the fleet. Clones are the same member.
#[derive(Debug, Clone)]
pub struct Member {
    config: Rc<MemberConfig>,
    lease_client: Rc<RefCell<LeaseClient>>,
    members: Rc<RefCell<(Revision, Vec<Peer>)>>,
    /// Changes whenever what is owned or known may have changed.
    change_count: watch::Sender<u64>,
    leave_requested: watch::Sender<bool>,
    /// Terms to be given back.
    pending_releases: watch::Sender<Vec<(LeaseId, FencingToken)>>,
    recorder: Recorder,
}

/// Why a member gave up being one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEnd {
    /// It gave its session back.
    Left,
    /// A later process of the same name is there.
    Superseded {
        /// Which.
        incarnation: u64,
    },
    /// The keepers do not want it.
    Rejected(String),
}

/// What became of a connection to a keeper.
enum ConnectionOutcome {
    /// Another keeper, this one if it is known, with where it is if that was said.
    TryAnother(Option<(u64, Option<SocketAddr>)>),
    Ended(MembershipEnd),
}

impl Member {
    /// A member that has no session yet.
    pub fn new(settings: MemberConfig, holder: LeaseClient, record: Recorder) -> Member {
        Member {
            config: Rc::new(settings),
            lease_client: Rc::new(RefCell::new(holder)),
            members: Rc::default(),
            change_count: watch::Sender::new(0),
            leave_requested: watch::Sender::new(false),
            pending_releases: watch::Sender::default(),
            recorder: record,
        }
    }

    /// What it was told at its start.
    pub fn config(&self) -> &MemberConfig {
        &self.config
    }

    /// Its account of session and tokens.
    pub fn lease_client(&self) -> &RefCell<LeaseClient> {
        &self.lease_client
    }

    /// Where it records.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Changes whenever what is owned may have changed.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// The members as last heard. Only owners hear of them.
    pub fn members(&self) -> Vec<Peer> {
        self.members.borrow().1.clone()
    }

    /// The terms that this member holds now.
    pub fn held_leases(&self) -> Vec<(LeaseId, FencingToken)> {
        self.lease_client.borrow().held_leases(clock::now())
    }

    /// Whether an effect of that term may be done at this moment, by a clock that is read here.
    pub fn holds_lease(&self, duty: &LeaseId, token: FencingToken) -> bool {
        self.lease_client.borrow().holds_lease(duty, token, clock::now())
    }

    /// Gives a term back, because this member cannot do what it is for; another one gets the duty.
    pub fn release_lease(&self, duty: LeaseId, token: FencingToken) {
        self.pending_releases.send_if_modified(|releases| {
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
        self.leave_requested.send_replace(true);
    }

    /// Stays a member for as long as it is let.
    pub async fn run(&self) -> MembershipEnd {
        let mut random = fastrand::Rng::with_seed(self.config.seed);
        // Not from the seed: the next process of this name may well be given the same, and would pass for this one.
        let boot = clock::random_id();
        // Those that are configured, and those that came later and lead.
        let mut keepers = self.config.replicas.clone();
        let mut numbers: Vec<u64> = keepers.keys().copied().collect();
        let mut at = random.usize(..numbers.len().max(1));
        let mut failures = 0u32;
        // One wait over all attempts: keepers that refuse at once would begin it anew each time.
        let given_up = self.leave_timeout();
        tokio::pin!(given_up);
        loop {
            let Some(&keeper) = numbers.get(at % numbers.len().max(1)) else {
                return MembershipEnd::Rejected("no keeper is named".to_owned());
            };
            let started = Instant::now();
            let next = tokio::select! {
                next = self.run_session((keeper, keepers.get(&keeper).copied()), boot) => next,
                () = &mut given_up => Ok(ConnectionOutcome::Ended(MembershipEnd::Left)),
            };
            self.change_count.send_modify(|count| *count += 1);
            if started.elapsed() > Duration::from_micros(self.config.timing.lease_duration) {
                failures = 0;
            }
            let next = match next {
                Ok(ConnectionOutcome::Ended(ended)) => {
                    self.lease_client.borrow_mut().on_session_ended();
                    return ended;
                }
                Ok(ConnectionOutcome::TryAnother(leader)) => leader,
                Err(error) => {
                    tracing::debug!(keeper, %error, "no keeper here");
                    None
                }
            };
            if let Some((leader, Some(address))) = next {
                let room = keepers.contains_key(&leader) || keepers.len() < MAX_REPLICAS;
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
            let span = (10_000u64 << failures).min(self.config.timing.lease_duration / 4);
            sleep(Duration::from_micros(random.u64(1..=span))).await;
        }
    }

    /// Ends when this member was told to leave and has tried to say so for the time of two calls.
    async fn leave_timeout(&self) {
        if self.leave_requested.subscribe().wait_for(|leaving| *leaving).await.is_ok() {
            sleep(Duration::from_micros(2 * self.config.timing.call_timeout)).await;
        }
    }

    fn client_hello(&self) -> ClientHello {
        let who = ClientIdentity::Member { name: self.config.name.clone() };
        ClientHello {
            schema_version: SCHEMA_VERSION,
            installation: self.config.installation.clone(),
            identity: who,
        }
    }

    async fn run_session(
        &self,
        (keeper, address): (u64, Option<SocketAddr>),
        boot: u64,
    ) -> io::Result<ConnectionOutcome> {
        let settings = &self.config;
        let Some(address) = address else { return Ok(ConnectionOutcome::TryAnother(None)) };
        let call = Duration::from_micros(settings.timing.call_timeout);
        let hello = self.client_hello();
        let connecting =
            tokio::time::timeout(call, Connection::connect(address, settings.local_address, &hello));
        let mut link = match connecting.await? {
            Ok((link, _)) => link,
            Err(error) => match handshake_rejection(&error) {
                Some(why) => {
                    tracing::warn!(keeper, %why, "a keeper turned this member away");
                    return Ok(ConnectionOutcome::TryAnother(None));
                }
                None => return Err(error),
            },
        };
        let mut id = 0;
        let (mut told, mut releases) = (self.leave_requested.subscribe(), self.pending_releases.subscribe());
        loop {
            let now = clock::now();
            // A session that is over by this clock is given up: what was known may be old, and a new one learns anew.
            let session = self.lease_client.borrow().active_session(now).map(|session| session.id);
            let leaving = *self.leave_requested.borrow();
            let ask = match session {
                None if leaving => return Ok(ConnectionOutcome::Ended(MembershipEnd::Left)),
                Some(session) if leaving => Operation::CloseSession { session },
                Some(_) if !self.pending_releases.borrow().is_empty() => {
                    let (duty, token) = self.pending_releases.borrow()[0].clone();
                    Operation::ReleaseLease { lease: duty, token: Some(token) }
                }
                Some(session) => Operation::RenewSession {
                    session,
                    known_view: self.lease_client.borrow().applied_revision(),
                    known_members: self
                        .lease_client
                        .borrow()
                        .held_leases(now)
                        .first()
                        .map(|_| self.members.borrow().0),
                },
                None => Operation::OpenSession {
                    name: settings.name.clone(),
                    boot_id: boot,
                    zone: settings.zone.clone(),
                    address: settings.address.clone(),
                    eligible_leases: settings.eligible_leases.clone(),
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
                    CoordinatorMessage::ViewChanged(of, view) => news |= self.apply_view(of, view),
                }
            };
            if leaving && matches!(answer, Response::Done | Response::Rejected(_)) {
                return Ok(ConnectionOutcome::Ended(MembershipEnd::Left));
            }
            if releasing && matches!(answer, Response::Done | Response::Rejected(_)) {
                // Done, or the term was over already.
                self.pending_releases.send_modify(|releases| drop(releases.remove(0)));
                continue;
            }
            if let Some(next) = self.apply_response(session, asked, answer) {
                return Ok(next);
            }
            if news {
                continue;
            }
            // The next renewal is due by this clock, counted from when the last one was asked for.
            let due = Instant::now()
                + Duration::from_micros(
                    (asked + settings.timing.renewal_interval).saturating_sub(clock::now()),
                );
            loop {
                tokio::select! {
                    message = link.receive() => match message? {
                        CoordinatorMessage::ViewChanged(of, view) => {
                            if self.apply_view(of, view) {
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

    fn apply_view(&self, of: SessionId, view: coordination::ClusterView) -> bool {
        let heard = self.lease_client.borrow_mut().on_view_changed(of, view);
        if heard {
            self.change_count.send_modify(|count| *count += 1);
        }
        heard
    }

    /// Takes an answer in; what to do next, unless it is to go on here.
    fn apply_response(
        &self,
        renewed: Option<SessionId>,
        asked: u64,
        answer: Response,
    ) -> Option<ConnectionOutcome> {
        let now = clock::now();
        match answer {
            Response::SessionOpened { session, incarnation, view } => {
                self.lease_client.borrow_mut().on_session_opened(session, incarnation, asked, now, view);
                *self.members.borrow_mut() = (0, Vec::new());
                let name = &self.config.name;
                tracing::info!(name, session = session.0, incarnation, "has a session");
                self.recorder.record(
                    now,
                    "session",
                    serde_json::json!({"session": session.0, "incarnation": incarnation}),
                );
            }
            Response::SessionRenewed { view, members: roster } => {
                if let Some(session) = renewed {
                    self.lease_client.borrow_mut().on_session_renewed(session, asked, now, view);
                }
                if let Some(roster) = roster {
                    *self.members.borrow_mut() = roster;
                }
            }
            Response::NotLeader { leader, address } => {
                let address = address.and_then(|address| address.parse().ok());
                return Some(ConnectionOutcome::TryAnother(leader.map(|leader| (leader, address))));
            }
            Response::Rejected(CommandRejection::Superseded { incarnation }) => {
                tracing::error!(
                    incarnation,
                    "another process of the same name is there; this one is no member any more"
                );
                return Some(ConnectionOutcome::Ended(MembershipEnd::Superseded { incarnation }));
            }
            Response::Rejected(CommandRejection::NoSuchSession) => {
                self.lease_client.borrow_mut().on_session_ended()
            }
            Response::Rejected(reason) => {
                return Some(ConnectionOutcome::Ended(MembershipEnd::Rejected(reason.to_string())))
            }
            Response::Busy
            | Response::Done
            | Response::Status(_)
            | Response::DisruptionState(..)
            | Response::DisruptionStateChanged(_) => return Some(ConnectionOutcome::TryAnother(None)),
        }
        self.change_count.send_modify(|count| *count += 1);
        None
    }
}
