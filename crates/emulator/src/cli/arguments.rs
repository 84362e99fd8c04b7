//! The arguments of the command line.
//!
//! Comments with three slashes on the subcommands and their arguments are the text of `--help`.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Emulates a fleet and runs experiments on it.
#[derive(Parser)]
#[command(version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Plays an experiment and leaves results.json, table.md and charts.
    Run(RunArgs),
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
    Worth(WorthArgs),
    /// Lets dispatchers watch workers for each other while faults happen, with clients whose jobs are accounted for.
    Watching(WatchingArgs),
    /// Lets operators empty dispatchers by permits that the fleet agrees on, while faults happen.
    Drains(DrainsArgs),
    /// Replaces most workers by cold ones, with and without one owner who hands out what these bear, side by side.
    Joining(JoiningArgs),
    /// Lets fleets live in virtual time, with clocks of different rates, and checks who acts when.
    Hours(SoakArgs),
    /// A member without jobs, as the drive `fleet` starts it.
    #[command(hide = true)]
    LightMember {
        /// What it is told, JSON.
        file: PathBuf,
    },
    /// Checks the ownership protocol in every order of events up to a bound.
    Model(ModelArgs),
    /// Lists experiments.
    List {
        /// Where they are.
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
}

// What `Run` takes.
#[derive(clap::Args)]
pub struct RunArgs {
    /// The experiment, an HCL file.
    pub file: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds, counted up from the first.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    pub seeds: u64,
    /// The folder for the results, made where there is none.
    #[arg(long)]
    pub out: PathBuf,
    /// What plays it.
    #[arg(long, value_enum, default_value_t = ExecutionMode::Virtual)]
    pub drive: ExecutionMode,
    /// With the drive over sockets: the program; else the one beside this tool.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// With the drive `fleet`: a flaw to put in, or `list`.
    #[arg(long)]
    pub seeded_bug: Option<String>,
    /// With the drive `fleet`: only this arm.
    #[arg(long)]
    pub arm: Option<String>,
    /// With the drive `fleet`: how long a schedule lasts, in seconds, instead of what the file says.
    #[arg(long)]
    pub length_s: Option<f64>,
    /// With the drives over sockets and `fleet`: days or schedules side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub at_once: u16,
}

// What `Worth` takes.
#[derive(clap::Args)]
pub struct WorthArgs {
    /// Dispatchers, one measurement for each.
    #[arg(long, value_delimiter = ',', default_value = "8,48", value_parser = clap::value_parser!(u16).range(1..=400))]
    pub members: Vec<u16>,
    /// How long each side is measured, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(4..=600))]
    pub length_s: u64,
    /// Members share the list only, and do not watch workers.
    #[arg(long)]
    pub list_only: bool,
    /// The folder for what the processes leave, and worth.json.
    #[arg(long)]
    pub out: PathBuf,
}

// What `Joining` takes.
#[derive(clap::Args)]
pub struct JoiningArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    pub seeds: u64,
    /// Dispatchers.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub dispatchers: u16,
    /// Jobs a second at all of them together.
    #[arg(long, default_value_t = 60.0)]
    pub rate: f64,
    /// Kill the owner and the keepers' leader in the middle.
    #[arg(long)]
    pub kill: bool,
    /// The folder for what the processes leave, and joining.json.
    #[arg(long)]
    pub out: PathBuf,
}

// What `Hours` takes.
#[derive(clap::Args)]
pub struct SoakArgs {
    /// How many hours.
    #[arg(default_value_t = 20)]
    pub hours: u64,
    /// The seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// By how much clocks really differ, in parts of a million; the fleet is told 1000.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(0..=900_000))]
    pub skew_ppm: u64,
    /// A flaw to put in.
    #[arg(long)]
    pub seeded_bug: Option<String>,
}

// What `Model` takes.
#[derive(clap::Args)]
pub struct ModelArgs {
    /// Members.
    #[arg(long, default_value_t = 2)]
    pub members: u64,
    /// How far the clock goes.
    #[arg(long, default_value_t = 5)]
    pub time: u64,
    /// Messages on their way at once.
    #[arg(long, default_value_t = 3)]
    pub messages: usize,
    /// A flaw to put in, or `list`.
    #[arg(long)]
    pub seeded_bug: Option<String>,
    /// Threads.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

// What `Watching` takes.
#[derive(clap::Args)]
pub struct WatchingArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many schedules, by seeds counted up from the first.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seeds: u64,
    /// Schedules side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub at_once: u16,
    /// How long each lasts, in seconds.
    #[arg(long, default_value_t = 30)]
    pub length_s: u64,
    /// How often a fault begins, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub every_s: f64,
    /// Keepers, 3 or 5; 0 for 3 and 5 in turn.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(0..=5))]
    pub keepers: u16,
    /// Jobs a second at each dispatcher.
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    /// Dispatchers.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub dispatchers: u16,
    /// Workers.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=500))]
    pub workers: u16,
    /// Only SIGKILL of dispatchers.
    #[arg(long)]
    pub only_kills: bool,
    /// The same faults with nobody watching.
    #[arg(long)]
    pub off: bool,
    /// A flaw to put in: no-wait, trusting or no-look.
    #[arg(long)]
    pub seeded_bug: Option<String>,
    /// The folder for what the processes leave, and watching.json.
    #[arg(long)]
    pub out: PathBuf,
}

// What `Drains` takes.
#[derive(clap::Args)]
pub struct DrainsArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many schedules, by seeds counted up from the first.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seeds: u64,
    /// Schedules side by side.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub at_once: u16,
    /// How long faults go on, in seconds.
    #[arg(long, default_value_t = 20)]
    pub length_s: u64,
    /// Keepers, 3 or 5; 0 for 3 and 5 in turn.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(0..=5))]
    pub keepers: u16,
    /// Dispatchers.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(3..=48))]
    pub dispatchers: u16,
    /// A flaw in the keepers' account, or `list`.
    #[arg(long)]
    pub seeded_bug: Option<String>,
    /// The folder for what the processes leave, and drains.json.
    #[arg(long)]
    pub out: PathBuf,
}

/// What plays an experiment.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExecutionMode {
    /// Discrete events, no clock.
    Virtual,
    /// The real program on loopback, in real time.
    Sockets,
}
