//! A graceful shutdown: its phases from the first SIGTERM or SIGINT on.

use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::engine::Micros;

/// This long after the signal clients are sent elsewhere. New connections come for up to 0.4 s; those that
/// clients have are served for longer, since elsewhere may be nobody: restarts roll, and a dispatcher that went
/// just before takes this long to be back. What comes late still has time to end before SIGKILL.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);
/// The longest deadline counts as this where it is longer, and so long after it SIGKILL may come.
const MAX_COUNTED_TIMEOUT: Micros = 3_000_000;
const KILL_GRACE: Duration = Duration::from_millis(700);
/// All is answered so long before SIGKILL may come.
const FINISH_RESERVE: Duration = Duration::from_millis(250);

/// How far the end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Serving.
    Serving,
    /// Told to end; clients may not know yet, and all that comes is served.
    Draining,
    /// Connections on which nothing is asked are closed, and no new ones are awaited.
    Closing,
    /// Time is up: what is open is answered now.
    Finishing,
    /// What has no answer by now has no whole request, or does not read.
    Finished,
}

/// Goes through the phases from the first SIGTERM or SIGINT on.
///
/// # Errors
/// The signals cannot be caught.
pub fn listen_for_termination(longest: Micros) -> std::io::Result<watch::Receiver<ShutdownPhase>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, phase) = watch::channel(ShutdownPhase::Serving);
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        run_phases(&sender, longest).await;
    });
    Ok(phase)
}

/// The phases after the signal, by the time that a platform leaves before it kills.
pub async fn run_phases(phase: &watch::Sender<ShutdownPhase>, longest: Micros) {
    phase.send_replace(ShutdownPhase::Draining);
    let finish =
        (Duration::from_micros(longest.min(MAX_COUNTED_TIMEOUT)) + KILL_GRACE).saturating_sub(FINISH_RESERVE);
    // Where deadlines are short SIGKILL comes early.
    let closing = DRAIN_PERIOD.min(finish.mul_f64(0.6));
    sleep(closing).await;
    phase.send_replace(ShutdownPhase::Closing);
    sleep(finish - closing).await;
    phase.send_replace(ShutdownPhase::Finishing);
    sleep(FINISH_RESERVE / 2).await;
    phase.send_replace(ShutdownPhase::Finished);
}
