//! Slow-start quotas: the lease holder divides the work that workers in slow start can take among all processes. Each
//! process passes its grants to the engine, which uses them in addition to the planned share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use cluster_member::clock;
use cluster_member::effects::Publisher;
use cluster_member::member::Member;
use cluster_member::slow_start::{
    EndpointAges, GrantFilter, QuotaAllocator, QuotaConfig, QuotaGrants, SlowStartProfile, UsableQuota,
    UsageReport, SLOW_START_LEASE,
};
use cluster_member::wire::Effect;
use coordination::{FencingToken, LeaseId, Micros};

use super::held_lease::held_token;
use super::recorded_event::RecordedEvent;
use super::timing::{periodic, PUBLISH_INTERVAL};
use crate::engine::Input;
use crate::net::metrics::ClusterMetrics;
use crate::net::worker::pool::Pool;
use dispatch_core::api::WorkerId;

/// Ticks between two allocations.
const ALLOCATION_TICKS: u32 = 2;
/// Ticks between two updates of the ages of listed workers.
const AGE_UPDATE_TICKS: u32 = 10;
/// Weight of the newest sample in the exponential moving average of the job rate.
const JOB_RATE_SMOOTHING: f64 = 0.1;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// A term of this member's slow-start lease.
struct Term {
    token: FencingToken,
    allocator: Rc<RefCell<QuotaAllocator>>,
    publisher: Publisher,
}

/// Parameters of [`SlowStartQuota`].
pub(super) struct SlowStartParameters {
    pub(super) config: QuotaConfig,
    pub(super) profile: SlowStartProfile,
    /// Mean work of a job in slot-seconds, kept current by the engine.
    pub(super) mean_job_work: Rc<Cell<f64>>,
    /// Seed of the random choice of processes for grants.
    pub(super) seed: u64,
}

/// This member's part in slow-start quotas.
pub(super) struct SlowStartQuota {
    config: QuotaConfig,
    profile: SlowStartProfile,
    member: Member,
    pool: Rc<Pool>,
    metrics: ClusterMetrics,
    /// Random number that distinguishes this process from earlier and later ones with the same name.
    process_id: u64,
    mean_job_work: Rc<Cell<f64>>,
    jobs_per_second: Cell<f64>,
    attempts_counted: Cell<u64>,
    ages: RefCell<EndpointAges>,
    granted: RefCell<GrantFilter>,
    term: RefCell<Option<Term>>,
    random: RefCell<fastrand::Rng>,
}

