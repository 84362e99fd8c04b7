//! The run over sockets: the same day and the same worker model in real time, against the real program.
//!
//! Each dispatcher of the day is a child process; workers, discovery and clients are tasks here, on loopback and free
//! ports. Every worker listens once for each dispatcher, so that the emulated parties know who sent what without asking.

mod client;
mod discovery;
pub(crate) mod http;
mod program;
mod worker;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use rand_pcg::Pcg64Mcg;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, LocalSet};

use crate::checker::{RuleChecker, RuleLimits};
use crate::day::{micros, random_stream, seconds, Day, Fault, Micros, DAY_START};
use crate::metrics::{JobOutcome, JobRun, RunRecord};
use crate::spec::{Arm, Experiment};
use crate::worker::{progress_interval, JobEvent, Phase, Worker};

/// What is not over this long after the last client came is not waited for.
const MAX_TAIL: Duration = Duration::from_secs(12);
/// The day begins this long after all dispatchers are ready.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Dispatchers are ready within this, or the run fails.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A line of the worker list, as discovery tells it.
#[derive(Clone, Debug)]
struct ListEntry {
    revision: u64,
    phase: &'static str,
    started_at: Option<Micros>,
}

/// The list as the agent beside one dispatcher has it.
#[derive(Debug, Default)]
struct DiscoveryAgent {
    revision: u64,
    entries: BTreeMap<usize, ListEntry>,
    changed: Rc<Notify>,
}

/// An attempt as its worker sees it.
#[derive(Debug)]
struct Attempt {
    events: mpsc::UnboundedSender<JobEvent>,
    request: u64,
    job: u32,
    checker_send: usize,
    run: Option<u32>,
}

/// What all emulated parties share.
struct Environment {
    experiment: Experiment,
    day: Day,
    start: Instant,
    /// Unix time at dawn.
    unix_start: Micros,
    workers: Vec<Worker>,
    /// Counted up when a process ends.
    processes: Vec<u32>,
    ended: Vec<Rc<Notify>>,
    wake: Vec<Rc<Notify>>,
    /// Where each worker listens, by dispatcher.
    ports: Vec<Vec<u16>>,
    connections: Vec<u32>,
    agents: Vec<DiscoveryAgent>,
    /// The life of each dispatcher, and whether it runs.
    incarnations: Vec<(u32, bool)>,
    listen: Vec<u16>,
    attempts: Vec<Attempt>,
    /// The job of each try, by the number in its id.
    submissions: Vec<u32>,
    limits: RuleLimits,
    checker: RuleChecker,
    record: RunRecord,
    rng: Pcg64Mcg,
    job_events: Vec<JobEvent>,
}

type SharedEnvironment = Rc<RefCell<Environment>>;

impl Environment {
    fn now(&self) -> Micros {
        DAY_START + self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(DAY_START))).into()
    }

    fn incarnation_id(&self, host: usize) -> u32 {
        self.incarnations[host].0 * self.incarnations.len() as u32 + host as u32
    }

    /// One way between a dispatcher and a worker, beyond what loopback takes.
    fn network_delay(&self, host: usize, worker: usize) -> Duration {
        let net = &self.day.network;
        let near = self.day.dispatchers[host].zone == self.workers[worker].plan.zone;
        Duration::from_micros(micros(if near { net.same_zone } else { net.cross_zone }))
    }

    /// Passes on what a worker said, and wakes its driver.
    fn process_job_events(&mut self, w: usize) {
        let now = self.now();
        let mut events = std::mem::take(&mut self.job_events);
        for note in events.drain(..) {
            let attempt = &mut self.attempts[note.attempt()];
            match note {
                JobEvent::Started(_) => {
                    attempt.run = Some(self.record.runs.len() as u32);
                    let ran =
                        JobRun { job: attempt.job, worker: w as u32, started_at: now, ended_at: Micros::MAX };
                    self.record.runs.push(ran);
                }
                JobEvent::Done(_) | JobEvent::Failed(_) | JobEvent::Lost(_) => {
                    if let Some(run) = attempt.run.take() {
                        self.record.runs[run as usize].ended_at = now;
                    }
                }
                JobEvent::Progress { .. } | JobEvent::Rejected(_) => {}
            }
            // A connection that is closed needs no word.
            let _ = attempt.events.send(note);
        }
        self.job_events = events;
        self.wake[w].notify_one();
    }

    fn with_worker(&mut self, w: usize, change: impl FnOnce(&mut Worker, Micros, &mut Vec<JobEvent>)) {
        let (now, mut events) = (self.now(), std::mem::take(&mut self.job_events));
        change(&mut self.workers[w], now, &mut events);
        self.job_events = events;
        self.process_job_events(w);
    }

    /// A process ends: what it has is lost, and its connections break.
    fn kill_worker(&mut self, w: usize) {
        self.processes[w] += 1;
        self.record.workers[w].3 = self.now();
        self.with_worker(w, |worker, now, events| worker.end(now, events));
        self.ended[w].notify_waiters();
    }

    fn add_worker(&mut self, worker: Worker) -> usize {
        let w = self.workers.len();
        let warm_from = worker.started_at.map_or(0, |since| since + micros(worker.plan.warm_up));
        self.record.workers.push((worker.plan.speed, worker.plan.slots, warm_from, Micros::MAX));
        self.workers.push(worker);
        self.processes.push(0);
        self.ended.push(Rc::default());
        self.wake.push(Rc::default());
        self.ports.push(Vec::new());
        self.connections.push(0);
        w
    }
}

