//! A day on which most workers are replaced by cold ones, with many dispatchers of little traffic each: what cold
//! workers get, by their own records, and whether one is pushed over.
//!
//! The emulated workers are slow while they are cold and fall when all dispatchers together send more than they bear.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;
use serde::Serialize;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::cluster_harness::{read_records, run_in_folder, Binaries, ClusterHarness, ClusterSpec};
use super::dispatch_latency::submit_job;
use super::emulated_discovery::EmulatedDiscovery;
use super::error::ClusterError;
use super::record_checker::{self, Records};
use super::worker_model::{WorkerModel, INITIAL_CAPACITY, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, WARM_UP};
use crate::sockets::http::{self, chunk, CHUNKED, LAST_CHUNK};

/// Slots of each worker, and how long a job runs at a warm one.
const SLOTS: usize = 4;
const RUN_TIME: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(3);
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Dispatchers; every fourth has five times the traffic of the others.
    pub dispatchers: usize,
    /// Workers that stay, and those that are replaced by as many cold ones.
    pub workers: (usize, usize),
    /// Jobs a second, at all dispatchers together.
    pub rate: f64,
    /// From the first cold worker on.
    pub length: Duration,
    /// Whether one holder hands the cold budgets out.
    pub grants: bool,
    /// The coordinators' leader is killed, and the holder with it, in the middle.
    pub kill: bool,
    /// Draws when jobs come.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            dispatchers: 24,
            workers: (3, 6),
            rate: 60.0,
            length: Duration::from_secs(16),
            grants: true,
            kill: false,
            seed: 1,
        }
    }
}

/// What a day gave.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DayResult {
    /// Cold workers that were pushed over.
    #[serde(rename = "fallen")]
    pub overloads: u64,
    /// Of what cold workers bore from their start on, the part that was sent to them.
    #[serde(rename = "used")]
    pub used_share: f64,
    /// The most that was sent in any span, as a part of what was borne.
    #[serde(rename = "fullest")]
    pub peak_load: f64,
    /// Jobs submitted from the start of the first cold worker on.
    pub jobs: u64,
    /// The part of these jobs that was served in time.
    pub in_time: f64,
    /// The part of these jobs that was served at all.
    pub served: f64,
    /// Answers by status; 0 for none.
    pub answers: BTreeMap<u16, u64>,
    /// Work that members recorded as granted, in slots by seconds.
    #[serde(rename = "granted")]
    pub granted_work: f64,
    /// Violations of the rules of leases.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Plays one day below this folder.
///
/// # Errors
/// Something could not be set up.
pub fn play(dir: &Path, binaries: &Binaries, plan: &Plan) -> Result<DayResult, ClusterError> {
    run_in_folder(dir, run_day(dir, binaries.clone(), plan))
}

async fn run_day(dir: &Path, binaries: Binaries, plan: &Plan) -> Result<DayResult, ClusterError> {
    let discovery = EmulatedDiscovery::new(0);
    let (stay, replaced) = plan.workers;
    for n in 0..stay + replaced {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io("a listener"))?;
        discovery.add(n, listener.local_addr().map_err(ClusterError::io("a listener"))?);
        spawn_local(serve_worker(WorkerModel::new((SLOTS, RUN_TIME), false, plan.seed ^ n as u64), listener));
    }
    let block = format!("cold {{\nslots = {SLOTS}\n}}\n");
    let setup = ClusterSpec {
        coordinators: 3,
        dispatchers: plan.dispatchers,
        cluster_settings: Some(if plan.grants { block.as_str() } else { "" }),
        discoveries: std::slice::from_ref(&discovery),
        proxy_seed: None,
    };
    let mut cluster = ClusterHarness::start(dir, binaries, settings(plan), setup).await?;
    cluster.wait_for_workers(stay + replaced).await?;
    let tally = Rc::new(RefCell::new(Vec::new()));
    let start = Instant::now();
    // Time in which paces and rates are learnt.
    let warm = start + Duration::from_secs(8);
    let end = warm + plan.length;
    let heavy = |n: usize| if n % 4 == 0 { 5.0 } else { 1.0 };
    let all: f64 = (0..plan.dispatchers).map(heavy).sum();
    for (n, address) in cluster.listen.iter().enumerate() {
        let rate = plan.rate * heavy(n) / all;
        spawn_local(run_clients(tally.clone(), (n as u64, *address), rate, plan.seed, end));
    }
    sleep_until(warm).await;
    let mut cold = Vec::new();
    for n in 0..replaced {
        let worker = WorkerModel::new((SLOTS, RUN_TIME), true, plan.seed ^ (100 + n as u64));
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io("a listener"))?;
        discovery.add_cold("north", 100 + n, listener.local_addr().map_err(ClusterError::io("a listener"))?);
        spawn_local(serve_worker(worker.clone(), listener));
        cold.push(worker);
        // The old one goes as its successor comes.
        discovery.set_unreachable(stay + n, "terminating");
        sleep(Duration::from_millis(500)).await;
    }
    if plan.kill {
        let leader = cluster.leader()?;
        cluster.kill_coordinator(leader);
        if let Some(owner) = cluster.slow_start_leader() {
            cluster.kill_dispatcher(owner);
        }
    }
    sleep_until(end + DEADLINE).await;
    drop(cluster);
    let records = read_records(dir, 3, plan.dispatchers)?;
    let tally = tally.borrow();
    Ok(evaluate(&cold, &tally, &records, (warm, end)))
}

