//! One task owns the module, the table of requests and the timers. Everything reaches it as an [`Input`] on
//! one queue and leaves as a [`Command`] or an [`Answer`]; nothing here knows of sockets or of a protocol.
//!
//! It takes no decision. What it adds to the module is bookkeeping: an attempt ends exactly once, a request is
//! answered exactly once, and nothing outlives its deadline.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::{mpsc, oneshot};

use dispatch_core::api::{
    Action, Endpoint, Event, ListScope, LoadReport, Outcome, Request, RequestId, Seconds, Settings, WorkerId,
    WorkerState,
};

use dispatch_core::Dispatcher;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// A span in seconds as microseconds.
pub fn micros(seconds: Seconds) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

fn seconds(span: Micros) -> Seconds {
    span as f64 / 1e6
}

/// The most inputs taken in one turn of the loop.
const MAX_INPUTS_PER_TURN: usize = 128;
/// A request that the module still holds this long after its deadline is answered without it: it never should.
const OVERDUE_GRACE: Micros = 10_000;

/// The monotonic clock, anchored once to Unix time: the module's turns at cold workers use a clock that all
/// dispatchers share, and workers tell their start in Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    anchor: Micros,
}

impl Clock {
    /// Anchors the clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), anchor: unix.as_micros() as Micros }
    }

    /// Microseconds of Unix time, as of the anchor.
    pub fn now(&self) -> Micros {
        self.anchor + self.start.elapsed().as_micros() as Micros
    }

    /// That time for the runtime's timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(self.anchor))).into()
    }
}

/// What a job carries to a worker, unchanged.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// The id that the client gave it.
    pub id: Bytes,
    /// The method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// By which workers know a repeat.
    pub idempotency_key: Option<Bytes>,
    /// The body.
    pub body: Bytes,
    /// The name of its class, for the figures.
    pub class: Rc<str>,
    /// It is answered, or nobody waits for an answer: no attempt is to begin any more. Looked at when one is written.
    pub concluded: Cell<bool>,
}

/// A job as it came in.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the module is told of it; `id` and `patience` are filled in by the engine.
    pub request: Request,
    /// How long the client waits.
    pub timeout: Micros,
    /// What a worker gets of it.
    pub payload: Payload,
}

/// The final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result of a worker.
    Served(Bytes),
    /// Declined; trying again does no harm.
    Refused(Option<Seconds>),
    /// Failed.
    Failed,
    /// Never a job.
    Rejected(InvalidRequest),
}

/// Why a request is no job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// Another request of this id is open.
    DuplicateId,
    /// A worker says that it cannot be used.
    Unusable,
}

/// How far an attempt got before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptStage {
    /// There was no connection.
    NotConnected,
    /// A part of the request was written at the most.
    PartiallyWritten,
    /// Its last byte was written.
    Written,
    /// The worker took the job.
    Started,
}

impl AttemptStage {
    /// What a connection that breaks at this point means.
    pub fn outcome_if_broken(self) -> Outcome {
        if self < AttemptStage::Written {
            Outcome::ConnectFailed
        } else {
            Outcome::Reset
        }
    }
}

/// An entry of the worker list, with where the worker listens.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// What the module is told.
    pub endpoint: Endpoint,
    /// Its address, where it has one.
    pub address: Option<SocketAddr>,
}

/// What reaches the engine.
#[derive(Debug)]
pub enum Input {
    /// A job, and where its answer goes.
    Submit(RequestId, Box<Job>, oneshot::Sender<Answer>),
    /// The client left.
    ClientDisconnected(RequestId),
    /// A worker began a job.
    JobStarted(RequestId, u32),
    /// A job is done to this part.
    Progress(RequestId, u32, f64),
    /// An attempt ended; the bytes are the result of one that was served.
    AttemptEnded(RequestId, u32, Outcome, Bytes, Option<LoadReport>),
    /// A probe ended: whether the worker answered that it is well, and what it said of its load. Each
    /// [`Command::Probe`] is followed by one; where a probe was out already, its end answers both.
    HealthCheckEnded(WorkerId, bool, Option<LoadReport>),
    /// One who watches workers for all saw this one fail so long ago, which may be held against it for so long.
    UnhealthyReported(WorkerId, Micros, Micros),
    /// One who hands cold budgets out for all granted so much work at this worker until then.
    QuotaGranted(WorkerId, f64, Micros),
    /// The worker list, or a part of it.
    EndpointList(ListScope, Vec<ListedEndpoint>),
    /// Other settings hold from here on.
    Configure(Box<Settings>),
    /// The program ends: answer what is open.
    Shutdown,
}

