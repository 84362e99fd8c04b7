//! What a dispatcher remembers: plain data and two containers. No decision is taken here.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rustc_hash::FxHashMap;

use crate::api::{
    Action, Endpoint, Outcome, Request, RequestId, Seconds, Settings, Tenant, WorkerId, WorkerState,
};
use crate::cold::Spending;
use crate::estimate::{Pace, Running};
use crate::health::{Health, Outage};
use crate::load::Waits;

/// Points of each worker on the ring of keys; more spread keys more evenly.
const RING_POINTS: u64 = 16;
/// How long a request for a key counts.
const KEY_MEMORY: Seconds = 10.0;
/// Zones beyond this are taken for one.
pub(crate) const MAX_ZONE: u32 = 255;
/// Kinds beyond this are taken for one.
pub(crate) const MAX_KIND: usize = 4095;

/// Why to wake up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Wake {
    /// Tokens for the head of a tenant's job buffer have come.
    Token(usize),
    /// A paid job stops waiting for a free worker.
    Gate(RequestId),
    /// A held job runs short of time.
    Hold(RequestId),
    /// A paid job still waits: ask further away.
    Look(RequestId),
    /// The worker of a job that is out may have gone quiet.
    Quiet(RequestId),
    /// A window of R ends.
    Window,
    /// The worker list may be asked for again.
    List,
    /// The next probe is due.
    Probe,
}

/// What to wake up for, and the one timer that is armed for the earliest of it.
#[derive(Debug)]
pub(crate) struct Wakes {
    due: BinaryHeap<Reverse<(u64, Wake)>>,
    armed: u64,
}

impl Default for Wakes {
    fn default() -> Self {
        Wakes { due: BinaryHeap::new(), armed: u64::MAX }
    }
}

impl Wakes {
    pub(crate) fn add(&mut self, at: Seconds, what: Wake) {
        self.due.push(Reverse((micros(at), what)));
    }

    /// The next thing that is due.
    pub(crate) fn next(&mut self, now: Seconds) -> Option<Wake> {
        let &Reverse((at, what)) = self.due.peek()?;
        (at <= micros(now)).then(|| {
            self.due.pop();
            what
        })
    }

    /// The timer fell due. A token from before the one that is armed is of no concern.
    pub(crate) fn fired(&mut self, token: u64) {
        if token >= self.armed {
            self.armed = u64::MAX;
        }
    }

    /// The timer to arm, its time being its token, where the armed one is too late.
    pub(crate) fn arm(&mut self, now: Seconds, resolution: Seconds) -> Option<Action> {
        let &Reverse((at, _)) = self.due.peek()?;
        (at < self.armed).then(|| {
            self.armed = at;
            Action::SetTimer { after: (at as f64 / 1e6 - now).max(resolution), token: at }
        })
    }
}

fn micros(t: Seconds) -> u64 {
    (t.max(0.0) * 1e6).ceil() as u64
}

/// A tenant's token bank and job buffer.
#[derive(Debug, Default)]
pub(crate) struct Bank {
    pub share: f64,
    /// U = T - J + C_J, in slots.
    pub u: i64,
    /// C_T.
    pub bank: i64,
    /// C_J.
    pub buffer: i64,
    /// The part of the next token that has come.
    pub part: f64,
    /// First tries in this window, and a second on average.
    pub asking: f64,
    pub asked: f64,
    /// The jobs of the buffer, first come first, and their slots.
    pub held: VecDeque<RequestId>,
    pub held_slots: i64,
}

impl Bank {
    /// One for each tenant, or one in all; shares are scaled to sum to one. The phase of the tokens comes from
    /// the seed, so that dispatchers do not release in step.
    pub(crate) fn of_tenants(tenants: &[Tenant], rng: &mut fastrand::Rng) -> Vec<Bank> {
        let total: f64 = tenants.iter().map(|t| t.share.max(0.0)).sum();
        let count = tenants.len().max(1);
        let equal = 1.0 / count as f64;
        let share =
            |i: usize| tenants.get(i).filter(|_| total > 0.0).map_or(equal, |t| t.share.max(0.0) / total);
        (0..count).map(|i| Bank { share: share(i), part: rng.f64(), ..Bank::default() }).collect()
    }

    pub(crate) fn room(&self) -> i64 {
        self.bank + self.buffer - self.u
    }

    /// Sets C_T and C_J; held jobs stay held.
    pub(crate) fn resize(&mut self, bank: i64, buffer: i64) {
        self.u = (self.u + buffer - self.buffer).clamp(0, bank + buffer);
        (self.bank, self.buffer) = (bank, buffer);
    }

