//! Delays before the endpoint list is polled again after a watch or a call has ended. The module has no clock and
//! performs no I/O.
//!
//! A dispatcher counts as notified of a change a fixed time after discovery has the change and is reachable, regardless
//! of the outcome of earlier calls. Soon after that time it must not send jobs to a worker that drains. Therefore a
//! delay is bounded by the time without a watch, not by the number of failed calls: a call that times out late leaves
//! less time before the next call.

use crate::api::Settings;
use crate::backoff::{Backoff, Micros};

/// Time after which a dispatcher counts as notified of a change, from when discovery has the change and is reachable.
pub const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Part of [`MAX_NOTIFICATION_DELAY`] that is reserved for the response to a call: a call is queued for up to 2 s if
/// discovery is one service for all dispatchers.
const MAX_RESPONSE_DELAY: Micros = 2_000_000;

/// Divisor of the grace that gives the maximum first delay if discovery is an agent on this machine. The grace is the
/// time for which a worker that drains may still get work. The delay is short because polling an agent costs nothing
/// and its changes count as notified at once.
const AGENT_FIRST_DIVISOR: Micros = 25;
/// Divisor of the grace that gives the maximum delay with an agent on this machine.
const AGENT_LONGEST_DIVISOR: Micros = 5;
/// Percentage of the grace after which an agent that does not respond may have lost the connection. A standby watch is
/// then opened, so that one of the two watches was opened after discovery recovered.
const STANDBY_PERCENT: Micros = 40;
/// Bounds of the grace that is taken from the settings: an agent needs some time to respond, and calls without any
/// delay would leave no time for other work.
const MIN_GRACE: Micros = 50_000;
const MAX_GRACE: Micros = 60_000_000;
/// Time per dispatcher over which the first calls after a failure are spread. If discovery is one service for all
/// dispatchers, a fault that ends one watch ends all of them, and a rejected call costs the service as much as one that
/// it answers. Later calls are spread more widely, up to the time that is left.
const SPREAD_PER_INSTANCE: Micros = 10_000;
/// Bounds of the time over which the first calls of all dispatchers are spread.
const MIN_FIRST_DELAY: Micros = 500_000;
const MAX_FIRST_DELAY: Micros = 2_000_000;

/// Returns the time that an agent may take to begin its response before a standby watch is opened.
pub fn standby_watch_delay(grace: Micros) -> Micros {
    grace.clamp(MIN_GRACE, MAX_GRACE) * STANDBY_PERCENT / 100
}

/// Delays between calls that request the endpoint list.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    backoff: Backoff,
    latest: Micros,
}

impl PollSchedule {
    /// Returns the schedule for these settings; `grace` is the time for which a worker that drains may still get work.
    /// The seed should differ between dispatchers.
    pub fn new(settings: &Settings, grace: Micros, seed: u64) -> PollSchedule {
        let latest = MAX_NOTIFICATION_DELAY - MAX_RESPONSE_DELAY;
        let backoff = if settings.polls_endpoint_list {
            let spread = SPREAD_PER_INSTANCE * Micros::from(settings.instances);
            Backoff::new(spread.clamp(MIN_FIRST_DELAY, MAX_FIRST_DELAY), latest, seed)
        } else {
            let grace = grace.clamp(MIN_GRACE, MAX_GRACE);
            Backoff::new(grace / AGENT_FIRST_DIVISOR, grace / AGENT_LONGEST_DIVISOR, seed)
        };
        PollSchedule { backoff, latest }
    }

    /// Records that a call was answered.
    pub fn record_success(&mut self) {
        self.backoff.reset();
    }

    /// Returns the delay before the next call; `without_watch` is the time for which no watch was open. The
    /// `retry_after` that discovery requested is honored as far as [`MAX_NOTIFICATION_DELAY`] allows.
    pub fn next_delay(&mut self, without_watch: Micros, retry_after: Option<Micros>) -> Micros {
        self.backoff.next_delay(retry_after).min(self.latest.saturating_sub(without_watch))
    }
}
