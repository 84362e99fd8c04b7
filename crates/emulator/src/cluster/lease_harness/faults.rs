//! The faults of a schedule, injected at processes, links and disks.

use std::fs;
use std::net::{IpAddr, Ipv4Addr};
use std::ops::Range;
use std::time::Duration;

use cluster_member::clock;
use rustix::process::Signal;

use super::recovery::Recovery;
use super::{free_address, LeaseHarness, Process, Role};
use crate::cluster::error::ClusterError;
use crate::cluster::fault_proxy::NodeId;
use crate::cluster::lightweight_member::MemberConfig;
use crate::cluster::record_checker::InjectedFault;
use crate::cluster::schedule::{FaultKind, ScheduledFault};

/// The file of a coordinator's store.
const STORE_FILE: &str = "keeper.redb";
/// The holder whose renewals are slow goes on for so long before it is paused, in seconds.
const PAUSE_AFTER_S: f64 = 1.0;
/// Delay of the answers to renewals while the holder is paused among them.
const RENEWAL_DELAY: Duration = Duration::from_millis(300);
/// Delay of every link, and part of new connections that are reset, in a slow network.
const SLOW_NETWORK_DELAY: Duration = Duration::from_millis(200);
/// See [`SLOW_NETWORK_DELAY`].
const SLOW_NETWORK_RESETS: f64 = 0.05;
/// Part of new connections that are duplicated.
const DUPLICATED_CONNECTIONS: f64 = 0.25;
/// What a narrow link carries, in bytes a second.
const NARROW_BANDWIDTH: u64 = 4_000;
/// Limits of the shell for a full disk and for few descriptors.
const FULL_DISK_LIMIT: &str = "-f 256";
/// See [`FULL_DISK_LIMIT`].
const FEW_DESCRIPTORS_LIMIT: &str = "-n 24";

/// The processes that a fault may be for.
#[derive(Clone, Copy)]
struct Candidates {
    holder: NodeId,
    member: NodeId,
    coordinator: NodeId,
}

/// Both directions between a node and each of the others.
fn both_ways(one: NodeId, others: Range<NodeId>) -> Vec<(NodeId, NodeId)> {
    others.filter(|other| *other != one).flat_map(|other| [(one, other), (other, one)]).collect()
}

impl FaultKind {
    fn is_for_holder(self) -> bool {
        matches!(
            self,
            FaultKind::KillHolder
                | FaultKind::PauseHolder
                | FaultKind::TerminateHolder
                | FaultKind::PartitionHolderFromCoordinators
                | FaultKind::PartitionHolderFromMembers
                | FaultKind::HolderHearsNoCoordinator
                | FaultKind::PauseHolderDuringRenewal
        )
    }
}

