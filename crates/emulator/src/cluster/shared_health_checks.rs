//! Dispatchers that watch workers for each other, with faults between them: real keepers and dispatchers, stand-in
//! workers that record who probed them, clients that account for every job, and a proxy on every link from a
//! dispatcher to a worker.
//!
//! The rules, checked by the records of stand-ins, keepers and members alone:
//!
//! 1. no worker is probed more often than once a period, over all dispatchers;
//! 2. no worker goes unprobed for longer than stated, while somebody can reach it;
//! 3. nothing is held against a worker that was well all the time;
//! 4. a worker that fails for long is known as such everywhere;
//! 5. every job of the clients gets one whole answer, within its time;
//! 6. the rules of ownership, as in the drive `fleet`;
//! 7. a worker that drains gets no new job later than the grace after its drain was told;
//! 8. no cold worker is pushed over, by all dispatchers together;
//! 9. a job that may run once only reaches no second worker, and is not refused after it reached one.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use cluster_member::clock;
use dispatch_core::api::Idempotency;
use dispatch_core::hashing::worker_id;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use serde::Serialize;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

use super::cluster_harness::{read_records, run_in_folder, Binaries, ClusterHarness, ClusterSpec};
use super::dispatch_latency::submit_job;
use super::emulated_discovery::EmulatedDiscovery;
use super::fault_injection::{ClusterFault, LinkFaultKind};
use super::fault_proxy::{run_proxy, FaultyNetwork, SharedNetwork};
use super::record_checker::{self, Records};
use super::worker_model::{WorkerModel, INITIAL_CAPACITY, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, WARM_UP};
use crate::checker::{RuleChecker, RuleLimits};
use crate::sockets::http::{self, chunk, CHUNKED, LAST_CHUNK};

/// The rules, in the order of the module's text.
pub const RULES: [&str; 9] = [
    "no worker is probed more often than once a period",
    "no worker goes unprobed for too long",
    "nothing is held against a worker that is well",
    "a worker that fails is known everywhere",
    "every job gets one whole answer in time",
    "ownership",
    "a worker that drains gets no new job",
    "no cold worker is pushed over",
    "what may run once is not sent twice",
];

const ZONES: [&str; 3] = ["north", "south", "west"];
/// The clients' patience, and by how much an answer may be later.
const DEADLINE: Duration = Duration::from_secs(3);
const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// How long a stand-in worker runs a job.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Slots of each worker.
const SLOTS: usize = 4;
/// New work at a worker that drains ends this long after the drain was told.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The classes of jobs, in turn: one that may run as often as it likes, and one that may run once only.
const CLASSES: [(&str, Idempotency); 2] =
    [("lookup", Idempotency::Idempotent), ("book", Idempotency::NotIdempotent)];
/// An arrival is recorded by a busy process: two of them may seem to be closer by this, in microseconds.
const ARRIVAL_JITTER: u64 = 100_000;

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Keepers, three or five.
    pub coordinators: usize,
    /// Dispatchers, in three zones in turn.
    pub dispatchers: usize,
    /// Workers, in three zones in turn.
    pub workers: usize,
    /// How long.
    pub length: Duration,
    /// How often a fault begins.
    pub fault_interval: Duration,
    /// Only SIGKILL of dispatchers, one after another, or all kinds.
    pub only_kills: bool,
    /// How often a worker is probed.
    pub probe_period: Duration,
    /// The longest that a worker may go unprobed.
    pub max_unprobed: Duration,
    /// Jobs a second at each dispatcher.
    pub rate: f64,
    /// Whether workers are watched; without, the same faults for comparison.
    pub share_health_checks: bool,
    /// A flaw to put in.
    pub injected_bug: Option<String>,
    /// Draws the faults.
    pub seed: u64,
    /// Instead of drawing them: these, each with the dispatcher or worker and the zone. Named cases have them.
    pub script: &'static [(Fault, usize, usize)],
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            coordinators: 3,
            dispatchers: 4,
            workers: 20,
            length: Duration::from_secs(30),
            fault_interval: Duration::from_secs(5),
            only_kills: false,
            probe_period: Duration::from_secs(1),
            max_unprobed: Duration::from_secs(5),
            rate: 40.0,
            share_health_checks: true,
            injected_bug: None,
            seed: 1,
            script: &[],
        }
    }
}

/// What was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// SIGKILL to a dispatcher, started again later.
    #[serde(rename = "kill")]
    KillDispatcher,
    /// SIGSTOP to a dispatcher, SIGCONT later.
    #[serde(rename = "stop")]
    PauseDispatcher,
    /// SIGTERM to a dispatcher, started again later.
    #[serde(rename = "end")]
    TerminateDispatcher,
    /// A dispatcher reaches no worker of one zone.
    #[serde(rename = "cut-zone")]
    PartitionZone,
    /// A worker takes connections and says nothing.
    #[serde(rename = "hang")]
    HangWorker,
    /// The keepers' leader is killed and started again.
    KillLeader,
    /// A dispatcher reaches no keeper, and is not reached by them.
    #[serde(rename = "cut-keepers")]
    PartitionFromCoordinators,
    /// A dispatcher reaches the keepers and hears nothing of them.
    #[serde(rename = "hears-no-keeper")]
    HearsNoCoordinator,
    /// A dispatcher and the others do not reach each other; the keepers they do.
    #[serde(rename = "cut-members")]
    PartitionFromMembers,
    /// Every link between members and keepers is 50 ms slower each way, and one connection in twenty is reset.
    #[serde(rename = "slow-net")]
    SlowNetwork,
    /// The keepers' leader is stopped, and goes on later with what it had in mind.
    #[serde(rename = "stop-leader")]
    PauseLeader,
    /// A keeper and the others do not reach each other; members reach all of them.
    #[serde(rename = "cut-keeper")]
    PartitionCoordinator,
    /// All keepers are killed at once and come back.
    #[serde(rename = "kill-all-keepers")]
    KillAllCoordinators,
    /// A worker drains, ends, and comes back cold.
    #[serde(rename = "drain")]
    DrainWorker,
    /// All dispatchers and keepers are started anew, one after another.
    #[serde(rename = "roll")]
    RollingRestart,
}

