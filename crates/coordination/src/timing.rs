//! Durations of sessions, leases and elections, validated against each other.

use serde::{Deserialize, Serialize};

use crate::Micros;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// The largest clock skew that can be configured: a tenth.
const MAX_CLOCK_SKEW_PPM: u64 = 100_000;

/// Heartbeats that fit at least into an election timeout.
const MIN_HEARTBEATS_PER_ELECTION: u64 = 4;

/// Renewals that fit at least into a lease.
const MIN_RENEWALS_PER_LEASE: u64 = 3;

/// Calls that fit at least into a lease.
const MIN_CALLS_PER_LEASE: u64 = 2;

/// Election timeouts that fit at least into a lease.
const MIN_ELECTIONS_PER_LEASE: u64 = 2;

/// How often short sessions double the stability period at most.
const MAX_STABILITY_DOUBLINGS: u8 = 5;

/// All durations, in microseconds. Replicas and members of one installation have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timing {
    /// How long a session lasts after its renewal was requested, by the member's clock.
    #[serde(rename = "lease")]
    pub lease_duration: Micros,
    /// How often a member requests a renewal.
    #[serde(rename = "renew")]
    pub renewal_interval: Micros,
    /// How long a member waits for the response of a replica before it tries another.
    #[serde(rename = "call")]
    pub call_timeout: Micros,
    /// How long a session has to last before it may hold a lease; doubled for each short session before it.
    #[serde(rename = "stay")]
    pub stability_period: Micros,
    /// A session that ends before this age is short.
    #[serde(rename = "short")]
    pub short_session_limit: Micros,
    /// The largest difference between the rates of two clocks, in parts per million.
    #[serde(rename = "skew_ppm")]
    pub max_clock_skew_ppm: u64,
    /// How long a follower waits for the leader before it starts an election.
    #[serde(rename = "election")]
    pub election_timeout: Micros,
    /// How often the leader sends heartbeats.
    #[serde(rename = "heartbeat")]
    pub heartbeat_interval: Micros,
}

/// Two durations that contradict each other, under the names of their settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key} does not fit to {against}: {problem}")]
pub struct TimingError {
    /// The setting that is wrong.
    pub key: &'static str,
    /// The setting that it contradicts.
    pub against: &'static str,
    /// What is wanted, and what happens otherwise.
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
    /// Checks that the durations fit together.
    ///
    /// # Errors
    /// The first contradiction.
    pub fn validate(&self) -> Result<(), TimingError> {
        self.validate_election()?;
        self.validate_lease()?;
        self.validate_stability()?;
        require(
            self.max_clock_skew_ppm <= MAX_CLOCK_SKEW_PPM,
            ("skew_ppm", "lease"),
            "must be at most 100000, a tenth",
        )
    }

    fn validate_election(&self) -> Result<(), TimingError> {
        require(
            self.heartbeat_interval != 0
                && self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION <= self.election_timeout,
            ("heartbeat", "election"),
            "must be above 0 and at most a fourth of it, or one late heartbeat starts an election",
        )
    }

    fn validate_lease(&self) -> Result<(), TimingError> {
        require(
            self.renewal_interval != 0
                && self.renewal_interval * MIN_RENEWALS_PER_LEASE <= self.lease_duration,
            ("renew", "lease"),
            "must be above 0 and at most a third of it, or one lost response ends a session",
        )?;
        require(
            self.call_timeout != 0 && self.call_timeout * MIN_CALLS_PER_LEASE <= self.lease_duration,
            ("call", "lease"),
            "must be above 0 and at most half of it, or one unresponsive replica ends a session",
        )?;
        require(
            self.election_timeout * MIN_ELECTIONS_PER_LEASE <= self.lease_duration,
            ("election", "lease"),
            "must be at most half of it, or every election ends sessions",
        )
    }

    fn validate_stability(&self) -> Result<(), TimingError> {
        require(
            self.stability_period >= self.renewal_interval,
            ("stay", "renew"),
            "must be at least as long, or a member becomes stable before its first renewal",
        )?;
        require(
            self.short_session_limit >= self.stability_period,
            ("short", "stay"),
            "must be at least as long, or no session is ever short",
        )
    }

    /// How long the leader waits, by its own clock, until a session that was not renewed has ended for its member too.
    ///
    /// The member's clock may run slow by the bound and the leader's fast, so both differences are added. The result
    /// is rounded up, with one microsecond more for the granularity of both readings.
    pub fn expiry_wait(&self) -> Micros {
        let skew = (self.lease_duration * 2 * self.max_clock_skew_ppm).div_ceil(PARTS_PER_MILLION);
        self.lease_duration + skew + 1
    }

    /// The stability period of a member with this many short sessions in a row.
    pub fn stability_period_after(&self, consecutive_short_sessions: u8) -> Micros {
        self.stability_period << consecutive_short_sessions.min(MAX_STABILITY_DOUBLINGS)
    }
}

fn require(
    condition: bool,
    (key, against): (&'static str, &'static str),
    problem: &'static str,
) -> Result<(), TimingError> {
    if condition {
        Ok(())
    } else {
        Err(TimingError { key, against, problem })
    }
}
