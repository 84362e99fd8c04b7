//! Cold grants, where our own settings ask for them: one member hands out what cold workers bear from all dispatchers
//! together, and each gives its engine what it is granted on top of the planned share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use cluster_member::clock;
use cluster_member::effects::Publisher;
use cluster_member::member::Member;
use cluster_member::record::RecordKind;
use cluster_member::slow_start::{
    EndpointAges, GrantedQuota, QuotaAllocator, QuotaConfig, QuotaGrants, SlowStartProfile, UsageReport,
    SLOW_START_LEASE,
};
use cluster_member::wire::Effect;
use coordination::{FencingToken, HeldLease, LeaseId, Micros};
use tokio::time::{interval, MissedTickBehavior};

use super::timing::PUBLISH_INTERVAL;
use crate::engine::Input;
use crate::net::metrics::ClusterMetrics;
use crate::net::worker::pool::Pool;
use dispatch_core::api::WorkerId;

/// Grants are made every so many rounds.
const ALLOCATION_ROUNDS: u32 = 2;
/// The list is looked through for workers that started every so many rounds.
const AGE_UPDATE_ROUNDS: u32 = 10;
/// How much of what was seen in one second of rounds goes into the figure of jobs a second.
const JOB_RATE_SMOOTHING: f64 = 0.1;

struct Term {
    token: FencingToken,
    dealer: Rc<RefCell<QuotaAllocator>>,
    publisher: Publisher,
}

/// This dispatcher's part in cold grants.
pub(super) struct SlowStartQuota {
    config: QuotaConfig,
    profile: SlowStartProfile,
    member: Member,
    pool: Rc<Pool>,
    metrics: ClusterMetrics,
    /// A number that tells this process from others of its name.
    process: u64,
    /// What a usual job asks of a worker, by the module.
    usual_job_cost: Rc<Cell<f64>>,
    jobs_per_s: Cell<f64>,
    attempts_counted: Cell<u64>,
    ages: RefCell<EndpointAges>,
    purse: RefCell<GrantedQuota>,
    term: RefCell<Option<Term>>,
    random: RefCell<fastrand::Rng>,
}

impl SlowStartQuota {
    pub(super) fn new(
        (how, warming): (QuotaConfig, SlowStartProfile),
        member: Member,
        pool: Rc<Pool>,
        metrics: ClusterMetrics,
        usual: Rc<Cell<f64>>,
        seed: u64,
    ) -> SlowStartQuota {
        let process = clock::random_id();
        SlowStartQuota {
            config: how,
            profile: warming,
            member,
            pool,
            metrics,
            process,
            usual_job_cost: usual,
            jobs_per_s: Cell::default(),
            attempts_counted: Cell::default(),
            ages: RefCell::default(),
            purse: RefCell::new(GrantedQuota::new(process, &how)),
            term: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
        }
    }

    /// The owner says what it grants, its token was found good; the answer says what is used here.
    pub(super) fn handle_grants(&self, effect: &Effect) -> Vec<u8> {
        match QuotaGrants::decode(&effect.body) {
            Some(grants) => self.apply_grants(effect.token, effect.sequence, &grants),
            None => tracing::warn!("slow-start quota cannot be decoded"),
        }
        self.usage_report().encode()
    }

    fn usage_report(&self) -> UsageReport {
        let (asked, usual) = (clock::now(), self.usual_job_cost.get());
        UsageReport {
            process_id: self.process,
            clock_reading: asked,
            jobs_per_second: self.jobs_per_s.get(),
            typical_work: usual,
        }
    }

    fn apply_grants(&self, token: FencingToken, version: u64, grants: &QuotaGrants) {
        let now = clock::now();
        for usable in self.purse.borrow_mut().accept(token, version, grants, now) {
            let at = self.pool.clock.now() + usable.expires_at.saturating_sub(now);
            let (worker, work, until) = (usable.worker, usable.work, usable.expires_at);
            let what = serde_json::json!({"worker": worker, "work": work, "until": until, "token": token.0});
            self.member.recorder().record(now, RecordKind::QuotaGranted, what);
            self.metrics.quota_granted.inc_by(work);
            self.pool.handle.send(Input::QuotaGranted { worker: WorkerId(worker), work, expires_at: at });
        }
    }

    /// Keeps count, and hands out while the duty is ours, for as long as the program runs.
    pub(super) async fn run(self: Rc<Self>) {
        let mut rounds = interval(PUBLISH_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0u32;
        let mut before = clock::now();
        loop {
            rounds.tick().await;
            count = count.wrapping_add(1);
            let now = clock::now();
            self.update_job_rate(now - before);
            before = now;
            if count % AGE_UPDATE_ROUNDS == 1 {
                self.update_ages(now);
            }
            self.update_term(now);
            if count % ALLOCATION_ROUNDS == 0 {
                self.allocate(now);
            }
        }
    }

    fn update_job_rate(&self, span: Micros) {
        let begun = self.pool.attempts_started.get();
        let seen = (begun - self.attempts_counted.replace(begun)) as f64 / (span.max(1) as f64 / 1e6);
        self.jobs_per_s.set(self.jobs_per_s.get() + JOB_RATE_SMOOTHING * (seen - self.jobs_per_s.get()));
    }

    fn update_ages(&self, now: Micros) {
        let peers = self.pool.workers.borrow();
        let serving = peers.iter().filter(|(_, peer)| peer.accepts_work.get());
        self.ages.borrow_mut().update(now, serving.map(|(id, peer)| (id.0, peer.started_at.get().to_bits())));
    }

    fn update_term(&self, now: Micros) {
        let lease = LeaseId::fleet(SLOW_START_LEASE);
        let held = self.member.held_leases().into_iter().find(|held| held.lease == lease);
        let mut term = self.term.borrow_mut();
        match held {
            Some(HeldLease { token, .. }) if term.as_ref().is_some_and(|term| term.token == token) => {}
            Some(HeldLease { lease, token }) => {
                tracing::info!(token = token.0, "holds the slow-start lease");
                let dealer = Rc::new(RefCell::new(QuotaAllocator::new(self.config, self.profile, now)));
                let hears = dealer.clone();
                let publisher =
                    Publisher::with_response_handler(&self.member, lease, token, move |response| {
                        if let Some(used) = UsageReport::decode(response) {
                            hears.borrow_mut().record_usage(used, clock::now());
                        }
                    });
                *term = Some(Term { token, dealer, publisher });
            }
            None => *term = None,
        }
    }

    /// Grants what can be granted now. While no worker is cold nothing is said.
    fn allocate(&self, now: Micros) {
        let mut term = self.term.borrow_mut();
        let Some(term) =
            term.as_mut().filter(|_| self.ages.borrow().any_younger(now, self.profile.ramp_duration))
        else {
            return;
        };
        let grants = {
            let mut dealer = term.dealer.borrow_mut();
            dealer.record_usage(self.usage_report(), now);
            let mut random = self.random.borrow_mut();
            let grants = dealer.allocate(now, &self.ages.borrow(), || random.f64());
            self.metrics.quota_allocated.set(dealer.total_granted());
            grants
        };
        let version = term.publisher.publish(grants.encode());
        // Our own part, by the same rules as everybody's: the lease is looked at immediately before.
        if self.member.holds_lease(&LeaseId::fleet(SLOW_START_LEASE), term.token) {
            self.apply_grants(term.token, version, &grants);
        }
    }
}
