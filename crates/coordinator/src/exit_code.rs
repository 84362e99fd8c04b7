//! Exit codes of the program. Scripts and service managers rely on them.

/// Any error without an exit code of its own.
pub const ERROR: u8 = 1;
/// The arguments are invalid.
pub const BAD_USAGE: u8 = 2;
/// A peer rejected the store: it is an old copy, or not the store that the peer has recorded for this replica.
pub const STALE_STORE: u8 = 3;
/// The store cannot be used.
pub const STORE_UNUSABLE: u8 = 4;
/// The log or a snapshot has a format that this version does not support.
pub const UNSUPPORTED_FORMAT: u8 = 5;
/// Raft failed.
pub const RAFT_FAILED: u8 = 6;
/// Another replica has replaced this one.
pub const REPLACED: u8 = 7;
/// The request cannot be granted now; a retry may succeed.
pub const NOT_NOW: u8 = 8;
