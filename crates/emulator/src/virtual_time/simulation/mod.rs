//! Simulation of one day: the state of all parties, and the queue of events between them.

mod attempts;
mod clients;
mod dispatchers;
mod events;
mod faults;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use dispatch_core::api::{
    Action, Endpoint, Event, Outcome, RequestId, Seconds, Settings, WorkerId, WorkerState,
};
use rand_distr::LogNormal;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use self::events::{QueuedEvent, SimulationEvent};
use crate::checker::{RuleChecker, RuleLimits};
use crate::day::{micros, random_stream, Day, Micros, DAY_START};
use crate::metrics::RunRecord;
use crate::router::{OracleView, Router};
use crate::spec::{Arm, Experiment};
use crate::worker::{progress_interval, JobEvent, Phase, Worker};

/// Time after the last arrival at which the simulation stops, even if submissions are open.
const MAX_TAIL: Micros = 120_000_000;

/// Dispatcher: its router, and the state that a dispatcher process keeps around the decision module.
struct DispatcherHost {
    /// None while the dispatcher is down.
    router: Option<Box<dyn Router>>,
    /// Settings of the router.
    settings: Settings,
    zone: u32,
    incarnation: u32,
    /// Endpoint list of the discovery agent beside the dispatcher, by worker id. It also serves as the saved list.
    agent_list: BTreeMap<u64, Endpoint>,
    /// Requests that have no response yet or have attempts in flight.
    open_requests: FxHashMap<RequestId, OpenRequest>,
    /// Times at which the idle connections to each worker were last used.
    idle_connections: FxHashMap<u32, Vec<Micros>>,
}

struct OpenRequest {
    /// Indices of its attempts.
    attempts: Vec<u32>,
    /// Whether no further response is expected: the client has it, or disconnected.
    answered: bool,
    /// Whether all attempts that ended never ran.
    never_ran: bool,
}

/// Submission of a job by its client: the first one or the retry.
struct Submission {
    job: u32,
    is_retry: bool,
    deadline: Micros,
}

/// Attempt of a dispatcher at a worker.
struct DispatchAttempt {
    dispatcher: u32,
    /// Incarnation of the dispatcher that sent it.
    incarnation: u32,
    submission: u32,
    /// Number among the attempts of the request.
    number: u32,
    worker: u32,
    /// Process of the worker that it was sent to, as the number of processes that had ended before. A later process of
    /// the worker does not have the job.
    process: u32,
    in_flight: bool,
    /// Number of the attempt in the rule checker; none until the request is written.
    checker_attempt: Option<usize>,
    /// Index of the run in the record, while the job runs.
    run: Option<u32>,
}

