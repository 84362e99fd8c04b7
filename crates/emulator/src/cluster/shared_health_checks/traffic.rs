//! Emulated workers, which record probes and jobs, and clients that account for every job.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cluster_member::clock;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

use super::{class_of, JobAnswer, JobArrival, ProbeArrival, SharedObservations, ANSWER_SLACK, JOB_TIMEOUT};
use crate::cluster::dispatch_latency::submit_job;
use crate::sockets::http::{self, chunk, CHUNKED, LAST_CHUNK};

/// Serves an emulated worker's address for one dispatcher.
pub(super) async fn serve_worker(
    observations: SharedObservations,
    worker: usize,
    dispatcher: usize,
    listener: TcpListener,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let observations = observations.clone();
        spawn_local(async move {
            // Connections may break under faults.
            let _ = serve(&observations, worker, dispatcher, stream).await;
        });
    }
}

async fn serve(
    observations: &SharedObservations,
    worker: usize,
    dispatcher: usize,
    mut stream: TcpStream,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    while let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? {
        let _ = http::body(&mut stream, &mut buffer, &head).await?;
        let time = clock::now();
        let is_probe = head.path.contains("/healthz");
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let process = {
            let mut observations = observations.borrow_mut();
            if is_probe {
                observations.probes[worker].push(ProbeArrival { time, dispatcher });
            } else {
                let job = id.parse().unwrap_or(0);
                observations.jobs[worker].push(JobArrival { time, dispatcher, job });
            }
            observations.workers[worker].clone()
        };
        // An overloaded worker is down: it closes connections.
        if !is_probe && !process.accept_job(Instant::now()) {
            return Ok(());
        }
        // A hung worker reads requests and sends nothing.
        while observations.borrow().is_hung[worker] {
            sleep(Duration::from_millis(20)).await;
        }
        if is_probe {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        let line = |state: &str| json!({"id": id, "state": state, "result": "ok"}).to_string();
        let Some(_slot) = process.slot().await else { return Ok(()) };
        stream.write_all(&[CHUNKED, chunk(&line("started")).as_slice()].concat()).await?;
        sleep(process.sample_run_time(Instant::now())).await;
        stream.write_all(&[chunk(&line("done")).as_slice(), LAST_CHUNK].concat()).await?;
    }
    Ok(())
}

/// Submits jobs to a dispatcher, each on a connection of its own, and records their answers.
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

/// Submits one job and records its answer.
async fn run_client(observations: SharedObservations, dispatcher: usize, address: SocketAddr, job: u64) {
    let submitted_at = clock::now();
    let mut no_connection = None;
    let exchange = submit_job(&mut no_connection, address, (class_of(job).name, job));
    let answer = timeout(JOB_TIMEOUT + 10 * ANSWER_SLACK, exchange).await;
    let status = answer.ok().and_then(Result::ok).unwrap_or(0);
    let answered_at = clock::now();
    let answer = JobAnswer { job, dispatcher, submitted_at, answered_at, status };
    observations.borrow_mut().answers.push(answer);
}
