//! Rules of the schedules of shared health checks.

use crate::cluster::violations::Rule;

/// A rule of shared health checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthCheckRule {
    /// No worker is probed more than once per period by all dispatchers together.
    ProbeRate,
    /// No worker goes unprobed for longer than the plan allows while a dispatcher can reach it.
    NoProbeGap,
    /// A worker that did not hang has no unhealthy verdict.
    NoFalseVerdict,
    /// Every dispatcher has an unhealthy verdict on a worker that hangs long enough.
    FailureDetectedEverywhere,
    /// Every job of the clients gets one complete response within its timeout.
    JobAnsweredInTime,
    /// The rules of leases, as the record checker checks them.
    Leases,
    /// No new job reaches a draining worker later than the grace time after its drain was announced.
    NoJobAtDrainingWorker,
    /// The dispatchers together overload no worker in slow start.
    NoOverloadInSlowStart,
    /// A job that is not idempotent reaches at most one worker, and is not rejected after it reached a worker.
    NoRepeatedExecution,
}

impl HealthCheckRule {
    /// All rules.
    pub const ALL: [HealthCheckRule; 9] = [
        HealthCheckRule::ProbeRate,
        HealthCheckRule::NoProbeGap,
        HealthCheckRule::NoFalseVerdict,
        HealthCheckRule::FailureDetectedEverywhere,
        HealthCheckRule::JobAnsweredInTime,
        HealthCheckRule::Leases,
        HealthCheckRule::NoJobAtDrainingWorker,
        HealthCheckRule::NoOverloadInSlowStart,
        HealthCheckRule::NoRepeatedExecution,
    ];
}

impl Rule for HealthCheckRule {
    fn text(self) -> &'static str {
        match self {
            HealthCheckRule::ProbeRate => "no worker is probed more often than once a period",
            HealthCheckRule::NoProbeGap => "no worker goes unprobed for too long",
            HealthCheckRule::NoFalseVerdict => "nothing is held against a worker that is well",
            HealthCheckRule::FailureDetectedEverywhere => "a worker that fails is known everywhere",
            HealthCheckRule::JobAnsweredInTime => "every job gets one whole answer in time",
            HealthCheckRule::Leases => "ownership",
            HealthCheckRule::NoJobAtDrainingWorker => "a worker that drains gets no new job",
            HealthCheckRule::NoOverloadInSlowStart => "no cold worker is pushed over",
            HealthCheckRule::NoRepeatedExecution => "what may run once is not sent twice",
        }
    }
}
