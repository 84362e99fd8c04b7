//! Workers of a run over sockets: listeners and connections in front of the model of [`crate::worker`].

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

/// Opens the listeners of a worker, one for each dispatcher, and starts its model, which runs until its process ends.
pub(super) async fn serve(environment: &SharedEnvironment, worker_index: usize) -> io::Result<()> {
    let dispatchers = environment.borrow().agents.len();
    let mut ports = Vec::new();
    for dispatcher in 0..dispatchers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        ports.push(listener.local_addr()?.port());
        spawn_local(accept_connections(environment.clone(), worker_index, dispatcher, listener));
    }
    environment.borrow_mut().ports[worker_index] = ports;
    spawn_local(run_model(environment.clone(), worker_index));
    Ok(())
}

/// Wakes the model of a worker whenever its next event is due, until the process ends.
async fn run_model(environment: SharedEnvironment, worker_index: usize) {
    let process = environment.borrow().ended_processes[worker_index];
    let schedule_changed = environment.borrow().wake[worker_index].clone();
    while environment.borrow().ended_processes[worker_index] == process {
        let next = {
            let shared = environment.borrow();
            shared.workers[worker_index].next_event().map(|at| shared.instant(at))
        };
        let sleep = async {
            match next {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = schedule_changed.notified() => {}
            () = sleep => {
                if environment.borrow().ended_processes[worker_index] == process {
                    environment.borrow_mut().with_worker(worker_index, Worker::wake);
                }
            }
        }
    }
}

/// Accepts the connections of one dispatcher until the process of the worker ends. Closes new connections above the
/// worker's limit.
async fn accept_connections(
    environment: SharedEnvironment,
    worker_index: usize,
    dispatcher: usize,
    listener: TcpListener,
) {
    let process = environment.borrow().ended_processes[worker_index];
    let process_ended = environment.borrow().process_ended[worker_index].clone();
    loop {
        let stream = tokio::select! {
            () = process_ended.notified() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        if environment.borrow().ended_processes[worker_index] != process {
            return;
        }
        {
            let mut shared = environment.borrow_mut();
            if shared.connections[worker_index] >= shared.workers[worker_index].plan.max_connections {
                continue;
            }
            shared.connections[worker_index] += 1;
            shared.record.new_connections += 1;
        }
        let (environment, process_ended) = (environment.clone(), process_ended.clone());
        spawn_local(async move {
            tokio::select! {
                // The connections of a process end with it.
                () = process_ended.notified() => {}
                _ = serve_connection(&environment, worker_index, dispatcher, stream) => {}
            }
            let count = &mut environment.borrow_mut().connections[worker_index];
            *count = count.saturating_sub(1);
        });
    }
}

/// Serves the requests of a connection, one at a time.
async fn serve_connection(
    environment: &SharedEnvironment,
    worker_index: usize,
    dispatcher: usize,
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (network_delay, handshake_duration, idle_timeout) = {
        let shared = environment.borrow();
        let network = &shared.day.network;
        let network_delay = shared.network_delay(dispatcher, worker_index);
        let handshake_delay = 2 * network_delay.mul_f64(network.handshake_rtts);
        let handshake_cost = Duration::from_micros(micros(network.handshake));
        (network_delay, handshake_delay + handshake_cost, Duration::from_micros(network.idle))
    };
    tokio::time::sleep(handshake_duration).await;
    let mut buffer = BytesMut::with_capacity(4096);
    loop {
        let mut first_byte_at: Option<Micros> = None;
        let read = http::read_head(&mut stream, &mut buffer, http::MessageKind::Request, || {
            first_byte_at = Some(environment.borrow().now())
        });
        let Ok(head) = tokio::time::timeout(idle_timeout, read).await else { return Ok(()) };
        let Some(head) = head? else { return Ok(()) };
        let _ = http::read_body(&mut stream, &mut buffer, &head).await?;
        // An attempt is recorded once its last byte has arrived, with the arrival of its first byte as the sending
        // time.
        let sent_at = first_byte_at.unwrap_or_else(|| environment.borrow().now());
        let id = head.get("request-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
        let Some((attempt, mut events)) = record_attempt(environment, worker_index, dispatcher, id, sent_at)
        else {
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        };
        tokio::time::sleep(network_delay).await;
        offer_job(environment, worker_index, dispatcher, attempt);
        let mut cancel_guard = CancelOnDrop { environment, worker_index, attempt, complete: false };
        if !write_events(environment, worker_index, &mut stream, &mut buffer, id, network_delay, &mut events)
            .await?
        {
            return Ok(());
        }
        cancel_guard.complete = true;
    }
}

/// Guard that cancels an attempt at the worker when it is dropped before the attempt is complete, for example because
/// the connection closed.
struct CancelOnDrop<'a> {
    environment: &'a SharedEnvironment,
    worker_index: usize,
    attempt: usize,
    complete: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.complete {
            let attempt = self.attempt;
            self.environment.borrow_mut().with_worker(self.worker_index, |worker, now, events| {
                worker.cancel(attempt, now, events);
            });
        }
    }
}

/// Records an attempt whose request has arrived completely. Returns its index and the receiver of its events; none if
/// no client submitted a request with this id.
fn record_attempt(
    environment: &SharedEnvironment,
    worker_index: usize,
    dispatcher: usize,
    id: u64,
    sent_at: Micros,
) -> Option<(usize, mpsc::UnboundedReceiver<JobEvent>)> {
    let mut shared = environment.borrow_mut();
    let job = *shared.submissions.get(usize::try_from(id.checked_sub(1)?).ok()?)?;
    let plan = &shared.workers[worker_index].plan;
    let location = Location { zone: plan.zone, rack: plan.rack };
    let incarnation = shared.incarnation_id(dispatcher);
    let checker_attempt = shared.checker.record_attempt(ObservedAttempt {
        incarnation,
        request: id,
        worker: worker_index as u64,
        location,
        sent_at,
    });
    shared.record.sends += 1;
    shared.record.cross_zone_sends += u64::from(location.zone != shared.day.dispatchers[dispatcher].zone);
    shared.record.admitted[job as usize] = true;
    let first_sent = &mut shared.record.first_sent[job as usize];
    *first_sent = first_sent.or(Some(sent_at));
    let (sender, events) = mpsc::unbounded_channel();
    shared.attempts.push(Attempt { events: sender, request: id, job, checker_attempt, run: None });
    Some((shared.attempts.len() - 1, events))
}

/// Passes the job of an attempt to the model of the worker. Publishes the end of the process if the job overloads it.
fn offer_job(environment: &SharedEnvironment, worker_index: usize, dispatcher: usize, attempt: usize) {
    let mut guard = environment.borrow_mut();
    let shared = &mut *guard;
    if shared.workers[worker_index].phase == Phase::Ended {
        return;
    }
    let job = &shared.day.jobs[shared.attempts[attempt].job as usize];
    let cv = shared.day.work_noise[job.class as usize];
    let noise = LogNormal::new(-cv * cv / 2.0, cv).map_or(1.0, |noise| noise.sample(&mut shared.rng));
    let fails = shared.rng.random_bool(shared.workers[worker_index].plan.error_rate);
    let started_at = shared.workers[worker_index].started_at;
    let list_entry = shared.agents[dispatcher].entries.get(&worker_index);
    let sender_knew_start = list_entry.is_some_and(|entry| entry.started_at >= started_at);
    let assigned = AssignedJob {
        attempt,
        slots: job.slots,
        work: job.work * noise,
        expected_work: shared.day.mean_work[job.class as usize] * f64::from(job.slots),
        fails,
        sender_knew_start,
    };
    let rules = &shared.experiment.rules;
    let limit = OverloadLimit { multiple: rules.overload_multiple, window: micros(rules.overload_window) };
    let mut overload = None;
    shared.with_worker(worker_index, |worker, now, events| {
        overload = worker.offer(assigned, now, limit, events)
    });
    if let Some(overload) = overload {
        shared.checker.record_slow_start_overload(overload.by_informed_senders);
        shared.kill_worker(worker_index);
        let notice_delay = shared.day.discovery.death_notice;
        drop(guard);
        publish(environment, worker_index, EndpointPhase::Terminated, notice_delay);
    }
}

/// Writes the events of an attempt as lines of the response, until the final one. Returns whether the connection can
/// serve another request.
async fn write_events(
    environment: &SharedEnvironment,
    worker_index: usize,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    id: u64,
    network_delay: Duration,
    events: &mut mpsc::UnboundedReceiver<JobEvent>,
) -> io::Result<bool> {
    let mut head_written = false;
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            // A dispatcher sends nothing while it waits for a response, so readable means closed or a protocol error.
            end = readable(stream) => { end?; None }
        };
        let Some(event) = event else { return Ok(false) };
        tokio::time::sleep(network_delay).await;
        let line = |state: &str, other_fields: &str| {
            format!(
                "{{\"id\":\"{id:016x}\",\"from\":\"w-{worker_index}\",\"state\":\"{state}\"{other_fields}}}"
            )
        };
        let (line, is_last) = match event {
            JobEvent::Started(_) => (line("started", ""), false),
            JobEvent::Progress { completed_share, .. } => {
                (line("running", &format!(",\"share\":{completed_share:.3}")), false)
            }
            JobEvent::Done(_) => {
                (line("done", &format!(",\"result\":\"{id:016x} by w-{worker_index}\"")), true)
            }
            JobEvent::Failed(_) => (line("failed", ""), true),
            JobEvent::Rejected(attempt) => {
                let mut shared = environment.borrow_mut();
                let Attempt { request, checker_attempt, .. } = shared.attempts[attempt];
                shared.checker.record_never_ran(request, checker_attempt);
                (line("returned", ""), true)
            }
            JobEvent::Lost(_) => return Ok(false),
        };
        let mut message = Vec::new();
        if !std::mem::replace(&mut head_written, true) {
            message.extend_from_slice(CHUNKED_HEAD);
        }
        message.extend_from_slice(&chunk(&line));
        if is_last {
            message.extend_from_slice(LAST_CHUNK);
        }
        stream.write_all(&message).await?;
        if is_last {
            return Ok(buffer.is_empty());
        }
    }
}

/// Waits until the peer closes the connection, or sends data although it must wait for the response.
async fn readable(stream: &TcpStream) -> io::Result<()> {
    stream.readable().await?;
    let mut byte = [0];
    match stream.try_read(&mut byte) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => std::future::pending().await,
        Err(error) => Err(error),
        Ok(_) => Ok(()),
    }
}
