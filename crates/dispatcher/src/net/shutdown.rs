//! Graceful shutdown: its phases after the first SIGTERM or SIGINT.

use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::engine::Micros;

/// Time from the signal until idle client connections are closed. New connections arrive for up to 0.4 s. Open ones are
/// served for longer, because in a rolling restart the dispatcher restarted before may not yet serve again.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);
/// Maximum length of [`ShutdownPhase::Draining`], as a fraction of the time until [`ShutdownPhase::Finishing`].
const DRAIN_FRACTION: f64 = 0.6;
/// Upper bound of the request timeout that the platform takes into account before it sends SIGKILL, in microseconds.
const MAX_COUNTED_TIMEOUT: Micros = 3_000_000;
/// Time from the longest request timeout until the platform sends SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time before SIGKILL at which [`ShutdownPhase::Finishing`] begins.
const FINISH_RESERVE: Duration = Duration::from_millis(250);

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// A shutdown was requested. All requests are still served, because clients may not have noticed it yet.
    Draining,
    /// Idle connections are closed, and no further connections are awaited.
    Closing,
    /// All open requests are answered at once.
    Finishing,
    /// Connections that are still open are dropped. Their request is incomplete, or the client does not read the
    /// response.
    Finished,
}

/// Waits for the first SIGTERM or SIGINT and then runs the phases. `longest_timeout` is the longest request timeout of
/// all classes.
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

/// Runs the phases after the signal, within the time until the platform sends SIGKILL.
pub async fn run_phases(phase: &watch::Sender<ShutdownPhase>, longest_timeout: Micros) {
    phase.send_replace(ShutdownPhase::Draining);
    let until_finishing = (Duration::from_micros(longest_timeout.min(MAX_COUNTED_TIMEOUT)) + KILL_GRACE)
        .saturating_sub(FINISH_RESERVE);
    // Draining is shorter if the request timeouts are short, because SIGKILL then comes earlier.
    let until_closing = DRAIN_PERIOD.min(until_finishing.mul_f64(DRAIN_FRACTION));
    sleep(until_closing).await;
    phase.send_replace(ShutdownPhase::Closing);
    sleep(until_finishing - until_closing).await;
    phase.send_replace(ShutdownPhase::Finishing);
    sleep(FINISH_RESERVE / 2).await;
    phase.send_replace(ShutdownPhase::Finished);
}
