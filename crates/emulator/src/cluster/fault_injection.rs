//! Faults of the processes of a [`ClusterHarness`] and of the links between them. Beginning and ending a fault are
//! separate steps, so that an experiment decides what happens in between.

use std::time::Duration;

use rustix::process::Signal;

use super::cluster_harness::{member_node, ClusterHarness};
use super::error::ClusterError;
use super::fault_proxy::{Direction, LinkFault, NodeId};

/// Delay of every link in each direction under [`LinkFaultKind::SlowNetwork`].
const SLOW_NETWORK_DELAY: Duration = Duration::from_millis(50);
/// Fraction of new connections that are reset under [`LinkFaultKind::SlowNetwork`].
const SLOW_NETWORK_RESETS: f64 = 0.05;
/// Delay of the coordinators' responses under [`LinkFaultKind::DelayedResponses`].
const RESPONSE_DELAY: Duration = Duration::from_millis(300);

/// A fault of the processes or the links of a cluster. Dispatchers count from 0, coordinators from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClusterFault {
    /// SIGKILL to a dispatcher; it is started again at the end.
    KillDispatcher(usize),
    /// SIGSTOP to a dispatcher; SIGCONT at the end.
    PauseDispatcher(usize),
    /// SIGTERM to a dispatcher; it is killed at the end if it still runs, and started again.
    TerminateDispatcher(usize),
    /// SIGKILL to the leading coordinator; it is started again at the end.
    KillLeader,
    /// SIGSTOP to the leading coordinator; SIGCONT at the end.
    PauseLeader,
    /// SIGKILL to all coordinators; they are started again at the end.
    KillAllCoordinators,
    /// A fault of links; all links work again at the end.
    Links(LinkFaultKind),
}

/// A fault of the links between coordinators and members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFaultKind {
    /// A dispatcher and the coordinators do not reach each other.
    PartitionFromCoordinators(usize),
    /// A dispatcher reaches the coordinators and receives nothing from them.
    HearsNoCoordinator(usize),
    /// A dispatcher and the other members do not reach each other.
    PartitionFromMembers(usize),
    /// A coordinator and the others do not reach each other; members reach all of them.
    PartitionCoordinator(usize),
    /// Every link is slower, and some new connections are reset.
    SlowNetwork,
    /// Messages of the coordinators to a dispatcher are delayed.
    DelayedResponses(usize),
}

/// A fault that has begun.
#[derive(Debug)]
#[must_use = "a fault lasts until it is ended"]
pub struct ActiveFault {
    fault: ClusterFault,
    leader: Option<usize>,
}

impl ClusterFault {
    /// Begins the fault.
    ///
    /// # Errors
    /// Returns [`ClusterError::NotRunning`] if its process does not run, or [`ClusterError::NoLeader`] if it is for the
    /// leader and there is none.
    pub fn begin(self, cluster: &mut ClusterHarness) -> Result<ActiveFault, ClusterError> {
        let mut leader = None;
        match self {
            ClusterFault::KillDispatcher(dispatcher) => cluster.kill_dispatcher(dispatcher),
            ClusterFault::PauseDispatcher(dispatcher) => {
                cluster.signal_dispatcher(dispatcher, Signal::STOP)?;
            }
            ClusterFault::TerminateDispatcher(dispatcher) => {
                cluster.signal_dispatcher(dispatcher, Signal::TERM)?;
            }
            ClusterFault::KillLeader => {
                let number = cluster.leader()?;
                cluster.kill_coordinator(number);
                leader = Some(number);
            }
            ClusterFault::PauseLeader => {
                let number = cluster.leader()?;
                cluster.signal_coordinator(number, Signal::STOP)?;
                leader = Some(number);
            }
            ClusterFault::KillAllCoordinators => {
                (1..=cluster.coordinator_count()).for_each(|number| cluster.kill_coordinator(number));
            }
            ClusterFault::Links(kind) => kind.apply(cluster),
        }
        Ok(ActiveFault { fault: self, leader })
    }
}

impl ActiveFault {
    /// Returns the coordinator that led when the fault began, if the fault is for the leader.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        self.leader
    }

    /// Ends the fault.
    ///
    /// # Errors
    /// Returns a [`ClusterError`] if a process cannot be started again, or if a paused process does not run.
    pub fn end(self, cluster: &mut ClusterHarness) -> Result<(), ClusterError> {
        match (self.fault, self.leader) {
            (ClusterFault::KillDispatcher(dispatcher), _) => cluster.start_dispatcher(dispatcher),
            (ClusterFault::PauseDispatcher(dispatcher), _) => {
                cluster.signal_dispatcher(dispatcher, Signal::CONT)
            }
            (ClusterFault::TerminateDispatcher(dispatcher), _) => {
                cluster.kill_dispatcher(dispatcher);
                cluster.start_dispatcher(dispatcher)
            }
            (ClusterFault::KillLeader, Some(leader)) => cluster.start_coordinator(leader),
            (ClusterFault::PauseLeader, Some(leader)) => cluster.signal_coordinator(leader, Signal::CONT),
            (ClusterFault::KillLeader | ClusterFault::PauseLeader, None) => Ok(()),
            (ClusterFault::KillAllCoordinators, _) => {
                (1..=cluster.coordinator_count()).try_for_each(|number| cluster.start_coordinator(number))
            }
            (ClusterFault::Links(_), _) => {
                if let Some(network) = &cluster.network {
                    network.borrow_mut().clear_faults();
                }
                Ok(())
            }
        }
    }
}

impl LinkFaultKind {
    /// Begins the fault, if the links pass through proxies.
    fn apply(self, cluster: &ClusterHarness) {
        let Some(network) = &cluster.network else { return };
        let mut network = network.borrow_mut();
        let coordinators = cluster.coordinator_count();
        let members = (0..cluster.dispatcher_count()).map(member_node);
        let nodes: Vec<NodeId> = (1..=coordinators).chain(members).collect();
        let directions =
            nodes.iter().flat_map(|from| nodes.iter().map(move |to| Direction { from: *from, to: *to }));
        for direction in directions {
            if self.affects(direction, coordinators) {
                network.update_link(direction, |link| self.apply_to_link(link));
            }
        }
    }

    /// Whether the fault affects a direction; nodes up to `coordinators` are coordinators.
    fn affects(self, direction: Direction, coordinators: usize) -> bool {
        let Direction { from, to } = direction;
        let is_coordinator = |node: NodeId| node <= coordinators;
        let of_member = |member: usize| from == member_node(member) || to == member_node(member);
        match self {
            LinkFaultKind::PartitionFromCoordinators(member) => {
                of_member(member) && (is_coordinator(from) || is_coordinator(to))
            }
            LinkFaultKind::HearsNoCoordinator(member) | LinkFaultKind::DelayedResponses(member) => {
                is_coordinator(from) && to == member_node(member)
            }
            LinkFaultKind::PartitionFromMembers(member) => {
                of_member(member) && !is_coordinator(from) && !is_coordinator(to)
            }
            LinkFaultKind::PartitionCoordinator(number) => {
                is_coordinator(from) && is_coordinator(to) && (from == number || to == number)
            }
            LinkFaultKind::SlowNetwork => true,
        }
    }

    fn apply_to_link(self, link: &mut LinkFault) {
        match self {
            LinkFaultKind::SlowNetwork => {
                link.delay = SLOW_NETWORK_DELAY;
                link.reset_probability = SLOW_NETWORK_RESETS;
            }
            LinkFaultKind::DelayedResponses(_) => link.delay = RESPONSE_DELAY,
            _ => link.partitioned = true,
        }
    }
}
