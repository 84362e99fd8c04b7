//! Keepers: three or five processes that agree by Raft who is a member of the fleet and who owns which duty.
//!
//! [`disk`] keeps what has to outlive the process, [`node`] drives Raft and the replicated state without sockets or
//! clock of its own, [`serve`] gives it both, [`config`] reads what is set, [`ctl`] asks for an operator.

pub mod config;
pub mod ctl;
pub mod disk;
pub mod node;
pub mod serve;

/// Why a keeper stops.
#[derive(Debug)]
pub enum Stop {
    /// What is on the disk cannot be used, or nothing can be written to it.
    Disk(String),
    /// Something was agreed on that this program does not know.
    Later(String),
    /// Others know better what this disk was.
    OldDisk(String),
    /// Raft refused to go on.
    Raft(String),
    /// Another keeper has taken this one's place.
    Replaced(String),
    /// What was asked for has to wait.
    NotNow(String),
    /// The address cannot be listened at, or another fault at the start.
    Start(String),
}

impl Stop {
    /// What the process ends with.
    pub fn code(&self) -> u8 {
        match self {
            Stop::Start(_) => 1,
            Stop::OldDisk(_) => 3,
            Stop::Disk(_) => 4,
            Stop::Later(_) => 5,
            Stop::Raft(_) => 6,
            Stop::Replaced(_) => 7,
            Stop::NotNow(_) => 8,
        }
    }
}

impl std::fmt::Display for Stop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (Stop::Disk(why)
        | Stop::Later(why)
        | Stop::OldDisk(why)
        | Stop::Raft(why)
        | Stop::Replaced(why)
        | Stop::NotNow(why)
        | Stop::Start(why)) = self;
        f.write_str(why)
    }
}

impl std::error::Error for Stop {}
