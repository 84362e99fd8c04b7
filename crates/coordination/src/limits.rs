//! Bounds on what the state machine holds.

/// The most sessions at a time.
pub const MAX_SESSIONS: usize = 2_048;

/// The most leases, held or free.
pub const MAX_LEASES: usize = 4_096;

/// The most leases that one member is eligible for.
pub const MAX_ELIGIBLE_LEASES: usize = 128;

/// The most bytes of a name, a zone or an address.
pub const MAX_TEXT_BYTES: usize = 128;

/// The most names of which a history is kept: those with a session, and as many without.
pub(crate) const MAX_NAME_HISTORIES: usize = 2 * MAX_SESSIONS;

/// The most processes of one name that are remembered, so that an old one is recognized when it comes back.
pub(crate) const MAX_REMEMBERED_BOOT_IDS: usize = 8;
