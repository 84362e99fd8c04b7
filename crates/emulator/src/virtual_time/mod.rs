//! The run in virtual time: one queue of events, no clock, no threads. The same day and router give the same run.

mod simulation;

use crate::day::Day;
use crate::metrics::RunRecord;
use crate::router::Router;
use crate::spec::{Arm, Experiment};

/// Plays a day with an arm's routers; `make` makes one for a dispatcher's number, its settings and its seed.
pub fn run_day(
    experiment: &Experiment,
    arm: &Arm,
    day: &Day,
    make: &dyn Fn(dispatch_core::Settings, u64) -> Box<dyn Router>,
) -> RunRecord {
    simulation::Simulation::new(experiment, arm, day, make).run()
}