/// One fault as it was done, by the clock of the records.
#[derive(Debug, Clone, Serialize)]
pub struct InjectedFault {
    fault: Fault,
    /// The dispatcher or the worker.
    target: usize,
    /// The zone that was cut off.
    zone: usize,
    began_at: u64,
    ended_at: u64,
}

/// What a schedule gave.
#[derive(Debug, Default, Serialize)]
pub struct ScheduleResult {
    /// Violations by rule.
    pub rules: BTreeMap<String, Vec<String>>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Probes at workers, and a second.
    pub probes: u64,
    /// See [`Watched::probes`].
    pub probes_per_s: f64,
    /// The smallest and the largest time between two probes of a worker that was listed and reachable, in ms.
    #[serde(rename = "closest_ms")]
    pub min_probe_gap_ms: f64,
    /// See [`Watched::closest_ms`].
    #[serde(rename = "longest_ms")]
    pub max_probe_gap_ms: f64,
    /// From a worker's first silence to its being held against it at each dispatcher, in ms, sorted.
    #[serde(rename = "known_after_ms")]
    pub detected_after_ms: Vec<f64>,
    /// Jobs handed in, and answers by status: 0 none at all, 1 from a dispatcher that was killed or stopped meanwhile.
    pub jobs: u64,
    /// See [`Watched::jobs`].
    pub answers: BTreeMap<u16, u64>,
    /// Jobs that came to cold workers, and the most in a span as a part of what was borne.
    pub jobs_at_cold: u64,
    /// See [`Watched::jobs_at_cold`].
    #[serde(rename = "fullest")]
    pub peak_cold_load: f64,
    /// Jobs that were sent to workers while these hung.
    pub jobs_at_hung: u64,
    /// Terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
}

/// What stand-ins and clients recorded.
#[derive(Debug, Default)]
struct Observations {
    /// By worker: when a probe came, and of which dispatcher.
    probes: Vec<Vec<(u64, usize)>>,
    /// By worker: when a job came, of which dispatcher, and which.
    jobs: Vec<Vec<(u64, usize, u64)>>,
    /// By job: at which dispatcher, from when to when, the status, and which.
    answers: Vec<(usize, u64, u64, u16, u64)>,
    hung: Vec<bool>,
    /// The worker as it runs now; those before it are in `earlier`.
    workers: Vec<Rc<WorkerModel>>,
    replaced_workers: Vec<Rc<WorkerModel>>,
}

type SharedObservations = Rc<RefCell<Observations>>;

