//! Splits a body into lines, regardless of the pieces in which it arrives.

use bytes::{Bytes, BytesMut};

use super::Malformed;

/// Buffer of a body that is split into lines. Each byte is searched once for the end of its line, however small the
/// pieces are.
#[derive(Debug, Default)]
pub struct Lines {
    /// Bytes that were not returned yet.
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that contain no line end.
    searched: usize,
}

impl Lines {
    /// Adds a piece of the body.
    ///
    /// # Errors
    /// Returns [`Malformed::BodyTooLarge`] if a line is longer than `max_length`.
    pub fn add(&mut self, piece: Bytes, max_length: usize) -> Result<(), Malformed> {
        match piece.try_into_mut() {
            // No other slice of the buffer exists and no partial line is pending: no copy is needed.
            Ok(piece) if self.buffer.is_empty() => self.buffer = piece,
            Ok(piece) => self.append(&piece, max_length),
            Err(piece) => self.append(&piece, max_length),
        }
        match self.line_end() {
            None if self.buffer.len() > max_length => Err(Malformed::BodyTooLarge),
            _ => Ok(()),
        }
    }

    /// Appends a piece. The buffer grows to twice its length, but not beyond `max_length` unless the piece needs it: no
    /// more than that is reserved for it.
    fn append(&mut self, piece: &[u8], max_length: usize) {
        let needed = self.buffer.len() + piece.len();
        if needed > self.buffer.capacity() {
            let capacity = needed.max(max_length.min(2 * self.buffer.len()));
            let mut grown = BytesMut::with_capacity(capacity);
            grown.extend_from_slice(&self.buffer);
            self.buffer = grown;
        }
        self.buffer.extend_from_slice(piece);
    }

    /// Returns the number of bytes that were not returned yet.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether all bytes were returned.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next complete line without its line end.
    pub fn next_line(&mut self) -> Option<Bytes> {
        let end = self.line_end()?;
        let line = self.buffer.split_to(end + 1).freeze();
        self.searched = 0;
        let length = line[..end].strip_suffix(b"\r").map_or(end, <[u8]>::len);
        Some(line.slice(..length))
    }

    /// Returns what remains once the body has ended: a last line without a line end.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Returns the position of the first line end in the buffer.
    fn line_end(&mut self) -> Option<usize> {
        let found = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let end = found.map(|position| self.searched + position);
        self.searched = end.unwrap_or(self.buffer.len());
        end
    }
}
