//! Parser of the platform's JSON file.

use std::net::SocketAddr;

use serde_json::Value;

use super::key_table::{check_file, FileKeys};
use super::positions::FileNames;
use super::{
    Config, SavedList, CONSOLE_VARIABLE, DISCOVERY_KEY, DISCOVERY_VARIABLE, LISTEN_VARIABLE, NAME_VARIABLE,
};
use crate::config_error::{invalid, ConfigError, MISSING};
use crate::endpoint_list::parse_endpoint_list;
use crate::engine::{micros, Micros};
use crate::names::{ClassInfo, Names};

use dispatch_core::api::{Idempotency, Settings};
use dispatch_core::hashing::worker_id;
use dispatch_core::settings::parse_settings;
use dispatch_core::settings_pairs::{InvalidValue, SettingsPairs};

/// Default name of a dispatcher.
const DEFAULT_NAME: &str = "cairncrank";
const BYTES_PER_MB: f64 = 1e6;
/// File descriptors reserved for files, the runtime, the listener and discovery.
const RESERVED_SOCKETS: usize = 40;
/// Minimum number of file descriptors; the process does not start with fewer.
const MIN_SOCKETS: usize = 2 * RESERVED_SOCKETS;
/// Share of the unreserved descriptors for client connections, in percent; connections to workers get the rest.
const CLIENT_SOCKETS_PERCENT: usize = 60;
/// Default of the dial timeout, in seconds.
const DEFAULT_DIAL_TIMEOUT_S: f64 = 1.0;
/// Lower bound of the dial timeout, in seconds.
const MIN_DIAL_TIMEOUT_S: f64 = 0.001;
/// Default of the keep-alive time of idle connections, in seconds.
const DEFAULT_KEEPALIVE_S: f64 = 5.0;
/// Fraction of the keep-alive time for which an idle connection is used. The clocks of both sides differ, and a request
/// that is sent while the worker closes the connection would be lost.
const KEEPALIVE_FRACTION: f64 = 0.8;
/// Default of the drain grace, in seconds.
const DEFAULT_DRAIN_GRACE_S: f64 = 0.5;
/// Default timeout of a request, in seconds, if neither the client nor its class sets one.
const DEFAULT_TIMEOUT_S: f64 = 10.0;

const EXPECTED_ADDRESS: &str = "expected an address such as 127.0.0.1:7070";

impl From<InvalidValue> for ConfigError {
    fn from(invalid: InvalidValue) -> Self {
        ConfigError {
            key: format!("settings.{}", invalid.expected),
            problem: format!("'{}' is not a valid value", invalid.found),
        }
    }
}

/// Parses the text of a configuration file; `variable` looks up an environment variable. Names keep the positions that
/// they have in the configuration in force, if there is one.
pub(super) fn parse_config(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
    in_force: Option<&Config>,
) -> Result<Config, ConfigError> {
    let root: Value = serde_json::from_str(text)
        .or_else(|error| invalid("configuration", format!("is not JSON: {error}")))?;
    check_file(&root)?;
    let pairs = SettingsPairs::from_json(&root["settings"]);
    let file_settings = parse_settings(&pairs)?;
    let file_names = parse_names(&pairs, &file_settings)?;
    let names = file_names.positioned(in_force.map(|config| &config.names))?;
    let settings =
        file_names.positioned_settings(file_settings, &names, in_force.map(|config| &config.settings))?;
    let sockets = parse_socket_limit(&root["limits"]["sockets"])? - RESERVED_SOCKETS;
    let client_sockets = sockets * CLIENT_SOCKETS_PERCENT / 100;
    let saved_list = parse_saved_list(&root["known"], &names)?;
    let keepalive = pairs.non_negative("caps.keepalive-s", DEFAULT_KEEPALIVE_S)?;
    let texts = TextSources { root: &root, variable };
    Ok(Config {
        name: texts.find(NAME_VARIABLE, "name").map_or_else(|| DEFAULT_NAME.to_owned(), |name| name.text),
        listen: texts.address(LISTEN_VARIABLE, "listen")?,
        discovery: texts.address(DISCOVERY_VARIABLE, DISCOVERY_KEY)?,
        console: texts.optional_address(CONSOLE_VARIABLE, "console")?,
        seed: parse_seed(&root["seed"])?,
        client_sockets,
        worker_sockets: sockets - client_sockets,
        memory_limit: parse_memory_limit(&root["limits"]["memory_mb"])?,
        dial_timeout: parse_dial_timeout(&pairs)?,
        idle_timeout: micros(keepalive * KEEPALIVE_FRACTION),
        drain_grace: micros(pairs.non_negative("obligations.drain-grace-s", DEFAULT_DRAIN_GRACE_S)?),
        list_is_pushed: pairs.text("discovery") == "push",
        longest_timeout: longest_timeout(&file_names.classes),
        settings,
        names,
        saved_list,
        cluster: None,
        id_journal: None,
        file_keys: FileKeys::of(&root),
    })
}

