//! When the endpoint list is polled again after a watch or a call has ended. Pure: no clock, no I/O.
//!
//! A change counts as notified a fixed time after discovery had it and could be reached, whatever a call before did, and
//! soon after that nothing may be sent to a worker that drains. So a pause is bounded by the time without a watch, not by
//! the number of failed calls: a call that was given up late leaves less time before the next.

use crate::api::Settings;
use crate::backoff::{Backoff, Micros};

/// A change counts as notified this long after discovery had it and could be reached.
pub const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Of that, what a call may take to be answered: it waits its turn for up to 2 s where discovery is one service for all.
const MAX_RESPONSE_DELAY: Micros = 2_000_000;

/// An agent on this machine costs nothing to poll, and what it has counts as notified at once: first and longest pause,
/// as divisors of the time for which a worker that drains may still get work.
const AGENT_FIRST_DIVISOR: Micros = 25;
const AGENT_LONGEST_DIVISOR: Micros = 5;
/// An agent that does not answer within this part of that time, in hundredths, may have lost the connection: a standby
/// watch is opened, so that one of the two was opened after discovery came back.
const STANDBY_PERCENT: Micros = 40;
/// That time is taken for no shorter and no longer than this, whatever the settings tell: an agent needs a moment to
/// answer, and calls without any pause would leave none for the rest.
const MIN_GRACE: Micros = 50_000;
const MAX_GRACE: Micros = 60_000_000;
/// Where discovery is one service for all, what breaks one watch breaks all, and a call that is rejected costs it as
/// much as one that is answered. So the first calls are spread over so much for each dispatcher, between these; the
/// later ones, wider and wider, up to the time that is left.
const SPREAD_PER_INSTANCE: Micros = 10_000;
const MIN_FIRST_PAUSE: Micros = 500_000;
const MAX_FIRST_PAUSE: Micros = 2_000_000;

/// How long an agent may take to begin its answer before a standby watch is opened.
pub fn standby_watch_delay(grace: Micros) -> Micros {
    grace.clamp(MIN_GRACE, MAX_GRACE) * STANDBY_PERCENT / 100
}

/// The pauses between calls.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    backoff: Backoff,
    latest: Micros,
}

impl PollSchedule {
    /// As the settings tell; `grace` is for how long a worker that drains may still get work. The seed should differ
    /// between dispatchers.
    pub fn new(settings: &Settings, grace: Micros, seed: u64) -> PollSchedule {
        let latest = MAX_NOTIFICATION_DELAY - MAX_RESPONSE_DELAY;
        let backoff = if settings.polls_endpoint_list {
            let spread = SPREAD_PER_INSTANCE * Micros::from(settings.instances);
            Backoff::new(spread.clamp(MIN_FIRST_PAUSE, MAX_FIRST_PAUSE), latest, seed)
        } else {
            let grace = grace.clamp(MIN_GRACE, MAX_GRACE);
            Backoff::new(grace / AGENT_FIRST_DIVISOR, grace / AGENT_LONGEST_DIVISOR, seed)
        };
        PollSchedule { backoff, latest }
    }

    /// A call was answered.
    pub fn record_success(&mut self) {
        self.backoff.reset();
    }

    /// The pause before the next call, where there has been no watch for so long already. `retry_after` is what
    /// discovery asked for; it is heeded as far as the time within which a change counts as notified allows.
    pub fn next_delay(&mut self, without_watch: Micros, retry_after: Option<Micros>) -> Micros {
        self.backoff.next_delay(retry_after).min(self.latest.saturating_sub(without_watch))
    }
}
