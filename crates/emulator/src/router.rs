//! Who decides in an arm: the decision module itself, or one of the policies that it is compared with.
//!
//! All of them are told the same events and answer with the same actions, so the execution modes know one kind of router.

use dispatch_core::api::{
    Action, Endpoint, Event, Idempotency, ListScope, Outcome, Request, RequestId, Seconds, Settings,
    WorkerId, WorkerState,
};
use dispatch_core::Dispatcher;
use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::day::random_stream;
use crate::spec::RouterKind;

/// The true state of the fleet, for the one router that may see it.
pub trait OracleView {
    /// Seconds until the worker would be done with the request if it were sent now; none if it would not take it.
    fn predict_completion(&self, worker: WorkerId, request: RequestId) -> Option<Seconds>;
    /// Seconds until the answer to the request is late.
    fn time_to_objective(&self, request: RequestId) -> Seconds;
}

/// Decides for one dispatcher.
pub trait Router: Send {
    /// Begins work.
    fn start(&mut self, now: Seconds, actions: &mut Vec<Action>);
    /// Takes an event and appends what is to be done.
    fn on_event(&mut self, now: Seconds, event: Event<'_>, actions: &mut Vec<Action>, sight: &dyn OracleView);
}

/// A router of a kind; the same seed gives the same decisions.
pub fn router(kind: RouterKind, settings: Settings, seed: u64) -> Box<dyn Router> {
    match kind {
        RouterKind::DecisionModule => Box::new(DecisionModule(Dispatcher::new(settings, seed))),
        other => Box::new(ReferencePolicy::new(other, settings, seed)),
    }
}

/// The same on a machine whose clock is ahead by so many seconds.
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
        sight: &dyn OracleView,
    ) {
        // What is to be done is told by how long from now: only the event's own times are of the right clock.
        self.router.on_event(now + self.seconds, event, actions, sight);
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

/// A policy to compare with: it sends every job at once to a worker of its choice, keeps drains, and tries again
/// what never ran or may run twice. It admits all, knows no budget of cold workers and leaves none out.
struct ReferencePolicy {
    kind: RouterKind,
    settings: Settings,
    rng: Pcg64Mcg,
    /// The workers that serve, as the list says, and how many of ours each holds.
    serving: Vec<WorkerId>,
    states: FxHashMap<WorkerId, WorkerState>,
    outstanding: FxHashMap<WorkerId, u32>,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    round_robin_position: usize,
}

struct OpenRequest {
    class: u32,
    /// Where each attempt went, and how it ended.
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

    fn choose_worker(&mut self, request: RequestId, sight: &dyn OracleView) -> Option<WorkerId> {
        let tried: Vec<WorkerId> = self
            .open_requests
            .get(&request)
            .map(|o| o.attempts.iter().map(|(w, _)| *w).collect())
            .unwrap_or_default();
        let all: Vec<WorkerId> = self.serving.iter().copied().filter(|w| !tried.contains(w)).collect();
        if all.is_empty() {
            return None;
        }
        let any = |rng: &mut Pcg64Mcg| all[rng.random_range(0..all.len())];
        Some(match self.kind {
            RouterKind::RoundRobin => {
                self.round_robin_position += 1;
                all[self.round_robin_position % all.len()]
            }
            RouterKind::LeastOutstanding => {
                let least = all.iter().map(|w| self.outstanding_at(*w)).min()?;
                let equals: Vec<WorkerId> =
                    all.iter().copied().filter(|w| self.outstanding_at(*w) == least).collect();
                equals[self.rng.random_range(0..equals.len())]
            }
            RouterKind::PowerOfTwo => {
                let (a, b) = (any(&mut self.rng), any(&mut self.rng));
                if self.outstanding_at(a) <= self.outstanding_at(b) {
                    a
                } else {
                    b
                }
            }
            RouterKind::Oracle => {
                let ends =
                    all.iter().filter_map(|w| sight.predict_completion(*w, request).map(|end| (end, *w)));
                let (end, worker) = ends.min_by(|a, b| a.0.total_cmp(&b.0))?;
                // What will be late would only make others late.
                return (end <= sight.time_to_objective(request)).then_some(worker);
            }
            _ => any(&mut self.rng),
        })
    }

    fn dispatch(&mut self, request: RequestId, actions: &mut Vec<Action>, sight: &dyn OracleView) {
        let choice = self.choose_worker(request, sight);
        let Some(held) = self.open_requests.get_mut(&request) else { return };
        let most = self.settings.max_attempts.max(1) as usize;
        match choice.filter(|_| held.attempts.len() < most) {
            Some(worker) => {
                held.attempts.push((worker, None));
                *self.outstanding.entry(worker).or_default() += 1;
                actions.push(Action::Send { request, worker, timeout: None });
            }
            None => {
                let harmless = held.attempts.iter().all(|(_, end)| end.is_some_and(Outcome::never_ran))
                    || self.idempotency(request) == Idempotency::Idempotent;
                self.open_requests.remove(&request);
                let wait = self.settings.max_retry_after.min(0.3);
                actions.push(if harmless {
                    Action::Reject { request, retry_after: Some(wait) }
                } else {
                    Action::Fail { request }
                });
            }
        }
    }

    fn idempotency(&self, request: RequestId) -> Idempotency {
        let class = self.open_requests.get(&request).map_or(0, |open| open.class as usize);
        self.settings.classes.get(class).map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    fn on_list(&mut self, scope: ListScope, members: &[Endpoint]) {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.states.clear();
        }
        for member in members {
            self.states.insert(member.worker, member.state);
        }
        self.serving =
            self.states.iter().filter(|(_, s)| **s == WorkerState::Serving).map(|(w, _)| *w).collect();
        self.serving.sort_unstable();
    }
}

impl Router for ReferencePolicy {
    fn start(&mut self, _: Seconds, _: &mut Vec<Action>) {}

    fn on_event(&mut self, _: Seconds, event: Event<'_>, actions: &mut Vec<Action>, sight: &dyn OracleView) {
        match event {
            Event::Request(Request { id, class, .. }) => {
                self.open_requests.insert(id, OpenRequest { class, attempts: Vec::new() });
                self.dispatch(id, actions, sight);
            }
            Event::AttemptEnded { request, attempt, outcome, complete, .. } => {
                let Some(held) = self.open_requests.get_mut(&request) else { return };
                let Some((worker, end)) = held.attempts.get_mut(attempt as usize) else { return };
                let worker = *worker;
                *end = Some(outcome);
                if let Some(count) = self.outstanding.get_mut(&worker) {
                    *count = count.saturating_sub(1);
                }
                let expired = outcome == Outcome::Timeout;
                if complete {
                    self.open_requests.remove(&request);
                } else if !expired
                    && (outcome.never_ran() || self.idempotency(request) == Idempotency::Idempotent)
                {
                    self.dispatch(request, actions, sight);
                } else {
                    self.open_requests.remove(&request);
                    actions.push(Action::Fail { request });
                }
            }
            Event::ClientDisconnected(id) => {
                if let Some(held) = self.open_requests.remove(&id) {
                    for (n, (worker, end)) in held.attempts.iter().enumerate() {
                        if end.is_none() {
                            if let Some(count) = self.outstanding.get_mut(worker) {
                                *count = count.saturating_sub(1);
                            }
                            actions.push(Action::Cancel { request: id, attempt: n as u32 });
                        }
                    }
                }
            }
            Event::EndpointList { scope, endpoints: members } => self.on_list(scope, members),
            _ => {}
        }
    }
}