/// State of a simulation.
pub(super) struct Simulation<'a> {
    experiment: &'a Experiment,
    day: &'a Day,
    arm: &'a Arm,
    make_router: &'a dyn Fn(Settings, u64) -> Box<dyn Router>,
    rng: Pcg64Mcg,
    now: Micros,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    /// Number of events scheduled so far, which orders events of the same time.
    scheduled: u64,
    dispatchers: Vec<DispatcherHost>,
    workers: Vec<Worker>,
    worker_ids: Vec<WorkerId>,
    /// Number of times that the next event of each worker was scheduled. Only the last one is valid.
    wake_schedules: Vec<u32>,
    /// Number of processes of each worker that have ended.
    ended_processes: Vec<u32>,
    /// Number of open connections of each worker.
    connections: Vec<u32>,
    worker_indices: FxHashMap<WorkerId, u32>,
    submissions: Vec<Submission>,
    attempts: Vec<DispatchAttempt>,
    /// Changed endpoints of each publication of the endpoint list.
    publications: Vec<Vec<Endpoint>>,
    publications_by_time: BTreeMap<Micros, u32>,
    /// Distribution of the factor between the work of an attempt and the work of its job, by class.
    work_noise: Vec<Option<LogNormal<f64>>>,
    checker: RuleChecker,
    record: RunRecord,
    /// Number of submissions that are scheduled.
    pending_submissions: u64,
    /// Number of submissions that a dispatcher has received and not answered.
    open_submissions: u64,
    /// Reused buffer for the events of a worker.
    job_events: Vec<JobEvent>,
    /// Reused buffer for the actions of a router.
    actions: Vec<Action>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        experiment: &'a Experiment,
        arm: &'a Arm,
        day: &'a Day,
        make_router: &'a dyn Fn(Settings, u64) -> Box<dyn Router>,
    ) -> Simulation<'a> {
        let rules = &experiment.rules;
        let limits =
            RuleLimits { drain_grace: micros(rules.drain_grace), response_slack: micros(rules.answer_slack) };
        let jobs = day.jobs.len();
        let noise = day.work_noise.iter().map(|cv| LogNormal::new(-cv * cv / 2.0, *cv).ok()).collect();
        let mut simulation = Simulation {
            experiment,
            day,
            arm,
            make_router,
            rng: random_stream(day.seed, 4),
            now: DAY_START,
            queue: BinaryHeap::new(),
            scheduled: 0,
            dispatchers: Vec::new(),
            workers: Vec::new(),
            worker_ids: Vec::new(),
            wake_schedules: Vec::new(),
            ended_processes: Vec::new(),
            connections: Vec::new(),
            worker_indices: FxHashMap::default(),
            submissions: Vec::with_capacity(jobs),
            attempts: Vec::with_capacity(jobs),
            publications: Vec::new(),
            publications_by_time: BTreeMap::new(),
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
        simulation.add_workers_and_dispatchers();
        simulation.schedule_day();
        simulation
    }

    /// Adds the workers and starts the dispatchers, whose agents all have the complete endpoint list.
    fn add_workers_and_dispatchers(&mut self) {
        for plan in &self.day.workers {
            self.add_worker(Worker::new(plan.clone(), None, DAY_START, progress_interval()));
        }
        let endpoints: Vec<Endpoint> =
            (0..self.workers.len()).map(|worker| self.serving_endpoint(worker as u32)).collect();
        for plan in &self.day.dispatchers {
            self.dispatchers.push(DispatcherHost {
                router: None,
                settings: Settings::default(),
                zone: plan.zone,
                incarnation: 0,
                agent_list: endpoints.iter().map(|endpoint| (endpoint.worker.0, *endpoint)).collect(),
                open_requests: FxHashMap::default(),
                idle_connections: FxHashMap::default(),
            });
        }
        (0..self.dispatchers.len()).for_each(|dispatcher| self.start_dispatcher(dispatcher as u32));
    }

    /// Schedules the jobs and the faults of the day.
    fn schedule_day(&mut self) {
        let (experiment, day) = (self.experiment, self.day);
        for (number, job) in day.jobs.iter().enumerate() {
            let class = &experiment.traffic.classes[job.class as usize];
            let deadline = job.arrival + micros(class.timeout);
            self.schedule_submission(number as u32, false, job.arrival, deadline);
        }
        for (number, (at, _)) in day.faults.iter().enumerate() {
            self.schedule(*at, SimulationEvent::Fault(number as u32));
        }
    }

    /// Runs the simulation until no submission is scheduled or open, but no longer than [`MAX_TAIL`] after the last
    /// arrival.
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
        // Workers that still serve at the end of the run have no end in the record.
        for (worker_index, worker) in self.workers.iter().enumerate() {
            if let Some(entry) = self.record.workers.get_mut(worker_index) {
                if worker.phase == Phase::Serving {
                    entry.3 = Micros::MAX;
                }
            }
        }
        self.record.violations = self.checker.finish();
        self.record.submissions = self.submissions.len() as u64;
        self.record
    }

    /// Puts an event into the queue.
    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse(QueuedEvent { at, order: self.scheduled, event }));
    }

    /// Handles an event that is due.
    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Submit(submission) => self.on_submit(submission),
            SimulationEvent::ClientLeaves(submission) => self.on_client_leaves(submission),
            SimulationEvent::Deadline(submission) => self.on_deadline(submission),
            SimulationEvent::Overdue(submission) => self.on_overdue(submission),
            SimulationEvent::AttemptTimeout(attempt) => self.abandon_attempt(attempt, Outcome::Timeout),
            SimulationEvent::Timer { dispatcher, incarnation, token } => {
                if self.dispatchers[dispatcher as usize].incarnation == incarnation {
                    self.deliver(dispatcher, Event::Timer(token));
                }
            }
            SimulationEvent::ConnectionReady(attempt) => self.on_connection_ready(attempt),
            SimulationEvent::ReachWorker(attempt) => self.on_reach_worker(attempt),
            SimulationEvent::WakeWorker { worker: worker_index, schedule } => {
                if self.wake_schedules[worker_index as usize] == schedule {
                    let mut events = std::mem::take(&mut self.job_events);
                    self.workers[worker_index as usize].wake(self.now, &mut events);
                    self.process_job_events(worker_index, events);
                }
            }
            SimulationEvent::JobEventArrives(attempt, job_event) => self.on_job_event(attempt, job_event),
            SimulationEvent::ConnectFailed(attempt) => self.end_attempt(attempt, Outcome::ConnectFailed),
            SimulationEvent::Fault(fault) => self.inject_fault(self.day.faults[fault as usize].1),
            SimulationEvent::PublishList(publication) => {
                for dispatcher in 0..self.dispatchers.len() {
                    let arrives_at = self.now + self.day.dispatchers[dispatcher].list_delay;
                    let dispatcher = dispatcher as u32;
                    self.schedule(arrives_at, SimulationEvent::ListArrives { dispatcher, publication });
                }
            }
            SimulationEvent::ListArrives { dispatcher, publication } => {
                self.on_list_arrives(dispatcher, publication)
            }
            SimulationEvent::WorkerEnds { worker: worker_index, process } => {
                if self.ended_processes[worker_index as usize] == process {
                    self.kill_worker(worker_index);
                    self.publish(
                        self.endpoint_in_state(worker_index, WorkerState::Removed),
                        self.day.discovery.drain_notice,
                    );
                }
            }
            SimulationEvent::WorkerStarts(worker_index) => self.on_worker_starts(worker_index),
            SimulationEvent::DispatcherStarts(dispatcher) => self.start_dispatcher(dispatcher),
        }
    }
}

impl OracleView for Simulation<'_> {
    fn predict_completion(&self, worker: WorkerId, request_id: RequestId) -> Option<Seconds> {
        let worker_index = *self.worker_indices.get(&worker)?;
        let job = &self.day.jobs[self.submissions[(request_id.0 - 1) as usize].job as usize];
        self.workers[worker_index as usize].predict_completion(self.now, job.slots, job.work)
    }

    fn time_to_objective(&self, request_id: RequestId) -> Seconds {
        let job = self.submissions[(request_id.0 - 1) as usize].job as usize;
        let due_at =
            self.day.jobs[job].arrival + crate::metrics::latency_objective(self.experiment, self.day, job);
        (due_at as f64 - self.now as f64) / 1e6
    }
}
