//! Cold grants, where our own settings ask for them: one member hands out what cold workers bear from all dispatchers
//! together, and each gives its engine what it is granted on top of the planned share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use cluster_member::clock;
use cluster_member::effects::Publisher;
use cluster_member::member::Member;
use cluster_member::slow_start::{
    EndpointAges, GrantedQuota, QuotaAllocator, QuotaConfig, QuotaGrants, SlowStartProfile, UsageReport,
    SLOW_START_LEASE,
};
use cluster_member::wire::Effect;
use coordination::{FencingToken, LeaseId, Micros};
use tokio::time::{interval, MissedTickBehavior};

use super::console::FleetMetrics;
use super::fleet::ROUND;
use super::worker::Pool;
use crate::engine::Input;
use dispatch_core::api::WorkerId;

/// Grants are made every so many rounds.
const DEALS: u32 = 2;
/// The list is looked through for workers that started every so many rounds.
const LISTS: u32 = 10;
/// How much of what was seen in one second of rounds goes into the figure of jobs a second.
const LEARN: f64 = 0.1;

struct Term {
    token: FencingToken,
    dealer: Rc<RefCell<QuotaAllocator>>,
    publisher: Publisher,
}

/// This dispatcher's part in cold grants.
pub(super) struct Colds {
    how: QuotaConfig,
    warming: SlowStartProfile,
    member: Member,
    pool: Rc<Pool>,
    metrics: FleetMetrics,
    /// A number that tells this process from others of its name.
    process: u64,
    /// What a usual job asks of a worker, by the module.
    usual: Rc<Cell<f64>>,
    jobs_per_s: Cell<f64>,
    counted: Cell<u64>,
    ages: RefCell<EndpointAges>,
    purse: RefCell<GrantedQuota>,
    term: RefCell<Option<Term>>,
    random: RefCell<fastrand::Rng>,
}

impl Colds {
    pub(super) fn new(
        (how, warming): (QuotaConfig, SlowStartProfile),
        member: Member,
        pool: Rc<Pool>,
        metrics: FleetMetrics,
        usual: Rc<Cell<f64>>,
        seed: u64,
    ) -> Colds {
        let process = clock::random_id();
        Colds {
            how,
            warming,
            member,
            pool,
            metrics,
            process,
            usual,
            jobs_per_s: Cell::default(),
            counted: Cell::default(),
            ages: RefCell::default(),
            purse: RefCell::new(GrantedQuota::new(process, &how)),
            term: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
        }
    }

    /// The owner says what it grants, its token was found good; the answer says what is used here.
    pub(super) fn heard(&self, effect: &Effect) -> Vec<u8> {
        match QuotaGrants::decode(&effect.body) {
            Some(grants) => self.granted(effect.token, effect.sequence, &grants),
            None => tracing::warn!("what is granted of cold workers cannot be read"),
        }
        self.used().encode()
    }

    fn used(&self) -> UsageReport {
        let (asked, usual) = (clock::now(), self.usual.get());
        UsageReport {
            process_id: self.process,
            clock_reading: asked,
            jobs_per_second: self.jobs_per_s.get(),
            typical_work: usual,
        }
    }

    fn granted(&self, token: FencingToken, version: u64, grants: &QuotaGrants) {
        let now = clock::now();
        for (worker, work, until) in self.purse.borrow_mut().accept(token, version, grants, now) {
            let at = self.pool.clock.now() + until.saturating_sub(now);
            let what = serde_json::json!({"worker": worker, "work": work, "until": until, "token": token.0});
            self.member.recorder().record(now, "granted", what);
            self.metrics.granted.inc_by(work);
            self.pool.handle.tell(Input::Granted(WorkerId(worker), work, at));
        }
    }

    /// Keeps count, and hands out while the duty is ours, for as long as the program runs.
    pub(super) async fn rounds(self: Rc<Self>) {
        let mut rounds = interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0u32;
        let mut before = clock::now();
        loop {
            rounds.tick().await;
            count = count.wrapping_add(1);
            let now = clock::now();
            self.count(now - before);
            before = now;
            if count % LISTS == 1 {
                self.list(now);
            }
            self.own(now);
            if count % DEALS == 0 {
                self.deal(now);
            }
        }
    }

    fn count(&self, span: Micros) {
        let begun = self.pool.begun.get();
        let seen = (begun - self.counted.replace(begun)) as f64 / (span.max(1) as f64 / 1e6);
        self.jobs_per_s.set(self.jobs_per_s.get() + LEARN * (seen - self.jobs_per_s.get()));
    }

    fn list(&self, now: Micros) {
        let peers = self.pool.peers.borrow();
        let serving = peers.iter().filter(|(_, peer)| peer.serves.get());
        self.ages.borrow_mut().update(now, serving.map(|(id, peer)| (id.0, peer.since.get().to_bits())));
    }

    fn own(&self, now: Micros) {
        let duty = LeaseId::fleet(SLOW_START_LEASE);
        let owned = self.member.held_leases().into_iter().find(|(owned, _)| *owned == duty);
        let mut term = self.term.borrow_mut();
        match owned {
            Some((_, token)) if term.as_ref().is_some_and(|term| term.token == token) => {}
            Some((duty, token)) => {
                tracing::info!(token = token.0, "hands out what cold workers bear");
                let dealer = Rc::new(RefCell::new(QuotaAllocator::new(self.how, self.warming, now)));
                let hears = dealer.clone();
                let publisher = Publisher::with_response_handler(&self.member, duty, token, move |said| {
                    if let Some(used) = UsageReport::decode(said) {
                        hears.borrow_mut().record_usage(used, clock::now());
                    }
                });
                *term = Some(Term { token, dealer, publisher });
            }
            None => *term = None,
        }
    }

    /// Grants what can be granted now. While no worker is cold nothing is said.
    fn deal(&self, now: Micros) {
        let mut term = self.term.borrow_mut();
        let Some(term) =
            term.as_mut().filter(|_| self.ages.borrow().any_younger(now, self.warming.ramp_duration))
        else {
            return;
        };
        let grants = {
            let mut dealer = term.dealer.borrow_mut();
            dealer.record_usage(self.used(), now);
            let mut random = self.random.borrow_mut();
            let grants = dealer.allocate(now, &self.ages.borrow(), || random.f64());
            self.metrics.dealt.set(dealer.total_granted());
            grants
        };
        let version = term.publisher.publish(grants.encode());
        // Our own part, by the same rules as everybody's: the lease is looked at immediately before.
        if self.member.holds_lease(&LeaseId::fleet(SLOW_START_LEASE), term.token) {
            self.granted(term.token, version, &grants);
        }
    }
}