/// Sources of a text: an environment variable or else a key of the file.
struct TextSources<'a, V> {
    root: &'a Value,
    variable: V,
}

/// A text, and the variable or key that it was read from.
struct SourcedText {
    source: String,
    text: String,
}

impl<V: Fn(&str) -> Option<String>> TextSources<'_, V> {
    fn find(&self, variable: &str, key: &str) -> Option<SourcedText> {
        if let Some(text) = (self.variable)(variable) {
            return Some(SourcedText { source: variable.to_owned(), text });
        }
        let text = self.root[key].as_str()?.to_owned();
        Some(SourcedText { source: key.to_owned(), text })
    }

    fn optional_address(&self, variable: &str, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(SourcedText { source, text }) = self.find(variable, key) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => invalid(&source, format!("{EXPECTED_ADDRESS}, found '{text}'")),
        }
    }

    fn address(&self, variable: &str, key: &str) -> Result<SocketAddr, ConfigError> {
        match self.optional_address(variable, key)? {
            Some(address) => Ok(address),
            None => invalid(key, format!("{MISSING}; {EXPECTED_ADDRESS}")),
        }
    }
}

/// Parses the number of file descriptors that the process may open.
fn parse_socket_limit(value: &Value) -> Result<usize, ConfigError> {
    let limit = value.as_u64().and_then(|limit| usize::try_from(limit).ok());
    match limit.filter(|limit| *limit >= MIN_SOCKETS) {
        Some(limit) => Ok(limit),
        None => invalid("limits.sockets", format!("expected {MIN_SOCKETS} or more, found {value}")),
    }
}

/// Parses the memory limit and returns it in bytes.
fn parse_memory_limit(megabytes: &Value) -> Result<usize, ConfigError> {
    match megabytes.as_f64() {
        Some(megabytes) => Ok((megabytes * BYTES_PER_MB) as usize),
        None => invalid("limits.memory_mb", MISSING),
    }
}

fn parse_saved_list(value: &Value, names: &Names) -> Result<SavedList, ConfigError> {
    if value.is_null() {
        return Ok(SavedList::default());
    }
    match parse_endpoint_list(value, names) {
        Ok(list) => Ok(SavedList { revision: Some(list.revision), endpoints: list.endpoints }),
        Err(error) => invalid(&format!("known.{}", error.key), error.problem),
    }
}

/// Parses a seed: a number, or a text of hexadecimal digits. Any other text is hashed.
fn parse_seed(value: &Value) -> Result<u64, ConfigError> {
    match value {
        Value::String(text) => Ok(u64::from_str_radix(text, 16).unwrap_or_else(|_| worker_id(text).0)),
        Value::Number(number) if number.is_u64() => Ok(number.as_u64().unwrap_or_default()),
        Value::Null => invalid("seed", MISSING),
        other => invalid("seed", format!("expected hexadecimal digits, found {other}")),
    }
}

fn parse_dial_timeout(pairs: &SettingsPairs<'_>) -> Result<Micros, ConfigError> {
    let seconds = pairs.non_negative("caps.dial-timeout-s", DEFAULT_DIAL_TIMEOUT_S)?;
    Ok(micros(seconds.max(MIN_DIAL_TIMEOUT_S)))
}

fn longest_timeout(classes: &[ClassInfo]) -> Micros {
    let timeouts = classes.iter().map(|class| class.timeout);
    timeouts.max().unwrap_or(micros(DEFAULT_TIMEOUT_S))
}

fn parse_names(pairs: &SettingsPairs<'_>, settings: &Settings) -> Result<FileNames, ConfigError> {
    let list = |key: &str| pairs.list(key).map(str::to_owned).collect();
    Ok(FileNames {
        classes: parse_classes(pairs, settings)?,
        tenants: pairs.names("projects")?,
        zones: list("azs"),
        kinds: list("flavors"),
    })
}

fn parse_classes(pairs: &SettingsPairs<'_>, settings: &Settings) -> Result<Vec<ClassInfo>, ConfigError> {
    let mut classes = Vec::new();
    for (position, name) in pairs.names("profiles")?.into_iter().enumerate() {
        let timeout = pairs.non_negative(&format!("profiles.{position}.deadline-s"), DEFAULT_TIMEOUT_S)?;
        let idempotency = &settings.classes[position].idempotency;
        classes.push(ClassInfo {
            name,
            timeout: micros(timeout),
            requires_idempotency_key: matches!(idempotency, Idempotency::WithKey(_)),
        });
    }
    Ok(classes)
}