/// Plays one schedule below this folder.
///
/// # Errors
/// Something could not be set up.
pub fn play(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<ScheduleResult, String> {
    run_in_folder(dir, run_schedule(dir, binaries.clone(), plan))
}

async fn run_schedule(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<ScheduleResult, String> {
    let io = |error: std::io::Error| error.to_string();
    let notes = SharedObservations::default();
    {
        let mut notes = notes.borrow_mut();
        notes.probes = vec![Vec::new(); plan.workers];
        notes.jobs = vec![Vec::new(); plan.workers];
        notes.hung = vec![false; plan.workers];
        let worker = |n: usize| WorkerModel::new((SLOTS, RUN_TIME), false, plan.seed ^ n as u64);
        notes.workers = (0..plan.workers).map(worker).collect();
    }
    // A discovery for each dispatcher that names the same workers, each behind a proxy of that dispatcher's own.
    let mut discoveries = Vec::new();
    let mut nets: Vec<SharedNetwork> = Vec::new();
    for dispatcher in 0..plan.dispatchers {
        let (discovery, net) = (EmulatedDiscovery::new(0), FaultyNetwork::new(BTreeMap::new(), plan.seed));
        for worker in 0..plan.workers {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io)?;
            let target = listener.local_addr().map_err(io)?;
            spawn_local(serve_worker(notes.clone(), worker, dispatcher, listener));
            let door = TcpListener::bind("127.0.0.1:0").await.map_err(io)?;
            discovery.add_in(ZONES[worker % ZONES.len()], worker, door.local_addr().map_err(io)?);
            spawn_local(run_proxy(net.clone(), door, worker, target));
        }
        discoveries.push(discovery);
        nets.push(net);
    }
    let block = format!(
        "list = false\ncold {{\nslots = {SLOTS}\n}}\nwatch {{\nevery_ms = {}\nsets = 6\n{}}}\n",
        plan.probe_period.as_millis(),
        plan.injected_bug.as_ref().map_or(String::new(), |flaw| format!("flaw = \"{flaw}\"\n"))
    );
    let block = if plan.share_health_checks { block } else { "list = false\n".to_owned() };
    let setup = ClusterSpec {
        coordinators: plan.coordinators,
        dispatchers: plan.dispatchers,
        cluster_settings: Some(&block),
        discoveries: &discoveries,
        proxy_seed: Some(plan.seed),
    };
    let mut fleet = ClusterHarness::start(dir, binaries, settings(plan), setup).await?;
    fleet.wait_for_workers(plan.workers).await?;
    let start = Instant::now();
    let end = start + plan.length;
    // Members settle, and sets are evened out, before anything counts.
    let begun = clock::now() + 5_000_000;
    for (dispatcher, address) in fleet.listen.iter().enumerate() {
        spawn_local(run_clients(notes.clone(), dispatcher, *address, plan.rate, end));
    }
    sleep(Duration::from_secs(5)).await;
    let targets = Targets {
        cluster: &mut fleet,
        worker_links: &nets,
        discoveries: &discoveries,
        observations: &notes,
        plan,
    };
    let done = inject_faults(targets, end).await?;
    sleep_until(end).await;
    let until = clock::now();
    sleep(DEADLINE + ANSWER_SLACK + Duration::from_millis(200)).await;
    // Ended in good order, so that nothing is cut in the middle of a record.
    drop(fleet);
    let records = read_records(dir, plan.coordinators, plan.dispatchers)?;
    let notes = notes.borrow();
    Ok(evaluate(plan, &notes, &records, &done, (begun, until)))
}

fn settings(plan: &Plan) -> serde_json::Value {
    json!({
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "azs": ZONES, "flavors": ["small"], "balancers": plan.dispatchers, "slot-no": 0, "zone": 0,
            "discovery": "push", "resolution-s": 0.001,
            "profiles": CLASSES.map(|(name, repeat)| json!({
                "name": name, "promise-s": 0.5, "deadline-s": DEADLINE.as_secs_f64(), "late-worth": 0.2,
                "idempotency": if repeat == Idempotency::Idempotent { "free" } else { "single_shot" },
            })),
            "projects": [{"name": "web", "share": 1.0, "quota-per-s": plan.rate * plan.dispatchers as f64}],
            "caps": {"cancel": true, "dial-timeout-s": 0.25, "keepalive-s": 5.0, "max-retry-after-s": 2.0,
                     "parallel-tries": true, "probes": false, "retry-after": true, "send-cap": 4},
            "family-info": {"tells-start": true, "class-stretch": [2.0, 2.0], "class-kind": [-1, -1]},
            "obligations": {"cold-share": INITIAL_CAPACITY, "drain-grace-s": DRAIN_GRACE.as_secs_f64(),
                            "fall-multiple": OVERLOAD_MULTIPLE, "tip-after-s": OVERLOAD_WINDOW.as_secs_f64(),
                            "warm-within-s": WARM_UP.as_secs_f64()},
            "charges": {"cross-zone": 0.025}
        }
    })
}

/// The faults that are drawn; one that stands here twice is drawn twice as often.
const DRAWN_FAULTS: [Fault; 16] = [
    Fault::KillDispatcher,
    Fault::PauseDispatcher,
    Fault::TerminateDispatcher,
    Fault::PartitionZone,
    Fault::HangWorker,
    Fault::KillLeader,
    Fault::PartitionFromCoordinators,
    Fault::HearsNoCoordinator,
    Fault::PartitionFromMembers,
    Fault::SlowNetwork,
    Fault::PauseLeader,
    Fault::PartitionCoordinator,
    Fault::KillAllCoordinators,
    Fault::DrainWorker,
    Fault::DrainWorker,
    Fault::RollingRestart,
];
/// No fault begins later than this before the end, so that its recovery takes effect.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// A worker that drained stays away for this long before it is back, cold.
const WORKER_RESTART: Duration = Duration::from_millis(500);
/// Pause between two restarts of [`Fault::RollingRestart`].
const ROLL_PAUSE: Duration = Duration::from_millis(150);

/// What faults are injected into.
struct Targets<'a> {
    cluster: &'a mut ClusterHarness,
    /// The links to workers, by dispatcher.
    worker_links: &'a [SharedNetwork],
    discoveries: &'a [EmulatedDiscovery],
    observations: &'a SharedObservations,
    plan: &'a Plan,
}

/// A fault of a schedule, before it is injected.
#[derive(Clone, Copy)]
struct DrawnFault {
    fault: Fault,
    /// The dispatcher or the worker.
    target: usize,
    zone: usize,
    duration: Duration,
}

/// Draws faults until shortly before the end and injects them, one at a time.
async fn inject_faults(mut targets: Targets<'_>, end: Instant) -> Result<Vec<InjectedFault>, String> {
    let plan = targets.plan;
    let mut random = Pcg64::seed_from_u64(plan.seed);
    let mut injected = Vec::new();
    while Instant::now() + plan.fault_interval.max(RECOVERY_TIME) < end {
        let next = Instant::now() + plan.fault_interval;
        let Some(drawn) = draw_fault(&targets, injected.len(), &mut random) else { break };
        injected.push(targets.inject(drawn).await?);
        sleep_until(next).await;
    }
    Ok(injected)
}

