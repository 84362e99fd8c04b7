//! Errors that stop a coordinator, and their exit codes.

use std::io;
use std::net::SocketAddr;

use cluster_member::wire::HandshakeRejection;
use coordination::{CommandDecodeError, Revision, SnapshotError};
use protobuf::ProtobufError;

use crate::exit_code;
use crate::store::StoreError;

/// Error that prevents the start of a coordinator or stops it.
#[derive(Debug, thiserror::Error)]
pub enum CoordinatorError {
    /// The store cannot be used. Free disk space, or replace the replica by a new one.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A later version wrote the snapshot or a log entry, which must not be skipped. Run a version that supports it.
    #[error(transparent)]
    UnsupportedFormat(#[from] UnsupportedFormat),
    /// A peer has seen another store of this replica, or a later state of it. Replace the replica.
    #[error("replica {peer} rejected the handshake: {rejection}")]
    StaleStore {
        /// Number of the peer.
        peer: u64,
        /// Reason given by the peer.
        rejection: HandshakeRejection,
    },
    /// Raft found its state inconsistent. Replace the replica.
    #[error("raft failed: {0}")]
    Raft(#[from] raft::Error),
    /// Another replica has replaced this one. No action is needed.
    #[error("replica {replica_id} was replaced by another one and is no longer needed")]
    Replaced {
        /// Number of this replica.
        replica_id: u64,
    },
    /// The address cannot be bound. Change `serve.listen`, or stop the process that uses it.
    #[error("serve.listen: {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The signal handler cannot be installed.
    #[error("{0}")]
    SignalHandler(#[source] io::Error),
    /// The histogram of commit latencies cannot be created.
    #[error("{0}")]
    LatencyHistogram(#[from] hdrhistogram::CreationError),
}

/// Committed data in a format that this version does not support.
#[derive(Debug, thiserror::Error)]
pub enum UnsupportedFormat {
    /// Snapshot of the replicated state.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// Command in the log.
    #[error("at entry {index}: {source}")]
    Command {
        /// Index of the log entry.
        index: Revision,
        /// Cause.
        source: CommandDecodeError,
    },
    /// Change of the Raft configuration in the log.
    #[error("at entry {index}: cannot decode the change of the Raft configuration: {source}")]
    ConfigurationChange {
        /// Index of the log entry.
        index: Revision,
        /// Cause.
        source: ProtobufError,
    },
}

impl CoordinatorError {
    /// Returns the exit code of a process that stops with this error.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            CoordinatorError::Listen { .. }
            | CoordinatorError::SignalHandler(_)
            | CoordinatorError::LatencyHistogram(_) => exit_code::ERROR,
            CoordinatorError::StaleStore { .. } => exit_code::STALE_STORE,
            CoordinatorError::Store(_) => exit_code::STORE_UNUSABLE,
            CoordinatorError::UnsupportedFormat(_) => exit_code::UNSUPPORTED_FORMAT,
            CoordinatorError::Raft(_) => exit_code::RAFT_FAILED,
            CoordinatorError::Replaced { .. } => exit_code::REPLACED,
        }
    }
}
