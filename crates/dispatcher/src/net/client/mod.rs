//! Client connections: reads requests, submits them as jobs and writes the responses.

mod acceptor;
mod body;
mod connection;
mod connection_end;
mod connection_limit;
mod disconnect;
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

use super::memory::MemoryAccount;
use super::metrics::Metrics;
use super::mode::Mode;
use super::shutdown::ShutdownPhase;
use super::ConfigReceiver;
use crate::engine::{FinalResponse, Handle};
use acceptor::Acceptor;
use connection_limit::ConnectionLimit;
use protocol::READY_BODY;

/// Percentage of the limit on client connections from which on idle connections are closed and requests on new ones are
/// rejected. Without free descriptors, a dispatcher can neither accept a client nor reach a worker.
const NEAR_LIMIT_PERCENT: usize = 90;
/// Time after which the saved endpoint list is used if discovery does not respond.
pub(super) const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all client connections.
struct ClientContext {
    parameters: ClientParameters,
    /// True while the number of client connections is near its limit.
    near_limit: watch::Sender<bool>,
    limit: ConnectionLimit,
    started_at: Instant,
}

impl std::ops::Deref for ClientContext {
    type Target = ClientParameters;

    fn deref(&self) -> &ClientParameters {
        &self.parameters
    }
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

    /// Updates whether the number of open connections is near the limit, and returns the result.
    fn update_near_limit(&self, open: usize, limit: usize) -> bool {
        let near_limit = open >= limit * NEAR_LIMIT_PERCENT / 100;
        let changed =
            self.near_limit.send_if_modified(|before| std::mem::replace(before, near_limit) != near_limit);
        if changed {
            self.limit.log_change(near_limit, open, limit);
        }
        near_limit
    }

    fn is_standby(&self) -> bool {
        *self.mode.borrow() == Mode::Standby
    }
}

/// Returns whether the process is ready: it has received an endpoint list, or waited long enough to use the saved one;
/// it is not shutting down; and it is not in standby.
pub(crate) fn is_ready(list_received: bool, started_at: Instant, phase: ShutdownPhase, mode: Mode) -> bool {
    (list_received || started_at.elapsed() >= INITIAL_LIST_TIMEOUT)
        && phase == ShutdownPhase::Serving
        && mode == Mode::Active
}

/// Parameters of [`accept`].
pub(super) struct ClientParameters {
    pub(super) config: ConfigReceiver,
    pub(super) handle: Handle,
    pub(super) phase: watch::Receiver<ShutdownPhase>,
    /// True once an endpoint list was received.
    pub(super) list_received: watch::Receiver<bool>,
    /// Mode that operators set on the console.
    pub(super) mode: watch::Receiver<Mode>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) memory: Rc<MemoryAccount>,
}

/// Accepts and serves clients until the process shuts down and all requests are answered.
pub(super) async fn accept(parameters: ClientParameters, listener: TcpListener) {
    let context = Rc::new(ClientContext {
        parameters,
        near_limit: watch::Sender::new(false),
        limit: ConnectionLimit::default(),
        started_at: Instant::now(),
    });
    Acceptor::new(context, listener).run().await;
}
