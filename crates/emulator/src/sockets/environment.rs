//! Shared state of the emulated parties of a run over sockets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use rand_pcg::Pcg64Mcg;
use tokio::sync::{mpsc, Notify};

use super::discovery::EndpointPhase;
use crate::checker::{RuleChecker, RuleLimits};
use crate::day::{micros, random_stream, seconds, Day, Micros, DAY_START};
use crate::metrics::{JobOutcome, JobRun, RunRecord};
use crate::spec::Experiment;
use crate::worker::{progress_interval, JobEvent, Phase, Worker};

/// Entry of the endpoint list of discovery.
#[derive(Clone, Debug)]
pub(super) struct ListEntry {
    pub(super) revision: u64,
    pub(super) phase: EndpointPhase,
    pub(super) started_at: Option<Micros>,
}

/// Endpoint list of the discovery agent of one dispatcher.
#[derive(Debug, Default)]
pub(super) struct DiscoveryAgent {
    pub(super) revision: u64,
    pub(super) entries: BTreeMap<usize, ListEntry>,
    pub(super) changed: Rc<Notify>,
}

/// Attempt as the worker that received it observes it.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Sends the events of the worker to the task of the connection.
    pub(super) events: mpsc::UnboundedSender<JobEvent>,
    pub(super) request: u64,
    pub(super) job: u32,
    /// Number of the attempt in the rule checker.
    pub(super) checker_attempt: usize,
    /// Index of the run in the record, while the job runs.
    pub(super) run: Option<u32>,
}

/// Current process of a dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DispatcherIncarnation {
    /// Number of processes of this dispatcher that were killed before.
    pub(super) number: u32,
    pub(super) running: bool,
}

impl DispatcherIncarnation {
    /// Returns whether the dispatcher still runs as the incarnation of this number.
    pub(super) fn runs_as(self, number: u32) -> bool {
        self.running && self.number == number
    }
}

/// State that the tasks of workers, clients, discovery agents and faults share.
pub(super) struct Environment {
    pub(super) experiment: Experiment,
    pub(super) day: Day,
    /// Instant at which the day starts.
    pub(super) start: Instant,
    /// Unix time at the start of the day, in microseconds.
    pub(super) unix_start: Micros,
    pub(super) workers: Vec<Worker>,
    /// Number of processes of each worker that have ended.
    pub(super) ended_processes: Vec<u32>,
    /// Notified when the process of the worker ends.
    pub(super) process_ended: Vec<Rc<Notify>>,
    /// Notified when the time of the worker's next event changes.
    pub(super) wake: Vec<Rc<Notify>>,
    /// Ports of each worker, by dispatcher.
    pub(super) ports: Vec<Vec<u16>>,
    /// Number of open connections of each worker.
    pub(super) connections: Vec<u32>,
    /// Discovery agent of each dispatcher.
    pub(super) agents: Vec<DiscoveryAgent>,
    /// Incarnation of each dispatcher.
    pub(super) incarnations: Vec<DispatcherIncarnation>,
    /// Port on which each dispatcher serves clients.
    pub(super) listen_ports: Vec<u16>,
    pub(super) attempts: Vec<Attempt>,
    /// Job of each submission; the submission with request id `n` is at `n - 1`.
    pub(super) submissions: Vec<u32>,
    pub(super) limits: RuleLimits,
    pub(super) checker: RuleChecker,
    pub(super) record: RunRecord,
    pub(super) rng: Pcg64Mcg,
    /// Reused buffer of [`Environment::with_worker`].
    pub(super) job_events: Vec<JobEvent>,
}

pub(super) type SharedEnvironment = Rc<RefCell<Environment>>;

impl Environment {
    /// Returns the current time on the clock of the day, which starts at [`DAY_START`].
    pub(super) fn now(&self) -> Micros {
        DAY_START + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time on the clock of the day to an instant of the runtime's clock.
    pub(super) fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(DAY_START))).into()
    }

    /// Returns a number of the dispatcher's incarnation that is unique among all dispatchers.
    pub(super) fn incarnation_id(&self, dispatcher: usize) -> u32 {
        self.incarnations[dispatcher].number * self.incarnations.len() as u32 + dispatcher as u32
    }

    /// Returns the emulated one-way delay between a dispatcher and a worker. The delay of loopback comes on top.
    pub(super) fn network_delay(&self, dispatcher: usize, worker: usize) -> Duration {
        let network = &self.day.network;
        let same_zone = self.day.dispatchers[dispatcher].zone == self.workers[worker].plan.zone;
        Duration::from_micros(micros(if same_zone { network.same_zone } else { network.cross_zone }))
    }

    /// Forwards the events of a worker to its connections, and wakes its task.
    fn process_job_events(&mut self, worker_index: usize) {
        let now = self.now();
        let mut events = std::mem::take(&mut self.job_events);
        for event in events.drain(..) {
            self.record_run(worker_index, now, event);
            // The receiver is gone if the connection was closed.
            let _ = self.attempts[event.attempt()].events.send(event);
        }
        self.job_events = events;
        self.wake[worker_index].notify_one();
    }

    /// Records the start or the end of a run that an event reports.
    fn record_run(&mut self, worker_index: usize, now: Micros, event: JobEvent) {
        let attempt = &mut self.attempts[event.attempt()];
        match event {
            JobEvent::Started(_) => {
                attempt.run = Some(self.record.runs.len() as u32);
                self.record.runs.push(JobRun {
                    job: attempt.job,
                    worker: worker_index as u32,
                    started_at: now,
                    ended_at: Micros::MAX,
                });
            }
            JobEvent::Done(_) | JobEvent::Failed(_) | JobEvent::Lost(_) => {
                if let Some(run) = attempt.run.take() {
                    self.record.runs[run as usize].ended_at = now;
                }
            }
            JobEvent::Progress { .. } | JobEvent::Rejected(_) => {}
        }
    }

    /// Applies a change to the model of a worker, and processes the job events that result.
    pub(super) fn with_worker(
        &mut self,
        worker_index: usize,
        change: impl FnOnce(&mut Worker, Micros, &mut Vec<JobEvent>),
    ) {
        let now = self.now();
        let mut events = std::mem::take(&mut self.job_events);
        change(&mut self.workers[worker_index], now, &mut events);
        self.job_events = events;
        self.process_job_events(worker_index);
    }

    /// Ends the process of a worker: its jobs are lost and its connections close.
    pub(super) fn kill_worker(&mut self, worker_index: usize) {
        self.ended_processes[worker_index] += 1;
        self.record.workers[worker_index].3 = self.now();
        self.with_worker(worker_index, Worker::end);
        self.process_ended[worker_index].notify_waiters();
    }

    /// Adds a worker, and returns its index.
    pub(super) fn add_worker(&mut self, worker: Worker) -> usize {
        let worker_index = self.workers.len();
        let warm_from = worker.started_at.map_or(0, |started_at| started_at + micros(worker.plan.warm_up));
        self.record.workers.push((worker.plan.speed, worker.plan.slots, warm_from, Micros::MAX));
        self.workers.push(worker);
        self.ended_processes.push(0);
        self.process_ended.push(Rc::default());
        self.wake.push(Rc::default());
        self.ports.push(Vec::new());
        self.connections.push(0);
        worker_index
    }
}

