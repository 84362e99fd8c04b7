//! Stand-in shop workers. A worker reads one request after another off a connection and answers each by a plan: which
//! bytes are written when. A writer of the connection writes them in the order of their times.

use std::collections::{BinaryHeap, HashMap};
use std::cmp::Reverse;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;

/// A job that a worker was sent, with its last byte.
pub struct Job {
    pub id: String,
    pub key: Option<String>,
    pub class: String,
    pub body: Vec<u8>,
    pub read_at: Instant,
}

/// One run of a job: a worker began it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub worker: String,
    pub cell: u32,
    pub id: String,
    pub key: Option<String>,
}

/// The runs of all workers, and the keys that the workers of each cell have seen.
#[derive(Clone)]
pub struct Runs {
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    keys: Arc<Mutex<HashMap<(u32, String), Instant>>>,
}

impl Runs {
    pub fn new(record: &Record) -> Runs {
        Runs { record: record.clone(), runs: Arc::default(), keys: Arc::default() }
    }

    /// Begins a job. The workers of one cell drop a repeat of a key for `window`; returns whether the job runs.
    pub fn begin(&self, worker: &Worker, job: &Job, window: Duration) -> bool {
        if let Some(key) = &job.key {
            let mut keys = self.keys.lock().unwrap();
            let now = Instant::now();
            let seen = keys.get(&(worker.cell, key.clone())).copied();
            if seen.is_some_and(|seen| now < seen + window) {
                self.record.line(&format!("worker {} (cell {}) drops the repeat of {key} ({})", worker.name, worker.cell, job.id));
                return false;
            }
            keys.insert((worker.cell, key.clone()), now);
        }
        self.record.line(&format!(
            "worker {} (cell {}) runs {} {} key {}",
            worker.name,
            worker.cell,
            job.class,
            job.id,
            job.key.as_deref().unwrap_or("-")
        ));
        self.runs.lock().unwrap().push(Run {
            at: self.record.now(),
            worker: worker.name.clone(),
            cell: worker.cell,
            id: job.id.clone(),
            key: job.key.clone(),
        });
        true
    }

    pub fn all(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

/// Bytes that are written at a time.
pub type Plan = Vec<(Instant, Vec<u8>)>;

/// Decides how a worker answers a job.
pub type Behavior = dyn Fn(&Worker, &Job) -> Plan + Send + Sync;

pub struct Worker {
    pub name: String,
    pub zone: &'static str,
    pub cell: u32,
    pub port: u16,
}

impl Worker {
    /// Starts a worker.
    pub fn start(name: &str, zone: &'static str, cell: u32, behavior: Arc<Behavior>) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let port = listener.local_addr().map(|address| address.port()).unwrap_or(0);
        let worker = Arc::new(Worker { name: name.to_owned(), zone, cell, port });
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = accepting.clone();
                let behavior = behavior.clone();
                thread::spawn(move || worker.serve(stream, &*behavior));
            }
        });
        worker
    }

    fn serve(&self, stream: TcpStream, behavior: &Behavior) {
        let _ = stream.set_nodelay(true);
        let Ok(write_half) = stream.try_clone() else { return };
        let (writes, due) = channel();
        thread::spawn(move || write_when_due(write_half, &due));
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message() {
            let path = message.start.split(' ').nth(1).unwrap_or("").to_owned();
            let job = Job {
                id: message.header("Request-Id").unwrap_or("").to_owned(),
                key: message.header("Idempotency-Key").map(str::to_owned),
                class: path.trim_start_matches('/').split(['/', '?']).next().unwrap_or("").to_owned(),
                body: message.body,
                read_at: Instant::now(),
            };
            for write in behavior(self, &job) {
                send(&writes, write);
            }
        }
    }

    /// Returns this worker's entry in discovery's list.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"127.0.0.1:{}","locality":"{}","flavor":"gen2","cell":{},"phase":"in_service","size":1.0,"up_since_ms":0}}"#,
            self.name, self.port, self.zone, self.cell
        )
    }
}

fn send(writes: &Sender<(Instant, Vec<u8>)>, write: (Instant, Vec<u8>)) {
    let _ = writes.send(write);
}

fn write_when_due(mut stream: TcpStream, due: &Receiver<(Instant, Vec<u8>)>) {
    let mut waiting = BinaryHeap::new();
    let mut number = 0u64;
    let mut open = true;
    loop {
        let next: Option<Instant> = waiting.peek().map(|Reverse((at, _, _)): &Reverse<(Instant, u64, Vec<u8>)>| *at);
        let received = match next {
            None if !open => return,
            None => due.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(at) if open => due.recv_timeout(at.saturating_duration_since(Instant::now())),
            Some(at) => {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                Err(RecvTimeoutError::Timeout)
            }
        };
        match received {
            Ok((at, bytes)) => {
                number += 1;
                waiting.push(Reverse((at, number, bytes)));
            }
            Err(RecvTimeoutError::Disconnected) => open = false,
            Err(RecvTimeoutError::Timeout) => {}
        }
        while waiting.peek().is_some_and(|Reverse((at, _, _))| *at <= Instant::now()) {
            let Some(Reverse((_, _, bytes))) = waiting.pop() else { break };
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

pub const TAKEN: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
pub const TURNED_AWAY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// Returns the bytes of an answer that takes the job and tells its start.
pub fn started(worker: &Worker, job: &Job) -> Vec<u8> {
    let line = format!(r#"{{"id":"{}","from":"{}","state":"started"}}"#, job.id, worker.name);
    [TAKEN, &chunk(&line)].concat()
}

/// Returns the bytes of the last line and the end of the answer.
pub fn ended(worker: &Worker, job: &Job, state: &str) -> Vec<u8> {
    let result = if state == "done" { format!(r#","result":"result of {}""#, job.id) } else { String::new() };
    let line = format!(r#"{{"id":"{}","from":"{}","state":"{state}"{result}}}"#, job.id, worker.name);
    [chunk(&line).as_slice(), b"0\r\n\r\n"].concat()
}
