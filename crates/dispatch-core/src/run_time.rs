//! Running times: what a job is thought to take on a worker, learnt from the jobs that ended.
//!
//! A running time is the product of the job's own work and of paces: of the fleet as a whole, of the kind of machine,
//! of the worker. All are kept as logarithms, so that a worker that is twice as slow counts as much as one that is
//! twice as quick.
//!
//! The work is what is usual in the class, and where jobs come with a hint, a straight line through the logarithms of
//! hint and work that is fitted as jobs end. Hints that tell nothing flatten the line until the class's mean is left;
//! hints that are wrong by a constant factor move it; a few heavy jobs that say so teach nothing wrong.
//!
//! Each pace is believed to some degree: a variance that grows with time, since machines change, and shrinks with each
//! job that tells of it. A job moves each pace by that pace's part of all that is doubtful, the job's own spread
//! included. So where hints are good a few jobs tell that a worker has become slow, and where running times spread
//! over a factor of ten, many are needed: the gains follow from what is seen and are no settings.

use crate::api::Seconds;
use crate::state::{Fleet, MachineKind};

/// Learning rates: of what is usual in a class; and of how long jobs wait at workers.
pub(crate) const CLASS_LEARNING_RATE: f64 = 1.0 / 64.0;
pub(crate) const WAIT_LEARNING_RATE: f64 = 1.0 / 16.0;
/// A running time to start from, and how many jobs seen it is worth.
const INITIAL_RUN_TIME: Seconds = 0.3;
const INITIAL_SAMPLES: f64 = 4.0;
/// No run is taken to be shorter, and no hint to be outside these: logarithms need a floor.
const MIN_RUN_TIME: Seconds = 1e-3;
const MAX_RUN_TIME: Seconds = 1e4;
/// A hint is believed as far from the usual as so many times the spread of hints.
const MAX_HINT_DEVIATIONS: f64 = 4.0;
/// How far running times of one class lie apart, as a variance of logarithms: at first with a hint and without, and
/// at the least (a job's time differs from one run to the next).
const INITIAL_HINTED_VARIANCE: f64 = 0.25;
const INITIAL_VARIANCE: f64 = 1.0;
const MIN_RUN_TIME_VARIANCE: f64 = 0.02;
/// Variance of a pace at first, and what it gains in a second: workers become slow by a factor of three or so about
/// once in a minute or two; what all of them depend on does so less often and by less.
const KIND_VARIANCE: (f64, f64) = (0.25, 0.0005);
const WORKER_VARIANCE: (f64, f64) = (0.05, 0.02);
const FLEET_VARIANCE: (f64, f64) = (0.02, 0.004);
/// A pace is never sure and never quite unknown.
const VARIANCE_LIMITS: (f64, f64) = (1e-4, 1.0);
/// The variance that waits and paces add to a running time by the time the job is done.
const RESIDUAL_VARIANCE: f64 = 0.05;
/// The logistic curve that is nearest to the normal one.
const LOGISTIC_SCALE: f64 = 1.7;
/// A job is given up from so far below certainty of being late on, as far as estimates can be trusted.
const UNREACHABLE_PROBABILITY: f64 = 0.9;
/// A job that has run for longer than was thought tells of its worker before it ends, from so many times the usual
/// spread on.
const OVERDUE_DEVIATIONS: f64 = 1.0;

/// Running times of a class.
#[derive(Clone, Debug)]
pub(crate) struct RunTimeModel {
    /// Their mean.
    pub mean: Seconds,
    /// The mean of the logarithms of the work.
    mean_log_work: f64,
    /// The longest that a client of the class waits.
    longest_timeout: Seconds,
    /// How many were seen.
    runs_seen: f64,
    /// Hints that were seen, the mean of their logarithms, its spread, and the slope of the work over it.
    hints_seen: f64,
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
    hint.filter(|h| *h > 0.0).map(|h| h.clamp(MIN_RUN_TIME, MAX_RUN_TIME).ln())
}

