//! What stands in the keepers' log, with its version.

use serde::{Deserialize, Serialize};

use crate::{DutyId, Revision, SessionId, Token};

/// The version that this program writes. An entry of a higher one stops the keeper: it may not be skipped.
pub const COMMAND_VERSION: u16 = 3;

/// A change of the state, as agreed on.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A member wants a session. Saying so twice with the same `boot` gives the same session.
    Join {
        /// The member's name.
        name: String,
        /// A number drawn by the member's process at its start.
        boot: u64,
        /// The member's zone, or nothing.
        zone: String,
        /// Where other members reach it.
        address: String,
        /// The duties that it may be given.
        offers: Vec<DutyId>,
        /// Whether the session that this one takes over from was short, by the leading keeper's clock.
        short: bool,
    },
    /// A member goes; its duties are free at once.
    Leave {
        /// Whose session.
        session: SessionId,
        /// Whether its life was short, by the leading keeper's clock.
        short: bool,
    },
    /// A session was not renewed in time.
    End {
        /// The session.
        session: SessionId,
        /// Whether its life was short, by the leading keeper's clock.
        short: bool,
    },
    /// A session stayed long enough to be given duties.
    Settle {
        /// The session.
        session: SessionId,
    },
    /// A duty gets an owner, if it is still free since `fenced`.
    Grant {
        /// The duty.
        duty: DutyId,
        /// The owner to be.
        session: SessionId,
        /// The fence that all older sessions have seen.
        fenced: Revision,
    },
    /// An owner's term is over, by its own wish or an operator's.
    Release {
        /// The duty.
        duty: DutyId,
        /// The term meant; another one is left alone.
        token: Token,
        /// Whether the owner is not to be given it again for now.
        unsettle: bool,
    },
    /// A keeper was started, for the so-manieth time on its disk.
    KeeperStarted {
        /// Its number.
        keeper: u64,
        /// How often its disk was started.
        boots: u64,
    },
    /// A keeper is to be replaced by a new one. Since version 2.
    ReplaceKeeper {
        /// The one that goes.
        old: u64,
        /// The one that comes; its number was never used.
        new: u64,
        /// Where the new one is reached.
        address: String,
    },
    /// The new keeper votes and the old one does not. Since version 2.
    KeeperReplaced {
        /// The one that went.
        old: u64,
    },
    /// The account of who may be out changes. Since version 3.
    Account(disruption_budget::DisruptionCommand),
}

/// An entry that this program cannot apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandFault {
    /// Written by a later version than this one knows.
    Later(u16, u16),
    /// Not what a keeper writes.
    Malformed(String),
}

impl std::fmt::Display for CommandFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CommandFault::Later(version, knows) => write!(
                f,
                "an entry has version {version} and this keeper knows up to {knows}: it stops rather than skip what was \
                 agreed; run a newer keeper"
            ),
            CommandFault::Malformed(why) => write!(f, "an entry cannot be read: {why}"),
        }
    }
}

impl std::error::Error for CommandFault {}

impl Command {
    /// The bytes for the log: the version, then the command.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.version(), self)).unwrap_or_default()
    }

    /// The first version that knows it: keepers of the version before read on until something new is agreed on.
    pub fn version(&self) -> u16 {
        match self {
            Command::Account(_) => 3,
            Command::ReplaceKeeper { .. } | Command::KeeperReplaced { .. } => 2,
            _ => 1,
        }
    }

    /// Reads an entry.
    pub fn decode(bytes: &[u8]) -> Result<Command, CommandFault> {
        Command::decode_up_to(COMMAND_VERSION, bytes)
    }

    /// The same by a keeper that knows entries up to this version.
    pub fn decode_up_to(knows: u16, bytes: &[u8]) -> Result<Command, CommandFault> {
        let malformed = |error: postcard::Error| CommandFault::Malformed(error.to_string());
        let (version, rest): (u16, _) = postcard::take_from_bytes(bytes).map_err(malformed)?;
        if version > knows {
            return Err(CommandFault::Later(version, knows));
        }
        match postcard::take_from_bytes(rest).map_err(malformed)? {
            (command, []) => Ok(command),
            (_, rest) => Err(CommandFault::Malformed(format!("{} bytes too many", rest.len()))),
        }
    }
}
