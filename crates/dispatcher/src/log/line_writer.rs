//! Events as single lines of bounded length, handed to the thread that writes them.

use std::io::{self, Write};
use std::sync::Arc;

use tracing_appender::non_blocking::NonBlocking;
use tracing_subscriber::fmt::MakeWriter;

use super::rate_limit::RateLimit;
use super::Format;

/// Maximum length of a line: longer ones are cut, since they may hold what a peer sent.
pub const MAX_LINE_BYTES: usize = 1024;

/// Hands lines to the thread that writes, each preceded by the number of lines that the rate limit dropped, if any.
#[derive(Clone, Debug)]
pub struct LineWriter {
    writer: NonBlocking,
    rate_limit: Arc<RateLimit>,
    format: Format,
}

impl LineWriter {
    /// Creates a writer of lines in this format.
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

/// Returns an event as one line of bounded length, so that text of a peer cannot forge a line of the log.
fn single_line(event: &[u8]) -> Vec<u8> {
    let text = event.strip_suffix(b"\n").unwrap_or(event);
    let blank = |&byte: &u8| if byte.is_ascii_control() { b' ' } else { byte };
    let mut line: Vec<u8> = text.iter().take(MAX_LINE_BYTES).map(blank).collect();
    line.push(b'\n');
    line
}
