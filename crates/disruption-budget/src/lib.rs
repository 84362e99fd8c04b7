//! Disruption budgets: bounds on the dispatchers and workers that are unavailable at once, and permits to take one of
//! them out of service.
//!
//! The package is pure: no clock, no I/O, no randomness. The same commands lead to the same state on every replica. It
//! follows Kubernetes' `PodDisruptionBudget`, with permits that are requested, granted and begun one by one.
//!
//! A [`Target`] is a dispatcher or a worker. It is *available* if the latest observation proves it, and unavailable
//! otherwise. A requester needs a [`Permit`] to take a target out of service. The invariants are:
//!
//! 1. **No permit is granted beyond a budget.** Every budget that selects a target must allow the disruption. Targets
//!    that are unavailable for any reason and targets with a granted or begun permit count together. Only a requester
//!    that forces a permit exceeds a budget.
//! 2. **A permit that was not begun can be revoked. The target of a begun permit counts as unavailable** until it is
//!    proven available again, or an operator deregisters it. No timeout ends a begun permit. The proof is an
//!    observation of the target as available, either with a higher incarnation than it had when the permit was granted
//!    or begun, or made after the requester reported that the disruption is complete. Any other observation of the
//!    target as available proves nothing, because the disruption may not have been carried out yet.
//! 3. **A permit is checked again when it is begun.** A permit that was revoked or cancelled since its grant is
//!    rejected, so a requester that was paused for a long time takes no target out of service.
//! 4. **An observation is valid in its observer's term only**: an observer with an older fencing token changes nothing.
//! 5. **A permit is granted only by an observation that was made after the permit was requested.**
//!
//! [`Budget`] is a bound, [`DisruptionState`] the replicated state, and [`DisruptionCommand`] an entry of the
//! replicated log that changes this state. [`PermitTimeouts`] expires permits by the leading replica's clock,
//! [`AvailabilityObserver`] and [`WarmupTracker`] turn readiness reports and the endpoint list into observations, and
//! [`canary_analysis`] decides whether a new version fails more often than the old one.

mod availability_observer;
mod budget;
pub mod canary_analysis;
mod command;
mod injected_bug;
mod limits;
mod outcome;
mod permit;
mod permit_timeouts;
mod state;
mod status;
mod target;
mod worker_warmup;

pub use availability_observer::{AvailabilityObserver, DispatcherMember, ReadinessReport, OBSERVER_LEASE};
pub use budget::{Amount, Budget, BudgetError, BudgetProblem, BudgetScope};
pub use command::DisruptionCommand;
pub use injected_bug::InjectedBug;
pub use limits::{MAX_BUDGETS, MAX_OPEN_PERMITS, MAX_TARGETS, MAX_TEXT_BYTES};
pub use outcome::{DisruptionOutcome, Rejection};
pub use permit::{ForcedPermits, Permit, PermitId, PermitState};
pub use permit_timeouts::{BegunPermit, PermitTimeouts, BEGIN_TIMEOUT, RENEWAL_TIMEOUT};
pub use state::{BudgetUsage, DisruptionState, DisruptionTotals, ObservationUrgency};
pub use status::{Availability, StatusChanges, TargetStatus};
pub use target::{ParseTargetError, Target, TargetKind};
pub use worker_warmup::{WarmupTracker, WorkerEndpoint};

/// Microseconds on the caller's monotonic clock; never compared between processes.
pub type Micros = u64;
