//! Health checks for the whole cluster: each member probes the worker sets whose leases it holds and publishes which
//! workers fail. The verdicts that follow from the reports of all lease holders are passed to the engine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use cluster_member::clock;
use cluster_member::effects::Publisher;
use cluster_member::health_check::{
    HealthCheckConfig, HealthCheckScheduler, HealthReport, HealthReports, InjectedBug, UnhealthyVerdict,
    ZoneLiveness,
};
use cluster_member::member::Member;
use cluster_member::wire::Effect;
use coordination::{FencingToken, LeaseId, Micros};
use tokio::task::{spawn_local, AbortHandle};

use super::recorded_event::RecordedEvent;
use super::timing::{periodic, PUBLISH_INTERVAL};
use crate::engine::Input;
use crate::net::metrics::ClusterMetrics;
use crate::net::worker::health_check;
use crate::net::worker::pool::Pool;
use dispatch_core::api::WorkerId;

/// A term of this member's lease on one worker set.
struct Term {
    lease: LeaseId,
    token: FencingToken,
    scheduler: HealthCheckScheduler,
    publisher: Publisher,
    /// Tasks of the health checks in flight, by worker.
    checks_in_flight: BTreeMap<u64, AbortHandle>,
}

impl Drop for Term {
    fn drop(&mut self) {
        self.checks_in_flight.values().for_each(AbortHandle::abort);
    }
}

/// A health check to perform in a term of a lease.
struct DueCheck {
    set: u16,
    lease: LeaseId,
    token: FencingToken,
    worker: u64,
}

/// This member's part in the cluster's health checks.
pub(super) struct ClusterHealthChecks {
    config: HealthCheckConfig,
    /// Zone of this member.
    zone: String,
    member: Member,
    pool: Rc<Pool>,
    metrics: ClusterMetrics,
    /// Terms of the leases that this member holds, by worker set.
    terms: RefCell<BTreeMap<u16, Term>>,
    /// Liveness of each zone according to this member's checks of all its sets.
    zones: RefCell<ZoneLiveness>,
    reports: RefCell<HealthReports>,
    /// Verdicts that were last sent to the engine, by worker.
    notified: RefCell<BTreeMap<u64, UnhealthyVerdict>>,
}

impl ClusterHealthChecks {
    pub(super) fn new(
        config: HealthCheckConfig,
        zone: String,
        member: Member,
        pool: Rc<Pool>,
        metrics: ClusterMetrics,
    ) -> ClusterHealthChecks {
        ClusterHealthChecks {
            config,
            zone,
            member,
            pool,
            metrics,
            terms: RefCell::default(),
            zones: RefCell::default(),
            reports: RefCell::new(HealthReports::new(config)),
            notified: RefCell::default(),
        }
    }

    /// Records a health report of a lease holder whose token was accepted.
    pub(super) fn handle_report(&self, effect: &Effect) {
        let Some(set) = self.config.set_of_lease(&effect.lease) else { return };
        let Some(report) = HealthReport::decode(&effect.body) else {
            tracing::warn!(lease = %effect.lease, "cannot decode a health report of the lease holder");
            return;
        };
        self.reports.borrow_mut().record(set, effect.token, report, clock::now());
        self.notify_engine();
    }

    /// Returns whether an unhealthy verdict on this worker is in force.
    pub(super) fn is_reported_failing(&self, worker: WorkerId) -> bool {
        self.notified.borrow().contains_key(&worker.0)
    }

    /// Checks the workers of the sets whose leases this member holds, and publishes health reports. Never returns.
    pub(super) async fn run(self: Rc<Self>) {
        let mut ticks = periodic(PUBLISH_INTERVAL);
        loop {
            ticks.tick().await;
            self.update_terms();
            self.start_due_checks();
            self.publish_reports();
            // Called on each tick, because verdicts expire even if no further report arrives.
            self.notify_engine();
        }
    }

    fn update_terms(&self) {
        let held: BTreeMap<u16, FencingToken> = self
            .member
            .held_leases()
            .into_iter()
            .filter_map(|held| Some((self.config.set_of_lease(&held.lease)?, held.token)))
            .collect();
        let mut terms = self.terms.borrow_mut();
        terms.retain(|set, term| held.get(set) == Some(&term.token));
        for (set, token) in held {
            terms.entry(set).or_insert_with(|| self.start_term(set, token));
        }
    }

    fn start_term(&self, set: u16, token: FencingToken) -> Term {
        tracing::info!(set, token = token.0, "holds a health-check lease");
        let lease = LeaseId::worker_set(&self.config.lease_name(), set);
        Term {
            lease: lease.clone(),
            token,
            scheduler: HealthCheckScheduler::new(self.config, &self.zone),
            publisher: Publisher::new(&self.member, lease, token),
            checks_in_flight: BTreeMap::new(),
        }
    }

