//! Format of the store's file: name, tables, keys and header.

use redb::TableDefinition;
use serde::{Deserialize, Serialize};

/// Version of the format.
pub(super) const STORE_FORMAT: u32 = 1;
pub(super) const STORE_FILE: &str = "keeper.redb";

/// Header, hard state and snapshot, by the keys below.
pub(super) const META_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
/// Entries of the log, by index.
pub(super) const LOG_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
/// Identities of the peers' stores, by the number of the peer.
pub(super) const PEERS_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("peers");

pub(super) const HEADER_KEY: &str = "label";
pub(super) const HARD_STATE_KEY: &str = "hard";
pub(super) const SNAPSHOT_KEY: &str = "snapshot";

/// Header of the store. Only the start count changes during the life of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoreHeader {
    pub(super) format: u32,
    pub(super) installation: String,
    pub(super) replica_id: u64,
    /// Random number drawn when the store was created.
    pub(super) store_id: u64,
    /// Number of starts on the store.
    pub(super) start_count: u64,
}
