//! The task that owns the decision module: it takes inputs and timers in turns.

use std::cell::Cell;
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

use tokio::sync::mpsc;

use super::clock::{micros, seconds, Clock, Micros};
use super::messages::{Answer, AttemptEnd, AttemptId, Command, Input, ListedEndpoint};
use super::request_table::RequestTable;
use super::timers::{Timer, Timers};
use dispatch_core::api::{Action, Endpoint, Event, ListScope, Outcome, Request, Settings};
use dispatch_core::Dispatcher;

/// The most inputs taken in one turn of the loop.
const MAX_INPUTS_PER_TURN: usize = 128;
/// A request that the module still holds this long after its deadline is answered without it: it never should.
const OVERDUE_GRACE: Micros = 10_000;

/// The task that owns the module.
pub struct Engine {
    pub(super) dispatcher: Dispatcher,
    pub(super) max_attempts: usize,
    /// For each class, how long after an attempt that may have run another may be written.
    pub(super) retry_windows: Vec<Micros>,
    /// What came before discovery was heard, where it is to be heard first.
    pub(super) held_for_initial_list: Option<Vec<Request>>,
    pub(super) clock: Clock,
    pub(super) now: Micros,
    pub(super) requests: RequestTable,
    pub(super) timers: Timers,
    pub(super) actions: Vec<Action>,
    /// Ends of attempts that the engine itself caused and the module has not been told yet.
    pub(super) abandoned_attempts: VecDeque<AttemptEnd>,
    pub(super) commands: mpsc::UnboundedSender<Command>,
    pub(super) shutting_down: bool,
    /// What a usual job asks of a worker, for whoever asked to be kept up to date.
    pub(super) usual_job_cost: Option<Rc<Cell<f64>>>,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine").field("now", &self.now).field("open", &self.requests.len()).finish()
    }
}

