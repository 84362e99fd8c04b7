//! Observation of availability: the holder of the observer lease polls the readiness of all dispatchers and reports to
//! the coordinators where the status of dispatchers and workers differs from the disruption state.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cluster_member::clock;
use cluster_member::coordinator_client::CoordinatorClient;
use cluster_member::effects::Publisher;
use cluster_member::wire::{Operation, Response};
use coordination::{FencingToken, LeaseId, Micros};
use disruption_budget::{
    Availability, AvailabilityObserver, DispatcherMember, DisruptionCommand, DisruptionState,
    ObservationUrgency, ReadinessReport, StatusChanges, TargetKind, OBSERVER_LEASE,
};
use tokio::time::Instant;

use super::{PlannedDrain, DECISION_TIMEOUT};
use crate::net::cluster::{held_token, periodic, RecordedEvent};

/// Interval at which readiness is polled and compared with the disruption state.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks between two reports that contain no change, while a permit is open and none is waiting.
const UNCHANGED_REPORT_TICKS: u32 = 5;

/// A term of this member's observer lease.
pub(super) struct Term {
    token: FencingToken,
    observer: Rc<RefCell<AvailabilityObserver>>,
    publisher: Publisher,
}

/// The disruption state as last read in the current term.
#[derive(Default)]
struct KnownState {
    revision: u64,
    state: DisruptionState,
}

/// Status changes observed in one term of the lease.
struct Observation {
    token: FencingToken,
    changes: StatusChanges,
}

/// State of the observation loop.
struct ObservationLoop {
    coordinators: CoordinatorClient,
    known: KnownState,
    tick_count: u32,
}

impl ObservationLoop {
    /// Reads the disruption state if it has changed. Returns whether a replica answered by the deadline.
    async fn update_known_state(&mut self, deadline: Instant) -> bool {
        let read = Operation::DisruptionState { known_revision: self.known.revision };
        match self.coordinators.call(&read, deadline).await {
            Ok(Response::DisruptionState { revision, state: Some(state) }) => {
                self.known = KnownState { revision, state: *state };
                true
            }
            Ok(Response::DisruptionState { state: None, .. }) => true,
            _ => false,
        }
    }

    /// Returns whether a report is due even if it contains no change.
    fn is_unchanged_report_due(&self) -> bool {
        match self.known.state.observation_urgency() {
            Some(ObservationUrgency::Immediate) => true,
            Some(ObservationUrgency::Periodic) => self.tick_count % UNCHANGED_REPORT_TICKS == 0,
            None => false,
        }
    }
}

impl PlannedDrain {
    /// Observes availability while this member holds the lease. Never returns.
    pub(in crate::net) async fn run(self: Rc<Self>) {
        let mut observation_loop = ObservationLoop {
            coordinators: self.coordinators(),
            known: KnownState::default(),
            tick_count: 0,
        };
        let mut ticks = periodic(OBSERVATION_INTERVAL);
        loop {
            ticks.tick().await;
            self.poll_readiness();
            if self.term.borrow().is_none() {
                observation_loop.known = KnownState::default();
                continue;
            }
            observation_loop.tick_count = observation_loop.tick_count.wrapping_add(1);
            self.report_observation(&mut observation_loop).await;
        }
    }

    /// Compares the observed status with the disruption state, and sends a report to the coordinators if one is due.
    async fn report_observation(&self, observation_loop: &mut ObservationLoop) {
        let deadline = Instant::now() + DECISION_TIMEOUT;
        if !observation_loop.update_known_state(deadline).await {
            return;
        }
        let Some(observation) = self.observe(&observation_loop.known.state) else { return };
        if observation.changes.is_empty() && !observation_loop.is_unchanged_report_due() {
            return;
        }
        // The lease is checked immediately before the report is sent; the coordinators check the token as well.
        let lease = LeaseId::fleet(OBSERVER_LEASE);
        if !self.member.holds_lease(&lease, observation.token) {
            return;
        }
        let known_revision = observation_loop.known.revision;
        log_changes(known_revision, &observation.changes);
        RecordedEvent::observation_sent(&lease, observation.token)
            .write(self.member.recorder(), clock::now());
        let report = DisruptionCommand::RecordObservation {
            fencing_token: observation.token.0,
            known_revision,
            changed: observation.changes.changed,
            removed: observation.changes.removed,
        };
        // If the call fails, the next tick reports again.
        let _ = observation_loop.coordinators.call(&Operation::ChangeDisruptionState(report), deadline).await;
    }

    /// Updates the list of workers and the term. If the lease is held, polls the readiness of all dispatchers.
    fn poll_readiness(&self) {
        let now = clock::now();
        self.warmup.borrow_mut().update_list(now, &self.listed_workers());
        self.update_term(now);
        if let Some(term) = self.term.borrow_mut().as_mut() {
            term.publisher.publish(Vec::new());
            term.observer.borrow_mut().record_report(self.readiness_report(), now);
        }
    }

    fn update_term(&self, now: Micros) {
        let lease = LeaseId::fleet(OBSERVER_LEASE);
        let mut term = self.term.borrow_mut();
        let Some(token) = held_token(&self.member, &lease) else {
            *term = None;
            return;
        };
        if term.as_ref().is_none_or(|term| term.token != token) {
            *term = Some(self.start_term(lease, token, now));
        }
    }

    fn start_term(&self, lease: LeaseId, token: FencingToken, now: Micros) -> Term {
        tracing::info!(token = token.0, "holds the observer lease");
        let observer = Rc::new(RefCell::new(AvailabilityObserver::new(self.readiness_validity, now)));
        let reported_to = observer.clone();
        let record_readiness = move |response: &[u8]| {
            if let Some(report) = ReadinessReport::decode(response) {
                reported_to.borrow_mut().record_report(report, clock::now());
            }
        };
        let publisher = Publisher::with_response_handler(&self.member, lease, token, record_readiness);
        Term { token, observer, publisher }
    }

    /// Returns the dispatchers and workers whose status differs from the disruption state. Returns `None` if the lease
    /// is not held, or the first poll of the term is not complete.
    fn observe(&self, state: &DisruptionState) -> Option<Observation> {
        let term = self.term.borrow();
        let term = term.as_ref()?;
        let peers = self.member.members();
        let dispatchers: Vec<DispatcherMember<'_>> =
            peers.iter().map(|peer| DispatcherMember { name: &peer.name, zone: &peer.zone }).collect();
        let now = clock::now();
        let mut changes = term.observer.borrow_mut().status_changes(now, &dispatchers, state)?;
        let workers = self.listed_workers();
        // An empty list means that no list was received yet, not that all workers were removed.
        if !workers.is_empty() {
            changes.extend(self.warmup.borrow().status_changes(now, &workers, state));
        }
        Some(Observation { token: term.token, changes })
    }
}

/// Logs the dispatchers that changed. Workers are left to the log of the health checks, because many may change at
/// once.
fn log_changes(known_revision: u64, changes: &StatusChanges) {
    let dispatchers = changes.changed.iter().filter(|status| status.target.kind == TargetKind::Dispatcher);
    for status in dispatchers {
        tracing::info!(
            target = %status.target,
            availability = %availability_text(status.availability),
            incarnation = status.incarnation,
            known_revision,
            "observed a change"
        );
    }
}

fn availability_text(availability: Availability) -> String {
    match availability {
        Availability::Available => "available".to_owned(),
        Availability::Unavailable => "unavailable".to_owned(),
        Availability::WarmingUp(thousandths) => format!("{thousandths}/1000"),
    }
}
