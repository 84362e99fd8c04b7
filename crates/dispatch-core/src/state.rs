//! What a dispatcher remembers: plain data and two containers. No decision is taken here.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rustc_hash::FxHashMap;

use crate::api::{
    Action, Endpoint, Outcome, Request, RequestId, Seconds, Settings, Tenant, WorkerId, WorkerState,
};
use crate::load::QueueingCurve;
use crate::outlier_detection::{OutlierDetector, ZoneOutage};
use crate::run_time::{RunningJob, Slowdown};
use crate::slow_start::SlowStartBudget;

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
pub(crate) enum TimerEvent {
    /// Tokens for the head of a tenant's job buffer have come.
    TokensDue(usize),
    /// A paid job stops waiting for a free worker.
    PlacementTimeout(RequestId),
    /// A held job runs short of time.
    QueueTimeout(RequestId),
    /// A paid job still waits: ask further away.
    ProbeOtherZones(RequestId),
    /// The worker of a job that is out may have gone quiet.
    StallCheck(RequestId),
    /// A window of R ends.
    RateWindowEnd,
    /// The worker list may be asked for again.
    EndpointListRetry,
    /// The next probe is due.
    ProbeDue,
}

/// What to wake up for, and the one timer that is armed for the earliest of it.
#[derive(Debug)]
pub(crate) struct TimerQueue {
    pending: BinaryHeap<Reverse<(u64, TimerEvent)>>,
    armed_for: u64,
}

impl Default for TimerQueue {
    fn default() -> Self {
        TimerQueue { pending: BinaryHeap::new(), armed_for: u64::MAX }
    }
}

impl TimerQueue {
    pub(crate) fn schedule(&mut self, at: Seconds, what: TimerEvent) {
        self.pending.push(Reverse((to_micros(at), what)));
    }

    /// The next thing that is due.
    pub(crate) fn next_due(&mut self, now: Seconds) -> Option<TimerEvent> {
        let &Reverse((at, what)) = self.pending.peek()?;
        (at <= to_micros(now)).then(|| {
            self.pending.pop();
            what
        })
    }

    /// The timer fell due. A token from before the one that is armed is of no concern.
    pub(crate) fn on_fired(&mut self, token: u64) {
        if token >= self.armed_for {
            self.armed_for = u64::MAX;
        }
    }

    /// The timer to arm, its time being its token, where the armed one is too late.
    pub(crate) fn arm(&mut self, now: Seconds, resolution: Seconds) -> Option<Action> {
        let &Reverse((at, _)) = self.pending.peek()?;
        (at < self.armed_for).then(|| {
            self.armed_for = at;
            Action::SetTimer { after: (at as f64 / 1e6 - now).max(resolution), token: at }
        })
    }
}

fn to_micros(t: Seconds) -> u64 {
    (t.max(0.0) * 1e6).ceil() as u64
}

/// A tenant's token bank and job buffer.
#[derive(Debug, Default)]
pub(crate) struct TokenBank {
    pub share: f64,
    /// U = T - J + C_J, in slots.
    pub balance: i64,
    /// C_T.
    pub token_capacity: i64,
    /// C_J.
    pub buffer_capacity: i64,
    /// The part of the next token that has come.
    pub partial_token: f64,
    /// First tries in this window, and a second on average.
    pub window_arrivals: f64,
    pub arrival_rate: f64,
    /// The jobs of the buffer, first come first, and their slots.
    pub queued: VecDeque<RequestId>,
    pub queued_slots: i64,
}

impl TokenBank {
    /// One for each tenant, or one in all; shares are scaled to sum to one. The phase of the tokens comes from
    /// the seed, so that dispatchers do not release in step.
    pub(crate) fn for_tenants(tenants: &[Tenant], rng: &mut fastrand::Rng) -> Vec<TokenBank> {
        let total: f64 = tenants.iter().map(|t| t.share.max(0.0)).sum();
        let count = tenants.len().max(1);
        let equal = 1.0 / count as f64;
        let share =
            |i: usize| tenants.get(i).filter(|_| total > 0.0).map_or(equal, |t| t.share.max(0.0) / total);
        (0..count)
            .map(|i| TokenBank { share: share(i), partial_token: rng.f64(), ..TokenBank::default() })
            .collect()
    }

    pub(crate) fn headroom(&self) -> i64 {
        self.token_capacity + self.buffer_capacity - self.balance
    }

    /// Sets C_T and C_J; held jobs stay held.
    pub(crate) fn resize(&mut self, bank: i64, buffer: i64) {
        self.balance = (self.balance + buffer - self.buffer_capacity).clamp(0, bank + buffer);
        (self.token_capacity, self.buffer_capacity) = (bank, buffer);
    }

