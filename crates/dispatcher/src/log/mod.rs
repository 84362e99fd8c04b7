//! The log: `tracing` events as lines of text or JSON on standard error, rate-limited and written by a thread of their
//! own.
//!
//! Under overload, logging each fault would take up the core, and a reader that does not read would block the program.
//! Events over the rate limit are counted before they are formatted, and the next line reports how many were dropped.
//! At most [`MAX_QUEUED_LINES`] wait for the thread that writes; further ones are dropped as well.

mod levels;
mod line_writer;
mod rate_limit;

use std::io::{self, Write};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Instant;

use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt as _};
use tracing_subscriber::{Layer as _, Registry};

pub use levels::{default_levels, parse_levels};
pub use line_writer::{LineWriter, MAX_LINE_BYTES};
pub use rate_limit::{RateLimit, MAX_LINES_PER_SECOND};

/// Maximum number of lines that wait to be written.
pub const MAX_QUEUED_LINES: usize = 64;

/// An invalid argument of `--log` or `--log-format`.
#[derive(Debug, thiserror::Error)]
pub enum LogArgumentError {
    /// The text names no format of lines.
    #[error("expected text or json, found '{0}'")]
    Format(String),
    /// The text holds neither a level nor targets with levels.
    #[error("'{text}': {error}")]
    Levels {
        /// The argument.
        text: String,
        /// The fault that the parser found in it.
        error: tracing_subscriber::filter::ParseError,
    },
    /// The text is empty.
    #[error("expected a level such as info, or target=level")]
    NoLevel,
}

/// Format of lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Format {
    type Err = LogArgumentError;

    fn from_str(name: &str) -> Result<Self, LogArgumentError> {
        match name {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(LogArgumentError::Format(other.to_owned())),
        }
    }
}

/// Drops events over the rate limit before they are formatted.
struct RateLimitFilter(Arc<RateLimit>);

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.0.admit(Instant::now())
    }
}

/// Returns a subscriber that writes to `sink`, and the guard of its thread: when dropped, it waits a moment for the
/// queued lines.
pub fn subscriber<W: Write + Send + 'static>(
    sink: W,
    levels: Targets,
    format: Format,
) -> (impl Subscriber + Send + Sync, WorkerGuard) {
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES).finish(sink);
    let rate_limit = Arc::new(RateLimit::new());
    let lines = LineWriter::new(writer, Arc::clone(&rate_limit), format);
    let layer = tracing_subscriber::fmt::layer().with_writer(lines).with_ansi(false);
    let layer = match format {
        Format::Text => layer.boxed(),
        Format::Json => layer.json().flatten_event(true).with_span_list(false).boxed(),
    };
    // Levels are the outer filter, so that events below them do not count against the rate limit.
    let layer = layer.with_filter(RateLimitFilter(rate_limit)).with_filter(levels);
    (Registry::default().with(layer), guard)
}

/// Sends the program's events to standard error. The guard must live until the end of `main`.
pub fn init(levels: Targets, format: Format) -> WorkerGuard {
    let (subscriber, guard) = subscriber(io::stderr(), levels, format);
    // Fails only if a subscriber is set already, which then stays in place.
    let _ = tracing::subscriber::set_global_default(subscriber);
    guard
}
