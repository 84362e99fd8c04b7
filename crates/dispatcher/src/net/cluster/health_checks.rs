//! Watching workers for the fleet, where our own settings ask for it: this dispatcher probes the sets that it owns,
//! tells all members which workers fail, and hands what it hears from other watchers to the engine as evidence.

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
use cluster_member::record::RecordKind;
use cluster_member::wire::Effect;
use coordination::{FencingToken, Micros};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{interval, MissedTickBehavior};

use super::timing::PUBLISH_INTERVAL;
use crate::engine::Input;
use crate::net::metrics::ClusterMetrics;
use crate::net::worker::health_check;
use crate::net::worker::pool::Pool;
use dispatch_core::api::WorkerId;

/// One set in one term of ours.
struct Term {
    token: FencingToken,
    rounds: HealthCheckScheduler,
    publisher: Publisher,
    /// The probes that are out.
    health_checks: BTreeMap<u64, AbortHandle>,
}

impl Drop for Term {
    fn drop(&mut self) {
        self.health_checks.values().for_each(AbortHandle::abort);
    }
}

/// This dispatcher's part in watching workers.
pub(super) struct ClusterHealthChecks {
    config: HealthCheckConfig,
    /// Our own zone.
    zone: String,
    member: Member,
    pool: Rc<Pool>,
    metrics: ClusterMetrics,
    terms: RefCell<BTreeMap<u16, Term>>,
    /// What all our sets say of each zone.
    zones: RefCell<ZoneLiveness>,
    reports: RefCell<HealthReports>,
    /// What the engine was told is held against whom.
    notified: RefCell<BTreeMap<u64, UnhealthyVerdict>>,
}

impl ClusterHealthChecks {
    pub(super) fn new(
        how: HealthCheckConfig,
        zone: String,
        member: Member,
        pool: Rc<Pool>,
        metrics: ClusterMetrics,
    ) -> ClusterHealthChecks {
        let reports = RefCell::new(HealthReports::new(how));
        let (terms, notified, zones) = (RefCell::default(), RefCell::default(), RefCell::default());
        ClusterHealthChecks { config: how, zone, member, pool, metrics, terms, zones, reports, notified }
    }

    /// Another member says what it sees; its token was found good.
    pub(super) fn handle_report(&self, effect: &Effect) {
        let Some(set) = self.config.set_of_lease(&effect.lease) else { return };
        match HealthReport::decode(&effect.body) {
            Some(report) => {
                self.reports.borrow_mut().record(set, effect.token, report, clock::now());
                self.notify_engine();
            }
            None => tracing::warn!(lease = %effect.lease, "health report cannot be decoded"),
        }
    }

    /// Whether something is held against this worker here.
    pub(super) fn is_reported_failing(&self, worker: WorkerId) -> bool {
        self.notified.borrow().contains_key(&worker.0)
    }

    /// Watches for as long as the program runs.
    pub(super) async fn run(self: Rc<Self>) {
        let mut rounds = interval(PUBLISH_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            self.update_terms();
            self.start_due_checks();
            self.publish_reports();
            // What lapses is taken back without anybody saying so.
            self.notify_engine();
        }
    }

    /// Notices which sets are ours.
    fn update_terms(&self) {
        let owned: BTreeMap<u16, FencingToken> = self
            .member
            .held_leases()
            .into_iter()
            .filter_map(|held| Some((self.config.set_of_lease(&held.lease)?, held.token)))
            .collect();
        let mut terms = self.terms.borrow_mut();
        terms.retain(|set, term| owned.get(set) == Some(&term.token));
        for (set, token) in owned {
            terms.entry(set).or_insert_with(|| {
                tracing::info!(set, token = token.0, "holds a health-check lease");
                let lease = coordination::LeaseId::worker_set(&self.config.lease_name(), set);
                Term {
                    token,
                    rounds: HealthCheckScheduler::new(self.config, &self.zone),
                    publisher: Publisher::new(&self.member, lease, token),
                    health_checks: BTreeMap::new(),
                }
            });
        }
    }