type Tally = Rc<RefCell<Vec<(Instant, Duration, u16)>>>;

fn evaluate(
    cold: &[Rc<WorkerModel>],
    tally: &[(Instant, Duration, u16)],
    records: &Records,
    (warm, end): (Instant, Instant),
) -> DayResult {
    let mut joined = DayResult::default();
    let (mut borne, mut sent) = (0.0, 0.0);
    for worker in cold {
        joined.overloads += worker.overloads();
        let all: Vec<Instant> = worker.arrivals().into_iter().filter(|at| *at < end).collect();
        for n in 0..all.len() {
            joined.peak_load = joined
                .peak_load
                .max(WorkerModel::arrivals_in_window(&all[..=n]) / worker.capacity_in_window(all[n]));
        }
        sent += all.len() as f64;
        let mut at = worker.started_at().unwrap_or(warm);
        while at < end {
            borne += worker.capacity_in_window(at);
            at += OVERLOAD_WINDOW;
        }
    }
    joined.used_share = sent / borne.max(1.0);
    let jobs: Vec<_> = tally.iter().filter(|(from, ..)| (warm..end).contains(from)).collect();
    joined.jobs = jobs.len() as u64;
    let part = |count: usize| count as f64 / jobs.len().max(1) as f64;
    joined.served = part(jobs.iter().filter(|job| job.2 == 200).count());
    joined.in_time = part(jobs.iter().filter(|job| job.2 == 200 && job.1 <= LATENCY_OBJECTIVE).count());
    jobs.iter().for_each(|job| *joined.answers.entry(job.2).or_default() += 1);
    let granted = records.members.values().flatten().filter(|line| line.kind == "granted");
    joined.granted_work = granted.filter_map(|line| line.fields.get("work")?.as_f64()).sum();
    joined.violations = record_checker::check(records).descriptions().collect();
    joined
}

fn settings(plan: &Plan) -> serde_json::Value {
    json!({
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "azs": ["north"], "flavors": ["small"], "balancers": plan.dispatchers, "slot-no": 0, "zone": 0,
            "discovery": "push", "resolution-s": 0.001,
            "profiles": [{"name": "lookup", "idempotency": "free", "promise-s": LATENCY_OBJECTIVE.as_secs_f64(),
                          "deadline-s": DEADLINE.as_secs_f64(), "late-worth": 0.2}],
            "projects": [{"name": "web", "share": 1.0, "quota-per-s": plan.rate}],
            "caps": {"cancel": true, "dial-timeout-s": 0.25, "keepalive-s": 5.0, "max-retry-after-s": 2.0,
                     "parallel-tries": true, "probes": false, "retry-after": true, "send-cap": 4},
            "family-info": {"tells-start": true, "class-stretch": [2.0], "class-kind": [-1]},
            "obligations": {"cold-share": INITIAL_CAPACITY, "drain-grace-s": 0.5, "fall-multiple": OVERLOAD_MULTIPLE,
                            "tip-after-s": OVERLOAD_WINDOW.as_secs_f64(), "warm-within-s": WARM_UP.as_secs_f64()},
            "charges": {"cross-zone": 0.025}
        }
    })
}

async fn serve_worker(worker: Rc<WorkerModel>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let worker = worker.clone();
        spawn_local(async move {
            // A connection that breaks is the other side's matter.
            let _ = serve_connection(&worker, stream).await;
        });
    }
}

async fn serve_connection(worker: &WorkerModel, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    while let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? {
        let _ = http::body(&mut stream, &mut buffer, &head).await?;
        if !worker.accept_job(Instant::now()) {
            return Ok(());
        }
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let line = |state: &str| json!({"id": id, "state": state, "result": "ok"}).to_string();
        let Some(slot) = worker.slot().await else { return Ok(()) };
        stream.write_all(&[CHUNKED, chunk(&line("started")).as_slice()].concat()).await?;
        sleep(worker.sample_run_time(Instant::now())).await;
        drop(slot);
        stream.write_all(&[chunk(&line("done")).as_slice(), LAST_CHUNK].concat()).await?;
    }
    Ok(())
}

/// Hands jobs to a dispatcher at random times, each on a connection of its own.
async fn run_clients(tally: Tally, (n, address): (u64, SocketAddr), rate: f64, seed: u64, end: Instant) {
    let mut random = Pcg64::seed_from_u64(seed ^ (n << 32));
    let mut count = 0u64;
    let mut at = Instant::now() + Duration::from_secs_f64(random.random_range(0.0..1.0));
    while at < end {
        sleep_until(at).await;
        count += 1;
        let (tally, id) = (tally.clone(), n << 32 | count);
        spawn_local(async move {
            let from = Instant::now();
            let answer = timeout(
                DEADLINE + Duration::from_millis(500),
                submit_job(&mut None, address, ("lookup", id)),
            )
            .await;
            let status = answer.ok().and_then(Result::ok).unwrap_or(0);
            tally.borrow_mut().push((from, from.elapsed(), status));
        });
        let pause: f64 = Exp1.sample(&mut random);
        at += Duration::from_secs_f64(pause / rate);
    }
}
