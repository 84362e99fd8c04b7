//! Limits on the size of the state machine.

/// Maximum number of open sessions.
pub const MAX_SESSIONS: usize = 2_048;

/// Maximum number of leases, held or free.
pub const MAX_LEASES: usize = 4_096;

/// Maximum number of leases that one member is eligible for.
pub const MAX_ELIGIBLE_LEASES: usize = 128;

/// Maximum length of a name, a zone or an address, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// Maximum number of names with a history: one for each open session, and as many for names without a session.
pub(crate) const MAX_NAME_HISTORIES: usize = 2 * MAX_SESSIONS;

/// Maximum number of boot ids in the history of a name. A process that was superseded is rejected only while its boot
/// id is in the history.
pub(crate) const MAX_REMEMBERED_BOOT_IDS: usize = 8;
