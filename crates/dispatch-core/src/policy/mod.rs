//! All decisions of one dispatcher, without a clock, I/O or shared state.
//!
//! A job passes `admission` and then `throttle`, whose rate `rate_control` sets. `placement` sends it to a
//! worker, which `worker_selection` chooses by `worker_cost` and `slow_start`. `attempts` ends the job or
//! sends it again. The rule that a file implements is stated at its top.

mod admission;
mod attempts;
mod endpoint_list;
mod outlier_detection;
mod placement;
mod probing;
mod rate_control;
mod slow_start;
mod throttle;
mod worker_cost;
mod worker_selection;

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
use crate::slow_start::SlowStartShares;
use crate::timers::{TimerEvent, TimerQueue};
use crate::token_bank::{self, TokenBank};
use crate::workload::Workload;
use attempts::AttemptEnd;
use probing::ProbeScope;

/// Initial admission rate R, as a multiple of this dispatcher's share of the quotas: a fleet has more
/// capacity than its quotas promise.
const INITIAL_RATE_MULTIPLE: f64 = 1.5;
/// Maximum delay of the first probe.
const MAX_FIRST_PROBE_DELAY: Seconds = 0.1;

/// The decision logic of one dispatcher, with its state.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    now: Seconds,
    banks: Vec<TokenBank>,
    /// Time at which tokens were last added to the token banks.
    accrued_at: Seconds,
    rate: AdmissionRate,
    workload: Workload,
    hedge_budget: HedgeBudget,
    fleet: Fleet,
    reserved_workers: ReservedWorkers,
    key_rates: KeyRates,
    jobs: FxHashMap<RequestId, Job>,
    /// Admitted jobs that wait for a worker, in the order of admission.
    admitted: VecDeque<RequestId>,
    slow_start_shares: SlowStartShares,
    /// Workers that answered a probe or left an idle connection, the latest first.
    recently_probed: VecDeque<usize>,
    timers: TimerQueue,
    endpoint_list: EndpointListState,
}

impl Dispatcher {
    /// Returns a dispatcher without any workers. Equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = settings.normalized(1);
        let mut rng = fastrand::Rng::with_seed(seed);
        let our_quota = settings.total_quota() / f64::from(settings.instances);
        Dispatcher {
            banks: TokenBank::for_tenants(&settings, &mut rng),
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
            slow_start_shares: SlowStartShares::default(),
            recently_probed: VecDeque::new(),
            timers: TimerQueue::default(),
            endpoint_list: EndpointListState::default(),
            settings,
        }
    }

    /// Starts the dispatcher: requests a watch on the endpoint list if the settings ask for it, and arms the
    /// timer.
    pub fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        self.now = now;
        self.accrued_at = now;
        self.slow_start_shares.planned_from = now;
        if self.settings.polls_endpoint_list {
            self.watch_endpoint_list(actions);
        }
        let phase = self.rng.f64();
        self.schedule(self.workload.rate_window() * phase, TimerEvent::RateWindowEnd);
        if self.settings.probes_allowed && self.settings.load_reports == LoadReports::WithProbes {
            self.schedule(MAX_FIRST_PROBE_DELAY * phase, TimerEvent::ProbeDue);
        }
        self.resize_banks();
        self.arm_timer(actions);
    }

    /// Returns the mean work of a job, in slot-seconds.
    pub fn mean_job_work(&self) -> f64 {
        self.workload.mean_job_work()
    }

    /// Handles one event and appends the actions that the caller must carry out.
    pub fn on_event(&mut self, now: Seconds, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.handle(event, actions);
        self.run_due_timers(actions);
        self.arm_timer(actions);
    }

    fn handle(&mut self, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Settings(settings) => self.on_settings(settings, actions),
            Event::Request { request, settings } => self.on_request(request, settings, actions),
            Event::StreamStarted { request, attempt } | Event::JobStarted { request, attempt } => {
                self.on_job_started(request, attempt)
            }
            Event::AttemptEnded { request, attempt, outcome, complete, load } => {
                let end = AttemptEnd { request, number: attempt, outcome, is_complete: complete, load };
                self.on_attempt_ended(end, actions)
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
    }

    /// Applies new settings. Estimates are kept, the banks get the new shares of their tenants, and open jobs
    /// keep the settings under which they were accepted.
    fn on_settings(&mut self, settings: &Settings, actions: &mut Vec<Action>) {
        self.accrue_tokens();
        let settings = settings.clone().normalized(self.workload.run_times.len());
        self.workload.configure(&settings);
        token_bank::update_shares(&mut self.banks, &settings, &mut self.rng);
        self.reserved_workers.configure(settings.capacity_reservation);
        self.fleet.configure(&settings);
        self.settings = settings;
        self.resize_banks();
        self.fleet.rebuild_indexes(self.settings.zone, None);
        self.reserved_workers.assign(&self.fleet.workers);
        self.release_dropped_tenants(actions);
    }

    /// Schedules a timer event after this time; a negative time means at once.
    fn schedule(&mut self, after: Seconds, event: TimerEvent) {
        self.timers.schedule(self.now + after.max(0.0), event);
    }

    /// Arms the caller's timer for the earliest timer event, unless it is already armed for it.
    fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        actions.extend(self.timers.arm(self.now, self.settings.clock_resolution));
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
                TimerEvent::ProbeOtherZones(id) => self.probe(id, ProbeScope::OtherZones, actions),
                TimerEvent::StallCheck(id) => self.on_stall_check(id, actions),
                TimerEvent::RateWindowEnd => self.end_rate_window(),
                TimerEvent::EndpointListRetry if self.endpoint_list.is_active() => {}
                TimerEvent::EndpointListRetry => self.watch_endpoint_list(actions),
                TimerEvent::ProbeDue => self.on_probe_due(actions),
            }
        }
    }
}
