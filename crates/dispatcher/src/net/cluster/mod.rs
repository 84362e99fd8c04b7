//! Being a member of a fleet, where our own settings name keepers: the list of workers asked for by one member,
//! the workers watched by one each, and what cold workers bear handed out by one.
//!
//! Nothing here is on the way of a job. Without a keeper, an owner or news of it, discovery is followed as if there
//! were no fleet.

mod health_checks;
mod slow_start;
mod timing;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use cluster_member::clock;
use cluster_member::discovery_fallback::DiscoveryFallback;
use cluster_member::effects::{serve_effects, Publisher};
use cluster_member::endpoint_list::{EndpointSnapshot, WatchEvent, ENDPOINT_LIST_LEASE};
use cluster_member::health_check::HealthCheckConfig;
use cluster_member::member::{Member, MemberConfig, MembershipEnd};
use cluster_member::record::Recorder;
use cluster_member::slow_start::{QuotaConfig, SlowStartProfile, SLOW_START_LEASE};
use cluster_member::wire::Effect;
use coordination::{LeaseClient, LeaseId, Micros};
use dispatch_core::api::WorkerState;
use dispatch_core::hashing::worker_id;
use disruption_budget::{ListedWorker, WarmupTracker, OBSERVER_LEASE};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

use super::metrics::ClusterMetrics;
use super::planned_drain::{LocalStatus, PlannedDrain};
use super::shutdown::ShutdownPhase;
use super::worker::pool::Pool;
use crate::config::Config;
use crate::endpoint_list::EndpointEntry;
use crate::engine::micros;
use crate::settings_file::ClusterSettings;
use health_checks::ClusterHealthChecks;
use slow_start::SlowStartQuota;
use timing::PUBLISH_INTERVAL;
/// How long a job may take from being decided on to its last byte, beside the time for a connection.
const MAX_WRITE_DELAY: Micros = 100_000;
/// News that wait for the one who follows discovery, at the most.
const WATCH_EVENT_QUEUE: usize = 16;

/// Told apart from the decision module's seed and from each other: each draws different things.
const MEMBER_SEED: u64 = 0x000f_1ee7;
const SLOW_START_SEED: u64 = 0xc01d;

/// The duty "list" at this member.
pub(super) struct SharedList {
    settings: ClusterSettings,
    /// What revisions count at.
    source: RefCell<String>,
    member: Member,
    snapshot: RefCell<EndpointSnapshot>,
    fallback: RefCell<DiscoveryFallback>,
    /// Whether discovery is to be asked from here.
    polls_discovery: watch::Sender<bool>,
    term: RefCell<Option<Publisher>>,
    /// Something is to be told: perhaps only that discovery still talks.
    publish_due: Cell<bool>,
    /// The revision and the members that were told the whole list last.
    published: Cell<(u64, usize)>,
    /// When discovery said something last, or this member began to own the duty.
    discovery_heard_at: Cell<Micros>,
}

/// What being a member gives to the rest of the program.
pub(super) struct ClusterHandle {
    pub(super) shared_list: Rc<SharedList>,
    /// What an owner of the list says.
    pub(super) events: mpsc::Receiver<WatchEvent>,
    /// Who decides on a planned standby, where that is agreed on.
    pub(super) planned_drain: Option<Rc<PlannedDrain>>,
}

