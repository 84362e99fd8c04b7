//! The workers as the list names them, and the connections to them that are kept for further requests.

use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::engine::{AttemptId, Clock, Handle, ListedEndpoint, Micros};
use crate::net::metrics::Metrics;
use crate::net::ConfigReceiver;
use dispatch_core::api::{ListScope, LoadReport, WorkerId, WorkerState};
use dispatch_core::load_report::{LoadReportFormat, ParsedLoadReport};

/// A connection on which nothing is out.
struct IdleConnection {
    stream: TcpStream,
    idle_since: Micros,
}

impl IdleConnection {
    /// The worker has neither closed it nor sent anything that nobody asked for. It asks the socket itself:
    /// what the runtime knows of it may be older.
    fn is_usable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// A worker as the pool knows it.
pub(crate) struct Worker {
    /// Its zone, by its place in the settings.
    pub(crate) zone: Cell<u32>,
    /// When it started, as discovery says.
    pub(crate) started_at: Cell<f64>,
    pub(crate) address: Cell<Option<SocketAddr>>,
    /// It takes new work, as far as discovery told.
    pub(crate) accepts_work: Cell<bool>,
    /// The list names it, whether it takes new work or drains.
    listed: Cell<bool>,
    /// The last one was used last.
    idle: RefCell<Vec<IdleConnection>>,
}

pub(crate) struct Pool {
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) config: ConfigReceiver,
    pub(crate) clock: Clock,
    /// Attempts that were begun.
    pub(crate) attempts_started: Cell<u64>,
    pub(crate) handle: Handle,
    pub(crate) workers: RefCell<FxHashMap<WorkerId, Rc<Worker>>>,
    /// The attempts that are out.
    pub(crate) attempts: RefCell<FxHashMap<AttemptId, AbortHandle>>,
    /// The probes that are out.
    pub(crate) health_checks: RefCell<FxHashMap<WorkerId, AbortHandle>>,
    /// Connections that are open or coming up.
    open_connections: Cell<usize>,
}

/// Counts a connection while it lives.
pub(crate) struct ConnectionGuard(Rc<Pool>);

