//! Cluster member: its session at the coordinator, its leases, and the list of other members.

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

/// Configuration of a member.
#[derive(Debug, Clone)]
pub struct MemberConfig {
    /// Name of the installation.
    pub installation: String,
    /// Name of the member.
    pub name: String,
    /// Zone of the member; may be empty.
    pub zone: String,
    /// Address at which the member receives effects of other members.
    pub address: String,
    /// Addresses of the replicas of the coordinator, by number.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// Local address of outgoing connections.
    pub local_address: Option<IpAddr>,
    /// Durations of sessions and calls; must be the same as at the coordinator.
    pub timing: Timing,
    /// Leases that the member may be granted.
    pub eligible_leases: Vec<LeaseId>,
    /// Seed of the choice of the first replica and of the delays between attempts to connect.
    pub seed: u64,
}

/// Cluster member. Clones share one state.
#[derive(Debug, Clone)]
pub struct Member {
    config: Rc<MemberConfig>,
    lease_client: Rc<RefCell<LeaseClient>>,
    members: Rc<RefCell<MemberList>>,
    /// Incremented whenever the leases of this member or its cluster view may have changed.
    change_count: watch::Sender<u64>,
    leave_requested: watch::Sender<bool>,
    /// Terms for which a release is still to be requested.
    pending_releases: watch::Sender<Vec<HeldLease>>,
    recorder: Recorder,
}

/// Reason for the end of a membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEnd {
    /// The member left: [`Member::leave`] was called.
    Left,
    /// A later process of the same name has a session.
    Superseded {
        /// Incarnation of the later process.
        incarnation: u64,
    },
    /// The coordinator rejects the member.
    Rejected(CommandRejection),
    /// No replica of the coordinator is configured.
    NoReplicas,
}

impl Member {
    /// Creates a member without a session; [`Member::run`] opens one.
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

    /// Returns the configuration.
    pub fn config(&self) -> &MemberConfig {
        &self.config
    }

    /// Returns the state of the session, leases and fencing tokens.
    pub fn lease_client(&self) -> &RefCell<LeaseClient> {
        &self.lease_client
    }

    /// Returns the recorder.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Returns a receiver that is notified when the leases of this member or its cluster view may have changed.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    /// Returns the member list that was received last. Only lease holders receive one.
    pub fn members(&self) -> Vec<Peer> {
        self.members.borrow().members.clone()
    }

    /// Returns the leases that this member holds now, with their fencing tokens.
    pub fn held_leases(&self) -> Vec<HeldLease> {
        self.lease_client.borrow().held_leases(clock::now())
    }

    /// Returns whether this member holds the term at this moment. Must be called immediately before each effect.
    pub fn holds_lease(&self, lease: &LeaseId, token: FencingToken) -> bool {
        self.lease_client.borrow().holds_lease(lease, token, clock::now())
    }

    /// Requests the release of a term, so that another member can be granted the lease.
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

    /// Requests the end of the session and of all its leases, after which [`Member::run`] returns. If no replica
    /// responds within twice the call timeout, `run` returns nevertheless and the session expires.
    pub fn leave(&self) {
        self.leave_requested.send_replace(true);
    }

    /// Maintains a session until the membership ends.
    pub async fn run(&self) -> MembershipEnd {
        let mut random = fastrand::Rng::with_seed(self.config.seed);
        // Not drawn from the seed, because the next process of this name may have the same seed and would be mistaken
        // for this one.
        let boot_id = clock::random_id();
        let lease_duration = self.config.timing.lease_duration;
        let mut replicas = ReplicaSelection::new(&self.config.replicas, &mut random);
        let mut backoff = Backoff::new(lease_duration);
        // One timeout for all attempts, so that a rejected attempt does not restart it.
        let leave_timeout = self.leave_timeout();
        tokio::pin!(leave_timeout);
        loop {
            let Some(replica) = replicas.current() else { return MembershipEnd::NoReplicas };
            let started_at = Instant::now();
            let outcome = tokio::select! {
                outcome = self.run_session(replica, boot_id) => outcome,
                () = &mut leave_timeout => Ok(SessionOutcome::Ended(MembershipEnd::Left)),
            };
            self.notify_change();
            if started_at.elapsed() > Duration::from_micros(lease_duration) {
                backoff.reset();
            }
            let leader = match outcome {
                Ok(SessionOutcome::Ended(end)) => {
                    self.lease_client.borrow_mut().on_session_ended();
                    return end;
                }
                Ok(SessionOutcome::TryAnother(leader)) => leader,
                Err(error) => {
                    tracing::debug!(replica = replica.id, %error, "connection to replica failed");
                    None
                }
            };
            replicas.advance(leader);
            sleep(backoff.next_delay(&mut random)).await;
        }
    }

    /// Completes twice the call timeout after this member was requested to leave.
    async fn leave_timeout(&self) {
        if self.leave_requested.subscribe().wait_for(|requested| *requested).await.is_ok() {
            sleep(Duration::from_micros(2 * self.config.timing.call_timeout)).await;
        }
    }

    fn notify_change(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }
}
