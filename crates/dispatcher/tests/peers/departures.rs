//! Clients that leave while their requests are unread, waiting or at a worker, and ids that come again.
//!
//! What must hold: nothing is sent to a worker for a client that left more than 0.1 s ago, and a job that must not run
//! twice does not run again when its id comes back, at the same process or at another one on the same socket.
//!
//! The failure that this guards against: the id of a request was forgotten as soon as its client had left, so that
//! 10 of 10 jobs ran twice.

use std::io::{ErrorKind, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::{job_head, Client, Limits, Program, Worker, WorkerMode};

const LIMITS: Limits = Limits { memory_mb: 32, descriptors: 256 };
/// Timeout of the jobs.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time that a job takes at a worker, longer than its first client stays.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Time that a client stays.
const STAY: Duration = Duration::from_millis(50);
/// Time after a client has left within which its disconnect must be known.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(100);
/// Requests that a client sends before it leaves, and number of such clients for each kind of request.
const PIPELINED: usize = 40;
const CLIENTS: usize = 5;

/// Sends as many bytes as the connection takes at once.
fn send_what_fits(client: &mut Client, bytes: &[u8]) {
    client.stream.set_nonblocking(true).expect("a socket");
    let mut sent = 0;
    while sent < bytes.len() {
        match client.stream.write(&bytes[sent..]) {
            Ok(count) => sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
}

/// Guards against requests that are sent on although their client closed the connection behind them, with bodies that
/// are read or not, at quick and slow workers.
#[test]
fn requests_behind_a_close_are_not_sent() {
    for (run_time_ms, body_bytes) in [(1, 0), (50, 0), (1, 8_000), (20, 60_000)] {
        let workers = [Worker::start(WorkerMode::Serve(Duration::from_millis(run_time_ms)))];
        let program = Program::start(LIMITS, &workers);
        for number in 0..CLIENTS {
            let prefix = format!("c{number}-");
            let body = "b".repeat(body_bytes);
            let request = |request| {
                let id = format!("{prefix}{request}");
                job_head("lookup", &id, CLIENT_TIMEOUT, body_bytes) + &body
            };
            let requests: String = (0..PIPELINED).map(request).collect();
            let mut client = program.connect();
            send_what_fits(&mut client, requests.as_bytes());
            thread::sleep(STAY);
            drop(client);
            let left_at = Instant::now();
            thread::sleep(2 * DEPARTURE_TIMEOUT + RUN_TIME);
            let late = workers[0].arrivals(&prefix).into_values().flatten();
            let late = late.filter(|arrival| *arrival > left_at + DEPARTURE_TIMEOUT).count();
            assert_eq!(
                late, 0,
                "{run_time_ms} ms, bodies of {body_bytes}: jobs began after their client had left"
            );
        }
    }
}

/// Sends a job and leaves while it runs.
fn send_and_leave(program: &Program, class: &str, id: &str) {
    let mut client = program.connect();
    client.send(job_head(class, id, CLIENT_TIMEOUT, 0).as_bytes());
    thread::sleep(STAY);
    drop(client);
    thread::sleep(DEPARTURE_TIMEOUT);
}

/// Sends a job and returns the status of its response.
fn send(program: &Program, class: &str, id: &str) -> Option<u16> {
    let mut client = program.connect();
    client.send(job_head(class, id, CLIENT_TIMEOUT, 0).as_bytes());
    client.response().map(|response| response.status)
}

fn runs(workers: &[Worker], id: &str) -> usize {
    workers.iter().map(|worker| worker.arrivals(id).values().map(Vec::len).sum::<usize>()).sum()
}

/// Guards against a second run of a job whose id comes again after its client has left, for a class that must not run
/// twice and one whose workers in one cell drop repeats. Other jobs are served, and one that may be repeated is.
#[test]
fn an_id_that_comes_again_does_not_run_twice() {
    let workers: Vec<Worker> = (0..4).map(|_| Worker::start(WorkerMode::Serve(RUN_TIME))).collect();
    let program = Program::start(LIMITS, &workers);
    for number in 0..5 {
        for class in ["once", "order"] {
            let id = format!("{class}-{number}");
            send_and_leave(&program, class, &id);
            assert_eq!(send(&program, class, &id), Some(409), "{id}");
            assert_eq!(runs(&workers, &id), 1, "{id}");
            assert_eq!(send(&program, class, &format!("new-{id}")), Some(200), "a new id of {class}");
        }
    }
    send_and_leave(&program, "lookup", "repeatable");
    assert_eq!(send(&program, "lookup", "repeatable"), Some(200));
}

/// Guards against a second run of a job whose id comes again at the other process of an upgrade, in both directions.
#[test]
fn an_id_that_comes_again_at_the_other_process_does_not_run_twice() {
    let workers: Vec<Worker> = (0..4).map(|_| Worker::start(WorkerMode::Serve(RUN_TIME))).collect();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let old = Program::start_on(&listener, LIMITS, &workers);
    old.wait_until_ready();
    for number in 0..3 {
        send_and_leave(&old, "once", &format!("old-{number}"));
    }
    // Processes that are stopped accept no connection, so that the other one gets it.
    let new = Program::start_on(&listener, LIMITS, &workers);
    old.signal("-STOP");
    new.wait_until_ready();
    for number in 0..3 {
        let id = format!("old-{number}");
        assert_eq!(send(&new, "once", &id), Some(409), "{id}");
        assert_eq!(runs(&workers, &id), 1, "{id}");
        send_and_leave(&new, "once", &format!("new-{number}"));
    }
    old.signal("-CONT");
    new.signal("-STOP");
    for number in 0..3 {
        let id = format!("new-{number}");
        assert_eq!(send(&old, "once", &id), Some(409), "{id}");
        assert_eq!(runs(&workers, &id), 1, "{id}");
    }
    new.signal("-CONT");
    assert_eq!(send(&new, "once", "another"), Some(200));
}
