//! Health checks: the workers are partitioned into sets; the holder of each set's lease, its *observer*, probes the workers
//! of the set and reports the failing ones to all members. Pure: no I/O and no clock.
//!
//! Invariants:
//!
//! 1. *A worker is probed at most once per interval, over all members.* A lease holder first probes a worker one interval
//!    after its term began, hence after the last probe of the previous term, and then one interval after each probe.
//! 2. *A partitioned observer causes no unhealthy verdict.* A failing worker is considered unhealthy only if its observer
//!    saw another worker of the zone healthy between the first and the last failure, or if an observer in another zone
//!    finds the whole zone unreachable too; and never if the observer sees no healthy worker at all.
//! 3. *Reports expire.* A verdict ends with the time to live of its report, and the delay of a report counts towards its
//!    age.

mod config;
mod report;
mod scheduler;
mod verdict;

pub use config::{HealthCheckConfig, InjectedBug};
pub use report::{FailingWorker, HealthReport, ZoneReport};
pub use scheduler::{HealthCheckScheduler, WorkerCounts, ZoneLiveness};
pub use verdict::{HealthReports, UnhealthyVerdict};
