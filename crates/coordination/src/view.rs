//! What members are notified of: every lease at a revision.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, LeaseHolder, LeaseId, Revision};

/// One lease as members see it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseView {
    /// The lease.
    pub lease: LeaseId,
    /// Effects with a lower token are rejected.
    pub minimum_token: FencingToken,
    /// The holder, unless the lease is free.
    pub holder: Option<LeaseHolder>,
}

/// All leases as members see them, at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterView {
    /// The revision of the last change that it contains.
    pub revision: Revision,
    /// The leases.
    pub leases: Vec<LeaseView>,
}
