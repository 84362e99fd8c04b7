//! Dispatchers that watch workers for each other, with faults between them: real coordinators and dispatchers, emulated
//! workers that record who probed them, clients that account for every job, and a proxy on every link from a
//! dispatcher to a worker.
//!
//! The rules, checked by the records of emulated parties, coordinators and members alone:
//!
//! 1. no worker is probed more often than once a period, over all dispatchers;
//! 2. no worker goes unprobed for longer than stated, while somebody can reach it;
//! 3. nothing is held against a worker that was well all the time;
//! 4. a worker that fails for long is known as such everywhere;
//! 5. every job of the clients gets one whole answer, within its time;
//! 6. the rules of leases, as in the mode `fleet`;
//! 7. a worker that drains gets no new job later than the grace after its drain was told;
//! 8. no cold worker is pushed over, by all dispatchers together;
//! 9. a job that may run once only reaches no second worker, and is not refused after it reached one.

mod evaluation;
mod faults;
mod table;
#[cfg(test)]
mod tests;
mod traffic;

use crate::cluster::error::ClusterError;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use cluster_member::clock;
use dispatch_core::api::Idempotency;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use self::evaluation::evaluate;
use self::faults::{inject_faults, Targets};
pub use self::table::table;
use self::traffic::{run_clients, serve_worker};
use super::cluster_harness::{read_records, run_in_folder, Binaries, ClusterHarness, ClusterSpec};
use super::emulated_discovery::EmulatedDiscovery;
use super::fault_proxy::{run_proxy, FaultyNetwork, SharedNetwork};
use super::worker_model::{WorkerModel, INITIAL_CAPACITY, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, WARM_UP};

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
/// How long a emulated worker runs a job.
const RUN_TIME: Duration = Duration::from_millis(100);
/// The sets that the workers are partitioned into.
const WORKER_SETS: usize = 6;
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
    /// Coordinators, three or five.
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
    /// A bug to put in.
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
    /// The coordinators' leader is killed and started again.
    KillLeader,
    /// A dispatcher reaches no coordinator, and is not reached by them.
    #[serde(rename = "cut-keepers")]
    PartitionFromCoordinators,
    /// A dispatcher reaches the coordinators and hears nothing of them.
    #[serde(rename = "hears-no-keeper")]
    HearsNoCoordinator,
    /// A dispatcher and the others do not reach each other; the coordinators they do.
    #[serde(rename = "cut-members")]
    PartitionFromMembers,
    /// Every link between members and coordinators is 50 ms slower each way, and one connection in twenty is reset.
    #[serde(rename = "slow-net")]
    SlowNetwork,
    /// The coordinators' leader is stopped, and goes on later with what it had in mind.
    #[serde(rename = "stop-leader")]
    PauseLeader,
    /// A coordinator and the others do not reach each other; members reach all of them.
    #[serde(rename = "cut-keeper")]
    PartitionCoordinator,
    /// All coordinators are killed at once and come back.
    #[serde(rename = "kill-all-keepers")]
    KillAllCoordinators,
    /// A worker drains, ends, and comes back cold.
    #[serde(rename = "drain")]
    DrainWorker,
    /// All dispatchers and coordinators are started anew, one after another.
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
    /// Probes at workers.
    pub probes: u64,
    /// Probes per second.
    pub probes_per_s: f64,
    /// The smallest time between two probes of a worker that was listed and reachable, in ms.
    #[serde(rename = "closest_ms")]
    pub min_probe_gap_ms: f64,
    /// The largest time between two probes of such a worker, in ms.
    #[serde(rename = "longest_ms")]
    pub max_probe_gap_ms: f64,
    /// From a worker's first silence to its being held against it at each dispatcher, in ms, sorted.
    #[serde(rename = "known_after_ms")]
    pub detected_after_ms: Vec<f64>,
    /// Jobs submitted.
    pub jobs: u64,
    /// Answers by status: 0 none at all, 1 from a dispatcher that was killed or stopped meanwhile.
    pub answers: BTreeMap<u16, u64>,
    /// Jobs that came to workers in slow start.
    pub jobs_at_cold: u64,
    /// The most work in one overload window, as a part of what the worker can take.
    #[serde(rename = "fullest")]
    pub peak_cold_load: f64,
    /// Jobs that were sent to workers while these hung.
    pub jobs_at_hung: u64,
    /// Terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
}

