//! Whether dispatching waits for the fleet: the same traffic with the fleet off, on, on while its coordinators' leader is
//! killed again and again, and on with all coordinators gone, side by side.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

use super::cluster_harness::{Binaries, ClusterHarness, ClusterSpec};
use super::emulated_discovery::EmulatedDiscovery;
use super::error::ClusterError;
use crate::sockets::http::{self, chunk, CHUNKED, LAST_CHUNK};

const DISPATCHERS: usize = 2;
const WORKERS: usize = 6;
/// Jobs a second at each dispatcher, over so many kept connections.
const RATE: u64 = 100;
const CONNECTIONS: u64 = 8;
/// How long a emulated worker runs a job.
const RUN_TIME: Duration = Duration::from_millis(5);
/// How often the coordinators' leader is killed.
const KILL_INTERVAL: Duration = Duration::from_secs(5);
/// After how long it is started again.
const LEADER_RESTART: Duration = Duration::from_secs(1);
/// A client gives up after this.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(8);

/// What is done to the coordinators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arm {
    Off,
    On,
    LeaderKilled,
    NoCoordinators,
}

const ARMS: [(&str, Arm); 4] = [
    ("off", Arm::Off),
    ("on", Arm::On),
    ("on, leader killed every 5 s", Arm::LeaderKilled),
    ("on, all keepers stopped", Arm::NoCoordinators),
];

/// What one arm gave.
#[derive(Debug, Default, Clone, Serialize)]
pub struct LatencyResult {
    /// Jobs handed in.
    pub jobs: u64,
    /// Answers by status; 0 where there was none.
    pub answers: BTreeMap<u16, u64>,
    /// Milliseconds from handing in to the whole answer, at half.
    pub p50_ms: f64,
    /// At 99 of 100.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
    /// The longest time in which one dispatcher's clients got no answer at all.
    pub worst_gap_ms: f64,
    /// How often leaders of the coordinators were killed.
    pub killed: u64,
    /// Watches open at discovery at the end.
    pub watches: u64,
}

struct Tally {
    times: Histogram<u64>,
    answers: BTreeMap<u16, u64>,
    jobs: u64,
    last: Vec<Instant>,
    gap: Duration,
}

/// Plays all arms at once for so long, each on a thread of its own.
///
/// # Errors
/// Something could not be set up.
pub fn play(
    dir: &Path,
    binaries: &Binaries,
    length: Duration,
) -> Result<BTreeMap<&'static str, LatencyResult>, ClusterError> {
    let lanes: Vec<_> = ARMS
        .into_iter()
        .enumerate()
        .map(|(at, (name, arm))| {
            let (dir, binaries) = (dir.join(format!("arm-{at}")), binaries.clone());
            std::thread::spawn(move || {
                std::fs::create_dir_all(&dir).map_err(ClusterError::io(dir.display()))?;
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.map_err(ClusterError::io("a runtime"))?;
                let played = LocalSet::new().block_on(&runtime, run_arm(&dir, binaries, arm, length));
                played.map(|waits| (name, waits))
            })
        })
        .collect();
    let join = |lane: std::thread::JoinHandle<Result<_, ClusterError>>| {
        lane.join().map_err(|_| ClusterError::ThreadPanicked)?
    };
    lanes.into_iter().map(join).collect()
}

async fn run_arm(
    dir: &Path,
    binaries: Binaries,
    arm: Arm,
    length: Duration,
) -> Result<LatencyResult, ClusterError> {
    let discovery = EmulatedDiscovery::new(0);
    for worker in 0..WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io("a listener"))?;
        discovery.add(worker, listener.local_addr().map_err(ClusterError::io("a listener"))?);
        spawn_local(serve_worker(listener));
    }
    let setup = ClusterSpec {
        coordinators: 3,
        dispatchers: DISPATCHERS,
        cluster_settings: (arm != Arm::Off).then_some(""),
        discoveries: &[discovery],
        proxy_seed: None,
    };
    let mut cluster = ClusterHarness::start(dir, binaries, settings(), setup).await?;
    cluster.wait_for_workers(WORKERS).await?;
    if arm != Arm::Off {
        cluster.wait_for_watches(1).await?;
    }
    let now = Instant::now();
    let times = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    let (answers, last) = (BTreeMap::new(), vec![now; DISPATCHERS]);
    let tally = Rc::new(RefCell::new(Tally { times, answers, jobs: 0, last, gap: Duration::ZERO }));
    // The first seconds fill the banks of tokens, and count in no arm.
    let warm = now + Duration::from_secs(2);
    let end = warm + length;
    for (dispatcher, address) in cluster.listen.iter().enumerate() {
        for connection in 0..CONNECTIONS {
            spawn_local(run_client(tally.clone(), (dispatcher, connection), *address, (warm, end)));
        }
    }
    tokio::time::sleep_until(warm).await;
    let killed = disturb_coordinators(&mut cluster, arm, end).await?;
    tokio::time::sleep_until(end + Duration::from_millis(500)).await;
    let tally = tally.borrow();
    let ms = |quantile| tally.times.value_at_quantile(quantile) as f64 / 1e3;
    Ok(LatencyResult {
        jobs: tally.jobs,
        answers: tally.answers.clone(),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        max_ms: tally.times.max() as f64 / 1e3,
        worst_gap_ms: tally.gap.as_secs_f64() * 1e3,
        killed,
        watches: cluster.discovery.connection_counts().1,
    })
}

