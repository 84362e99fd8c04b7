//! The command line of the lab.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand, ValueEnum};
use coordination::InjectedBug;
use emulator::cluster::cluster_harness::Binaries;
use emulator::cluster::lease_harness::Programs;
use emulator::cluster::lease_model::{search, Bounds};
use emulator::cluster::lightweight_member;
use emulator::cluster::planned_drains;
use emulator::cluster::results::run as fleet_run;
use emulator::cluster::scaling_cost;
use emulator::cluster::schedule::ClusterExperiment;
use emulator::cluster::shared_health_checks;
use emulator::cluster::slow_start;
use emulator::cluster::virtual_time_soak::run_soak;
use emulator::report::{compare, Results};
use emulator::run::{run_over_sockets, run_virtual};
use emulator::spec::{self, Experiment};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

/// Emulates a fleet and runs experiments on it.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays an experiment and leaves results.json, table.md and charts.
    Run {
        /// The experiment, an HCL file.
        file: PathBuf,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, counted up from the first.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        seeds: u64,
        /// The folder for the results, made where there is none.
        #[arg(long)]
        out: PathBuf,
        /// What plays it.
        #[arg(long, value_enum, default_value_t = ExecutionMode::Virtual)]
        drive: ExecutionMode,
        /// With the drive over sockets: the program; else the one beside this tool.
        #[arg(long)]
        program: Option<PathBuf>,
        /// With the drive `fleet`: a flaw to put in, or `list`.
        #[arg(long)]
        seeded_bug: Option<String>,
        /// With the drive `fleet`: only this arm.
        #[arg(long)]
        arm: Option<String>,
        /// With the drive `fleet`: how long a schedule lasts, in seconds, instead of what the file says.
        #[arg(long)]
        length_s: Option<f64>,
        /// With the drives over sockets and `fleet`: days or schedules side by side.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
        at_once: u16,
    },
    /// Shows what changed from one folder of results to another.
    Compare {
        /// The results before.
        before: PathBuf,
        /// The results after.
        after: PathBuf,
    },
    /// Hands jobs to dispatchers with the fleet off and on, while keepers fail, and measures what their clients see.
    Waits {
        /// How long, in seconds.
        #[arg(long, default_value_t = 30)]
        length_s: u64,
        /// The folder for what the processes leave.
        #[arg(long)]
        out: PathBuf,
    },
    /// Measures what discovery, workers and the network are asked by idle dispatchers, as members and sharing nothing.
    Worth {
        /// Dispatchers, one measurement for each.
        #[arg(long, value_delimiter = ',', default_value = "8,48", value_parser = clap::value_parser!(u16).range(1..=400))]
        members: Vec<u16>,
        /// How long each side is measured, in seconds.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(4..=600))]
        length_s: u64,
        /// Members share the list only, and do not watch workers.
        #[arg(long)]
        list_only: bool,
        /// The folder for what the processes leave, and worth.json.
        #[arg(long)]
        out: PathBuf,
    },
    /// Lets dispatchers watch workers for each other while faults happen, with clients whose jobs are accounted for.
    Watching(WatchingArgs),
    /// Lets operators empty dispatchers by permits that the fleet agrees on, while faults happen.
    Drains(DrainsArgs),
    /// Replaces most workers by cold ones, with and without one owner who hands out what these bear, side by side.
    Joining {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        seeds: u64,
        /// Dispatchers.
        #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=64))]
        dispatchers: u16,
        /// Jobs a second at all of them together.
        #[arg(long, default_value_t = 60.0)]
        rate: f64,
        /// Kill the owner and the keepers' leader in the middle.
        #[arg(long)]
        kill: bool,
        /// The folder for what the processes leave, and joining.json.
        #[arg(long)]
        out: PathBuf,
    },
    /// Lets fleets live in virtual time, with clocks of different rates, and checks who acts when.
    Hours {
        /// How many hours.
        #[arg(default_value_t = 20)]
        hours: u64,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// By how much clocks really differ, in parts of a million; the fleet is told 1000.
        #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(0..=900_000))]
        skew_ppm: u64,
        /// A flaw to put in.
        #[arg(long)]
        seeded_bug: Option<String>,
    },
    /// A member without jobs, as the drive `fleet` starts it.
    #[command(hide = true)]
    LightMember {
        /// What it is told, JSON.
        file: PathBuf,
    },
    /// Checks the ownership protocol in every order of events up to a bound.
    Model {
        /// Members.
        #[arg(long, default_value_t = 2)]
        members: u64,
        /// How far the clock goes.
        #[arg(long, default_value_t = 5)]
        time: u64,
        /// Messages on their way at once.
        #[arg(long, default_value_t = 3)]
        messages: usize,
        /// A flaw to put in, or `list`.
        #[arg(long)]
        seeded_bug: Option<String>,
        /// Threads.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Lists experiments.
    List {
        /// Where they are.
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
}

#[derive(clap::Args)]
struct WatchingArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many schedules, by seeds counted up from the first.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Schedules side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    at_once: u16,
    /// How long each lasts, in seconds.
    #[arg(long, default_value_t = 30)]
    length_s: u64,
    /// How often a fault begins, in seconds.
    #[arg(long, default_value_t = 5.0)]
    every_s: f64,
    /// Keepers, 3 or 5; 0 for 3 and 5 in turn.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(0..=5))]
    keepers: u16,
    /// Jobs a second at each dispatcher.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Dispatchers.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    dispatchers: u16,
    /// Workers.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=500))]
    workers: u16,
    /// Only SIGKILL of dispatchers.
    #[arg(long)]
    only_kills: bool,
    /// The same faults with nobody watching.
    #[arg(long)]
    off: bool,
    /// A flaw to put in: no-wait, trusting or no-look.
    #[arg(long)]
    seeded_bug: Option<String>,
    /// The folder for what the processes leave, and watching.json.
    #[arg(long)]
    out: PathBuf,
}

