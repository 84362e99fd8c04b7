//! Runs in virtual time: the same seed gives the same bytes, the decision module violates no rule, and the rule checker
//! detects the violations of routers with an injected bug.

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
fn the_same_seeds_give_the_same_bytes_with_any_number_of_threads() {
    let experiment = days();
    let results = |threads| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let runs = pool.install(|| run_virtual(&experiment, &[3, 4], &ProgressBar::hidden()));
        Results::summarize(&experiment, "virtual", &[3, 4], &runs)
    };
    let (one_thread, four_threads) = (results(1), results(4));
    let bytes = |results: &Results| serde_json::to_string(results).expect("JSON");
    assert_eq!(bytes(&one_thread), bytes(&four_threads));
    let comparison = compare(&one_thread, &four_threads);
    assert!(comparison.contains("| cairncrank | hang | +0.000 ±0.000 |"), "{comparison}");
}

#[test]
fn the_decision_module_violates_no_rule_and_serves_more_than_random_choice() {
    let experiment = days();
    let seeds = [11, 12, 13, 14];
    let runs = run_virtual(&experiment, &seeds, &ProgressBar::hidden());
    let results = Results::summarize(&experiment, "virtual", &seeds, &runs);
    let (module, random) = (&results.arms[0], &results.arms[1]);
    assert_eq!(module.rules, RuleViolations::default(), "{}", results.table());
    assert!(module.service.all > random.service.all + 0.05, "{}", results.table());
}

/// Changes the actions of a correct router.
type Bug = fn(&mut BuggyRouter, Event<'_>, &mut Vec<Action>);

/// Correct router whose actions a bug changes.
struct BuggyRouter {
    correct: Box<dyn Router>,
    bug: Bug,
    /// Workers that the endpoint lists reported as serving, in the order of the reports.
    workers: Vec<WorkerId>,
}

impl Router for BuggyRouter {
    fn start(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        self.correct.start(now, actions);
    }

    fn on_event(
        &mut self,
        now: Seconds,
        event: Event<'_>,
        actions: &mut Vec<Action>,
        oracle: &dyn OracleView,
    ) {
        if let Event::EndpointList { endpoints, .. } = event {
            for endpoint in endpoints {
                if endpoint.state == WorkerState::Serving {
                    self.workers.push(endpoint.worker);
                }
            }
        }
        self.correct.on_event(now, event, actions, oracle);
        (self.bug)(self, event, actions);
    }
}

/// Runs a case with a bug on several days, and returns the violations of all of them.
fn violations(case: &str, bug: Bug) -> RuleViolations {
    let experiment = days();
    let case = experiment.cases.iter().find(|known| known.name == case).expect("the case");
    let mut total = RuleViolations::default();
    for seed in 1..=4 {
        let day = Day::draw(&experiment, case, seed);
        let make_router = |settings: Settings, seed| -> Box<dyn Router> {
            let correct = router(RouterKind::DecisionModule, settings, seed);
            Box::new(BuggyRouter { correct, bug, workers: Vec::new() })
        };
        let record = virtual_time::run_day(&experiment, &experiment.arms[0], &day, &make_router);
        total.add(RunMetrics::evaluate(&experiment, &day, &record).rules);
    }
    total
}

#[test]
fn a_router_without_a_bug_has_no_violations() {
    assert_eq!(violations("deploy", |_, _, _| {}), RuleViolations::default());
}

/// The bug sends a request that has started to run to an arbitrary worker as well.
#[test]
fn a_second_attempt_on_another_rack_is_detected() {
    let detected = violations("hang", |router, event, actions| {
        if let Event::JobStarted { request, attempt: 0 } = event {
            let worker = router.workers[request.0 as usize % router.workers.len()];
            actions.push(Action::Send { request, worker, timeout: None });
        }
    });
    assert!(detected.repeated > 0, "{detected:?}");
}

/// The bug rejects a request that has started to run.
#[test]
fn a_rejection_of_a_request_that_may_have_run_is_detected() {
    let detected = violations("hang", |_, event, actions| {
        if let Event::JobStarted { request, .. } = event {
            actions.push(Action::Reject { request, retry_after: None });
        }
    });
    assert!(detected.repeated > 0, "{detected:?}");
}

/// The bug sends every request to the worker that started last.
#[test]
fn an_overload_of_a_worker_in_slow_start_is_detected() {
    let detected = violations("deploy", |router, _, actions| {
        let newest = *router.workers.last().expect("workers");
        for action in actions.iter_mut() {
            if let Action::Send { worker, .. } = action {
                *worker = newest;
            }
        }
    });
    assert!(detected.slow_start_overload > 0, "{detected:?}");
}
