//! Lookup of leases that this member holds.

use cluster_member::member::Member;
use coordination::{FencingToken, LeaseId};

/// Returns the fencing token of this member's term of a lease, or `None` if the member does not hold it.
pub(in crate::net) fn held_token(member: &Member, lease: &LeaseId) -> Option<FencingToken> {
    let leases = member.held_leases();
    leases.into_iter().find(|held| held.lease == *lease).map(|held| held.token)
}
