//! Clock of leases: monotonic, includes the time that the machine was suspended, and is independent of the time of day.

use std::hash::{BuildHasher, Hasher, RandomState};

use coordination::Micros;
use rustix::time::{clock_gettime, ClockId};

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the microseconds since the machine started.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * MICROS_PER_SECOND + time.tv_nsec.unsigned_abs() / NANOS_PER_MICRO
}

/// Draws an id for this process from the system's randomness. A configured seed would give the same id after a restart.
pub fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}
