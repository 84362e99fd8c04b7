//! The keys of the platform's file: which are required, and which values are in range.
//!
//! This table is the only place that decides whether a file lacks a key. The parser behind it may use a default only
//! for a key that is [`Presence::Optional`] here. Keys that are not in the table are ignored at the start; at a reload,
//! [`FileKeys`] also holds them to the file in force.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use crate::config_error::{invalid, ConfigError, MISSING};

/// Whether a file must contain a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// Each file.
    Required,
    /// Each class whose jobs carry an idempotency key.
    RequiredWithKey,
    /// No file; the program has a default.
    Optional,
}

/// Values that a key may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Range {
    /// A number above 0.
    Positive,
    /// A number from 0 on.
    NonNegative,
    /// A whole number from this one on.
    Whole(u64),
    /// True or false.
    Flag,
    /// A text that is not empty.
    Text,
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// A list of texts.
    Texts,
    /// A list of numbers.
    Numbers,
}

/// A key and its rule.
struct Key {
    /// Path from the object that the table describes, separated by dots.
    path: &'static str,
    presence: Presence,
    range: Range,
}

const fn required(path: &'static str, range: Range) -> Key {
    Key { path, presence: Presence::Required, range }
}

const fn optional(path: &'static str, range: Range) -> Key {
    Key { path, presence: Presence::Optional, range }
}

const fn required_with_key(path: &'static str, range: Range) -> Key {
    Key { path, presence: Presence::RequiredWithKey, range }
}

/// Value of `idempotency` for classes whose jobs carry an idempotency key.
const WITH_KEY: &str = "guarded";
/// Values of `idempotency`.
const IDEMPOTENCIES: &[&str] = &["free", WITH_KEY, "single_shot"];
/// Values of `settings.discovery`. With `watch`, the list is neither pushed to this machine nor only sent when asked for.
const DISCOVERY_MODES: &[&str] = &["push", "ask", "watch"];
/// Values of `settings.report.how`.
const REPORT_MODES: &[&str] = &["answers", "probe", "none"];
/// Values of `key-scope`.
const KEY_SCOPES: &[&str] = &["all", "zone", "cell"];
/// Path of the list of classes.
const CLASSES: &str = "settings.profiles";
/// Path of the list of tenants.
const TENANTS: &str = "settings.projects";

/// Keys outside of the lists of classes and tenants. Times are in seconds.
const FILE_KEYS: &[Key] = &[
    optional("name", Range::Text),
    // These two may come from environment variables, which the parser looks up.
    optional("listen", Range::Text),
    optional("discovery", Range::Text),
    optional("console", Range::Text),
    required("limits.sockets", Range::Whole(0)),
    required("limits.memory_mb", Range::Positive),
    required("settings.azs", Range::Texts),
    required("settings.flavors", Range::Texts),
    required("settings.balancers", Range::Whole(1)),
    required("settings.slot-no", Range::Whole(0)),
    required("settings.zone", Range::Whole(0)),
    required("settings.discovery", Range::OneOf(DISCOVERY_MODES)),
    required("settings.resolution-s", Range::NonNegative),
    required("settings.caps.send-cap", Range::Whole(1)),
    required("settings.caps.cancel", Range::Flag),
    required("settings.caps.parallel-tries", Range::Flag),
    required("settings.caps.retry-after", Range::Flag),
    required("settings.caps.max-retry-after-s", Range::NonNegative),
    required("settings.caps.dial-timeout-s", Range::NonNegative),
    required("settings.caps.keepalive-s", Range::NonNegative),
    required("settings.caps.probes", Range::Flag),
    required("settings.obligations.drain-grace-s", Range::NonNegative),
    required("settings.obligations.cold-share", Range::NonNegative),
    required("settings.obligations.warm-within-s", Range::NonNegative),
    required("settings.obligations.fall-multiple", Range::NonNegative),
    required("settings.obligations.tip-after-s", Range::NonNegative),
    required("settings.obligations.ask-within-s", Range::NonNegative),
    required("settings.clients.marks-retry", Range::Flag),
    optional("settings.report.how", Range::OneOf(REPORT_MODES)),
    optional("settings.report.names", Range::Texts),
    optional("settings.family-info.tells-start", Range::Flag),
    optional("settings.family-info.progress-s", Range::NonNegative),
    optional("settings.family-info.class-stretch", Range::Numbers),
    optional("settings.family-info.class-kind", Range::Numbers),
    optional("settings.charges.cross-zone", Range::NonNegative),
    optional("settings.charges.handshake", Range::NonNegative),
    optional("settings.charges.probe", Range::NonNegative),
];

