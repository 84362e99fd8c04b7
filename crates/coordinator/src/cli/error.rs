//! Errors of subcommands, and their exit codes.

use std::io;
use std::path::PathBuf;

use coordinator::config::ConfigError;
use coordinator::operator_client::OperatorError;
use coordinator::store::StoreError;
use coordinator::{exit_code, CoordinatorError};

/// Error of a subcommand.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// The settings file or a file of budgets cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings file has no block `serve`.
    #[error("serve: the block is missing")]
    NoServeBlock,
    /// A required argument is missing.
    #[error("--{0} is missing")]
    MissingArgument(&'static str),
    /// The address of a new replica is malformed.
    #[error("--address: {0:?} is not an address; expected IP:PORT")]
    InvalidAddress(String),
    /// The operation on a permit is unknown.
    #[error("permit {0:?}: expected ask, begin, done or void")]
    UnknownPermitOperation(String),
    /// The file for records cannot be opened.
    #[error("--record: {}: {source}", .file.display())]
    RecordFile {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The runtime cannot be created.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The coordinators reject the operation, or are not reached.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The replica did not start, or has stopped.
    #[error(transparent)]
    Coordinator(#[from] CoordinatorError),
    /// The permit is not granted yet. It expires unless the request is repeated within a minute.
    #[error("permit {permit} waits for its turn{}; retry within a minute", blocked_by(.budget))]
    PermitWaiting {
        /// Id of the permit.
        permit: u64,
        /// Name of the budget that blocks it, if one is at its limit.
        budget: Option<String>,
    },
}

fn blocked_by(budget: &Option<String>) -> String {
    budget.as_ref().map(|budget| format!(", blocked by budget {budget:?}")).unwrap_or_default()
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> CommandError {
        CommandError::Coordinator(error.into())
    }
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Coordinator(error) => error.exit_code(),
            CommandError::PermitWaiting { .. } => exit_code::NOT_NOW,
            _ => exit_code::ERROR,
        }
    }
}
