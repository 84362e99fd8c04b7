//! Drains that are agreed across the fleet, where our own settings ask for it: a planned standby takes a permit of the
//! keepers' account first, and one member tells the account how all are.
//!
//! A job never waits on any of it, and an end by SIGTERM asks nobody.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use cluster_member::clock;
use cluster_member::coordinator_client::CoordinatorClient;
use cluster_member::effects::Publisher;
use cluster_member::member::Member;
use cluster_member::wire::{ClientIdentity, Operation, Response};
use coordination::{FencingToken, LeaseId, Micros};
use disruption_budget::{
    AvailabilityObserver, DisruptionCommand, DisruptionOutcome, DisruptionState, FleetMember, ListedWorker,
    ObservationUrgency, PermitState, ReadinessReport, Rejection, StatusChanges, Target, TargetKind,
    WarmupTracker, OBSERVER_LEASE,
};
use tokio::sync::{watch, Mutex};
use tokio::time::Instant;

use super::cluster::{held_token, periodic, RecordedEvent};
use super::metrics::ClusterMetrics;
use super::mode::Mode;
use super::shutdown::ShutdownPhase;

/// How often all are asked how they are.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// How often the account is told that nothing changed while a permit is open and nothing waits, in rounds.
const UNCHANGED_REPORT_ROUNDS: u32 = 5;
/// The most time that a standby takes to be granted or refused.
const DECISION_TIMEOUT: Duration = Duration::from_millis(800);
/// When to ask again for what has to wait, in seconds.
const RETRY_AFTER_WAIT_S: u32 = 1;
/// When to ask again for what needs a majority first, in seconds.
const RETRY_AFTER_MAJORITY_S: u32 = 5;

/// Why a standby is not granted, and when to ask again, in seconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainRejected {
    /// Why.
    pub reason: String,
    /// When.
    pub retry_after_s: u32,
}

/// Status of this dispatcher, kept current by the rest of the program.
#[derive(Clone)]
pub(super) struct LocalStatus {
    pub(super) mode: watch::Sender<Mode>,
    pub(super) ready: watch::Receiver<bool>,
    pub(super) phase: watch::Receiver<ShutdownPhase>,
}

/// The workers as they are listed and watched.
pub(super) type Workers = Box<dyn Fn() -> Vec<ListedWorker>>;

struct Term {
    token: FencingToken,
    observer: Rc<RefCell<AvailabilityObserver>>,
    publisher: Publisher,
}

/// This dispatcher's part in the account of who may be out.
pub struct PlannedDrain {
    readiness_validity: Micros,
    member: Member,
    status: LocalStatus,
    metrics: ClusterMetrics,
    /// How often it returned from standby in this process.
    returns_from_standby: Cell<u64>,
    term: RefCell<Option<Term>>,
    /// One standby is decided on at a time.
    decision: Mutex<()>,
    workers: RefCell<Option<Workers>>,
    warmup: RefCell<WarmupTracker>,
}

impl std::fmt::Debug for PlannedDrain {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlannedDrain").field("number", &self.incarnation()).finish_non_exhaustive()
    }
}

fn rejected(reason: impl Into<String>, retry_after_s: u32) -> Result<(), DrainRejected> {
    Err(DrainRejected { reason: reason.into(), retry_after_s })
}

/// The rejection of a permit that waits, with the budget that it waits for.
async fn waits_for_turn(
    coordinators: &mut CoordinatorClient,
    permit: u64,
    by: Instant,
) -> Result<(), DrainRejected> {
    let held = match coordinators.call(&Operation::DisruptionState { known_revision: 0 }, by).await {
        Ok(Response::DisruptionState { state: Some(account), .. }) => {
            account.blocking_budget(permit).map(|budget| format!(": budget {:?} is used up", budget.name))
        }
        _ => None,
    };
    let held = held.unwrap_or_default();
    rejected(format!("permit {permit} waits for its turn{held}"), RETRY_AFTER_WAIT_S)
}

/// Begins a permit that was granted.
async fn begin_permit(
    coordinators: &mut CoordinatorClient,
    permit: u64,
    incarnation: u64,
    by: Instant,
) -> Result<(), DrainRejected> {
    let begin = DisruptionCommand::BeginPermit { permit, incarnation };
    let begun = coordinators.call(&Operation::ChangeDisruptionState(begin), by).await;
    match begun.map_err(|error| error.to_string()) {
        Ok(Response::DisruptionStateChanged(DisruptionOutcome::PermitBegun(_))) => Ok(()),
        Ok(Response::DisruptionStateChanged(DisruptionOutcome::Rejected(Rejection::UnknownPermit))) => {
            rejected("the permit before this one is not over yet", RETRY_AFTER_WAIT_S)
        }
        Ok(Response::DisruptionStateChanged(DisruptionOutcome::Rejected(why))) => {
            rejected(why.to_string(), RETRY_AFTER_WAIT_S)
        }
        other => rejected(format!("the permit could not be begun: {other:?}"), RETRY_AFTER_WAIT_S),
    }
}

