//! The drive over sockets: the same day and the same worker model in real time, against the real program.
//!
//! Each dispatcher of the day is a child process; workers, discovery and clients are tasks here, on loopback and free
//! ports. Every worker listens once for each dispatcher, so that the stand-ins know who sent what without asking.

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

use crate::checker::{Checker, Limits};
use crate::day::{micros, seconds, stream, Day, Micros, Mishap, DAWN};
use crate::metrics::{End, Ran, Record};
use crate::spec::{Arm, Experiment};
use crate::worker::{progress, Note, Phase, Worker};

/// What is not over this long after the last client came is not waited for.
const TAIL: Duration = Duration::from_secs(12);
/// The day begins this long after all dispatchers are ready.
const SETTLE: Duration = Duration::from_millis(500);
/// Dispatchers are ready within this, or the run fails.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// A line of the worker list, as discovery tells it.
#[derive(Clone, Debug)]
struct Line {
    revision: u64,
    phase: &'static str,
    since: Option<Micros>,
}

/// The list as the agent beside one dispatcher has it.
#[derive(Debug, Default)]
struct Agent {
    revision: u64,
    lines: BTreeMap<usize, Line>,
    changed: Rc<Notify>,
}

/// An attempt as its worker sees it.
#[derive(Debug)]
struct Attempt {
    notes: mpsc::UnboundedSender<Note>,
    request: u64,
    job: u32,
    send: usize,
    run: Option<u32>,
}

/// What all stand-ins share.
struct Shared {
    experiment: Experiment,
    day: Day,
    start: Instant,
    /// Unix time at dawn.
    unix: Micros,
    workers: Vec<Worker>,
    /// Counted up when a process ends.
    processes: Vec<u32>,
    ended: Vec<Rc<Notify>>,
    due: Vec<Rc<Notify>>,
    /// Where each worker listens, by dispatcher.
    ports: Vec<Vec<u16>>,
    connections: Vec<u32>,
    agents: Vec<Agent>,
    /// The life of each dispatcher, and whether it runs.
    lives: Vec<(u32, bool)>,
    listen: Vec<u16>,
    attempts: Vec<Attempt>,
    /// The job of each try, by the number in its id.
    tries: Vec<u32>,
    checker: Checker,
    record: Record,
    rng: Pcg64Mcg,
    notes: Vec<Note>,
}

type World = Rc<RefCell<Shared>>;

impl Shared {
    fn now(&self) -> Micros {
        DAWN + self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(DAWN))).into()
    }

    fn life(&self, host: usize) -> u32 {
        self.lives[host].0 * self.lives.len() as u32 + host as u32
    }

    /// One way between a dispatcher and a worker, beyond what loopback takes.
    fn way(&self, host: usize, worker: usize) -> Duration {
        let net = &self.day.network;
        let near = self.day.dispatchers[host].zone == self.workers[worker].plan.zone;
        Duration::from_micros(micros(if near { net.same_zone } else { net.cross_zone }))
    }

    /// Passes on what a worker said, and wakes its driver.
    fn said(&mut self, w: usize) {
        let now = self.now();
        let mut notes = std::mem::take(&mut self.notes);
        for note in notes.drain(..) {
            let n = match note {
                Note::Started(n)
                | Note::Running(n, _)
                | Note::Done(n)
                | Note::Failed(n)
                | Note::Returned(n)
                | Note::Lost(n) => n,
            };
            let attempt = &mut self.attempts[n];
            match note {
                Note::Started(_) => {
                    attempt.run = Some(self.record.ran.len() as u32);
                    let ran = Ran { job: attempt.job, worker: w as u32, from: now, to: Micros::MAX };
                    self.record.ran.push(ran);
                }
                Note::Done(_) | Note::Failed(_) | Note::Lost(_) => {
                    if let Some(run) = attempt.run.take() {
                        self.record.ran[run as usize].to = now;
                    }
                }
                Note::Running(..) | Note::Returned(_) => {}
            }
            // A connection that is closed needs no word.
            let _ = attempt.notes.send(note);
        }
        self.notes = notes;
        self.due[w].notify_one();
    }

    fn with_worker(&mut self, w: usize, change: impl FnOnce(&mut Worker, Micros, &mut Vec<Note>)) {
        let (now, mut notes) = (self.now(), std::mem::take(&mut self.notes));
        change(&mut self.workers[w], now, &mut notes);
        self.notes = notes;
        self.said(w);
    }

    /// A process ends: what it has is lost, and its connections break.
    fn kill_worker(&mut self, w: usize) {
        self.processes[w] += 1;
        self.record.workers[w].3 = self.now();
        self.with_worker(w, |worker, now, notes| worker.end(now, notes));
        self.ended[w].notify_waiters();
    }

    fn enlist(&mut self, worker: Worker) -> usize {
        let w = self.workers.len();
        let warm_from = worker.since.map_or(0, |since| since + micros(worker.plan.warm));
        self.record.workers.push((worker.plan.speed, worker.plan.slots, warm_from, Micros::MAX));
        self.workers.push(worker);
        self.processes.push(0);
        self.ended.push(Rc::default());
        self.due.push(Rc::default());
        self.ports.push(Vec::new());
        self.connections.push(0);
        w
    }
}

