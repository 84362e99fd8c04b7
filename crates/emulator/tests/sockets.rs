//! Runs over sockets: the dispatcher program serves a short day without a violation, and the violations of a dispatcher
//! with injected bugs are detected.

use std::path::PathBuf;

use emulator::day::Day;
use emulator::metrics::RunMetrics;
use emulator::sockets;
use emulator::spec::{self, Experiment};

/// Day with low load and one drain. The request timeout is longer than the day, so that a slow test machine does not
/// cause timeouts.
const DAY: &str = r#"
experiment "short" {
  length_s = 4
  fleet {
    workers     = 6
    dispatchers = 2
    zones       = 1
  }
  discovery {
    notice_s = 0.3
    add_s    = 0.2
    period_s = 0.1
  }
  trouble "deploy" {
    length_s = 1
    part     = 0.3
    size     = 0.2
    extra_s  = 1.2
  }
  case "drain" {
    load     = 0.35
    troubles = ["deploy"]
  }
  arm "cairncrank" {
    router = "cairncrank"
  }
}
"#;

fn experiment() -> Experiment {
    spec::read("short.hcl", DAY).expect("the experiment reads")
}

/// Returns the path of a program of this workspace, which `cargo test --workspace` builds beside the tests.
fn built_program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let profile = test.parent().and_then(|deps| deps.parent()).expect("the build directory of the profile");
    let program = profile.join(name);
    assert!(program.is_file(), "{} is missing: run the tests of the whole workspace", program.display());
    program
}

/// Runs the day against dispatcher processes of a program.
fn run_day(program: &str) -> RunMetrics {
    let experiment = experiment();
    let day = Day::draw(&experiment, &experiment.cases[0], 5);
    let record = sockets::run_day(&experiment, &experiment.arms[0], &day, &built_program(program))
        .expect("the day runs");
    RunMetrics::evaluate(&experiment, &day, &record)
}

#[test]
fn the_dispatcher_program_serves_a_day_with_a_drain_without_violations() {
    let metrics = run_day("dispatcher");
    assert_eq!(metrics.rules.total(), 0, "{metrics:?}");
    assert!(metrics.jobs > 20 && metrics.all.service() > 0.5, "{metrics:?}");
    assert!(metrics.sends >= metrics.jobs / 2 && metrics.connects > 0, "{metrics:?}");
}

#[test]
fn invented_and_missing_responses_are_detected() {
    let metrics = run_day("examples/careless_dispatcher");
    assert!(metrics.rules.unanswered >= metrics.jobs / 2, "invented or missing responses: {metrics:?}");
    assert_eq!(metrics.all.earned, 0.0, "a result that no worker produced counts as not served");
}

#[test]
fn a_program_that_does_not_start_is_an_error() {
    let experiment = experiment();
    let day = Day::draw(&experiment, &experiment.cases[0], 5);
    let missing = PathBuf::from("no-such-program");
    let result = sockets::run_day(&experiment, &experiment.arms[0], &day, &missing);
    assert!(result.is_err_and(|error| error.to_string().contains("no-such-program")));
}
