//! Parser of heads: first line, headers and the framing of the body that follows.

use std::ops::Range;

use bytes::{Buf, Bytes, BytesMut};

use super::status::Status;
use super::{Malformed, MAX_HEAD};

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;
/// Minor version of HTTP/1.1, in which connections are persistent by default.
const PERSISTENT_MINOR_VERSION: u8 = 1;

/// Framing of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with its last chunk.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// First line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// First line of a request.
    Request {
        /// Method.
        method: Bytes,
        /// Target: path and query.
        target: Bytes,
    },
    /// First line of a response, with its status.
    Response(Status),
}

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name as sent.
    pub name: Bytes,
    /// Value as sent.
    pub value: Bytes,
}

impl Header {
    fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// Head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    /// First line.
    pub start: Start,
    /// Headers in the order of the message.
    pub headers: Vec<Header>,
    /// Framing of the body.
    pub framing: Framing,
    /// True if the sender keeps the connection open after this exchange.
    pub keep_alive: bool,
}

impl Head {
    /// Takes the head of a request off the buffer; returns none until it is complete.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the head is invalid or too large; the connection cannot be used further.
    pub fn request(buffer: &mut BytesMut) -> Result<Option<Head>, Malformed> {
        // RFC 9112 asks servers to skip empty lines before a request.
        while buffer.first().is_some_and(|byte| matches!(byte, b'\r' | b'\n')) {
            buffer.advance(1);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let Some(length) = head_length(request.parse(buffer), buffer.len())? else { return Ok(None) };
        let method = text_span(buffer, request.method);
        let target = text_span(buffer, request.path);
        let version = request.version;
        let spans = header_spans(buffer, request.headers);
        let bytes = buffer.split_to(length).freeze();
        let start = Start::Request { method: bytes.slice(method), target: bytes.slice(target) };
        let headers = slice_headers(&bytes, spans);
        Head::assemble(start, version, headers, Framing::Length(0)).map(Some)
    }

    /// Takes the head of a response off the buffer; returns none until it is complete.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the head is invalid or too large; the connection cannot be used further.
    pub fn response(buffer: &mut BytesMut) -> Result<Option<Head>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let Some(length) = head_length(response.parse(buffer), buffer.len())? else { return Ok(None) };
        let version = response.version;
        let status = response.code.unwrap_or(0);
        let spans = header_spans(buffer, response.headers);
        let bytes = buffer.split_to(length).freeze();
        let has_no_body = matches!(status, 100..=199 | 204 | 304);
        let default_framing = if has_no_body { Framing::Length(0) } else { Framing::UntilClose };
        let headers = slice_headers(&bytes, spans);
        let mut head = Head::assemble(Start::Response(status), version, headers, default_framing)?;
        head.keep_alive &= head.framing != Framing::UntilClose;
        Ok(Some(head))
    }

    fn assemble(
        start: Start,
        version: Option<u8>,
        headers: Vec<Header>,
        default_framing: Framing,
    ) -> Result<Head, Malformed> {
        let framing = parse_framing(&headers)?.unwrap_or(default_framing);
        let keep_alive = version == Some(PERSISTENT_MINOR_VERSION) && !requests_close(&headers);
        Ok(Head { start, headers, framing, keep_alive })
    }

    /// Returns the value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        self.headers.iter().find(|header| header.has_name(name)).map(|header| &header.value)
    }

    /// Returns the value of the first header with this name, if it is valid UTF-8.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.header(name).and_then(text)
    }

    /// Returns the number of headers with this name.
    pub fn count_headers(&self, name: &str) -> usize {
        self.headers.iter().filter(|header| header.has_name(name)).count()
    }
}

/// Progress of parsing an incomplete head. It is parsed again only after a line end, however small the pieces are in which
/// it arrives.
#[derive(Debug, Default)]
pub struct HeadProgress {
    parsed: usize,
}

impl HeadProgress {
    /// Returns whether the bytes that arrived since the last call may complete the head, or make it invalid.
    pub fn needs_parsing(&mut self, buffer: &[u8]) -> bool {
        let is_first = self.parsed == 0;
        let has_line_end = buffer.get(self.parsed..).is_none_or(|new| new.contains(&b'\n'));
        self.parsed = buffer.len();
        is_first || has_line_end || buffer.len() > MAX_HEAD
    }
}

/// Returns bytes as text, if they are valid UTF-8.
pub fn text(bytes: &Bytes) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

/// Returns the framing that the headers state, if they state any.
fn parse_framing(headers: &[Header]) -> Result<Option<Framing>, Malformed> {
    let mut length = None;
    let mut chunked = false;
    for header in headers {
        if header.has_name("content-length") {
            let stated = parse_content_length(&header.value)?;
            if length.replace(stated).is_some_and(|previous| previous != stated) {
                return Err(Malformed::Framing);
            }
        } else if header.has_name("transfer-encoding") {
            if chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(Malformed::Framing);
            }
            chunked = true;
        }
    }
    match (chunked, length) {
        // A message with both would allow request smuggling, because two parsers may choose different ones.
        (true, Some(_)) => Err(Malformed::Framing),
        (true, None) => Ok(Some(Framing::Chunked)),
        (false, length) => Ok(length.map(Framing::Length)),
    }
}

fn parse_content_length(value: &Bytes) -> Result<u64, Malformed> {
    // `u64::from_str` would accept a leading plus sign.
    if !value.iter().all(u8::is_ascii_digit) {
        return Err(Malformed::Framing);
    }
    text(value).and_then(|digits| digits.parse().ok()).ok_or(Malformed::Framing)
}

/// Returns true if a `Connection` header asks for a close after this exchange.
fn requests_close(headers: &[Header]) -> bool {
    headers
        .iter()
        .filter(|header| header.has_name("connection"))
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Position of a part of the head in the buffer.
type Span = Range<usize>;

/// Positions of a header field.
struct HeaderSpan {
    name: Span,
    value: Span,
}

/// Returns the length of a complete head, or none if more bytes are needed.
fn head_length(status: httparse::Result<usize>, buffered: usize) -> Result<Option<usize>, Malformed> {
    match status {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffered <= MAX_HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Malformed::HeadTooLarge),
        Err(_) => Err(Malformed::Head),
    }
}

fn text_span(buffer: &[u8], part: Option<&str>) -> Span {
    span(buffer, part.unwrap_or("").as_bytes())
}

/// Returns the position of a slice of the buffer; empty if the slice is not part of it.
fn span(buffer: &[u8], part: &[u8]) -> Span {
    let start = (part.as_ptr() as usize).wrapping_sub(buffer.as_ptr() as usize);
    if start <= buffer.len() && part.len() <= buffer.len() - start {
        start..start + part.len()
    } else {
        0..0
    }
}

fn header_spans(buffer: &[u8], headers: &[httparse::Header<'_>]) -> Vec<HeaderSpan> {
    let header_span = |header: &httparse::Header<'_>| HeaderSpan {
        name: span(buffer, header.name.as_bytes()),
        value: span(buffer, header.value),
    };
    headers.iter().map(header_span).collect()
}

fn slice_headers(bytes: &Bytes, spans: Vec<HeaderSpan>) -> Vec<Header> {
    let header = |span: HeaderSpan| Header { name: bytes.slice(span.name), value: bytes.slice(span.value) };
    spans.into_iter().map(header).collect()
}
