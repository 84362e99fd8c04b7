//! Emulated workers, which record probes and jobs, and clients, which record the outcome of every job.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cluster_member::clock;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

use super::{
    class_of, JobArrival, JobOutcome, ProbeArrival, SharedObservations, JOB_TIMEOUT, RESPONSE_SLACK,
};
use crate::cluster::client::{submit_job, ClientJob};
use crate::cluster::emulated_worker::{
    is_health_check, job_id, write_done, write_healthy, write_started, ConnectionUse, EmulatedWorker,
};
use crate::cluster::worker_model::WorkerModel;
use crate::sockets::http::Head;

/// Interval at which a hung worker checks whether its hang is over.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An emulated worker at the address that it has for one dispatcher.
pub(super) struct WorkerAddress {
    pub(super) observations: SharedObservations,
    pub(super) worker: usize,
    pub(super) dispatcher: usize,
}

impl EmulatedWorker for WorkerAddress {
    async fn serve_request(&self, request: &Head, stream: &mut TcpStream) -> std::io::Result<ConnectionUse> {
        let is_probe = is_health_check(request);
        let job = job_id(request);
        let process = self.record_arrival(is_probe, &job);
        // An overloaded worker accepts no jobs and closes connections.
        if !is_probe && !process.accept_job(Instant::now()) {
            return Ok(ConnectionUse::Close);
        }
        // A hung worker reads requests and sends nothing.
        while self.observations.borrow().is_hung[self.worker] {
            sleep(HANG_POLL_INTERVAL).await;
        }
        if is_probe {
            write_healthy(stream).await?;
            return Ok(ConnectionUse::KeepOpen);
        }
        let Some(_slot) = process.slot().await else { return Ok(ConnectionUse::Close) };
        write_started(stream, &job).await?;
        sleep(process.sample_run_time(Instant::now())).await;
        write_done(stream, &job).await?;
        Ok(ConnectionUse::KeepOpen)
    }
}

impl WorkerAddress {
    /// Records a request; returns the current process of the worker.
    fn record_arrival(&self, is_probe: bool, job: &str) -> Rc<WorkerModel> {
        let time = clock::now();
        let WorkerAddress { worker, dispatcher, .. } = *self;
        let mut observations = self.observations.borrow_mut();
        if is_probe {
            observations.probes[worker].push(ProbeArrival { time, dispatcher });
        } else {
            let job = job.parse().unwrap_or(0);
            observations.jobs[worker].push(JobArrival { time, dispatcher, job });
        }
        observations.workers[worker].clone()
    }
}

/// Submits jobs to a dispatcher at a fixed rate, each on its own connection, and records their outcomes.
pub(super) async fn run_clients(
    observations: SharedObservations,
    dispatcher: usize,
    address: SocketAddr,
    rate: f64,
    end: Instant,
) {
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut count = 0u64;
    while Instant::now() < end {
        ticks.tick().await;
        count += 1;
        let job = (dispatcher as u64) << 32 | count;
        spawn_local(run_client(observations.clone(), dispatcher, address, job));
    }
}

/// Submits one job and records its outcome.
async fn run_client(observations: SharedObservations, dispatcher: usize, address: SocketAddr, job: u64) {
    let submitted_at = clock::now();
    let mut no_connection = None;
    let exchange = submit_job(&mut no_connection, address, ClientJob { class: class_of(job).name, id: job });
    let response = timeout(JOB_TIMEOUT + 10 * RESPONSE_SLACK, exchange).await;
    let status = response.ok().and_then(Result::ok).unwrap_or(0);
    let answered_at = clock::now();
    let outcome = JobOutcome { job, dispatcher, submitted_at, answered_at, status };
    observations.borrow_mut().outcomes.push(outcome);
}
