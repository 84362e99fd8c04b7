//! Dispatchers that check workers' health for each other under faults: coordinator and dispatcher processes, emulated
//! workers that record the probes and jobs that reach them, clients that record the outcome of every job, and a proxy
//! on every link from a dispatcher to a worker. [`HealthCheckRule`] lists the rules. They are checked on the records of
//! workers, clients, coordinators and members.

mod evaluation;
mod faults;
mod rule;
mod table;
#[cfg(test)]
mod tests;
mod traffic;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use cluster_member::clock;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use self::evaluation::evaluate;
use self::faults::{inject_faults, Targets};
pub use self::rule::HealthCheckRule;
pub use self::table::table;
use self::traffic::{run_clients, WorkerAddress};
use super::cluster_harness::{read_records, run_in_folder, Binaries, ClusterHarness, ClusterSpec};
use super::dispatcher_settings::{DispatcherSettings, JobClass};
use super::emulated_discovery::EmulatedDiscovery;
use super::emulated_worker::{bind_listener, serve_worker};
use super::fault_proxy::{run_proxy, FaultyNetwork, SharedNetwork};
use super::worker_model::WorkerModel;
use crate::cluster::error::ClusterError;

const ZONES: [&str; 3] = ["north", "south", "west"];
/// Timeout of the clients' jobs.
const JOB_TIMEOUT: Duration = Duration::from_secs(3);
/// Time by which a response may exceed the timeout.
const RESPONSE_SLACK: Duration = Duration::from_millis(50);
/// Time for which an emulated worker runs a job.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Sets that the workers are partitioned into.
const WORKER_SETS: usize = 6;
/// Slots of each worker.
const SLOTS: usize = 4;
/// Time after a drain is announced in which new jobs may still reach the worker.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time by which two recorded arrivals may be closer than the arrivals themselves, because a busy process records them
/// late, in microseconds.
const ARRIVAL_JITTER_US: u64 = 100_000;
/// Time at the start in which members and clients settle: no fault is injected, and probe gaps are not checked.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Classes of the clients' jobs, in turn.
const CLASSES: [JobClass; 2] = [class("lookup", true), class("book", false)];

const fn class(name: &'static str, is_idempotent: bool) -> JobClass {
    JobClass { name, is_idempotent, latency_objective: Duration::from_millis(500), timeout: JOB_TIMEOUT }
}

/// Returns the class of a job.
fn class_of(job: u64) -> &'static JobClass {
    &CLASSES[job as usize % CLASSES.len()]
}

/// Parameters of a schedule.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of coordinators, three or five.
    pub coordinators: usize,
    /// Number of dispatchers, assigned to three zones in turn.
    pub dispatchers: usize,
    /// Number of workers, assigned to three zones in turn.
    pub workers: usize,
    /// Length of the schedule.
    pub length: Duration,
    /// Time from the start of one fault to that of the next.
    pub fault_interval: Duration,
    /// Whether all faults are SIGKILL of dispatchers.
    pub only_kills: bool,
    /// Time from one probe of a worker to the next.
    pub probe_period: Duration,
    /// Longest time in which a worker may go unprobed.
    pub max_unprobed: Duration,
    /// Jobs per second at each dispatcher.
    pub rate: f64,
    /// Whether dispatchers share health checks; `false` runs the same faults without them for comparison.
    pub share_health_checks: bool,
    /// Bug to inject into the dispatchers.
    pub injected_bug: Option<String>,
    /// Seed of the faults.
    pub seed: u64,
    /// Faults to inject in this order; empty for faults drawn by the seed.
    pub script: &'static [ScriptedFault],
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

/// Kind of fault.
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
    /// A worker accepts connections and sends nothing.
    #[serde(rename = "hang")]
    HangWorker,
    /// SIGKILL to the leading coordinator, started again later.
    KillLeader,
    /// A dispatcher and the coordinators do not reach each other.
    #[serde(rename = "cut-keepers")]
    PartitionFromCoordinators,
    /// A dispatcher reaches the coordinators and receives nothing from them.
    #[serde(rename = "hears-no-keeper")]
    HearsNoCoordinator,
    /// A dispatcher and the other members do not reach each other; all reach the coordinators.
    #[serde(rename = "cut-members")]
    PartitionFromMembers,
    /// Every link between members and coordinators has 50 ms of delay each way, and one connection in twenty is reset.
    #[serde(rename = "slow-net")]
    SlowNetwork,
    /// SIGSTOP to the leading coordinator, SIGCONT later.
    #[serde(rename = "stop-leader")]
    PauseLeader,
    /// A coordinator and the others do not reach each other; members reach all of them.
    #[serde(rename = "cut-keeper")]
    PartitionCoordinator,
    /// SIGKILL to all coordinators at once, started again later.
    #[serde(rename = "kill-all-keepers")]
    KillAllCoordinators,
    /// A worker drains, ends, and starts again in slow start.
    #[serde(rename = "drain")]
    DrainWorker,
    /// All dispatchers and coordinators are restarted, one after another.
    #[serde(rename = "roll")]
    RollingRestart,
}

