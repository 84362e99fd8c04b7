//! The HTTP/1.1 codec: heads and bodies out of a read buffer, however the bytes were split on their way.
//!
//! What it hands out are slices of the buffer that the bytes were read into. It does no I/O.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};

/// The longest head of a message.
pub const MAX_HEAD: usize = 16 * 1024;
/// The largest body of a message.
pub const MAX_BODY: usize = 64 * 1024;
/// The most headers of a message.
const MAX_HEADERS: usize = 64;
/// The longest line that states the size of a chunk, with its extensions, or a trailer.
const MAX_CHUNK_LINE: usize = 4096;

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The head cannot be read.
    Head,
    /// The head is longer than [`MAX_HEAD`], or has too many headers.
    HeadTooLarge,
    /// Length and transfer coding contradict each other or make no sense.
    Framing,
    /// A chunk is not as it should be.
    Chunk,
    /// The body is larger than [`MAX_BODY`].
    BodyTooLarge,
}

impl Malformed {
    /// The status that tells a client.
    pub fn status(self) -> u16 {
        match self {
            Malformed::HeadTooLarge => 431,
            Malformed::BodyTooLarge => 413,
            _ => 400,
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Malformed::Head => "the head of the message cannot be read",
            Malformed::HeadTooLarge => "the head of the message is too large",
            Malformed::Framing => "the length of the body is not clear",
            Malformed::Chunk => "a chunk of the body cannot be read",
            Malformed::BodyTooLarge => "the body is too large",
        })
    }
}

impl std::error::Error for Malformed {}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// Where the connection ends.
    UntilClose,
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Of a request: its method and target.
    Request(Bytes, Bytes),
    /// Of a response: its status.
    Response(u16),
}

/// The head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    /// The first line.
    pub start: Start,
    /// The headers in order.
    pub headers: Vec<(Bytes, Bytes)>,
    /// How the body ends.
    pub framing: Framing,
    /// The sender keeps the connection open after this exchange.
    pub keep_alive: bool,
}

impl Head {
    /// Takes the head of a request off the buffer, once it is all there.
    ///
    /// # Errors
    /// The head is malformed; the connection is of no further use.
    pub fn request(buf: &mut BytesMut) -> Result<Option<Head>, Malformed> {
        // Empty lines before a request are to be skipped.
        while buf.first().is_some_and(|b| matches!(b, b'\r' | b'\n')) {
            buf.advance(1);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let Some(length) = parsed(request.parse(buf), buf.len())? else { return Ok(None) };
        let (method, path) = (span(buf, request.method), span(buf, request.path));
        let version = request.version;
        let spans = spans(buf, request.headers);
        let whole = buf.split_to(length).freeze();
        let start = Start::Request(whole.slice(method), whole.slice(path));
        Head::assemble(start, version, spans, &whole, Framing::Length(0)).map(Some)
    }

    /// Takes the head of a response off the buffer, once it is all there.
    ///
    /// # Errors
    /// The head is malformed; the connection is of no further use.
    pub fn response(buf: &mut BytesMut) -> Result<Option<Head>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let Some(length) = parsed(response.parse(buf), buf.len())? else { return Ok(None) };
        let (version, status) = (response.version, response.code.unwrap_or(0));
        let spans = spans(buf, response.headers);
        let whole = buf.split_to(length).freeze();
        let bare = matches!(status, 100..=199 | 204 | 304);
        let default = if bare { Framing::Length(0) } else { Framing::UntilClose };
        let mut head = Head::assemble(Start::Response(status), version, spans, &whole, default)?;
        head.keep_alive &= head.framing != Framing::UntilClose;
        Ok(Some(head))
    }

    fn assemble(
        start: Start,
        version: Option<u8>,
        spans: Vec<(Span, Span)>,
        whole: &Bytes,
        default: Framing,
    ) -> Result<Head, Malformed> {
        let headers = spans.into_iter().map(|(n, v)| (whole.slice(n), whole.slice(v))).collect();
        let mut head = Head { start, headers, framing: default, keep_alive: version == Some(1) };
        let mut length = None;
        let mut chunked = false;
        for (name, value) in &head.headers {
            if name.eq_ignore_ascii_case(b"content-length") {
                let stated = text(value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
                let stated: u64 = stated.and_then(|v| v.parse().ok()).ok_or(Malformed::Framing)?;
                if length.replace(stated).is_some_and(|before| before != stated) {
                    return Err(Malformed::Framing);
                }
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                if chunked || !value.eq_ignore_ascii_case(b"chunked") {
                    return Err(Malformed::Framing);
                }
                chunked = true;
            } else if name.eq_ignore_ascii_case(b"connection") {
                let mut options = value.split(|b| *b == b',').map(<[u8]>::trim_ascii);
                if options.any(|o| o.eq_ignore_ascii_case(b"close")) {
                    head.keep_alive = false;
                }
            }
        }
        // A message with both is how requests are smuggled past one of two parsers.
        head.framing = match (chunked, length) {
            (true, Some(_)) => return Err(Malformed::Framing),
            (true, None) => Framing::Chunked,
            (false, Some(n)) => Framing::Length(n),
            (false, None) => default,
        };
        Ok(head)
    }

    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// The same as text.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.header(name).and_then(|v| text(v))
    }
}

/// Bytes as text, where they are that.
pub fn text(bytes: &Bytes) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

type Span = std::ops::Range<usize>;

/// The bytes may be a part of a head only; they are kept until the whole is there.
fn parsed(status: httparse::Result<usize>, have: usize) -> Result<Option<usize>, Malformed> {
    match status {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD => Ok(Some(length)),
        Ok(httparse::Status::Partial) if have <= MAX_HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Malformed::HeadTooLarge),
        Err(_) => Err(Malformed::Head),
    }
}

