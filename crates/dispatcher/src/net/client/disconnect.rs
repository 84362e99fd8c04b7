//! Detects that the client of an open request has disconnected. This is the only place that decides it: the connection then
//! ends, and with it whatever the client has sent behind the request.

use std::time::Duration;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::connection_end::ConnectionEnd;
use super::request_error::RequestError;
use crate::net::read_buffer::ReadBuffer;

/// Interval at which a connection is checked for a disconnect if it has more unread bytes than are read ahead.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Waits until the client has disconnected, and returns how the connection ends. What the client sends meanwhile is read
/// ahead into the buffer, as far as that needs no reservation.
pub(super) async fn disconnected(stream: &mut TcpStream, buffer: &mut ReadBuffer) -> ConnectionEnd {
    while buffer.can_read_ahead() {
        match buffer.read_more(stream).await {
            Ok(true) => {}
            Ok(false) => return ConnectionEnd::Error(RequestError::ClientDisconnected),
            Err(_) => return ConnectionEnd::Lost,
        }
    }
    read_closed(stream).await;
    // The socket does not show whether the client has disconnected or only closed its sending direction. It counts as
    // disconnected, but receives a complete response if it still reads.
    ConnectionEnd::Error(RequestError::ClientDisconnected)
}

/// Waits until the client closes its sending direction, on a connection with more unread bytes than are read ahead. No
/// read reaches the end of the stream behind them, but the state of the socket shows it.
async fn read_closed(stream: &TcpStream) {
    while stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}
