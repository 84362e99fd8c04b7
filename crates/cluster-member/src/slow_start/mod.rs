//! Slow start: the holder of one lease divides the work that recently started workers tolerate among all dispatchers,
//! by measured usage. Pure: no I/O and no clock; random numbers are parameters.
//!
//! A worker in slow start tolerates [`QuotaConfig::tolerated_work`] over a window from all dispatchers together. Two
//! parts of this work are used independently:
//!
//! - the *planned share*, of which each dispatcher uses its part without coordination. All dispatchers together use a
//!   fourth of the work per time slice, and therefore at most half of it over any window, which may overlap two slices;
//! - *grants*, which the lease holder allocates: at most [`QuotaConfig::grantable_fraction`] over any window.
//!
//! The sum stays within the tolerated work for any mix of members with and without grants, and also without a
//! coordinator.
//!
//! Invariants of grants:
//!
//! 1. *A grant is usable for at most [`QuotaConfig::grant_ttl`] after it was made.* A receiver measures this time from a
//!    reading of its own clock that the allocator received before it made the grant, as a member measures the duration
//!    of a lease from before its request.
//! 2. *A grant is used at most once.* It names the process that may use it, and a process accepts each message of a term
//!    once.
//! 3. *A grant is accounted for until none of its work can fall into the same window as a new grant.* This takes the sum
//!    of the overload window, the time to live and the delivery timeout, extended by the bound of the clock skew.
//! 4. *A new lease holder assumes that its predecessor granted the whole quota.* It grants nothing for the same period.

mod allocator;
mod endpoint_ages;
mod granted_quota;
mod messages;
mod profile;

pub use allocator::QuotaAllocator;
pub use endpoint_ages::EndpointAges;
pub use granted_quota::{GrantFilter, UsableQuota};
pub use messages::{Grant, QuotaGrants, UsageReport};
pub use profile::{QuotaConfig, SlowStartProfile};

/// Name of the lease whose holder allocates the quotas.
pub const SLOW_START_LEASE: &str = "cold";
