//! Ends the faults of a schedule.

use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::process::Child;
use tokio::time::{sleep_until, Instant};

use super::LeaseHarness;
use crate::cluster::error::ClusterError;
use crate::cluster::fault_proxy::{Direction, NodeId};

/// An action that ends a fault, or that is the next step of a fault with several steps.
#[derive(Debug)]
pub(super) enum Recovery {
    /// Starts a process.
    Start(NodeId),
    /// Continues the process with this id.
    Resume { process: u32 },
    /// Ends the partition of these directions; other faults of them remain.
    Reconnect(Vec<Direction>),
    /// Ends the delay of these directions; other faults of them remain.
    ClearDelay(Vec<Direction>),
    /// Pauses a process for this duration.
    Pause { node: NodeId, duration_s: f64 },
    /// Ends all faults of links but partitions.
    ClearLinkFaults,
    /// Kills a process.
    Kill(NodeId),
    /// Carries out a step of restoring an old disk.
    RestoreOldDisk { node: NodeId, step: OldDiskStep },
}

/// Step of restoring an old copy of a coordinator's disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OldDiskStep {
    Copy,
    /// Starts the coordinator once more after the copy was made, so that the start count in the copy is too low.
    Restart,
    Restore,
}

impl OldDiskStep {
    /// Returns the next step.
    pub(super) fn next(self) -> Option<OldDiskStep> {
        match self {
            OldDiskStep::Copy => Some(OldDiskStep::Restart),
            OldDiskStep::Restart => Some(OldDiskStep::Restore),
            OldDiskStep::Restore => None,
        }
    }
}

/// A recovery with its time.
pub(super) struct ScheduledRecovery {
    at: Instant,
    recovery: Recovery,
}

impl LeaseHarness<'_> {
    /// Schedules a recovery after this many seconds.
    pub(super) fn recover_after(&mut self, seconds: f64, recovery: Recovery) {
        let at = Instant::now() + Duration::from_secs_f64(seconds);
        self.recoveries.push(ScheduledRecovery { at, recovery });
    }

    /// Waits until this time, and carries out the recoveries that are due in the meantime.
    pub(super) async fn recover_until(&mut self, until: Instant) -> Result<(), ClusterError> {
        loop {
            let next = self.recoveries.iter().map(|scheduled| scheduled.at).min().filter(|at| *at <= until);
            let Some(next) = next else { break };
            sleep_until(next).await;
            let position = self.recoveries.iter().position(|scheduled| scheduled.at == next).unwrap_or(0);
            let scheduled = self.recoveries.remove(position);
            self.recover(scheduled.recovery).await?;
        }
        sleep_until(until).await;
        Ok(())
    }

    /// Ends all faults at once and starts all processes that may be started again. The cluster must then recover by
    /// itself.
    pub(super) async fn recover_all(&mut self) -> Result<(), ClusterError> {
        self.network.borrow_mut().clear_faults();
        for scheduled in std::mem::take(&mut self.recoveries) {
            let concerns_process = matches!(
                scheduled.recovery,
                Recovery::Resume { .. } | Recovery::Kill(_) | Recovery::RestoreOldDisk { .. }
            );
            if concerns_process {
                self.recover(scheduled.recovery).await?;
            }
        }
        self.recoveries.clear();
        for node in 0..self.members().end {
            if !self.processes[node].not_restartable {
                self.processes[node].reap();
                self.start(node)?;
            }
        }
        Ok(())
    }

    async fn recover(&mut self, recovery: Recovery) -> Result<(), ClusterError> {
        match recovery {
            Recovery::Start(node) => {
                self.processes[node].reap();
                self.start(node)?;
            }
            Recovery::Resume { process } => self.resume(process),
            Recovery::Reconnect(directions) => {
                let mut network = self.network.borrow_mut();
                for direction in directions {
                    network.update_link(direction, |link| link.partitioned = false);
                }
            }
            Recovery::ClearDelay(directions) => {
                let mut network = self.network.borrow_mut();
                for direction in directions {
                    network.update_link(direction, |link| link.delay = Duration::ZERO);
                }
            }
            Recovery::Pause { node, duration_s } => {
                if let Some(process) = self.signal(node, Signal::STOP) {
                    self.recover_after(duration_s, Recovery::Resume { process });
                }
            }
            Recovery::ClearLinkFaults => self.network.borrow_mut().clear_all_but_partitions(),
            Recovery::Kill(node) => self.kill(node).await,
            Recovery::RestoreOldDisk { node, step } => self.restore_old_disk(node, step).await?,
        }
        Ok(())
    }

    /// Continues a process if it is still a child of this harness. If it has ended, its id may belong to another
    /// process, which must not get the signal.
    fn resume(&self, process: u32) {
        let is_child =
            self.processes.iter().any(|running| running.child.as_ref().and_then(Child::id) == Some(process));
        let pid = i32::try_from(process).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid.filter(|_| is_child) {
            let _ = kill_process(pid, Signal::CONT);
        }
    }
}
