//! Graceful shutdown: its phases after the first SIGTERM or SIGINT.

use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

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

/// Times of the phases, counted from the signal.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    closing: Duration,
    finishing: Duration,
}

impl Schedule {
    /// Returns the times within which everything is answered before the platform sends SIGKILL.
    fn new(longest_timeout: Micros) -> Schedule {
        let counted_timeout = Duration::from_micros(longest_timeout.min(MAX_COUNTED_TIMEOUT));
        let finishing = (counted_timeout + KILL_GRACE).saturating_sub(FINISH_RESERVE);
        // Draining is shorter if the request timeouts are short, because SIGKILL then comes earlier.
        Schedule { closing: DRAIN_PERIOD.min(finishing.mul_f64(DRAIN_FRACTION)), finishing }
    }
}

/// The longest request timeout by which the platform may count, which only falls during a shutdown: the platform may
/// count by the settings of the signal or by later ones, and the shortest time loses nothing under either.
struct CountedTimeout {
    in_force: watch::Receiver<Micros>,
    shortest: Micros,
}

impl CountedTimeout {
    fn new(in_force: watch::Receiver<Micros>) -> CountedTimeout {
        let shortest = *in_force.borrow();
        CountedTimeout { in_force, shortest }
    }

    /// Sleeps until a time of the schedule, which may become earlier meanwhile.
    async fn sleep_until(&mut self, signal_at: Instant, time: impl Fn(Schedule) -> Duration) {
        loop {
            self.shortest = self.shortest.min(*self.in_force.borrow_and_update());
            let due_at = signal_at + time(Schedule::new(self.shortest));
            let changed = async {
                if self.in_force.changed().await.is_err() {
                    // No further configuration follows.
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                () = sleep_until(due_at) => return,
                () = changed => {}
            }
        }
    }
}

/// Waits for the first SIGTERM or SIGINT and then runs the phases. `longest_timeout` is the longest request timeout of
/// all classes in the settings in force.
///
/// # Errors
/// Returns an error if the signals cannot be handled.
pub fn listen_for_termination(
    longest_timeout: watch::Receiver<Micros>,
) -> std::io::Result<watch::Receiver<ShutdownPhase>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, phase) = watch::channel(ShutdownPhase::Serving);
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        run_phases_within(&sender, longest_timeout).await;
    });
    Ok(phase)
}

/// Runs the phases after the signal, with a longest request timeout that does not change.
pub async fn run_phases(phase: &watch::Sender<ShutdownPhase>, longest_timeout: Micros) {
    run_phases_within(phase, watch::channel(longest_timeout).1).await;
}

/// Runs the phases after the signal, within the time until the platform sends SIGKILL.
pub async fn run_phases_within(
    phase: &watch::Sender<ShutdownPhase>,
    longest_timeout: watch::Receiver<Micros>,
) {
    let signal_at = Instant::now();
    let mut timeout = CountedTimeout::new(longest_timeout);
    phase.send_replace(ShutdownPhase::Draining);
    timeout.sleep_until(signal_at, |schedule| schedule.closing).await;
    phase.send_replace(ShutdownPhase::Closing);
    timeout.sleep_until(signal_at, |schedule| schedule.finishing).await;
    phase.send_replace(ShutdownPhase::Finishing);
    sleep(FINISH_RESERVE / 2).await;
    phase.send_replace(ShutdownPhase::Finished);
}
