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
pub const COLD: &str = "cold";
/// A member that said nothing for this part of the expiry gets nothing: its clock reading is too old to be of use.
const FRESH: u64 = 2;
/// Every member gets some part, so that one that begins to be busy is not left without: this part of the mean.
const FLOOR: f64 = 0.05;
/// The most grants in one word.
const MOST: usize = 512;

/// What is dealt out and how; the same at all members.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Dealing {
    /// Slots of the smallest kind of worker.
    pub slots: f64,
    /// The part of what a cold worker bears that may be granted.
    pub part: f64,
    /// How long a grant is of use.
    pub expiry: Micros,
    /// How long after it was spent a job may reach its worker.
    pub written: Micros,
    /// The most by which two clocks' rates differ, in parts of a million.
    pub skew_ppm: u64,
}

/// What the platform says of cold workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warming {
    /// A worker begins with this part of its capacity ...
    pub share: f64,
    /// ... and has all of it after this long, growing evenly.
    pub within: Micros,
    /// It falls when it is sent more than this many times what it can do ...
    pub multiple: f64,
    /// ... over this span.
    pub span: Micros,
}

impl Dealing {
    /// How long a grant counts: until nothing that it allowed can meet another in one span.
    fn counts(&self, warming: &Warming) -> Micros {
        let slower = (self.expiry * 2 * self.skew_ppm).div_ceil(1_000_000) + 1;
        warming.span + self.expiry + slower + self.written
    }
}

/// A part of a cold worker's budget, for one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The process that it is for, by the number that it drew.
    pub to: u64,
    /// The last reading of that process's clock that the owner has heard of.
    pub asked: Micros,
    /// The worker, by the number that all members know it by.
    pub worker: u64,
    /// So much work, in slots by seconds.
    pub work: f64,
}

/// What the owner says to all members.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Grants(pub Vec<Grant>);

impl Grants {
    /// The bytes that members are told.
    pub fn pack(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads them; nothing where they are none.
    pub fn unpack(bytes: &[u8]) -> Option<Grants> {
        let grants: Grants = postcard::from_bytes(bytes).ok()?;
        let sane = |grant: &Grant| grant.work.is_finite() && grant.work > 0.0;
        (grants.0.len() <= MOST && grants.0.iter().all(sane)).then_some(grants)
    }
}

/// What a member says with each word of the owner that it takes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Use {
    /// Which process says so.
    pub process: u64,
    /// A reading of its clock from before it said so.
    pub asked: Micros,
    /// Jobs that it began a second, of late.
    pub jobs_per_s: f64,
    /// What a usual job asks of a worker there, in slots by seconds.
    pub usual: f64,
}

