//! What stands in the keepers' log, with its version.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, LeaseId, Revision, SessionId};

/// The version that this program writes. An entry of a higher one stops the keeper: it may not be skipped.
pub const COMMAND_VERSION: u16 = 3;

/// A change of the state, as agreed on.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A member wants a session. Saying so twice with the same `boot` gives the same session.
    OpenSession {
        /// The member's name.
        name: String,
        /// A number drawn by the member's process at its start.
        boot_id: u64,
        /// The member's zone, or nothing.
        zone: String,
        /// Where other members reach it.
        address: String,
        /// The duties that it may be given.
        eligible_leases: Vec<LeaseId>,
        /// Whether the session that this one takes over from was short, by the leading keeper's clock.
        short_lived: bool,
    },
    /// A member goes; its duties are free at once.
    CloseSession {
        /// Whose session.
        session: SessionId,
        /// Whether its life was short, by the leading keeper's clock.
        short_lived: bool,
    },
    /// A session was not renewed in time.
    ExpireSession {
        /// The session.
        session: SessionId,
        /// Whether its life was short, by the leading keeper's clock.
        short_lived: bool,
    },
    /// A session stayed long enough to be given duties.
    MarkSessionStable {
        /// The session.
        session: SessionId,
    },
    /// A duty gets an owner, if it is still free since `fenced`.
    GrantLease {
        /// The duty.
        lease: LeaseId,
        /// The owner to be.
        session: SessionId,
        /// The fence that all older sessions have seen.
        fencing_revision: Revision,
    },
    /// An owner's term is over, by its own wish or an operator's.
    ReleaseLease {
        /// The duty.
        lease: LeaseId,
        /// The term meant; another one is left alone.
        token: FencingToken,
        /// Whether the owner is not to be given it again for now.
        reset_stability: bool,
    },
    /// A keeper was started, for the so-manieth time on its disk.
    RecordReplicaStart {
        /// Its number.
        replica: u64,
        /// How often its disk was started.
        starts: u64,
    },
    /// A keeper is to be replaced by a new one. Since version 2.
    ReplaceReplica {
        /// The one that goes.
        old: u64,
        /// The one that comes; its number was never used.
        new: u64,
        /// Where the new one is reached.
        address: String,
    },
    /// The new keeper votes and the old one does not. Since version 2.
    CompleteReplacement {
        /// The one that went.
        old: u64,
    },
    /// The account of who may be out changes. Since version 3.
    Disruption(disruption_budget::DisruptionCommand),
}

/// An entry that this program cannot apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandDecodeError {
    /// Written by a later version than this one knows.
    UnsupportedVersion(u16, u16),
    /// Not what a keeper writes.
    Malformed(String),
}

impl std::fmt::Display for CommandDecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CommandDecodeError::UnsupportedVersion(version, supported) => write!(
                f,
                "an entry has version {version} and this keeper knows up to {supported}: it stops rather than skip what was \
                 agreed; run a newer keeper"
            ),
            CommandDecodeError::Malformed(why) => write!(f, "an entry cannot be read: {why}"),
        }
    }
}

impl std::error::Error for CommandDecodeError {}

impl Command {
    /// The bytes for the log: the version, then the command.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.version(), self)).unwrap_or_default()
    }

    /// The first version that supported it: keepers of the version before read on until something new is agreed on.
    pub fn version(&self) -> u16 {
        match self {
            Command::Disruption(_) => 3,
            Command::ReplaceReplica { .. } | Command::CompleteReplacement { .. } => 2,
            _ => 1,
        }
    }

    /// Reads an entry.
    pub fn decode(bytes: &[u8]) -> Result<Command, CommandDecodeError> {
        Command::decode_with_supported_version(COMMAND_VERSION, bytes)
    }

    /// The same by a keeper that supported entries up to this version.
    pub fn decode_with_supported_version(
        supported: u16,
        bytes: &[u8],
    ) -> Result<Command, CommandDecodeError> {
        let malformed = |error: postcard::Error| CommandDecodeError::Malformed(error.to_string());
        let (version, rest): (u16, _) = postcard::take_from_bytes(bytes).map_err(malformed)?;
        if version > supported {
            return Err(CommandDecodeError::UnsupportedVersion(version, supported));
        }
        match postcard::take_from_bytes(rest).map_err(malformed)? {
            (command, []) => Ok(command),
            (_, rest) => Err(CommandDecodeError::Malformed(format!("{} bytes too many", rest.len()))),
        }
    }
}
