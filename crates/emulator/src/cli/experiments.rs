//! Subcommands that run, compare and list experiments.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use emulator::cluster::results::{run as run_schedules, RunOptions};
use emulator::cluster::schedule::ClusterExperiment;
use emulator::report::{compare, Results};
use emulator::run::{run_over_sockets, run_virtual, Run};
use emulator::spec::{self, Experiment};

use super::arguments::{ExecutionMode, RunArgs};
use super::output::progress_bar;
use super::programs::{lease_programs, sibling};
use super::protocol::{injected_bug, list_injected_bugs, LIST};
use super::CliError;

/// Shortest length of a schedule on the command line, in seconds; a shorter one is ignored.
const SHORTEST_SCHEDULE_S: f64 = 1.0;

/// Runs an experiment, or lists the bugs that can be injected.
pub fn run(arguments: &RunArgs) -> Result<(), CliError> {
    if arguments.seeded_bug.as_deref() == Some(LIST) {
        list_injected_bugs();
        Ok(())
    } else if is_cluster_experiment(&arguments.file) {
        run_cluster_experiment(arguments)
    } else {
        run_experiment(arguments)
    }
}

/// Returns whether an experiment runs processes of a cluster. A file that cannot be read is reported later.
fn is_cluster_experiment(file: &Path) -> bool {
    std::fs::read_to_string(file).is_ok_and(|text| ClusterExperiment::is_cluster_experiment("", &text))
}

fn run_cluster_experiment(arguments: &RunArgs) -> Result<(), CliError> {
    let plan = cluster_experiment(arguments)?;
    let seeds: Vec<u64> = (arguments.seed..arguments.seed.saturating_add(arguments.seeds)).collect();
    let programs = lease_programs()?;
    let bar = progress_bar(seeds.len() * plan.arms.len(), "schedules");
    let options = RunOptions {
        seeds: &seeds,
        programs: &programs,
        out: &arguments.out,
        injected_bug: arguments.seeded_bug.as_deref(),
        parallel: arguments.at_once.into(),
    };
    let results = run_schedules(&plan, options, &bar)?;
    bar.finish_and_clear();
    results.write(&arguments.out).map_err(CliError::file(&arguments.out))?;
    print!("{}", results.table());
    if results.is_violated() {
        Err(CliError::RulesViolated)
    } else {
        Ok(())
    }
}

/// Reads the experiment and applies the options of the command line to it.
fn cluster_experiment(arguments: &RunArgs) -> Result<ClusterExperiment, CliError> {
    let file = &arguments.file;
    let text = std::fs::read_to_string(file).map_err(CliError::file(file))?;
    let mut plan = ClusterExperiment::read(&file.display().to_string(), &text)?;
    injected_bug(arguments.seeded_bug.as_deref())?;
    plan.length = arguments.length_s.filter(|length| *length >= SHORTEST_SCHEDULE_S).unwrap_or(plan.length);
    if let Some(arm) = &arguments.arm {
        plan.arms.retain(|candidate| candidate.name == *arm);
        if plan.arms.is_empty() {
            return Err(CliError::UnknownArm(arm.clone()));
        }
    }
    Ok(plan)
}

fn run_experiment(arguments: &RunArgs) -> Result<(), CliError> {
    let mut experiment = read(&arguments.file)?;
    let last = arguments.seed.checked_add(arguments.seeds - 1).ok_or(CliError::SeedOverflow)?;
    let seeds: Vec<u64> = (arguments.seed..=last).collect();
    let bar = progress_bar(experiment.cases.len() * experiment.arms.len() * seeds.len(), "runs");
    let start = Instant::now();
    let (runs, mode) = match arguments.drive {
        ExecutionMode::Virtual => (run_virtual(&experiment, &seeds, &bar), "virtual"),
        ExecutionMode::Sockets => {
            let program = arguments.program.clone().map_or_else(|| sibling("dispatcher"), Ok)?;
            let at_once = arguments.at_once.into();
            let (runs, left_out) = run_over_sockets(&mut experiment, &seeds, &program, at_once, &bar)
                .map_err(CliError::Sockets)?;
            if !left_out.is_empty() {
                eprintln!(
                    "arms left out, because only dispatcher processes run over sockets: {}",
                    left_out.join(", ")
                );
            }
            (runs, "sockets")
        }
    };
    bar.finish_and_clear();
    let results = Results::summarize(&experiment, mode, &seeds, &runs);
    results.write(&arguments.out).map_err(CliError::file(&arguments.out))?;
    print!("{}", results.table());
    print_speed(&runs, start.elapsed());
    Ok(())
}

fn print_speed(runs: &[Run], took: Duration) {
    let events: u64 = runs.iter().map(|run| run.metrics.events).sum();
    let jobs: u64 = runs.iter().map(|run| run.metrics.jobs).sum();
    let took = took.as_secs_f64();
    eprintln!(
        "{} runs, {jobs} jobs, {events} events in {took:.1} s: {:.0} events per second",
        runs.len(),
        events as f64 / took
    );
}

fn read(file: &Path) -> Result<Experiment, CliError> {
    let text = std::fs::read_to_string(file).map_err(CliError::file(file))?;
    Ok(spec::read(&file.display().to_string(), &text)?)
}

/// Prints the differences between the results in two folders.
pub fn compare_results(before: &Path, after: &Path) -> Result<(), CliError> {
    let before = Results::read(before).map_err(CliError::file(before))?;
    let after = Results::read(after).map_err(CliError::file(after))?;
    print!("{}", compare(&before, &after));
    Ok(())
}

/// Prints a line for each experiment of a folder: its description, or the error in its file.
pub fn list(folder: &Path) -> Result<(), CliError> {
    let entries = std::fs::read_dir(folder).map_err(CliError::file(folder))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| entry.ok().map(|entry| entry.path())).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "hcl"));
    files.sort();
    for file in files {
        match read(&file) {
            Ok(experiment) => println!(
                "{}: {} ({} cases, {} arms)",
                file.display(),
                experiment.about,
                experiment.cases.len(),
                experiment.arms.len()
            ),
            Err(error) => println!("{error}"),
        }
    }
    Ok(())
}
