//! Reload of the configuration at SIGHUP.

use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};

use super::metrics::Metrics;
use crate::config::{Config, ConfigError};
use crate::engine::{Handle, Input};

/// Reads the configuration that replaces the given one.
pub type ReadConfig = dyn Fn(&Config) -> Result<Config, ConfigError>;

/// Requests to reload the configuration, and the function that reads it.
#[expect(missing_debug_implementations, reason = "a function has nothing to show")]
pub struct Reload {
    /// Receives one value for each request.
    pub requests: mpsc::Receiver<()>,
    /// Reads the configuration that replaces the given one.
    pub read: Box<ReadConfig>,
}

/// Requests a reload at each SIGHUP. A signal that arrives while a request is pending is merged with it, since the file is
/// read after both.
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

/// Applies each configuration that is reloaded. Never returns. The engine and the network layer get it before any of them
/// runs again, so that no job is read by the names of one configuration and decided by the settings of another.
pub(super) async fn apply_reloads(
    mut reload: Reload,
    configs: watch::Sender<Rc<Config>>,
    handle: Handle,
    metrics: Rc<Metrics>,
) {
    while reload.requests.recv().await.is_some() {
        let present = configs.borrow().clone();
        match (reload.read)(&present) {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                metrics.reloads_ok.inc();
                metrics.register_classes(&config.names.classes);
                handle.send(Input::Configure(Box::new(config.settings.clone())));
                configs.send_replace(Rc::new(config));
            }
            Err(error) => {
                metrics.reloads_failed.inc();
                tracing::error!("configuration unchanged: {error}");
            }
        }
    }
    // Without senders no reload can be requested any more; the dispatcher goes on.
    std::future::pending().await
}
