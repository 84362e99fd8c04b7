//! Shared parts of the tests: settings, events, and a driver that checks every action against the rules of a
//! dispatcher:
//!
//! - Rule 1: each request gets exactly one final response, at the latest when its client's timeout ends, and no attempt
//!   is sent after that response.
//! - Rule 2: a job that may have run is sent again, or rejected, only if its class allows that.
//! - Rule 3: a worker that drains or is removed gets no job after the grace.
//!
//! Rule 4 limits the work that all dispatchers together send to a worker in slow start, so tests with several
//! dispatchers check it themselves.
#![allow(dead_code)]

use std::collections::BTreeMap;

use dispatch_core::api::*;
use dispatch_core::Dispatcher;

/// Time for which a worker that drains may still get new work.
pub const DRAIN_GRACE: f64 = 0.5;

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        key_window: 5.0,
        latency_objective: 0.3,
        run_time_allowance: 2.0,
        ..Class::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NotIdempotent),
            class(Idempotency::WithKey(KeyScope::Zone)),
            class(Idempotency::WithKey(KeyScope::All)),
        ],
        tenants: vec![Tenant { share: 0.5, quota: 40.0 }, Tenant { share: 0.5, quota: 40.0 }],
        load_reports: LoadReports::WithResponses,
        cancellation_allowed: true,
        max_attempts: 4,
        max_retry_after: 2.0,
        reports_job_start: true,
        slow_start_min_capacity: 0.2,
        slow_start_duration: 20.0,
        overload_multiple: 3.0,
        overload_window: 2.0,
        clock_resolution: 0.004,
        ..Settings::default()
    }
}

pub fn endpoint(worker: u64, state: WorkerState) -> Endpoint {
    let zone = (worker % 2) as u32;
    Endpoint { worker: WorkerId(worker), kind: 0, zone, cell: zone, started_at: 0.0, state }
}

/// Returns the workers 1 to n, all serving; those with even numbers are in zone 0.
pub fn fleet(n: u64) -> Vec<Endpoint> {
    (1..=n).map(|worker| endpoint(worker, WorkerState::Serving)).collect()
}

pub fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        slots: 1.0,
        memory: 0.0,
        timeout: 5.0,
        is_retry: false,
        expected_run_time: None,
        affinity_key: None,
    }
}

/// An attempt at a request, as sent by the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct SendRecord {
    pub sent_at: f64,
    pub worker: WorkerId,
    /// Location of the worker at the time of the send.
    pub location: Location,
    /// Outcome of the attempt; `None` while it is open.
    pub outcome: Option<Outcome>,
}

/// The responses to a request and its attempts.
#[derive(Debug, Default)]
pub struct RequestRecord {
    /// Settings of the class at the arrival of the request; later settings must not bind it.
    pub class: Class,
    /// See [`Settings::max_attempts`], at the arrival of the request.
    pub max_attempts: u32,
    /// See [`Settings::hedging_allowed`], at the arrival of the request.
    pub hedging_allowed: bool,
    /// Number of final responses.
    pub responses: u32,
    pub sends: Vec<SendRecord>,
    /// Time at which the client's timeout is over.
    pub due: f64,
}

/// A timer that the dispatcher has armed.
#[derive(Clone, Copy, Debug)]
pub struct ArmedTimer {
    pub due: f64,
    pub token: u64,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    pub request: u64,
    pub number: u32,
    /// Time at which the client's timeout is over.
    pub due: f64,
}

/// The zone and cell of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Location {
    pub zone: u32,
    pub cell: u32,
}

/// Drives one dispatcher and checks rules 1 to 3 on every action.
pub struct Driver {
    pub cfg: Settings,
    pub dispatcher: Dispatcher,
    pub now: f64,
    pub requests: BTreeMap<u64, RequestRecord>,
    pub log: Vec<Action>,
    pub timers: Vec<ArmedTimer>,
    pub open_attempts: Vec<OpenAttempt>,
    /// Times at which workers began to drain or were removed.
    pub excluded_since: BTreeMap<u64, f64>,
    /// Locations of all workers that were ever listed.
    pub locations: BTreeMap<u64, Location>,
}

