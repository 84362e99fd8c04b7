//! Runs an experiment: every arm on every case by every seed, on all cores. Runs share nothing, so the results are
//! the same however they are spread over threads.

use indicatif::ProgressBar;
use rayon::prelude::*;

use crate::day::Day;
use crate::figures::Figures;
use crate::router::router;
use crate::spec::Experiment;
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
    pub figures: Figures,
}

/// Plays all of an experiment in virtual time; `done` is moved by one for each run.
pub fn virtual_runs(experiment: &Experiment, seeds: &[u64], done: &ProgressBar) -> Vec<Run> {
    let days: Vec<(usize, u64)> =
        (0..experiment.cases.len()).flat_map(|case| seeds.iter().map(move |seed| (case, *seed))).collect();
    let runs: Vec<Vec<Run>> = days
        .par_iter()
        .map(|&(case, seed)| {
            // Drawn once: all arms see the same day.
            let day = Day::draw(experiment, &experiment.cases[case], seed);
            let arms = experiment.arms.iter().enumerate();
            arms.map(|(arm, spec)| {
                let make = |settings, seed| router(spec.router, settings, seed);
                let record = virtual_time::play(experiment, spec, &day, &make);
                done.inc(1);
                Run { arm, case, seed, figures: Figures::judge(experiment, &day, &record) }
            })
            .collect()
        })
        .collect();
    runs.into_iter().flatten().collect()
}
