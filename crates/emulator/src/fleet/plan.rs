//! What an experiment of the drive `fleet` says, and the schedules of faults that a seed draws from it.

use coordination::Timing;
use hcl_config::{HclError as HclFault, Section};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// An experiment with processes.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What it is about.
    pub about: String,
    /// How long a schedule lasts, in seconds, before everything is healed.
    pub length: f64,
    /// How long the fleet then has to be well again, in seconds.
    pub calm: f64,
    /// Seconds between two faults, on the mean.
    pub between: f64,
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
    pub keepers: usize,
    /// How many.
    pub members: usize,
    /// The kinds of fault that it draws from.
    pub kinds: Vec<Kind>,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An owner is killed, and started again later.
    KillOwner,
    /// An owner is stopped for so long, then continued.
    StopOwner,
    /// What keepers answer an owner is late by 300 ms, and while it waits the owner is stopped, then continued.
    StopAsking,
    /// An owner ends in good order, and is started again.
    EndOwner,
    /// An owner reaches no keeper, but members.
    CutOwnerKeepers,
    /// An owner reaches no member, but keepers.
    CutOwnerMembers,
    /// An owner reaches keepers, but hears nothing of them.
    OneWayOwner,
    /// Some member is killed and started again.
    KillMember,
    /// Some member is stopped, then continued.
    StopMember,
    /// Half of the members are started anew within 2 s.
    HalfAnew,
    /// A second process of a member's name is started, for a while.
    Twin,
    /// The leading keeper is killed and started again.
    KillLeader,
    /// The leading keeper is stopped, then continued.
    StopLeader,
    /// Some keeper is cut off from the others.
    CutKeeper,
    /// A keeper is not heard by the others, but hears them.
    OneWayKeeper,
    /// All keepers are killed at once and come back.
    KillAllKeepers,
    /// Every link is late by 200 ms each way and one connection in twenty is reset.
    SlowNet,
    /// One connection in four is doubled.
    Doubles,
    /// Every line to and from one keeper is narrow.
    Narrow,
    /// The leading keeper's disk is full, for a while.
    FullDisk,
    /// The leading keeper has hardly any descriptors, for a while.
    FewDescriptors,
    /// A keeper comes back with a copy of its disk that is some starts old.
    OldDisk,
    /// A keeper comes back without its disk.
    LostDisk,
}

/// The kinds by name, as experiments and results have them.
pub const KINDS: [(&str, Kind); 23] = [
    ("kill-owner", Kind::KillOwner),
    ("stop-owner", Kind::StopOwner),
    ("stop-owner-asking", Kind::StopAsking),
    ("end-owner", Kind::EndOwner),
    ("cut-owner-from-keepers", Kind::CutOwnerKeepers),
    ("cut-owner-from-members", Kind::CutOwnerMembers),
    ("owner-hears-no-keeper", Kind::OneWayOwner),
    ("kill-member", Kind::KillMember),
    ("stop-member", Kind::StopMember),
    ("half-anew", Kind::HalfAnew),
    ("twin", Kind::Twin),
    ("kill-leader", Kind::KillLeader),
    ("stop-leader", Kind::StopLeader),
    ("cut-keeper", Kind::CutKeeper),
    ("keeper-not-heard", Kind::OneWayKeeper),
    ("kill-all-keepers", Kind::KillAllKeepers),
    ("slow-net", Kind::SlowNet),
    ("doubles", Kind::Doubles),
    ("narrow", Kind::Narrow),
    ("full-disk", Kind::FullDisk),
    ("few-descriptors", Kind::FewDescriptors),
    ("old-disk", Kind::OldDisk),
    ("lost-disk", Kind::LostDisk),
];

impl Kind {
    /// Its name.
    pub fn name(self) -> &'static str {
        KINDS.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }

    /// Whether it can only be once in a schedule, since a keeper does not come back from it.
    fn once(self) -> bool {
        matches!(self, Kind::OldDisk | Kind::LostDisk)
    }
}

