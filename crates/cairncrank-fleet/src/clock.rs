//! The one clock of leases: it only grows, counts what a machine slept, and knows nothing of the time of day.

use cairncrank_duty::Micros;
use rustix::time::{clock_gettime, ClockId};

/// Microseconds since the machine started.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * 1_000_000 + time.tv_nsec.unsigned_abs() / 1_000
}
