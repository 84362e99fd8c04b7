//! What an experiment of the mode `fleet` says, and the schedules of faults that a seed draws from it.

use coordination::Timing;
use hcl_config::{HclError as HclFault, Section};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// An experiment with processes.
#[derive(Debug, Clone)]
pub struct ClusterExperiment {
    /// Its name.
    pub name: String,
    /// What it is about.
    pub about: String,
    /// How long a schedule lasts, in seconds, before everything is healed.
    pub length: f64,
    /// How long the fleet then has to be well again, in seconds.
    pub recovery_time: f64,
    /// Seconds between two faults, on the mean.
    pub fault_interval: f64,
    /// The arms.
    pub arms: Vec<Arm>,
    /// The times of the agreement.
    pub times: Timing,
}

/// One arm.
#[derive(Debug, Clone)]
pub struct Arm {
    /// Its name.
    pub name: String,
    /// Three or five.
    pub coordinators: usize,
    /// How many.
    pub members: usize,
    /// The kinds of fault that it draws from.
    pub fault_kinds: Vec<FaultKind>,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// An holder is killed, and started again later.
    KillHolder,
    /// An holder is stopped for so long, then continued.
    PauseHolder,
    /// What coordinators answer an holder is late by 300 ms, and while it waits the holder is stopped, then continued.
    PauseHolderDuringRenewal,
    /// An holder ends in good order, and is started again.
    TerminateHolder,
    /// An holder reaches no coordinator, but members.
    PartitionHolderFromCoordinators,
    /// An holder reaches no member, but coordinators.
    PartitionHolderFromMembers,
    /// An holder reaches coordinators, but hears nothing of them.
    HolderHearsNoCoordinator,
    /// Some member is killed and started again.
    KillMember,
    /// Some member is stopped, then continued.
    PauseMember,
    /// Half of the members are started anew within 2 s.
    RestartHalfOfMembers,
    /// A second process of a member's name is started, for a while.
    DuplicateMember,
    /// The leading coordinator is killed and started again.
    KillLeader,
    /// The leading coordinator is stopped, then continued.
    PauseLeader,
    /// Some coordinator is cut off from the others.
    PartitionCoordinator,
    /// A coordinator is not heard by the others, but hears them.
    CoordinatorNotHeard,
    /// All coordinators are killed at once and come back.
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
    /// When it begins, in seconds.
    pub at: f64,
    /// What it is.
    pub kind: FaultKind,
    /// How long it lasts, in seconds.
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
