//! Names of the settings. The decision module knows classes, tenants, zones and kinds by their positions in these lists.

use crate::engine::Micros;

/// Settings of a class that only the network layer uses.
#[derive(Clone, Debug)]
pub struct ClassInfo {
    /// Name of the class, the first segment of a request's path.
    pub name: String,
    /// Timeout of a request that sets none.
    pub timeout: Micros,
    /// True if each job must have an idempotency key.
    pub requires_idempotency_key: bool,
}

/// Names of the settings by position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<ClassInfo>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of worker machines.
    pub kinds: Vec<String>,
}