    /// A held job leaves without being pushed.
    pub(crate) fn give_back(&mut self, id: RequestId, slots: i64) {
        self.held.retain(|&h| h != id);
        self.held_slots -= slots;
        self.u = (self.u + slots).min(self.buffer + self.bank);
    }

    /// Takes back the slots of a request that was none.
    pub(crate) fn refund(&mut self, slots: i64) {
        self.u = (self.u + slots).min(self.buffer + self.bank);
        self.asking = (self.asking - 1.0).max(0.0);
    }

    /// Adds tokens; returns those that overflow.
    pub(crate) fn add(&mut self, tokens: f64) -> f64 {
        self.part += tokens;
        let whole = self.part.floor();
        self.part -= whole;
        let taken = (whole as i64).min(self.room());
        self.u += taken;
        whole - taken as f64
    }
}

/// Adds tokens to all banks by share. What overflows full banks, the paper's O_T, is offered to the others by share.
pub(crate) fn accrue_all(banks: &mut [Bank], tokens: f64) {
    let mut over = 0.0;
    for b in banks.iter_mut() {
        over += b.add(tokens * b.share);
    }
    let open: f64 = banks.iter().filter(|b| b.room() > 0).map(|b| b.share).sum();
    if over > 0.0 && open > 0.0 {
        for b in banks.iter_mut().filter(|b| b.room() > 0) {
            b.add(over * b.share / open);
        }
    }
}

/// The rate R, and what was seen of it in this window.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    pub slots_per_s: f64,
    pub cut: bool,
    pub limiting: bool,
    pub taken: f64,
    pub served: f64,
    pub bounced: f64,
    pub first_bouncer: Option<usize>,
    pub several: bool,
}

impl Rate {
    /// Counts slots that bounced at a worker, and whether more than one worker did that in this window.
    pub(crate) fn bounce(&mut self, worker: usize, slots: f64) {
        self.bounced += slots;
        self.several |= self.first_bouncer.is_some_and(|w| w != worker);
        self.first_bouncer.get_or_insert(worker);
    }
}

/// What is learned of a kind of worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Kind {
    pub slots: f64,
    /// Its running times relative to the usual.
    pub pace: Pace,
}

#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub id: WorkerId,
    pub kind: usize,
    pub zone: u32,
    /// The place of its kind in its zone.
    pub cohort: usize,
    pub cell: u32,
    /// When it started, as the list says, and as is believed by this dispatcher's own clock.
    pub since: Seconds,
    pub born: Seconds,
    pub state: WorkerState,
    /// Slots and attempts of ours that are out.
    pub ours: f64,
    pub out: u32,
    /// The same a while ago, as a report that arrives now knows it: a moving average.
    pub ours_late: f64,
    pub ours_at: Seconds,
    /// Slots that others seem to hold or wait for there, as last heard, and when that was.
    pub others: f64,
    pub told: Seconds,
    /// Its running times relative to its kind's, and the jobs of ours that run there.
    pub pace: Pace,
    pub running: Vec<Running>,
    pub cold: Spending,
    pub probing: bool,
    /// Until when a connection of ours is thought to stand idle there.
    pub kept: Seconds,
    pub health: Health,
}

impl Worker {
    /// An attempt ended there, and its job had begun to run by then or not.
    pub(crate) fn stopped(&mut self, started: Option<Seconds>, work: f64) {
        self.out = self.out.saturating_sub(1);
        if let Some(n) = self.running.iter().position(|r| Some(r.since) == started && r.work == work) {
            self.running.swap_remove(n);
        }
    }

    /// Counts slots that we take there or give back. What a report that is so late knows of them lags behind.
    pub(crate) fn hold(&mut self, slots: f64, now: Seconds, late: Seconds) {
        self.ours_late = self.ours + (self.ours_late - self.ours) * (-(now - self.ours_at) / late).exp();
        self.ours_at = now;
        self.ours = (self.ours + slots).max(0.0);
    }
}

#[derive(Debug)]
pub(crate) struct Job {
    pub req: Request,
    /// How long it is thought to run: as usual, or as told if that is more.
    pub run: Seconds,
    /// Its work as a logarithm, and when its answer must be out to be in time.
    pub work_log: f64,
    pub due: Seconds,
    pub slots: i64,
    pub arrived: Seconds,
    /// Not worth starting after this.
    pub until: Seconds,
    pub state: State,
    pub attempts: Vec<Attempt>,
}

impl Job {
    /// When it stops waiting for a free worker: after this part of the time it has.
    pub(crate) fn give_way(&self, part: f64) -> Seconds {
        self.arrived + part * (self.until - self.arrived)
    }

