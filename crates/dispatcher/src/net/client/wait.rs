//! Conditions that end the wait for a request or for its response.

use std::time::Duration;

use tokio::time::{sleep, sleep_until, Instant};

use super::connection_end::ConnectionEnd;
use super::connection_limit::FirstRequestWait;
use super::ClientContext;
use crate::net::mode::Mode;
use crate::net::shutdown::ShutdownPhase;

/// Time within which a request must be complete, head and body together: the first request from the accept on, each
/// further one from its first byte on. Clients that exceed it must be answered or closed within 3 s.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Request timeout while the number of client connections is near its limit.
const NEAR_LIMIT_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a connection without any request so far remains open before it is closed as idle.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);

/// Waits until a connection without a request in progress must be closed, and returns how it ends. Before the
/// first request, the connection stays open for a grace period, because the first request may be in transit and clients
/// would not send it again.
pub(super) async fn idle_close(context: &ClientContext, awaiting_first_request: bool) -> ConnectionEnd {
    let mut phase = context.phase.clone();
    let mut near_limit = context.near_limit.subscribe();
    let mut mode = context.mode.clone();
    // Before the first request, a reset cannot destroy a response, so the connection may be closed unread.
    let end_near_limit = if awaiting_first_request { ConnectionEnd::Evicted } else { ConnectionEnd::Close };
    let end = tokio::select! {
        _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Closing) => ConnectionEnd::Close,
        _ = near_limit.wait_for(|near_limit| *near_limit) => end_near_limit,
        _ = mode.wait_for(|mode| *mode == Mode::Standby) => ConnectionEnd::Close,
    };
    if awaiting_first_request {
        sleep(FIRST_REQUEST_GRACE).await;
    }
    end
}

/// Waits until the timeout of a request that began at this time. The timeout is shorter while the number of client
/// connections is near its limit.
pub(super) async fn request_overdue(context: &ClientContext, started_at: Instant) {
    let mut near_limit = context.near_limit.subscribe();
    let overdue_near_limit = async {
        let _ = near_limit.wait_for(|near_limit| *near_limit).await;
        sleep_until(started_at + NEAR_LIMIT_REQUEST_TIMEOUT).await;
    };
    tokio::select! {
        () = sleep_until(started_at + REQUEST_TIMEOUT) => {}
        () = overdue_near_limit => {}
    }
}

/// Waits until the connection is evicted. Only a connection that awaits its first request can be evicted.
pub(super) async fn evicted(wait: Option<FirstRequestWait>) {
    match wait {
        Some(wait) => wait.notified().await,
        None => std::future::pending().await,
    }
}