impl Use {
    /// The bytes.
    pub fn pack(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads them.
    pub fn unpack(bytes: &[u8]) -> Option<Use> {
        let told: Use = postcard::from_bytes(bytes).ok()?;
        let sane = |figure: f64| figure.is_finite() && (0.0..1e9).contains(&figure);
        (sane(told.jobs_per_s) && sane(told.usual)).then_some(told)
    }
}

/// Since when each worker is known, by this process's clock: a lower bound of its age that no wall clock moves.
#[derive(Debug, Clone, Default)]
pub struct Ages(BTreeMap<u64, (u64, Micros)>);

impl Ages {
    /// The workers that take work, and which start of theirs it is, by any figure that another start changes.
    pub fn list(&mut self, now: Micros, workers: impl Iterator<Item = (u64, u64)>) {
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
struct Told {
    at: Micros,
    what: Use,
}

/// The owner's account in one term.
#[derive(Debug, Clone)]
pub struct Dealer {
    how: Dealing,
    warming: Warming,
    /// Before this nothing is granted: the term before may have granted until it began.
    from: Micros,
    members: BTreeMap<u64, Told>,
    /// By worker, what was granted when, the oldest first.
    granted: BTreeMap<u64, VecDeque<(Micros, f64)>>,
    total: f64,
}

impl Dealer {
    /// A term begins.
    pub fn new(how: Dealing, warming: Warming, now: Micros) -> Dealer {
        let from = now + how.counts(&warming);
        let (members, granted) = (BTreeMap::new(), BTreeMap::new());
        Dealer { how, warming, from, members, granted, total: 0.0 }
    }

    /// A member said what it uses.
    pub fn heard(&mut self, what: Use, now: Micros) {
        self.members.insert(what.process, Told { at: now, what });
    }

    /// What a worker of this age bears over the span, as work.
    fn bears(&self, age: Micros) -> f64 {
        let warm = (age as f64 / self.warming.within.max(1) as f64).min(1.0);
        let capacity = self.how.slots * (self.warming.share + (1.0 - self.warming.share) * warm);
        self.warming.multiple * capacity * self.warming.span as f64 / 1e6
    }

    /// What is granted now. `draw` gives numbers from 0 to 1.
    pub fn deal(&mut self, now: Micros, ages: &Ages, mut draw: impl FnMut() -> f64) -> Grants {
        let (fresh, counts) = (self.how.expiry / FRESH, self.how.counts(&self.warming));
        self.members.retain(|_, told| now.saturating_sub(told.at) < fresh);
        self.granted.retain(|_, granted| {
            while granted.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= counts) {
                granted.pop_front();
            }
            !granted.is_empty()
        });
        let mean = self.members.values().map(|told| told.what.jobs_per_s).sum::<f64>()
            / self.members.len().max(1) as f64;
        let weights: Vec<(Use, f64)> = self
            .members
            .values()
            .map(|told| (told.what, told.what.jobs_per_s + FLOOR * mean))
            .filter(|(what, _)| what.usual > 0.0)
            .collect();
        let all: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut grants = Grants::default();
        if now < self.from || all <= 0.0 {
            return grants;
        }
        for (worker, age) in ages.ages(now).filter(|(_, age)| *age < self.warming.within) {
            let most = self.how.part * self.bears(age);
            let granted = self.granted.entry(worker).or_default();
            let mut left = most - granted.iter().map(|(_, work)| work).sum::<f64>();
            while grants.0.len() < MOST {
                // One grant is for about a job: a smaller one is of use to nobody, of a larger one a rest is left.
                let mut at = draw() * all;
                let to = weights.iter().find(|(_, weight)| {
                    at -= weight;
                    at < 0.0
                });
                let Some((to, _)) = to.or(weights.last()) else { break };
                let work = 1.25 * to.usual;
                if work > left {
                    break;
                }
                left -= work;
                self.total += work;
                granted.push_back((now, work));
                grants.0.push(Grant { to: to.process, asked: to.asked, worker, work });
            }
        }
        grants
    }

    /// Work granted in this term.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Members that are heard of.
    pub fn members(&self) -> usize {
        self.members.len()
    }
}

/// A receiver's side.
#[derive(Debug, Clone)]
pub struct Purse {
    process: u64,
    expiry: Micros,
    /// The last word that was taken.
    last: (FencingToken, u64),
    /// A flaw for tests: what comes twice counts twice.
    twice: bool,
}

impl Purse {
    /// The purse of the process that drew this number.
    pub fn new(process: u64, how: &Dealing) -> Purse {
        Purse { process, expiry: how.expiry, last: (FencingToken(0), 0), twice: false }
    }

