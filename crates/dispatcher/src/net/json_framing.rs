//! Splits a stream into JSON values in any layout: one per line, indented over several lines, or several on one line.
//! The splitter does no I/O.

use bytes::{Buf as _, Bytes, BytesMut};

use super::http::Malformed;

/// The next part of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    /// Text of a value; it is not parsed, and may be invalid JSON.
    Value(Bytes),
    /// An empty line between values.
    Blank,
}

/// Splits the stream. Each byte is scanned once, regardless of the pieces in which the stream arrives.
#[derive(Debug, Default)]
pub struct JsonStream {
    /// Bytes not yet returned; a value that has begun starts at the first one.
    buffer: BytesMut,
    /// Number of bytes of the buffer that were scanned.
    scanned: usize,
    /// Number of brackets of the value that are open.
    depth: usize,
    /// The scan is inside a string.
    in_string: bool,
    /// The scan is right after a backslash in a string.
    escaped: bool,
    /// The current line contained a value.
    line_has_value: bool,
}

impl JsonStream {
    /// Adds a piece of the stream.
    ///
    /// # Errors
    /// Returns [`Malformed::BodyTooLarge`] if a value is longer than `max_length`.
    pub fn push(&mut self, piece: &[u8], max_length: usize) -> Result<(), Malformed> {
        self.buffer.extend_from_slice(piece);
        // Scanned bytes that are still in the buffer belong to one value that has not ended.
        if self.scanned > max_length {
            return Err(Malformed::BodyTooLarge);
        }
        Ok(())
    }

    /// Returns the next value or empty line once it is complete.
    pub fn next_token(&mut self) -> Option<Token> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            let token = if self.in_string {
                self.scan_in_string(byte)
            } else if self.scanned == 0 && is_whitespace(byte) {
                self.skip_whitespace(byte)
            } else {
                self.scan_outside_string(byte)
            };
            if token.is_some() {
                return token;
            }
        }
        None
    }

    /// Scans a byte of a string.
    fn scan_in_string(&mut self, byte: u8) -> Option<Token> {
        self.scanned += 1;
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            // JSON strings contain no line ends. The text is invalid, its end cannot be found, and it is returned as it
            // is.
            b'\n' => return Some(self.split_value(0)),
            _ => {}
        }
        None
    }

    /// Drops a byte of whitespace between values.
    fn skip_whitespace(&mut self, byte: u8) -> Option<Token> {
        self.buffer.advance(1);
        if byte != b'\n' {
            return None;
        }
        let line_had_value = std::mem::take(&mut self.line_has_value);
        (!line_had_value).then_some(Token::Blank)
    }

    /// Scans a byte of a value outside of its strings.
    fn scan_outside_string(&mut self, byte: u8) -> Option<Token> {
        self.scanned += 1;
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                if self.depth == 0 {
                    return Some(self.split_value(0));
                }
            }
            // Outside of brackets a value ends with its line.
            b'\n' if self.depth == 0 => return Some(self.split_value(1)),
            _ => {}
        }
        None
    }

    /// Returns what remains once the stream has ended: an incomplete value, or nothing.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = self.buffer.len();
        self.split_scanned(0)
    }

    /// Takes the scanned bytes off the buffer as a value, except for the last `excluded` ones.
    fn split_value(&mut self, excluded: usize) -> Token {
        Token::Value(self.split_scanned(excluded))
    }

    fn split_scanned(&mut self, excluded: usize) -> Bytes {
        let value = self.buffer.split_to(self.scanned - excluded).freeze();
        self.scanned = 0;
        self.depth = 0;
        self.in_string = false;
        self.escaped = false;
        self.line_has_value = true;
        value
    }
}

/// Returns whether a byte is JSON whitespace.
fn is_whitespace(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}
