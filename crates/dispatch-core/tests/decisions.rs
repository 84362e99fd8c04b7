//! Snapshots of the digests of all actions of a dispatcher over long pseudo-random event streams. Any changed decision
//! changes a digest.
//!
//! The streams come from a small model of a fleet that reacts to the dispatcher, with queues, slow starts, outages,
//! workers that hang, changes of the endpoint list, and reloads. Everything follows from the seed; there is no clock.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write as _;

use common::{class, settings};
use dispatch_core::api::*;
use dispatch_core::Dispatcher;
use fastrand::Rng;

const SEEDS: std::ops::Range<u64> = 0..4;
const START: f64 = 100.0;
const DURATION: f64 = 60.0;
const WORKERS: u64 = 24;
const ZONES: u64 = 3;
const STANDARD_RUN_TIME: f64 = 0.2;
const ROUND_TRIP: f64 = 0.004;

/// The request rate of a stream, and the optional properties of its requests.
#[derive(Clone, Copy)]
struct Traffic {
    requests_per_second: f64,
    hints: bool,
    keys: bool,
    largest_slots: u64,
}

/// An attempt at a request, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    request: u64,
    number: u32,
}

/// An event that the model schedules for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival,
    Timer(u64),
    Started(AttemptId),
    Progress(AttemptId),
    Ended { attempt: AttemptId, outcome_code: u8 },
    ClientDisconnects(u64),
    Probed(u64),
    FleetChange,
    WatchAnswered,
    PeerInput,
    Reload,
}

/// A scheduled event with its time in microseconds; events at the same time are handled in the order of scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: u64,
    sequence: u64,
    event: ModelEvent,
}

const OUTCOMES: [Outcome; 10] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::StaleConnection,
    Outcome::InvalidRequest,
];

fn outcome_code(outcome: Outcome) -> u8 {
    OUTCOMES.iter().position(|listed| *listed == outcome).expect("the outcome must be listed") as u8
}

#[derive(Clone, Copy)]
struct ModelWorker {
    endpoint: Endpoint,
    slots: f64,
    busy: f64,
}

struct OpenRequest {
    request: Request,
    deadline: f64,
    answered: bool,
    attempts: Vec<ModelAttempt>,
}

#[derive(Clone, Copy)]
struct ModelAttempt {
    worker: u64,
    is_running: bool,
}

struct Model {
    dispatcher: Dispatcher,
    cfg: Settings,
    traffic: Traffic,
    rng: Rng,
    now: f64,
    events: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    workers: BTreeMap<u64, ModelWorker>,
    requests: BTreeMap<u64, OpenRequest>,
    digest: u64,
    counts: BTreeMap<&'static str, u32>,
}

fn micros(seconds: f64) -> i64 {
    (seconds * 1e6).round() as i64
}

impl Model {
    fn new(cfg: Settings, traffic: Traffic, seed: u64) -> Model {
        let mut model = Model {
            dispatcher: Dispatcher::new(cfg.clone(), seed),
            cfg,
            traffic,
            rng: Rng::with_seed(!seed),
            now: START,
            events: BinaryHeap::new(),
            sequence: 0,
            workers: BTreeMap::new(),
            requests: BTreeMap::new(),
            digest: 0xcbf2_9ce4_8422_2325,
            counts: BTreeMap::new(),
        };
        for number in 1..=WORKERS {
            let started_at = if number % 5 == 0 { START - 2.0 } else { 0.0 };
            model.workers.insert(number, model_worker(number, started_at));
        }
        let mut actions = Vec::new();
        model.dispatcher.start(START, &mut actions);
        model.carry_out(actions);
        model.send_list(ListScope::Cached, None);
        model.schedule(0.0, ModelEvent::Arrival);
        model.schedule(1.0, ModelEvent::FleetChange);
        model.schedule(0.5, ModelEvent::PeerInput);
        model.schedule(DURATION / 2.0, ModelEvent::Reload);
        model
    }