/// Draws the next fault, or takes it from the script; none where the script is over.
fn draw_fault(targets: &Targets<'_>, number: usize, random: &mut Pcg64) -> Option<DrawnFault> {
    let plan = targets.plan;
    let fault = if plan.only_kills {
        Fault::KillDispatcher
    } else {
        DRAWN_FAULTS[random.random_range(0..DRAWN_FAULTS.len())]
    };
    let zone = random.random_range(0..ZONES.len());
    let (fault, target, zone) = match plan.script {
        [] => (fault, draw_target(targets, fault, random), zone),
        script => *script.get(number)?,
    };
    let longest = plan.fault_interval.as_secs_f64() * 0.9;
    Some(DrawnFault { fault, target, zone, duration: fault.sample_duration(longest, random) })
}

fn draw_target(targets: &Targets<'_>, fault: Fault, random: &mut Pcg64) -> usize {
    match fault {
        // One that is in use: dispatchers keep to few workers while these suffice.
        Fault::HangWorker | Fault::DrainWorker => {
            let any = random.random_range(0..targets.plan.workers);
            busiest_worker(&targets.observations.borrow(), any)
        }
        _ => random.random_range(0..targets.plan.dispatchers),
    }
}

impl Fault {
    /// How long it lasts; `longest` in seconds.
    fn sample_duration(self, longest: f64, random: &mut Pcg64) -> Duration {
        Duration::from_secs_f64(match self {
            Fault::KillDispatcher | Fault::TerminateDispatcher => random.random_range(0.1..longest.min(4.0)),
            Fault::HangWorker
            | Fault::PartitionZone
            | Fault::SlowNetwork
            | Fault::PartitionFromCoordinators
            | Fault::HearsNoCoordinator
            | Fault::PartitionFromMembers => longest,
            Fault::PauseDispatcher | Fault::PauseLeader | Fault::PartitionCoordinator => {
                random.random_range(0.2..longest)
            }
            Fault::KillLeader => 1.0,
            Fault::KillAllCoordinators => random.random_range(0.1..1.0),
            Fault::DrainWorker => random.random_range(1.0..longest.min(2.0)),
            // The time that the restarts take.
            Fault::RollingRestart => 0.0,
        })
    }

    /// The fault at a dispatcher, where the cluster harness knows how to inject it.
    fn at(self, dispatcher: usize, coordinators: usize) -> Option<ClusterFault> {
        Some(match self {
            Fault::KillDispatcher => ClusterFault::KillDispatcher(dispatcher),
            Fault::PauseDispatcher => ClusterFault::PauseDispatcher(dispatcher),
            Fault::TerminateDispatcher => ClusterFault::TerminateDispatcher(dispatcher),
            Fault::KillLeader => ClusterFault::KillLeader,
            Fault::PauseLeader => ClusterFault::PauseLeader,
            Fault::KillAllCoordinators => ClusterFault::KillAllCoordinators,
            Fault::PartitionFromCoordinators => {
                ClusterFault::Links(LinkFaultKind::PartitionFromCoordinators(dispatcher))
            }
            Fault::HearsNoCoordinator => ClusterFault::Links(LinkFaultKind::HearsNoCoordinator(dispatcher)),
            Fault::PartitionFromMembers => {
                ClusterFault::Links(LinkFaultKind::PartitionFromMembers(dispatcher))
            }
            Fault::PartitionCoordinator => {
                ClusterFault::Links(LinkFaultKind::PartitionCoordinator(1 + dispatcher % coordinators))
            }
            Fault::SlowNetwork => ClusterFault::Links(LinkFaultKind::SlowNetwork),
            Fault::PartitionZone | Fault::HangWorker | Fault::DrainWorker | Fault::RollingRestart => {
                return None;
            }
        })
    }
}

impl Targets<'_> {
    async fn inject(&mut self, drawn: DrawnFault) -> Result<InjectedFault, String> {
        let DrawnFault { fault, target, zone, duration } = drawn;
        let began_at = clock::now();
        let mut affected = target;
        match fault.at(target, self.plan.coordinators) {
            Some(cluster_fault) => {
                let active = cluster_fault.begin(self.cluster)?;
                affected = active.leader().unwrap_or(target);
                sleep(duration).await;
                active.end(self.cluster)?;
            }
            None => self.inject_other(drawn).await?,
        }
        Ok(InjectedFault { fault, target: affected, zone, began_at, ended_at: clock::now() })
    }

    /// Injects a fault of workers or of links to them, or restarts everything in turn.
    async fn inject_other(&mut self, drawn: DrawnFault) -> Result<(), String> {
        let DrawnFault { fault, target, zone, duration } = drawn;
        match fault {
            Fault::PartitionZone => {
                set_zone_partition(&self.worker_links[target], self.plan.workers, zone, true);
                sleep(duration).await;
                set_zone_partition(&self.worker_links[target], self.plan.workers, zone, false);
            }
            Fault::HangWorker => {
                self.observations.borrow_mut().hung[target] = true;
                sleep(duration).await;
                self.observations.borrow_mut().hung[target] = false;
            }
            Fault::DrainWorker => self.drain_worker(target, duration).await,
            _ => {
                self.restart_all().await?;
                sleep(duration).await;
            }
        }
        Ok(())
    }

    async fn drain_worker(&self, worker: usize, duration: Duration) {
        self.set_phase(worker, "terminating");
        sleep(duration).await;
        self.set_phase(worker, "terminated");
        sleep(WORKER_RESTART).await;
        {
            let mut observations = self.observations.borrow_mut();
            let cold = WorkerModel::new((SLOTS, RUN_TIME), true, self.plan.seed ^ clock::now());
            let old = std::mem::replace(&mut observations.workers[worker], cold);
            observations.replaced_workers.push(old);
        }
        self.set_phase(worker, "in_service");
    }

    fn set_phase(&self, worker: usize, phase: &str) {
        self.discoveries.iter().for_each(|discovery| discovery.set_phase(worker, phase));
    }

    /// Restarts all dispatchers and coordinators, one pair after another.
    async fn restart_all(&mut self) -> Result<(), String> {
        for dispatcher in 0..self.plan.dispatchers {
            self.cluster.signal_dispatcher(dispatcher, Signal::TERM)?;
            sleep(ROLL_PAUSE).await;
            self.cluster.kill_dispatcher(dispatcher);
            self.cluster.start_dispatcher(dispatcher)?;
            let coordinator = 1 + dispatcher;
            if coordinator <= self.plan.coordinators {
                self.cluster.kill_coordinator(coordinator);
                self.cluster.start_coordinator(coordinator)?;
            }
            sleep(ROLL_PAUSE).await;
        }
        Ok(())
    }
}