/// Does to the coordinators what the arm says, until the end; returns how often a leader was killed.
async fn disturb_coordinators(
    cluster: &mut ClusterHarness,
    arm: Arm,
    end: Instant,
) -> Result<u64, ClusterError> {
    let mut killed = 0;
    match arm {
        Arm::Off | Arm::On => {}
        Arm::NoCoordinators => (1..=3).for_each(|n| cluster.kill_coordinator(n)),
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

fn settings() -> serde_json::Value {
    json!({
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "azs": ["north"], "flavors": ["small"], "balancers": DISPATCHERS, "slot-no": 0, "zone": 0,
            "discovery": "push", "resolution-s": 0.001,
            "profiles": [{"name": "lookup", "idempotency": "free", "promise-s": 0.5, "deadline-s": 5.0, "late-worth": 0.2}],
            "projects": [{"name": "web", "share": 1.0, "quota-per-s": RATE as f64 * DISPATCHERS as f64}],
            "caps": {"cancel": true, "dial-timeout-s": 0.25, "keepalive-s": 5.0, "max-retry-after-s": 2.0,
                     "parallel-tries": true, "probes": false, "retry-after": true, "send-cap": 4},
            "family-info": {"tells-start": true, "class-stretch": [2.0], "class-kind": [-1]},
            "obligations": {"cold-share": 0.14, "drain-grace-s": 0.5, "fall-multiple": 3.0, "tip-after-s": 1.5,
                            "warm-within-s": 24.0},
            "charges": {"cross-zone": 0.025}
        }
    })
}

/// A emulated worker: says that it starts, runs, says that it is done.
async fn serve_worker(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(async move {
            // A connection that breaks is the other side's matter.
            let _ = serve_connection(stream).await;
        });
    }
}

async fn serve_connection(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    while let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? {
        let _ = http::body(&mut stream, &mut buffer, &head).await?;
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let line = |state: &str| json!({"id": id, "state": state, "result": "ok"}).to_string();
        stream.write_all(&[CHUNKED, chunk(&line("started")).as_slice()].concat()).await?;
        sleep(RUN_TIME).await;
        stream.write_all(&[chunk(&line("done")).as_slice(), LAST_CHUNK].concat()).await?;
    }
    Ok(())
}

async fn run_client(
    tally: Rc<RefCell<Tally>>,
    (dispatcher, connection): (usize, u64),
    address: SocketAddr,
    (warm, end): (Instant, Instant),
) {
    let period = Duration::from_micros(1_000_000 * CONNECTIONS / RATE);
    sleep(period.mul_f64(connection as f64 / CONNECTIONS as f64)).await;
    let mut beats = interval(period);
    beats.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut kept = None;
    let mut count = 0u64;
    while Instant::now() < end {
        beats.tick().await;
        count += 1;
        let start = Instant::now();
        let status =
            timeout(CLIENT_TIMEOUT, submit_job(&mut kept, address, ("lookup", connection << 32 | count)))
                .await;
        let status = status.ok().and_then(Result::ok);
        if status.is_none() {
            kept = None;
        }
        let (now, mut tally) = (Instant::now(), tally.borrow_mut());
        let gap = now - tally.last[dispatcher];
        tally.last[dispatcher] = now;
        if start < warm {
            continue;
        }
        tally.gap = tally.gap.max(gap);
        tally.jobs += 1;
        *tally.answers.entry(status.unwrap_or(0)).or_default() += 1;
        let _ = tally.times.record((now - start).as_micros() as u64);
    }
}

/// Hands in a job of a class on a connection that was kept, or a new one, and returns the answer's status.
pub(super) async fn submit_job(
    kept: &mut Option<TcpStream>,
    address: SocketAddr,
    (class, id): (&str, u64),
) -> std::io::Result<u16> {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => TcpStream::connect(address).await?,
    };
    stream.set_nodelay(true)?;
    let text = format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nTenant: web\r\nContent-Length: 1\r\n\r\n?"
    );
    stream.write_all(text.as_bytes()).await?;
    let mut buffer = BytesMut::new();
    let head = http::head(&mut stream, &mut buffer, false, || {}).await?;
    let head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let _ = http::body(&mut stream, &mut buffer, &head).await?;
    if head.get("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
        *kept = Some(stream);
    }
    Ok(head.status)
}