    /// All its attempts have ended and none can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.ended.is_some_and(Outcome::never_ran))
    }

    /// An attempt has not ended yet.
    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.ended.is_none())
    }

    /// To call off what is still out.
    pub(crate) fn cancels(&self) -> impl Iterator<Item = Action> + '_ {
        let out = self.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none());
        out.map(|(n, _)| Action::Cancel { request: self.req.id, attempt: n as u32 })
    }

    /// What it asks of a worker, in slots by seconds.
    pub(crate) fn work(&self) -> f64 {
        self.size() * self.run
    }

    /// What it takes of a worker, in slots: a worker has a unit of memory for each.
    pub(crate) fn size(&self) -> f64 {
        (self.slots as f64).max(self.req.memory)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Held,
    Paid,
    Out,
    Ended,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub worker: usize,
    pub sent: Seconds,
    pub started: Option<Seconds>,
    /// The worker was thought free, and full to this part.
    pub free: bool,
    pub filled: f64,
    pub ended: Option<Outcome>,
}

/// A worker that a job may go to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub worker: usize,
    pub cost: f64,
    /// It is thought to have a slot free for the job.
    pub free: bool,
    /// How full it is thought to be with the job.
    pub filled: f64,
    /// How likely the job is to be late there.
    pub late: f64,
}

/// The best worker so far.
pub(crate) type Best = Option<Choice>;

/// The worker list.
#[derive(Debug, Default)]
pub(crate) struct List {
    pub watching: bool,
    pub waiting: bool,
    pub retry: Seconds,
}

/// The workers that were ever named, and where to find them.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub workers: Vec<Worker>,
    pub index: FxHashMap<WorkerId, usize>,
    /// For each zone, those that serve.
    pub zones: Vec<Vec<usize>>,
    /// Those that serve, several times each, in the order of a hash that all dispatchers share.
    pub ring: Vec<(u64, usize)>,
    /// How many that serve are ejected.
    pub shut: usize,
    /// For each zone, whether it seems lost.
    pub outages: Vec<Outage>,
    /// What is usual among the workers of one kind in one zone, and the place of each such cohort.
    pub cohorts: Vec<Cohort>,
    /// What is learnt of each kind of machine, and the most slots that a job asked for.
    pub kinds: Vec<Kind>,
    pub largest: i64,
    /// How long jobs wait at workers that are so full.
    pub waits: Waits,
    /// How cold a worker starts, and when it is warm.
    pub cold_share: f64,
    pub warm_within: Seconds,
    places: FxHashMap<(u32, usize), usize>,
    /// When discovery was heard last.
    heard: Option<Seconds>,
}

/// A start that discovery knows of is in its list after this at the latest, in seconds.
const LISTED_WITHIN: Seconds = 5.0;

/// What is usual among the workers of one kind in one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cohort {
    /// The part of a worker's slots that others hold, and how often something was heard of it.
    pub filled: f64,
    pub heard: f64,
}

impl Fleet {
    /// One without any worker.
    pub(crate) fn new(cfg: &Settings) -> Fleet {
        let mut fleet = Fleet { largest: 1, ..Fleet::default() };
        fleet.configure(cfg);
        fleet
    }

    /// Other settings hold.
    pub(crate) fn configure(&mut self, cfg: &Settings) {
        (self.cold_share, self.warm_within) = (cfg.slow_start_min_capacity, cfg.slow_start_duration);
    }

    /// Brings the zones and the ring in line with the workers; `zone` exists even if it has none. `heard` where it was
    /// discovery that told of them.
    pub(crate) fn rebuild(&mut self, zone: u32, heard: Option<Seconds>) {
        self.heard = heard.or(self.heard);
        let zones = self.workers.iter().map(|w| w.zone).chain([zone]).max();
        self.zones = vec![Vec::new(); zones.unwrap_or(0).min(MAX_ZONE) as usize + 1];
        self.outages.resize(self.zones.len(), Outage::default());
        self.ring.clear();
        for (i, w) in self.workers.iter_mut().enumerate() {
            let next = self.places.len();
            w.cohort = *self.places.entry((w.zone.min(MAX_ZONE), w.kind)).or_insert(next);
            if w.state == WorkerState::Serving {
                self.zones[w.zone.min(MAX_ZONE) as usize].push(i);
                self.ring.extend((0..RING_POINTS).map(|n| (mix(w.id.0 ^ mix(n)), i)));
            }
        }
        self.cohorts.resize(self.places.len(), Cohort::default());
        self.ring.sort_unstable();
        self.count_shut();
    }

    /// Whether the zone of a worker seems lost.
    pub(crate) fn outage(&mut self, worker: usize) -> &mut Outage {
        let zone = self.workers[worker].zone.min(MAX_ZONE) as usize;
        &mut self.outages[zone]
    }

