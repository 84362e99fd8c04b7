//! Converts settings from the order of a file to the positions that names have for the life of the process.

use crate::config_error::{invalid, ConfigError};
use crate::names::{ClassInfo, NameTable, Names, MAX_NAMES};
use dispatch_core::api::{Class, DroppedPositions, Settings, Tenant};

/// Tenant of a position whose name the settings no longer list.
const DROPPED_TENANT: Tenant = Tenant { share: 0.0, quota: 0.0 };

/// The lists of names of a file, in its order.
pub(super) struct FileNames {
    pub(super) classes: Vec<ClassInfo>,
    pub(super) tenants: Vec<String>,
    pub(super) zones: Vec<String>,
    pub(super) kinds: Vec<String>,
}

impl FileNames {
    /// Returns the names by position. Known names keep the positions of the names in force.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] if the process has seen too many names.
    pub(super) fn positioned(&self, in_force: Option<&Names>) -> Result<Names, ConfigError> {
        let class_names = self.classes.iter().map(|class| class.name.clone());
        let mut names = match in_force {
            Some(names) => Names {
                classes: names.classes.clone(),
                class_names: names.class_names.updated(class_names),
                tenants: names.tenants.updated(self.tenants.clone()),
                zones: names.zones.updated(self.zones.clone()),
                kinds: names.kinds.updated(self.kinds.clone()),
            },
            None => Names {
                classes: Vec::new(),
                class_names: NameTable::new(class_names),
                tenants: NameTable::new(self.tenants.clone()),
                zones: NameTable::new(self.zones.clone()).with_unlisted(),
                kinds: NameTable::new(self.kinds.clone()).with_unlisted(),
            },
        };
        for class in &self.classes {
            place(&mut names.classes, names.class_names.position(&class.name), class.clone(), class);
        }
        for (key, table) in [
            ("settings.profiles", &names.class_names),
            ("settings.projects", &names.tenants),
            ("settings.azs", &names.zones),
            ("settings.flavors", &names.kinds),
        ] {
            if table.len() > MAX_NAMES {
                return invalid(key, format!("more than {MAX_NAMES} different names since the start"));
            }
        }
        Ok(names)
    }

    /// Returns the settings of the file by position. Dropped classes keep the settings in force.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] if the settings refer to a zone or a kind that the file does not list.
    pub(super) fn positioned_settings(
        &self,
        file: Settings,
        names: &Names,
        in_force: Option<&Settings>,
    ) -> Result<Settings, ConfigError> {
        let mut classes = in_force.map_or_else(Vec::new, |settings| settings.classes.clone());
        for (info, class) in self.classes.iter().zip(&file.classes) {
            let required_kind = self.kind_position(class.required_kind, names)?;
            let class = Class { required_kind, ..*class };
            place(&mut classes, names.class_names.position(&info.name), class, &Class::default());
        }
        let mut tenants = vec![DROPPED_TENANT; names.tenants.len()];
        for (name, tenant) in self.tenants.iter().zip(&file.tenants) {
            place(&mut tenants, names.tenants.position(name), tenant.clone(), &DROPPED_TENANT);
        }
        let dropped = DroppedPositions {
            classes: names.class_names.dropped().collect(),
            tenants: names.tenants.dropped().collect(),
        };
        let zone = self.zone_position(file.zone, names)?;
        Ok(Settings { classes, tenants, dropped, zone, ..file })
    }

    fn zone_position(&self, zone: u32, names: &Names) -> Result<u32, ConfigError> {
        match self.zones.get(zone as usize) {
            Some(name) => Ok(names.zones.position_or_unlisted(Some(name))),
            // Without zones, all workers are in the zone of unlisted names.
            None if zone == 0 && self.zones.is_empty() => Ok(names.zones.position_or_unlisted(None)),
            None => invalid("settings.zone", format!("there is no zone number {zone}")),
        }
    }

    fn kind_position(&self, kind: Option<u32>, names: &Names) -> Result<Option<u32>, ConfigError> {
        let Some(kind) = kind else { return Ok(None) };
        match self.kinds.get(kind as usize) {
            Some(name) => Ok(names.kinds.position(name)),
            None => invalid(
                "settings.family-info.class-kind",
                format!("there is no kind of worker number {kind}"),
            ),
        }
    }
}

/// Stores a value at a position; positions before it that have no value get the filler.
fn place<T: Clone>(values: &mut Vec<T>, position: Option<u32>, value: T, filler: &T) {
    let Some(position) = position.map(|position| position as usize) else { return };
    if position >= values.len() {
        values.resize(position + 1, filler.clone());
    }
    values[position] = value;
}
