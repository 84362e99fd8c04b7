//! As much HTTP/1.1 as the emulated parties need, on httparse: a message at a time out of a buffer.

use std::io;

use bytes::{Buf as _, BytesMut};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// The largest head and the largest body that a emulated reads.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
const MAX_HEADERS: usize = 64;

/// The head of a message, whichever way it goes.
#[derive(Debug, Default)]
pub(crate) struct Head {
    /// Method and path of a request; empty for an answer.
    pub(crate) path: String,
    /// The status of an answer.
    pub(crate) status: u16,
    headers: Vec<(String, String)>,
    /// How long it is itself.
    length: usize,
}

impl Head {
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn content_length(&self) -> usize {
        self.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    fn chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

fn invalid_data(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect()
}

fn parse(buffer: &[u8], request: bool) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let status = if request {
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(buffer).map_err(|_| invalid_data("no request"))?;
        let path = parsed.path.unwrap_or_default().to_owned();
        (status, path, 0, owned(parsed.headers))
    } else {
        let mut parsed = httparse::Response::new(&mut headers);
        let status = parsed.parse(buffer).map_err(|_| invalid_data("no answer"))?;
        (status, String::new(), parsed.code.unwrap_or_default(), owned(parsed.headers))
    };
    Ok(match status {
        (httparse::Status::Complete(length), path, status, headers) => {
            Some(Head { path, status, headers, length })
        }
        (httparse::Status::Partial, ..) => None,
    })
}

/// Reads some more; false at the end.
async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<bool> {
    if buffer.len() > MAX_MESSAGE_BYTES {
        return Err(invalid_data("too long"));
    }
    Ok(stream.read_buf(buffer).await? > 0)
}

/// Reads a head; none where the other side ended between messages. `first` is called once the first byte is there.
pub(crate) async fn head(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    request: bool,
    mut first: impl FnMut(),
) -> io::Result<Option<Head>> {
    let mut begun = !buffer.is_empty();
    if begun {
        first();
    }
    loop {
        if let Some(head) = parse(buffer, request)? {
            buffer.advance(head.length);
            return Ok(Some(head));
        }
        if !read_more(stream, buffer).await? {
            return if begun { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
        }
        if !std::mem::replace(&mut begun, true) {
            first();
        }
    }
}

/// Reads the body that a head announces.
pub(crate) async fn body(stream: &mut TcpStream, buffer: &mut BytesMut, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !head.chunked() {
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
        match httparse::parse_chunk_size(buffer).map_err(|_| invalid_data("no chunk"))? {
            httparse::Status::Complete((at, length)) => {
                let length = length as usize;
                let whole = at.saturating_add(length).saturating_add(2);
                while buffer.len() < whole {
                    if !read_more(stream, buffer).await? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                body.extend_from_slice(&buffer[at..at + length]);
                buffer.advance(whole);
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

/// A line as a chunk.
pub(crate) fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// The head of an answer in chunks.
pub(crate) const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The end of an answer in chunks.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
