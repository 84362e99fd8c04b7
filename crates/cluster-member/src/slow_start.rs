//! The duty "cold": one owner hands out, by measured use, what cold workers bear from all dispatchers together.
//! Pure: no I/O, no clock, no wall time; randomness comes in as numbers.
//!
//! A cold worker bears `bears(t)`, so much work over a stated span, from all dispatchers together. Two parts of it are
//! used, which do not know of each other:
//!
//! - the *planned share*: each dispatcher has a part without asking anybody, all of them a fourth of it over a slice, so
//!   half of it at the most over any span, which may meet two slices;
//! - *grants*: at most [`Dealing::part`] of it over any span, handed out by the owner of this duty.
//!
//! So whoever uses which, the sum stays within the whole, in any mix of members with and without grants, with and
//! without keepers. What holds of grants, and how:
//!
//! 1. *A grant is usable for `expiry` at the most after it was made.* A receiver counts from a reading of its own clock
//!    that the owner had heard of before, as a lease counts from before it was asked for.
//! 2. *A grant is used once.* It names the process that it is for, and each word of a term is taken once.
//! 3. *What was granted counts until it can be used nowhere any more*: for span, expiry and the time in which what was
//!    spent is written, with the bound on clock rates.
//! 4. *A new owner takes all that the old one may have granted for spent*: it grants nothing for that long.

use std::collections::{BTreeMap, VecDeque};

use coordination::{FencingToken, Micros};
use serde::{Deserialize, Serialize};

/// The name of the duty.
pub const SLOW_START_LEASE: &str = "cold";
/// A member that said nothing for this part of the expiry gets nothing: its clock reading is too old to be of use.
const USAGE_FRESHNESS_DIVISOR: u64 = 2;
/// Every member gets some part, so that one that begins to be busy is not left without: this part of the mean.
const MIN_USAGE_WEIGHT: f64 = 0.05;
/// The most grants in one word.
const MAX_GRANTS: usize = 512;

/// What is dealt out and how; the same at all members.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaConfig {
    /// Slots of the smallest kind of worker.
    pub smallest_worker_slots: f64,
    /// The part of what a cold worker bears that may be granted.
    pub grantable_fraction: f64,
    /// How long a grant is of use.
    pub grant_ttl: Micros,
    /// How long after it was spent a job may reach its worker.
    pub delivery_timeout: Micros,
    /// The most by which two clocks' rates differ, in parts of a million.
    pub skew_ppm: u64,
}

/// What the platform says of cold workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartProfile {
    /// A worker begins with this part of its capacity ...
    pub initial_capacity_fraction: f64,
    /// ... and has all of it after this long, growing evenly.
    pub ramp_duration: Micros,
    /// It falls when it is sent more than this many times what it can do ...
    pub overload_factor: f64,
    /// ... over this span.
    pub overload_window: Micros,
}

impl QuotaConfig {
    /// How long a grant counts: until nothing that it allowed can meet another in one span.
    fn accounting_period(&self, warming: &SlowStartProfile) -> Micros {
        let slower = (self.grant_ttl * 2 * self.skew_ppm).div_ceil(1_000_000) + 1;
        warming.overload_window + self.grant_ttl + slower + self.delivery_timeout
    }
}

/// A part of a cold worker's budget, for one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The process that it is for, by the number that it drew.
    pub process_id: u64,
    /// The last reading of that process's clock that the owner has heard of.
    pub clock_reading: Micros,
    /// The worker, by the number that all members know it by.
    pub worker: u64,
    /// So much work, in slots by seconds.
    pub work: f64,
}

/// What the owner says to all members.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrants(pub Vec<Grant>);

impl QuotaGrants {
    /// The bytes that members are told.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads them; nothing where they are none.
    pub fn decode(bytes: &[u8]) -> Option<QuotaGrants> {
        let grants: QuotaGrants = postcard::from_bytes(bytes).ok()?;
        let sane = |grant: &Grant| grant.work.is_finite() && grant.work > 0.0;
        (grants.0.len() <= MAX_GRANTS && grants.0.iter().all(sane)).then_some(grants)
    }
}