/// The worker that got the most jobs in the last two seconds, or this one where none got any.
fn busiest_worker(notes: &Observations, else_this: usize) -> usize {
    let since = clock::now().saturating_sub(2_000_000);
    let lately = |at: &Vec<(u64, usize, u64)>| at.iter().rev().take_while(|at| at.0 > since).count();
    let most = notes.jobs.iter().map(lately).enumerate().map(|(worker, jobs)| (jobs, worker)).max();
    most.filter(|(jobs, _)| *jobs > 0).map_or(else_this, |(_, worker)| worker)
}

fn set_zone_partition(net: &SharedNetwork, workers: usize, zone: usize, cut: bool) {
    for worker in (0..workers).filter(|worker| worker % ZONES.len() == zone) {
        net.borrow_mut().update_link(worker, worker, |trouble| trouble.partitioned = cut);
    }
}

/// A stand-in worker's door for one dispatcher.
async fn serve_worker(notes: SharedObservations, worker: usize, dispatcher: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let notes = notes.clone();
        spawn_local(async move {
            // A connection that breaks is the other side's matter.
            let _ = serve(&notes, worker, dispatcher, stream).await;
        });
    }
}

async fn serve(
    notes: &SharedObservations,
    worker: usize,
    dispatcher: usize,
    mut stream: TcpStream,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    while let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? {
        let _ = http::body(&mut stream, &mut buffer, &head).await?;
        let now = clock::now();
        let probe = head.path.contains("/healthz");
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let runs = {
            let mut notes = notes.borrow_mut();
            match probe {
                true => notes.probes[worker].push((now, dispatcher)),
                false => notes.jobs[worker].push((now, dispatcher, id.parse().unwrap_or(0))),
            }
            notes.workers[worker].clone()
        };
        // One that was pushed over closes what comes.
        if !probe && !runs.accept_job(Instant::now()) {
            return Ok(());
        }
        // One that hangs takes what comes and says nothing until the other side gives up.
        while notes.borrow().hung[worker] {
            sleep(Duration::from_millis(20)).await;
        }
        if probe {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        let line = |state: &str| json!({"id": id, "state": state, "result": "ok"}).to_string();
        let Some(_slot) = runs.slot().await else { return Ok(()) };
        stream.write_all(&[CHUNKED, chunk(&line("started")).as_slice()].concat()).await?;
        sleep(runs.sample_run_time(Instant::now())).await;
        stream.write_all(&[chunk(&line("done")).as_slice(), LAST_CHUNK].concat()).await?;
    }
    Ok(())
}

/// Hands jobs to a dispatcher, each on a connection of its own, and notes what comes of them.
async fn run_clients(
    notes: SharedObservations,
    dispatcher: usize,
    address: SocketAddr,
    rate: f64,
    end: Instant,
) {
    let mut beats = interval(Duration::from_secs_f64(1.0 / rate));
    beats.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut count = 0u64;
    while Instant::now() < end {
        beats.tick().await;
        count += 1;
        let (notes, id) = (notes.clone(), (dispatcher as u64) << 32 | count);
        spawn_local(async move {
            let from = clock::now();
            let answer =
                timeout(DEADLINE + 10 * ANSWER_SLACK, submit_job(&mut None, address, (class_of(id), id)))
                    .await;
            let status = answer.ok().and_then(Result::ok).unwrap_or(0);
            notes.borrow_mut().answers.push((dispatcher, from, clock::now(), status, id));
        });
    }
}

/// The class of a job.
fn class_of(id: u64) -> &'static str {
    CLASSES[id as usize % CLASSES.len()].0
}

fn overlaps(done: &InjectedFault, from: u64, until: u64) -> bool {
    done.began_at <= until && from <= done.ended_at
}

