//! Whether a worker, or a whole zone, is to be left alone for a while: plain state machines that are told what passed.

use crate::api::Seconds;

/// Failures in a row that eject a worker, and the first and longest ejection.
const EJECTION_FAILURES: u32 = 2;
const MIN_EJECTION: Seconds = 0.5;
const MAX_EJECTION: Seconds = 8.0;

/// What is thought of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierDetector {
    failures: u32,
    ejected_until: Seconds,
    ejection_time: Seconds,
    /// When it last gave a sign of life to us.
    pub last_alive: Seconds,
    /// It is ejected for giving none.
    is_stalled: bool,
    /// Until when the word of one who watches workers for all is held against it.
    verdict_until: Seconds,
}

impl OutlierDetector {
    /// It failed; true where that ejects it. `jitter` is drawn from 0 to 1.
    pub(crate) fn record_failure(&mut self, now: Seconds, jitter: f64) -> bool {
        self.failures = self.failures.saturating_add(1);
        let ejects = self.failures >= EJECTION_FAILURES && self.ejected_until <= now;
        if ejects {
            self.ejection_time = (self.ejection_time * 2.0).clamp(MIN_EJECTION, MAX_EJECTION);
            self.ejected_until = now + self.ejection_time * (0.75 + 0.5 * jitter);
        }
        ejects
    }

    /// It did what it was asked for; true where that lets it in again.
    pub(crate) fn record_success(&mut self) -> bool {
        let shut = self.is_unhealthy();
        *self = OutlierDetector {
            last_alive: self.last_alive,
            is_stalled: self.is_stalled,
            ..OutlierDetector::default()
        };
        shut
    }

    /// It gave a sign of life; true where that lets it in again.
    pub(crate) fn record_liveness(&mut self, now: Seconds) -> bool {
        self.last_alive = now;
        let told = std::mem::take(&mut self.verdict_until) > 0.0;
        (std::mem::take(&mut self.is_stalled) && self.record_success()) || told
    }

    /// Somebody saw it fail at that time, which may be held against it until then; or takes that back. A sign of life
    /// that it gave us since then counts for more: whoever watches may be the one who is cut off.
    pub(crate) fn apply_verdict(&mut self, seen: Seconds, until: Seconds) {
        self.verdict_until = if until > seen && self.last_alive <= seen { until } else { 0.0 };
    }

    /// It gives no sign of life: the next failure ejects it. True where that was not known.
    pub(crate) fn mark_stalled(&mut self) -> bool {
        self.failures = self.failures.max(EJECTION_FAILURES);
        !std::mem::replace(&mut self.is_stalled, true)
    }

    /// It was ejected and has not worked since, or is told to fail.
    pub(crate) fn is_unhealthy(&self) -> bool {
        self.ejection_time > 0.0 || self.verdict_until > 0.0
    }

    /// It gets nothing now: after an ejection one job tries it, and the others wait for its end.
    pub(crate) fn is_ejected(&self, now: Seconds, busy: bool) -> bool {
        self.ejected_until > now || self.verdict_until > now || (self.is_unhealthy() && busy)
    }
}

/// So many different workers in a row make a zone suspect.
const OUTAGE_FAILURES: u32 = 3;
/// How long a zone is the last choice, at first and at the most; then a job tries it again.
const MIN_SUSPICION: Seconds = 0.5;
const MAX_SUSPICION: Seconds = 4.0;

/// Whether a whole zone seems to be lost: its workers fail one after another, and none gives a sign of life.
///
/// A dispatcher with little traffic meets each worker of a large fleet twice a minute. Learnt worker by worker, the
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
    pub(crate) fn failed(&mut self, worker: usize, now: Seconds, jitter: f64) {
        if self.last_failed.replace(worker) != Some(worker) {
            self.failed_workers = self.failed_workers.saturating_add(1);
        }
        if self.failed_workers >= OUTAGE_FAILURES && now >= self.suspected_until {
            self.suspicion_time = (2.0 * self.suspicion_time).clamp(MIN_SUSPICION, MAX_SUSPICION);
            self.suspected_until = now + self.suspicion_time * (0.5 + jitter);
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
mod tests {
    use super::*;

    /// An ejection is twice as long each time, and over once the worker works; while it is tried, others wait.
    #[test]
    fn two_failures_eject_a_worker_until_it_works() {
        let mut worker = OutlierDetector::default();
        assert!(!worker.record_failure(10.0, 0.5) && worker.record_failure(10.1, 0.5));
        assert!(
            worker.is_ejected(10.5, false)
                && !worker.is_ejected(10.7, false)
                && worker.is_ejected(10.7, true)
        );
        assert!(worker.record_failure(10.7, 0.5) && worker.is_ejected(11.6, false), "a second, this time");
        assert!(worker.record_success() && !worker.is_ejected(10.8, true) && !worker.record_success());
        assert!(worker.mark_stalled() && !worker.mark_stalled() && worker.record_failure(12.0, 0.5));
        assert!(worker.record_liveness(12.1) && !worker.is_unhealthy() && !worker.record_liveness(12.2));
    }

    /// The word of a watcher counts until it lapses, is taken back, or the worker is seen alive here since.
    #[test]
    fn what_a_watcher_says_counts_for_less_than_what_was_seen_here_since() {
        let mut worker = OutlierDetector::default();
        worker.apply_verdict(9.5, 13.5);
        assert!(worker.is_ejected(10.0, false) && worker.is_unhealthy() && !worker.is_ejected(13.6, false));
        worker.apply_verdict(10.0, 10.0);
        assert!(!worker.is_ejected(10.1, false) && !worker.is_unhealthy());
        worker.apply_verdict(10.0, 14.0);
        assert!(worker.record_liveness(10.5) && !worker.is_ejected(10.6, false), "it is alive for us");
        worker.apply_verdict(10.2, 14.2);
        assert!(!worker.is_ejected(10.6, false), "that was seen before its sign of life");
        worker.apply_verdict(10.7, 14.7);
        assert!(worker.is_ejected(10.8, false));
        assert!(worker.record_success() && !worker.is_ejected(10.8, false));
    }

    #[test]
    fn three_workers_in_a_row_make_a_zone_suspect_and_one_sign_clears_it() {
        let mut zone = ZoneOutage::default();
        zone.failed(1, 10.0, 0.5);
        zone.failed(2, 10.1, 0.5);
        assert!(!zone.is_suspected(10.1));
        zone.record_liveness();
        zone.failed(3, 10.2, 0.5);
        zone.failed(4, 10.3, 0.5);
        assert!(!zone.is_suspected(10.3), "there was a sign between");
        zone.failed(5, 10.4, 0.5);
        assert!(zone.is_suspected(10.4) && !zone.is_suspected(11.0));
        zone.failed(6, 11.0, 0.5);
        assert!(zone.is_suspected(11.9) && !zone.is_suspected(12.1), "twice as long");
        zone.record_liveness();
        assert!(!zone.is_suspected(11.1));
    }

    #[test]
    fn one_worker_that_fails_again_and_again_says_nothing_of_its_zone() {
        let mut zone = ZoneOutage::default();
        (0..50).for_each(|n| zone.failed(7, f64::from(n), 0.5));
        assert!(!zone.is_suspected(49.0));
    }
}
