//! Subcommands that start coordinators and dispatchers as processes and measure or check them.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::Duration;

use emulator::cluster::cluster_harness::Binaries;
use emulator::cluster::{dispatch_latency, planned_drains, scaling_cost, shared_health_checks, slow_start};
use rayon::prelude::*;

use super::arguments::{DrainsArgs, JoiningArgs, WatchingArgs, WorthArgs};
use super::output::{print_names, write_json, write_schedules};
use super::programs::cluster_binaries;
use super::protocol::LIST;
use super::CliError;

/// Settings of members that share health checks in the measurement of idle dispatchers.
const SHARED_HEALTH_CHECKS: &str = "watch {\n  sets = 6\n}\n";

/// Shortest time from the start of one fault to that of the next, in seconds.
const SHORTEST_FAULT_INTERVAL_S: f64 = 0.5;

/// Fewest jobs per second at each dispatcher.
const LOWEST_RATE: f64 = 0.1;

/// Most jobs per second at each dispatcher.
const HIGHEST_RATE: f64 = 1_000.0;

/// Measures the latency that clients see with the cluster off and on, and while coordinators fail.
pub fn dispatch_latency(length_s: u64, out: &Path) -> Result<(), CliError> {
    let binaries = cluster_binaries()?;
    let length = Duration::from_secs(length_s);
    let arms = dispatch_latency::run(out, &binaries, length)?;
    let text = serde_json::to_string_pretty(&arms)?;
    std::fs::write(out.join("waits.json"), &text).map_err(CliError::file(out))?;
    println!("{text}");
    Ok(())
}

/// Measures the load that idle dispatchers put on discovery, workers and the network, without a cluster and as members.
pub fn scaling_cost(arguments: &WorthArgs) -> Result<(), CliError> {
    let binaries = cluster_binaries()?;
    let length = Duration::from_secs(arguments.length_s);
    let settings = if arguments.list_only { "" } else { SHARED_HEALTH_CHECKS };
    let mut sides: BTreeMap<String, scaling_cost::Side> = BTreeMap::new();
    for count in &arguments.members {
        for (name, settings) in [("nothing shared", None), ("members", Some(settings))] {
            let dir = arguments.out.join(format!("{count}-{}", settings.map_or("off", |_| "on")));
            let side = scaling_cost::run(&dir, &binaries, (*count).into(), settings, length)?;
            println!("{count} {name}: {side:?}");
            sides.insert(format!("{count} {name}"), side);
        }
    }
    write_json(&arguments.out.join("worth.json"), &sides)
}

/// Runs schedules of planned drains, or lists the injected bugs of the disruption budget.
pub fn planned_drains(arguments: &DrainsArgs) -> Result<(), CliError> {
    let names: Vec<&str> = disruption_budget::InjectedBug::names().iter().map(|(name, _)| *name).collect();
    match arguments.seeded_bug.as_deref() {
        Some(LIST) => {
            print_names(&names);
            return Ok(());
        }
        Some(other) if !names.contains(&other) => return Err(CliError::UnknownBug { names }),
        _ => {}
    }
    let binaries = cluster_binaries()?;
    let base = planned_drains::Plan {
        dispatchers: arguments.dispatchers.into(),
        length: Duration::from_secs(arguments.length_s),
        injected_bug: arguments.seeded_bug.clone(),
        ..planned_drains::Plan::default()
    };
    let results = run_schedules(arguments.at_once, arguments.seed, arguments.seeds, |seed| {
        let dir = arguments.out.join(format!("seed-{seed}"));
        let coordinators = coordinator_count(arguments.keepers, seed);
        let plan = planned_drains::Plan { seed, coordinators, ..base.clone() };
        Ok(planned_drains::run(&dir, &binaries, &plan)?)
    })?;
    print!("{}", planned_drains::table(&results));
    write_schedules(&arguments.out.join("drains.json"), &results, |result| result.rules.is_empty())
}

