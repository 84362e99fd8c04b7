//! The one place where configuration is read, checked and given defaults.
//!
//! The platform hands over a JSON file (`BALANCER_CONFIG`) and repeats the name and the addresses in variables
//! of their own, which win. Messages name the faulty key. A file that is read again while the program runs is
//! taken in whole or not at all (our own settings of `settings_file.rs` with it), and there `discovery` wins over its
//! variable, which cannot change any more.

use std::net::SocketAddr;

use serde_json::Value;

pub use crate::config_error::ConfigError;
pub use crate::endpoint_list::{parse_endpoint_list, EndpointList};
pub use crate::names::{ClassInfo, Names};

use crate::config_error::invalid;
use crate::engine::{micros, ListedEndpoint, Micros};
use crate::settings_file::{ClusterSettings, LocalSettings};
use dispatch_core::api::{Idempotency, Settings};
use dispatch_core::hashing::worker_id;
use dispatch_core::settings::parse_settings;
use dispatch_core::settings_pairs::{InvalidValue, SettingsPairs};

/// Descriptors where no limit is told.
const DEFAULT_SOCKETS: usize = 1024;
/// Descriptors kept back for files, the runtime, the listener and discovery.
const RESERVED_SOCKETS: usize = 40;
/// The program does not start with fewer descriptors.
const MIN_SOCKETS: usize = 2 * RESERVED_SOCKETS;
/// The part of the descriptors that clients may hold, in hundredths; workers have the rest.
const CLIENT_SOCKETS_PERCENT: usize = 60;
/// Seconds for a connection to come up, and for which an idle one is kept, where not told.
const DEFAULT_DIAL_TIMEOUT_S: f64 = 1.0;
const DEFAULT_KEEPALIVE_S: f64 = 5.0;
/// An idle connection is used for this part of the time after which a worker may close it: the clocks of both
/// sides differ, and a request that crosses the close would be lost.
const KEEPALIVE_FRACTION: f64 = 0.8;
/// Seconds for which a worker that drains may still get work, where not told.
const DEFAULT_DRAIN_GRACE_S: f64 = 0.5;
/// A client's patience in seconds where neither it nor the class tells.
const DEFAULT_TIMEOUT_S: f64 = 10.0;

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this dispatcher.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where the operators' console listens, if anywhere.
    pub console: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The most connections of clients.
    pub client_sockets: usize,
    /// The most connections to workers.
    pub worker_sockets: usize,
    /// The settings of the module.
    pub settings: Settings,
    /// Names and positions.
    pub names: Names,
    /// A connection that is not up after this has failed.
    pub dial_timeout: Micros,
    /// An idle connection to a worker is dropped after this.
    pub idle_timeout: Micros,
    /// A worker that drains may still get work for so long after that was told.
    pub drain_grace: Micros,
    /// Lists are pushed to an agent on this machine: what it has counts as told, from the first moment on.
    pub list_is_pushed: bool,
    /// The longest deadline of a class.
    pub longest_timeout: Micros,
    /// The list as last held, and its revision; none where nothing is known.
    pub saved_list: (Option<u64>, Vec<ListedEndpoint>),
    /// The fleet that this dispatcher is a member of, if our own settings name one.
    pub cluster: Option<ClusterSettings>,
}

impl Config {
    /// Reads the configuration of a dispatcher; `var` looks up a variable of the environment.
    ///
    /// # Errors
    /// The first key that is missing or faulty.
    pub fn from_environment(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut config = Config::parse(&Config::read_file(&var)?, &var)?;
        let local = LocalSettings::load(var)?;
        config.settings.capacity_reservation = local.capacity_reservation;
        config.cluster = local.cluster;
        Ok(config)
    }

    /// Reads the file again for a program that runs with this configuration.
    ///
    /// # Errors
    /// The first key that is missing or faulty, or that a running program cannot change.
    pub fn reload(&self, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut config = self.replace(&Config::read_file(&var)?, &var)?;
        let local = LocalSettings::load(var)?;
        if local.cluster != self.cluster {
            return invalid("fleet", "cannot change while the program runs");
        }
        config.settings.capacity_reservation = local.capacity_reservation;
        config.cluster = local.cluster;
        Ok(config)
    }

