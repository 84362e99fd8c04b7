//! Being a member of a fleet, where our own settings name keepers: the list of workers asked for by one member,
//! the workers watched by one each, and what cold workers bear handed out by one.
//!
//! Nothing here is on the way of a job. Without a keeper, an owner or news of it, discovery is followed as if there
//! were no fleet.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cluster_member::clock;
use cluster_member::effects::{serve_effects, Publisher};
use cluster_member::endpoint_list::{DiscoveryFallback, EndpointSnapshot, WatchEvent, ENDPOINT_LIST_LEASE};
use cluster_member::health_check::HealthCheckConfig;
use cluster_member::member::{Member, MemberConfig, MembershipEnd};
use cluster_member::record::Recorder;
use cluster_member::slow_start::{QuotaConfig, SlowStartProfile, SLOW_START_LEASE};
use coordination::{LeaseClient, LeaseId, Micros};
use dispatch_core::hashing::worker_id;
use disruption_budget::availability_observer::{ListedWorker, WarmupTracker, OBSERVER_LEASE};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

use super::cold::Colds;
use super::console::FleetMetrics;
use super::leave::{Leave, Own};
use super::signal::Phase;
use super::watchers::Watchers;
use super::worker::Pool;
use crate::config::Config;
use crate::engine::micros;
use crate::own::Fleet;

/// What changed within this is told together.
pub(super) const ROUND: Duration = Duration::from_millis(50);
/// How long a job may take from being decided on to its last byte, beside the time for a connection.
const WRITTEN: Micros = 100_000;
/// News that wait for the one who follows discovery, at the most.
const NEWS: usize = 16;

/// The duty "list" at this member.
pub(super) struct Lists {
    settings: Fleet,
    /// What revisions count at.
    source: RefCell<String>,
    member: Member,
    ledger: RefCell<EndpointSnapshot>,
    reliance: RefCell<DiscoveryFallback>,
    /// Whether discovery is to be asked from here.
    asks: watch::Sender<bool>,
    term: RefCell<Option<Publisher>>,
    /// Something is to be told: perhaps only that discovery still talks.
    due: Cell<bool>,
    /// The revision and the members that were told the whole list last.
    told: Cell<(u64, usize)>,
    /// When discovery said something last, or this member began to own the duty.
    heard: Cell<Micros>,
}

/// What being a member gives to the rest of the program.
pub(super) struct Joined {
    pub(super) lists: Rc<Lists>,
    /// What an owner of the list says.
    pub(super) news: mpsc::Receiver<WatchEvent>,
    /// Who decides on a planned standby, where that is agreed on.
    pub(super) leave: Option<Rc<Leave>>,
}

