//! Time as the engine counts it: whole microseconds of Unix time, on a monotonic clock.

use std::time::{Duration, Instant, SystemTime};

use dispatch_core::api::Seconds;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// A span in seconds as microseconds.
pub fn micros(seconds: Seconds) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// A span in microseconds as seconds.
pub(super) fn seconds(span: Micros) -> Seconds {
    span as f64 / 1e6
}

/// The monotonic clock, anchored once to Unix time: the module's turns at cold workers use a clock that all
/// dispatchers share, and workers tell their start in Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    anchor: Micros,
}

impl Clock {
    /// Anchors the clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), anchor: unix.as_micros() as Micros }
    }

    /// Microseconds of Unix time, as of the anchor.
    pub fn now(&self) -> Micros {
        self.anchor + self.start.elapsed().as_micros() as Micros
    }

    /// That time for the runtime's timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(self.anchor))).into()
    }
}
