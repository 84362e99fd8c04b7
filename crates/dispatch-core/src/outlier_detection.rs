//! Ejection of workers, and suspicion of whole zones, by their failures: state machines without a clock.

use crate::api::Seconds;

/// Consecutive failures that eject a worker.
const EJECTION_FAILURES: u32 = 2;
/// Bounds of the length of an ejection, before jitter.
const MIN_EJECTION: Seconds = 0.5;
const MAX_EJECTION: Seconds = 8.0;
/// Shortest ejection with jitter, as a part of its length.
const MIN_EJECTION_PART: f64 = 0.75;
/// Span of the jitter, as a part of the length of an ejection.
const EJECTION_JITTER: f64 = 0.5;

/// Health of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierDetector {
    failures: u32,
    ejected_until: Seconds,
    ejection_time: Seconds,
    /// Time of the last sign of life to this dispatcher.
    pub last_alive: Seconds,
    /// Whether the worker is ejected for want of signs of life.
    is_stalled: bool,
    /// Time until which the unhealthy verdict of a health checker, which probes for all dispatchers, is valid.
    verdict_until: Seconds,
}

impl OutlierDetector {
    /// Counts a failure. Returns whether it ejects the worker; `jitter` is drawn from 0 to 1.
    pub(crate) fn record_failure(&mut self, now: Seconds, jitter: f64) -> bool {
        self.failures = self.failures.saturating_add(1);
        let ejects = self.failures >= EJECTION_FAILURES && self.ejected_until <= now;
        if ejects {
            self.ejection_time = (self.ejection_time * 2.0).clamp(MIN_EJECTION, MAX_EJECTION);
            self.ejected_until = now + self.ejection_time * (MIN_EJECTION_PART + EJECTION_JITTER * jitter);
        }
        ejects
    }

    /// Records that the worker served a job. Returns whether that readmits it.
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

    /// Applies the verdict of a health checker that observed a failure, or withdraws it if `valid_until` is past. A
    /// sign of life since the observation counts for more: the health checker itself may be partitioned from the
    /// worker.
    pub(crate) fn apply_verdict(&mut self, observed_at: Seconds, valid_until: Seconds) {
        let counts = valid_until > observed_at && self.last_alive <= observed_at;
        self.verdict_until = if counts { valid_until } else { 0.0 };
    }

    /// Marks the worker as stalled, so that its next failure ejects it. Returns whether it was not marked before.
    pub(crate) fn mark_stalled(&mut self) -> bool {
        self.failures = self.failures.max(EJECTION_FAILURES);
        let was_stalled = std::mem::replace(&mut self.is_stalled, true);
        !was_stalled
    }

    /// Whether the worker was ejected and has not succeeded since, or a verdict has marked it unhealthy.
    pub(crate) fn is_unhealthy(&self) -> bool {
        self.ejection_time > 0.0 || self.verdict_until > 0.0
    }

    /// Whether the worker gets no jobs now. After an ejection one job tries it, and others follow only when that has
    /// ended.
    pub(crate) fn is_ejected(&self, now: Seconds, is_busy: bool) -> bool {
        self.ejected_until > now || self.verdict_until > now || (self.is_unhealthy() && is_busy)
    }
}

/// Number of different workers whose consecutive failures make a zone suspect.
const OUTAGE_FAILURES: u32 = 3;
/// Bounds of the time for which a suspected zone is the last choice, before jitter; then a job tries it again.
const MIN_SUSPICION: Seconds = 0.5;
const MAX_SUSPICION: Seconds = 4.0;
/// Shortest suspicion with jitter, as a part of its length.
const MIN_SUSPICION_PART: f64 = 0.5;

/// Suspicion that a whole zone is lost: its workers fail one after another, and none gives a sign of life.
///
/// A dispatcher with little traffic uses each worker of a large fleet twice a minute. Learnt worker by worker, the
/// loss of a zone costs it two failures for each of them, all of which wait for a connection that never opens. A few
/// different workers that fail in a row, without a sign of life of any other between, indicate the loss at once. The
/// zone is then the last choice for a while, twice as long each time; a sign of life of any worker there ends that.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneOutage {
    /// Number of different workers that failed since the last sign of life.
    failed_workers: u32,
    last_failed: Option<usize>,
    suspected_until: Seconds,
    suspicion_time: Seconds,
}

impl ZoneOutage {
    /// Counts a failure of a worker of the zone; `jitter` is drawn from 0 to 1, so that dispatchers do not return in
    /// step.
    pub(crate) fn record_failure(&mut self, worker: usize, now: Seconds, jitter: f64) {
        if self.last_failed.replace(worker) != Some(worker) {
            self.failed_workers = self.failed_workers.saturating_add(1);
        }
        if self.failed_workers >= OUTAGE_FAILURES && now >= self.suspected_until {
            self.suspicion_time = (2.0 * self.suspicion_time).clamp(MIN_SUSPICION, MAX_SUSPICION);
            self.suspected_until = now + self.suspicion_time * (MIN_SUSPICION_PART + jitter);
        }
    }

    /// Records a sign of life of a worker of the zone, which ends the suspicion.
    pub(crate) fn record_liveness(&mut self) {
        *self = ZoneOutage::default();
    }

    /// Whether the zone seems to be lost now.
    pub(crate) fn is_suspected(&self, now: Seconds) -> bool {
        now < self.suspected_until
    }
}

#[cfg(test)]
#[path = "../tests/unit/outlier_detection.rs"]
mod tests;
