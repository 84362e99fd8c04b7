//! All decisions of one dispatcher; no clock, no I/O, no shared state. The ordinary path of a job is the
//! throttle, the rate, the workers and their cold budget, the attempts; each file opens with its rule.

mod attempts;
mod endpoint_list;
mod outlier_detection;
mod placement;
mod rate_control;
mod slow_start;
mod throttle;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::api::*;
use crate::capacity_reservation::ReservedWorkers;
use crate::load::{ObservationTime, PROMPT_START};
use crate::run_time::{RunTimeModel, RunningJob, SlowdownModel, CLASS_LEARNING_RATE, WAIT_LEARNING_RATE};
use crate::state::*;

/// Learning rate of what is served, by windows.
const SERVED_LEARNING_RATE: f64 = 0.1;
/// R starts at this multiple of our part of what was promised: a fleet is larger than what is sold of it.
const INITIAL_RATE_MULTIPLE: f64 = 1.5;
/// A paid job waits for a free worker for this part of the time it has.
const PLACEMENT_WAIT: f64 = 0.1;
/// Workers looked at for one push. Where loads are reported, dispatchers share stale news, and the more of
/// them choose the best of many the more they choose alike: there two for each dispatcher, within these.
const MAX_SAMPLE: usize = 6;
const MIN_SAMPLE: usize = 2;
/// A worker hangs that gives no sign of life for this long and so many usual waits while a job of ours waits
/// there, or for so many times the span between two notes of progress while one runs.
const STALL_TIMEOUT: Seconds = 1.5;
const STALL_WAITS: f64 = 16.0;
const STALL_PROGRESS_INTERVALS: f64 = 2.2;
/// Second copies, in parts of the pushes, and the most that are saved up.
const HEDGES_PER_SEND: f64 = 0.1;
const MAX_HEDGE_BUDGET: f64 = 4.0;

/// One dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: Settings,
    rng: fastrand::Rng,
    now: Seconds,
    banks: Vec<TokenBank>,
    accrued_at: Seconds,
    rate: AdmissionRate,
    run_times: Vec<RunTimeModel>,
    slowdowns: SlowdownModel,
    /// Slots of a usual job.
    mean_slots: f64,
    /// Second copies that may be sent, and how long jobs wait at workers of late.
    hedge_budget: f64,
    mean_wait: Seconds,
    fleet: Fleet,
    reserved_workers: ReservedWorkers,
    key_rates: KeyRates,
    jobs: FxHashMap<RequestId, Job>,
    admitted: VecDeque<RequestId>,
    /// A time slice, and the cold workers whose turn is ours in it.
    slow_start_turns: (u64, Vec<usize>),
    /// Workers that answered a probe or left a connection of late, latest first.
    recently_probed: VecDeque<usize>,
    timers: TimerQueue,
    endpoint_list: EndpointListState,
}

impl Dispatcher {
    /// A dispatcher with nothing known yet. The same seed and events give the same actions.
    pub fn new(mut cfg: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        if cfg.classes.is_empty() {
            cfg.classes.push(Class::default());
        }
        cfg.instances = cfg.instances.max(1);
        let banks = TokenBank::for_tenants(&cfg.tenants, &mut rng);
        let runs = vec![RunTimeModel::default(); cfg.classes.len()];
        let first = cfg.total_quota() / f64::from(cfg.instances);
        Dispatcher {
            rng,
            now: 0.0,
            banks,
            accrued_at: 0.0,
            rate: AdmissionRate {
                slots_per_second: INITIAL_RATE_MULTIPLE * first.max(1.0),
                served_rate: first,
                ..AdmissionRate::default()
            },
            run_times: runs,
            slowdowns: SlowdownModel::default(),
            mean_slots: 1.0,
            hedge_budget: MAX_HEDGE_BUDGET,
            mean_wait: 0.0,
            fleet: Fleet::new(&cfg),
            reserved_workers: ReservedWorkers::new(cfg.capacity_reservation),
            key_rates: KeyRates::default(),
            jobs: FxHashMap::default(),
            admitted: VecDeque::new(),
            slow_start_turns: (0, Vec::new()),
            recently_probed: VecDeque::new(),
            timers: TimerQueue::default(),
            endpoint_list: EndpointListState::default(),
            cfg,
        }
    }

