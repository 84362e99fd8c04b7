//! Measures whether dispatching waits for the coordinators. Four arms run in parallel with the same traffic: without a
//! cluster, with a cluster, with a leading coordinator that is killed repeatedly, and with all coordinators killed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

use super::client::{submit_job, ClientJob};
use super::cluster_harness::{run_in_folder, Binaries, ClusterHarness, ClusterSpec};
use super::dispatcher_settings::{DispatcherSettings, JobClass};
use super::emulated_discovery::EmulatedDiscovery;
use super::emulated_worker::{
    bind_listener, job_id, serve_worker, write_done, write_started, ConnectionUse, EmulatedWorker,
};
use super::error::ClusterError;
use crate::sockets::http::Head;

const COORDINATORS: usize = 3;
const DISPATCHERS: usize = 2;
const WORKERS: usize = 6;
/// Jobs per second at each dispatcher.
const RATE_PER_S: u64 = 100;
/// Kept-alive connections of the clients to each dispatcher.
const CONNECTIONS: u64 = 8;
/// Time for which an emulated worker runs a job.
const RUN_TIME: Duration = Duration::from_millis(5);
/// Time from one kill of the leader to the next.
const KILL_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a killed leader is restarted.
const LEADER_RESTART: Duration = Duration::from_secs(1);
/// Time after which a client abandons a job.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time at the start in which the token banks fill; jobs submitted in it are not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
const CLASS: JobClass = JobClass {
    name: "lookup",
    is_idempotent: true,
    latency_objective: Duration::from_millis(500),
    timeout: Duration::from_secs(5),
};

/// State of the coordinators in an arm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arm {
    Off,
    On,
    LeaderKilled,
    NoCoordinators,
}

impl Arm {
    const ALL: [Arm; 4] = [Arm::Off, Arm::On, Arm::LeaderKilled, Arm::NoCoordinators];

    /// Returns the name of the arm in results.
    fn name(self) -> &'static str {
        match self {
            Arm::Off => "off",
            Arm::On => "on",
            Arm::LeaderKilled => "on, leader killed every 5 s",
            Arm::NoCoordinators => "on, all keepers stopped",
        }
    }
}

/// Result of one arm.
#[derive(Debug, Default, Clone, Serialize)]
pub struct LatencyResult {
    /// Number of jobs.
    pub jobs: u64,
    /// Number of jobs by the status of their response; 0 if there was none.
    #[serde(rename = "answers")]
    pub responses: BTreeMap<u16, u64>,
    /// Median time from the submission to the complete response, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of this time, in milliseconds.
    pub p99_ms: f64,
    /// Maximum of this time, in milliseconds.
    pub max_ms: f64,
    /// Longest time in which no job of a dispatcher ended, with or without a response, in milliseconds.
    pub worst_gap_ms: f64,
    /// How often the leader was killed.
    pub killed: u64,
    /// Watches open at discovery at the end.
    pub watches: u64,
}

/// Responses to the clients of an arm.
struct Tally {
    latencies: Histogram<u64>,
    responses: BTreeMap<u16, u64>,
    jobs: u64,
    /// By dispatcher: time at which its last job ended, with or without a response.
    last_end_at: Vec<Instant>,
    longest_gap: Duration,
}

impl Tally {
    fn new(now: Instant) -> Result<Tally, ClusterError> {
        Ok(Tally {
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            responses: BTreeMap::new(),
            jobs: 0,
            last_end_at: vec![now; DISPATCHERS],
            longest_gap: Duration::ZERO,
        })
    }

