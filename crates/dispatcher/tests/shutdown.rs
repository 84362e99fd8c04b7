//! The times of a shutdown follow the settings in force.

use std::time::Duration;

use dispatcher::engine::Micros;
use dispatcher::net::shutdown::{run_phases_within, ShutdownPhase};
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

const SECOND: Micros = 1_000_000;
/// Time from the signal to a reload during the shutdown.
const RELOAD_AFTER: Duration = Duration::from_millis(200);
/// Time from the longest timeout until the platform ends the process.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Longest timeout that the platform counts.
const MAX_COUNTED: Duration = Duration::from_secs(3);

/// Guards against open jobs that the platform's SIGKILL finds unanswered, because the shutdown was timed by the settings of
/// the start: everything is answered in the time that the shortest settings from the signal on allow.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn open_jobs_are_answered_before_the_process_is_killed() {
    let cases =
        [(10, 10, 10, MAX_COUNTED), (10, 1, 1, Duration::from_secs(1)), (1, 2, 2, Duration::from_secs(2))];
    let during = [(10, 10, 1, Duration::from_secs(1)), (1, 1, 10, Duration::from_secs(1))];
    for (at_start, at_signal, during, counted) in cases.into_iter().chain(during) {
        let (in_force, longest_timeout) = watch::channel(at_start * SECOND);
        in_force.send_replace(at_signal * SECOND);
        let (phase, mut phases) = watch::channel(ShutdownPhase::Serving);
        let signal_at = Instant::now();
        let reload = async {
            sleep(RELOAD_AFTER).await;
            in_force.send_replace(during * SECOND);
        };
        let finishing = async {
            let reached = phases.wait_for(|phase| *phase >= ShutdownPhase::Finishing).await;
            reached.expect("a shutdown");
            signal_at.elapsed()
        };
        let ((), (), finishing) = tokio::join!(run_phases_within(&phase, longest_timeout), reload, finishing);
        let killed = counted + KILL_GRACE;
        assert!(finishing < killed, "{at_start}, {at_signal}, {during}: {finishing:?} of {killed:?}");
        assert!(finishing > counted, "{at_start}, {at_signal}, {during}: {finishing:?} of {killed:?}");
    }
}
