//! Conditions that end the wait for a request or for its answer.

use std::time::Duration;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

use super::connection::ConnectionEnd;
use super::connection_limit::FirstRequestWait;
use super::ClientContext;
use crate::net::mode::Mode;
use crate::net::shutdown::ShutdownPhase;

/// Time in which the first request must be complete from the connect on, and each further one from its first byte on,
/// head and body together. Clients that exceed it must be answered or closed within 3 s.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Request timeout while client connections are scarce.
const CROWDED_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a connection with more bytes than are read ahead is checked for a disconnect.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which a connection without any request so far remains open before it is closed as idle.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);

/// Waits until the client ends its sending, behind more bytes than are read ahead: these wake no reader, but the socket's
/// state shows the end.
pub(super) async fn read_closed(stream: &TcpStream) {
    while stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}

/// Waits until a connection without a request in progress must be closed, and returns its end. Without any request so
/// far, the first one may be in transit and would be lost, since clients do not repeat it: hence the grace.
pub(super) async fn idle_close(context: &ClientContext, awaiting_first_request: bool) -> ConnectionEnd {
    let mut phase = context.phase.clone();
    let mut crowded = context.crowded.subscribe();
    let mut mode = context.mode.clone();
    // No answer was written that a reset could destroy.
    let end_if_crowded = if awaiting_first_request { ConnectionEnd::Evicted } else { ConnectionEnd::Close };
    let end = tokio::select! {
        _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Closing) => ConnectionEnd::Close,
        _ = crowded.wait_for(|crowded| *crowded) => end_if_crowded,
        _ = mode.wait_for(|mode| *mode == Mode::Standby) => ConnectionEnd::Close,
    };
    if awaiting_first_request {
        sleep(FIRST_REQUEST_GRACE).await;
    }
    end
}

/// Waits until the timeout of a request that began at this time; it is shorter while client connections are scarce.
pub(super) async fn request_overdue(context: &ClientContext, started_at: Instant) {
    let mut crowded = context.crowded.subscribe();
    let overdue_when_crowded = async {
        let _ = crowded.wait_for(|crowded| *crowded).await;
        sleep_until(started_at + CROWDED_REQUEST_TIMEOUT).await;
    };
    tokio::select! {
        () = sleep_until(started_at + REQUEST_TIMEOUT) => {}
        () = overdue_when_crowded => {}
    }
}

/// Waits until the connection is evicted, which only one that awaits its first request can be.
pub(super) async fn evicted(wait: Option<FirstRequestWait>) {
    match wait {
        Some(wait) => wait.notified().await,
        None => std::future::pending().await,
    }
}
