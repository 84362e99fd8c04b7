//! Injects the faults of a schedule into processes, links and disks.

use std::fs;
use std::ops::Range;
use std::time::Duration;

use cluster_member::clock;
use rustix::process::Signal;

use super::evaluation::HolderTerm;
use super::processes::{Process, ResourceLimit, Role};
use super::recovery::{OldDiskStep, Recovery};
use super::setup::{free_address, process_address};
use super::LeaseHarness;
use crate::cluster::error::ClusterError;
use crate::cluster::fault_proxy::{Direction, NodeId};
use crate::cluster::lightweight_member::MemberConfig;
use crate::cluster::record_checker::InjectedFault;
use crate::cluster::schedule::{FaultKind, ScheduledFault};

/// File of a coordinator's store.
const STORE_FILE: &str = "keeper.redb";
/// Time for which responses to renewals are delayed before the lease holder is paused, in seconds.
const PAUSE_AFTER_S: f64 = 1.0;
/// Delay of the responses to renewals under [`FaultKind::PauseHolderDuringRenewal`].
const RENEWAL_DELAY: Duration = Duration::from_millis(300);
/// Delay of every link in a slow network.
const SLOW_NETWORK_DELAY: Duration = Duration::from_millis(200);
/// Fraction of new connections that are reset in a slow network.
const SLOW_NETWORK_RESETS: f64 = 0.05;
/// Fraction of new connections that are duplicated.
const DUPLICATED_CONNECTIONS: f64 = 0.25;
/// Bandwidth under [`FaultKind::NarrowBandwidth`], in bytes per second.
const NARROW_BANDWIDTH: u64 = 4_000;
/// Time from one step of restoring an old disk to the next, in seconds.
const OLD_DISK_STEP_S: f64 = 0.8;
/// Maximum number of processes of a schedule, including duplicates of members. It keeps the addresses of the processes
/// below those of the proxies.
const MAX_PROCESSES: usize = 100;

/// The processes that a fault may affect. The kind of the fault determines which of them it affects.
#[derive(Clone, Copy)]
struct Candidates {
    holder: NodeId,
    member: NodeId,
    coordinator: NodeId,
}

