//! The log: `tracing` events as lines of text or JSON on standard error, so many a second at the most, written by a
//! thread of their own.
//!
//! Under overload a dispatcher that logs each fault would spend its core on telling so, and one that waits for a
//! reader that does not read would stand still. Lines over the bound are counted before they are formatted, and the
//! next line that is written says how many were left out. Between the program and the thread that writes, so many
//! lines wait at the most; what finds no room is left out as well.

use std::io::{self, Write};
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt as _};
use tracing_subscriber::{Layer as _, Registry};

/// The most lines written in one second.
pub const MAX_LINES_PER_SECOND: u32 = 20;
/// The most lines that wait to be written.
pub const MAX_QUEUED_LINES: usize = 64;
/// A longer line is cut: what a peer sends may stand in it.
pub const MAX_LINE_BYTES: usize = 1024;

/// Why a word given for the log cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LogArgumentError {
    /// It names no format of lines.
    #[error("expected text or json, found '{0}'")]
    Format(String),
    /// It is no level, or no target with a level.
    #[error("'{words}': {error}")]
    Levels {
        /// What was given.
        words: String,
        /// Where it is wrong.
        error: tracing_subscriber::filter::ParseError,
    },
    /// Nothing was given.
    #[error("expected a level such as info, or target=level")]
    NoLevel,
}

/// How lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Format {
    type Err = LogArgumentError;

    fn from_str(word: &str) -> Result<Self, LogArgumentError> {
        match word {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(LogArgumentError::Format(other.to_owned())),
        }
    }
}

/// Targets under the names that the packages had before, and the packages that each stands for now.
const FORMER_TARGETS: [(&str, &[&str]); 5] = [
    ("cairncrank", &["dispatcher", "dispatch_core", "coordination", "disruption_budget", "cluster_member"]),
    ("cairncrank_core", &["dispatch_core"]),
    ("cairncrank_duty", &["coordination"]),
    ("cairncrank_release", &["disruption_budget"]),
    ("cairncrank_fleet", &["cluster_member"]),
];

/// Reads levels by target, such as `info` or `warn,dispatcher::net=debug`. Targets under former names count for the
/// present ones, which win where both are given.
///
/// # Errors
/// What is no level and no target.
pub fn parse_levels(words: &str) -> Result<Targets, LogArgumentError> {
    let targets = words
        .parse::<Targets>()
        .map_err(|error| LogArgumentError::Levels { words: words.to_owned(), error })?;
    if words.trim().is_empty() {
        return Err(LogArgumentError::NoLevel);
    }
    let former = targets
        .iter()
        .flat_map(|(target, level)| present_targets(target).into_iter().map(move |present| (present, level)));
    let present: Vec<_> = targets.iter().map(|(target, level)| (target.to_owned(), level)).collect();
    let translated = former.collect::<Targets>().with_targets(present);
    Ok(match targets.default_level() {
        Some(level) => translated.with_default(level),
        None => translated,
    })
}

/// What a target under a former name stands for now; nothing where it is none.
fn present_targets(target: &str) -> Vec<String> {
    let (package, path) = match target.split_once("::") {
        Some((package, path)) => (package, format!("::{path}")),
        None => (target, String::new()),
    };
    let former = FORMER_TARGETS.iter().find(|(former, _)| *former == package);
    let present = former.map_or(&[][..], |(_, present)| present);
    // A module is one of the first package; only the bare name stands for all.
    let count = if path.is_empty() { present.len() } else { 1 };
    present.iter().take(count).map(|package| format!("{package}{path}")).collect()
}

/// The levels where none are given: all that tells an operator something.
pub fn default_levels() -> Targets {
    Targets::new().with_default(LevelFilter::INFO)
}

/// The bound of lines a second.
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
    /// A second in which no line was written yet.
    pub fn new() -> RateLimit {
        RateLimit(Mutex::new(Window { started_at: Instant::now(), lines: 0, dropped: 0 }))
    }

    fn window(&self) -> std::sync::MutexGuard<'_, Window> {
        // A panic while counting leaves counts that are as good as any.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Takes a line's place in this second, or counts it as left out.
    pub fn admit(&self, now: Instant) -> bool {
        let mut window = self.window();
        if now.duration_since(window.started_at) >= Duration::from_secs(1) {
            (window.started_at, window.lines) = (now, 0);
        }
        let admitted = window.lines < MAX_LINES_PER_SECOND;
        if admitted {
            window.lines += 1;
        } else {
            window.dropped = window.dropped.saturating_add(1);
        }
        admitted
    }

    /// How many lines were left out since this was asked last.
    pub fn take_dropped(&self) -> u32 {
        std::mem::take(&mut self.window().dropped)
    }
}

/// Keeps events over the limit from being formatted.
struct RateLimitFilter(Arc<RateLimit>);

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.0.admit(Instant::now())
    }
}

/// Hands whole lines to the thread that writes.
#[derive(Clone, Debug)]
pub struct LineWriter {
    writer: NonBlocking,
    rate_limit: Arc<RateLimit>,
    format: Format,
}

impl LineWriter {
    /// Writes lines in this format, and how many the limit left out before each.
    pub fn new(writer: NonBlocking, rate_limit: Arc<RateLimit>, format: Format) -> LineWriter {
        LineWriter { writer, rate_limit, format }
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        self.clone()
    }
}

impl Write for LineWriter {
    fn write(&mut self, event: &[u8]) -> io::Result<usize> {
        let dropped = self.rate_limit.take_dropped();
        if dropped > 0 {
            let line = match self.format {
                Format::Text => format!("{dropped} lines left out\n"),
                Format::Json => format!("{{\"level\":\"WARN\",\"left_out\":{dropped}}}\n"),
            };
            self.writer.write_all(line.as_bytes())?;
        }
        self.writer.write_all(&single_line(event))?;
        Ok(event.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An event as one line of bounded length: words of a peer must not look like lines of ours.
fn single_line(event: &[u8]) -> Vec<u8> {
    let text = event.strip_suffix(b"\n").unwrap_or(event);
    let blank = |&byte: &u8| if byte.is_ascii_control() { b' ' } else { byte };
    let mut line: Vec<u8> = text.iter().take(MAX_LINE_BYTES).map(blank).collect();
    line.push(b'\n');
    line
}

/// A subscriber that writes to `sink`, and the guard that ends its thread: dropped, it waits a moment for the lines
/// that are on their way.
pub fn subscriber<W: Write + Send + 'static>(
    sink: W,
    levels: Targets,
    format: Format,
) -> (impl Subscriber + Send + Sync, WorkerGuard) {
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES).finish(sink);
    let rate_limit = Arc::new(RateLimit::new());
    let lines = LineWriter::new(writer, Arc::clone(&rate_limit), format);
    let plain = tracing_subscriber::fmt::layer().with_writer(lines).with_ansi(false);
    let layer = match format {
        Format::Text => plain.boxed(),
        Format::Json => plain.json().flatten_event(true).with_span_list(false).boxed(),
    };
    // The levels stand outside: what they leave out takes no place under the limit.
    (Registry::default().with(layer.with_filter(RateLimitFilter(rate_limit)).with_filter(levels)), guard)
}

/// Sends the program's events to standard error. The guard belongs to the end of `main`.
pub fn init(levels: Targets, format: Format) -> WorkerGuard {
    let (subscriber, guard) = subscriber(io::stderr(), levels, format);
    // Only a second start could fail, and then the first one holds.
    let _ = tracing::subscriber::set_global_default(subscriber);
    guard
}
