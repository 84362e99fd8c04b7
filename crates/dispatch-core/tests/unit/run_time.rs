use super::*;

/// One class, one kind, one worker, and jobs a third of a second apart.
struct World {
    slowdowns: SlowdownModel,
    class: RunTimeModel,
    kind: Slowdown,
    worker: Slowdown,
    now: Seconds,
    rng: fastrand::Rng,
}

impl World {
    fn new() -> World {
        let rng = fastrand::Rng::with_seed(9);
        let (slowdowns, class, kind) =
            (SlowdownModel::default(), RunTimeModel::default(), Slowdown::default());
        World { slowdowns, class, kind, worker: Slowdown::default(), now: 0.0, rng }
    }

    /// Runs jobs with work of a tenth to ten times 0.2 s; `hint` returns the hint for a work, and running times are the
    /// work `times` a factor.
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
            let World { slowdowns, class, kind, worker, now, .. } = self;
            slowdowns.learn(run, hint, class, kind, worker, *now);
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

fn draw(rng: &mut fastrand::Rng) -> Seconds {
    0.2 * 10_f64.powf(2.0 * rng.f64() - 1.0)
}

#[test]
fn good_hints_tell_jobs_apart_and_useless_ones_leave_the_mean() {
    let (mut good, mut poor) = (World::new(), World::new());
    good.run(300, 1.0, |_, work| Some(work));
    poor.run(300, 1.0, |rng, _| Some(draw(rng)));
    let ratio = |world: &World| world.estimate(1.0) / world.estimate(0.05);
    assert!((16.0..25.0).contains(&ratio(&good)), "20 in truth: {}", ratio(&good));
    assert!(ratio(&poor) < 3.0, "1 in truth: {}", ratio(&poor));
    let (good, poor) = (good.class, poor.class);
    assert!(
        good.deadline_unreachable(0.6) && !poor.deadline_unreachable(0.6) && poor.deadline_unreachable(0.95)
    );
    assert!(good.variance() < 0.1 && poor.variance() > 0.5, "{} and {}", good.variance(), poor.variance());
    assert!(good.lateness_probability(0.3, 0.2, 0.0) < 0.1 && good.lateness_probability(0.2, 0.3, 0.0) > 0.9);
    assert!(
        (0.3..0.5).contains(&good.lateness_probability(0.3, 0.2, 0.1)),
        "a wait that takes all the time left on average"
    );
    assert!(good.lateness_weight() > 2.0 * poor.lateness_weight());
}

#[test]
fn hints_wrong_by_a_constant_factor_are_corrected() {
    let mut world = World::new();
    for wrong in [100.0, 1.0, 0.01] {
        world.run(300, 1.0, |_, work| Some(work * wrong));
        let run_time = world.estimate(0.2 * wrong);
        assert!((0.1..0.4).contains(&run_time), "0.2 s in truth, hints times {wrong}: {run_time}");
    }
}

#[test]
fn a_nonsensical_hint_costs_no_other_job() {
    let mut world = World::new();
    for hint in [1e18, 1e-12, 0.0, -1.0, f64::INFINITY, f64::NAN] {
        assert!(world.class.log_work(Some(hint)).is_finite(), "{hint}");
        world.run(300, 1.0, |rng, work| Some(if rng.u8(0..50) == 0 { hint } else { work }));
        let run_time = world.estimate(0.2);
        assert!((0.1..0.4).contains(&run_time), "0.2 s in truth after hints of {hint}: {run_time}");
    }
}

/// A worker that became six times slower is detected after a few jobs with hints, and after more without.
#[test]
fn a_slow_worker_is_learnt_sooner_with_good_hints() {
    let after = |hinted: bool, jobs: u32| {
        let mut world = World::new();
        world.run(300, 1.0, |_, work| Some(work).filter(|_| hinted));
        let before = world.slowdown();
        world.run(jobs, 6.0, |_, work| Some(work).filter(|_| hinted));
        world.slowdown() / before
    };
    let (hinted, not, later) = (after(true, 8), after(false, 8), after(false, 40));
    assert!(hinted > 3.0 && not < hinted && later > 2.0, "{hinted}, {not}, {later}");
}

#[test]
fn an_overdue_job_slows_its_worker_before_it_ends() {
    let running = [RunningJob { started_at: 10.0, log_work: 0.1_f64.ln(), variance: 0.04 }];
    let (model, usual) = (SlowdownModel::default(), Slowdown::default());
    let slowdown = |now| model.log_slowdown(&usual, &usual, &running, now).exp();
    assert!(slowdown(10.1) <= 1.0, "in time");
    assert!((3.0..5.0).contains(&slowdown(10.5)), "five times as long, less the spread: {}", slowdown(10.5));
}