/// What the engine wants done.
#[derive(Debug)]
pub enum Command {
    /// Send the job to the worker.
    Attempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// Where to.
        worker: WorkerId,
        /// What.
        payload: Rc<Payload>,
        /// When the dispatcher stops waiting.
        deadline: Micros,
        /// Not to be written after this, since an attempt before it may have run: a connection may come up late.
        not_after: Micros,
    },
    /// Give an attempt up.
    Cancel(RequestId, u32),
    /// Ask a worker for its load, or where none is reported whether it is well.
    HealthCheck(WorkerId),
    /// Close the idle connections to a worker.
    CloseIdle(WorkerId),
    /// Where workers listen, and whether they take work; with [`Scope::Full`] all others are gone.
    EndpointList(ListScope, Vec<ListedEndpoint>),
}

/// The way to the engine's queue.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    next_id: Rc<Cell<u64>>,
}

impl Handle {
    /// A queue and the way to it. It is as long as there are connections at the most: each has one request
    /// open, and takes turns with the engine.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (inputs, queue) = mpsc::unbounded_channel();
        (Handle { inputs, next_id: Rc::new(Cell::new(1)) }, queue)
    }

    /// Tells the engine. One that has ended has no more need to know.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Hands in a job. Dropping the ticket tells that the client left.
    pub fn submit(&self, job: Job) -> PendingJob {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (sender, answer) = oneshot::channel();
        self.send(Input::Submit(id, Box::new(job), sender));
        PendingJob { id, answer, answered: false, handle: self.clone() }
    }
}

/// A job that was handed in.
#[derive(Debug)]
pub struct PendingJob {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    handle: Handle,
}

impl PendingJob {
    /// Waits for the final answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.answered = true;
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for PendingJob {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.send(Input::ClientDisconnected(self.id));
        }
    }
}

/// A request in the table.
struct OpenRequest {
    deadline: Micros,
    payload: Rc<Payload>,
    /// Where the answer goes; none once it is concluded.
    answer_sender: Option<oneshot::Sender<Answer>>,
    class: usize,
    attempts: Vec<Attempt>,
}

/// An attempt at a request.
struct Attempt {
    /// When it was sent on its way.
    sent_at: Micros,
    in_flight: bool,
    /// No outcome proves that it never ran.
    may_have_run: bool,
}