    /// A held job leaves without being pushed.
    pub(crate) fn remove_queued(&mut self, id: RequestId, slots: i64) {
        self.queued.retain(|&h| h != id);
        self.queued_slots -= slots;
        self.balance = (self.balance + slots).min(self.buffer_capacity + self.token_capacity);
    }

    /// Takes back the slots of a request that was none.
    pub(crate) fn refund(&mut self, slots: i64) {
        self.balance = (self.balance + slots).min(self.buffer_capacity + self.token_capacity);
        self.window_arrivals = (self.window_arrivals - 1.0).max(0.0);
    }

    /// Adds tokens; returns those that overflow.
    pub(crate) fn add_tokens(&mut self, tokens: f64) -> f64 {
        self.partial_token += tokens;
        let whole = self.partial_token.floor();
        self.partial_token -= whole;
        let taken = (whole as i64).min(self.headroom());
        self.balance += taken;
        whole - taken as f64
    }
}

/// Adds tokens to all banks by share. What overflows full banks, the paper's O_T, is offered to the others by share.
pub(crate) fn accrue_all(banks: &mut [TokenBank], tokens: f64) {
    let mut over = 0.0;
    for b in banks.iter_mut() {
        over += b.add_tokens(tokens * b.share);
    }
    let open: f64 = banks.iter().filter(|b| b.headroom() > 0).map(|b| b.share).sum();
    if over > 0.0 && open > 0.0 {
        for b in banks.iter_mut().filter(|b| b.headroom() > 0) {
            b.add_tokens(over * b.share / open);
        }
    }
}

/// The rate R, and what was seen of it in this window.
#[derive(Debug, Default)]
pub(crate) struct AdmissionRate {
    pub slots_per_second: f64,
    pub was_cut: bool,
    pub is_limiting: bool,
    pub accepted: f64,
    pub served_rate: f64,
    pub rejected: f64,
    pub first_rejecter: Option<usize>,
    pub several_rejecters: bool,
}

impl AdmissionRate {
    /// Counts slots that bounced at a worker, and whether more than one worker did that in this window.
    pub(crate) fn record_rejection(&mut self, worker: usize, slots: f64) {
        self.rejected += slots;
        self.several_rejecters |= self.first_rejecter.is_some_and(|w| w != worker);
        self.first_rejecter.get_or_insert(worker);
    }
}

/// What is learned of a kind of worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct MachineKind {
    pub slots: f64,
    /// Its running times relative to the usual.
    pub slowdown: Slowdown,
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
    pub listed_start: Seconds,
    pub started_at: Seconds,
    pub state: WorkerState,
    /// Slots and attempts of ours that are out.
    pub our_slots: f64,
    pub in_flight: u32,
    /// The same a while ago, as a report that arrives now knows it: a moving average.
    pub our_slots_delayed: f64,
    pub our_slots_at: Seconds,
    /// Slots that others seem to hold or wait for there, as last heard, and when that was.
    pub other_slots: f64,
    pub other_slots_at: Seconds,
    /// Its running times relative to its kind's, and the jobs of ours that run there.
    pub slowdown: Slowdown,
    pub running: Vec<RunningJob>,
    pub slow_start: SlowStartBudget,
    pub probing: bool,
    /// Until when a connection of ours is thought to stand idle there.
    pub idle_connection_until: Seconds,
    pub health: OutlierDetector,
}

impl Worker {
    /// An attempt ended there, and its job had begun to run by then or not.
    pub(crate) fn end_attempt(&mut self, started: Option<Seconds>, work: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(n) = self.running.iter().position(|r| Some(r.started_at) == started && r.log_work == work)
        {
            self.running.swap_remove(n);
        }
    }

    /// Counts slots that we take there or give back. What a report that is so late knows of them lags behind.
    pub(crate) fn add_slots(&mut self, slots: f64, now: Seconds, late: Seconds) {
        self.our_slots_delayed = self.our_slots
            + (self.our_slots_delayed - self.our_slots) * (-(now - self.our_slots_at) / late).exp();
        self.our_slots_at = now;
        self.our_slots = (self.our_slots + slots).max(0.0);
    }
}

#[derive(Debug)]
pub(crate) struct Job {
    pub request: Request,
    /// How long it is thought to run: as usual, or as told if that is more.
    pub run_time: Seconds,
    /// Its work as a logarithm, and when its answer must be out to be in time.
    pub log_work: f64,
    pub objective_due: Seconds,
    pub slots: i64,
    pub arrived_at: Seconds,
    /// Not worth starting after this.
    pub start_by: Seconds,
    pub state: JobState,
    pub attempts: Vec<Attempt>,
}

