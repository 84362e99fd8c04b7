//! How often a member works for the cluster.

use std::time::Duration;

/// What changed within this is told together.
pub(crate) const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