    fn read_file(var: &impl Fn(&str) -> Option<String>) -> Result<String, ConfigError> {
        let Some(path) = var("BALANCER_CONFIG") else {
            return invalid("BALANCER_CONFIG", "not set; it names the configuration file");
        };
        match std::fs::read_to_string(&path) {
            Ok(text) => Ok(text),
            Err(error) => invalid("BALANCER_CONFIG", format!("cannot read {path}: {error}")),
        }
    }

    /// Reads the text of a file that is to replace this configuration. Names keep their places, by which the
    /// module knows the jobs that are open; new ones follow them.
    ///
    /// # Errors
    /// The first key that is missing or faulty, or that a running program cannot change.
    pub fn replace(&self, text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut new = Config::parse(text, |name| match name {
            "BALANCER_DISCOVERY" => None,
            _ => var(name),
        })
        .or_else(|error| match error.key.as_str() {
            // A file that does not say leaves it as it was.
            "discovery" if error.problem.starts_with("missing") => Config::parse(text, var),
            _ => Err(error),
        })?;
        let fixed =
            |key: &str| invalid(key, "cannot change while the program runs, but for names added at the end");
        let class_names = |names: &Names| names.classes.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        if new.listen != self.listen && self.listen.port() != 0 {
            return invalid(
                "listen",
                format!("cannot change while the program runs: it listens on {}", self.listen),
            );
        }
        let (old, names) = (&self.names, &new.names);
        for (key, had, has) in [
            ("settings.profiles", &class_names(old), &class_names(names)),
            ("settings.projects", &old.tenants, &names.tenants),
            ("settings.azs", &old.zones, &names.zones),
            ("settings.flavors", &old.kinds, &names.kinds),
        ] {
            if !has.starts_with(had) {
                return fixed(key);
            }
        }
        new.listen = self.listen;
        // Its listener stays where it is.
        new.console = self.console;
        Ok(new)
    }

    /// Reads a configuration from its text.
    ///
    /// # Errors
    /// The first key that is missing or faulty.
    pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let root: Value = match serde_json::from_str(text) {
            Ok(root) => root,
            Err(error) => return invalid("configuration", format!("is not JSON: {error}")),
        };
        let told = |name: &str, key: &str| {
            let local = var(name).map(|v| (name.to_owned(), v));
            local.or_else(|| root[key].as_str().map(|v| (key.to_owned(), v.to_owned())))
        };
        let address = |name: &str, key: &str| match told(name, key) {
            None => invalid(key, "missing; expected an address such as 127.0.0.1:7070"),
            Some((at, v)) => match v.parse::<SocketAddr>() {
                Ok(address) => Ok(address),
                Err(_) => invalid(&at, format!("expected an address such as 127.0.0.1:7070, found '{v}'")),
            },
        };
        let pairs = match &root["settings"] {
            all @ Value::Object(_) => SettingsPairs::from_json(all),
            Value::Null => return invalid("settings", "missing"),
            _ => return invalid("settings", "expected an object"),
        };
        let module = parse_settings(&pairs)?;
        let names = parse_names(&pairs, &module)?;
        if module.zone as usize >= names.zones.len().max(1) {
            return invalid("settings.zone", format!("there is no zone number {}", module.zone));
        }
        let sockets = parse_socket_limit(&root["limits"]["sockets"])?;
        let client_sockets = (sockets - RESERVED_SOCKETS) * CLIENT_SOCKETS_PERCENT / 100;
        let saved_list = parse_saved_list(&root["known"], &names)?;
        let keepalive = pairs.non_negative("caps.keepalive-s", DEFAULT_KEEPALIVE_S)?;
        Ok(Config {
            name: told("BALANCER_NAME", "name").map_or_else(|| "cairncrank".to_owned(), |(_, v)| v),
            listen: address("BALANCER_LISTEN", "listen")?,
            discovery: address("BALANCER_DISCOVERY", "discovery")?,
            console: match told("BALANCER_CONSOLE", "console") {
                None => None,
                Some(_) => Some(address("BALANCER_CONSOLE", "console")?),
            },
            seed: parse_seed(&root["seed"])?,
            client_sockets,
            worker_sockets: sockets - RESERVED_SOCKETS - client_sockets,
            settings: module,
            dial_timeout: micros(
                pairs.non_negative("caps.dial-timeout-s", DEFAULT_DIAL_TIMEOUT_S)?.max(0.001),
            ),
            idle_timeout: micros(keepalive * KEEPALIVE_FRACTION),
            drain_grace: micros(pairs.non_negative("obligations.drain-grace-s", DEFAULT_DRAIN_GRACE_S)?),
            list_is_pushed: pairs.text("discovery") == "push",
            longest_timeout: names
                .classes
                .iter()
                .map(|c| c.timeout)
                .max()
                .unwrap_or(micros(DEFAULT_TIMEOUT_S)),
            names,
            saved_list,
            cluster: None,
        })
    }
}

