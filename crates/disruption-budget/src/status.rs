//! Availability of targets, as an observer sees it.

use serde::{Deserialize, Serialize};

use crate::Target;

/// Availability of a target. The order of variants is part of the stored format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Availability {
    /// Serves with its full capacity.
    Available,
    /// Does not serve, or its state is unknown.
    Unavailable,
    /// Serves with this part of its capacity, in thousandths.
    WarmingUp(u16),
}

/// Status of a target as observed. The order of fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub target: Target,
    /// Zone of the target.
    pub zone: String,
    /// Pool of the target; empty if it has none.
    pub pool: String,
    /// Availability of the target.
    pub availability: Availability,
    /// Incarnation, raised with each start and each return from standby; 0 if the target has none.
    pub incarnation: u64,
}

/// Differences between an observation and the replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatusChanges {
    /// Targets that are new, or whose status differs.
    pub changed: Vec<TargetStatus>,
    /// Targets that are no longer listed.
    pub removed: Vec<Target>,
}

impl StatusChanges {
    /// Returns whether there are no differences.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }

    /// Appends changes, which must be of other targets.
    pub fn extend(&mut self, other: StatusChanges) {
        self.changed.extend(other.changed);
        self.removed.extend(other.removed);
    }
}
