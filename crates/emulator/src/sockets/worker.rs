//! Workers on sockets: the model of [`crate::worker`] behind listeners.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use rand::Rng as _;
use rand_distr::{Distribution as _, LogNormal};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::discovery::{publish, EndpointPhase};
use super::environment::{Attempt, SharedEnvironment};
use super::http::{self, chunk, CHUNKED_HEAD, LAST_CHUNK};
use crate::checker::{Location, ObservedAttempt};
use crate::day::{micros, Micros};
use crate::worker::{AssignedJob, JobEvent, OverloadLimit, Phase, Worker};

/// Opens a worker's listeners, one for each dispatcher, and runs its model until its process ends.
pub(super) async fn serve(environment: &SharedEnvironment, w: usize) -> io::Result<()> {
    let hosts = environment.borrow().agents.len();
    let mut ports = Vec::new();
    for host in 0..hosts {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        ports.push(listener.local_addr()?.port());
        spawn_local(listen(environment.clone(), w, host, listener));
    }
    environment.borrow_mut().ports[w] = ports;
    spawn_local(run_model(environment.clone(), w));
    Ok(())
}

/// Wakes the model when it is due.
async fn run_model(environment: SharedEnvironment, w: usize) {
    let process = environment.borrow().processes[w];
    let due = environment.borrow().wake[w].clone();
    while environment.borrow().processes[w] == process {
        let next = {
            let shared = environment.borrow();
            shared.workers[w].next_event().map(|at| shared.instant(at))
        };
        let sleep = async {
            match next {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due.notified() => {}
            () = sleep => {
                if environment.borrow().processes[w] == process {
                    environment.borrow_mut().with_worker(w, Worker::wake);
                }
            }
        }
    }
}

async fn listen(environment: SharedEnvironment, w: usize, host: usize, listener: TcpListener) {
    let process = environment.borrow().processes[w];
    let ended = environment.borrow().ended[w].clone();
    loop {
        let stream = tokio::select! {
            () = ended.notified() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        if environment.borrow().processes[w] != process {
            return;
        }
        {
            let mut shared = environment.borrow_mut();
            if shared.connections[w] >= shared.workers[w].plan.max_connections {
                continue;
            }
            shared.connections[w] += 1;
            shared.record.new_connections += 1;
        }
        let (environment, ended) = (environment.clone(), ended.clone());
        spawn_local(async move {
            tokio::select! {
                // The process ends, and its connections with it.
                () = ended.notified() => {}
                _ = connection(&environment, w, host, stream) => {}
            }
            let count = &mut environment.borrow_mut().connections[w];
            *count = count.saturating_sub(1);
        });
    }
}

/// Serves the requests of a connection, one at a time.
async fn connection(
    environment: &SharedEnvironment,
    w: usize,
    host: usize,
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (way, shake, idle) = {
        let shared = environment.borrow();
        let net = &shared.day.network;
        let way = shared.network_delay(host, w);
        (way, 2 * way.mul_f64(net.handshake_rtts) + Duration::from_micros(micros(net.handshake)), net.idle)
    };
    tokio::time::sleep(shake).await;
    let mut buffer = BytesMut::with_capacity(4096);
    loop {
        let mut first: Option<Micros> = None;
        let begins = http::read_head(&mut stream, &mut buffer, http::MessageKind::Request, || {
            first = Some(environment.borrow().now())
        });
        let Ok(head) = tokio::time::timeout(Duration::from_micros(idle), begins).await else { return Ok(()) };
        let Some(head) = head? else { return Ok(()) };
        let _ = http::read_body(&mut stream, &mut buffer, &head).await?;
        // The last byte has come: from here on it counts.
        let begun = first.unwrap_or_else(|| environment.borrow().now());
        let id = head.get("request-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
        let Some((n, mut events)) = record_attempt(environment, w, host, id, begun) else {
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        };
        tokio::time::sleep(way).await;
        offer_job(environment, w, host, n);
        let mut called_off = CancelOnDrop { environment, w, n, complete: false };
        if !write_events(environment, w, &mut stream, &mut buffer, id, way, &mut events).await? {
            return Ok(());
        }
        called_off.complete = true;
    }
}

/// An attempt whose connection is closed is given up.
struct CancelOnDrop<'a> {
    environment: &'a SharedEnvironment,
    w: usize,
    n: usize,
    complete: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.complete {
            let n = self.n;
            self.environment.borrow_mut().with_worker(self.w, |worker, now, events| {
                worker.cancel(n, now, events);
            });
        }
    }
}

/// Notes a request that came whole, for the checker.
fn record_attempt(
    environment: &SharedEnvironment,
    w: usize,
    host: usize,
    id: u64,
    begun: Micros,
) -> Option<(usize, mpsc::UnboundedReceiver<JobEvent>)> {
    let mut shared = environment.borrow_mut();
    let job = *shared.submissions.get(usize::try_from(id.checked_sub(1)?).ok()?)?;
    let plan = &shared.workers[w].plan;
    let location = Location { zone: plan.zone, rack: plan.rack };
    let incarnation = shared.incarnation_id(host);
    let send = shared.checker.record_attempt(ObservedAttempt {
        incarnation,
        request: id,
        worker: w as u64,
        location,
        sent_at: begun,
    });
    shared.record.sends += 1;
    shared.record.cross_zone_sends += u64::from(location.zone != shared.day.dispatchers[host].zone);
    shared.record.admitted[job as usize] = true;
    let first = &mut shared.record.first_sent[job as usize];
    *first = first.or(Some(begun));
    let (sender, events) = mpsc::unbounded_channel();
    shared.attempts.push(Attempt { events: sender, request: id, job, checker_send: send, run: None });
    Some((shared.attempts.len() - 1, events))
}

/// The request reaches the model.
fn offer_job(environment: &SharedEnvironment, w: usize, host: usize, n: usize) {
    let mut guard = environment.borrow_mut();
    let shared = &mut *guard;
    if shared.workers[w].phase == Phase::Ended {
        return;
    }
    let job = &shared.day.jobs[shared.attempts[n].job as usize];
    let cv = shared.day.work_noise[job.class as usize];
    let noise = LogNormal::new(-cv * cv / 2.0, cv).map_or(1.0, |noise| noise.sample(&mut shared.rng));
    let fails = shared.rng.random_bool(shared.workers[w].plan.error_rate);
    let since = shared.workers[w].started_at;
    let informed = shared.agents[host].entries.get(&w).is_some_and(|line| line.started_at >= since);
    let task = AssignedJob {
        attempt: n,
        slots: job.slots,
        work: job.work * noise,
        expected_work: shared.day.mean_work[job.class as usize] * f64::from(job.slots),
        fails,
        sender_knew_start: informed,
    };
    let rules = &shared.experiment.rules;
    let fall = OverloadLimit { multiple: rules.overload_multiple, window: micros(rules.overload_window) };
    let mut fallen = None;
    shared.with_worker(w, |worker, now, events| fallen = worker.offer(task, now, fall, events));
    if let Some(fallen) = fallen {
        shared.checker.record_slow_start_overload(fallen.by_informed_senders);
        shared.kill_worker(w);
        let silent = shared.day.discovery.death_notice;
        drop(guard);
        publish(environment, w, EndpointPhase::Terminated, silent);
    }
}

/// Writes what the worker says of an attempt; false where the connection is of no more use.
async fn write_events(
    environment: &SharedEnvironment,
    w: usize,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    id: u64,
    way: Duration,
    events: &mut mpsc::UnboundedReceiver<JobEvent>,
) -> io::Result<bool> {
    let mut begun = false;
    loop {
        let note = tokio::select! {
            note = events.recv() => note,
            // Nothing is sent while an answer is awaited: what comes is the end.
            end = readable(stream) => { end?; None }
        };
        let Some(note) = note else { return Ok(false) };
        tokio::time::sleep(way).await;
        let line = |state: &str, more: &str| {
            format!("{{\"id\":\"{id:016x}\",\"from\":\"w-{w}\",\"state\":\"{state}\"{more}}}")
        };
        let (line, last) = match note {
            JobEvent::Started(_) => (line("started", ""), false),
            JobEvent::Progress { completed_share, .. } => {
                (line("running", &format!(",\"share\":{completed_share:.3}")), false)
            }
            JobEvent::Done(_) => (line("done", &format!(",\"result\":\"{id:016x} by w-{w}\"")), true),
            JobEvent::Failed(_) => (line("failed", ""), true),
            JobEvent::Rejected(n) => {
                let mut shared = environment.borrow_mut();
                let (request, send) = (shared.attempts[n].request, shared.attempts[n].checker_send);
                shared.checker.record_never_ran(request, send);
                (line("returned", ""), true)
            }
            JobEvent::Lost(_) => return Ok(false),
        };
        let mut message = Vec::new();
        if !std::mem::replace(&mut begun, true) {
            message.extend_from_slice(CHUNKED_HEAD);
        }
        message.extend_from_slice(&chunk(&line));
        if last {
            message.extend_from_slice(LAST_CHUNK);
        }
        stream.write_all(&message).await?;
        if last {
            return Ok(buffer.is_empty());
        }
    }
}

/// Waits until the other side ends the connection or sends what it should not.
async fn readable(stream: &TcpStream) -> io::Result<()> {
    stream.readable().await?;
    let mut byte = [0];
    match stream.try_read(&mut byte) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => std::future::pending().await,
        Err(error) => Err(error),
        Ok(_) => Ok(()),
    }
}
