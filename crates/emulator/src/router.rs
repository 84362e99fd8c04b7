//! Routers, which take the decisions of a dispatcher in an arm: the decision module, or a reference policy that it is
//! compared with.
//!
//! All routers take the same events and return the same kinds of actions, so the execution modes need only one
//! interface.

use dispatch_core::api::{
    Action, Endpoint, Event, Idempotency, JobSettings, ListScope, Outcome, Request, RequestId, Seconds,
    Settings, WorkerId, WorkerState,
};
use dispatch_core::Dispatcher;
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::day::random_stream;
use crate::spec::RouterKind;

/// Longest wait that a reference policy asks of a client that it rejects, in seconds.
const MAX_RETRY_AFTER: Seconds = 0.3;

/// True state of the fleet. Only the oracle policy uses it.
pub trait OracleView {
    /// Returns the seconds until the worker would complete the request if it were sent now; none if the worker would
    /// not accept it.
    fn predict_completion(&self, worker: WorkerId, request: RequestId) -> Option<Seconds>;
    /// Returns the seconds until the latency objective of the request is missed.
    fn time_to_objective(&self, request: RequestId) -> Seconds;
}

/// Takes the decisions of one dispatcher.
pub trait Router: Send {
    /// Starts the router, and appends its first actions.
    fn start(&mut self, now: Seconds, actions: &mut Vec<Action>);
    /// Handles an event, and appends the resulting actions.
    fn on_event(
        &mut self,
        now: Seconds,
        event: Event<'_>,
        actions: &mut Vec<Action>,
        oracle: &dyn OracleView,
    );
}

/// Creates a router. The same seed and events lead to the same decisions.
pub fn router(kind: RouterKind, settings: Settings, seed: u64) -> Box<dyn Router> {
    match kind {
        RouterKind::DecisionModule => Box::new(DecisionModule(Dispatcher::new(settings, seed))),
        other => Box::new(ReferencePolicy::new(other, settings, seed)),
    }
}

/// Wraps a router so that its clock is ahead by this many seconds.
pub fn with_clock_ahead(seconds: Seconds, router: Box<dyn Router>) -> Box<dyn Router> {
    if seconds > 0.0 {
        Box::new(ClockAhead { seconds, router })
    } else {
        router
    }
}

struct ClockAhead {
    seconds: Seconds,
    router: Box<dyn Router>,
}

impl Router for ClockAhead {
    fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        self.router.start(now + self.seconds, actions);
    }

    fn on_event(
        &mut self,
        now: Seconds,
        event: Event<'_>,
        actions: &mut Vec<Action>,
        oracle: &dyn OracleView,
    ) {
        // Actions hold durations, so they need no conversion. Times inside the event stay those of the correct clock.
        self.router.on_event(now + self.seconds, event, actions, oracle);
    }
}

struct DecisionModule(Dispatcher);

impl Router for DecisionModule {
    fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        self.0.start(now, actions);
    }

    fn on_event(&mut self, now: Seconds, event: Event<'_>, actions: &mut Vec<Action>, _: &dyn OracleView) {
        self.0.on_event(now, event, actions);
    }
}

/// Reference policy: sends every job immediately to a worker that its kind chooses, sends nothing to draining workers,
/// and retries requests that never ran or are idempotent. It has no admission control, no load limit for workers in
/// slow start and no ejection.
struct ReferencePolicy {
    kind: RouterKind,
    settings: Settings,
    rng: Pcg64Mcg,
    /// Workers that serve according to the endpoint list, in the order of their ids.
    serving: Vec<WorkerId>,
    states: FxHashMap<WorkerId, WorkerState>,
    /// Number of attempts of this dispatcher that each worker holds.
    outstanding: FxHashMap<WorkerId, u32>,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    round_robin_position: usize,
}

struct OpenRequest {
    /// Settings at the acceptance of the request.
    settings: JobSettings,
    /// Worker and outcome of each attempt; no outcome while it is in flight.
    attempts: Vec<(WorkerId, Option<Outcome>)>,
}

impl ReferencePolicy {
    fn new(kind: RouterKind, settings: Settings, seed: u64) -> ReferencePolicy {
        ReferencePolicy {
            kind,
            settings,
            rng: random_stream(seed, 9),
            serving: Vec::new(),
            states: FxHashMap::default(),
            outstanding: FxHashMap::default(),
            open_requests: FxHashMap::default(),
            round_robin_position: 0,
        }
    }

    fn outstanding_at(&self, worker: WorkerId) -> u32 {
        self.outstanding.get(&worker).copied().unwrap_or_default()
    }