    fn schedule(&mut self, after: f64, event: ModelEvent) {
        self.sequence += 1;
        let at = micros(self.now + after.max(0.0)) as u64;
        self.events.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    fn schedule_end(&mut self, after: f64, attempt: AttemptId, outcome: Outcome) {
        self.schedule(after, ModelEvent::Ended { attempt, outcome_code: outcome_code(outcome) });
    }

    /// Runs the stream to its end. Returns the number of actions by kind, and the digest.
    fn run(mut self) -> String {
        while let Some(Reverse(next)) = self.events.pop() {
            self.now = self.now.max(next.at as f64 / 1e6);
            if self.now > START + DURATION {
                break;
            }
            self.handle(next.event);
        }
        let mut text = String::new();
        for (kind, count) in &self.counts {
            let _ = write!(text, "{kind} {count}, ");
        }
        text + &format!("digest {:016x}", self.digest)
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrival => self.arrival(),
            ModelEvent::Timer(token) => self.event(Event::Timer(token)),
            ModelEvent::Started(attempt) => self.start(attempt),
            ModelEvent::Progress(attempt) => self.progress(attempt),
            ModelEvent::Ended { attempt, outcome_code } => {
                self.end_attempt(attempt, OUTCOMES[outcome_code as usize]);
            }
            ModelEvent::ClientDisconnects(id) => {
                if let Some(open) = self.requests.get_mut(&id).filter(|open| !open.answered) {
                    open.answered = true;
                    self.event(Event::ClientDisconnected(RequestId(id)));
                }
            }
            ModelEvent::Probed(worker) => {
                let ok = self.rng.u32(..10) > 0;
                let load = Some(self.load_of(worker));
                self.event(Event::ProbeEnded { worker: WorkerId(worker), ok, load });
            }
            ModelEvent::FleetChange => self.fleet_change(),
            ModelEvent::WatchAnswered => match self.rng.u32(..3) {
                0 => self.event(Event::EndpointList { scope: ListScope::Failed, endpoints: &[] }),
                _ => self.send_list(ListScope::Full, None),
            },
            ModelEvent::PeerInput => self.peer_input(),
            ModelEvent::Reload => self.reload(),
        }
    }

    fn start(&mut self, attempt: AttemptId) {
        if !self.is_running(attempt) {
            return;
        }
        let request = RequestId(attempt.request);
        let started = if self.rng.u32(..40) == 0 {
            Event::StreamStarted { request, attempt: attempt.number }
        } else {
            Event::JobStarted { request, attempt: attempt.number }
        };
        self.event(started);
    }

    fn progress(&mut self, attempt: AttemptId) {
        if !self.is_running(attempt) {
            return;
        }
        let request = RequestId(attempt.request);
        self.event(Event::Progress { request, attempt: attempt.number, done: 0.5 });
        self.schedule(1.0, ModelEvent::Progress(attempt));
    }

    fn arrival(&mut self) {
        let id = self.sequence;
        let run = STANDARD_RUN_TIME * [0.25, 0.5, 1.0, 1.0, 2.0, 4.0][self.rng.usize(..6)];
        let timeout = [0.3, 1.0, 2.0, 5.0][self.rng.usize(..4)];
        let request = Request {
            id: RequestId(id),
            class: self.rng.u32(..5),
            tenant: self.rng.u32(..3),
            slots: (1 + self.rng.u64(..self.traffic.largest_slots)) as f64,
            memory: f64::from(self.rng.u32(..3)),
            timeout,
            is_retry: self.rng.u32(..8) == 0,
            expected_run_time: Some(run).filter(|_| self.traffic.hints),
            affinity_key: self.traffic.keys.then(|| self.rng.u64(..12)).filter(|key| *key < 8),
        };
        let open =
            OpenRequest { request, deadline: self.now + timeout, answered: false, attempts: Vec::new() };
        self.requests.insert(id, open);
        let settings = self.cfg.for_job(request.class);
        self.event(Event::Request { request, settings });
        if self.rng.u32(..50) == 0 {
            let after = 0.1 + timeout * self.rng.f64() / 2.0;
            self.schedule(after, ModelEvent::ClientDisconnects(id));
        }
        // Every tenth second has four times the usual traffic.
        let burst = if (self.now as u64) % 10 == 7 { 4.0 } else { 1.0 };
        let interval = 2.0 * self.rng.f64() / (self.traffic.requests_per_second * burst);
        self.schedule(interval, ModelEvent::Arrival);
    }

    fn is_running(&self, attempt: AttemptId) -> bool {
        let open = self.requests.get(&attempt.request);
        open.is_some_and(|open| open.attempts[attempt.number as usize].is_running)
    }

    fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        if !self.is_running(id) {
            return;
        }
        let open = self.requests.get_mut(&id.request).expect("the request must exist");
        let model_attempt = &mut open.attempts[id.number as usize];
        let worker = model_attempt.worker;
        model_attempt.is_running = false;
        let late = self.now >= open.deadline;
        let complete = outcome == Outcome::Ok || open.answered || late;
        open.answered |= complete;
        let slots = open.request.slots;
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.busy = (worker.busy - slots).max(0.0);
        }
        let load = (self.cfg.load_reports == LoadReports::WithResponses && self.rng.u32(..8) > 0)
            .then(|| self.load_of(worker));
        let request = RequestId(id.request);
        let attempt = id.number;
        self.event(Event::AttemptEnded { request, attempt, outcome, complete, load });
        self.event(Event::AttemptEnded { request, attempt, outcome, complete, load: None });
    }

    /// Returns a load report of a worker, from which some figures are missing at random.
    fn load_of(&mut self, worker: u64) -> LoadReport {
        let Some(worker) = self.workers.get(&worker) else { return LoadReport::default() };
        let free = (worker.slots - worker.busy).max(0.0);
        let queue = (worker.busy - worker.slots).max(0.0);
        let with_queue = self.rng.u32(..2) == 0;
        LoadReport {
            free_slots: Some(free).filter(|_| self.rng.u32(..10) > 0),
            free_memory: Some(free + 1.0).filter(|_| self.rng.u32(..3) == 0),
            queue_length: Some(queue).filter(|_| with_queue),
            in_flight: Some(worker.busy),
            ..LoadReport::default()
        }
    }

    /// Drains, removes or restarts a worker; discovery then sends the change or the whole list, or fails.
    fn fleet_change(&mut self) {
        let number = 1 + self.rng.u64(..WORKERS + 2);
        let started_at = self.now - 0.5;
        let worker = self.workers.entry(number).or_insert_with(|| model_worker(number, started_at));
        match self.rng.u32(..6) {
            0 => worker.endpoint.state = WorkerState::Draining,
            1 => worker.endpoint.state = WorkerState::Removed,
            2 | 3 => {
                worker.endpoint.state = WorkerState::Serving;
                worker.endpoint.started_at = started_at;
                worker.busy = 0.0;
            }
            _ => worker.endpoint.state = WorkerState::Serving,
        }
        match self.rng.u32(..8) {
            0 => self.event(Event::EndpointList { scope: ListScope::Failed, endpoints: &[] }),
            1 => self.send_list(ListScope::Full, None),
            2 => self.send_list(ListScope::Cached, None),
            _ => self.send_list(ListScope::Incremental, Some(number)),
        }
        let interval = 0.2 + self.rng.f64();
        self.schedule(interval, ModelEvent::FleetChange);
    }

    /// Passes a verdict of a health checker, a grant for a worker in slow start or a message of a peer.
    fn peer_input(&mut self) {
        let number = 1 + self.rng.u64(..WORKERS + 2);
        let worker = WorkerId(number);
        match self.rng.u32(..4) {
            0 => self.event(Event::UnhealthyVerdict { worker, observed_ago: 0.5, valid_for: 2.0 }),
            1 => self.event(Event::UnhealthyVerdict { worker, observed_ago: 0.5, valid_for: 0.0 }),
            2 => {
                let worker = WorkerId(5 * (number % 5));
                let expires_at = self.now + 3.0;
                self.event(Event::SlowStartGrant { worker, work: 2.0, expires_at });
            }
            _ => self.event(Event::PeerMessage { from: 1, data: b"load" }),
        }
        let interval = 0.5 * self.rng.f64();
        self.schedule(interval, ModelEvent::PeerInput);
    }

    /// Reloads the settings with another share, one more class and one more tenant.
    fn reload(&mut self) {
        if let Some(tenant) = self.cfg.tenants.first_mut() {
            tenant.share *= 3.0;
        }
        self.cfg.tenants.push(Tenant { share: 0.2, quota: 5.0 });
        self.cfg.classes.push(class(Idempotency::Idempotent));
        self.cfg.max_retry_after = 1.0;
        let cfg = self.cfg.clone();
        self.event(Event::Settings(&cfg));
    }

    fn send_list(&mut self, scope: ListScope, only: Option<u64>) {
        let is_sent = |number: &u64| only.is_none_or(|only| only == *number);
        let sent =
            self.workers.iter().filter(|(number, _)| is_sent(number)).map(|(_, worker)| worker.endpoint);
        let endpoints: Vec<Endpoint> = sent.collect();
        self.event(Event::EndpointList { scope, endpoints: &endpoints });
    }

    fn event(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.dispatcher.on_event(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (kind, text) = describe(&action);
            *self.counts.entry(kind).or_insert(0) += 1;
            self.add_to_digest(&format!("{} {kind} {text}\n", micros(self.now)));
            match action {
                Action::Send { request, worker, .. } => self.send_attempt(request.0, worker.0),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.requests.get_mut(&request.0).expect("the request must exist").answered = true;
                }
                Action::Cancel { request, attempt } => {
                    let attempt = AttemptId { request: request.0, number: attempt };
                    self.schedule_end(0.001, attempt, Outcome::Cancelled);
                }
                Action::Probe(worker) => self.schedule(ROUND_TRIP, ModelEvent::Probed(worker.0)),
                Action::SetTimer { after, token } => self.schedule(after, ModelEvent::Timer(token)),
                Action::Watch(_) => self.schedule(0.05, ModelEvent::WatchAnswered),
                Action::FetchEndpointList
                | Action::CloseIdle(_)
                | Action::SendToPeer { .. }
                | Action::Log(_) => {}
            }
        }
    }

    /// Adds a text to the digest, which is FNV-1a with 64 bits.
    fn add_to_digest(&mut self, text: &str) {
        for byte in text.bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// Sends an attempt to a worker and schedules its end: the worker runs, queues or rejects the job, fails or hangs.
    fn send_attempt(&mut self, id: u64, number: u64) {
        let now = self.now;
        let open = self.requests.get_mut(&id).expect("the request must exist");
        let attempt = AttemptId { request: id, number: open.attempts.len() as u32 };
        open.attempts.push(ModelAttempt { worker: number, is_running: true });
        let slots = open.request.slots;
        let expected = open.request.expected_run_time;
        let deadline = open.deadline;
        let worker = self.workers.get_mut(&number).expect("the worker must exist");
        let is_full = worker.busy >= 2.0 * worker.slots;
        let queued = (worker.busy + slots - worker.slots).max(0.0) / worker.slots;
        worker.busy += slots;
        let second = (now - START) as u64;
        let is_zone_down = worker.endpoint.zone == 1 && (20..26).contains(&second);
        let hangs = number == 7 && (10..18).contains(&second) || number == 14 && (40..44).contains(&second);
        let is_failing = number == 9 && second < 30;
        let slowdown = if number == 4 { 6.0 } else { 1.0 + 2.0 * f64::from(worker.endpoint.kind) };
        let run = expected.unwrap_or(STANDARD_RUN_TIME) * slowdown * (0.8 + 0.4 * self.rng.f64());
        let (outcome, after) = if is_zone_down {
            (Outcome::ConnectFailed, 0.25)
        } else if is_failing {
            (if self.rng.u32(..2) == 0 { Outcome::Error } else { Outcome::Reset }, 0.02)
        } else if is_full {
            (Outcome::Overloaded, ROUND_TRIP)
        } else if hangs {
            (Outcome::Timeout, f64::INFINITY)
        } else {
            let start = ROUND_TRIP + queued * STANDARD_RUN_TIME * slowdown;
            if self.cfg.reports_job_start && now + start < deadline {
                self.schedule(start, ModelEvent::Started(attempt));
            }
            if self.cfg.progress_interval > 0.0 {
                self.schedule(start + 0.3, ModelEvent::Progress(attempt));
            }
            let random_outcome = OUTCOMES[self.rng.usize(..OUTCOMES.len())];
            (if self.rng.u32(..25) == 0 { random_outcome } else { Outcome::Ok }, start + run)
        };
        let left = deadline - now;
        let (outcome, after) = if after < left { (outcome, after) } else { (Outcome::Timeout, left) };
        self.schedule_end(after, attempt, outcome);
    }
}