/// A change of the list goes out with the others of its period, to each dispatcher by its own delay.
fn publish(world: &World, w: usize, phase: &'static str, after: Micros) {
    let shared = world.borrow();
    let period = shared.day.discovery.period.max(1);
    let at = (shared.now() + after).div_ceil(period) * period;
    let since = shared.workers[w].since;
    for host in 0..shared.agents.len() {
        let due = shared.instant(at + shared.day.dispatchers[host].spread);
        let world = world.clone();
        spawn_local(async move {
            tokio::time::sleep_until(due).await;
            let agent = &mut world.borrow_mut().agents[host];
            agent.revision += 1;
            let revision = agent.revision;
            agent.lines.insert(w, Line { revision, phase, since });
            agent.changed.notify_waiters();
        });
    }
}

/// Plays a day against the program at a path.
///
/// # Errors
/// The program does not start, or a socket cannot be opened.
pub fn play(experiment: &Experiment, arm: &Arm, day: &Day, program: &Path) -> io::Result<Record> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(experiment.clone(), arm.clone(), day.clone(), program))
}

async fn run(experiment: Experiment, arm: Arm, day: Day, program: &Path) -> io::Result<Record> {
    let rules = &experiment.rules;
    let limits = Limits { drain_grace: micros(rules.drain_grace), answer_slack: micros(rules.answer_slack) };
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let (jobs, hosts) = (day.jobs.len(), day.dispatchers.len());
    let mut shared = Shared {
        start: Instant::now(),
        unix: unix.as_micros() as Micros,
        workers: Vec::new(),
        processes: Vec::new(),
        ended: Vec::new(),
        due: Vec::new(),
        ports: Vec::new(),
        connections: Vec::new(),
        agents: (0..hosts).map(|_| Agent::default()).collect(),
        lives: vec![(0, false); hosts],
        listen: Vec::new(),
        attempts: Vec::new(),
        tries: Vec::new(),
        checker: Checker::new(limits),
        record: Record {
            ends: vec![None; jobs],
            admitted: vec![false; jobs],
            sent: vec![None; jobs],
            ..Record::default()
        },
        rng: stream(day.seed, 5),
        notes: Vec::new(),
        experiment,
        day,
    };
    for plan in shared.day.workers.clone() {
        shared.enlist(Worker::new(plan, None, DAWN, progress()));
    }
    for agent in &mut shared.agents {
        agent.revision = 1;
        let line = Line { revision: 1, phase: "in_service", since: None };
        agent.lines = (0..shared.workers.len()).map(|w| (w, line.clone())).collect();
    }
    let world: World = Rc::new(RefCell::new(shared));
    let workers = world.borrow().workers.len();
    for w in 0..workers {
        worker::serve(&world, w).await?;
    }
    let mut programs = Vec::new();
    for host in 0..hosts {
        programs.push(program::Program::prepare(&world, &arm, host, program).await?);
    }
    for program in &mut programs {
        program.start(&world)?;
    }
    for program in &programs {
        program.ready(&world, READY_WITHIN).await?;
    }
    tokio::time::sleep(SETTLE).await;
    {
        // The day's clock starts now; dispatchers reckon in Unix time.
        let mut shared = world.borrow_mut();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (shared.start, shared.unix) = (Instant::now(), unix.as_micros() as Micros);
        for w in 0..workers {
            let plan = shared.workers[w].plan.clone();
            shared.workers[w] = Worker::new(plan, None, DAWN, progress());
        }
    }
    let clients = spawn_local(client::play(world.clone()));
    let mishaps = world.borrow().day.mishaps.clone();
    let mut returns = tokio::task::JoinSet::new();
    let end = world.borrow().instant(world.borrow().day.end);
    for (at, mishap) in mishaps {
        let due = world.borrow().instant(at);
        tokio::time::sleep_until(due).await;
        match mishap {
            Mishap::Restart(host, lasts) => {
                programs[host].kill(&world);
                // It is started again below, in the order of time.
                returns.spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(lasts)).await;
                    host
                });
            }
            other => mishap_at(&world, other),
        }
        while let Some(Ok(host)) = returns.try_join_next() {
            programs[host].start(&world)?;
        }
    }
    while let Some(back) = returns.join_next().await {
        if let Ok(host) = back {
            programs[host].start(&world)?;
        }
    }
    tokio::time::sleep_until(end).await;
    let _ = tokio::time::timeout(TAIL, clients).await;
    for program in &mut programs {
        program.kill(&world);
    }
    drop(programs);
    let mut shared = world.borrow_mut();
    let checker = std::mem::replace(&mut shared.checker, Checker::new(limits));
    let mut record = std::mem::take(&mut shared.record);
    record.rules = checker.finish();
    record.tries = shared.tries.len() as u64;
    for (w, worker) in shared.workers.iter().enumerate() {
        if worker.phase == Phase::Serving {
            record.workers[w].3 = Micros::MAX;
        }
    }
    Ok(record)
}

