//! Why a command fails, and the exit code for it.

use std::io;
use std::path::PathBuf;

use coordinator::config::ConfigError;
use coordinator::operator_client::OperatorError;
use coordinator::store::StoreError;
use coordinator::CoordinatorError;

const FAULT: u8 = 1;
const NOT_NOW: u8 = 8;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// The settings file or a file of budgets cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings file is not of a coordinator that serves.
    #[error("serve: the block is missing")]
    NoServeBlock,
    /// An argument is missing that the command needs.
    #[error("--{0} is missing")]
    MissingArgument(&'static str),
    /// The address of a new coordinator is none.
    #[error("--address: {0:?} is not an address; expected IP:PORT")]
    InvalidAddress(String),
    /// A word where one of the steps of a permit is expected.
    #[error("permit {0:?}: wanted ask, begin, done or void")]
    UnknownPermitVerb(String),
    /// The file for records cannot be opened.
    #[error("--record: {}: {source}", .file.display())]
    RecordFile {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The runtime cannot be set up.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The coordinators reject the operation, or are not reached.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A coordinator does not start, or has stopped.
    #[error(transparent)]
    Coordinator(#[from] CoordinatorError),
    /// The permit is not granted yet. Retry within a minute, or it is cancelled.
    #[error("permit {permit} waits for its turn{}; ask again within a minute", blocked_by(.budget))]
    PermitWaiting {
        /// The permit.
        permit: u64,
        /// The budget that does not allow it, if one is at its limit.
        budget: Option<String>,
    },
}

fn blocked_by(budget: &Option<String>) -> String {
    budget.as_ref().map(|budget| format!(", held by budget {budget:?}")).unwrap_or_default()
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> CommandError {
        CommandError::Coordinator(error.into())
    }
}

impl CommandError {
    /// The exit code of the process.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Coordinator(error) => error.exit_code(),
            CommandError::PermitWaiting { .. } => NOT_NOW,
            _ => FAULT,
        }
    }
}