    fn start_due_checks(self: &Rc<Self>) {
        let now = clock::now();
        let mut workers_checked = 0;
        let mut workers_failing = 0;
        for (set, term) in self.terms.borrow_mut().iter_mut() {
            self.update_workers(*set, term, now);
            for worker in term.scheduler.due_probes(now) {
                let check = DueCheck { set: *set, lease: term.lease.clone(), token: term.token, worker };
                let task = spawn_local(self.clone().check_worker(check));
                term.checks_in_flight.insert(worker, task.abort_handle());
            }
            let counts = term.scheduler.worker_counts();
            workers_checked += counts.checked;
            workers_failing += counts.failing;
        }
        self.metrics.workers_checked.set(workers_checked as i64);
        self.metrics.workers_failing.set(workers_failing as i64);
    }

    /// Updates the scheduler of a set with the workers of the set that accept new work.
    fn update_workers(&self, set: u16, term: &mut Term, now: Micros) {
        let config = self.pool.config.borrow();
        let zone_name = |position: u32| config.names.zones.name(position);
        let workers = self.pool.workers.borrow();
        let in_set = workers.iter().filter(|(id, worker)| {
            worker.accepts_work.get() && self.config.set_of_worker(id.0, worker.zone.get()) == set
        });
        term.scheduler.update_workers(now, in_set.map(|(id, worker)| (id.0, zone_name(worker.zone.get()))));
    }

    async fn check_worker(self: Rc<Self>, check: DueCheck) {
        let worker = WorkerId(check.worker);
        let healthy =
            health_check::check_on_new_connection(&self.pool, worker, || self.may_send(&check)).await;
        self.with_term(&check, |term| {
            term.checks_in_flight.remove(&check.worker);
            let mut zones = self.zones.borrow_mut();
            term.scheduler.probe_finished(check.worker, healthy, clock::now(), &mut zones);
        });
    }

    /// Returns whether the lease is still held, and records the check if so. Called immediately before the request is
    /// written, so that the clock reading is current.
    fn may_send(&self, check: &DueCheck) -> bool {
        let now = clock::now();
        let holds_lease = self.member.lease_client().borrow().holds_lease(&check.lease, check.token, now);
        if !holds_lease && self.config.injected_bug != Some(InjectedBug::SkipLeaseCheck) {
            return false;
        }
        let event = RecordedEvent::health_check_sent(&check.lease, check.token, check.worker);
        event.write(self.member.recorder(), now);
        self.with_term(check, |term| term.scheduler.probe_sent(check.worker, now));
        self.metrics.health_checks.inc();
        true
    }

    /// Applies a change to the term of a check, unless that term has ended.
    fn with_term(&self, check: &DueCheck, change: impl FnOnce(&mut Term)) {
        let mut terms = self.terms.borrow_mut();
        if let Some(term) = terms.get_mut(&check.set).filter(|term| term.token == check.token) {
            change(term);
        }
    }

    /// Publishes the health reports that are due, and records them at this member as well.
    fn publish_reports(&self) {
        for (set, term) in self.terms.borrow_mut().iter_mut() {
            let now = clock::now();
            let Some(report) = term.scheduler.next_report(now, &self.zones.borrow()) else { continue };
            term.publisher.publish(report.encode());
            self.reports.borrow_mut().record(*set, term.token, report, now);
        }
    }

    /// Sends the verdicts that have changed since the last call to the engine.
    fn notify_engine(&self) {
        let now = clock::now();
        let verdicts = self.reports.borrow().verdicts(now);
        let mut notified = self.notified.borrow_mut();
        if *notified == verdicts {
            return;
        }
        for worker in notified.keys().filter(|worker| !verdicts.contains_key(worker)) {
            tracing::info!(worker, "worker no longer reported unhealthy");
            self.send_verdict(*worker, now, None);
        }
        for (worker, verdict) in &verdicts {
            let previous = notified.get(worker);
            if previous == Some(verdict) {
                continue;
            }
            if previous.is_none() {
                tracing::info!(worker, "worker reported unhealthy");
            }
            self.send_verdict(*worker, now, Some(verdict));
        }
        self.metrics.workers_reported_failing.set(verdicts.len() as i64);
        *notified = verdicts;
    }

    /// Sends the verdict on a worker to the engine; `None` withdraws it.
    fn send_verdict(&self, worker: u64, now: Micros, verdict: Option<&UnhealthyVerdict>) {
        let observed_ago = verdict.map_or(0, |verdict| now.saturating_sub(verdict.last_failure));
        let valid_for = verdict.map_or(0, |verdict| verdict.expires_at.saturating_sub(now));
        RecordedEvent::VerdictChanged { valid_for, worker }.write(self.member.recorder(), now);
        let worker = WorkerId(worker);
        self.pool.handle.send(Input::UnhealthyReported { worker, observed_ago, valid_for });
    }
}
