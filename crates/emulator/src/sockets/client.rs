//! Clients on sockets: each job comes at its time, on a kept connection where one is free.

use std::io;

use bytes::BytesMut;
use dispatch_core::api::Idempotency;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::environment::{Environment, SharedEnvironment};
use super::http;
use crate::day::{micros, Micros};
use crate::metrics::JobOutcome;

/// A client gives a request up this long after its deadline: an answer may come with a little slack.
const GIVE_UP_AFTER: Micros = 60_000;
/// A retry with less time than this is not worth a client's while.
const MIN_RETRY_TIME: Micros = 100_000;

/// Connections that clients of a dispatcher keep, each with the life it was opened in.
type Pool = std::rc::Rc<std::cell::RefCell<Vec<Vec<(u32, TcpStream)>>>>;

/// Hands in all jobs of the day and waits for their ends.
pub(super) async fn play(environment: SharedEnvironment) {
    let hosts = environment.borrow().agents.len();
    let pool: Pool = std::rc::Rc::new(std::cell::RefCell::new((0..hosts).map(|_| Vec::new()).collect()));
    let mut open = JoinSet::new();
    let jobs = environment.borrow().day.jobs.len();
    for job in 0..jobs {
        let due = {
            let shared = environment.borrow();
            shared.instant(shared.day.jobs[job].arrival)
        };
        tokio::time::sleep_until(due).await;
        open.spawn_local(run_job(environment.clone(), pool.clone(), job as u32));
        while open.try_join_next().is_some() {}
    }
    while open.join_next().await.is_some() {}
}

/// How a try ended for its client.
enum SubmissionOutcome {
    Served,
    Rejected(Option<f64>),
    Failed,
    /// Nobody took it.
    Unreachable,
    /// The dispatcher was killed.
    DispatcherKilled,
    /// The client left.
    ClientLeft,
    /// Its time was up and no answer had come.
    NoAnswer,
}

/// One client with its job, and its retry.
async fn run_job(environment: SharedEnvironment, pool: Pool, job: u32) {
    let (deadline, leaves, retries, honours, safe) = {
        let shared = environment.borrow();
        let plan = &shared.day.jobs[job as usize];
        let class = &shared.experiment.traffic.classes[plan.class as usize];
        let deadline = plan.arrival + shared.timeout(job);
        (
            deadline,
            plan.client_leaves_at,
            plan.retry_backoff,
            plan.honours_retry_after,
            class.idempotency == Idempotency::Idempotent,
        )
    };
    let mut second = false;
    loop {
        let ended = submit(&environment, &pool, job, deadline, leaves).await;
        let now = environment.borrow().now();
        let (end, again, after) = match ended {
            SubmissionOutcome::Served => (JobOutcome::Served(now), false, None),
            SubmissionOutcome::Rejected(after) => (JobOutcome::Rejected(now), true, after),
            SubmissionOutcome::Failed => (JobOutcome::Failed(now), safe, None),
            SubmissionOutcome::Unreachable => (JobOutcome::Failed(now), true, None),
            SubmissionOutcome::DispatcherKilled => (JobOutcome::Failed(now), safe, None),
            SubmissionOutcome::ClientLeft => (JobOutcome::ClientLeft, false, None),
            SubmissionOutcome::NoAnswer => (JobOutcome::Failed(now), false, None),
        };
        let wait = retries.filter(|_| again && !second);
        let asked = after.filter(|_| honours).map_or(0, micros);
        let at = wait.map(|wait| now + wait.max(asked)).filter(|at| at + MIN_RETRY_TIME <= deadline);
        let Some(at) = at else { return environment.borrow_mut().record_outcome(job, end) };
        let due = environment.borrow().instant(at);
        tokio::time::sleep_until(due).await;
        second = true;
    }
}

