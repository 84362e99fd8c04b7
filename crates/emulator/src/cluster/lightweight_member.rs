//! A cluster member without jobs. It has a real session on the real transport, and a lease whose effects carry only
//! their fencing token.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use cluster_member::effects::{serve_effects, Publisher};
use cluster_member::member::{self, Member, MembershipEnd};
use cluster_member::record::{RecordKind, Recorder};
use coordination::{HeldLease, InjectedBug, LeaseClient, LeaseId, Timing};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

use super::error::ClusterError;

/// Pause between two rounds of effects.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Number of effects of each lease in a round.
const EFFECTS_PER_ROUND: u32 = 5;
/// Time from one effect of a round to the next.
const EFFECT_INTERVAL: Duration = Duration::from_millis(4);

/// Configuration of a lightweight member, as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberConfig {
    /// Name of the installation.
    pub installation: String,
    /// Name of the member.
    pub name: String,
    /// Address at which it receives effects.
    pub listen: SocketAddr,
    /// Address that it advertises to the other members.
    pub address: SocketAddr,
    /// Source address of its connections.
    pub bind: Option<IpAddr>,
    /// Addresses of the coordinators, by number.
    #[serde(rename = "keepers")]
    pub coordinators: BTreeMap<u64, SocketAddr>,
    /// Leases that it is eligible for.
    #[serde(rename = "duties")]
    pub leases: Vec<String>,
    /// Durations of sessions and leases, the same as those of the coordinators.
    pub times: Timing,
    /// File that its record is appended to.
    pub record: Option<PathBuf>,
    /// Name of the bug to inject.
    #[serde(rename = "bug")]
    pub injected_bug: Option<String>,
    /// Seed of its random draws.
    pub seed: u64,
}

/// Runs a lightweight member until SIGTERM.
///
/// # Errors
/// Returns a [`ClusterError`] if its configuration cannot be read, or a socket, file or signal handler cannot be set
/// up.
pub fn run(file: &Path) -> Result<(), ClusterError> {
    let text = std::fs::read_to_string(file).map_err(ClusterError::io(file.display()))?;
    let config: MemberConfig =
        serde_json::from_str(&text).map_err(|source| ClusterError::Json { path: file.to_owned(), source })?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ClusterError::io("Tokio runtime"))?;
    tokio::task::LocalSet::new().block_on(&runtime, run_member(config))
}

async fn run_member(config: MemberConfig) -> Result<(), ClusterError> {
    let bug_name = config.injected_bug.as_deref();
    let injected_bug = bug_name.and_then(InjectedBug::from_name);
    let record = match &config.record {
        Some(path) => Recorder::append_to(path).map_err(ClusterError::io(path.display()))?,
        None => Recorder::default(),
    };
    let eligible_leases: Result<Vec<LeaseId>, ClusterError> =
        config.leases.iter().map(|lease| Ok(lease.parse::<LeaseId>()?)).collect();
    let listener = TcpListener::bind(config.listen).await.map_err(ClusterError::io(config.listen))?;
    let settings = member::MemberConfig {
        installation: config.installation,
        name: config.name,
        zone: String::new(),
        address: config.address.to_string(),
        replicas: config.coordinators,
        local_address: config.bind,
        timing: config.times,
        eligible_leases: eligible_leases?,
        seed: config.seed,
    };
    let member =
        Member::new(settings, LeaseClient::new(config.times).with_injected_bug(injected_bug), record);
    member.recorder().record(cluster_member::clock::now(), RecordKind::ProcessStarted, serde_json::json!({}));
    tokio::task::spawn_local(serve_effects(member.clone(), listener, |_| Vec::new()));
    tokio::task::spawn_local(publish_effects(member.clone()));
    let mut terminate = signal(SignalKind::terminate()).map_err(ClusterError::io("SIGTERM handler"))?;
    let leaving_member = member.clone();
    tokio::task::spawn_local(async move {
        terminate.recv().await;
        leaving_member.leave();
    });
    match member.run().await {
        MembershipEnd::Left => Ok(()),
        MembershipEnd::Superseded { .. } | MembershipEnd::Rejected(_) | MembershipEnd::NoReplicas => {
            // A dispatcher would continue to serve its clients; this process idles until the harness ends it.
            sleep(Duration::from_secs(3_600)).await;
            Ok(())
        }
    }
}

/// Publishes effects of every lease that this member holds.
async fn publish_effects(member: Member) {
    let mut publishers: BTreeMap<LeaseId, Publisher> = BTreeMap::new();
    loop {
        let held_leases = member.held_leases();
        publishers.retain(|lease, publisher| {
            held_leases.iter().any(|held| held.lease == *lease && held.token == publisher.token())
        });
        for HeldLease { lease, token } in held_leases {
            publishers.entry(lease.clone()).or_insert_with(|| Publisher::new(&member, lease, token));
        }
        for _ in 0..EFFECTS_PER_ROUND {
            publishers.values_mut().for_each(|publisher| {
                publisher.publish(Vec::new());
            });
            sleep(EFFECT_INTERVAL).await;
        }
        sleep(ROUND_PAUSE).await;
    }
}
