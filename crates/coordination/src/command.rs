//! Commands: the log entries that change the state machine, and their versions.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, LeaseId, Revision, SessionId};

/// Has sessions, leases and starts of replicas.
const VERSION_BASE: u16 = 1;
/// Adds replacements of replicas.
const VERSION_REPLICA_CHANGES: u16 = 2;
/// Adds the disruption state.
const VERSION_DISRUPTION: u16 = 3;

/// Latest version of log entries that this program writes and reads.
pub const COMMAND_VERSION: u16 = VERSION_DISRUPTION;

/// A change of the state machine, as an entry of the replicated log.
///
/// The order of variants and fields is the format of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a member. Idempotent for the same `boot_id`.
    OpenSession {
        /// Name of the member.
        name: String,
        /// Random number that the member's process drew at its start.
        boot_id: u64,
        /// Zone of the member; empty if it has none.
        zone: String,
        /// Address at which other members reach this member.
        address: String,
        /// Leases that the member may be granted.
        eligible_leases: Vec<LeaseId>,
        /// Whether the current session of the name, which this one supersedes, was short by the leader's clock.
        short_lived: bool,
    },
    /// Ends a session at the member's request, which frees its leases at once.
    CloseSession {
        /// The session.
        session: SessionId,
        /// Whether the session was short, by the leader's clock.
        short_lived: bool,
    },
    /// Ends a session that was not renewed in time.
    ExpireSession {
        /// The session.
        session: SessionId,
        /// Whether the session was short, by the leader's clock.
        short_lived: bool,
    },
    /// Marks a session as stable after its stability period, so that it may hold leases.
    MarkSessionStable {
        /// The session.
        session: SessionId,
    },
    /// Grants a lease if it is free and was not fenced again after `fencing_revision`.
    GrantLease {
        /// The lease.
        lease: LeaseId,
        /// Session that becomes the holder.
        session: SessionId,
        /// Fencing revision that all older sessions have acknowledged.
        fencing_revision: Revision,
    },
    /// Ends a term, at the request of its holder or an operator, or to rebalance.
    ReleaseLease {
        /// The lease.
        lease: LeaseId,
        /// Token of the term; a term with another token is not ended.
        token: FencingToken,
        /// Whether the holder must become stable again before it is granted a lease.
        reset_stability: bool,
    },
    /// Records the start of a replica.
    RecordReplicaStart {
        /// Number of the replica.
        replica: u64,
        /// Start count of the replica's store.
        starts: u64,
    },
    /// Begins the replacement of a replica by a new one. Since version 2.
    ReplaceReplica {
        /// Number of the replica that is retired.
        old: u64,
        /// Number of the new replica, never used before.
        new: u64,
        /// Address of the new replica.
        address: String,
    },
    /// Ends a replacement: the new replica votes and the old one does not. Since version 2.
    CompleteReplacement {
        /// Number of the retired replica.
        old: u64,
    },
    /// Changes budgets, targets or permits for planned unavailability. Since version 3.
    Disruption(disruption_budget::DisruptionCommand),
}

/// A log entry that this program cannot apply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommandDecodeError {
    /// Written by a later version of the program. The replica must stop, because skipping the entry would make its
    /// state diverge.
    #[error(
        "a log entry has version {version} and this replica supports versions up to {supported}: it stops rather than \
         skip a committed entry; upgrade this replica"
    )]
    UnsupportedVersion {
        /// Version of the entry.
        version: u16,
        /// Latest version that the replica supports.
        supported: u16,
    },
    /// The bytes are not an entry.
    #[error("cannot decode the log entry: {0}")]
    Malformed(#[from] postcard::Error),
    /// The entry is followed by more bytes.
    #[error("cannot decode the log entry: {count} trailing bytes")]
    TrailingBytes {
        /// Number of trailing bytes.
        count: usize,
    },
}

impl Command {
    /// Encodes the command for the log: its version, then the command.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.version(), self)).unwrap_or_default()
    }

    /// Returns the lowest version that has this command. Entries are encoded with this version, so replicas of earlier
    /// versions can read the log until a newer command is used.
    pub fn version(&self) -> u16 {
        match self {
            Command::Disruption(_) => VERSION_DISRUPTION,
            Command::ReplaceReplica { .. } | Command::CompleteReplacement { .. } => VERSION_REPLICA_CHANGES,
            _ => VERSION_BASE,
        }
    }

    /// Decodes an entry of any version up to [`COMMAND_VERSION`].
    ///
    /// # Errors
    /// Returns [`CommandDecodeError`] if the entry is of a later version or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Command, CommandDecodeError> {
        Command::decode_with_supported_version(COMMAND_VERSION, bytes)
    }

    /// Decodes an entry as a replica that supports versions up to `supported`.
    ///
    /// # Errors
    /// Returns [`CommandDecodeError`] if the entry is of a later version or malformed.
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