    /// Takes a line of the list.
    pub(crate) fn enlist(&mut self, m: &Endpoint, kind: usize, now: Seconds) {
        let (id, since) = (m.worker, m.started_at);
        // Clocks may be wrong by much: no start is in the future, and one that discovery did not name when it was heard
        // last was not long before that.
        let born = since.min(now).max(self.heard.map_or(0.0, |heard| heard - LISTED_WITHIN));
        let new = Worker {
            id,
            kind,
            zone: m.zone,
            cell: m.cell,
            since,
            born,
            state: m.state,
            ours_at: now,
            ..Worker::default()
        };
        match self.index.get(&id) {
            Some(&i) => {
                let w = &mut self.workers[i];
                if since > w.since {
                    // A restart: what was known of the old process is void.
                    *w = Worker { ours: w.ours, out: w.out, ..new };
                } else {
                    (w.kind, w.zone, w.cell, w.state) = (kind, m.zone, m.cell, m.state);
                }
            }
            None => {
                self.index.insert(id, self.workers.len());
                self.workers.push(new);
            }
        }
    }

    /// A whole list came: workers that it does not name are gone.
    pub(crate) fn remove_absent(&mut self, members: &[Endpoint]) {
        let mut named: Vec<WorkerId> = members.iter().map(|m| m.worker).collect();
        named.sort_unstable();
        for w in &mut self.workers {
            if named.binary_search(&w.id).is_err() {
                w.state = WorkerState::Removed;
            }
        }
    }

    /// The workers on the ring from a key on, each once.
    pub(crate) fn homes(&self, key: u64, count: usize) -> Vec<usize> {
        let start = self.ring.partition_point(|&(p, _)| p < mix(key));
        let mut homes: Vec<usize> = Vec::with_capacity(count);
        for &(_, i) in self.ring[start..].iter().chain(&self.ring[..start]) {
            if homes.len() == count {
                break;
            }
            if !homes.contains(&i) {
                homes.push(i);
            }
        }
        homes
    }

    /// A watcher saw a worker fail `ago`, and for so long from `now` on that may be held against it.
    pub(crate) fn sighted(&mut self, worker: WorkerId, now: Seconds, ago: Seconds, holds: Seconds) {
        if let Some(&i) = self.index.get(&worker) {
            let until = if holds > 0.0 { now + holds } else { 0.0 };
            self.workers[i].health.sighted(now - ago.max(0.0), until);
            self.count_shut();
        }
    }

    /// So much work may be sent to a cold worker until then, beside the planned share.
    pub(crate) fn granted(&mut self, worker: WorkerId, work: f64, until: Seconds, now: Seconds) {
        if let Some(&i) = self.index.get(&worker) {
            self.workers[i].cold.grant(work, until, now);
        }
    }

    pub(crate) fn count_shut(&mut self) {
        let serving = self.workers.iter().filter(|w| w.state == WorkerState::Serving);
        self.shut = serving.filter(|w| w.health.is_shut()).count();
    }
}

/// How often each key was asked for of late, and when that was counted.
#[derive(Debug, Default)]
pub(crate) struct Keys(FxHashMap<u64, (f64, Seconds)>);

impl Keys {
    pub(crate) fn ask(&mut self, key: u64, now: Seconds) {
        let count = 1.0 + KEY_MEMORY * self.rate(key, now);
        self.0.insert(key, (count, now));
    }

    /// Requests a second for the key; older ones count less.
    pub(crate) fn rate(&self, key: u64, now: Seconds) -> f64 {
        let (count, at) = self.0.get(&key).copied().unwrap_or_default();
        count * (-(now - at) / KEY_MEMORY).exp() / KEY_MEMORY
    }

    /// Forgets keys that nobody asks for any more.
    pub(crate) fn tidy(&mut self, now: Seconds) {
        self.0.retain(|_, (_, at)| now - *at < 2.0 * KEY_MEMORY);
    }
}

/// Spreads the bits of a number.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Tokens follow the paper's (2.8) and (2.9): U never passes C_J + C_T, and what overflows is counted.
    #[test]
    fn tokens_follow_the_recursion() {
        let mut rng = fastrand::Rng::with_seed(5);
        let mut bank = Bank { bank: 7, buffer: 3, ..Bank::default() };
        let (mut u, mut lost, mut over) = (0, 0, 0.0);
        for _ in 0..2000 {
            let tokens = rng.i64(0..4);
            let next = (bank.bank + bank.buffer).min(u + tokens);
            lost += tokens - (next - u);
            over += bank.add(tokens as f64);
            u = next;
            assert_eq!((bank.u, over), (u, lost as f64));
            let job = rng.i64(1..3);
            if u >= job {
                u -= job;
                bank.u -= job;
            }
        }
        assert!(lost > 0, "the stream must overflow the bank");
    }
}