    /// Begins work: subscribes to the list and arms the timer.
    pub fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        (self.now, self.accrued_at) = (now, now);
        if self.cfg.polls_endpoint_list {
            self.watch_endpoint_list(actions);
        }
        let phase = self.rng.f64();
        self.schedule(self.rate_window() * phase, TimerEvent::RateWindowEnd);
        if self.cfg.probes_allowed && self.cfg.load_reports == LoadReports::WithProbes {
            self.schedule(0.1 * phase, TimerEvent::ProbeDue);
        }
        self.resize_banks();
        actions.extend(self.timers.arm(self.now, self.cfg.clock_resolution));
    }

    /// Takes one event and appends what is to be done.
    pub fn on_event(&mut self, now: Seconds, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Settings(settings) => self.on_settings(settings),
            Event::Request(req) => self.on_request(req, actions),
            Event::StreamStarted { request, attempt } | Event::JobStarted { request, attempt } => {
                self.on_job_started(request, attempt)
            }
            Event::AttemptEnded { request, attempt, outcome, complete, load } => {
                self.on_attempt_ended(request, attempt, outcome, complete, load, actions)
            }
            Event::ClientDisconnected(id) => self.on_client_disconnect(id, actions),
            Event::Timer(token) => self.timers.on_fired(token),
            Event::ProbeEnded { worker, ok, load } => self.on_probed(worker, load.filter(|_| ok), actions),
            Event::UnhealthyVerdict { worker, observed_ago: ago, valid_for: holds } => {
                self.fleet.apply_verdict(worker, self.now, ago, holds)
            }
            Event::SlowStartGrant { worker, work, expires_at: until } => {
                self.fleet.apply_grant(worker, work, until, self.now);
                self.slow_start_turns.0 = u64::MAX;
            }
            Event::EndpointList { scope, endpoints: members } => self.on_endpoint_list(scope, members),
            Event::Progress { request, attempt, .. } => {
                if let Some(a) = self.jobs.get(&request).and_then(|j| j.attempts.get(attempt as usize)) {
                    self.record_liveness(a.worker);
                }
            }
            Event::PeerMessage { .. } => {}
        }
        self.run_due_timers(actions);
        actions.extend(self.timers.arm(self.now, self.cfg.clock_resolution));
    }

    /// Other settings: what was learned stays, banks follow their tenants' new shares.
    fn on_settings(&mut self, settings: &Settings) {
        self.accrue_tokens();
        let mut cfg = settings.clone();
        cfg.classes.resize(cfg.classes.len().max(self.run_times.len()), Class::default());
        cfg.instances = cfg.instances.max(1);
        self.run_times.resize(cfg.classes.len(), RunTimeModel::default());
        for (i, new) in TokenBank::for_tenants(&cfg.tenants, &mut self.rng).into_iter().enumerate() {
            match self.banks.get_mut(i) {
                Some(bank) => bank.share = new.share,
                None => self.banks.push(new),
            }
        }
        self.reserved_workers.configure(cfg.capacity_reservation);
        self.fleet.configure(&cfg);
        self.cfg = cfg;
        self.resize_banks();
        self.fleet.rebuild_indexes(self.cfg.zone, None);
        self.reserved_workers.assign(&self.fleet.workers);
    }

    fn schedule(&mut self, after: Seconds, what: TimerEvent) {
        self.timers.schedule(self.now + after.max(0.0), what);
    }

    fn run_due_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(what) = self.timers.next_due(self.now) {
            match what {
                TimerEvent::TokensDue(tenant) => {
                    self.accrue_tokens();
                    self.release_queued(tenant, actions);
                }
                TimerEvent::PlacementTimeout(id) => self.on_placement_timeout(id, actions),
                TimerEvent::QueueTimeout(id) => self.on_queue_timeout(id, actions),
                TimerEvent::ProbeOtherZones(id) => self.probe(id, true, actions),
                TimerEvent::StallCheck(id) => self.on_stall_check(id, actions),
                TimerEvent::RateWindowEnd => self.end_rate_window(),
                TimerEvent::EndpointListRetry
                    if self.endpoint_list.watching || self.endpoint_list.awaiting_answer => {}
                TimerEvent::EndpointListRetry => self.watch_endpoint_list(actions),
                TimerEvent::ProbeDue => self.on_probe_due(actions),
            }
        }
    }
}