fn evaluate(
    plan: &Plan,
    notes: &Observations,
    records: &Records,
    done: &[InjectedFault],
    (begun, until): (u64, u64),
) -> ScheduleResult {
    let mut played = ScheduleResult::default();
    let mut found: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let micros = |time: Duration| time.as_micros() as u64;
    for fault in done {
        let name = serde_json::to_value(fault.fault).ok();
        let name = name.as_ref().and_then(|name| name.as_str()).unwrap_or_default().to_owned();
        *played.faults.entry(name).or_default() += 1;
    }
    if plan.share_health_checks {
        check_probes(plan, notes, done, (begun, until), &mut played, &mut found);
        check_verdicts(plan, records, done, &mut played, &mut found);
    }
    check_drains(notes, done, &mut found);
    check_cold_workers(notes, &mut played, &mut found);
    check_idempotency(notes, &mut found);
    for (dispatcher, from, at, status, _) in &notes.answers {
        played.jobs += 1;
        // A dispatcher that was not running or stopped owes nothing; one that begins takes a moment.
        let hurt = done.iter().any(|done| {
            (matches!(
                done.fault,
                Fault::KillDispatcher | Fault::PauseDispatcher | Fault::TerminateDispatcher
            ) && done.target == *dispatcher
                || done.fault == Fault::RollingRestart)
                && overlaps(
                    &InjectedFault { ended_at: done.ended_at + 1_500_000, ..done.clone() },
                    *from,
                    *at,
                )
        });
        *played.answers.entry(if hurt && *status == 0 { 1 } else { *status }).or_default() += 1;
        let took = at - from;
        if !hurt && (*status == 0 || took > micros(DEADLINE + ANSWER_SLACK)) {
            let text = format!("d{dispatcher}: status {status} after {took} us");
            found.entry(RULES[4]).or_default().push(text);
        }
    }
    for fault in done.iter().filter(|done| done.fault == Fault::HangWorker) {
        let late =
            notes.jobs[fault.target].iter().filter(|job| (fault.began_at..fault.ended_at).contains(&job.0));
        played.jobs_at_hung += late.count() as u64;
    }
    for (rule, texts) in record_checker::check(records) {
        found.entry(RULES[5]).or_default().extend(texts.iter().map(|text| format!("{rule}: {text}")));
    }
    played.lease_terms = record_checker::lease_terms(records);
    played.rules = found.into_iter().map(|(rule, texts)| (rule.to_owned(), texts)).collect();
    played
}

/// Rules 1 and 2.
fn check_probes(
    plan: &Plan,
    notes: &Observations,
    done: &[InjectedFault],
    (begun, until): (u64, u64),
    played: &mut ScheduleResult,
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    let (period, longest) = (plan.probe_period.as_micros() as u64, plan.max_unprobed.as_micros() as u64);
    let (mut closest, mut widest) = (u64::MAX, 0);
    for (worker, at) in notes.probes.iter().enumerate() {
        played.probes += at.len() as u64;
        for pair in at.windows(2) {
            let apart = pair[1].0 - pair[0].0;
            // What waited in a cut link arrives when that is healed, and what a stopped process had written when it
            // goes on; neither was written then.
            let held = done.iter().any(|done| {
                matches!(done.fault, Fault::PartitionZone | Fault::PauseDispatcher)
                    && (pair[0].1 == done.target || pair[1].1 == done.target)
                    && overlaps(
                        &InjectedFault { ended_at: done.ended_at + period, ..done.clone() },
                        pair[0].0,
                        pair[1].0,
                    )
            });
            if held {
                continue;
            }
            closest = closest.min(apart);
            if apart + ARRIVAL_JITTER < period {
                let text = format!("worker {worker}: d{} and d{} {apart} us apart", pair[0].1, pair[1].1);
                found.entry(RULES[0]).or_default().push(text);
            }
        }
        let times: Vec<u64> = [begun]
            .into_iter()
            .chain(at.iter().map(|(at, _)| *at).filter(|at| (begun..until).contains(at)))
            .chain([until])
            .collect();
        for pair in times.windows(2) {
            // Of a zone that its watcher cannot reach nobody is asked to say anything.
            let cut = done.iter().any(|done| {
                let of_it = match done.fault {
                    Fault::PartitionZone => done.zone == worker % ZONES.len(),
                    // It is not there for a while.
                    Fault::DrainWorker => done.target == worker,
                    // Nobody can be given a duty until the keepers are back, and then sessions begin anew.
                    Fault::KillAllCoordinators | Fault::RollingRestart => true,
                    _ => false,
                };
                of_it && overlaps(done, pair[0], pair[1])
            });
            if cut {
                continue;
            }
            widest = widest.max(pair[1] - pair[0]);
            if pair[1] - pair[0] > longest {
                let text = format!("worker {worker}: unprobed for {} us", pair[1] - pair[0]);
                found.entry(RULES[1]).or_default().push(text);
            }
        }
    }
    played.probes_per_s = played.probes as f64 / ((until - begun) as f64 / 1e6 + 5.0);
    (played.min_probe_gap_ms, played.max_probe_gap_ms) = (closest as f64 / 1e3, widest as f64 / 1e3);
}

