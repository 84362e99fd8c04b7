//! Views of the leases at a revision, which are sent to members.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, LeaseHolder, LeaseId, Revision};

/// One lease as members see it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseView {
    /// The lease.
    pub lease: LeaseId,
    /// Lowest token with which an effect is accepted.
    pub minimum_token: FencingToken,
    /// The holder, unless the lease is free.
    pub holder: Option<LeaseHolder>,
}

/// All leases as members see them, at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterView {
    /// Revision of the last change in the view.
    pub revision: Revision,
    /// The leases.
    pub leases: Vec<LeaseView>,
}
