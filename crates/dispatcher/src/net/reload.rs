//! Reload of the configuration at SIGHUP.

use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};

use super::memory::MemoryAccount;
use super::metrics::Metrics;
use crate::config::{Config, ConfigError};
use crate::engine::{Handle, Input};

/// Function that reads the configuration that replaces the given one.
pub type ReadConfig = dyn Fn(&Config) -> Result<Config, ConfigError>;

/// Requests to reload the configuration, and the function that reads it.
#[expect(missing_debug_implementations, reason = "contains a function")]
pub struct Reload {
    /// Receives one value per request to reload.
    pub requests: mpsc::Receiver<()>,
    /// Reads the configuration that replaces the given one.
    pub read: Box<ReadConfig>,
}

/// Requests a reload at each SIGHUP. A signal that arrives while a request is pending needs no request of its own,
/// because the file is read after both signals.
///
/// # Errors
/// Returns an error if the signal cannot be handled.
pub fn listen_for_reload(
    read: impl Fn(&Config) -> Result<Config, ConfigError> + 'static,
) -> std::io::Result<Reload> {
    let mut hangup = signal(SignalKind::hangup())?;
    let (sender, requests) = mpsc::channel(1);
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            let _ = sender.try_send(());
        }
    });
    Ok(Reload { requests, read: Box::new(read) })
}

/// The parts of the dispatcher that receive a new configuration.
pub(super) struct ReloadReceivers {
    pub(super) configs: watch::Sender<Rc<Config>>,
    pub(super) handle: Handle,
    pub(super) memory: Rc<MemoryAccount>,
}

/// Applies each reload of the configuration. Never returns. The engine and the network layer receive the new
/// configuration before any of them runs again, so that no job is parsed with the names of one configuration and
/// decided with the settings of another.
pub(super) async fn apply_reloads(mut reload: Reload, receivers: ReloadReceivers, metrics: Rc<Metrics>) {
    let ReloadReceivers { configs, handle, memory } = receivers;
    while reload.requests.recv().await.is_some() {
        let current = configs.borrow().clone();
        match (reload.read)(&current) {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                metrics.reloads_ok.inc();
                metrics.register_classes(&config.names.classes);
                memory.configure(&config);
                handle.send(Input::MemoryLimit(config.memory_limit));
                handle.send(Input::Configure(Box::new(config.settings.clone())));
                configs.send_replace(Rc::new(config));
            }
            Err(error) => {
                metrics.reloads_failed.inc();
                tracing::error!("configuration unchanged: {error}");
            }
        }
    }
    // The sender is gone, so no further reload can be requested; the dispatcher continues to run.
    std::future::pending().await
}
