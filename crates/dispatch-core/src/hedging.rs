//! The budget for hedged requests: second attempts that are sent while the first may still be running.

/// Hedged requests that each send adds to the budget.
const HEDGES_PER_SEND: f64 = 0.1;
/// Maximum size of the budget, in hedged requests.
const MAX_HEDGES: f64 = 4.0;

/// A token bucket that limits hedged requests to a fraction of all sends.
#[derive(Debug)]
pub(crate) struct HedgeBudget {
    /// Number of hedged requests that may be sent now.
    available: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        HedgeBudget { available: MAX_HEDGES }
    }
}

impl HedgeBudget {
    /// Counts a send, which adds a fraction of a hedged request to the budget.
    pub(crate) fn record_send(&mut self) {
        self.available = (self.available + HEDGES_PER_SEND).min(MAX_HEDGES);
    }

    /// Whether a hedged request may be sent.
    pub(crate) fn allows_hedge(&self) -> bool {
        self.available >= 1.0
    }

    /// Takes one hedged request, which is sent now, out of the budget.
    pub(crate) fn spend(&mut self) {
        self.available -= 1.0;
    }
}
