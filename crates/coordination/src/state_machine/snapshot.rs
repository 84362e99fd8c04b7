//! The snapshot codec.
//!
//! A snapshot consists of its version followed, in postcard, by the state machine, the membership changes of the
//! replicas (since version 2) and the disruption state (since version 3). It is written in the lowest version that can
//! express the state, so that replicas of earlier versions can read it until a newer kind of entry is committed.

use disruption_budget::DisruptionState;
use serde::Deserialize;

use super::{ReplicaChanges, StateMachine};
use crate::hash::fnv1a;

/// Has sessions, names, leases and starts of replicas.
const VERSION_BASE: u16 = 1;
/// Adds membership changes of the replicas.
const VERSION_REPLICA_CHANGES: u16 = 2;
/// Adds the disruption state.
const VERSION_DISRUPTION: u16 = 3;

/// Error for a snapshot that this program cannot read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// Written by a later version of the program.
    #[error(
        "cannot decode the snapshot: it has version {version} and this replica supports versions up to {supported}"
    )]
    UnsupportedVersion {
        /// Version of the snapshot.
        version: u16,
        /// Latest version that this program reads.
        supported: u16,
    },
    /// The bytes are not a snapshot.
    #[error("cannot decode the snapshot: {0}")]
    Malformed(#[from] postcard::Error),
}

impl StateMachine {
    /// Encodes the state: the version of the snapshot, then the parts of that version.
    pub fn snapshot(&self) -> Vec<u8> {
        let encoded = if self.disruption != DisruptionState::default() {
            postcard::to_stdvec(&(VERSION_DISRUPTION, self, &self.replica_changes, &self.disruption))
        } else if self.replica_changes != ReplicaChanges::default() {
            postcard::to_stdvec(&(VERSION_REPLICA_CHANGES, self, &self.replica_changes))
        } else {
            postcard::to_stdvec(&(VERSION_BASE, self))
        };
        encoded.unwrap_or_default()
    }

    /// Decodes a snapshot of any version up to the current one.
    ///
    /// # Errors
    /// Returns [`SnapshotError`] if the snapshot is of a later version or malformed.
    pub fn restore(bytes: &[u8]) -> Result<StateMachine, SnapshotError> {
        let (version, parts): (u16, &[u8]) = postcard::take_from_bytes(bytes)?;
        match version {
            VERSION_BASE => decode(parts),
            VERSION_REPLICA_CHANGES => {
                let (state, replica_changes): (StateMachine, ReplicaChanges) = decode(parts)?;
                Ok(StateMachine { replica_changes, ..state })
            }
            VERSION_DISRUPTION => {
                let (state, replica_changes, disruption): (StateMachine, _, _) = decode(parts)?;
                let disruption_revision = state.revision;
                Ok(StateMachine { replica_changes, disruption, disruption_revision, ..state })
            }
            _ => Err(SnapshotError::UnsupportedVersion { version, supported: VERSION_DISRUPTION }),
        }
    }

    /// Returns the FNV-1a hash of the snapshot, equal on replicas that applied the same entries.
    pub fn digest(&self) -> u64 {
        fnv1a(&self.snapshot())
    }
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, SnapshotError> {
    Ok(postcard::from_bytes(bytes)?)
}
