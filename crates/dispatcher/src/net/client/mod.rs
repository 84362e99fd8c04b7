//! Client connections: reads requests, submits them as jobs and writes the responses.

mod acceptor;
mod body;
mod connection;
mod connection_limit;
mod protocol;
mod request;
mod request_error;
mod response;
mod wait;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use super::metrics::Metrics;
use super::mode::Mode;
use super::shutdown::ShutdownPhase;
use super::ConfigReceiver;
use crate::engine::{FinalResponse, Handle};
use acceptor::Acceptor;
use connection_limit::ConnectionLimit;
use protocol::READY_BODY;

/// Part of the client connections, in percent, from which on idle ones are closed and requests on new ones rejected:
/// without free descriptors, a dispatcher can neither accept a client nor reach a worker.
const CROWDED_PERCENT: usize = 90;
/// Time after which the saved endpoint list serves if discovery does not respond.
pub(super) const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all client connections.
struct ClientContext {
    config: ConfigReceiver,
    handle: Handle,
    phase: watch::Receiver<ShutdownPhase>,
    /// True once an endpoint list was received.
    list_received: watch::Receiver<bool>,
    /// True while nearly all client connections are in use.
    crowded: watch::Sender<bool>,
    limit: ConnectionLimit,
    started_at: Instant,
    /// Mode set by the operators' console.
    mode: watch::Receiver<Mode>,
    metrics: Rc<Metrics>,
}

impl ClientContext {
    /// Returns the response to a health check.
    fn readiness(&self) -> FinalResponse {
        let list_received = *self.list_received.borrow();
        if is_ready(list_received, self.started_at, *self.phase.borrow(), *self.mode.borrow()) {
            FinalResponse::Served(Bytes::from_static(READY_BODY))
        } else {
            FinalResponse::Rejected { retry_after: None }
        }
    }

    /// Updates whether connections are scarce, and returns it.
    fn update_crowded(&self, open: usize, limit: usize) -> bool {
        let crowded = open >= limit * CROWDED_PERCENT / 100;
        let changed = self.crowded.send_if_modified(|before| std::mem::replace(before, crowded) != crowded);
        if changed {
            self.limit.log_change(crowded, open, limit);
        }
        crowded
    }

    fn is_standby(&self) -> bool {
        *self.mode.borrow() == Mode::Standby
    }
}

/// Returns whether the process is ready: it has received an endpoint list, or waited long enough to serve with the saved
/// one; it is not shutting down; it is not in standby.
pub(crate) fn is_ready(list_received: bool, started_at: Instant, phase: ShutdownPhase, mode: Mode) -> bool {
    (list_received || started_at.elapsed() >= INITIAL_LIST_TIMEOUT)
        && phase == ShutdownPhase::Serving
        && mode == Mode::Active
}

/// Accepts and serves clients until the process shuts down and all requests are answered.
pub async fn accept(
    config: ConfigReceiver,
    listener: TcpListener,
    handle: Handle,
    phase: watch::Receiver<ShutdownPhase>,
    list_received: watch::Receiver<bool>,
    mode: watch::Receiver<Mode>,
    metrics: Rc<Metrics>,
) {
    let context = Rc::new(ClientContext {
        config,
        handle,
        phase,
        list_received,
        crowded: watch::Sender::new(false),
        limit: ConnectionLimit::default(),
        started_at: Instant::now(),
        mode,
        metrics,
    });
    Acceptor::new(context, listener).run().await;
}
