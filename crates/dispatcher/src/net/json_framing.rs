//! Cuts a stream of JSON values, however they are laid out: one a line, indented over many, or several on one line.
//! It does no I/O.

use bytes::{Bytes, BytesMut};

use super::http::Malformed;

/// What comes next in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Token {
    /// A value, not parsed yet; also what can be none, which the parser then tells.
    Value(Bytes),
    /// An empty line between values.
    Blank,
}

/// Cuts the stream. Each byte is looked at once, whatever pieces the bytes come in.
#[derive(Debug, Default)]
pub struct JsonStream {
    buf: BytesMut,
    /// So much of the buffer was looked at; where a value has begun, it begins at the buffer's start.
    scanned: usize,
    /// Open brackets of the value.
    depth: usize,
    /// Within the quotes of a string, and right after a backslash there.
    in_string: bool,
    escaped: bool,
    /// The present line held a value.
    line_has_value: bool,
}

impl JsonStream {
    /// Adds a piece of the stream.
    ///
    /// # Errors
    /// A value has grown longer than `longest`.
    pub fn push(&mut self, piece: &[u8], longest: usize) -> Result<(), Malformed> {
        self.buf.extend_from_slice(piece);
        // What was looked at and not taken is one value that has not ended.
        if self.scanned > longest {
            return Err(Malformed::BodyTooLarge);
        }
        Ok(())
    }

    /// The next value or empty line, once it is all there.
    pub fn next_token(&mut self) -> Option<Token> {
        while let Some(&byte) = self.buf.get(self.scanned) {
            let begun = self.scanned > 0;
            self.scanned += 1;
            if self.in_string {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.in_string = false,
                    // No string holds an end of line: this is no value, and waiting for its end is of no use.
                    b'\n' => return Some(self.split_value(0)),
                    _ => {}
                }
                continue;
            }
            match byte {
                b'\n' if !begun => {
                    let _ = self.buf.split_to(1);
                    self.scanned = 0;
                    if !std::mem::take(&mut self.line_has_value) {
                        return Some(Token::Blank);
                    }
                }
                b' ' | b'\t' | b'\r' if !begun => {
                    let _ = self.buf.split_to(1);
                    self.scanned = 0;
                }
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
        }
        None
    }

    /// What is left when the stream has ended: a value without its end, or nothing.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = self.buf.len();
        match self.split_value(0) {
            Token::Value(value) => value,
            Token::Blank => Bytes::new(),
        }
    }

    /// Takes the value that was looked at, less so many bytes, off the buffer.
    fn split_value(&mut self, less: usize) -> Token {
        let value = self.buf.split_to(self.scanned - less).freeze();
        (self.scanned, self.depth, self.in_string, self.escaped, self.line_has_value) =
            (0, 0, false, false, true);
        Token::Value(value)
    }
}
