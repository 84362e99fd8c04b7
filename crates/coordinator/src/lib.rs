//! Keepers: three or five processes that agree by Raft who is a member of the fleet and who owns which duty.
//!
//! [`store`] keeps what has to outlive the process, [`replica`] drives Raft and the replicated state without sockets or
//! clock of its own, [`server`] gives it both, [`config`] reads what is set, [`operator`] asks for an operator.

pub mod config;
pub mod operator;
pub mod replica;
pub mod server;
pub mod store;

/// Why a keeper stops.
#[derive(Debug)]
pub enum CoordinatorError {
    /// What is on the disk cannot be used, or nothing can be written to it.
    Store(String),
    /// Something was agreed on that this program does not know.
    UnsupportedFormat(String),
    /// Others know better what this disk was.
    StaleDisk(String),
    /// Raft refused to go on.
    Raft(String),
    /// Another keeper has taken this one's place.
    Replaced(String),
    /// What was asked for has to wait.
    PermitWaiting(String),
    /// The address cannot be listened at, or another fault at the start.
    Startup(String),
}

impl CoordinatorError {
    /// What the process ends with.
    pub fn exit_code(&self) -> u8 {
        match self {
            CoordinatorError::Startup(_) => 1,
            CoordinatorError::StaleDisk(_) => 3,
            CoordinatorError::Store(_) => 4,
            CoordinatorError::UnsupportedFormat(_) => 5,
            CoordinatorError::Raft(_) => 6,
            CoordinatorError::Replaced(_) => 7,
            CoordinatorError::PermitWaiting(_) => 8,
        }
    }
}

impl std::fmt::Display for CoordinatorError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (CoordinatorError::Store(why)
        | CoordinatorError::UnsupportedFormat(why)
        | CoordinatorError::StaleDisk(why)
        | CoordinatorError::Raft(why)
        | CoordinatorError::Replaced(why)
        | CoordinatorError::PermitWaiting(why)
        | CoordinatorError::Startup(why)) = self;
        f.write_str(why)
    }
}

impl std::error::Error for CoordinatorError {}
