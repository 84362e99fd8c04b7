//! Running times: how long a job is expected to take on a worker, learnt from the jobs that ended.
//!
//! A running time is the product of the job's own work and of slowdowns: of the fleet as a whole, of the kind of
//! machine, of the worker. All are kept as logarithms, so that a worker that is twice as slow counts as much as one that
//! is twice as quick.
//!
//! The work is what is usual in the class, and where jobs come with a hint, a straight line through the logarithms of
//! hint and work that is fitted as jobs end. Hints that tell nothing flatten the line until the class's mean is left;
//! hints that are wrong by a constant factor shift it; a few heavy jobs with matching hints do not distort it.
//!
//! Each slowdown has a variance that grows with time, since machines change, and shrinks with each job that ran under it.
//! A job moves each slowdown by its part of the total variance, the job's own included (a Kalman gain). So where hints
//! are good a few jobs show that a worker has become slow, and where running times spread over a factor of ten, many
//! are needed: the gains follow from the observations and are no settings.

use crate::api::{Class, Seconds};

/// Learning rate of what is usual in a class.
pub(crate) const CLASS_LEARNING_RATE: f64 = 1.0 / 64.0;
/// A running time to start from, and how many jobs seen it is worth.
const INITIAL_RUN_TIME: Seconds = 0.3;
const INITIAL_SAMPLES: f64 = 4.0;
/// No run is taken to be shorter, and no hint to be outside these: logarithms need a floor.
const MIN_RUN_TIME: Seconds = 1e-3;
const MAX_RUN_TIME: Seconds = 1e4;
/// A hint is taken to lie no further from the mean than this many standard deviations of hints.
const MAX_HINT_DEVIATIONS: f64 = 4.0;
/// How far running times of one class lie apart, as a variance of logarithms: at first with a hint and without, and
/// at the least (a job's time differs from one run to the next).
const INITIAL_HINTED_VARIANCE: f64 = 0.25;
const INITIAL_VARIANCE: f64 = 1.0;
const MIN_RUN_TIME_VARIANCE: f64 = 0.02;
/// No squared error counts for more than this many times the variance.
const MAX_ERROR: f64 = 4.0;
/// How uncertain slowdowns are: workers become slow by a factor of three or so about once in a minute or two; what all of
/// them depend on does so less often and by less.
const KIND_UNCERTAINTY: Uncertainty = Uncertainty { initial: 0.25, per_second: 0.0005 };
const WORKER_UNCERTAINTY: Uncertainty = Uncertainty { initial: 0.05, per_second: 0.02 };
const FLEET_UNCERTAINTY: Uncertainty = Uncertainty { initial: 0.02, per_second: 0.004 };
/// Bounds of the variance of a slowdown.
const MIN_VARIANCE: f64 = 1e-4;
const MAX_VARIANCE: f64 = 1.0;
/// The variance that waits and slowdowns add to a running time by the time the job is done.
const RESIDUAL_VARIANCE: f64 = 0.05;
/// The logistic curve that is nearest to the normal one.
const LOGISTIC_SCALE: f64 = 1.7;
/// A deadline is unreachable from this far below certainty of being late on, scaled by the confidence in estimates.
const UNREACHABLE_PROBABILITY: f64 = 0.9;
/// A job that has run for longer than expected counts for its worker's slowdown before it ends, from this many standard
/// deviations on.
const OVERDUE_DEVIATIONS: f64 = 1.0;

/// How uncertain a slowdown is: its initial variance, and what that gains in a second.
#[derive(Clone, Copy, Debug)]
struct Uncertainty {
    initial: f64,
    per_second: f64,
}

/// Running times of a class.
#[derive(Clone, Debug)]
pub(crate) struct RunTimeModel {
    /// Their mean.
    pub mean: Seconds,
    /// The mean of the logarithms of the work.
    mean_log_work: f64,
    /// The longest timeout that a client of the class has set.
    longest_timeout: Seconds,
    runs_seen: f64,
    hints_seen: f64,
    /// The mean of the logarithms of hints, their variance, and their covariance with the work.
    mean_log_hint: f64,
    hint_variance: f64,
    hint_covariance: f64,
    /// What the estimates missed by, as a variance of logarithms.
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

/// A hint as a logarithm, where it tells anything at all.
fn log_hint(hint: Option<Seconds>) -> Option<f64> {
    hint.filter(|hint| *hint > 0.0).map(|hint| hint.clamp(MIN_RUN_TIME, MAX_RUN_TIME).ln())
}

/// The learning rate after so many samples: a mean at first, then one that forgets.
fn learning_rate(samples: f64) -> f64 {
    CLASS_LEARNING_RATE.max(1.0 / (samples + INITIAL_SAMPLES))
}

impl RunTimeModel {
    /// The work of a job of the class, as a logarithm: its running time where all slowdowns are the usual ones.
    pub(crate) fn log_work(&self, hint: Option<Seconds>) -> f64 {
        match log_hint(hint) {
            Some(hint) => {
                let deviation = self.clamp_hint(hint) - self.reference_hint();
                self.mean_log_work + self.hint_covariance / self.hint_variance * deviation
            }
            None => self.mean_log_work,
        }
    }

    /// The first hints of all are measured by the usual running time.
    fn reference_hint(&self) -> f64 {
        if self.hints_seen == 0.0 {
            self.mean_log_work
        } else {
            self.mean_log_hint
        }
    }

    /// A hint, no further from the usual ones than hints go: a nonsensical one must cost its own job at the most.
    fn clamp_hint(&self, hint: f64) -> f64 {
        let reference = self.reference_hint();
        let max_deviation = MAX_HINT_DEVIATIONS * self.hint_variance.sqrt();
        hint.clamp(reference - max_deviation, reference + max_deviation)
    }

