//! Intervals of a member's periodic tasks.

use std::time::Duration;

use tokio::time::{interval, Interval, MissedTickBehavior};

/// Interval at which a member looks for changes and publishes them in a batch.
pub(crate) const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Returns an interval whose first tick is immediate. A late tick delays the following ones, so that ticks never come
/// in a burst.
pub(in crate::net) fn periodic(period: Duration) -> Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
