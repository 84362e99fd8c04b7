//! Formats events as single lines of bounded length and passes them to the writer thread.

use std::io::{self, Write};
use std::sync::Arc;

use tracing_appender::non_blocking::NonBlocking;
use tracing_subscriber::fmt::MakeWriter;

use super::rate_limit::RateLimit;
use super::Format;

/// Maximum length of a line. Longer ones are truncated, because they may contain text that a peer sent.
pub const MAX_LINE_BYTES: usize = 1024;

/// Passes lines to the writer thread. If the rate limit has dropped lines, their number is written before the next
/// line.
#[derive(Clone, Debug)]
pub struct LineWriter {
    writer: NonBlocking,
    rate_limit: Arc<RateLimit>,
    format: Format,
}

impl LineWriter {
    /// Creates a writer; `format` is that of the line that reports dropped lines.
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
                Format::Text => format!("{dropped} lines dropped by the rate limit\n"),
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

/// Returns an event as one line of bounded length. Control characters become blanks, so that text from a peer cannot
/// forge a line of the log.
fn single_line(event: &[u8]) -> Vec<u8> {
    let text = event.strip_suffix(b"\n").unwrap_or(event);
    let blank = |&byte: &u8| if byte.is_ascii_control() { b' ' } else { byte };
    let mut line: Vec<u8> = text.iter().take(MAX_LINE_BYTES).map(blank).collect();
    line.push(b'\n');
    line
}
