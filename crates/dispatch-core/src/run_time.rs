//! Expected running times of jobs at workers, learned from the jobs that ended.
//!
//! A running time is modeled as the product of the job's work and of three slowdowns: that of the fleet, that of the
//! kind of machine and that of the worker. All are estimated as logarithms, so that a worker that is twice as slow
//! counts as much as one that is twice as fast.
//!
//! The expected work of a job without a hint is the mean of its class. For a job with a hint it is a linear regression
//! of the logarithm of the work on the logarithm of the hint, fitted as jobs end. Hints that carry no information
//! flatten the line until only the mean of the class is left; hints that are wrong by a constant factor shift it; a few
//! large jobs with accurate hints do not distort it.
//!
//! Each slowdown has a variance, which grows with time, because machines change, and shrinks with each job that the
//! slowdown acted on. A job that ends moves each slowdown in proportion to that slowdown's share of the total variance,
//! which includes the variance of the job itself (a Kalman gain). With accurate hints a few jobs are enough to detect a
//! worker that has become slow; if running times spread over a factor of ten, many are needed. The gains follow from
//! the observations and need no settings.

use crate::api::{JobSettings, Seconds};

/// Learning rate per job of the means of a class.
pub(crate) const CLASS_LEARNING_RATE: f64 = 1.0 / 64.0;
/// Initial estimate of the mean running time.
const INITIAL_RUN_TIME: Seconds = 0.3;
/// Weight of the initial means, in observed jobs.
const INITIAL_SAMPLES: f64 = 4.0;
/// Bounds to which running times and hints are clamped before their logarithm is taken.
const MIN_RUN_TIME: Seconds = 1e-3;
const MAX_RUN_TIME: Seconds = 1e4;
/// Maximum deviation of a hint from the mean, in standard deviations of hints; a hint beyond it is clamped.
const MAX_HINT_DEVIATIONS: f64 = 4.0;
/// Initial variance of the logarithms of the running times of a class, if jobs carry hints.
const INITIAL_HINTED_VARIANCE: f64 = 0.25;
/// Initial variance of the logarithms of the running times of a class, if jobs carry no hints.
const INITIAL_VARIANCE: f64 = 1.0;
/// Minimum variance of the logarithms of the running times of a class, because the running time of the same job differs
/// from run to run.
const MIN_RUN_TIME_VARIANCE: f64 = 0.02;
/// Maximum squared error that is learned from, as a multiple of the variance; larger errors are clamped.
const MAX_ERROR: f64 = 4.0;
/// Uncertainty of the slowdowns: the speed of a worker changes by a factor of about three every minute or two; that of
/// its kind and of the fleet changes less often and by less.
const KIND_UNCERTAINTY: Uncertainty = Uncertainty { initial: 0.25, per_second: 0.0005 };
const WORKER_UNCERTAINTY: Uncertainty = Uncertainty { initial: 0.05, per_second: 0.02 };
const FLEET_UNCERTAINTY: Uncertainty = Uncertainty { initial: 0.02, per_second: 0.004 };
/// Bounds of the variance of a slowdown.
const MIN_VARIANCE: f64 = 1e-4;
const MAX_VARIANCE: f64 = 1.0;
/// Variance that waits and slowdowns add to a running time until the job has ended.
const RESIDUAL_VARIANCE: f64 = 0.05;
/// Scale at which the logistic function approximates the cumulative normal distribution best.
const LOGISTIC_SCALE: f64 = 1.7;
/// Probability of being in time below which a deadline counts as unreachable, at full confidence in the estimates.
const MIN_IN_TIME_PROBABILITY: f64 = 0.9;
/// Loss of confidence in estimates per unit of their variance.
const VARIANCE_DISCOUNT: f64 = 4.0;
/// Exponent of the confidence in estimates that gives the weight of the lateness probability.
const LATENESS_WEIGHT_EXPONENT: i32 = 4;
/// Standard deviations by which a running job must exceed its expected running time before it raises the estimated
/// slowdown of its worker.
const OVERDUE_DEVIATIONS: f64 = 1.0;

