//! The times of sessions and leases, checked against each other.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// All times of the agreement, in microseconds. Keepers and members of one installation have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Times {
    /// How long a session lasts after the member asked for its renewal, by the member's clock.
    pub lease: Micros,
    /// How often a member asks for a renewal.
    pub renew: Micros,
    /// How long a member waits for an answer of a keeper before it asks another.
    pub call: Micros,
    /// How long a member has to stay before it may own a duty; doubled for each short life before.
    pub stay: Micros,
    /// A session that ends before this age counts as a short life.
    pub short: Micros,
    /// The most by which two clocks' rates differ, in parts of a million.
    pub skew_ppm: u64,
    /// How long a keeper that follows hears nothing before it wants to lead.
    pub election: Micros,
    /// How often the leading keeper makes itself heard.
    pub heartbeat: Micros,
}

/// Two times that do not fit together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimesFault {
    /// The key that is wrong.
    pub key: &'static str,
    /// The key that it does not fit to.
    pub against: &'static str,
    /// Why.
    pub problem: String,
}

impl std::fmt::Display for TimesFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} does not fit to {}: {}", self.key, self.against, self.problem)
    }
}

impl std::error::Error for TimesFault {}

impl Default for Times {
    fn default() -> Times {
        Times {
            lease: 1_600_000,
            renew: 400_000,
            call: 400_000,
            stay: 1_000_000,
            short: 10_000_000,
            skew_ppm: 1_000,
            election: 400_000,
            heartbeat: 80_000,
        }
    }
}

impl Times {
    /// Whether the times fit together.
    pub fn check(&self) -> Result<(), TimesFault> {
        let rules = [
            (
                self.heartbeat == 0 || self.heartbeat * 4 > self.election,
                "heartbeat",
                "election",
                "wanted above 0 and at most a fourth of it, or a late beat starts an election",
            ),
            (
                self.renew == 0 || self.renew * 3 > self.lease,
                "renew",
                "lease",
                "wanted above 0 and at most a third of it, or one lost answer ends a session",
            ),
            (
                self.call == 0 || self.call * 2 > self.lease,
                "call",
                "lease",
                "wanted above 0 and at most half of it, or a silent keeper ends a session",
            ),
            (
                self.election * 2 > self.lease,
                "election",
                "lease",
                "wanted at most half of it, or every election ends sessions",
            ),
            (self.stay < self.renew, "stay", "renew", "wanted at least as long, or a member settles unheard"),
            (self.short < self.stay, "short", "stay", "wanted at least as long, or no life is ever short"),
            (self.skew_ppm > 100_000, "skew_ppm", "lease", "wanted at most 100000, a tenth"),
        ];
        match rules.into_iter().find(|rule| rule.0) {
            Some((_, key, against, problem)) => Err(TimesFault { key, against, problem: problem.to_owned() }),
            None => Ok(()),
        }
    }

    /// How long a keeper waits, by its own clock, before a session that was not renewed has ended for its member too.
    ///
    /// A member's clock may run slow by the bound and a keeper's fast, so that both differences are added. What is
    /// rounded is rounded up, and one microsecond more covers both readings.
    pub fn keepers_wait(&self) -> Micros {
        self.lease + (self.lease * 2 * self.skew_ppm).div_ceil(1_000_000) + 1
    }

    /// How long a member with this many short lives in a row has to stay before it may own a duty.
    pub fn stay_after(&self, short_lives: u8) -> Micros {
        self.stay << short_lives.min(5)
    }
}