/// Keys of a class.
const CLASS_KEYS: &[Key] = &[
    required("name", Range::Text),
    required("idempotency", Range::OneOf(IDEMPOTENCIES)),
    required_with_key("key-scope", Range::OneOf(KEY_SCOPES)),
    required_with_key("window-s", Range::Positive),
    required("promise-s", Range::NonNegative),
    required("deadline-s", Range::Positive),
    required("late-worth", Range::NonNegative),
    optional("aim-stretch", Range::NonNegative),
];

/// Keys of a tenant.
const TENANT_KEYS: &[Key] = &[
    required("name", Range::Text),
    required("share", Range::NonNegative),
    required("quota-per-s", Range::NonNegative),
];

impl Range {
    fn contains(self, value: &Value) -> bool {
        match self {
            Range::Positive => value.as_f64().is_some_and(|number| number > 0.0),
            Range::NonNegative => value.as_f64().is_some_and(|number| number >= 0.0),
            Range::Whole(lowest) => {
                value.as_u64().is_some_and(|number| number >= lowest && u32::try_from(number).is_ok())
            }
            Range::Flag => value.is_boolean(),
            Range::Text => value.as_str().is_some_and(|text| !text.is_empty()),
            Range::OneOf(texts) => value.as_str().is_some_and(|text| texts.contains(&text)),
            Range::Texts => value.as_array().is_some_and(|items| items.iter().all(Value::is_string)),
            Range::Numbers => value.as_array().is_some_and(|items| items.iter().all(Value::is_number)),
        }
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Range::Positive => f.write_str("a number above 0"),
            Range::NonNegative => f.write_str("a number from 0 on"),
            Range::Whole(lowest) => write!(f, "a whole number from {lowest} on"),
            Range::Flag => f.write_str("true or false"),
            Range::Text => f.write_str("a text"),
            Range::OneOf(texts) => write!(f, "one of {}", texts.join(", ")),
            Range::Texts => f.write_str("a list of texts"),
            Range::Numbers => f.write_str("a list of numbers"),
        }
    }
}

/// Checks a file against the table.
///
/// # Errors
/// Returns a [`ConfigError`] for the first key that is missing or out of range.
pub(super) fn check_file(root: &Value) -> Result<(), ConfigError> {
    match &root["settings"] {
        Value::Object(_) => {}
        Value::Null => return invalid("settings", MISSING),
        _ => return invalid("settings", "expected an object"),
    }
    if value_at(root, CLASSES).is_null() {
        return invalid(CLASSES, MISSING);
    }
    let classes = objects(root, CLASSES)?;
    if classes.is_empty() {
        return invalid(CLASSES, "expected at least one class of request");
    }
    check_list(CLASSES, &classes, CLASS_KEYS)?;
    // A site may have no tenants.
    check_list(TENANTS, &objects(root, TENANTS)?, TENANT_KEYS)?;
    check_object("", root, FILE_KEYS)
}

fn check_list(list: &str, objects: &[&Value], keys: &[Key]) -> Result<(), ConfigError> {
    let mut names = BTreeSet::new();
    for (index, object) in objects.iter().enumerate() {
        check_object(&format!("{list}.{index}."), object, keys)?;
        let name = object["name"].as_str().unwrap_or_default();
        if !names.insert(name) {
            return invalid(&format!("{list}.{index}.name"), format!("'{name}' is named twice"));
        }
    }
    Ok(())
}