impl Engine {
    /// An engine that knows the list as last held before a restart.
    pub fn new(
        settings: Settings,
        seed: u64,
        known: Vec<ListedEndpoint>,
        clock: Clock,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Engine {
        let max_attempts = settings.max_attempts.max(1) as usize;
        let mut engine = Engine {
            retry_windows: retry_windows(&settings),
            dispatcher: Dispatcher::new(settings, seed),
            max_attempts,
            held_for_initial_list: None,
            clock,
            now: clock.now(),
            requests: RequestTable::default(),
            timers: Timers::default(),
            actions: Vec::new(),
            abandoned_attempts: VecDeque::new(),
            commands,
            shutting_down: false,
            usual_job_cost: None,
        };
        engine.dispatcher.start(seconds(engine.now), &mut engine.actions);
        engine.perform_actions();
        engine.handle_input(Input::EndpointList { scope: ListScope::Cached, endpoints: known });
        engine
    }

    /// Holds what comes until discovery is heard, for so long at the most. Where lists are pushed, what they tell counts
    /// as told from the first moment of a process, whatever the list as last held says.
    pub fn await_initial_list(&mut self, longest: Micros) {
        self.held_for_initial_list = Some(Vec::new());
        self.timers.set(self.now + longest, Timer::InitialListTimeout);
    }

    /// What a usual job asks of a worker, in slots by seconds; kept up to date from now on.
    pub fn usual_job_cost(&mut self) -> Rc<Cell<f64>> {
        let usual = self.usual_job_cost.get_or_insert_with(Rc::default);
        usual.set(self.dispatcher.mean_job_work());
        usual.clone()
    }

    /// Takes inputs and timers in turns, until nobody can send any.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut turn = Vec::with_capacity(MAX_INPUTS_PER_TURN);
        loop {
            let next = self.timers.next_at().map(|at| self.clock.instant(at));
            let sleep = async {
                match next {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                count = inputs.recv_many(&mut turn, MAX_INPUTS_PER_TURN) => if count == 0 { return },
                () = sleep => {}
            }
            self.now = self.clock.now();
            for input in turn.drain(..) {
                self.handle_input(input);
            }
            self.fire_timers();
            if let Some(usual) = &self.usual_job_cost {
                usual.set(self.dispatcher.mean_job_work());
            }
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.take_due(self.now) {
            match timer {
                Timer::Policy(token) => self.notify_policy(Event::Timer(token)),
                Timer::Attempt(attempt) => self.abandon_attempt(attempt, Outcome::Timeout),
                Timer::Deadline(request) => {
                    for number in 0..self.requests.attempts(request) {
                        self.abandon_attempt(AttemptId { request, number }, Outcome::Timeout);
                    }
                    if self.requests.get(request).is_some() {
                        self.timers.set(self.now + OVERDUE_GRACE, Timer::Overdue(request));
                    }
                }
                Timer::Overdue(request) => self.force_close(request),
                Timer::InitialListTimeout => self.release_held_requests(),
            }
            self.report_abandoned_attempts();
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Submit { id, job, answer_sender } => self.open_request(id, *job, answer_sender),
            Input::ClientDisconnected(id) => {
                if let Some(open) = self.requests.get_mut(id) {
                    // The module may have answered while the client left.
                    if open.conclude().is_some() {
                        self.notify_policy(Event::ClientDisconnected(id));
                    }
                    self.requests.remove_if_finished(id);
                }
            }
            Input::JobStarted(AttemptId { request, number }) => {
                if self.requests.is_in_flight(AttemptId { request, number }) {
                    self.notify_policy(Event::JobStarted { request, attempt: number });
                }
            }
            Input::Progress { attempt: AttemptId { request, number }, done } => {
                if self.requests.is_in_flight(AttemptId { request, number }) {
                    self.notify_policy(Event::Progress { request, attempt: number, done });
                }
            }
            Input::QuotaGranted { worker, work, expires_at } => {
                self.notify_policy(Event::SlowStartGrant { worker, work, expires_at: seconds(expires_at) });
            }
            Input::UnhealthyReported { worker, observed_ago, valid_for } => {
                self.notify_policy(Event::UnhealthyVerdict {
                    worker,
                    observed_ago: seconds(observed_ago),
                    valid_for: seconds(valid_for),
                });
            }
            Input::HealthCheckEnded { worker, healthy, load } => {
                self.notify_policy(Event::ProbeEnded { worker, ok: healthy, load });
            }
            Input::AttemptEnded(end) => {
                if self.requests.is_in_flight(end.attempt) {
                    self.end_attempt(end);
                }
            }
            Input::EndpointList { scope, endpoints: listed } => {
                let endpoints: Vec<Endpoint> = listed.iter().map(|entry| entry.endpoint).collect();
                // The way to a worker must be known before the module can choose it, and barred before it asks.
                let _ = self.commands.send(Command::EndpointList { scope, endpoints: listed });
                self.notify_policy(Event::EndpointList { scope, endpoints: &endpoints });
                if scope != ListScope::Cached {
                    self.release_held_requests();
                }
            }
            Input::Configure(settings) => {
                self.max_attempts = settings.max_attempts.max(1) as usize;
                self.retry_windows = retry_windows(&settings);
                self.notify_policy(Event::Settings(&settings));
            }
            Input::Draining => self.dispatcher.release_slow_start_share(),
            Input::Shutdown => {
                self.shutting_down = true;
                self.requests.ids().into_iter().for_each(|id| self.force_close(id));
            }
        }
        self.report_abandoned_attempts();
    }

    pub(super) fn notify_policy(&mut self, event: Event<'_>) {
        let (dispatcher, actions, now) = (&mut self.dispatcher, &mut self.actions, seconds(self.now));
        // A panic of the module costs the event at hand, not the requests of everybody else: each of those
        // is still answered at its deadline.
        if catch_unwind(AssertUnwindSafe(|| dispatcher.on_event(now, event, actions))).is_err() {
            tracing::error!("the decision module panicked; the event is lost");
        }
        self.perform_actions();
    }

    fn perform_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, worker, timeout } => self.start_attempt(request, worker, timeout),
                Action::Reject { request, retry_after } => {
                    self.answer_request(request, Answer::Rejected { retry_after })
                }
                Action::Fail { request } => self.answer_request(request, Answer::Failed),
                Action::Cancel { request, attempt } => {
                    self.abandon_attempt(AttemptId { request, number: attempt }, Outcome::Cancelled);
                }
                Action::SetTimer { after, token } => {
                    self.timers.set(self.now + micros(after), Timer::Policy(token));
                }
                Action::CloseIdle(worker) => {
                    let _ = self.commands.send(Command::CloseIdle(worker));
                }
                Action::Log(words) => tracing::info!(target: "dispatcher::policy", "{words}"),
                Action::Probe(worker) => {
                    let _ = self.commands.send(Command::HealthCheck(worker));
                }
                // Discovery is always watched; messages between dispatchers have no form on sockets.
                Action::Watch(_) | Action::FetchEndpointList | Action::SendToPeer { .. } => {}
            }
        }
        self.actions = actions;
    }
}

/// For each class, how long after an attempt that may have run another may be written.
fn retry_windows(settings: &Settings) -> Vec<Micros> {
    settings.classes.iter().map(|class| micros(class.retry_window())).collect()
}
