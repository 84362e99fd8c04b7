//! A client: submits jobs and waits for their whole answers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;

/// A job as a client submits it.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub idempotency_key: Option<String>,
    pub timeout: Duration,
    pub body: Vec<u8>,
}

impl Job {
    fn encode(&self) -> Vec<u8> {
        let Job { id, class, tenant, .. } = self;
        let timeout = self.timeout.as_millis();
        let mut request = format!(
            "POST /{class} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nTenant: {tenant}\r\n\
             Request-Timeout-Ms: {timeout}\r\n"
        );
        if let Some(key) = &self.idempotency_key {
            request.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        request.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut request = request.into_bytes();
        request.extend_from_slice(&self.body);
        request
    }
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Time of the last byte of the request.
    pub sent_at: Instant,
    /// Time of the last byte of the answer, or of the end of the wait.
    pub ended_at: Instant,
    /// Status of a whole answer; `None` without one.
    pub status: Option<u16>,
    /// Whether the connection stays open after the answer.
    pub keeps_open: bool,
}

impl Answer {
    /// Returns the time from the last byte of the request to the end of the wait.
    pub fn duration(&self) -> Duration {
        self.ended_at - self.sent_at
    }

    /// Returns the status and the duration for the record.
    pub fn text(&self) -> String {
        let status = self.status.map_or("no whole answer".to_owned(), |status| status.to_string());
        format!("{status}, {:.3} s after its last byte", self.duration().as_secs_f64())
    }
}

/// A connection of a client, on which it submits one job after another.
pub struct Connection {
    stream: TcpStream,
    reader: Reader,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, reader: Reader::default() })
    }

    /// Submits a job and waits for its answer for at most `wait`.
    pub fn submit(&mut self, job: &Job, wait: Duration) -> std::io::Result<Answer> {
        self.stream.set_read_timeout(Some(wait))?;
        self.stream.write_all(&job.encode())?;
        let sent_at = Instant::now();
        let answer = self.reader.read(&mut self.stream).ok().flatten();
        let ended_at = Instant::now();
        let status = answer.as_ref().and_then(|answer| answer.second_word().parse().ok());
        let keeps_open = answer.is_some_and(|answer| answer.header("Connection") != Some("close"));
        Ok(Answer { sent_at, ended_at, status, keeps_open })
    }
}

/// Submits a job on a connection of its own and waits for its answer for at most `wait`.
pub fn submit(address: SocketAddr, job: &Job, wait: Duration) -> std::io::Result<Answer> {
    Connection::open(address)?.submit(job, wait)
}

/// Returns whether `GET /healthz` is answered with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")?;
        let answer = Reader::default().read(&mut stream)?;
        Ok(answer.is_some_and(|answer| answer.second_word() == "200"))
    };
    ask().unwrap_or(false)
}
