//! Health checks: the workers are cut into sets, and the holder of each set's lease probes its workers and reports to all
//! members which of them fail. Pure: no I/O and no clock.
//!
//! What holds:
//!
//! 1. *A worker is probed at most once an interval, whoever does it.* A lease holder probes each worker first one interval
//!    after its term began, so after the last probe of the term before, and then an interval after the last probe was
//!    sent.
//! 2. *An observer that is cut off condemns nobody.* A worker that fails counts only where its observer saw another worker
//!    of that zone healthy between the first and the last of these failures, or where an observer of another zone finds
//!    the whole zone unreachable too; and never where the observer sees no healthy worker at all.
//! 3. *Reports expire.* Without a fresh report nothing is held against a worker for longer than the stated time, and a
//!    report that was delayed is as old as its delay.

mod config;
mod report;
mod scheduler;
mod verdict;

pub use config::{HealthCheckConfig, InjectedBug};
pub use report::{FailingWorker, HealthReport, ZoneReport};
pub use scheduler::{HealthCheckScheduler, WorkerCounts, ZoneLiveness};
pub use verdict::{HealthReports, UnhealthyVerdict};