impl Driver {
    pub fn new(cfg: Settings, seed: u64, workers: &[Endpoint]) -> Self {
        Driver::new_at(100.0, cfg, seed, workers)
    }

    /// Returns a driver of a dispatcher that starts at this time.
    pub fn new_at(now: f64, cfg: Settings, seed: u64, workers: &[Endpoint]) -> Self {
        let mut driver = Driver {
            dispatcher: Dispatcher::new(cfg.clone(), seed),
            cfg,
            now,
            requests: BTreeMap::new(),
            log: Vec::new(),
            timers: Vec::new(),
            open_attempts: Vec::new(),
            excluded_since: BTreeMap::new(),
            locations: BTreeMap::new(),
        };
        let mut actions = Vec::new();
        driver.dispatcher.start(driver.now, &mut actions);
        driver.check_actions(actions);
        driver.send_list(ListScope::Cached, workers);
        driver
    }

    pub fn send_list(&mut self, scope: ListScope, endpoints: &[Endpoint]) -> Vec<Action> {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            let known: Vec<u64> = self.locations.keys().copied().collect();
            for worker in known
                .into_iter()
                .filter(|worker| !endpoints.iter().any(|endpoint| endpoint.worker.0 == *worker))
            {
                self.excluded_since.entry(worker).or_insert(self.now);
            }
        }
        for endpoint in endpoints {
            let worker = endpoint.worker.0;
            self.locations.insert(worker, Location { zone: endpoint.zone, cell: endpoint.cell });
            if endpoint.state == WorkerState::Serving {
                self.excluded_since.remove(&worker);
            } else {
                self.excluded_since.entry(worker).or_insert(self.now);
            }
        }
        self.event(Event::EndpointList { scope, endpoints })
    }

    pub fn request(&mut self, req: Request) -> Vec<Action> {
        let classes = &self.cfg.classes;
        let class = classes.get(req.class as usize).or(classes.last()).copied().unwrap_or_default();
        let record = RequestRecord {
            class,
            max_attempts: self.cfg.max_attempts,
            hedging_allowed: self.cfg.hedging_allowed,
            due: self.now + req.timeout,
            ..RequestRecord::default()
        };
        self.requests.insert(req.id.0, record);
        let settings = self.cfg.for_job(req.class);
        self.event(Event::Request { request: req, settings })
    }

    /// Replaces the settings, which bind the requests that arrive from now on.
    pub fn reload(&mut self, cfg: &Settings) -> Vec<Action> {
        self.cfg = cfg.clone();
        self.event(Event::Settings(cfg))
    }

    pub fn end_attempt(&mut self, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let record = self.requests.get_mut(&id).expect("the request must be known");
        record.sends[attempt as usize].outcome = Some(outcome);
        self.open_attempts.retain(|open| (open.request, open.number) != (id, attempt));
        let complete = outcome == Outcome::Ok || record.responses > 0;
        if outcome == Outcome::Ok && record.responses == 0 {
            record.responses = 1;
        }
        self.event(Event::AttemptEnded { request: RequestId(id), attempt, outcome, complete, load: None })
    }

    /// Advances the clock, fires the timers that are due, and ends open attempts at the timeout of their client.
    pub fn advance(&mut self, span: f64) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        loop {
            let timer = (0..self.timers.len())
                .min_by(|&left, &right| self.timers[left].due.total_cmp(&self.timers[right].due));
            let timer_due = timer.map_or(f64::INFINITY, |position| self.timers[position].due);
            let attempt =
                self.open_attempts.iter().copied().min_by(|left, right| left.due.total_cmp(&right.due));
            match (timer, attempt) {
                (_, Some(attempt)) if attempt.due <= timer_due.min(end) => {
                    self.now = self.now.max(attempt.due);
                    all.extend(self.end_attempt(attempt.request, attempt.number, Outcome::Timeout));
                }
                (Some(position), _) if timer_due <= end => {
                    let timer = self.timers.swap_remove(position);
                    self.now = self.now.max(timer.due);
                    all.extend(self.event(Event::Timer(timer.token)));
                }
                _ => break,
            }
        }
        self.now = end;
        all
    }

    /// Ends a probe with a report of the worker's free slots.
    pub fn probed(&mut self, worker: WorkerId, free: f64) -> Vec<Action> {
        let load = Some(LoadReport { free_slots: Some(free), ..LoadReport::default() });
        self.event(Event::ProbeEnded { worker, ok: true, load })
    }

    /// Passes an event to the dispatcher and checks the actions that it returns.
    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.on_event(self.now, event, &mut actions);
        self.check_actions(actions)
    }

    /// Checks the dispatcher's actions against the rules and records them.
    pub fn check_actions(&mut self, actions: Vec<Action>) -> Vec<Action> {
        for action in &actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.timers.push(ArmedTimer { due: self.now + after, token: *token });
                }
                Action::Send { request, worker, .. } => self.check_send(request.0, *worker),
                Action::Reject { request, .. } => {
                    self.check_rejection(request.0);
                    self.record_response(request.0);
                }
                Action::Fail { request } => self.record_response(request.0),
                _ => {}
            }
        }
        self.log.extend(actions.iter().cloned());
        actions
    }

    fn record_response(&mut self, id: u64) {
        let record = self.requests.get_mut(&id).expect("the response must belong to a known request");
        record.responses += 1;
        assert_eq!(record.responses, 1, "rule 1: request {id} answered twice");
        assert!(self.now <= record.due + 0.016, "rule 1: request {id} answered late");
    }

    fn check_send(&mut self, id: u64, worker: WorkerId) {
        let now = self.now;
        if let Some(since) = self.excluded_since.get(&worker.0) {
            assert!(now - since <= DRAIN_GRACE, "rule 3: job sent to {worker:?} after the grace");
        }
        let location = self.locations[&worker.0];
        let record = self.requests.get_mut(&id).expect("the attempt must belong to a known request");
        assert_eq!(record.responses, 0, "rule 1: request {id} sent after its response");
        assert!(record.sends.len() < record.max_attempts as usize, "request {id}: too many attempts");
        let open = record.sends.iter().any(|send| send.outcome.is_none());
        assert!(!open || record.hedging_allowed, "request {id}: two attempts are open");
        let may_have_run = |send: &&SendRecord| !send.outcome.is_some_and(Outcome::never_ran);
        for earlier in record.sends.iter().filter(may_have_run) {
            match record.class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    panic!("rule 2: request {id} is not idempotent and was sent again")
                }
                Idempotency::WithKey(scope) => {
                    assert!(
                        now - earlier.sent_at <= record.class.key_window,
                        "rule 2: request {id} sent after its key window"
                    );
                    let same = if scope == KeyScope::Cell {
                        earlier.location.cell == location.cell
                    } else {
                        earlier.location.zone == location.zone
                    };
                    assert!(
                        scope == KeyScope::All || same,
                        "rule 2: request {id} sent outside its key scope"
                    );
                }
            }
        }
        self.open_attempts.push(OpenAttempt {
            request: id,
            number: record.sends.len() as u32,
            due: record.due,
        });
        record.sends.push(SendRecord { sent_at: now, worker, location, outcome: None });
    }

    fn check_rejection(&self, id: u64) {
        let record = &self.requests[&id];
        let never_ran = record.sends.iter().all(|send| send.outcome.is_some_and(Outcome::never_ran));
        let idempotency = record.class.idempotency;
        assert!(
            never_ran || matches!(idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All)),
            "rule 2: request {id} rejected though it may have run"
        );
    }
}