/// A fault of a fixed script.
#[derive(Debug, Clone, Copy)]
pub struct ScriptedFault {
    /// Kind of fault.
    pub fault: Fault,
    /// Number of the dispatcher or the worker, by the kind of fault.
    pub target: usize,
    /// Zone of [`Fault::PartitionZone`]; unused by other faults.
    pub zone: usize,
}

/// A fault as it was injected. Times are by the records' clock, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct InjectedFault {
    fault: Fault,
    /// Number of the dispatcher or the worker, by the kind of fault.
    target: usize,
    /// Zone of [`Fault::PartitionZone`]; unused by other faults.
    zone: usize,
    began_at: u64,
    ended_at: u64,
}

/// Result of a schedule.
#[derive(Debug, Default, Serialize)]
pub struct ScheduleResult {
    /// Violations by rule.
    pub rules: BTreeMap<String, Vec<String>>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Probes that reached workers.
    pub probes: u64,
    /// Probes per second.
    pub probes_per_s: f64,
    /// Shortest time between two probes of a worker, in milliseconds; without pairs that a fault may have delayed.
    #[serde(rename = "closest_ms")]
    pub min_probe_gap_ms: f64,
    /// Longest time between two probes of a worker that was listed and reachable, in milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_probe_gap_ms: f64,
    /// Times from the start of a hang to the unhealthy verdict at each dispatcher, in milliseconds, ascending.
    #[serde(rename = "known_after_ms")]
    pub detected_after_ms: Vec<f64>,
    /// Number of jobs submitted.
    pub jobs: u64,
    /// Number of jobs by the status of their response: 0 if there was none, 1 if there was none because the dispatcher
    /// did not run.
    #[serde(rename = "answers")]
    pub responses: BTreeMap<u16, u64>,
    /// Jobs that reached workers in slow start.
    pub jobs_at_cold: u64,
    /// Highest load of a worker in slow start in one overload window, as a share of what it tolerates.
    #[serde(rename = "fullest")]
    pub peak_cold_load: f64,
    /// Jobs that reached workers while these hung.
    pub jobs_at_hung: u64,
    /// Lease terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
}

/// Arrival of a probe at a worker. Times are by the records' clock, in microseconds.
#[derive(Debug, Clone, Copy)]
struct ProbeArrival {
    time: u64,
    dispatcher: usize,
}

/// Arrival of a job at a worker.
#[derive(Debug, Clone, Copy)]
struct JobArrival {
    time: u64,
    dispatcher: usize,
    job: u64,
}

/// Outcome of a job at its client.
#[derive(Debug, Clone, Copy)]
struct JobOutcome {
    job: u64,
    dispatcher: usize,
    submitted_at: u64,
    /// Time at which the client had the response, or stopped waiting for it.
    answered_at: u64,
    /// Status of the response; 0 if there was none.
    status: u16,
}

/// What the emulated workers and clients recorded, and the state of the workers.
#[derive(Debug, Default)]
struct Observations {
    /// By worker: the probes that reached it.
    probes: Vec<Vec<ProbeArrival>>,
    /// By worker: the jobs that reached it.
    jobs: Vec<Vec<JobArrival>>,
    outcomes: Vec<JobOutcome>,
    /// By worker: whether it hangs now.
    is_hung: Vec<bool>,
    /// By worker: its current process.
    workers: Vec<Rc<WorkerModel>>,
    /// Earlier processes of workers.
    replaced_workers: Vec<Rc<WorkerModel>>,
}

impl Observations {
    fn new(plan: &Plan) -> Observations {
        let worker = |number: usize| WorkerModel::new(SLOTS, RUN_TIME, false, plan.seed ^ number as u64);
        Observations {
            probes: vec![Vec::new(); plan.workers],
            jobs: vec![Vec::new(); plan.workers],
            is_hung: vec![false; plan.workers],
            workers: (0..plan.workers).map(worker).collect(),
            ..Observations::default()
        }
    }
}

type SharedObservations = Rc<RefCell<Observations>>;

