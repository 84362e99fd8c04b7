//! Emulated workers on loopback sockets: read requests and write the responses of the worker protocol.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::error::ClusterError;
use crate::sockets::http::{self, chunk, Head, CHUNKED_HEAD, LAST_CHUNK};

/// Whether a connection stays open after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    KeepOpen,
    Close,
}

/// An emulated worker.
pub(super) trait EmulatedWorker: 'static {
    /// Serves one request; its body has already been read.
    async fn serve_request(&self, request: &Head, stream: &mut TcpStream) -> std::io::Result<ConnectionUse>;
}

/// A listener on a free port of the loopback interface.
pub(super) struct BoundListener {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

/// Binds a listener to a free port of the loopback interface; `subject` names it in errors.
pub(super) async fn bind_listener(subject: &str) -> Result<BoundListener, ClusterError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io(subject))?;
    let address = listener.local_addr().map_err(ClusterError::io(subject))?;
    Ok(BoundListener { listener, address })
}

/// Serves all connections of a listener, each in a task of its own.
pub(super) async fn serve_worker(worker: Rc<impl EmulatedWorker>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let worker = worker.clone();
        spawn_local(async move {
            // Errors are expected: dispatchers close and reset connections, and faults interrupt them.
            let _ = serve_connection(worker.as_ref(), stream).await;
        });
    }
}

async fn serve_connection(worker: &impl EmulatedWorker, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    while let Some(head) =
        http::read_head(&mut stream, &mut buffer, http::MessageKind::Request, || {}).await?
    {
        let _ = http::read_body(&mut stream, &mut buffer, &head).await?;
        if worker.serve_request(&head, &mut stream).await? == ConnectionUse::Close {
            return Ok(());
        }
    }
    Ok(())
}

/// Whether a request is a health check.
pub(super) fn is_health_check(request: &Head) -> bool {
    request.path.contains("/healthz")
}

/// Returns the id of the job in a request, as the dispatcher sent it.
pub(super) fn job_id(request: &Head) -> String {
    request.get("request-id").unwrap_or_default().to_owned()
}

/// Writes a healthy worker's response to a health check.
pub(super) async fn write_healthy(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await
}

fn state_line(job: &str, state: &str) -> Vec<u8> {
    chunk(&json!({"id": job, "state": state, "result": "ok"}).to_string())
}

/// Writes the head of a response and the line that reports the job as started.
pub(super) async fn write_started(stream: &mut TcpStream, job: &str) -> std::io::Result<()> {
    stream.write_all(&[CHUNKED_HEAD, state_line(job, "started").as_slice()].concat()).await
}

/// Writes the line that reports the job as done and the end of the response.
pub(super) async fn write_done(stream: &mut TcpStream, job: &str) -> std::io::Result<()> {
    stream.write_all(&[state_line(job, "done").as_slice(), LAST_CHUNK].concat()).await
}
