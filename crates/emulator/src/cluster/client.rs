//! HTTP client that submits jobs to a dispatcher.

use std::net::SocketAddr;

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::sockets::http;

/// A job to submit.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClientJob<'a> {
    pub class: &'a str,
    pub id: u64,
}

/// Submits a job on a kept-alive connection, or on a new one; returns the status of the response. Leaves the connection
/// in `kept_alive` if it can be used again.
pub(super) async fn submit_job(
    kept_alive: &mut Option<TcpStream>,
    address: SocketAddr,
    job: ClientJob<'_>,
) -> std::io::Result<u16> {
    let mut stream = match kept_alive.take() {
        Some(stream) => stream,
        None => TcpStream::connect(address).await?,
    };
    stream.set_nodelay(true)?;
    let ClientJob { class, id } = job;
    let request = format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nTenant: web\r\nContent-Length: 1\r\n\r\n?"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = BytesMut::new();
    let head = http::read_head(&mut stream, &mut buffer, http::MessageKind::Response, || {}).await?;
    let head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let _ = http::read_body(&mut stream, &mut buffer, &head).await?;
    if head.get("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
        *kept_alive = Some(stream);
    }
    Ok(head.status)
}