impl ConnectionGuard {
    pub(crate) fn new(pool: &Rc<Pool>) -> ConnectionGuard {
        pool.open_connections.set(pool.open_connections.get() + 1);
        ConnectionGuard(pool.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

impl Pool {
    pub(crate) fn new(
        configs: ConfigReceiver,
        clock: Clock,
        handle: Handle,
        metrics: Rc<Metrics>,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            metrics,
            config: configs,
            clock,
            attempts_started: Cell::default(),
            handle,
            workers: RefCell::default(),
            attempts: RefCell::default(),
            health_checks: RefCell::default(),
            open_connections: Cell::new(0),
        })
    }

    pub(crate) fn update_workers(&self, scope: ListScope, members: &[ListedEndpoint]) {
        let mut peers = self.workers.borrow_mut();
        if scope != ListScope::Incremental {
            // Those that the whole list does not name are gone.
            peers.values().for_each(|peer| {
                peer.accepts_work.set(false);
                peer.listed.set(false);
            });
        }
        for listed in members {
            let peer = peers.entry(listed.endpoint.worker).or_insert_with(|| {
                Rc::new(Worker {
                    zone: Cell::default(),
                    started_at: Cell::default(),
                    address: Cell::default(),
                    accepts_work: Cell::default(),
                    listed: Cell::default(),
                    idle: RefCell::default(),
                })
            });
            if listed.address.is_some() && listed.address != peer.address.get() {
                peer.address.set(listed.address);
                self.retain_idle(peer, |_| false);
            }
            peer.zone.set(listed.endpoint.zone);
            peer.started_at.set(listed.endpoint.started_at);
            peer.accepts_work.set(listed.accepts_work());
            peer.listed.set(listed.endpoint.state != WorkerState::Removed);
        }
        for (worker, peer) in peers.iter().filter(|(_, peer)| !peer.accepts_work.get()) {
            self.retain_idle(peer, |_| false);
            // Nothing new is asked of a worker that drains, and what is out there has no more to tell.
            if let Some(task) = self.health_checks.borrow().get(worker) {
                task.abort();
            }
        }
        // A peer that no attempt uses and nobody may use again is forgotten.
        peers.retain(|_, peer| peer.listed.get() || Rc::strong_count(peer) > 1);
        self.metrics.workers_known.set(count_listed(peers.values().map(|peer| peer.listed.get())));
    }

    pub(crate) fn close_expired_connections(&self) {
        let (now, longest) = (self.clock.now(), self.config.borrow().idle_timeout);
        for peer in self.workers.borrow().values() {
            self.retain_idle(peer, |idle| now < idle.idle_since + longest && idle.is_usable());
        }
    }

    /// Closes all idle connections to a worker.
    pub(crate) fn close_idle(&self, worker: &Worker) {
        self.retain_idle(worker, |_| false);
    }

    /// Drops the idle connections that are not to be kept.
    fn retain_idle(&self, peer: &Worker, keep: impl Fn(&IdleConnection) -> bool) {
        let mut idle = peer.idle.borrow_mut();
        let before = idle.len();
        idle.retain(keep);
        self.open_connections.set(self.open_connections.get() - (before - idle.len()));
    }

    /// Makes room for one more connection, at the cost of the one that was idle longest.
    pub(crate) fn ensure_capacity(&self) -> bool {
        if self.open_connections.get() < self.config.borrow().worker_sockets {
            return true;
        }
        let peers = self.workers.borrow();
        let oldest = peers.values().filter(|p| !p.idle.borrow().is_empty());
        let Some(peer) = oldest.min_by_key(|p| p.idle.borrow().first().map(|i| i.idle_since)) else {
            return false;
        };
        peer.idle.borrow_mut().remove(0);
        self.open_connections.set(self.open_connections.get() - 1);
        true
    }

    /// The connection that was used last and can still be used.
    pub(crate) fn take_idle(self: &Rc<Self>, peer: &Worker) -> Option<(TcpStream, ConnectionGuard, bool)> {
        let (now, longest) = (self.clock.now(), self.config.borrow().idle_timeout);
        loop {
            let idle = peer.idle.borrow_mut().pop()?;
            self.open_connections.set(self.open_connections.get() - 1);
            // A request on a connection that the worker has closed is a reset once written, and may have run.
            if now < idle.idle_since + longest && idle.is_usable() {
                return Some((idle.stream, ConnectionGuard::new(self), true));
            }
        }
    }

    /// Reads a load report by the form that the settings tell; what is malformed is counted and left out.
    pub(crate) fn parse_load_report(
        &self,
        read: impl FnOnce(&LoadReportFormat) -> ParsedLoadReport,
    ) -> Option<LoadReport> {
        let ParsedLoadReport { load, malformed } = read(&self.config.borrow().settings.load_report_format);
        if malformed {
            self.metrics.malformed_reports.inc();
        }
        load
    }

    pub(crate) fn return_connection(&self, peer: &Worker, stream: TcpStream, counted: ConnectionGuard) {
        if peer.accepts_work.get() {
            peer.idle.borrow_mut().push(IdleConnection { stream, idle_since: self.clock.now() });
            self.open_connections.set(self.open_connections.get() + 1);
        }
        drop(counted);
    }
}

pub(crate) async fn connect(pool: &Rc<Pool>, peer: &Worker) -> Option<(TcpStream, ConnectionGuard, bool)> {
    let address = peer.address.get()?;
    let counted = ConnectionGuard::new(pool);
    let patience = Duration::from_micros(pool.config.borrow().dial_timeout);
    let stream = timeout(patience, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, counted, false))
}

/// The workers that the list names, of the peers known; for the figures.
fn count_listed(listed: impl Iterator<Item = bool>) -> i64 {
    listed.filter(|listed| *listed).count().try_into().unwrap_or(i64::MAX)
}