/// Logs which dispatchers an observation changes; of workers there may be many, and other logs tell of them.
fn log_changes(known_revision: u64, changes: &StatusChanges) {
    let dispatchers = changes.changed.iter().filter(|status| status.target.kind == TargetKind::Dispatcher);
    for status in dispatchers {
        let (target, availability, incarnation) = (&status.target, status.availability, status.incarnation);
        tracing::info!(%target, ?availability, incarnation, known_revision, "observed a change");
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
            workers: RefCell::default(),
            warmup: RefCell::new(warmup),
        }
    }

    /// Where the workers are known from.
    pub(super) fn observe_workers(&self, workers: Workers) {
        *self.workers.borrow_mut() = Some(workers);
    }

    fn coordinators(&self) -> CoordinatorClient {
        let settings = self.member.config();
        let who = ClientIdentity::Member { name: settings.name.clone() };
        CoordinatorClient::new(&settings.installation, who, settings.replicas.clone(), settings.local_address)
    }

    /// Which life of this dispatcher it is: higher with every session and every return.
    fn incarnation(&self) -> u64 {
        let session =
            self.member.lease_client().borrow().last_session().map_or(0, |session| session.incarnation);
        session << 20 | self.returns_from_standby.get()
    }

    fn readiness_report(&self) -> ReadinessReport {
        let serving = *self.status.phase.borrow() == ShutdownPhase::Serving
            && *self.status.mode.borrow() == Mode::Active;
        let settings = self.member.config();
        ReadinessReport {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: self.incarnation(),
            ready: serving && *self.status.ready.borrow(),
        }
    }

    /// The owner of the account asks how this dispatcher is; its token was found good.
    pub(super) fn encoded_readiness(&self) -> Vec<u8> {
        self.readiness_report().encode()
    }

    /// Goes to standby if the fleet allows it, or somebody insists.
    ///
    /// # Errors
    /// It does not, and says why at once.
    pub(super) async fn enter_standby(&self, reason: &str, force: bool) -> Result<(), DrainRejected> {
        if *self.status.mode.borrow() == Mode::Standby {
            return Ok(());
        }
        let Ok(_one) = self.decision.try_lock() else {
            return rejected("another call for standby is being decided on", RETRY_AFTER_WAIT_S);
        };
        let decided = self.request_permit(reason, force).await;
        match &decided {
            Ok(()) => tracing::info!(reason, force, "standby: no new work is invited"),
            Err(denied) => {
                self.metrics.drains_rejected.inc();
                tracing::info!(reason, why = denied.reason, "drain rejected");
            }
        }
        decided
    }

    async fn request_permit(&self, reason: &str, force: bool) -> Result<(), DrainRejected> {
        let by = Instant::now() + DECISION_TIMEOUT;
        let (mut coordinators, name) = (self.coordinators(), &self.member.config().name);
        let number = self.incarnation();
        let target = Target { kind: TargetKind::Dispatcher, name: name.clone() };
        let request = DisruptionCommand::RequestPermit {
            target,
            reason: reason.to_owned(),
            requester: format!("dispatcher/{name}"),
            force,
        };
        let permit = match coordinators.call(&Operation::ChangeDisruptionState(request), by).await {
            Ok(Response::DisruptionStateChanged(DisruptionOutcome::PermitRequested {
                permit,
                state: PermitState::Waiting,
            })) => {
                return waits_for_turn(&mut coordinators, permit, by).await;
            }
            Ok(Response::DisruptionStateChanged(DisruptionOutcome::PermitRequested { permit, .. })) => permit,
            Ok(Response::DisruptionStateChanged(DisruptionOutcome::Rejected(why))) => {
                return rejected(why.to_string(), RETRY_AFTER_MAJORITY_S)
            }
            Ok(Response::Rejected(reason)) => return rejected(reason.to_string(), RETRY_AFTER_MAJORITY_S),
            Ok(other) => {
                return rejected(
                    format!("an answer that was not asked for: {other:?}"),
                    RETRY_AFTER_MAJORITY_S,
                )
            }
            Err(why) if force => {
                tracing::warn!(%why, "drain forced without the coordinators");
                self.metrics.drains_forced.inc();
                self.switch_to_standby(None);
                return Ok(());
            }
            Err(why) => {
                return rejected(
                    format!("no majority of the keepers answers ({why}); serving goes on"),
                    RETRY_AFTER_MAJORITY_S,
                )
            }
        };
        begin_permit(&mut coordinators, permit, number, by).await?;
        // Whoever was stopped meanwhile may have been seen as another life: then the permit may be over.
        let now = clock::now();
        if self.member.lease_client().borrow().active_session(now).is_none() || self.incarnation() != number {
            return rejected("this dispatcher lost its session meanwhile", RETRY_AFTER_WAIT_S);
        }
        if force {
            self.metrics.drains_forced.inc();
        }
        self.switch_to_standby(Some(permit));
        Ok(())
    }

    fn switch_to_standby(&self, permit: Option<u64>) {
        self.status.mode.send_replace(Mode::Standby);
        RecordedEvent::StandbyEntered { permit }.write(self.member.recorder(), clock::now());
    }

    /// Returned from standby: another life.
    pub(super) fn record_return(&self) {
        self.returns_from_standby.set(self.returns_from_standby.get() + 1);
        let event = RecordedEvent::StandbyLeft { incarnation: self.incarnation() };
        event.write(self.member.recorder(), clock::now());
    }

    /// Asks all how they are and tells the account, while that duty is ours, for as long as the program runs.
    pub(super) async fn run(self: Rc<Self>) {
        let mut rounds = periodic(OBSERVATION_INTERVAL);
        let mut coordinators = self.coordinators();
        let (mut known, mut account, mut count) = (0, DisruptionState::default(), 0u32);
        loop {
            rounds.tick().await;
            self.update_term();
            if self.term.borrow().is_none() {
                (known, account) = (0, DisruptionState::default());
                continue;
            }
            count = count.wrapping_add(1);
            let by = Instant::now() + DECISION_TIMEOUT;
            match coordinators.call(&Operation::DisruptionState { known_revision: known }, by).await {
                Ok(Response::DisruptionState { revision, state: Some(new) }) => {
                    (known, account) = (revision, *new)
                }
                Ok(Response::DisruptionState { .. }) => {}
                _ => continue,
            }
            let Some((token, changes)) = self.observe(&account) else { continue };
            let wanted = match account.observation_urgency() {
                Some(ObservationUrgency::Immediate) => true,
                Some(ObservationUrgency::Periodic) => count % UNCHANGED_REPORT_ROUNDS == 0,
                None => false,
            };
            if changes.is_empty() && !wanted {
                continue;
            }
            // The look at the lease comes right before the word; the keepers look at the token besides.
            let lease = LeaseId::fleet(OBSERVER_LEASE);
            if !self.member.holds_lease(&lease, token) {
                continue;
            }
            log_changes(known, &changes);
            let observe = DisruptionCommand::RecordObservation {
                fencing_token: token.0,
                known_revision: known,
                changed: changes.changed,
                removed: changes.removed,
            };
            let event = RecordedEvent::observation_sent(&lease, token);
            event.write(self.member.recorder(), clock::now());
            let _ = coordinators.call(&Operation::ChangeDisruptionState(observe), by).await;
        }
    }

    fn listed_workers(&self) -> Vec<ListedWorker> {
        self.workers.borrow().as_ref().map_or_else(Vec::new, |workers| workers())
    }

    fn update_term(&self) {
        let now = clock::now();
        self.warmup.borrow_mut().update_list(now, &self.listed_workers());
        let lease = LeaseId::fleet(OBSERVER_LEASE);
        let mut term = self.term.borrow_mut();
        match held_token(&self.member, &lease) {
            Some(token) if term.as_ref().is_some_and(|term| term.token == token) => {}
            Some(token) => {
                tracing::info!(token = token.0, "holds the observer lease");
                let observer = Rc::new(RefCell::new(AvailabilityObserver::new(self.readiness_validity, now)));
                let received = observer.clone();
                let publisher = Publisher::with_response_handler(&self.member, lease, token, move |said| {
                    if let Some(report) = ReadinessReport::decode(said) {
                        received.borrow_mut().record_report(report, clock::now());
                    }
                });
                *term = Some(Term { token, observer, publisher });
            }
            None => *term = None,
        }
        if let Some(term) = term.as_mut() {
            term.publisher.publish(Vec::new());
            term.observer.borrow_mut().record_report(self.readiness_report(), now);
        }
    }

    /// Who is not as the account has them.
    fn observe(&self, account: &DisruptionState) -> Option<(FencingToken, StatusChanges)> {
        let term = self.term.borrow();
        let term = term.as_ref()?;
        let roster = self.member.members();
        let members: Vec<FleetMember<'_>> =
            roster.iter().map(|peer| FleetMember { name: &peer.name, zone: &peer.zone }).collect();
        let now = clock::now();
        let mut changes = term.observer.borrow_mut().status_changes(now, &members, account)?;
        let workers = self.listed_workers();
        // Before a list was heard nothing is known of workers, which is not that they are gone.
        if !workers.is_empty() {
            changes.extend(self.warmup.borrow().status_changes(now, &workers, account));
        }
        Some((term.token, changes))
    }
}
