//! The log: levels by target, lines of bounded length and number, and a reader that does not read.

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

fn logged(levels: &str, format: Format, say: impl FnOnce()) -> Vec<String> {
    let sink = Sink::default();
    let (subscriber, guard) = subscriber(sink.clone(), parse_levels(levels).expect("levels"), format);
    tracing::subscriber::with_default(subscriber, say);
    drop(guard);
    let text = String::from_utf8(sink.0.lock().expect("written").clone()).expect("text");
    text.lines().map(str::to_owned).collect()
}

#[test]
fn levels_are_by_target() {
    let lines = logged("warn,loud=debug", Format::Text, || {
        tracing::info!("hidden");
        tracing::debug!(target: "loud", worker = 3, "shown");
    });
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("shown worker=3"), "{lines:?}");
}

#[test]
fn what_a_peer_sends_stays_in_one_json_line() {
    let lines = logged("info", Format::Json, || tracing::warn!("a\r\n{}", "b".repeat(5000)));
    assert_eq!(lines.len(), 1);
    assert!(lines[0].len() <= MAX_LINE_BYTES && lines[0].contains("\"level\":\"WARN\""), "{lines:?}");
}

/// An attack that causes a line each time gets the bound of lines; those left out take no place by level.
#[test]
fn lines_a_second_are_bounded_and_the_rest_is_counted() {
    let budget = RateLimit::new();
    let start = Instant::now();
    let taken = (0..10_000).filter(|_| budget.admit(start)).count();
    assert_eq!(taken, MAX_LINES_PER_SECOND as usize);
    assert!(budget.admit(start + Duration::from_millis(1001)), "the next second has room");
    assert_eq!((budget.take_dropped(), budget.take_dropped()), (10_000 - MAX_LINES_PER_SECOND, 0));
}

/// A reader that does not read holds up the thread that writes, and nothing else.
#[test]
fn a_reader_that_does_not_read_stops_nobody() {
    struct Stuck(std::sync::mpsc::Receiver<()>);
    impl Write for Stuck {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.0.recv();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (release, stuck) = std::sync::mpsc::channel();
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES).finish(Stuck(stuck));
    let mut lines = LineWriter::new(writer.clone(), Arc::new(RateLimit::new()), Format::Text);
    for _ in 0..10 * MAX_QUEUED_LINES {
        lines.write_all(b"a line\n").expect("never fails");
    }
    assert!(writer.error_counter().dropped_lines() >= 8 * MAX_QUEUED_LINES);
    drop(release);
    drop(guard);
}