fn model_worker(number: u64, started_at: f64) -> ModelWorker {
    let kind = u32::from(number % 4 == 1);
    let endpoint = Endpoint {
        worker: WorkerId(number),
        kind,
        zone: (number % ZONES) as u32,
        cell: (number % 6) as u32,
        started_at,
        state: WorkerState::Serving,
    };
    ModelWorker { endpoint, slots: if kind == 1 { 8.0 } else { 4.0 }, busy: 0.0 }
}

/// Returns the kind of an action and its values as text, with times in microseconds. The words are part of the digests,
/// so they must not change.
fn describe(action: &Action) -> (&'static str, String) {
    let span = |seconds: &Option<f64>| seconds.map_or(-1, micros);
    match action {
        Action::Send { request, worker, timeout } => {
            ("send", format!("{} {} {}", request.0, worker.0, span(timeout)))
        }
        Action::Reject { request, retry_after } => ("refuse", format!("{} {}", request.0, span(retry_after))),
        Action::Fail { request } => ("fail", request.0.to_string()),
        Action::Cancel { request, attempt } => ("cancel", format!("{} {attempt}", request.0)),
        Action::Probe(worker) => ("probe", worker.0.to_string()),
        Action::SetTimer { after, token } => ("timer", format!("{} {token}", micros(*after))),
        Action::Watch(on) => ("watch", on.to_string()),
        Action::FetchEndpointList => ("fetch", String::new()),
        Action::CloseIdle(worker) => ("close", worker.0.to_string()),
        Action::SendToPeer { to, data } => ("tell", format!("{to:?} {data:?}")),
        Action::Log(line) => ("log", line.clone()),
    }
}