/// Becomes a member. What an owner says goes to the receiver that is returned.
pub(super) async fn start(
    settings: &Fleet,
    config: &Config,
    phase: watch::Receiver<Phase>,
    (pool, usual): (&Rc<Pool>, Rc<Cell<f64>>),
    (metrics, own): (FleetMetrics, Own),
) -> std::io::Result<Joined> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = settings.address.map_or_else(|| listener.local_addr(), Ok)?;
    let zones = config.names.zones.len().clamp(1, usize::from(u16::MAX)) as u16;
    let watch = settings.watch.map(|how| HealthCheckConfig { zone_count: zones, ..how });
    let mut offers: Vec<LeaseId> =
        settings.list.then(|| LeaseId::fleet(ENDPOINT_LIST_LEASE)).into_iter().collect();
    offers.extend(settings.cold.map(|_| LeaseId::fleet(SLOW_START_LEASE)));
    offers.extend(settings.account.map(|_| LeaseId::fleet(OBSERVER_LEASE)));
    offers.extend(watch.iter().flat_map(|how| how.leases()));
    let zone = config.names.zones.get(config.settings.zone as usize).cloned().unwrap_or_default();
    let member = MemberConfig {
        installation: settings.installation.clone(),
        name: config.name.clone(),
        zone: zone.clone(),
        address: address.to_string(),
        replicas: settings.keepers.clone(),
        local_address: settings.bind,
        timing: settings.times,
        eligible_leases: offers,
        // Another number than the module's: the two draw different things.
        seed: config.seed ^ 0x000f_1ee7,
    };
    let record = settings.record.as_deref().map_or(Ok(Recorder::default()), Recorder::append_to)?;
    let member = Member::new(member, LeaseClient::new(settings.times), record);
    member.recorder().record(clock::now(), "started", serde_json::json!({}));
    let (sender, news) = mpsc::channel(NEWS);
    let watchers =
        watch.map(|how| Rc::new(Watchers::new(how, zone, member.clone(), pool.clone(), metrics.clone())));
    watchers.iter().for_each(|watchers| drop(spawn_local(watchers.clone().rounds())));
    let colds = settings.cold.map(|how| {
        let both = (QuotaConfig { delivery_timeout: config.dial_timeout + WRITTEN, ..how }, warming(config));
        Rc::new(Colds::new(both, member.clone(), pool.clone(), metrics.clone(), usual, config.seed ^ 0xc01d))
    });
    colds.iter().for_each(|colds| drop(spawn_local(colds.clone().rounds())));
    let leave = settings.account.map(|holds| {
        let cold = warming(config);
        let warmup = WarmupTracker::new(cold.initial_capacity_fraction, cold.ramp_duration);
        Rc::new(Leave::new(holds, member.clone(), own, metrics.clone(), warmup))
    });
    leave.iter().for_each(|leave| drop(spawn_local(leave.clone().rounds())));
    let (leaver, watches) = (leave.clone(), watchers.clone());
    spawn_local(serve_effects(member.clone(), listener, move |effect| match effect.lease.name.as_str() {
        ENDPOINT_LIST_LEASE => {
            if let Ok(news) = serde_json::from_slice::<WatchEvent>(&effect.body) {
                // The latest counts; where the queue is full, the next one says more than this.
                let _ = sender.try_send(news);
            }
            Vec::new()
        }
        OBSERVER_LEASE => leaver.as_ref().map_or_else(Vec::new, |leave| leave.heard()),
        SLOW_START_LEASE => colds.as_ref().map_or_else(Vec::new, |colds| colds.heard(&effect)),
        _ => {
            watchers.iter().for_each(|watchers| watchers.heard(&effect));
            Vec::new()
        }
    }));
    spawn_local(figures(member.clone(), metrics));
    let source = settings.source.clone().unwrap_or_else(|| config.discovery.to_string());
    let reliance = DiscoveryFallback::with_seed(settings.silence, settings.fallback_per_s, config.seed);
    let lists = Rc::new(Lists {
        settings: settings.clone(),
        source: RefCell::new(source),
        member: member.clone(),
        ledger: RefCell::default(),
        reliance: RefCell::new(reliance),
        asks: watch::Sender::new(true),
        term: RefCell::default(),
        due: Cell::default(),
        told: Cell::default(),
        heard: Cell::default(),
    });
    if let Some(leave) = &leave {
        let ledger = lists.clone();
        leave.observes(Box::new(move || ledger.workers(watches.as_deref())));
    }
    spawn_local(lists.clone().rounds());
    spawn_local(stay(member.clone()));
    spawn_local(give_back(member, phase));
    Ok(Joined { lists, news, leave })
}

/// What the platform says of cold workers.
fn warming(config: &Config) -> SlowStartProfile {
    let settings = &config.settings;
    SlowStartProfile {
        initial_capacity_fraction: settings.slow_start_min_capacity,
        ramp_duration: micros(settings.slow_start_duration),
        overload_factor: settings.overload_multiple,
        overload_window: micros(settings.overload_window),
    }
}

/// Stays a member for as long as the keepers let it.
async fn stay(member: Member) {
    match member.run().await {
        MembershipEnd::Left => tracing::info!("left the fleet"),
        ended => tracing::error!(?ended, "no member of the fleet any more; goes on by itself"),
    }
}

/// Keeps the figures of the session for as long as the program runs.
async fn figures(member: Member, metrics: FleetMetrics) {
    let mut rounds = interval(20 * ROUND);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let now = clock::now();
        let holder = member.lease_client().borrow();
        let counts = holder.effect_counts();
        metrics.session.set(i64::from(holder.active_session(now).is_some()));
        metrics.owned.set(holder.held_leases(now).len() as i64);
        metrics.refused.set((counts.stale_tokens + counts.without_session) as i64);
    }
}

/// Gives the duties back as soon as the program is told to end: somebody else follows discovery meanwhile.
async fn give_back(member: Member, mut phase: watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
    member.leave();
}