/// Where a part that the parser found lies in the buffer.
fn span(buf: &[u8], part: Option<&str>) -> Span {
    let part = part.unwrap_or("");
    offset(buf, part.as_bytes())
}

fn offset(buf: &[u8], part: &[u8]) -> Span {
    let start = (part.as_ptr() as usize).wrapping_sub(buf.as_ptr() as usize);
    if start <= buf.len() && part.len() <= buf.len() - start {
        start..start + part.len()
    } else {
        0..0
    }
}

fn spans(buf: &[u8], headers: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
    headers.iter().map(|h| (offset(buf, h.name.as_bytes()), offset(buf, h.value))).collect()
}

/// A piece of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// These bytes come next.
    Data(Bytes),
    /// More must be read first.
    More,
    /// It is complete.
    End,
}

/// Takes a body off the buffer, piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decoder {
    /// So many bytes are missing.
    Length(u64),
    /// The size of a chunk comes next.
    Size,
    /// So many bytes of this chunk are missing.
    Chunk(u64),
    /// The end of the line after a chunk comes next.
    ChunkEnd,
    /// Trailers, up to an empty line.
    Trailers,
    /// All until the connection ends.
    UntilClose,
}

impl Decoder {
    /// For a body framed so.
    pub fn new(framing: Framing) -> Decoder {
        match framing {
            Framing::Length(n) => Decoder::Length(n),
            Framing::Chunked => Decoder::Size,
            Framing::UntilClose => Decoder::UntilClose,
        }
    }

    /// The next piece.
    ///
    /// # Errors
    /// A chunk is malformed; the connection is of no further use.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match *self {
                Decoder::Length(0) => return Ok(Piece::End),
                _ if buf.is_empty() => return Ok(Piece::More),
                Decoder::Length(n) => {
                    let data = up_to(buf, n);
                    *self = Decoder::Length(n - data.len() as u64);
                    return Ok(Piece::Data(data));
                }
                Decoder::UntilClose => return Ok(Piece::Data(buf.split().freeze())),
                Decoder::Chunk(n) => {
                    let data = up_to(buf, n);
                    let rest = n - data.len() as u64;
                    *self = if rest == 0 { Decoder::ChunkEnd } else { Decoder::Chunk(rest) };
                    return Ok(Piece::Data(data));
                }
                Decoder::Size => {
                    let Some(line) = chunk_line(buf)? else { return Ok(Piece::More) };
                    let digits = line.split(|b| *b == b';').next().unwrap_or(&[]).trim_ascii();
                    let hex = std::str::from_utf8(digits).ok().filter(|d| !d.is_empty() && d.len() <= 15);
                    let hex = hex.filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
                    let size = hex.and_then(|d| u64::from_str_radix(d, 16).ok()).ok_or(Malformed::Chunk)?;
                    *self = if size == 0 { Decoder::Trailers } else { Decoder::Chunk(size) };
                }
                Decoder::ChunkEnd => match chunk_line(buf)? {
                    None => return Ok(Piece::More),
                    Some(line) if line.is_empty() => *self = Decoder::Size,
                    Some(_) => return Err(Malformed::Chunk),
                },
                Decoder::Trailers => match chunk_line(buf)? {
                    None => return Ok(Piece::More),
                    Some(line) if line.is_empty() => *self = Decoder::Length(0),
                    Some(_) => {}
                },
            }
        }
    }
}

fn up_to(buf: &mut BytesMut, n: u64) -> Bytes {
    buf.split_to(buf.len().min(usize::try_from(n).unwrap_or(usize::MAX))).freeze()
}

/// One line of the chunked coding, without its end.
fn chunk_line(buf: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
    match buf.iter().position(|b| *b == b'\n') {
        Some(end) if end <= MAX_CHUNK_LINE => {
            let line = buf.split_to(end + 1).freeze();
            line[..end].strip_suffix(b"\r").map(|l| Some(line.slice(..l.len()))).ok_or(Malformed::Chunk)
        }
        None if buf.len() <= MAX_CHUNK_LINE => Ok(None),
        _ => Err(Malformed::Chunk),
    }
}

/// The text of a status, for the first line of a response.
pub fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Internal Server Error",
    }
}

/// Cuts a body into lines, whatever pieces it came in.
#[derive(Debug, Default)]
pub struct Lines(BytesMut);

impl Lines {
    /// Adds a piece of the body.
    ///
    /// # Errors
    /// A line has grown longer than `longest`.
    pub fn add(&mut self, piece: Bytes, longest: usize) -> Result<(), Malformed> {
        match piece.try_into_mut() {
            // Nobody else holds the buffer and no rest of a line waits: no copy.
            Ok(piece) if self.0.is_empty() => self.0 = piece,
            Ok(piece) => self.0.extend_from_slice(&piece),
            Err(piece) => self.0.extend_from_slice(&piece),
        }
        match self.0.iter().position(|b| *b == b'\n') {
            None if self.0.len() > longest => Err(Malformed::BodyTooLarge),
            _ => Ok(()),
        }
    }

    /// The next whole line, without its end.
    pub fn next_line(&mut self) -> Option<Bytes> {
        let end = self.0.iter().position(|b| *b == b'\n')?;
        let line = self.0.split_to(end + 1).freeze();
        Some(line.slice(..line[..end].strip_suffix(b"\r").map_or(end, <[u8]>::len)))
    }

    /// What is left when the body has ended: a last line without an end.
    pub fn rest(&mut self) -> Bytes {
        self.0.split().freeze()
    }
}
