//! Reads and writes on sockets that clients, workers and discovery share.

use std::mem::MaybeUninit;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::http::status::Status;
use super::http::{Head, Start};

/// Bytes by which a buffer grows for one read.
const READ_SIZE: usize = 8 * 1024;

/// Returns whether bytes wait to be read. Asks the socket itself, since the runtime's readiness may be older.
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

/// Reads the status and head of a response, without interim responses; `None` if the connection ends before, or the head
/// is malformed.
pub(crate) async fn read_response_head(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Option<(Status, Head)> {
    loop {
        match Head::response(buffer).ok()? {
            Some(head) => match head.start {
                Start::Response(100..=199) => {}
                Start::Response(status) => return Some((status, head)),
                Start::Request { .. } => return None,
            },
            None if read_more(stream, buffer).await.ok()? => {}
            None => return None,
        }
    }
}

/// Writes a message completely, its parts in one call if the socket takes them.
///
/// # Errors
/// Returns the error of the socket.
pub(crate) async fn write_all(stream: &mut TcpStream, message: &mut impl Buf) -> std::io::Result<()> {
    stream.write_all_buf(message).await
}
