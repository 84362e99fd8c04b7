//! The mean wait of jobs at a worker as a function of its expected utilization, learned from observations.
//!
//! The reliability of load reports depends on their delay and noise, and on the number of dispatchers that choose
//! workers by the same report. Therefore the wait is not computed from the utilization. Instead the curve is learned:
//! for each job the expected utilization at its send is compared with the wait that followed.

/// Number of steps of the curve per unit of utilization.
const STEPS_PER_UNIT: f64 = 8.0;
/// Total number of steps of the curve.
const STEPS: usize = 33;
/// Weight of the initial curve, in jobs.
const INITIAL_WEIGHT: f64 = 6.0;
const LEARNING_RATE: f64 = 1.0 / 128.0;
/// Maximum wait that is learned from, in running times; longer waits are clamped.
const MAX_WAIT: f64 = 8.0;

/// Mean observed waits of jobs, by the expected utilization of their workers.
#[derive(Clone, Debug)]
pub(crate) struct QueueingCurve([Step; STEPS]);

/// Observations of jobs at workers with about the same expected utilization.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// Mean wait, in running times.
    mean_wait: f64,
    samples: f64,
}

impl Default for QueueingCurve {
    /// Returns the curve that holds if all expected utilizations are exact.
    fn default() -> Self {
        let step = |index: usize| {
            let mean_wait = (index as f64 / STEPS_PER_UNIT - 1.0).max(0.0);
            Step { mean_wait, samples: INITIAL_WEIGHT }
        };
        QueueingCurve(std::array::from_fn(step))
    }
}

impl QueueingCurve {
    fn step(utilization: f64) -> usize {
        ((utilization.max(0.0) * STEPS_PER_UNIT).round() as usize).min(STEPS - 1)
    }

    /// Returns the mean wait at a worker with this utilization, in running times.
    pub(crate) fn mean_wait(&self, utilization: f64) -> f64 {
        // Beyond the last step the wait grows with the work in the queue.
        let beyond = (utilization - (STEPS - 1) as f64 / STEPS_PER_UNIT).max(0.0);
        self.0[QueueingCurve::step(utilization)].mean_wait + beyond
    }

    /// Updates the curve with the wait of a job, in running times.
    pub(crate) fn learn(&mut self, utilization: f64, waited: f64) {
        let step = &mut self.0[QueueingCurve::step(utilization)];
        step.samples += 1.0;
        let learning_rate = LEARNING_RATE.max(1.0 / step.samples);
        step.mean_wait += learning_rate * (waited.clamp(0.0, MAX_WAIT) - step.mean_wait);
    }
}

#[cfg(test)]
#[path = "../tests/unit/queueing.rs"]
mod tests;
