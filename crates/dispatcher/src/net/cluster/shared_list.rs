//! The shared endpoint list: the holder of its lease watches discovery and publishes the list to all members. The
//! others rely on these events while they arrive, and poll discovery themselves otherwise.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use cluster_member::clock;
use cluster_member::discovery_fallback::DiscoveryFallback;
use cluster_member::effects::Publisher;
use cluster_member::endpoint_list::{EndpointSnapshot, WatchEvent, ENDPOINT_LIST_LEASE};
use cluster_member::member::Member;
use cluster_member::wire::Effect;
use coordination::{FencingToken, LeaseId, Micros};
use disruption_budget::WorkerEndpoint;
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use super::health_checks::ClusterHealthChecks;
use super::held_lease::held_token;
use super::timing::{periodic, PUBLISH_INTERVAL};
use crate::config::Config;
use crate::endpoint_list::{unchanged_list, EndpointEntry};
use crate::settings_file::ClusterSettings;
use dispatch_core::api::WorkerState;
use dispatch_core::hashing::worker_id;

/// Maximum number of watch events that wait for the task that applies them.
const WATCH_EVENT_QUEUE: usize = 16;

/// The shared list, and the receiver of the lease holder's events.
pub(in crate::net) struct SharedListSubscription {
    pub(in crate::net) list: Rc<SharedList>,
    pub(in crate::net) events: mpsc::Receiver<WatchEvent>,
}

/// State of the list at the last publication. The next event carries a complete list if it has changed since.
#[derive(Clone, Copy, Default, PartialEq)]
struct PublishedState {
    revision: u64,
    member_count: usize,
}

/// This member's part in the shared endpoint list.
pub(in crate::net) struct SharedList {
    settings: ClusterSettings,
    /// Name of the discovery service that the list comes from; revisions of different sources cannot be compared.
    source: RefCell<String>,
    member: Member,
    snapshot: RefCell<EndpointSnapshot>,
    fallback: RefCell<DiscoveryFallback>,
    /// Whether this member polls discovery itself.
    polls_discovery: watch::Sender<bool>,
    events: mpsc::Sender<WatchEvent>,
    /// Publisher of the current term; `None` unless this member holds the lease.
    publisher: RefCell<Option<Publisher>>,
    /// Discovery has responded since the last published event, even if only to say that nothing changed.
    publish_due: Cell<bool>,
    published: Cell<PublishedState>,
    /// Time at which discovery last responded, or at which the current term began.
    last_discovery_event: Cell<Micros>,
}

impl SharedList {
    /// Creates the list and the receiver of the lease holder's events.
    pub(super) fn with_events(
        settings: &ClusterSettings,
        config: &Config,
        member: Member,
    ) -> SharedListSubscription {
        let source = settings.list_source.clone().unwrap_or_else(|| config.discovery.to_string());
        let fallback =
            DiscoveryFallback::with_seed(settings.list_event_timeout, settings.fallback_per_s, config.seed);
        let (sender, events) = mpsc::channel(WATCH_EVENT_QUEUE);
        let list = SharedList {
            settings: settings.clone(),
            source: RefCell::new(source),
            member,
            snapshot: RefCell::default(),
            fallback: RefCell::new(fallback),
            polls_discovery: watch::Sender::new(true),
            events: sender,
            publisher: RefCell::default(),
            publish_due: Cell::default(),
            published: Cell::default(),
            last_discovery_event: Cell::default(),
        };
        SharedListSubscription { list: Rc::new(list), events }
    }

    /// Forwards an event of the lease holder whose token was accepted.
    pub(super) fn handle_event(&self, effect: &Effect) {
        let Ok(event) = serde_json::from_slice::<WatchEvent>(&effect.body) else { return };
        // An event is dropped if the queue is full: each later event supersedes it.
        let _ = self.events.try_send(event);
    }

    /// Returns the listed workers with the verdicts of the cluster's health checks.
    pub(super) fn workers(&self, health_checks: Option<&ClusterHealthChecks>) -> Vec<WorkerEndpoint> {
        let snapshot = self.snapshot.borrow();
        let entries = snapshot.entries().map(EndpointEntry::new);
        entries.map(|entry| listed_worker(entry, health_checks)).collect()
    }

    /// Returns a receiver of whether this member polls discovery itself (true) or relies on the shared list (false).
    pub(in crate::net) fn polls_discovery(&self) -> watch::Receiver<bool> {
        self.polls_discovery.subscribe()
    }

    /// Records a response of discovery to this member's poll: a list, or `None` if nothing changed.
    pub(in crate::net) fn record_discovery(&self, list: Option<&Value>) {
        self.last_discovery_event.set(clock::now());
        self.publish_due.set(true);
        if let Some(list) = list {
            self.snapshot.borrow_mut().apply(list);
        }
    }