/// Runs one schedule in a folder.
///
/// # Errors
/// Returns a [`ClusterError`] if the harness fails; violations of rules are part of the result.
pub fn run(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<ScheduleResult, ClusterError> {
    run_in_folder(dir, run_schedule(dir, binaries.clone(), plan))
}

async fn run_schedule(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<ScheduleResult, ClusterError> {
    let observations: SharedObservations = Rc::new(RefCell::new(Observations::new(plan)));
    let links = start_workers(&observations, plan).await?;
    let cluster_settings = cluster_settings(plan);
    let settings = DispatcherSettings {
        dispatchers: plan.dispatchers,
        zones: &ZONES,
        classes: &CLASSES,
        quota_per_s: plan.rate * plan.dispatchers as f64,
        ..DispatcherSettings::default()
    };
    let setup = ClusterSpec {
        coordinators: plan.coordinators,
        dispatchers: plan.dispatchers,
        cluster_settings: Some(&cluster_settings),
        discoveries: &links.discoveries,
        proxy_seed: Some(plan.seed),
    };
    let mut cluster = ClusterHarness::start(dir, binaries, settings.to_json(), setup).await?;
    cluster.wait_for_workers(plan.workers).await?;
    if plan.share_health_checks {
        // Faults begin only after the sets have been moved to their lease holders, because a hang of a worker whose set
        // is being moved would be detected late, by the new lease holder.
        cluster.wait_for_balanced_sets(WORKER_SETS).await?;
    }
    let end = Instant::now() + plan.length;
    let counted_from = clock::now() + SETTLING_TIME.as_micros() as u64;
    for (dispatcher, address) in cluster.listen.iter().enumerate() {
        spawn_local(run_clients(observations.clone(), dispatcher, *address, plan.rate, end));
    }
    sleep(SETTLING_TIME).await;
    let targets = Targets { cluster: &mut cluster, links: &links, observations: &observations, plan };
    let faults = inject_faults(targets, end).await?;
    sleep_until(end).await;
    let span = CountedSpan { from: counted_from, until: clock::now() };
    sleep(JOB_TIMEOUT + RESPONSE_SLACK + Duration::from_millis(200)).await;
    // The processes end before their records are read, so that no record is incomplete.
    drop(cluster);
    let records = read_records(dir, plan.coordinators, plan.dispatchers)?;
    let observations = observations.borrow();
    Ok(evaluate(plan, &observations, &records, &faults, span))
}

/// Returns the text to add to the block `fleet` of the dispatchers' settings.
fn cluster_settings(plan: &Plan) -> String {
    if !plan.share_health_checks {
        return "list = false\n".to_owned();
    }
    let injected_bug = plan.injected_bug.as_ref().map_or(String::new(), |bug| format!("flaw = \"{bug}\"\n"));
    format!(
        "list = false\ncold {{\nslots = {SLOTS}\n}}\nwatch {{\nevery_ms = {}\nsets = {WORKER_SETS}\n{injected_bug}}}\n",
        plan.probe_period.as_millis(),
    )
}

/// Time span in which probe gaps are checked, by the records' clock, in microseconds.
#[derive(Debug, Clone, Copy)]
struct CountedSpan {
    from: u64,
    until: u64,
}

/// Paths from the dispatchers to the emulated workers.
struct WorkerLinks {
    /// By dispatcher: its discovery.
    discoveries: Vec<EmulatedDiscovery>,
    /// By dispatcher: its links to the workers.
    networks: Vec<SharedNetwork>,
}

/// Starts the workers, each behind one proxy per dispatcher, and for each dispatcher a discovery that lists its
/// proxies.
async fn start_workers(observations: &SharedObservations, plan: &Plan) -> Result<WorkerLinks, ClusterError> {
    let mut links = WorkerLinks { discoveries: Vec::new(), networks: Vec::new() };
    for dispatcher in 0..plan.dispatchers {
        let discovery = EmulatedDiscovery::new(0);
        let network = FaultyNetwork::new(BTreeMap::new(), plan.seed);
        for worker in 0..plan.workers {
            let worker_listener = bind_listener("worker listener").await?;
            let endpoint = WorkerAddress { observations: observations.clone(), worker, dispatcher };
            spawn_local(serve_worker(Rc::new(endpoint), worker_listener.listener));
            let proxy = bind_listener("proxy listener").await?;
            discovery.add_in(ZONES[worker % ZONES.len()], worker, proxy.address);
            spawn_local(run_proxy(network.clone(), proxy.listener, worker, worker_listener.address));
        }
        links.discoveries.push(discovery);
        links.networks.push(network);
    }
    Ok(links)
}