impl Job {
    /// When it stops waiting for a free worker: after this part of the time it has.
    pub(crate) fn placement_deadline(&self, part: f64) -> Seconds {
        self.arrived_at + part * (self.start_by - self.arrived_at)
    }

    /// All its attempts have ended and none can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran))
    }

    /// An attempt has not ended yet.
    pub(crate) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    /// To call off what is still out.
    pub(crate) fn cancel_actions(&self) -> impl Iterator<Item = Action> + '_ {
        let out = self.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        out.map(|(n, _)| Action::Cancel { request: self.request.id, attempt: n as u32 })
    }

    /// What it asks of a worker, in slots by seconds.
    pub(crate) fn work(&self) -> f64 {
        self.size() * self.run_time
    }

    /// What it takes of a worker, in slots: a worker has a unit of memory for each.
    pub(crate) fn size(&self) -> f64 {
        (self.slots as f64).max(self.request.memory)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobState {
    Queued,
    Admitted,
    InFlight,
    Ended,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub worker: usize,
    pub sent_at: Seconds,
    pub started_at: Option<Seconds>,
    /// The worker was thought free, and full to this part.
    pub had_free_slot: bool,
    pub utilization: f64,
    pub outcome: Option<Outcome>,
}

/// A worker that a job may go to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub worker: usize,
    pub cost: f64,
    /// It is thought to have a slot free for the job.
    pub has_free_slot: bool,
    /// How full it is thought to be with the job.
    pub utilization: f64,
    /// How likely the job is to be late there.
    pub lateness_probability: f64,
}

/// The best worker so far.
pub(crate) type BestCandidate = Option<Candidate>;

/// The worker list.
#[derive(Debug, Default)]
pub(crate) struct EndpointListState {
    pub watching: bool,
    pub awaiting_answer: bool,
    pub retry_delay: Seconds,
}

/// The workers that were ever named, and where to find them.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub workers: Vec<Worker>,
    pub index: FxHashMap<WorkerId, usize>,
    /// For each zone, those that serve.
    pub serving_by_zone: Vec<Vec<usize>>,
    /// Those that serve, several times each, in the order of a hash that all dispatchers share.
    pub ring: Vec<(u64, usize)>,
    /// How many that serve are ejected.
    pub unhealthy_count: usize,
    /// For each zone, whether it seems lost.
    pub zone_outages: Vec<ZoneOutage>,
    /// What is usual among the workers of one kind in one zone, and the place of each such cohort.
    pub cohorts: Vec<Cohort>,
    /// What is learnt of each kind of machine, and the most slots that a job asked for.
    pub kinds: Vec<MachineKind>,
    pub largest_job: i64,
    /// How long jobs wait at workers that are so full.
    pub queueing_curve: QueueingCurve,
    /// How cold a worker starts, and when it is warm.
    pub slow_start_min_capacity: f64,
    pub slow_start_duration: Seconds,
    cohort_index: FxHashMap<(u32, usize), usize>,
    /// When discovery was heard last.
    list_received_at: Option<Seconds>,
}

/// A start that discovery knows of is in its list after this at the latest, in seconds.
const MAX_LISTING_DELAY: Seconds = 5.0;

/// What is usual among the workers of one kind in one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cohort {
    /// The part of a worker's slots that others hold, and how often something was heard of it.
    pub utilization: f64,
    pub samples: f64,
}

impl Fleet {
    /// One without any worker.
    pub(crate) fn new(cfg: &Settings) -> Fleet {
        let mut fleet = Fleet { largest_job: 1, ..Fleet::default() };
        fleet.configure(cfg);
        fleet
    }

    /// Other settings hold.
    pub(crate) fn configure(&mut self, cfg: &Settings) {
        (self.slow_start_min_capacity, self.slow_start_duration) =
            (cfg.slow_start_min_capacity, cfg.slow_start_duration);
    }

    /// Brings the zones and the ring in line with the workers; `zone` exists even if it has none. `heard` where it was
    /// discovery that told of them.
    pub(crate) fn rebuild_indexes(&mut self, zone: u32, heard: Option<Seconds>) {
        self.list_received_at = heard.or(self.list_received_at);
        let zones = self.workers.iter().map(|w| w.zone).chain([zone]).max();
        self.serving_by_zone = vec![Vec::new(); zones.unwrap_or(0).min(MAX_ZONE) as usize + 1];
        self.zone_outages.resize(self.serving_by_zone.len(), ZoneOutage::default());
        self.ring.clear();
        for (i, w) in self.workers.iter_mut().enumerate() {
            let next = self.cohort_index.len();
            w.cohort = *self.cohort_index.entry((w.zone.min(MAX_ZONE), w.kind)).or_insert(next);
            if w.state == WorkerState::Serving {
                self.serving_by_zone[w.zone.min(MAX_ZONE) as usize].push(i);
                self.ring.extend((0..RING_POINTS).map(|n| (mix_bits(w.id.0 ^ mix_bits(n)), i)));
            }
        }
        self.cohorts.resize(self.cohort_index.len(), Cohort::default());
        self.ring.sort_unstable();
        self.count_unhealthy();
    }

