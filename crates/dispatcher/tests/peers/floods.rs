//! One client that sends requests on one connection as fast as the dispatcher reads them.
//!
//! What must hold: other clients are served as if they were alone, and the memory does not grow with the number of
//! requests.
//!
//! The failure that this guards against: requests with ever new affinity keys, and jobs that were rejected at once, each
//! left an entry behind until their deadline or for 20 s, about 4 MB a second.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::{job_head, Limits, Program, Worker, QUICK_CLASS};

const LIMITS: Limits = Limits { memory_mb: 32, descriptors: 256 };
/// Requests that the flooding client writes at once.
const BATCH: u64 = 200;
/// Time before the memory is first read, in which buffers and tables reach their size.
const WARM_UP: Duration = Duration::from_secs(1);
/// Time in which the memory must not grow any more.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Growth in that time that is not one of requests, such as of the heap's free parts.
const MAX_GROWTH_KB: u64 = 1_024;
/// Pause between two jobs of the other client, and the time within which each must be served.
const QUICK_PAUSE: Duration = Duration::from_millis(10);
const QUICK_TIMEOUT: Duration = Duration::from_millis(500);

/// What the flooding client sends.
#[derive(Clone, Copy, Debug)]
enum Flood {
    HealthChecks,
    UnknownNames,
    WithoutId,
    NewKeys,
    RejectedJobs,
    ServedJobs,
    SmallChunks,
    EmptyLines,
}

const FLOODS: [Flood; 8] = [
    Flood::HealthChecks,
    Flood::UnknownNames,
    Flood::WithoutId,
    Flood::NewKeys,
    Flood::RejectedJobs,
    Flood::ServedJobs,
    Flood::SmallChunks,
    Flood::EmptyLines,
];

impl Flood {
    /// Returns the request with this number.
    fn request(self, number: u64) -> String {
        let job = |path: &str, headers: &str| {
            format!("POST /{path} HTTP/1.1\r\nRequest-Id: f{number}\r\n{headers}Content-Length: 0\r\n\r\n")
        };
        match self {
            Flood::HealthChecks => "GET /healthz HTTP/1.1\r\n\r\n".to_owned(),
            Flood::UnknownNames => job(&format!("class-{number}"), &format!("Tenant: tenant-{number}\r\n")),
            Flood::WithoutId => {
                "POST /lookup HTTP/1.1\r\nTenant: web\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            Flood::NewKeys => {
                job(&format!("lookup?sid={number:x}"), "Tenant: web\r\nRequest-Timeout-Ms: 0\r\n")
            }
            // More slots than any worker can have.
            Flood::RejectedJobs => job("lookup", "Tenant: web\r\nRequest-Info: slots=100000000\r\n"),
            Flood::ServedJobs => job("lookup", "Tenant: web\r\n"),
            Flood::SmallChunks => {
                let chunks = "1\r\na\r\n".repeat(8);
                format!(
                    "POST /class-{number} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
                )
            }
            Flood::EmptyLines => "\r\n".repeat(20),
        }
    }
}

/// Sends requests and drops the responses until the connection is shut down; returns the number of requests.
fn send_flood(mut stream: TcpStream, flood: Flood) -> u64 {
    let mut reader = stream.try_clone().expect("a socket");
    let responses = thread::spawn(move || {
        let mut part = vec![0; 64 * 1024];
        while matches!(reader.read(&mut part), Ok(1..)) {}
    });
    let mut number = 0;
    loop {
        let batch: String = (number..number + BATCH).map(|number| flood.request(number)).collect();
        if stream.write_all(batch.as_bytes()).is_err() {
            break;
        }
        number += BATCH;
    }
    responses.join().expect("a reader");
    number
}

/// Sends jobs of another client for this time, and returns the times until they were served.
fn serve_quick_jobs(program: &Program, flood: Flood, time: Duration) -> Vec<Duration> {
    let mut client = program.connect();
    let mut times = Vec::new();
    let until = Instant::now() + time;
    while Instant::now() < until {
        let started_at = Instant::now();
        client.send(job_head(QUICK_CLASS, &format!("q{}", times.len()), QUICK_TIMEOUT, 0).as_bytes());
        let status = client.response().map(|response| response.status);
        assert_eq!(status, Some(200), "{flood:?} job {}", times.len());
        times.push(started_at.elapsed());
        thread::sleep(QUICK_PAUSE);
    }
    times
}

fn play(flood: Flood) {
    let workers = [Worker::start_quick(), Worker::start_serving()];
    let program = Program::start(LIMITS, &workers);
    let stream = TcpStream::connect(program.address).expect("a connection");
    let flooding = stream.try_clone().expect("a socket");
    let flooder = thread::spawn(move || send_flood(flooding, flood));
    let mut times = serve_quick_jobs(&program, flood, WARM_UP);
    let before_kb = program.peak_memory_kb();
    times.extend(serve_quick_jobs(&program, flood, OBSERVATION_TIME));
    let growth_kb = program.peak_memory_kb() - before_kb;
    let _ = stream.shutdown(Shutdown::Both);
    let requests = flooder.join().expect("a flood");
    times.sort_unstable();
    let (middle, longest) = (times[times.len() / 2], times[times.len() - 1]);
    eprintln!(
        "{flood:?}: {requests} requests, {before_kb} kB and {growth_kb} more, quick {middle:?}, longest {longest:?}"
    );
    let runs = workers[1].arrivals("f");
    assert!(runs.values().all(|arrivals| arrivals.len() == 1), "{flood:?}: a job ran twice");
    assert!(longest < QUICK_TIMEOUT, "{flood:?}: a quick job took {longest:?}");
    assert!(growth_kb <= MAX_GROWTH_KB, "{flood:?}: {growth_kb} kB more");
}

/// Guards against memory that grows with the requests of one connection, and against other clients that wait for it.
#[test]
fn a_flood_on_one_connection_delays_nobody_and_leaves_nothing_behind() {
    for flood in FLOODS {
        play(flood);
    }
}