impl LeaseHarness<'_> {
    pub(super) async fn inject(&mut self, fault: ScheduledFault) -> Result<(), ClusterError> {
        let (holder, token) = match self.lease_holder()? {
            Some((holder, token)) => (holder, Some(token)),
            None => (self.members().start, None),
        };
        let candidates = Candidates {
            holder,
            member: self.members().start + fault.target_choice % self.arm.members,
            coordinator: fault.target_choice % self.arm.coordinators,
        };
        self.record_fault(fault, token);
        match fault.kind {
            FaultKind::KillHolder | FaultKind::KillMember | FaultKind::KillLeader => {
                let target = self.target(fault.kind, candidates)?;
                self.kill_for(target, fault.duration).await;
            }
            FaultKind::PauseHolder | FaultKind::PauseMember | FaultKind::PauseLeader => {
                let target = self.target(fault.kind, candidates)?;
                if let Some(id) = self.signal(target, Signal::STOP) {
                    self.recover_after(fault.duration, Recovery::Resume(id));
                }
            }
            FaultKind::TerminateHolder => {
                self.signal(holder, Signal::TERM);
                self.recover_after(fault.duration.max(0.5), Recovery::Start(holder));
            }
            FaultKind::PauseHolderDuringRenewal => self.pause_during_renewal(holder, fault.duration),
            FaultKind::RestartHalfOfMembers => self.restart_half_of_members(fault.target_choice),
            FaultKind::DuplicateMember => self.start_duplicate_member(holder, fault.duration)?,
            FaultKind::KillAllCoordinators => {
                for node in self.coordinators() {
                    self.kill_for(node, fault.duration).await;
                }
            }
            FaultKind::PartitionHolderFromCoordinators
            | FaultKind::PartitionHolderFromMembers
            | FaultKind::HolderHearsNoCoordinator
            | FaultKind::PartitionCoordinator
            | FaultKind::CoordinatorNotHeard => {
                self.partition(self.partitioned_links(fault.kind, candidates), fault.duration);
            }
            FaultKind::SlowNetwork | FaultKind::DuplicateConnections | FaultKind::NarrowBandwidth => {
                self.break_all_links(fault, candidates.coordinator);
            }
            FaultKind::FullDisk | FaultKind::FewDescriptors => self.limit_leader(fault).await?,
            FaultKind::RestoreOldDisk => self.restore_old_disk(candidates.coordinator, 0).await?,
            FaultKind::LoseDisk => self.lose_disk(candidates.coordinator).await?,
        }
        Ok(())
    }

    fn record_fault(&mut self, fault: ScheduledFault, token: Option<u64>) {
        let now = clock::now();
        let during_renewal = fault.kind == FaultKind::PauseHolderDuringRenewal;
        let delay = if during_renewal { (PAUSE_AFTER_S * 1e6) as u64 } else { 0 };
        self.injected.push(InjectedFault {
            time: now + delay,
            kind: fault.kind,
            until: now + (fault.duration * 1e6) as u64,
            holder_token: token.filter(|_| fault.kind.is_for_holder()),
        });
    }

    fn target(&self, kind: FaultKind, candidates: Candidates) -> Result<NodeId, ClusterError> {
        match kind {
            FaultKind::KillHolder | FaultKind::PauseHolder => Ok(candidates.holder),
            FaultKind::KillMember | FaultKind::PauseMember => Ok(candidates.member),
            _ => self.leader(),
        }
    }

    /// Kills a process, to be started again after this many seconds where it may be.
    async fn kill_for(&mut self, node: NodeId, duration: f64) {
        self.kill(node).await;
        if !self.processes[node].not_restartable {
            self.recover_after(duration, Recovery::Start(node));
        }
    }

    fn pause_during_renewal(&mut self, holder: NodeId, duration: f64) {
        let links: Vec<(NodeId, NodeId)> = self.coordinators().map(|node| (node, holder)).collect();
        for (from, to) in &links {
            self.network.borrow_mut().update_link(*from, *to, |link| link.delay = RENEWAL_DELAY);
        }
        // Renewals go on all the time; after this one of them is under way most likely.
        self.recover_after(PAUSE_AFTER_S, Recovery::Pause(holder, duration - PAUSE_AFTER_S));
        self.recover_after(duration + 0.5, Recovery::ClearDelay(links));
    }

    fn restart_half_of_members(&mut self, choice: usize) {
        let half: Vec<NodeId> = self.members().filter(|node| (node + choice) % 2 == 0).collect();
        for (position, node) in half.iter().enumerate() {
            let after = 2.0 * position as f64 / half.len() as f64;
            self.recover_after(after, Recovery::Kill(*node));
            self.recover_after(after + 0.1, Recovery::Start(*node));
        }
    }

    /// The directions that a partition cuts.
    fn partitioned_links(&self, kind: FaultKind, candidates: Candidates) -> Vec<(NodeId, NodeId)> {
        let Candidates { holder, coordinator, .. } = candidates;
        let (members, coordinators) = (self.members(), self.coordinators());
        match kind {
            FaultKind::PartitionHolderFromCoordinators => both_ways(holder, coordinators),
            FaultKind::PartitionHolderFromMembers => both_ways(holder, members),
            FaultKind::HolderHearsNoCoordinator => coordinators.map(|node| (node, holder)).collect(),
            FaultKind::PartitionCoordinator => both_ways(coordinator, coordinators),
            _ => {
                let others = coordinators.filter(|other| *other != coordinator);
                others.map(|other| (coordinator, other)).collect()
            }
        }
    }

    fn partition(&mut self, links: Vec<(NodeId, NodeId)>, duration: f64) {
        for (from, to) in &links {
            self.network.borrow_mut().update_link(*from, *to, |link| link.partitioned = true);
        }
        self.recover_after(duration, Recovery::Reconnect(links));
    }

    /// Breaks all links between processes; narrow are those of one coordinator only.
    fn break_all_links(&mut self, fault: ScheduledFault, coordinator: NodeId) {
        let count = self.processes.len();
        let links = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        for (from, to) in links.filter(|(from, to)| from != to) {
            self.network.borrow_mut().update_link(from, to, |link| match fault.kind {
                FaultKind::SlowNetwork => {
                    link.delay = SLOW_NETWORK_DELAY;
                    link.reset_probability = SLOW_NETWORK_RESETS;
                }
                FaultKind::DuplicateConnections => link.duplicate_probability = DUPLICATED_CONNECTIONS,
                _ if from == coordinator || to == coordinator => link.bytes_per_second = NARROW_BANDWIDTH,
                _ => {}
            });
        }
        self.recover_after(fault.duration, Recovery::ClearLinkFaults);
    }

    /// Starts the leading coordinator anew with a bound on its files or descriptors, for a while.
    async fn limit_leader(&mut self, fault: ScheduledFault) -> Result<(), ClusterError> {
        let leader = self.leader()?;
        if self.processes[leader].not_restartable {
            return Ok(());
        }
        self.kill(leader).await;
        let full_disk = fault.kind == FaultKind::FullDisk;
        self.start_with(leader, Some(if full_disk { FULL_DISK_LIMIT } else { FEW_DESCRIPTORS_LIMIT }))?;
        self.recover_after(fault.duration, Recovery::Kill(leader));
        self.recover_after(fault.duration + 0.05, Recovery::Start(leader));
        Ok(())
    }

    async fn lose_disk(&mut self, coordinator: NodeId) -> Result<(), ClusterError> {
        self.kill(coordinator).await;
        let store = self.path(coordinator, "store");
        fs::remove_dir_all(&store).map_err(ClusterError::io(store.display()))?;
        self.processes[coordinator].not_restartable = true;
        self.start(coordinator)
    }

    /// Copies a coordinator's disk, lets it start twice more, and puts the copy back.
    pub(super) async fn restore_old_disk(&mut self, name: NodeId, step: u8) -> Result<(), ClusterError> {
        let (store, copy) = (self.path(name, "store"), self.path(name, "copy"));
        if self.processes[name].not_restartable {
            return Ok(());
        }
        self.kill(name).await;
        match step {
            0 => {
                fs::create_dir_all(&copy).map_err(ClusterError::io(copy.display()))?;
                fs::copy(store.join(STORE_FILE), copy.join(STORE_FILE))
                    .map_err(ClusterError::io(copy.display()))?;
            }
            2 => {
                fs::copy(copy.join(STORE_FILE), store.join(STORE_FILE))
                    .map_err(ClusterError::io(store.display()))?;
                self.processes[name].not_restartable = true;
            }
            _ => {}
        }
        self.start(name)?;
        if step < 2 {
            self.recover_after(0.8, Recovery::RestoreOldDisk(name, step + 1));
        }
        Ok(())
    }

    /// Starts a second process of a member's name, at an address of its own, and kills it later.
    pub(super) fn start_duplicate_member(&mut self, of: NodeId, duration: f64) -> Result<(), ClusterError> {
        let Role::Member { config: light } = &self.processes[of].role else { return Ok(()) };
        let name = self.processes.len();
        if name >= 100 {
            return Ok(());
        }
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.address_block[0], self.address_block[1], 1 + name as u8));
        let listen = free_address(ip)?;
        let record = self.dir.join(format!("{}-twin{name}.jsonl", light.name));
        let seed = light.seed ^ (name as u64) << 40;
        let twin = MemberConfig {
            listen,
            address: listen,
            bind: Some(ip),
            record: Some(record),
            seed,
            ..(**light).clone()
        };
        self.processes.push(Process {
            role: Role::Member { config: Box::new(twin) },
            listen,
            child: None,
            not_restartable: true,
        });
        self.start(name)?;
        self.recover_after(duration, Recovery::Kill(name));
        // The first one is no member any more and does not become one again by itself; it is started anew after it.
        self.recover_after(duration + 0.1, Recovery::Kill(of));
        self.recover_after(duration + 0.2, Recovery::Start(of));
        Ok(())
    }
}
