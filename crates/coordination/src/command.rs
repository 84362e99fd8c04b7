//! Log entries and their versions.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, LeaseId, Revision, SessionId};

/// Sessions, leases and starts of replicas.
const VERSION_BASE: u16 = 1;
/// The same with replacements of replicas.
const VERSION_REPLICA_CHANGES: u16 = 2;
/// The same with the disruption state.
const VERSION_DISRUPTION: u16 = 3;

/// The latest version of log entries that this program writes and reads.
pub const COMMAND_VERSION: u16 = VERSION_DISRUPTION;

/// A change of the state machine, as an entry of the replicated log.
///
/// The order of variants and fields is the format of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a member. Idempotent for the same `boot_id`.
    OpenSession {
        /// The member's name.
        name: String,
        /// A number that the member's process drew at its start.
        boot_id: u64,
        /// The member's zone, or empty.
        zone: String,
        /// Where other members reach it.
        address: String,
        /// The leases that it may be granted.
        eligible_leases: Vec<LeaseId>,
        /// Whether the session that this one supersedes was short, by the leader's clock.
        short_lived: bool,
    },
    /// Ends a session at the member's wish; its leases are free at once.
    CloseSession {
        /// The session.
        session: SessionId,
        /// Whether it was short, by the leader's clock.
        short_lived: bool,
    },
    /// Ends a session that was not renewed in time.
    ExpireSession {
        /// The session.
        session: SessionId,
        /// Whether it was short, by the leader's clock.
        short_lived: bool,
    },
    /// A session lasted its stability period and may hold leases.
    MarkSessionStable {
        /// The session.
        session: SessionId,
    },
    /// Grants a lease, if it is still free since `fencing_revision`.
    GrantLease {
        /// The lease.
        lease: LeaseId,
        /// The holder to be.
        session: SessionId,
        /// The fencing revision that all older sessions have acknowledged.
        fencing_revision: Revision,
    },
    /// Ends a term, at the wish of its holder or of an operator, or to rebalance.
    ReleaseLease {
        /// The lease.
        lease: LeaseId,
        /// The token of the term; any other term goes on.
        token: FencingToken,
        /// Whether the holder has to become stable again before it is granted a lease.
        reset_stability: bool,
    },
    /// A replica was started.
    RecordReplicaStart {
        /// The replica's number.
        replica: u64,
        /// How often its disk was started.
        starts: u64,
    },
    /// Begins the replacement of a replica by a new one. Since version 2.
    ReplaceReplica {
        /// The number of the replica that is retired.
        old: u64,
        /// The number of the new replica; it was never used before.
        new: u64,
        /// The address of the new replica.
        address: String,
    },
    /// The new replica votes and the old one does not. Since version 2.
    CompleteReplacement {
        /// The number of the retired replica.
        old: u64,
    },
    /// Changes budgets, targets or permits for planned unavailability. Since version 3.
    Disruption(disruption_budget::DisruptionCommand),
}

/// A log entry that this program cannot apply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommandDecodeError {
    /// Written by a later program. The replica has to stop: skipping the entry would let its state diverge.
    #[error(
        "a log entry has version {version} and this replica supports versions up to {supported}: it stops rather than skip \
         a committed entry; upgrade this replica"
    )]
    UnsupportedVersion {
        /// The version of the entry.
        version: u16,
        /// The latest version that the replica reads.
        supported: u16,
    },
    /// The bytes are not an entry.
    #[error("cannot decode the log entry: {0}")]
    Malformed(#[from] postcard::Error),
    /// The entry is followed by more bytes.
    #[error("cannot decode the log entry: {count} trailing bytes")]
    TrailingBytes {
        /// How many.
        count: usize,
    },
}

impl Command {
    /// The bytes for the log: the version, then the command.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.version(), self)).unwrap_or_default()
    }

    /// The first version with this command. Replicas of earlier versions read the log until it is used.
    pub fn version(&self) -> u16 {
        match self {
            Command::Disruption(_) => VERSION_DISRUPTION,
            Command::ReplaceReplica { .. } | Command::CompleteReplacement { .. } => VERSION_REPLICA_CHANGES,
            _ => VERSION_BASE,
        }
    }

    /// Reads an entry of any version up to [`COMMAND_VERSION`].
    ///
    /// # Errors
    /// The entry is of a later version, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Command, CommandDecodeError> {
        Command::decode_with_supported_version(COMMAND_VERSION, bytes)
    }

    /// Reads an entry as a replica that supports versions up to this one.
    ///
    /// # Errors
    /// The entry is of a later version, or malformed.
    pub fn decode_with_supported_version(
        supported: u16,
        bytes: &[u8],
    ) -> Result<Command, CommandDecodeError> {
        let (version, rest): (u16, &[u8]) = postcard::take_from_bytes(bytes)?;
        if version > supported {
            return Err(CommandDecodeError::UnsupportedVersion { version, supported });
        }
        let (command, rest) = postcard::take_from_bytes(rest)?;
        if rest.is_empty() {
            Ok(command)
        } else {
            Err(CommandDecodeError::TrailingBytes { count: rest.len() })
        }
    }
}