#[derive(clap::Args)]
struct DrainsArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many schedules, by seeds counted up from the first.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Schedules side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    at_once: u16,
    /// How long faults go on, in seconds.
    #[arg(long, default_value_t = 20)]
    length_s: u64,
    /// Keepers, 3 or 5; 0 for 3 and 5 in turn.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(0..=5))]
    keepers: u16,
    /// Dispatchers.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(3..=48))]
    dispatchers: u16,
    /// A flaw in the keepers' account, or `list`.
    #[arg(long)]
    seeded_bug: Option<String>,
    /// The folder for what the processes leave, and drains.json.
    #[arg(long)]
    out: PathBuf,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum ExecutionMode {
    /// Discrete events, no clock.
    Virtual,
    /// The real program on loopback, in real time.
    Sockets,
}

/// The flaw of this name; `list` names them.
fn injected_bug(name: Option<&str>) -> Result<Option<InjectedBug>, String> {
    let names: Vec<&str> = InjectedBug::names().iter().map(|(name, _)| *name).collect();
    let Some(name) = name else { return Ok(None) };
    match InjectedBug::names().iter().find(|(known, _)| *known == name) {
        Some((_, flaw)) => Ok(Some(*flaw)),
        None => Err(format!("--seeded-bug: wanted one of {}", names.join(", "))),
    }
}

fn list_injected_bugs() {
    InjectedBug::names().iter().for_each(|(name, _)| println!("{name}"));
}

/// Whether an experiment is one with processes of a fleet. What cannot be read is complained of later.
fn is_fleet(file: &Path) -> bool {
    std::fs::read_to_string(file).is_ok_and(|text| ClusterExperiment::is_cluster_experiment("", &text))
}

fn run_fleet(
    file: &Path,
    (first, count): (u64, u64),
    out: &Path,
    lanes: u16,
    bug: Option<&str>,
    (arm, length): (Option<&str>, Option<f64>),
) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let mut plan =
        ClusterExperiment::read(&file.display().to_string(), &text).map_err(|fault| fault.to_string())?;
    injected_bug(bug)?;
    plan.length = length.filter(|length| *length >= 1.0).unwrap_or(plan.length);
    if let Some(arm) = arm {
        plan.arms.retain(|known| known.name == arm);
        if plan.arms.is_empty() {
            return Err(format!("--arm: there is no arm {arm:?}"));
        }
    }
    let seeds: Vec<u64> = (first..first.saturating_add(count)).collect();
    let lab = std::env::current_exe().map_err(|error| error.to_string())?;
    let programs = Programs { coordinator: beside("coordinator")?, emulator: lab };
    let bar = ProgressBar::new((seeds.len() * plan.arms.len()) as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} schedules, {eta} left") {
        bar.set_style(style);
    }
    let results = fleet_run(&plan, &seeds, &programs, out, bug, lanes.into(), &bar)?;
    bar.finish_and_clear();
    results.write(out).map_err(|error| format!("{}: {error}", out.display()))?;
    print!("{}", results.table());
    if results.broken() {
        return Err("rules were broken, see above and results.json".to_owned());
    }
    Ok(())
}

