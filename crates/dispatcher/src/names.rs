//! The names of the settings, by whose positions the decision module knows classes, tenants, zones and kinds.

use crate::engine::Micros;

/// What is told of a class beyond what the module needs.
#[derive(Clone, Debug)]
pub struct ClassInfo {
    /// Its name, the first part of the path.
    pub name: String,
    /// How long clients wait where they do not say.
    pub timeout: Micros,
    /// A job of it comes with an idempotency key.
    pub requires_idempotency_key: bool,
}

/// The names of the settings, and the positions in their lists by which the module knows them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The classes.
    pub classes: Vec<ClassInfo>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of machine.
    pub kinds: Vec<String>,
}