/// Rule 7.
fn check_drains(notes: &Observations, done: &[InjectedFault], found: &mut BTreeMap<&str, Vec<String>>) {
    let grace = DRAIN_GRACE.as_micros() as u64 + ARRIVAL_JITTER;
    for drain in done.iter().filter(|done| done.fault == Fault::DrainWorker) {
        let late = notes.jobs[drain.target]
            .iter()
            .filter(|job| (drain.began_at + grace..drain.ended_at).contains(&job.0));
        for (at, dispatcher, _) in late {
            // One that was stopped had not heard of it, and what waits in a cut link was written before.
            let held = done.iter().any(|done| {
                matches!(done.fault, Fault::PauseDispatcher | Fault::PartitionZone)
                    && done.target == *dispatcher
                    && overlaps(
                        &InjectedFault { ended_at: done.ended_at + grace, ..done.clone() },
                        drain.began_at,
                        *at,
                    )
            });
            if !held {
                let text = format!(
                    "worker {}: a job of d{dispatcher} {} us after",
                    drain.target,
                    at - drain.began_at
                );
                found.entry(RULES[6]).or_default().push(text);
            }
        }
    }
}

/// Rule 8.
fn check_cold_workers(
    notes: &Observations,
    played: &mut ScheduleResult,
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    for (at, worker) in notes.workers.iter().chain(&notes.replaced_workers).enumerate() {
        if worker.started_at().is_none() {
            continue;
        }
        let sent = worker.arrivals();
        played.jobs_at_cold += sent.len() as u64;
        for n in 0..sent.len() {
            played.peak_cold_load = played
                .peak_cold_load
                .max(WorkerModel::arrivals_in_window(&sent[..=n]) / worker.capacity_in_window(sent[n]));
        }
        if worker.overloads() > 0 {
            let text = format!("worker {at} fell {} times", worker.overloads());
            found.entry(RULES[7]).or_default().push(text);
        }
    }
}

/// Rule 9, by the checker that the other drives have. What a worker heard whole may have run.
fn check_idempotency(notes: &Observations, found: &mut BTreeMap<&str, Vec<String>>) {
    let jobs = notes.jobs.iter().enumerate();
    let mut events: Vec<(u64, u64, Option<usize>, u16)> = jobs
        .flat_map(|(worker, jobs)| jobs.iter().map(move |(at, _, id)| (*at, *id, Some(worker), 0)))
        .chain(notes.answers.iter().map(|(_, _, at, status, id)| (*at, *id, None, *status)))
        .collect();
    events.sort_unstable();
    let mut checker = RuleChecker::new(RuleLimits { drain_grace: u64::MAX, answer_slack: u64::MAX / 2 });
    for (_, from, _, _, id) in &notes.answers {
        let repeat = CLASSES[*id as usize % CLASSES.len()].1;
        checker.record_accepted(*id, repeat, u64::MAX / 2, *from);
    }
    for (at, id, worker, status) in events {
        match worker {
            Some(worker) => {
                checker.record_attempt(0, id, worker as u64, (0, 0), at);
            }
            None if status != 0 => checker.record_answer(id, matches!(status, 429 | 503), at),
            None => checker.waive_answer(id),
        }
    }
    let dup = checker.finish().dup;
    if dup > 0 {
        found.entry(RULES[8]).or_default().push(format!("{dup} sends or refusals"));
    }
}

/// Rules 3 and 4.
fn check_verdicts(
    plan: &Plan,
    records: &Records,
    done: &[InjectedFault],
    played: &mut ScheduleResult,
    found: &mut BTreeMap<&str, Vec<String>>,
) {
    let names: BTreeMap<u64, usize> =
        (0..plan.workers).map(|worker| (worker_id(&format!("w-{worker:04}")).0, worker)).collect();
    let hangs: Vec<&InjectedFault> = done.iter().filter(|done| done.fault == Fault::HangWorker).collect();
    let mut known: BTreeSet<(usize, &str)> = BTreeSet::new();
    for (member, lines) in &records.members {
        for line in lines.iter().filter(|line| line.kind == "against") {
            let number = |key: &str| line.fields.get(key).and_then(serde_json::Value::as_u64);
            let (Some(id), Some(holds)) = (number("worker"), number("holds")) else { continue };
            let Some(worker) = names.get(&id).copied().filter(|_| holds > 0) else { continue };
            // What it did may be told for as long as word of it holds.
            let longest = 6 * plan.probe_period.as_micros() as u64;
            let hang = hangs.iter().enumerate().find(|(_, hang)| {
                hang.target == worker && (hang.began_at..hang.ended_at + longest).contains(&line.time)
            });
            match hang {
                Some((n, hang)) => {
                    if known.insert((n, member)) {
                        played.detected_after_ms.push((line.time - hang.began_at) as f64 / 1e3);
                    }
                }
                None => {
                    let text = format!("{member} holds something against worker {worker}, which is well");
                    found.entry(RULES[2]).or_default().push(text);
                }
            }
        }
    }
    for (n, hang) in hangs.iter().enumerate() {
        // Long enough for the probes and for a takeover in between.
        if hang.ended_at - hang.began_at < 4 * plan.probe_period.as_micros() as u64 {
            continue;
        }
        let missing = (0..plan.dispatchers).map(|n| format!("d{n}")).filter(|member| {
            !known.contains(&(n, member.as_str()))
                && !done.iter().any(|done| {
                    done.fault != Fault::HangWorker
                        && overlaps(done, hang.began_at.saturating_sub(8_000_000), hang.ended_at)
                })
        });
        let missing: Vec<String> = missing.collect();
        if !missing.is_empty() {
            let text = format!("worker {} hung and {} did not hear of it", hang.target, missing.join(", "));
            found.entry(RULES[3]).or_default().push(text);
        }
    }
    played.detected_after_ms.sort_by(f64::total_cmp);
}

