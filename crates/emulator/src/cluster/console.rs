//! HTTP client of a dispatcher's operator console.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for reading the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Response of a console.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConsoleResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
    /// Body of the response.
    pub body: String,
}

/// Sends a request to a console; returns `None` if the connection fails or the response takes longer than 2 s.
pub async fn call_console(address: SocketAddr, method: &str, path: &str) -> Option<ConsoleResponse> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = String::new();
    timeout(CALL_TIMEOUT, stream.read_to_string(&mut response)).await.ok()?.ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let retry_after_s = head.lines().find_map(|line| line.strip_prefix("Retry-After: ")?.trim().parse().ok());
    Some(ConsoleResponse { status, retry_after_s, body: body.to_owned() })
}
