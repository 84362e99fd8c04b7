//! The task that owns the decision module and handles inputs and timers in turns.

use std::cell::Cell;
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

use tokio::sync::mpsc;

use super::clock::{seconds, Clock, Micros};
use super::messages::{AttemptEnd, AttemptId, Command, Input, ListedEndpoint};
use super::recent_ids::{RecentIds, SharedIds};
use super::request_table::RequestTable;
use super::timers::{Timer, Timers};
use dispatch_core::api::{Action, Event, ListScope, Outcome, Request, RequestId, Settings};
use dispatch_core::Dispatcher;

/// Maximum number of inputs handled in one turn of the loop.
const MAX_INPUTS_PER_TURN: usize = 128;
/// Time after a request's deadline at which the engine answers it in place of the decision module.
const OVERDUE_GRACE: Micros = 10_000;

/// The task that owns the decision module.
pub struct Engine {
    pub(super) dispatcher: Dispatcher,
    /// Requests that wait for the first endpoint list; `None` if no list is awaited.
    pub(super) awaiting_initial_list: Option<Vec<Request>>,
    pub(super) clock: Clock,
    /// Time of the current turn.
    pub(super) now: Micros,
    pub(super) requests: RequestTable,
    pub(super) recent_ids: RecentIds,
    pub(super) timers: Timers,
    pub(super) actions: Vec<Action>,
    /// Ends of attempts that the engine caused and has not yet reported to the decision module.
    pub(super) abandoned_attempts: VecDeque<AttemptEnd>,
    pub(super) commands: mpsc::UnboundedSender<Command>,
    pub(super) shutting_down: bool,
    /// Mean work of a job, shared with the caller of [`Engine::mean_job_work`].
    mean_job_work: Option<Rc<Cell<f64>>>,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine").field("now", &self.now).field("open", &self.requests.len()).finish()
    }
}

impl Engine {
    /// Creates an engine that starts with the saved endpoint list.
    pub fn new(
        settings: Settings,
        seed: u64,
        saved_endpoints: Vec<ListedEndpoint>,
        clock: Clock,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Engine {
        let mut engine = Engine {
            dispatcher: Dispatcher::new(settings, seed),
            awaiting_initial_list: None,
            clock,
            now: clock.now(),
            requests: RequestTable::default(),
            recent_ids: RecentIds::default(),
            timers: Timers::default(),
            actions: Vec::new(),
            abandoned_attempts: VecDeque::new(),
            commands,
            shutting_down: false,
            mean_job_work: None,
        };
        engine.dispatcher.start(seconds(engine.now), &mut engine.actions);
        engine.perform_actions();
        engine.handle_input(Input::EndpointList { scope: ListScope::Cached, endpoints: saved_endpoints });
        engine
    }

    /// Holds requests until discovery sends a list, for at most `timeout`. Required where discovery pushes the list:
    /// from its start on, the process must send no work to a withdrawn worker, even if the saved list still contains
    /// it.
    pub fn await_initial_list(&mut self, timeout: Micros) {
        self.awaiting_initial_list = Some(Vec::new());
        self.timers.set(self.now + timeout, Timer::InitialListTimeout);
    }

    /// Applies the memory limit of the process, in bytes, to the ids that are remembered after their jobs have ended.
    pub fn set_memory_limit(&mut self, limit: usize) {
        self.recent_ids.set_memory_limit(limit);
    }

    /// Exchanges the ids of jobs that may have run with other processes on the same socket.
    pub fn share_ids(&mut self, shared: Box<dyn SharedIds>) {
        self.recent_ids.share(shared);
    }

    /// Returns the mean work of a job in slot-seconds, kept current while the engine runs.
    pub fn mean_job_work(&mut self) -> Rc<Cell<f64>> {
        let mean_job_work = self.mean_job_work.get_or_insert_with(Rc::default);
        mean_job_work.set(self.dispatcher.mean_job_work());
        mean_job_work.clone()
    }

    /// Handles inputs and timers until all senders of inputs are dropped.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut turn = Vec::with_capacity(MAX_INPUTS_PER_TURN);
        loop {
            let next_timer = self.timers.next_at().map(|at| self.clock.instant(at));
            tokio::select! {
                biased;
                count = inputs.recv_many(&mut turn, MAX_INPUTS_PER_TURN) => if count == 0 { return },
                () = sleep_until(next_timer) => {}
            }
            self.now = self.clock.now();
            for input in turn.drain(..) {
                self.handle_input(input);
            }
            self.fire_timers();
            if let Some(mean_job_work) = &self.mean_job_work {
                mean_job_work.set(self.dispatcher.mean_job_work());
            }
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.take_due(self.now) {
            match timer {
                Timer::Policy(token) => self.notify_policy(Event::Timer(token)),
                Timer::Attempt(attempt) => self.abandon_attempt(attempt, Outcome::Timeout),
                Timer::Deadline(request) => self.handle_deadline(request),
                Timer::Overdue(request) => self.force_close(request),
                Timer::InitialListTimeout => self.release_awaiting_requests(),
            }
            self.report_abandoned_attempts();
        }
    }

    fn handle_deadline(&mut self, request: RequestId) {
        for number in 0..self.requests.attempts(request) {
            self.abandon_attempt(AttemptId { request, number }, Outcome::Timeout);
        }
        if self.requests.get(request).is_some() {
            self.timers.set(self.now + OVERDUE_GRACE, Timer::Overdue(request));
        }
    }

    /// Passes an event to the decision module and carries out the actions that it returns.
    pub(super) fn notify_policy(&mut self, event: Event<'_>) {
        let now = seconds(self.now);
        let dispatcher = &mut self.dispatcher;
        let actions = &mut self.actions;
        // A panic of the module loses this event only: each open request is still answered at its deadline.
        if catch_unwind(AssertUnwindSafe(|| dispatcher.on_event(now, event, actions))).is_err() {
            tracing::error!("the decision module panicked; the event is lost");
        }
        self.perform_actions();
    }
}

/// Sleeps until this time, or forever if there is none.
async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