/// Becomes a member. What an owner says goes to the receiver that is returned.
pub(super) async fn join(
    settings: &ClusterSettings,
    config: &Config,
    phase: watch::Receiver<ShutdownPhase>,
    (pool, usual): (&Rc<Pool>, Rc<Cell<f64>>),
    (metrics, own): (ClusterMetrics, LocalStatus),
) -> std::io::Result<ClusterHandle> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = settings.advertised_address.map_or_else(|| listener.local_addr(), Ok)?;
    let zones = config.names.zones.len().clamp(1, usize::from(u16::MAX)) as u16;
    let watch = settings.health_checks.map(|how| HealthCheckConfig { zone_count: zones, ..how });
    let zone = config.names.zones.get(config.settings.zone as usize).cloned().unwrap_or_default();
    let member = member_config(settings, config, &zone, address, offered_leases(settings, watch));
    let record = settings.record.as_deref().map_or(Ok(Recorder::default()), Recorder::append_to)?;
    let member = Member::new(member, LeaseClient::new(settings.times), record);
    member.recorder().record(clock::now(), "started", serde_json::json!({}));
    let (sender, news) = mpsc::channel(WATCH_EVENT_QUEUE);
    let health_checks = watch.map(|how| {
        Rc::new(ClusterHealthChecks::new(how, zone, member.clone(), pool.clone(), metrics.clone()))
    });
    health_checks.iter().for_each(|health_checks| drop(spawn_local(health_checks.clone().run())));
    let slow_start = settings.slow_start.map(|how| {
        let delivery_timeout = config.dial_timeout + MAX_WRITE_DELAY;
        let both = (QuotaConfig { delivery_timeout, ..how }, slow_start_profile(config));
        let seed = config.seed ^ SLOW_START_SEED;
        Rc::new(SlowStartQuota::new(both, member.clone(), pool.clone(), metrics.clone(), usual, seed))
    });
    slow_start.iter().for_each(|slow_start| drop(spawn_local(slow_start.clone().run())));
    let leave = settings.readiness_validity.map(|holds| {
        let cold = slow_start_profile(config);
        let warmup = WarmupTracker::new(cold.initial_capacity_fraction, cold.ramp_duration);
        Rc::new(PlannedDrain::new(holds, member.clone(), own, metrics.clone(), warmup))
    });
    leave.iter().for_each(|leave| drop(spawn_local(leave.clone().run())));
    let watches = health_checks.clone();
    let handlers = EffectHandlers { events: sender, planned_drain: leave.clone(), slow_start, health_checks };
    spawn_local(serve_effects(member.clone(), listener, move |effect| handlers.handle(&effect)));
    spawn_local(update_metrics(member.clone(), metrics));
    let lists = Rc::new(SharedList::new(settings, config, member.clone()));
    if let Some(leave) = &leave {
        let shared_list = lists.clone();
        leave.observe_workers(Box::new(move || shared_list.workers(watches.as_deref())));
    }
    spawn_local(lists.clone().run());
    spawn_local(run_member(member.clone()));
    spawn_local(release_on_shutdown(member, phase));
    Ok(ClusterHandle { shared_list: lists, events: news, planned_drain: leave })
}

/// The leases that this member can hold.
fn offered_leases(settings: &ClusterSettings, health_checks: Option<HealthCheckConfig>) -> Vec<LeaseId> {
    let mut offers: Vec<LeaseId> =
        settings.shared_list.then(|| LeaseId::fleet(ENDPOINT_LIST_LEASE)).into_iter().collect();
    offers.extend(settings.slow_start.map(|_| LeaseId::fleet(SLOW_START_LEASE)));
    offers.extend(settings.readiness_validity.map(|_| LeaseId::fleet(OBSERVER_LEASE)));
    offers.extend(health_checks.iter().flat_map(|how| how.leases()));
    offers
}

fn member_config(
    settings: &ClusterSettings,
    config: &Config,
    zone: &str,
    address: SocketAddr,
    offers: Vec<LeaseId>,
) -> MemberConfig {
    MemberConfig {
        installation: settings.installation.clone(),
        name: config.name.clone(),
        zone: zone.to_owned(),
        address: address.to_string(),
        replicas: settings.coordinators.clone(),
        local_address: settings.bind_address,
        timing: settings.times,
        eligible_leases: offers,
        seed: config.seed ^ MEMBER_SEED,
    }
}

/// Who takes the effects of lease holders, by lease.
struct EffectHandlers {
    events: mpsc::Sender<WatchEvent>,
    planned_drain: Option<Rc<PlannedDrain>>,
    slow_start: Option<Rc<SlowStartQuota>>,
    health_checks: Option<Rc<ClusterHealthChecks>>,
}

