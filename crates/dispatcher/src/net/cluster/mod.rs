//! Membership in a cluster, if the local settings name one. The dispatchers of a cluster share the endpoint list,
//! health checks, slow-start quotas and planned drains; the holder of a lease manages each of these.
//!
//! Jobs never wait for the cluster. If there are no coordinators, no lease holder or no events from it, the dispatcher
//! follows discovery as if there were no cluster.

mod effect_handlers;
mod health_checks;
mod held_lease;
mod membership;
mod recorded_event;
mod shared_list;
mod slow_start;
mod timing;

use std::cell::Cell;
use std::rc::Rc;

use cluster_member::effects::serve_effects;
use cluster_member::health_check::HealthCheckConfig;
use cluster_member::member::Member;
use cluster_member::slow_start::{QuotaConfig, SlowStartProfile};
use coordination::Micros;
use disruption_budget::WarmupTracker;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::metrics::ClusterMetrics;
use super::planned_drain::{LocalStatus, PlannedDrain};
use super::worker::pool::Pool;
use crate::config::Config;
use crate::engine::micros;
use crate::settings_file::ClusterSettings;
use effect_handlers::EffectHandlers;
use health_checks::ClusterHealthChecks;
use slow_start::{SlowStartParameters, SlowStartQuota};

pub(super) use held_lease::held_token;
pub(super) use recorded_event::RecordedEvent;
pub(super) use shared_list::{SharedList, SharedListSubscription};
pub(super) use timing::periodic;

/// Longest time from the decision on a job to the last byte of its request, excluding the time to connect, in
/// microseconds.
const MAX_WRITE_DELAY: Micros = 100_000;
/// Combined with the configured seed, so that the random numbers for grants differ from those of the decision module
/// and of the member.
const SLOW_START_SEED: u64 = 49_181;

/// Parameters of [`join`].
pub(super) struct JoinParameters<'a> {
    pub(super) settings: &'a ClusterSettings,
    pub(super) config: &'a Config,
    pub(super) pool: Rc<Pool>,
    /// Mean work of a job in slot-seconds, kept current by the engine.
    pub(super) mean_job_work: Rc<Cell<f64>>,
    pub(super) metrics: ClusterMetrics,
    pub(super) status: LocalStatus,
}

/// Components of the membership that the rest of the program uses.
pub(super) struct ClusterHandle {
    pub(super) shared_list: SharedListSubscription,
    /// `None` unless standby requires a permit.
    pub(super) planned_drain: Option<Rc<PlannedDrain>>,
}

/// Joins the cluster: listens for effects of lease holders and starts all tasks of the member.
///
/// # Errors
/// Returns an error if the listener or the record file cannot be opened.
pub(super) async fn join(parameters: JoinParameters<'_>) -> std::io::Result<ClusterHandle> {
    let settings = parameters.settings;
    let listener = TcpListener::bind(settings.listen).await?;
    let address = match settings.advertised_address {
        Some(address) => address,
        None => listener.local_addr()?,
    };
    let health_checks = health_check_config(settings, parameters.config);
    let member = membership::create_member(settings, parameters.config, health_checks.as_ref(), address)?;
    let components = Components::new(parameters, member, health_checks);
    components.start(listener);
    Ok(components.into_handle())
}

/// Components of the membership; those that the settings disable are `None`.
struct Components {
    member: Member,
    status: LocalStatus,
    metrics: ClusterMetrics,
    shared_list: SharedListSubscription,
    health_checks: Option<Rc<ClusterHealthChecks>>,
    slow_start: Option<Rc<SlowStartQuota>>,
    planned_drain: Option<Rc<PlannedDrain>>,
}