/// What emulated parties and clients recorded.
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
pub fn play(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<ScheduleResult, ClusterError> {
    run_in_folder(dir, run_schedule(dir, binaries.clone(), plan))
}

async fn run_schedule(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<ScheduleResult, ClusterError> {
    let observations = SharedObservations::default();
    {
        let mut observations = observations.borrow_mut();
        observations.probes = vec![Vec::new(); plan.workers];
        observations.jobs = vec![Vec::new(); plan.workers];
        observations.hung = vec![false; plan.workers];
        let worker = |n: usize| WorkerModel::new((SLOTS, RUN_TIME), false, plan.seed ^ n as u64);
        observations.workers = (0..plan.workers).map(worker).collect();
    }
    let (discoveries, nets) = start_workers(&observations, plan).await?;
    let block = format!(
        "list = false\ncold {{\nslots = {SLOTS}\n}}\nwatch {{\nevery_ms = {}\nsets = {WORKER_SETS}\n{}}}\n",
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
    let mut cluster = ClusterHarness::start(dir, binaries, settings(plan), setup).await?;
    cluster.wait_for_workers(plan.workers).await?;
    if plan.share_health_checks {
        // A set that moves while one of its workers hangs makes that known a takeover later.
        cluster.wait_for_balanced_sets(WORKER_SETS).await?;
    }
    let start = Instant::now();
    let end = start + plan.length;
    // Members and clients settle before anything counts.
    let begun = clock::now() + 5_000_000;
    for (dispatcher, address) in cluster.listen.iter().enumerate() {
        spawn_local(run_clients(observations.clone(), dispatcher, *address, plan.rate, end));
    }
    sleep(Duration::from_secs(5)).await;
    let targets = Targets {
        cluster: &mut cluster,
        worker_links: &nets,
        discoveries: &discoveries,
        observations: &observations,
        plan,
    };
    let done = inject_faults(targets, end).await?;
    sleep_until(end).await;
    let until = clock::now();
    sleep(DEADLINE + ANSWER_SLACK + Duration::from_millis(200)).await;
    // Ended in good order, so that nothing is cut in the middle of a record.
    drop(cluster);
    let records = read_records(dir, plan.coordinators, plan.dispatchers)?;
    let observations = observations.borrow();
    Ok(evaluate(plan, &observations, &records, &done, (begun, until)))
}

/// Starts the workers, each behind a proxy for every dispatcher, and a discovery for each dispatcher that names them.
async fn start_workers(
    observations: &SharedObservations,
    plan: &Plan,
) -> Result<(Vec<EmulatedDiscovery>, Vec<SharedNetwork>), ClusterError> {
    let (mut discoveries, mut networks) = (Vec::new(), Vec::new());
    for dispatcher in 0..plan.dispatchers {
        let discovery = EmulatedDiscovery::new(0);
        let network = FaultyNetwork::new(BTreeMap::new(), plan.seed);
        for worker in 0..plan.workers {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io("a listener"))?;
            let target = listener.local_addr().map_err(ClusterError::io("a listener"))?;
            spawn_local(serve_worker(observations.clone(), worker, dispatcher, listener));
            let proxy = TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io("a listener"))?;
            discovery.add_in(
                ZONES[worker % ZONES.len()],
                worker,
                proxy.local_addr().map_err(ClusterError::io("a listener"))?,
            );
            spawn_local(run_proxy(network.clone(), proxy, worker, target));
        }
        discoveries.push(discovery);
        networks.push(network);
    }
    Ok((discoveries, networks))
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
