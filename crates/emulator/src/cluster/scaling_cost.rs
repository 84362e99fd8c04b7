//! Measures what a cluster saves and costs by its size: idle dispatchers without a cluster and as members of one, one
//! arm after the other. Coordinators and dispatchers are real processes, and every link between coordinators and
//! members passes through a proxy that counts bytes.

use std::cell::Cell;
use std::fmt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::cluster_harness::{run_in_folder, Binaries, ClusterHarness, ClusterSpec, ProcessIds};
use super::dispatcher_settings::{DispatcherSettings, JobClass};
use super::emulated_discovery::EmulatedDiscovery;
use super::emulated_worker::{bind_listener, serve_worker, write_healthy, ConnectionUse, EmulatedWorker};
use super::error::ClusterError;
use super::process_usage::{cpu_seconds, open_descriptors, resident_mb};
use crate::sockets::http::Head;

const WORKERS: usize = 20;
/// Time from one change of a worker's phase to the next.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which members join and sets are rebalanced before the measurement starts.
const SETTLING_TIME: Duration = Duration::from_secs(10);
const CLASS: JobClass = JobClass {
    name: "lookup",
    is_idempotent: true,
    latency_objective: Duration::from_millis(500),
    timeout: Duration::from_secs(5),
};

/// Result of one arm.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Side {
    /// Requests to discovery before the measurement, until all dispatchers had the list.
    pub calls_to_begin: u64,
    /// Requests to discovery per second during the measurement.
    pub calls_per_s: f64,
    /// Watches open at the end.
    pub watches: u64,
    /// Messages per second that discovery sent.
    pub told_per_s: f64,
    /// Probes of all workers per second.
    pub probes_per_s: f64,
    /// Bytes per second between coordinators and members, and between members, in both directions.
    pub bytes_per_s: f64,
    /// Share of a processor core that the busiest coordinator used.
    pub keeper_cpu: f64,
    /// Share of a processor core that the members used.
    pub member_cpu: MemberCpu,
    /// Resident memory.
    pub memory_mb: ResidentMemory,
    /// Open file descriptors of the member that had the most.
    pub descriptors: usize,
    /// Time until all dispatchers had applied the last change, in seconds.
    pub known_s: f64,
}

/// Shares of a processor core that members used; serialized and printed as a pair.
#[derive(Clone, Copy, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct MemberCpu {
    /// Mean of all members.
    pub mean: f64,
    /// The busiest member.
    pub busiest: f64,
}

impl fmt::Debug for MemberCpu {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        <(f64, f64)>::from(*self).fmt(f)
    }
}

impl From<MemberCpu> for (f64, f64) {
    fn from(cpu: MemberCpu) -> (f64, f64) {
        (cpu.mean, cpu.busiest)
    }
}

/// Resident memory in megabytes; serialized and printed as a pair.
#[derive(Clone, Copy, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct ResidentMemory {
    /// The largest coordinator.
    pub coordinator: f64,
    /// The largest member.
    pub member: f64,
}

impl fmt::Debug for ResidentMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        <(f64, f64)>::from(*self).fmt(f)
    }
}

impl From<ResidentMemory> for (f64, f64) {
    fn from(memory: ResidentMemory) -> (f64, f64) {
        (memory.coordinator, memory.member)
    }
}

/// Runs one arm in a folder, with `members` dispatchers. `cluster_settings` is added to their block `fleet`; `None`
/// runs them without a cluster.
///
/// # Errors
/// Returns a [`ClusterError`] if the harness fails.
pub fn run(
    dir: &Path,
    binaries: &Binaries,
    members: usize,
    cluster_settings: Option<&str>,
    length: Duration,
) -> Result<Side, ClusterError> {
    run_in_folder(dir, measure(dir, binaries.clone(), members, cluster_settings, length))
}

async fn measure(
    dir: &Path,
    binaries: Binaries,
    members: usize,
    cluster_settings: Option<&str>,
    length: Duration,
) -> Result<Side, ClusterError> {
    let discovery = EmulatedDiscovery::new(0);
    let worker = Rc::new(ProbedWorker::default());
    for number in 0..WORKERS {
        let bound = bind_listener("worker listener").await?;
        discovery.add(number, bound.address);
        spawn_local(serve_worker(worker.clone(), bound.listener));
    }
    let spec = ClusterSpec {
        coordinators: 3,
        dispatchers: members,
        cluster_settings,
        discoveries: std::slice::from_ref(&discovery),
        proxy_seed: Some(1),
    };
    let settings = DispatcherSettings {
        dispatchers: members,
        classes: &[CLASS],
        probes: cluster_settings.is_none(),
        ..DispatcherSettings::default()
    };
    let cluster = ClusterHarness::start(dir, binaries, settings.to_json(), spec).await?;
    cluster.wait_for_workers(WORKERS).await?;
    if cluster_settings.is_some() {
        cluster.wait_for_watches(1).await?;
    }
    sleep(SETTLING_TIME).await;
    let before = Sample::take(&cluster, &worker);
    let changes = (length.as_secs_f64() / CHANGE_INTERVAL.as_secs_f64()) as usize;
    let propagation_time = change_worker(&cluster, changes).await?;
    let after = Sample::take(&cluster, &worker);
    let seconds = CHANGE_INTERVAL.as_secs_f64() * changes as f64;
    Ok(side(&cluster, &before, &after, seconds, propagation_time))
}

