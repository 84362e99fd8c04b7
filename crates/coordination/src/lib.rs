//! Leases with fencing tokens for the members of a fleet, as a replicated state machine.
//!
//! The package is pure: no clock, no I/O, no randomness. Times are passed in as microseconds.
//!
//! A *lease* is the exclusive right of one member to do one task on behalf of all members. It has at most one holder.
//! Each grant begins a *term* of the lease with a new *fencing token*, higher than that of every earlier grant. A
//! holder sends *effects* with its token, and the members that receive them check the token. The safety invariants,
//! which the checkers and the model verify:
//!
//! 1. **Tokens are monotonic.** They are assigned by the replicated log, one for each grant, and never reused.
//! 2. **A term ends at every receiver before the next begins.** A lease that lost its holder is *fenced* first: every
//!    session older than the fencing revision has either acknowledged it or has ended. Only then is the lease granted
//!    again, so no receiver accepts an effect of the old term once the new one is granted.
//! 3. **A receiver without a session rejects every effect**, since its minimum tokens may be stale.
//! 4. **A holder acts only while its session lasts.** It measures the session on its own clock, from the time at which
//!    it requested the latest renewal, and checks it immediately before each effect.
//!
//! Expiry gives liveness: a member that does not respond delays the next grant only until its session expires (2).
//! Tokens give safety even if clocks drift by more than [`Timing::max_clock_skew_ppm`]: a receiver that was notified of
//! a higher token rejects the effect of an earlier holder.
//!
//! | type | role |
//! | --- | --- |
//! | [`StateMachine`] | replicated state, changed by [`Command`]s of the log alone |
//! | [`LeaderState`] | volatile state of the leading replica: expiry, assignment of leases |
//! | [`LeaseClient`] | a member's session and leases, and its check of effects |
//! | [`Timing`] | durations of sessions, leases and elections, and the bound on clock drift |

mod command;
mod hash;
mod injected_bug;
mod leader_state;
mod lease_assigner;
mod lease_client;
mod lease_id;
mod limits;
mod outcome;
mod session_monitor;
mod state_machine;
mod timing;
mod types;
mod view;

pub use command::{Command, CommandDecodeError, COMMAND_VERSION};
pub use injected_bug::InjectedBug;
pub use leader_state::LeaderState;
pub use lease_assigner::REBALANCE_THRESHOLD;
pub use lease_client::{ClientSession, EffectCounts, EffectRejection, HeldLease, LeaseClient};
pub use lease_id::{LeaseId, LeaseIdParseError, LeaseScope};
pub use limits::{MAX_ELIGIBLE_LEASES, MAX_LEASES, MAX_SESSIONS, MAX_TEXT_BYTES};
pub use outcome::{CommandOutcome, CommandRejection};
pub use state_machine::{Lease, ReplicaReplacement, Session, SnapshotError, StateMachine};
pub use timing::{Timing, TimingError};
pub use types::{FencingToken, LeaseHolder, Micros, Revision, SessionId};
pub use view::{ClusterView, LeaseView};
