//! A member of the cluster: its session at the coordinator, the leases that it holds, the other members.

mod replica_selection;
mod session;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use coordination::{CommandRejection, FencingToken, HeldLease, LeaseClient, LeaseId, Timing};
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

use crate::clock;
use crate::record::Recorder;
use crate::wire::{MemberList, Peer};
use replica_selection::{Backoff, Replica, ReplicaSelection};
use session::SessionOutcome;

/// How a member is configured.
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
    /// The replicas of the coordinator, by number.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// The address that connections come from.
    pub local_address: Option<IpAddr>,
    /// The times, the same as the coordinator's.
    pub timing: Timing,
    /// The leases that it may be granted.
    pub eligible_leases: Vec<LeaseId>,
    /// Seed of its pauses.
    pub seed: u64,
}

/// A member of the cluster. Clones are the same member.
#[derive(Debug, Clone)]
pub struct Member {
    config: Rc<MemberConfig>,
    lease_client: Rc<RefCell<LeaseClient>>,
    members: Rc<RefCell<MemberList>>,
    /// Changes whenever the leases that are held, or the view of them, may have changed.
    change_count: watch::Sender<u64>,
    leave_requested: watch::Sender<bool>,
    /// Terms to be released.
    pending_releases: watch::Sender<Vec<HeldLease>>,
    recorder: Recorder,
}

/// Why a member is none any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEnd {
    /// It ended its session.
    Left,
    /// A later process of the same name is there.
    Superseded {
        /// Which.
        incarnation: u64,
    },
    /// The coordinator rejects it.
    Rejected(CommandRejection),
    /// No replica of the coordinator is configured.
    NoReplicas,
}

impl Member {
    /// A member that has no session yet.
    pub fn new(config: MemberConfig, lease_client: LeaseClient, recorder: Recorder) -> Member {
        Member {
            config: Rc::new(config),
            lease_client: Rc::new(RefCell::new(lease_client)),
            members: Rc::default(),
            change_count: watch::Sender::new(0),
            leave_requested: watch::Sender::new(false),
            pending_releases: watch::Sender::default(),
            recorder,
        }
    }

    /// How it is configured.
    pub fn config(&self) -> &MemberConfig {
        &self.config
    }

    /// Its session, and what it knows of leases and tokens.
    pub fn lease_client(&self) -> &RefCell<LeaseClient> {
        &self.lease_client
    }

    /// Where it records what it does.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Changes whenever the leases that are held may have changed.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// The members as last received. Only lease holders receive them.
    pub fn members(&self) -> Vec<Peer> {
        self.members.borrow().members.clone()
    }

    /// The terms that this member holds now.
    pub fn held_leases(&self) -> Vec<HeldLease> {
        self.lease_client.borrow().held_leases(clock::now())
    }

    /// Whether this member holds that term at this moment, by a clock that is read here: only then an effect may be sent.
    pub fn holds_lease(&self, lease: &LeaseId, token: FencingToken) -> bool {
        self.lease_client.borrow().holds_lease(lease, token, clock::now())
    }

    /// Releases a term, because this member cannot do what it is for; another one is granted the lease.
    pub fn release_lease(&self, lease: LeaseId, token: FencingToken) {
        let term = HeldLease { lease, token };
        self.pending_releases.send_if_modified(|releases| {
            if releases.contains(&term) {
                return false;
            }
            releases.push(term);
            true
        });
    }

    /// Ends the session, and with it all leases; [`Member::run`] then returns. Where no replica is reached within the time
    /// of two calls the session is left to expire.
    pub fn leave(&self) {
        self.leave_requested.send_replace(true);
    }

    /// Keeps a session for as long as the coordinator lets it.
    pub async fn run(&self) -> MembershipEnd {
        let mut random = fastrand::Rng::with_seed(self.config.seed);
        // Not from the seed: the next process of this name may well be given the same, and would pass for this one.
        let boot_id = clock::random_id();
        let lease = self.config.timing.lease_duration;
        let mut replicas = ReplicaSelection::new(&self.config.replicas, &mut random);
        let mut backoff = Backoff::new(lease);
        // One wait over all attempts: replicas that reject at once would begin it anew each time.
        let leave_timeout = self.leave_timeout();
        tokio::pin!(leave_timeout);
        loop {
            let Some(replica) = replicas.current() else { return MembershipEnd::NoReplicas };
            let started = Instant::now();
            let outcome = tokio::select! {
                outcome = self.run_session(replica, boot_id) => outcome,
                () = &mut leave_timeout => Ok(SessionOutcome::Ended(MembershipEnd::Left)),
            };
            self.notify_change();
            if started.elapsed() > Duration::from_micros(lease) {
                backoff.reset();
            }
            let leader = match outcome {
                Ok(SessionOutcome::Ended(end)) => {
                    self.lease_client.borrow_mut().on_session_ended();
                    return end;
                }
                Ok(SessionOutcome::TryAnother(leader)) => leader,
                Err(error) => {
                    tracing::debug!(replica = replica.id, %error, "a replica is not reached");
                    None
                }
            };
            replicas.advance(leader);
            sleep(backoff.next_delay(&mut random)).await;
        }
    }

    /// Ends when this member was requested to leave and has tried to end its session for the time of two calls.
    async fn leave_timeout(&self) {
        if self.leave_requested.subscribe().wait_for(|requested| *requested).await.is_ok() {
            sleep(Duration::from_micros(2 * self.config.timing.call_timeout)).await;
        }
    }

    fn notify_change(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }
}