impl RunTimeModel {
    /// The work of a job of the class, as a logarithm: its running time where all paces are the usual ones.
    pub(crate) fn log_work(&self, hint: Option<Seconds>) -> f64 {
        match log_hint(hint) {
            Some(hint) => {
                let far = self.clamp_hint(hint) - self.reference_hint();
                self.mean_log_work + self.hint_covariance / self.hint_variance * far
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
        let (mean, most) = (self.reference_hint(), MAX_HINT_DEVIATIONS * self.hint_variance.sqrt());
        hint.clamp(mean - most, mean + most)
    }

    /// A client of the class waits for so long; the longest that any does.
    pub(crate) fn record_timeout(&mut self, patience: Seconds) -> Seconds {
        self.longest_timeout = self.longest_timeout.max(patience);
        self.longest_timeout
    }

    /// How far a running time may lie from its estimate, as a variance of logarithms.
    pub(crate) fn spread(&self) -> f64 {
        self.variance
    }

    /// How likely a job is to be late that has so much time left, and is thought to run and to wait for so long.
    pub(crate) fn lateness_probability(&self, left: Seconds, run: Seconds, wait: Seconds) -> f64 {
        let spread = (self.variance + RESIDUAL_VARIANCE).sqrt();
        let in_time = 1.0 / (1.0 + (LOGISTIC_SCALE / spread * (run / left.max(MIN_RUN_TIME)).ln()).exp());
        // Waits are taken as exponential: of a wait little more than its mean is known.
        let waits = if wait > 0.0 { (-(left - run).max(0.0) / wait).exp() } else { 0.0 };
        1.0 - in_time * (1.0 - waits)
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
    pub(crate) fn deadline_unreachable(&self, late: f64) -> bool {
        late > 1.0 - UNREACHABLE_PROBABILITY * self.confidence()
    }

    /// Takes a run that ended and the work that was estimated for it, with all paces known to have acted on it.
    fn learn(&mut self, run: Seconds, hint: Option<Seconds>, paces: f64, off: f64, doubt: f64) {
        self.runs_seen += 1.0;
        let learn = CLASS_LEARNING_RATE.max(1.0 / (self.runs_seen + INITIAL_SAMPLES));
        self.mean += learn * (run - self.mean);
        let work = run.ln() - paces;
        match log_hint(hint) {
            Some(hint) => {
                if self.hints_seen == 0.0 {
                    let hint = self.clamp_hint(hint);
                    (self.mean_log_hint, self.mean_log_work, self.variance) =
                        (hint, hint, INITIAL_HINTED_VARIANCE);
                }
                self.hints_seen += 1.0;
                let learn = CLASS_LEARNING_RATE.max(1.0 / (self.hints_seen + INITIAL_SAMPLES));
                let (far, work_far) = (self.clamp_hint(hint) - self.mean_log_hint, work - self.mean_log_work);
                self.mean_log_hint += learn * far;
                self.mean_log_work += learn * work_far;
                self.hint_variance += learn * ((1.0 - learn) * far * far - self.hint_variance);
                self.hint_covariance += learn * ((1.0 - learn) * far * work_far - self.hint_covariance);
                // Hints that are all alike tell nothing, and must not divide by nothing.
                self.hint_variance = self.hint_variance.max(MIN_RUN_TIME_VARIANCE);
            }
            None => self.mean_log_work += learn * (work - self.mean_log_work),
        }
        // What the paces were unsure of is no spread of the jobs.
        self.variance +=
            learn * ((off * off - doubt).min(4.0 * self.variance.max(INITIAL_VARIANCE)) - self.variance);
        self.variance = self.variance.max(MIN_RUN_TIME_VARIANCE);
    }
}

/// What is believed of a pace: a logarithm, how unsure it is, and as of when.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowdown {
    pub log: f64,
    variance: f64,
    updated_at: Seconds,
}

impl Slowdown {
    /// How unsure it is by now.
    fn uncertainty(&self, now: Seconds, (first, gain): (f64, f64)) -> f64 {
        match self.variance {
            0.0 => first,
            known => (known + gain * (now - self.updated_at).max(0.0)).min(VARIANCE_LIMITS.1),
        }
    }

    /// Takes its part of what an estimate was off by.
    fn learn(&mut self, off: f64, doubt: f64, all: f64, now: Seconds) {
        self.log += doubt / all * off;
        (self.variance, self.updated_at) = ((doubt - doubt * doubt / all).max(VARIANCE_LIMITS.0), now);
    }
}

/// A job that runs at a worker: since when, and its work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningJob {
    pub started_at: Seconds,
    pub log_work: f64,
    pub variance: f64,
}

/// The paces of all workers together.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowdownModel {
    fleet: Slowdown,
}

