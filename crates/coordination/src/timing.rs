//! The times of sessions and leases, checked against each other.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// All times of the agreement, in microseconds. Keepers and members of one installation have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timing {
    /// How long a session lasts after the member asked for its renewal, by the member's clock.
    #[serde(rename = "lease")]
    pub lease_duration: Micros,
    /// How often a member asks for a renewal.
    #[serde(rename = "renew")]
    pub renewal_interval: Micros,
    /// How long a member waits for an answer of a keeper before it asks another.
    #[serde(rename = "call")]
    pub call_timeout: Micros,
    /// How long a member has to stay before it may own a duty; doubled for each short life before.
    #[serde(rename = "stay")]
    pub stability_period: Micros,
    /// A session that ends before this age counts as a short life.
    #[serde(rename = "short")]
    pub short_session_limit: Micros,
    /// The most by which two clocks' rates differ, in parts of a million.
    #[serde(rename = "skew_ppm")]
    pub max_clock_skew_ppm: u64,
    /// How long a keeper that follows hears nothing before it wants to lead.
    #[serde(rename = "election")]
    pub election_timeout: Micros,
    /// How often the leading keeper makes itself heard.
    #[serde(rename = "heartbeat")]
    pub heartbeat_interval: Micros,
}

/// Two times that do not fit together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimingError {
    /// The key that is wrong.
    pub key: &'static str,
    /// The key that it does not fit to.
    pub against: &'static str,
    /// Why.
    pub problem: String,
}

impl std::fmt::Display for TimingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} does not fit to {}: {}", self.key, self.against, self.problem)
    }
}

impl std::error::Error for TimingError {}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease_duration: 1_600_000,
            renewal_interval: 400_000,
            call_timeout: 400_000,
            stability_period: 1_000_000,
            short_session_limit: 10_000_000,
            max_clock_skew_ppm: 1_000,
            election_timeout: 400_000,
            heartbeat_interval: 80_000,
        }
    }
}

impl Timing {
    /// Whether the times fit together.
    pub fn validate(&self) -> Result<(), TimingError> {
        let rules = [
            (
                self.heartbeat_interval == 0 || self.heartbeat_interval * 4 > self.election_timeout,
                "heartbeat",
                "election",
                "wanted above 0 and at most a fourth of it, or a late beat starts an election",
            ),
            (
                self.renewal_interval == 0 || self.renewal_interval * 3 > self.lease_duration,
                "renew",
                "lease",
                "wanted above 0 and at most a third of it, or one lost answer ends a session",
            ),
            (
                self.call_timeout == 0 || self.call_timeout * 2 > self.lease_duration,
                "call",
                "lease",
                "wanted above 0 and at most half of it, or a silent keeper ends a session",
            ),
            (
                self.election_timeout * 2 > self.lease_duration,
                "election",
                "lease",
                "wanted at most half of it, or every election ends sessions",
            ),
            (
                self.stability_period < self.renewal_interval,
                "stay",
                "renew",
                "wanted at least as long, or a member settles unheard",
            ),
            (
                self.short_session_limit < self.stability_period,
                "short",
                "stay",
                "wanted at least as long, or no life is ever short",
            ),
            (self.max_clock_skew_ppm > 100_000, "skew_ppm", "lease", "wanted at most 100000, a tenth"),
        ];
        match rules.into_iter().find(|rule| rule.0) {
            Some((_, key, against, problem)) => {
                Err(TimingError { key, against, problem: problem.to_owned() })
            }
            None => Ok(()),
        }
    }

    /// How long a keeper waits, by its own clock, before a session that was not renewed has ended for its member too.
    ///
    /// A member's clock may run slow by the bound and a keeper's fast, so that both differences are added. What is
    /// rounded is rounded up, and one microsecond more covers both readings.
    pub fn expiry_wait(&self) -> Micros {
        self.lease_duration + (self.lease_duration * 2 * self.max_clock_skew_ppm).div_ceil(1_000_000) + 1
    }

    /// How long a member with this many short lives in a row has to stay before it may own a duty.
    pub fn stability_period_after(&self, consecutive_short_sessions: u8) -> Micros {
        self.stability_period << consecutive_short_sessions.min(5)
    }
}
