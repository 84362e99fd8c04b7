//! Names in the settings. The decision module refers to classes, tenants, zones and kinds by their positions.
//!
//! A name has one position from its first appearance to the end of the process. A reload may drop, add and reorder
//! names: what is open keeps its meaning, because no position is given to a second name.

use rustc_hash::FxHashMap;

use crate::engine::Micros;

/// Maximum number of names in one table, counting the dropped ones.
pub(crate) const MAX_NAMES: usize = 4096;

/// Names in the order of their first appearance, and their positions.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    entries: Vec<NameEntry>,
    positions: FxHashMap<String, u32>,
    /// Position of names that the settings have never listed, in a table that has one.
    unlisted: Option<u32>,
}

/// An entry of a table.
#[derive(Clone, Debug)]
struct NameEntry {
    /// Empty at the position of unlisted names.
    name: String,
    /// True if the current settings list the name.
    is_current: bool,
}

impl NameTable {
    /// Returns the table of the names of the first configuration. Repeated names share a position.
    pub(crate) fn new(names: impl IntoIterator<Item = String>) -> NameTable {
        let mut table = NameTable::default();
        names.into_iter().for_each(|name| table.list(name));
        table
    }

    /// Reserves the position after the names of the first configuration for names that are not listed.
    pub(crate) fn with_unlisted(mut self) -> NameTable {
        self.unlisted = Some(self.entries.len() as u32);
        self
    }

    /// Returns the table in which exactly these names are current. Known names keep their positions.
    pub(crate) fn updated(&self, names: impl IntoIterator<Item = String>) -> NameTable {
        let mut table = self.clone();
        table.entries.iter_mut().for_each(|entry| entry.is_current = false);
        names.into_iter().for_each(|name| table.list(name));
        table
    }

    fn list(&mut self, name: String) {
        if let Some(&position) = self.positions.get(&name) {
            self.entries[position as usize].is_current = true;
            return;
        }
        if self.unlisted == Some(self.entries.len() as u32) {
            self.entries.push(NameEntry { name: String::new(), is_current: false });
        }
        let position = self.entries.len() as u32;
        self.positions.insert(name.clone(), position);
        self.entries.push(NameEntry { name, is_current: true });
    }

    /// Returns the position of a name that was listed at any time.
    pub fn position(&self, name: &str) -> Option<u32> {
        self.positions.get(name).copied()
    }

    /// Returns the position of a name that the current settings list.
    pub fn current_position(&self, name: &str) -> Option<u32> {
        self.position(name).filter(|position| self.entries[*position as usize].is_current)
    }

    /// Returns the position of a name. Missing and unlisted names share a position.
    pub(crate) fn position_or_unlisted(&self, name: Option<&str>) -> u32 {
        let unlisted = self.unlisted.unwrap_or(self.entries.len() as u32);
        name.and_then(|name| self.position(name)).unwrap_or(unlisted)
    }

    /// Returns the name at a position; empty if there is none.
    pub fn name(&self, position: u32) -> &str {
        self.entries.get(position as usize).map_or("", |entry| &entry.name)
    }

    /// Returns the names that the current settings list, by position.
    pub fn current(&self) -> impl Iterator<Item = &str> {
        self.entries.iter().filter(|entry| entry.is_current).map(|entry| entry.name.as_str())
    }

    /// Returns the positions of the names that the current settings no longer list.
    pub(crate) fn dropped(&self) -> impl Iterator<Item = u32> + '_ {
        (0..).zip(&self.entries).filter(|(_, entry)| !entry.is_current).map(|(position, _)| position)
    }

    /// Returns true if the current settings list no name.
    pub fn is_empty(&self) -> bool {
        self.current().next().is_none()
    }

    /// Returns the number of positions, including those of dropped names.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}

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

/// Names in the settings. Positions are the same in all configurations of a process.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Settings of the classes of requests by position, the last known ones of dropped classes.
    pub classes: Vec<ClassInfo>,
    /// Positions of the classes.
    pub class_names: NameTable,
    /// Tenants.
    pub tenants: NameTable,
    /// Zones.
    pub zones: NameTable,
    /// Kinds of workers.
    pub kinds: NameTable,
}