impl SlowdownModel {
    /// The pace of a worker, as a logarithm: by the jobs that ended there, or more where one that runs is overdue.
    pub(crate) fn log_slowdown(&self, worker: usize, fleet: &Fleet, now: Seconds) -> f64 {
        let w = &fleet.workers[worker];
        let known = self.fleet.log + fleet.kinds[w.kind].slowdown.log + w.slowdown.log;
        let overdue = |r: &RunningJob| {
            (now - r.started_at).max(MIN_RUN_TIME).ln() - r.log_work - OVERDUE_DEVIATIONS * r.variance.sqrt()
        };
        w.running.iter().map(overdue).fold(known, f64::max)
    }

    /// Takes a run that ended: what it was off by moves the class, the paces of the fleet, the kind and the worker.
    pub(crate) fn learn(
        &mut self,
        run: Seconds,
        hint: Option<Seconds>,
        class: &mut RunTimeModel,
        kind: &mut MachineKind,
        worker: &mut Slowdown,
        now: Seconds,
    ) {
        let run = run.clamp(MIN_RUN_TIME, MAX_RUN_TIME);
        let off = run.ln() - class.log_work(hint) - self.fleet.log - kind.slowdown.log - worker.log;
        let doubts = [
            self.fleet.uncertainty(now, FLEET_VARIANCE),
            kind.slowdown.uncertainty(now, KIND_VARIANCE),
            worker.uncertainty(now, WORKER_VARIANCE),
        ];
        let doubt: f64 = doubts.iter().sum();
        let all = doubt + class.variance;
        // The fleet's pace is what differs from the usual: what lasts becomes the usual.
        class.learn(run, hint, kind.slowdown.log + worker.log, off, doubt);
        self.fleet.learn(off, doubts[0], all, now);
        kind.slowdown.learn(off, doubts[1], all, now);
        worker.learn(off, doubts[2], all, now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// One class, one kind, one worker, and jobs a third of a second apart.
    struct World {
        paces: SlowdownModel,
        class: RunTimeModel,
        kind: MachineKind,
        worker: Slowdown,
        now: Seconds,
        rng: fastrand::Rng,
    }

    impl World {
        fn new() -> World {
            let rng = fastrand::Rng::with_seed(9);
            let (paces, class, kind) =
                (SlowdownModel::default(), RunTimeModel::default(), MachineKind::default());
            World { paces, class, kind, worker: Slowdown::default(), now: 0.0, rng }
        }

        /// Takes jobs of a tenth to ten times of 0.2 s; `hint` makes a hint of the work, and runs are so many times it.
        fn run(
            &mut self,
            jobs: u32,
            times: f64,
            mut hint: impl FnMut(&mut fastrand::Rng, Seconds) -> Option<Seconds>,
        ) {
            for _ in 0..jobs {
                let work = draw(&mut self.rng);
                let hint = hint(&mut self.rng, work);
                let run = times * work * (0.8 + 0.4 * self.rng.f64());
                self.now += 0.3;
                let World { paces, class, kind, worker, now, .. } = self;
                paces.learn(run, hint, class, kind, worker, *now);
            }
        }

        fn pace(&self) -> f64 {
            (self.paces.fleet.log + self.kind.slowdown.log + self.worker.log).exp()
        }

        /// How long a job of this hint is thought to run.
        fn thought(&self, hint: Seconds) -> Seconds {
            self.class.log_work(Some(hint)).exp() * self.pace()
        }
    }

    fn draw(rng: &mut fastrand::Rng) -> Seconds {
        0.2 * 10_f64.powf(2.0 * rng.f64() - 1.0)
    }

    #[test]
    fn good_hints_tell_jobs_apart_and_useless_ones_leave_the_mean() {
        let (mut good, mut poor) = (World::new(), World::new());
        good.run(300, 1.0, |_, work| Some(work));
        poor.run(300, 1.0, |rng, _| Some(draw(rng)));
        let ratio = |world: &World| world.thought(1.0) / world.thought(0.05);
        assert!((16.0..25.0).contains(&ratio(&good)), "20 in truth: {}", ratio(&good));
        assert!(ratio(&poor) < 3.0, "1 in truth: {}", ratio(&poor));
        let (good, poor) = (good.class, poor.class);
        assert!(
            good.deadline_unreachable(0.6)
                && !poor.deadline_unreachable(0.6)
                && poor.deadline_unreachable(0.95)
        );
        assert!(good.spread() < 0.1 && poor.spread() > 0.5, "{} and {}", good.spread(), poor.spread());
        assert!(
            good.lateness_probability(0.3, 0.2, 0.0) < 0.1 && good.lateness_probability(0.2, 0.3, 0.0) > 0.9
        );
        assert!(
            (0.3..0.5).contains(&good.lateness_probability(0.3, 0.2, 0.1)),
            "a wait that takes all the time left on average"
        );
        assert!(good.lateness_weight() > 2.0 * poor.lateness_weight());
    }

    #[test]
    fn hints_that_turn_wrong_by_a_hundred_times_are_found_out() {
        let mut world = World::new();
        for wrong in [100.0, 1.0, 0.01] {
            world.run(300, 1.0, |_, work| Some(work * wrong));
            let run = world.thought(0.2 * wrong);
            assert!((0.1..0.4).contains(&run), "0.2 s in truth, hints times {wrong}: {run}");
        }
    }

    #[test]
    fn a_nonsensical_hint_costs_its_own_job_at_the_most() {
        let mut world = World::new();
        for hint in [1e18, 1e-12, 0.0, -1.0, f64::INFINITY, f64::NAN] {
            assert!(world.class.log_work(Some(hint)).is_finite(), "{hint}");
            world.run(300, 1.0, |rng, work| Some(if rng.u8(0..50) == 0 { hint } else { work }));
            let run = world.thought(0.2);
            assert!((0.1..0.4).contains(&run), "0.2 s in truth after hints of {hint}: {run}");
        }
    }

    /// A worker that became six times slower is known for it after a few hinted jobs, and after more of unknown size.
    #[test]
    fn a_slow_worker_is_known_the_sooner_the_better_hints_are() {
        let after = |hinted: bool, jobs: u32| {
            let mut world = World::new();
            world.run(300, 1.0, |_, work| Some(work).filter(|_| hinted));
            let before = world.pace();
            world.run(jobs, 6.0, |_, work| Some(work).filter(|_| hinted));
            world.pace() / before
        };
        let (hinted, not, later) = (after(true, 8), after(false, 8), after(false, 40));
        assert!(hinted > 3.0 && not < hinted && later > 2.0, "{hinted}, {not}, {later}");
    }

    #[test]
    fn a_job_that_is_overdue_tells_of_its_worker_before_it_ends() {
        let mut fleet = Fleet::new(&crate::api::Settings::default());
        fleet.workers.push(crate::state::Worker::default());
        fleet.kinds = vec![MachineKind::default()];
        let running = RunningJob { started_at: 10.0, log_work: 0.1_f64.ln(), variance: 0.04 };
        fleet.workers[0].running.push(running);
        let pace = |now| SlowdownModel::default().log_slowdown(0, &fleet, now).exp();
        assert!(pace(10.1) <= 1.0, "in time");
        assert!((3.0..5.0).contains(&pace(10.5)), "five times as long, less the spread: {}", pace(10.5));
    }
}
