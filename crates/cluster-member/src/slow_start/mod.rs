//! Slow start: the holder of one lease allocates, by measured usage, the work that recently started workers tolerate from
//! all dispatchers together. Pure: no I/O and no clock; random numbers are parameters.
//!
//! A worker in slow start tolerates [`QuotaConfig::tolerated_work`] over a window, from all dispatchers together. Two
//! parts of it are used independently:
//!
//! - the *planned share*: each dispatcher has a part without coordination; all of them together use a fourth per slice,
//!   hence at most half over any window, which may meet two slices;
//! - *grants*: at most [`QuotaConfig::grantable_fraction`] over any window, allocated by the lease holder.
//!
//! The sum stays within the tolerated work in any mix of members with and without grants, with and without a coordinator.
//! Invariants of grants:
//!
//! 1. *A grant is usable for at most [`QuotaConfig::grant_ttl`] after it was made.* A receiver counts from a reading of its
//!    own clock that the allocator had received before, as a lease counts from before its request.
//! 2. *A grant is used once.* It names its process, and each message of a term is accepted once.
//! 3. *A grant is accounted for until no process can use it*: for the window, the time to live and the delivery timeout,
//!    with the bound on clock rates.
//! 4. *A new lease holder assumes that its predecessor granted the whole quota*: it grants nothing for that period.

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

/// Name of the lease.
pub const SLOW_START_LEASE: &str = "cold";
