//! Execution mode in virtual time: a discrete-event simulation with one event queue, no threads and no real clock. The
//! same day and routers always give the same run.

mod simulation;

use crate::day::Day;
use crate::metrics::RunRecord;
use crate::router::Router;
use crate::spec::{Arm, Experiment};

/// Runs a day in virtual time. `make_router` creates the router of a dispatcher process from its settings and seed.
pub fn run_day(
    experiment: &Experiment,
    arm: &Arm,
    day: &Day,
    make_router: &dyn Fn(dispatch_core::Settings, u64) -> Box<dyn Router>,
) -> RunRecord {
    simulation::Simulation::new(experiment, arm, day, make_router).run()
}
