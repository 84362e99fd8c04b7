//! The workers of the endpoint list, and the idle connections to them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use tokio::task::AbortHandle;

use super::connection::{Connection, ConnectionGuard, IdleConnection};
use crate::engine::{AttemptId, Clock, Handle, ListedEndpoint, Micros};
use crate::net::http::status::{self, Status};
use crate::net::memory::MemoryAccount;
use crate::net::metrics::Metrics;
use crate::net::ConfigReceiver;
use dispatch_core::api::{ListScope, LoadReport, WorkerId, WorkerState};
use dispatch_core::load_report::{LoadReportFormat, ParsedLoadReport};

/// Time after a response within which a worker may send it a second time.
const SECOND_RESPONSE_TIME: Micros = 50_000;

/// A worker of the endpoint list.
#[derive(Default)]
pub(crate) struct Worker {
    /// Index of the worker's zone in the settings.
    pub(crate) zone: Cell<u32>,
    /// Start time of the worker according to discovery, in seconds of Unix time.
    pub(crate) started_at: Cell<f64>,
    /// Address on which the worker listens; `None` if the list had no address for it.
    pub(crate) address: Cell<Option<SocketAddr>>,
    /// True if the worker takes new work according to discovery.
    pub(crate) accepts_work: Cell<bool>,
    /// True if the worker is in the endpoint list, serving or draining.
    listed: Cell<bool>,
    /// Idle connections, the most recently used last.
    idle: RefCell<Vec<IdleConnection>>,
}

/// Identity of a response, by which one that the worker sends a second time, some milliseconds late, is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseIdentity {
    /// The response named its request.
    Named,
    /// Nothing ties the response to its request. A second one would be taken for the response to the next request.
    Unnamed,
}

impl ResponseIdentity {
    /// Each line of a job's response with status 200 names the job, and what names none is no such line. A response with
    /// another status names nothing.
    pub(super) fn of_status(status: Status) -> ResponseIdentity {
        if status == status::OK {
            ResponseIdentity::Named
        } else {
            ResponseIdentity::Unnamed
        }
    }
}

impl Worker {
    /// Removes and returns the most recently used idle connection that has rested long enough.
    fn take_rested(&self, now: Micros) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let rested = idle.iter().rposition(|connection| connection.usable_from <= now)?;
        Some(idle.remove(rested))
    }

    /// Returns the time at which the connection that has been idle longest became idle; `None` without idle
    /// connections.
    fn longest_idle_since(&self) -> Option<Micros> {
        self.idle.borrow().first().map(|connection| connection.idle_since)
    }
}

/// The workers, the connections to them, and the tasks that use the connections.
pub(crate) struct Pool {
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) memory: Rc<MemoryAccount>,
    pub(crate) config: ConfigReceiver,
    pub(crate) clock: Clock,
    pub(crate) handle: Handle,
    /// Number of attempts started so far.
    pub(crate) attempts_started: Cell<u64>,
    /// Workers of the endpoint list, and removed workers that are still in use.
    pub(crate) workers: RefCell<FxHashMap<WorkerId, Rc<Worker>>>,
    /// Attempts in flight.
    pub(crate) attempts: RefCell<FxHashMap<AttemptId, AbortHandle>>,
    /// Health checks in flight.
    pub(crate) health_checks: RefCell<FxHashMap<WorkerId, AbortHandle>>,
    /// Number of connections that are open or being established.
    pub(super) open_connections: Cell<usize>,
}

