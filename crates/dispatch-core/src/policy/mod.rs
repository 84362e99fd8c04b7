//! All decisions of one dispatcher; no clock, no I/O, no shared state. The ordinary path of a job is the
//! throttle, the rate, the workers and their cold budget, the attempts; each file opens with its rule.

mod attempts;
mod cold;
mod health;
mod list;
mod rate;
mod throttle;
mod workers;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::api::*;
use crate::estimate::{Paces, Running, Runs, LEARN_CLASS, LEARN_WORKER};
use crate::load::{Present, PROMPT};
use crate::room::Room;
use crate::state::*;

/// Learning rate of what is served, by windows.
const LEARN_SERVED: f64 = 0.1;
/// R starts at this multiple of our part of what was promised: a fleet is larger than what is sold of it.
const FIRST_RATE: f64 = 1.5;
/// A paid job waits for a free worker for this part of the time it has.
const GATE: f64 = 0.1;
/// Workers looked at for one push. Where loads are reported, dispatchers share stale news, and the more of
/// them choose the best of many the more they choose alike: there two for each dispatcher, within these.
const SAMPLE: usize = 6;
const LEAST_SAMPLE: usize = 2;
/// A worker hangs that gives no sign of life for this long and so many usual waits while a job of ours waits
/// there, or for so many times the span between two notes of progress while one runs.
const QUIET: Seconds = 1.5;
const QUIET_WAITS: f64 = 16.0;
const QUIET_NOTES: f64 = 2.2;
/// Second copies, in parts of the pushes, and the most that are saved up.
const COPIES: f64 = 0.1;
const COPIES_SAVED: f64 = 4.0;

/// One dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: Settings,
    rng: fastrand::Rng,
    now: Seconds,
    banks: Vec<Bank>,
    accrued: Seconds,
    rate: Rate,
    runs: Vec<Runs>,
    paces: Paces,
    /// Slots of a usual job.
    slots: f64,
    /// Second copies that may be sent, and how long jobs wait at workers of late.
    copies: f64,
    waits: Seconds,
    fleet: Fleet,
    room: Room,
    keys: Keys,
    jobs: FxHashMap<RequestId, Job>,
    paid: VecDeque<RequestId>,
    /// A time slice, and the cold workers whose turn is ours in it.
    turns: (u64, Vec<usize>),
    /// Workers that answered a probe or left a connection of late, latest first.
    looked: VecDeque<usize>,
    wakes: Wakes,
    list: List,
}

impl Dispatcher {
    /// A dispatcher with nothing known yet. The same seed and events give the same actions.
    pub fn new(mut cfg: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        if cfg.classes.is_empty() {
            cfg.classes.push(Class::default());
        }
        cfg.instances = cfg.instances.max(1);
        let banks = Bank::of_tenants(&cfg.tenants, &mut rng);
        let runs = vec![Runs::default(); cfg.classes.len()];
        let first = cfg.total_quota() / f64::from(cfg.instances);
        Dispatcher {
            rng,
            now: 0.0,
            banks,
            accrued: 0.0,
            rate: Rate { slots_per_s: FIRST_RATE * first.max(1.0), served: first, ..Rate::default() },
            runs,
            paces: Paces::default(),
            slots: 1.0,
            copies: COPIES_SAVED,
            waits: 0.0,
            fleet: Fleet::new(&cfg),
            room: Room::new(cfg.capacity_reservation),
            keys: Keys::default(),
            jobs: FxHashMap::default(),
            paid: VecDeque::new(),
            turns: (0, Vec::new()),
            looked: VecDeque::new(),
            wakes: Wakes::default(),
            list: List::default(),
            cfg,
        }
    }

    /// Begins work: subscribes to the list and arms the timer.
    pub fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        (self.now, self.accrued) = (now, now);
        if self.cfg.polls_endpoint_list {
            self.ask(actions);
        }
        let phase = self.rng.f64();
        self.wake(self.window() * phase, Wake::Window);
        if self.cfg.probes_allowed && self.cfg.load_reports == LoadReports::WithProbes {
            self.wake(0.1 * phase, Wake::Probe);
        }
        self.size_banks();
        actions.extend(self.wakes.arm(self.now, self.cfg.clock_resolution));
    }

    /// Takes one event and appends what is to be done.
    pub fn on_event(&mut self, now: Seconds, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Settings(settings) => self.on_settings(settings),
            Event::Request(req) => self.on_request(req, actions),
            Event::StreamStarted { request, attempt } | Event::JobStarted { request, attempt } => {
                self.on_started(request, attempt)
            }
            Event::AttemptEnded { request, attempt, outcome, complete, load } => {
                self.on_ended(request, attempt, outcome, complete, load, actions)
            }
            Event::ClientDisconnected(id) => self.on_gone(id, actions),
            Event::Timer(token) => self.wakes.fired(token),
            Event::ProbeEnded { worker, ok, load } => self.on_probed(worker, load.filter(|_| ok), actions),
            Event::UnhealthyVerdict { worker, observed_ago: ago, valid_for: holds } => {
                self.fleet.sighted(worker, self.now, ago, holds)
            }
            Event::SlowStartGrant { worker, work, expires_at: until } => {
                self.fleet.granted(worker, work, until, self.now);
                self.turns.0 = u64::MAX;
            }
            Event::EndpointList { scope, endpoints: members } => self.on_list(scope, members),
            Event::Progress { request, attempt, .. } => {
                if let Some(a) = self.jobs.get(&request).and_then(|j| j.attempts.get(attempt as usize)) {
                    self.sign(a.worker);
                }
            }
            Event::PeerMessage { .. } => {}
        }
        self.on_wakes(actions);
        actions.extend(self.wakes.arm(self.now, self.cfg.clock_resolution));
    }

    /// Other settings: what was learned stays, banks follow their tenants' new shares.
    fn on_settings(&mut self, settings: &Settings) {
        self.accrue();
        let mut cfg = settings.clone();
        cfg.classes.resize(cfg.classes.len().max(self.runs.len()), Class::default());
        cfg.instances = cfg.instances.max(1);
        self.runs.resize(cfg.classes.len(), Runs::default());
        for (i, new) in Bank::of_tenants(&cfg.tenants, &mut self.rng).into_iter().enumerate() {
            match self.banks.get_mut(i) {
                Some(bank) => bank.share = new.share,
                None => self.banks.push(new),
            }
        }
        self.room.configure(cfg.capacity_reservation);
        self.fleet.configure(&cfg);
        self.cfg = cfg;
        self.size_banks();
        self.fleet.rebuild(self.cfg.zone, None);
        self.room.divide(&self.fleet.workers);
    }

    fn wake(&mut self, after: Seconds, what: Wake) {
        self.wakes.add(self.now + after.max(0.0), what);
    }

    fn on_wakes(&mut self, actions: &mut Vec<Action>) {
        while let Some(what) = self.wakes.next(self.now) {
            match what {
                Wake::Token(tenant) => {
                    self.accrue();
                    self.release(tenant, actions);
                }
                Wake::Gate(id) => self.give_way(id, actions),
                Wake::Hold(id) => self.on_hold_over(id, actions),
                Wake::Look(id) => self.look(id, true, actions),
                Wake::Quiet(id) => self.on_quiet(id, actions),
                Wake::Window => self.end_window(),
                Wake::List if self.list.watching || self.list.waiting => {}
                Wake::List => self.ask(actions),
                Wake::Probe => self.on_probe_due(actions),
            }
        }
    }
}
