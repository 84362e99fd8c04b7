//! The budget for hedged requests: second attempts that are sent while the first may still be running.

/// Hedged requests allowed for each send, and the most that are saved up.
const HEDGES_PER_SEND: f64 = 0.1;
const MAX_SAVED: f64 = 4.0;

/// Number of hedged requests that may be sent.
#[derive(Debug)]
pub(crate) struct HedgeBudget(f64);

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget(MAX_SAVED)
    }
}

impl HedgeBudget {
    /// Adds the part of a hedged request that each send allows.
    pub(crate) fn record_send(&mut self) {
        self.0 = (self.0 + HEDGES_PER_SEND).min(MAX_SAVED);
    }

    /// Whether a hedged request may be sent.
    pub(crate) fn is_left(&self) -> bool {
        self.0 >= 1.0
    }

    /// Takes out a hedged request that is sent.
    pub(crate) fn spend(&mut self) {
        self.0 -= 1.0;
    }
}
