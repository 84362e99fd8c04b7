//! A shop worker: takes one request at a time on each connection and answers as the case tells it. What it does after a
//! connection has ended is not affected: a running job runs on.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{chunk, Message, Reader};

/// A job as a worker received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub id: String,
    pub class: String,
    pub idempotency_key: Option<String>,
    /// Number of the connection at this worker, from 1.
    pub connection: u64,
}

/// What a worker does with its connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    KeepOpen,
    Close,
}

/// Answers one job on its connection.
pub type Answering = dyn Fn(&Worker, &Received, &mut TcpStream) -> std::io::Result<Next> + Send + Sync;

/// A worker that listens.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub cell: u32,
    pub address: SocketAddr,
}

impl Worker {
    /// Starts a worker; each connection has a thread of its own.
    pub fn start(name: &str, cell: u32, answering: Arc<Answering>) -> std::io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker { name: name.to_owned(), cell, address: listener.local_addr()? };
        let serving = worker.clone();
        std::thread::spawn(move || {
            for (stream, connection) in listener.incoming().flatten().zip(1..) {
                let worker = serving.clone();
                let answering = answering.clone();
                std::thread::spawn(move || worker.serve(stream, connection, &*answering));
            }
        });
        Ok(worker)
    }

    fn serve(&self, mut stream: TcpStream, connection: u64, answering: &Answering) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        while let Ok(Some(request)) = reader.read(&mut stream) {
            let Some(received) = received(&request, connection) else {
                let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            };
            if !matches!(answering(self, &received, &mut stream), Ok(Next::KeepOpen)) {
                return;
            }
        }
    }

    /// Returns a line of an answer for this job.
    pub fn line(&self, received: &Received, rest: &str) -> String {
        format!("{{\"id\":\"{}\",\"from\":\"{}\",{rest}}}\n", received.id, self.name)
    }

    /// Writes the head of a 200 with a chunked body.
    pub fn write_ok(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    }

    /// Writes a line as one chunk.
    pub fn write_line(&self, received: &Received, rest: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&chunk(self.line(received, rest).as_bytes()))
    }

    /// Runs the job for this time and reports its progress every second. A connection that the dispatcher has closed
    /// does not end the run.
    pub fn run(&self, received: &Received, run_time: Duration, stream: &mut TcpStream) {
        let mut left = run_time;
        while left > Duration::ZERO {
            let step = left.min(Duration::from_secs(1));
            std::thread::sleep(step);
            left -= step;
            if left > Duration::ZERO {
                let share = 1.0 - left.as_secs_f64() / run_time.as_secs_f64();
                let _ =
                    self.write_line(received, &format!("\"state\":\"running\",\"share\":{share:.2}"), stream);
            }
        }
    }
}

fn received(request: &Message, connection: u64) -> Option<Received> {
    let class = request.second_word().trim_start_matches('/');
    Some(Received {
        id: request.header("Request-Id")?.to_owned(),
        class: class.split(['/', '?']).next().unwrap_or("").to_owned(),
        idempotency_key: request.header("Idempotency-Key").map(str::to_owned),
        connection,
    })
}
