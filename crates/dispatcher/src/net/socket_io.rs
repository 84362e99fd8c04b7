//! Socket reads and writes, shared by the connections to clients, workers and discovery.

use std::mem::MaybeUninit;

use bytes::{Buf, BufMut, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;

use super::http::status::Status;
use super::http::{Head, HeadProgress, Start};
use super::memory::{Reservation, FREE_BYTES};

/// Capacity that is reserved in a buffer for each read, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// Capacity that is reserved in the buffer of a worker's connection for each read, in bytes.
const WORKER_READ_SIZE: usize = FREE_BYTES;

/// Returns whether the socket has unread bytes. Queries the socket itself, because the runtime's readiness may be
/// stale.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|count| count > 0)
}

/// Reads more bytes into the buffer; returns false once the peer has closed its side.
///
/// # Errors
/// Returns the error of the socket.
pub(crate) async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<bool> {
    buffer.reserve(READ_SIZE);
    Ok(stream.read_buf(buffer).await? > 0)
}

/// Reads more bytes of a worker's response into the buffer; returns false once the worker has closed its side. `buffered` is
/// the number of bytes that are kept until the response is complete. Once they are more than a connection may hold
/// freely, the memory for the whole response is reserved at once: responses that wait for memory hold none that others
/// need.
///
/// # Errors
/// Returns the error of the socket.
pub(crate) async fn read_response_bytes(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    buffered: usize,
    memory: &mut ResponseMemory,
) -> std::io::Result<bool> {
    if buffered > FREE_BYTES {
        memory.reservation.grow(memory.max_bytes).await;
    }
    buffer.reserve(WORKER_READ_SIZE);
    Ok(stream.read_buf(&mut (&mut *buffer).limit(WORKER_READ_SIZE)).await? > 0)
}

/// Memory of one response.
pub(crate) struct ResponseMemory {
    pub(crate) reservation: Reservation,
    /// Maximum length of the response, as far as it is known.
    pub(crate) max_bytes: usize,
}

/// Reads the status and head of a response and skips interim responses. Returns `None` if the connection ends before
/// the head is complete, or if the head is malformed.
pub(crate) async fn read_response_head(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    memory: &mut ResponseMemory,
) -> Option<(Status, Head)> {
    let mut progress = HeadProgress::default();
    loop {
        let head = if progress.needs_parsing(buffer) { Head::response(buffer).ok()? } else { None };
        match head {
            Some(head) => match head.start {
                // Other tasks get a turn, also if interim responses follow one another without a pause.
                Start::Response(100..=199) => yield_now().await,
                Start::Response(status) => return Some((status, head)),
                Start::Request { .. } => return None,
            },
            None => {
                let buffered = buffer.len();
                if !read_response_bytes(stream, buffer, buffered, memory).await.ok()? {
                    return None;
                }
                continue;
            }
        }
        progress = HeadProgress::default();
    }
}

/// Writes a message completely, all its parts in one system call if the socket accepts them.
///
/// # Errors
/// Returns the error of the socket.
pub(crate) async fn write_all(stream: &mut TcpStream, message: &mut impl Buf) -> std::io::Result<()> {
    stream.write_all_buf(message).await
}
