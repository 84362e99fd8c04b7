//! Specification of the traffic: classes of jobs, tenants, and the behavior of clients.

use dispatch_core::api::Idempotency;

use super::ValueRange;

/// Shape of the distribution of work per job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkShape {
    /// Power law: a few jobs have much of the work.
    Pareto,
    /// Log-normal.
    Lognormal,
    /// Exponential; the coefficient of variation is always 1.
    Exponential,
}

/// A class of jobs.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Share of the jobs, as a weight against the other classes.
    pub share: ValueRange,
    /// Mean work of a job for each of its slots, in seconds at speed 1.
    pub work: ValueRange,
    /// Distribution of the work.
    pub work_shape: WorkShape,
    /// Coefficient of variation of the work.
    pub cv: ValueRange,
    /// Coefficient of variation of the work among attempts of the same job.
    pub noise: ValueRange,
    /// Numbers of slots, each with the share of the class's jobs that need it.
    pub slots: Vec<(u32, f64)>,
    /// Latency objective in seconds, to which `stretch` adds.
    pub latency_objective: f64,
    /// Addition to the latency objective, as a multiple of the job's work.
    pub stretch: f64,
    /// Timeout of the client, in seconds.
    pub timeout: f64,
    /// Value of a unit of work that is served in time.
    pub priority_weight: f64,
    /// Share of its value that a job earns when its response is late.
    pub late_weight: f64,
    /// Whether an attempt may be repeated, and within which scope an idempotency key holds.
    pub idempotency: Idempotency,
    /// Time within which workers recognize a repeated idempotency key, in seconds.
    pub retry_window: f64,
}

/// A tenant and its traffic.
#[derive(Clone, Debug)]
pub struct TenantSpec {
    /// Name of the tenant.
    pub name: String,
    /// Share of the service that the tenant is entitled to, as a weight against the other tenants.
    pub share: f64,
    /// Traffic of the tenant, as a multiple of its share.
    pub usage: ValueRange,
}

/// Traffic of all clients.
#[derive(Clone, Debug)]
pub struct TrafficSpec {
    /// Amplitude of the arrival rate's slow variation over the day, as a share of the mean rate.
    pub swing: ValueRange,
    /// Coefficient of variation of the time between jobs at a dispatcher.
    pub stream_cv: ValueRange,
    /// Unevenness of the dispatchers' traffic: standard deviation of its logarithm.
    pub skew: ValueRange,
    /// Sum of the tenants' quotas, as a share of the fleet's capacity.
    pub quota: ValueRange,
    /// Share of its value that a job has when its tenant exceeds its quota.
    pub over_quota_weight: f64,
    /// Classes of jobs.
    pub classes: Vec<ClassSpec>,
    /// Tenants that send the jobs.
    pub tenants: Vec<TenantSpec>,
}

/// Behavior of clients.
#[derive(Clone, Debug)]
pub struct ClientSpec {
    /// Share of clients that retry once.
    pub retry: ValueRange,
    /// Share of clients that wait for the time in `Retry-After` before a retry.
    pub honour_retry_after: ValueRange,
    /// Wait before a retry without `Retry-After`, in seconds; varies by a half around this.
    pub backoff: ValueRange,
    /// Largest `Retry-After` that a dispatcher may send, in seconds.
    pub max_retry_after: f64,
    /// Share of clients that leave before their timeout.
    pub impatient_share: ValueRange,
}
