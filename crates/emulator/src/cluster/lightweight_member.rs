//! A member without jobs: the real session, the real links, and a lease whose effects say nothing but their token.

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

/// How often an holder has something to say, and in how many pieces with how much time between them.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
const EFFECTS_PER_ROUND: u32 = 5;
const EFFECT_INTERVAL: Duration = Duration::from_millis(4);

/// What a lightweight member is told, as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberConfig {
    /// The installation.
    pub installation: String,
    /// Its name.
    pub name: String,
    /// Where it takes effects.
    pub listen: SocketAddr,
    /// Where others are told that it is.
    pub address: SocketAddr,
    /// The address that its connections come from.
    pub bind: Option<IpAddr>,
    /// The coordinators.
    #[serde(rename = "keepers")]
    pub coordinators: BTreeMap<u64, SocketAddr>,
    /// The leases that it offers.
    #[serde(rename = "duties")]
    pub leases: Vec<String>,
    /// The times, as the coordinators have them.
    pub times: Timing,
    /// Where it records.
    pub record: Option<PathBuf>,
    /// A bug put in, by name.
    #[serde(rename = "bug")]
    pub injected_bug: Option<String>,
    /// Its seed.
    pub seed: u64,
}

/// Runs a lightweight member until it is told to end.
///
/// # Errors
/// It cannot start.
pub fn run(file: &Path) -> Result<(), ClusterError> {
    let text = std::fs::read_to_string(file).map_err(ClusterError::io(file.display()))?;
    let light: MemberConfig =
        serde_json::from_str(&text).map_err(|source| ClusterError::Json { path: file.to_owned(), source })?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ClusterError::io("a runtime"))?;
    tokio::task::LocalSet::new().block_on(&runtime, run_member(light))
}

async fn run_member(light: MemberConfig) -> Result<(), ClusterError> {
    let bug = light.injected_bug.as_deref();
    let flaw = bug.and_then(InjectedBug::from_name);
    let record = match &light.record {
        Some(path) => Recorder::append_to(path).map_err(ClusterError::io(path.display()))?,
        None => Recorder::default(),
    };
    let offers: Result<Vec<LeaseId>, ClusterError> =
        light.leases.iter().map(|lease| Ok(lease.parse::<LeaseId>()?)).collect();
    let listener = TcpListener::bind(light.listen).await.map_err(ClusterError::io(light.listen))?;
    let settings = member::MemberConfig {
        installation: light.installation,
        name: light.name,
        zone: String::new(),
        address: light.address.to_string(),
        replicas: light.coordinators,
        local_address: light.bind,
        timing: light.times,
        eligible_leases: offers?,
        seed: light.seed,
    };
    let member = Member::new(settings, LeaseClient::new(light.times).with_injected_bug(flaw), record);
    member.recorder().record(cluster_member::clock::now(), RecordKind::ProcessStarted, serde_json::json!({}));
    tokio::task::spawn_local(serve_effects(member.clone(), listener, |_| Vec::new()));
    tokio::task::spawn_local(publish_effects(member.clone()));
    let mut terminate = signal(SignalKind::terminate()).map_err(ClusterError::io("handler of SIGTERM"))?;
    let leaver = member.clone();
    tokio::task::spawn_local(async move {
        terminate.recv().await;
        leaver.leave();
    });
    match member.run().await {
        MembershipEnd::Left => Ok(()),
        MembershipEnd::Superseded { .. } | MembershipEnd::Rejected(_) | MembershipEnd::NoReplicas => {
            // No member any more, and alive: it would go on with its own work.
            sleep(Duration::from_secs(3_600)).await;
            Ok(())
        }
    }
}

/// Does the rounds of every lease that this member owns.
async fn publish_effects(member: Member) {
    let mut terms: BTreeMap<LeaseId, Publisher> = BTreeMap::new();
    loop {
        let owned = member.held_leases();
        terms.retain(|duty, term| owned.iter().any(|held| held.lease == *duty && held.token == term.token()));
        for HeldLease { lease, token } in owned {
            terms.entry(lease.clone()).or_insert_with(|| Publisher::new(&member, lease, token));
        }
        for _ in 0..EFFECTS_PER_ROUND {
            terms.values_mut().for_each(|term| {
                term.publish(Vec::new());
            });
            sleep(EFFECT_INTERVAL).await;
        }
        sleep(ROUND_PAUSE).await;
    }
}
