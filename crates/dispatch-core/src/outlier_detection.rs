//! State machines that eject workers and suspect outages of whole zones, based on failures. They have no clock.

use crate::api::Seconds;

/// Number of consecutive failures after which a worker is ejected.
const EJECTION_FAILURES: u32 = 2;
/// Bounds of the duration of an ejection, without jitter.
const MIN_EJECTION: Seconds = 0.5;
const MAX_EJECTION: Seconds = 8.0;
/// Minimum duration of an ejection with jitter, as a fraction of the duration without jitter.
const MIN_EJECTION_FACTOR: f64 = 0.75;
/// Range of the jitter, as a fraction of the duration of an ejection.
const EJECTION_JITTER: f64 = 0.5;

/// Health of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierDetector {
    failures: u32,
    ejected_until: Seconds,
    ejection_time: Seconds,
    /// Time of the last sign of life that this dispatcher saw.
    pub last_alive: Seconds,
    /// Whether the worker is ejected because it gave no sign of life.
    is_stalled: bool,
    /// Time until which the unhealthy verdict of a health checker is valid; 0 if there is none.
    verdict_until: Seconds,
}

impl OutlierDetector {
    /// Counts a failure. Returns whether it ejects the worker; `jitter` must be a random number from 0 to 1.
    pub(crate) fn record_failure(&mut self, now: Seconds, jitter: f64) -> bool {
        self.failures = self.failures.saturating_add(1);
        let ejects = self.failures >= EJECTION_FAILURES && self.ejected_until <= now;
        if ejects {
            self.ejection_time = (self.ejection_time * 2.0).clamp(MIN_EJECTION, MAX_EJECTION);
            self.ejected_until = now + self.ejection_time * (MIN_EJECTION_FACTOR + EJECTION_JITTER * jitter);
        }
        ejects
    }

    /// Records that the worker served a job. Returns whether that readmits the worker.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_unhealthy = self.is_unhealthy();
        *self = OutlierDetector {
            last_alive: self.last_alive,
            is_stalled: self.is_stalled,
            ..OutlierDetector::default()
        };
        was_unhealthy
    }

    /// Records a sign of life. Returns whether that readmits the worker.
    pub(crate) fn record_liveness(&mut self, now: Seconds) -> bool {
        self.last_alive = now;
        let had_verdict = std::mem::take(&mut self.verdict_until) > 0.0;
        let was_stalled = std::mem::take(&mut self.is_stalled);
        let ends_ejection = was_stalled && self.record_success();
        ends_ejection || had_verdict
    }

    /// Applies the verdict of a health checker that observed a failure, or withdraws it if `valid_until` is in the
    /// past. A sign of life since the observation overrides the verdict, because the health checker itself may be
    /// partitioned from the worker.
    pub(crate) fn apply_verdict(&mut self, observed_at: Seconds, valid_until: Seconds) {
        let applies = valid_until > observed_at && self.last_alive <= observed_at;
        self.verdict_until = if applies { valid_until } else { 0.0 };
    }

    /// Marks the worker as stalled, so that its next failure ejects it. Returns whether the mark is new.
    pub(crate) fn mark_stalled(&mut self) -> bool {
        self.failures = self.failures.max(EJECTION_FAILURES);
        let was_stalled = std::mem::replace(&mut self.is_stalled, true);
        !was_stalled
    }

    /// Whether the worker was ejected and has served no job since, or a verdict marks it as unhealthy.
    pub(crate) fn is_unhealthy(&self) -> bool {
        self.ejection_time > 0.0 || self.verdict_until > 0.0
    }

    /// Whether the worker must get no jobs now. After an ejection a single job tests the worker, and others follow only
    /// when that job has ended; `is_busy` is whether a job is in flight there.
    pub(crate) fn is_ejected(&self, now: Seconds, is_busy: bool) -> bool {
        self.ejected_until > now || self.verdict_until > now || (self.is_unhealthy() && is_busy)
    }
}

/// Number of different workers that must fail in a row for an outage of their zone to be suspected.
const OUTAGE_FAILURES: u32 = 3;
/// Bounds of the duration of a suspicion, without jitter. Meanwhile the zone is the last choice; afterwards jobs may be
/// sent there again.
const MIN_SUSPICION: Seconds = 0.5;
const MAX_SUSPICION: Seconds = 4.0;
/// Minimum duration of a suspicion with jitter, as a fraction of the duration without jitter.
const MIN_SUSPICION_FACTOR: f64 = 0.5;

/// Detector of zone outages: the workers of a zone fail one after another, and none gives a sign of life.
///
/// A dispatcher with little traffic uses each worker of a large fleet about twice a minute. If it detected an outage
/// worker by worker, each worker of the zone would cost it two failures, and each failure a wait for a connection that
/// is never established. Instead, an outage is suspected as soon as a few different workers of a zone fail in a row
/// without a sign of life of any worker there. The zone is then the last choice for some time, which doubles with each
/// suspicion. A sign of life of any worker of the zone ends the suspicion.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneOutage {
    /// Number of different workers that failed since the last sign of life.
    failed_workers: u32,
    last_failed: Option<usize>,
    suspected_until: Seconds,
    suspicion_time: Seconds,
}

impl ZoneOutage {
    /// Counts a failure of a worker of the zone; `jitter` must be a random number from 0 to 1, so that dispatchers do
    /// not return to the zone in lockstep.
    pub(crate) fn record_failure(&mut self, worker: usize, now: Seconds, jitter: f64) {
        if self.last_failed.replace(worker) != Some(worker) {
            self.failed_workers = self.failed_workers.saturating_add(1);
        }
        if self.failed_workers >= OUTAGE_FAILURES && now >= self.suspected_until {
            self.suspicion_time = (2.0 * self.suspicion_time).clamp(MIN_SUSPICION, MAX_SUSPICION);
            self.suspected_until = now + self.suspicion_time * (MIN_SUSPICION_FACTOR + jitter);
        }
    }

    /// Records a sign of life of a worker of the zone, which ends the suspicion.
    pub(crate) fn record_liveness(&mut self) {
        *self = ZoneOutage::default();
    }

    /// Whether an outage of the zone is suspected now.
    pub(crate) fn is_suspected(&self, now: Seconds) -> bool {
        now < self.suspected_until
    }
}

#[cfg(test)]
#[path = "../tests/unit/outlier_detection.rs"]
mod tests;