fn mishap_at(world: &World, mishap: Mishap) {
    match mishap {
        Mishap::Hang(w, hung) => {
            world.borrow_mut().with_worker(w, |worker, now, notes| worker.hang(hung, now, notes));
        }
        Mishap::Neighbour(w, part) => {
            world.borrow_mut().with_worker(w, |worker, now, _| worker.take_away(part, now));
        }
        Mishap::Replace(w, lasts) => {
            if world.borrow().workers[w].phase != Phase::Serving {
                return;
            }
            let notice = world.borrow().day.discovery.notice;
            let next = {
                let mut shared = world.borrow_mut();
                shared.record.workers[w].3 = shared.now();
                shared.with_worker(w, |worker, now, notes| worker.drain(now, notes));
                let plan = shared.workers[w].plan.clone();
                let since = shared.now() + lasts;
                let mut successor = Worker::new(plan, Some(since), since, progress());
                successor.phase = Phase::Ended;
                shared.enlist(successor)
            };
            publish(world, w, "terminating", notice);
            let world = world.clone();
            spawn_local(async move {
                tokio::time::sleep(Duration::from_micros(lasts)).await;
                world.borrow_mut().kill_worker(w);
                publish(&world, w, "terminated", notice);
                start_worker(&world, next).await;
            });
        }
        Mishap::Crash(w, lasts) => {
            world.borrow_mut().kill_worker(w);
            let world = world.clone();
            spawn_local(async move {
                tokio::time::sleep(Duration::from_micros(lasts)).await;
                start_worker(&world, w).await;
            });
        }
        Mishap::Restart(..) => {}
    }
}

async fn start_worker(world: &World, w: usize) {
    {
        let mut shared = world.borrow_mut();
        let now = shared.now();
        let plan = shared.workers[w].plan.clone();
        let warm = micros(plan.warm);
        shared.workers[w] = Worker::new(plan, Some(now), now, progress());
        (shared.record.workers[w].2, shared.record.workers[w].3) = (now + warm, Micros::MAX);
    }
    if worker::serve(world, w).await.is_ok() {
        let add = world.borrow().day.discovery.add;
        publish(world, w, "in_service", add);
    }
}

impl Shared {
    /// A client's job is over.
    fn conclude(&mut self, job: u32, end: End) {
        self.record.ends[job as usize] = Some(end);
    }

    fn unix_ms(&self, at: Micros) -> u64 {
        (self.unix + at.saturating_sub(DAWN)) / 1000
    }

    fn patience(&self, job: u32) -> Micros {
        let class = self.day.jobs[job as usize].class as usize;
        micros(self.experiment.traffic.classes[class].patience)
    }

    fn seconds_left(&self, until: Micros) -> f64 {
        seconds(until.saturating_sub(self.now()))
    }
}