/// A fault of a schedule.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// What it is.
    pub kind: Kind,
    /// How long it lasts, in seconds.
    pub lasts: f64,
    /// Which process, where the kind leaves a choice.
    pub pick: usize,
}

impl Plan {
    /// Reads an experiment with `drive = "fleet"`.
    ///
    /// # Errors
    /// Something in it is wrong.
    pub fn read(file: &str, text: &str) -> Result<Plan, HclFault> {
        let top = Section::parse(file, text)?;
        let head =
            top.section("experiment")?.ok_or_else(|| top.error("experiment", "the block is missing"))?;
        let arms: Result<Vec<Arm>, HclFault> = head.sections("arm").map(arm).collect();
        let plan = Plan {
            name: head.label().to_owned(),
            about: head.string("about")?.unwrap_or_default(),
            length: head.number("length_s", 1.0..=3_600.0)?.unwrap_or(20.0),
            calm: head.number("calm_s", 3.0..=60.0)?.unwrap_or(5.0),
            between: head.number("between_s", 0.2..=600.0)?.unwrap_or(4.0),
            arms: arms?,
            times: cluster_member::settings::times(head)?,
        };
        head.keyword("drive", &[("fleet", ())])?;
        if plan.arms.is_empty() {
            return Err(head.error("arm", "wanted at least one"));
        }
        top.deny_unknown_keys()?;
        Ok(plan)
    }

    /// Whether an experiment's text is one of this drive.
    pub fn is_one(file: &str, text: &str) -> bool {
        let top = Section::parse(file, text).ok();
        let drive = top.and_then(|top| {
            top.section("experiment").ok().flatten().map(|head| head.string("drive").ok().flatten())
        });
        drive.flatten().is_some_and(|drive| drive == "fleet")
    }

    /// The faults of a schedule.
    pub fn draw(&self, arm: &Arm, seed: u64) -> Vec<Fault> {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut kinds = arm.kinds.clone();
        let mut faults = Vec::new();
        // Members settle first: a fleet without an owner has nothing to lose.
        let mut at = 3.0;
        while at < self.length {
            let Some(&kind) = kinds.choose(&mut random) else { break };
            if kind.once() {
                kinds.retain(|other| !other.once());
            }
            let lasts: f64 = match kind {
                // Both shorter and longer than a lease; a few very long.
                Kind::StopOwner | Kind::StopMember | Kind::StopLeader => match random.random_range(0..10) {
                    0..=3 => random.random_range(0.1..1.5),
                    4..=8 => random.random_range(1.5..5.0),
                    _ => random.random_range(5.0..30.0),
                },
                Kind::StopAsking => random.random_range(2.5..5.0),
                Kind::KillOwner | Kind::KillMember | Kind::EndOwner | Kind::KillLeader => {
                    random.random_range(0.0..5.0)
                }
                Kind::KillAllKeepers | Kind::OldDisk | Kind::LostDisk => random.random_range(0.1..3.0),
                _ => random.random_range(1.0..8.0),
            };
            faults.push(Fault { at, kind, lasts, pick: random.random_range(0..1_000) });
            at += random.random_range(0.3..1.7) * self.between;
        }
        faults
    }
}

fn arm(section: &Section) -> Result<Arm, HclFault> {
    let keepers = section.integer("keepers", 3..=5)?.unwrap_or(3) as usize;
    if keepers == 4 {
        return Err(section.error("keepers", "wanted 3 or 5"));
    }
    let mut kinds = Vec::new();
    for word in section.string("faults")?.unwrap_or_else(|| "all".to_owned()).split_whitespace() {
        match (word, KINDS.iter().find(|(name, _)| *name == word)) {
            ("all", _) => kinds.extend(KINDS.iter().map(|(_, kind)| *kind)),
            ("none", _) => kinds.clear(),
            (_, Some((_, kind))) => kinds.push(*kind),
            _ => return Err(section.error("faults", format!("{word:?} is no kind of fault"))),
        }
    }
    Ok(Arm {
        name: section.label().to_owned(),
        keepers,
        members: section.integer("members", 2..=100)?.unwrap_or(8) as usize,
        kinds,
    })
}