    /// What of an owner's word is for this process, with the time until which each may be used. The same word, or an
    /// older one, gives nothing.
    pub fn take(
        &mut self,
        token: FencingToken,
        version: u64,
        grants: &Grants,
        now: Micros,
    ) -> Vec<(u64, f64, Micros)> {
        if (token, version) <= self.last && !self.twice {
            return Vec::new();
        }
        self.last = (token, version);
        let ours = grants.0.iter().filter(|grant| grant.to == self.process && grant.asked <= now);
        let usable = ours.map(|grant| (grant.worker, grant.work, grant.asked + self.expiry));
        usable.filter(|(.., until)| *until > now).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const HOW: Dealing =
        Dealing { slots: 8.0, part: 0.5, expiry: SECOND / 2, written: SECOND / 4, skew_ppm: 1_000 };
    const WARMING: Warming = Warming { share: 0.14, within: 24 * SECOND, multiple: 3.0, span: 1_500_000 };

    /// Draws without a library.
    fn draws() -> impl FnMut() -> f64 {
        let mut random = fastrand::Rng::with_seed(3);
        move || random.f64()
    }

    /// An owner, members that use all they get at the last moment or at once, and words that are lost, late or double.
    /// Returns when work reached the worker, and how much.
    fn day(length: Micros, owners: &[Micros], twice: bool) -> Vec<(Micros, f64)> {
        let mut random = fastrand::Rng::with_seed(11);
        let mut ages = Ages::default();
        let mut purses: Vec<Purse> = (0..5).map(|n| Purse { twice, ..Purse::new(n, &HOW) }).collect();
        let mut dealer = Dealer::new(HOW, WARMING, 0);
        let (mut token, mut version) = (1, 0);
        let mut on_the_way: Vec<(Micros, usize, FencingToken, u64, Grants)> = Vec::new();
        let mut reached = Vec::new();
        for now in (0..length).step_by(50_000) {
            ages.list(now, [(1, 7)].into_iter());
            if owners.contains(&now) {
                // The old one's words may still be on their way: its token is refused from here on.
                (token, version) = (token + 1, 0);
                on_the_way.retain(|word| word.2 == FencingToken(token));
                dealer = Dealer::new(HOW, WARMING, now);
            }
            for process in 0..5 {
                if random.f64() < 0.8 {
                    let asked = now.saturating_sub(random.u64(0..100_000));
                    dealer.heard(Use { process, asked, jobs_per_s: 10.0, usual: 0.1 }, now);
                }
            }
            version += 1;
            let grants = dealer.deal(now, &ages, || random.f64());
            for n in 0..5 {
                for _ in 0..random.usize(0..3) {
                    let late = now + random.u64(0..400_000);
                    on_the_way.push((late, n, FencingToken(token), version, grants.clone()));
                }
            }
            on_the_way.sort_by_key(|word| (word.0, word.3));
            while on_the_way.first().is_some_and(|word| word.0 <= now) {
                let (_, n, token, version, grants) = on_the_way.remove(0);
                for (_, work, until) in purses[n].take(token, version, &grants, now) {
                    let at = if random.bool() { now } else { until };
                    reached.push((at + random.u64(0..HOW.written), work));
                }
            }
        }
        reached.sort_by_key(|(at, _)| *at);
        reached
    }

    /// The most work in any span, as a part of what the worker bore at its end.
    fn fullest(reached: &[(Micros, f64)]) -> f64 {
        let bears = |age| Dealer::new(HOW, WARMING, 0).bears(age);
        let part = |(n, (from, _)): (usize, &(Micros, f64))| {
            let span = reached[n..].iter().take_while(|(at, _)| *at < from + WARMING.span);
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
        assert!(most <= HOW.part && most > 0.3 * HOW.part, "{most}");
    }

    #[test]
    fn a_word_that_counts_twice_is_found() {
        let most = fullest(&day(20 * SECOND, &[], true));
        assert!(most > HOW.part, "{most}");
    }

    #[test]
    fn a_new_owner_waits_until_the_old_ones_grants_are_over() {
        let mut ages = Ages::default();
        ages.list(0, [(1, 7)].into_iter());
        let mut dealer = Dealer::new(HOW, WARMING, 0);
        let told = |now| Use { process: 1, asked: now, jobs_per_s: 5.0, usual: 0.1 };
        dealer.heard(told(2_200_000), 2_200_000);
        assert!(dealer.deal(2_200_000, &ages, draws()).0.is_empty());
        dealer.heard(told(2_300_000), 2_300_000);
        assert!(!dealer.deal(2_300_000, &ages, draws()).0.is_empty());
        assert!(dealer.deal(2_300_000, &ages, draws()).0.is_empty(), "all is granted for now");
    }

    #[test]
    fn grants_follow_use_and_nobody_who_is_silent_gets_any() {
        let mut ages = Ages::default();
        ages.list(0, (0..40).map(|worker| (worker, 0)));
        let mut dealer = Dealer::new(HOW, WARMING, 0);
        let now = 3 * SECOND;
        for (process, jobs_per_s) in [(1, 90.0), (2, 10.0), (3, 0.0)] {
            dealer.heard(Use { process, asked: now, jobs_per_s, usual: 0.05 }, now);
        }
        dealer.heard(Use { process: 4, asked: 0, jobs_per_s: 500.0, usual: 0.05 }, 2 * SECOND);
        let grants = dealer.deal(now, &ages, draws()).0;
        let of = |process| grants.iter().filter(|grant| grant.to == process).count();
        assert!(of(1) > 5 * of(2) && of(2) > of(3) && of(3) > 0, "{} {} {}", of(1), of(2), of(3));
        assert_eq!(of(4), 0, "it has been silent");
    }

    #[test]
    fn a_restarted_worker_is_cold_again_and_a_warm_one_gets_nothing() {
        let mut ages = Ages::default();
        ages.list(0, [(1, 7), (2, 7)].into_iter());
        ages.list(30 * SECOND, [(1, 8), (2, 7)].into_iter());
        let ages: BTreeMap<u64, Micros> = ages.ages(31 * SECOND).collect();
        assert_eq!((ages[&1], ages[&2]), (SECOND, 31 * SECOND));
    }

    #[test]
    fn a_grant_is_for_one_process_until_it_expires_by_that_ones_clock() {
        let mut purse = Purse::new(9, &HOW);
        let grant = |to, asked| Grant { to, asked, worker: 1, work: 0.2 };
        let grants =
            Grants(vec![grant(9, 900_000), grant(8, 900_000), grant(9, 300_000), grant(9, 1_100_000)]);
        let taken = purse.take(FencingToken(3), 1, &grants, SECOND);
        assert_eq!(taken, [(1, 0.2, 1_400_000)], "not another's, not an old one, not one of the future");
        assert!(purse.take(FencingToken(3), 1, &grants, SECOND).is_empty());
        assert!(purse.take(FencingToken(2), 9, &grants, SECOND).is_empty());
        assert_eq!(Grants::unpack(&grants.pack()), Some(grants));
        assert_eq!(Grants::unpack(&Grants(vec![Grant { work: f64::NAN, ..grant(1, 1) }]).pack()), None);
    }
}