impl EffectHandlers {
    /// Takes an effect whose token was found good; returns what its sender is answered.
    fn handle(&self, effect: &Effect) -> Vec<u8> {
        match effect.lease.name.as_str() {
            ENDPOINT_LIST_LEASE => {
                if let Ok(event) = serde_json::from_slice::<WatchEvent>(&effect.body) {
                    // The latest counts; where the queue is full, the next one says more than this.
                    let _ = self.events.try_send(event);
                }
                Vec::new()
            }
            OBSERVER_LEASE => {
                self.planned_drain.as_ref().map_or_else(Vec::new, |drain| drain.encoded_readiness())
            }
            SLOW_START_LEASE => {
                self.slow_start.as_ref().map_or_else(Vec::new, |quota| quota.handle_grants(effect))
            }
            _ => {
                self.health_checks.iter().for_each(|checks| checks.handle_report(effect));
                Vec::new()
            }
        }
    }
}

/// What the platform says of cold workers.
fn slow_start_profile(config: &Config) -> SlowStartProfile {
    let settings = &config.settings;
    SlowStartProfile {
        initial_capacity_fraction: settings.slow_start_min_capacity,
        ramp_duration: micros(settings.slow_start_duration),
        overload_factor: settings.overload_multiple,
        overload_window: micros(settings.overload_window),
    }
}

/// Stays a member for as long as the keepers let it.
async fn run_member(member: Member) {
    match member.run().await {
        MembershipEnd::Left => tracing::info!("left the cluster"),
        ended => tracing::error!(?ended, "no longer a cluster member; continuing without it"),
    }
}

/// Keeps the figures of the session for as long as the program runs.
async fn update_metrics(member: Member, metrics: ClusterMetrics) {
    let mut rounds = interval(20 * PUBLISH_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let now = clock::now();
        let holder = member.lease_client().borrow();
        let counts = holder.effect_counts();
        metrics.session.set(i64::from(holder.active_session(now).is_some()));
        metrics.leases_held.set(holder.held_leases(now).len() as i64);
        metrics.effects_rejected.set((counts.stale_tokens + counts.without_session) as i64);
    }
}

/// Gives the duties back as soon as the program is told to end: somebody else follows discovery meanwhile.
async fn release_on_shutdown(member: Member, mut phase: watch::Receiver<ShutdownPhase>) {
    let _ = phase.wait_for(|phase| *phase != ShutdownPhase::Serving).await;
    member.leave();
}

impl SharedList {
    fn new(settings: &ClusterSettings, config: &Config, member: Member) -> SharedList {
        let source = settings.list_source.clone().unwrap_or_else(|| config.discovery.to_string());
        let fallback =
            DiscoveryFallback::with_seed(settings.list_silence, settings.fallback_per_s, config.seed);
        SharedList {
            settings: settings.clone(),
            source: RefCell::new(source),
            member,
            snapshot: RefCell::default(),
            fallback: RefCell::new(fallback),
            polls_discovery: watch::Sender::new(true),
            term: RefCell::default(),
            publish_due: Cell::default(),
            published: Cell::default(),
            discovery_heard_at: Cell::default(),
        }
    }

    /// The workers of the list, as watchers see them.
    fn workers(&self, health_checks: Option<&ClusterHealthChecks>) -> Vec<ListedWorker> {
        let snapshot = self.snapshot.borrow();
        let listed = |json: &Value| {
            let entry = EndpointEntry::new(json);
            let name = entry.name().unwrap_or_default();
            ListedWorker {
                name: name.to_owned(),
                zone: entry.zone().unwrap_or_default().to_owned(),
                pool: entry.kind().unwrap_or_default().to_owned(),
                in_service: entry.state() == Some(WorkerState::Serving),
                start_id: entry.start_id(),
                unhealthy: health_checks.is_some_and(|checks| checks.is_reported_failing(worker_id(name))),
            }
        };
        snapshot.entries().map(listed).collect()
    }

