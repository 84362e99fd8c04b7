//! All decisions of one dispatcher; no clock, no I/O, no shared state. The ordinary path of a job is the
//! throttle, the rate, the workers and their slow-start budget, the attempts; each file opens with its rule.

mod attempts;
mod endpoint_list;
mod outlier_detection;
mod placement;
mod rate_control;
mod slow_start;
mod throttle;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::admission_rate::AdmissionRate;
use crate::api::{Action, Event, LoadReports, RequestId, Seconds, Settings};
use crate::capacity_reservation::ReservedWorkers;
use crate::endpoint_list::EndpointListState;
use crate::fleet::Fleet;
use crate::hedging::HedgeBudget;
use crate::job::Job;
use crate::key_rates::KeyRates;
use crate::slow_start::SlowStartTurns;
use crate::timers::{TimerEvent, TimerQueue};
use crate::token_bank::{self, TokenBank};
use crate::workload::Workload;

/// R starts at this multiple of our part of what was promised: a fleet is larger than what is sold of it.
const INITIAL_RATE_MULTIPLE: f64 = 1.5;

/// One dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    now: Seconds,
    banks: Vec<TokenBank>,
    /// When tokens were added last.
    accrued_at: Seconds,
    rate: AdmissionRate,
    workload: Workload,
    hedge_budget: HedgeBudget,
    fleet: Fleet,
    reserved_workers: ReservedWorkers,
    key_rates: KeyRates,
    jobs: FxHashMap<RequestId, Job>,
    /// Jobs that wait for a worker, first come first.
    admitted: VecDeque<RequestId>,
    pub(crate) slow_start_turns: SlowStartTurns,
    /// Workers that answered a probe or left an idle connection, latest first.
    recently_probed: VecDeque<usize>,
    timers: TimerQueue,
    endpoint_list: EndpointListState,
}

impl Dispatcher {
    /// A dispatcher with nothing known yet. The same seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = settings.normalized(1);
        let mut rng = fastrand::Rng::with_seed(seed);
        let our_quota = settings.total_quota() / f64::from(settings.instances);
        Dispatcher {
            banks: TokenBank::for_tenants(&settings.tenants, &mut rng),
            rng,
            now: 0.0,
            accrued_at: 0.0,
            rate: AdmissionRate::new(INITIAL_RATE_MULTIPLE * our_quota.max(1.0), our_quota),
            workload: Workload::new(settings.classes.len()),
            hedge_budget: HedgeBudget::default(),
            fleet: Fleet::new(&settings),
            reserved_workers: ReservedWorkers::new(settings.capacity_reservation),
            key_rates: KeyRates::default(),
            jobs: FxHashMap::default(),
            admitted: VecDeque::new(),
            slow_start_turns: SlowStartTurns::default(),
            recently_probed: VecDeque::new(),
            timers: TimerQueue::default(),
            endpoint_list: EndpointListState::default(),
            settings,
        }
    }

    /// Begins work: subscribes to the endpoint list and arms the timer.
    pub fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        (self.now, self.accrued_at) = (now, now);
        self.slow_start_turns.owned_after = now;
        if self.settings.polls_endpoint_list {
            self.watch_endpoint_list(actions);
        }
        let phase = self.rng.f64();
        self.schedule(self.workload.rate_window() * phase, TimerEvent::RateWindowEnd);
        if self.settings.probes_allowed && self.settings.load_reports == LoadReports::WithProbes {
            self.schedule(0.1 * phase, TimerEvent::ProbeDue);
        }
        self.resize_banks();
        actions.extend(self.timers.arm(self.now, self.settings.clock_resolution));
    }

    /// Takes one event and appends what is to be done.
    pub fn on_event(&mut self, now: Seconds, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Settings(settings) => self.on_settings(settings),
            Event::Request(request) => self.on_request(request, actions),
            Event::StreamStarted { request, attempt } | Event::JobStarted { request, attempt } => {
                self.on_job_started(request, attempt)
            }
            Event::AttemptEnded { request, attempt, outcome, complete, load } => {
                self.on_attempt_ended(request, attempt, outcome, complete, load, actions)
            }
            Event::ClientDisconnected(id) => self.on_client_disconnect(id, actions),
            Event::Timer(token) => self.timers.on_fired(token),
            Event::ProbeEnded { worker, ok, load } => self.on_probed(worker, load.filter(|_| ok), actions),
            Event::UnhealthyVerdict { worker, observed_ago, valid_for } => {
                self.fleet.apply_verdict(worker, self.now, observed_ago, valid_for)
            }
            Event::SlowStartGrant { worker, work, expires_at } => {
                self.on_slow_start_grant(worker, work, expires_at)
            }
            Event::EndpointList { scope, endpoints } => self.on_endpoint_list(scope, endpoints),
            Event::Progress { request, attempt, .. } => self.on_progress(request, attempt),
            Event::PeerMessage { .. } => {}
        }
        self.run_due_timers(actions);
        actions.extend(self.timers.arm(self.now, self.settings.clock_resolution));
    }

    /// Other settings: what was learned stays, banks follow their tenants' new shares.
    fn on_settings(&mut self, settings: &Settings) {
        self.accrue_tokens();
        let settings = settings.normalized(self.workload.run_times.len());
        self.workload.resize(settings.classes.len());
        token_bank::update_shares(&mut self.banks, &settings.tenants, &mut self.rng);
        self.reserved_workers.configure(settings.capacity_reservation);
        self.fleet.configure(&settings);
        self.settings = settings;
        self.resize_banks();
        self.fleet.rebuild_indexes(self.settings.zone, None);
        self.reserved_workers.assign(&self.fleet.workers);
    }

    fn schedule(&mut self, after: Seconds, event: TimerEvent) {
        self.timers.schedule(self.now + after.max(0.0), event);
    }

    fn run_due_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(event) = self.timers.next_due(self.now) {
            match event {
                TimerEvent::TokensDue(tenant) => {
                    self.accrue_tokens();
                    self.release_queued(tenant, actions);
                }
                TimerEvent::PlacementTimeout(id) => self.on_placement_timeout(id, actions),
                TimerEvent::QueueTimeout(id) => self.on_queue_timeout(id, actions),
                TimerEvent::ProbeOtherZones(id) => self.probe(id, true, actions),
                TimerEvent::StallCheck(id) => self.on_stall_check(id, actions),
                TimerEvent::RateWindowEnd => self.end_rate_window(),
                TimerEvent::EndpointListRetry if self.endpoint_list.is_active() => {}
                TimerEvent::EndpointListRetry => self.watch_endpoint_list(actions),
                TimerEvent::ProbeDue => self.on_probe_due(actions),
            }
        }
    }
}
