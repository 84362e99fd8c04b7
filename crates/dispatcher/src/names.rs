//! Names in the settings. The decision module refers to classes, tenants, zones and kinds by their positions in these
//! lists.

use crate::engine::Micros;

/// Settings of a class that only the network layer uses.
#[derive(Clone, Debug)]
pub struct ClassInfo {
    /// Name of the class, the first segment of a request's path.
    pub name: String,
    /// Timeout of a request that does not set its own.
    pub timeout: Micros,
    /// True if each job must have an idempotency key.
    pub requires_idempotency_key: bool,
}

/// Names in the settings, in the order in which the settings list them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of requests, with the settings that only the network layer uses.
    pub classes: Vec<ClassInfo>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of the kinds of workers.
    pub kinds: Vec<String>,
}
