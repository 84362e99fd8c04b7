//! Connections to workers, new or from the pool.

use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::pool::{Pool, Worker};
use crate::engine::Micros;

/// A connection that is in use. It counts as open until it is dropped.
pub(crate) struct Connection {
    /// Socket of the connection.
    pub(crate) stream: TcpStream,
    /// True if the connection was taken from the idle ones of the pool.
    pub(crate) is_reused: bool,
    pub(super) guard: ConnectionGuard,
}

/// Counts a connection as open while it exists.
pub(crate) struct ConnectionGuard(Rc<Pool>);

impl ConnectionGuard {
    pub(super) fn new(pool: &Rc<Pool>) -> ConnectionGuard {
        pool.open_connections.set(pool.open_connections.get() + 1);
        ConnectionGuard(pool.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

/// A connection without a request in flight.
pub(super) struct IdleConnection {
    pub(super) stream: TcpStream,
    pub(super) idle_since: Micros,
    /// Time from which on the connection can be used again.
    pub(super) usable_from: Micros,
}

impl IdleConnection {
    /// Returns true if the worker has neither closed the connection nor sent unsolicited bytes. Queries the socket
    /// itself, because the runtime's readiness may be stale.
    pub(super) fn is_usable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Reason why there is no connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ConnectError {
    /// All descriptors for connections to workers are in use.
    #[error("all connections to workers are in use")]
    NoCapacity,
    /// The connection was not established in time, or the address of the worker is unknown.
    #[error("the worker cannot be reached")]
    Unreachable,
}

/// Returns the most recently used idle connection to a worker that is still usable, or else a new one.
///
/// # Errors
/// Returns [`ConnectError::NoCapacity`] if no descriptor is left for a new connection, and
/// [`ConnectError::Unreachable`] if it is not established within the dial timeout.
pub(super) async fn reuse_or_connect(pool: &Rc<Pool>, worker: &Worker) -> Result<Connection, ConnectError> {
    match pool.take_idle(worker) {
        Some(connection) => Ok(connection),
        None => connect(pool, worker).await,
    }
}

/// Establishes a new connection to a worker.
///
/// # Errors
/// As for [`reuse_or_connect`].
pub(super) async fn connect(pool: &Rc<Pool>, worker: &Worker) -> Result<Connection, ConnectError> {
    if !pool.ensure_capacity() {
        return Err(ConnectError::NoCapacity);
    }
    dial(pool, worker).await.ok_or(ConnectError::Unreachable)
}

async fn dial(pool: &Rc<Pool>, worker: &Worker) -> Option<Connection> {
    let address = worker.address.get()?;
    let guard = ConnectionGuard::new(pool);
    let dial_timeout = Duration::from_micros(pool.config.borrow().dial_timeout);
    let stream = timeout(dial_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Connection { stream, is_reused: false, guard })
}
