//! Numbers that identify sessions, log positions and terms of leases.

use serde::{Deserialize, Serialize};

/// Microseconds on the reader's monotonic clock. Readings of two processes are never compared.
pub type Micros = u64;

/// A position in the replicated log, and so the version of all state that follows from it.
pub type Revision = u64;

/// A session of a member: the position of the log entry that opened it, so it is unique.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// A fencing token. A later grant has a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// Who holds a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The session that the lease was granted to.
    pub session: SessionId,
    /// The fencing token of that grant.
    pub token: FencingToken,
}