    /// Records the end of a job. A job submitted before `counted_from` only updates the time of the last end.
    fn record(
        &mut self,
        dispatcher: usize,
        submitted_at: Instant,
        counted_from: Instant,
        status: Option<u16>,
    ) {
        let now = Instant::now();
        let gap = now - self.last_end_at[dispatcher];
        self.last_end_at[dispatcher] = now;
        if submitted_at < counted_from {
            return;
        }
        self.longest_gap = self.longest_gap.max(gap);
        self.jobs += 1;
        *self.responses.entry(status.unwrap_or(0)).or_default() += 1;
        let _ = self.latencies.record((now - submitted_at).as_micros() as u64);
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Runs all arms in parallel, each on its own thread; returns their results by name.
///
/// # Errors
/// Returns a [`ClusterError`] if the harness fails.
pub fn run(
    dir: &Path,
    binaries: &Binaries,
    length: Duration,
) -> Result<BTreeMap<&'static str, LatencyResult>, ClusterError> {
    let threads: Vec<(Arm, JoinHandle<Result<LatencyResult, ClusterError>>)> = Arm::ALL
        .into_iter()
        .enumerate()
        .map(|(number, arm)| {
            (arm, spawn_arm(dir.join(format!("arm-{number}")), binaries.clone(), arm, length))
        })
        .collect();
    let mut results = BTreeMap::new();
    for (arm, thread) in threads {
        let result = thread.join().map_err(|_| ClusterError::ThreadPanicked)??;
        results.insert(arm.name(), result);
    }
    Ok(results)
}

fn spawn_arm(
    dir: PathBuf,
    binaries: Binaries,
    arm: Arm,
    length: Duration,
) -> JoinHandle<Result<LatencyResult, ClusterError>> {
    std::thread::spawn(move || run_in_folder(&dir, run_arm(&dir, binaries, arm, length)))
}

async fn run_arm(
    dir: &Path,
    binaries: Binaries,
    arm: Arm,
    length: Duration,
) -> Result<LatencyResult, ClusterError> {
    let mut cluster = start_cluster(dir, binaries, arm).await?;
    let now = Instant::now();
    let tally = Rc::new(RefCell::new(Tally::new(now)?));
    let counted_from = now + WARM_UP;
    let end = counted_from + length;
    for (dispatcher, address) in cluster.listen.iter().enumerate() {
        for connection in 0..CONNECTIONS {
            let client = Client { dispatcher, connection, address: *address, counted_from, end };
            spawn_local(client.run(tally.clone()));
        }
    }
    sleep_until(counted_from).await;
    let killed = inject_coordinator_faults(&mut cluster, arm, end).await?;
    sleep_until(end + Duration::from_millis(500)).await;
    let tally = tally.borrow();
    Ok(LatencyResult {
        jobs: tally.jobs,
        responses: tally.responses.clone(),
        p50_ms: tally.quantile_ms(0.5),
        p99_ms: tally.quantile_ms(0.99),
        max_ms: tally.latencies.max() as f64 / 1e3,
        worst_gap_ms: tally.longest_gap.as_secs_f64() * 1e3,
        killed,
        watches: cluster.discovery.open_watches(),
    })
}

async fn start_cluster(dir: &Path, binaries: Binaries, arm: Arm) -> Result<ClusterHarness, ClusterError> {
    let discovery = EmulatedDiscovery::new(0);
    for number in 0..WORKERS {
        let bound = bind_listener("worker listener").await?;
        discovery.add(number, bound.address);
        spawn_local(serve_worker(Rc::new(Worker), bound.listener));
    }
    let spec = ClusterSpec {
        coordinators: COORDINATORS,
        dispatchers: DISPATCHERS,
        cluster_settings: (arm != Arm::Off).then_some(""),
        discoveries: &[discovery],
        proxy_seed: None,
    };
    let settings = DispatcherSettings {
        dispatchers: DISPATCHERS,
        zones: &["north"],
        classes: &[CLASS],
        quota_per_s: RATE_PER_S as f64 * DISPATCHERS as f64,
        ..DispatcherSettings::default()
    };
    let cluster = ClusterHarness::start(dir, binaries, settings.to_json(), spec).await?;
    cluster.wait_for_workers(WORKERS).await?;
    if arm != Arm::Off {
        cluster.wait_for_watches(1).await?;
    }
    Ok(cluster)
}

/// Injects the coordinator faults of the arm until `end`; returns how often the leader was killed.
async fn inject_coordinator_faults(
    cluster: &mut ClusterHarness,
    arm: Arm,
    end: Instant,
) -> Result<u64, ClusterError> {
    let mut killed = 0;
    match arm {
        Arm::Off | Arm::On => {}
        Arm::NoCoordinators => (1..=COORDINATORS).for_each(|number| cluster.kill_coordinator(number)),
        Arm::LeaderKilled => {
            while Instant::now() + KILL_INTERVAL < end {
                sleep(KILL_INTERVAL - LEADER_RESTART).await;
                let leader = cluster.leader()?;
                cluster.kill_coordinator(leader);
                killed += 1;
                sleep(LEADER_RESTART).await;
                cluster.start_coordinator(leader)?;
            }
        }
    }
    Ok(killed)
}

/// A worker that runs every job for [`RUN_TIME`].
struct Worker;

impl EmulatedWorker for Worker {
    async fn serve_request(&self, request: &Head, stream: &mut TcpStream) -> std::io::Result<ConnectionUse> {
        let job = job_id(request);
        write_started(stream, &job).await?;
        sleep(RUN_TIME).await;
        write_done(stream, &job).await?;
        Ok(ConnectionUse::KeepOpen)
    }
}

/// A client with a kept-alive connection to a dispatcher.
struct Client {
    dispatcher: usize,
    connection: u64,
    address: SocketAddr,
    /// Jobs submitted before this time are not counted.
    counted_from: Instant,
    end: Instant,
}

impl Client {
    /// Submits jobs at a fixed rate until the end. The clients of a dispatcher start staggered, so that they take
    /// turns.
    async fn run(self, tally: Rc<RefCell<Tally>>) {
        let period = Duration::from_micros(1_000_000 * CONNECTIONS / RATE_PER_S);
        sleep(period.mul_f64(self.connection as f64 / CONNECTIONS as f64)).await;
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut kept_alive = None;
        let mut count = 0u64;
        while Instant::now() < self.end {
            ticks.tick().await;
            count += 1;
            let submitted_at = Instant::now();
            let job = ClientJob { class: CLASS.name, id: self.connection << 32 | count };
            let response = timeout(CLIENT_TIMEOUT, submit_job(&mut kept_alive, self.address, job)).await;
            let status = response.ok().and_then(Result::ok);
            if status.is_none() {
                kept_alive = None;
            }
            tally.borrow_mut().record(self.dispatcher, submitted_at, self.counted_from, status);
        }
    }
}
