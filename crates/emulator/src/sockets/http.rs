//! Minimal HTTP/1.1 for the emulated parties, based on httparse: reads one message at a time from a buffer.

use std::io;

use bytes::{Buf as _, BytesMut};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// Buffered bytes above which a message is rejected.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
const MAX_HEADERS: usize = 64;

/// Direction of a message, which determines the syntax of its first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Request,
    Response,
}

/// Head of a request or of a response.
#[derive(Debug, Default)]
pub(crate) struct Head {
    /// Path of a request; empty for a response.
    pub(crate) path: String,
    /// Status code of a response; 0 for a request.
    pub(crate) status: u16,
    headers: Vec<(String, String)>,
    /// Length of the head in bytes.
    length: usize,
}

impl Head {
    /// Returns the value of a header, whose name is compared without regard to case.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn content_length(&self) -> usize {
        self.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

fn owned_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers.iter().map(|header| (header.name.to_owned(), text(header.value))).collect()
}

/// Parses the head at the start of a buffer; none if it is incomplete.
fn parse_head(buffer: &[u8], kind: MessageKind) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (parse_status, path, status, headers) = match kind {
        MessageKind::Request => {
            let mut parsed = httparse::Request::new(&mut headers);
            let parse_status = parsed.parse(buffer).map_err(|_| invalid_data("invalid request head"))?;
            let path = parsed.path.unwrap_or_default().to_owned();
            (parse_status, path, 0, owned_headers(parsed.headers))
        }
        MessageKind::Response => {
            let mut parsed = httparse::Response::new(&mut headers);
            let parse_status = parsed.parse(buffer).map_err(|_| invalid_data("invalid response head"))?;
            let status = parsed.code.unwrap_or_default();
            (parse_status, String::new(), status, owned_headers(parsed.headers))
        }
    };
    Ok(match parse_status {
        httparse::Status::Complete(length) => Some(Head { path, status, headers, length }),
        httparse::Status::Partial => None,
    })
}

/// Reads more bytes into the buffer; returns false if the peer has closed the connection.
async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<bool> {
    if buffer.len() > MAX_BUFFERED_BYTES {
        return Err(invalid_data("message too long"));
    }
    Ok(stream.read_buf(buffer).await? > 0)
}

/// Reads the head of a message; none if the peer closed the connection between messages.
///
/// Calls `on_first_byte` once the first byte of the message is in the buffer.
pub(crate) async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    kind: MessageKind,
    mut on_first_byte: impl FnMut(),
) -> io::Result<Option<Head>> {
    let mut begun = !buffer.is_empty();
    if begun {
        on_first_byte();
    }
    loop {
        if let Some(head) = parse_head(buffer, kind)? {
            buffer.advance(head.length);
            return Ok(Some(head));
        }
        if !read_more(stream, buffer).await? {
            return if begun { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
        }
        if !std::mem::replace(&mut begun, true) {
            on_first_byte();
        }
    }
}

/// Reads the body of a message, chunked or of the announced length.
pub(crate) async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    head: &Head,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !head.is_chunked() {
        let length = head.content_length();
        while buffer.len() < length {
            if !read_more(stream, buffer).await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend_from_slice(&buffer.split_to(length));
        return Ok(body);
    }
    loop {
        match httparse::parse_chunk_size(buffer).map_err(|_| invalid_data("invalid chunk size"))? {
            httparse::Status::Complete((data_start, length)) => {
                let length = length as usize;
                let chunk_end = data_start.saturating_add(length).saturating_add(2);
                while buffer.len() < chunk_end {
                    if !read_more(stream, buffer).await? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                body.extend_from_slice(&buffer[data_start..data_start + length]);
                buffer.advance(chunk_end);
                if length == 0 {
                    return Ok(body);
                }
            }
            httparse::Status::Partial => {
                if !read_more(stream, buffer).await? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }
}

/// Encodes a line as one chunk of a chunked body.
pub(crate) fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// Head of a response with a chunked body.
pub(crate) const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Last chunk, which ends a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