    /// Whether the zone of a worker seems lost.
    pub(crate) fn zone_outage(&mut self, worker: usize) -> &mut ZoneOutage {
        let zone = self.workers[worker].zone.min(MAX_ZONE) as usize;
        &mut self.zone_outages[zone]
    }

    /// Takes a line of the list.
    pub(crate) fn upsert(&mut self, m: &Endpoint, kind: usize, now: Seconds) {
        let (id, since) = (m.worker, m.started_at);
        // Clocks may be wrong by much: no start is in the future, and one that discovery did not name when it was heard
        // last was not long before that.
        let born = since.min(now).max(self.list_received_at.map_or(0.0, |heard| heard - MAX_LISTING_DELAY));
        let new = Worker {
            id,
            kind,
            zone: m.zone,
            cell: m.cell,
            listed_start: since,
            started_at: born,
            state: m.state,
            our_slots_at: now,
            ..Worker::default()
        };
        match self.index.get(&id) {
            Some(&i) => {
                let w = &mut self.workers[i];
                if since > w.listed_start {
                    // A restart: what was known of the old process is void.
                    *w = Worker { our_slots: w.our_slots, in_flight: w.in_flight, ..new };
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
    pub(crate) fn ring_workers(&self, key: u64, count: usize) -> Vec<usize> {
        let start = self.ring.partition_point(|&(p, _)| p < mix_bits(key));
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
    pub(crate) fn apply_verdict(&mut self, worker: WorkerId, now: Seconds, ago: Seconds, holds: Seconds) {
        if let Some(&i) = self.index.get(&worker) {
            let until = if holds > 0.0 { now + holds } else { 0.0 };
            self.workers[i].health.apply_verdict(now - ago.max(0.0), until);
            self.count_unhealthy();
        }
    }

    /// So much work may be sent to a cold worker until then, beside the planned share.
    pub(crate) fn apply_grant(&mut self, worker: WorkerId, work: f64, until: Seconds, now: Seconds) {
        if let Some(&i) = self.index.get(&worker) {
            self.workers[i].slow_start.grant(work, until, now);
        }
    }

    pub(crate) fn count_unhealthy(&mut self) {
        let serving = self.workers.iter().filter(|w| w.state == WorkerState::Serving);
        self.unhealthy_count = serving.filter(|w| w.health.is_unhealthy()).count();
    }
}

/// How often each key was asked for of late, and when that was counted.
#[derive(Debug, Default)]
pub(crate) struct KeyRates(FxHashMap<u64, (f64, Seconds)>);

impl KeyRates {
    pub(crate) fn record(&mut self, key: u64, now: Seconds) {
        let count = 1.0 + KEY_MEMORY * self.rate(key, now);
        self.0.insert(key, (count, now));
    }

    /// Requests a second for the key; older ones count less.
    pub(crate) fn rate(&self, key: u64, now: Seconds) -> f64 {
        let (count, at) = self.0.get(&key).copied().unwrap_or_default();
        count * (-(now - at) / KEY_MEMORY).exp() / KEY_MEMORY
    }

    /// Forgets keys that nobody asks for any more.
    pub(crate) fn evict_old(&mut self, now: Seconds) {
        self.0.retain(|_, (_, at)| now - *at < 2.0 * KEY_MEMORY);
    }
}

/// Spreads the bits of a number.
pub(crate) fn mix_bits(mut x: u64) -> u64 {
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
        let mut bank = TokenBank { token_capacity: 7, buffer_capacity: 3, ..TokenBank::default() };
        let (mut u, mut lost, mut over) = (0, 0, 0.0);
        for _ in 0..2000 {
            let tokens = rng.i64(0..4);
            let next = (bank.token_capacity + bank.buffer_capacity).min(u + tokens);
            lost += tokens - (next - u);
            over += bank.add_tokens(tokens as f64);
            u = next;
            assert_eq!((bank.balance, over), (u, lost as f64));
            let job = rng.i64(1..3);
            if u >= job {
                u -= job;
                bank.balance -= job;
            }
        }
        assert!(lost > 0, "the stream must overflow the bank");
    }
}
