//! A worker that answers faster than the engine handles its inputs.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

use super::*;
use crate::config::Config;
use crate::engine::{AttemptId, Clock, Handle, Input};
use crate::net::memory::MemoryAccount;
use crate::net::metrics::Metrics;
use crate::net::worker::pool::Pool;
use dispatch_core::api::{RequestId, WorkerId};

const PROGRESS_LINES: usize = 20_000;
/// Time for which the engine handles nothing, while the answer arrives.
const ENGINE_PAUSE: Duration = Duration::from_millis(300);
/// Time within which the whole answer must be read; much longer than a slow machine needs.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Inputs of one attempt that may wait for the engine: its start, its latest progress and the barrier behind that.
const MAX_WAITING_INPUTS: usize = 3;

fn pool(handle: Handle) -> Rc<Pool> {
    let example = include_str!("../../../../examples/config.json");
    let config = Config::parse(example, |_| None).expect("the example");
    let memory = Rc::new(MemoryAccount::new(&config));
    let (_, configs) = watch::channel(Rc::new(config));
    Pool::new(configs, Clock::start(), handle, Rc::new(Metrics::new()), memory)
}

/// Returns both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let connected =
        TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    (connected, listener.accept().await.expect("a connection").0)
}

/// Writes the answer to job `a1`, with many progress reports of each kind.
async fn answer(mut stream: TcpStream) {
    let mut body = String::new();
    for _ in 0..PROGRESS_LINES {
        body +=
            "{\"id\":\"a1\",\"state\":\"started\"}\n{\"id\":\"a1\",\"state\":\"running\",\"share\":0.5}\n";
    }
    body += "{\"id\":\"a1\",\"state\":\"done\",\"result\":\"ok\"}\n";
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + &body).as_bytes()).await.expect("the answer is read to its end");
}

/// Guards against memory that an answer without an end fills: each of its progress reports waited for the engine.
#[test]
fn progress_reports_do_not_pile_up_while_the_engine_is_busy() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (handle, mut inputs) = Handle::channel();
        let (mut stream, worker_stream) = connection().await;
        let attempt = AttemptId { request: RequestId(1), number: 0 };
        let mut guard = AttemptGuard::new(pool(handle), attempt, WorkerId(7));
        let payload = Payload { id: Bytes::from_static(b"a1"), ..Payload::default() };
        spawn_local(answer(worker_stream));
        spawn_local(async move { read_response(&mut stream, &payload, &mut guard).await });
        sleep(ENGINE_PAUSE).await;
        assert!(inputs.len() <= MAX_WAITING_INPUTS, "{} inputs wait", inputs.len());
        let outcome = timeout(READ_TIMEOUT, outcome_of_attempt(&mut inputs)).await;
        assert_eq!(
            outcome,
            Ok(Some(Outcome::Ok)),
            "the answer must be read on as the engine handles its inputs"
        );
    });
}

/// Handles inputs as the engine does, until the attempt ends. Returns its outcome.
async fn outcome_of_attempt(inputs: &mut mpsc::UnboundedReceiver<Input>) -> Option<Outcome> {
    while let Some(input) = inputs.recv().await {
        if let Input::AttemptEnded(end) = input {
            return Some(end.outcome);
        }
    }
    None
}
