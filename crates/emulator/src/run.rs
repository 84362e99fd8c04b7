//! Runs an experiment: every arm on the simulated day of every case and seed, in parallel. Runs share no state, so in
//! virtual time the results do not depend on how the runs are spread over threads.

use std::io;
use std::path::Path;

use dispatch_core::api::Settings;
use indicatif::ProgressBar;
use rayon::prelude::*;

use crate::day::Day;
use crate::metrics::RunMetrics;
use crate::router::{router, with_clock_ahead};
use crate::sockets;
use crate::spec::{Arm, Experiment, RouterKind};
use crate::virtual_time;

/// Run of one arm on one simulated day.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of the arm in [`Experiment::arms`].
    pub arm: usize,
    /// Index of the case in [`Experiment::cases`].
    pub case: usize,
    /// Seed by which the day was drawn.
    pub seed: u64,
    /// Metrics of the run.
    pub metrics: RunMetrics,
}

/// Runs an experiment in virtual time, on all cores; `progress` advances by one for each run.
pub fn run_virtual(experiment: &Experiment, seeds: &[u64], progress: &ProgressBar) -> Vec<Run> {
    let days: Vec<(usize, u64)> =
        (0..experiment.cases.len()).flat_map(|case| seeds.iter().map(move |seed| (case, *seed))).collect();
    let runs: Vec<Vec<Run>> = days
        .par_iter()
        .map(|&(case, seed)| {
            // Drawn once, because all arms must run on the same day.
            let day = Day::draw(experiment, &experiment.cases[case], seed);
            let arms = experiment.arms.iter().enumerate();
            arms.map(|(arm, spec)| {
                let make_router = |settings: Settings, seed| {
                    let clock_error = if settings.instance % 2 == 1 { spec.clock_error } else { 0.0 };
                    with_clock_ahead(clock_error, router(spec.router, settings, seed))
                };
                let record = virtual_time::run_day(experiment, spec, &day, &make_router);
                progress.inc(1);
                Run { arm, case, seed, metrics: RunMetrics::evaluate(experiment, &day, &record) }
            })
            .collect()
        })
        .collect();
    runs.into_iter().flatten().collect()
}

/// Runs an experiment over sockets, in real time, with up to `max_parallel` days at the same time.
///
/// Only arms whose router is the decision module can run against dispatcher processes. The others are removed from the
/// experiment; their names are returned beside the runs.
///
/// # Errors
/// Returns the I/O error if a dispatcher process does not start or become ready, or if a socket cannot be opened.
pub fn run_over_sockets(
    experiment: &mut Experiment,
    seeds: &[u64],
    dispatcher_program: &Path,
    max_parallel: usize,
    progress: &ProgressBar,
) -> io::Result<(Vec<Run>, Vec<String>)> {
    let (kept, removed): (Vec<Arm>, Vec<Arm>) =
        experiment.arms.drain(..).partition(|arm| arm.router == RouterKind::DecisionModule);
    experiment.arms = kept;
    let removed_names = removed.into_iter().map(|arm| arm.name).collect();
    let mut planned = Vec::new();
    for case in 0..experiment.cases.len() {
        for seed in seeds {
            // The arms of a day are neighbors in the order, so that they run under a similar load of the machine.
            planned.extend((0..experiment.arms.len()).map(|arm| (arm, case, *seed)));
        }
    }
    let pool =
        rayon::ThreadPoolBuilder::new().num_threads(max_parallel.max(1)).build().map_err(io::Error::other)?;
    let experiment: &Experiment = experiment;
    let runs: io::Result<Vec<Run>> = pool.install(|| {
        planned
            .par_iter()
            .map(|&(arm, case, seed)| {
                let day = Day::draw(experiment, &experiment.cases[case], seed);
                let record = sockets::run_day(experiment, &experiment.arms[arm], &day, dispatcher_program)?;
                progress.inc(1);
                Ok(Run { arm, case, seed, metrics: RunMetrics::evaluate(experiment, &day, &record) })
            })
            .collect()
    });
    Ok((runs?, removed_names))
}
