//! All parties of a day, and the queue of events between them.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

use dispatch_core::api::{
    Action, Class, Endpoint, Event, Idempotency, ListScope, Outcome, Request, RequestId, Seconds, Settings,
    Tenant, WorkerId, WorkerState,
};
use dispatch_core::hashing::worker_id;
use rand::Rng as _;
use rand_distr::{Distribution as _, LogNormal};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::checker::{RuleChecker, RuleLimits};
use crate::day::{micros, random_stream, seconds, Day, Fault, Micros, DAY_START};
use crate::metrics::{JobOutcome, JobRun, RunRecord};
use crate::router::{OracleView, Router};
use crate::spec::{Arm, Experiment};
use crate::worker::{progress_interval, AssignedJob, JobEvent, OverloadLimit, Phase, Worker};

/// A dispatcher handles what came in this often at the finest, in seconds; it is told so.
const RESOLUTION: Seconds = 0.005;
/// A request that a router still holds this long after its deadline is answered without it.
const OVERDUE_GRACE: Micros = 10_000;
/// What is not over this long after the last client came is not waited for.
const MAX_TAIL: Micros = 120_000_000;
/// A retry with less time than this is not worth a client's while.
const MIN_RETRY_TIME: Micros = 100_000;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
enum SimulationEvent {
    Submit(u32),
    ClientLeaves(u32),
    Deadline(u32),
    Overdue(u32),
    AttemptDeadline(u32),
    Timer(u32, u32, u64),
    ConnectionReady(u32),
    ReachWorker(u32),
    WakeWorker(u32, u32),
    JobEventArrives(u32, JobEvent),
    ConnectFailed(u32),
    Fault(u32),
    PublishList(u32),
    ListArrives(u32, u32),
    WorkerEnds(u32, u32),
    WorkerStarts(u32),
    DispatcherStarts(u32),
}

struct QueuedEvent {
    at: Micros,
    order: u64,
    event: SimulationEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &QueuedEvent) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A dispatcher: its router, and what surrounds it in the real program.
struct DispatcherHost {
    router: Option<Box<dyn Router>>,
    zone: u32,
    incarnation: u32,
    /// The list, as the agent on its machine has it, and as it last held it itself.
    agent_list: BTreeMap<u64, Endpoint>,
    /// Tries that it took and has not concluded, or whose attempts are out.
    open_requests: FxHashMap<RequestId, OpenRequest>,
    /// When the idle connections to each worker were last used.
    idle_connections: FxHashMap<u32, Vec<Micros>>,
}

struct OpenRequest {
    attempts: Vec<u32>,
    answered: bool,
    never_ran: bool,
}

/// One go of a client at a job.
struct Submission {
    job: u32,
    is_retry: bool,
    deadline: Micros,
}

/// One push of a try to a worker.
struct DispatchAttempt {
    host: u32,
    incarnation: u32,
    submission: u32,
    number: u32,
    worker: u32,
    /// The worker's process: a later one of the same name knows nothing of it.
    process: u32,
    in_flight: bool,
    /// Its number among the sends that the checker knows, once it is written.
    checker_send: Option<usize>,
    /// The run, while it runs.
    run: Option<u32>,
}

