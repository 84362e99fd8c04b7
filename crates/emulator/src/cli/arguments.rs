//! Arguments of the command line.
//!
//! The doc comments of the subcommands and their arguments are the text of `--help`.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

/// Emulates a fleet and runs experiments on it.
#[derive(Parser)]
#[command(version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of the emulator.
#[derive(Subcommand)]
pub enum Command {
    /// Runs an experiment and writes results.json, table.md and charts.
    Run(RunArgs),
    /// Compares the results in two folders.
    Compare {
        /// Folder with the earlier results.
        before: PathBuf,
        /// Folder with the later results.
        after: PathBuf,
    },
    /// Measures the latency that clients see with the cluster off and on, and while coordinators fail.
    Waits {
        /// Length of each measurement, in seconds.
        #[arg(long, default_value_t = 30)]
        length_s: u64,
        /// Folder for the processes' files and waits.json.
        #[arg(long)]
        out: PathBuf,
    },
    /// Measures the load that idle dispatchers put on discovery, workers and the network, with and without a cluster.
    Worth(WorthArgs),
    /// Checks the rules of shared health checks and of clients' jobs while faults are injected.
    Watching(WatchingArgs),
    /// Checks the rules of planned drains of dispatchers while faults are injected.
    Drains(DrainsArgs),
    /// Compares slow start with and without quotas granted by a lease holder, while most workers are replaced.
    Joining(JoiningArgs),
    /// Simulates clusters in virtual time, with clocks of different rates, and checks the rules of leases.
    Hours(SoakArgs),
    /// Runs a cluster member without jobs; experiments with drive = "fleet" start it.
    #[command(hide = true)]
    LightMember {
        /// Configuration of the member, a JSON file.
        file: PathBuf,
    },
    /// Checks the lease protocol in every order of events within bounds.
    Model(ModelArgs),
    /// Lists the experiments in a folder.
    List {
        /// Folder with the experiments.
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
}

// Arguments of the subcommand `run`.
#[derive(clap::Args)]
pub struct RunArgs {
    /// Experiment, an HCL file.
    pub file: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds, counted up from the first.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    pub seeds: u64,
    /// Folder for the results, created if it does not exist.
    #[arg(long)]
    pub out: PathBuf,
    /// Execution mode.
    #[arg(long, value_enum, default_value_t = ExecutionMode::Virtual)]
    pub drive: ExecutionMode,
    /// With `--drive sockets`: dispatcher program; by default the one in the folder of this program.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// With drive = "fleet" in the experiment: bug to inject, or `list`.
    #[arg(long)]
    pub seeded_bug: Option<String>,
    /// With drive = "fleet" in the experiment: only arm to run.
    #[arg(long)]
    pub arm: Option<String>,
    /// With drive = "fleet" in the experiment: length of a schedule, in seconds, in place of the file's.
    #[arg(long)]
    pub length_s: Option<f64>,
    /// With `--drive sockets` or drive = "fleet": number of days or schedules that run at the same time.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub at_once: u16,
}

// Arguments of the subcommand `worth`.
#[derive(clap::Args)]
pub struct WorthArgs {
    /// Numbers of dispatchers, each measured with and without a cluster.
    #[arg(long, value_delimiter = ',', default_value = "8,48", value_parser = clap::value_parser!(u16).range(1..=400))]
    pub members: Vec<u16>,
    /// Length of each measurement, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(4..=600))]
    pub length_s: u64,
    /// Share only the endpoint list among members, not health checks.
    #[arg(long)]
    pub list_only: bool,
    /// Folder for the processes' files and worth.json.
    #[arg(long)]
    pub out: PathBuf,
}

// Arguments of the subcommand `joining`.
#[derive(clap::Args)]
pub struct JoiningArgs {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds, counted up from the first.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    pub seeds: u64,
    /// Number of dispatchers.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub dispatchers: u16,
    /// Jobs per second at all dispatchers together.
    #[arg(long, default_value_t = 60.0)]
    pub rate: f64,
    /// Kill the holder of the slow-start lease and the coordinators' leader after the replacements.
    #[arg(long)]
    pub kill: bool,
    /// Folder for the processes' files and joining.json.
    #[arg(long)]
    pub out: PathBuf,
}

// Arguments of the subcommand `hours`.
#[derive(clap::Args)]
pub struct SoakArgs {
    /// Hours of virtual time.
    #[arg(default_value_t = 20)]
    pub hours: u64,
    /// Seed from which the seed of each hour is derived.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Largest deviation of clock rates, in parts per million; the cluster is configured for 1000.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(0..=900_000))]
    pub skew_ppm: u64,
    /// Bug to inject.
    #[arg(long)]
    pub seeded_bug: Option<String>,
}

// Arguments of the subcommand `model`.
#[derive(clap::Args)]
pub struct ModelArgs {
    /// Number of members.
    #[arg(long, default_value_t = 2)]
    pub members: u64,
    /// Largest value of the clock, a counter.
    #[arg(long, default_value_t = 5)]
    pub time: u64,
    /// Most messages in transit at the same time.
    #[arg(long, default_value_t = 3)]
    pub messages: usize,
    /// Bug to inject, or `list`.
    #[arg(long)]
    pub seeded_bug: Option<String>,
    /// Threads of the search.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

// Arguments of the subcommand `watching`.
#[derive(clap::Args)]
pub struct WatchingArgs {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of schedules, with seeds counted up from the first.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seeds: u64,
    /// Schedules that run at the same time.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub at_once: u16,
    /// Length of a schedule, in seconds.
    #[arg(long, default_value_t = 30)]
    pub length_s: u64,
    /// Time from the start of one fault to that of the next, in seconds; at least 0.5.
    #[arg(long, default_value_t = 5.0)]
    pub every_s: f64,
    /// Number of coordinator replicas, 3 or 5; 0 for 3 with even seeds and 5 with odd ones.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(0..=5))]
    pub keepers: u16,
    /// Jobs per second at each dispatcher, from 0.1 to 1000.
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    /// Number of dispatchers.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub dispatchers: u16,
    /// Number of workers.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=500))]
    pub workers: u16,
    /// Inject no fault but SIGKILL of dispatchers.
    #[arg(long)]
    pub only_kills: bool,
    /// Inject the same faults without shared health checks.
    #[arg(long)]
    pub off: bool,
    /// Bug to inject: no-wait, trusting or no-look.
    #[arg(long)]
    pub seeded_bug: Option<String>,
    /// Folder for the processes' files and watching.json.
    #[arg(long)]
    pub out: PathBuf,
}

// Arguments of the subcommand `drains`.
#[derive(clap::Args)]
pub struct DrainsArgs {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of schedules, with seeds counted up from the first.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seeds: u64,
    /// Schedules that run at the same time.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub at_once: u16,
    /// Time during which faults are injected, in seconds.
    #[arg(long, default_value_t = 20)]
    pub length_s: u64,
    /// Number of coordinator replicas, 3 or 5; 0 for 3 with even seeds and 5 with odd ones.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(0..=5))]
    pub keepers: u16,
    /// Number of dispatchers.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(3..=48))]
    pub dispatchers: u16,
    /// Bug to inject into the disruption budget, or `list`.
    #[arg(long)]
    pub seeded_bug: Option<String>,
    /// Folder for the processes' files and drains.json.
    #[arg(long)]
    pub out: PathBuf,
}

/// Execution mode of an experiment.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExecutionMode {
    /// Discrete-event simulation in virtual time.
    Virtual,
    /// Real dispatcher processes on loopback, in real time.
    Sockets,
}
