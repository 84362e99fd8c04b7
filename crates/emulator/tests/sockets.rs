//! The drive over sockets: the real program serves a short day by the rules, and a careless one is caught.

use std::path::PathBuf;

use emulator::day::Day;
use emulator::metrics::RunMetrics;
use emulator::sockets;
use emulator::spec::{self, Experiment};

/// A light day with a drain in it, so short that a busy machine does not matter: patience is longer than the day.
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

/// A binary of this workspace: `cargo test --workspace` builds it beside the tests.
fn built(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let profile = test.parent().and_then(|deps| deps.parent()).expect("a folder of the profile");
    let program = profile.join(name);
    assert!(program.is_file(), "{} is missing: run the tests of the whole workspace", program.display());
    program
}

fn play(program: &str) -> RunMetrics {
    let experiment = experiment();
    let day = Day::draw(&experiment, &experiment.cases[0], 5);
    let record = sockets::run_day(&experiment, &experiment.arms[0], &day, &built(program)).expect("a day");
    RunMetrics::evaluate(&experiment, &day, &record)
}

#[test]
fn the_program_serves_a_day_with_a_drain_by_the_rules() {
    let figures = play("dispatcher");
    assert_eq!(figures.rules.total(), 0, "{figures:?}");
    assert!(figures.jobs > 20 && figures.all.service() > 0.5, "{figures:?}");
    assert!(figures.sends >= figures.jobs / 2 && figures.connects > 0, "{figures:?}");
}

#[test]
fn a_careless_program_is_caught() {
    let figures = play("examples/careless_dispatcher");
    assert!(figures.rules.unanswered >= figures.jobs / 2, "made up or unanswered: {figures:?}");
    assert_eq!(figures.all.earned, 0.0, "what no worker made earns nothing");
}

#[test]
fn a_program_that_does_not_start_is_an_error() {
    let experiment = experiment();
    let day = Day::draw(&experiment, &experiment.cases[0], 5);
    let nowhere = PathBuf::from("no-such-program");
    let played = sockets::run_day(&experiment, &experiment.arms[0], &day, &nowhere);
    assert!(played.is_err_and(|error| error.to_string().contains("no-such-program")));
}
