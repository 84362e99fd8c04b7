//! Splits a body into lines, regardless of the pieces in which it arrives.

use bytes::{Bytes, BytesMut};

use super::Malformed;

/// Buffer of a body that is split into lines.
#[derive(Debug, Default)]
pub struct Lines(BytesMut);

impl Lines {
    /// Adds a piece of the body.
    ///
    /// # Errors
    /// Returns [`Malformed::BodyTooLarge`] if a line is longer than `max_length`.
    pub fn add(&mut self, piece: Bytes, max_length: usize) -> Result<(), Malformed> {
        match piece.try_into_mut() {
            // No other slice of the buffer exists and no partial line is pending: no copy is needed.
            Ok(piece) if self.0.is_empty() => self.0 = piece,
            Ok(piece) => self.0.extend_from_slice(&piece),
            Err(piece) => self.0.extend_from_slice(&piece),
        }
        match self.0.iter().position(|byte| *byte == b'\n') {
            None if self.0.len() > max_length => Err(Malformed::BodyTooLarge),
            _ => Ok(()),
        }
    }

    /// Returns the next complete line without its line end.
    pub fn next_line(&mut self) -> Option<Bytes> {
        let end = self.0.iter().position(|byte| *byte == b'\n')?;
        let line = self.0.split_to(end + 1).freeze();
        let length = line[..end].strip_suffix(b"\r").map_or(end, <[u8]>::len);
        Some(line.slice(..length))
    }

    /// Returns what remains once the body has ended: a last line without a line end.
    pub fn rest(&mut self) -> Bytes {
        self.0.split().freeze()
    }
}