/// Returns both directions between a node and each of the others.
fn both_ways(node: NodeId, others: Range<NodeId>) -> Vec<Direction> {
    let both = |other| [Direction { from: node, to: other }, Direction { from: other, to: node }];
    others.filter(|other| *other != node).flat_map(both).collect()
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
        let term = self.last_term()?;
        let token = term.as_ref().map(|term| term.token);
        let holder = term.map_or(self.members().start, |term: HolderTerm| term.holder);
        let candidates = Candidates {
            holder,
            member: self.members().start + fault.target_choice % self.plan.arm.members,
            coordinator: fault.target_choice % self.plan.arm.coordinators,
        };
        self.record_fault(fault, token);
        match fault.kind {
            FaultKind::KillHolder | FaultKind::KillMember | FaultKind::KillLeader => {
                let target = self.target(fault.kind, candidates)?;
                self.kill_for(target, fault.duration).await;
            }
            FaultKind::PauseHolder | FaultKind::PauseMember | FaultKind::PauseLeader => {
                let target = self.target(fault.kind, candidates)?;
                if let Some(process) = self.signal(target, Signal::STOP) {
                    self.recover_after(fault.duration, Recovery::Resume { process });
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
                self.degrade_links(fault, candidates.coordinator);
            }
            FaultKind::FullDisk | FaultKind::FewDescriptors => self.limit_leader(fault).await?,
            FaultKind::RestoreOldDisk => {
                self.restore_old_disk(candidates.coordinator, OldDiskStep::Copy).await?
            }
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

    /// Kills a process, and schedules its start after this many seconds if it may be started again.
    async fn kill_for(&mut self, node: NodeId, duration: f64) {
        self.kill(node).await;
        if !self.processes[node].not_restartable {
            self.recover_after(duration, Recovery::Start(node));
        }
    }

    fn pause_during_renewal(&mut self, holder: NodeId, duration: f64) {
        let responses: Vec<Direction> =
            self.coordinators().map(|node| Direction { from: node, to: holder }).collect();
        for response in &responses {
            self.network.borrow_mut().update_link(*response, |link| link.delay = RENEWAL_DELAY);
        }
        // The holder sends its next renewal soon after each response, and the responses are delayed. At the time of its
        // pause it therefore most likely waits for a response.
        let pause = Recovery::Pause { node: holder, duration_s: duration - PAUSE_AFTER_S };
        self.recover_after(PAUSE_AFTER_S, pause);
        self.recover_after(duration + 0.5, Recovery::ClearDelay(responses));
    }

    fn restart_half_of_members(&mut self, choice: usize) {
        let half: Vec<NodeId> = self.members().filter(|node| (node + choice) % 2 == 0).collect();
        for (position, node) in half.iter().enumerate() {
            let after = 2.0 * position as f64 / half.len() as f64;
            self.recover_after(after, Recovery::Kill(*node));
            self.recover_after(after + 0.1, Recovery::Start(*node));
        }
    }

    /// Returns the directions in which a partition blocks all bytes.
    fn partitioned_links(&self, kind: FaultKind, candidates: Candidates) -> Vec<Direction> {
        let Candidates { holder, coordinator, .. } = candidates;
        let coordinators = self.coordinators();
        match kind {
            FaultKind::PartitionHolderFromCoordinators => both_ways(holder, coordinators),
            FaultKind::PartitionHolderFromMembers => both_ways(holder, self.members()),
            FaultKind::HolderHearsNoCoordinator => {
                coordinators.map(|node| Direction { from: node, to: holder }).collect()
            }
            FaultKind::PartitionCoordinator => both_ways(coordinator, coordinators),
            _ => {
                let others = coordinators.filter(|other| *other != coordinator);
                others.map(|other| Direction { from: coordinator, to: other }).collect()
            }
        }
    }

    fn partition(&mut self, directions: Vec<Direction>, duration: f64) {
        for direction in &directions {
            self.network.borrow_mut().update_link(*direction, |link| link.partitioned = true);
        }
        self.recover_after(duration, Recovery::Reconnect(directions));
    }

    /// Applies a fault to all links between processes, or a narrow bandwidth only to the links of one coordinator.
    fn degrade_links(&mut self, fault: ScheduledFault, coordinator: NodeId) {
        let count = self.processes.len();
        let directions = (0..count).flat_map(|from| (0..count).map(move |to| Direction { from, to }));
        for direction in directions.filter(|direction| direction.from != direction.to) {
            let Direction { from, to } = direction;
            self.network.borrow_mut().update_link(direction, |link| match fault.kind {
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

    /// Restarts the leading coordinator with a limit on the size of its files or on its descriptors, for the duration
    /// of the fault.
    async fn limit_leader(&mut self, fault: ScheduledFault) -> Result<(), ClusterError> {
        let leader = self.leader()?;
        if self.processes[leader].not_restartable {
            return Ok(());
        }
        self.kill(leader).await;
        let is_full_disk = fault.kind == FaultKind::FullDisk;
        let limit = if is_full_disk { ResourceLimit::FileSize } else { ResourceLimit::Descriptors };
        self.start_limited(leader, Some(limit))?;
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

    /// Carries out one step of restoring an old copy of a coordinator's disk, and schedules the next step.
    pub(super) async fn restore_old_disk(
        &mut self,
        node: NodeId,
        step: OldDiskStep,
    ) -> Result<(), ClusterError> {
        if self.processes[node].not_restartable {
            return Ok(());
        }
        let store = self.path(node, "store");
        let copy = self.path(node, "copy");
        self.kill(node).await;
        match step {
            OldDiskStep::Copy => {
                fs::create_dir_all(&copy).map_err(ClusterError::io(copy.display()))?;
                fs::copy(store.join(STORE_FILE), copy.join(STORE_FILE))
                    .map_err(ClusterError::io(copy.display()))?;
            }
            OldDiskStep::Restart => {}
            OldDiskStep::Restore => {
                fs::copy(copy.join(STORE_FILE), store.join(STORE_FILE))
                    .map_err(ClusterError::io(store.display()))?;
                self.processes[node].not_restartable = true;
            }
        }
        self.start(node)?;
        if let Some(step) = step.next() {
            self.recover_after(OLD_DISK_STEP_S, Recovery::RestoreOldDisk { node, step });
        }
        Ok(())
    }

    /// Starts a second process with a member's name, at an address of its own, and kills it later.
    fn start_duplicate_member(&mut self, member: NodeId, duration: f64) -> Result<(), ClusterError> {
        let Role::Member { config } = &self.processes[member].role else { return Ok(()) };
        let node = self.processes.len();
        if node >= MAX_PROCESSES {
            return Ok(());
        }
        let host = process_address(self.address_block, node);
        let listen = free_address(host)?;
        let duplicate = MemberConfig {
            listen,
            address: listen,
            bind: Some(host),
            record: Some(self.dir.join(format!("{}-twin{node}.jsonl", config.name))),
            seed: config.seed ^ (node as u64) << 40,
            ..(**config).clone()
        };
        let role = Role::Member { config: Box::new(duplicate) };
        self.processes.push(Process { not_restartable: true, ..Process::new(role, listen) });
        self.start(node)?;
        self.recover_after(duration, Recovery::Kill(node));
        // The first process was superseded and does not join again by itself, so it is restarted.
        self.recover_after(duration + 0.1, Recovery::Kill(member));
        self.recover_after(duration + 0.2, Recovery::Start(member));
        Ok(())
    }
}