    /// Turns true when discovery is to be asked from here, and false when the fleet's list is relied on.
    pub(super) fn polls_discovery(&self) -> watch::Receiver<bool> {
        self.polls_discovery.subscribe()
    }

    /// Discovery has said something here: a list, or that nothing changed.
    pub(super) fn record_discovery(&self, list: Option<&Value>) {
        self.discovery_heard_at.set(clock::now());
        self.publish_due.set(true);
        if let Some(list) = list {
            self.snapshot.borrow_mut().apply(list);
        }
    }

    /// Discovery is another place from here on, or read by other names: it is asked from here first.
    pub(super) fn source_changed(&self, discovery: SocketAddr) {
        self.snapshot.borrow_mut().clear();
        self.fallback.borrow_mut().reset();
        self.decide_polling();
        if self.settings.list_source.is_none() {
            *self.source.borrow_mut() = discovery.to_string();
        }
    }

    /// Whether an owner's news are of the same source, so that revisions can be compared.
    pub(super) fn is_same_source(&self, news: &WatchEvent) -> bool {
        news.source == *self.source.borrow()
    }

    /// An owner's news were taken in, and all that it knows is known here.
    pub(super) fn accept_event(&self, news: &WatchEvent) {
        self.snapshot.borrow_mut().apply(&news.list);
        self.fallback.borrow_mut().record_event(clock::now(), news.member_count);
        self.decide_polling();
    }

    fn decide_polling(&self) {
        let owns = self.term.borrow().is_some();
        let asks = self.fallback.borrow().should_poll(clock::now(), owns);
        let changed = self.polls_discovery.send_if_modified(|old| std::mem::replace(old, asks) != asks);
        if changed {
            tracing::info!(
                owns,
                "{}",
                if asks { "polls discovery itself" } else { "relies on the shared list" }
            );
        }
    }

    async fn run(self: Rc<Self>) {
        let mut rounds = interval(PUBLISH_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.member.subscribe();
        loop {
            tokio::select! {
                _ = rounds.tick() => {}
                _ = changes.changed() => {}
            }
            self.update_term();
            self.decide_polling();
            self.publish();
        }
    }

    /// Notices whether this member owns the duty, and gives it back where discovery is silent here.
    fn update_term(&self) {
        let lease = LeaseId::fleet(ENDPOINT_LIST_LEASE);
        let held = self.member.held_leases().into_iter().find(|(held, _)| *held == lease);
        let mut term = self.term.borrow_mut();
        match held {
            Some((lease, token)) => {
                if term.as_ref().is_none_or(|term| term.token() != token) {
                    tracing::info!(token = token.0, "holds the list lease");
                    *term = Some(Publisher::new(&self.member, lease.clone(), token));
                    self.published.set((0, 0));
                    self.discovery_heard_at.set(clock::now());
                }
                if clock::now().saturating_sub(self.discovery_heard_at.get())
                    > self.settings.list_silence + self.settings.list_silence / 2
                {
                    tracing::warn!(token = token.0, "discovery is silent; releasing the list lease");
                    self.discovery_heard_at.set(clock::now());
                    self.member.release_lease(lease, token);
                }
            }
            None => *term = None,
        }
    }

    /// Tells the members what is due: the whole list where it or they have changed, else only that it still holds.
    fn publish(&self) {
        let mut term = self.term.borrow_mut();
        let Some(term) = term.as_mut().filter(|_| self.publish_due.get()) else { return };
        let snapshot = self.snapshot.borrow();
        let Some(list) = snapshot.complete_list() else { return };
        self.publish_due.set(false);
        let state = (snapshot.revision(), self.member.members().len());
        let whole = self.published.replace(state) != state;
        let members = state.1 as u64;
        let revision = serde_json::json!({"revision": state.0});
        let news = WatchEvent {
            source: self.source.borrow().clone(),
            member_count: members,
            list: if whole { list } else { revision },
        };
        if let Ok(body) = serde_json::to_vec(&news) {
            term.publish(body);
        }
    }
}
