//! Runs one schedule of the lease experiments: real coordinators and lightweight members, a proxy on every link between
//! two of them, and faults drawn by a seed.
//!
//! `setup` allocates addresses and writes configurations, `processes` starts and ends processes, `faults` injects
//! faults, `recovery` ends them, and `evaluation` checks the recovery of the cluster and the records.

mod evaluation;
mod faults;
mod processes;
mod recovery;
mod setup;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rand_pcg::Pcg64;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

use self::processes::Process;
use self::recovery::ScheduledRecovery;
use super::error::ClusterError;
use super::fault_proxy::{NodeId, SharedNetwork};
use super::record_checker::{InjectedFault, LeaseViolations};
use super::schedule::{Arm, ClusterExperiment, FaultKind};

/// Paths of the programs that are started as processes.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The program `coordinator`.
    pub coordinator: PathBuf,
    /// The program `emulator`, which also runs as a lightweight member.
    pub emulator: PathBuf,
}

/// A schedule that the harness can run.
#[derive(Debug, Clone, Copy)]
pub struct SchedulePlan<'a> {
    /// The experiment.
    pub experiment: &'a ClusterExperiment,
    /// Arm of the experiment.
    pub arm: &'a Arm,
    /// Seed of the faults.
    pub seed: u64,
    /// Name of the bug to inject into the members.
    pub injected_bug: Option<&'a str>,
}

/// Result of a schedule.
#[derive(Debug)]
pub struct ScheduleResult {
    /// Seed of the schedule.
    pub seed: u64,
    /// Violations by rule.
    pub violations: LeaseViolations,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Number of connections that the proxies reset.
    pub resets: u64,
    /// Number of connections that the proxies duplicated.
    pub duplicates: u64,
    /// Takeover times by kind of fault, in microseconds.
    pub takeovers: BTreeMap<FaultKind, Vec<u64>>,
    /// Number of effects that receivers accepted.
    pub effects_accepted: u64,
    /// Number of effects that receivers rejected.
    pub effects_rejected: u64,
    /// Number of lease terms granted.
    pub lease_terms: u64,
}

/// State of a running schedule.
struct LeaseHarness<'a> {
    dir: PathBuf,
    programs: &'a Programs,
    plan: SchedulePlan<'a>,
    network: SharedNetwork,
    /// Coordinators, then members, then duplicates of members, each at the position of its proxy node.
    processes: Vec<Process>,
    /// Second and third octet of the loopback addresses of this schedule.
    address_block: [u8; 2],
    injected: Vec<InjectedFault>,
    recoveries: Vec<ScheduledRecovery>,
    proxies: Vec<JoinHandle<()>>,
    violations: LeaseViolations,
    random: Pcg64,
}

/// Runs a schedule. Its processes write their files to a folder of their own below `out`.
///
/// # Errors
/// Returns a [`ClusterError`] if the harness fails; violations of rules are part of the result.
pub fn run(plan: SchedulePlan<'_>, programs: &Programs, out: &Path) -> Result<ScheduleResult, ClusterError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(ClusterError::io("Tokio runtime"))?, async {
        let mut harness = LeaseHarness::start_cluster(plan, programs, out).await?;
        let outcome = harness.run_schedule().await;
        harness.shut_down().await;
        outcome?;
        harness.evaluate()
    })
}

impl LeaseHarness<'_> {
    async fn run_schedule(&mut self) -> Result<(), ClusterError> {
        let start = Instant::now();
        for fault in self.plan.experiment.draw(self.plan.arm, self.plan.seed) {
            self.recover_until(start + Duration::from_secs_f64(fault.at)).await?;
            self.inject(fault).await?;
        }
        self.recover_until(start + Duration::from_secs_f64(self.plan.experiment.length)).await?;
        self.recover_all().await?;
        sleep(Duration::from_secs_f64(self.plan.experiment.recovery_time)).await;
        self.check_recovery()?;
        self.check_healthy_coordinators();
        self.check_coordinators_without_store();
        Ok(())
    }

    fn coordinators(&self) -> std::ops::Range<NodeId> {
        0..self.plan.arm.coordinators
    }

    fn members(&self) -> std::ops::Range<NodeId> {
        let first = self.plan.arm.coordinators;
        first..first + self.plan.arm.members
    }
}
