//! Experiments with processes (`drive = "fleet"`), and the schedules of faults that a seed draws from them.

use coordination::Timing;
use hcl_config::{HclError as HclFault, Section};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// An experiment with processes.
#[derive(Debug, Clone)]
pub struct ClusterExperiment {
    /// Name of the experiment.
    pub name: String,
    /// Description.
    pub about: String,
    /// Length of a schedule until all faults end, in seconds.
    pub length: f64,
    /// Time that the cluster then has to recover, in seconds.
    pub recovery_time: f64,
    /// Mean time between two faults, in seconds.
    pub fault_interval: f64,
    /// The arms.
    pub arms: Vec<Arm>,
    /// Durations of sessions, leases and elections.
    pub times: Timing,
}

/// One arm of an experiment.
#[derive(Debug, Clone)]
pub struct Arm {
    /// Name of the arm.
    pub name: String,
    /// Coordinators, three or five.
    pub coordinators: usize,
    /// Lightweight members.
    pub members: usize,
    /// Kinds of fault to draw from.
    pub fault_kinds: Vec<FaultKind>,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// SIGKILL to the lease holder, started again later.
    KillHolder,
    /// SIGSTOP to the lease holder, SIGCONT later.
    PauseHolder,
    /// Responses of the coordinators to the lease holder are delayed by 300 ms, and it is paused while it waits for one.
    PauseHolderDuringRenewal,
    /// SIGTERM to the lease holder, started again later.
    TerminateHolder,
    /// The lease holder and the coordinators do not reach each other; members reach both.
    PartitionHolderFromCoordinators,
    /// The lease holder and the other members do not reach each other; coordinators reach both.
    PartitionHolderFromMembers,
    /// The lease holder reaches the coordinators and receives nothing from them.
    HolderHearsNoCoordinator,
    /// SIGKILL to a member, started again later.
    KillMember,
    /// SIGSTOP to a member, SIGCONT later.
    PauseMember,
    /// Half of the members are restarted within 2 s.
    RestartHalfOfMembers,
    /// A second process with a member's name runs for a while.
    DuplicateMember,
    /// SIGKILL to the leading coordinator, started again later.
    KillLeader,
    /// SIGSTOP to the leading coordinator, SIGCONT later.
    PauseLeader,
    /// A coordinator and the others do not reach each other.
    PartitionCoordinator,
    /// A coordinator receives messages of the others, and they receive none of its messages.
    CoordinatorNotHeard,
    /// SIGKILL to all coordinators at once, started again later.
    KillAllCoordinators,
    /// Every link is late by 200 ms each way and one connection in twenty is reset.
    SlowNetwork,
    /// One connection in four is doubled.
    DuplicateConnections,
    /// Every line to and from one coordinator is narrow.
    NarrowBandwidth,
    /// The leading coordinator's disk is full, for a while.
    FullDisk,
    /// The leading coordinator has hardly any descriptors, for a while.
    FewDescriptors,
    /// A coordinator comes back with a copy of its disk that is some starts old.
    RestoreOldDisk,
    /// A coordinator comes back without its disk.
    LoseDisk,
}

/// The kinds by name, as experiments and results have them.
pub const FAULT_KINDS: [(&str, FaultKind); 23] = [
    ("kill-owner", FaultKind::KillHolder),
    ("stop-owner", FaultKind::PauseHolder),
    ("stop-owner-asking", FaultKind::PauseHolderDuringRenewal),
    ("end-owner", FaultKind::TerminateHolder),
    ("cut-owner-from-keepers", FaultKind::PartitionHolderFromCoordinators),
    ("cut-owner-from-members", FaultKind::PartitionHolderFromMembers),
    ("owner-hears-no-keeper", FaultKind::HolderHearsNoCoordinator),
    ("kill-member", FaultKind::KillMember),
    ("stop-member", FaultKind::PauseMember),
    ("half-anew", FaultKind::RestartHalfOfMembers),
    ("twin", FaultKind::DuplicateMember),
    ("kill-leader", FaultKind::KillLeader),
    ("stop-leader", FaultKind::PauseLeader),
    ("cut-keeper", FaultKind::PartitionCoordinator),
    ("keeper-not-heard", FaultKind::CoordinatorNotHeard),
    ("kill-all-keepers", FaultKind::KillAllCoordinators),
    ("slow-net", FaultKind::SlowNetwork),
    ("doubles", FaultKind::DuplicateConnections),
    ("narrow", FaultKind::NarrowBandwidth),
    ("full-disk", FaultKind::FullDisk),
    ("few-descriptors", FaultKind::FewDescriptors),
    ("old-disk", FaultKind::RestoreOldDisk),
    ("lost-disk", FaultKind::LoseDisk),
];