/// Returns the Unix time in microseconds.
fn unix_now() -> Micros {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    unix.as_micros() as Micros
}

impl Environment {
    /// Creates the state before any dispatcher runs: all workers serve, and all agents have the complete endpoint list.
    pub(super) fn new(experiment: Experiment, day: Day) -> Environment {
        let jobs = day.jobs.len();
        let dispatchers = day.dispatchers.len();
        let rules = &experiment.rules;
        let limits =
            RuleLimits { drain_grace: micros(rules.drain_grace), response_slack: micros(rules.answer_slack) };
        let mut environment = Environment {
            start: Instant::now(),
            unix_start: unix_now(),
            workers: Vec::new(),
            ended_processes: Vec::new(),
            process_ended: Vec::new(),
            wake: Vec::new(),
            ports: Vec::new(),
            connections: Vec::new(),
            agents: (0..dispatchers).map(|_| DiscoveryAgent::default()).collect(),
            incarnations: vec![DispatcherIncarnation::default(); dispatchers],
            listen_ports: Vec::new(),
            attempts: Vec::new(),
            submissions: Vec::new(),
            limits,
            checker: RuleChecker::new(limits),
            record: RunRecord {
                outcomes: vec![None; jobs],
                admitted: vec![false; jobs],
                first_sent: vec![None; jobs],
                ..RunRecord::default()
            },
            rng: random_stream(day.seed, 5),
            job_events: Vec::new(),
            experiment,
            day,
        };
        environment.add_workers();
        environment
    }

    /// Adds the workers of the day, and enters them in the endpoint lists of all agents.
    fn add_workers(&mut self) {
        for plan in self.day.workers.clone() {
            self.add_worker(Worker::new(plan, None, DAY_START, progress_interval()));
        }
        for agent in &mut self.agents {
            agent.revision = 1;
            let entry = ListEntry { revision: 1, phase: EndpointPhase::InService, started_at: None };
            agent.entries = (0..self.workers.len()).map(|worker| (worker, entry.clone())).collect();
        }
    }

    /// Sets the start of the day to now. Creates the workers anew, because their model must not have seen earlier
    /// times.
    pub(super) fn start_clock(&mut self) {
        self.start = Instant::now();
        self.unix_start = unix_now();
        for worker in &mut self.workers {
            *worker = Worker::new(worker.plan.clone(), None, DAY_START, progress_interval());
        }
    }

    /// Returns the record of the day with the violations, and leaves an empty record.
    pub(super) fn take_record(&mut self) -> RunRecord {
        let checker = std::mem::replace(&mut self.checker, RuleChecker::new(self.limits));
        let mut record = std::mem::take(&mut self.record);
        record.violations = checker.finish();
        record.submissions = self.submissions.len() as u64;
        for (worker_index, worker) in self.workers.iter().enumerate() {
            if worker.phase == Phase::Serving {
                record.workers[worker_index].3 = Micros::MAX;
            }
        }
        record
    }

    /// Records the final outcome of a job for its client.
    pub(super) fn record_outcome(&mut self, job: u32, outcome: JobOutcome) {
        self.record.outcomes[job as usize] = Some(outcome);
    }

    /// Converts a time on the clock of the day to Unix time in milliseconds.
    pub(super) fn unix_ms(&self, at: Micros) -> u64 {
        (self.unix_start + at.saturating_sub(DAY_START)) / 1000
    }

    /// Returns the request timeout of a job's class.
    pub(super) fn timeout(&self, job: u32) -> Micros {
        let class = self.day.jobs[job as usize].class as usize;
        micros(self.experiment.traffic.classes[class].timeout)
    }

    /// Returns the seconds from now until a time on the clock of the day; 0 if it has passed.
    pub(super) fn seconds_left(&self, until: Micros) -> f64 {
        seconds(until.saturating_sub(self.now()))
    }
}