/// The sums over all schedules, as text.
#[must_use]
pub fn table(played: &BTreeMap<u64, ScheduleResult>) -> String {
    let mut text = String::new();
    let mut line = |words: String| text.push_str(&(words + "\n"));
    let sum = |of: fn(&ScheduleResult) -> u64| played.values().map(of).sum::<u64>();
    line(format!(
        "{} schedules, {} terms, {} probes, {:.1} a second each",
        played.len(),
        sum(|one| one.lease_terms),
        sum(|one| one.probes),
        played.values().map(|one| one.probes_per_s).sum::<f64>() / played.len().max(1) as f64
    ));
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    let mut answers: BTreeMap<u16, u64> = BTreeMap::new();
    for one in played.values() {
        one.faults.iter().for_each(|(kind, count)| *faults.entry(kind).or_default() += count);
        one.answers.iter().for_each(|(status, count)| *answers.entry(*status).or_default() += count);
    }
    line(format!("faults: {faults:?}"));
    let closest = played.values().map(|one| one.min_probe_gap_ms).fold(f64::INFINITY, f64::min);
    let longest = played.values().map(|one| one.max_probe_gap_ms).fold(0.0, f64::max);
    line(format!("between two probes of a worker: {closest:.0} to {longest:.0} ms"));
    let mut known: Vec<f64> = played.values().flat_map(|one| one.detected_after_ms.iter().copied()).collect();
    known.sort_by(f64::total_cmp);
    if let (Some(half), Some(last)) = (known.get(known.len() / 2), known.last()) {
        let count = known.len();
        line(format!("a silent worker is known after: half {half:.0} ms, longest {last:.0} ms ({count})"));
    }
    line(format!(
        "jobs {}, answers {answers:?}, sent to hung workers {}",
        sum(|one| one.jobs),
        sum(|one| one.jobs_at_hung)
    ));
    let fullest = played.values().map(|one| one.peak_cold_load).fold(0.0, f64::max);
    line(format!("jobs at cold workers {}, fullest span {fullest:.2}", sum(|one| one.jobs_at_cold)));
    for (seed, one) in played {
        for (rule, texts) in &one.rules {
            line(format!("seed {seed}: {rule}: {} times, first: {}", texts.len(), texts[0]));
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    const DRAIN: InjectedFault = InjectedFault {
        fault: Fault::DrainWorker,
        target: 0,
        zone: 0,
        began_at: 1_000_000,
        ended_at: 4_000_000,
    };

    fn notes(jobs: &[(u64, usize, u64)]) -> Observations {
        Observations { jobs: vec![jobs.to_vec()], ..Observations::default() }
    }

    #[test]
    fn a_job_at_a_worker_that_drains_is_found_unless_its_sender_was_held() {
        let found = |jobs: &[(u64, usize, u64)], others: &[InjectedFault]| {
            let (mut found, done) = (BTreeMap::new(), [&[DRAIN], others].concat());
            check_drains(&notes(jobs), &done, &mut found);
            found.contains_key(RULES[6])
        };
        assert!(!found(&[(1_590_000, 1, 1), (4_100_000, 1, 2)], &[]));
        assert!(found(&[(1_610_000, 1, 1)], &[]));
        let stop = InjectedFault {
            fault: Fault::PauseDispatcher,
            target: 1,
            zone: 0,
            began_at: 900_000,
            ended_at: 1_500_000,
        };
        assert!(!found(&[(1_610_000, 1, 1)], std::slice::from_ref(&stop)));
        assert!(found(&[(1_610_000, 2, 1)], &[stop]), "another one was stopped");
    }

    #[test]
    fn a_cold_worker_that_falls_is_found_and_a_warm_one_is_not_counted() {
        for (since, sends, broken) in [(true, 60, true), (true, 20, false), (false, 60, false)] {
            let worker = WorkerModel::new((SLOTS, RUN_TIME), since, 1);
            let now = Instant::now();
            (0..sends).for_each(|_| {
                worker.accept_job(now);
            });
            let (mut found, mut played) = (BTreeMap::new(), ScheduleResult::default());
            let notes = Observations { workers: vec![worker], ..Observations::default() };
            check_cold_workers(&notes, &mut played, &mut found);
            assert_eq!(found.contains_key(RULES[7]), broken, "{since} {sends}");
        }
    }

    #[test]
    fn a_job_that_may_run_once_at_two_workers_or_refused_after_one_is_found() {
        let found = |id: u64, sends: &[u64], status: u16| {
            let mut notes = Observations { jobs: vec![Vec::new(); 2], ..Observations::default() };
            for (worker, at) in sends.iter().enumerate() {
                notes.jobs[worker].push((*at, 0, id));
            }
            notes.answers.push((0, 1, 900, status, id));
            let mut found = BTreeMap::new();
            check_idempotency(&notes, &mut found);
            found.contains_key(RULES[8])
        };
        assert!(!found(1, &[100], 200) && !found(1, &[100], 502) && !found(1, &[], 503));
        assert!(found(1, &[100, 200], 200) && found(1, &[100], 503));
        assert!(!found(2, &[100, 200], 200), "one of the class that may run twice");
    }
}
