//! The budget for hedged requests: second attempts that are sent while the first may still be running.

/// Hedged requests allowed for each send.
const HEDGES_PER_SEND: f64 = 0.1;
/// Most hedged requests that are saved up.
const MAX_SAVED: f64 = 4.0;

/// Budget of hedged requests.
#[derive(Debug)]
pub(crate) struct HedgeBudget {
    /// Number of hedged requests that may be sent.
    saved: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget { saved: MAX_SAVED }
    }
}

impl HedgeBudget {
    /// Adds the part of a hedged request that each send allows.
    pub(crate) fn record_send(&mut self) {
        self.saved = (self.saved + HEDGES_PER_SEND).min(MAX_SAVED);
    }

    /// Whether a hedged request may be sent.
    pub(crate) fn is_left(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes out a hedged request that is sent.
    pub(crate) fn spend(&mut self) {
        self.saved -= 1.0;
    }
}
