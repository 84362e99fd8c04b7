//! Why a subcommand failed.

use std::io;
use std::path::PathBuf;

use emulator::cluster::error::ClusterError;
use hcl_config::HclError;

/// Why a subcommand failed; its text is what the user reads after the name of the program.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the operating system or the format says.
        source: io::Error,
    },
    /// An experiment is not what it has to be.
    #[error(transparent)]
    Experiment(#[from] HclError),
    /// There is no injected bug of the name that was asked for.
    #[error("--seeded-bug: wanted one of {}", .known.join(", "))]
    UnknownBug {
        /// The names that there are.
        known: Vec<&'static str>,
    },
    /// The experiment has no arm of the name that was asked for.
    #[error("--arm: there is no arm {0:?}")]
    UnknownArm(String),
    /// The seeds counted up from the first exceed the largest.
    #[error("--seed: no room for so many seeds after it")]
    SeedOverflow,
    /// A program that is needed does not stand beside this one.
    #[error("--program: there is no {}; build it, or name another", .0.display())]
    MissingProgram(PathBuf),
    /// Where this program stands is not known.
    #[error(transparent)]
    OwnPath(io::Error),
    /// The program could not be played over sockets.
    #[error(transparent)]
    Sockets(io::Error),
    /// The threads for schedules side by side could not be started.
    #[error(transparent)]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// Results have no form as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The harness of the cluster could not do its work.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A thread that played a schedule panicked.
    #[error("a lane panicked")]
    LanePanicked,
    /// Schedules of an experiment violated rules; they were printed.
    #[error("rules were broken, see above and results.json")]
    RulesViolated,
    /// A schedule violated a rule.
    #[error("rules were broken, see {}; seed {seed} plays one again", .file.display())]
    ScheduleViolated {
        /// The file with all results.
        file: PathBuf,
        /// The first seed whose schedule did.
        seed: u64,
    },
    /// Workers were overloaded on a day of slow starts, or rules were violated.
    #[error("{name}: {overloads} fallen, {violations:?}")]
    DayViolated {
        /// The seed and the arm.
        name: String,
        /// Workers that went down.
        overloads: u64,
        /// What was violated.
        violations: Vec<String>,
    },
    /// The hours in virtual time violated a rule.
    #[error("a rule was broken")]
    SoakViolated,
    /// A property of the lease protocol does not hold.
    #[error("does not hold after {events} events: {property}")]
    PropertyViolated {
        /// The property.
        property: String,
        /// The events that lead there.
        events: usize,
    },
    /// The search of the lease protocol was too small to check anything.
    #[error("no duty was handed over within these bounds, so nothing was checked")]
    NothingChecked,
}

impl CliError {
    /// For `map_err` of what is done with a file or folder.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> CliError {
        let path = path.into();
        move |source| CliError::File { path, source }
    }
}