    /// Discards the list after a reload has changed the discovery service, or the names of zones and kinds in the
    /// settings.
    pub(in crate::net) fn source_changed(&self, discovery: SocketAddr) {
        self.snapshot.borrow_mut().clear();
        self.fallback.borrow_mut().reset();
        self.decide_polling();
        if self.settings.list_source.is_none() {
            *self.source.borrow_mut() = discovery.to_string();
        }
    }

    /// Returns whether an event comes from the same discovery service, so that its revision can be compared.
    pub(in crate::net) fn is_same_source(&self, event: &WatchEvent) -> bool {
        event.source == *self.source.borrow()
    }

    /// Applies an event of the lease holder and relies on the holder from then on. The caller has checked that this
    /// member has received the list up to the event's revision.
    pub(in crate::net) fn accept_event(&self, event: &WatchEvent) {
        self.snapshot.borrow_mut().apply(&event.list);
        self.fallback.borrow_mut().record_event(clock::now(), event.member_count);
        self.decide_polling();
    }

    fn decide_polling(&self) {
        let holds_lease = self.publisher.borrow().is_some();
        let should_poll = self.fallback.borrow().should_poll(clock::now(), holds_lease);
        let changed = self
            .polls_discovery
            .send_if_modified(|polls| std::mem::replace(polls, should_poll) != should_poll);
        if !changed {
            return;
        }
        if should_poll {
            tracing::info!(holds_lease, "polling discovery directly");
        } else {
            tracing::info!(holds_lease, "relying on the shared endpoint list");
        }
    }

    /// Publishes the list while this member holds the lease, and decides whether it polls discovery. Never returns.
    pub(super) async fn run(self: Rc<Self>) {
        let mut ticks = periodic(PUBLISH_INTERVAL);
        let mut lease_changes = self.member.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = lease_changes.changed() => {}
            }
            self.update_term();
            self.decide_polling();
            self.publish();
        }
    }

    fn update_term(&self) {
        let lease = LeaseId::fleet(ENDPOINT_LIST_LEASE);
        let Some(token) = held_token(&self.member, &lease) else {
            *self.publisher.borrow_mut() = None;
            return;
        };
        let is_new_term = self.publisher.borrow().as_ref().is_none_or(|publisher| publisher.token() != token);
        if is_new_term {
            self.start_term(lease.clone(), token);
        }
        self.release_lease_if_discovery_is_unresponsive(lease, token);
    }

    fn start_term(&self, lease: LeaseId, token: FencingToken) {
        tracing::info!(token = token.0, "holds the list lease");
        *self.publisher.borrow_mut() = Some(Publisher::new(&self.member, lease, token));
        self.published.set(PublishedState::default());
        self.last_discovery_event.set(clock::now());
    }

    fn release_lease_if_discovery_is_unresponsive(&self, lease: LeaseId, token: FencingToken) {
        let timeout = self.settings.list_event_timeout + self.settings.list_event_timeout / 2;
        if clock::now().saturating_sub(self.last_discovery_event.get()) <= timeout {
            return;
        }
        tracing::warn!(token = token.0, "no response from discovery; releasing the list lease");
        self.last_discovery_event.set(clock::now());
        self.member.release_lease(lease, token);
    }

    /// Publishes the last response of discovery: a complete list if the list or the members have changed, else only its
    /// revision.
    fn publish(&self) {
        if !self.publish_due.get() {
            return;
        }
        let mut publisher = self.publisher.borrow_mut();
        let Some(publisher) = publisher.as_mut() else { return };
        let snapshot = self.snapshot.borrow();
        let Some(complete_list) = snapshot.complete_list() else { return };
        self.publish_due.set(false);
        let state =
            PublishedState { revision: snapshot.revision(), member_count: self.member.members().len() };
        let is_changed = self.published.replace(state) != state;
        let event = WatchEvent {
            source: self.source.borrow().clone(),
            member_count: state.member_count as u64,
            list: if is_changed { complete_list } else { unchanged_list(state.revision) },
        };
        if let Ok(body) = serde_json::to_vec(&event) {
            publisher.publish(body);
        }
    }
}

fn listed_worker(entry: EndpointEntry<'_>, health_checks: Option<&ClusterHealthChecks>) -> WorkerEndpoint {
    let name = entry.name().unwrap_or_default();
    WorkerEndpoint {
        name: name.to_owned(),
        zone: entry.zone().unwrap_or_default().to_owned(),
        pool: entry.kind().unwrap_or_default().to_owned(),
        in_service: entry.state() == Some(WorkerState::Serving),
        start_id: entry.start_id(),
        unhealthy: health_checks.is_some_and(|checks| checks.is_reported_failing(worker_id(name))),
    }
}
