//! How available a target is, as an observer sees it.

use serde::{Deserialize, Serialize};

use crate::Target;

/// How available a target is. The order of variants is part of the stored format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Availability {
    /// It serves with all of its capacity.
    Available,
    /// It does not serve, or nobody can tell.
    Unavailable,
    /// It serves with this part of its capacity, in thousandths.
    WarmingUp(u16),
}

/// A target as an observer saw it. The order of fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub target: Target,
    /// Its zone.
    pub zone: String,
    /// Its pool; empty where it has none.
    pub pool: String,
    /// How available it is.
    pub availability: Availability,
    /// A number that the target raises with each start and each return to service; 0 where it has none.
    pub incarnation: u64,
}

/// The difference between what an observer sees and what the replicated state says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatusChanges {
    /// Targets that are new, or whose status differs.
    pub changed: Vec<TargetStatus>,
    /// Targets that are not listed any more.
    pub removed: Vec<Target>,
}

impl StatusChanges {
    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }

    /// Appends the changes of other targets.
    pub fn extend(&mut self, other: StatusChanges) {
        self.changed.extend(other.changed);
        self.removed.extend(other.removed);
    }
}