/// What a member says with each word of the owner that it takes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Which process says so.
    pub process_id: u64,
    /// A reading of its clock from before it said so.
    pub clock_reading: Micros,
    /// Jobs that it began a second, of late.
    pub jobs_per_second: f64,
    /// What a usual job asks of a worker there, in slots by seconds.
    pub typical_work: f64,
}

impl UsageReport {
    /// The bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads them.
    pub fn decode(bytes: &[u8]) -> Option<UsageReport> {
        let told: UsageReport = postcard::from_bytes(bytes).ok()?;
        let sane = |figure: f64| figure.is_finite() && (0.0..1e9).contains(&figure);
        (sane(told.jobs_per_second) && sane(told.typical_work)).then_some(told)
    }
}

/// Since when each worker is known, by this process's clock: a lower bound of its age that no wall clock moves.
#[derive(Debug, Clone, Default)]
pub struct EndpointAges(BTreeMap<u64, (u64, Micros)>);

impl EndpointAges {
    /// The workers that take work, and which start of theirs it is, by any figure that another start changes.
    pub fn update(&mut self, now: Micros, workers: impl Iterator<Item = (u64, u64)>) {
        let before = std::mem::take(&mut self.0);
        for (worker, start) in workers {
            let known = before.get(&worker).filter(|known| known.0 == start);
            self.0.insert(worker, known.copied().unwrap_or((start, now)));
        }
    }

    /// Whether one of them is known for less than this.
    pub fn any_younger(&self, now: Micros, than: Micros) -> bool {
        self.0.values().any(|(_, first)| now.saturating_sub(*first) < than)
    }

    /// How long each is known.
    fn ages(&self, now: Micros) -> impl Iterator<Item = (u64, Micros)> + '_ {
        self.0.iter().map(move |(worker, (_, first))| (*worker, now.saturating_sub(*first)))
    }
}

#[derive(Debug, Clone, Copy)]
struct ReceivedUsage {
    received_at: Micros,
    usage: UsageReport,
}

/// The owner's account in one term.
#[derive(Debug, Clone)]
pub struct QuotaAllocator {
    config: QuotaConfig,
    profile: SlowStartProfile,
    /// Before this nothing is granted: the term before may have granted until it began.
    grants_from: Micros,
    usage: BTreeMap<u64, ReceivedUsage>,
    /// By worker, what was granted when, the oldest first.
    outstanding: BTreeMap<u64, VecDeque<(Micros, f64)>>,
    total_granted: f64,
}

impl QuotaAllocator {
    /// A term begins.
    pub fn new(how: QuotaConfig, warming: SlowStartProfile, now: Micros) -> QuotaAllocator {
        let from = now + how.accounting_period(&warming);
        let (members, granted) = (BTreeMap::new(), BTreeMap::new());
        QuotaAllocator {
            config: how,
            profile: warming,
            grants_from: from,
            usage: members,
            outstanding: granted,
            total_granted: 0.0,
        }
    }

    /// A member said what it uses.
    pub fn record_usage(&mut self, what: UsageReport, now: Micros) {
        self.usage.insert(what.process_id, ReceivedUsage { received_at: now, usage: what });
    }

    /// What a worker of this age bears over the span, as work.
    fn tolerated_work(&self, age: Micros) -> f64 {
        let warm = (age as f64 / self.profile.ramp_duration.max(1) as f64).min(1.0);
        let capacity = self.config.smallest_worker_slots
            * (self.profile.initial_capacity_fraction
                + (1.0 - self.profile.initial_capacity_fraction) * warm);
        self.profile.overload_factor * capacity * self.profile.overload_window as f64 / 1e6
    }

