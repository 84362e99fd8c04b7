//! What a fleet saves and what it costs, by its size: the same idle dispatchers that share nothing, and as members, one
//! side after the other, with real coordinators and every link between coordinators and members through a proxy that counts.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use serde::Serialize;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::cluster_harness::{run_in_folder, Binaries, ClusterHarness, ClusterSpec};
use super::emulated_discovery::EmulatedDiscovery;
use super::error::ClusterError;
use crate::sockets::http;

/// Workers.
const WORKERS: usize = 20;
/// A worker changes this often while it is measured.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// What one side gave, a second where it says so.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Side {
    /// Requests to discovery until all knew the list.
    pub calls_to_begin: u64,
    /// Requests to discovery a second afterwards, and watches open at the end.
    pub calls_per_s: f64,
    /// See [`Side::calls_per_s`].
    pub watches: u64,
    /// Messages that discovery sent a second.
    pub told_per_s: f64,
    /// Probes at all workers together a second.
    pub probes_per_s: f64,
    /// Bytes a second between coordinators and members, and between members, both ways.
    pub bytes_per_s: f64,
    /// Part of a core that the busiest coordinator used, and the mean and the busiest member.
    pub keeper_cpu: f64,
    /// See [`Side::keeper_cpu`].
    pub member_cpu: (f64, f64),
    /// Megabytes resident, the largest coordinator and the largest member.
    pub memory_mb: (f64, f64),
    /// Descriptors open in the member that had most.
    pub descriptors: usize,
    /// Seconds until all knew of the last change.
    pub known_s: f64,
}

/// Plays one side below this folder: so many dispatchers, members with this block `fleet` or of none.
///
/// # Errors
/// Something could not be set up.
pub fn play(
    dir: &Path,
    binaries: &Binaries,
    members: usize,
    cluster: Option<&str>,
    length: Duration,
) -> Result<Side, ClusterError> {
    run_in_folder(dir, measure(dir, binaries.clone(), members, cluster, length))
}

async fn measure(
    dir: &Path,
    binaries: Binaries,
    members: usize,
    cluster: Option<&str>,
    length: Duration,
) -> Result<Side, ClusterError> {
    let (discovery, probes) = (EmulatedDiscovery::new(0), Rc::new(Cell::new(0u64)));
    for worker in 0..WORKERS {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.map_err(ClusterError::io("a worker's listener"))?;
        discovery.add(worker, listener.local_addr().map_err(ClusterError::io("a worker's listener"))?);
        spawn_local(serve_worker(probes.clone(), listener));
    }
    let discoveries = std::slice::from_ref(&discovery);
    let setup = ClusterSpec {
        coordinators: 3,
        dispatchers: members,
        cluster_settings: cluster,
        discoveries,
        proxy_seed: Some(1),
    };
    let together = ClusterHarness::start(dir, binaries, settings(members, cluster.is_none()), setup).await?;
    together.wait_for_workers(WORKERS).await?;
    if cluster.is_some() {
        together.wait_for_watches(1).await?;
    }
    // Members settle and sets are evened out before anything counts.
    sleep(Duration::from_secs(10)).await;
    let (coordinators, dispatchers) = together.process_ids();
    let used = |ids: &[u32]| -> Vec<f64> { ids.iter().map(|id| cpu(*id)).collect() };
    let before =
        (used(&coordinators), used(&dispatchers), discovery.message_counts(), probes.get(), bytes(&together));
    let changes = (length.as_secs_f64() / CHANGE_INTERVAL.as_secs_f64()) as usize;
    let mut known = Duration::ZERO;
    for change in 0..changes {
        // One drains and comes back, in turn, so that there is news.
        let phase = if change % 2 == 0 { "terminated" } else { "in_service" };
        discovery.set_phase(0, phase);
        known = together.wait_for_workers(WORKERS - usize::from(change % 2 == 0)).await?;
        sleep(CHANGE_INTERVAL.saturating_sub(known)).await;
    }
    let seconds = CHANGE_INTERVAL.as_secs_f64() * changes as f64;
    let part = |now: Vec<f64>, then: &[f64]| -> Vec<f64> {
        now.iter().zip(then).map(|(now, then)| (now - then) / seconds).collect()
    };
    let (of_keepers, of_members) =
        (part(used(&coordinators), &before.0), part(used(&dispatchers), &before.1));
    let most = |all: &[f64]| all.iter().copied().fold(0.0, f64::max);
    let per_s = |now: u64, then: u64| (now - then) as f64 / seconds;
    let largest = |ids: &[u32]| ids.iter().map(|id| resident_mb(*id)).fold(0.0, f64::max);
    Ok(Side {
        calls_to_begin: before.2 .0,
        calls_per_s: per_s(discovery.message_counts().0, before.2 .0),
        watches: discovery.connection_counts().1,
        told_per_s: per_s(discovery.message_counts().1, before.2 .1),
        probes_per_s: per_s(probes.get(), before.3),
        bytes_per_s: per_s(bytes(&together), before.4),
        keeper_cpu: most(&of_keepers),
        member_cpu: (of_members.iter().sum::<f64>() / members as f64, most(&of_members)),
        memory_mb: (largest(&coordinators), largest(&dispatchers)),
        descriptors: dispatchers.iter().map(|id| descriptors(*id)).max().unwrap_or(0),
        known_s: known.as_secs_f64(),
    })
}

fn bytes(together: &ClusterHarness) -> u64 {
    together.network.as_ref().map_or(0, |network| network.borrow().bytes)
}

/// Seconds of processor time that a process has used.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks = |n: usize| after.split_whitespace().nth(n).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / rustix::param::clock_ticks_per_second() as f64
}

fn resident_mb(id: u32) -> f64 {
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * rustix::param::page_size() as f64 / 1e6
}

fn descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

fn settings(members: usize, probes: bool) -> serde_json::Value {
    json!({
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "azs": ["north", "south", "west"], "flavors": ["small"], "balancers": members, "slot-no": 0, "zone": 0,
            "discovery": "push", "resolution-s": 0.001,
            "profiles": [{"name": "lookup", "idempotency": "free", "promise-s": 0.5, "deadline-s": 5.0, "late-worth": 0.2}],
            "projects": [{"name": "web", "share": 1.0, "quota-per-s": 100.0}],
            "caps": {"cancel": true, "dial-timeout-s": 0.25, "keepalive-s": 5.0, "max-retry-after-s": 2.0,
                     "parallel-tries": true, "probes": probes, "retry-after": true, "send-cap": 4},
            "family-info": {"tells-start": true, "class-stretch": [2.0], "class-kind": [-1]},
            "obligations": {"cold-share": 0.14, "drain-grace-s": 0.5, "fall-multiple": 3.0, "tip-after-s": 1.5,
                            "warm-within-s": 24.0},
            "charges": {"cross-zone": 0.025}
        }
    })
}

/// A emulated worker that is asked how it is, and nothing else.
async fn serve_worker(probes: Rc<Cell<u64>>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let probes = probes.clone();
        spawn_local(async move {
            // A connection that breaks is the other side's matter.
            let _ = answer_probes(&probes, stream).await;
        });
    }
}

async fn answer_probes(probes: &Cell<u64>, mut stream: TcpStream) -> std::io::Result<()> {
    let mut buffer = BytesMut::new();
    while let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? {
        let _ = http::body(&mut stream, &mut buffer, &head).await?;
        probes.set(probes.get() + 1);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
    }
    Ok(())
}
