//! The log: `tracing` events as lines of text or JSON on standard error, rate-limited and written by a separate thread.
//!
//! Under overload, logging each error would take up the CPU core, and a log reader that stops reading would block the
//! program. Events over the rate limit are therefore dropped before they are formatted, and the next line reports their
//! number. At most [`MAX_QUEUED_LINES`] lines wait for the writer thread; further ones are dropped without a report.

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
    /// The text is not the name of a format.
    #[error("expected text or json, found '{0}'")]
    Format(String),
    /// The text is neither a level nor a list of targets with levels.
    #[error("'{text}': {error}")]
    Levels {
        /// The text as given.
        text: String,
        /// Error of the parser.
        error: tracing_subscriber::filter::ParseError,
    },
    /// The text is empty.
    #[error("expected a level such as info, or target=level")]
    NoLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line.
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

/// Returns a subscriber that writes to `sink`, and the guard of its writer thread. When the guard is dropped, it waits
/// a short time for the queued lines to be written.
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
    // Levels are the outer filter, so that events that they disable do not count against the rate limit.
    let layer = layer.with_filter(RateLimitFilter(rate_limit)).with_filter(levels);
    (Registry::default().with(layer), guard)
}

/// Writes the program's events to standard error. The guard must be kept until the end of `main`.
pub fn init(levels: Targets, format: Format) -> WorkerGuard {
    let (subscriber, guard) = subscriber(io::stderr(), levels, format);
    // Fails only if a subscriber is already set; that one stays in place.
    let _ = tracing::subscriber::set_global_default(subscriber);
    guard
}