fn digests(cfg: &Settings, traffic: Traffic) -> String {
    let line = |seed| format!("seed {seed}: {}\n", Model::new(cfg.clone(), traffic, seed).run());
    SEEDS.map(line).collect()
}

const PLAIN_TRAFFIC: Traffic =
    Traffic { requests_per_second: 60.0, hints: false, keys: false, largest_slots: 2 };

#[test]
fn load_with_responses() {
    insta::assert_snapshot!("load_with_answers", digests(&settings(), PLAIN_TRAFFIC));
}

/// Runs a stream with hints, keys, probes, a polled list, hedged requests, prices and capacity reservation.
#[test]
fn all_optional_settings() {
    let classes = settings().classes;
    let cfg = Settings {
        classes: vec![Class { late_weight: 0.4, ..classes[0] }, classes[1], classes[2], classes[3]],
        instances: 3,
        instance: 1,
        polls_endpoint_list: true,
        max_poll_interval: 4.0,
        clients_mark_retries: true,
        probes_allowed: true,
        probe_price: 0.002,
        progress_interval: 1.0,
        hedging_allowed: true,
        cross_zone_price: 0.01,
        handshake_price: 0.02,
        keep_alive: 5.0,
        capacity_reservation: Some(CapacityReservation { min_slots: 3.0, price: 1.0 }),
        ..settings()
    };
    let traffic = Traffic { requests_per_second: 70.0, hints: true, keys: true, largest_slots: 4 };
    insta::assert_snapshot!("everything_that_settings_allow", digests(&cfg, traffic));
}

#[test]
fn load_with_probes_only() {
    let cfg = Settings {
        load_reports: LoadReports::WithProbes,
        probes_allowed: true,
        reports_job_start: false,
        ..settings()
    };
    insta::assert_snapshot!("load_by_probes_alone", digests(&cfg, Traffic { keys: true, ..PLAIN_TRAFFIC }));
}

/// Runs a stream with many dispatchers and a class that requires a kind of machine, without load reports or
/// cancellation.
#[test]
fn many_dispatchers_without_load_reports() {
    let classes = vec![
        class(Idempotency::Idempotent),
        Class { required_kind: Some(1), ..class(Idempotency::WithKey(KeyScope::Cell)) },
        class(Idempotency::NotIdempotent),
    ];
    let cfg = Settings {
        classes,
        instances: 40,
        instance: 7,
        tenants: vec![Tenant { share: 1.0, quota: 900.0 }],
        load_reports: LoadReports::None,
        progress_interval: 1.0,
        hedging_allowed: true,
        cancellation_allowed: false,
        max_retry_after: 0.0,
        max_attempts: 2,
        ..settings()
    };
    let traffic = Traffic { requests_per_second: 25.0, hints: true, ..PLAIN_TRAFFIC };
    insta::assert_snapshot!("many_dispatchers_without_load_reports", digests(&cfg, traffic));
}