fn check_object(prefix: &str, object: &Value, keys: &[Key]) -> Result<(), ConfigError> {
    let has_key = object["idempotency"] == WITH_KEY;
    for Key { path, presence, range } in keys {
        let is_required = match presence {
            Presence::Required => true,
            Presence::RequiredWithKey => has_key,
            Presence::Optional => false,
        };
        let value = value_at(object, path);
        // A value that no job of the class uses may be anything.
        let is_unused = *presence == Presence::RequiredWithKey && !has_key;
        if value.is_null() && is_required {
            return invalid(&format!("{prefix}{path}"), MISSING);
        }
        if !value.is_null() && !is_unused && !range.contains(value) {
            return invalid(&format!("{prefix}{path}"), format!("expected {range}, found {value}"));
        }
    }
    Ok(())
}

fn value_at<'a>(object: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(object, |value, key| &value[key])
}

/// Returns the objects of a list, which may be absent.
fn objects<'a>(root: &'a Value, path: &str) -> Result<Vec<&'a Value>, ConfigError> {
    match value_at(root, path) {
        Value::Null => Ok(Vec::new()),
        Value::Array(items) if items.iter().all(Value::is_object) => Ok(items.iter().collect()),
        _ => invalid(path, "expected a list of objects"),
    }
}

/// Keys that are read at the start only; a file for a reload may lack them.
const START_KEYS: [&str; 3] = ["known", "console", "name"];
/// Keys that only some objects of a list have.
const OCCASIONAL_KEYS: [&str; 3] = ["key-scope", "window-s", "aim-stretch"];

/// The keys of a file. Of the objects in a list, the keys that all of them have.
#[derive(Clone, Default)]
pub struct FileKeys {
    paths: BTreeSet<String>,
    empty_lists: BTreeSet<String>,
}

impl FileKeys {
    pub(super) fn of(root: &Value) -> FileKeys {
        let mut keys = FileKeys::default();
        for (key, value) in root.as_object().into_iter().flatten() {
            if !START_KEYS.contains(&key.as_str()) {
                keys.collect(key.clone(), value);
            }
        }
        keys
    }

    fn collect(&mut self, path: String, value: &Value) {
        match value {
            Value::Null => return,
            Value::Object(object) => {
                object.iter().for_each(|(key, value)| self.collect(format!("{path}.{key}"), value));
            }
            Value::Array(items) if items.is_empty() => drop(self.empty_lists.insert(path.clone())),
            Value::Array(items) => self.collect_common(&path, items),
            _ => {}
        }
        self.paths.insert(path);
    }

    fn collect_common(&mut self, list: &str, items: &[Value]) {
        let first = items.first().and_then(Value::as_object);
        for key in first.into_iter().flat_map(|object| object.keys()) {
            let is_common = items.iter().all(|item| !item[key.as_str()].is_null());
            if is_common && !OCCASIONAL_KEYS.contains(&key.as_str()) {
                self.paths.insert(format!("{list}.*.{key}"));
            }
        }
    }

    /// Checks that a new file has each key of this file. A key whose default is used from now on would change the
    /// settings as silently as a file that was cut.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] for the first key that is missing.
    pub(super) fn check_contained_in(&self, new: &FileKeys) -> Result<(), ConfigError> {
        let is_in_empty_list = |path: &str| {
            let list = path.split_once(".*.").map(|(list, _)| list);
            list.is_some_and(|list| new.empty_lists.contains(list))
        };
        match self.paths.difference(&new.paths).find(|path| !is_in_empty_list(path)) {
            Some(path) => invalid(path, format!("{MISSING}; the file in force has it")),
            None => Ok(()),
        }
    }
}

impl fmt::Debug for FileKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FileKeys({})", self.paths.len())
    }
}
