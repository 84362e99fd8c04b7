//! All parties of a day, and the queue of events between them.

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

/// What is not over this long after the last client came is not waited for.
const MAX_TAIL: Micros = 120_000_000;

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
            RuleLimits { drain_grace: micros(rules.drain_grace), response_slack: micros(rules.answer_slack) };
        let jobs = day.jobs.len();
        let noise = day.work_noise.iter().map(|cv| LogNormal::new(-cv * cv / 2.0, *cv).ok()).collect();
        let mut simulation = Simulation {
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
        simulation.add_actors();
        simulation.schedule_day();
        simulation
    }

    /// Adds the workers and starts the dispatchers, which all know the whole list.
    fn add_actors(&mut self) {
        for plan in &self.day.workers {
            self.add_worker(Worker::new(plan.clone(), None, DAY_START, progress_interval()));
        }
        let endpoints: Vec<Endpoint> =
            (0..self.workers.len()).map(|worker| self.list_entry(worker as u32)).collect();
        for plan in &self.day.dispatchers {
            self.dispatchers.push(DispatcherHost {
                router: None,
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

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.order += 1;
        self.queue.push(Reverse(QueuedEvent { at, order: self.order, event }));
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Submit(n) => self.on_submit(n),
            SimulationEvent::ClientLeaves(n) => self.on_client_leaves(n),
            SimulationEvent::Deadline(n) => self.on_deadline(n),
            SimulationEvent::Overdue(n) => self.on_overdue(n),
            SimulationEvent::AttemptDeadline(n) => self.abandon_attempt(n, Outcome::Timeout),
            SimulationEvent::Timer(host, incarnation, token) => {
                if self.dispatchers[host as usize].incarnation == incarnation {
                    self.deliver(host, Event::Timer(token));
                }
            }
            SimulationEvent::ConnectionReady(n) => self.on_connection_ready(n),
            SimulationEvent::ReachWorker(n) => self.on_reach_worker(n),
            SimulationEvent::WakeWorker(w, turn) => {
                if self.wake_turns[w as usize] == turn {
                    let mut events = std::mem::take(&mut self.job_events);
                    self.workers[w as usize].wake(self.now, &mut events);
                    self.process_job_events(w, events);
                }
            }
            SimulationEvent::JobEventArrives(n, job_event) => self.on_job_event(n, job_event),
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
