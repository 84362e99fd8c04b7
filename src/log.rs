//! The log: lines on standard error, so many a second at the most, written by a thread of their own.
//!
//! Under overload a dispatcher that logs each mishap would spend its core on telling so, and one that waits for
//! a reader that does not read would stand still. Lines that find no room are left out.

use std::cell::Cell;
use std::io::Write as _;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The most lines in one second, and the most that wait to be written.
const MOST: u32 = 20;
const WAITING: usize = 64;

thread_local! {
    static WINDOW: Cell<Option<(Instant, u32)>> = const { Cell::new(None) };
}

/// The way to the thread that writes.
fn writer() -> &'static SyncSender<String> {
    static WRITER: OnceLock<SyncSender<String>> = OnceLock::new();
    WRITER.get_or_init(|| {
        let (sender, lines) = sync_channel::<String>(WAITING);
        std::thread::spawn(move || {
            for line in lines {
                // Standard error may be closed: that is no reason to end.
                let _ = writeln!(std::io::stderr(), "cairncrank: {line}");
            }
        });
        sender
    })
}

/// Writes a line, or leaves it out where there are too many.
pub fn line(words: &str) {
    let now = Instant::now();
    let (since, count) = match WINDOW.get() {
        Some((since, count)) if now.duration_since(since) < Duration::from_secs(1) => (since, count),
        before => {
            let left_out = before.map_or(0, |(_, count)| count.saturating_sub(MOST));
            if left_out > 0 {
                let _ = writer().try_send(format!("{left_out} lines left out"));
            }
            (now, 0)
        }
    };
    WINDOW.set(Some((since, count.saturating_add(1))));
    if count < MOST {
        let _ = writer().try_send(words.replace(['\n', '\r'], " "));
    }
}