impl From<InvalidValue> for ConfigError {
    fn from(bad: InvalidValue) -> Self {
        ConfigError {
            key: format!("settings.{}", bad.expected),
            problem: format!("'{}' is no value that it can have", bad.found),
        }
    }
}

/// How many descriptors the program may have.
fn parse_socket_limit(value: &Value) -> Result<usize, ConfigError> {
    if value.is_null() {
        return Ok(DEFAULT_SOCKETS);
    }
    let limit = value.as_u64().and_then(|limit| usize::try_from(limit).ok());
    match limit.filter(|limit| *limit >= MIN_SOCKETS) {
        Some(limit) => Ok(limit),
        None => invalid("limits.sockets", format!("expected {MIN_SOCKETS} or more, found {value}")),
    }
}

/// The list as last held before the start, and its revision.
fn parse_saved_list(value: &Value, names: &Names) -> Result<(Option<u64>, Vec<ListedEndpoint>), ConfigError> {
    if value.is_null() {
        return Ok((None, Vec::new()));
    }
    match parse_endpoint_list(value, names) {
        Ok(list) => Ok((Some(list.revision), list.endpoints)),
        Err(error) => invalid(&format!("known.{}", error.key), error.problem),
    }
}

/// A seed in hexadecimal digits or as a number; any other text serves as well.
fn parse_seed(value: &Value) -> Result<u64, ConfigError> {
    match value {
        Value::String(s) => Ok(u64::from_str_radix(s, 16).unwrap_or_else(|_| worker_id(s).0)),
        Value::Number(n) if n.is_u64() => Ok(n.as_u64().unwrap_or_default()),
        Value::Null => invalid("seed", "missing"),
        other => invalid("seed", format!("expected hexadecimal digits, found {other}")),
    }
}

fn parse_names(pairs: &SettingsPairs<'_>, module: &Settings) -> Result<Names, ConfigError> {
    let mut classes = Vec::new();
    for (i, name) in pairs.names("profiles")?.into_iter().enumerate() {
        let timeout = micros(pairs.non_negative(&format!("profiles.{i}.deadline-s"), DEFAULT_TIMEOUT_S)?);
        let keyed = matches!(module.classes[i].idempotency, Idempotency::WithKey(_));
        classes.push(ClassInfo { name, timeout, requires_idempotency_key: keyed });
    }
    let tenants = pairs.names("projects")?;
    let listed = |path: &str| pairs.list(path).map(str::to_owned).collect();
    let names = Names { classes, tenants, zones: listed("azs"), kinds: listed("flavors") };
    let unnamed = |list: &str, i: usize| invalid(&format!("settings.{list}.{i}.name"), "missing");
    if names.classes.is_empty() {
        return invalid("settings.profiles", "expected one class of request or more");
    }
    if let Some(i) = names.classes.iter().position(|c| c.name.is_empty()) {
        return unnamed("profiles", i);
    }
    match names.tenants.iter().position(String::is_empty) {
        Some(i) => unnamed("projects", i),
        None => Ok(names),
    }
}
