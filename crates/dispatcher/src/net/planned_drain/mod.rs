//! Planned drains that are coordinated across the cluster, if the local settings enable this: standby requires a permit
//! of the disruption budgets, and the holder of the observer lease reports availability to the coordinators.
//!
//! Jobs never wait for a drain decision, and a shutdown by SIGTERM requires no permit.

mod observation;
mod permit;
mod rejection;

use std::cell::{Cell, RefCell};
use std::time::Duration;

use cluster_member::clock;
use cluster_member::coordinator_client::CoordinatorClient;
use cluster_member::member::Member;
use cluster_member::wire::ClientIdentity;
use coordination::Micros;
use disruption_budget::{PermitId, ReadinessReport, WarmupTracker, WorkerEndpoint};
use tokio::sync::{watch, Mutex};
use tokio::time::Instant;

use super::cluster::RecordedEvent;
use super::metrics::ClusterMetrics;
use super::mode::Mode;
use super::shutdown::ShutdownPhase;
use observation::Term;
use permit::{begin_permit, request_permit, PermitRequest};

pub use rejection::DrainRejected;

/// Longest time from a request for standby to the decision.
const DECISION_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of low bits of a dispatcher's incarnation that count returns from standby; the session's incarnation is in
/// the bits above.
const SESSION_INCARNATION_SHIFT: u32 = 20;

/// Status of this dispatcher, which the other tasks keep current.
#[derive(Clone)]
pub(super) struct LocalStatus {
    pub(super) mode: watch::Sender<Mode>,
    pub(super) ready: watch::Receiver<bool>,
    pub(super) phase: watch::Receiver<ShutdownPhase>,
}

/// Function that returns the listed workers with the verdicts of the health checks.
pub(super) type ListWorkers = Box<dyn Fn() -> Vec<WorkerEndpoint>>;

/// This dispatcher's part in planned drains.
pub struct PlannedDrain {
    /// Time for which a readiness report is valid.
    readiness_validity: Micros,
    member: Member,
    status: LocalStatus,
    metrics: ClusterMetrics,
    /// Number of returns from standby in this process.
    returns_from_standby: Cell<u64>,
    term: RefCell<Option<Term>>,
    /// Locked while a request for standby is being decided.
    decision: Mutex<()>,
    list_workers: RefCell<Option<ListWorkers>>,
    warmup: RefCell<WarmupTracker>,
}

impl std::fmt::Debug for PlannedDrain {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlannedDrain").field("incarnation", &self.incarnation()).finish_non_exhaustive()
    }
}

impl PlannedDrain {
    pub(super) fn new(
        readiness_validity: Micros,
        member: Member,
        status: LocalStatus,
        metrics: ClusterMetrics,
        warmup: WarmupTracker,
    ) -> PlannedDrain {
        PlannedDrain {
            readiness_validity,
            member,
            status,
            metrics,
            returns_from_standby: Cell::default(),
            term: RefCell::default(),
            decision: Mutex::default(),
            list_workers: RefCell::default(),
            warmup: RefCell::new(warmup),
        }
    }

    /// Sets the source of the workers whose availability is observed.
    pub(super) fn observe_workers(&self, list_workers: ListWorkers) {
        *self.list_workers.borrow_mut() = Some(list_workers);
    }

    fn listed_workers(&self) -> Vec<WorkerEndpoint> {
        self.list_workers.borrow().as_ref().map_or_else(Vec::new, |list_workers| list_workers())
    }

    fn coordinators(&self) -> CoordinatorClient {
        let config = self.member.config();
        let identity = ClientIdentity::Member { name: config.name.clone() };
        CoordinatorClient::new(&config.installation, identity, config.replicas.clone(), config.local_address)
    }

    /// Returns the incarnation of this dispatcher, which increases with every session and every return from standby.
    fn incarnation(&self) -> u64 {
        let lease_client = self.member.lease_client().borrow();
        let session_incarnation = lease_client.last_session().map_or(0, |session| session.incarnation);
        session_incarnation << SESSION_INCARNATION_SHIFT | self.returns_from_standby.get()
    }

    fn readiness_report(&self) -> ReadinessReport {
        let is_serving = *self.status.phase.borrow() == ShutdownPhase::Serving;
        let is_active = *self.status.mode.borrow() == Mode::Active;
        let config = self.member.config();
        ReadinessReport {
            name: config.name.clone(),
            zone: config.zone.clone(),
            incarnation: self.incarnation(),
            ready: is_serving && is_active && *self.status.ready.borrow(),
        }
    }

    /// Returns the encoded response to a readiness poll of the observer lease's holder.
    pub(super) fn encoded_readiness(&self) -> Vec<u8> {
        self.readiness_report().encode()
    }

    /// Enters standby once the coordinators grant a permit. With `force`, also enters it without a permit if no
    /// majority of them answers the request for one.
    ///
    /// # Errors
    /// Returns [`DrainRejected`] if no permit is granted and begun within [`DECISION_TIMEOUT`].
    pub(super) async fn enter_standby(&self, reason: &str, force: bool) -> Result<(), DrainRejected> {
        if *self.status.mode.borrow() == Mode::Standby {
            return Ok(());
        }
        let Ok(_decision) = self.decision.try_lock() else {
            return Err(DrainRejected::DecisionInProgress);
        };
        let result = self.enter_standby_by_permit(reason, force).await;
        match &result {
            Ok(()) => {
                tracing::info!(reason, force, "entered standby: not ready, closing idle client connections")
            }
            Err(rejection) => {
                self.metrics.drains_rejected.inc();
                tracing::info!(reason, why = rejection.to_string(), "drain rejected");
            }
        }
        result
    }

    async fn enter_standby_by_permit(&self, reason: &str, force: bool) -> Result<(), DrainRejected> {
        let deadline = Instant::now() + DECISION_TIMEOUT;
        let incarnation = self.incarnation();
        let mut coordinators = self.coordinators();
        let request = PermitRequest { dispatcher: &self.member.config().name, reason, force };
        let permit = match request_permit(&mut coordinators, &request, deadline).await {
            Ok(permit) => permit,
            Err(DrainRejected::NoMajority(error)) if force => {
                tracing::warn!(why = %error, "drain forced without the coordinators");
                self.metrics.drains_forced.inc();
                self.switch_to_standby(None);
                return Ok(());
            }
            Err(rejection) => return Err(rejection),
        };
        begin_permit(&mut coordinators, permit, incarnation, deadline).await?;
        // If the incarnation has changed, the observer may already have closed the permit.
        if !self.has_session() || self.incarnation() != incarnation {
            return Err(DrainRejected::SessionLost);
        }
        if force {
            self.metrics.drains_forced.inc();
        }
        self.switch_to_standby(Some(permit));
        Ok(())
    }

    fn has_session(&self) -> bool {
        self.member.lease_client().borrow().active_session(clock::now()).is_some()
    }

    fn switch_to_standby(&self, permit: Option<PermitId>) {
        self.status.mode.send_replace(Mode::Standby);
        RecordedEvent::StandbyEntered { permit }.write(self.member.recorder(), clock::now());
    }

    /// Records a return from standby, which begins a new incarnation.
    pub(super) fn record_return(&self) {
        self.returns_from_standby.set(self.returns_from_standby.get() + 1);
        let event = RecordedEvent::StandbyLeft { incarnation: self.incarnation() };
        event.write(self.member.recorder(), clock::now());
    }
}
