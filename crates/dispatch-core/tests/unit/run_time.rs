use super::*;

/// A simulation with one class, one kind and one worker, at which a job ends every 0.3 s.
struct Simulation {
    slowdowns: SlowdownModel,
    class: RunTimeModel,
    kind: Slowdown,
    worker: Slowdown,
    now: Seconds,
    rng: fastrand::Rng,
}

impl Simulation {
    fn new() -> Simulation {
        let rng = fastrand::Rng::with_seed(9);
        let (slowdowns, class, kind) =
            (SlowdownModel::default(), RunTimeModel::default(), Slowdown::default());
        Simulation { slowdowns, class, kind, worker: Slowdown::default(), now: 0.0, rng }
    }

    /// Runs jobs with work from a tenth to ten times 0.2 s. `hint` returns the hint for a given work; a running time is
    /// the work times the factor `slowdown`, give or take 20%.
    fn run(
        &mut self,
        jobs: u32,
        slowdown: f64,
        mut hint: impl FnMut(&mut fastrand::Rng, Seconds) -> Option<Seconds>,
    ) {
        for _ in 0..jobs {
            let work = draw_work(&mut self.rng);
            let hint = hint(&mut self.rng, work);
            let run_time = slowdown * work * (0.8 + 0.4 * self.rng.f64());
            self.now += 0.3;
            let Simulation { slowdowns, class, kind, worker, now, .. } = self;
            slowdowns.learn(run_time, hint, class, kind, worker, *now);
        }
    }

    fn slowdown(&self) -> f64 {
        (self.slowdowns.fleet.log + self.kind.log + self.worker.log).exp()
    }

    /// Returns the expected running time of a job with this hint.
    fn estimate(&self, hint: Seconds) -> Seconds {
        self.class.log_work(Some(hint)).exp() * self.slowdown()
    }
}

/// Draws the work of a job.
fn draw_work(rng: &mut fastrand::Rng) -> Seconds {
    0.2 * 10_f64.powf(2.0 * rng.f64() - 1.0)
}

#[test]
fn accurate_hints_predict_running_times_and_random_hints_do_not() {
    let (mut good, mut poor) = (Simulation::new(), Simulation::new());
    good.run(300, 1.0, |_, work| Some(work));
    poor.run(300, 1.0, |rng, _| Some(draw_work(rng)));
    let ratio = |simulation: &Simulation| simulation.estimate(1.0) / simulation.estimate(0.05);
    assert!((16.0..25.0).contains(&ratio(&good)), "the true ratio is 20, the estimate is {}", ratio(&good));
    assert!(
        ratio(&poor) < 3.0,
        "the hints carry no information, but the estimated ratio is {}",
        ratio(&poor)
    );
    let (good, poor) = (good.class, poor.class);
    assert!(
        good.deadline_unreachable(0.6) && !poor.deadline_unreachable(0.6) && poor.deadline_unreachable(0.95)
    );
    assert!(
        good.variance() < 0.1 && poor.variance() > 0.5,
        "variances of {} with accurate hints, {} with random hints",
        good.variance(),
        poor.variance()
    );
    assert!(good.lateness_probability(0.3, 0.2, 0.0) < 0.1 && good.lateness_probability(0.2, 0.3, 0.0) > 0.9);
    assert!(
        (0.3..0.5).contains(&good.lateness_probability(0.3, 0.2, 0.1)),
        "the mean wait equals the time left"
    );
    assert!(good.lateness_weight() > 2.0 * poor.lateness_weight());
}

#[test]
fn hints_wrong_by_a_constant_factor_are_corrected() {
    let mut simulation = Simulation::new();
    for factor in [100.0, 1.0, 0.01] {
        simulation.run(300, 1.0, |_, work| Some(work * factor));
        let run_time = simulation.estimate(0.2 * factor);
        assert!(
            (0.1..0.4).contains(&run_time),
            "the true time is 0.2 s, hints are wrong by the factor {factor}; the estimate is {run_time}"
        );
    }
}

#[test]
fn an_extreme_hint_does_not_affect_other_jobs() {
    let mut simulation = Simulation::new();
    for hint in [1e18, 1e-12, 0.0, -1.0, f64::INFINITY, f64::NAN] {
        assert!(simulation.class.log_work(Some(hint)).is_finite(), "{hint}");
        simulation.run(300, 1.0, |rng, work| Some(if rng.u8(0..50) == 0 { hint } else { work }));
        let run_time = simulation.estimate(0.2);
        assert!(
            (0.1..0.4).contains(&run_time),
            "the true time is 0.2 s; after hints of {hint} the estimate is {run_time}"
        );
    }
}

/// A worker that becomes six times slower must be detected after a few jobs with hints, and after more jobs without
/// hints.
#[test]
fn a_slow_worker_is_detected_sooner_with_accurate_hints() {
    let after = |hinted: bool, jobs: u32| {
        let mut simulation = Simulation::new();
        simulation.run(300, 1.0, |_, work| Some(work).filter(|_| hinted));
        let before = simulation.slowdown();
        simulation.run(jobs, 6.0, |_, work| Some(work).filter(|_| hinted));
        simulation.slowdown() / before
    };
    let (hinted, unhinted, later) = (after(true, 8), after(false, 8), after(false, 40));
    assert!(
        hinted > 3.0 && unhinted < hinted && later > 2.0,
        "slowdown after 8 jobs: {hinted} with hints, {unhinted} without; {later} after 40 without"
    );
}

#[test]
fn an_overdue_job_raises_the_slowdown_before_it_ends() {
    let running = [RunningJob { started_at: 10.0, log_work: 0.1_f64.ln(), variance: 0.04 }];
    let (model, none) = (SlowdownModel::default(), Slowdown::default());
    let slowdown = |now| model.log_slowdown(&none, &none, &running, now).exp();
    assert!(slowdown(10.1) <= 1.0, "the job is not overdue");
    assert!(
        (3.0..5.0).contains(&slowdown(10.5)),
        "five times the expected time, less one standard deviation: {}",
        slowdown(10.5)
    );
}
