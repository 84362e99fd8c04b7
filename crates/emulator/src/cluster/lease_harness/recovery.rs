//! The ends of faults: what is done when the time of one is over.

use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::process::Child;
use tokio::time::{sleep_until, Instant};

use super::LeaseHarness;
use crate::cluster::error::ClusterError;
use crate::cluster::fault_proxy::{LinkFault, NodeId};

/// What ends a fault.
#[derive(Debug)]
pub(super) enum Recovery {
    Start(NodeId),
    Resume(u32),
    /// The ends of a cut, of a delay, and of what was wrong with all links; what else is wrong with them stays. (A cut
    /// that ended with another fault looked like a takeover of 6 s: seed 3018.)
    Reconnect(Vec<(NodeId, NodeId)>),
    ClearDelay(Vec<(NodeId, NodeId)>),
    Pause(NodeId, f64),
    ClearLinkFaults,
    Kill(NodeId),
    /// The steps to an old disk: copied, started once more, put back.
    RestoreOldDisk(NodeId, u8),
}

impl LeaseHarness<'_> {
    /// Waits, and ends faults whose time is over meanwhile.
    pub(super) async fn recover_until(&mut self, until: Instant) -> Result<(), ClusterError> {
        loop {
            let next = self.recoveries.iter().map(|(at, _)| *at).min().filter(|at| *at <= until);
            let Some(next) = next else { break };
            sleep_until(next).await;
            let at = self.recoveries.iter().position(|(at, _)| *at == next).unwrap_or(0);
            let (_, recovery) = self.recoveries.remove(at);
            self.recover(recovery).await?;
        }
        sleep_until(until).await;
        Ok(())
    }

    pub(super) async fn recover(&mut self, recovery: Recovery) -> Result<(), ClusterError> {
        match recovery {
            Recovery::Start(node) => {
                if self.processes[node]
                    .child
                    .as_mut()
                    .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
                {
                    self.processes[node].child = None;
                }
                self.start(node)?;
            }
            Recovery::Resume(id) => {
                let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
                // Only while it is a child of this harness: the number may be somebody else's after its end.
                let ours = self
                    .processes
                    .iter()
                    .any(|process| process.child.as_ref().and_then(Child::id) == Some(id));
                if let Some(pid) = pid.filter(|_| ours) {
                    let _ = kill_process(pid, Signal::CONT);
                }
            }
            Recovery::Reconnect(pairs) => {
                let mut network = self.network.borrow_mut();
                pairs
                    .into_iter()
                    .for_each(|(from, to)| network.update_link(from, to, |link| link.partitioned = false));
            }
            Recovery::ClearDelay(pairs) => {
                let mut network = self.network.borrow_mut();
                let quick = |link: &mut LinkFault| link.delay = Duration::ZERO;
                pairs.into_iter().for_each(|(from, to)| network.update_link(from, to, quick));
            }
            Recovery::Pause(node, duration) => {
                if let Some(id) = self.signal(node, Signal::STOP) {
                    self.recover_after(duration, Recovery::Resume(id));
                }
            }
            Recovery::ClearLinkFaults => self.network.borrow_mut().clear_all_but_partitions(),
            Recovery::Kill(node) => self.kill(node).await,
            Recovery::RestoreOldDisk(node, step) => self.restore_old_disk(node, step).await?,
        }
        Ok(())
    }

    pub(super) fn recover_after(&mut self, after: f64, recovery: Recovery) {
        self.recoveries.push((Instant::now() + Duration::from_secs_f64(after), recovery));
    }
}
