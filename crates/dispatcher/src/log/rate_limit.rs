//! Limit on the number of log lines per second.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of lines written in one second.
pub const MAX_LINES_PER_SECOND: u32 = 20;

/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Admits up to [`MAX_LINES_PER_SECOND`] lines in each window of one second, and counts the others as dropped.
#[derive(Debug)]
pub struct RateLimit(Mutex<Window>);

#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
    dropped: u32,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl RateLimit {
    /// Creates a limit whose first window starts now.
    pub fn new() -> RateLimit {
        RateLimit(Mutex::new(Window { started_at: Instant::now(), lines: 0, dropped: 0 }))
    }

    fn window(&self) -> MutexGuard<'_, Window> {
        // The counts are valid even after a panic of the thread that held the lock, so poisoning is ignored.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns true if a line may be written at this time, else counts it as dropped.
    pub fn admit(&self, now: Instant) -> bool {
        let mut window = self.window();
        if now.duration_since(window.started_at) >= WINDOW {
            window.started_at = now;
            window.lines = 0;
        }
        let admitted = window.lines < MAX_LINES_PER_SECOND;
        if admitted {
            window.lines += 1;
        } else {
            window.dropped = window.dropped.saturating_add(1);
        }
        admitted
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u32 {
        std::mem::take(&mut self.window().dropped)
    }
}