impl FaultKind {
    /// Its name.
    pub fn name(self) -> &'static str {
        FAULT_KINDS.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }

    /// Whether it can only be once in a schedule, since a coordinator does not come back from it.
    fn only_once(self) -> bool {
        matches!(self, FaultKind::RestoreOldDisk | FaultKind::LoseDisk)
    }
}

/// A fault of a schedule.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    /// Time of its begin, in seconds.
    pub at: f64,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Duration, in seconds.
    pub duration: f64,
    /// Which process, where the kind leaves a choice.
    pub target_choice: usize,
}

impl ClusterExperiment {
    /// Reads an experiment with `drive = "fleet"`.
    ///
    /// # Errors
    /// Something in it is wrong.
    pub fn read(file: &str, text: &str) -> Result<ClusterExperiment, HclFault> {
        let top = Section::parse(file, text)?;
        let head =
            top.section("experiment")?.ok_or_else(|| top.error("experiment", "the block is missing"))?;
        let arms: Result<Vec<Arm>, HclFault> = head.sections("arm").map(arm).collect();
        let plan = ClusterExperiment {
            name: head.label().to_owned(),
            about: head.string("about")?.unwrap_or_default(),
            length: head.number("length_s", 1.0..=3_600.0)?.unwrap_or(20.0),
            recovery_time: head.number("calm_s", 3.0..=60.0)?.unwrap_or(5.0),
            fault_interval: head.number("between_s", 0.2..=600.0)?.unwrap_or(4.0),
            arms: arms?,
            times: cluster_member::settings::timing(head)?,
        };
        head.keyword("drive", &[("fleet", ())])?;
        if plan.arms.is_empty() {
            return Err(head.error("arm", "wanted at least one"));
        }
        top.deny_unknown_keys()?;
        Ok(plan)
    }

    /// Whether an experiment's text is one of this execution mode.
    pub fn is_cluster_experiment(file: &str, text: &str) -> bool {
        let top = Section::parse(file, text).ok();
        let drive = top.and_then(|top| {
            top.section("experiment").ok().flatten().map(|head| head.string("drive").ok().flatten())
        });
        drive.flatten().is_some_and(|drive| drive == "fleet")
    }

    /// The faults of a schedule.
    pub fn draw(&self, arm: &Arm, seed: u64) -> Vec<ScheduledFault> {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut kinds = arm.fault_kinds.clone();
        let mut faults = Vec::new();
        // Members settle first: a fleet without an holder has nothing to lose.
        let mut at = 3.0;
        while at < self.length {
            let Some(&kind) = kinds.choose(&mut random) else { break };
            if kind.only_once() {
                kinds.retain(|other| !other.only_once());
            }
            let duration: f64 = match kind {
                // Both shorter and longer than a lease; a few very long.
                FaultKind::PauseHolder | FaultKind::PauseMember | FaultKind::PauseLeader => {
                    match random.random_range(0..10) {
                        0..=3 => random.random_range(0.1..1.5),
                        4..=8 => random.random_range(1.5..5.0),
                        _ => random.random_range(5.0..30.0),
                    }
                }
                FaultKind::PauseHolderDuringRenewal => random.random_range(2.5..5.0),
                FaultKind::KillHolder
                | FaultKind::KillMember
                | FaultKind::TerminateHolder
                | FaultKind::KillLeader => random.random_range(0.0..5.0),
                FaultKind::KillAllCoordinators | FaultKind::RestoreOldDisk | FaultKind::LoseDisk => {
                    random.random_range(0.1..3.0)
                }
                _ => random.random_range(1.0..8.0),
            };
            faults.push(ScheduledFault { at, kind, duration, target_choice: random.random_range(0..1_000) });
            at += random.random_range(0.3..1.7) * self.fault_interval;
        }
        faults
    }
}

fn arm(section: &Section) -> Result<Arm, HclFault> {
    let coordinators = section.integer("keepers", 3..=5)?.unwrap_or(3) as usize;
    if coordinators == 4 {
        return Err(section.error("keepers", "wanted 3 or 5"));
    }
    let mut kinds = Vec::new();
    for word in section.string("faults")?.unwrap_or_else(|| "all".to_owned()).split_whitespace() {
        match (word, FAULT_KINDS.iter().find(|(name, _)| *name == word)) {
            ("all", _) => kinds.extend(FAULT_KINDS.iter().map(|(_, kind)| *kind)),
            ("none", _) => kinds.clear(),
            (_, Some((_, kind))) => kinds.push(*kind),
            _ => return Err(section.error("faults", format!("{word:?} is no kind of fault"))),
        }
    }
    Ok(Arm {
        name: section.label().to_owned(),
        coordinators,
        members: section.integer("members", 2..=100)?.unwrap_or(8) as usize,
        fault_kinds: kinds,
    })
}
