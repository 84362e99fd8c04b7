//! Graceful shutdown: its phases from the first SIGTERM or SIGINT on.

use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::engine::Micros;

/// Time after the signal at which clients are sent elsewhere. New connections arrive for up to 0.4 s; open ones are served
/// for longer, since in a rolling restart the dispatcher before this one may need that time to be back.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);
/// Largest fraction of the time until [`ShutdownPhase::Finishing`] that clients are served as before.
const DRAIN_FRACTION: f64 = 0.6;
/// Upper bound of the longest request timeout in the time that is left until SIGKILL.
const MAX_COUNTED_TIMEOUT: Micros = 3_000_000;
/// Time that the platform leaves after the longest request timeout, until SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time before SIGKILL at which all requests are answered.
const FINISH_RESERVE: Duration = Duration::from_millis(250);

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// A shutdown was requested; all requests are still served, since clients may not know of it yet.
    Draining,
    /// Idle connections are closed, and new ones are no longer waited for.
    Closing,
    /// All open requests are answered now.
    Finishing,
    /// Connections that are still open are dropped: their request is incomplete, or the client does not read.
    Finished,
}

/// Runs the phases from the first SIGTERM or SIGINT on. `longest_timeout` is that of all classes.
///
/// # Errors
/// Returns an error if the signals cannot be handled.
pub fn listen_for_termination(longest_timeout: Micros) -> std::io::Result<watch::Receiver<ShutdownPhase>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, phase) = watch::channel(ShutdownPhase::Serving);
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        run_phases(&sender, longest_timeout).await;
    });
    Ok(phase)
}

/// Runs the phases after the signal within the time that the platform leaves before SIGKILL.
pub async fn run_phases(phase: &watch::Sender<ShutdownPhase>, longest_timeout: Micros) {
    phase.send_replace(ShutdownPhase::Draining);
    let until_finishing = (Duration::from_micros(longest_timeout.min(MAX_COUNTED_TIMEOUT)) + KILL_GRACE)
        .saturating_sub(FINISH_RESERVE);
    // With short timeouts SIGKILL comes early.
    let until_closing = DRAIN_PERIOD.min(until_finishing.mul_f64(DRAIN_FRACTION));
    sleep(until_closing).await;
    phase.send_replace(ShutdownPhase::Closing);
    sleep(until_finishing - until_closing).await;
    phase.send_replace(ShutdownPhase::Finishing);
    sleep(FINISH_RESERVE / 2).await;
    phase.send_replace(ShutdownPhase::Finished);
}
