//! Limits on the size of the state machine.

/// Maximum number of open sessions.
pub const MAX_SESSIONS: usize = 2_048;

/// Maximum number of leases, held or free.
pub const MAX_LEASES: usize = 4_096;

/// Maximum number of leases that one member is eligible for.
pub const MAX_ELIGIBLE_LEASES: usize = 128;

/// Maximum length of a name, a zone or an address, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// Maximum number of names with a history: those with a session, and as many without.
pub(crate) const MAX_NAME_HISTORIES: usize = 2 * MAX_SESSIONS;

/// Maximum number of processes that the history of a name records, so that an earlier one is recognized.
pub(crate) const MAX_REMEMBERED_BOOT_IDS: usize = 8;