/// Uncertainty of a slowdown: its initial variance, and the growth of the variance per second.
#[derive(Clone, Copy, Debug)]
struct Uncertainty {
    initial: f64,
    per_second: f64,
}

/// Model of the running times of a class.
#[derive(Clone, Debug)]
pub(crate) struct RunTimeModel {
    /// Mean running time, slowdowns included.
    pub mean: Seconds,
    /// Mean of the logarithms of the work.
    mean_log_work: f64,
    /// Longest timeout that a client of the class has set.
    longest_timeout: Seconds,
    runs_seen: f64,
    hints_seen: f64,
    /// Mean of the logarithms of hints.
    mean_log_hint: f64,
    /// Variance of the logarithms of hints.
    hint_variance: f64,
    /// Covariance of the logarithms of hints and work.
    hint_covariance: f64,
    /// Variance of the logarithms of running times around their estimates.
    variance: f64,
}

impl Default for RunTimeModel {
    fn default() -> Self {
        RunTimeModel {
            mean: INITIAL_RUN_TIME,
            mean_log_work: INITIAL_RUN_TIME.ln(),
            longest_timeout: 0.0,
            runs_seen: 0.0,
            hints_seen: 0.0,
            mean_log_hint: 0.0,
            hint_variance: 1.0,
            hint_covariance: 1.0,
            variance: INITIAL_VARIANCE,
        }
    }
}

/// Returns the logarithm of a hint, or `None` if it is not positive.
fn log_hint(hint: Option<Seconds>) -> Option<f64> {
    hint.filter(|hint| *hint > 0.0).map(|hint| hint.clamp(MIN_RUN_TIME, MAX_RUN_TIME).ln())
}

/// Returns the learning rate after this number of samples: at first that of an arithmetic mean, then that of a moving
/// average.
fn learning_rate(samples: f64) -> f64 {
    CLASS_LEARNING_RATE.max(1.0 / (samples + INITIAL_SAMPLES))
}

impl RunTimeModel {
    /// Returns the logarithm of the expected work of a job, which is its running time without any slowdown.
    pub(crate) fn log_work(&self, hint: Option<Seconds>) -> f64 {
        match log_hint(hint) {
            Some(hint) => {
                let deviation = self.clamp_hint(hint) - self.reference_hint();
                self.mean_log_work + self.hint_covariance / self.hint_variance * deviation
            }
            None => self.mean_log_work,
        }
    }

    /// Returns the value from which the deviation of a hint is measured: the mean hint, or the mean work as long as no
    /// hint was seen.
    fn reference_hint(&self) -> f64 {
        if self.hints_seen == 0.0 {
            self.mean_log_work
        } else {
            self.mean_log_hint
        }
    }

    /// Clamps a hint to the range of usual hints, because an extreme hint must not affect the estimates of other jobs.
    fn clamp_hint(&self, hint: f64) -> f64 {
        let reference = self.reference_hint();
        let max_deviation = MAX_HINT_DEVIATIONS * self.hint_variance.sqrt();
        hint.clamp(reference - max_deviation, reference + max_deviation)
    }

    /// Returns the time that a job of the class may wait before it starts and still be in time, given its settings and
    /// its expected running time.
    pub(crate) fn start_slack(&self, settings: &JobSettings, hint: Option<Seconds>) -> Seconds {
        let run_time = self.log_work(hint).exp();
        settings.latency_objective() + (settings.run_time_allowance() - 1.0).max(0.0) * run_time
    }

    /// Records the timeout of a client of the class. Returns the longest timeout so far.
    pub(crate) fn record_timeout(&mut self, timeout: Seconds) -> Seconds {
        self.longest_timeout = self.longest_timeout.max(timeout);
        self.longest_timeout
    }

