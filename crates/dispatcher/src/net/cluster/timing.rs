//! Intervals of a member's periodic tasks.

use std::time::Duration;

use tokio::time::{interval, Interval, MissedTickBehavior};

/// Interval at which a member looks for changes and publishes them together.
pub(crate) const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Returns an interval whose first tick is immediate. A late tick delays those after it, so that they never come in a burst.
pub(in crate::net) fn periodic(period: Duration) -> Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