impl Lists {
    /// The workers of the list, as watchers see them.
    fn workers(&self, watchers: Option<&Watchers>) -> Vec<ListedWorker> {
        let ledger = self.ledger.borrow();
        let listed = |entry: &Value| {
            let text = |key: &str| entry[key].as_str().unwrap_or_default().to_owned();
            let name = text("id");
            ListedWorker {
                zone: text("locality"),
                pool: text("flavor"),
                in_service: entry["phase"] == "in_service",
                start_id: entry["up_since_ms"].as_u64().unwrap_or(0),
                unhealthy: watchers.is_some_and(|watchers| watchers.against(worker_id(&name))),
                name,
            }
        };
        ledger.entries().map(listed).collect()
    }

    /// Turns true when discovery is to be asked from here, and false when the fleet's list is relied on.
    pub(super) fn asks(&self) -> watch::Receiver<bool> {
        self.asks.subscribe()
    }

    /// Discovery has said something here: a list, or that nothing changed.
    pub(super) fn said(&self, list: Option<&Value>) {
        self.heard.set(clock::now());
        self.due.set(true);
        if let Some(list) = list {
            self.ledger.borrow_mut().apply(list);
        }
    }

    /// Discovery is another place from here on, or read by other names: it is asked from here first.
    pub(super) fn moved(&self, discovery: SocketAddr) {
        self.ledger.borrow_mut().clear();
        self.reliance.borrow_mut().reset();
        self.decide();
        if self.settings.source.is_none() {
            *self.source.borrow_mut() = discovery.to_string();
        }
    }

    /// Whether an owner's news are of the same source, so that revisions can be compared.
    pub(super) fn concerns(&self, news: &WatchEvent) -> bool {
        news.source == *self.source.borrow()
    }

    /// An owner's news were taken in, and all that it knows is known here.
    pub(super) fn relies(&self, news: &WatchEvent) {
        self.ledger.borrow_mut().apply(&news.list);
        self.reliance.borrow_mut().record_event(clock::now(), news.member_count);
        self.decide();
    }

    fn decide(&self) {
        let owns = self.term.borrow().is_some();
        let asks = self.reliance.borrow().should_poll(clock::now(), owns);
        let changed = self.asks.send_if_modified(|old| std::mem::replace(old, asks) != asks);
        if changed {
            tracing::info!(
                owns,
                "{}",
                if asks { "asks discovery by itself" } else { "relies on the fleet's list" }
            );
        }
    }

    async fn rounds(self: Rc<Self>) {
        let mut rounds = interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.member.subscribe();
        loop {
            tokio::select! {
                _ = rounds.tick() => {}
                _ = changes.changed() => {}
            }
            self.own();
            self.decide();
            self.tell();
        }
    }

    /// Notices whether this member owns the duty, and gives it back where discovery is silent here.
    fn own(&self) {
        let duty = LeaseId::fleet(ENDPOINT_LIST_LEASE);
        let owned = self.member.held_leases().into_iter().find(|(owned, _)| *owned == duty);
        let mut term = self.term.borrow_mut();
        match owned {
            Some((duty, token)) => {
                if term.as_ref().is_none_or(|term| term.token() != token) {
                    tracing::info!(token = token.0, "asks discovery for the fleet");
                    *term = Some(Publisher::new(&self.member, duty.clone(), token));
                    self.told.set((0, 0));
                    self.heard.set(clock::now());
                }
                if clock::now().saturating_sub(self.heard.get())
                    > self.settings.silence + self.settings.silence / 2
                {
                    tracing::warn!(token = token.0, "discovery is silent here; gives the list back");
                    self.heard.set(clock::now());
                    self.member.release_lease(duty, token);
                }
            }
            None => *term = None,
        }
    }

    /// Tells the members what is due: the whole list where it or they have changed, else only that it still holds.
    fn tell(&self) {
        let mut term = self.term.borrow_mut();
        let Some(term) = term.as_mut().filter(|_| self.due.get()) else { return };
        let ledger = self.ledger.borrow();
        let Some(list) = ledger.complete_list() else { return };
        self.due.set(false);
        let state = (ledger.revision(), self.member.members().len());
        let whole = self.told.replace(state) != state;
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
