//! Decoder of message bodies: sized, chunked, or ended by the close of the connection.

use bytes::{Bytes, BytesMut};

use super::{Framing, Malformed};

/// Maximum length in bytes of a trailer, or of a line with the size of a chunk and its extensions.
const MAX_CHUNK_LINE: usize = 4096;
/// Maximum number of digits in the size of a chunk: all such sizes fit 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
const HEXADECIMAL: u32 = 16;

/// A piece of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The next bytes of the body.
    Data(Bytes),
    /// The buffer is empty; more bytes must be read.
    More,
    /// The body is complete.
    End,
}

/// Decodes a body from the read buffer, piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decoder {
    /// This many bytes remain.
    Length(u64),
    /// The size of a chunk is next.
    Size,
    /// This many bytes of a chunk remain.
    Chunk(u64),
    /// The end of the line after a chunk is next.
    ChunkEnd,
    /// Trailers remain, up to an empty line.
    Trailers,
    /// All bytes up to the end of the connection remain.
    UntilClose,
}

impl Decoder {
    /// Creates the decoder of a body with this framing.
    pub fn new(framing: Framing) -> Decoder {
        match framing {
            Framing::Length(length) => Decoder::Length(length),
            Framing::Chunked => Decoder::Size,
            Framing::UntilClose => Decoder::UntilClose,
        }
    }

    /// Returns the next piece.
    ///
    /// # Errors
    /// Returns [`Malformed::Chunk`] if a chunk is invalid; the connection cannot be used further.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match *self {
                Decoder::Length(0) => return Ok(Piece::End),
                _ if buffer.is_empty() => return Ok(Piece::More),
                Decoder::Length(remaining) => {
                    let data = split_at_most(buffer, remaining);
                    *self = Decoder::Length(remaining - data.len() as u64);
                    return Ok(Piece::Data(data));
                }
                Decoder::UntilClose => return Ok(Piece::Data(buffer.split().freeze())),
                Decoder::Chunk(remaining) => {
                    let data = split_at_most(buffer, remaining);
                    let remaining = remaining - data.len() as u64;
                    *self = if remaining == 0 { Decoder::ChunkEnd } else { Decoder::Chunk(remaining) };
                    return Ok(Piece::Data(data));
                }
                Decoder::Size => {
                    let Some(line) = split_chunk_line(buffer)? else { return Ok(Piece::More) };
                    let size = parse_chunk_size(&line)?;
                    *self = if size == 0 { Decoder::Trailers } else { Decoder::Chunk(size) };
                }
                Decoder::ChunkEnd => match split_chunk_line(buffer)? {
                    None => return Ok(Piece::More),
                    Some(line) if line.is_empty() => *self = Decoder::Size,
                    Some(_) => return Err(Malformed::Chunk),
                },
                Decoder::Trailers => match split_chunk_line(buffer)? {
                    None => return Ok(Piece::More),
                    Some(line) if line.is_empty() => *self = Decoder::Length(0),
                    Some(_) => {}
                },
            }
        }
    }
}

fn split_at_most(buffer: &mut BytesMut, length: u64) -> Bytes {
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    buffer.split_to(buffer.len().min(length)).freeze()
}

/// Takes one line of the chunked coding off the buffer, without its end.
fn split_chunk_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
    match buffer.iter().position(|byte| *byte == b'\n') {
        Some(end) if end <= MAX_CHUNK_LINE => {
            let line = buffer.split_to(end + 1).freeze();
            let length = line[..end].strip_suffix(b"\r").ok_or(Malformed::Chunk)?.len();
            Ok(Some(line.slice(..length)))
        }
        None if buffer.len() <= MAX_CHUNK_LINE => Ok(None),
        _ => Err(Malformed::Chunk),
    }
}

/// Parses the size of a chunk; extensions after a semicolon are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or(&[]).trim_ascii();
    if digits.is_empty() || digits.len() > MAX_CHUNK_SIZE_DIGITS || !digits.iter().all(u8::is_ascii_hexdigit)
    {
        return Err(Malformed::Chunk);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| Malformed::Chunk)?;
    u64::from_str_radix(digits, HEXADECIMAL).map_err(|_| Malformed::Chunk)
}
