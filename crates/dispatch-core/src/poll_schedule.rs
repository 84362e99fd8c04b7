//! Delays before the endpoint list is polled again after a watch or a call has ended. No clock, no I/O.
//!
//! A change counts as notified a fixed time after discovery had it and could be reached, whatever an earlier call did,
//! and soon after that nothing may be sent to a worker that drains. So a delay is bounded by the time without a watch,
//! not by the number of failed calls: a call that timed out late leaves less time before the next.

use crate::api::Settings;
use crate::backoff::{Backoff, Micros};

/// Time after which a change counts as notified, once discovery has it and can be reached.
pub const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Part of that time in which a call is answered: it waits its turn for up to 2 s where discovery is one service for
/// all.
const MAX_RESPONSE_DELAY: Micros = 2_000_000;

/// Divisor of the grace, the time for which a worker that drains may still get work, that gives the first delay with an
/// agent on this machine: it costs nothing to poll, and its changes count as notified at once.
const AGENT_FIRST_DIVISOR: Micros = 25;
/// Divisor of the grace that gives the longest delay with an agent on this machine.
const AGENT_LONGEST_DIVISOR: Micros = 5;
/// Part of the grace, in percent, after which an agent that does not answer may have lost the connection: a standby
/// watch is opened, so that one of the two was opened after discovery recovered.
const STANDBY_PERCENT: Micros = 40;
/// Bounds of the grace, whatever the settings state: an agent needs a moment to answer, and calls without delay would
/// leave no time for other work.
const MIN_GRACE: Micros = 50_000;
const MAX_GRACE: Micros = 60_000_000;
/// Span for each dispatcher over which the first calls after a failure are spread: if discovery is one service for all,
/// a fault that breaks one watch breaks all, and a rejected call costs it as much as one that is answered. Later calls
/// are spread ever wider, up to the time that is left.
const SPREAD_PER_INSTANCE: Micros = 10_000;
/// Bounds of the span of the first calls of all dispatchers.
const MIN_FIRST_DELAY: Micros = 500_000;
const MAX_FIRST_DELAY: Micros = 2_000_000;

/// Returns the time that an agent may take to begin its answer before a standby watch is opened.
pub fn standby_watch_delay(grace: Micros) -> Micros {
    grace.clamp(MIN_GRACE, MAX_GRACE) * STANDBY_PERCENT / 100
}

/// Delays between calls for the endpoint list.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    backoff: Backoff,
    latest: Micros,
}

impl PollSchedule {
    /// Returns the schedule of the settings; `grace` is the time for which a worker that drains may still get work. The
    /// seed should differ between dispatchers.
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

    /// Returns the delay before the next call, after a time without a watch. The `retry_after` that discovery requested
    /// is honoured as far as [`MAX_NOTIFICATION_DELAY`] allows.
    pub fn next_delay(&mut self, without_watch: Micros, retry_after: Option<Micros>) -> Micros {
        self.backoff.next_delay(retry_after).min(self.latest.saturating_sub(without_watch))
    }
}