fn dispatch_latency(length: u64, out: &Path) -> Result<(), String> {
    let binaries = Binaries { dispatcher: beside("dispatcher")?, coordinator: beside("coordinator")? };
    let arms =
        emulator::cluster::dispatch_latency::play(out, &binaries, std::time::Duration::from_secs(length))?;
    let text = serde_json::to_string_pretty(&arms).map_err(|error| error.to_string())?;
    std::fs::write(out.join("waits.json"), &text).map_err(|error| format!("{}: {error}", out.display()))?;
    println!("{text}");
    Ok(())
}

fn scaling_cost(members: &[u16], length: Duration, list_only: bool, out: &Path) -> Result<(), String> {
    let binaries = Binaries { dispatcher: beside("dispatcher")?, coordinator: beside("coordinator")? };
    let block = if list_only { "" } else { "watch {\n  sets = 6\n}\n" };
    let mut sides: BTreeMap<String, scaling_cost::Side> = BTreeMap::new();
    for count in members {
        for (name, fleet) in [("nothing shared", None), ("members", Some(block))] {
            let dir = out.join(format!("{count}-{}", fleet.map_or("off", |_| "on")));
            let side = scaling_cost::play(&dir, &binaries, (*count).into(), fleet, length)?;
            println!("{count} {name}: {side:?}");
            sides.insert(format!("{count} {name}"), side);
        }
    }
    let text = serde_json::to_string_pretty(&sides).map_err(|error| error.to_string())?;
    let file = out.join("worth.json");
    std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))
}

fn planned_drains(args: &DrainsArgs) -> Result<(), String> {
    let known: Vec<&str> = disruption_budget::InjectedBug::names().iter().map(|(name, _)| *name).collect();
    match args.seeded_bug.as_deref() {
        Some("list") => {
            known.iter().for_each(|name| println!("{name}"));
            return Ok(());
        }
        Some(other) if !known.contains(&other) => {
            return Err(format!("--seeded-bug: wanted one of {}", known.join(", ")));
        }
        _ => {}
    }
    let binaries = Binaries { dispatcher: beside("dispatcher")?, coordinator: beside("coordinator")? };
    let base = planned_drains::Plan {
        dispatchers: args.dispatchers.into(),
        length: Duration::from_secs(args.length_s),
        injected_bug: args.seeded_bug.clone(),
        ..planned_drains::Plan::default()
    };
    let played = run_schedules(args.at_once, args.seed, args.seeds, |seed| {
        let dir = args.out.join(format!("seed-{seed}"));
        let keepers = coordinator_count(args.keepers, seed);
        planned_drains::play(
            &dir,
            &binaries,
            &planned_drains::Plan { seed, coordinators: keepers, ..base.clone() },
        )
    })?;
    print!("{}", planned_drains::table(&played));
    write_results(&args.out.join("drains.json"), &played, |one| one.rules.is_empty())
}

/// So many keepers, or 3 and 5 in turn.
fn coordinator_count(asked: u16, seed: u64) -> usize {
    match asked {
        0 if seed % 2 == 0 => 3,
        0 => 5,
        keepers => keepers.into(),
    }
}

/// Plays schedules by seed, so many side by side.
fn run_schedules<T: Send>(
    at_once: u16,
    first: u64,
    seeds: u64,
    one: impl Fn(u64) -> Result<T, String> + Sync,
) -> Result<BTreeMap<u64, T>, String> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(at_once.into()).build();
    let pool = pool.map_err(|error| error.to_string())?;
    let seeds: Vec<u64> = (first..first.saturating_add(seeds)).collect();
    let one = |seed: u64| one(seed).map(|played| (seed, played));
    pool.install(|| seeds.into_par_iter().with_max_len(1).map(one).collect())
}

/// Writes what schedules gave, and complains of the first that broke a rule.
fn write_results<T: serde::Serialize>(
    file: &Path,
    played: &BTreeMap<u64, T>,
    sound: impl Fn(&T) -> bool,
) -> Result<(), String> {
    let text = serde_json::to_string_pretty(played).map_err(|error| error.to_string())?;
    std::fs::write(file, &text).map_err(|error| format!("{}: {error}", file.display()))?;
    match played.iter().find(|(_, played)| !sound(played)) {
        Some((seed, _)) => {
            Err(format!("rules were broken, see {}; seed {seed} plays one again", file.display()))
        }
        None => Ok(()),
    }
}

