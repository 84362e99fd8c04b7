//! Health checks. The workers are partitioned into sets. The holder of the lease of a set, its *observer*, probes the
//! workers of the set and reports the failing ones to all members. Pure: no I/O and no clock.
//!
//! Invariants:
//!
//! 1. *A worker is probed at most once per interval by all members together.* A lease holder first probes a worker one
//!    interval after its term began, and thereby at least one interval after the last probe of the previous term. Each
//!    further probe follows at least one interval after the one before.
//! 2. *A partitioned observer causes no unhealthy verdict.* A failing worker is considered unhealthy only if its observer
//!    saw another worker of the zone healthy between the first and the last failure, or if an observer in another zone
//!    also finds the whole zone unreachable. If the observer sees no healthy worker at all, none is considered unhealthy.
//! 3. *Reports expire.* A verdict ends when the time to live of its report has passed. The time that a report takes to
//!    arrive counts toward its age.

mod config;
mod report;
mod scheduler;
mod verdict;

pub use config::{HealthCheckConfig, InjectedBug};
pub use report::{FailingWorker, HealthReport, ZoneReport};
pub use scheduler::{HealthCheckScheduler, WorkerCounts, ZoneLiveness};
pub use verdict::{HealthReports, UnhealthyVerdict};
