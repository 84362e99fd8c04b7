//! Identifiers of sessions, log positions and terms of leases.

use serde::{Deserialize, Serialize};

/// Microseconds on the caller's monotonic clock; never compared between processes.
pub type Micros = u64;

/// A position in the replicated log, which is the version of the state at this position.
pub type Revision = u64;

/// Identifies a session by the position of the log entry that opened it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// Fencing token of a grant. Later grants have higher tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// Holder of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Session that the lease was granted to.
    pub session: SessionId,
    /// Fencing token of the grant.
    pub token: FencingToken,
}
