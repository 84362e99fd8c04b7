//! Errors of subcommands.

use std::io;
use std::path::PathBuf;

use emulator::cluster::error::ClusterError;
use hcl_config::HclError;

/// Error of a subcommand, printed to the user after the name of the program.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Error of the operating system or of the file's format.
        source: io::Error,
    },
    /// An experiment file is invalid.
    #[error(transparent)]
    Experiment(#[from] HclError),
    /// No bug has the requested name.
    #[error("--seeded-bug: expected one of {}", .names.join(", "))]
    UnknownBug {
        /// Names of all bugs.
        names: Vec<&'static str>,
    },
    /// The experiment has no arm with the requested name.
    #[error("--arm: there is no arm {0:?}")]
    UnknownArm(String),
    /// The last seed exceeds the largest possible seed.
    #[error("--seed: the last of the seeds does not fit into 64 bits")]
    SeedOverflow,
    /// A program is missing in the folder of this one.
    #[error("{} does not exist; build it, or name the dispatcher program with --program", .0.display())]
    MissingProgram(PathBuf),
    /// The path of this program cannot be determined.
    #[error(transparent)]
    OwnPath(io::Error),
    /// A run over sockets failed.
    #[error(transparent)]
    Sockets(io::Error),
    /// The threads for schedules that run at the same time cannot be started.
    #[error(transparent)]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// Results cannot be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The cluster harness failed.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A thread that ran an arm panicked.
    #[error("a thread that ran an arm panicked")]
    ThreadPanicked,
    /// Schedules of an experiment violated rules; the printed table shows them.
    #[error("rules were violated; see above and results.json")]
    RulesViolated,
    /// A schedule violated a rule.
    #[error("rules were violated; see {}; --seed {seed} runs the first such schedule again", .file.display())]
    ScheduleViolated {
        /// File with the results of all schedules.
        file: PathBuf,
        /// First seed whose schedule violated a rule.
        seed: u64,
    },
    /// Workers were overloaded on a day of slow starts, or rules were violated.
    #[error("{name}: {overloads} workers overloaded, rules violated: {violations:?}")]
    DayViolated {
        /// Seed and arm.
        name: String,
        /// Workers that ended because they were overloaded.
        overloads: u64,
        /// Violations of rules.
        violations: Vec<String>,
    },
    /// The virtual-time soak violated a rule.
    #[error("a rule was violated")]
    SoakViolated,
    /// A property of the lease protocol does not hold.
    #[error("property violated after {events} events: {property}")]
    PropertyViolated {
        /// Name of the property.
        property: String,
        /// Number of events that lead to the violation.
        events: usize,
    },
    /// The bounds were too small: no lease changed its holder.
    #[error("no lease changed its holder within these bounds, so nothing was checked")]
    NothingChecked,
}

impl CliError {
    /// Returns a function for `map_err` that adds the path of a file or folder to an I/O error.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> CliError {
        let path = path.into();
        move |source| CliError::File { path, source }
    }
}