    fn choose_worker(&mut self, request: RequestId, oracle: &dyn OracleView) -> Option<WorkerId> {
        let tried: Vec<WorkerId> = self
            .open_requests
            .get(&request)
            .map(|open| open.attempts.iter().map(|(worker, _)| *worker).collect())
            .unwrap_or_default();
        let candidates: Vec<WorkerId> =
            self.serving.iter().copied().filter(|worker| !tried.contains(worker)).collect();
        if candidates.is_empty() {
            return None;
        }
        let random_candidate = |rng: &mut Pcg64Mcg| candidates[rng.random_range(0..candidates.len())];
        Some(match self.kind {
            RouterKind::RoundRobin => {
                self.round_robin_position += 1;
                candidates[self.round_robin_position % candidates.len()]
            }
            RouterKind::LeastOutstanding => {
                let least = candidates.iter().map(|worker| self.outstanding_at(*worker)).min()?;
                let least_loaded: Vec<WorkerId> = candidates
                    .iter()
                    .copied()
                    .filter(|worker| self.outstanding_at(*worker) == least)
                    .collect();
                least_loaded[self.rng.random_range(0..least_loaded.len())]
            }
            RouterKind::PowerOfTwo => {
                let first = random_candidate(&mut self.rng);
                let second = random_candidate(&mut self.rng);
                if self.outstanding_at(first) <= self.outstanding_at(second) {
                    first
                } else {
                    second
                }
            }
            RouterKind::Oracle => {
                let predictions = candidates.iter().filter_map(|worker| {
                    oracle.predict_completion(*worker, request).map(|completion| (completion, *worker))
                });
                let (completion, worker) = predictions.min_by(|left, right| left.0.total_cmp(&right.0))?;
                // Sends no request that would miss its latency objective on every worker, because it would only delay
                // others.
                return (completion <= oracle.time_to_objective(request)).then_some(worker);
            }
            _ => random_candidate(&mut self.rng),
        })
    }

    fn dispatch(&mut self, request: RequestId, actions: &mut Vec<Action>, oracle: &dyn OracleView) {
        let choice = self.choose_worker(request, oracle);
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        match choice.filter(|_| open.attempts.len() < open.settings.max_attempts()) {
            Some(worker) => {
                open.attempts.push((worker, None));
                *self.outstanding.entry(worker).or_default() += 1;
                actions.push(Action::Send { request, worker, timeout: None });
            }
            None => {
                let may_reject =
                    open.attempts.iter().all(|(_, outcome)| outcome.is_some_and(Outcome::never_ran))
                        || open.settings.idempotency() == Idempotency::Idempotent;
                self.open_requests.remove(&request);
                let retry_after = self.settings.max_retry_after.min(MAX_RETRY_AFTER);
                actions.push(if may_reject {
                    Action::Reject { request, retry_after: Some(retry_after) }
                } else {
                    Action::Fail { request }
                });
            }
        }
    }

    fn on_endpoint_list(&mut self, scope: ListScope, endpoints: &[Endpoint]) {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.states.clear();
        }
        for endpoint in endpoints {
            self.states.insert(endpoint.worker, endpoint.state);
        }
        self.serving = self
            .states
            .iter()
            .filter(|(_, state)| **state == WorkerState::Serving)
            .map(|(worker, _)| *worker)
            .collect();
        self.serving.sort_unstable();
    }
}

impl Router for ReferencePolicy {
    fn start(&mut self, _: Seconds, _: &mut Vec<Action>) {}

    fn on_event(&mut self, _: Seconds, event: Event<'_>, actions: &mut Vec<Action>, oracle: &dyn OracleView) {
        match event {
            Event::Request { request: Request { id, .. }, settings } => {
                self.open_requests.insert(id, OpenRequest { settings, attempts: Vec::new() });
                self.dispatch(id, actions, oracle);
            }
            Event::AttemptEnded { request, attempt, outcome, complete, .. } => {
                let Some(open) = self.open_requests.get_mut(&request) else { return };
                let Some((worker, attempt_outcome)) = open.attempts.get_mut(attempt as usize) else { return };
                let worker = *worker;
                *attempt_outcome = Some(outcome);
                let is_idempotent = open.settings.idempotency() == Idempotency::Idempotent;
                if let Some(count) = self.outstanding.get_mut(&worker) {
                    *count = count.saturating_sub(1);
                }
                let timed_out = outcome == Outcome::Timeout;
                if complete {
                    self.open_requests.remove(&request);
                } else if !timed_out && (outcome.never_ran() || is_idempotent) {
                    self.dispatch(request, actions, oracle);
                } else {
                    self.open_requests.remove(&request);
                    actions.push(Action::Fail { request });
                }
            }
            Event::ClientDisconnected(id) => {
                if let Some(open) = self.open_requests.remove(&id) {
                    for (number, (worker, outcome)) in open.attempts.iter().enumerate() {
                        if outcome.is_none() {
                            if let Some(count) = self.outstanding.get_mut(worker) {
                                *count = count.saturating_sub(1);
                            }
                            actions.push(Action::Cancel { request: id, attempt: number as u32 });
                        }
                    }
                }
            }
            Event::EndpointList { scope, endpoints } => self.on_endpoint_list(scope, endpoints),
            _ => {}
        }
    }
}
