//! A party of a scenario: its end of a connection, and the messages that it receives.

use bytes::BytesMut;
use dispatcher::net::http::{Decoder, Head, Piece, Start};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Transcript of a message whose connection ended before it was complete.
pub const ENDED: &str = "    (the connection ended)";

/// A client, a worker or discovery, at its end of a connection to the dispatcher.
pub struct Party {
    pub stream: TcpStream,
    pub buffer: BytesMut,
    is_server: bool,
}

impl Party {
    /// Creates a party that sends requests and receives responses.
    pub fn client(stream: TcpStream) -> Party {
        Party { stream, buffer: BytesMut::new(), is_server: false }
    }

    /// Creates a party that receives requests and sends responses.
    pub fn server(stream: TcpStream) -> Party {
        Party { stream, buffer: BytesMut::new(), is_server: true }
    }

    /// Reads one message and returns its transcript, in which values that depend on the time are masked.
    pub async fn message(&mut self) -> String {
        let Some(head) = self.head().await else { return ENDED.to_owned() };
        let mut transcript = match &head.start {
            Start::Request { method, target } => {
                format!("    {} {}", String::from_utf8_lossy(method), String::from_utf8_lossy(target))
            }
            Start::Response(status) => format!("    {status}"),
        };
        for header in &head.headers {
            let name = String::from_utf8_lossy(&header.name);
            let value = String::from_utf8_lossy(&header.value);
            match &*name {
                "Host" | "Content-Length" => {}
                "Request-Timeout-Ms" | "Retry-After" => transcript.push_str(&format!(", {name}: (figure)")),
                _ => transcript.push_str(&format!(", {name}: {value}")),
            }
        }
        let body = self.body(&head, &transcript).await;
        match body.len() {
            0..=200 => format!("{transcript}\n    {:?}", String::from_utf8_lossy(&body)),
            length => format!("{transcript}\n    ({length} bytes)"),
        }
    }

    /// Reads a head; returns `None` if the connection ends before the head is complete.
    async fn head(&mut self) -> Option<Head> {
        loop {
            let head = if self.is_server {
                Head::request(&mut self.buffer)
            } else {
                Head::response(&mut self.buffer)
            };
            if let Some(head) = head.expect("a valid head") {
                return Some(head);
            }
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    async fn body(&mut self, head: &Head, transcript: &str) -> Vec<u8> {
        let mut body = Vec::new();
        let mut decoder = Decoder::new(head.framing);
        loop {
            match decoder.next(&mut self.buffer).expect("a valid body") {
                Piece::Data(data) => body.extend_from_slice(&data),
                Piece::End => return body,
                Piece::More => {
                    let read = self.stream.read_buf(&mut self.buffer).await;
                    assert!(matches!(read, Ok(1..)), "the body ended early after {transcript}");
                }
            }
        }
    }
}
