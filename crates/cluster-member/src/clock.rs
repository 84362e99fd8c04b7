//! The clock of leases: monotonic, counts the time that a machine was suspended, and is no time of day.

use std::hash::{BuildHasher, Hasher, RandomState};

use coordination::Micros;
use rustix::time::{clock_gettime, ClockId};

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Microseconds since the machine started.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * MICROS_PER_SECOND + time.tv_nsec.unsigned_abs() / NANOS_PER_MICRO
}

/// A number that no other process draws, from the system's own randomness: a seed that is configured would be the same
/// again after a restart.
pub fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}
