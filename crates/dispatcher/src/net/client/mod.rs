//! Clients: their connections, their requests as jobs, and the answers.

mod connection;
mod connection_limit;
mod request;
mod response;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep, timeout, Instant};

use super::metrics::Metrics;
use super::mode::Mode;
use super::shutdown::ShutdownPhase;
use super::ConfigReceiver;
use crate::engine::{Answer, Handle, Input};
use connection::Connection;
use connection_limit::ConnectionLimit;

/// From this part of the connections on, in hundredths, idle ones are closed and new ones refused: a
/// dispatcher without descriptors could neither accept nor reach a worker.
const CROWDED_PERCENT: usize = 90;
/// While the program ends: no connection for this long, and the listener is closed.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(150);
/// After an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// An idle connection that is to give way to a new one is closed within this.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);
/// Without word of discovery, the list as last held serves after this.
pub(super) const INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// What the connections share.
struct ClientContext {
    config: ConfigReceiver,
    handle: Handle,
    phase: watch::Receiver<ShutdownPhase>,
    ready: watch::Receiver<bool>,
    crowded: watch::Sender<bool>,
    limit: ConnectionLimit,
    started_at: Instant,
    /// Set by the operators' console.
    mode: watch::Receiver<Mode>,
    metrics: Rc<Metrics>,
}

/// Whether the process says yes to the health check and to the console's status: it has heard of its workers, or
/// waited long enough for them to serve with the list as last held; it serves; it is not in standby.
pub(crate) fn is_ready(heard: bool, started_at: Instant, phase: ShutdownPhase, mode: Mode) -> bool {
    (heard || started_at.elapsed() >= INITIAL_LIST_TIMEOUT)
        && phase == ShutdownPhase::Serving
        && mode == Mode::Active
}

impl ClientContext {
    /// The answer to a health check.
    fn readiness(&self) -> Answer {
        let ready =
            is_ready(*self.ready.borrow(), self.started_at, *self.phase.borrow(), *self.mode.borrow());
        if ready {
            Answer::Served(Bytes::from_static(b"ready\n"))
        } else {
            Answer::Rejected { retry_after: None }
        }
    }

    /// Takes note of how many connections are open, of so many at the most; true where they are too many.
    fn update_crowded(&self, open: usize, most: usize) -> bool {
        let crowded = open >= most * CROWDED_PERCENT / 100;
        if self.crowded.send_if_modified(|before| std::mem::replace(before, crowded) != crowded) {
            self.limit.log_change(crowded, open, most);
        }
        crowded
    }

    fn standby(&self) -> bool {
        *self.mode.borrow() == Mode::Standby
    }
}

/// Accepts and serves clients until the program has been told to end and all is answered.
pub async fn accept(
    configs: ConfigReceiver,
    listener: TcpListener,
    handle: Handle,
    mut phase: watch::Receiver<ShutdownPhase>,
    ready: watch::Receiver<bool>,
    mode: watch::Receiver<Mode>,
    metrics: Rc<Metrics>,
) {
    let (crowded, _) = watch::channel(false);
    let started_at = Instant::now();
    let context = Rc::new(ClientContext {
        config: configs,
        handle: handle.clone(),
        phase: phase.clone(),
        ready,
        crowded,
        limit: ConnectionLimit::default(),
        started_at,
        mode,
        metrics,
    });
    let mut listener = Some(listener);
    let mut tasks = JoinSet::new();
    let (mut draining_sent, mut shutdown_sent) = (false, false);
    loop {
        let now = *phase.borrow_and_update();
        if now >= ShutdownPhase::Draining && !std::mem::replace(&mut draining_sent, true) {
            handle.send(Input::Draining);
        }
        if now >= ShutdownPhase::Finishing && !std::mem::replace(&mut shutdown_sent, true) {
            handle.send(Input::Shutdown);
        }
        if now == ShutdownPhase::Finished || listener.is_none() && tasks.is_empty() {
            return;
        }
        let most = context.config.borrow().client_sockets;
        context.update_crowded(tasks.len(), most);
        let accepted = async {
            match &listener {
                Some(listener) if now < ShutdownPhase::Closing => Some(listener.accept().await),
                Some(listener) => timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await.ok(),
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            // First, so that what has ended is not counted against what comes.
            Some(done) = tasks.join_next() => log_panic(done),
            accepted = accepted => match accepted {
                Some(Ok((stream, _))) => admit(&context, &mut tasks, stream, most).await,
                Some(Err(error)) => {
                    tracing::warn!(%error, "cannot accept");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
                None => listener = None,
            },
            changed = phase.changed() => {
                if changed.is_err() {
                    // Whoever told the phase is gone: none will follow.
                    return;
                }
            }
        }
    }
}

/// Serves a new connection, at the limit in the place of an idle one; where none gives way it is closed unread.
async fn admit(context: &Rc<ClientContext>, tasks: &mut JoinSet<()>, stream: TcpStream, most: usize) {
    if tasks.len() >= most && context.limit.evict_oldest() {
        // One that finds a request in that moment does not end, and stays.
        if let Ok(Some(done)) = timeout(EVICTION_TIMEOUT, tasks.join_next()).await {
            log_panic(done);
        }
    }
    if tasks.len() >= most {
        context.limit.record_rejected();
        return;
    }
    let over_limit = context.update_crowded(tasks.len(), most);
    let _ = stream.set_nodelay(true);
    tasks.spawn_local(Connection::serve(stream, context.clone(), over_limit));
}

/// A connection's task has ended; a panic ends the connection it happened on alone.
fn log_panic(done: Result<(), JoinError>) {
    if done.is_err() {
        tracing::error!("a connection's task panicked; its connection is closed");
    }
}
