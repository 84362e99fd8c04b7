//! The drive in virtual time: the same seed gives the same bytes, the module keeps the rules, and routers with a
//! seeded bug are caught by the stand-ins' records.

use dispatch_core::api::{Action, Event, Seconds, WorkerId, WorkerState};
use dispatch_core::Settings;
use emulator::checker::RuleViolations;
use emulator::day::Day;
use emulator::metrics::RunMetrics;
use emulator::report::{compare, Results};
use emulator::router::{router, OracleView, Router};
use emulator::run::run_virtual;
use emulator::spec::{self, Experiment, RouterKind};
use emulator::virtual_time;
use indicatif::ProgressBar;

const DAYS: &str = include_str!("../../../experiments/days.hcl");

fn days() -> Experiment {
    let mut experiment = spec::read("days.hcl", DAYS).expect("the experiment reads");
    experiment.length = 30.0;
    experiment.arms.retain(|arm| matches!(arm.router, RouterKind::DecisionModule | RouterKind::Random));
    experiment
}

#[test]
fn the_same_seeds_give_the_same_bytes_whatever_the_threads() {
    let experiment = days();
    let play = |threads| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let runs = pool.install(|| run_virtual(&experiment, &[3, 4], &ProgressBar::hidden()));
        Results::summarize(&experiment, "virtual", &[3, 4], &runs)
    };
    let (one, many) = (play(1), play(4));
    let bytes = |results: &Results| serde_json::to_string(results).expect("JSON");
    assert_eq!(bytes(&one), bytes(&many));
    let unchanged = compare(&one, &many);
    assert!(unchanged.contains("| cairncrank | hang | +0.000 ±0.000 |"), "{unchanged}");
}

#[test]
fn the_module_keeps_the_rules_and_beats_chance() {
    let experiment = days();
    let seeds = [11, 12, 13, 14];
    let runs = run_virtual(&experiment, &seeds, &ProgressBar::hidden());
    let results = Results::summarize(&experiment, "virtual", &seeds, &runs);
    let (module, random) = (&results.arms[0], &results.arms[1]);
    assert_eq!(module.rules, RuleViolations::default(), "{}", results.table());
    assert!(module.service.all > random.service.all + 0.05, "{}", results.table());
}

/// What a bug does to the actions of an otherwise good router.
type Bug = fn(&mut Buggy, Event<'_>, &mut Vec<Action>);

struct Buggy {
    good: Box<dyn Router>,
    bug: Bug,
    /// Those that serve, latest last.
    workers: Vec<WorkerId>,
}

impl Router for Buggy {
    fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        self.good.start(now, actions);
    }

    fn on_event(
        &mut self,
        now: Seconds,
        event: Event<'_>,
        actions: &mut Vec<Action>,
        sight: &dyn OracleView,
    ) {
        if let Event::EndpointList { endpoints: members, .. } = event {
            for member in members {
                if member.state == WorkerState::Serving {
                    self.workers.push(member.worker);
                }
            }
        }
        self.good.on_event(now, event, actions, sight);
        (self.bug)(self, event, actions);
    }
}

fn breaches(case: &str, bug: Bug) -> RuleViolations {
    let experiment = days();
    let case = experiment.cases.iter().find(|c| c.name == case).expect("the case");
    let mut all = RuleViolations::default();
    for seed in 1..=4 {
        let day = Day::draw(&experiment, case, seed);
        let make = |settings: Settings, seed| -> Box<dyn Router> {
            let good = router(RouterKind::DecisionModule, settings, seed);
            Box::new(Buggy { good, bug, workers: Vec::new() })
        };
        let record = virtual_time::run_day(&experiment, &experiment.arms[0], &day, &make);
        all.add(RunMetrics::evaluate(&experiment, &day, &record).rules);
    }
    all
}

#[test]
fn a_router_without_a_bug_is_not_accused() {
    assert_eq!(breaches("deploy", |_, _, _| {}), RuleViolations::default());
}

/// It sends what may have run to any worker once more.
#[test]
fn a_repeat_on_another_rack_is_caught() {
    let found = breaches("hang", |buggy, event, actions| {
        if let Event::JobStarted { request, attempt: 0 } = event {
            let worker = buggy.workers[request.0 as usize % buggy.workers.len()];
            actions.push(Action::Send { request, worker, timeout: None });
        }
    });
    assert!(found.repeated > 0, "{found:?}");
}

/// It refuses what has begun to run.
#[test]
fn a_refusal_of_what_may_have_run_is_caught() {
    let found = breaches("hang", |_, event, actions| {
        if let Event::JobStarted { request, .. } = event {
            actions.push(Action::Reject { request, retry_after: None });
        }
    });
    assert!(found.repeated > 0, "{found:?}");
}

/// It sends everything to one worker that just started.
#[test]
fn a_cold_worker_pushed_over_is_caught() {
    let found = breaches("deploy", |buggy, _, actions| {
        let newest = *buggy.workers.last().expect("workers");
        for action in actions.iter_mut() {
            if let Action::Send { worker, .. } = action {
                *worker = newest;
            }
        }
    });
    assert!(found.slow_start_overload > 0, "{found:?}");
}
