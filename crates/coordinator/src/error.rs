//! Why a coordinator stops, and the exit code for it.

use std::io;
use std::net::SocketAddr;

use cluster_member::wire::HandshakeRejection;
use coordination::{CommandDecodeError, Revision, SnapshotError};
use protobuf::ProtobufError;

use crate::store::StoreError;

/// Why a coordinator does not start, or stops.
#[derive(Debug, thiserror::Error)]
pub enum CoordinatorError {
    /// The store cannot be used. Free the disk, or replace the coordinator by a new one.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A later version wrote something that may not be skipped. Run a version that knows it.
    #[error(transparent)]
    UnsupportedFormat(#[from] UnsupportedFormat),
    /// A peer knows that the disk of this coordinator is another one, or an old copy. Replace the coordinator.
    #[error("replica {peer} rejected the handshake: {rejection}")]
    StaleDisk {
        /// The number of the peer.
        peer: u64,
        /// What it said.
        rejection: HandshakeRejection,
    },
    /// Raft found its own state inconsistent. Replace the coordinator.
    #[error("raft failed: {0}")]
    Raft(#[from] raft::Error),
    /// Another coordinator has taken the place of this one. Nothing is left to do.
    #[error("replica {coordinator_id} was replaced by another one and is no longer needed")]
    Replaced {
        /// The number of this coordinator.
        coordinator_id: u64,
    },
    /// The address cannot be listened at. Change `serve.listen`, or end whoever has it.
    #[error("serve.listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The process cannot wait for signals.
    #[error("{0}")]
    SignalHandler(#[source] io::Error),
    /// The histogram of commit latencies cannot be set up.
    #[error("{0}")]
    LatencyHistogram(#[from] hdrhistogram::CreationError),
}

/// What was agreed on in a form that this version does not know.
#[derive(Debug, thiserror::Error)]
pub enum UnsupportedFormat {
    /// A snapshot of the replicated state.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// A command in the log.
    #[error("at entry {index}: {source}")]
    Command {
        /// Its position in the log.
        index: Revision,
        /// Why it cannot be read.
        source: CommandDecodeError,
    },
    /// A change of the Raft configuration in the log.
    #[error("entry {index} cannot be read: {source}")]
    ConfigurationChange {
        /// Its position in the log.
        index: Revision,
        /// Why it cannot be read.
        source: ProtobufError,
    },
}

impl CoordinatorError {
    /// The exit code of the process that stops for this.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            CoordinatorError::Listen { .. }
            | CoordinatorError::SignalHandler(_)
            | CoordinatorError::LatencyHistogram(_) => 1,
            CoordinatorError::StaleDisk { .. } => 3,
            CoordinatorError::Store(_) => 4,
            CoordinatorError::UnsupportedFormat(_) => 5,
            CoordinatorError::Raft(_) => 6,
            CoordinatorError::Replaced { .. } => 7,
        }
    }
}
