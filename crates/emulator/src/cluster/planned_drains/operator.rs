//! Operators, who drain dispatchers at their consoles all the time.

use std::net::SocketAddr;
use std::time::Duration;

use cluster_member::clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{sleep, Instant};

use super::{SharedObservations, StandbyCall};
use crate::cluster::console::call_console;

/// Range of the pauses of an operator, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;
/// Longest pause before a rejected call is repeated.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Pause before a rejected call is repeated where the answer has no Retry-After, in seconds.
const DEFAULT_RETRY_AFTER_S: u32 = 1;

/// Drains a dispatcher from time to time: requests a standby until it is granted, waits, and makes it active again.
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
        // Until it is active again, or another process.
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
        let answer = call_console(console, "POST", "/standby").await;
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let call = StandbyCall { dispatcher, started_at, ended_at: clock::now(), status };
        observations.borrow_mut().calls.push(call);
        if status == 200 || observations.borrow().ended_at.is_some() {
            return;
        }
        let retry_after_s = answer.and_then(|answer| answer.retry_after_s).unwrap_or(DEFAULT_RETRY_AFTER_S);
        sleep(Duration::from_secs(retry_after_s.into()).min(MAX_RETRY_PAUSE)).await;
    }
}

/// Makes a dispatcher active again; returns whether it answered so.
async fn activate(console: SocketAddr) -> bool {
    call_console(console, "POST", "/active").await.is_some_and(|answer| answer.status == 200)
}