impl SlowStartQuota {
    pub(super) fn new(
        parameters: SlowStartParameters,
        member: Member,
        pool: Rc<Pool>,
        metrics: ClusterMetrics,
    ) -> SlowStartQuota {
        let process_id = clock::random_id();
        SlowStartQuota {
            config: parameters.config,
            profile: parameters.profile,
            member,
            pool,
            metrics,
            process_id,
            mean_job_work: parameters.mean_job_work,
            jobs_per_second: Cell::default(),
            attempts_counted: Cell::default(),
            ages: RefCell::default(),
            granted: RefCell::new(GrantFilter::new(process_id, &parameters.config)),
            term: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(parameters.seed)),
        }
    }

    /// Accepts the grants of a lease holder whose token was accepted. Returns the encoded usage report for the lease
    /// holder.
    pub(super) fn handle_grants(&self, effect: &Effect) -> Vec<u8> {
        match QuotaGrants::decode(&effect.body) {
            Some(grants) => self.accept_grants(effect.token, effect.sequence, &grants),
            None => tracing::warn!("cannot decode a slow-start quota of the lease holder"),
        }
        self.usage_report().encode()
    }

    fn usage_report(&self) -> UsageReport {
        UsageReport {
            process_id: self.process_id,
            clock_reading: clock::now(),
            jobs_per_second: self.jobs_per_second.get(),
            typical_work: self.mean_job_work.get(),
        }
    }

    fn accept_grants(&self, token: FencingToken, sequence: u64, grants: &QuotaGrants) {
        let now = clock::now();
        for quota in self.granted.borrow_mut().accept(token, sequence, grants, now) {
            self.notify_engine(token, &quota, now);
        }
    }

    fn notify_engine(&self, token: FencingToken, quota: &UsableQuota, now: Micros) {
        let UsableQuota { worker, work, expires_at } = *quota;
        let event = RecordedEvent::QuotaGranted { token: token.0, expires_at, work, worker };
        event.write(self.member.recorder(), now);
        self.metrics.quota_granted.inc_by(work);
        self.pool.handle.send(Input::QuotaGranted {
            worker: WorkerId(worker),
            work,
            expires_at: self.pool.clock.now() + expires_at.saturating_sub(now),
        });
    }

    /// Measures the job rate, and allocates quotas while this member holds the lease. Never returns.
    pub(super) async fn run(self: Rc<Self>) {
        let mut ticks = periodic(PUBLISH_INTERVAL);
        let mut tick_count = 0u32;
        let mut last_tick = clock::now();
        loop {
            ticks.tick().await;
            tick_count = tick_count.wrapping_add(1);
            let now = clock::now();
            self.update_job_rate(now - last_tick);
            last_tick = now;
            if tick_count % AGE_UPDATE_TICKS == 1 {
                self.update_ages(now);
            }
            self.update_term(now);
            if tick_count % ALLOCATION_TICKS == 0 {
                self.allocate(now);
            }
        }
    }

    fn update_job_rate(&self, elapsed: Micros) {
        let started = self.pool.attempts_started.get();
        let new_attempts = started - self.attempts_counted.replace(started);
        let sample = new_attempts as f64 / (elapsed.max(1) as f64 / MICROS_PER_SECOND);
        let smoothed = self.jobs_per_second.get();
        self.jobs_per_second.set(smoothed + JOB_RATE_SMOOTHING * (sample - smoothed));
    }

    fn update_ages(&self, now: Micros) {
        let workers = self.pool.workers.borrow();
        let serving = workers.iter().filter(|(_, worker)| worker.accepts_work.get());
        let starts = serving.map(|(id, worker)| (id.0, worker.started_at.get().to_bits()));
        self.ages.borrow_mut().update(now, starts);
    }

    fn update_term(&self, now: Micros) {
        let lease = LeaseId::fleet(SLOW_START_LEASE);
        let mut term = self.term.borrow_mut();
        let Some(token) = held_token(&self.member, &lease) else {
            *term = None;
            return;
        };
        if term.as_ref().is_none_or(|term| term.token != token) {
            *term = Some(self.start_term(lease, token, now));
        }
    }

    fn start_term(&self, lease: LeaseId, token: FencingToken, now: Micros) -> Term {
        tracing::info!(token = token.0, "holds the slow-start lease");
        let allocator = Rc::new(RefCell::new(QuotaAllocator::new(self.config, self.profile, now)));
        let reported_to = allocator.clone();
        let record_usage = move |response: &[u8]| {
            if let Some(usage) = UsageReport::decode(response) {
                reported_to.borrow_mut().record_usage(usage, clock::now());
            }
        };
        let publisher = Publisher::with_response_handler(&self.member, lease, token, record_usage);
        Term { token, allocator, publisher }
    }

    /// Allocates and publishes grants. Does nothing unless this member holds the lease and a worker is in slow start.
    fn allocate(&self, now: Micros) {
        let mut term = self.term.borrow_mut();
        let Some(term) = term.as_mut() else { return };
        if !self.ages.borrow().any_younger(now, self.profile.ramp_duration) {
            return;
        }
        let grants = self.allocate_grants(&mut term.allocator.borrow_mut(), now);
        let sequence = term.publisher.publish(grants.encode());
        // This member checks the lease immediately before it uses its own grants, as the publisher does for other
        // members.
        if self.member.holds_lease(&LeaseId::fleet(SLOW_START_LEASE), term.token) {
            self.accept_grants(term.token, sequence, &grants);
        }
    }

    fn allocate_grants(&self, allocator: &mut QuotaAllocator, now: Micros) -> QuotaGrants {
        allocator.record_usage(self.usage_report(), now);
        let mut random = self.random.borrow_mut();
        let grants = allocator.allocate(now, &self.ages.borrow(), || random.f64());
        self.metrics.quota_allocated.set(allocator.total_granted());
        grants
    }
}
