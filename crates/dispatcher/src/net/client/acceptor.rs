//! Accepts client connections and runs their tasks until the end of a graceful shutdown.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep, timeout};

use super::connection::Connection;
use super::ClientContext;
use crate::engine::Input;
use crate::net::shutdown::ShutdownPhase;

/// Time without a new connection after which the listener is closed in a graceful shutdown.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time within which an evicted connection must end.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);

/// The listener and the tasks of its connections.
pub(super) struct Acceptor {
    context: Rc<ClientContext>,
    /// `None` once the listener is closed.
    listener: Option<TcpListener>,
    connections: JoinSet<()>,
    phase: watch::Receiver<ShutdownPhase>,
    draining_sent: bool,
    shutdown_sent: bool,
}

impl Acceptor {
    pub(super) fn new(context: Rc<ClientContext>, listener: TcpListener) -> Acceptor {
        Acceptor {
            phase: context.phase.clone(),
            context,
            listener: Some(listener),
            connections: JoinSet::new(),
            draining_sent: false,
            shutdown_sent: false,
        }
    }

    /// Accepts and serves connections until the shutdown is finished, or the listener is closed and no connection is
    /// left.
    pub(super) async fn run(mut self) {
        loop {
            let phase = *self.phase.borrow_and_update();
            self.notify_engine(phase);
            let is_idle = self.listener.is_none() && self.connections.is_empty();
            if phase == ShutdownPhase::Finished || is_idle {
                return;
            }
            let limit = self.context.config.borrow().client_sockets;
            self.context.update_near_limit(self.connections.len(), limit);
            tokio::select! {
                biased;
                // First, so that a connection that has ended does not count against a new one.
                Some(result) = self.connections.join_next() => log_panic(&result),
                accepted = next_connection(self.listener.as_ref(), phase) => {
                    self.handle_accepted(accepted, limit).await;
                }
                changed = self.phase.changed() => {
                    if changed.is_err() {
                        // The sender of phases was dropped: no further phase follows.
                        return;
                    }
                }
            }
        }
    }

    /// Notifies the engine of a graceful shutdown, once for each step.
    fn notify_engine(&mut self, phase: ShutdownPhase) {
        if phase >= ShutdownPhase::Draining && !std::mem::replace(&mut self.draining_sent, true) {
            self.context.handle.send(Input::Draining);
        }
        if phase >= ShutdownPhase::Finishing && !std::mem::replace(&mut self.shutdown_sent, true) {
            self.context.handle.send(Input::Shutdown);
        }
    }

    async fn handle_accepted(&mut self, accepted: Option<io::Result<TcpStream>>, limit: usize) {
        match accepted {
            Some(Ok(stream)) => self.admit(stream, limit).await,
            Some(Err(error)) => {
                tracing::warn!(%error, "cannot accept a client connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
            None => self.listener = None,
        }
    }

    /// Serves a new connection. At the limit, an idle connection is evicted for it; if none can be evicted, the new one
    /// is closed unread.
    async fn admit(&mut self, stream: TcpStream, limit: usize) {
        if self.connections.len() >= limit && self.context.limit.evict_oldest() {
            // An evicted connection stays open if its request arrives at this moment.
            if let Ok(Some(result)) = timeout(EVICTION_TIMEOUT, self.connections.join_next()).await {
                log_panic(&result);
            }
        }
        if self.connections.len() >= limit {
            self.context.limit.record_rejected();
            return;
        }
        let near_limit = self.context.update_near_limit(self.connections.len(), limit);
        let _ = stream.set_nodelay(true);
        self.connections.spawn_local(Connection::serve(stream, self.context.clone(), near_limit));
    }
}

/// Returns the next connection, or `None` if the listener must be closed.
async fn next_connection(
    listener: Option<&TcpListener>,
    phase: ShutdownPhase,
) -> Option<io::Result<TcpStream>> {
    let Some(listener) = listener else { return std::future::pending().await };
    let accepted = if phase < ShutdownPhase::Closing {
        listener.accept().await
    } else {
        timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await.ok()?
    };
    Some(accepted.map(|(stream, _)| stream))
}

/// Logs the panic of a connection's task, which ends only this connection.
fn log_panic(result: &Result<(), JoinError>) {
    if result.is_err() {
        tracing::error!("a connection's task panicked; its connection is closed");
    }
}
