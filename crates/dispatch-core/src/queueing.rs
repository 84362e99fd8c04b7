//! How long jobs wait at a worker by its expected utilization: a curve that is learnt.
//!
//! How far load reports can be trusted depends on how late and how noisy they are, and on how many others choose by the
//! same report. So the expected utilization at the send of a job is compared with how long the job really waited.

/// Steps of the curve: so many to a worker that is just full, and how many there are in all.
const STEPS_TO_FULL: f64 = 8.0;
const STEPS: usize = 33;
/// What the first guess is worth, in jobs; and the learning rate.
const INITIAL_WEIGHT: f64 = 6.0;
const LEARNING_RATE: f64 = 1.0 / 128.0;
/// No wait counts for more, in running times.
const MAX_WAIT: f64 = 8.0;

/// How long jobs really waited, by the expected utilization of their workers.
#[derive(Clone, Debug)]
pub(crate) struct QueueingCurve([Step; STEPS]);

/// Jobs that were sent to workers of about one utilization.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// How long they waited, in running times.
    mean_wait: f64,
    samples: f64,
}

impl Default for QueueingCurve {
    /// At first, as if all expectations were exact.
    fn default() -> Self {
        let step = |index: usize| {
            let mean_wait = (index as f64 / STEPS_TO_FULL - 1.0).max(0.0);
            Step { mean_wait, samples: INITIAL_WEIGHT }
        };
        QueueingCurve(std::array::from_fn(step))
    }
}

impl QueueingCurve {
    fn step(utilization: f64) -> usize {
        ((utilization.max(0.0) * STEPS_TO_FULL).round() as usize).min(STEPS - 1)
    }

    /// The mean wait, in running times.
    pub(crate) fn mean_wait(&self, utilization: f64) -> f64 {
        // Beyond the last step each running time's worth of work is a running time's wait.
        let beyond = (utilization - (STEPS - 1) as f64 / STEPS_TO_FULL).max(0.0);
        self.0[QueueingCurve::step(utilization)].mean_wait + beyond
    }

    /// A job waited for so many running times.
    pub(crate) fn learn(&mut self, utilization: f64, waited: f64) {
        let step = &mut self.0[QueueingCurve::step(utilization)];
        step.samples += 1.0;
        step.mean_wait +=
            LEARNING_RATE.max(1.0 / step.samples) * (waited.clamp(0.0, MAX_WAIT) - step.mean_wait);
    }
}

#[cfg(test)]
#[path = "../tests/unit/queueing.rs"]
mod tests;
