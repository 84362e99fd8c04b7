//! The wish to read the configuration again, which SIGHUP expresses.

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use crate::config::{Config, ConfigError};

/// Reads what is to replace a configuration.
pub type ReadConfig = dyn Fn(&Config) -> Result<Config, ConfigError>;

/// How a configuration comes to be replaced.
#[expect(missing_debug_implementations, reason = "a function has nothing to show")]
pub struct Reload {
    /// Something comes each time it is to be read again.
    pub requests: mpsc::Receiver<()>,
    /// Reads what is to replace the given one.
    pub read: Box<ReadConfig>,
}

/// Asks to read the configuration again at each SIGHUP, which would end the program otherwise. Signals that
/// come while one waits to be acted on are one with it: the file that is read then is the last.
///
/// # Errors
/// The signal cannot be caught.
pub fn listen_for_reload(
    read: impl Fn(&Config) -> Result<Config, ConfigError> + 'static,
) -> std::io::Result<Reload> {
    let mut hangup = signal(SignalKind::hangup())?;
    let (sender, asked) = mpsc::channel(1);
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            let _ = sender.try_send(());
        }
    });
    Ok(Reload { requests: asked, read: Box::new(read) })
}
