//! Emulated operators, who keep draining dispatchers at their consoles.

use std::net::SocketAddr;
use std::time::Duration;

use cluster_member::clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{sleep, Instant};

use super::{SharedObservations, StandbyCall};
use crate::cluster::console::call_console;

/// Range of an operator's random pauses, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;
/// Longest pause before a retry, whatever the response asks for.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Pause before a retry if the response has no `Retry-After`, in seconds.
const DEFAULT_RETRY_AFTER_S: u32 = 1;

/// Drains a dispatcher repeatedly: requests a standby until it is granted, waits, and makes the dispatcher active
/// again.
pub(super) async fn run_operator(
    observations: SharedObservations,
    dispatcher: usize,
    console: SocketAddr,
    seed: u64,
) {
    let mut random = Pcg64::seed_from_u64(seed ^ (dispatcher as u64) << 24);
    let is_over = || observations.borrow().ended_at.is_some();
    while !is_over() {
        let pause = Duration::from_millis(random.random_range(PAUSE_MS));
        let next_call = Instant::now() + pause;
        while Instant::now() < next_call && !observations.borrow().call_now[dispatcher] {
            sleep(Duration::from_millis(20)).await;
        }
        request_standby(&observations, dispatcher, console).await;
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        // Retries until the dispatcher is active again; a process that was restarted meanwhile confirms it too.
        while !is_over() && !activate(console).await {
            sleep(Duration::from_millis(100)).await;
        }
        observations.borrow_mut().was_drained[dispatcher] = true;
    }
}

/// Requests a standby until it is granted or the schedule is over.
async fn request_standby(observations: &SharedObservations, dispatcher: usize, console: SocketAddr) {
    loop {
        let started_at = clock::now();
        let response = call_console(console, "POST", "/standby").await;
        let status = response.as_ref().map_or(0, |response| response.status);
        let call = StandbyCall { dispatcher, started_at, ended_at: clock::now(), status };
        observations.borrow_mut().calls.push(call);
        if status == 200 || observations.borrow().ended_at.is_some() {
            return;
        }
        let retry_after_s =
            response.and_then(|response| response.retry_after_s).unwrap_or(DEFAULT_RETRY_AFTER_S);
        sleep(Duration::from_secs(retry_after_s.into()).min(MAX_RETRY_PAUSE)).await;
    }
}

/// Makes a dispatcher active again; returns whether it confirmed that.
async fn activate(console: SocketAddr) -> bool {
    call_console(console, "POST", "/active").await.is_some_and(|response| response.status == 200)
}