    /// How long a job of the class may wait and still be in time, by its hinted or else its usual running time.
    pub(crate) fn start_slack(&self, class: &Class, hint: Option<Seconds>) -> Seconds {
        let run_time = self.log_work(hint).exp();
        class.latency_objective + (class.run_time_allowance - 1.0).max(0.0) * run_time
    }

    /// A client of the class set this timeout. Returns the longest that any did.
    pub(crate) fn record_timeout(&mut self, timeout: Seconds) -> Seconds {
        self.longest_timeout = self.longest_timeout.max(timeout);
        self.longest_timeout
    }

    /// How far a running time may lie from its estimate, as a variance of logarithms.
    pub(crate) fn variance(&self) -> f64 {
        self.variance
    }

    /// The probability that a job is late, by the time left to it and its expected running time and wait.
    pub(crate) fn lateness_probability(&self, left: Seconds, run_time: Seconds, wait: Seconds) -> f64 {
        let deviation = (self.variance + RESIDUAL_VARIANCE).sqrt();
        let excess = (run_time / left.max(MIN_RUN_TIME)).ln();
        let runs_in_time = 1.0 / (1.0 + (LOGISTIC_SCALE / deviation * excess).exp());
        // Waits are taken as exponential: of a wait little more than its mean is known.
        let waits_too_long = if wait > 0.0 { (-(left - run_time).max(0.0) / wait).exp() } else { 0.0 };
        1.0 - runs_in_time * (1.0 - waits_too_long)
    }

    /// How far estimates can be trusted: nearly all the way where running times are known beforehand, and little where
    /// they may as well be three times as long.
    fn confidence(&self) -> f64 {
        1.0 / (1.0 + 4.0 * (self.variance + RESIDUAL_VARIANCE))
    }

    /// How much the chance of being late tells of one worker beside another.
    pub(crate) fn lateness_weight(&self) -> f64 {
        self.confidence().powi(4)
    }

    /// A job that is so likely to be late wherever it goes is given up: an even chance is enough where running times
    /// are known, for then it is the queue that makes it late, and the slot serves another in time.
    pub(crate) fn deadline_unreachable(&self, lateness_probability: f64) -> bool {
        lateness_probability > 1.0 - UNREACHABLE_PROBABILITY * self.confidence()
    }

    /// Takes a run that ended, with all slowdowns known to have acted on it, what its estimate was off by, and how much
    /// of that the slowdowns may account for, as a variance.
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
        // What the slowdowns were unsure of is no variance of the jobs.
        let max_variance = MAX_ERROR * self.variance.max(INITIAL_VARIANCE);
        let observed_variance = (error * error - uncertainty).min(max_variance);
        self.variance += rate * (observed_variance - self.variance);
        self.variance = self.variance.max(MIN_RUN_TIME_VARIANCE);
    }

    /// Fits the line through hints and work.
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
        // Hints that are all alike tell nothing, and must not divide by nothing.
        self.hint_variance = self.hint_variance.max(MIN_RUN_TIME_VARIANCE);
    }
}

/// The estimate of a slowdown: a logarithm, its variance, and when it was updated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowdown {
    log: f64,
    variance: f64,
    updated_at: Seconds,
}

impl Slowdown {
    /// Its variance by now.
    fn variance(&self, now: Seconds, uncertainty: Uncertainty) -> f64 {
        if self.variance == 0.0 {
            return uncertainty.initial;
        }
        let gained = uncertainty.per_second * (now - self.updated_at).max(0.0);
        (self.variance + gained).min(MAX_VARIANCE)
    }

    /// Takes its part of what an estimate was off by: its own variance of that of all.
    fn learn(&mut self, error: f64, own_variance: f64, total_variance: f64, now: Seconds) {
        self.log += own_variance / total_variance * error;
        let remaining = own_variance - own_variance * own_variance / total_variance;
        self.variance = remaining.max(MIN_VARIANCE);
        self.updated_at = now;
    }
}

/// The slowdowns that act on the jobs of one worker, beside the fleet's.
#[derive(Debug)]
pub(crate) struct WorkerSlowdowns<'a> {
    pub kind: &'a mut Slowdown,
    pub worker: &'a mut Slowdown,
}

/// A job that runs at a worker: since when, and its work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningJob {
    pub started_at: Seconds,
    pub log_work: f64,
    pub variance: f64,
}

/// The slowdowns of all workers together.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowdownModel {
    fleet: Slowdown,
}

impl SlowdownModel {
    /// The slowdown of a worker, as a logarithm: by the jobs that ended there, or more where one that runs is overdue.
    pub(crate) fn log_slowdown(
        &self,
        kind: &Slowdown,
        worker: &Slowdown,
        running: &[RunningJob],
        now: Seconds,
    ) -> f64 {
        let learnt = self.fleet.log + kind.log + worker.log;
        let overdue = |job: &RunningJob| {
            let so_far = (now - job.started_at).max(MIN_RUN_TIME).ln();
            so_far - job.log_work - OVERDUE_DEVIATIONS * job.variance.sqrt()
        };
        running.iter().map(overdue).fold(learnt, f64::max)
    }

    /// Takes a run that ended: what it was off by moves the class, the slowdowns of the fleet, the kind and the worker.
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
        // The fleet's slowdown is what differs from the usual: what lasts becomes the usual.
        class.learn(run_time, hint, kind.log + worker.log, error, slowdown_variance);
        self.fleet.learn(error, fleet_variance, total_variance, now);
        kind.learn(error, kind_variance, total_variance, now);
        worker.learn(error, worker_variance, total_variance, now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/run_time.rs"]
mod tests;