impl Components {
    fn new(
        parameters: JoinParameters<'_>,
        member: Member,
        health_checks: Option<HealthCheckConfig>,
    ) -> Components {
        let JoinParameters { settings, config, pool, mean_job_work, metrics, status } = parameters;
        let health_checks = health_checks.map(|checks| {
            let zone = membership::zone_name(config);
            Rc::new(ClusterHealthChecks::new(checks, zone, member.clone(), pool.clone(), metrics.clone()))
        });
        let slow_start = settings.slow_start.map(|quota| {
            let parameters = slow_start_parameters(quota, config, mean_job_work);
            Rc::new(SlowStartQuota::new(parameters, member.clone(), pool, metrics.clone()))
        });
        let shared_list = SharedList::with_events(settings, config, member.clone());
        let planned_drain = settings.readiness_validity.map(|readiness_validity| {
            let warmup = warmup_tracker(config);
            let status = status.clone();
            Rc::new(PlannedDrain::new(readiness_validity, member.clone(), status, metrics.clone(), warmup))
        });
        if let Some(planned_drain) = &planned_drain {
            let list = shared_list.list.clone();
            let health_checks = health_checks.clone();
            planned_drain.observe_workers(Box::new(move || list.workers(health_checks.as_deref())));
        }
        Components { member, status, metrics, shared_list, health_checks, slow_start, planned_drain }
    }

    /// Starts the tasks of all components.
    fn start(&self, listener: TcpListener) {
        self.start_health_checks();
        self.start_slow_start();
        self.start_planned_drain();
        self.start_effect_server(listener);
        self.start_metrics();
        self.start_shared_list();
        self.start_membership();
    }

    fn start_health_checks(&self) {
        if let Some(health_checks) = &self.health_checks {
            spawn_local(health_checks.clone().run());
        }
    }

    fn start_slow_start(&self) {
        if let Some(slow_start) = &self.slow_start {
            spawn_local(slow_start.clone().run());
        }
    }

    fn start_planned_drain(&self) {
        if let Some(planned_drain) = &self.planned_drain {
            spawn_local(planned_drain.clone().run());
        }
    }

    fn start_effect_server(&self, listener: TcpListener) {
        let handlers = EffectHandlers {
            shared_list: self.shared_list.list.clone(),
            planned_drain: self.planned_drain.clone(),
            slow_start: self.slow_start.clone(),
            health_checks: self.health_checks.clone(),
        };
        spawn_local(serve_effects(self.member.clone(), listener, move |effect| handlers.handle(&effect)));
    }

    fn start_shared_list(&self) {
        spawn_local(self.shared_list.list.clone().run());
    }

    fn start_metrics(&self) {
        spawn_local(membership::update_metrics(self.member.clone(), self.metrics.clone()));
    }

    fn start_membership(&self) {
        spawn_local(membership::run_member(self.member.clone()));
        spawn_local(membership::release_on_shutdown(self.member.clone(), self.status.phase.clone()));
    }

    fn into_handle(self) -> ClusterHandle {
        ClusterHandle { shared_list: self.shared_list, planned_drain: self.planned_drain }
    }
}

/// Returns the settings of health checks, completed by the number of zones; `None` if the local settings disable them.
fn health_check_config(settings: &ClusterSettings, config: &Config) -> Option<HealthCheckConfig> {
    let zone_count = config.names.zones.len().clamp(1, usize::from(u16::MAX)) as u16;
    settings.health_checks.map(|checks| HealthCheckConfig { zone_count, ..checks })
}

fn slow_start_parameters(
    quota: QuotaConfig,
    config: &Config,
    mean_job_work: Rc<Cell<f64>>,
) -> SlowStartParameters {
    let delivery_timeout = config.dial_timeout + MAX_WRITE_DELAY;
    SlowStartParameters {
        config: QuotaConfig { delivery_timeout, ..quota },
        profile: slow_start_profile(config),
        mean_job_work,
        seed: config.seed ^ SLOW_START_SEED,
    }
}

fn slow_start_profile(config: &Config) -> SlowStartProfile {
    let settings = &config.settings;
    SlowStartProfile {
        initial_capacity_fraction: settings.slow_start_min_capacity,
        ramp_duration: micros(settings.slow_start_duration),
        overload_factor: settings.overload_multiple,
        overload_window: micros(settings.overload_window),
    }
}

fn warmup_tracker(config: &Config) -> WarmupTracker {
    let profile = slow_start_profile(config);
    WarmupTracker::new(profile.initial_capacity_fraction, profile.ramp_duration)
}