/// Runs schedules of faults while dispatchers share the health checks of workers.
pub fn shared_health_checks(arguments: &WatchingArgs) -> Result<(), CliError> {
    let binaries = cluster_binaries()?;
    let base = shared_health_checks::Plan {
        dispatchers: arguments.dispatchers.into(),
        workers: arguments.workers.into(),
        length: Duration::from_secs(arguments.length_s),
        fault_interval: Duration::from_secs_f64(arguments.every_s.max(SHORTEST_FAULT_INTERVAL_S)),
        only_kills: arguments.only_kills,
        share_health_checks: !arguments.off,
        rate: arguments.rate.clamp(LOWEST_RATE, HIGHEST_RATE),
        injected_bug: arguments.seeded_bug.clone(),
        ..shared_health_checks::Plan::default()
    };
    let results = run_schedules(arguments.at_once, arguments.seed, arguments.seeds, |seed| {
        let dir = arguments.out.join(format!("seed-{seed}"));
        let coordinators = coordinator_count(arguments.keepers, seed);
        let plan = shared_health_checks::Plan { seed, coordinators, ..base.clone() };
        Ok(shared_health_checks::run(&dir, &binaries, &plan)?)
    })?;
    print!("{}", shared_health_checks::table(&results));
    write_schedules(&arguments.out.join("watching.json"), &results, |result| result.rules.is_empty())
}

/// Returns the requested number of coordinators; for 0, 3 or 5 depending on the seed.
fn coordinator_count(requested: u16, seed: u64) -> usize {
    match requested {
        0 if seed % 2 == 0 => 3,
        0 => 5,
        coordinators => coordinators.into(),
    }
}

/// Runs one schedule for each seed from `first` on, `at_once` of them at the same time.
fn run_schedules<T: Send>(
    at_once: u16,
    first: u64,
    seeds: u64,
    run: impl Fn(u64) -> Result<T, CliError> + Sync,
) -> Result<BTreeMap<u64, T>, CliError> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(at_once.into()).build()?;
    let seeds: Vec<u64> = (first..first.saturating_add(seeds)).collect();
    let run = |seed: u64| run(seed).map(|result| (seed, result));
    pool.install(|| seeds.into_par_iter().with_max_len(1).map(run).collect())
}

/// Runs days of slow starts, both arms of a seed at the same time.
pub fn slow_start(arguments: &JoiningArgs) -> Result<(), CliError> {
    let binaries = cluster_binaries()?;
    let base = slow_start::Plan {
        dispatchers: arguments.dispatchers.into(),
        rate: arguments.rate,
        kill: arguments.kill,
        ..slow_start::Plan::default()
    };
    let mut days: BTreeMap<String, slow_start::DayResult> = BTreeMap::new();
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.seeds) {
        // The arms run at the same time, so that other load of the machine affects both.
        let arms = [false, true].map(|grants| {
            let plan = slow_start::Plan { grants, seed, ..base.clone() };
            spawn_slow_start(plan, arguments.out.clone(), binaries.clone())
        });
        for arm in arms {
            let (name, day) = arm.join().map_err(|_| CliError::ThreadPanicked)??;
            println!(
                "{name}: new workers: {:.3} of the tolerated jobs, {:.3} in the fullest window, {} overloads; \
                 jobs since the first replacement: {:.3} served in time, {:.3} served; \
                 {:.1} slot-seconds granted; responses by status: {:?}",
                day.used_share, day.peak_load, day.overloads, day.in_time, day.served, day.granted_work, day.responses
            );
            days.insert(name, day);
        }
    }
    write_json(&arguments.out.join("joining.json"), &days)?;
    match days.into_iter().find(|(_, day)| day.overloads > 0 || !day.violations.is_empty()) {
        Some((name, day)) => {
            Err(CliError::DayViolated { name, overloads: day.overloads, violations: day.violations })
        }
        None => Ok(()),
    }
}

/// Runs one arm of a day of slow starts on its own thread, which returns the name and the result of the arm.
fn spawn_slow_start(
    plan: slow_start::Plan,
    out: PathBuf,
    binaries: Binaries,
) -> JoinHandle<Result<(String, slow_start::DayResult), CliError>> {
    std::thread::spawn(move || {
        let arm = if plan.grants { "granted" } else { "planned" };
        let dir = out.join(format!("seed-{}-{arm}", plan.seed));
        let day = slow_start::run(&dir, &binaries, &plan)?;
        Ok((format!("{} {arm}", plan.seed), day))
    })
}