    /// Returns the variance of the logarithms of running times around their estimates.
    pub(crate) fn variance(&self) -> f64 {
        self.variance
    }

    /// Returns the probability that a job is late, given the time left to it and its expected running time and wait.
    pub(crate) fn lateness_probability(&self, left: Seconds, run_time: Seconds, wait: Seconds) -> f64 {
        let deviation = (self.variance + RESIDUAL_VARIANCE).sqrt();
        let excess = (run_time / left.max(MIN_RUN_TIME)).ln();
        let run_in_time_probability = 1.0 / (1.0 + (LOGISTIC_SCALE / deviation * excess).exp());
        // Waits are assumed to be exponentially distributed, because little more than their mean is known.
        let long_wait_probability = if wait > 0.0 { (-(left - run_time).max(0.0) / wait).exp() } else { 0.0 };
        1.0 - run_in_time_probability * (1.0 - long_wait_probability)
    }

    /// Returns the confidence in the estimates, from 0 to 1: near 1 if running times can be predicted, and low if they
    /// may as well be three times as long.
    fn confidence(&self) -> f64 {
        1.0 / (1.0 + VARIANCE_DISCOUNT * (self.variance + RESIDUAL_VARIANCE))
    }

    /// Returns the weight of the lateness probability in the cost by which workers are compared.
    pub(crate) fn lateness_weight(&self) -> f64 {
        self.confidence().powi(LATENESS_WEIGHT_EXPONENT)
    }

    /// Whether a job with this probability of being late at its best worker should be rejected. If running times can be
    /// predicted, a probability of one half is enough, because the lateness is then due to the queue and the slot can
    /// serve another job in time.
    pub(crate) fn deadline_unreachable(&self, lateness_probability: f64) -> bool {
        lateness_probability > 1.0 - MIN_IN_TIME_PROBABILITY * self.confidence()
    }

    /// Updates the model with a job that ended. `slowdowns` is the sum of the logarithms of the slowdowns that acted on
    /// the job, `error` is the error of its estimate, and `uncertainty` is the part of the variance of that error that
    /// is due to the slowdowns.
    fn learn(
        &mut self,
        run_time: Seconds,
        hint: Option<Seconds>,
        slowdowns: f64,
        error: f64,
        uncertainty: f64,
    ) {
        self.runs_seen += 1.0;
        let rate = learning_rate(self.runs_seen);
        self.mean += rate * (run_time - self.mean);
        let log_work = run_time.ln() - slowdowns;
        match log_hint(hint) {
            Some(hint) => self.learn_hint(hint, log_work),
            None => self.mean_log_work += rate * (log_work - self.mean_log_work),
        }
        // The variance of the jobs does not include the uncertainty of the slowdowns.
        let max_variance = MAX_ERROR * self.variance.max(INITIAL_VARIANCE);
        let observed_variance = (error * error - uncertainty).min(max_variance);
        self.variance += rate * (observed_variance - self.variance);
        self.variance = self.variance.max(MIN_RUN_TIME_VARIANCE);
    }

    /// Updates the regression of work on hints.
    fn learn_hint(&mut self, hint: f64, log_work: f64) {
        if self.hints_seen == 0.0 {
            let first_hint = self.clamp_hint(hint);
            self.mean_log_hint = first_hint;
            self.mean_log_work = first_hint;
            self.variance = INITIAL_HINTED_VARIANCE;
        }
        self.hints_seen += 1.0;
        let rate = learning_rate(self.hints_seen);
        let hint_deviation = self.clamp_hint(hint) - self.mean_log_hint;
        let work_deviation = log_work - self.mean_log_work;
        self.mean_log_hint += rate * hint_deviation;
        self.mean_log_work += rate * work_deviation;
        self.hint_variance += rate * ((1.0 - rate) * hint_deviation * hint_deviation - self.hint_variance);
        self.hint_covariance +=
            rate * ((1.0 - rate) * hint_deviation * work_deviation - self.hint_covariance);
        // The variance of hints that are all equal is zero; the bound avoids a division by zero.
        self.hint_variance = self.hint_variance.max(MIN_RUN_TIME_VARIANCE);
    }
}

