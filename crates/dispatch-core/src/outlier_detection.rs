//! Ejection of workers, and suspicion of whole zones, by their failures: plain state machines without a clock.

use crate::api::Seconds;

/// Failures in a row that eject a worker, and the first and longest ejection.
const EJECTION_FAILURES: u32 = 2;
const MIN_EJECTION: Seconds = 0.5;
const MAX_EJECTION: Seconds = 8.0;
/// An ejection is spread by jitter from this part of its length on, over this much.
const MIN_EJECTION_PART: f64 = 0.75;
const EJECTION_JITTER: f64 = 0.5;

/// The health of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierDetector {
    failures: u32,
    ejected_until: Seconds,
    ejection_time: Seconds,
    /// When it last gave a sign of life to us.
    pub last_alive: Seconds,
    /// It is ejected for giving none.
    is_stalled: bool,
    /// Until when the verdict of a health checker, which probes for all dispatchers, is held against it.
    verdict_until: Seconds,
}

impl OutlierDetector {
    /// It failed; true where that ejects it. `jitter` is drawn from 0 to 1.
    pub(crate) fn record_failure(&mut self, now: Seconds, jitter: f64) -> bool {
        self.failures = self.failures.saturating_add(1);
        let ejects = self.failures >= EJECTION_FAILURES && self.ejected_until <= now;
        if ejects {
            self.ejection_time = (self.ejection_time * 2.0).clamp(MIN_EJECTION, MAX_EJECTION);
            self.ejected_until = now + self.ejection_time * (MIN_EJECTION_PART + EJECTION_JITTER * jitter);
        }
        ejects
    }

    /// It served a job; true where that readmits it.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_unhealthy = self.is_unhealthy();
        *self = OutlierDetector {
            last_alive: self.last_alive,
            is_stalled: self.is_stalled,
            ..OutlierDetector::default()
        };
        was_unhealthy
    }

    /// It gave a sign of life; true where that readmits it.
    pub(crate) fn record_liveness(&mut self, now: Seconds) -> bool {
        self.last_alive = now;
        let had_verdict = std::mem::take(&mut self.verdict_until) > 0.0;
        (std::mem::take(&mut self.is_stalled) && self.record_success()) || had_verdict
    }

    /// A health checker saw it fail at that time, which may be held against it until then; or takes that back. A sign of
    /// life that it gave us since then counts for more: whoever probes may be the one who is cut off.
    pub(crate) fn apply_verdict(&mut self, observed_at: Seconds, valid_until: Seconds) {
        let counts = valid_until > observed_at && self.last_alive <= observed_at;
        self.verdict_until = if counts { valid_until } else { 0.0 };
    }

    /// It gives no sign of life: the next failure ejects it. True where that was not known.
    pub(crate) fn mark_stalled(&mut self) -> bool {
        self.failures = self.failures.max(EJECTION_FAILURES);
        !std::mem::replace(&mut self.is_stalled, true)
    }

    /// It was ejected and has not succeeded since, or a verdict says that it fails.
    pub(crate) fn is_unhealthy(&self) -> bool {
        self.ejection_time > 0.0 || self.verdict_until > 0.0
    }

    /// It gets nothing now: after an ejection one job tries it, and the others wait for its end.
    pub(crate) fn is_ejected(&self, now: Seconds, is_busy: bool) -> bool {
        self.ejected_until > now || self.verdict_until > now || (self.is_unhealthy() && is_busy)
    }
}

/// So many different workers in a row make a zone suspect.
const OUTAGE_FAILURES: u32 = 3;
/// How long a zone is the last choice, at first and at the most; then a job tries it again.
const MIN_SUSPICION: Seconds = 0.5;
const MAX_SUSPICION: Seconds = 4.0;
/// A suspicion is spread by jitter from this part of its length on.
const MIN_SUSPICION_PART: f64 = 0.5;

/// Whether a whole zone seems to be lost: its workers fail one after another, and none gives a sign of life.
///
/// A dispatcher with little traffic uses each worker of a large fleet twice a minute. Learnt worker by worker, the
/// loss of a zone costs it two failures for each of them, all of which wait for a connection that never comes up. A
/// few different workers that fail in a row, with no sign of any other between, tell of the zone at once. It is then
/// the last choice for a while, twice as long each time; one sign of life of any worker there ends that.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneOutage {
    /// Different workers that failed since the last sign of life, and the last of them.
    failed_workers: u32,
    last_failed: Option<usize>,
    suspected_until: Seconds,
    suspicion_time: Seconds,
}

impl ZoneOutage {
    /// A worker of the zone failed; `jitter` is drawn from 0 to 1, so that dispatchers do not come back in step.
    pub(crate) fn record_failure(&mut self, worker: usize, now: Seconds, jitter: f64) {
        if self.last_failed.replace(worker) != Some(worker) {
            self.failed_workers = self.failed_workers.saturating_add(1);
        }
        if self.failed_workers >= OUTAGE_FAILURES && now >= self.suspected_until {
            self.suspicion_time = (2.0 * self.suspicion_time).clamp(MIN_SUSPICION, MAX_SUSPICION);
            self.suspected_until = now + self.suspicion_time * (MIN_SUSPICION_PART + jitter);
        }
    }

    /// A worker of the zone gave a sign of life.
    pub(crate) fn record_liveness(&mut self) {
        *self = ZoneOutage::default();
    }

    /// The zone seems to be lost.
    pub(crate) fn is_suspected(&self, now: Seconds) -> bool {
        now < self.suspected_until
    }
}

#[cfg(test)]
#[path = "../tests/unit/outlier_detection.rs"]
mod tests;
