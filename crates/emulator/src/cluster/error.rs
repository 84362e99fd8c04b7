//! Errors of the harnesses that run coordinators and dispatchers as processes.

use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;

use coordination::LeaseIdParseError;

/// Failure of a harness itself. The violation of a rule by a schedule is a result, not an error.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A file, socket or process cannot be used.
    #[error("{subject}: {source}")]
    Io {
        /// The file, socket or process.
        subject: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file of the harness is not valid JSON, or has not the expected fields.
    #[error("{}: {source}", .path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Position and reason.
        source: serde_json::Error,
    },
    /// A line of a process's record cannot be read.
    #[error("{}:{line}: {source}", .path.display())]
    Record {
        /// The record.
        path: PathBuf,
        /// The line, counted from one.
        line: usize,
        /// Position and reason.
        source: serde_json::Error,
    },
    /// A program that a test starts has not been built.
    #[error("{} is missing: run the tests of the whole workspace", .0.display())]
    MissingProgram(PathBuf),
    /// The folder of the build profile, which contains the programs, was not found.
    #[error("no build profile folder above {}", .0.display())]
    NoProfileFolder(PathBuf),
    /// A cluster was specified without a discovery service.
    #[error("the cluster has no discovery service")]
    NoDiscovery,
    /// The process that a fault is for is not running.
    #[error("{process} is not running")]
    NotRunning {
        /// Name of the process.
        process: String,
    },
    /// A signal cannot be sent.
    #[error("{process}: {source}")]
    Signal {
        /// Name of the process.
        process: String,
        /// Error of the operating system.
        source: rustix::io::Errno,
    },
    /// A command of the program `coordinator` failed. The message is its standard error.
    #[error("{stderr}")]
    Command {
        /// Text on standard error.
        stderr: String,
    },
    /// The store of a replica cannot be set up.
    #[error("replica {replica}: bootstrap ended with {status}")]
    Bootstrap {
        /// Number of the replica.
        replica: usize,
        /// Exit status of the command.
        status: ExitStatus,
    },
    /// The settings of a replica that is replaced have no block for it.
    #[error("replica {replica} has no block in its settings")]
    MissingReplicaBlock {
        /// Number of the replica.
        replica: usize,
    },
    /// No coordinator has become leader yet.
    #[error("no coordinator has become leader\n{logs}")]
    NoLeader {
        /// Logs of all processes.
        logs: String,
    },
    /// A state was not reached in time.
    #[error("{awaited}\n{logs}")]
    Timeout {
        /// The awaited state and the state at the end.
        awaited: String,
        /// Logs of all processes.
        logs: String,
    },
    /// The name of a lease is malformed.
    #[error(transparent)]
    LeaseId(#[from] LeaseIdParseError),
    /// A histogram cannot be set up.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The threads for parallel schedules cannot be started.
    #[error(transparent)]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// The thread of an arm panicked.
    #[error("the thread of an arm panicked")]
    ThreadPanicked,
    /// A schedule of an experiment failed.
    #[error("{arm} seed {seed}: {source}")]
    Schedule {
        /// Name of the arm.
        arm: String,
        /// Seed of the schedule.
        seed: u64,
        /// Failure of its harness.
        source: Box<ClusterError>,
    },
}

impl ClusterError {
    /// Returns a conversion for `map_err`, which names the file, socket or process that an operation was for.
    pub(super) fn io(subject: impl Display) -> impl FnOnce(io::Error) -> ClusterError {
        move |source| ClusterError::Io { subject: subject.to_string(), source }
    }
}