/// One try: on a kept connection, or once more on a new one where the dispatcher had closed the kept one.
async fn submit(
    environment: &SharedEnvironment,
    pool: &Pool,
    job: u32,
    deadline: Micros,
    leaves: Option<Micros>,
) -> SubmissionOutcome {
    let host = environment.borrow().day.jobs[job as usize].dispatcher as usize;
    let id = {
        let mut shared = environment.borrow_mut();
        shared.submissions.push(job);
        shared.submissions.len() as u64
    };
    let submission = Submission { host, job, id, deadline };
    let until = leaves.unwrap_or(Micros::MAX).min(deadline + GIVE_UP_AFTER);
    let due = environment.borrow().instant(until);
    let mut taken = None;
    let tried = tokio::time::timeout_at(due, async {
        let kept = pool.borrow_mut()[host]
            .pop()
            .filter(|(life, _)| *life == environment.borrow().incarnations[host].0);
        if let Some((life, stream)) = kept {
            let connection = ClientConnection { incarnation: life, stream };
            match exchange(environment, pool, submission, connection, &mut taken).await {
                Ok(ended) => return ended,
                // Closed between two requests: sent once more, on a new connection.
                Err(_) if environment.borrow().incarnations[host] == (life, true) => {}
                Err(_) => return SubmissionOutcome::DispatcherKilled,
            }
        }
        let (life, port) = {
            let shared = environment.borrow();
            (shared.incarnations[host].0, shared.listen[host])
        };
        let Ok(stream) = TcpStream::connect(("127.0.0.1", port)).await else {
            return SubmissionOutcome::Unreachable;
        };
        let connection = ClientConnection { incarnation: life, stream };
        match exchange(environment, pool, submission, connection, &mut taken).await {
            Ok(ended) => ended,
            Err(_) if environment.borrow().incarnations[host] == (life, true) => SubmissionOutcome::Failed,
            Err(_) => SubmissionOutcome::DispatcherKilled,
        }
    })
    .await;
    let mut shared = environment.borrow_mut();
    let ended = tried.unwrap_or(if leaves.is_some_and(|at| at < deadline) {
        SubmissionOutcome::ClientLeft
    } else {
        SubmissionOutcome::NoAnswer
    });
    if matches!(ended, SubmissionOutcome::ClientLeft | SubmissionOutcome::DispatcherKilled) {
        shared.checker.waive_response(id);
    }
    if taken.is_some() {
        shared.checker.close_request(id);
    }
    ended
}

/// A submission of a job to a dispatcher.
#[derive(Clone, Copy)]
struct Submission {
    /// Number of the dispatcher.
    host: usize,
    job: u32,
    /// Id of the request.
    id: u64,
    deadline: Micros,
}

/// A connection to one incarnation of a dispatcher.
struct ClientConnection {
    incarnation: u32,
    stream: TcpStream,
}

/// Writes a request and reads its answer.
async fn exchange(
    environment: &SharedEnvironment,
    pool: &Pool,
    submission: Submission,
    connection: ClientConnection,
    taken: &mut Option<u64>,
) -> io::Result<SubmissionOutcome> {
    let Submission { host, job, id, deadline } = submission;
    let ClientConnection { incarnation, mut stream } = connection;
    stream.set_nodelay(true)?;
    let message = request(&environment.borrow(), job, id, deadline);
    stream.write_all(message.as_bytes()).await?;
    if taken.replace(id).is_none() {
        let mut shared = environment.borrow_mut();
        let class = &shared.experiment.traffic.classes[shared.day.jobs[job as usize].class as usize];
        let (repeat, window) = (class.idempotency, micros(class.retry_window));
        shared.checker.record_accepted(id, repeat, window, deadline);
    }
    let mut buffer = BytesMut::with_capacity(512);
    let Some(head) = http::read_head(&mut stream, &mut buffer, http::MessageKind::Response, || {}).await?
    else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = http::read_body(&mut stream, &mut buffer, &head).await?;
    let refused = matches!(head.status, 429 | 503);
    let mut shared = environment.borrow_mut();
    let now = shared.now();
    shared.checker.record_response(id, refused, now);
    let after = head.get("retry-after").and_then(|v| v.parse().ok());
    if head.get("connection").is_none_or(|v| !v.eq_ignore_ascii_case("close")) {
        pool.borrow_mut()[host].push((incarnation, stream));
    }
    Ok(match head.status {
        // Served with what no worker made for it is as good as lost.
        200 if body.starts_with(format!("{id:016x} by ").as_bytes()) => SubmissionOutcome::Served,
        200 => {
            shared.checker.record_response(id, false, now);
            SubmissionOutcome::Failed
        }
        _ if refused => SubmissionOutcome::Rejected(after),
        _ => SubmissionOutcome::Failed,
    })
}

fn request(shared: &Environment, job: u32, id: u64, deadline: Micros) -> String {
    let plan = &shared.day.jobs[job as usize];
    let class = &shared.experiment.traffic.classes[plan.class as usize];
    let tenant = shared.experiment.traffic.tenants.get(plan.tenant as usize).map_or("", |t| &t.name);
    let left = (shared.seconds_left(deadline) * 1e3) as u64;
    let key = match class.idempotency {
        Idempotency::WithKey(_) => format!("Idempotency-Key: {:032x}\r\n", u128::from(job) + 1),
        _ => String::new(),
    };
    format!(
        "POST /{} HTTP/1.1\r\nHost: lab\r\nRequest-Id: {id:016x}\r\nTenant: {tenant}\r\nRequest-Timeout-Ms: {left}\r\n\
         Request-Info: slots={}\r\n{key}Content-Length: 0\r\n\r\n",
        class.name, plan.slots
    )
}
