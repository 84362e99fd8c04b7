//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// A parsed message head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the target of a request, or the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from one connection and keeps what was read ahead.
#[derive(Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads a message with a `Content-Length` or without a body. Returns `None` if the peer closed the connection
    /// between two messages.
    pub fn read(&mut self, stream: &mut TcpStream) -> Result<Option<Message>> {
        let head_end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if !self.read_more(stream)? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { start: lines.next().unwrap_or("").to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let length = message.header("Content-Length").map_or(Ok(0), str::parse::<usize>);
        let length = length.map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
        while self.buffer.len() < length {
            if !self.read_more(stream)? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    fn read_more(&mut self, stream: &mut TcpStream) -> Result<bool> {
        let mut piece = [0; 16 * 1024];
        let count = stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count > 0)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

/// Encodes one chunk of a body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut encoded = format!("{:x}\r\n", data.len()).into_bytes();
    encoded.extend_from_slice(data);
    encoded.extend_from_slice(b"\r\n");
    encoded
}

/// The last chunk of a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
