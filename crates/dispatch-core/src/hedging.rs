//! The budget for hedged requests: second attempts that are sent while the first may still be running.

/// Hedged requests, in parts of the sends, and the most that are saved up.
const HEDGES_PER_SEND: f64 = 0.1;
const MAX_SAVED: f64 = 4.0;

/// Hedged requests that may be sent.
#[derive(Debug)]
pub(crate) struct HedgeBudget(f64);

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget(MAX_SAVED)
    }
}

impl HedgeBudget {
    /// An attempt was sent: a part of a hedged request is saved for it.
    pub(crate) fn record_send(&mut self) {
        self.0 = (self.0 + HEDGES_PER_SEND).min(MAX_SAVED);
    }

    /// Whether one may be sent.
    pub(crate) fn is_left(&self) -> bool {
        self.0 >= 1.0
    }

    /// One is sent.
    pub(crate) fn spend(&mut self) {
        self.0 -= 1.0;
    }
}