impl OpenRequest {
    /// Takes where the answer goes, once; from then on no attempt begins.
    fn conclude(&mut self) -> Option<oneshot::Sender<Answer>> {
        self.payload.concluded.set(true);
        self.answer_sender.take()
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Policy(u64),
    Attempt(RequestId, u32),
    Deadline(RequestId),
    Overdue(RequestId),
    InitialListTimeout,
}

/// The task that owns the module.
pub struct Engine {
    dispatcher: Dispatcher,
    max_attempts: usize,
    /// For each class, how long after an attempt that may have run another may be written.
    retry_windows: Vec<Micros>,
    /// What came before discovery was heard, where it is to be heard first.
    held_for_initial_list: Option<Vec<Request>>,
    clock: Clock,
    now: Micros,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    /// The ids that clients gave to what is open.
    open_ids: FxHashSet<Bytes>,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    actions: Vec<Action>,
    /// Ends of attempts that the engine itself caused and the module has not been told yet.
    abandoned_attempts: VecDeque<(RequestId, u32, Outcome)>,
    commands: mpsc::UnboundedSender<Command>,
    shutting_down: bool,
    /// What a usual job asks of a worker, for whoever asked to be kept up to date.
    usual_job_cost: Option<Rc<Cell<f64>>>,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine").field("now", &self.now).field("open", &self.open_requests.len()).finish()
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
            open_requests: FxHashMap::default(),
            open_ids: FxHashSet::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            abandoned_attempts: VecDeque::new(),
            commands,
            shutting_down: false,
            usual_job_cost: None,
        };
        engine.dispatcher.start(seconds(engine.now), &mut engine.actions);
        engine.perform_actions();
        engine.handle_input(Input::EndpointList(ListScope::Cached, known));
        engine
    }

    /// Holds what comes until discovery is heard, for so long at the most. Where lists are pushed, what they tell counts
    /// as told from the first moment of a process, whatever the list as last held says.
    pub fn await_initial_list(&mut self, longest: Micros) {
        self.held_for_initial_list = Some(Vec::new());
        self.timers.push(Reverse((self.now + longest, Timer::InitialListTimeout)));
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
            let next = self.timers.peek().map(|Reverse((at, _))| self.clock.instant(*at));
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
        while let Some(&Reverse((at, due))) = self.timers.peek() {
            if at > self.now {
                return;
            }
            self.timers.pop();
            match due {
                Timer::Policy(token) => self.notify_policy(Event::Timer(token)),
                Timer::Attempt(request, attempt) => self.abandon_attempt(request, attempt, Outcome::Timeout),
                Timer::Deadline(request) => {
                    let attempts = self.open_requests.get(&request).map_or(0, |open| open.attempts.len());
                    for attempt in 0..attempts as u32 {
                        self.abandon_attempt(request, attempt, Outcome::Timeout);
                    }
                    if self.open_requests.contains_key(&request) {
                        self.timers.push(Reverse((self.now + OVERDUE_GRACE, Timer::Overdue(request))));
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
            Input::Submit(id, job, answer) => self.open_request(id, *job, answer),
            Input::ClientDisconnected(id) => {
                if let Some(open) = self.open_requests.get_mut(&id) {
                    // The module may have answered while the client left.
                    if open.conclude().is_some() {
                        self.notify_policy(Event::ClientDisconnected(id));
                    }
                    self.remove_if_finished(id);
                }
            }
            Input::JobStarted(request, attempt) => {
                if self.is_in_flight(request, attempt) {
                    self.notify_policy(Event::JobStarted { request, attempt });
                }
            }
            Input::Progress(request, attempt, done) => {
                if self.is_in_flight(request, attempt) {
                    self.notify_policy(Event::Progress { request, attempt, done });
                }
            }
            Input::QuotaGranted(worker, work, until) => {
                self.notify_policy(Event::SlowStartGrant { worker, work, expires_at: seconds(until) });
            }
            Input::UnhealthyReported(worker, ago, holds) => {
                self.notify_policy(Event::UnhealthyVerdict {
                    worker,
                    observed_ago: seconds(ago),
                    valid_for: seconds(holds),
                });
            }
            Input::HealthCheckEnded(worker, ok, load) => {
                self.notify_policy(Event::ProbeEnded { worker, ok, load })
            }
            Input::AttemptEnded(request, attempt, outcome, result, load) => {
                if self.is_in_flight(request, attempt) {
                    self.end_attempt(request, attempt, outcome, result, load);
                }
            }
            Input::EndpointList(scope, members) => {
                let lines: Vec<Endpoint> = members.iter().map(|l| l.endpoint).collect();
                // The way to a worker must be known before the module can choose it, and barred before it asks.
                let _ = self.commands.send(Command::EndpointList(scope, members));
                self.notify_policy(Event::EndpointList { scope, endpoints: &lines });
                if scope != ListScope::Cached {
                    self.release_held_requests();
                }
            }
            Input::Configure(settings) => {
                self.max_attempts = settings.max_attempts.max(1) as usize;
                self.retry_windows = retry_windows(&settings);
                self.notify_policy(Event::Settings(&settings));
            }
            Input::Shutdown => {
                self.shutting_down = true;
                let mut ids: Vec<RequestId> = self.open_requests.keys().copied().collect();
                ids.sort_unstable();
                ids.into_iter().for_each(|id| self.force_close(id));
            }
        }
        self.report_abandoned_attempts();
    }

    fn open_request(&mut self, id: RequestId, job: Job, answer: oneshot::Sender<Answer>) {
        if self.shutting_down {
            let _ = answer.send(Answer::Refused(None));
            return;
        }
        // Workers know jobs by these ids: a second one would be taken for the first, and a cancel would end both.
        if !job.payload.id.is_empty() && !self.open_ids.insert(job.payload.id.clone()) {
            let _ = answer.send(Answer::Rejected(InvalidRequest::DuplicateId));
            return;
        }
        let deadline = self.now + job.timeout;
        let open = OpenRequest {
            deadline,
            payload: Rc::new(job.payload),
            answer_sender: Some(answer),
            class: job.request.class as usize,
            attempts: Vec::new(),
        };
        self.open_requests.insert(id, open);
        self.timers.push(Reverse((deadline, Timer::Deadline(id))));
        let request = Request { id, timeout: seconds(job.timeout), ..job.request };
        match &mut self.held_for_initial_list {
            Some(held) => held.push(request),
            None => self.notify_policy(Event::Request(request)),
        }
    }

    /// Discovery was heard, or waited for for long enough: hands on what came before.
    fn release_held_requests(&mut self) {
        for request in self.held_for_initial_list.take().unwrap_or_default() {
            if let Some(open) =
                self.open_requests.get(&request.id).filter(|open| open.answer_sender.is_some())
            {
                let patience = seconds(open.deadline.saturating_sub(self.now));
                self.notify_policy(Event::Request(Request { timeout: patience, ..request }));
            }
        }
    }

    fn is_in_flight(&self, request: RequestId, attempt: u32) -> bool {
        let open = self.open_requests.get(&request);
        open.and_then(|open| open.attempts.get(attempt as usize)).is_some_and(|attempt| attempt.in_flight)
    }

    /// Stops waiting for an attempt that is out, and notes its end for the module.
    fn abandon_attempt(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        if self.is_in_flight(request, attempt) {
            let _ = self.commands.send(Command::Cancel(request, attempt));
            self.abandoned_attempts.push_back((request, attempt, outcome));
        }
    }

    /// Tells the module of the ends that are noted; what it does then may cause more.
    fn report_abandoned_attempts(&mut self) {
        while let Some((request, attempt, outcome)) = self.abandoned_attempts.pop_front() {
            if self.is_in_flight(request, attempt) {
                self.end_attempt(request, attempt, outcome, Bytes::new(), None);
            }
        }
    }

    fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        result: Bytes,
        load: Option<LoadReport>,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let ended = &mut open.attempts[attempt as usize];
        (ended.in_flight, ended.may_have_run) = (false, !outcome.never_ran());
        if outcome == Outcome::Ok {
            if let Some(answer) = open.conclude() {
                let _ = answer.send(Answer::Served(result));
            }
        } else if outcome == Outcome::InvalidRequest {
            if let Some(answer) = open.conclude() {
                let _ = answer.send(Answer::Rejected(InvalidRequest::Unusable));
            }
        }
        let complete = open.answer_sender.is_none();
        self.notify_policy(Event::AttemptEnded { request, attempt, outcome, complete, load });
        self.remove_if_finished(request);
    }

    /// Answers a request in the module's stead: it is overdue, or the program ends.
    fn force_close(&mut self, request: RequestId) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let harmless = !open.attempts.iter().any(|attempt| attempt.may_have_run);
        if let Some(answer) = open.conclude() {
            let _ = answer.send(if harmless { Answer::Refused(None) } else { Answer::Failed });
            self.notify_policy(Event::ClientDisconnected(request));
        }
        let attempts = self.open_requests.get(&request).map_or(0, |open| open.attempts.len() as u32);
        (0..attempts).for_each(|attempt| self.abandon_attempt(request, attempt, Outcome::Cancelled));
        self.remove_if_finished(request);
    }

    /// Forgets a request once it is concluded and none of its attempts is out.
    fn remove_if_finished(&mut self, request: RequestId) {
        if self
            .open_requests
            .get(&request)
            .is_some_and(|o| o.answer_sender.is_none() && !o.has_attempt_in_flight())
        {
            if let Some(open) = self.open_requests.remove(&request) {
                self.open_ids.remove(&open.payload.id);
            }
        }
    }

    fn notify_policy(&mut self, event: Event<'_>) {
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
                    self.answer_request(request, Answer::Refused(retry_after))
                }
                Action::Fail { request } => self.answer_request(request, Answer::Failed),
                Action::Cancel { request, attempt } => {
                    self.abandon_attempt(request, attempt, Outcome::Cancelled)
                }
                Action::SetTimer { after, token } => {
                    self.timers.push(Reverse((self.now + micros(after), Timer::Policy(token))));
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

    fn start_attempt(&mut self, request: RequestId, worker: WorkerId, timeout: Option<Seconds>) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let attempt = open.attempts.len() as u32;
        let may_have_run =
            open.attempts.iter().find(|attempt| attempt.may_have_run).map(|attempt| attempt.sent_at);
        open.attempts.push(Attempt { sent_at: self.now, in_flight: true, may_have_run: true });
        if open.answer_sender.is_none()
            || self.now >= open.deadline
            || open.attempts.len() > self.max_attempts
        {
            return self.abandoned_attempts.push_back((request, attempt, Outcome::NotSent));
        }
        let wanted = timeout.filter(|t| *t != 0.0).map_or(Micros::MAX, |t| self.now + micros(t));
        let deadline = wanted.min(open.deadline);
        if wanted < open.deadline {
            self.timers.push(Reverse((wanted, Timer::Attempt(request, attempt))));
        }
        let within = self.retry_windows.get(open.class).copied().unwrap_or(0);
        let latest = may_have_run.map_or(Micros::MAX, |sent| sent.saturating_add(within));
        let payload = open.payload.clone();
        let _ = self.commands.send(Command::Attempt {
            request,
            attempt,
            worker,
            payload,
            deadline,
            not_after: latest,
        });
    }

    fn answer_request(&mut self, request: RequestId, answer: Answer) {
        if let Some(sender) = self.open_requests.get_mut(&request).and_then(OpenRequest::conclude) {
            let _ = sender.send(answer);
        }
        self.remove_if_finished(request);
    }
}

/// For each class, how long after an attempt that may have run another may be written.
fn retry_windows(settings: &Settings) -> Vec<Micros> {
    settings.classes.iter().map(|class| micros(class.retry_window())).collect()
}

impl ListedEndpoint {
    /// It takes new work.
    pub fn accepts_work(&self) -> bool {
        self.endpoint.state == WorkerState::Serving
    }
}