/// A day being played.
pub(super) struct Simulation<'a> {
    experiment: &'a Experiment,
    day: &'a Day,
    arm: &'a Arm,
    make_router: &'a dyn Fn(Settings, u64) -> Box<dyn Router>,
    rng: Pcg64Mcg,
    now: Micros,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    order: u64,
    dispatchers: Vec<DispatcherHost>,
    workers: Vec<Worker>,
    worker_ids: Vec<WorkerId>,
    wake_turns: Vec<u32>,
    processes: Vec<u32>,
    connections: Vec<u32>,
    worker_index: FxHashMap<WorkerId, u32>,
    submissions: Vec<Submission>,
    attempts: Vec<DispatchAttempt>,
    list_changes: Vec<Vec<Endpoint>>,
    publications: BTreeMap<Micros, u32>,
    work_noise: Vec<Option<LogNormal<f64>>>,
    checker: RuleChecker,
    record: RunRecord,
    /// Tries to come, and those that are open.
    pending_submissions: u64,
    open_submissions: u64,
    job_events: Vec<JobEvent>,
    actions: Vec<Action>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        experiment: &'a Experiment,
        arm: &'a Arm,
        day: &'a Day,
        make: &'a dyn Fn(Settings, u64) -> Box<dyn Router>,
    ) -> Simulation<'a> {
        let rules = &experiment.rules;
        let limits =
            RuleLimits { drain_grace: micros(rules.drain_grace), answer_slack: micros(rules.answer_slack) };
        let jobs = day.jobs.len();
        let noise = day.work_noise.iter().map(|cv| LogNormal::new(-cv * cv / 2.0, *cv).ok()).collect();
        let mut world = Simulation {
            experiment,
            day,
            arm,
            make_router: make,
            rng: random_stream(day.seed, 4),
            now: DAY_START,
            queue: BinaryHeap::new(),
            order: 0,
            dispatchers: Vec::new(),
            workers: Vec::new(),
            worker_ids: Vec::new(),
            wake_turns: Vec::new(),
            processes: Vec::new(),
            connections: Vec::new(),
            worker_index: FxHashMap::default(),
            submissions: Vec::with_capacity(jobs),
            attempts: Vec::with_capacity(jobs),
            list_changes: Vec::new(),
            publications: BTreeMap::new(),
            work_noise: noise,
            checker: RuleChecker::new(limits),
            record: RunRecord {
                outcomes: vec![None; jobs],
                admitted: vec![false; jobs],
                first_sent: vec![None; jobs],
                ..RunRecord::default()
            },
            pending_submissions: 0,
            open_submissions: 0,
            job_events: Vec::new(),
            actions: Vec::new(),
        };
        for plan in &day.workers {
            world.add_worker(Worker::new(plan.clone(), None, DAY_START, progress_interval()));
        }
        let members: Vec<Endpoint> = (0..world.workers.len()).map(|w| world.list_entry(w as u32)).collect();
        for plan in &day.dispatchers {
            world.dispatchers.push(DispatcherHost {
                router: None,
                zone: plan.zone,
                incarnation: 0,
                agent_list: members.iter().map(|m| (m.worker.0, *m)).collect(),
                open_requests: FxHashMap::default(),
                idle_connections: FxHashMap::default(),
            });
        }
        (0..world.dispatchers.len()).for_each(|host| world.start_dispatcher(host as u32));
        for n in 0..jobs {
            let job = &day.jobs[n];
            let class = &experiment.traffic.classes[job.class as usize];
            world.schedule_submission(n as u32, false, job.arrival, job.arrival + micros(class.timeout));
        }
        for (n, (at, _)) in day.faults.iter().enumerate() {
            world.schedule(*at, SimulationEvent::Fault(n as u32));
        }
        world
    }

    pub(super) fn run(mut self) -> RunRecord {
        while let Some(Reverse(due)) = self.queue.pop() {
            if (self.pending_submissions == 0 && self.open_submissions == 0)
                || due.at > self.day.last_arrival + MAX_TAIL
            {
                break;
            }
            self.now = due.at;
            self.record.events += 1;
            self.handle(due.event);
        }
        // What still runs at the end has no end.
        for (w, worker) in self.workers.iter().enumerate() {
            if let Some(entry) = self.record.workers.get_mut(w) {
                if worker.phase == Phase::Serving {
                    entry.3 = Micros::MAX;
                }
            }
        }
        self.record.violations = self.checker.finish();
        self.record.submissions = self.submissions.len() as u64;
        self.record
    }

    fn schedule(&mut self, at: Micros, happens: SimulationEvent) {
        self.order += 1;
        self.queue.push(Reverse(QueuedEvent { at, order: self.order, event: happens }));
    }

    fn handle(&mut self, happens: SimulationEvent) {
        match happens {
            SimulationEvent::Submit(n) => self.on_submit(n),
            SimulationEvent::ClientLeaves(n) => self.on_client_leaves(n),
            SimulationEvent::Deadline(n) => self.on_deadline(n),
            SimulationEvent::Overdue(n) => self.on_overdue(n),
            SimulationEvent::AttemptDeadline(n) => self.abandon_attempt(n, Outcome::Timeout),
            SimulationEvent::Timer(host, life, token) => {
                if self.dispatchers[host as usize].incarnation == life {
                    self.deliver(host, Event::Timer(token));
                }
            }
            SimulationEvent::ConnectionReady(n) => self.on_connection_ready(n),
            SimulationEvent::ReachWorker(n) => self.on_reach_worker(n),
            SimulationEvent::WakeWorker(w, turn) => {
                if self.wake_turns[w as usize] == turn {
                    let mut notes = std::mem::take(&mut self.job_events);
                    self.workers[w as usize].wake(self.now, &mut notes);
                    self.process_job_events(w, notes);
                }
            }
            SimulationEvent::JobEventArrives(n, note) => self.on_job_event(n, note),
            SimulationEvent::ConnectFailed(n) => self.end_attempt(n, Outcome::ConnectFailed),
            SimulationEvent::Fault(n) => self.inject_fault(self.day.faults[n as usize].1),
            SimulationEvent::PublishList(list) => {
                for host in 0..self.dispatchers.len() {
                    let spread = self.day.dispatchers[host].list_delay;
                    self.schedule(self.now + spread, SimulationEvent::ListArrives(host as u32, list));
                }
            }
            SimulationEvent::ListArrives(host, list) => self.on_list_arrives(host, list),
            SimulationEvent::WorkerEnds(w, process) => {
                if self.processes[w as usize] == process {
                    self.kill_worker(w);
                    self.publish(
                        self.list_entry_as(w, WorkerState::Removed),
                        self.day.discovery.drain_notice,
                    );
                }
            }
            SimulationEvent::WorkerStarts(w) => self.on_worker_starts(w),
            SimulationEvent::DispatcherStarts(host) => self.start_dispatcher(host),
        }
    }

    // Clients.

    fn schedule_submission(&mut self, job: u32, second: bool, at: Micros, deadline: Micros) {
        self.pending_submissions += 1;
        let n = self.submissions.len() as u32;
        self.submissions.push(Submission { job, is_retry: second, deadline });
        self.schedule(at, SimulationEvent::Submit(n));
    }

    fn request_id(n: u32) -> RequestId {
        RequestId(u64::from(n) + 1)
    }

    fn on_submit(&mut self, n: u32) {
        self.pending_submissions -= 1;
        let (job_no, deadline) = (self.submissions[n as usize].job, self.submissions[n as usize].deadline);
        let job = &self.day.jobs[job_no as usize];
        let host = job.dispatcher;
        if job.client_leaves_at.is_some_and(|leaves| leaves <= self.now) {
            return self.record_outcome(n, JobOutcome::ClientLeft);
        }
        if self.dispatchers[host as usize].router.is_none() {
            // Nobody listens: any class may try again.
            return self.retry_or(n, None, JobOutcome::Failed(self.now));
        }
        self.open_submissions += 1;
        let id = Self::request_id(n);
        let class = &self.experiment.traffic.classes[job.class as usize];
        self.checker.record_accepted(id.0, class.idempotency, micros(class.retry_window), deadline);
        let open = OpenRequest { attempts: Vec::new(), answered: false, never_ran: true };
        self.dispatchers[host as usize].open_requests.insert(id, open);
        self.schedule(deadline, SimulationEvent::Deadline(n));
        if let Some(leaves) = job.client_leaves_at.filter(|leaves| *leaves < deadline) {
            self.schedule(leaves, SimulationEvent::ClientLeaves(n));
        }
        let request = Request {
            id,
            class: job.class,
            tenant: job.tenant,
            slots: f64::from(job.slots),
            memory: 0.0,
            timeout: seconds(deadline - self.now),
            is_retry: false,
            expected_run_time: None,
            affinity_key: None,
        };
        self.deliver(host, Event::Request(request));
        let answered =
            self.dispatchers[host as usize].open_requests.get(&id).is_none_or(|open| open.answered);
        if !answered {
            self.record.admitted[job_no as usize] = true;
        }
    }

    fn is_open(&self, n: u32) -> bool {
        let host = self.day.jobs[self.submissions[n as usize].job as usize].dispatcher;
        self.dispatchers[host as usize]
            .open_requests
            .get(&Self::request_id(n))
            .is_some_and(|open| !open.answered)
    }

    fn on_client_leaves(&mut self, n: u32) {
        if !self.is_open(n) {
            return;
        }
        let id = Self::request_id(n);
        self.checker.waive_answer(id.0);
        self.record_outcome(n, JobOutcome::ClientLeft);
        self.mark_answered(n);
        let host = self.day.jobs[self.submissions[n as usize].job as usize].dispatcher;
        self.deliver(host, Event::ClientDisconnected(id));
        self.close_if_complete(host, id);
    }

    fn on_deadline(&mut self, n: u32) {
        if !self.is_open(n) {
            return;
        }
        let host = self.day.jobs[self.submissions[n as usize].job as usize].dispatcher;
        let out = self.dispatchers[host as usize]
            .open_requests
            .get(&Self::request_id(n))
            .map(|o| o.attempts.clone());
        for attempt in out.unwrap_or_default() {
            self.abandon_attempt(attempt, Outcome::Timeout);
        }
        if self.is_open(n) {
            self.schedule(self.now + OVERDUE_GRACE, SimulationEvent::Overdue(n));
        }
    }

    fn on_overdue(&mut self, n: u32) {
        if !self.is_open(n) {
            return;
        }
        let id = Self::request_id(n);
        let host = self.day.jobs[self.submissions[n as usize].job as usize].dispatcher;
        let open = self.dispatchers[host as usize].open_requests.get(&id);
        let harmless = open
            .is_some_and(|o| o.never_ran && !o.attempts.iter().any(|a| self.attempts[*a as usize].in_flight));
        self.answer(n, harmless.then_some(None));
        self.deliver(host, Event::ClientDisconnected(id));
        self.close_if_complete(host, id);
    }

    /// Gives the client its answer: refused with when to come back, or failed.
    fn answer(&mut self, n: u32, refused: Option<Option<Seconds>>) {
        if !self.is_open(n) {
            return;
        }
        let id = Self::request_id(n);
        self.checker.record_answer(id.0, refused.is_some(), self.now);
        let job = &self.day.jobs[self.submissions[n as usize].job as usize];
        let class = &self.experiment.traffic.classes[job.class as usize];
        match refused {
            Some(after) => self.retry_or(n, after, JobOutcome::Rejected(self.now)),
            None if class.idempotency == Idempotency::Idempotent => {
                self.retry_or(n, None, JobOutcome::Failed(self.now))
            }
            None => self.record_outcome(n, JobOutcome::Failed(self.now)),
        }
        self.mark_answered(n);
    }

    /// The client tries once more where it does that, or takes the end as it is.
    fn retry_or(&mut self, n: u32, after: Option<Seconds>, end: JobOutcome) {
        let (job_no, second, deadline) = {
            let t = &self.submissions[n as usize];
            (t.job, t.is_retry, t.deadline)
        };
        let job = &self.day.jobs[job_no as usize];
        let Some(wait) = job.retry_backoff.filter(|_| !second) else { return self.record_outcome(n, end) };
        let asked = after.filter(|_| job.honours_retry_after).map_or(0, micros);
        let at = self.now + wait.max(asked);
        if at + MIN_RETRY_TIME > deadline {
            return self.record_outcome(n, end);
        }
        self.schedule_submission(job_no, true, at, deadline);
    }

    fn record_outcome(&mut self, n: u32, end: JobOutcome) {
        let job = self.submissions[n as usize].job as usize;
        self.record.outcomes[job] = Some(end);
    }

    /// The try has its answer, or is owed none.
    fn mark_answered(&mut self, n: u32) {
        let host = self.day.jobs[self.submissions[n as usize].job as usize].dispatcher;
        if let Some(open) = self.dispatchers[host as usize].open_requests.get_mut(&Self::request_id(n)) {
            if !open.answered {
                open.answered = true;
                self.open_submissions -= 1;
            }
        }
    }

    // Dispatchers.

    fn dispatcher_settings(&self, host: usize) -> Settings {
        let rules = &self.experiment.rules;
        let classes = self.experiment.traffic.classes.iter();
        let tenants = self.experiment.traffic.tenants.iter().zip(&self.day.quotas);
        Settings {
            instance: host as u32,
            instances: self.day.dispatchers.len() as u32,
            zone: self.day.dispatchers[host].zone,
            classes: classes
                .map(|c| Class {
                    idempotency: c.idempotency,
                    key_window: c.retry_window,
                    latency_objective: c.latency_objective,
                    run_time_allowance: c.stretch,
                    late_weight: c.late_weight,
                    required_kind: None,
                })
                .collect(),
            tenants: tenants
                .map(|(t, quota)| Tenant { share: t.share, quota: quota * self.arm.quota })
                .collect(),
            cancellation_allowed: true,
            max_attempts: self.arm.attempts.unwrap_or(rules.max_attempts),
            max_retry_after: self.experiment.clients.max_retry_after,
            reports_job_start: true,
            progress_interval: seconds(progress_interval()),
            hedging_allowed: self.arm.hedging,
            slow_start_min_capacity: rules.cold_share,
            slow_start_duration: rules.warm_up,
            overload_multiple: rules.overload_multiple,
            overload_window: rules.overload_window,
            cross_zone_price: rules.cross_zone_price,
            clock_resolution: RESOLUTION,
            capacity_reservation: self.arm.capacity_reservation,
            ..Settings::default()
        }
    }

    /// A dispatcher starts with its last list, and asks for the whole one at once.
    fn start_dispatcher(&mut self, host: u32) {
        let settings = self.dispatcher_settings(host as usize);
        let h = &mut self.dispatchers[host as usize];
        let seed = self.day.seed ^ (u64::from(host) << 32) ^ (u64::from(h.incarnation) << 48);
        h.router = Some((self.make_router)(settings, seed));
        let known: Vec<Endpoint> = h.agent_list.values().copied().collect();
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(router) = &mut h.router {
            router.start(seconds(self.now), &mut actions);
        }
        self.execute(host, actions);
        self.deliver(host, Event::EndpointList { scope: ListScope::Cached, endpoints: &known });
        self.record_drain_notices(host, &known);
        self.deliver(host, Event::EndpointList { scope: ListScope::Full, endpoints: &known });
    }

    fn record_drain_notices(&mut self, host: u32, members: &[Endpoint]) {
        let life = self.incarnation_id(host);
        for member in members.iter().filter(|m| m.state != WorkerState::Serving) {
            self.checker.record_drain_notice(life, member.worker.0, self.now);
        }
    }

    /// A number of this life of the dispatcher, for the checker.
    fn incarnation_id(&self, host: u32) -> u32 {
        self.dispatchers[host as usize].incarnation * self.dispatchers.len() as u32 + host
    }

    fn on_list_arrives(&mut self, host: u32, list: u32) {
        let members = std::mem::take(&mut self.list_changes[list as usize]);
        let h = &mut self.dispatchers[host as usize];
        h.agent_list.extend(members.iter().map(|m| (m.worker.0, *m)));
        if h.router.is_some() {
            self.record_drain_notices(host, &members);
            self.deliver(host, Event::EndpointList { scope: ListScope::Incremental, endpoints: &members });
        }
        self.list_changes[list as usize] = members;
    }

    fn deliver(&mut self, host: u32, event: Event<'_>) {
        let Some(mut router) = self.dispatchers[host as usize].router.take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        router.on_event(seconds(self.now), event, &mut actions, self);
        self.dispatchers[host as usize].router = Some(router);
        self.execute(host, actions);
    }

    fn execute(&mut self, host: u32, mut actions: Vec<Action>) {
        let life = self.dispatchers[host as usize].incarnation;
        for action in actions.drain(..) {
            match action {
                Action::Send { request, worker, timeout } => self.send(host, request, worker, timeout),
                Action::Reject { request, retry_after } => {
                    self.answer((request.0 - 1) as u32, Some(retry_after));
                    self.close_if_complete(host, request);
                }
                Action::Fail { request } => {
                    self.answer((request.0 - 1) as u32, None);
                    self.close_if_complete(host, request);
                }
                Action::Cancel { request, attempt } => {
                    let open = self.dispatchers[host as usize].open_requests.get(&request);
                    if let Some(n) = open.and_then(|o| o.attempts.get(attempt as usize)).copied() {
                        self.abandon_attempt(n, Outcome::Cancelled);
                    }
                }
                Action::SetTimer { after, token } => {
                    self.schedule(self.now + micros(after).max(1), SimulationEvent::Timer(host, life, token));
                }
                Action::CloseIdle(worker) => {
                    if let Some(w) = self.worker_index.get(&worker) {
                        self.dispatchers[host as usize].idle_connections.remove(w);
                    }
                }
                Action::Watch(_)
                | Action::FetchEndpointList
                | Action::Probe(_)
                | Action::SendToPeer { .. }
                | Action::Log(_) => {}
            }
        }
        // Actions may cause more, which were carried out with a buffer of their own.
        if actions.capacity() > self.actions.capacity() {
            self.actions = actions;
        }
    }

    /// Forgets a try that is concluded and has no attempt out.
    fn close_if_complete(&mut self, host: u32, id: RequestId) {
        let over = self.dispatchers[host as usize]
            .open_requests
            .get(&id)
            .is_some_and(|o| o.answered && !o.attempts.iter().any(|a| self.attempts[*a as usize].in_flight));
        if over {
            self.dispatchers[host as usize].open_requests.remove(&id);
            self.checker.close_request(id.0);
        }
    }

    fn send(&mut self, host: u32, request: RequestId, worker: WorkerId, timeout: Option<Seconds>) {
        let Some(&w) = self.worker_index.get(&worker) else { return };
        let try_no = (request.0 - 1) as u32;
        let n = self.attempts.len() as u32;
        let h = &mut self.dispatchers[host as usize];
        let Some(open) = h.open_requests.get_mut(&request) else { return };
        let number = open.attempts.len() as u32;
        open.attempts.push(n);
        let late = open.answered || self.now >= self.submissions[try_no as usize].deadline;
        self.attempts.push(DispatchAttempt {
            host,
            incarnation: h.incarnation,
            submission: try_no,
            number,
            worker: w,
            process: self.processes[w as usize],
            in_flight: true,
            checker_send: None,
            run: None,
        });
        if late {
            return self.end_attempt(n, Outcome::NotSent);
        }
        if let Some(timeout) = timeout {
            self.schedule(self.now + micros(timeout), SimulationEvent::AttemptDeadline(n));
        }
        let kept = self.dispatchers[host as usize].idle_connections.get_mut(&w).and_then(|idle| {
            let before = idle.len();
            idle.retain(|used| used + self.day.network.idle > self.now);
            let gone = (before - idle.len()) as u32;
            self.connections[w as usize] = self.connections[w as usize].saturating_sub(gone);
            idle.pop()
        });
        if kept.is_some() {
            return self.on_connection_ready(n);
        }
        self.record.new_connections += 1;
        let net = &self.day.network;
        let way = self.network_delay(host, w);
        let up = self.workers[w as usize].phase != Phase::Ended;
        if !up || self.connections[w as usize] >= self.workers[w as usize].plan.max_connections {
            return self.schedule(self.now + 2 * way, SimulationEvent::ConnectFailed(n));
        }
        self.connections[w as usize] += 1;
        let shake = (2.0 * way as f64 * net.handshake_rtts) as Micros + micros(net.handshake);
        self.schedule(self.now + shake, SimulationEvent::ConnectionReady(n));
    }

    /// One way between a dispatcher and a worker, for this message.
    fn network_delay(&mut self, host: u32, worker: u32) -> Micros {
        let net = &self.day.network;
        let near = self.dispatchers[host as usize].zone == self.workers[worker as usize].plan.zone;
        let way = if near { net.same_zone } else { net.cross_zone };
        micros(way * (1.0 + net.jitter * self.rng.random_range(0.0..1.0))).max(1)
    }

    /// The connection stands: the request is written, unless the worker was told to drain meanwhile.
    fn on_connection_ready(&mut self, n: u32) {
        let (host, w, try_no, out) = {
            let a = &self.attempts[n as usize];
            (
                a.host,
                a.worker,
                a.submission,
                a.in_flight && self.dispatchers[a.host as usize].incarnation == a.incarnation,
            )
        };
        if !out {
            return;
        }
        let serving = self.dispatchers[host as usize]
            .agent_list
            .get(&self.worker_ids[w as usize].0)
            .is_some_and(|m| m.state == WorkerState::Serving);
        if !serving {
            return self.end_attempt(n, Outcome::NotSent);
        }
        let place = (self.workers[w as usize].plan.zone, self.workers[w as usize].plan.rack);
        let life = self.incarnation_id(host);
        let send = self.checker.record_attempt(
            life,
            Self::request_id(try_no).0,
            self.worker_ids[w as usize].0,
            place,
            self.now,
        );
        self.attempts[n as usize].checker_send = Some(send);
        self.record.sends += 1;
        let job = self.submissions[try_no as usize].job as usize;
        self.record.first_sent[job] = self.record.first_sent[job].or(Some(self.now));
        self.record.cross_zone_sends += u64::from(place.0 != self.dispatchers[host as usize].zone);
        let way = self.network_delay(host, w);
        self.schedule(self.now + way, SimulationEvent::ReachWorker(n));
    }

    /// Stops waiting for an attempt that is out.
    fn abandon_attempt(&mut self, n: u32, outcome: Outcome) {
        let (out, w) = (self.attempts[n as usize].in_flight, self.attempts[n as usize].worker);
        if !out {
            return;
        }
        let mut notes = std::mem::take(&mut self.job_events);
        if self.workers[w as usize].cancel(n as usize, self.now, &mut notes) {
            // It never began, though nobody tells the dispatcher.
            self.attempts[n as usize].run = None;
        }
        self.process_job_events(w, notes);
        self.connections[w as usize] = self.connections[w as usize].saturating_sub(1);
        self.end_attempt(n, outcome);
    }

    /// An attempt ends for its dispatcher.
    fn end_attempt(&mut self, n: u32, outcome: Outcome) {
        let (host, life, number, try_no, send) = {
            let a = &mut self.attempts[n as usize];
            if !std::mem::replace(&mut a.in_flight, false) {
                return;
            }
            (a.host, a.incarnation, a.number, a.submission, a.checker_send)
        };
        if self.dispatchers[host as usize].incarnation != life {
            return;
        }
        let id = Self::request_id(try_no);
        if let (Some(send), true) = (send, outcome.never_ran()) {
            self.checker.record_never_ran(id.0, send);
        }
        if let Some(open) = self.dispatchers[host as usize].open_requests.get_mut(&id) {
            open.never_ran &= outcome.never_ran();
        }
        if outcome == Outcome::Ok && self.is_open(try_no) {
            self.checker.record_answer(id.0, false, self.now);
            self.record_outcome(try_no, JobOutcome::Served(self.now));
            self.mark_answered(try_no);
        }
        let complete = !self.is_open(try_no);
        self.deliver(
            host,
            Event::AttemptEnded { request: id, attempt: number, outcome, complete, load: None },
        );
        self.close_if_complete(host, id);
    }

    // Workers.

    fn add_worker(&mut self, worker: Worker) -> u32 {
        let w = self.workers.len() as u32;
        let id = worker_id(&format!("w-{w}"));
        let warm_from = worker.started_at.map_or(0, |since| since + micros(worker.plan.warm_up));
        self.record.workers.push((worker.plan.speed, worker.plan.slots, warm_from, Micros::MAX));
        self.worker_index.insert(id, w);
        self.worker_ids.push(id);
        self.workers.push(worker);
        self.wake_turns.push(0);
        self.processes.push(0);
        self.connections.push(0);
        w
    }

    fn list_entry(&self, w: u32) -> Endpoint {
        self.list_entry_as(w, WorkerState::Serving)
    }

    fn list_entry_as(&self, w: u32, state: WorkerState) -> Endpoint {
        let worker = &self.workers[w as usize];
        Endpoint {
            worker: self.worker_ids[w as usize],
            kind: worker.plan.kind as u32,
            zone: worker.plan.zone,
            cell: worker.plan.rack,
            started_at: worker.started_at.map_or(0.0, seconds),
            state,
        }
    }

    /// A change of the list goes out with the others of its period.
    fn publish(&mut self, member: Endpoint, after: Micros) {
        let period = self.day.discovery.publish_period.max(1);
        let at = (self.now + after).div_ceil(period) * period;
        let list = match self.publications.get(&at) {
            Some(list) => *list,
            None => {
                let list = self.list_changes.len() as u32;
                self.list_changes.push(Vec::new());
                self.publications.insert(at, list);
                self.schedule(at, SimulationEvent::PublishList(list));
                list
            }
        };
        self.list_changes[list as usize].push(member);
    }

    fn on_reach_worker(&mut self, n: u32) {
        let (w, process, host, try_no) = {
            let a = &self.attempts[n as usize];
            (a.worker, a.process, a.host, a.submission)
        };
        if self.processes[w as usize] != process || self.workers[w as usize].phase == Phase::Ended {
            let way = self.network_delay(host, w);
            return self
                .schedule(self.now + way, SimulationEvent::JobEventArrives(n, JobEvent::Lost(n as usize)));
        }
        let job = &self.day.jobs[self.submissions[try_no as usize].job as usize];
        let noise = match &self.work_noise[job.class as usize] {
            Some(noise) => noise.sample(&mut self.rng),
            None => 1.0,
        };
        let worker = &self.workers[w as usize];
        let fails = self.rng.random_bool(worker.plan.error_rate);
        let known = self.dispatchers[host as usize].agent_list.get(&self.worker_ids[w as usize].0);
        let since = worker.started_at.map_or(0.0, seconds);
        let informed = known.is_some_and(|m| m.started_at >= since);
        let usual = self.day.mean_work[job.class as usize] * f64::from(job.slots);
        let work = job.work * noise;
        let task = AssignedJob {
            attempt: n as usize,
            slots: job.slots,
            work,
            expected_work: usual,
            fails,
            sender_knew_start: informed,
        };
        let fall = OverloadLimit {
            multiple: self.experiment.rules.overload_multiple,
            window: micros(self.experiment.rules.overload_window),
        };
        let mut notes = std::mem::take(&mut self.job_events);
        let fallen = self.workers[w as usize].offer(task, self.now, fall, &mut notes);
        if let Some(fallen) = fallen {
            self.checker.record_cold_overload(fallen.by_informed_senders);
            self.processes[w as usize] += 1;
            self.publish(self.list_entry_as(w, WorkerState::Removed), self.day.discovery.death_notice);
        }
        self.process_job_events(w, notes);
    }

    /// Takes what a worker says, and wakes it when it is due next.
    fn process_job_events(&mut self, w: u32, mut notes: Vec<JobEvent>) {
        for note in notes.drain(..) {
            let n = match note {
                JobEvent::Started(n)
                | JobEvent::Progress(n, _)
                | JobEvent::Done(n)
                | JobEvent::Failed(n)
                | JobEvent::Rejected(n)
                | JobEvent::Lost(n) => n as u32,
            };
            match note {
                JobEvent::Started(_) => {
                    let job = self.submissions[self.attempts[n as usize].submission as usize].job;
                    self.attempts[n as usize].run = Some(self.record.runs.len() as u32);
                    self.record.runs.push(JobRun {
                        job,
                        worker: w,
                        started_at: self.now,
                        ended_at: Micros::MAX,
                    });
                }
                JobEvent::Done(_) | JobEvent::Failed(_) | JobEvent::Lost(_) => {
                    if let Some(run) = self.attempts[n as usize].run.take() {
                        self.record.runs[run as usize].ended_at = self.now;
                    }
                }
                _ => {}
            }
            let host = self.attempts[n as usize].host;
            let way = self.network_delay(host, w);
            self.schedule(self.now + way, SimulationEvent::JobEventArrives(n, note));
        }
        self.job_events = notes;
        self.wake_turns[w as usize] += 1;
        if let Some(next) = self.workers[w as usize].next_event() {
            self.schedule(next, SimulationEvent::WakeWorker(w, self.wake_turns[w as usize]));
        }
    }

    fn on_job_event(&mut self, n: u32, note: JobEvent) {
        let (host, life, w, process, number, try_no, out) = {
            let a = &self.attempts[n as usize];
            (a.host, a.incarnation, a.worker, a.process, a.number, a.submission, a.in_flight)
        };
        if !out || self.dispatchers[host as usize].incarnation != life {
            return;
        }
        let (request, attempt) = (Self::request_id(try_no), number);
        let outcome = match note {
            JobEvent::Started(_) => return self.deliver(host, Event::JobStarted { request, attempt }),
            JobEvent::Progress(_, done) => {
                return self.deliver(host, Event::Progress { request, attempt, done })
            }
            JobEvent::Done(_) => Outcome::Ok,
            JobEvent::Failed(_) => Outcome::Error,
            JobEvent::Rejected(_) => Outcome::Overloaded,
            JobEvent::Lost(_) => Outcome::Reset,
        };
        if outcome != Outcome::Reset && self.processes[w as usize] == process {
            self.dispatchers[host as usize].idle_connections.entry(w).or_default().push(self.now);
        }
        self.end_attempt(n, outcome);
    }

    /// A worker's process ends: what it has is lost, and so are the connections to it.
    fn kill_worker(&mut self, w: u32) {
        self.processes[w as usize] += 1;
        self.connections[w as usize] = 0;
        self.record.workers[w as usize].3 = self.now;
        for host in &mut self.dispatchers {
            host.idle_connections.remove(&w);
        }
        let mut notes = std::mem::take(&mut self.job_events);
        self.workers[w as usize].end(self.now, &mut notes);
        self.process_job_events(w, notes);
    }

    fn inject_fault(&mut self, mishap: Fault) {
        match mishap {
            Fault::HangWorker(w, hung) => {
                let mut notes = std::mem::take(&mut self.job_events);
                self.workers[w].set_hung(hung, self.now, &mut notes);
                self.process_job_events(w as u32, notes);
            }
            Fault::NoisyNeighbour(w, part) => {
                self.workers[w].set_stolen_share(part, self.now);
                self.process_job_events(w as u32, Vec::new());
            }
            Fault::ReplaceWorker(w, lasts) => {
                if self.workers[w].phase == Phase::Serving {
                    let mut notes = std::mem::take(&mut self.job_events);
                    self.workers[w].drain(self.now, &mut notes);
                    self.record.workers[w].3 = self.now;
                    self.process_job_events(w as u32, notes);
                    self.publish(
                        self.list_entry_as(w as u32, WorkerState::Draining),
                        self.day.discovery.drain_notice,
                    );
                    let process = self.processes[w];
                    self.schedule(self.now + lasts, SimulationEvent::WorkerEnds(w as u32, process));
                    // Its successor has another name.
                    let plan = self.workers[w].plan.clone();
                    let since = self.now + lasts;
                    let mut successor = Worker::new(plan, Some(since), since, progress_interval());
                    successor.phase = Phase::Ended;
                    let next = self.add_worker(successor);
                    self.schedule(since, SimulationEvent::WorkerStarts(next));
                }
            }
            Fault::CrashWorker(w, lasts) => {
                self.kill_worker(w as u32);
                self.schedule(self.now + lasts, SimulationEvent::WorkerStarts(w as u32));
            }
            Fault::RestartDispatcher(host, lasts) => self.restart_dispatcher(host as u32, lasts),
        }
    }

    fn on_worker_starts(&mut self, w: u32) {
        let plan = self.workers[w as usize].plan.clone();
        let warm = micros(plan.warm_up);
        self.workers[w as usize] = Worker::new(plan, Some(self.now), self.now, progress_interval());
        (self.record.workers[w as usize].2, self.record.workers[w as usize].3) =
            (self.now + warm, Micros::MAX);
        self.publish(self.list_entry(w), self.day.discovery.start_notice);
    }

    /// A dispatcher is killed outright, and comes back with nothing but its last list.
    fn restart_dispatcher(&mut self, host: u32, lasts: Micros) {
        let h = &mut self.dispatchers[host as usize];
        if h.router.take().is_none() {
            return;
        }
        h.incarnation += 1;
        for (w, idle) in std::mem::take(&mut h.idle_connections) {
            self.connections[w as usize] = self.connections[w as usize].saturating_sub(idle.len() as u32);
        }
        let mut open: Vec<(RequestId, OpenRequest)> =
            std::mem::take(&mut h.open_requests).into_iter().collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        for (id, open) in open {
            let n = (id.0 - 1) as u32;
            self.checker.waive_answer(id.0);
            self.checker.close_request(id.0);
            for attempt in open.attempts {
                if std::mem::replace(&mut self.attempts[attempt as usize].in_flight, false) {
                    let w = self.attempts[attempt as usize].worker;
                    self.connections[w as usize] = self.connections[w as usize].saturating_sub(1);
                    let mut notes = std::mem::take(&mut self.job_events);
                    self.workers[w as usize].cancel(attempt as usize, self.now, &mut notes);
                    self.process_job_events(w, notes);
                }
            }
            if !open.answered {
                self.open_submissions -= 1;
                let job = &self.day.jobs[self.submissions[n as usize].job as usize];
                let class = &self.experiment.traffic.classes[job.class as usize];
                match class.idempotency {
                    Idempotency::Idempotent => self.retry_or(n, None, JobOutcome::Failed(self.now)),
                    _ => self.record_outcome(n, JobOutcome::Failed(self.now)),
                }
            }
        }
        self.schedule(self.now + lasts.max(1), SimulationEvent::DispatcherStarts(host));
    }
}

impl OracleView for Simulation<'_> {
    fn predict_completion(&self, worker: WorkerId, request_id: RequestId) -> Option<Seconds> {
        let w = *self.worker_index.get(&worker)?;
        let job = &self.day.jobs[self.submissions[(request_id.0 - 1) as usize].job as usize];
        self.workers[w as usize].predict_completion(self.now, job.slots, job.work)
    }

    fn time_to_objective(&self, request_id: RequestId) -> Seconds {
        let n = self.submissions[(request_id.0 - 1) as usize].job as usize;
        let latency_objective =
            self.day.jobs[n].arrival + crate::metrics::latency_objective(self.experiment, self.day, n);
        (latency_objective as f64 - self.now as f64) / 1e6
    }
}
