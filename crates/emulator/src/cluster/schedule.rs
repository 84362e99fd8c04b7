//! Experiments with processes (`drive = "fleet"`), and the schedules of faults that are drawn from them by a seed.

use coordination::Timing;
use hcl_config::{HclError, Section};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Time of the first fault, in seconds. By then the members have sessions and a lease holder that a fault can hit.
const FIRST_FAULT_S: f64 = 3.0;

/// An experiment with processes.
#[derive(Debug, Clone)]
pub struct ClusterExperiment {
    /// Name of the experiment.
    pub name: String,
    /// Description of the experiment.
    pub about: String,
    /// Length of a schedule until all faults end, in seconds.
    pub length: f64,
    /// Time that the cluster then has to recover, in seconds.
    pub recovery_time: f64,
    /// Mean time between two faults, in seconds.
    pub fault_interval: f64,
    /// Arms of the experiment, at least one.
    pub arms: Vec<Arm>,
    /// Durations of sessions, leases and elections.
    pub times: Timing,
}

/// One arm of an experiment.
#[derive(Debug, Clone)]
pub struct Arm {
    /// Name of the arm.
    pub name: String,
    /// Number of coordinators, 3 or 5.
    pub coordinators: usize,
    /// Number of lightweight members.
    pub members: usize,
    /// Kinds of fault that schedules draw from.
    pub fault_kinds: Vec<FaultKind>,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// SIGKILL to the lease holder, started again later.
    KillHolder,
    /// SIGSTOP to the lease holder, SIGCONT later.
    PauseHolder,
    /// Responses of the coordinators to the lease holder are delayed by 300 ms, and it is paused while it waits for a
    /// response.
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
    /// Every link is delayed by 200 ms in each direction, and one connection in twenty is reset.
    SlowNetwork,
    /// The bytes of one connection in four arrive a second time, on a second connection.
    DuplicateConnections,
    /// Every link to and from one coordinator has a low bandwidth.
    NarrowBandwidth,
    /// The leading coordinator's disk is full, for a while.
    FullDisk,
    /// The leading coordinator may open only a few descriptors, for a while.
    FewDescriptors,
    /// A coordinator is restarted with an old copy of its disk, from before its last starts.
    RestoreOldDisk,
    /// A coordinator is restarted without its disk.
    LoseDisk,
}

/// All kinds of fault with their names in experiments and results.
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
    /// Returns the name in experiments and results.
    pub fn name(self) -> &'static str {
        FAULT_KINDS.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }

    /// Whether the kind is one of those of which a schedule contains at most one fault in all, because the coordinator
    /// that has the fault does not serve again.
    fn only_once(self) -> bool {
        matches!(self, FaultKind::RestoreOldDisk | FaultKind::LoseDisk)
    }
}

/// A fault of a schedule.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    /// Time at which it begins, in seconds from the start of the schedule.
    pub at: f64,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Duration, in seconds.
    pub duration: f64,
    /// Random number that selects the process, if the kind allows for several.
    pub target_choice: usize,
}

impl ClusterExperiment {
    /// Reads an experiment with `drive = "fleet"`.
    ///
    /// # Errors
    /// Returns the position of the first unknown key, invalid value or missing block.
    pub fn read(file: &str, text: &str) -> Result<ClusterExperiment, HclError> {
        let top = Section::parse(file, text)?;
        let head =
            top.section("experiment")?.ok_or_else(|| top.error("experiment", "the block is missing"))?;
        let arms: Result<Vec<Arm>, HclError> = head.sections("arm").map(arm).collect();
        let experiment = ClusterExperiment {
            name: head.label().to_owned(),
            about: head.string("about")?.unwrap_or_default(),
            length: head.number("length_s", 1.0..=3_600.0)?.unwrap_or(20.0),
            recovery_time: head.number("calm_s", 3.0..=60.0)?.unwrap_or(5.0),
            fault_interval: head.number("between_s", 0.2..=600.0)?.unwrap_or(4.0),
            arms: arms?,
            times: cluster_member::settings::timing(head)?,
        };
        head.keyword("drive", &[("fleet", ())])?;
        if experiment.arms.is_empty() {
            return Err(head.error("arm", "wanted at least one"));
        }
        top.deny_unknown_keys()?;
        Ok(experiment)
    }

    /// Whether the text of an experiment selects this execution mode.
    pub fn is_cluster_experiment(file: &str, text: &str) -> bool {
        let top = Section::parse(file, text).ok();
        let drive = top.and_then(|top| {
            top.section("experiment").ok().flatten().map(|head| head.string("drive").ok().flatten())
        });
        drive.flatten().is_some_and(|drive| drive == "fleet")
    }

    /// Draws the faults of a schedule by its seed.
    pub fn draw(&self, arm: &Arm, seed: u64) -> Vec<ScheduledFault> {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut kinds = arm.fault_kinds.clone();
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT_S;
        while at < self.length {
            let Some(&kind) = kinds.choose(&mut random) else { break };
            if kind.only_once() {
                kinds.retain(|other| !other.only_once());
            }
            let duration: f64 = match kind {
                // Some pauses are shorter than a lease and some longer, and a few are very long.
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

fn arm(section: &Section) -> Result<Arm, HclError> {
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
            _ => return Err(section.error("faults", format!("unknown kind of fault {word:?}"))),
        }
    }
    Ok(Arm {
        name: section.label().to_owned(),
        coordinators,
        members: section.integer("members", 2..=100)?.unwrap_or(8) as usize,
        fault_kinds: kinds,
    })
}