fn shared_health_checks(args: &WatchingArgs) -> Result<(), String> {
    let binaries = Binaries { dispatcher: beside("dispatcher")?, coordinator: beside("coordinator")? };
    let base = shared_health_checks::Plan {
        dispatchers: args.dispatchers.into(),
        workers: args.workers.into(),
        length: Duration::from_secs(args.length_s),
        fault_interval: Duration::from_secs_f64(args.every_s.max(0.5)),
        only_kills: args.only_kills,
        share_health_checks: !args.off,
        rate: args.rate.clamp(0.1, 1_000.0),
        injected_bug: args.seeded_bug.clone(),
        ..shared_health_checks::Plan::default()
    };
    let played = run_schedules(args.at_once, args.seed, args.seeds, |seed| {
        let dir = args.out.join(format!("seed-{seed}"));
        let keepers = coordinator_count(args.keepers, seed);
        shared_health_checks::play(
            &dir,
            &binaries,
            &shared_health_checks::Plan { seed, coordinators: keepers, ..base.clone() },
        )
    })?;
    print!("{}", shared_health_checks::table(&played));
    write_results(&args.out.join("watching.json"), &played, |one| one.rules.is_empty())
}

fn slow_start((first, seeds): (u64, u64), plan: &slow_start::Plan, out: &Path) -> Result<(), String> {
    let binaries = Binaries { dispatcher: beside("dispatcher")?, coordinator: beside("coordinator")? };
    let mut days: BTreeMap<String, slow_start::DayResult> = BTreeMap::new();
    for seed in first..first.saturating_add(seeds) {
        // Both arms at once, so that what else the machine does meets both.
        let arm = |grants: bool| {
            let (name, plan) = (if grants { "granted" } else { "planned" }, plan.clone());
            let (dir, binaries) = (out.join(format!("seed-{seed}-{name}")), binaries.clone());
            std::thread::spawn(move || {
                slow_start::play(&dir, &binaries, &slow_start::Plan { grants, seed, ..plan })
                    .map(|day| (format!("{seed} {name}"), day))
            })
        };
        for lane in [arm(false), arm(true)] {
            let (name, day) = lane.join().map_err(|_| "a lane panicked".to_owned())??;
            println!(
                "{name}: used {:.3}, fullest {:.3}, fallen {}, in time {:.3}, served {:.3}, granted {:.1}, answers {:?}",
                day.used_share, day.peak_load, day.overloads, day.in_time, day.served, day.granted_work, day.answers
            );
            days.insert(name, day);
        }
    }
    let text = serde_json::to_string_pretty(&days).map_err(|error| error.to_string())?;
    let file = out.join("joining.json");
    std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))?;
    match days.iter().find(|(_, day)| day.overloads > 0 || !day.violations.is_empty()) {
        Some((name, day)) => Err(format!("{name}: {} fallen, {:?}", day.overloads, day.violations)),
        None => Ok(()),
    }
}

fn lease_model(bounds: Bounds, bug: Option<&str>, threads: usize) -> Result<(), String> {
    let start = Instant::now();
    let found = search(injected_bug(bug)?, bounds, threads);
    let took = start.elapsed().as_secs_f64();
    println!("{} states, {} events deep, {took:.1} s", found.states, found.depth);
    match (found.violated, found.handed_over) {
        (Some((property, events)), _) => Err(format!("does not hold after {events} events: {property}")),
        (None, false) => {
            Err("no duty was handed over within these bounds, so nothing was checked".to_owned())
        }
        (None, true) => Ok(()),
    }
}

fn read(file: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    spec::read(&file.display().to_string(), &text).map_err(|fault| fault.to_string())
}

/// The program that stands beside this tool.
fn beside(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = own.with_file_name(format!("{name}{}", std::env::consts::EXE_SUFFIX));
    if program.is_file() {
        Ok(program)
    } else {
        Err(format!("--program: there is no {}; build it, or name another", program.display()))
    }
}

