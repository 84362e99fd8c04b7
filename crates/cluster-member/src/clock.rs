//! Clock by which leases are measured: monotonic, independent of the time of day, and running while the system is
//! suspended.

use std::hash::{BuildHasher, Hasher, RandomState};

use coordination::Micros;
use rustix::time::{clock_gettime, ClockId};

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the microseconds since the system booted.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * MICROS_PER_SECOND + time.tv_nsec.unsigned_abs() / NANOS_PER_MICRO
}

/// Draws an id for this process from the randomness of the system, not from a configured seed, because a seed would
/// give the same id after a restart.
pub fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}
