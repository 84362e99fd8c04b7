//! What clients ask for: classes of jobs, tenants, and how clients retry.

use dispatch_core::api::Idempotency;

use super::Span;

/// How work is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkShape {
    /// A power law: few jobs hold much of the work.
    Pareto,
    /// The logarithm is normal.
    Lognormal,
    /// Memoryless.
    Exponential,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its part of the jobs.
    pub share: Span,
    /// Its mean work, in seconds at speed 1.
    pub work: Span,
    /// How work is spread, and how widely.
    pub work_shape: WorkShape,
    /// See there.
    pub cv: Span,
    /// How far one attempt's work differs from another's.
    pub noise: Span,
    /// Slots, with the part of the class's jobs that need so many.
    pub slots: Vec<(u32, f64)>,
    /// Wanted within this many seconds ...
    pub latency_objective: f64,
    /// ... and so many times its work.
    pub stretch: f64,
    /// Given up after so many seconds.
    pub timeout: f64,
    /// Worth of a unit of work.
    pub priority_weight: f64,
    /// The part of it that a late answer earns.
    pub late_weight: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// How long a rack drops repeats, in seconds.
    pub retry_window: f64,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its part of the service.
    pub share: f64,
    /// What it asks for, in parts of its share.
    pub usage: Span,
}

/// What clients ask for.
#[derive(Clone, Debug)]
pub struct TrafficSpec {
    /// How far the rate swings over the day.
    pub swing: Span,
    /// How unevenly requests come.
    pub stream_cv: Span,
    /// How unevenly they come to the dispatchers.
    pub skew: Span,
    /// What is sold of the fleet.
    pub quota: Span,
    /// The part of the worth that traffic beyond a share has.
    pub over_quota_weight: f64,
    /// Classes.
    pub classes: Vec<ClassSpec>,
    /// Tenants.
    pub tenants: Vec<TenantSpec>,
}

/// How clients behave.
#[derive(Clone, Debug)]
pub struct ClientSpec {
    /// The part of clients that retry once.
    pub retry: Span,
    /// The part of them that wait for as long as a refusal says.
    pub honour_retry_after: Span,
    /// What they wait otherwise, in seconds.
    pub backoff: Span,
    /// The longest wait that a refusal may ask for, in seconds.
    pub max_retry_after: f64,
    /// The part of clients that leave before their time is up.
    pub impatient_share: Span,
}
