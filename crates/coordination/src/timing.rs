//! Durations of sessions, leases and elections, validated against each other.

use serde::{Deserialize, Serialize};

use crate::Micros;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// Maximum clock skew that can be configured: 10 %.
const MAX_CLOCK_SKEW_PPM: u64 = 100_000;

/// Minimum number of heartbeats in an election timeout.
const MIN_HEARTBEATS_PER_ELECTION: u64 = 4;

/// Minimum number of renewals in the duration of a session.
const MIN_RENEWALS_PER_LEASE: u64 = 3;

/// Minimum number of call timeouts in the duration of a session.
const MIN_CALLS_PER_LEASE: u64 = 2;

/// Minimum number of election timeouts in the duration of a session.
const MIN_ELECTIONS_PER_LEASE: u64 = 2;

/// Maximum number of times that consecutive short sessions double the stability period.
const MAX_STABILITY_DOUBLINGS: u8 = 5;

/// Durations in microseconds, the same for all replicas and members of one installation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timing {
    /// Duration of a session from the request of its latest renewal, by the member's clock.
    #[serde(rename = "lease")]
    pub lease_duration: Micros,
    /// Interval at which a member requests a renewal.
    #[serde(rename = "renew")]
    pub renewal_interval: Micros,
    /// Time that a member waits for the response of a replica before it tries another.
    #[serde(rename = "call")]
    pub call_timeout: Micros,
    /// Age from which a session may hold leases; doubled for each consecutive short session before it, up to five
    /// times.
    #[serde(rename = "stay")]
    pub stability_period: Micros,
    /// Age below which a session that ends counts as short.
    #[serde(rename = "short")]
    pub short_session_limit: Micros,
    /// Maximum difference between the rates of two clocks, in parts per million.
    #[serde(rename = "skew_ppm")]
    pub max_clock_skew_ppm: u64,
    /// Time that a follower waits for the leader before it starts an election.
    #[serde(rename = "election")]
    pub election_timeout: Micros,
    /// Interval at which the leader sends heartbeats.
    #[serde(rename = "heartbeat")]
    pub heartbeat_interval: Micros,
}

/// Error for two durations that contradict each other, with their settings keys.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key} conflicts with {against}: {problem}")]
pub struct TimingError {
    /// Settings key of the invalid duration.
    pub key: &'static str,
    /// Settings key of the duration that it contradicts.
    pub against: &'static str,
    /// The requirement, and the consequence of not meeting it.
    pub problem: &'static str,
}

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
    /// Checks that the durations are consistent.
    ///
    /// # Errors
    /// Returns [`TimingError`] with the first contradiction.
    pub fn validate(&self) -> Result<(), TimingError> {
        self.validate_election()?;
        self.validate_lease()?;
        self.validate_stability()?;
        require(
            self.max_clock_skew_ppm <= MAX_CLOCK_SKEW_PPM,
            TimingError {
                key: "skew_ppm",
                against: "lease",
                problem: "must be at most 100000, which is 10 %",
            },
        )
    }

    fn validate_election(&self) -> Result<(), TimingError> {
        require(
            self.heartbeat_interval != 0
                && self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION <= self.election_timeout,
            TimingError {
                key: "heartbeat",
                against: "election",
                problem:
                    "must be above 0 and at most a fourth of it, or one late heartbeat starts an election",
            },
        )
    }

    fn validate_lease(&self) -> Result<(), TimingError> {
        require(
            self.renewal_interval != 0
                && self.renewal_interval * MIN_RENEWALS_PER_LEASE <= self.lease_duration,
            TimingError {
                key: "renew",
                against: "lease",
                problem: "must be above 0 and at most a third of it, or one lost response ends a session",
            },
        )?;
        require(
            self.call_timeout != 0 && self.call_timeout * MIN_CALLS_PER_LEASE <= self.lease_duration,
            TimingError {
                key: "call",
                against: "lease",
                problem: "must be above 0 and at most half of it, or one unresponsive replica ends a session",
            },
        )?;
        require(
            self.election_timeout * MIN_ELECTIONS_PER_LEASE <= self.lease_duration,
            TimingError {
                key: "election",
                against: "lease",
                problem: "must be at most half of it, or every election ends sessions",
            },
        )
    }

    fn validate_stability(&self) -> Result<(), TimingError> {
        require(
            self.stability_period >= self.renewal_interval,
            TimingError {
                key: "stay",
                against: "renew",
                problem: "must be at least as long, or a member becomes stable before its first renewal",
            },
        )?;
        require(
            self.short_session_limit >= self.stability_period,
            TimingError {
                key: "short",
                against: "stay",
                problem: "must be at least as long, or no session is ever short",
            },
        )
    }

    /// Returns the time, by the leader's clock, after which a session that was not renewed has expired for its member
    /// too.
    ///
    /// The member's clock may run slow by the bound and the leader's fast, so both differences are added. The result
    /// is rounded up, with one microsecond more for the granularity of both readings.
    pub fn expiry_wait(&self) -> Micros {
        let skew = (self.lease_duration * 2 * self.max_clock_skew_ppm).div_ceil(PARTS_PER_MILLION);
        self.lease_duration + skew + 1
    }

    /// Returns the stability period of a member after this many consecutive short sessions.
    pub fn stability_period_after(&self, consecutive_short_sessions: u8) -> Micros {
        self.stability_period << consecutive_short_sessions.min(MAX_STABILITY_DOUBLINGS)
    }
}

/// Returns the error unless the condition holds.
fn require(condition: bool, error: TimingError) -> Result<(), TimingError> {
    if condition {
        Ok(())
    } else {
        Err(error)
    }
}