/// A change of the list goes out with the others of its period, to each dispatcher by its own delay.
fn publish(environment: &SharedEnvironment, w: usize, phase: &'static str, after: Micros) {
    let shared = environment.borrow();
    let period = shared.day.discovery.publish_period.max(1);
    let at = (shared.now() + after).div_ceil(period) * period;
    let since = shared.workers[w].started_at;
    for host in 0..shared.agents.len() {
        let due = shared.instant(at + shared.day.dispatchers[host].list_delay);
        let environment = environment.clone();
        spawn_local(async move {
            tokio::time::sleep_until(due).await;
            let agent = &mut environment.borrow_mut().agents[host];
            agent.revision += 1;
            let revision = agent.revision;
            agent.entries.insert(w, ListEntry { revision, phase, started_at: since });
            agent.changed.notify_waiters();
        });
    }
}

/// Plays a day against the program at a path.
///
/// # Errors
/// The program does not start, or a socket cannot be opened.
pub fn play(experiment: &Experiment, arm: &Arm, day: &Day, program: &Path) -> io::Result<RunRecord> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(experiment.clone(), arm.clone(), day.clone(), program))
}

async fn run(experiment: Experiment, arm: Arm, day: Day, program: &Path) -> io::Result<RunRecord> {
    let hosts = day.dispatchers.len();
    let environment: SharedEnvironment = Rc::new(RefCell::new(Environment::new(experiment, day)));
    let workers = environment.borrow().workers.len();
    for w in 0..workers {
        worker::serve(&environment, w).await?;
    }
    let mut programs = Vec::new();
    for host in 0..hosts {
        programs.push(program::DispatcherProcess::prepare(&environment, &arm, host, program).await?);
    }
    for program in &mut programs {
        program.start(&environment)?;
    }
    for program in &programs {
        program.wait_until_ready(&environment, READY_TIMEOUT).await?;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    environment.borrow_mut().start_clock();
    let clients = spawn_local(client::play(environment.clone()));
    let end = environment.borrow().instant(environment.borrow().day.last_arrival);
    run_faults(&environment, &mut programs).await?;
    tokio::time::sleep_until(end).await;
    let _ = tokio::time::timeout(MAX_TAIL, clients).await;
    for program in &mut programs {
        program.kill(&environment);
    }
    drop(programs);
    let record = environment.borrow_mut().take_record();
    Ok(record)
}

/// Injects the faults of the day at their times; dispatchers that were killed are started again.
async fn run_faults(
    environment: &SharedEnvironment,
    programs: &mut [program::DispatcherProcess],
) -> io::Result<()> {
    let faults = environment.borrow().day.faults.clone();
    let mut restarts = tokio::task::JoinSet::new();
    for (at, fault) in faults {
        let due = environment.borrow().instant(at);
        tokio::time::sleep_until(due).await;
        match fault {
            Fault::RestartDispatcher(host, duration) => {
                programs[host].kill(environment);
                // It is started again below, in the order of time.
                restarts.spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(duration)).await;
                    host
                });
            }
            other => inject_fault(environment, other),
        }
        while let Some(Ok(host)) = restarts.try_join_next() {
            programs[host].start(environment)?;
        }
    }
    while let Some(restart) = restarts.join_next().await {
        if let Ok(host) = restart {
            programs[host].start(environment)?;
        }
    }
    Ok(())
}

/// Unix time now, in microseconds.
fn unix_now() -> Micros {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    unix.as_micros() as Micros
}

