//! The one clock of leases: it only grows, counts what a machine slept, and knows nothing of the time of day.

use std::hash::{BuildHasher, Hasher, RandomState};

use coordination::Micros;
use rustix::time::{clock_gettime, ClockId};

/// Microseconds since the machine started.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * 1_000_000 + time.tv_nsec.unsigned_abs() / 1_000
}

/// A number that no other process draws, from the system's own randomness: a seed that is configured would be the same
/// again after a restart.
pub fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}
