//! Evaluation of a schedule: checks that the cluster has recovered, and checks the rules on the records.

use std::collections::BTreeMap;
use std::fs;

use cluster_member::clock;
use rand::Rng;
use tokio::process::Child;

use super::{LeaseHarness, ScheduleResult};
use crate::cluster::error::ClusterError;
use crate::cluster::fault_proxy::NodeId;
use crate::cluster::record_checker::{self, LeaseRule, Records};

/// Time before the end of a schedule in which an effect must be accepted, in microseconds.
const RECOVERED_EFFECT_WINDOW: u64 = 1_000_000;
/// Takeover time above which the files of a schedule are kept, in microseconds.
const SLOW_TAKEOVER: u64 = 3_000_000;
/// One schedule in this many keeps its files as a sample.
const SAMPLED_SCHEDULE_INTERVAL: u32 = 20;
/// Exit codes of a coordinator with an old store, and of one without a store.
const STORE_EXIT_CODES: [i32; 2] = [3, 4];

/// The last term of the lease, with its holder.
pub(super) struct HolderTerm {
    pub(super) holder: NodeId,
    pub(super) token: u64,
}

impl LeaseHarness<'_> {
    fn coordinator_records(&self) -> Result<Records, ClusterError> {
        let mut records = Records::default();
        for number in 1..=self.plan.arm.coordinators as u64 {
            let lines = record_checker::read(&self.dir.join(format!("k{number}.jsonl")))?;
            records.coordinators.insert(number, lines);
        }
        Ok(records)
    }

    fn records(&self) -> Result<Records, ClusterError> {
        let mut records = self.coordinator_records()?;
        for entry in fs::read_dir(&self.dir).map_err(ClusterError::io(self.dir.display()))? {
            let path = entry.map_err(ClusterError::io(self.dir.display()))?.path();
            let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default().to_owned();
            if path.extension().is_some_and(|extension| extension == "jsonl") && stem.starts_with('m') {
                records.members.insert(stem, record_checker::read(&path)?);
            }
        }
        Ok(records)
    }

    /// Returns the last term of the lease, by the coordinators' records.
    pub(super) fn last_term(&self) -> Result<Option<HolderTerm>, ClusterError> {
        let records = self.coordinator_records()?;
        let Some(grant) = record_checker::newest_grant(&records) else { return Ok(None) };
        let Some(member) = record_checker::member_of_session(&records, grant.session) else {
            return Ok(None);
        };
        let number = member.strip_prefix('m').and_then(|number| number.parse::<usize>().ok());
        Ok(number.map(|number| HolderTerm { holder: self.members().start + number, token: grant.token }))
    }

    /// Returns the coordinator that became leader last, or the first one if none has recorded that.
    pub(super) fn leader(&self) -> Result<NodeId, ClusterError> {
        Ok(record_checker::leader(&self.coordinator_records()?).map_or(0, |number| number as usize - 1))
    }

    /// Checks that receivers accept effects again after the last fault has ended.
    pub(super) fn check_recovery(&mut self) -> Result<(), ClusterError> {
        let since = clock::now().saturating_sub(RECOVERED_EFFECT_WINDOW);
        if !record_checker::accepted_effect_after(&self.records()?, since) {
            let description = format!(
                "no effect was accepted in the last second of the {} s after all faults had ended",
                self.plan.experiment.recovery_time
            );
            self.violations.add(LeaseRule::Recovery, description);
        }
        Ok(())
    }

    /// Checks that every coordinator whose store is intact still runs. Without this check, the damage of a store by a
    /// full disk went unnoticed (seed 3008), because the other coordinators were a majority.
    pub(super) fn check_healthy_coordinators(&mut self) {
        for node in self.coordinators() {
            let process = &mut self.processes[node];
            let ended = process.child.as_mut().filter(|_| !process.not_restartable).map(Child::try_wait);
            if let Some(Ok(Some(status))) = ended {
                let description =
                    format!("coordinator {}, whose store is intact, ended with {status}", node + 1);
                self.violations.add(LeaseRule::Recovery, description);
            }
        }
    }

    /// Checks that every coordinator with an old store or none has ended with the exit code for it. A coordinator that
    /// another fault has killed is skipped, because it is not started again.
    pub(super) fn check_coordinators_without_store(&mut self) {
        for node in self.coordinators() {
            let process = &mut self.processes[node];
            let state = process.child.as_mut().filter(|_| process.not_restartable).map(Child::try_wait);
            let description = match state {
                Some(Ok(None)) => format!("coordinator {} runs with an old store or none", node + 1),
                Some(Ok(Some(status)))
                    if !status.code().is_some_and(|code| STORE_EXIT_CODES.contains(&code)) =>
                {
                    format!(
                        "coordinator {} with an old store or none ended with {status}, not with 3 or 4",
                        node + 1
                    )
                }
                _ => continue,
            };
            self.violations.add(LeaseRule::NoServiceWithoutStore, description);
        }
    }

    /// Checks the rules on the records and collects the figures. Deletes the files of the schedule unless they may be
    /// needed.
    pub(super) fn evaluate(mut self) -> Result<ScheduleResult, ClusterError> {
        let records = self.records()?;
        let mut violations = record_checker::check(&records);
        violations.merge(std::mem::take(&mut self.violations));
        let mut faults = BTreeMap::new();
        for fault in &self.injected {
            *faults.entry(fault.kind).or_default() += 1;
        }
        let lease_duration = self.plan.experiment.times.lease_duration;
        let result = ScheduleResult {
            seed: self.plan.seed,
            faults,
            resets: self.network.borrow().resets,
            duplicates: self.network.borrow().duplicates,
            takeovers: record_checker::takeovers(&records, &self.injected, lease_duration),
            effects_accepted: record_checker::effects_accepted(&records),
            effects_rejected: record_checker::effects_rejected(&records),
            lease_terms: record_checker::lease_terms(&records),
            violations,
        };
        let faults: String = self.injected.iter().map(|fault| format!("{fault:?}\n")).collect();
        let _ = fs::write(self.dir.join("faults.txt"), faults);
        if !self.keeps_files(&result) {
            let _ = fs::remove_dir_all(&self.dir);
        }
        Ok(result)
    }

    /// Whether the files of a schedule may be needed: it violated a rule, had a slow takeover, ran with an injected
    /// bug, or is a sample.
    fn keeps_files(&mut self, result: &ScheduleResult) -> bool {
        let is_slow = result.takeovers.values().flatten().any(|takeover| *takeover > SLOW_TAKEOVER);
        !result.violations.is_empty()
            || is_slow
            || self.plan.injected_bug.is_some()
            || self.random.random_range(0..SAMPLED_SCHEDULE_INTERVAL) == 0
    }
}