    /// What is granted now. `draw` gives numbers from 0 to 1.
    pub fn allocate(
        &mut self,
        now: Micros,
        ages: &EndpointAges,
        mut draw: impl FnMut() -> f64,
    ) -> QuotaGrants {
        let (fresh, counts) =
            (self.config.grant_ttl / USAGE_FRESHNESS_DIVISOR, self.config.accounting_period(&self.profile));
        self.usage.retain(|_, told| now.saturating_sub(told.received_at) < fresh);
        self.outstanding.retain(|_, granted| {
            while granted.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= counts) {
                granted.pop_front();
            }
            !granted.is_empty()
        });
        let mean = self.usage.values().map(|told| told.usage.jobs_per_second).sum::<f64>()
            / self.usage.len().max(1) as f64;
        let weights: Vec<(UsageReport, f64)> = self
            .usage
            .values()
            .map(|told| (told.usage, told.usage.jobs_per_second + MIN_USAGE_WEIGHT * mean))
            .filter(|(what, _)| what.typical_work > 0.0)
            .collect();
        let all: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut grants = QuotaGrants::default();
        if now < self.grants_from || all <= 0.0 {
            return grants;
        }
        for (worker, age) in ages.ages(now).filter(|(_, age)| *age < self.profile.ramp_duration) {
            let most = self.config.grantable_fraction * self.tolerated_work(age);
            let granted = self.outstanding.entry(worker).or_default();
            let mut left = most - granted.iter().map(|(_, work)| work).sum::<f64>();
            while grants.0.len() < MAX_GRANTS {
                // One grant is for about a job: a smaller one is of use to nobody, of a larger one a rest is left.
                let mut at = draw() * all;
                let to = weights.iter().find(|(_, weight)| {
                    at -= weight;
                    at < 0.0
                });
                let Some((to, _)) = to.or(weights.last()) else { break };
                let work = 1.25 * to.typical_work;
                if work > left {
                    break;
                }
                left -= work;
                self.total_granted += work;
                granted.push_back((now, work));
                grants.0.push(Grant {
                    process_id: to.process_id,
                    clock_reading: to.clock_reading,
                    worker,
                    work,
                });
            }
        }
        grants
    }

    /// Work granted in this term.
    pub fn total_granted(&self) -> f64 {
        self.total_granted
    }

    /// Members that are heard of.
    pub fn reporting_members(&self) -> usize {
        self.usage.len()
    }
}

/// A receiver's side.
#[derive(Debug, Clone)]
pub struct GrantedQuota {
    process_id: u64,
    grant_ttl: Micros,
    /// The last word that was taken.
    last_accepted: (FencingToken, u64),
    /// A flaw for tests: what comes twice counts twice.
    accepts_duplicates: bool,
}

impl GrantedQuota {
    /// The purse of the process that drew this number.
    pub fn new(process: u64, how: &QuotaConfig) -> GrantedQuota {
        GrantedQuota {
            process_id: process,
            grant_ttl: how.grant_ttl,
            last_accepted: (FencingToken(0), 0),
            accepts_duplicates: false,
        }
    }

