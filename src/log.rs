//! The log: lines on standard error, so many a second at the most. Under overload a dispatcher that logs each
//! mishap would spend its core, and its memory where the reader is slow, on telling so.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The most lines in one second.
const MOST: u32 = 20;

thread_local! {
    static WINDOW: Cell<Option<(Instant, u32)>> = const { Cell::new(None) };
}

/// Writes a line, or leaves it out where there were too many.
pub fn line(words: &str) {
    let now = Instant::now();
    let (since, count) = match WINDOW.get() {
        Some((since, count)) if now.duration_since(since) < Duration::from_secs(1) => (since, count),
        before => {
            let left_out = before.map_or(0, |(_, count)| count.saturating_sub(MOST));
            if left_out > 0 {
                eprintln!("cairncrank: {left_out} lines left out");
            }
            (now, 0)
        }
    };
    WINDOW.set(Some((since, count + 1)));
    if count < MOST {
        eprintln!("cairncrank: {}", words.replace(['\n', '\r'], " "));
    }
}
