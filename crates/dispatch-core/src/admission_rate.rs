//! The admission rate R of a dispatcher, and the traffic of the current window by which R is adjusted.

/// Lowest admission rate, in slots per second.
const MIN_RATE: f64 = 0.5;
/// Lowest share of the admission rate for one tenant, in slots per second.
const MIN_PARTIAL_RATE: f64 = 1e-3;

/// The rate R, with the slots of the jobs that were accepted and rejected in this window.
#[derive(Debug, Default)]
pub(crate) struct AdmissionRate {
    pub slots_per_second: f64,
    /// Whether the rate was ever cut; after the first cut it rises more slowly.
    pub was_cut: bool,
    /// Whether jobs were rejected or queued for lack of tokens in this window.
    pub is_limiting: bool,
    /// Mean rate of work that is served in time, in slots per second.
    pub served_rate: f64,
    /// Slots of jobs that workers started without a long wait in this window.
    pub accepted: f64,
    /// Slots of jobs that workers rejected or started after a long wait in this window.
    pub rejected: f64,
    /// Whether more than one worker rejected jobs in this window.
    pub rejected_by_several: bool,
    first_rejecting_worker: Option<usize>,
}

impl AdmissionRate {
    /// Returns an admission rate with an initial estimate of the rate that is served in time.
    pub(crate) fn new(slots_per_second: f64, served_rate: f64) -> AdmissionRate {
        AdmissionRate { slots_per_second, served_rate, ..AdmissionRate::default() }
    }

    /// Returns a share of the rate. It is never zero, because callers divide by it.
    pub(crate) fn partial(&self, share: f64) -> f64 {
        (share * self.slots_per_second).max(MIN_PARTIAL_RATE)
    }

    /// Counts the slots of a job that a worker rejected or that waited there too long.
    pub(crate) fn record_rejection(&mut self, worker: usize, slots: f64) {
        self.rejected += slots;
        self.rejected_by_several |= self.first_rejecting_worker.is_some_and(|first| first != worker);
        self.first_rejecting_worker.get_or_insert(worker);
    }

    /// Begins a new window: resets the counts and keeps the rate above zero.
    pub(crate) fn start_window(&mut self) {
        *self = AdmissionRate {
            was_cut: self.was_cut,
            ..AdmissionRate::new(self.slots_per_second.max(MIN_RATE), self.served_rate)
        };
    }
}
