//! Configuration: the only module that reads and checks it and sets defaults.
//!
//! The platform passes a JSON file ([`CONFIG_VARIABLE`]). The name and the addresses may also be set by environment
//! variables, which take precedence. Errors name the faulty key. A reload replaces the whole configuration, including
//! the local settings of `settings_file.rs`, or nothing. In a reload the file's `discovery` takes precedence over its
//! variable, because the environment of a running process cannot change.

mod key_table;
mod parser;
mod positions;

use std::net::SocketAddr;
use std::path::PathBuf;

pub use crate::config_error::ConfigError;
pub use crate::endpoint_list::{parse_endpoint_list, EndpointList};
pub use crate::names::{ClassInfo, NameTable, Names};
pub use key_table::FileKeys;

use crate::config_error::invalid;
use crate::engine::{ListedEndpoint, Micros};
use crate::settings_file::{ClusterSettings, LocalSettings};
use dispatch_core::api::Settings;

/// Environment variable with the path of the configuration file.
pub const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// Environment variable with the dispatcher's name.
const NAME_VARIABLE: &str = "BALANCER_NAME";
/// Environment variable with the address that clients connect to.
const LISTEN_VARIABLE: &str = "BALANCER_LISTEN";
/// Environment variable with the address of discovery.
const DISCOVERY_VARIABLE: &str = "BALANCER_DISCOVERY";
/// Environment variable with the address of the operators' console.
const CONSOLE_VARIABLE: &str = "BALANCER_CONSOLE";

/// Key of the address of discovery.
const DISCOVERY_KEY: &str = "discovery";

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this dispatcher.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the operators' console, if there is one.
    pub console: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of client connections.
    pub client_sockets: usize,
    /// Maximum number of connections to workers.
    pub worker_sockets: usize,
    /// Maximum memory of the process, in bytes.
    pub memory_limit: usize,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, tenants, zones and kinds.
    pub names: Names,
    /// Time within which a connection must be established.
    pub dial_timeout: Micros,
    /// Time after which an idle connection to a worker is closed.
    pub idle_timeout: Micros,
    /// Time for which a draining worker may still receive work after the notification.
    pub drain_grace: Micros,
    /// True if discovery pushes the endpoint list to an agent on this machine. The dispatcher then counts as notified
    /// of every change that the agent has received, from the start of the process on.
    pub list_is_pushed: bool,
    /// Longest timeout of a class.
    pub longest_timeout: Micros,
    /// Endpoint list that was saved before the start.
    pub saved_list: SavedList,
    /// Cluster that the dispatcher joins, if the local settings name one.
    pub cluster: Option<ClusterSettings>,
    /// Path of the journal of sent ids, if other processes may serve on the same socket.
    pub id_journal: Option<PathBuf>,
    /// Keys of the platform's file, which a file that replaces it must have as well.
    pub file_keys: FileKeys,
}

/// Endpoint list that was saved before the start; empty if none was saved.
#[derive(Clone, Debug, Default)]
pub struct SavedList {
    /// Discovery's revision of the list.
    pub revision: Option<u64>,
    /// Entries of the list.
    pub endpoints: Vec<ListedEndpoint>,
}

impl Config {
    /// Reads the configuration; `variable` looks up an environment variable.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] for the first key that is missing or invalid.
    pub fn from_environment(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut config = Config::parse(&read_file(&variable)?, &variable)?;
        config.apply_local_settings(LocalSettings::load(variable)?);
        Ok(config)
    }

    /// Reads the files again in order to replace this configuration at run time.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] for the first key that is missing or invalid, or that cannot change at run time.
    pub fn reload(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut config = self.replace(&read_file(&variable)?, &variable)?;
        let local = LocalSettings::load(variable)?;
        if local.cluster != self.cluster {
            return invalid("fleet", "cannot change while the program runs");
        }
        config.apply_local_settings(local);
        Ok(config)
    }

    /// Parses the text of a file that replaces this configuration at run time. Names may be added, dropped and reordered:
    /// each keeps its position, by which the decision module refers to it for open jobs.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] for the first key that is missing or invalid, or that cannot change at run time.
    pub fn replace(
        &self,
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let without_discovery = |name: &str| match name {
            DISCOVERY_VARIABLE => None,
            _ => variable(name),
        };
        let mut new = match parser::parse_config(text, without_discovery, Some(self)) {
            // The variable remains in effect if no file has set the key.
            Err(error) if error.key == DISCOVERY_KEY && error.is_missing() => {
                parser::parse_config(text, &variable, Some(self))?
            }
            result => result?,
        };
        self.file_keys.check_contained_in(&new.file_keys)?;
        self.check_listen_address(&new)?;
        // Listeners are not moved at run time.
        new.listen = self.listen;
        new.console = self.console;
        new.id_journal.clone_from(&self.id_journal);
        Ok(new)
    }

    /// Parses the text of a configuration file; `variable` looks up an environment variable.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] for the first key that is missing or invalid.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        parser::parse_config(text, variable, None)
    }

    fn apply_local_settings(&mut self, local: LocalSettings) {
        self.settings.capacity_reservation = local.capacity_reservation;
        self.cluster = local.cluster;
    }

    fn check_listen_address(&self, new: &Config) -> Result<(), ConfigError> {
        if new.listen == self.listen || self.listen.port() == 0 {
            return Ok(());
        }
        invalid("listen", format!("cannot change while the program runs: it listens on {}", self.listen))
    }
}

fn read_file(variable: &impl Fn(&str) -> Option<String>) -> Result<String, ConfigError> {
    let Some(path) = variable(CONFIG_VARIABLE) else {
        return invalid(CONFIG_VARIABLE, "not set; it names the configuration file");
    };
    std::fs::read_to_string(&path)
        .or_else(|error| invalid(CONFIG_VARIABLE, format!("cannot read {path}: {error}")))
}
