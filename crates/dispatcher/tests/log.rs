//! The log: levels by target, the limits on the length and rate of lines, and a log reader that stops reading.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dispatcher::log::{
    parse_levels, subscriber, Format, LineWriter, RateLimit, MAX_LINES_PER_SECOND, MAX_LINE_BYTES,
    MAX_QUEUED_LINES,
};
use tracing_appender::non_blocking::NonBlockingBuilder;

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic while writing").extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the lines that are logged by `log_events` at these levels.
fn logged(levels: &str, format: Format, log_events: impl FnOnce()) -> Vec<String> {
    let sink = Sink::default();
    let (subscriber, guard) = subscriber(sink.clone(), parse_levels(levels).expect("levels"), format);
    tracing::subscriber::with_default(subscriber, log_events);
    drop(guard);
    let text = String::from_utf8(sink.0.lock().expect("written").clone()).expect("text");
    text.lines().map(str::to_owned).collect()
}

#[test]
fn levels_apply_by_target() {
    let lines = logged("warn,verbose=debug", Format::Text, || {
        tracing::info!("hidden");
        tracing::debug!(target: "verbose", worker = 3, "shown");
    });
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("shown worker=3"), "{lines:?}");
}

#[test]
fn text_with_line_breaks_is_logged_as_one_bounded_json_line() {
    let lines = logged("info", Format::Json, || tracing::warn!("a\r\n{}", "b".repeat(5000)));
    assert_eq!(lines.len(), 1);
    assert!(lines[0].len() <= MAX_LINE_BYTES && lines[0].contains("\"level\":\"WARN\""), "{lines:?}");
}

/// 10,000 events arrive at the same time, as in an attack that causes a line for each request. Only as many lines as
/// the limit allows must be admitted, and the dropped ones must be counted once.
#[test]
fn lines_per_second_are_limited_and_dropped_ones_are_counted() {
    let rate_limit = RateLimit::new();
    let start = Instant::now();
    let admitted = (0..10_000).filter(|_| rate_limit.admit(start)).count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert!(rate_limit.admit(start + Duration::from_millis(1001)), "a new window must admit lines");
    assert_eq!((rate_limit.take_dropped(), rate_limit.take_dropped()), (10_000 - MAX_LINES_PER_SECOND, 0));
}

/// The log reader stops reading, so that the writer thread blocks. Threads that log must not block: lines over the
/// limit of the queue are dropped.
#[test]
fn a_blocked_log_reader_does_not_block_logging() {
    struct BlockedSink(std::sync::mpsc::Receiver<()>);
    impl Write for BlockedSink {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.0.recv();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (release, released) = std::sync::mpsc::channel();
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(BlockedSink(released));
    let mut lines = LineWriter::new(writer.clone(), Arc::new(RateLimit::new()), Format::Text);
    for _ in 0..10 * MAX_QUEUED_LINES {
        lines.write_all(b"a line\n").expect("never fails");
    }
    assert!(writer.error_counter().dropped_lines() >= 8 * MAX_QUEUED_LINES);
    drop(release);
    drop(guard);
}
