//! Slow start: the holder of one lease hands out, by measured use, what workers that started lately tolerate from all
//! dispatchers together. Pure: no I/O and no clock; randomness comes in as numbers.
//!
//! A worker in slow start tolerates [`QuotaConfig::tolerated_work`] over a stated window, from all dispatchers together.
//! Two parts of it are used, which do not know of each other:
//!
//! - the *planned share*: each dispatcher has a part without asking anybody, all of them a fourth of it over a slice, so
//!   half of it at the most over any window, which may meet two slices;
//! - *grants*: at most [`QuotaConfig::grantable_fraction`] of it over any window, allocated by the lease holder.
//!
//! So whoever uses which, the sum stays within the whole, in any mix of members with and without grants, with and
//! without a coordinator. What holds of grants, and how:
//!
//! 1. *A grant is usable for [`QuotaConfig::grant_ttl`] at the most after it was made.* A receiver counts from a reading
//!    of its own clock that the allocator had received before, as a lease counts from before it was requested.
//! 2. *A grant is used once.* It names the process that it is for, and each message of a term is accepted once.
//! 3. *What was granted counts until it can be used nowhere any more*: for the window, the time to live and the time in
//!    which what was spent is delivered, with the bound on clock rates.
//! 4. *A new lease holder takes all that the one before may have granted for spent*: it grants nothing for that long.

mod allocator;
mod endpoint_ages;
mod granted_quota;
mod messages;
mod profile;

pub use allocator::QuotaAllocator;
pub use endpoint_ages::EndpointAges;
pub use granted_quota::{GrantedQuota, UsableQuota};
pub use messages::{Grant, QuotaGrants, UsageReport};
pub use profile::{QuotaConfig, SlowStartProfile};

/// The name of the lease.
pub const SLOW_START_LEASE: &str = "cold";