/// Ends and restarts a worker in turn; returns the time until all dispatchers had applied the last change.
async fn change_worker(cluster: &ClusterHarness, changes: usize) -> Result<Duration, ClusterError> {
    let mut propagation_time = Duration::ZERO;
    for change in 0..changes {
        let ends = change % 2 == 0;
        cluster.discovery.set_phase(0, if ends { "terminated" } else { "in_service" });
        propagation_time = cluster.wait_for_workers(WORKERS - usize::from(ends)).await?;
        sleep(CHANGE_INTERVAL.saturating_sub(propagation_time)).await;
    }
    Ok(propagation_time)
}

/// Counters at one point in time.
struct Sample {
    /// Processor time of each coordinator, in seconds.
    coordinator_cpu: Vec<f64>,
    /// Processor time of each dispatcher, in seconds.
    dispatcher_cpu: Vec<f64>,
    discovery_calls: u64,
    discovery_messages: u64,
    probes: u64,
    bytes: u64,
}

impl Sample {
    fn take(cluster: &ClusterHarness, worker: &ProbedWorker) -> Sample {
        let ProcessIds { coordinators, dispatchers } = cluster.process_ids();
        let cpu = |ids: &[u32]| -> Vec<f64> { ids.iter().map(|id| cpu_seconds(*id)).collect() };
        Sample {
            coordinator_cpu: cpu(&coordinators),
            dispatcher_cpu: cpu(&dispatchers),
            discovery_calls: cluster.discovery.requests(),
            discovery_messages: cluster.discovery.messages(),
            probes: worker.probes.get(),
            bytes: cluster.network.as_ref().map_or(0, |network| network.borrow().bytes),
        }
    }
}

/// Computes the result of an arm from two samples and the present resource usage of its processes.
fn side(
    cluster: &ClusterHarness,
    before: &Sample,
    after: &Sample,
    seconds: f64,
    propagation_time: Duration,
) -> Side {
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
    let cores = |after: &[f64], before: &[f64]| -> Vec<f64> {
        after.iter().zip(before).map(|(after, before)| (after - before) / seconds).collect()
    };
    let most = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let largest = |ids: &[u32]| ids.iter().map(|id| resident_mb(*id)).fold(0.0, f64::max);
    let member_cpu = cores(&after.dispatcher_cpu, &before.dispatcher_cpu);
    let ProcessIds { coordinators, dispatchers } = cluster.process_ids();
    Side {
        calls_to_begin: before.discovery_calls,
        calls_per_s: rate(after.discovery_calls, before.discovery_calls),
        watches: cluster.discovery.open_watches(),
        told_per_s: rate(after.discovery_messages, before.discovery_messages),
        probes_per_s: rate(after.probes, before.probes),
        bytes_per_s: rate(after.bytes, before.bytes),
        keeper_cpu: most(&cores(&after.coordinator_cpu, &before.coordinator_cpu)),
        member_cpu: MemberCpu {
            mean: member_cpu.iter().sum::<f64>() / member_cpu.len() as f64,
            busiest: most(&member_cpu),
        },
        memory_mb: ResidentMemory { coordinator: largest(&coordinators), member: largest(&dispatchers) },
        descriptors: dispatchers.iter().map(|id| open_descriptors(*id)).max().unwrap_or(0),
        known_s: propagation_time.as_secs_f64(),
    }
}

/// A worker that answers health checks and counts them.
#[derive(Default)]
struct ProbedWorker {
    probes: Cell<u64>,
}

impl EmulatedWorker for ProbedWorker {
    async fn serve_request(&self, _request: &Head, stream: &mut TcpStream) -> std::io::Result<ConnectionUse> {
        self.probes.set(self.probes.get() + 1);
        write_healthy(stream).await?;
        Ok(ConnectionUse::KeepOpen)
    }
}
