//! Emulated workers, which record who probed them and what they were sent, and clients that account for every job.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cluster_member::clock;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

use super::{SharedObservations, ANSWER_SLACK, CLASSES, DEADLINE};
use crate::cluster::dispatch_latency::submit_job;
use crate::sockets::http::{self, chunk, CHUNKED, LAST_CHUNK};

/// A emulated worker's door for one dispatcher.
pub(super) async fn serve_worker(
    observations: SharedObservations,
    worker: usize,
    dispatcher: usize,
    listener: TcpListener,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let observations = observations.clone();
        spawn_local(async move {
            // A connection that breaks is the other side's matter.
            let _ = serve(&observations, worker, dispatcher, stream).await;
        });
    }
}

pub(super) async fn serve(
    observations: &SharedObservations,
    worker: usize,
    dispatcher: usize,
    mut stream: TcpStream,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    while let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? {
        let _ = http::body(&mut stream, &mut buffer, &head).await?;
        let now = clock::now();
        let probe = head.path.contains("/healthz");
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let runs = {
            let mut observations = observations.borrow_mut();
            if probe {
                observations.probes[worker].push((now, dispatcher));
            } else {
                observations.jobs[worker].push((now, dispatcher, id.parse().unwrap_or(0)));
            }
            observations.workers[worker].clone()
        };
        // One that was pushed over closes what comes.
        if !probe && !runs.accept_job(Instant::now()) {
            return Ok(());
        }
        // One that hangs takes what comes and says nothing until the other side gives up.
        while observations.borrow().hung[worker] {
            sleep(Duration::from_millis(20)).await;
        }
        if probe {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        let line = |state: &str| json!({"id": id, "state": state, "result": "ok"}).to_string();
        let Some(_slot) = runs.slot().await else { return Ok(()) };
        stream.write_all(&[CHUNKED, chunk(&line("started")).as_slice()].concat()).await?;
        sleep(runs.sample_run_time(Instant::now())).await;
        stream.write_all(&[chunk(&line("done")).as_slice(), LAST_CHUNK].concat()).await?;
    }
    Ok(())
}

/// Hands jobs to a dispatcher, each on a connection of its own, and notes what comes of them.
pub(super) async fn run_clients(
    observations: SharedObservations,
    dispatcher: usize,
    address: SocketAddr,
    rate: f64,
    end: Instant,
) {
    let mut beats = interval(Duration::from_secs_f64(1.0 / rate));
    beats.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut count = 0u64;
    while Instant::now() < end {
        beats.tick().await;
        count += 1;
        let (observations, id) = (observations.clone(), (dispatcher as u64) << 32 | count);
        spawn_local(async move {
            let from = clock::now();
            let answer =
                timeout(DEADLINE + 10 * ANSWER_SLACK, submit_job(&mut None, address, (class_of(id), id)))
                    .await;
            let status = answer.ok().and_then(Result::ok).unwrap_or(0);
            observations.borrow_mut().answers.push((dispatcher, from, clock::now(), status, id));
        });
    }
}

/// The class of a job.
pub(super) fn class_of(id: u64) -> &'static str {
    CLASSES[id as usize % CLASSES.len()].0
}