fn run(
    file: &Path,
    (first, count): (u64, u64),
    out: &Path,
    drive: ExecutionMode,
    program: Option<PathBuf>,
    at_once: u16,
) -> Result<(), String> {
    let mut experiment = read(file)?;
    let last = first.checked_add(count - 1).ok_or("--seed: no room for so many seeds after it")?;
    let seeds: Vec<u64> = (first..=last).collect();
    let runs = experiment.cases.len() * experiment.arms.len() * seeds.len();
    let bar = ProgressBar::new(runs as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    let start = Instant::now();
    let (runs, drive) = match drive {
        ExecutionMode::Virtual => (run_virtual(&experiment, &seeds, &bar), "virtual"),
        ExecutionMode::Sockets => {
            let program = program.map_or_else(|| beside("dispatcher"), Ok)?;
            let played = run_over_sockets(&mut experiment, &seeds, &program, at_once.into(), &bar);
            let (runs, left_out) = played.map_err(|error| error.to_string())?;
            if !left_out.is_empty() {
                eprintln!("left out, for they are not the program's: {}", left_out.join(", "));
            }
            (runs, "sockets")
        }
    };
    bar.finish_and_clear();
    let results = Results::summarize(&experiment, drive, &seeds, &runs);
    results.write(out).map_err(|error| format!("{}: {error}", out.display()))?;
    print!("{}", results.table());
    let events: u64 = runs.iter().map(|run| run.metrics.events).sum();
    let jobs: u64 = runs.iter().map(|run| run.metrics.jobs).sum();
    let took = start.elapsed().as_secs_f64();
    eprintln!(
        "{} runs, {jobs} jobs, {events} events in {took:.1} s: {:.0} events a second",
        runs.len(),
        events as f64 / took
    );
    Ok(())
}

fn list(folder: &Path) -> Result<(), String> {
    let entries = std::fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| entry.ok().map(|entry| entry.path())).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "hcl"));
    files.sort();
    for file in files {
        match read(&file) {
            Ok(e) => {
                println!("{}: {} ({} cases, {} arms)", file.display(), e.about, e.cases.len(), e.arms.len())
            }
            Err(fault) => println!("{fault}"),
        }
    }
    Ok(())
}

fn results(folder: &Path) -> Result<Results, String> {
    Results::read(folder).map_err(|error| format!("{}: {error}", folder.display()))
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run { seeded_bug, .. } if seeded_bug.as_deref() == Some("list") => {
            list_injected_bugs();
            Ok(())
        }
        Command::Run { file, seed, seeds, out, at_once, seeded_bug, arm, length_s, .. }
            if is_fleet(&file) =>
        {
            run_fleet(&file, (seed, seeds), &out, at_once, seeded_bug.as_deref(), (arm.as_deref(), length_s))
        }
        Command::Waits { length_s, out } => dispatch_latency(length_s, &out),
        Command::Joining { seed, seeds, dispatchers, rate, kill, out } => {
            let plan = slow_start::Plan {
                dispatchers: dispatchers.into(),
                rate,
                kill,
                ..slow_start::Plan::default()
            };
            slow_start((seed, seeds), &plan, &out)
        }
        Command::Worth { members, length_s, list_only, out } => {
            scaling_cost(&members, Duration::from_secs(length_s), list_only, &out)
        }
        Command::Drains(args) => planned_drains(&args),
        Command::Watching(args) => shared_health_checks(&args),
        Command::LightMember { file } => lightweight_member::run(&file),
        Command::Hours { hours, seed, skew_ppm, seeded_bug } => {
            injected_bug(seeded_bug.as_deref()).and_then(|flaw| {
                let hours = run_soak(hours, seed, skew_ppm, flaw);
                println!("{hours:#}");
                if hours.broken() {
                    Err("a rule was broken".to_owned())
                } else {
                    Ok(())
                }
            })
        }
        Command::Run { file, seed, seeds, out, drive, program, at_once, .. } => {
            run(&file, (seed, seeds), &out, drive, program, at_once)
        }
        Command::Compare { before, after } => results(&before).and_then(|before| {
            let after = results(&after)?;
            print!("{}", compare(&before, &after));
            Ok(())
        }),
        Command::Model { members, time, messages, seeded_bug, threads } => match seeded_bug.as_deref() {
            Some("list") => {
                list_injected_bugs();
                Ok(())
            }
            bug => lease_model(Bounds { members, time, messages, ..Bounds::default() }, bug, threads),
        },
        Command::List { folder } => list(&folder),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("emulator: {problem}");
            ExitCode::FAILURE
        }
    }
}
