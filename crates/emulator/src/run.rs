//! Runs an experiment: every arm on every case by every seed, on all cores. Runs share nothing, so the results are
//! the same however they are spread over threads.

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

/// One arm on one day.
#[derive(Clone, Debug)]
pub struct Run {
    /// The arm: a position in the experiment's.
    pub arm: usize,
    /// The case: a position in the experiment's.
    pub case: usize,
    /// The seed of the day.
    pub seed: u64,
    /// What came of it.
    pub metrics: RunMetrics,
}

/// Plays all of an experiment in virtual time; `done` is moved by one for each run.
pub fn run_virtual(experiment: &Experiment, seeds: &[u64], done: &ProgressBar) -> Vec<Run> {
    let days: Vec<(usize, u64)> =
        (0..experiment.cases.len()).flat_map(|case| seeds.iter().map(move |seed| (case, *seed))).collect();
    let runs: Vec<Vec<Run>> = days
        .par_iter()
        .map(|&(case, seed)| {
            // Drawn once: all arms see the same day.
            let day = Day::draw(experiment, &experiment.cases[case], seed);
            let arms = experiment.arms.iter().enumerate();
            arms.map(|(arm, spec)| {
                let make = |settings: Settings, seed| {
                    let ahead = if settings.instance % 2 == 1 { spec.clock_error } else { 0.0 };
                    with_clock_ahead(ahead, router(spec.router, settings, seed))
                };
                let record = virtual_time::run_day(experiment, spec, &day, &make);
                done.inc(1);
                Run { arm, case, seed, metrics: RunMetrics::evaluate(experiment, &day, &record) }
            })
            .collect()
        })
        .collect();
    runs.into_iter().flatten().collect()
}

/// Plays an experiment over sockets, in real time, so many days side by side. Only arms of the real program can be
/// played so; the others are left out of the experiment, and named in the result.
///
/// # Errors
/// The program does not start, or a socket cannot be opened.
pub fn run_over_sockets(
    experiment: &mut Experiment,
    seeds: &[u64],
    program: &Path,
    at_once: usize,
    done: &ProgressBar,
) -> io::Result<(Vec<Run>, Vec<String>)> {
    let (own, others): (Vec<Arm>, Vec<Arm>) =
        experiment.arms.drain(..).partition(|arm| arm.router == RouterKind::DecisionModule);
    experiment.arms = own;
    let left_out = others.into_iter().map(|arm| arm.name).collect();
    let mut all = Vec::new();
    for case in 0..experiment.cases.len() {
        for seed in seeds {
            // Arms on the same day one after the other: they share the machine alike.
            all.extend((0..experiment.arms.len()).map(|arm| (arm, case, *seed)));
        }
    }
    let pool =
        rayon::ThreadPoolBuilder::new().num_threads(at_once.max(1)).build().map_err(io::Error::other)?;
    let experiment: &Experiment = experiment;
    let runs: io::Result<Vec<Run>> = pool.install(|| {
        all.par_iter()
            .map(|&(arm, case, seed)| {
                let day = Day::draw(experiment, &experiment.cases[case], seed);
                let record = sockets::run_day(experiment, &experiment.arms[arm], &day, program)?;
                done.inc(1);
                Ok(Run { arm, case, seed, metrics: RunMetrics::evaluate(experiment, &day, &record) })
            })
            .collect()
    });
    Ok((runs?, left_out))
}
