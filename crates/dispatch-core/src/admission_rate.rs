//! The admission rate R of a dispatcher, and the traffic of the present window by which it is adjusted.

/// Lowest admission rate, in slots a second.
const MIN_RATE: f64 = 0.5;
/// Lowest share of the rate, in slots a second.
const MIN_PARTIAL_RATE: f64 = 1e-3;

/// The rate R in slots a second, with the accepted and rejected slots of this window.
#[derive(Debug, Default)]
pub(crate) struct AdmissionRate {
    pub slots_per_second: f64,
    /// Whether the rate was ever cut; from then on it rises slowly.
    pub was_cut: bool,
    /// Whether jobs were rejected or queued for want of tokens in this window.
    pub is_limiting: bool,
    /// Mean rate of slots that are served in time, in slots a second.
    pub served_rate: f64,
    pub accepted: f64,
    pub rejected: f64,
    /// Whether more than one worker rejected jobs in this window.
    pub rejected_by_several: bool,
    first_rejecting_worker: Option<usize>,
}

impl AdmissionRate {
    /// Returns a rate with an initial guess of the rate that is served.
    pub(crate) fn new(slots_per_second: f64, served_rate: f64) -> AdmissionRate {
        AdmissionRate { slots_per_second, served_rate, ..AdmissionRate::default() }
    }

    /// Returns a share of the rate; never zero, since waits are divided by it.
    pub(crate) fn partial(&self, share: f64) -> f64 {
        (share * self.slots_per_second).max(MIN_PARTIAL_RATE)
    }

    /// Counts slots of jobs that a worker rejected or that waited there too long.
    pub(crate) fn record_rejection(&mut self, worker: usize, slots: f64) {
        self.rejected += slots;
        self.rejected_by_several |= self.first_rejecting_worker.is_some_and(|first| first != worker);
        self.first_rejecting_worker.get_or_insert(worker);
    }

    /// Begins a window without traffic, at a rate that is never zero.
    pub(crate) fn start_window(&mut self) {
        *self = AdmissionRate {
            was_cut: self.was_cut,
            ..AdmissionRate::new(self.slots_per_second.max(MIN_RATE), self.served_rate)
        };
    }
}