    /// Probes what is due in the sets that are ours.
    fn start_due_checks(self: &Rc<Self>) {
        let now = clock::now();
        let (mut terms, configs) = (self.terms.borrow_mut(), self.pool.config.borrow());
        let zones = &configs.names.zones;
        let peers = self.pool.workers.borrow();
        let (mut watched, mut failing) = (0, 0);
        for (set, term) in terms.iter_mut() {
            let ours = peers.iter().filter(|(id, peer)| {
                peer.accepts_work.get() && self.config.set_of_worker(id.0, peer.zone.get()) == *set
            });
            let zone = |at: u32| zones.get(at as usize).map_or("", String::as_str);
            term.rounds.update_workers(now, ours.map(|(id, peer)| (id.0, zone(peer.zone.get()))));
            for worker in term.rounds.due_probes(now) {
                let task = spawn_local(self.clone().check_worker(*set, term.token, worker));
                term.health_checks.insert(worker, task.abort_handle());
            }
            let counts = term.rounds.worker_counts();
            (watched, failing) = (watched + counts.checked, failing + counts.failing);
        }
        self.metrics.workers_checked.set(watched as i64);
        self.metrics.workers_failing.set(failing as i64);
    }

    async fn check_worker(self: Rc<Self>, set: u16, token: FencingToken, worker: u64) {
        let lease = coordination::LeaseId::worker_set(&self.config.lease_name(), set);
        let may = || {
            // The last thing before the write: a look at the lease by the clock, and the time for the next one.
            let now = clock::now();
            let holds_lease = self.member.lease_client().borrow().holds_lease(&lease, token, now);
            let may = holds_lease || self.config.injected_bug == Some(InjectedBug::SkipLeaseCheck);
            if may {
                let what = serde_json::json!({"duty": lease.to_string(), "token": token.0, "worker": worker});
                self.member.recorder().record(now, RecordKind::EffectSent, what);
                self.with_term(set, token, |term| term.rounds.probe_sent(worker, now));
                self.metrics.health_checks.inc();
            }
            may
        };
        let well = health_check::check_on_new_connection(&self.pool, WorkerId(worker), may).await;
        self.with_term(set, token, |term| {
            term.health_checks.remove(&worker);
            term.rounds.probe_finished(worker, well, clock::now(), &mut self.zones.borrow_mut());
        });
    }

    /// Does something with a term that is still ours.
    fn with_term(&self, set: u16, token: FencingToken, change: impl FnOnce(&mut Term)) {
        if let Some(term) = self.terms.borrow_mut().get_mut(&set).filter(|term| term.token == token) {
            change(term);
        }
    }

    /// Tells the members what is due, ourselves first.
    fn publish_reports(&self) {
        for (set, term) in self.terms.borrow_mut().iter_mut() {
            let now = clock::now();
            let Some(report) = term.rounds.next_report(now, &self.zones.borrow()) else { continue };
            term.publisher.publish(report.encode());
            self.reports.borrow_mut().record(*set, term.token, report, now);
        }
    }

    /// Tells the engine what is held against whom, where that has changed.
    fn notify_engine(&self) {
        let now = clock::now();
        let against = self.reports.borrow().verdicts(now);
        let mut notified = self.notified.borrow_mut();
        if *notified == against {
            return;
        }
        let tell = |worker: u64, ago: Micros, holds: Micros| {
            let what = serde_json::json!({"worker": worker, "holds": holds});
            self.member.recorder().record(now, RecordKind::VerdictApplied, what);
            self.pool.handle.send(Input::UnhealthyReported {
                worker: WorkerId(worker),
                observed_ago: ago,
                valid_for: holds,
            });
        };
        for worker in notified.keys().filter(|worker| !against.contains_key(worker)) {
            tracing::info!(worker, "worker no longer reported unhealthy");
            tell(*worker, 0, 0);
        }
        for (worker, one) in against.iter().filter(|(worker, one)| notified.get(worker) != Some(one)) {
            if !notified.contains_key(worker) {
                tracing::info!(worker, "worker reported unhealthy");
            }
            tell(*worker, now.saturating_sub(one.last_failure), one.expires_at.saturating_sub(now));
        }
        self.metrics.workers_reported_failing.set(against.len() as i64);
        *notified = against;
    }
}
