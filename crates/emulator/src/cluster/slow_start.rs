//! Replaces most workers by workers in slow start while many dispatchers have little traffic each. Measures the load of
//! the new workers by their own records, and checks whether the dispatchers together overload any of them. One such run
//! is called a day.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::client::{submit_job, ClientJob};
use super::cluster_harness::{read_records, run_in_folder, Binaries, ClusterHarness, ClusterSpec};
use super::dispatcher_settings::{DispatcherSettings, JobClass};
use super::emulated_discovery::EmulatedDiscovery;
use super::emulated_worker::{
    bind_listener, job_id, serve_worker, write_done, write_started, ConnectionUse, EmulatedWorker,
};
use super::error::ClusterError;
use super::record_checker::{self, Records};
use super::worker_model::{WorkerModel, OVERLOAD_WINDOW};
use crate::sockets::http::Head;

const COORDINATORS: usize = 3;
/// Slots of each worker.
const SLOTS: usize = 4;
/// Time for which a worker at full capacity runs a job.
const RUN_TIME: Duration = Duration::from_millis(200);
/// Time that a client waits beyond the timeout of its job.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Time before the first replacement, in which the dispatchers learn running times and rates.
const LEARNING_TIME: Duration = Duration::from_secs(8);
/// Time from one replacement to the next.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// One in this number of dispatchers is busy.
const BUSY_DISPATCHER_INTERVAL: usize = 4;
/// Traffic of a busy dispatcher, as a multiple of that of another one.
const BUSY_TRAFFIC: f64 = 5.0;
/// Number of the first replacement worker; the initial workers have lower numbers.
const FIRST_REPLACEMENT: usize = 100;
const CLASS: JobClass = JobClass {
    name: "lookup",
    is_idempotent: true,
    latency_objective: Duration::from_secs(1),
    timeout: Duration::from_secs(3),
};

/// Parameters of a day.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Dispatchers; every fourth has five times the traffic of the others.
    pub dispatchers: usize,
    /// Numbers of workers that stay and that are replaced.
    pub workers: WorkerCounts,
    /// Jobs per second at all dispatchers together.
    pub rate: f64,
    /// Time from the first replacement to the last submission.
    pub length: Duration,
    /// Whether a lease holder grants slow-start quotas.
    pub grants: bool,
    /// Whether the leading coordinator and the holder of the slow-start lease are killed after the replacements.
    pub kill: bool,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Numbers of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Workers that stay all day.
    pub staying: usize,
    /// Workers that are replaced by the same number of workers in slow start.
    pub replaced: usize,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            dispatchers: 24,
            workers: WorkerCounts { staying: 3, replaced: 6 },
            rate: 60.0,
            length: Duration::from_secs(16),
            grants: true,
            kill: false,
            seed: 1,
        }
    }
}

/// Result of a day.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DayResult {
    /// Overloads of workers in slow start.
    #[serde(rename = "fallen")]
    pub overloads: u64,
    /// Jobs that reached the workers in slow start, as a share of what they tolerate without overload.
    #[serde(rename = "used")]
    pub used_share: f64,
    /// Highest load in one overload window, as a share of what the worker tolerates.
    #[serde(rename = "fullest")]
    pub peak_load: f64,
    /// Jobs submitted after the first replacement.
    pub jobs: u64,
    /// Share of these jobs that was served within the latency objective.
    pub in_time: f64,
    /// Share of these jobs that was served.
    pub served: f64,
    /// Number of these jobs by the status of their response; 0 if there was none.
    #[serde(rename = "answers")]
    pub responses: BTreeMap<u16, u64>,
    /// Work that members recorded as granted, in slot-seconds.
    #[serde(rename = "granted")]
    pub granted_work: f64,
    /// Violations of the rules of leases.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Outcome of a job at its client.
#[derive(Debug, Clone, Copy)]
struct JobOutcome {
    submitted_at: Instant,
    duration: Duration,
    /// Status of the response; 0 if there was none.
    status: u16,
}

type Outcomes = Rc<RefCell<Vec<JobOutcome>>>;

/// Time span that is evaluated: from the first replacement to the last submission.
#[derive(Debug, Clone, Copy)]
struct CountedSpan {
    from: Instant,
    until: Instant,
}