impl Pool {
    pub(crate) fn new(
        configs: ConfigReceiver,
        clock: Clock,
        handle: Handle,
        metrics: Rc<Metrics>,
        memory: Rc<MemoryAccount>,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            metrics,
            memory,
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

    /// Updates the workers from the endpoint list or a part of it. Closes the idle connections to workers that take no
    /// more work, and aborts their health checks.
    pub(crate) fn update_workers(&self, scope: ListScope, endpoints: &[ListedEndpoint]) {
        let mut workers = self.workers.borrow_mut();
        if scope != ListScope::Incremental {
            // Workers without an entry in a full list are removed.
            for worker in workers.values() {
                worker.accepts_work.set(false);
                worker.listed.set(false);
            }
        }
        for listed in endpoints {
            let worker = workers.entry(listed.endpoint.worker).or_default();
            self.update_worker(worker, listed);
        }
        for (id, worker) in workers.iter().filter(|(_, worker)| !worker.accepts_work.get()) {
            self.close_idle(worker);
            // A worker that takes no more work needs no health check.
            if let Some(task) = self.health_checks.borrow().get(id) {
                task.abort();
            }
        }
        // A worker that is no longer listed is kept until the last attempt that uses it has ended.
        workers.retain(|_, worker| worker.listed.get() || Rc::strong_count(worker) > 1);
        let listed = workers.values().filter(|worker| worker.listed.get()).count();
        self.metrics.workers_known.set(listed.try_into().unwrap_or(i64::MAX));
    }

    fn update_worker(&self, worker: &Worker, listed: &ListedEndpoint) {
        if listed.address.is_some() && listed.address != worker.address.get() {
            worker.address.set(listed.address);
            self.close_idle(worker);
        }
        worker.zone.set(listed.endpoint.zone);
        worker.started_at.set(listed.endpoint.started_at);
        worker.accepts_work.set(listed.accepts_work());
        worker.listed.set(listed.endpoint.state != WorkerState::Removed);
    }

    /// Closes the idle connections that have timed out or that the worker has closed.
    pub(crate) fn close_expired_connections(&self) {
        let now = self.clock.now();
        let idle_timeout = self.config.borrow().idle_timeout;
        for worker in self.workers.borrow().values() {
            self.retain_idle(worker, |idle| now < idle.idle_since + idle_timeout && idle.is_usable());
        }
    }

    /// Closes all idle connections to a worker.
    pub(crate) fn close_idle(&self, worker: &Worker) {
        self.retain_idle(worker, |_| false);
    }

    /// Closes the idle connections that do not satisfy the predicate.
    fn retain_idle(&self, worker: &Worker, keep: impl Fn(&IdleConnection) -> bool) {
        let mut idle = worker.idle.borrow_mut();
        let before = idle.len();
        idle.retain(keep);
        self.open_connections.set(self.open_connections.get() - (before - idle.len()));
    }

    /// Returns true if one more connection may be opened; at the limit, the connection that has been idle longest is
    /// closed to make room.
    pub(super) fn ensure_capacity(&self) -> bool {
        if self.open_connections.get() < self.config.borrow().worker_sockets {
            return true;
        }
        let workers = self.workers.borrow();
        let with_idle = workers.values().filter(|worker| !worker.idle.borrow().is_empty());
        let Some(worker) = with_idle.min_by_key(|worker| worker.longest_idle_since()) else {
            return false;
        };
        worker.idle.borrow_mut().remove(0);
        self.open_connections.set(self.open_connections.get() - 1);
        true
    }

    /// Returns the most recently used idle connection that is still usable.
    pub(super) fn take_idle(self: &Rc<Self>, worker: &Worker) -> Option<Connection> {
        let now = self.clock.now();
        let idle_timeout = self.config.borrow().idle_timeout;
        loop {
            let idle = worker.take_rested(now)?;
            self.open_connections.set(self.open_connections.get() - 1);
            // If the worker has closed the connection, a request written to it is reset and counts as a job that may
            // have run.
            if now < idle.idle_since + idle_timeout && idle.is_usable() {
                let guard = ConnectionGuard::new(self);
                return Some(Connection { stream: idle.stream, is_reused: true, guard });
            }
        }
    }

    /// Returns a connection to the pool, unless the worker takes no more work. After a response without a name, the
    /// connection rests until a second one would have arrived, which then shows as unsolicited bytes.
    pub(super) fn return_connection(
        &self,
        worker: &Worker,
        connection: Connection,
        response: ResponseIdentity,
    ) {
        let Connection { stream, guard, .. } = connection;
        if worker.accepts_work.get() {
            let idle_since = self.clock.now();
            let rest = if response == ResponseIdentity::Unnamed { SECOND_RESPONSE_TIME } else { 0 };
            let usable_from = idle_since + rest;
            worker.idle.borrow_mut().push(IdleConnection { stream, idle_since, usable_from });
            self.open_connections.set(self.open_connections.get() + 1);
        }
        drop(guard);
    }

    /// Parses a load report in the format of the settings; a malformed one is counted and ignored.
    pub(super) fn parse_load_report(
        &self,
        parse: impl FnOnce(&LoadReportFormat) -> ParsedLoadReport,
    ) -> Option<LoadReport> {
        let ParsedLoadReport { load, malformed } = parse(&self.config.borrow().settings.load_report_format);
        if malformed {
            self.metrics.malformed_reports.inc();
        }
        load
    }
}