/// Estimate of a slowdown as a logarithm, with its variance at the time of the last update.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowdown {
    log: f64,
    variance: f64,
    updated_at: Seconds,
}

impl Slowdown {
    /// Returns the variance at the time `now`.
    fn variance(&self, now: Seconds, uncertainty: Uncertainty) -> f64 {
        if self.variance == 0.0 {
            return uncertainty.initial;
        }
        let growth = uncertainty.per_second * (now - self.updated_at).max(0.0);
        (self.variance + growth).min(MAX_VARIANCE)
    }

    /// Updates the slowdown with the error of an estimate, in proportion to its share of the total variance.
    fn learn(&mut self, error: f64, own_variance: f64, total_variance: f64, now: Seconds) {
        self.log += own_variance / total_variance * error;
        let remaining = own_variance - own_variance * own_variance / total_variance;
        self.variance = remaining.max(MIN_VARIANCE);
        self.updated_at = now;
    }
}

/// The slowdowns of a worker and of its kind, both of which act on the worker's jobs.
#[derive(Debug)]
pub(crate) struct WorkerSlowdowns<'a> {
    pub kind: &'a mut Slowdown,
    pub worker: &'a mut Slowdown,
}

/// A job that is running at a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningJob {
    pub started_at: Seconds,
    /// Logarithm of the job's expected work.
    pub log_work: f64,
    /// Variance of the logarithm of the running time.
    pub variance: f64,
}

/// Model of the slowdowns. It holds that of the fleet; those of kinds and workers are stored with the kinds and workers
/// and passed in.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowdownModel {
    fleet: Slowdown,
}

impl SlowdownModel {
    /// Returns the logarithm of the slowdown of a worker: the one learned from the jobs that ended, or a larger one if
    /// a running job is overdue.
    pub(crate) fn log_slowdown(
        &self,
        kind: &Slowdown,
        worker: &Slowdown,
        running: &[RunningJob],
        now: Seconds,
    ) -> f64 {
        let learned = self.fleet.log + kind.log + worker.log;
        let overdue = |job: &RunningJob| {
            let so_far = (now - job.started_at).max(MIN_RUN_TIME).ln();
            so_far - job.log_work - OVERDUE_DEVIATIONS * job.variance.sqrt()
        };
        running.iter().map(overdue).fold(learned, f64::max)
    }

    /// Updates the class and the slowdowns of fleet, kind and worker with the error of the estimate of a job that
    /// ended.
    pub(crate) fn learn(
        &mut self,
        run_time: Seconds,
        hint: Option<Seconds>,
        class: &mut RunTimeModel,
        kind: &mut Slowdown,
        worker: &mut Slowdown,
        now: Seconds,
    ) {
        let run_time = run_time.clamp(MIN_RUN_TIME, MAX_RUN_TIME);
        let error = run_time.ln() - class.log_work(hint) - self.fleet.log - kind.log - worker.log;
        let fleet_variance = self.fleet.variance(now, FLEET_UNCERTAINTY);
        let kind_variance = kind.variance(now, KIND_UNCERTAINTY);
        let worker_variance = worker.variance(now, WORKER_UNCERTAINTY);
        let slowdown_variance = fleet_variance + kind_variance + worker_variance;
        let total_variance = slowdown_variance + class.variance;
        // The class learns the slowdown of the fleet as work, so that a lasting slowdown of all workers becomes part of
        // the mean of the class.
        class.learn(run_time, hint, kind.log + worker.log, error, slowdown_variance);
        self.fleet.learn(error, fleet_variance, total_variance, now);
        kind.learn(error, kind_variance, total_variance, now);
        worker.learn(error, worker_variance, total_variance, now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/run_time.rs"]
mod tests;
