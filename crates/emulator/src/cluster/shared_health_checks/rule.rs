//! Rules of the schedules of shared health checks.

use crate::cluster::violations::Rule;

/// A rule of shared health checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthCheckRule {
    /// No worker is probed more than once a period, over all dispatchers.
    ProbeRate,
    /// No worker goes unprobed for longer than stated while a dispatcher can reach it.
    NoProbeGap,
    /// No worker that was healthy all the time has an unhealthy verdict.
    NoFalseVerdict,
    /// A worker that fails for long has an unhealthy verdict at every dispatcher.
    FailureKnownEverywhere,
    /// Every job of the clients gets one complete answer within its time.
    JobAnsweredInTime,
    /// The rules of leases.
    Leases,
    /// A draining worker gets no new job later than the grace after its drain was notified.
    NoJobAtDrainingWorker,
    /// All dispatchers together overload no worker in slow start.
    NoOverloadInSlowStart,
    /// A job that is not idempotent reaches no second worker, and is not rejected after it reached one.
    NoRepeatedExecution,
}

impl HealthCheckRule {
    /// All rules.
    pub const ALL: [HealthCheckRule; 9] = [
        HealthCheckRule::ProbeRate,
        HealthCheckRule::NoProbeGap,
        HealthCheckRule::NoFalseVerdict,
        HealthCheckRule::FailureKnownEverywhere,
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
            HealthCheckRule::FailureKnownEverywhere => "a worker that fails is known everywhere",
            HealthCheckRule::JobAnsweredInTime => "every job gets one whole answer in time",
            HealthCheckRule::Leases => "ownership",
            HealthCheckRule::NoJobAtDrainingWorker => "a worker that drains gets no new job",
            HealthCheckRule::NoOverloadInSlowStart => "no cold worker is pushed over",
            HealthCheckRule::NoRepeatedExecution => "what may run once is not sent twice",
        }
    }
}
