//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read};
use std::net::TcpStream;

pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages with a `Content-Length` (or without a body) off a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(())
    }

    pub fn message(&mut self) -> io::Result<Message> {
        let head = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let length: usize = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < head + 4 + length {
            self.fill()?;
        }
        let rest = self.buffer.split_off(head + 4 + length);
        message.body = self.buffer.split_off(head + 4);
        self.buffer = rest;
        Ok(message)
    }
}