    /// What of an owner's word is for this process, with the time until which each may be used. The same word, or an
    /// older one, gives nothing.
    pub fn accept(
        &mut self,
        token: FencingToken,
        version: u64,
        grants: &QuotaGrants,
        now: Micros,
    ) -> Vec<(u64, f64, Micros)> {
        if (token, version) <= self.last_accepted && !self.accepts_duplicates {
            return Vec::new();
        }
        self.last_accepted = (token, version);
        let ours =
            grants.0.iter().filter(|grant| grant.process_id == self.process_id && grant.clock_reading <= now);
        let usable = ours.map(|grant| (grant.worker, grant.work, grant.clock_reading + self.grant_ttl));
        usable.filter(|(.., until)| *until > now).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const HOW: QuotaConfig = QuotaConfig {
        smallest_worker_slots: 8.0,
        grantable_fraction: 0.5,
        grant_ttl: SECOND / 2,
        delivery_timeout: SECOND / 4,
        skew_ppm: 1_000,
    };
    const WARMING: SlowStartProfile = SlowStartProfile {
        initial_capacity_fraction: 0.14,
        ramp_duration: 24 * SECOND,
        overload_factor: 3.0,
        overload_window: 1_500_000,
    };

    /// Draws without a library.
    fn draws() -> impl FnMut() -> f64 {
        let mut random = fastrand::Rng::with_seed(3);
        move || random.f64()
    }

    /// An owner, members that use all they get at the last moment or at once, and words that are lost, late or double.
    /// Returns when work reached the worker, and how much.
    fn day(length: Micros, owners: &[Micros], twice: bool) -> Vec<(Micros, f64)> {
        let mut random = fastrand::Rng::with_seed(11);
        let mut ages = EndpointAges::default();
        let mut purses: Vec<GrantedQuota> = (0..5)
            .map(|n| GrantedQuota { accepts_duplicates: twice, ..GrantedQuota::new(n, &HOW) })
            .collect();
        let mut dealer = QuotaAllocator::new(HOW, WARMING, 0);
        let (mut token, mut version) = (1, 0);
        let mut on_the_way: Vec<(Micros, usize, FencingToken, u64, QuotaGrants)> = Vec::new();
        let mut reached = Vec::new();
        for now in (0..length).step_by(50_000) {
            ages.update(now, [(1, 7)].into_iter());
            if owners.contains(&now) {
                // The old one's words may still be on their way: its token is refused from here on.
                (token, version) = (token + 1, 0);
                on_the_way.retain(|word| word.2 == FencingToken(token));
                dealer = QuotaAllocator::new(HOW, WARMING, now);
            }
            for process in 0..5 {
                if random.f64() < 0.8 {
                    let asked = now.saturating_sub(random.u64(0..100_000));
                    dealer.record_usage(
                        UsageReport {
                            process_id: process,
                            clock_reading: asked,
                            jobs_per_second: 10.0,
                            typical_work: 0.1,
                        },
                        now,
                    );
                }
            }
            version += 1;
            let grants = dealer.allocate(now, &ages, || random.f64());
            for n in 0..5 {
                for _ in 0..random.usize(0..3) {
                    let late = now + random.u64(0..400_000);
                    on_the_way.push((late, n, FencingToken(token), version, grants.clone()));
                }
            }
            on_the_way.sort_by_key(|word| (word.0, word.3));
            while on_the_way.first().is_some_and(|word| word.0 <= now) {
                let (_, n, token, version, grants) = on_the_way.remove(0);
                for (_, work, until) in purses[n].accept(token, version, &grants, now) {
                    let at = if random.bool() { now } else { until };
                    reached.push((at + random.u64(0..HOW.delivery_timeout), work));
                }
            }
        }
        reached.sort_by_key(|(at, _)| *at);
        reached
    }

    /// The most work in any span, as a part of what the worker bore at its end.
    fn fullest(reached: &[(Micros, f64)]) -> f64 {
        let bears = |age| QuotaAllocator::new(HOW, WARMING, 0).tolerated_work(age);
        let part = |(n, (from, _)): (usize, &(Micros, f64))| {
            let span = reached[n..].iter().take_while(|(at, _)| *at < from + WARMING.overload_window);
            let (last, work) = span.fold((*from, 0.0), |(_, sum), (at, work)| (*at, sum + work));
            work / bears(last)
        };
        reached.iter().enumerate().map(part).fold(0.0, f64::max)
    }

    #[test]
    fn no_span_gets_more_than_the_part_that_may_be_granted_whatever_becomes_of_the_words() {
        let reached = day(20 * SECOND, &[4 * SECOND, 4_500_000, 11 * SECOND], false);
        assert!(reached.len() > 20, "{} grants were used", reached.len());
        let most = fullest(&reached);
        assert!(most <= HOW.grantable_fraction && most > 0.3 * HOW.grantable_fraction, "{most}");
    }

    #[test]
    fn a_word_that_counts_twice_is_found() {
        let most = fullest(&day(20 * SECOND, &[], true));
        assert!(most > HOW.grantable_fraction, "{most}");
    }

    #[test]
    fn a_new_owner_waits_until_the_old_ones_grants_are_over() {
        let mut ages = EndpointAges::default();
        ages.update(0, [(1, 7)].into_iter());
        let mut dealer = QuotaAllocator::new(HOW, WARMING, 0);
        let told =
            |now| UsageReport { process_id: 1, clock_reading: now, jobs_per_second: 5.0, typical_work: 0.1 };
        dealer.record_usage(told(2_200_000), 2_200_000);
        assert!(dealer.allocate(2_200_000, &ages, draws()).0.is_empty());
        dealer.record_usage(told(2_300_000), 2_300_000);
        assert!(!dealer.allocate(2_300_000, &ages, draws()).0.is_empty());
        assert!(dealer.allocate(2_300_000, &ages, draws()).0.is_empty(), "all is granted for now");
    }

    #[test]
    fn grants_follow_use_and_nobody_who_is_silent_gets_any() {
        let mut ages = EndpointAges::default();
        ages.update(0, (0..40).map(|worker| (worker, 0)));
        let mut dealer = QuotaAllocator::new(HOW, WARMING, 0);
        let now = 3 * SECOND;
        for (process, jobs_per_s) in [(1, 90.0), (2, 10.0), (3, 0.0)] {
            dealer.record_usage(
                UsageReport {
                    process_id: process,
                    clock_reading: now,
                    jobs_per_second: jobs_per_s,
                    typical_work: 0.05,
                },
                now,
            );
        }
        dealer.record_usage(
            UsageReport { process_id: 4, clock_reading: 0, jobs_per_second: 500.0, typical_work: 0.05 },
            2 * SECOND,
        );
        let grants = dealer.allocate(now, &ages, draws()).0;
        let of = |process| grants.iter().filter(|grant| grant.process_id == process).count();
        assert!(of(1) > 5 * of(2) && of(2) > of(3) && of(3) > 0, "{} {} {}", of(1), of(2), of(3));
        assert_eq!(of(4), 0, "it has been silent");
    }

    #[test]
    fn a_restarted_worker_is_cold_again_and_a_warm_one_gets_nothing() {
        let mut ages = EndpointAges::default();
        ages.update(0, [(1, 7), (2, 7)].into_iter());
        ages.update(30 * SECOND, [(1, 8), (2, 7)].into_iter());
        let ages: BTreeMap<u64, Micros> = ages.ages(31 * SECOND).collect();
        assert_eq!((ages[&1], ages[&2]), (SECOND, 31 * SECOND));
    }

    #[test]
    fn a_grant_is_for_one_process_until_it_expires_by_that_ones_clock() {
        let mut purse = GrantedQuota::new(9, &HOW);
        let grant = |to, asked| Grant { process_id: to, clock_reading: asked, worker: 1, work: 0.2 };
        let grants =
            QuotaGrants(vec![grant(9, 900_000), grant(8, 900_000), grant(9, 300_000), grant(9, 1_100_000)]);
        let taken = purse.accept(FencingToken(3), 1, &grants, SECOND);
        assert_eq!(taken, [(1, 0.2, 1_400_000)], "not another's, not an old one, not one of the future");
        assert!(purse.accept(FencingToken(3), 1, &grants, SECOND).is_empty());
        assert!(purse.accept(FencingToken(2), 9, &grants, SECOND).is_empty());
        assert_eq!(QuotaGrants::decode(&grants.encode()), Some(grants));
        assert_eq!(
            QuotaGrants::decode(&QuotaGrants(vec![Grant { work: f64::NAN, ..grant(1, 1) }]).encode()),
            None
        );
    }
}
