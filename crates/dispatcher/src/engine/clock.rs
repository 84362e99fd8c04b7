//! Time of the engine: microseconds of Unix time, read from a monotonic clock.

use std::time::{Duration, Instant, SystemTime};

use dispatch_core::api::Seconds;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Converts seconds to microseconds.
pub fn micros(seconds: Seconds) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// Converts microseconds to seconds.
pub(super) fn seconds(span: Micros) -> Seconds {
    span as f64 / 1e6
}

/// A monotonic clock that was anchored once to Unix time. All dispatchers must agree on Unix time, because it defines
/// their time slices at workers in slow start, and discovery states the start times of workers in it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    anchor: Micros,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), anchor: unix.as_micros() as Micros }
    }

    /// Returns the current Unix time.
    pub fn now(&self) -> Micros {
        self.anchor + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant for the runtime's timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(self.anchor))).into()
    }
}
