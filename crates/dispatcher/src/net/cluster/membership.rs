//! This process as a member of the cluster: its configuration, its session and the metrics of both.

use std::net::SocketAddr;
use std::time::Duration;

use cluster_member::clock;
use cluster_member::endpoint_list::ENDPOINT_LIST_LEASE;
use cluster_member::health_check::HealthCheckConfig;
use cluster_member::member::{Member, MemberConfig, MembershipEnd};
use cluster_member::record::Recorder;
use cluster_member::slow_start::SLOW_START_LEASE;
use coordination::{LeaseClient, LeaseId};
use disruption_budget::OBSERVER_LEASE;
use tokio::sync::watch;

use super::recorded_event::RecordedEvent;
use super::timing::periodic;
use crate::config::Config;
use crate::net::metrics::ClusterMetrics;
use crate::net::shutdown::ShutdownPhase;
use crate::settings_file::ClusterSettings;

/// Combined with the configured seed, so that the random numbers of the member differ from those of the decision
/// module.
const MEMBER_SEED: u64 = 990_951;
/// Interval at which the metrics of the session are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Creates the member without a session, and records the start of the process.
///
/// # Errors
/// Returns the error of the record file if it cannot be opened.
pub(super) fn create_member(
    settings: &ClusterSettings,
    config: &Config,
    health_checks: Option<&HealthCheckConfig>,
    address: SocketAddr,
) -> std::io::Result<Member> {
    let member_config = MemberConfig {
        installation: settings.installation.clone(),
        name: config.name.clone(),
        zone: zone_name(config),
        address: address.to_string(),
        replicas: settings.coordinators.clone(),
        local_address: settings.bind_address,
        timing: settings.timing,
        eligible_leases: eligible_leases(settings, health_checks),
        seed: config.seed ^ MEMBER_SEED,
    };
    let recorder = match &settings.record {
        Some(path) => Recorder::append_to(path)?,
        None => Recorder::default(),
    };
    let member = Member::new(member_config, LeaseClient::new(settings.timing), recorder);
    RecordedEvent::ProcessStarted {}.write(member.recorder(), clock::now());
    Ok(member)
}

/// Returns the name of this dispatcher's zone; empty if the settings list no zones.
pub(super) fn zone_name(config: &Config) -> String {
    config.names.zones.name(config.settings.zone).to_owned()
}

fn eligible_leases(settings: &ClusterSettings, health_checks: Option<&HealthCheckConfig>) -> Vec<LeaseId> {
    let mut leases = Vec::new();
    if settings.shared_list {
        leases.push(LeaseId::fleet(ENDPOINT_LIST_LEASE));
    }
    if settings.slow_start.is_some() {
        leases.push(LeaseId::fleet(SLOW_START_LEASE));
    }
    if settings.readiness_validity.is_some() {
        leases.push(LeaseId::fleet(OBSERVER_LEASE));
    }
    if let Some(health_checks) = health_checks {
        leases.extend(health_checks.leases());
    }
    leases
}

/// Maintains a session until the member leaves or the coordinators reject it, and logs the end of the membership.
pub(super) async fn run_member(member: Member) {
    match member.run().await {
        MembershipEnd::Left => tracing::info!("left the cluster"),
        MembershipEnd::Superseded { incarnation } => {
            tracing::error!(
                incarnation,
                "no longer a cluster member: superseded by a later process; continuing without the cluster"
            );
        }
        MembershipEnd::Rejected(rejection) => {
            tracing::error!(%rejection, "no longer a cluster member: the coordinators rejected the session; continuing without the cluster");
        }
        MembershipEnd::NoReplicas => {
            tracing::error!(
                "no longer a cluster member: no replica is configured; continuing without the cluster"
            );
        }
    }
}

/// Leaves the cluster once a shutdown begins, so that other members take over its leases while this one drains.
pub(super) async fn release_on_shutdown(member: Member, mut phase: watch::Receiver<ShutdownPhase>) {
    let _ = phase.wait_for(|phase| *phase != ShutdownPhase::Serving).await;
    member.leave();
}

/// Updates the metrics of the session. Never returns.
pub(super) async fn update_metrics(member: Member, metrics: ClusterMetrics) {
    let mut ticks = periodic(METRICS_INTERVAL);
    loop {
        ticks.tick().await;
        let now = clock::now();
        let lease_client = member.lease_client().borrow();
        let counts = lease_client.effect_counts();
        metrics.session.set(i64::from(lease_client.active_session(now).is_some()));
        metrics.leases_held.set(lease_client.held_leases(now).len() as i64);
        metrics.effects_rejected.set((counts.stale_tokens + counts.without_session) as i64);
    }
}