impl Environment {
    /// All workers serve and all agents have the whole list; no dispatcher runs yet.
    fn new(experiment: Experiment, day: Day) -> Environment {
        let (jobs, hosts) = (day.jobs.len(), day.dispatchers.len());
        let rules = &experiment.rules;
        let limits =
            RuleLimits { drain_grace: micros(rules.drain_grace), answer_slack: micros(rules.answer_slack) };
        let mut environment = Environment {
            start: Instant::now(),
            unix_start: unix_now(),
            workers: Vec::new(),
            processes: Vec::new(),
            ended: Vec::new(),
            wake: Vec::new(),
            ports: Vec::new(),
            connections: Vec::new(),
            agents: (0..hosts).map(|_| DiscoveryAgent::default()).collect(),
            incarnations: vec![(0, false); hosts],
            listen: Vec::new(),
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
        for plan in environment.day.workers.clone() {
            environment.add_worker(Worker::new(plan, None, DAY_START, progress_interval()));
        }
        for agent in &mut environment.agents {
            agent.revision = 1;
            let entry = ListEntry { revision: 1, phase: "in_service", started_at: None };
            agent.entries = (0..environment.workers.len()).map(|w| (w, entry.clone())).collect();
        }
        environment
    }

    /// The day's clock starts now; dispatchers reckon in Unix time.
    fn start_clock(&mut self) {
        (self.start, self.unix_start) = (Instant::now(), unix_now());
        for worker in &mut self.workers {
            *worker = Worker::new(worker.plan.clone(), None, DAY_START, progress_interval());
        }
    }

    /// What was recorded, at the end of the day.
    fn take_record(&mut self) -> RunRecord {
        let checker = std::mem::replace(&mut self.checker, RuleChecker::new(self.limits));
        let mut record = std::mem::take(&mut self.record);
        record.violations = checker.finish();
        record.submissions = self.submissions.len() as u64;
        for (w, worker) in self.workers.iter().enumerate() {
            if worker.phase == Phase::Serving {
                record.workers[w].3 = Micros::MAX;
            }
        }
        record
    }
}

fn inject_fault(environment: &SharedEnvironment, fault: Fault) {
    match fault {
        Fault::HangWorker(w, hung) => {
            environment.borrow_mut().with_worker(w, |worker, now, events| worker.set_hung(hung, now, events));
        }
        Fault::NoisyNeighbour(w, part) => {
            environment.borrow_mut().with_worker(w, |worker, now, _| worker.set_stolen_share(part, now));
        }
        Fault::ReplaceWorker(w, duration) => {
            if environment.borrow().workers[w].phase != Phase::Serving {
                return;
            }
            let notice = environment.borrow().day.discovery.drain_notice;
            let next = {
                let mut shared = environment.borrow_mut();
                shared.record.workers[w].3 = shared.now();
                shared.with_worker(w, |worker, now, events| worker.drain(now, events));
                let plan = shared.workers[w].plan.clone();
                let since = shared.now() + duration;
                let mut successor = Worker::new(plan, Some(since), since, progress_interval());
                successor.phase = Phase::Ended;
                shared.add_worker(successor)
            };
            publish(environment, w, "terminating", notice);
            let environment = environment.clone();
            spawn_local(async move {
                tokio::time::sleep(Duration::from_micros(duration)).await;
                environment.borrow_mut().kill_worker(w);
                publish(&environment, w, "terminated", notice);
                start_worker(&environment, next).await;
            });
        }
        Fault::CrashWorker(w, duration) => {
            environment.borrow_mut().kill_worker(w);
            let environment = environment.clone();
            spawn_local(async move {
                tokio::time::sleep(Duration::from_micros(duration)).await;
                start_worker(&environment, w).await;
            });
        }
        Fault::RestartDispatcher(..) => {}
    }
}

async fn start_worker(environment: &SharedEnvironment, w: usize) {
    {
        let mut shared = environment.borrow_mut();
        let now = shared.now();
        let plan = shared.workers[w].plan.clone();
        let warm = micros(plan.warm_up);
        shared.workers[w] = Worker::new(plan, Some(now), now, progress_interval());
        (shared.record.workers[w].2, shared.record.workers[w].3) = (now + warm, Micros::MAX);
    }
    if worker::serve(environment, w).await.is_ok() {
        let add = environment.borrow().day.discovery.start_notice;
        publish(environment, w, "in_service", add);
    }
}

impl Environment {
    /// A client's job is over.
    fn record_outcome(&mut self, job: u32, end: JobOutcome) {
        self.record.outcomes[job as usize] = Some(end);
    }

    fn unix_ms(&self, at: Micros) -> u64 {
        (self.unix_start + at.saturating_sub(DAY_START)) / 1000
    }

    fn timeout(&self, job: u32) -> Micros {
        let class = self.day.jobs[job as usize].class as usize;
        micros(self.experiment.traffic.classes[class].timeout)
    }

    fn seconds_left(&self, until: Micros) -> f64 {
        seconds(until.saturating_sub(self.now()))
    }
}