/// Runs one day in a folder.
///
/// # Errors
/// Returns a [`ClusterError`] if the harness fails.
pub fn run(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<DayResult, ClusterError> {
    run_in_folder(dir, run_day(dir, binaries.clone(), plan))
}

async fn run_day(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<DayResult, ClusterError> {
    let discovery = EmulatedDiscovery::new(0);
    let mut cluster = start_cluster(dir, binaries, plan, &discovery).await?;
    let outcomes = Outcomes::default();
    let from = Instant::now() + LEARNING_TIME;
    let span = CountedSpan { from, until: from + plan.length };
    start_clients(&cluster, plan, &outcomes, span.until);
    sleep_until(span.from).await;
    let replacements = replace_workers(plan, &discovery).await?;
    if plan.kill {
        kill_leaders(&mut cluster)?;
    }
    sleep_until(span.until + CLASS.timeout).await;
    drop(cluster);
    let records = read_records(dir, COORDINATORS, plan.dispatchers)?;
    let outcomes = outcomes.borrow();
    Ok(evaluate(&replacements, &outcomes, &records, span))
}

async fn start_cluster(
    dir: &Path,
    binaries: Binaries,
    plan: &Plan,
    discovery: &EmulatedDiscovery,
) -> Result<ClusterHarness, ClusterError> {
    let workers = plan.workers.staying + plan.workers.replaced;
    for number in 0..workers {
        let bound = bind_listener("worker listener").await?;
        discovery.add(number, bound.address);
        let model = WorkerModel::new(SLOTS, RUN_TIME, false, plan.seed ^ number as u64);
        spawn_local(serve_worker(Rc::new(Worker(model)), bound.listener));
    }
    let quota_settings = format!("cold {{\nslots = {SLOTS}\n}}\n");
    let spec = ClusterSpec {
        coordinators: COORDINATORS,
        dispatchers: plan.dispatchers,
        cluster_settings: Some(if plan.grants { quota_settings.as_str() } else { "" }),
        discoveries: std::slice::from_ref(discovery),
        proxy_seed: None,
    };
    let settings = DispatcherSettings {
        dispatchers: plan.dispatchers,
        zones: &["north"],
        classes: &[CLASS],
        quota_per_s: plan.rate,
        ..DispatcherSettings::default()
    };
    let cluster = ClusterHarness::start(dir, binaries, settings.to_json(), spec).await?;
    cluster.wait_for_workers(workers).await?;
    Ok(cluster)
}

/// Starts the clients of all dispatchers.
fn start_clients(cluster: &ClusterHarness, plan: &Plan, outcomes: &Outcomes, end: Instant) {
    let weight =
        |dispatcher: usize| if dispatcher % BUSY_DISPATCHER_INTERVAL == 0 { BUSY_TRAFFIC } else { 1.0 };
    let total: f64 = (0..plan.dispatchers).map(weight).sum();
    for (dispatcher, address) in cluster.listen.iter().enumerate() {
        let rate = plan.rate * weight(dispatcher) / total;
        let clients = Clients { dispatcher: dispatcher as u64, address: *address, rate, end };
        spawn_local(clients.run(outcomes.clone(), plan.seed));
    }
}

/// Replaces workers one after another by workers in slow start; returns the models of the new workers.
async fn replace_workers(
    plan: &Plan,
    discovery: &EmulatedDiscovery,
) -> Result<Vec<Rc<WorkerModel>>, ClusterError> {
    let mut replacements = Vec::new();
    for number in 0..plan.workers.replaced {
        let name = FIRST_REPLACEMENT + number;
        let model = WorkerModel::new(SLOTS, RUN_TIME, true, plan.seed ^ name as u64);
        let bound = bind_listener("worker listener").await?;
        discovery.add_in_slow_start("north", name, bound.address);
        spawn_local(serve_worker(Rc::new(Worker(model.clone())), bound.listener));
        replacements.push(model);
        discovery.set_unreachable(plan.workers.staying + number, "terminating");
        sleep(REPLACEMENT_INTERVAL).await;
    }
    Ok(replacements)
}

/// Kills the leading coordinator and the holder of the slow-start lease, if there is one.
fn kill_leaders(cluster: &mut ClusterHarness) -> Result<(), ClusterError> {
    let leader = cluster.leader()?;
    cluster.kill_coordinator(leader);
    if let Some(holder) = cluster.slow_start_leader() {
        cluster.kill_dispatcher(holder);
    }
    Ok(())
}

fn evaluate(
    replacements: &[Rc<WorkerModel>],
    outcomes: &[JobOutcome],
    records: &Records,
    span: CountedSpan,
) -> DayResult {
    let mut result = DayResult::default();
    evaluate_load(replacements, span, &mut result);
    evaluate_outcomes(outcomes, span, &mut result);
    let granted = records.members.values().flatten().filter(|line| line.kind == "granted");
    result.granted_work = granted.filter_map(|line| line.fields.get("work")?.as_f64()).sum();
    result.violations = record_checker::check(records).descriptions().collect();
    result
}

fn evaluate_load(replacements: &[Rc<WorkerModel>], span: CountedSpan, result: &mut DayResult) {
    let mut tolerated = 0.0;
    let mut sent = 0.0;
    for worker in replacements {
        result.overloads += worker.overloads();
        let arrivals: Vec<Instant> =
            worker.arrivals().into_iter().filter(|arrival| *arrival < span.until).collect();
        for last in 0..arrivals.len() {
            let load = WorkerModel::arrivals_in_window(&arrivals[..=last])
                / worker.capacity_in_window(arrivals[last]);
            result.peak_load = result.peak_load.max(load);
        }
        sent += arrivals.len() as f64;
        let mut window_start = worker.started_at().unwrap_or(span.from);
        while window_start < span.until {
            tolerated += worker.capacity_in_window(window_start);
            window_start += OVERLOAD_WINDOW;
        }
    }
    result.used_share = sent / tolerated.max(1.0);
}

fn evaluate_outcomes(outcomes: &[JobOutcome], span: CountedSpan, result: &mut DayResult) {
    let counted: Vec<&JobOutcome> =
        outcomes.iter().filter(|outcome| (span.from..span.until).contains(&outcome.submitted_at)).collect();
    let share = |count: usize| count as f64 / counted.len().max(1) as f64;
    let served = || counted.iter().filter(|outcome| outcome.status == 200);
    result.jobs = counted.len() as u64;
    result.served = share(served().count());
    result.in_time = share(served().filter(|outcome| outcome.duration <= CLASS.latency_objective).count());
    for outcome in &counted {
        *result.responses.entry(outcome.status).or_default() += 1;
    }
}

/// A worker that follows a [`WorkerModel`].
struct Worker(Rc<WorkerModel>);

impl EmulatedWorker for Worker {
    async fn serve_request(&self, request: &Head, stream: &mut TcpStream) -> std::io::Result<ConnectionUse> {
        let Worker(model) = self;
        if !model.accept_job(Instant::now()) {
            return Ok(ConnectionUse::Close);
        }
        let job = job_id(request);
        let Some(slot) = model.slot().await else { return Ok(ConnectionUse::Close) };
        write_started(stream, &job).await?;
        sleep(model.sample_run_time(Instant::now())).await;
        drop(slot);
        write_done(stream, &job).await?;
        Ok(ConnectionUse::KeepOpen)
    }
}

/// The clients of one dispatcher.
struct Clients {
    dispatcher: u64,
    address: SocketAddr,
    /// Jobs per second.
    rate: f64,
    end: Instant,
}

impl Clients {
    /// Submits jobs at random times, each on its own connection.
    async fn run(self, outcomes: Outcomes, seed: u64) {
        let mut random = Pcg64::seed_from_u64(seed ^ (self.dispatcher << 32));
        let mut count = 0u64;
        let mut next = Instant::now() + Duration::from_secs_f64(random.random_range(0.0..1.0));
        while next < self.end {
            sleep_until(next).await;
            count += 1;
            spawn_local(run_client(outcomes.clone(), self.address, self.dispatcher << 32 | count));
            let pause: f64 = Exp1.sample(&mut random);
            next += Duration::from_secs_f64(pause / self.rate);
        }
    }
}

/// Submits one job and records its outcome.
async fn run_client(outcomes: Outcomes, address: SocketAddr, id: u64) {
    let submitted_at = Instant::now();
    let mut no_connection = None;
    let exchange = submit_job(&mut no_connection, address, ClientJob { class: CLASS.name, id });
    let response = timeout(CLASS.timeout + RESPONSE_SLACK, exchange).await;
    let status = response.ok().and_then(Result::ok).unwrap_or(0);
    outcomes.borrow_mut().push(JobOutcome { submitted_at, duration: submitted_at.elapsed(), status });
}
